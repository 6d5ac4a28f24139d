package raft

import (
	"encoding/binary"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"reflect"
	"sort"
	"testing"
)

var (
	firstSeed     = flag.Uint64("seed", 1, "first seed of the random schedules")
	seedCount     = flag.Int("seeds", 60, "number of random schedules")
	scheduleSteps = flag.Int("steps", 6000, "events in each random schedule")
)

// disk is the synced state of a simulated node.
type disk struct {
	state State
	// hash is the state machine's hash at the snapshot.
	hash uint64
}

type simNode struct {
	id   NodeID
	node *Node
	disk disk
	// A node with diskLost never runs again; a frozen one runs again once it is unfrozen.
	diskLost, frozen bool
	applied          uint64
	hash             uint64
	// proposals are the commands that this node accepted as leader, by index.
	proposals map[uint64]Entry
	// minReadIndexes are the lowest valid indexes of pending reads, by token.
	minReadIndexes map[uint64]uint64
}

type appliedEntry struct {
	term uint64
	kind EntryKind
	data string
	hash uint64
}

type entryID struct{ index, term uint64 }

type entryContent struct {
	prevTerm uint64
	kind     EntryKind
	data     string
}

// schedule runs a group under a random order of events and checks the invariants after each one.
type schedule struct {
	t             *testing.T
	seed          uint64
	rnd           *rand.Rand
	nodes         []*simNode
	network       []Message
	cutLinks      map[[2]NodeID]bool
	trace         []string
	addedNodes    int
	lastReadToken uint64

	// The fields below record the history of all nodes; the invariants are checked against them.
	leaders        map[uint64]NodeID
	entries        map[entryID]entryContent
	applied        map[uint64]appliedEntry
	committed      map[uint64]uint64
	acked          map[uint64]Entry
	maxAcked       uint64
	lastHardStates map[NodeID]HardState
	stats          map[string]int
}

func newSchedule(t *testing.T, seed uint64, size int) *schedule {
	s := &schedule{
		t: t, seed: seed, rnd: rand.New(rand.NewPCG(seed, 1)), cutLinks: map[[2]NodeID]bool{},
		leaders: map[uint64]NodeID{}, entries: map[entryID]entryContent{}, applied: map[uint64]appliedEntry{},
		committed: map[uint64]uint64{}, acked: map[uint64]Entry{}, lastHardStates: map[NodeID]HardState{}, stats: map[string]int{},
	}
	var members Membership
	for i := range size {
		members = members.With(Member{Node: NodeID(fmt.Sprintf("n%d/1", i)), ID: fmt.Sprintf("n%d", i), Voter: true})
	}
	data, err := members.Encode()
	if err != nil {
		t.Fatal(err)
	}
	first := State{HardState: HardState{Term: 1}, Entries: []Entry{{Index: 1, Term: 1, Kind: EntryMembership, Data: data}}}
	for i, m := range members {
		n := &simNode{id: m.Node}
		if i == 0 {
			n.disk.state = first
		}
		s.nodes = append(s.nodes, n)
		s.boot(n)
	}
	return s
}

func (s *schedule) fail(format string, args ...any) {
	s.t.Helper()
	for _, line := range s.trace[max(0, len(s.trace)-40):] {
		s.t.Log(line)
	}
	s.t.Fatalf("seed %d: %s", s.seed, fmt.Sprintf(format, args...))
}

// boot starts a node from its disk.
func (s *schedule) boot(n *simNode) {
	state := n.disk.state
	state.Entries = append([]Entry{}, state.Entries...)
	node, err := New(Config{Node: n.id, MaxAppendBytes: 200, MaxInflightAppends: 4, Rand: s.rnd.IntN}, state)
	if err != nil {
		s.fail("%s can't start: %v", n.id, err)
	}
	n.node, n.applied, n.hash = node, state.Snapshot.Index, n.disk.hash
	n.proposals, n.minReadIndexes, n.frozen = map[uint64]Entry{}, map[uint64]uint64{}, false
}

func (s *schedule) running() []*simNode {
	var out []*simNode
	for _, n := range s.nodes {
		if !n.diskLost && !n.frozen {
			out = append(out, n)
		}
	}
	return out
}

