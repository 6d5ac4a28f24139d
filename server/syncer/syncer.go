// Package syncer keeps an entry instance's blackboard up to date with the control group and reports back to it.
package syncer

import (
	"context"
	"log/slog"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/blackboard"
	"clementinetray/server/clock"
)

// Error is the class of all errors of this package.
var Error = errs.Class("syncer")

// Interval is the pause between two Sync calls.
const Interval = 500 * time.Millisecond

// callTimeout bounds one round over all replicas, so that several rounds fit into the age limit of the view.
const callTimeout = 2 * time.Second

// Replicas is the control group as the syncer uses it.
type Replicas interface {
	Sync(ctx context.Context, in *control.SyncRequest) (*control.SyncReply, error)
	// SkipReplica makes the next Sync ask another replica.
	SkipReplica()
}

// ApplyFleet merges a delta into an immutable fleet table.
type ApplyFleet func(old *blackboard.Fleet, d control.FleetDelta, now time.Time) *blackboard.Fleet

// Syncer is the only writer of the sections View and Fleet.
type Syncer struct {
	replicas   Replicas
	applyFleet ApplyFleet
	maxViewAge time.Duration
	recorder   event.Recorder
	logger     *slog.Logger
	board      *blackboard.Board
	view       *blackboard.Writer[blackboard.View]
	fleet      *blackboard.Writer[blackboard.Fleet]
	ratings    *blackboard.Writer[*control.RatingTable]
	stale      bool
	// confirmedAgain is when the view was last missing or too old, or was confirmed after that.
	confirmedAgain time.Time
}

// New returns a syncer that writes to the board.
func New(replicas Replicas, board *blackboard.Board, apply ApplyFleet, maxViewAge time.Duration, recorder event.Recorder, logger *slog.Logger) (*Syncer, error) {
	view, err := board.View.Writer()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	fleet, err := board.Fleet.Writer()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ratings, err := board.FleetRatings.Writer()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Syncer{
		replicas: replicas, applyFleet: apply, maxViewAge: maxViewAge, recorder: recorder, logger: logger,
		board: board, view: view, fleet: fleet, ratings: ratings,
	}, nil
}

// Run syncs until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	for {
		s.Once(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.pause()):
		}
	}
}

// staleInterval is the pause between two Sync calls while the view is missing or too old to decide from.
const staleInterval = 100 * time.Millisecond

// settleTime is how long the fleet table may change fast after the view was confirmed, as backend servers announce
// themselves to a new control leader about once a second.
const settleTime = 3 * time.Second

func (s *Syncer) pause() time.Duration {
	if s.stale || time.Since(s.confirmedAgain) < settleTime {
		return staleInterval
	}
	return Interval
}

// Once makes one Sync call and publishes what it brought.
func (s *Syncer) Once(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	held, fleet := s.board.View.Load(), s.board.Fleet.Load()
	request := &control.SyncRequest{Revision: revisionOf(held), FleetEpoch: fleet.Epoch, FleetVersion: fleet.Version}
	if table := s.board.FleetRatings.Load(); table != nil {
		request.RatingsVersion = table.Version
	}
	sent, asleep := time.Now(), clock.Asleep()
	reply, err := s.replicas.Sync(ctx, request)
	if err != nil {
		s.logger.Warn("sync failed", "error", err, "view_age", held.Age(time.Now()))
		s.noteAge()
		return
	}
	s.accept(sent, asleep, held, reply)
	s.noteAge()
}

// accept publishes the reply unless it is older than what is held.
func (s *Syncer) accept(sent time.Time, asleep time.Duration, held blackboard.View, reply *control.SyncReply) {
	if reply.Revision < revisionOf(held) {
		s.logger.Warn("sync reply is older than the held view", "replica", reply.Instance, "revision", reply.Revision, "held", revisionOf(held))
		s.replicas.SkipReplica()
		return
	}
	confirmed := sent.Add(-reply.FreshAge)
	if reply.FreshAge > s.maxViewAge/2 {
		s.replicas.SkipReplica()
	}
	// A view that was confirmed at a later time stays confirmed: its successor was current then or became so after.
	if confirmed.Before(held.ConfirmedAt) && asleep-held.Asleep < clock.Suspended {
		confirmed = held.ConfirmedAt
	}
	if held.View == nil {
		s.logger.Info("view_received", "replica", reply.Instance, "revision", reply.Revision, "fresh", reply.FreshAge <= s.maxViewAge, "took", time.Since(sent))
	}
	next := merge(held.View, reply.View)
	if next != nil && next.Revision != revisionOf(held) {
		s.recorder.Record(event.Event{Kind: "view_in_force", Revision: next.Revision})
	}
	s.view.Publish(blackboard.View{View: next, ConfirmedAt: confirmed, Asleep: asleep, Leader: reply.Leader})
	fleet := s.board.Fleet.Load()
	s.fleet.Publish(*s.applyFleet(&fleet, reply.Fleet, time.Now()))
	if held := s.board.FleetRatings.Load(); reply.Ratings != nil && (held == nil || reply.Ratings.Version > held.Version) {
		s.ratings.Publish(reply.Ratings)
	}
}

// noteAge records when the view passes its age limit and when it is confirmed again.
func (s *Syncer) noteAge() {
	view := s.board.View.Load()
	age := view.Age(time.Now())
	stale := view.View == nil || age > s.maxViewAge
	if stale == s.stale {
		return
	}
	s.stale = stale
	kind := event.Kind("view_confirmed")
	s.confirmedAgain = time.Now()
	if stale {
		kind = "view_stale"
	}
	s.recorder.Record(event.Event{Kind: kind, Revision: revisionOf(view)})
	s.logger.Info(string(kind), "revision", revisionOf(view))
}

func revisionOf(v blackboard.View) uint64 {
	if v.View == nil {
		return 0
	}
	return v.Revision
}

// merge returns held with each section that changed replaced. It returns held when nothing changed.
func merge(held, changed *control.View) *control.View {
	if changed == nil {
		return held
	}
	next := &control.View{}
	if held != nil {
		*next = *held
	}
	next.Revision, next.ConfigRevision = changed.Revision, changed.ConfigRevision
	if changed.Catalogue != nil {
		next.Catalogue = changed.Catalogue
	}
	if changed.Orders != nil {
		next.Orders = changed.Orders
	}
	if changed.Rollouts != nil {
		next.Rollouts = changed.Rollouts
	}
	if changed.Quarantine != nil {
		next.Quarantine = changed.Quarantine
	}
	return next
}
