package replica_test

import (
	"fmt"
	"testing"
	"time"

	"clementinetray/server/replica"
)

// withPartitions configures replicas whose calls fail early, so that a partition of a second spans several of them.
func withPartitions(size int) func(*replica.Config) {
	return func(cfg *replica.Config) {
		withGroupSize(size)(cfg)
		cfg.CallTimeout = 200 * time.Millisecond
	}
}

// partition starts a partition of the replica, or ends it if p is empty.
func (c *cluster) partition(id string, p partition) { c.network.set(c.nodes[id].address, p) }

// transferLeadership moves the leadership to another replica, which it returns. On a loaded machine no voter may answer in time for
// one attempt.
func (c *cluster) transferLeadership() *node {
	c.t.Helper()
	old := c.leader()
	var next *node
	c.eventually("another leader", func() bool {
		if next = c.leader(); next != old {
			return true
		}
		if err := old.TransferLeadership(contextWithTimeout(c.t, 5*time.Second)); err != nil {
			c.t.Logf("transfer from %s: %v", old.id, err)
		}
		return false
	})
	return next
}

// moveLeadershipFromPartition transfers the leadership after a command that only replicas without a partition have, as one of the
// voters with the most advanced log is chosen.
func (c *cluster) moveLeadershipFromPartition(command string) {
	c.t.Helper()
	c.propose(command)
	c.transferLeadership()
}

// interrupt partitions the replica until calls to it have failed, and waits until it responds to the leader again: the links of all
// leaders since then are at a later stream than their first.
func (c *cluster) interrupt(id string) {
	c.t.Helper()
	c.partition(id, connectionsReset)
	time.Sleep(250 * time.Millisecond)
	c.partition(id, "")
	c.propose("after an interruption")
	c.eventually("the interrupted replica has all entries", func() bool {
		status := c.leader().Status()
		for _, m := range status.Members {
			if m.ID == id {
				return m.Active && m.MatchIndex >= status.CommitIndex
			}
		}
		return false
	})
}

// awaitVoters waits until the voters are the running replicas.
func (c *cluster) awaitVoters(condition string) {
	c.t.Helper()
	c.eventually(condition, func() bool {
		voters := c.voters()
		for id := range c.nodes {
			if !voters[id] {
				return false
			}
		}
		return len(voters) == len(c.nodes)
	})
}

// Guards against a voter that is removed while it is partitioned with failed calls on the leader's link to it, and that never
// catches up after the same leader has admitted it again: the calls of the new link then begin with a lower stream.
func TestVoterRemovedWhilePartitionedCatchesUp(t *testing.T) {
	for _, kind := range []partition{lostBothWays, lostInbound, connectionsReset} {
		t.Run(string(kind), func(t *testing.T) {
			c := newClusterOn(t, newFaultNetwork(), 3, withPartitions(2))
			c.propose("a")
			c.awaitSameCommands(1)
			leader := c.leader()
			cut := c.otherThan(leader.id)
			c.interrupt(cut)
			c.partition(cut, kind)
			c.eventually("the partitioned voter is removed", func() bool { return !c.voters()[cut] })
			// The calls that were under way at the removal fail meanwhile.
			time.Sleep(500 * time.Millisecond)
			c.partition(cut, "")
			c.awaitVoters("the removed voter is a voter again")
			c.propose("b")
			c.awaitSameCommands(3)
			if now := c.leader(); now != leader {
				t.Logf("the leadership moved from %s to %s meanwhile", leader.id, now.id)
			}
		})
	}
}

// Guards against a removed voter that never catches up under a leader other than the one that removed it: each replica that led
// during the partition has a link with failed calls, which it closes when the removal is committed.
func TestVoterRemovedWhilePartitionedCatchesUpUnderAnotherLeader(t *testing.T) {
	c := newClusterOn(t, newFaultNetwork(), 3, withPartitions(2))
	c.propose("a")
	c.awaitSameCommands(1)
	cut := c.otherThan(c.leader().id)
	c.interrupt(cut)
	// The partition keeps the leadership from moving to the replica that is cut later.
	c.partition(cut, connectionsReset)
	c.moveLeadershipFromPartition("b")
	c.interrupt(cut)
	c.partition(cut, connectionsReset)
	// Both of the others lead for a while and call the partitioned voter. A new leader removes no voter within its first
	// election timeout and UnresponsiveTimeout, which are 500 ms each.
	for _, command := range []string{"c", "d"} {
		time.Sleep(400 * time.Millisecond)
		c.moveLeadershipFromPartition(command)
	}
	c.eventually("the partitioned voter is removed", func() bool { return !c.voters()[cut] })
	c.transferLeadership()
	c.partition(cut, "")
	c.awaitVoters("the removed voter is a voter again")
	c.propose("e")
	c.awaitSameCommands(7)
}

// Guards against a group that stays below its size in live voters while a voter that announced its stop is dead: the stopped one was
// needed because a partitioned voter had been removed, which then joins again. Two lost data folders would end the group.
func TestGroupReturnsToItsSizeBesideADepartedVoter(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		t.Run(fmt.Sprint("leader changes ", leaderChanges), func(t *testing.T) {
			c := newClusterOn(t, newFaultNetwork(), 5, withPartitions(5))
			c.propose("a")
			c.awaitSameCommands(1)
			leader := c.leader().id
			old := c.otherThan(leader)
			cut := c.otherThan(leader, old)
			c.interrupt(cut)
			c.partition(cut, lostBothWays)
			c.add("c6")
			c.eventually("the successor is a voter and the partitioned one is removed", func() bool {
				v := c.voters()
				return v["c6"] && !v[cut]
			})
			c.stop(old)
			delete(c.nodes, old)
			if v := c.voters(); !v[old] {
				t.Fatalf("voters %v: %s was not needed", v, old)
			}
			if leaderChanges {
				// The next leader does not know of the announcement.
				c.propose("b")
				c.transferLeadership()
			}
			c.partition(cut, "")
			c.awaitVoters("the voters are the five running replicas")
			for range 2 {
				c.kill(c.otherThan())
			}
			c.propose("c")
		})
	}
}

// Guards against a leader that gives up its planned stop at once because no voter has answered for half an election timeout, as on
// slow disks: it then transfers and announces nothing and stays a voter, and two lost data folders end the group.
func TestPlannedStopOfALeaderWaitsForVoters(t *testing.T) {
	c := newClusterOn(t, newFaultNetwork(), 3, withSlowRemoval(3))
	c.propose("a")
	leader := c.leader().id
	c.partition(leader, lostBothWays)
	time.Sleep(300 * time.Millisecond)
	// The leader loses its leadership after an election timeout of 500 ms and then looks for the next one for two of them.
	if took := c.stop(leader); took < 900*time.Millisecond {
		t.Errorf("the stop gave up after %v", took)
	}
}
