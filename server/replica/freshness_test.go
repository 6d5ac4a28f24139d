package replica

import (
	"testing"
	"time"

	"clementinetray/server/raft"
)

// TestFollowerAge guards against a follower that reports too low an age after a delayed message: the age must include the
// time in transit of the message and of the reply before it.
func TestFollowerAge(t *testing.T) {
	leader, follower := newFreshness(), newFreshness()
	follower.startedAt = follower.startedAt.Add(-time.Minute)
	now := time.Now()
	reply := raft.Message{Kind: raft.AppendReply, From: "b"}
	follower.setClockFields(&reply, now)
	leader.handleAppendReply(reply)
	leader.startRound(7, now.Add(200*time.Millisecond), 5)
	leader.confirmRound(6)
	message := raft.Message{Kind: raft.Append, To: "b", Commit: 6}
	leader.setClockFields(&message, now.Add(300*time.Millisecond))
	follower.handleAppend(message)
	if _, ok := follower.currentAt(9); ok {
		t.Error("an age although no majority has confirmed the leader")
	}
	leader.confirmRound(7)
	leader.setClockFields(&message, now.Add(300*time.Millisecond))
	follower.handleAppend(message)
	if _, ok := follower.currentAt(5); ok {
		t.Error("an age for a state that lacks an entry committed at the leader")
	}
	// The leader's state was current 100 ms before the message, which was sent after the follower's reply.
	if at, ok := follower.currentAt(6); !ok || at.After(now.Add(-100*time.Millisecond)) {
		t.Errorf("current at %v after the reply, %t", at.Sub(now), ok)
	}
	restarted := newFreshness()
	restarted.handleAppend(message)
	if _, ok := restarted.currentAt(9); ok {
		t.Error("an age from a clock reading of an earlier process")
	}
}

// TestFreshPoints guards against an age that is unknown or too low while the apply loop lags.
func TestFreshPoints(t *testing.T) {
	f, now := newFreshness(), time.Now()
	for i := range 3 * maxFreshPoints {
		f.addPoint(freshPoint{now.Add(time.Duration(i) * time.Second), uint64(i)})
	}
	if at, ok := f.currentAt(0); !ok || !at.Equal(now) {
		t.Errorf("with nothing more applied: %v, %t", at.Sub(now), ok)
	}
	if at, ok := f.currentAt(3*maxFreshPoints - 1); !ok || at.Sub(now) != (3*maxFreshPoints-1)*time.Second {
		t.Errorf("with all applied: %v, %t", at.Sub(now), ok)
	}
}

// Guards against a leader that relies on its last confirmed round after its machine was suspended.
func TestSuspensionDropsPoints(t *testing.T) {
	f, now := newFreshness(), time.Now()
	f.startRound(1, now, 5)
	f.confirmRound(1)
	if _, ok := f.currentAt(5); !ok {
		t.Fatal("a confirmed round gives no point")
	}
	f.suspended -= time.Second // simulates a suspension of one second
	if _, ok := f.currentAt(5); ok {
		t.Fatal("a point from before the suspension is used before the raft loop has noticed the suspension")
	}
	clockEpoch := f.clockEpoch
	f.dropAfterSuspension()
	if _, ok := f.currentAt(5); ok || f.clockEpoch == clockEpoch {
		t.Fatal("points or clock readings from before the suspension are still valid after it")
	}
}
