package controlsvc

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/controlclient"
	"clementinetray/server/controlstate"
	"clementinetray/server/fleet"
	"clementinetray/server/replica"
)

const (
	// proposeTimeout bounds the wait for a commit; the outcome is unknown after it.
	proposeTimeout = 3 * time.Second
	// copyPeriod is the time between two copies of the fleet table on a follower.
	copyPeriod = 250 * time.Millisecond
	// sweepPeriod is the time between two looks for silent entry instances on the leader.
	sweepPeriod = 500 * time.Millisecond
	// SilenceLimit is how long an entry instance may be silent before it counts as gone.
	SilenceLimit = 5 * time.Second
	// grantLease bounds the age of the last majority contact of a leader that hands out slots and allotments. It is under
	// the 3 s that a new leader waits, so that two leaders never grant at the same time.
	grantLease = 1500 * time.Millisecond
	// restartPause is the pause before a leader controller that failed runs again.
	restartPause = time.Second
)

// unknownAge is the fresh age while no leader is known. It is far above any limit and leaves room for additions.
const unknownAge = time.Duration(1 << 62)

// Caller invokes methods of other processes (peer.Pool).
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Config holds what a Service needs. Every field but OutcomeSinks, RolloutTimes, LeaderControllers and Now is required.
type Config struct {
	Log   replica.Log
	State *controlstate.State
	// Proposer commits the service's commands. The leader controllers use the same one.
	Proposer          Proposer
	Allocator         Allocator
	FleetTable        FleetTable
	Ratings           RatingTable
	OutcomeSinks      []OutcomeSink
	RolloutTimes      RolloutTimeSink
	LeaderControllers []LeaderController
	Recorder          event.Recorder
	Clock             *event.Clock
	// Peers reaches the other control replicas and the entry instances.
	Peers    Caller
	Identity controlclient.Identity
	// PeerAddress is this process's own peer address, as the other replicas know it.
	PeerAddress string
	// ToleratedLosses is the number of data folders that may be lost at once without the loss of a confirmed change.
	ToleratedLosses int
	Logger          *slog.Logger
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

// Service serves entry instances by the methods of control.Client (register it as "Control") and operators by
// OperatorHandler. Run must be active for both.
type Service struct {
	Config
	batcher *batcher
	members *memberTable
	source  *limitSource
	router  http.Handler

	// readyTerm is the term whose soft state was reset and whose committed state is applied here; 0 on a follower.
	readyTerm atomic.Uint64
}

// New returns a service. It does no work before Run.
func New(c Config) *Service {
	if c.Now == nil {
		c.Now = time.Now
	}
	s := &Service{Config: c, members: newMemberTable()}
	s.batcher = newBatcher(c.Proposer)
	s.source = &limitSource{state: c.State, table: c.FleetTable, now: c.Now}
	s.router = s.newRouter()
	return s
}

// LogProposer is the Proposer over a replicated log.
type LogProposer struct {
	log replica.Log
	now func() time.Time
}

// NewProposer returns the Proposer that the service and the leader controllers share.
func NewProposer(log replica.Log) *LogProposer { return &LogProposer{log: log, now: time.Now} }

// ProposeCommand stamps the command with the wall clock unless it has a time, commits it and returns its result. A result that is an error is
// returned as the error. Without a deadline in ctx it waits 3 s at most.
func (p *LogProposer) ProposeCommand(ctx context.Context, c *controlstate.Command) (any, error) {
	stamped := *c
	if stamped.At.IsZero() {
		stamped.At = p.now()
	}
	data, err := stamped.Encode()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := p.log.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	if refused, ok := result.(error); ok {
		return nil, refused
	}
	return result, nil
}

// Run follows or leads until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l, changed := s.Log.LeadershipChanged()
		if l.Leader {
			s.lead(ctx, l)
		} else {
			s.follow(ctx, l, changed)
		}
	}
	return nil
}

// lead resets the soft state and runs the leader controllers until leadership of the term ends.
func (s *Service) lead(ctx context.Context, l replica.Leadership) {
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		s.awaitTermEnd(termCtx, l.Term)
	}()
	if err := s.Log.ReadIndex(termCtx); err != nil {
		s.Logger.Warn("the new leader can't confirm its state yet", "term", l.Term, "error", err)
		sleep(termCtx, restartPause/10)
		return
	}
	now := s.Now()
	s.Allocator.Reset(now)
	s.members.reset()
	s.FleetTable.Reset(now, fleet.Epoch(l.Term))
	s.readyTerm.Store(l.Term)
	s.Logger.Info("leadership gained", "term", l.Term, "revision", s.State.View().Revision)
	s.Recorder.Record(event.Event{Kind: "leadership_gained", Detail: map[string]string{"term": fmt.Sprint(l.Term)}})

	var running sync.WaitGroup
	for _, c := range s.LeaderControllers {
		running.Go(func() { s.runController(termCtx, c, l.Term) })
	}
	running.Go(func() { s.sweep(termCtx) })
	<-termCtx.Done()
	s.readyTerm.Store(0)
	running.Wait()
	s.Logger.Info("leadership ended", "term", l.Term)
	s.Recorder.Record(event.Event{Kind: "leadership_ended", Detail: map[string]string{"term": fmt.Sprint(l.Term)}})
}

func (s *Service) awaitTermEnd(ctx context.Context, term uint64) {
	for {
		l, changed := s.Log.LeadershipChanged()
		if !l.Leader || l.Term != term {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s *Service) runController(ctx context.Context, c LeaderController, term uint64) {
	for {
		err := c.Run(ctx, term)
		if err == nil || ctx.Err() != nil {
			return
		}
		s.Logger.Error("leader controller failed", "controller", fmt.Sprintf("%T", c), "term", term, "error", err)
		sleep(ctx, restartPause)
	}
}

// follow copies the fleet table from the leader until leadership changes.
func (s *Service) follow(ctx context.Context, l replica.Leadership, changed <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}()
	ticker := time.NewTicker(copyPeriod)
	defer ticker.Stop()
	position := position{}
	for {
		if l.LeaderAddress != "" && l.LeaderAddress != s.PeerAddress {
			position = s.copyFleet(ctx, l.LeaderAddress, position)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// position is what this follower holds of the leader's soft state.
type position struct {
	fleetEpoch     string
	fleetVersion   uint64
	ratingsVersion uint64
}

// copyFleet loads what changed at the leader and returns the position after it.
func (s *Service) copyFleet(ctx context.Context, leader string, position position) position {
	in := &control.SyncRequest{
		Meta: s.meta(), Revision: ^uint64(0), FleetEpoch: position.fleetEpoch, FleetVersion: position.fleetVersion,
		RatingsVersion: position.ratingsVersion,
	}
	out := &control.SyncReply{}
	callCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := s.Peers.Call(callCtx, leader, "Control.Sync", in, out); err != nil {
		if ctx.Err() == nil {
			s.Logger.Warn("the fleet table can't be copied", "leader", leader, "error", err)
		}
		return position
	}
	s.Clock.Observe(out.Stamp)
	if ctx.Err() != nil {
		return position
	}
	s.FleetTable.Load(s.Now(), out.Fleet)
	position.fleetEpoch, position.fleetVersion = out.Fleet.Epoch, out.Fleet.Version
	if out.Ratings != nil {
		s.Ratings.Load(out.Ratings)
		position.ratingsVersion = out.Ratings.Version
	}
	return position
}

func (s *Service) meta() control.Meta {
	return control.Meta{Stamp: s.Clock.Now(), Instance: s.Identity.Instance, Boot: s.Identity.Boot}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
