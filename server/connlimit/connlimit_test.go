package connlimit_test

import (
	"fmt"
	"testing"
	"time"

	"clementinetray/server/connlimit"
)

var start = time.Unix(1_000_000, 0)

func at(i int) time.Time { return start.Add(time.Duration(i) * time.Millisecond) }

// Guards against a flood from one address that closes the connections of other callers.
func TestFloodFromOneAddressClosesOnlyItsOwnConnections(t *testing.T) {
	table := connlimit.NewTable(connlimit.Limits{Total: 100, PerListener: 80, Guaranteed: 10})
	var ordinary []*connlimit.Conn
	for i := range 20 {
		c, victim, ok := table.Add("callers", fmt.Sprintf("10.0.0.%d", i), at(i))
		if victim != nil || !ok {
			t.Fatalf("connection %d below the limit: victim %v, ok %v", i, victim, ok)
		}
		ordinary = append(ordinary, c)
	}
	for i := range 5000 {
		_, victim, ok := table.Add("callers", "10.9.9.9", at(100+i))
		if !ok {
			t.Fatal("the flood's connection found none to close")
		}
		for n, c := range ordinary {
			if victim == c {
				t.Fatalf("connection %d of the flood closed ordinary connection %d", i, n)
			}
		}
	}
	if table.Count("callers") != 80 {
		t.Fatalf("%d connections, the limit is 80", table.Count("callers"))
	}
}

// Guards against a flood from many addresses that closes connections with a complete request, or a newer one before an older.
func TestFloodFromManyAddressesClosesTheLongestWaiting(t *testing.T) {
	table := connlimit.NewTable(connlimit.Limits{Total: 10, PerListener: 10, Guaranteed: 1})
	served, _, _ := table.Add("callers", "a", at(0))
	table.SetWaiting(served, false, at(1))
	var waiting []*connlimit.Conn
	for i := range 9 {
		c, _, _ := table.Add("callers", fmt.Sprint("b", i), at(2+i))
		waiting = append(waiting, c)
	}
	for i := range 9 {
		if _, victim, ok := table.Add("callers", fmt.Sprint("c", i), at(100+i)); !ok || victim != waiting[i] {
			t.Fatalf("connection %d closed another one than the longest waiting", i)
		}
	}
}

// Guards against a flood that closes the idle connections of ordinary callers, which they are about to use again.
func TestFloodKeepsIdleConnectionsOfOrdinaryCallers(t *testing.T) {
	table := connlimit.NewTable(connlimit.Limits{Total: 100, PerListener: 100, Guaranteed: 10})
	for i := range 50 {
		c, _, _ := table.Add("callers", "balancer", at(i))
		table.SetWaiting(c, false, at(i))
		table.SetAnswered(c)
		table.SetWaiting(c, true, at(i))
		c.Owner = "ordinary"
	}
	for i := range 5000 {
		if _, victim, ok := table.Add("callers", fmt.Sprint(i), at(100+i)); !ok || victim != nil && victim.Owner == "ordinary" {
			t.Fatalf("connection %d of the flood: ok %v, victim %v", i, ok, victim)
		}
	}
}

// Guards against a flood of answered connections, left open, that has each new connection closed before its first request.
func TestFloodOfAnsweredConnectionsLeavesRoomForNewOnes(t *testing.T) {
	table := connlimit.NewTable(connlimit.Limits{Total: 100, PerListener: 100, Guaranteed: 10})
	for i := range 100 {
		c, _, _ := table.Add("callers", fmt.Sprint(i), at(i))
		table.SetWaiting(c, false, at(i))
		table.SetAnswered(c)
		table.SetWaiting(c, true, at(i))
	}
	var fresh []*connlimit.Conn
	for i := range 20 {
		c, victim, ok := table.Add("callers", fmt.Sprint("new", i), at(200+i))
		for _, f := range fresh {
			if victim == f {
				t.Fatalf("connection %d closed a new one", i)
			}
		}
		if !ok {
			t.Fatalf("connection %d was refused", i)
		}
		fresh = append(fresh, c)
	}
}

// Guards against a full process that closes requests it serves.
func TestNewConnectionIsRefusedWhenAllOthersAreServed(t *testing.T) {
	table := connlimit.NewTable(connlimit.Limits{Total: 2, PerListener: 2, Guaranteed: 1})
	for i := range 2 {
		c, _, _ := table.Add("callers", "a", at(i))
		table.SetWaiting(c, false, at(i))
	}
	if _, victim, ok := table.Add("callers", "b", at(3)); ok || victim != nil {
		t.Fatalf("victim %v, ok %v", victim, ok)
	}
}

// Guards against a flood of one listener that takes the connections of the readiness probe and of peers.
func TestOtherListenersKeepTheirPart(t *testing.T) {
	limits := connlimit.DeriveLimits(80)
	table := connlimit.NewTable(limits)
	for i := range 1000 {
		table.Add("callers", fmt.Sprint(i), at(i))
	}
	var peers []*connlimit.Conn
	for i := range limits.Guaranteed {
		c, _, ok := table.Add("peers", "p", at(2000+i))
		if !ok {
			t.Fatalf("peer connection %d was refused", i)
		}
		peers = append(peers, c)
	}
	for i := range 1000 {
		for _, listener := range []string{"callers", "operators", "metrics"} {
			_, victim, _ := table.Add(listener, fmt.Sprint(i), at(3000+i))
			for _, p := range peers {
				if victim == p {
					t.Fatalf("a connection of %s closed one of a peer", listener)
				}
			}
		}
	}
	if table.Count("callers")+table.Count("operators")+table.Count("metrics")+table.Count("peers") > limits.Total {
		t.Fatal("more connections than the total")
	}
}

// Guards against listeners that take the part of another one when it alone has connections that wait.
func TestWaitingConnectionsWithinTheirPartAreKept(t *testing.T) {
	limits := connlimit.DeriveLimits(80)
	table := connlimit.NewTable(limits)
	var peers []*connlimit.Conn
	for i := range limits.Guaranteed {
		c, _, _ := table.Add("peers", "p", at(i))
		peers = append(peers, c)
	}
	for i := range 1000 {
		c, victim, ok := table.Add([]string{"callers", "operators"}[i%2], fmt.Sprint(i), at(100+i))
		for _, p := range peers {
			if victim == p {
				t.Fatalf("connection %d closed one of a peer", i)
			}
		}
		if ok {
			table.SetWaiting(c, false, at(100+i))
		}
	}
}

// Guards against a count that grows with connections that have ended.
func TestRemovedConnectionsDoNotCount(t *testing.T) {
	table := connlimit.NewTable(connlimit.Limits{Total: 2, PerListener: 2, Guaranteed: 1})
	for i := range 10 {
		c, victim, ok := table.Add("callers", "a", at(i))
		if !ok || victim != nil {
			t.Fatalf("round %d: victim %v, ok %v", i, victim, ok)
		}
		table.SetWaiting(c, i%2 == 0, at(i))
		table.Remove(c)
		table.Remove(c)
		table.SetWaiting(c, true, at(i))
	}
	if table.Count("callers") != 0 {
		t.Fatalf("%d connections are counted", table.Count("callers"))
	}
}
