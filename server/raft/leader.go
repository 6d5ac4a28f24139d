package raft

type progressState uint8

const (
	// probing sends one Append per reply or heartbeat until the logs are known to match.
	probing progressState = iota
	// replicating sends Appends without waiting for replies.
	replicating
	// installing sends no entries until the node has installed a snapshot.
	installing
)

// progress is the leader's replication state for another node.
type progress struct {
	state                 progressState
	matchIndex, nextIndex uint64
	inflight              int
	// probePending is set while no reply to a probe has arrived.
	probePending bool
	// ticksSinceReply is reset by each reply of the node.
	ticksSinceReply int
	ackedRound      uint64
	// snapshotIndex is the last entry of the snapshot being sent, snapshotTicks the ticks since it was sent.
	snapshotIndex uint64
	snapshotTicks int
	// sentCommit is the commit index in the last Append to the node.
	sentCommit uint64
	// heartbeatDue means that an Append must be sent even without entries.
	heartbeatDue bool
}

func (p *progress) startProbing(next uint64) {
	p.state, p.nextIndex, p.inflight, p.probePending = probing, max(next, p.matchIndex+1), 0, false
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.cfg.Node, nil
	n.progress = map[NodeID]*progress{}
	n.transferee, n.heartbeatElapsedTicks, n.pendingReads = "", 0, nil
	n.syncProgressWithMembers()
	n.log.append(Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: EntryNoOp})
	n.roundDue = true
}

// syncProgressWithMembers adds progress for new members and deletes that of removed ones.
func (n *Node) syncProgressWithMembers() {
	for _, member := range n.members() {
		if member.Node != n.cfg.Node && n.progress[member.Node] == nil {
			n.progress[member.Node] = &progress{nextIndex: n.log.lastIndex() + 1, heartbeatDue: true}
		}
	}
	for node := range n.progress {
		if _, ok := n.members().Find(node); !ok {
			delete(n.progress, node)
		}
	}
}

func (n *Node) tickLeader() {
	active := 0
	if n.isVoter(n.cfg.Node) {
		active++
	}
	for node, p := range n.progress {
		p.ticksSinceReply++
		if n.isVoter(node) && p.ticksSinceReply <= n.cfg.ElectionTicks {
			active++
		}
		if p.state == installing {
			if p.snapshotTicks++; p.snapshotTicks > snapshotTimeoutElections*n.cfg.ElectionTicks {
				p.startProbing(p.matchIndex + 1)
			}
		}
	}
	// Check-quorum: a leader that gets no replies from a majority can't commit entries, so it steps down.
	if active < n.quorum() {
		n.becomeFollower(n.term, "")
		return
	}
	if n.transferee != "" {
		if n.transferElapsedTicks++; n.transferElapsedTicks >= n.cfg.ElectionTicks {
			n.transferee = ""
		}
	}
	if n.heartbeatElapsedTicks++; n.heartbeatElapsedTicks >= n.cfg.HeartbeatTicks {
		n.roundDue = true
	}
}

// startRound starts a heartbeat round and assigns it to the reads that have none yet.
func (n *Node) startRound() {
	n.round++
	n.roundDue, n.heartbeatElapsedTicks = false, 0
	for _, p := range n.progress {
		p.heartbeatDue, p.probePending = true, false
	}
	if !n.hasCommittedInTerm() {
		return
	}
	for i := range n.pendingReads {
		if n.pendingReads[i].round == 0 {
			n.pendingReads[i].round, n.pendingReads[i].index = n.round, n.log.commitIndex
		}
	}
}

// queueLeaderMessages queues Appends and snapshots for the other members and completes confirmed reads.
func (n *Node) queueLeaderMessages() {
	if n.role != Leader {
		return
	}
	if n.roundDue {
		n.startRound()
	}
	for _, member := range n.members() {
		if p := n.progress[member.Node]; p != nil {
			n.replicate(member.Node, p)
		}
	}
	n.confirmReads()
}

// replicate sends a node the entries that it lacks, up to the limit of Appends in flight.
func (n *Node) replicate(to NodeID, p *progress) {
	for p.state != installing && p.nextIndex <= n.log.lastIndex() {
		if p.nextIndex <= n.log.baseIndex {
			n.sendSnapshot(to, p)
			break
		}
		if p.state == probing && p.probePending || p.state == replicating && p.inflight >= n.cfg.MaxInflightAppends {
			break
		}
		n.sendAppend(to, p, n.log.entriesFrom(p.nextIndex, n.cfg.MaxAppendBytes))
	}
	if p.heartbeatDue || p.state == replicating && p.sentCommit < n.log.commitIndex {
		n.sendAppend(to, p, nil)
	}
}

