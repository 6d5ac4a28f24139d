package replica

import (
	"math/rand/v2"
	"sync"
	"time"

	"clementinetray/server/clock"
	"clementinetray/server/raft"
)

// maxFreshPoints bounds the points that wait for the apply loop; older ones are the first to go.
const maxFreshPoints = 64

// freshPoint says that a state with everything up to index applied was current at the time.
type freshPoint struct {
	at    time.Time
	index uint64
}

type roundStart struct {
	round uint64
	freshPoint
}

// freshness bounds the age of the applied state.
type freshness struct {
	start time.Time
	boot  uint64
	// era names an unbroken run of the monotonic clock; it is new after a suspension. It is used by the raft loop only.
	era uint64

	// rounds and echoes are used by the raft loop only.
	rounds []roundStart
	echoes map[raft.NodeID]raft.Clock

	mu     sync.Mutex   // guards the fields below
	points []freshPoint // in order of time
	// asleep is clock.Asleep at the last look.
	asleep time.Duration
}

func newFreshness() *freshness {
	return &freshness{start: time.Now(), boot: rand.Uint64() | 1, era: rand.Uint64() | 1, echoes: map[raft.NodeID]raft.Clock{}, asleep: clock.Asleep()}
}

// startRound notes the heartbeat round that a leader started at the given time with the given commit index.
func (f *freshness) startRound(round uint64, at time.Time, commit uint64) {
	f.rounds = append(f.rounds, roundStart{round, freshPoint{at, commit}})
}

// confirmRound notes that a majority acknowledged the round.
func (f *freshness) confirmRound(round uint64) {
	confirmed := -1
	for i, r := range f.rounds {
		if r.round <= round {
			confirmed = i
		}
	}
	if confirmed >= 0 {
		f.add(f.rounds[confirmed].freshPoint)
		f.rounds = append(f.rounds[:0], f.rounds[confirmed+1:]...)
	}
}

// wake forgets all points when the machine was suspended since the last look: the monotonic clock stood still, so that they
// look newer than they are. Rounds and echoes that are under way end with the old boot. It runs in the raft loop.
func (f *freshness) wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sleptLocked() {
		f.asleep = clock.Asleep()
		f.points = f.points[:0]
		f.rounds = f.rounds[:0]
		f.era = rand.Uint64() | 1
	}
}

// sleptLocked reports whether the machine was suspended since the last look. f.mu is held.
func (f *freshness) sleptLocked() bool { return clock.Asleep()-f.asleep >= clock.Suspended }

// leadershipLost forgets unconfirmed rounds.
func (f *freshness) leadershipLost() { f.rounds = f.rounds[:0] }

func (f *freshness) add(p freshPoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.points); n > 0 && !p.at.After(f.points[n-1].at) {
		return
	}
	if len(f.points) == maxFreshPoints {
		// The oldest point is kept: it is the one that is applied already when the apply loop lags.
		f.points = append(f.points[:1], f.points[2:]...)
	}
	f.points = append(f.points, p)
}

// newest returns the newest point, applied or not.
func (f *freshness) newest() (freshPoint, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.points) == 0 {
		return freshPoint{}, false
	}
	return f.points[len(f.points)-1], true
}

// at returns when the state with everything up to applied was last known to be current.
func (f *freshness) at(applied uint64) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sleptLocked() {
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

// stamp fills the clock fields of an outgoing message.
func (f *freshness) stamp(m *raft.Message, now time.Time) {
	switch m.Kind {
	case raft.AppendReply:
		m.SentAt = raft.Clock{Boot: f.era, At: now.Sub(f.start)}
	case raft.Append:
		m.EchoAt = f.echoes[m.To]
		if p, ok := f.newest(); ok {
			m.LeaderAge, m.LeaderAgeKnown = now.Sub(p.at), true
		}
	}
}

// replyReceived notes the sender's clock, which the next Append to it carries back.
func (f *freshness) replyReceived(m raft.Message) {
	if m.SentAt.Boot != 0 {
		f.echoes[m.From] = m.SentAt
	}
}

// appendReceived derives a point from an Append of the current leader. The message was sent after the leader had seen
// this replica's clock at EchoAt, so the delay of the message does not count, however long it is.
func (f *freshness) appendReceived(m raft.Message) {
	if m.LeaderAgeKnown && m.EchoAt.Boot == f.era {
		f.add(freshPoint{at: f.start.Add(m.EchoAt.At - m.LeaderAge), index: m.Commit})
	}
}
