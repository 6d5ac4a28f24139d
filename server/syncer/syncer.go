// Package syncer updates the blackboard of an entry instance from the control replicas and sends heartbeats to the leader.
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
	"clementinetray/server/fleet"
)

// Error is the class of all errors of this package.
var Error = errs.Class("syncer")

// Interval is the pause between two Sync calls while the view is current.
const Interval = 500 * time.Millisecond

// callTimeout bounds a Sync call, which may try all replicas, and a heartbeat. It is short enough for several calls within
// the age limit of the view.
const callTimeout = 2 * time.Second

// Replicas calls the control replicas. controlclient.Client implements it.
type Replicas interface {
	Sync(ctx context.Context, in *control.SyncRequest) (*control.SyncReply, error)
	// SkipReplica makes the next Sync start with another replica.
	SkipReplica()
}

// ApplyFleet returns the fleet table with the delta applied. It doesn't change old. now is the time of receipt.
type ApplyFleet func(old *blackboard.Fleet, d control.FleetDelta, now time.Time) *blackboard.Fleet

// Syncer is the only writer of the sections View, Fleet and FleetRatings of a blackboard.
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
	// stale is true if the view was missing or older than maxViewAge at the last check by updateStale.
	stale bool
	// parts holds the received parts of a delta of the fleet table.
	parts fleet.Assembly
	// staleChangedAt is the time when stale last changed.
	staleChangedAt time.Time
}

// New returns a syncer that writes to the board. A view older than maxViewAge is stale.
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
		s.SyncOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.nextPause()):
		}
	}
}

// staleInterval is the pause between two Sync calls while the view is missing or stale, and for fastSyncPeriod
// afterwards.
const staleInterval = 100 * time.Millisecond

// fastSyncPeriod is how long the syncer keeps the short pause after a stale view was confirmed. The fleet table changes fast
// then, because backend servers announce themselves to a new control leader about once a second.
const fastSyncPeriod = 3 * time.Second

// nextPause returns the pause before the next Sync call.
func (s *Syncer) nextPause() time.Duration {
	if s.parts.Incomplete() {
		return 0
	}
	if s.stale || time.Since(s.staleChangedAt) < fastSyncPeriod {
		return staleInterval
	}
	return Interval
}

// SyncOnce makes one Sync call and publishes the reply on the blackboard.
func (s *Syncer) SyncOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	current, table := s.board.View.Load(), s.board.Fleet.Load()
	request := &control.SyncRequest{Revision: viewRevision(current), FleetEpoch: table.Epoch, FleetVersion: table.Version}
	s.parts.Continue(request)
	if ratings := s.board.FleetRatings.Load(); ratings != nil {
		request.RatingsVersion = ratings.Version
	}
	sentAt, suspendedTime := time.Now(), clock.SuspendedTime()
	reply, err := s.replicas.Sync(ctx, request)
	if err != nil {
		s.logger.Warn("sync failed", "error", err, "view_age", current.Age(time.Now()))
		// The next part would be asked for without a pause.
		s.parts = fleet.Assembly{}
		s.updateStale()
		return
	}
	s.publishReply(sentAt, suspendedTime, current, reply)
	s.updateStale()
}

// publishReply writes the reply to the blackboard, unless its revision is older than that of the current view. sentAt and
// suspendedTime (a result of clock.SuspendedTime) are from before the call.
func (s *Syncer) publishReply(sentAt time.Time, suspendedTime time.Duration, current blackboard.View, reply *control.SyncReply) {
	if reply.Revision < viewRevision(current) {
		s.logger.Warn("sync reply has an older revision than the current view", "replica", reply.Instance, "revision", reply.Revision, "held", viewRevision(current))
		s.replicas.SkipReplica()
		s.parts = fleet.Assembly{}
		return
	}
	confirmed := sentAt.Add(-reply.FreshAge)
	if reply.FreshAge > s.maxViewAge/2 {
		s.replicas.SkipReplica()
	}
	// ConfirmedAt doesn't decrease unless the machine was suspended: the next view isn't older than this one, so at the
	// later time it was either current or not yet created.
	if confirmed.Before(current.ConfirmedAt) && suspendedTime-current.SuspendedTime < clock.MinSuspension {
		confirmed = current.ConfirmedAt
	}
	if current.View == nil {
		s.logger.Info("view_received", "replica", reply.Instance, "revision", reply.Revision, "fresh", reply.FreshAge <= s.maxViewAge, "took", time.Since(sentAt))
	}
	next := mergeView(current.View, reply.View)
	if next != nil && next.Revision != viewRevision(current) {
		s.recorder.Record(event.Event{Kind: "view_in_force", Revision: next.Revision})
	}
	s.view.Publish(blackboard.View{View: next, ConfirmedAt: confirmed, SuspendedTime: suspendedTime, LeaderAddress: reply.Leader})
	now := time.Now()
	if delta, complete := s.parts.Add(reply.Fleet, now); complete {
		table := s.board.Fleet.Load()
		s.fleet.Publish(*s.applyFleet(&table, delta, now))
	}
	if ratings := s.board.FleetRatings.Load(); reply.Ratings != nil && (ratings == nil || reply.Ratings.Version > ratings.Version) {
		s.ratings.Publish(reply.Ratings)
	}
}

// updateStale updates stale and records an event when it changes.
func (s *Syncer) updateStale() {
	view := s.board.View.Load()
	age := view.Age(time.Now())
	stale := view.View == nil || age > s.maxViewAge
	if stale == s.stale {
		return
	}
	s.stale = stale
	kind := event.Kind("view_confirmed")
	s.staleChangedAt = time.Now()
	if stale {
		kind = "view_stale"
	}
	s.recorder.Record(event.Event{Kind: kind, Revision: viewRevision(view)})
	s.logger.Info(string(kind), "revision", viewRevision(view))
}

// viewRevision returns the revision of the view, 0 if it is missing.
func viewRevision(v blackboard.View) uint64 {
	if v.View == nil {
		return 0
	}
	return v.Revision
}

// mergeView returns a copy of current with the non-nil sections of changed, or current itself if changed is nil.
func mergeView(current, changed *control.View) *control.View {
	if changed == nil {
		return current
	}
	next := &control.View{}
	if current != nil {
		*next = *current
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
