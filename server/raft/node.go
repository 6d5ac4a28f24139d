package raft

import (
	"sort"
)

const (
	// entryOverheadBytes is the estimated size of an entry without its data, in bytes.
	entryOverheadBytes = 32

	defaultElectionTicks      = 10
	defaultHeartbeatTicks     = 2
	defaultMaxAppendBytes     = 512 << 10
	defaultMaxInflightAppends = 16
	// snapshotTimeoutElections is the time after which an unacknowledged snapshot is sent again, in election timeouts.
	snapshotTimeoutElections = 20
)

// Role is the role of a node in its term.
type Role uint8

// A PreCandidate requests votes without raising its term, and becomes a Candidate if a majority grants them.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config configures a node. Zero values of the numbers select defaults.
type Config struct {
	Node NodeID
	// ElectionTicks is the shortest election timeout; each timeout is random from ElectionTicks to 2*ElectionTicks-1.
	ElectionTicks  int
	HeartbeatTicks int
	// MaxAppendBytes limits the size of the entries in one Append; a larger entry is sent alone.
	MaxAppendBytes int
	// MaxInflightAppends limits the Appends with entries to one node that are not yet answered.
	MaxInflightAppends int
	// Rand returns a random number from 0 to n-1.
	Rand func(n int) int
}

// State is the persisted state of a node.
type State struct {
	HardState HardState
	// Snapshot describes the newest snapshot; the zero value means none.
	Snapshot SnapshotMeta
	// BaseIndex and BaseTerm are the index and term of the entry before Entries.
	BaseIndex, BaseTerm uint64
	Entries             []Entry
}

type membershipAt struct {
	index   uint64
	members Membership
}

// Node is the consensus state machine of one replica. It is not safe for concurrent use.
type Node struct {
	cfg                Config
	term               uint64
	vote               NodeID
	persistedHardState HardState
	role               Role
	leader             NodeID
	log                entryLog
	// memberships are that of the newest snapshot and those of later entries; the last one is in effect.
	memberships      []membershipAt
	snapshot         SnapshotMeta
	receivedSnapshot *Snapshot

	electionElapsedTicks, electionTimeoutTicks int
	// ticksSinceLeader is reset by each message of the current leader.
	ticksSinceLeader int

	votes map[NodeID]bool

	progress              map[NodeID]*progress
	heartbeatElapsedTicks int
	round                 uint64
	roundDue              bool
	transferee            NodeID
	transferElapsedTicks  int
	pendingReads          []pendingRead
	readStates            []ReadState

	earlyMessages, messages []Message
}

type pendingRead struct {
	token uint64
	// round is the heartbeat round that confirms the read; 0 until that round starts.
	round uint64
	index uint64
}

// New returns a follower with the given persisted state, or ErrInvalidState.
func New(cfg Config, state State) (*Node, error) {
	cfg.setDefaults()
	n := &Node{
		cfg: cfg, term: state.HardState.Term, vote: state.HardState.Vote,
		persistedHardState: state.HardState, snapshot: state.Snapshot,
	}
	n.log = entryLog{baseIndex: state.BaseIndex, baseTerm: state.BaseTerm}
	if state.BaseIndex > state.Snapshot.Index {
		return nil, ErrInvalidState.New("the log starts after entry %d but the snapshot ends at %d", state.BaseIndex,
			state.Snapshot.Index)
	}
	n.memberships = []membershipAt{{state.Snapshot.Index, state.Snapshot.Members}}
	lastTerm := state.BaseTerm
	for i, e := range state.Entries {
		if e.Index != state.BaseIndex+uint64(i)+1 || e.Term < lastTerm || e.Term > state.HardState.Term {
			return nil, ErrInvalidState.New("entry %d of term %d doesn't follow entry %d of term %d in term %d", e.Index, e.Term,
				state.BaseIndex+uint64(i), lastTerm, state.HardState.Term)
		}
		lastTerm = e.Term
		n.log.append(e)
		if err := n.activateMembership(e); err != nil {
			return nil, err
		}
	}
	if term, ok := n.log.term(state.Snapshot.Index); !ok || term != state.Snapshot.Term {
		return nil, ErrInvalidState.New("the log does not hold entry %d of term %d, where the snapshot ends",
			state.Snapshot.Index, state.Snapshot.Term)
	}
	n.log.stableIndex, n.log.commitIndex, n.log.deliveredIndex = n.log.lastIndex(), state.Snapshot.Index, state.Snapshot.Index
	n.becomeFollower(n.term, "")
	n.ticksSinceLeader = cfg.ElectionTicks
	return n, nil
}