func (n *Node) sendAppend(to NodeID, p *progress, entries []Entry) {
	m := Message{
		Kind: Append, From: n.cfg.Node, To: to, Term: n.term, Index: p.nextIndex - 1, Entries: entries, Commit: n.log.commitIndex,
		Round: n.round,
	}
	term, ok := n.log.term(m.Index)
	if !ok || p.state == installing {
		// The receiver needs entries that were compacted away here; send a heartbeat without a log position.
		m.Index, term, m.Entries = 0, 0, nil
	}
	m.LogTerm = term
	p.heartbeatDue, p.sentCommit = false, n.log.commitIndex
	if len(m.Entries) > 0 {
		if p.state == replicating {
			p.nextIndex += uint64(len(m.Entries))
			p.inflight++
		} else {
			p.probePending = true
		}
	}
	n.earlyMessages = append(n.earlyMessages, m)
}

func (n *Node) sendSnapshot(to NodeID, p *progress) {
	p.state, p.snapshotIndex, p.snapshotTicks = installing, n.snapshot.Index, 0
	n.earlyMessages = append(n.earlyMessages, Message{
		Kind: InstallSnapshot, From: n.cfg.Node, To: to, Term: n.term, Round: n.round,
		Snapshot: &Snapshot{Meta: n.snapshot},
	})
}

// ReportSnapshot tells the node whether the transport delivered a snapshot to another node. If it was not delivered, the
// snapshot is sent again.
func (n *Node) ReportSnapshot(to NodeID, ok bool) {
	if p := n.progress[to]; p != nil && p.state == installing && !ok {
		p.startProbing(p.matchIndex + 1)
	}
}

func (n *Node) handleAppendReply(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.ticksSinceReply, p.ackedRound = 0, max(p.ackedRound, m.Round)
	if m.Reject {
		n.handleAppendRejection(m, p)
		return
	}
	if p.inflight > 0 {
		p.inflight--
	}
	p.matchIndex = max(p.matchIndex, m.Index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	switch {
	case p.state == installing && p.matchIndex < p.snapshotIndex:
	case p.state != replicating && m.Index > 0 && m.Index >= p.nextIndex-1:
		p.state, p.nextIndex, p.inflight, p.sentCommit = replicating, p.matchIndex+1, 0, 0
	case p.state == replicating && p.matchIndex+1 == p.nextIndex:
		p.inflight = 0
	}
	n.maybeCommit()
	if m.From == n.transferee && p.matchIndex == n.log.lastIndex() {
		n.send(Message{Kind: TimeoutNow, To: m.From})
	}
}

func (n *Node) handleAppendRejection(m Message, p *progress) {
	stale := p.state == installing || m.Index <= p.matchIndex || p.state == probing && m.Index != p.nextIndex-1
	if stale {
		return
	}
	next := m.HintIndex
	if m.HintTerm > 0 {
		if last, ok := n.log.lastIndexOfTerm(m.HintTerm, m.Index); ok {
			next = last + 1
		}
	}
	p.startProbing(min(next, m.Index))
	p.heartbeatDue = true
}

// maybeCommit commits the entries that are durable on a majority. Entries of earlier terms are committed only together
// with one of the current term.
func (n *Node) maybeCommit() {
	match := make([]uint64, 0, len(n.members()))
	for _, member := range n.members() {
		switch {
		case !member.Voter:
		case member.Node == n.cfg.Node:
			match = append(match, n.log.stableIndex)
		default:
			match = append(match, n.progress[member.Node].matchIndex)
		}
	}
	if len(match) == 0 {
		return
	}
	sortDescending(match)
	index := match[n.quorum()-1]
	if index <= n.log.commitIndex || !n.log.hasEntry(index, n.term) {
		return
	}
	if !n.hasCommittedInTerm() && len(n.pendingReads) > 0 {
		n.roundDue = true
	}
	n.log.commitIndex = index
	if _, member := n.members().Find(n.cfg.Node); !member && n.memberships[len(n.memberships)-1].index <= index {
		n.queueLeaderMessages()
		n.becomeFollower(n.term, "")
	}
}

// Round returns the number of the last heartbeat round.
func (n *Node) Round() uint64 { return n.round }

// QuorumRound returns the last heartbeat round that a majority of the voters acknowledged; 0 when this node is not the
// leader.
func (n *Node) QuorumRound() uint64 {
	if n.role != Leader {
		return 0
	}
	rounds := make([]uint64, 0, len(n.members()))
	for _, member := range n.members() {
		switch {
		case !member.Voter:
		case member.Node == n.cfg.Node:
			rounds = append(rounds, n.round)
		default:
			rounds = append(rounds, n.progress[member.Node].ackedRound)
		}
	}
	if len(rounds) == 0 {
		return 0
	}
	sortDescending(rounds)
	return rounds[n.quorum()-1]
}

func (n *Node) confirmReads() {
	if len(n.pendingReads) == 0 {
		return
	}
	confirmed := n.QuorumRound()
	waiting := n.pendingReads[:0]
	for _, r := range n.pendingReads {
		if r.round > 0 && r.round <= confirmed {
			n.readStates = append(n.readStates, ReadState{Token: r.token, Index: r.index})
		} else {
			waiting = append(waiting, r)
		}
	}
	n.pendingReads = waiting
}

// ReadIndex requests the index that must be applied before a linearizable read. The result with the token comes in
// Ready.Reads.
func (n *Node) ReadIndex(token uint64) error {
	if n.role != Leader {
		return ErrNotLeader.New("this node does not lead term %d", n.term)
	}
	n.pendingReads = append(n.pendingReads, pendingRead{token: token})
	n.roundDue = true
	return nil
}

// Propose appends a command and returns its index and term.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader || n.transferee != "" {
		return 0, 0, ErrNotLeader.New("this node does not lead term %d", n.term)
	}
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: EntryCommand, Data: data}
	n.log.append(e)
	return e.Index, e.Term, nil
}

