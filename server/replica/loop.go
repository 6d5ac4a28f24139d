package replica

import (
	"strings"
	"time"

	"clementinetray/server/raft"
	"clementinetray/server/wal"
)

// maxDrain bounds the tasks that share one sync, so that ticks are not kept waiting.
const maxDrain = 1024

// run is the raft loop. Tasks that arrive while one Ready is synced share the next sync.
func (r *Replica) run() {
	ticker := time.NewTicker(r.cfg.Tick)
	defer ticker.Stop()
	defer r.shutdown()
	r.lastTick = time.Now()
	r.process()
	for {
		select {
		case <-r.stopping:
			return
		case task := <-r.tasks:
			r.fresh.wake()
			task()
		case <-ticker.C:
			r.fresh.wake()
			r.tick()
		case <-r.applied:
			r.fresh.wake()
		}
		r.drain()
		if !r.process() {
			return
		}
	}
}

func (r *Replica) drain() {
	for range maxDrain {
		select {
		case task := <-r.tasks:
			task()
		default:
			return
		}
	}
}

// tick advances the raft clock. A leader makes up for missed ticks, so that one that was frozen for longer than the
// election timeout steps down before it handles anything else.
func (r *Replica) tick() {
	now := time.Now()
	missed := int(now.Sub(r.lastTick) / r.cfg.Tick)
	r.lastTick = now
	r.node.Tick()
	limit := r.ticks(r.cfg.ElectionTimeout) + 1
	for i := 1; i < min(missed, limit) && r.node.Role() == raft.Leader; i++ {
		r.node.Tick()
	}
	r.advanceRejoining()
	r.publishStatus()
}

func (r *Replica) step(m raft.Message) {
	if m.Kind == raft.AppendReply {
		r.fresh.replyReceived(m)
	}
	if err := r.node.Step(m); err != nil {
		r.fail(err)
		return
	}
	if m.Kind == raft.Append && m.Term == r.node.Term() && m.From == r.node.Leader() {
		r.fresh.appendReceived(m)
	}
}

// process does what the raft node asks for until nothing is left. It returns false after a storage failure.
func (r *Replica) process() bool {
	for {
		at, commit, leads := time.Now(), r.node.Commit(), r.node.Leads()
		rd := r.node.Ready()
		if round := r.node.Round(); round != r.round {
			r.round = round
			if leads {
				r.fresh.startRound(round, at, commit)
			}
		}
		if rd.Empty() {
			break
		}
		if err := r.handle(rd); err != nil {
			if !ErrStopped.Has(err) {
				r.fail(err)
			}
			return false
		}
		r.node.Advance(rd)
	}
	if r.node.Leads() {
		r.fresh.confirmRound(r.node.QuorumRound())
	}
	r.publishLeadership()
	r.maybeSnapshot()
	return true
}

func (r *Replica) handle(rd raft.Ready) error {
	for _, m := range rd.Early {
		r.send(m)
	}
	if err := r.persistWithRoom(rd); err != nil {
		return err
	}
	for _, m := range rd.Messages {
		r.send(m)
	}
	r.deliverCommitted(rd)
	for _, read := range rd.Reads {
		if result := r.reads[read.Token]; result != nil {
			result <- read
			delete(r.reads, read.Token)
		}
	}
	return nil
}

// fullPause is the pause between two tries to write to a full disk, a fifth of the default election timeout.
const fullPause = 100 * time.Millisecond

// persistWithRoom waits while the disk is full. Until then this replica says nothing to the others, so that they elect another
// leader and go on without it. It returns ErrStopped when the replica is stopped meanwhile.
func (r *Replica) persistWithRoom(rd raft.Ready) error {
	err := r.persist(rd)
	if !wal.ErrFull.Has(err) {
		return err
	}
	r.cfg.Logger.Error("disk_full", "folder", r.cfg.DataDir, "error", err.Error())
	r.record(EventDiskFull, err.Error())
	r.abandonProposals()
	r.leadershipWriter.Publish(Leadership{Term: r.node.Term()})
	since := time.Now()
	for wal.ErrFull.Has(err) {
		select {
		case <-r.stopping:
			return ErrStopped.New("replica %s, its disk is full", r.cfg.ID)
		case <-time.After(fullPause):
		}
		err = r.persist(rd)
	}
	if err == nil {
		r.cfg.Logger.Info("disk_has_room", "folder", r.cfg.DataDir, "full_for", time.Since(since))
	}
	return err
}

func (r *Replica) persist(rd raft.Ready) error {
	if !rd.MustSync() {
		return nil
	}
	state := r.node.State()
	if rd.HardState != nil {
		state.HardState = *rd.HardState
	}
	if rd.Snapshot == nil {
		return r.storage.append(state.HardState, rd.Entries)
	}
	if err := r.storage.saveSnapshot(rd.Snapshot.Meta, rd.Snapshot.Data); err != nil {
		return err
	}
	state.Entries = append(append([]raft.Entry{}, state.Entries...), rd.Entries...)
	return r.storage.checkpoint(state)
}

func (r *Replica) deliverCommitted(rd raft.Ready) {
	job := applyJob{restore: rd.Snapshot, entries: rd.Committed}
	if rd.Snapshot != nil {
		meta := rd.Snapshot.Meta
		r.delivered, r.deliveredTerm, r.snapshotSize = meta.Index, meta.Term, int64(len(rd.Snapshot.Data))
		r.cfg.Logger.Info("snapshot_installed", "index", meta.Index, "term", meta.Term, "bytes", len(rd.Snapshot.Data))
		r.record(EventSnapshotInstalled, string(r.nodeID))
		r.learnMembers()
	}
	for _, e := range rd.Committed {
		if w := r.waiters[e.Index]; w != nil {
			if job.waiters == nil {
				job.waiters = map[uint64]*waiter{}
			}
			job.waiters[e.Index] = w
			delete(r.waiters, e.Index)
			r.pending -= w.size
		}
		if e.Kind == raft.EntryMembership {
			r.membershipCommitted(e)
		}
		r.delivered, r.deliveredTerm = e.Index, e.Term
	}
	if job.restore != nil || len(job.entries) > 0 {
		r.apply.push(job)
	}
}

