package replica

import (
	"testing"
	"time"

	"clementinetray/server/raft"
)

// TestFollowerAge guards against a follower that counts a message as young because it arrived late: the age must
// include the time that the message and the reply before it were under way.
func TestFollowerAge(t *testing.T) {
	leader, follower := newFreshness(), newFreshness()
	follower.start = follower.start.Add(-time.Minute)
	now := time.Now()
	reply := raft.Message{Kind: raft.AppendReply, From: "b"}
	follower.stamp(&reply, now)
	leader.replyReceived(reply)
	leader.startRound(7, now.Add(200*time.Millisecond), 5)
	leader.confirmRound(6)
	message := raft.Message{Kind: raft.Append, To: "b", Commit: 6}
	leader.stamp(&message, now.Add(300*time.Millisecond))
	follower.appendReceived(message)
	if _, ok := follower.at(9); ok {
		t.Error("an age from a leader that no majority has confirmed")
	}
	leader.confirmRound(7)
	leader.stamp(&message, now.Add(300*time.Millisecond))
	follower.appendReceived(message)
	if _, ok := follower.at(5); ok {
		t.Error("an age for a state that lacks an entry committed at the leader")
	}
	// The leader's state was current 100 ms before the message, which was sent after the follower's reply.
	if at, ok := follower.at(6); !ok || at.After(now.Add(-100*time.Millisecond)) {
		t.Errorf("current at %v after the reply, %t", at.Sub(now), ok)
	}
	restarted := newFreshness()
	restarted.appendReceived(message)
	if _, ok := restarted.at(9); ok {
		t.Error("an age from a clock of an earlier process")
	}
}

// TestFreshPoints guards against an apply loop that lags and makes the age unknown or too young.
func TestFreshPoints(t *testing.T) {
	f, now := newFreshness(), time.Now()
	for i := range 3 * maxFreshPoints {
		f.add(freshPoint{now.Add(time.Duration(i) * time.Second), uint64(i)})
	}
	if at, ok := f.at(0); !ok || !at.Equal(now) {
		t.Errorf("with nothing more applied: %v, %t", at.Sub(now), ok)
	}
	if at, ok := f.at(3*maxFreshPoints - 1); !ok || at.Sub(now) != (3*maxFreshPoints-1)*time.Second {
		t.Errorf("with all applied: %v, %t", at.Sub(now), ok)
	}
}

// Guards against a leader that was suspended with its machine and takes its last confirmed round for current.
func TestPointsEndWithASuspension(t *testing.T) {
	f, now := newFreshness(), time.Now()
	f.startRound(1, now, 5)
	f.confirmRound(1)
	if _, ok := f.at(5); !ok {
		t.Fatal("a confirmed round gives no point")
	}
	f.asleep -= time.Second // as if the machine had been suspended for a second since the last look
	if _, ok := f.at(5); ok {
		t.Fatal("a point from before the suspension counts before the loop has noticed it")
	}
	era := f.era
	f.wake()
	if _, ok := f.at(5); ok || f.era == era {
		t.Fatal("points or echoes from before the suspension count after it")
	}
}
