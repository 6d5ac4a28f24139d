package rollout

import (
	"context"
	"log/slog"
	"math"
	"slices"
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
)

// reporter is one process of an entry instance.
type reporter struct{ instance, boot string }

// ServiceController moves services between software versions at the control leader. It is safe for concurrent use.
type ServiceController struct {
	state    State
	proposer Proposer
	exposure float64
	recorder event.Recorder
	log      *slog.Logger

	mu sync.Mutex // guards the fields below
	// samples holds the totals of the running roll-outs as each entry instance reported them last.
	samples map[reporter][]control.RolloutSample
	// servers holds the failure rates of backend servers by service.
	servers map[string]serverRates
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
		state: state, proposer: proposer, exposure: exposure, recorder: recorder, log: log, samples: map[reporter][]control.RolloutSample{}, servers: map[string]serverRates{},
		reportedTimes: map[string]reportedTime{},
	}
}

// AddOutcomes adds the counts of an entry instance to the failure rates of backend servers.
func (c *ServiceController) AddOutcomes(_ time.Time, _ string, outcomes []control.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range outcomes {
		o := &outcomes[i]
		if o.Service == "" || o.Requests <= 0 {
			continue
		}
		if c.servers[o.Service] == nil {
			if len(c.servers) >= maxServices {
				clear(c.servers)
			}
			c.servers[o.Service] = serverRates{}
		}
		c.servers[o.Service].add(o)
	}
}

// maxServices bounds the number of services whose backend servers are tracked.
const maxServices = 1024

// AddSuspects implements controlsvc.OutcomeSink. It does nothing, because reports of suspect backend servers say nothing
// about their software.
func (c *ServiceController) AddSuspects(time.Time, string, []control.SuspectReport) {}

// PutRolloutSamples replaces the totals that a boot of an entry instance has reported. Those of boots that have ended stay until
// their roll-outs end.
func (c *ServiceController) PutRolloutSamples(instance, boot string, samples []control.RolloutSample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(samples) == 0 {
		return
	}
	if len(c.samples) >= maxReporters && c.samples[reporter{instance, boot}] == nil {
		c.log.Warn("rollout_samples_dropped", "instance", instance, "limit", maxReporters)
		return
	}
	c.samples[reporter{instance, boot}] = samples
}

// maxReporters bounds the number of boots of entry instances whose totals are kept.
const maxReporters = 4096

// sumSamples returns the totals of a roll-out over all entry instances, and the result of serverRates.soundFraction.
func (c *ServiceController) sumSamples(r control.ServiceRollout) (totals map[sampleKey]control.RolloutSample, soundFraction float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	totals = map[sampleKey]control.RolloutSample{}
	for _, samples := range c.samples {
		for _, s := range samples {
			if s.Service != r.Service || s.Order != r.Order {
				continue
			}
			key := sampleKey{stratum: stratum{route: s.Route, model: s.Model}, isNew: s.New}
			total := totals[key]
			total.Requests += s.Requests
			total.Failures += s.Failures
			total.Prompt += s.Prompt
			total.Overdue += s.Overdue
			addTimes(&total.First, s.First)
			addTimes(&total.Interval, s.Interval)
			totals[key] = total
		}
	}
	return totals, c.servers[r.Service].soundFraction(r.To)
}

func addTimes(sum *control.LogTimes, t control.LogTimes) {
	sum.Count += t.Count
	sum.Sum += t.Sum
	sum.Squares += t.Squares
}

// dropEndedSamples forgets the totals of roll-outs that no longer run.
func (c *ServiceController) dropEndedSamples(running map[string]*serviceTrial) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for from, samples := range c.samples {
		ended := !slices.ContainsFunc(samples, func(s control.RolloutSample) bool {
			trial := running[s.Service]
			return trial != nil && trial.number <= s.Order
		})
		if ended {
			delete(c.samples, from)
		}
	}
}

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
	clear(c.servers)
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
				trials[service] = newServiceTrial(r, time.Now())
			}
			c.advance(ctx, r, trials[service], time.Now())
		}
		c.dropEndedSamples(trials)
	}
}