// ProposeMembership appends a membership that differs in at most one voter and returns the entry's index and term. The
// membership takes effect when the entry is appended, before it is committed.
func (n *Node) ProposeMembership(members Membership) (index, term uint64, err error) {
	switch {
	case n.role != Leader || n.transferee != "":
		return 0, 0, ErrNotLeader.New("this node does not lead term %d", n.term)
	case n.memberships[len(n.memberships)-1].index > n.log.commitIndex:
		return 0, 0, ErrMembership.New("the previous change is not committed yet")
	case !n.hasCommittedInTerm():
		// Two leaders whose changes are both uncommitted could otherwise have majorities without a common node.
		return 0, 0, ErrMembership.New("the leader has not committed an entry of its term yet")
	case changedVoterCount(n.members(), members) > 1:
		return 0, 0, ErrMembership.New("more than one voter changes")
	case members.VoterCount() == 0:
		return 0, 0, ErrMembership.New("no voter would remain")
	}
	data, err := members.Encode()
	if err != nil {
		return 0, 0, err
	}
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: EntryMembership, Data: data}
	n.log.append(e)
	if err := n.activateMembership(e); err != nil {
		return 0, 0, err
	}
	return e.Index, e.Term, nil
}

// TransferLeadership starts a transfer to the responsive voter with the highest matching index and returns that voter.
// Proposals are refused until it has taken over or an election timeout has passed.
func (n *Node) TransferLeadership() (NodeID, error) {
	if n.role != Leader {
		return "", ErrNotLeader.New("this node does not lead term %d", n.term)
	}
	var best NodeID
	for _, member := range n.members() {
		p := n.progress[member.Node]
		if p == nil || !member.Voter || p.ticksSinceReply > n.cfg.ElectionTicks/2 {
			continue
		}
		if best == "" || p.matchIndex > n.progress[best].matchIndex {
			best = member.Node
		}
	}
	if best == "" {
		return "", ErrMembership.New("no other voter answers")
	}
	n.transferee, n.transferElapsedTicks = best, 0
	if n.progress[best].matchIndex == n.log.lastIndex() {
		n.send(Message{Kind: TimeoutNow, To: best})
	}
	return best, nil
}

// Transferring reports whether a leadership transfer is under way.
func (n *Node) Transferring() bool { return n.transferee != "" }

// MatchIndex returns the last entry known to be durable on the node and whether the node replied within the last
// election timeout. Only the leader knows this of other nodes.
func (n *Node) MatchIndex(node NodeID) (match uint64, active bool) {
	if node == n.cfg.Node {
		return n.log.stableIndex, true
	}
	if p := n.progress[node]; p != nil {
		return p.matchIndex, p.ticksSinceReply <= n.cfg.ElectionTicks
	}
	return 0, false
}

// SinceReply returns the ticks since the node last replied to this leader, or since this leader first sent to it if it never replied.
// replied is false then, and for nodes that are no members.
func (n *Node) SinceReply(node NodeID) (ticks int, replied bool) {
	if p := n.progress[node]; p != nil {
		return p.ticksSinceReply, p.ackedRound > 0
	}
	return 0, false
}

// Awaited is what the leader waits for from another node.
type Awaited string

const (
	// AwaitedMembership means that the node is not a member.
	AwaitedMembership Awaited = "membership_change"
	// AwaitedFirstReply means that the node has not replied since it was added or since this node became the leader.
	AwaitedFirstReply Awaited = "first_reply"
	// AwaitedReply means that the node has not replied within the last election timeout.
	AwaitedReply Awaited = "reply"
	// AwaitedSnapshot means that a snapshot was sent and the node has not confirmed it.
	AwaitedSnapshot Awaited = "snapshot"
	// AwaitedEntries means that the node replies and has not confirmed all entries.
	AwaitedEntries Awaited = "entries"
)

// Awaited returns what this leader waits for from the node.
func (n *Node) Awaited(node NodeID) Awaited {
	p := n.progress[node]
	switch {
	case p == nil:
		return AwaitedMembership
	case p.state == installing:
		return AwaitedSnapshot
	case p.ackedRound == 0:
		return AwaitedFirstReply
	case p.ticksSinceReply > n.cfg.ElectionTicks:
		return AwaitedReply
	}
	return AwaitedEntries
}
