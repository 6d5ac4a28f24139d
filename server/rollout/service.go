package rollout

import (
	"context"
	"log/slog"
	"math"
	"strconv"
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/controlstate"
)

const (
	// serviceTickInterval is the time between two checks of the running roll-outs. It is short because the shortest
	// roll-outs last only some seconds.
	serviceTickInterval = 200 * time.Millisecond
	// recordInterval is the time between two records of the elapsed time, from which a new leader continues.
	recordInterval = time.Second
	// minObservation is how long a leader must have observed a roll-out before it concludes that the new version gets too
	// few requests. It is longer than a second because entry instances report once a second.
	minObservation = 3 * time.Second
	// maxSamples bounds the number of samples; there is one for each service, version and route.
	maxSamples = 4096
)

// sampleKey identifies a sample. The sample with an empty route is over all routes.
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

// reportedTime says that the roll-out with the number (ServiceRollout.Order) had run for elapsed at the time at.
type reportedTime struct {
	number  uint64
	elapsed time.Duration
	at      time.Time
}

// NewServiceController returns the controller. It does nothing until Run is called. exposure is the largest share, 0 to
// 1, of a service's requests during a roll-out that go to the new version, even if no fault is found.
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

// AddSuspects implements controlsvc.OutcomeSink. It does nothing, because reports of suspect backend servers say nothing
// about their software.
func (c *ServiceController) AddSuspects(time.Time, string, []control.SuspectReport) {}

// AddRolloutTimes stores how long roll-outs have run according to an entry instance, unless a longer time is known. Entry
// instances also count the time without a leader.
func (c *ServiceController) AddRolloutTimes(now time.Time, times []control.RolloutTime) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range times {
		known := c.reportedTimes[t.Service]
		if known.number > t.Order || known.number == t.Order && known.elapsed+now.Sub(known.at) >= t.Elapsed {
			continue
		}
		c.reportedTimes[t.Service] = reportedTime{number: t.Order, elapsed: t.Elapsed, at: now}
	}
}

// elapsed returns how long a roll-out has run. It is the longer of the time that this leader has measured and the time
// that entry instances have reported.
func (c *ServiceController) elapsed(r control.ServiceRollout, t *serviceTrial, now time.Time) time.Duration {
	counted := t.elapsedBefore + now.Sub(t.seenAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	if reported := c.reportedTimes[r.Service]; reported.number == r.Order && !reported.at.IsZero() {
		return max(counted, reported.elapsed+now.Sub(reported.at))
	}
	return counted
}

// Run advances the running roll-outs until ctx ends. Their elapsed times continue from the recorded ones.
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
			if trials[service] == nil || trials[service].number != r.Order {
				trials[service] = &serviceTrial{number: r.Order, seenAt: time.Now(), elapsedBefore: time.Duration(r.ElapsedMillis) * time.Millisecond}
			}
			c.advance(ctx, r, trials[service], time.Now())
		}
	}
}

// serviceTrial is a running roll-out as observed by this leader.
type serviceTrial struct {
	number uint64
	// seenAt is when this leader first saw the roll-out. elapsedBefore is how long the roll-out had run by then, according
	// to its record.
	elapsedBefore time.Duration
	seenAt        time.Time
}

// advance computes the progress of a running roll-out. It records the progress if the state or the split has changed, or
// if recordInterval has passed since the last record.
func (c *ServiceController) advance(ctx context.Context, r control.ServiceRollout, t *serviceTrial, now time.Time) {
	served, reason := c.findRegression(r)
	next := nextProgress(r, c.schedule, c.elapsed(r, t, now), served, reason)
	if next.State == control.RolloutRolledBack && reason == "" && now.Sub(t.seenAt) < minObservation {
		// A new leader has no counts yet, so too few requests don't end the roll-out until it has observed it for a while.
		next.State, next.Reason = control.RolloutRunning, r.Reason
	}
	due := next.ElapsedMillis-r.ElapsedMillis >= recordInterval.Milliseconds()
	if next.State == r.State && next.Percent == r.Percent && next.Settled == r.Settled && !due {
		return
	}
	c.logComparison(r, next.ElapsedMillis)
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

// findRegression compares the new version with all other versions of the service, over all routes and for each route. It
// returns how many requests the new version has served, and the fault that was found, or an empty reason.
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

// logComparison logs what the decisions on a roll-out are based on: the counts and times of each version on each route.
func (c *ServiceController) logComparison(r control.ServiceRollout, elapsedMillis int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, s := range c.samples {
		if key.service != r.Service {
			continue
		}
		mean := 0.0
		if s.timedAnswers > 0 {
			mean = math.Exp(s.logSum / float64(s.timedAnswers))
		}
		c.log.Info("service_rollout_compared", "service", r.Service, "to", r.To, "order", r.Order, "elapsed_millis", elapsedMillis, "percent", r.Percent,
			"version", key.version, "route", key.route, "requests", s.requests, "failures", s.failures, "timed", s.timedAnswers, "first_millis", int(mean))
	}
}

func (s *sample) merge(o *sample) {
	s.requests += o.requests
	s.failures += o.failures
	s.timedAnswers += o.timedAnswers
	s.logSum += o.logSum
	s.logSquares += o.logSquares
}
