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

	mu      sync.Mutex // guards samples
	samples map[sampleKey]*sample
}

// NewServiceController returns the controller. It does nothing until Run. exposure is the share of a service's requests within
// a roll-out's time limit that may reach a version which shows no fault.
func NewServiceController(state State, proposer Proposer, exposure float64, recorder event.Recorder, log *slog.Logger) *ServiceController {
	return &ServiceController{
		state: state, proposer: proposer, plan: scheduleFor(exposure), recorder: recorder, log: log, samples: map[sampleKey]*sample{},
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
	next := nextProgress(r, c.plan, t.before+now.Sub(t.began), served, reason)
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