func (s *schedule) pickRunningNode() *simNode {
	nodes := s.running()
	if len(nodes) == 0 {
		return nil
	}
	return nodes[s.rnd.IntN(len(nodes))]
}

func (s *schedule) currentLeader() *simNode {
	var best *simNode
	for _, n := range s.running() {
		if n.node.CanServeAsLeader() && (best == nil || n.node.Term() > best.node.Term()) {
			best = n
		}
	}
	return best
}

// step performs one random event.
func (s *schedule) step() {
	n := s.pickRunningNode()
	roll := s.rnd.IntN(1000)
	switch {
	case n == nil || roll >= 994:
		s.freezeOrUnfreeze()
	case roll < 150:
		n.node.Tick()
		s.processReady(n, true)
	case roll < 780:
		s.deliverOne()
	case roll < 870:
		s.propose(n)
	case roll < 900:
		s.read(n)
	case roll < 930:
		s.processReady(n, true)
	case roll < 950:
		s.compact(n)
	case roll < 967:
		s.changeMembership()
	case roll < 970:
		s.crash(n)
	case roll < 978:
		s.cutOrHealLinks()
	case roll < 980:
		if to, err := n.node.TransferLeadership(); err == nil {
			s.logEvent("%s transfers leadership to %s", n.id, to)
			s.stats["transfers"]++
			s.processReady(n, true)
		}
	case roll < 982:
		s.loseDisk()
	default:
		s.deliverOne()
	}
}

func (s *schedule) logEvent(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf(format, args...))
}

func (s *schedule) freezeOrUnfreeze() {
	n := s.nodes[s.rnd.IntN(len(s.nodes))]
	if s.rnd.IntN(3) > 0 {
		for _, other := range s.nodes {
			other.frozen = false
		}
	} else if !n.diskLost {
		n.frozen = true
	}
}

func (s *schedule) propose(n *simNode) {
	data := []byte(fmt.Sprintf("%s-%d", n.id, s.rnd.Uint64()))
	for range 1 + s.rnd.IntN(3) {
		index, term, err := n.node.Propose(data)
		if err != nil {
			return
		}
		n.proposals[index] = Entry{Index: index, Term: term, Data: data}
	}
	s.processReady(n, true)
}

func (s *schedule) read(n *simNode) {
	s.lastReadToken++
	if n.node.ReadIndex(s.lastReadToken) == nil {
		n.minReadIndexes[s.lastReadToken] = s.maxAcked
	}
	s.processReady(n, true)
}

func (s *schedule) compact(n *simNode) {
	if n.applied <= n.node.snapshot.Index {
		return
	}
	term, ok := n.node.log.term(n.applied)
	if !ok {
		return
	}
	meta := SnapshotMeta{Index: n.applied, Term: term, Members: n.node.MembersAt(n.applied)}
	n.node.Compact(meta, meta.Index+1-uint64(s.rnd.IntN(5)))
	n.disk = disk{state: n.node.State(), hash: n.hash}
	n.disk.state.Entries = append([]Entry{}, n.disk.state.Entries...)
	s.stats["compactions"]++
}

// crash restarts a node from its disk, so that it loses what it has not synced.
func (s *schedule) crash(n *simNode) {
	s.logEvent("%s crashes", n.id)
	s.stats["crashes"]++
	s.boot(n)
	s.check(n)
}

func (s *schedule) cutOrHealLinks() {
	if s.rnd.IntN(2) == 0 {
		s.cutLinks = map[[2]NodeID]bool{}
		return
	}
	a, b := s.nodes[s.rnd.IntN(len(s.nodes))], s.nodes[s.rnd.IntN(len(s.nodes))]
	s.cutLinks[[2]NodeID{a.id, b.id}] = true
	if s.rnd.IntN(2) == 0 {
		s.cutLinks[[2]NodeID{b.id, a.id}] = true
	}
	if s.rnd.IntN(4) == 0 {
		for _, n := range s.nodes {
			s.cutLinks[[2]NodeID{a.id, n.id}], s.cutLinks[[2]NodeID{n.id, a.id}] = true, true
		}
	}
}

