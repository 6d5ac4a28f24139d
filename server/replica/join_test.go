package replica_test

import (
	"path/filepath"
	"testing"
	"time"

	"clementinetray/server/replica"
)

// withGroupSize returns a function that configures a replica of a group with automatic membership and size voters.
func withGroupSize(size int) func(*replica.Config) {
	return func(cfg *replica.Config) {
		cfg.GroupSize, cfg.BootstrapWait, cfg.UnresponsiveTimeout = size, 400*time.Millisecond, 500*time.Millisecond
	}
}

// add starts a replica that is not in the Members of the others.
func (c *cluster) add(id string) *node {
	n := c.listen(id, filepath.Join(c.t.TempDir(), id))
	c.startReplica(n)
	return n
}

func (c *cluster) voters() map[string]bool {
	out := map[string]bool{}
	for _, m := range c.leader().Status().Members {
		if m.Voter {
			out[m.ID] = true
		}
	}
	return out
}

// Guards against a group that starts with its configured members only, so that the loss of two data folders right after
// the start loses committed commands.
func TestReplicasThatJoinDuringBootstrapAreFirstVoters(t *testing.T) {
	c := &cluster{t: t, members: map[string]string{}, nodes: map[string]*node{}, changeConfig: withGroupSize(5)}
	t.Cleanup(func() {
		for id := range c.nodes {
			c.kill(id)
		}
	})
	for _, id := range []string{"c1", "c2", "c3"} {
		n := c.listen(id, filepath.Join(t.TempDir(), id))
		c.members[id] = n.address
	}
	for _, id := range []string{"c1", "c2", "c3"} {
		c.startReplica(c.nodes[id])
	}
	c.add("c4")
	c.add("c5")
	c.eventually("five voters", func() bool { return len(c.voters()) == 5 })
	c.propose("a")
	c.awaitSameCommands(1)
}

// Guards against a group that stays smaller after an instance is replaced by one with another id and address.
func TestJoiningReplicaReplacesUnresponsiveVoter(t *testing.T) {
	c := newCluster(t, 3, withGroupSize(3))
	c.propose("a")
	c.leader()
	c.kill("c3")
	delete(c.nodes, "c3")
	c.add("c9")
	c.eventually("the new replica is a voter and the unresponsive one is removed", func() bool {
		v := c.voters()
		return len(v) == 3 && v["c9"] && !v["c3"]
	})
	c.propose("b")
	c.awaitSameCommands(2)
}

// Guards against the removal of an unresponsive voter while there is no replica to replace it.
func TestUnresponsiveVoterStaysWithoutReplacement(t *testing.T) {
	c := newCluster(t, 3, withGroupSize(3))
	c.propose("a")
	c.kill("c3")
	time.Sleep(3 * 500 * time.Millisecond)
	if v := c.voters(); !v["c3"] {
		t.Fatalf("voters %v, want c3 among them", v)
	}
}

// Guards against replicas that join a group whose membership only operators change.
func TestUnknownReplicasAreNotAdmittedWithoutAGroupSize(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.propose("a")
	c.add("c9")
	time.Sleep(time.Second)
	for _, m := range c.leader().Status().Members {
		if m.ID == "c9" {
			t.Fatal("an unknown replica was admitted")
		}
	}
}

// Guards against a voter that is removed while it is silent and never joins again: the group then keeps a dead voter in its place.
func TestVoterRemovedWhileSilentJoinsAgain(t *testing.T) {
	c := newCluster(t, 3, withGroupSize(3))
	c.propose("a")
	c.awaitSameCommands(1)
	c.add("c4")
	c.eventually("the successor is a voter", func() bool { return c.voters()["c4"] })
	c.kill("c2")
	c.eventually("the silent voter is removed", func() bool { return !c.voters()["c2"] })
	c.kill("c3")
	c.restart("c2")
	c.eventually("the removed voter is a voter again, and the dead one is not", func() bool {
		v := c.voters()
		return len(v) == 3 && v["c2"] && v["c4"] && !v["c3"]
	})
	c.kill("c1")
	c.propose("b")
	c.awaitSameCommands(2)
}
