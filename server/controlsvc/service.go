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
	"clementinetray/server/callerconn"
	"clementinetray/server/controlclient"
	"clementinetray/server/controlstate"
	"clementinetray/server/fleet"
	"clementinetray/server/jsonbound"
	"clementinetray/server/replica"
)

const (
	// proposeTimeout bounds the wait for a commit. The outcome is unknown when the time is over.
	proposeTimeout = 3 * time.Second
	// followerCopyInterval is the time between two calls in which a follower copies the fleet table and the ratings of the
	// leader.
	followerCopyInterval = 250 * time.Millisecond
	// sweepInterval is the time between two checks of the leader for entry instances without heartbeats.
	sweepInterval = 500 * time.Millisecond
	// HeartbeatTimeout is the time without a heartbeat after which an entry instance counts as failed.
	HeartbeatTimeout = 5 * time.Second
	// leaderLease is the longest time since the last contact with a majority at which a leader still gives out slots and
	// grants. It is shorter than the 3 s that a new leader waits, so that two leaders never grant at the same time.
	leaderLease = 1500 * time.Millisecond
	// retryDelay is the delay before a failed leader controller runs again. A new leader that can't confirm the
	// committed state tries again after a tenth of this delay.
	retryDelay = time.Second
)

// unknownStateAge is the FreshAge in replies to Sync while the age of the state is unknown. It is far above every limit,
// and durations can be added to it without overflow.
const unknownStateAge = time.Duration(1 << 62)

// Caller calls RPC methods of other processes. peer.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Config holds the dependencies of a Service. All fields except OutcomeSinks, ServiceRollouts, Shares, LeaderControllers,
// ToleratedLosses, CheckWaiting and Now are required.
type Config struct {
	Log   replica.Log
	State *controlstate.State
	// JSONLimits bound the decoded form of an operator's request. Default unlimited.
	JSONLimits jsonbound.Limits
	// Proposer commits the commands of the service and of the leader controllers.
	Proposer          Proposer
	Allocator         Allocator
	FleetTable        FleetTable
	ServerRecorder    ServerRecorder
	Ratings           RatingTable
	OutcomeSinks      []OutcomeSink
	ServiceRollouts   ServiceRolloutSink
	Shares            ShareAggregator
	LeaderControllers []LeaderController
	Recorder          event.Recorder
	Clock             *event.Clock
	// Peers calls the other control replicas and the entry instances.
	Peers    Caller
	Identity controlclient.Identity
	// PeerAddress is the address at which other processes call this one.
	PeerAddress string
	// ToleratedLosses is the number of data folders that can be lost at once without losing a confirmed change.
	ToleratedLosses int
	// CheckWaiting returns an error if the caller of an operator's request with this context has given it up, or may have done so.
	// Default callerconn.CheckWaiting.
	CheckWaiting func(context.Context) error
	Logger       *slog.Logger
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

// Service implements the RPC methods that control.Client calls and the operator API (OperatorHandler). It must be
// registered for net/rpc as "Control". Both work only while Run is active.
type Service struct {
	Config
	batcher     *batcher
	members     *memberTable
	limitSource *limitSource
	router      http.Handler

	// readyTerm is the term for which this leader has applied all committed state and reset its soft state. It is 0 on a
	// follower, and on a leader that has not done so yet.
	readyTerm atomic.Uint64
}

// New returns a service; Run starts it.
func New(c Config) *Service {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.CheckWaiting == nil {
		c.CheckWaiting = callerconn.CheckWaiting
	}
	s := &Service{Config: c, members: newMemberTable()}
	s.batcher = newBatcher(c.Proposer)
	s.limitSource = &limitSource{state: c.State, table: c.FleetTable, now: c.Now}
	s.router = s.newRouter()
	return s
}

// LogProposer is a Proposer that appends commands to a replicated log.
type LogProposer struct {
	log replica.Log
	now func() time.Time
}

// NewProposer returns the Proposer that the service and the leader controllers share.
func NewProposer(log replica.Log) *LogProposer { return &LogProposer{log: log, now: time.Now} }

// ProposeCommand commits the command and returns its result. A command without a time gets the wall clock time. A result
// of type error is returned as the error. ProposeCommand waits for 3 s at most, or until the deadline of ctx if that is
// earlier. The outcome is unknown if the wait ends without a result.
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
	if resultErr, ok := result.(error); ok {
		return nil, resultErr
	}
	return result, nil
}

