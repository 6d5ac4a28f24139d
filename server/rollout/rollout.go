// Package rollout moves models and services to a new version in steps, at the control leader, and rolls back when the
// new version does worse than the old one.
package rollout

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/controlstate"
)

// Error is the class of all errors of this package.
var Error = errs.Class("rollout")

// EventRollout is the kind of this package's events in the timeline. For a model, Detail holds state, step, percent and
// from; for a service, it holds service, to, state and percent.
const EventRollout event.Kind = "rollout"

const (
	tickInterval   = time.Second
	proposeTimeout = 2 * time.Second
	// author is recorded as the author of the commands of the controller.
	author = "rollout controller"

	// maxVersions bounds the number of versions whose outcomes are kept.
	maxVersions = 256
	// maxCrashes bounds the number of (backend server, boot) pairs that are kept so that each crash is counted once.
	maxCrashes = 4096
)

// The tests for errors detect a failure rate 5 percentage points above that of the old version. The share of slow first
// tokens also depends on how warm and how large the pool of the new version is, so only a difference of 20 points is
// detected. There are many tests of single workspaces, so each has a tenth of the probability of a false alarm.
var (
	errorTestPlan      = Plan{Alpha: 0.001, Beta: 0.01, Difference: 0.05}
	slowPlan           = Plan{Alpha: 0.001, Beta: 0.01, Difference: 0.20}
	workspaceErrorPlan = Plan{Alpha: 0.0001, Beta: 0.01, Difference: 0.05}
	workspaceSlowPlan  = Plan{Alpha: 0.0001, Beta: 0.01, Difference: 0.20}
)

// State reads the replicated state.
type State interface{ View() *control.View }

// Proposer commits commands.
type Proposer interface {
	ProposeCommand(ctx context.Context, c *controlstate.Command) (any, error)
}

// Servers reports whether a backend server is in service, and so warm. lifecycle.Controller implements it.
type Servers interface{ InService(id string) bool }

// Controller runs the roll-outs of models. It is safe for concurrent use.
type Controller struct {
	state    State
	proposer Proposer
	servers  Servers
	recorder event.Recorder
	log      *slog.Logger
	wake     chan struct{}

	mu             sync.Mutex // guards the fields below
	versions       map[catalogue.VersionRef]*versionStats
	trials         map[string]*trial
	countedCrashes map[crashKey]bool
}

type crashKey struct{ server, boot string }

// trial is the evidence on the roll-out of one model since this leader took over.
type trial struct {
	from, to catalogue.VersionRef
	// slow compares first tokens and pace the time between the events of streams.
	errors, slow, pace, ratings comparison
	// step is the current step, which began at since according to its record. This leader first saw the step at seenAt.
	// reasonChanged is when the reason was last changed without a new step.
	step          int
	since         time.Time
	seenAt        time.Time
	reasonChanged time.Time
	// requestCount and ratingCount are the numbers of requests on the new version and of their ratings in the step.
	requestCount int
	ratingCount  int
	// maxRatedShare is the largest value in the step of the share of requests on the old version that have a rating.
	maxRatedShare float64
}

// New returns the controller. It does nothing until Run is called. servers may be nil; slow answers of cold servers then
// count too.
func New(state State, proposer Proposer, servers Servers, recorder event.Recorder, log *slog.Logger) *Controller {
	c := &Controller{
		state: state, proposer: proposer, servers: servers, recorder: recorder, log: log,
		wake: make(chan struct{}, 1),
	}
	c.Reset()
	return c
}

// Reset drops the evidence of an earlier leadership. The steps and their start times are in the replicated state.
func (c *Controller) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions = map[catalogue.VersionRef]*versionStats{}
	c.trials = map[string]*trial{}
	c.countedCrashes = map[crashKey]bool{}
}

// Run advances the roll-outs until ctx ends: at once after an alarm, otherwise every second.
func (c *Controller) Run(ctx context.Context, _ uint64) error {
	c.Reset()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-c.wake:
		}
		c.Tick(ctx, time.Now())
	}
}

