package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/event"
	"clementinetray/server/blackboard"
	"clementinetray/server/raft"
)

const (
	// taskQueue bounds the proposals and messages that wait for the raft loop.
	taskQueue = 4096
	// retryPause is the pause before a read is tried again without a leader.
	retryPause = 50 * time.Millisecond
)

// Events that a replica records.
const (
	EventLeader            event.Kind = "replica_leads"
	EventLeadershipLost    event.Kind = "replica_lost_leadership"
	EventMembership        event.Kind = "replica_membership_changed"
	EventTornTail          event.Kind = "replica_torn_tail_truncated"
	EventSnapshotSaved     event.Kind = "replica_snapshot_saved"
	EventSnapshotInstalled event.Kind = "replica_snapshot_installed"
	EventNewGeneration     event.Kind = "replica_new_generation"
	EventBootstrapped      event.Kind = "replica_group_bootstrapped"
	EventFailed            event.Kind = "replica_failed"
	EventDiskFull          event.Kind = "replica_disk_full"
)

// Replica is one member of the consensus group.
type Replica struct {
	cfg    Config
	nodeID raft.NodeID
	fresh  *freshness
	apply  *applier
	// started is when this process started, on its monotonic clock.
	started time.Time

	tasks    chan func()
	applied  chan struct{}
	stopping chan struct{}
	stopOnce sync.Once
	// done is closed when all goroutines have ended and the folder is released.
	done       chan struct{}
	background sync.WaitGroup
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

	assemblyMu sync.Mutex // guards assembly
	assembly   *assembly

	inboundMu sync.Mutex // guards inbound
	inbound   map[raft.NodeID]*inbound

	// The fields below belong to the raft loop.
	node       *raft.Node
	storage    *storage
	links      map[raft.NodeID]*link
	installing map[raft.NodeID]bool
	waiters    map[uint64]*waiter
	// pending is the size of the commands in waiters, in bytes.
	pending  int
	reads    map[uint64]chan raft.ReadState
	nextRead uint64
	round    uint64
	lastTick time.Time
	// silentSince holds since when members do not answer this leader.
	silentSince map[raft.NodeID]time.Time
	// asking holds the replicas that asked to join before there was a group, by id.
	asking map[string]JoinArgs
	// delivered is the last entry handed to the apply loop.
	delivered, deliveredTerm uint64
	// leadCommit is the commit index at the first commit of an entry of leadTerm, which this replica leads or led.
	leadTerm, leadCommit uint64
	snapshotting         bool
	snapshotSize         int64
	// nextSnapshot is when a snapshot may be tried again after the disk was full.
	nextSnapshot time.Time
}

var _ Log = (*Replica)(nil)

// Start opens the data folder, registers the service "Raft" at cfg.Server and starts to take part in the group. It
// returns wal.ErrLocked, wal.ErrNotWritable, wal.ErrCorrupt, ErrIdentity or ErrConfig when the replica can't run. The
// caller starts cfg.Server.
func Start(cfg Config) (*Replica, error) {
	cfg.setDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	store, rec, err := openStorage(cfg.FS, cfg.DataDir, cfg.ID)
	if err != nil {
		return nil, err
	}
	r, err := newReplica(cfg, store, rec)
	if err == nil {
		err = Error.Wrap(cfg.Server.Register(serviceName, &service{r}))
	}
	if err != nil {
		return nil, errs.Combine(err, store.close())
	}
	r.announceRecovery(rec)
	go r.supervise()
	return r, nil
}

