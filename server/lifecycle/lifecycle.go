// Package lifecycle decides the phase of each backend server at the control leader: cold, ramping, in service, leaving,
// empty, gone or suspect. Its inputs are announcements, operator orders and the reports of entry instances.
package lifecycle

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/blackboard"
	"clementinetray/server/controlstate"
)

// Error is the class of all errors of this package.
var Error = errs.Class("lifecycle")

// EventPhase is the kind of the timeline events of this package. Their Detail has the keys from, to, boot and limit.
const EventPhase event.Kind = "backend_server_phase"

const (
	// tickInterval is the time between two ticks. A transition is delayed by at most this time.
	tickInterval = 250 * time.Millisecond
	// proposeTimeout bounds the commits of one tick. The next tick proposes failed ones again.
	proposeTimeout = 2 * time.Second
	// maxProposals is the greatest number of commands in flight. Commands are proposed concurrently, so that several share
	// one commit of the log when a whole fleet starts.
	maxProposals = 32

	// A limit doubles when it has been in force for rampTime and the server has completed rampCompletions requests since.
	rampCompletions = 8
	rampTime        = 5 * time.Second

	// orderPropagationTime is the time after which each entry instance has either received an order or refuses requests,
	// which it does when its view is older than 6 s. The other 2 s are for requests that were routed before that time but
	// had no connection yet.
	orderPropagationTime = 8 * time.Second

	// A server that boots flapBoots times within flapWindow is kept out of service for flapHold. That time doubles with
	// each further boot, up to maxFlapHold.
	flapBoots   = 3
	flapWindow  = 10 * time.Minute
	flapHold    = 30 * time.Second
	maxFlapHold = 15 * time.Minute

	// goneRetention is how long the recorded phase of a server without announcements is kept. A server that returns with
	// the same boot number, for instance after a network partition, is still warm and needs its recorded phase.
	goneRetention = 10 * time.Minute
)

// phaseAnnounced is the state before the first decision. It appears only in events.
const phaseAnnounced control.Phase = "announced"

// Table is the table of backend servers, implemented by fleet.Table.
type Table interface {
	Snapshot(now time.Time) *blackboard.Fleet
	SetPhase(now time.Time, id, boot string, phase control.Phase, limit int, reason string)
}

// State reads the replicated state of the control group.
type State interface {
	View() *control.View
	// Phase returns the recorded boot number, phase and limit of a backend server; ok is false when none is recorded.
	Phase(server string) (boot string, phase control.Phase, limit int, ok bool)
	// RecordedServers lists the backend servers that have a recorded phase other than gone.
	RecordedServers() []string
}

// Proposer commits commands to the replicated log.
type Proposer interface {
	ProposeCommand(ctx context.Context, c *controlstate.Command) (any, error)
}

// Controller decides the phases of all backend servers. It is safe for concurrent use.
type Controller struct {
	table    Table
	state    State
	proposer Proposer
	recorder event.Recorder
	log      *slog.Logger

	mu            sync.Mutex // guards the fields below
	servers       map[string]*server
	fleet         *blackboard.Fleet
	poolLatencies map[latencyKey]*latencies
	// recentReports holds, by entry instance and backend server, the times of recent reports.
	recentReports map[string]map[string]time.Time
}

// server is the controller's state of one backend server.
type server struct {
	id, zone, boot string
	// current is the last applied decision.
	current decision
	// recordedPhase and recordedBoot are the phase and the boot number in the replicated state.
	recordedPhase control.Phase
	recordedBoot  string
	goneSince     time.Time

	// limitSince is the start of the current phase and limit. completions is the number of requests completed since then.
	limitSince  time.Time
	completions int
	// bootTimes are the times of the boots within flapWindow.
	bootTimes     []time.Time
	flapHoldUntil time.Time
	// outSince is the time since which the server must not get new work; zero while it may get some.
	outSince time.Time
	suspicion
}

// decision is a phase with its reason and the limit of running requests, 0 for no limit.
type decision struct {
	phase  control.Phase
	limit  int
	reason string
}

// New returns a controller. It decides nothing until Run or Tick is called.
func New(table Table, state State, proposer Proposer, recorder event.Recorder, log *slog.Logger) *Controller {
	c := &Controller{table: table, state: state, proposer: proposer, recorder: recorder, log: log}
	c.Reset(time.Time{})
	return c
}

