package replica

import (
	"strings"
	"time"

	"clementinetray/server/raft"
	"clementinetray/server/wal"
)

// maxTasksPerSync is the largest number of tasks that share one sync, so that a long queue does not delay ticks.
const maxTasksPerSync = 1024

// runRaftLoop runs the tasks and ticks of the raft node until the replica stops. Tasks that arrive while the output of the
// raft node is synced to the disk share the next sync.
func (r *Replica) runRaftLoop() {
	ticker := time.NewTicker(r.cfg.Tick)
	defer ticker.Stop()
	defer r.shutdown()
	r.lastTick = time.Now()
	r.processReady()
	for {
		select {
		case <-r.stopping:
			return
		case task := <-r.tasks:
			r.dropAfterSuspension()
			task()
		case <-ticker.C:
			r.dropAfterSuspension()
			r.tick()
		case <-r.appliedSignal:
			r.dropAfterSuspension()
		}
		r.runQueuedTasks()
		if !r.processReady() {
			return
		}
	}
}

// dropAfterSuspension drops what was known of the others before the machine was suspended.
func (r *Replica) dropAfterSuspension() {
	if r.freshness.dropAfterSuspension() {
		r.silences.forget()
	}
}

// runQueuedTasks runs the queued tasks, at most maxTasksPerSync of them.
func (r *Replica) runQueuedTasks() {
	for range maxTasksPerSync {
		select {
		case task := <-r.tasks:
			task()
		default:
			return
		}
	}
}

// tick advances the clock of the raft node. On a leader it also repeats missed ticks, so that a leader whose process was
// suspended for longer than the election timeout steps down before it handles anything else.
func (r *Replica) tick() {
	r.tickClock(time.Now())
	r.advanceMembership()
	r.publishStatus()
}

func (r *Replica) tickClock(now time.Time) {
	missed := int(now.Sub(r.lastTick) / r.cfg.Tick)
	r.lastTick = now
	r.node.Tick()
	limit := r.ticks(r.cfg.ElectionTimeout) + 1
	for i := 1; i < min(missed, limit) && r.node.Role() == raft.Leader; i++ {
		r.node.Tick()
	}
	if missed >= limit && r.node.Role() != raft.Leader {
		// Members may have answered another leader while this process stood still.
		r.silences.forget()
	}
}

func (r *Replica) step(m raft.Message) {
	if m.Kind == raft.AppendReply {
		r.freshness.handleAppendReply(m)
	}
	if err := r.node.Step(m); err != nil {
		r.fail(err)
		return
	}
	if m.Kind == raft.Append && m.Term == r.node.Term() && m.From == r.node.Leader() {
		r.freshness.handleAppend(m)
		r.silences.learn(time.Now(), m.From, m.Silences)
	}
}

// processReady handles the output of the raft node until no output is left. It returns false when the replica must stop.
func (r *Replica) processReady() bool {
	for {
		at, commit, leads := time.Now(), r.node.CommitIndex(), r.node.CanServeAsLeader()
		ready := r.node.Ready()
		if round := r.node.Round(); round != r.lastRound {
			r.lastRound = round
			if leads {
				r.freshness.startRound(round, at, commit)
			}
		}
		if ready.Empty() {
			break
		}
		if err := r.handleReady(ready); err != nil {
			if !ErrStopped.Has(err) {
				r.fail(err)
			}
			return false
		}
		r.node.Advance(ready)
	}
	if r.node.CanServeAsLeader() {
		r.freshness.confirmRound(r.node.QuorumRound())
	}
	r.publishLeadership()
	r.maybeSnapshot()
	return true
}

func (r *Replica) handleReady(ready raft.Ready) error {
	for _, m := range ready.EarlyMessages {
		r.send(m)
	}
	if err := r.persistRetryingFullDisk(ready); err != nil {
		return err
	}
	for _, m := range ready.Messages {
		r.send(m)
	}
	r.deliverCommitted(ready)
	for _, read := range ready.Reads {
		if result := r.pendingReads[read.Token]; result != nil {
			result <- read
			delete(r.pendingReads, read.Token)
		}
	}
	return nil
}

// diskFullRetryInterval is the pause between two attempts to write to a full disk, a fifth of the default election
// timeout.
const diskFullRetryInterval = 100 * time.Millisecond

// slowSync is the time of a write to the disk from which on it is logged, the shortest election timeout by default.
const slowSync = 500 * time.Millisecond

