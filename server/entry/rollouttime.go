package entry

import (
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/server/clock"
)

// rolloutTimes holds how long each running roll-out of a service has run. The control group records these times once a second.
// This instance continues them while the control group has no leader or after it lost its state.
type rolloutTimes struct {
	mu   sync.Mutex // guards runs
	runs map[string]rolloutRun
}

// rolloutRun holds how long a roll-out had run at a point in time.
type rolloutRun struct {
	// number is ServiceRollout.Order, the number of the service's roll-out.
	number uint64
	// elapsed is how long the roll-out had run at measuredAt.
	elapsed    time.Duration
	measuredAt time.Time
	// suspended is the total time that the machine had been suspended by measuredAt.
	suspended time.Duration
}

// elapsedAt returns how long the roll-out has run at a time, including the time that the machine was suspended.
func (r rolloutRun) elapsedAt(now time.Time, suspended time.Duration) time.Duration {
	return r.elapsed + now.Sub(r.measuredAt) + max(suspended-r.suspended, 0)
}

func newRolloutTimes() *rolloutTimes { return &rolloutTimes{runs: map[string]rolloutRun{}} }

// observe updates the times from the running roll-outs of the view. It keeps this instance's time if that is longer than the
// time in the view.
func (t *rolloutTimes) observe(view *control.View, now time.Time, suspended time.Duration) {
	if view == nil || view.Rollouts == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, r := range view.Rollouts.Services {
		if r.State != control.RolloutRunning {
			delete(t.runs, service)
			continue
		}
		reported := rolloutRun{number: r.Order, elapsed: time.Duration(r.ElapsedMillis) * time.Millisecond, measuredAt: now, suspended: suspended}
		if known, ok := t.runs[service]; !ok || known.number != r.Order || known.elapsedAt(now, suspended) < reported.elapsed {
			t.runs[service] = reported
		}
	}
}

// list returns the times of all running roll-outs.
func (t *rolloutTimes) list(now time.Time, suspended time.Duration) []control.RolloutTime {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]control.RolloutTime, 0, len(t.runs))
	for service, r := range t.runs {
		out = append(out, control.RolloutTime{Service: service, Order: r.number, Elapsed: r.elapsedAt(now, suspended)})
	}
	return out
}

// RolloutTimes returns how long the running roll-outs of services have run.
func (h *Handler) RolloutTimes() []control.RolloutTime {
	return h.rollouts.list(time.Now(), clock.SuspendedTime())
}
