package raft

import (
	"fmt"
	"testing"
)

// group delivers messages between nodes without delay, and drops those from and to isolated nodes.
type group struct {
	t                *testing.T
	nodes            map[NodeID]*Node
	order            []NodeID
	isolated         map[NodeID]bool
	dropped          []Message
	appendRejections int
}

func voters(ids ...NodeID) Membership {
	var m Membership
	for _, id := range ids {
		m = m.With(Member{Node: id, ID: string(id), Voter: true})
	}
	return m
}

func newLogEntries(t *testing.T, members Membership, terms ...uint64) []Entry {
	data, err := members.Encode()
	if err != nil {
		t.Fatal(err)
	}
	entries := []Entry{{Index: 1, Term: 1, Kind: EntryMembership, Data: data}}
	for i, term := range terms {
		entries = append(entries, Entry{Index: uint64(i + 2), Term: term, Data: []byte("x")})
	}
	return entries
}

func newNode(t *testing.T, id NodeID, term uint64, entries []Entry) *Node {
	n, err := New(Config{Node: id, MaxAppendBytes: 1000, MaxInflightAppends: 4, Rand: func(int) int { return 0 }},
		State{HardState: HardState{Term: term}, Entries: entries})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func newGroup(t *testing.T, ids ...NodeID) *group {
	g := &group{t: t, nodes: map[NodeID]*Node{}, order: ids, isolated: map[NodeID]bool{}}
	for _, id := range ids {
		g.nodes[id] = newNode(t, id, 1, newLogEntries(t, voters(ids...)))
	}
	return g
}

// drainReady calls Ready and Advance until nothing is left and returns the messages.
func drainReady(n *Node) []Message {
	var out []Message
	for rd := n.Ready(); !rd.Empty(); rd = n.Ready() {
		out = append(append(out, rd.EarlyMessages...), rd.Messages...)
		n.Advance(rd)
	}
	return out
}

func (g *group) deliverAll() {
	for pending := true; pending; {
		pending = false
		for _, id := range g.order {
			for _, m := range drainReady(g.nodes[id]) {
				pending = true
				if m.Kind == AppendReply && m.Reject {
					g.appendRejections++
				}
				to := g.nodes[m.To]
				if to == nil || g.isolated[m.From] || g.isolated[m.To] {
					g.dropped = append(g.dropped, m)
					continue
				}
				if err := to.Step(m); err != nil {
					g.t.Fatal(err)
				}
			}
		}
	}
}

func (g *group) tick(count int, ids ...NodeID) {
	for range count {
		for _, id := range ids {
			g.nodes[id].Tick()
		}
		g.deliverAll()
	}
}

// elect ticks the node until it is the leader and has committed an entry of its term.
func (g *group) elect(id NodeID) *Node {
	for range 100 {
		if g.nodes[id].CanServeAsLeader() {
			return g.nodes[id]
		}
		g.tick(1, id)
	}
	g.t.Fatalf("%s was not elected", id)
	return nil
}

// TestPreVote guards against a node that deposes a working leader when it returns from a partition.
func TestPreVote(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	leader := g.elect("a")
	term := leader.Term()
	g.isolated["c"] = true
	g.tick(100, "a", "b", "c")
	g.isolated["c"] = false
	g.tick(5, "a", "b", "c")
	if !leader.CanServeAsLeader() || leader.Term() != term || g.nodes["c"].Term() != term {
		t.Fatalf("initial term %d, leader's term %d, returned node's term %d", term, leader.Term(), g.nodes["c"].Term())
	}
}

// TestStickiness guards against a removed or delayed candidate that raises the term of a group with a working leader, and
// against leader stickiness that blocks a leadership transfer.
func TestStickiness(t *testing.T) {
	for _, transfer := range []bool{false, true} {
		g := newGroup(t, "a", "b", "c")
		term := g.elect("a").Term()
		b := g.nodes["b"]
		if err := b.Step(Message{Kind: Vote, From: "c", To: "b", Term: term + 1, Index: 9, LogTerm: 9,
			Transfer: transfer}); err != nil {
			t.Fatal(err)
		}
		if granted := b.Term() == term+1; granted != transfer {
			t.Errorf("transfer %t: term %d after a vote request in term %d", transfer, b.Term(), term+1)
		}
	}
}

// TestCheckQuorum guards against a partitioned leader that does not step down or confirms reads.
func TestCheckQuorum(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	leader := g.elect("a")
	if err := leader.ReadIndex(1); err != nil {
		t.Fatal(err)
	}
	g.isolated["a"] = true
	var reads []ReadState
	for range defaultElectionTicks + 1 {
		rd := leader.Ready()
		reads = append(reads, rd.Reads...)
		leader.Advance(rd)
		leader.Tick()
	}
	if leader.Role() == Leader || leader.Leader() != "" {
		t.Fatalf("role %d, leader %q after an election timeout without replies", leader.Role(), leader.Leader())
	}
	reads = append(reads, leader.Ready().Reads...)
	if len(reads) != 1 || !reads[0].Failed {
		t.Fatalf("reads of a leader that gets no replies: %+v", reads)
	}
}

// TestTransfer guards against a leadership transfer to an unreachable node that blocks proposals forever.
func TestTransfer(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	leader := g.elect("a")
	isolated, err := leader.TransferLeadership()
	if err != nil {
		t.Fatal(err)
	}
	g.isolated[isolated] = true
	if _, _, err := leader.Propose(nil); !ErrNotLeader.Has(err) {
		t.Fatalf("proposal during the transfer: %v", err)
	}
	g.tick(defaultElectionTicks, "a")
	g.isolated[isolated] = false
	if _, _, err := leader.Propose(nil); err != nil {
		t.Fatalf("proposal after the transfer timed out: %v", err)
	}
	to, err := leader.TransferLeadership()
	if err != nil {
		t.Fatal(err)
	}
	g.deliverAll()
	if !g.nodes[to].CanServeAsLeader() || leader.Role() == Leader {
		t.Fatalf("%s is not the leader after the transfer", to)
	}
}

// TestEarlierTermEntry guards against an entry of an earlier term that is committed because a majority holds it,
// and overwritten later, and against a membership change or a read that relies on such an entry.
func TestEarlierTermEntry(t *testing.T) {
	n, err := New(Config{Node: "a", Rand: func(int) int { return 0 }}, State{
		HardState: HardState{Term: 3}, Snapshot: SnapshotMeta{Index: 1, Term: 1, Members: voters("a", "b", "c")},
		BaseIndex: 1, BaseTerm: 1, Entries: []Entry{{Index: 2, Term: 2}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for n.Role() != Candidate {
		n.Tick()
		for _, m := range drainReady(n) {
			if m.Kind == PreVote && m.To == "b" {
				_ = n.Step(Message{Kind: PreVoteReply, From: "b", To: "a", Term: m.Term})
			}
		}
	}
	_ = n.Step(Message{Kind: VoteReply, From: "b", To: "a", Term: 4})
	drainReady(n)
	_ = n.Step(Message{Kind: AppendReply, From: "b", To: "a", Term: 4, Index: 2})
	if n.Role() != Leader || n.CommitIndex() != 1 {
		t.Fatalf("role %d, commit %d with a majority for an entry of term 2 only", n.Role(), n.CommitIndex())
	}
	if _, _, err := n.ProposeMembership(voters("a", "b")); !ErrMembership.Has(err) {
		t.Errorf("membership change before an entry of the leader's term is committed: %v", err)
	}
	_ = n.Step(Message{Kind: AppendReply, From: "b", To: "a", Term: 4, Index: 3})
	if n.CommitIndex() != 3 {
		t.Fatalf("commit %d with a majority for an entry of the leader's term", n.CommitIndex())
	}
}

// TestMembershipRules guards against two majorities without a common node.
func TestMembershipRules(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	leader := g.elect("a")
	if _, _, err := leader.ProposeMembership(voters("a", "d")); !ErrMembership.Has(err) {
		t.Errorf("change of more than one voter: %v", err)
	}
	if _, _, err := leader.ProposeMembership(voters("a", "b", "c", "d")); err != nil {
		t.Fatal(err)
	}
	if len(leader.Members()) != 4 {
		t.Error("the change is not in force after the append")
	}
	if _, _, err := leader.ProposeMembership(voters("a", "b", "c", "d", "e")); !ErrMembership.Has(err) {
		t.Errorf("a second change before the first is committed: %v", err)
	}
	g.deliverAll()
	if _, _, err := leader.ProposeMembership(voters("b", "c", "d")); err != nil {
		t.Fatal(err)
	}
	g.deliverAll()
	if leader.Role() == Leader {
		t.Error("the leader that removed itself is still the leader")
	}
}

// TestTruncatedMembership guards against a membership that stays in force after its entry was overwritten.
func TestTruncatedMembership(t *testing.T) {
	n := newNode(t, "a", 1, newLogEntries(t, voters("a", "b", "c")))
	data, _ := voters("a", "b", "c", "d").Encode()
	_ = n.Step(Message{Kind: Append, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1,
		Entries: []Entry{{Index: 2, Term: 2, Kind: EntryMembership, Data: data}}})
	drainReady(n)
	if len(n.Members()) != 4 {
		t.Fatalf("members %v after the append", n.Members())
	}
	_ = n.Step(Message{Kind: Append, From: "c", To: "a", Term: 3, Index: 1, LogTerm: 1,
		Entries: []Entry{{Index: 2, Term: 3, Kind: EntryNoOp}}})
	if len(n.Members()) != 3 {
		t.Fatalf("members %v after the entry was overwritten", n.Members())
	}
}

// TestFormerGeneration guards against a node that handles messages addressed to its lost data folder, and against a
// learner that starts an election.
func TestFormerGeneration(t *testing.T) {
	members := voters("a/1", "b/1").With(Member{Node: "a/2", ID: "a"})
	n := newNode(t, "a/2", 1, newLogEntries(t, members))
	for _, kind := range []MessageKind{PreVote, Vote, Append, TimeoutNow} {
		_ = n.Step(Message{Kind: kind, From: "b/1", To: "a/1", Term: 5, Index: 9, LogTerm: 4})
	}
	for range 100 {
		n.Tick()
	}
	if out := drainReady(n); len(out) > 0 || n.Term() != 1 {
		t.Fatalf("term %d, sent %+v", n.Term(), out)
	}
}

// TestEarlyMessages guards against a leader that sends messages of a term before it has synced that term.
func TestEarlyMessages(t *testing.T) {
	members := voters("a").With(Member{Node: "b", ID: "b"})
	n := newNode(t, "a", 1, newLogEntries(t, members))
	for n.Role() != Leader {
		n.Tick()
	}
	if rd := n.Ready(); len(rd.EarlyMessages) > 0 || rd.HardState == nil || len(rd.Messages) == 0 {
		t.Fatalf("early %+v together with the hard state %+v", rd.EarlyMessages, rd.HardState)
	}
}

// TestConflictHints guards against a leader that probes a long divergent log one entry at a time.
func TestConflictHints(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	terms := make([]uint64, 500)
	for i := range terms {
		terms[i] = 2
	}
	g.nodes["c"] = newNode(t, "c", 2, newLogEntries(t, voters("a", "b", "c"), terms...))
	for _, id := range []NodeID{"a", "b"} {
		g.nodes[id] = newNode(t, id, 5, newLogEntries(t, voters("a", "b", "c"), append([]uint64{1, 1, 1}, terms...)...))
		for i := range g.nodes[id].log.entries[4:] {
			g.nodes[id].log.entries[4+i].Term = 3
		}
	}
	leader := g.elect("a")
	g.tick(5, "a")
	if match, _ := leader.MatchIndex("c"); match != leader.LastIndex() || g.appendRejections > 3 {
		t.Fatalf("matched up to %d of %d with %d rejections", match, leader.LastIndex(), g.appendRejections)
	}
}

// TestPipelining guards against a leader that waits for each reply, and against an unlimited number of Appends in flight.
func TestPipelining(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	leader := g.elect("a")
	sent := map[int]int{}
	for range 10 {
		if _, _, err := leader.Propose(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		for _, m := range drainReady(leader) {
			if m.To == "b" && len(m.Entries) > 0 {
				sent[len(m.Entries)]++
			}
		}
	}
	if sent[1] != 4 || len(sent) != 1 {
		t.Fatalf("appends by number of entries %v, want 4 of 1 entry", sent)
	}
	_ = leader.Step(Message{Kind: AppendReply, From: "b", To: "a", Term: leader.Term(), Index: 3})
	for _, m := range drainReady(leader) {
		if m.To == "b" {
			sent[len(m.Entries)]++
		}
	}
	if sent[6] != 1 {
		t.Fatalf("appends by number of entries %v, want the 6 unsent entries in one message", sent)
	}
}

// TestInvalidState guards against a start from inconsistent persisted state.
func TestInvalidState(t *testing.T) {
	members := voters("a")
	for name, state := range map[string]State{
		"gap":                 {HardState: HardState{Term: 1}, Entries: []Entry{{Index: 2, Term: 1}}},
		"term after vote":     {HardState: HardState{Term: 1}, Entries: []Entry{{Index: 1, Term: 2}}},
		"decreasing term":     {HardState: HardState{Term: 3}, Entries: []Entry{{Index: 1, Term: 3}, {Index: 2, Term: 2}}},
		"base after snapshot": {HardState: HardState{Term: 3}, BaseIndex: 5, BaseTerm: 1},
		"no snapshot entry":   {HardState: HardState{Term: 3}, Snapshot: SnapshotMeta{Index: 9, Term: 2, Members: members}},
		"bad membership": {HardState: HardState{Term: 1},
			Entries: []Entry{{Index: 1, Term: 1, Kind: EntryMembership, Data: []byte("{")}}},
	} {
		if _, err := New(Config{Node: "a", Rand: func(int) int { return 0 }}, state); !ErrInvalidState.Has(err) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestRejoinedVoter guards against the loss of a committed entry when a second data folder is lost right after the first
// was replaced: a node becomes a voter only once it holds the committed entries.
func TestRejoinedVoter(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	leader := g.elect("a")
	g.isolated["c"] = true
	for i := range 5 {
		if _, _, err := leader.Propose(fmt.Append(nil, i)); err != nil {
			t.Fatal(err)
		}
	}
	g.deliverAll()
	g.nodes["c2"], g.order = newNode(t, "c2", 0, nil), append(g.order, "c2")
	members := leader.Members()
	for _, next := range []Membership{members.With(Member{Node: "c2"}), members.Without("c").With(Member{Node: "c2"}),
		members.Without("c").With(Member{Node: "c2", Voter: true})} {
		if _, _, err := leader.ProposeMembership(next); err != nil {
			t.Fatal(err)
		}
		g.tick(5, "a", "b", "c2")
	}
	commit := leader.CommitIndex()
	g.isolated["a"], g.isolated["c"] = true, true
	g.nodes["c2"].ticksSinceLeader = defaultElectionTicks
	if next := g.elect("b"); next.CommitIndex() <= commit || !next.log.hasEntry(commit, leader.Term()) {
		t.Fatalf("commit %d before the second loss, %d after it", commit, next.CommitIndex())
	}
}
