package entry

import (
	"context"
	"testing"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/balance"
	"clementinetray/server/blackboard"
	"clementinetray/server/retry"
)

// Guards against a retry on another backend server for a caller that doesn't read the first answer: its connection is still open,
// so the request's context isn't cancelled.
func TestNoFurtherAttemptForACallerThatDoesNotRead(t *testing.T) {
	h := &Handler{
		cfg: Config{Board: blackboard.New(), RoutedRetryRatio: 1, RoutedRetrySlack: 10}, outcomes: newOutcomeCounts(),
		balance: balance.NewTracker(), budgets: map[string]*retry.Budget{},
	}
	rq := &request{routed: &routedCall{
		route: &catalogue.Route{Kind: catalogue.KindStream, Resumable: true, MaxAttempts: 3}, answerStarted: true,
	}}
	rq.route.Exclude, rq.route.Deadline = map[string]bool{}, time.Now().Add(time.Minute)
	f := &attemptError{kind: failCancelled, wrote: true}
	p := h.checkRoutedRetry(context.Background(), rq, &control.BackendServer{}, f)
	if p == nil || p.Reason != problem.DeadlineExceeded {
		t.Fatalf("want a refusal for the deadline, got %v", p)
	}
}