func newReplica(cfg Config, store *storage, rec recovery) (*Replica, error) {
	r := &Replica{
		cfg: cfg, nodeID: store.identity.node(), fresh: newFreshness(), apply: newApplier(cfg.StateMachine),
		started: time.Now(), silentSince: map[raft.NodeID]time.Time{}, asking: map[string]JoinArgs{},
		tasks: make(chan func(), taskQueue), applied: make(chan struct{}, 1),
		stopping: make(chan struct{}), done: make(chan struct{}),
		leadership: blackboard.NewSection(Leadership{}), status: blackboard.NewSection(Status{ID: cfg.ID, Node: string(store.identity.node())}),
		addresses: map[raft.NodeID]string{}, inbound: map[raft.NodeID]*inbound{}, storage: store, links: map[raft.NodeID]*link{},
		installing: map[raft.NodeID]bool{}, waiters: map[uint64]*waiter{}, reads: map[uint64]chan raft.ReadState{},
	}
	var err error
	if r.leadershipWriter, err = r.leadership.Writer(); err != nil {
		return nil, Error.Wrap(err)
	}
	if r.statusWriter, err = r.status.Writer(); err != nil {
		return nil, Error.Wrap(err)
	}
	if r.node, err = raft.New(r.raftConfig(), rec.state); err != nil {
		return nil, err
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.apply.onApplied, r.apply.save, r.apply.fail = r.signalApplied, r.saveSnapshot, r.fail
	if rec.snapshot != nil {
		meta := rec.state.Snapshot
		r.delivered, r.deliveredTerm, r.snapshotSize = meta.Index, meta.Term, int64(len(rec.snapshot.Data))
		r.apply.push(applyJob{restore: &raft.Snapshot{Meta: meta, Data: rec.snapshot.Data}})
	}
	r.learnMembers()
	return r, nil
}

func (r *Replica) raftConfig() raft.Config {
	return raft.Config{
		Node: r.nodeID, ElectionTicks: r.ticks(r.cfg.ElectionTimeout), HeartbeatTicks: r.ticks(r.cfg.HeartbeatInterval),
		Rand: rand.IntN,
	}
}

func (r *Replica) ticks(d time.Duration) int { return max(1, int(d/r.cfg.Tick)) }

func (r *Replica) announceRecovery(rec recovery) {
	state := rec.state
	r.cfg.Logger.Info("replica_started", "node", r.nodeID, "folder", r.cfg.DataDir, "term", state.HardState.Term,
		"snapshot_index", state.Snapshot.Index, "last_index", state.Base+uint64(len(state.Entries)))
	if rec.truncated > 0 {
		r.cfg.Logger.Warn("torn_tail_truncated", "segment", rec.segment, "bytes", rec.truncated)
		r.record(EventTornTail, rec.segment)
	}
	if rec.created {
		r.cfg.Logger.Info("new_generation", "node", r.nodeID, "folder", r.cfg.DataDir)
		r.record(EventNewGeneration, string(r.nodeID))
	}
}

func (r *Replica) record(kind event.Kind, reason string) {
	if r.cfg.Recorder != nil {
		r.cfg.Recorder.Record(event.Event{Kind: kind, Reason: reason})
	}
}

// supervise runs the goroutines and releases the folder when they have ended.
func (r *Replica) supervise() {
	r.background.Go(r.apply.run)
	r.background.Go(r.joinLoop)
	r.run()
	r.apply.close()
	r.background.Wait()
	if err := r.storage.close(); err != nil {
		r.cfg.Logger.Error("data_folder_close_failed", "error", err.Error())
	}
	close(r.done)
}

// halt makes all goroutines end.
func (r *Replica) halt() {
	r.stopOnce.Do(func() {
		close(r.stopping)
		r.cancel()
	})
}

// fail stops the replica. A storage failure other than a full disk is never retried, as what reached the disk is unknown.
func (r *Replica) fail(err error) {
	r.errMu.Lock()
	first := r.err == nil
	if first {
		r.err = err
	}
	r.errMu.Unlock()
	if first {
		r.cfg.Logger.Error("replica_failed", "error", err.Error())
		r.record(EventFailed, err.Error())
	}
	r.halt()
}

// Done is closed when the replica has stopped, after Stop or by itself.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns why the replica stopped itself; nil while it runs or after Stop.
func (r *Replica) Err() error {
	r.errMu.Lock()
	defer r.errMu.Unlock()
	return r.err
}

// Stop hands leadership over when this replica leads, then stops it and releases the data folder. When ctx ends first,
// the replica stops without the handover. It returns Err.
func (r *Replica) Stop(ctx context.Context) error {
	if r.leadership.Load().Leader && len(r.status.Load().Members) > 1 {
		transfer, cancel := context.WithTimeout(ctx, 2*r.cfg.ElectionTimeout)
		if err := r.TransferLeadership(transfer); err != nil {
			r.cfg.Logger.Warn("leadership_transfer_failed", "error", err.Error())
		}
		cancel()
	}
	r.halt()
	select {
	case <-r.done:
		return r.Err()
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// post hands a task to the raft loop.
func (r *Replica) post(task func()) error {
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

// Propose implements Log. The command must not be modified afterwards.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	if len(command) > MaxCommand {
		return nil, ErrCommand.New("%d bytes, at most %d are allowed", len(command), MaxCommand)
	}
	return r.propose(ctx, len(command), func() (uint64, uint64, error) {
		if r.pending+len(command) > maxPending {
			return 0, 0, ErrOverloaded.New("%d bytes are proposed and not committed", r.pending)
		}
		return r.node.Propose(command)
	})
}

// propose runs the proposal of size bytes in the raft loop and waits until its entry is applied.
func (r *Replica) propose(ctx context.Context, size int, append func() (index, term uint64, err error)) (any, error) {
	w := &waiter{size: size, done: make(chan outcome, 1)}
	err := r.post(func() {
		index, term, err := append()
		if err != nil {
			w.finish(outcome{err: r.proposalError(err)})
			return
		}
		w.term = term
		r.waiters[index] = w
		r.pending += size
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
			return r.apply.wait(ctx, index, r.stopping)
		}
		if ErrStopped.Has(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return errs.Combine(Error.Wrap(ctx.Err()), err)
		case <-time.After(retryPause):
		}
	}
}

// confirmedIndex returns a commit index that was current after the call began.
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

// ReadIndexReply carries the index that a read must wait for.
type ReadIndexReply struct{ Index uint64 }

// ReadIndex answers a follower; it fails when this replica does not lead.
func (s *service) ReadIndex(_ Empty, reply *ReadIndexReply) error {
	ctx, cancel := context.WithTimeout(s.r.ctx, s.r.cfg.CallTimeout)
	defer cancel()
	index, err := s.r.leaderReadIndex(ctx)
	reply.Index = index
	return err
}

func (r *Replica) leaderReadIndex(ctx context.Context) (uint64, error) {
	result := make(chan raft.ReadState, 1)
	err := r.post(func() {
		r.nextRead++
		if r.node.ReadIndex(r.nextRead) != nil {
			result <- raft.ReadState{Failed: true}
			return
		}
		r.reads[r.nextRead] = result
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

// FreshAge implements Log.
func (r *Replica) FreshAge(now time.Time) (time.Duration, bool) {
	if r.leadership.Load().LeaderID == "" {
		return 0, false
	}
	at, ok := r.fresh.at(r.apply.appliedIndex())
	if !ok {
		return 0, false
	}
	return max(0, now.Sub(at)), true
}

// Status implements Log. Apart from Applied it is up to one tick old.
func (r *Replica) Status() Status {
	status := r.status.Load()
	status.Applied = r.apply.appliedIndex()
	status.CommitIndex = max(status.CommitIndex, status.Applied)
	return status
}

// LeadershipChanged implements Log.
func (r *Replica) LeadershipChanged() (Leadership, <-chan struct{}) { return r.leadership.Watch() }

// TransferLeadership implements Log. It returns once this replica no longer leads.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	if !r.leadership.Load().Leader {
		return nil
	}
	started := make(chan error, 1)
	err := r.post(func() {
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
	return r.awaitHandover(ctx)
}

// awaitHandover waits for another leader. The raft node gives up after one election timeout.
func (r *Replica) awaitHandover(ctx context.Context) error {
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