// serviceTrial is a running roll-out as observed by this leader.
type serviceTrial struct {
	number uint64
	// seenAt is when this leader first saw the roll-out. elapsedBefore is how long the roll-out had run by then, according
	// to its record.
	elapsedBefore time.Duration
	seenAt        time.Time
	evidence      *serviceEvidence
}

func newServiceTrial(r control.ServiceRollout, now time.Time) *serviceTrial {
	return &serviceTrial{
		number: r.Order, seenAt: now, elapsedBefore: time.Duration(r.ElapsedMillis) * time.Millisecond, evidence: newServiceEvidence(),
	}
}

// advance computes the progress of a running roll-out. It records the progress if the state or the split has changed, or
// if recordInterval has passed since the last record.
func (c *ServiceController) advance(ctx context.Context, r control.ServiceRollout, t *serviceTrial, now time.Time) {
	t.evidence.update(c.sumSamples(r))
	current := t.evidence.assess()
	next := nextProgress(r, c.exposure, c.elapsed(r, t, now), current)
	if next.State == control.RolloutRolledBack && current.fault == "" && now.Sub(t.seenAt) < minObservation {
		// A new leader has no counts yet, so too few requests don't end the roll-out until it has observed it for a while.
		next.State, next.Reason = control.RolloutRunning, r.Reason
	}
	changed := next.State != r.State || next.Percent != r.Percent || next.Settled != r.Settled
	if !changed && next.ElapsedMillis-r.ElapsedMillis < recordInterval.Milliseconds() {
		return
	}
	c.logEvidence(&next, t.evidence, current)
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	command := &controlstate.Command{AdvanceServiceRollout: &controlstate.AdvanceServiceRollout{Progress: next}}
	if _, err := c.proposer.ProposeCommand(ctx, command); err != nil {
		c.log.Warn("service_rollout_not_recorded", "service", r.Service, "to", r.To, "error", err)
		return
	}
	if !changed {
		return
	}
	c.log.Info("service_rollout", "service", r.Service, "to", r.To, "order", r.Order, "state", next.State, "percent", next.Percent,
		"settled", next.Settled, "elapsed_millis", next.ElapsedMillis, "served", current.served, "reason", next.Reason)
	c.recorder.Record(event.Event{Kind: EventRollout, Reason: next.Reason, Detail: map[string]string{
		"service": r.Service, "to": r.To, "state": string(next.State), "percent": strconv.Itoa(next.Percent),
	}})
}

// logEvidence logs what the decisions on a roll-out are based on: log likelihood ratios of failures and overdue answers, and the
// ratios of times, new version to old.
func (c *ServiceController) logEvidence(r *control.ServiceRollout, e *serviceEvidence, a assessment) {
	first, interval := compareTimes(selectTimes(e.first, "")), compareTimes(selectTimes(e.interval, ""))
	c.log.Info("service_rollout_compared", "service", r.Service, "to", r.To, "order", r.Order, "elapsed_millis", r.ElapsedMillis, "percent", r.Percent,
		"served", e.served, "failed", e.failed, "old_sound_fraction", e.failures.baseFactor, "failure_evidence", e.failures.overall, "overdue_evidence", e.overdue.overall,
		"first_times", int(first.count), "first_ratio", math.Exp(first.mean), "first_std_error", first.stdError,
		"intervals", int(interval.count), "interval_ratio", math.Exp(interval.mean), "interval_std_error", interval.stdError,
		"accepted", a.accepted, "fault", a.fault, "missing", a.missing)
	for route, old := range e.failures.oldRates {
		c.log.Info("service_rollout_route_compared", "service", r.Service, "order", r.Order, "route", route, "old_failure_rate", old.mean(),
			"failure_evidence", e.failures.ratios[route], "overdue_evidence", e.overdue.ratios[route],
			"first_ratio", math.Exp(compareTimes(selectTimes(e.first, route)).mean), "interval_ratio", math.Exp(compareTimes(selectTimes(e.interval, route)).mean))
	}
}
