package retry_test

import (
	"testing"
	"time"

	"clementinetray/server/retry"
)

// Guards against retries of lower importance that use up the whole budget, so that none is left for failed requests.
func TestTryRetryWithinShareLeavesTheRestOfTheBudget(t *testing.T) {
	b, now := retry.NewBudgetWithLimits(0, 10), time.Now()
	taken := 0
	for b.TryRetryWithinShare(now, 0.8) {
		taken++
	}
	rest := 0
	for b.TryRetry(now) {
		rest++
	}
	if taken != 8 || rest != 2 {
		t.Errorf("%d retries within the share and %d after it was used up, want 8 and 2", taken, rest)
	}
}

// Guards against an instance that keeps its old limit after others have joined.
func TestSetLimitsHoldsAtOnce(t *testing.T) {
	b, now := retry.NewBudgetWithLimits(0, 10), time.Now()
	b.SetLimits(0, 1)
	if !b.TryRetry(now) || b.TryRetry(now) {
		t.Error("the new limit of 1 retry does not apply")
	}
}