// Run calls Tick once per tickInterval until ctx ends. It first resets the controller to the recorded phases.
func (c *Controller) Run(ctx context.Context, _ uint64) error {
	c.Reset(time.Now())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.Tick(ctx, time.Now())
		}
	}
}

// Reset discards the state of an earlier leadership. Unless now is zero, it adds each server with a recorded phase; such
// a server counts as gone until it announces itself.
func (c *Controller) Reset(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = map[string]*server{}
	c.fleet = &blackboard.Fleet{}
	c.poolLatencies = map[latencyKey]*latencies{}
	c.recentReports = map[string]map[string]time.Time{}
	if now.IsZero() {
		return
	}
	for _, id := range c.state.RecordedServers() {
		s := &server{id: id, goneSince: now, current: decision{phase: control.PhaseGone}}
		s.recordedBoot, s.recordedPhase, _, _ = c.state.Phase(id)
		s.boot = s.recordedBoot
		c.servers[id] = s
	}
}

// Tick decides the phase of each backend server, applies the transitions that are due and commits their records.
func (c *Controller) Tick(ctx context.Context, now time.Time) {
	fleet := c.table.Snapshot(now)
	view := c.state.View()
	c.mu.Lock()
	c.fleet = fleet
	var pending []phaseRecord
	for id, row := range fleet.Servers {
		if row.StatesCold {
			continue
		}
		s := c.updateServer(now, id, row)
		want := s.decidePhase(now, fleet.ReceivedAt.Add(-row.LoadAge), row, view)
		if s.mayApplyBeforeRecord(want) {
			c.applyDecision(now, s, want)
		}
		c.restorePhase(now, s, row)
		if r, ok := s.missingRecord(want); ok {
			pending = append(pending, r)
		}
	}
	pending = append(pending, c.markMissing(now, fleet)...)
	c.mu.Unlock()
	c.commitRecords(ctx, now, pending)
}

// markMissing marks servers that are no longer in the table as gone. It returns a record to commit for each server that
// has been gone for goneRetention, so that the recorded phase becomes gone too.
func (c *Controller) markMissing(now time.Time, fleet *blackboard.Fleet) []phaseRecord {
	var out []phaseRecord
	for id, s := range c.servers {
		if fleet.Servers[id] != nil {
			continue
		}
		if s.current.phase != control.PhaseGone {
			s.goneSince = now
			c.applyDecision(now, s, decision{phase: control.PhaseGone, reason: "no announcement for 8 s"})
		}
		switch {
		case now.Sub(s.goneSince) < goneRetention:
		case s.recordedBoot == "":
			delete(c.servers, id)
		default:
			out = append(out, phaseRecord{id: id, boot: s.recordedBoot, decision: decision{phase: control.PhaseGone, reason: "silent for 10 min"}})
		}
	}
	return out
}

// restorePhase sets the phase in the table again if the table has another one. This happens when a row expires and the
// server announces itself again between two ticks: the new row starts as cold.
func (c *Controller) restorePhase(now time.Time, s *server, row *control.BackendServer) {
	d := s.current
	if d.phase != phaseAnnounced && (row.Phase != d.phase || row.Limit != d.limit) {
		c.table.SetPhase(now, s.id, s.boot, d.phase, d.limit, d.reason)
	}
}

// applyDecision makes a decision the current one, updates the table and records an event. The caller holds c.mu.
func (c *Controller) applyDecision(now time.Time, s *server, want decision) {
	from := s.current
	if from == want {
		return
	}
	s.setCurrent(now, from, want)
	if want.phase != control.PhaseGone {
		c.table.SetPhase(now, s.id, s.boot, want.phase, want.limit, want.reason)
	}
	if from.phase == want.phase && from.limit == want.limit {
		return
	}
	c.recorder.Record(event.Event{
		Kind: EventPhase, BackendServer: s.id, AvailabilityZone: s.zone, Reason: want.reason,
		Detail: map[string]string{
			"from": string(from.phase), "to": string(want.phase), "boot": s.boot, "limit": strconv.Itoa(want.limit),
		},
	})
	c.log.Info("backend server phase changed", "server", s.id, "zone", s.zone, "boot", s.boot,
		"from", from.phase, "to", want.phase, "limit", want.limit, "reason", want.reason)
}

// InService reports whether the phase of the backend server is in service.
func (c *Controller) InService(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id]
	return s != nil && s.current.phase == control.PhaseInService
}