// Run does the work of a leader or of a follower, whichever this replica is according to the log, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l, changed := s.Log.LeadershipChanged()
		if l.Leader {
			s.runAsLeader(ctx, l)
		} else {
			s.runAsFollower(ctx, l, changed)
		}
	}
	return nil
}

// runAsLeader resets the soft state and runs the leader controllers until leadership of the term ends.
func (s *Service) runAsLeader(ctx context.Context, l replica.Leadership) {
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		s.awaitTermEnd(termCtx, l.Term)
	}()
	if err := s.Log.ReadIndex(termCtx); err != nil {
		s.Logger.Warn("new leader can't confirm the committed state yet", "term", l.Term, "error", err)
		sleep(termCtx, retryDelay/10)
		return
	}
	now := s.Now()
	s.Allocator.Reset(now)
	s.members.reset()
	if s.Shares != nil {
		s.Shares.Reset(now, s.FleetTable.Snapshot(now).Members)
	}
	s.FleetTable.Reset(now, fleet.Epoch(l.Term))
	recorded := s.State.Servers()
	changed := s.FleetTable.AddRecordedServers(now, recorded)
	s.Logger.Info("fleet_seeded", "recorded", len(recorded), "changed", changed)
	s.readyTerm.Store(l.Term)
	s.Logger.Info("leadership gained", "term", l.Term, "revision", s.State.View().Revision)
	s.Recorder.Record(event.Event{Kind: "leadership_gained", Detail: map[string]string{"term": fmt.Sprint(l.Term)}})

	var running sync.WaitGroup
	for _, c := range s.LeaderControllers {
		running.Go(func() { s.runController(termCtx, c, l.Term) })
	}
	running.Go(func() { s.runSweeps(termCtx) })
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
		sleep(ctx, retryDelay)
	}
}

// runAsFollower copies the fleet table and the ratings from the leader until leadership changes.
func (s *Service) runAsFollower(ctx context.Context, l replica.Leadership, changed <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}()
	ticker := time.NewTicker(followerCopyInterval)
	defer ticker.Stop()
	versions := copiedVersions{}
	for {
		if l.LeaderAddress != "" && l.LeaderAddress != s.PeerAddress {
			versions = s.copyFromLeader(ctx, l.LeaderAddress, versions)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// copiedVersions identifies the leader's soft state that this follower has copied.
type copiedVersions struct {
	fleetEpoch     string
	fleetVersion   uint64
	ratingsVersion uint64
}

// copyFromLeader copies what has changed at the leader since the given versions and returns the new versions. If the call
// fails, it returns the given versions.
func (s *Service) copyFromLeader(ctx context.Context, leader string, versions copiedVersions) copiedVersions {
	in := &control.SyncRequest{
		Meta: s.newMeta(), Revision: ^uint64(0), FleetEpoch: versions.fleetEpoch, FleetVersion: versions.fleetVersion,
		RatingsVersion: versions.ratingsVersion,
	}
	out := &control.SyncReply{}
	callCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := s.Peers.Call(callCtx, leader, "Control.Sync", in, out); err != nil {
		if ctx.Err() == nil {
			s.Logger.Warn("can't copy the fleet table from the leader", "leader", leader, "error", err)
		}
		return versions
	}
	s.Clock.Observe(out.Stamp)
	if ctx.Err() != nil {
		return versions
	}
	s.FleetTable.LoadDelta(s.Now(), out.Fleet)
	versions.fleetEpoch, versions.fleetVersion = out.Fleet.Epoch, out.Fleet.Version
	if out.Ratings != nil {
		s.Ratings.Load(out.Ratings)
		versions.ratingsVersion = out.Ratings.Version
	}
	return versions
}

func (s *Service) newMeta() control.Meta {
	return control.Meta{Stamp: s.Clock.Now(), Instance: s.Identity.Instance, Boot: s.Identity.Boot}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