func (c *Config) setDefaults() {
	setDefault(&c.ElectionTicks, defaultElectionTicks)
	setDefault(&c.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&c.MaxAppendBytes, defaultMaxAppendBytes)
	setDefault(&c.MaxInflightAppends, defaultMaxInflightAppends)
}

func setDefault(value *int, fallback int) {
	if *value <= 0 {
		*value = fallback
	}
}

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader of the current term, or "" when unknown.
func (n *Node) Leader() NodeID { return n.leader }

// CommitIndex returns the index of the last entry that this node knows to be committed.
func (n *Node) CommitIndex() uint64 { return n.log.commitIndex }

// LastIndex returns the index of the last entry of the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// FirstIndex returns the index of the first entry after those that were compacted away.
func (n *Node) FirstIndex() uint64 { return n.log.baseIndex + 1 }

// Members returns the membership in force.
func (n *Node) Members() Membership { return n.memberships[len(n.memberships)-1].members }

// CommittedMembers returns the newest membership that is committed. Another leader can't take it back.
func (n *Node) CommittedMembers() Membership { return n.MembersAt(n.log.commitIndex) }

// MembersAt returns the membership in force after the entry at index. The index must not be below that of the newest
// snapshot, and the entry must be committed.
func (n *Node) MembersAt(index uint64) Membership {
	members := n.memberships[0].members
	for _, membership := range n.memberships {
		if membership.index <= index {
			members = membership.members
		}
	}
	return members
}

// CanServeAsLeader reports whether the node is the leader and has committed an entry of its term, so that its commit
// index covers all earlier terms.
func (n *Node) CanServeAsLeader() bool { return n.role == Leader && n.hasCommittedInTerm() }

func (n *Node) hasCommittedInTerm() bool {
	term, ok := n.log.term(n.log.commitIndex)
	return ok && term == n.term
}

func (n *Node) members() Membership { return n.Members() }

func (n *Node) quorum() int { return n.members().VoterCount()/2 + 1 }

func (n *Node) isVoter(node NodeID) bool {
	member, _ := n.members().Find(node)
	return member.Voter
}

// activateMembership puts the membership of an appended entry into effect; other entries are ignored.
func (n *Node) activateMembership(e Entry) error {
	if e.Kind != EntryMembership || e.Index <= n.memberships[0].index {
		return nil
	}
	members, err := DecodeMembership(e.Data)
	if err != nil {
		return err
	}
	n.memberships = append(n.memberships, membershipAt{e.Index, members})
	if n.role == Leader {
		n.syncProgressWithMembers()
	}
	return nil
}