// Tick proposes the progress of each roll-out that has to change.
func (c *Controller) Tick(ctx context.Context, now time.Time) {
	view := c.state.View()
	if view == nil || view.Catalogue == nil {
		return
	}
	for i := range view.Catalogue.Rollouts {
		r := view.Catalogue.Rollouts[i].WithDefaults()
		var current *control.RolloutProgress
		if view.Rollouts != nil {
			if p, ok := view.Rollouts.Progress[r.Model]; ok && p.From == r.From && p.To == r.To {
				current = &p
			}
		}
		if next, ok := c.planProgress(now, view.Catalogue, r, current); ok {
			if c.propose(ctx, now, currentProgress(view, r.Model), next) {
				c.startEvidence(now, next)
			}
		}
	}
	c.dropStaleEvidence(view.Catalogue)
}

// currentProgress returns the progress that the replicated state holds for the model, or nil.
func currentProgress(view *control.View, model string) *control.RolloutProgress {
	if view.Rollouts != nil {
		if p, ok := view.Rollouts.Progress[model]; ok {
			return &p
		}
	}
	return nil
}

// startEvidence begins to collect evidence on a new step at once instead of at the next tick, so that an alarm in the
// first interval of the step counts.
func (c *Controller) startEvidence(now time.Time, p control.RolloutProgress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.State == control.RolloutRunning {
		c.updateTrial(now, &p)
	}
}

// propose commits next, provided that the recorded progress still equals expect. It reports whether next was recorded.
func (c *Controller) propose(ctx context.Context, now time.Time, expect *control.RolloutProgress, next control.RolloutProgress) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := c.proposer.ProposeCommand(ctx, &controlstate.Command{At: now, SetRollout: &controlstate.SetRollout{
		ChangeBase: control.ChangeBase{By: author}, Expect: expect, Progress: next,
	}})
	if err != nil {
		c.log.Warn("roll-out progress not recorded", "model", next.Model, "state", next.State, "step", next.Step, "error", err.Error())
		return false
	}
	if change, ok := result.(controlstate.ChangeResult); ok && change.Conflict != nil {
		c.log.Info("roll-out was changed concurrently", "model", next.Model, "state", next.State, "step", next.Step)
		return false
	}
	c.recorder.Record(event.Event{
		Kind: EventRollout, Version: next.Model + "@" + next.To, Reason: next.Reason,
		Detail: map[string]string{
			"state": string(next.State), "step": strconv.Itoa(next.Step), "percent": strconv.Itoa(next.Percent), "from": next.From,
		},
	})
	c.log.Info("roll-out changed", "model", next.Model, "from", next.From, "to", next.To, "state", next.State,
		"step", next.Step, "percent", next.Percent, "reason", next.Reason)
	return true
}

// dropStaleEvidence drops the evidence on roll-outs and versions that the catalogue no longer has.
func (c *Controller) dropStaleEvidence(cat *catalogue.Catalogue) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for model, t := range c.trials {
		if r := cat.FindRollout(model); r == nil || r.From != t.from.Version || r.To != t.to.Version {
			delete(c.trials, model)
		}
	}
	for ref := range c.versions {
		if cat.FindVersion(ref) == nil {
			delete(c.versions, ref)
		}
	}
}

