package retry_test

import (
	"testing"
	"time"

	"clementinetray/server/retry"
)

// Guards against answers that are dropped by choice and leave nothing of the budget for failures.
func TestTryShareLeavesTheRestOfTheBudget(t *testing.T) {
	b, now := retry.NewBudgetOf(0, 10), time.Now()
	taken := 0
	for b.TryShare(now, 0.8) {
		taken++
	}
	rest := 0
	for b.TryRetry(now) {
		rest++
	}
	if taken != 8 || rest != 2 {
		t.Errorf("%d by choice and %d for failures, want 8 and 2", taken, rest)
	}
}

// Guards against a limit that instances keep after others joined.
func TestSetLimitsHoldsAtOnce(t *testing.T) {
	b, now := retry.NewBudgetOf(0, 10), time.Now()
	b.SetLimits(0, 1)
	if !b.TryRetry(now) || b.TryRetry(now) {
		t.Error("the new limit of 1 does not hold")
	}
}