func (r *Replica) membershipCommitted(e raft.Entry) {
	r.learnMembers()
	r.pruneLinks()
	var names []string
	for _, m := range r.node.MembersAt(e.Index) {
		role := "learner"
		if m.Voter {
			role = "voter"
		}
		names = append(names, string(m.Node)+":"+role)
	}
	r.cfg.Logger.Info("membership_committed", "index", e.Index, "term", e.Term, "members", strings.Join(names, ","))
	r.record(EventMembership, strings.Join(names, ","))
}

func (r *Replica) signalApplied() {
	select {
	case r.applied <- struct{}{}:
	default:
	}
}

// publishLeadership publishes a change of leadership and fails the proposals of a leader that lost it.
func (r *Replica) publishLeadership() {
	old := r.leadership.Load()
	leader := r.node.Leader()
	next := Leadership{Term: r.node.Term(), LeaderID: memberID(leader), Leader: old.Leader, Since: old.Since}
	if leader != "" {
		next.LeaderAddress, _ = r.address(leader)
	}
	if r.node.Role() != raft.Leader {
		next.Leader, next.Since = false, time.Time{}
		r.abandonProposals()
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
		r.record(EventLeader, string(r.nodeID))
	}
	if old.Leader && !next.Leader {
		r.record(EventLeadershipLost, string(r.nodeID))
	}
}

// appliedEarlierTerms reports whether this leader has applied everything that was committed when it first committed an
// entry of its own term.
func (r *Replica) appliedEarlierTerms() bool {
	if !r.node.Leads() {
		return false
	}
	if term := r.node.Term(); r.leadTerm != term {
		r.leadTerm, r.leadCommit = term, r.node.Commit()
	}
	return r.apply.appliedIndex() >= r.leadCommit
}

func (r *Replica) abandonProposals() {
	r.fresh.leadershipLost()
	for index, w := range r.waiters {
		w.finish(outcome{err: ErrOutcomeUnknown.New("leadership ended before entry %d was committed", index)})
		delete(r.waiters, index)
	}
	r.pending = 0
}

func (r *Replica) publishStatus() {
	status := Status{
		ID: r.cfg.ID, Node: string(r.nodeID), Term: r.node.Term(), CommitIndex: r.node.Commit(),
		LeaderID: memberID(r.node.Leader()),
	}
	for _, m := range r.node.Members() {
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

// maybeSnapshot asks for a snapshot when the log has grown enough.
func (r *Replica) maybeSnapshot() {
	threshold := max(r.cfg.CompactBytes, r.snapshotSize/4)
	if r.snapshotting || time.Now().Before(r.nextSnapshot) || r.storage.growth() < threshold || r.delivered <= r.node.State().Snapshot.Index {
		return
	}
	r.snapshotting = true
	r.apply.push(applyJob{snapshot: &raft.SnapshotMeta{
		Index: r.delivered, Term: r.deliveredTerm, Members: r.node.MembersAt(r.delivered),
	}})
}

// saveSnapshot runs in the apply loop.
func (r *Replica) saveSnapshot(meta raft.SnapshotMeta, data []byte) {
	err := r.storage.saveSnapshot(meta, data)
	if wal.ErrFull.Has(err) {
		_ = r.post(func() { r.postponeSnapshot(err) })
		return
	}
	if err != nil {
		r.fail(err)
		return
	}
	_ = r.post(func() { r.compact(meta, len(data)) })
}

// snapshotPause is the pause before a snapshot that found no room is tried again.
const snapshotPause = 5 * time.Second

// postponeSnapshot keeps the log as it is while the disk is full.
func (r *Replica) postponeSnapshot(full error) {
	r.snapshotting, r.nextSnapshot = false, time.Now().Add(snapshotPause)
	r.cfg.Logger.Warn("snapshot_postponed", "folder", r.cfg.DataDir, "error", full.Error())
}

// compact drops log entries that the snapshot covers. Some are kept, so that a replica that is only a little behind
// gets entries in place of the snapshot.
func (r *Replica) compact(meta raft.SnapshotMeta, size int) {
	r.snapshotting, r.snapshotSize = false, int64(size)
	keepFrom := meta.Index + 1
	kept := int64(0)
	state := r.node.State()
	for keepFrom > state.Base+1 {
		kept += int64(len(state.Entries[keepFrom-2-state.Base].Data))
		if kept > r.cfg.CompactBytes/4 {
			break
		}
		keepFrom--
	}
	r.node.Compact(meta, keepFrom)
	err := r.storage.checkpoint(r.node.State())
	if wal.ErrFull.Has(err) {
		// The log on the disk holds more than is needed until the next checkpoint.
		r.postponeSnapshot(err)
		return
	}
	if err != nil {
		r.fail(err)
		return
	}
	r.cfg.Logger.Info("snapshot_saved", "index", meta.Index, "term", meta.Term, "bytes", size,
		"first_index", r.node.FirstIndex())
	r.record(EventSnapshotSaved, string(r.nodeID))
}

// shutdown ends what waits for the raft loop.
func (r *Replica) shutdown() {
	r.halt()
	r.abandonProposals()
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
