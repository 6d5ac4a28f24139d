package replica

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/event"
	"clementinetray/server/blackboard"
	"clementinetray/server/raft"
)

const (
	// taskQueueLength is the number of tasks (proposals, messages and others) that the queue of the raft loop holds.
	taskQueueLength = 4096
	// readRetryInterval is the pause before a failed read is tried again. A read fails, for example, without a leader.
	readRetryInterval = 50 * time.Millisecond
)

// Events that a replica records.
const (
	EventLeadershipGained  event.Kind = "replica_leads"
	EventLeadershipLost    event.Kind = "replica_lost_leadership"
	EventMembershipChanged event.Kind = "replica_membership_changed"
	EventTornTail          event.Kind = "replica_torn_tail_truncated"
	EventSnapshotSaved     event.Kind = "replica_snapshot_saved"
	EventSnapshotInstalled event.Kind = "replica_snapshot_installed"
	EventNewGeneration     event.Kind = "replica_new_generation"
	EventGroupBootstrapped event.Kind = "replica_group_bootstrapped"
	EventFailed            event.Kind = "replica_failed"
	EventDiskFull          event.Kind = "replica_disk_full"
)

// Replica is one member of the consensus group.
type Replica struct {
	cfg       Config
	nodeID    raft.NodeID
	freshness *freshness
	applier   *applier
	// startedAt is the time of the start of this replica, with a monotonic clock reading.
	startedAt time.Time

	tasks         chan func()
	appliedSignal chan struct{}
	stopping      chan struct{}
	stopOnce      sync.Once
	// done is closed when all goroutines have ended and the data folder is unlocked.
	done       chan struct{}
	goroutines sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc

	leadership       *blackboard.Section[Leadership]
	leadershipWriter *blackboard.Writer[Leadership]
	status           *blackboard.Section[Status]
	statusWriter     *blackboard.Writer[Status]

	errMu sync.Mutex // guards err
	err   error

	addressMu sync.Mutex // guards addresses
	addresses map[raft.NodeID]string

	incomingMu sync.Mutex // guards incoming
	incoming   *incomingSnapshot

	inboundMu sync.Mutex // guards inbound
	inbound   map[raft.NodeID]*inboundCalls

	streams streams

	// departing is set when a planned stop begins. From then on this replica does not ask to join.
	departing atomic.Bool

	// The fields below are used by the goroutine of the raft loop only.
	node    *raft.Node
	storage *storage
	links   map[raft.NodeID]*link
	// snapshotTransfers holds the snapshots that are being sent, by receiver.
	snapshotTransfers map[raft.NodeID]*snapshotTransfer
	// waiters holds the proposals that are not committed yet, by log index.
	waiters map[uint64]*waiter
	// pendingBytes is the size of the commands in waiters, in bytes.
	pendingBytes int
	// pendingReads holds the reads that wait for a confirmed commit index, by token.
	pendingReads  map[uint64]chan raft.ReadState
	lastReadToken uint64
	lastRound     uint64
	lastTick      time.Time
	silences      *silences
	// admissions holds the nodes that ask this leader to join and are not admitted yet.
	admissions map[raft.NodeID]*admission
	// joinRequests holds the requests of replicas that asked to join before the group was created, by replica id.
	joinRequests map[string]JoinArgs
	// Index and term of the last entry passed to the apply loop.
	deliveredIndex, deliveredTerm uint64
	// leaderTerm is the last term in which this replica committed an entry as the leader, and leaderTermCommit the commit
	// index after the first such commit.
	leaderTerm, leaderTermCommit uint64
	snapshotting                 bool
	snapshotBytes                int64
	// nextSnapshotAt is the earliest time of the next snapshot after one failed on a full disk.
	nextSnapshotAt time.Time
}

var _ Log = (*Replica)(nil)

// Start opens the data folder, registers the service "Raft" with cfg.Server and starts the replica. It returns
// wal.ErrLocked, wal.ErrNotWritable, wal.ErrCorrupt, ErrIdentity or ErrConfig when the replica can't run. The caller
// starts cfg.Server.
func Start(cfg Config) (*Replica, error) {
	cfg.setDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	storage, recovered, err := openStorage(cfg.FS, cfg.DataDir, cfg.ID)
	if err != nil {
		return nil, err
	}
	r, err := newReplica(cfg, storage, recovered)
	if err == nil {
		err = Error.Wrap(cfg.Server.Register(serviceName, &service{r}))
	}
	if err != nil {
		return nil, errs.Combine(err, storage.close())
	}
	r.logRecovery(recovered)
	go r.supervise()
	return r, nil
}