// AddOutcomes counts finished attempts. It counts attempts on old versions first: a fault that began on both versions at
// once is then in the baseline before the new version is evaluated.
func (c *Controller) AddOutcomes(_ time.Time, _ string, outcomes []control.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, onNew := range []bool{false, true} {
		for i := range outcomes {
			o := &outcomes[i]
			t := c.trials[o.Model]
			isNew := t != nil && t.to == o.VersionRef
			// Ratings arrive after their requests, in outcomes of their own.
			if o.Requests <= 0 && o.Ratings <= 0 && o.Overdue <= 0 && o.Paced <= 0 || o.Model == "" || isNew != onNew {
				continue
			}
			c.addOutcome(o, t, isNew)
		}
	}
	alarm := false
	for _, t := range c.trials {
		alarm = t.evaluate(c.versions[t.from]) || alarm
	}
	if alarm {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
}

// AddSuspects implements controlsvc.OutcomeSink. It does nothing, because reports of suspect backend servers say nothing
// about model versions.
func (c *Controller) AddSuspects(time.Time, string, []control.SuspectReport) {}

// outcomeCounts holds the numbers of an outcome from which the failure rates are computed.
type outcomeCounts struct {
	requests, failed    int
	answered, slow      int
	paced, slowPaced    int
	ratings, lowRatings int
}

func (c *Controller) addOutcome(o *control.Outcome, t *trial, isNew bool) {
	v := c.statsFor(o.VersionRef)
	if v == nil {
		return
	}
	n := outcomeCounts{ratings: o.Ratings, lowRatings: min(o.LowRatings, o.Ratings)}
	n.requests, n.failed = c.countedRequests(o)
	if c.servers == nil || o.BackendServer == "" || c.servers.InService(o.BackendServer) {
		n.answered = o.Requests - o.Failures
		// A stream that its caller gave up without a token was slow, too.
		n.slow = min(o.Slow, n.answered) + o.Overdue
		n.answered += o.Overdue
		n.paced, n.slowPaced = o.Paced, min(o.SlowPaced, o.Paced)
	}
	v.errors.add(o.Workspace, n.requests, n.failed)
	v.slow.add(o.Workspace, n.answered, n.slow)
	v.pace.add(o.Workspace, n.paced, n.slowPaced)
	v.ratings.add(o.Workspace, n.ratings, n.lowRatings)
	v.addRatings(o)
	switch {
	case isNew:
		t.addNew(o.Workspace, n)
	case t != nil && t.from == o.VersionRef:
		t.errors.addOld(o.Workspace, n.requests, n.failed)
		t.slow.addOld(o.Workspace, n.answered, n.slow)
		t.pace.addOld(o.Workspace, n.paced, n.slowPaced)
		t.ratings.addOld(o.Workspace, n.ratings, n.lowRatings)
	}
}

func (t *trial) addNew(workspace string, n outcomeCounts) {
	t.requestCount += n.requests
	t.ratingCount += n.ratings
	t.errors.addNew(workspace, n.requests, n.failed)
	t.slow.addNew(workspace, n.answered, n.slow)
	t.pace.addNew(workspace, n.paced, n.slowPaced)
	t.ratings.addNew(workspace, n.ratings, n.lowRatings)
}

// evaluate ends an interval and reports whether the new version must be rolled back at once. An alarm for errors or slow
// answers stays set, so that a rollback is proposed again if it could not be committed for lack of a majority.
func (t *trial) evaluate(old *versionStats) bool {
	if old == nil {
		old = &versionStats{}
	}
	if !t.errors.alarmRaised {
		t.errors.evaluate(&old.errors)
	}
	if !t.slow.alarmRaised {
		t.slow.evaluate(&old.slow)
	}
	if !t.pace.alarmRaised {
		t.pace.evaluate(&old.pace)
	}
	t.ratings.evaluate(&old.ratings)
	old.monitorRatings(t.ratings.newSeemsWorse() || t.ratings.hasSuspiciousWorkspace())
	return t.errors.alarmRaised || t.slow.alarmRaised || t.pace.alarmRaised
}

// countedRequests returns the numbers of requests and failures to count. When a backend server crashes, all its
// attempts fail at once, so the crash of one boot counts as one failed request.
func (c *Controller) countedRequests(o *control.Outcome) (requests, failed int) {
	crashed := min(o.Crashed, o.Failures)
	requests, failed = o.Requests-crashed, o.Failures-crashed
	key := crashKey{o.BackendServer, o.Boot}
	if crashed == 0 || c.countedCrashes[key] {
		return requests, failed
	}
	if len(c.countedCrashes) >= maxCrashes {
		clear(c.countedCrashes)
	}
	c.countedCrashes[key] = true
	return requests + 1, failed + 1
}

func (c *Controller) statsFor(ref catalogue.VersionRef) *versionStats {
	v := c.versions[ref]
	if v == nil && len(c.versions) < maxVersions {
		v = &versionStats{}
		c.versions[ref] = v
	}
	return v
}