// persistRetryingFullDisk persists ready and retries while the disk is full. During the retries this replica sends no
// messages, so that the other replicas elect another leader and continue without this one. persistRetryingFullDisk
// returns ErrStopped if the replica is stopped during the retries.
func (r *Replica) persistRetryingFullDisk(ready raft.Ready) error {
	began := time.Now()
	err := r.persist(ready)
	if took := time.Since(began); took >= slowSync {
		r.cfg.Logger.Warn("slow_sync", "folder", r.cfg.DataDir, "took", took)
	}
	if !wal.ErrFull.Has(err) {
		return err
	}
	r.cfg.Logger.Error("disk_full", "folder", r.cfg.DataDir, "error", err.Error())
	r.recordEvent(EventDiskFull, err.Error())
	r.failProposals()
	r.leadershipWriter.Publish(Leadership{Term: r.node.Term()})
	since := time.Now()
	for wal.ErrFull.Has(err) {
		select {
		case <-r.stopping:
			return ErrStopped.New("replica %s, its disk is full", r.cfg.ID)
		case <-time.After(diskFullRetryInterval):
		}
		err = r.persist(ready)
	}
	if err == nil {
		r.cfg.Logger.Info("disk_has_room", "folder", r.cfg.DataDir, "full_for", time.Since(since))
	}
	return err
}

func (r *Replica) persist(ready raft.Ready) error {
	if !ready.MustSync() {
		return nil
	}
	state := r.node.State()
	if ready.HardState != nil {
		state.HardState = *ready.HardState
	}
	if ready.Snapshot == nil {
		return r.storage.append(state.HardState, ready.Entries)
	}
	if err := r.storage.saveSnapshot(ready.Snapshot.Meta, ready.Snapshot.Data); err != nil {
		return err
	}
	state.Entries = append(append([]raft.Entry{}, state.Entries...), ready.Entries...)
	return r.storage.checkpoint(state)
}

func (r *Replica) deliverCommitted(ready raft.Ready) {
	job := applyJob{restore: ready.Snapshot, entries: ready.Committed}
	if ready.Snapshot != nil {
		meta := ready.Snapshot.Meta
		r.deliveredIndex, r.deliveredTerm, r.snapshotBytes = meta.Index, meta.Term, int64(len(ready.Snapshot.Data))
		r.cfg.Logger.Info("snapshot_installed", "index", meta.Index, "term", meta.Term, "bytes", len(ready.Snapshot.Data))
		r.recordEvent(EventSnapshotInstalled, string(r.nodeID))
		r.addMemberAddresses()
	}
	for _, e := range ready.Committed {
		if w := r.waiters[e.Index]; w != nil {
			if job.waiters == nil {
				job.waiters = map[uint64]*waiter{}
			}
			job.waiters[e.Index] = w
			delete(r.waiters, e.Index)
			r.pendingBytes -= w.size
		}
		if e.Kind == raft.EntryMembership {
			r.membershipCommitted(e)
		}
		r.deliveredIndex, r.deliveredTerm = e.Index, e.Term
	}
	if job.restore != nil || len(job.entries) > 0 {
		r.applier.push(job)
	}
}

func (r *Replica) membershipCommitted(e raft.Entry) {
	r.addMemberAddresses()
	r.closeUnusedLinks()
	// The entry is applied after this, so that whoever proposed it reads the new membership in Status.
	r.publishStatus()
	var names []string
	for _, m := range r.node.MembersAt(e.Index) {
		role := "learner"
		if m.Voter {
			role = "voter"
		}
		names = append(names, string(m.Node)+":"+role)
	}
	r.cfg.Logger.Info("membership_committed", "index", e.Index, "term", e.Term, "members", strings.Join(names, ","))
	r.recordEvent(EventMembershipChanged, strings.Join(names, ","))
}

func (r *Replica) signalApplied() {
	select {
	case r.appliedSignal <- struct{}{}:
	default:
	}
}

// publishLeadership publishes a change of leadership. If this replica is not the leader, it also fails the waiting
// proposals.
func (r *Replica) publishLeadership() {
	old := r.leadership.Load()
	leader := r.node.Leader()
	next := Leadership{Term: r.node.Term(), LeaderID: memberID(leader), Leader: old.Leader, Since: old.Since}
	if leader != "" {
		next.LeaderAddress, _ = r.address(leader)
	}
	if r.node.Role() != raft.Leader {
		next.Leader, next.Since = false, time.Time{}
		r.failProposals()
	} else if !old.Leader || old.Term != next.Term {
		next.Leader, next.Since = false, time.Time{}
		if r.appliedEarlierTerms() {
			next.Leader, next.Since = true, time.Now()
		}
	}
	if next == old {
		return
	}
	r.leadershipWriter.Publish(next)
	r.publishStatus()
	r.cfg.Logger.Info("leadership", "term", next.Term, "leader", next.LeaderID, "leads", next.Leader)
	if next.Leader && !old.Leader {
		r.recordEvent(EventLeadershipGained, string(r.nodeID))
	}
	if old.Leader && !next.Leader {
		r.recordEvent(EventLeadershipLost, string(r.nodeID))
	}
}

// appliedEarlierTerms reports whether this leader has applied all committed entries of earlier terms. They all come before
// the first entry of its own term that it commits.
func (r *Replica) appliedEarlierTerms() bool {
	if !r.node.CanServeAsLeader() {
		return false
	}
	if term := r.node.Term(); r.leaderTerm != term {
		r.leaderTerm, r.leaderTermCommit = term, r.node.CommitIndex()
	}
	return r.applier.appliedIndex() >= r.leaderTermCommit
}