func newReplica(cfg Config, storage *storage, recovered recovery) (*Replica, error) {
	r := &Replica{
		cfg: cfg, nodeID: storage.identity.nodeID(), freshness: newFreshness(), applier: newApplier(cfg.StateMachine),
		startedAt: time.Now(), silences: newSilences(storage.identity.nodeID(), cfg.ElectionTimeout), joinRequests: map[string]JoinArgs{},
		admissions: map[raft.NodeID]*admission{},
		tasks:      make(chan func(), taskQueueLength), appliedSignal: make(chan struct{}, 1),
		stopping: make(chan struct{}), done: make(chan struct{}),
		leadership: blackboard.NewSection(Leadership{}), status: blackboard.NewSection(Status{ID: cfg.ID, Node: string(storage.identity.nodeID())}),
		addresses: map[raft.NodeID]string{}, inbound: map[raft.NodeID]*inboundCalls{}, storage: storage, links: map[raft.NodeID]*link{},
		snapshotTransfers: map[raft.NodeID]*snapshotTransfer{}, waiters: map[uint64]*waiter{}, pendingReads: map[uint64]chan raft.ReadState{},
	}
	var err error
	if r.leadershipWriter, err = r.leadership.Writer(); err != nil {
		return nil, Error.Wrap(err)
	}
	if r.statusWriter, err = r.status.Writer(); err != nil {
		return nil, Error.Wrap(err)
	}
	if r.node, err = raft.New(r.raftConfig(), recovered.state); err != nil {
		return nil, err
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.applier.onApplied, r.applier.saveSnapshot, r.applier.fail = r.signalApplied, r.saveSnapshot, r.fail
	r.applier.postponeSnapshot = r.retrySnapshotLater
	if recovered.snapshot != nil {
		meta := recovered.state.Snapshot
		r.deliveredIndex, r.deliveredTerm, r.snapshotBytes = meta.Index, meta.Term, int64(len(recovered.snapshot.Data))
		r.applier.push(applyJob{restore: &raft.Snapshot{Meta: meta, Data: recovered.snapshot.Data}})
	}
	r.addMemberAddresses()
	return r, nil
}

func (r *Replica) raftConfig() raft.Config {
	return raft.Config{
		Node: r.nodeID, ElectionTicks: r.ticks(r.cfg.ElectionTimeout), HeartbeatTicks: r.ticks(r.cfg.HeartbeatInterval),
		Rand: rand.IntN,
	}
}

func (r *Replica) ticks(d time.Duration) int { return max(1, int(d/r.cfg.Tick)) }

func (r *Replica) logRecovery(recovered recovery) {
	state := recovered.state
	r.cfg.Logger.Info("replica_started", "node", r.nodeID, "folder", r.cfg.DataDir, "term", state.HardState.Term,
		"snapshot_index", state.Snapshot.Index, "last_index", state.BaseIndex+uint64(len(state.Entries)))
	if recovered.truncated > 0 {
		r.cfg.Logger.Warn("torn_tail_truncated", "segment", recovered.segment, "bytes", recovered.truncated)
		r.recordEvent(EventTornTail, recovered.segment)
	}
	if recovered.created {
		r.cfg.Logger.Info("new_generation", "node", r.nodeID, "folder", r.cfg.DataDir)
		r.recordEvent(EventNewGeneration, string(r.nodeID))
	}
}

func (r *Replica) recordEvent(kind event.Kind, reason string) {
	if r.cfg.Recorder != nil {
		r.cfg.Recorder.Record(event.Event{Kind: kind, Reason: reason})
	}
}

// supervise runs the goroutines and unlocks the data folder when they have ended.
func (r *Replica) supervise() {
	r.goroutines.Go(r.applier.run)
	r.goroutines.Go(r.runJoinLoop)
	r.runRaftLoop()
	r.applier.close()
	r.goroutines.Wait()
	if err := r.storage.close(); err != nil {
		r.cfg.Logger.Error("data_folder_close_failed", "error", err.Error())
	}
	close(r.done)
}

// signalStop signals all goroutines to stop.
func (r *Replica) signalStop() {
	r.stopOnce.Do(func() {
		close(r.stopping)
		r.cancel()
	})
}

// fail stops the replica and keeps the first error for Err. A storage failure other than a full disk is never retried,
// because it is unknown what reached the disk.
func (r *Replica) fail(err error) {
	r.errMu.Lock()
	first := r.err == nil
	if first {
		r.err = err
	}
	r.errMu.Unlock()
	if first {
		r.cfg.Logger.Error("replica_failed", "error", err.Error())
		r.recordEvent(EventFailed, err.Error())
	}
	r.signalStop()
}

// Done is closed when the replica has stopped, after Stop or by itself.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the error that stopped the replica; nil while it runs or after it was stopped without an error.
func (r *Replica) Err() error {
	r.errMu.Lock()
	defer r.errMu.Unlock()
	return r.err
}

// Stop stops the replica and unlocks the data folder. A leader first transfers leadership, and a replica of a group with a
// GroupSize announces its stop to the leader, which removes it if it has more voters than that. If ctx ends or neither
// succeeds in time, the replica stops all the same. Stop returns the result of Err, or the error of ctx if ctx ends before
// the replica has stopped.
func (r *Replica) Stop(ctx context.Context) error {
	if r.leadership.Load().Leader && r.hasOtherVoter() {
		transfer, cancel := context.WithTimeout(ctx, 2*r.cfg.ElectionTimeout)
		if err := r.transferRetrying(transfer); err != nil {
			r.cfg.Logger.Warn("leadership_transfer_failed", "error", err.Error())
		}
		cancel()
	}
	r.depart(ctx)
	r.signalStop()
	select {
	case <-r.done:
		return r.Err()
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

func (r *Replica) hasOtherVoter() bool {
	return slices.ContainsFunc(r.status.Load().Members, func(m MemberStatus) bool { return m.Voter && m.Node != string(r.nodeID) })
}

// transferRetrying transfers leadership. While no voter answers, it tries again until ctx ends: slow disks keep voters from answering
// for longer than a transfer accepts, and a leader that stops without a transfer can't announce its stop either.
func (r *Replica) transferRetrying(ctx context.Context) error {
	for {
		err := r.TransferLeadership(ctx)
		if !ErrMembership.Has(err) {
			return err
		}
		select {
		case <-time.After(departureRetryInterval):
		case <-ctx.Done():
			return err
		case <-r.stopping:
			return err
		}
	}
}

// enqueue adds a task to the queue of the raft loop. It waits while the queue is full and returns ErrStopped once the
// replica stops.
func (r *Replica) enqueue(task func()) error {
	select {
	case <-r.stopping:
		return ErrStopped.New("replica %s", r.cfg.ID)
	default:
	}
	select {
	case r.tasks <- task:
		return nil
	case <-r.stopping:
		return ErrStopped.New("replica %s", r.cfg.ID)
	}
}

// Propose implements Log. The caller must not modify the command after the call.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	if len(command) > MaxCommandBytes {
		return nil, ErrCommand.New("%d bytes, at most %d are allowed", len(command), MaxCommandBytes)
	}
	return r.propose(ctx, len(command), func() (uint64, uint64, error) {
		if r.pendingBytes+len(command) > maxPendingBytes {
			return 0, 0, ErrOverloaded.New("%d bytes are proposed and not committed", r.pendingBytes)
		}
		return r.node.Propose(command)
	})
}

// propose calls appendEntry in the raft loop, which appends an entry to the log, and waits until the entry is applied. It
// returns the result of the entry. size is the size of the command in bytes, 0 for a membership change.
func (r *Replica) propose(ctx context.Context, size int, appendEntry func() (index, term uint64, err error)) (any, error) {
	w := &waiter{size: size, done: make(chan outcome, 1)}
	err := r.enqueue(func() {
		index, term, err := appendEntry()
		if err != nil {
			w.finish(outcome{err: r.proposalError(err)})
			return
		}
		w.term = term
		r.waiters[index] = w
		r.pendingBytes += size
	})
	if err != nil {
		return nil, err
	}
	select {
	case o := <-w.done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, ErrOutcomeUnknown.Wrap(ctx.Err())
	case <-r.done:
		select {
		case o := <-w.done:
			return o.result, o.err
		default:
			return nil, ErrOutcomeUnknown.New("the replica stopped")
		}
	}
}

func (r *Replica) proposalError(err error) error {
	switch {
	case raft.ErrNotLeader.Has(err):
		return ErrNotLeader.New("replica %s; the leader is %q", r.cfg.ID, memberID(r.node.Leader()))
	case ErrMembership.Has(err), ErrOverloaded.Has(err):
		return err
	case raft.ErrMembership.Has(err):
		return ErrMembership.Wrap(err)
	}
	return Error.Wrap(err)
}

// ReadIndex implements Log. Without a leader it retries until ctx ends.
func (r *Replica) ReadIndex(ctx context.Context) error {
	for {
		index, err := r.confirmedIndex(ctx)
		if err == nil {
			return r.applier.waitApplied(ctx, index, r.stopping)
		}
		if ErrStopped.Has(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return errs.Combine(Error.Wrap(ctx.Err()), err)
		case <-time.After(readRetryInterval):
		}
	}
}

// confirmedIndex returns a commit index that the leader confirmed after the call began.
func (r *Replica) confirmedIndex(ctx context.Context) (uint64, error) {
	current := r.leadership.Load()
	if current.LeaderID == r.cfg.ID || current.LeaderAddress == "" {
		return r.leaderReadIndex(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout)
	defer cancel()
	var reply ReadIndexReply
	err := r.cfg.Pool.Call(ctx, current.LeaderAddress, serviceName+".ReadIndex", Empty{}, &reply)
	return reply.Index, err
}

// ReadIndexReply holds the log index that must be applied before the read is served.
type ReadIndexReply struct{ Index uint64 }

// ReadIndex serves the ReadIndex call of a follower. It fails when this replica is not the leader.
func (s *service) ReadIndex(_ Empty, reply *ReadIndexReply) error {
	ctx, cancel := context.WithTimeout(s.r.ctx, s.r.cfg.CallTimeout)
	defer cancel()
	index, err := s.r.leaderReadIndex(ctx)
	reply.Index = index
	return err
}

func (r *Replica) leaderReadIndex(ctx context.Context) (uint64, error) {
	result := make(chan raft.ReadState, 1)
	err := r.enqueue(func() {
		r.lastReadToken++
		if r.node.ReadIndex(r.lastReadToken) != nil {
			result <- raft.ReadState{Failed: true}
			return
		}
		r.pendingReads[r.lastReadToken] = result
	})
	if err != nil {
		return 0, err
	}
	select {
	case state := <-result:
		if state.Failed {
			return 0, ErrNotLeader.New("replica %s", r.cfg.ID)
		}
		return state.Index, nil
	case <-ctx.Done():
		return 0, Error.Wrap(ctx.Err())
	case <-r.stopping:
		return 0, ErrStopped.New("replica %s", r.cfg.ID)
	}
}

// MaxStateAge implements Log.
func (r *Replica) MaxStateAge(now time.Time) (time.Duration, bool) {
	if r.leadership.Load().LeaderID == "" {
		return 0, false
	}
	at, ok := r.freshness.currentAt(r.applier.appliedIndex())
	if !ok {
		return 0, false
	}
	return max(0, now.Sub(at)), true
}

// Status implements Log. It is up to one tick old, apart from Applied, and from Members, which on the leader have each change before
// the call that proposed it returns.
func (r *Replica) Status() Status {
	status := r.status.Load()
	status.Applied = r.applier.appliedIndex()
	status.CommitIndex = max(status.CommitIndex, status.Applied)
	return status
}

// LeadershipChanged implements Log.
func (r *Replica) LeadershipChanged() (Leadership, <-chan struct{}) { return r.leadership.Watch() }

// TransferLeadership implements Log. It returns nil once this replica is no longer the leader, and an error when that takes
// longer than two election timeouts.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	if !r.leadership.Load().Leader {
		return nil
	}
	started := make(chan error, 1)
	err := r.enqueue(func() {
		_, err := r.node.TransferLeadership()
		if raft.ErrNotLeader.Has(err) {
			err = nil
		}
		started <- err
	})
	if err != nil {
		return err
	}
	select {
	case err := <-started:
		if err != nil {
			return ErrMembership.Wrap(err)
		}
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case <-r.stopping:
		return ErrStopped.New("replica %s", r.cfg.ID)
	}
	return r.awaitLeadershipLoss(ctx)
}

// awaitLeadershipLoss waits until this replica is no longer the leader, for two election timeouts at most. The raft node
// aborts the transfer after one election timeout.
func (r *Replica) awaitLeadershipLoss(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*r.cfg.ElectionTimeout)
	defer cancel()
	for {
		current, changed := r.LeadershipChanged()
		if !current.Leader {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		case <-r.stopping:
			return ErrStopped.New("replica %s", r.cfg.ID)
		}
	}
}
