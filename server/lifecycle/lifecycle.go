// Package lifecycle owns the phase of each backend server at the control leader: cold, ramping, in service, leaving,
// empty, gone and suspect. It decides from announcements, operator orders and what entry instances report.
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

// EventPhase is the kind of the time line events of this package. Detail holds from, to, boot and limit.
const EventPhase event.Kind = "backend_server_phase"

const (
	// tickInterval bounds the delay of a transition.
	tickInterval = 250 * time.Millisecond
	// proposeTimeout bounds the commit of one phase; the next tick proposes again.
	proposeTimeout = 2 * time.Second
	// proposals bounds the commands in flight, so that the start of a whole fleet shares the group commits of the log.
	proposals = 32

	// rampCompletions and rampTime must both be reached at a limit before it doubles.
	rampCompletions = 8
	rampTime        = 5 * time.Second

	// confirmAfter is when each entry instance has an order or has stopped: it stops 6 s after its view was last current.
	// The further 2 s cover attempts that were decided just before and not yet connected.
	confirmAfter = 8 * time.Second

	// flapBoots in flapWindow keep a server from service for flapHold, doubled with each further boot up to maxFlapHold.
	flapBoots   = 3
	flapWindow  = 10 * time.Minute
	flapHold    = 30 * time.Second
	maxFlapHold = 15 * time.Minute

	// goneRetention is how long the phase of a silent server stays recorded: a server that comes back with the same boot
	// number, for instance after a network partition, is still warm.
	goneRetention = 10 * time.Minute
)

// phaseAnnounced is the state before the first decision; it appears in events only.
const phaseAnnounced control.Phase = "announced"

// Table is the fleet table (fleet.Table).
type Table interface {
	Snapshot(now time.Time) *blackboard.Fleet
	SetPhase(now time.Time, id, boot string, phase control.Phase, limit int, reason string)
}

// State reads the replicated state.
type State interface {
	View() *control.View
	// Phase returns the recorded phase of a backend server; false when none is recorded.
	Phase(server string) (boot string, phase control.Phase, limit int, ok bool)
	// RecordedServers lists the backend servers that have a recorded phase other than gone.
	RecordedServers() []string
}

// Proposer commits commands.
type Proposer interface {
	ProposeCommand(ctx context.Context, c *controlstate.Command) (any, error)
}

// Controller decides the phases. It is safe for concurrent use.
type Controller struct {
	table    Table
	state    State
	proposer Proposer
	recorder event.Recorder
	log      *slog.Logger

	mu      sync.Mutex // guards the fields below
	servers map[string]*server
	fleet   *blackboard.Fleet
	latency map[latencyKey]*latencies
	doubts  map[string]map[string]time.Time
}

// server is what the controller knows of one backend server.
type server struct {
	id, zone, boot string
	inForce        decision
	// recorded and recordedBoot are what the replicated state holds.
	recorded     control.Phase
	recordedBoot string
	goneSince    time.Time

	limitSince time.Time
	completed  int
	boots      []time.Time
	heldUntil  time.Time
	outSince   time.Time
	doubt
}

// decision is a phase with the limit of running requests (0: none) and its reason.
type decision struct {
	phase  control.Phase
	limit  int
	reason string
}

// New returns the controller. It does nothing until Run.
func New(table Table, state State, proposer Proposer, recorder event.Recorder, log *slog.Logger) *Controller {
	c := &Controller{table: table, state: state, proposer: proposer, recorder: recorder, log: log}
	c.Reset(time.Time{})
	return c
}

// Run decides until ctx ends. It starts from the recorded phases only.
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

// Reset forgets what a former leadership knew and takes note of the servers with a recorded phase.
func (c *Controller) Reset(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = map[string]*server{}
	c.fleet = &blackboard.Fleet{}
	c.latency = map[latencyKey]*latencies{}
	c.doubts = map[string]map[string]time.Time{}
	if now.IsZero() {
		return
	}
	for _, id := range c.state.RecordedServers() {
		s := &server{id: id, goneSince: now, inForce: decision{phase: control.PhaseGone}}
		s.recordedBoot, s.recorded, _, _ = c.state.Phase(id)
		s.boot = s.recordedBoot
		c.servers[id] = s
	}
}

// Tick makes each transition that is due.
func (c *Controller) Tick(ctx context.Context, now time.Time) {
	fleet := c.table.Snapshot(now)
	view := c.state.View()
	c.mu.Lock()
	c.fleet = fleet
	var pending []record
	for id, row := range fleet.Servers {
		if row.StatesCold {
			continue
		}
		s := c.observe(now, id, row)
		want := s.decide(now, fleet.ReceivedAt.Add(-row.LoadAge), row, view)
		if s.mayApply(want) {
			c.apply(now, s, want)
		}
		c.restore(now, s, row)
		if r, ok := s.unrecorded(want); ok {
			pending = append(pending, r)
		}
	}
	pending = append(pending, c.missing(now, fleet)...)
	c.mu.Unlock()
	c.commit(ctx, now, pending)
}

// missing marks servers that fell out of the table as gone and returns those whose record is due to end.
func (c *Controller) missing(now time.Time, fleet *blackboard.Fleet) []record {
	var out []record
	for id, s := range c.servers {
		if fleet.Servers[id] != nil {
			continue
		}
		if s.inForce.phase != control.PhaseGone {
			s.goneSince = now
			c.apply(now, s, decision{phase: control.PhaseGone, reason: "no announcement for 8 s"})
		}
		switch {
		case now.Sub(s.goneSince) < goneRetention:
		case s.recordedBoot == "":
			delete(c.servers, id)
		default:
			out = append(out, record{id: id, boot: s.recordedBoot, want: decision{phase: control.PhaseGone, reason: "silent for 10 min"}})
		}
	}
	return out
}

// restore repeats a phase that the table lost because the row expired and came back between two ticks.
func (c *Controller) restore(now time.Time, s *server, row *control.BackendServer) {
	d := s.inForce
	if d.phase != phaseAnnounced && (row.Phase != d.phase || row.Limit != d.limit) {
		c.table.SetPhase(now, s.id, s.boot, d.phase, d.limit, d.reason)
	}
}

// apply puts a decision in force. The caller holds c.mu.
func (c *Controller) apply(now time.Time, s *server, want decision) {
	from := s.inForce
	if from == want {
		return
	}
	s.enter(now, from, want)
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

// InService reports whether the backend server is warm and in service.
func (c *Controller) InService(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id]
	return s != nil && s.inForce.phase == control.PhaseInService
}
