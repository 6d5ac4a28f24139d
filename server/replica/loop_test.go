package replica

import (
	"testing"
	"time"

	"clementinetray/server/blackboard"
	"clementinetray/server/raft"
)

// TestMissedTicks guards against a leader that was frozen for longer than an election timeout and handles proposals and
// reads before it detects that its term may have ended.
func TestMissedTicks(t *testing.T) {
	r := newLeader(t, raft.Membership{{Node: "a/1", ID: "a", Voter: true}, {Node: "b/1", ID: "b", Voter: true}})
	r.lastTick = time.Now().Add(-r.cfg.Tick)
	r.tick()
	if r.node.Role() != raft.Leader {
		t.Fatalf("role %d after one tick", r.node.Role())
	}
	r.lastTick = time.Now().Add(-time.Minute)
	r.tick()
	if r.node.Role() == raft.Leader {
		t.Fatal("still the leader after a minute without ticks")
	}
}

// Guards against the removal of a member that answered another leader while this process stood still.
func TestSilencesAreForgottenAfterMissedTicks(t *testing.T) {
	r := newLeader(t, raft.Membership{{Node: "a/1", ID: "a", Voter: true}, {Node: "b/1", ID: "b", Voter: true}})
	r.silences.learn(time.Now(), "b/1", []raft.Silence{{Node: "c/1", Age: time.Minute}})
	r.lastTick = time.Now().Add(-r.cfg.Tick)
	r.tickClock(time.Now())
	if len(r.silences.since) != 1 {
		t.Errorf("%v is left after one tick, want the silence of c/1", r.silences.since)
	}
	r.lastTick = time.Now().Add(-time.Minute)
	r.tickClock(time.Now())
	if len(r.silences.since) != 0 {
		t.Errorf("%v is left after a minute without ticks", r.silences.since)
	}
}

// TestUncommittedMembership guards against a status that names a voter whose admission is on no other replica yet, so that an
// operator who relies on it loses a majority with the next folder.
func TestUncommittedMembership(t *testing.T) {
	learner := raft.Member{Node: "c/1", ID: "c", Rejoining: true}
	members := raft.Membership{{Node: "a/1", ID: "a", Voter: true}, {Node: "b/1", ID: "b", Voter: true}, learner}
	r := newLeader(t, members)
	acknowledge := func() {
		ready := r.node.Ready()
		r.node.Advance(ready)
		if err := r.node.Step(raft.Message{Kind: raft.AppendReply, From: "b/1", To: "a/1", Term: r.node.Term(), Index: r.node.LastIndex()}); err != nil {
			t.Fatal(err)
		}
		r.node.Advance(r.node.Ready())
		r.publishStatus()
	}
	acknowledge()
	if _, _, err := r.node.ProposeMembership(members.With(asVoter(learner))); err != nil {
		t.Fatal(err)
	}
	r.publishStatus()
	votes := func() bool { return r.status.Load().Members[2].Voter }
	if votes() {
		t.Error("the status names a voter whose admission is not committed")
	}
	if progress, err := r.advanceAdmission(JoinArgs{ID: "c", Node: "c/1"}); err != nil || progress != JoinChanging {
		t.Errorf("admission before the commit: %q, %v", progress, err)
	}
	acknowledge()
	if !votes() {
		t.Error("the status does not name a voter whose admission is committed")
	}
	if progress, err := r.advanceAdmission(JoinArgs{ID: "c", Node: "c/1"}); err != nil || progress != JoinVoter {
		t.Errorf("admission after the commit: %q, %v", progress, err)
	}
}

// newLeader returns a replica a/1 without storage that was elected by b/1.
func newLeader(t *testing.T, members raft.Membership) *Replica {
	r := &Replica{status: blackboard.NewSection(Status{})}
	r.cfg.setDefaults()
	r.nodeID = "a/1"
	r.silences = newSilences(r.nodeID, r.cfg.ElectionTimeout)
	var err error
	if r.statusWriter, err = r.status.Writer(); err != nil {
		t.Fatal(err)
	}
	r.node, err = raft.New(r.raftConfig(), raft.State{HardState: raft.HardState{Term: 1}, BaseIndex: 1, BaseTerm: 1,
		Snapshot: raft.SnapshotMeta{Index: 1, Term: 1, Members: members}})
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range []raft.MessageKind{raft.PreVoteReply, raft.VoteReply} {
		for r.node.Role() == raft.Follower {
			r.node.Tick()
		}
		if err := r.node.Step(raft.Message{Kind: kind, From: "b/1", To: "a/1", Term: 2}); err != nil {
			t.Fatal(err)
		}
	}
	return r
}