func (s *schedule) find(id NodeID) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// loseDisk makes a member lose its disk, and adds an empty node with a new NodeID. It does so only while all members have
// their disks and the last membership change is committed, which may be right after the previous loss was repaired.
func (s *schedule) loseDisk() {
	leader := s.currentLeader()
	if leader == nil || leader.node.Members().VoterCount() < 3 {
		return
	}
	if at := leader.node.memberships[len(leader.node.memberships)-1].index; at > leader.node.CommitIndex() {
		return
	}
	for _, m := range leader.node.Members() {
		if n := s.find(m.Node); n == nil || n.diskLost {
			return
		}
	}
	members := leader.node.Members()
	node := s.find(members[s.rnd.IntN(len(members))].Node)
	s.logEvent("%s loses its disk", node.id)
	s.stats["lost disks"]++
	node.diskLost = true
	s.addEmptyNode()
}

func (s *schedule) addEmptyNode() {
	s.addedNodes++
	n := &simNode{id: NodeID(fmt.Sprintf("x%d/1", s.addedNodes))}
	s.nodes = append(s.nodes, n)
	s.boot(n)
}

// changeMembership makes the leader propose one change that replaces a lost node, or shrinks or grows the group.
func (s *schedule) changeMembership() {
	leader := s.currentLeader()
	if leader == nil {
		return
	}
	next := s.nextMembership(leader)
	if next == nil {
		return
	}
	if index, _, err := leader.node.ProposeMembership(next); err == nil {
		s.logEvent("%s proposes %v at %d", leader.id, next, index)
		s.stats["membership changes"]++
		s.processReady(leader, true)
	}
}

func (s *schedule) nextMembership(leader *simNode) Membership {
	members := leader.node.Members()
	for _, m := range members {
		if match, active := leader.node.MatchIndex(m.Node); !m.Voter && active && match >= leader.node.CommitIndex() {
			m.Voter = true
			return members.With(m)
		}
	}
	for _, n := range s.nodes {
		if _, member := members.Find(n.id); !member && !n.diskLost && len(members) < 7 {
			return members.With(Member{Node: n.id, ID: string(n.id)})
		}
	}
	for _, m := range members {
		if s.find(m.Node).diskLost {
			return members.Without(m.Node)
		}
	}
	if s.rnd.IntN(4) > 0 || members.VoterCount() < 3 {
		return nil
	}
	if s.rnd.IntN(2) == 0 && len(s.running()) < 7 {
		s.addEmptyNode()
		return nil
	}
	return members.Without(members[s.rnd.IntN(len(members))].Node)
}

// deliverOne delivers, drops or duplicates one message. The message is chosen at random in one of three calls, so that
// messages are also reordered.
func (s *schedule) deliverOne() {
	if len(s.network) == 0 {
		return
	}
	i := 0
	if s.rnd.IntN(3) == 0 {
		i = s.rnd.IntN(len(s.network))
	}
	m := s.network[i]
	to := s.find(m.To)
	if to != nil && to.frozen {
		return
	}
	roll := s.rnd.IntN(100)
	if roll >= 5 {
		s.network = append(s.network[:i:i], s.network[i+1:]...)
	}
	lost := roll > 94 || to == nil || to.diskLost || s.cutLinks[[2]NodeID{m.From, m.To}]
	if m.Kind == InstallSnapshot && lost {
		if from := s.find(m.From); from != nil && !from.diskLost {
			from.node.ReportSnapshot(m.To, false)
		}
	}
	if lost {
		return
	}
	s.deliverTo(to, m)
	s.processReady(to, s.rnd.IntN(4) > 0)
}

func (s *schedule) deliverTo(n *simNode, m Message) {
	if err := n.node.Step(m); err != nil {
		s.fail("%s: %v", n.id, err)
	}
	s.check(n)
}

// processReady persists, sends and applies what Ready returns. With a small probability the node crashes before or after
// the sync. With process false the Ready is left for a later call, so that several messages share a sync.
func (s *schedule) processReady(n *simNode, process bool) {
	s.check(n)
	for process {
		rd := n.node.Ready()
		s.check(n)
		if rd.Empty() {
			return
		}
		s.send(n, rd.EarlyMessages)
		if rd.MustSync() && s.rnd.IntN(1500) == 0 {
			s.crash(n)
			return
		}
		s.persist(n, rd)
		if rd.MustSync() && s.rnd.IntN(1500) == 0 {
			s.crash(n)
			return
		}
		s.send(n, rd.Messages)
		s.apply(n, rd)
		s.finishReads(n, rd.Reads)
		n.node.Advance(rd)
		s.check(n)
	}
}

