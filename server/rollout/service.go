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
	// serviceTickInterval is the time resolution of the steps; the shortest roll-outs last some seconds.
	serviceTickInterval = 200 * time.Millisecond
	// recordInterval is how often the elapsed time is recorded, so that a new leader can continue from it.
	recordInterval = time.Second
	// minObservation is how long a leader must have observed a roll-out before it concludes that the new version gets
	// no requests: entry instances report once a second.
	minObservation = 3 * time.Second
	// maxSamples bounds the number of samples; there is one for each service, version and route.
	maxSamples = 4096
)

// sampleKey identifies a sample. An empty route stands for all routes.
type sampleKey struct {
	service, version, route string
}

// ServiceController moves services between software versions at the control leader. It is safe for concurrent use.
type ServiceController struct {
	state    State
	proposer Proposer
	schedule schedule
	recorder event.Recorder
	log      *slog.Logger

	mu      sync.Mutex // guards the fields below
	samples map[sampleKey]*sample
	// reportedTimes holds, by service, the longest time that entry instances reported for its roll-out.
	reportedTimes map[string]reportedTime
}

// reportedTime says that the roll-out with the given order had run for elapsed at the time at.
type reportedTime struct {
	order   uint64
	elapsed time.Duration
	at      time.Time
}

// NewServiceController returns the controller. It does nothing until Run. exposure is the share, 0 to 1, of a service's
// requests within a roll-out's time limit that may reach a version which shows no fault.
func NewServiceController(state State, proposer Proposer, exposure float64, recorder event.Recorder, log *slog.Logger) *ServiceController {
	return &ServiceController{
		state: state, proposer: proposer, schedule: scheduleFor(exposure), recorder: recorder, log: log, samples: map[sampleKey]*sample{},
		reportedTimes: map[string]reportedTime{},
	}
}

// AddOutcomes adds the counts of an entry instance to the samples.
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

// AddSuspects implements controlsvc.OutcomeSink. It does nothing, as suspected backend servers are no evidence on their
// software.
func (c *ServiceController) AddSuspects(time.Time, string, []control.SuspectReport) {}

// AddRolloutTimes takes how long roll-outs have run as measured by an entry instance, which includes the time without a
// leader.
func (c *ServiceController) AddRolloutTimes(now time.Time, times []control.RolloutTime) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range times {
		known := c.reportedTimes[t.Service]
		if known.order > t.Order || known.order == t.Order && known.elapsed+now.Sub(known.at) >= t.Elapsed {
			continue
		}
		c.reportedTimes[t.Service] = reportedTime{order: t.Order, elapsed: t.Elapsed, at: now}
	}
}

// elapsed returns how long a roll-out has run: as measured by this leader or as reported by entry instances, whichever
// is longer.
func (c *ServiceController) elapsed(r control.ServiceRollout, t *serviceTrial, now time.Time) time.Duration {
	counted := t.elapsedBefore + now.Sub(t.seenAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	if reported := c.reportedTimes[r.Service]; reported.order == r.Order && !reported.at.IsZero() {
		return max(counted, reported.elapsed+now.Sub(reported.at))
	}
	return counted
}

// Run advances the running roll-outs until ctx ends. The elapsed time continues from the recorded one.
func (c *ServiceController) Run(ctx context.Context, _ uint64) error {
	c.mu.Lock()
	clear(c.samples)
	c.mu.Unlock()
	ticker := time.NewTicker(serviceTickInterval)
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
				trials[service] = &serviceTrial{order: r.Order, seenAt: time.Now(), elapsedBefore: time.Duration(r.ElapsedMillis) * time.Millisecond}
			}
			c.advance(ctx, r, trials[service], time.Now())
		}
	}
}

// serviceTrial is a running roll-out as observed by this leader.
type serviceTrial struct {
	order uint64
	// elapsedBefore is how long the roll-out had run at seenAt, when this leader first saw it.
	elapsedBefore time.Duration
	seenAt        time.Time
}

// advance records the progress if it has changed or recordInterval has passed.
func (c *ServiceController) advance(ctx context.Context, r control.ServiceRollout, t *serviceTrial, now time.Time) {
	served, reason := c.findRegression(r)
	next := nextProgress(r, c.schedule, c.elapsed(r, t, now), served, reason)
	if next.State == control.RolloutRolledBack && reason == "" && now.Sub(t.seenAt) < minObservation {
		// A new leader has no counts yet.
		next.State, next.Reason = control.RolloutRunning, r.Reason
	}
	due := next.ElapsedMillis-r.ElapsedMillis >= recordInterval.Milliseconds()
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

// findRegression compares the new version with all others of the service, over all routes and by route. served is the
// number of requests that the new version served; reason is empty if no fault was found.
func (c *ServiceController) findRegression(r control.ServiceRollout) (served int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldByRoute := map[string]*sample{}
	for key, s := range c.samples {
		if key.service != r.Service || key.version == r.To {
			continue
		}
		if oldByRoute[key.route] == nil {
			oldByRoute[key.route] = &sample{}
		}
		oldByRoute[key.route].merge(s)
	}
	for key, s := range c.samples {
		if key.service != r.Service || key.version != r.To {
			continue
		}
		if key.route == "" {
			served = s.requests
		}
		oldSample := oldByRoute[key.route]
		if oldSample == nil {
			oldSample = &sample{}
		}
		if fault, bad := compareSamples(oldSample, s); bad && reason == "" {
			reason = fault
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
	s.timedAnswers += o.timedAnswers
	s.logSum += o.logSum
	s.logSquares += o.logSquares
}
