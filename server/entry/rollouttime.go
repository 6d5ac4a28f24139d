package entry

import (
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/server/clock"
)

// rolloutTimes holds how long each running roll-out of a service has run. The control group records that once a second; while it
// has no leader, or after it lost its state, the time is counted on here.
type rolloutTimes struct {
	mu   sync.Mutex // guards runs
	runs map[string]rolloutRun
}

// rolloutRun holds how long a roll-out had run at the time at, and the total time that the machine had been suspended by then.
type rolloutRun struct {
	order     uint64
	elapsed   time.Duration
	at        time.Time
	suspended time.Duration
}

// elapsedAt returns how long the roll-out has run at a time, including the time that the machine was suspended.
func (r rolloutRun) elapsedAt(now time.Time, suspended time.Duration) time.Duration {
	return r.elapsed + now.Sub(r.at) + max(suspended-r.suspended, 0)
}

func newRolloutTimes() *rolloutTimes { return &rolloutTimes{runs: map[string]rolloutRun{}} }

// observe takes over the roll-outs of the view. A time counted here stays when it is longer than the one in the view.
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
		reported := rolloutRun{order: r.Order, elapsed: time.Duration(r.ElapsedMillis) * time.Millisecond, at: now, suspended: suspended}
		if known, ok := t.runs[service]; !ok || known.order != r.Order || known.elapsedAt(now, suspended) < reported.elapsed {
			t.runs[service] = reported
		}
	}
}

func (t *rolloutTimes) list(now time.Time, suspended time.Duration) []control.RolloutTime {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]control.RolloutTime, 0, len(t.runs))
	for service, r := range t.runs {
		out = append(out, control.RolloutTime{Service: service, Order: r.order, Elapsed: r.elapsedAt(now, suspended)})
	}
	return out
}

// RolloutTimes returns how long the running roll-outs of services have run.
func (h *Handler) RolloutTimes() []control.RolloutTime {
	return h.rollouts.list(time.Now(), clock.SuspendedTime())
}
