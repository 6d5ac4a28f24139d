package rollout

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/controlstate"
)

const (
	// serviceTick is the resolution of the steps; the shortest roll-outs last some seconds.
	serviceTick = 200 * time.Millisecond
	// recordEvery is how often the elapsed time is recorded, so that a new leader goes on from it.
	recordEvery = time.Second
	// unseenFor is the time that a leader must have watched a version before it takes it for one without requests: entry
	// instances report once a second.
	unseenFor = 3 * time.Second
	// maxSamples bounds the memory for samples: services with their versions and routes.
	maxSamples = 4096
)

// sampleKey names a sample. An empty route stands for all routes.
type sampleKey struct {
	service, version, route string
}

// ServiceController moves services between software versions at the control leader. It is safe for concurrent use.
type ServiceController struct {
	state    State
	proposer Proposer
	plan     schedule
	recorder event.Recorder
	log      *slog.Logger

	mu      sync.Mutex // guards the fields below
	samples map[sampleKey]*sample
	// told holds the longest time that entry instances told for the roll-out of a service.
	told map[string]toldTime
}

// toldTime is how long a roll-out had run at a time.
type toldTime struct {
	order   uint64
	elapsed time.Duration
	at      time.Time
}

// NewServiceController returns the controller. It does nothing until Run. exposure is the share of a service's requests within
// a roll-out's time limit that may reach a version which shows no fault.
func NewServiceController(state State, proposer Proposer, exposure float64, recorder event.Recorder, log *slog.Logger) *ServiceController {
	return &ServiceController{
		state: state, proposer: proposer, plan: scheduleFor(exposure), recorder: recorder, log: log, samples: map[sampleKey]*sample{},
		told: map[string]toldTime{},
	}
}

// AddOutcomes takes the counts of an entry instance.
func (c *ServiceController) AddOutcomes(_ time.Time, _ string, outcomes []control.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range outcomes {
		o := &outcomes[i]
		if o.Service == "" {
			continue
		}
		for _, key := range []sampleKey{{o.Service, o.SoftwareVersion, ""}, {o.Service, o.SoftwareVersion, o.Class}} {
			if c.samples[key] == nil {
				if len(c.samples) >= maxSamples {
					c.log.Warn("samples_dropped", "limit", maxSamples)
					clear(c.samples)
				}
				c.samples[key] = &sample{}
			}
			c.samples[key].add(o)
		}
	}
}

// AddSuspects implements controlsvc.OutcomeSink; doubts about single backend servers say nothing of their software.
func (c *ServiceController) AddSuspects(time.Time, string, []control.SuspectReport) {}

// AddRolloutTimes takes how long an entry instance knows roll-outs to have run, which counts the time without a leader too.
func (c *ServiceController) AddRolloutTimes(now time.Time, times []control.RolloutTime) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range times {
		known := c.told[t.Service]
		if known.order > t.Order || known.order == t.Order && known.elapsed+now.Sub(known.at) >= t.Elapsed {
			continue
		}
		c.told[t.Service] = toldTime{order: t.Order, elapsed: t.Elapsed, at: now}
	}
}

// elapsed returns how long a roll-out has run: as this leader counts, or as it was told, whichever is longer.
func (c *ServiceController) elapsed(r control.ServiceRollout, t *serviceTrial, now time.Time) time.Duration {
	own := t.before + now.Sub(t.began)
	c.mu.Lock()
	defer c.mu.Unlock()
	if told := c.told[r.Service]; told.order == r.Order && !told.at.IsZero() {
		return max(own, told.elapsed+now.Sub(told.at))
	}
	return own
}

// Run moves the running roll-outs until ctx ends. The time that a roll-out has run goes on from what was recorded.
func (c *ServiceController) Run(ctx context.Context, _ uint64) error {
	c.mu.Lock()
	clear(c.samples)
	c.mu.Unlock()
	ticker := time.NewTicker(serviceTick)
	defer ticker.Stop()
	trials := map[string]*serviceTrial{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for service, r := range c.state.View().Rollouts.Services {
			if r.State != control.RolloutRunning {
				delete(trials, service)
				continue
			}
			if trials[service] == nil || trials[service].order != r.Order {
				trials[service] = &serviceTrial{order: r.Order, began: time.Now(), before: time.Duration(r.ElapsedMillis) * time.Millisecond}
			}
			c.advance(ctx, r, trials[service], time.Now())
		}
	}
}

// serviceTrial is a running roll-out as this leader sees it.
type serviceTrial struct {
	order uint64
	// before is the time that the roll-out had run when this leader saw it first, at began.
	before time.Duration
	began  time.Time
}

// advance records the progress when something changed or the time is due.
func (c *ServiceController) advance(ctx context.Context, r control.ServiceRollout, t *serviceTrial, now time.Time) {
	served, reason := c.judge(r)
	next := nextProgress(r, c.plan, c.elapsed(r, t, now), served, reason)
	if next.State == control.RolloutRolledBack && reason == "" && now.Sub(t.began) < unseenFor {
		// A new leader has no counts yet.
		next.State, next.Reason = control.RolloutRunning, r.Reason
	}
	due := next.ElapsedMillis-r.ElapsedMillis >= recordEvery.Milliseconds()
	if next.State == r.State && next.Percent == r.Percent && next.Settled == r.Settled && !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	command := &controlstate.Command{AdvanceServiceRollout: &controlstate.AdvanceServiceRollout{Progress: next}}
	if _, err := c.proposer.ProposeCommand(ctx, command); err != nil {
		c.log.Warn("service_rollout_not_recorded", "service", r.Service, "to", r.To, "error", err)
		return
	}
	if next.State == r.State && next.Percent == r.Percent && next.Settled == r.Settled {
		return
	}
	c.log.Info("service_rollout", "service", r.Service, "to", r.To, "order", r.Order, "state", next.State, "percent", next.Percent,
		"settled", next.Settled, "elapsed_millis", next.ElapsedMillis, "served", served, "reason", next.Reason)
	c.recorder.Record(event.Event{Kind: EventRollout, Reason: next.Reason, Detail: map[string]string{
		"service": r.Service, "to": r.To, "state": string(next.State), "percent": strconv.Itoa(next.Percent),
	}})
}

// judge compares the new version with all others of the service, over all routes and route by route.
func (c *ServiceController) judge(r control.ServiceRollout) (served int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := map[string]*sample{}
	for key, s := range c.samples {
		if key.service != r.Service || key.version == r.To {
			continue
		}
		if old[key.route] == nil {
			old[key.route] = &sample{}
		}
		old[key.route].merge(s)
	}
	for key, s := range c.samples {
		if key.service != r.Service || key.version != r.To {
			continue
		}
		if key.route == "" {
			served = s.requests
		}
		beside := old[key.route]
		if beside == nil {
			beside = &sample{}
		}
		if why, bad := worse(beside, s); bad && reason == "" {
			reason = why
			if key.route != "" {
				reason += " on route " + key.route
			}
		}
	}
	return served, reason
}

func (s *sample) merge(o *sample) {
	s.requests += o.requests
	s.failures += o.failures
	s.timed += o.timed
	s.logSum += o.logSum
	s.logSquares += o.logSquares
}
