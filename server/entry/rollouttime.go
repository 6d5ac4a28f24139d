package entry

import (
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/server/clock"
)

// rolloutTimes keeps how long each running roll-out of a service has run. The control group records that once a second; when it
// has no leader, or is lost and comes back, the time goes on here.
type rolloutTimes struct {
	mu   sync.Mutex // guards runs
	runs map[string]rolloutRun
}

// rolloutRun is a roll-out that had run for elapsed at a time, with clock.Asleep then.
type rolloutRun struct {
	order   uint64
	elapsed time.Duration
	at      time.Time
	asleep  time.Duration
}

func (r rolloutRun) now(now time.Time, asleep time.Duration) time.Duration {
	return r.elapsed + now.Sub(r.at) + max(asleep-r.asleep, 0)
}

func newRolloutTimes() *rolloutTimes { return &rolloutTimes{runs: map[string]rolloutRun{}} }

// observe takes what the view says of roll-outs. What is known already stays when it is longer.
func (t *rolloutTimes) observe(view *control.View, now time.Time, asleep time.Duration) {
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
		seen := rolloutRun{order: r.Order, elapsed: time.Duration(r.ElapsedMillis) * time.Millisecond, at: now, asleep: asleep}
		if known, ok := t.runs[service]; !ok || known.order != r.Order || known.now(now, asleep) < seen.elapsed {
			t.runs[service] = seen
		}
	}
}

func (t *rolloutTimes) list(now time.Time, asleep time.Duration) []control.RolloutTime {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]control.RolloutTime, 0, len(t.runs))
	for service, r := range t.runs {
		out = append(out, control.RolloutTime{Service: service, Order: r.order, Elapsed: r.now(now, asleep)})
	}
	return out
}

// RolloutTimes returns how long the running roll-outs of services have run.
func (h *Handler) RolloutTimes() []control.RolloutTime {
	return h.rollouts.list(time.Now(), clock.Asleep())
}
