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
	r := &Replica{status: blackboard.NewSection(Status{})}
	r.cfg.setDefaults()
	r.nodeID = "a/1"
	members := raft.Membership{{Node: "a/1", ID: "a", Voter: true}, {Node: "b/1", ID: "b", Voter: true}}
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