// truncateLog removes the entries from an index on, and the memberships in them.
func (n *Node) truncateLog(from uint64) {
	n.log.truncate(from)
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index >= from {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

func (n *Node) becomeFollower(term uint64, leader NodeID) {
	if term != n.term {
		n.term, n.vote = term, ""
	}
	if n.role == Leader {
		n.failPendingReads()
	}
	n.role, n.leader = Follower, leader
	n.votes, n.progress, n.transferee = nil, nil, ""
	n.resetElectionTimer()
}

func (n *Node) resetElectionTimer() {
	n.electionElapsedTicks = 0
	n.electionTimeoutTicks = n.cfg.ElectionTicks + n.cfg.Rand(n.cfg.ElectionTicks)
}

func (n *Node) failPendingReads() {
	for _, r := range n.pendingReads {
		n.readStates = append(n.readStates, ReadState{Token: r.token, Failed: true})
	}
	n.pendingReads = nil
}

// Tick advances the logical clock by one tick. It may start an election or a heartbeat round.
func (n *Node) Tick() {
	n.ticksSinceLeader++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.electionElapsedTicks++
	if n.electionElapsedTicks >= n.electionTimeoutTicks {
		n.resetElectionTimer()
		if n.isVoter(n.cfg.Node) {
			n.campaign(PreVote, false)
		}
	}
}

func (n *Node) campaign(kind MessageKind, transfer bool) {
	n.leader, n.votes = "", map[NodeID]bool{n.cfg.Node: true}
	term := n.term + 1
	if kind == PreVote {
		n.role = PreCandidate
	} else {
		n.role, n.term, n.vote = Candidate, term, n.cfg.Node
		n.resetElectionTimer()
	}
	if n.countVotes(true) >= n.quorum() {
		n.winElection(kind)
		return
	}
	for _, member := range n.members() {
		if member.Voter && member.Node != n.cfg.Node {
			n.send(Message{
				Kind: kind, To: member.Node, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Transfer: transfer,
			})
		}
	}
}

func (n *Node) winElection(kind MessageKind) {
	if kind == PreVote {
		n.campaign(Vote, false)
		return
	}
	n.becomeLeader()
}

func (n *Node) countVotes(granted bool) int {
	count := 0
	for node, vote := range n.votes {
		if vote == granted && n.isVoter(node) {
			count++
		}
	}
	return count
}

// send queues a message to be sent after the next sync. A message without a term gets the current one.
func (n *Node) send(m Message) {
	m.From = n.cfg.Node
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// Step handles a received message. Messages to another NodeID are dropped.
func (n *Node) Step(m Message) error {
	if m.To != n.cfg.Node {
		return nil
	}
	if m.Term > n.term && !n.handleHigherTerm(m) {
		return nil
	}
	if m.Term < n.term {
		n.rejectStaleMessage(m)
		return nil
	}
	switch m.Kind {
	case PreVote, Vote:
		n.handleVoteRequest(m)
	case PreVoteReply, VoteReply:
		n.handleVoteReply(m)
	case Append:
		return n.handleAppend(m)
	case AppendReply:
		n.handleAppendReply(m)
	case InstallSnapshot:
		n.handleSnapshot(m)
	case TimeoutNow:
		if n.role == Follower && n.isVoter(n.cfg.Node) {
			n.campaign(Vote, true)
		}
	}
	return nil
}

// handleHigherTerm adopts the term of a message where the message kind requires it. It returns false when the message
// must be dropped.
func (n *Node) handleHigherTerm(m Message) bool {
	switch m.Kind {
	case PreVote, Vote:
		// Leader stickiness: a node with a live leader ignores vote requests, so that a node that was partitioned or
		// removed can't depose a working leader.
		if !m.Transfer && n.hasRecentLeader() {
			return false
		}
		if m.Kind == PreVote {
			return true
		}
	case PreVoteReply:
		if !m.Reject {
			return true
		}
	}
	leader := NodeID("")
	if m.Kind == Append || m.Kind == InstallSnapshot {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

func (n *Node) hasRecentLeader() bool {
	return n.role == Leader || n.leader != "" && n.ticksSinceLeader < n.cfg.ElectionTicks
}

// rejectStaleMessage replies to a leader or candidate of an earlier term with the current term.
func (n *Node) rejectStaleMessage(m Message) {
	switch m.Kind {
	case PreVote:
		n.send(Message{Kind: PreVoteReply, To: m.From, Reject: true})
	case Vote:
		n.send(Message{Kind: VoteReply, To: m.From, Reject: true})
	case Append, InstallSnapshot:
		n.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: m.Index, HintIndex: n.log.lastIndex() + 1})
	}
}

func (n *Node) handleVoteRequest(m Message) {
	upToDate := m.LogTerm > n.log.lastTerm() || m.LogTerm == n.log.lastTerm() && m.Index >= n.log.lastIndex()
	reply := Message{Kind: VoteReply, To: m.From, Term: m.Term}
	canVote := n.vote == m.From || n.vote == "" && n.leader == ""
	if m.Kind == PreVote {
		reply.Kind = PreVoteReply
		canVote = m.Term > n.term
	}
	if !canVote || !upToDate {
		reply.Reject, reply.Term = true, n.term
		n.send(reply)
		return
	}
	if m.Kind == Vote {
		n.vote = m.From
		n.resetElectionTimer()
	}
	n.send(reply)
}

func (n *Node) handleVoteReply(m Message) {
	kind := Vote
	switch {
	case m.Kind == PreVoteReply && n.role == PreCandidate && (m.Reject || m.Term == n.term+1):
		kind = PreVote
	case m.Kind == VoteReply && n.role == Candidate:
	default:
		return
	}
	n.votes[m.From] = !m.Reject
	if n.countVotes(true) >= n.quorum() {
		n.winElection(kind)
	} else if n.countVotes(false) >= n.quorum() {
		n.becomeFollower(n.term, "")
	}
}

// handleAppend handles entries or a heartbeat from the leader of the current term.
func (n *Node) handleAppend(m Message) error {
	n.followLeader(m.From)
	reply := Message{Kind: AppendReply, To: m.From, Round: m.Round}
	switch {
	case m.Index < n.log.commitIndex:
		// Committed entries are in the log of every leader, so the logs match up to the commit index.
		reply.Index = n.log.commitIndex
	case n.log.hasEntry(m.Index, m.LogTerm):
		if err := n.appendNewEntries(m.Entries); err != nil {
			return err
		}
		reply.Index = m.Index + uint64(len(m.Entries))
		n.log.commitIndex = max(n.log.commitIndex, min(m.Commit, reply.Index))
	default:
		reply.Reject, reply.Index = true, m.Index
		reply.HintIndex, reply.HintTerm = n.conflictHint(m.Index)
	}
	n.send(reply)
	return nil
}

func (n *Node) followLeader(leader NodeID) {
	if n.role != Follower {
		n.becomeFollower(n.term, leader)
	}
	n.leader, n.electionElapsedTicks, n.ticksSinceLeader = leader, 0, 0
}

// conflictHint returns the first uncommitted entry of the term that conflicts at index, or the index after the end of a
// log that is too short and term 0.
func (n *Node) conflictHint(index uint64) (hintIndex, hintTerm uint64) {
	if index > n.log.lastIndex() {
		return n.log.lastIndex() + 1, 0
	}
	hintTerm, _ = n.log.term(index)
	return max(n.log.firstIndexOfTerm(index), n.log.commitIndex+1), hintTerm
}

// appendNewEntries appends the entries that are missing from the log after removing those that conflict with them.
func (n *Node) appendNewEntries(entries []Entry) error {
	for i, e := range entries {
		if n.log.hasEntry(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.commitIndex {
			return ErrInvalidState.New("the leader's entry %d of term %d conflicts with a committed entry", e.Index, e.Term)
		}
		if e.Index <= n.log.lastIndex() {
			n.truncateLog(e.Index)
		}
		for _, added := range entries[i:] {
			n.log.append(added)
			if err := n.activateMembership(added); err != nil {
				return err
			}
		}
		return nil
	}
	return nil
}

func (n *Node) handleSnapshot(m Message) {
	n.followLeader(m.From)
	reply := Message{Kind: AppendReply, To: m.From, Round: m.Round}
	meta := m.Snapshot.Meta
	switch {
	case meta.Index <= n.log.commitIndex:
	case n.log.hasEntry(meta.Index, meta.Term):
		n.log.commitIndex = meta.Index
	default:
		n.log.reset(meta.Index, meta.Term)
		n.memberships = []membershipAt{{meta.Index, meta.Members}}
		n.snapshot, n.receivedSnapshot = meta, m.Snapshot
	}
	reply.Index = n.log.commitIndex
	n.send(reply)
}

// Compact records a snapshot that the driver has made durable, and drops the entries before keepFrom that the snapshot
// covers.
func (n *Node) Compact(meta SnapshotMeta, keepFrom uint64) {
	if meta.Index <= n.snapshot.Index {
		return
	}
	n.snapshot = meta
	kept := []membershipAt{{meta.Index, meta.Members}}
	for _, membership := range n.memberships {
		if membership.index > meta.Index {
			kept = append(kept, membership)
		}
	}
	n.memberships = kept
	if keepFrom > 0 {
		n.log.compact(min(keepFrom-1, meta.Index))
	}
}

// State returns the state that was persisted up to the last Advance.
func (n *Node) State() State {
	return State{
		HardState: n.persistedHardState, Snapshot: n.snapshot, BaseIndex: n.log.baseIndex, BaseTerm: n.log.baseTerm,
		Entries: n.log.entriesBetween(n.log.baseIndex, n.log.stableIndex),
	}
}

// Ready returns what the driver must do now. The driver calls Advance with it before the next call.
func (n *Node) Ready() Ready {
	n.queueLeaderMessages()
	rd := Ready{Snapshot: n.receivedSnapshot, Messages: n.messages, EarlyMessages: n.earlyMessages, Reads: n.readStates}
	n.messages, n.earlyMessages, n.readStates = nil, nil, nil
	if hardState := (HardState{n.term, n.vote}); hardState != n.persistedHardState {
		rd.HardState = &hardState
		// A leader may send an Append before its own entries are synced, but not before its term is.
		rd.Messages, rd.EarlyMessages = append(rd.EarlyMessages, rd.Messages...), nil
	}
	rd.Entries = n.log.entriesBetween(n.log.stableIndex, n.log.lastIndex())
	rd.Committed = n.log.entriesBetween(n.log.deliveredIndex, n.log.commitIndex)
	return rd
}

// Advance records that the driver has persisted and sent what the Ready holds.
func (n *Node) Advance(rd Ready) {
	if rd.HardState != nil {
		n.persistedHardState = *rd.HardState
	}
	if rd.Snapshot == n.receivedSnapshot {
		n.receivedSnapshot = nil
	}
	if count := len(rd.Entries); count > 0 {
		n.log.stableIndex = max(n.log.stableIndex, rd.Entries[count-1].Index)
	}
	if count := len(rd.Committed); count > 0 {
		n.log.deliveredIndex = rd.Committed[count-1].Index
	}
	if n.role == Leader {
		n.maybeCommit()
	}
}

func sortDescending(values []uint64) {
	sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
}
