package replica

import (
	"math/rand/v2"
	"sync"
	"time"

	"clementinetray/server/clock"
	"clementinetray/server/raft"
)

// maxFreshPoints is the largest number of stored points. When it is reached, the second oldest point is dropped.
const maxFreshPoints = 64

// freshPoint says that at the time at, no entry after index was committed: a state with all entries up to index applied
// was current then.
type freshPoint struct {
	at    time.Time
	index uint64
}

// roundStart is a heartbeat round that this leader started, with its start time and the commit index at that time.
type roundStart struct {
	round uint64
	freshPoint
}

// freshness derives an upper bound on the age of the applied state.
type freshness struct {
	// startedAt is the origin of the clock readings in messages.
	startedAt time.Time
	// bootID is a random nonzero id of this process.
	bootID uint64

	// The fields from here to mu are used by the raft loop only.

	// clockEpoch is a random nonzero id of the time since the machine was last suspended. Clock readings with another id
	// are invalid.
	clockEpoch uint64
	// unconfirmedRounds holds the rounds that no majority has acknowledged yet.
	unconfirmedRounds []roundStart
	// followerClocks holds the last clock reading of each follower, which the next Append returns to it.
	followerClocks map[raft.NodeID]raft.Clock

	mu     sync.Mutex   // guards the fields below
	points []freshPoint // in order of time
	// suspended is the total time that the machine had been suspended at the last check by dropAfterSuspension.
	suspended time.Duration
}

func newFreshness() *freshness {
	return &freshness{startedAt: time.Now(), bootID: rand.Uint64() | 1, clockEpoch: rand.Uint64() | 1, followerClocks: map[raft.NodeID]raft.Clock{}, suspended: clock.SuspendedTime()}
}

// startRound registers a heartbeat round that this leader started at the time at with the commit index commit.
func (f *freshness) startRound(round uint64, at time.Time, commit uint64) {
	f.unconfirmedRounds = append(f.unconfirmedRounds, roundStart{round, freshPoint{at, commit}})
}

// confirmRound adds a point for the newest registered round that is not after the given one. A majority has acknowledged
// the given round.
func (f *freshness) confirmRound(round uint64) {
	confirmed := -1
	for i, r := range f.unconfirmedRounds {
		if r.round <= round {
			confirmed = i
		}
	}
	if confirmed >= 0 {
		f.addPoint(f.unconfirmedRounds[confirmed].freshPoint)
		f.unconfirmedRounds = append(f.unconfirmedRounds[:0], f.unconfirmedRounds[confirmed+1:]...)
	}
}

// dropAfterSuspension drops all points and rounds if the machine was suspended since the last call. The monotonic clock
// did not advance during the suspension, so the points and rounds look newer than they are. A new clockEpoch invalidates
// the clock readings in messages that are still in transit. dropAfterSuspension runs in the raft loop and
// reports whether there was a suspension.
func (f *freshness) dropAfterSuspension() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.resumed() {
		return false
	}
	f.suspended = clock.SuspendedTime()
	f.points = f.points[:0]
	f.unconfirmedRounds = f.unconfirmedRounds[:0]
	f.clockEpoch = rand.Uint64() | 1
	return true
}

// resumed reports whether the machine was suspended since the last check of dropAfterSuspension. The caller holds f.mu.
func (f *freshness) resumed() bool { return clock.SuspendedTime()-f.suspended >= clock.MinSuspension }

// dropUnconfirmedRounds drops the rounds that no majority has acknowledged.
func (f *freshness) dropUnconfirmedRounds() { f.unconfirmedRounds = f.unconfirmedRounds[:0] }

func (f *freshness) addPoint(p freshPoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.points); n > 0 && !p.at.After(f.points[n-1].at) {
		return
	}
	if len(f.points) == maxFreshPoints {
		// The oldest point is kept: when the apply loop lags, it may be the only one whose index is applied.
		f.points = append(f.points[:1], f.points[2:]...)
	}
	f.points = append(f.points, p)
}

// newestPoint returns the most recent point, whether its index is applied or not.
func (f *freshness) newestPoint() (freshPoint, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.points) == 0 {
		return freshPoint{}, false
	}
	return f.points[len(f.points)-1], true
}

// currentAt returns the last time at which a state with all entries up to applied is known to have been current; false if
// there is none. It drops the points before that time.
func (f *freshness) currentAt(applied uint64) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.resumed() {
		return time.Time{}, false
	}
	found := -1
	for i, p := range f.points {
		if p.index <= applied {
			found = i
		}
	}
	if found < 0 {
		return time.Time{}, false
	}
	f.points = append(f.points[:0], f.points[found:]...)
	return f.points[0].at, true
}

// setClockFields sets the clock fields of an outgoing message.
func (f *freshness) setClockFields(m *raft.Message, now time.Time) {
	switch m.Kind {
	case raft.AppendReply:
		m.SentAt = raft.Clock{Boot: f.clockEpoch, At: now.Sub(f.startedAt)}
	case raft.Append:
		m.EchoAt = f.followerClocks[m.To]
		if p, ok := f.newestPoint(); ok {
			m.LeaderAge, m.LeaderAgeKnown = now.Sub(p.at), true
		}
	}
}

// handleAppendReply stores the sender's clock reading, which the next Append returns to it.
func (f *freshness) handleAppendReply(m raft.Message) {
	if m.SentAt.Boot != 0 {
		f.followerClocks[m.From] = m.SentAt
	}
}

// handleAppend derives a point from an Append of the current leader. The leader sent the Append after it had received this
// replica's clock reading EchoAt, so the leader's state was last current at EchoAt - LeaderAge or later. This holds for
// any delay of the message.
func (f *freshness) handleAppend(m raft.Message) {
	if m.LeaderAgeKnown && m.EchoAt.Boot == f.clockEpoch {
		f.addPoint(freshPoint{at: f.startedAt.Add(m.EchoAt.At - m.LeaderAge), index: m.Commit})
	}
}
