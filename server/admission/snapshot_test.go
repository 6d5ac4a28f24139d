package admission

import (
	"testing"
	"time"

	"clementinetray/server/balance"
)

// Guards against a pool that counts as full or idle because of servers of which this instance knows nothing, and against lateness that is
// decided by another server than the best one.
func TestSnapshotOf(t *testing.T) {
	slots := func(int) int { return 10 }
	request := &balance.Request{PromptTokens: 1000, TimeRatio: 1}
	candidates := []balance.Candidate{
		{Load: 1.6, LoadKnown: true, FirstEvent: 3 * time.Second, QueuedTokens: 2000},
		{Load: 0.4, LoadKnown: true, FirstEvent: time.Second},
		{Load: 0},
	}
	s := SnapshotOf(candidates, slots, 0, request, time.Second)
	if !s.Full || s.QueueShare < 0.6 || s.QueueShare > 0.7 || s.FirstEvent != 3*time.Second {
		t.Errorf("%+v", s)
	}
	if !s.UseKnown || s.Use < 0.69 || s.Use > 0.71 || !s.Queued {
		t.Errorf("%+v", s)
	}
	if !s.LoadKnown {
		t.Error("two of three loads are known, but the load of the best one counts as unknown")
	}
	if s := SnapshotOf(append(candidates[1:2:2], candidates[2], candidates[2]), slots, 0, request, time.Second); s.LoadKnown {
		t.Error("one of three loads is known, but the load of the best one counts as known")
	}
	if s := SnapshotOf(candidates, slots, 2, request, time.Second); s.FirstEvent != time.Second {
		t.Errorf("nothing is known of the best server, the quickest one takes 1s, but %+v", s)
	}
	if s := SnapshotOf(candidates[2:], slots, 0, request, time.Second); s.UseKnown || s.Full || s.Queued {
		t.Errorf("nothing is known, but %+v", s)
	}
}