func (s *schedule) send(n *simNode, messages []Message) {
	for _, m := range messages {
		if m.Term > n.disk.state.HardState.Term && m.Kind != PreVote && m.Kind != PreVoteReply {
			s.fail("%s sends a message of term %d but has only synced term %d", n.id, m.Term, n.disk.state.HardState.Term)
		}
		if m.Kind == InstallSnapshot {
			data := binary.LittleEndian.AppendUint64(nil, n.disk.hash)
			m.Snapshot = &Snapshot{Meta: n.disk.state.Snapshot, Data: data}
		}
		s.network = append(s.network, m)
	}
	if excess := len(s.network) - 400; excess > 0 {
		s.network = s.network[excess:]
	}
}

func (s *schedule) persist(n *simNode, rd Ready) {
	d := &n.disk
	if rd.HardState != nil {
		d.state.HardState = *rd.HardState
	}
	if rd.Snapshot != nil {
		meta := rd.Snapshot.Meta
		d.state.Snapshot, d.state.BaseIndex, d.state.BaseTerm, d.state.Entries = meta, meta.Index, meta.Term, nil
		d.hash = binary.LittleEndian.Uint64(rd.Snapshot.Data)
	}
	if len(rd.Entries) > 0 {
		keep := rd.Entries[0].Index - d.state.BaseIndex - 1
		d.state.Entries = append(append([]Entry{}, d.state.Entries[:keep]...), rd.Entries...)
	}
}

func (s *schedule) apply(n *simNode, rd Ready) {
	if rd.Snapshot != nil {
		n.applied, n.hash = rd.Snapshot.Meta.Index, binary.LittleEndian.Uint64(rd.Snapshot.Data)
		s.stats["snapshots installed"]++
		if want := s.applied[n.applied]; want.hash != n.hash {
			s.fail("%s installed a different state at %d", n.id, n.applied)
		}
	}
	for _, e := range rd.Committed {
		if e.Index != n.applied+1 {
			s.fail("%s applies entry %d after %d", n.id, e.Index, n.applied)
		}
		h := fnv.New64a()
		_ = binary.Write(h, binary.LittleEndian, n.hash)
		_, _ = h.Write(e.Data)
		n.hash, n.applied = h.Sum64(), e.Index
		got := appliedEntry{e.Term, e.Kind, string(e.Data), n.hash}
		if want, ok := s.applied[e.Index]; ok && want != got {
			s.fail("state machine safety: %s applies %+v at %d, another applied %+v", n.id, got, e.Index, want)
		}
		s.applied[e.Index] = got
		if p, ok := n.proposals[e.Index]; ok && p.Term == e.Term {
			s.acked[e.Index] = p
			s.maxAcked = max(s.maxAcked, e.Index)
		}
	}
}

func (s *schedule) finishReads(n *simNode, reads []ReadState) {
	for _, r := range reads {
		want, open := n.minReadIndexes[r.Token]
		delete(n.minReadIndexes, r.Token)
		if open && !r.Failed {
			s.stats["reads"]++
			if r.Index < want {
				s.fail("stale read: %s answers with entry %d, but %d was acknowledged before", n.id, r.Index, want)
			}
		}
	}
}

// check verifies the invariants that depend on the node's state.
func (s *schedule) check(n *simNode) {
	node := n.node
	s.checkHardState(n)
	if node.Role() == Leader {
		s.checkLeader(n)
	}
	prev := node.log.baseTerm
	for _, e := range node.log.entries {
		at, got := entryID{e.Index, e.Term}, entryContent{prev, e.Kind, string(e.Data)}
		if want, ok := s.entries[at]; ok && want != got {
			s.fail("log matching: %s holds %+v at %+v, another holds %+v", n.id, got, at, want)
		}
		s.entries[at] = got
		prev = e.Term
	}
	for _, e := range node.log.entriesBetween(max(node.log.baseIndex, node.log.deliveredIndex), node.log.commitIndex) {
		if term, ok := s.committed[e.Index]; ok && term != e.Term {
			s.fail("%s commits entry %d of term %d, another committed term %d", n.id, e.Index, e.Term, term)
		}
		s.committed[e.Index] = e.Term
	}
}

