package entry

import (
	"testing"
	"time"

	"clementinetray/api/control"
)

// Guards against a roll-out whose time isn't counted while the control group has no leader or this machine is suspended, and
// against a time that is still reported after the roll-out ended.
func TestRolloutTimes(t *testing.T) {
	times, began := newRolloutTimes(), time.Now()
	view := func(order uint64, elapsed int64, state control.RolloutState) *control.View {
		return &control.View{Rollouts: &control.Rollouts{Services: map[string]control.ServiceRollout{
			"pool": {Service: "pool", Order: order, State: state, ElapsedMillis: elapsed},
		}}}
	}
	steps := []struct {
		desc          string
		at, suspended time.Duration
		view          *control.View
		order         uint64
		want          time.Duration
		ended         bool
	}{
		{desc: "starts with the recorded time", view: view(1, 1000, control.RolloutRunning), order: 1, want: time.Second},
		{desc: "counts on without a new record", at: 2 * time.Second, view: view(1, 1000, control.RolloutRunning), order: 1, want: 3 * time.Second},
		{desc: "takes over a longer recorded time", at: 3 * time.Second, view: view(1, 5000, control.RolloutRunning), order: 1, want: 5 * time.Second},
		{desc: "keeps its time when a new leader recorded a shorter one", at: 4 * time.Second, view: view(1, 5500, control.RolloutRunning), order: 1, want: 6 * time.Second},
		{desc: "includes the time of a suspension", at: 4 * time.Second, suspended: 7 * time.Second, view: nil, order: 1, want: 13 * time.Second},
		{desc: "restarts with the next order", at: 5 * time.Second, suspended: 7 * time.Second, view: view(2, 0, control.RolloutRunning), order: 2, want: 0},
		{desc: "drops a roll-out that ended", at: 6 * time.Second, suspended: 7 * time.Second, view: view(2, 900, control.RolloutDone), ended: true},
	}
	for _, s := range steps {
		times.observe(s.view, began.Add(s.at), s.suspended)
		list := times.list(began.Add(s.at), s.suspended)
		if s.ended {
			if len(list) > 0 {
				t.Errorf("%s: %+v", s.desc, list)
			}
			continue
		}
		if len(list) != 1 || list[0].Order != s.order || list[0].Elapsed != s.want {
			t.Errorf("%s: %+v, want order %d after %s", s.desc, list, s.order, s.want)
		}
	}
}
