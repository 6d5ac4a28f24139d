package replica_test

import (
	"path/filepath"
	"testing"
	"time"

	"clementinetray/server/replica"
)

// openGroup lets replicas join by themselves and keeps the number of voters.
func openGroup(size int) func(*replica.Config) {
	return func(cfg *replica.Config) {
		cfg.GroupSize, cfg.GatherTime, cfg.SilenceLimit = size, 400*time.Millisecond, 500*time.Millisecond
	}
}

// add starts a replica that the settings of the others do not name.
func (c *cluster) add(id string) *node {
	n := c.listen(id, filepath.Join(c.t.TempDir(), id))
	c.run(n)
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

// Guards against a group that starts with its seeds only, so that the loss of two folders right after the start loses what
// was accepted.
func TestReplicasThatAskDuringTheBootstrapAreInTheFirstGroup(t *testing.T) {
	c := &cluster{t: t, members: map[string]string{}, nodes: map[string]*node{}, adjust: openGroup(5)}
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
		c.run(c.nodes[id])
	}
	c.add("c4")
	c.add("c5")
	c.eventually("five voters", func() bool { return len(c.voters()) == 5 })
	c.propose("a")
	c.converged(1)
}

// Guards against a group that shrinks for good when an instance is replaced by another one at another address.
func TestAReplicaThatJoinsTakesThePlaceOfASilentOne(t *testing.T) {
	c := newCluster(t, 3, openGroup(3))
	c.propose("a")
	c.leader()
	c.kill("c3")
	delete(c.nodes, "c3")
	c.add("c9")
	c.eventually("the new replica votes and the silent one has left", func() bool {
		v := c.voters()
		return len(v) == 3 && v["c9"] && !v["c3"]
	})
	c.propose("b")
	c.converged(2)
}

// Guards against a voter that is dropped while nobody can take its place.
func TestASilentVoterStaysWithoutASuccessor(t *testing.T) {
	c := newCluster(t, 3, openGroup(3))
	c.propose("a")
	c.kill("c3")
	time.Sleep(3 * 500 * time.Millisecond)
	if v := c.voters(); !v["c3"] {
		t.Fatalf("voters %v, want c3 among them", v)
	}
}

// Guards against replicas that join a group whose operators decide on its members.
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