// checkHardState verifies that the synced term never decreases and that the vote in a term never changes.
func (s *schedule) checkHardState(n *simNode) {
	old, now := s.lastHardStates[n.id], n.disk.state.HardState
	if now.Term < old.Term || now.Term == old.Term && old.Vote != "" && now.Vote != old.Vote {
		s.fail("%s lost the synced hard state %+v and has %+v", n.id, old, now)
	}
	s.lastHardStates[n.id] = now
}

func (s *schedule) checkLeader(n *simNode) {
	term := n.node.Term()
	if other, ok := s.leaders[term]; ok {
		if other != n.id {
			s.fail("election safety: %s and %s are both leaders of term %d", other, n.id, term)
		}
		return
	}
	s.leaders[term] = n.id
	s.logEvent("%s leads term %d", n.id, term)
	for index, entryTerm := range s.committed {
		if own, held := n.node.log.term(index); index > n.node.log.baseIndex && (!held || own != entryTerm) {
			s.fail("leader completeness: %s is the leader of term %d without entry %d of term %d", n.id, term, index, entryTerm)
		}
	}
}

// checkRecovery ends all partitions and freezes and requires that the members converge and hold all acknowledged
// entries.
func (s *schedule) checkRecovery() {
	s.cutLinks = map[[2]NodeID]bool{}
	for _, n := range s.nodes {
		n.frozen = false
	}
	for range 400 {
		for _, n := range s.running() {
			n.node.Tick()
			s.processReady(n, true)
		}
		for range 3 {
			messages := s.network
			s.network = nil
			for _, m := range messages {
				if to := s.find(m.To); to != nil && !to.diskLost {
					s.deliverTo(to, m)
					s.processReady(to, true)
				}
			}
		}
		if s.converged() {
			return
		}
	}
	for _, n := range s.nodes {
		s.t.Logf("%s lost=%t term=%d role=%d commit=%d last=%d members=%v", n.id, n.diskLost, n.node.Term(), n.node.Role(),
			n.node.CommitIndex(), n.node.LastIndex(), n.node.Members())
	}
	s.fail("the group did not recover within 400 ticks after the faults ended")
}

func (s *schedule) converged() bool {
	leader := s.currentLeader()
	if leader == nil || leader.applied != leader.node.LastIndex() || leader.applied < s.maxAcked {
		return false
	}
	for _, m := range leader.node.Members() {
		if n := s.find(m.Node); !n.diskLost && (n.applied != leader.applied || n.hash != leader.hash) {
			return false
		}
	}
	for index, e := range s.acked {
		if got := s.applied[index]; got.term != e.Term || got.data != string(e.Data) {
			s.fail("acknowledged entry %d is lost: %+v", index, got)
		}
	}
	return true
}

// TestRandomSchedules guards against lost or reordered entries, two leaders in a term, lost votes and stale reads
// under crashes, lost disks, message faults, partitions, freezes and membership changes.
// Reproduce one with: go test ./raft -run RandomSchedules -seed N -seeds 1
func TestRandomSchedules(t *testing.T) {
	total := map[string]int{}
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		s := newSchedule(t, seed, 3+2*int(seed%2))
		for range *scheduleSteps {
			s.step()
		}
		s.checkRecovery()
		s.stats["leaders"], s.stats["acknowledged"] = len(s.leaders), len(s.acked)
		for name, count := range s.stats {
			total[name] += count
		}
	}
	names := reflect.ValueOf(total).MapKeys()
	sort.Slice(names, func(i, j int) bool { return names[i].String() < names[j].String() })
	for _, name := range names {
		t.Logf("%s: %d", name, total[name.String()])
	}
	for _, name := range []string{"leaders", "acknowledged", "reads", "crashes", "lost disks", "membership changes",
		"snapshots installed", "transfers", "compactions"} {
		if total[name] == 0 {
			t.Errorf("no schedule reached %q", name)
		}
	}
}
