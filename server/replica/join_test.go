package replica_test

import (
	"path/filepath"
	"slices"
	"sync"
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

// withSlowRemoval is withGroupSize with a removal of silent voters that no test waits for.
func withSlowRemoval(size int) func(*replica.Config) {
	return func(cfg *replica.Config) {
		withGroupSize(size)(cfg)
		cfg.UnresponsiveTimeout = time.Minute
	}
}

// stop stops a replica as planned and closes its connections.
func (c *cluster) stop(id string) time.Duration {
	c.t.Helper()
	began := time.Now()
	if err := c.nodes[id].Stop(contextWithTimeout(c.t, 5*time.Second)); err != nil {
		c.t.Fatal(err)
	}
	took := time.Since(began)
	c.kill(id)
	return took
}

// Guards against a replaced replica that stays a voter after its planned stop: the loss of two of the five data folders that are
// left then ends the group.
func TestPlannedStopAboveTheGroupSizeRemovesTheVoter(t *testing.T) {
	for _, which := range []string{"follower", "leader"} {
		t.Run(which, func(t *testing.T) {
			c := newCluster(t, 5, withSlowRemoval(5))
			c.propose("a")
			c.add("c6")
			c.eventually("six voters", func() bool { return len(c.voters()) == 6 })
			c.awaitSameCommands(1)
			leader := c.leader().id
			old := leader
			if which == "follower" {
				old = c.otherThan(leader)
			}
			c.stop(old)
			lost := c.otherThan(old, "c6")
			for _, id := range []string{lost, c.otherThan(old, "c6", lost)} {
				c.kill(id)
			}
			c.propose("b")
			if v := c.voters(); v[old] {
				t.Fatalf("voters %v, %s has stopped as planned", v, old)
			}
		})
	}
}

// Guards against a leader whose Status still names a removed member after the removal has returned: operators and tests that check
// the result of a change would take it for lost.
func TestStatusHasACommittedMembershipChange(t *testing.T) {
	c := newCluster(t, 5, withSlowRemoval(5))
	c.propose("a")
	leader := c.leader()
	for range 2 {
		removed := ""
		for _, m := range leader.Status().Members {
			if m.ID != leader.id {
				removed = m.ID
			}
		}
		if err := leader.Remove(contextWithTimeout(t, 5*time.Second), removed); err != nil {
			t.Fatal(err)
		}
		for _, m := range leader.Status().Members {
			if m.ID == removed {
				t.Errorf("%s is a member in the status right after its removal", removed)
			}
		}
	}
}

// otherThan returns a running replica that is none of the given ones.
func (c *cluster) otherThan(ids ...string) string {
	c.t.Helper()
	for id, n := range c.nodes {
		if n.Replica != nil && !slices.Contains(ids, id) {
			return id
		}
	}
	c.t.Fatalf("no running replica but %v", ids)
	return ""
}

// Guards against two planned stops at once that both leave a group with one voter too many, or that wait for each other.
func TestTwoPlannedStopsLeaveTheGroupAtItsSize(t *testing.T) {
	c := newCluster(t, 3, withSlowRemoval(3))
	c.propose("a")
	c.add("c4")
	c.eventually("four voters", func() bool { return len(c.voters()) == 4 })
	first := c.otherThan("c4")
	second := c.otherThan("c4", first)
	var stops sync.WaitGroup
	for _, id := range []string{first, second} {
		stops.Go(func() { _ = c.nodes[id].Stop(contextWithTimeout(t, 5*time.Second)) })
	}
	stops.Wait()
	c.kill(first)
	c.kill(second)
	c.propose("b")
	if v := c.voters(); len(v) != 3 || v[first] == v[second] {
		t.Fatalf("voters %v, want one of %s and %s among three", v, first, second)
	}
}

// Guards against a replica that gives up its vote when it is only restarted, so that a restart of all shrinks the group.
func TestRestartsKeepTheGroupAtItsSize(t *testing.T) {
	c := newCluster(t, 3, withSlowRemoval(3))
	c.propose("a")
	for _, id := range []string{"c1", "c2", "c3"} {
		c.stop(id)
		if v := c.voters(); len(v) != 3 {
			t.Fatalf("voters %v after a planned stop of %s", v, id)
		}
		c.restart(id)
		c.propose(id)
	}
	c.awaitSameCommands(4)
}

// Guards against a replica that was removed at its planned stop and is kept out after it was started again.
func TestReplicaThatLeftJoinsAgain(t *testing.T) {
	c := newCluster(t, 3, withSlowRemoval(3))
	c.propose("a")
	c.add("c4")
	c.eventually("four voters", func() bool { return len(c.voters()) == 4 })
	c.stop("c2")
	c.restart("c2")
	c.eventually("the replica is a voter again", func() bool { return c.voters()["c2"] })
	c.stop("c3")
	c.eventually("three live voters", func() bool { return len(c.voters()) == 3 && !c.voters()["c3"] })
}

// Guards against a departed voter that is kept for UnresponsiveTimeout when its successor becomes a voter after the stop.
func TestSuccessorReplacesADepartedVoterAtOnce(t *testing.T) {
	c := newCluster(t, 3, withSlowRemoval(3))
	c.propose("a")
	c.stop("c2")
	c.add("c4")
	c.eventually("the departed voter is replaced", func() bool {
		v := c.voters()
		return len(v) == 3 && v["c4"] && !v["c2"]
	})
}

// Guards against a planned stop that hangs when there is no leader.
func TestPlannedStopWithoutALeader(t *testing.T) {
	c := newCluster(t, 3, withSlowRemoval(3))
	c.propose("a")
	last := c.leader().id
	for id := range c.nodes {
		if id != last {
			c.kill(id)
		}
	}
	if took := c.stop(last); took > 3*time.Second {
		t.Fatalf("the stop took %v without a leader", took)
	}
}