// failProposals fails all waiting proposals with ErrOutcomeUnknown, and drops the heartbeat rounds that no majority has
// acknowledged.
func (r *Replica) failProposals() {
	r.freshness.dropUnconfirmedRounds()
	for index, w := range r.waiters {
		w.finish(outcome{err: ErrOutcomeUnknown.New("leadership ended before entry %d was committed", index)})
		delete(r.waiters, index)
	}
	r.pendingBytes = 0
}

func (r *Replica) publishStatus() {
	status := Status{
		ID: r.cfg.ID, Node: string(r.nodeID), Term: r.node.Term(), CommitIndex: r.node.CommitIndex(),
		LeaderID: memberID(r.node.Leader()), StalledLearners: r.stalledLearners(time.Now()),
	}
	for _, m := range r.node.CommittedMembers() {
		match, active := r.node.MatchIndex(m.Node)
		if r.node.Role() != raft.Leader {
			match, active = 0, false
		}
		status.Members = append(status.Members, MemberStatus{
			ID: m.ID, Node: string(m.Node), Address: m.Address, Voter: m.Voter, MatchIndex: match, Active: active,
		})
	}
	r.statusWriter.Publish(status)
}

// maybeSnapshot requests a snapshot from the apply loop when the log has grown enough.
func (r *Replica) maybeSnapshot() {
	threshold := max(r.cfg.CompactBytes, r.snapshotBytes/4)
	if r.snapshotting || time.Now().Before(r.nextSnapshotAt) || r.storage.bytesSinceCheckpoint() < threshold || r.deliveredIndex <= r.node.State().Snapshot.Index {
		return
	}
	r.snapshotting = true
	r.applier.push(applyJob{snapshotMeta: &raft.SnapshotMeta{
		Index: r.deliveredIndex, Term: r.deliveredTerm, Members: r.node.MembersAt(r.deliveredIndex),
	}})
}

// saveSnapshot makes a snapshot durable and then requests a compaction of the log. It runs in the apply loop.
func (r *Replica) saveSnapshot(meta raft.SnapshotMeta, data []byte) {
	err := r.storage.saveSnapshot(meta, data)
	if wal.ErrFull.Has(err) {
		r.retrySnapshotLater(err)
		return
	}
	if err != nil {
		r.fail(err)
		return
	}
	_ = r.enqueue(func() { r.compact(meta, len(data)) })
}

// snapshotRetryDelay is the pause after a snapshot that failed on a full disk.
const snapshotRetryDelay = 5 * time.Second

// retrySnapshotLater is called in the apply loop after a snapshot failed on a full disk.
func (r *Replica) retrySnapshotLater(cause error) {
	_ = r.enqueue(func() { r.postponeSnapshot(cause) })
}

// postponeSnapshot delays the next snapshot and compaction after one failed on a full disk.
func (r *Replica) postponeSnapshot(cause error) {
	r.snapshotting, r.nextSnapshotAt = false, time.Now().Add(snapshotRetryDelay)
	r.cfg.Logger.Warn("snapshot_postponed", "folder", r.cfg.DataDir, "error", cause.Error())
}

// compact removes log entries that the snapshot covers. It keeps some of the newest ones, so that a replica that lags only
// slightly receives these entries rather than the whole snapshot.
func (r *Replica) compact(meta raft.SnapshotMeta, size int) {
	r.snapshotting, r.snapshotBytes = false, int64(size)
	keepFrom := meta.Index + 1
	kept := int64(0)
	state := r.node.State()
	for keepFrom > state.BaseIndex+1 {
		kept += int64(len(state.Entries[keepFrom-2-state.BaseIndex].Data))
		if kept > r.cfg.CompactBytes/4 {
			break
		}
		keepFrom--
	}
	r.node.Compact(meta, keepFrom)
	err := r.storage.checkpoint(r.node.State())
	if wal.ErrFull.Has(err) {
		// The log on disk keeps the removed entries until the next checkpoint.
		r.postponeSnapshot(err)
		return
	}
	if err != nil {
		r.fail(err)
		return
	}
	r.cfg.Logger.Info("snapshot_saved", "index", meta.Index, "term", meta.Term, "bytes", size,
		"first_index", r.node.FirstIndex())
	r.recordEvent(EventSnapshotSaved, string(r.nodeID))
}

// shutdown fails the waiting proposals and publishes that no leader is known, after the raft loop has ended.
func (r *Replica) shutdown() {
	r.signalStop()
	r.failProposals()
	next := Leadership{Term: r.node.Term()}
	if r.leadership.Load() != next {
		r.leadershipWriter.Publish(next)
	}
}

// memberID returns the replica id of a node.
func memberID(node raft.NodeID) string {
	id, _, _ := strings.Cut(string(node), "/")
	return id
}
