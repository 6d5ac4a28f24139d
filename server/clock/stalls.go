package clock

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Elapsed returns a time that goes on while the machine is suspended, unlike the monotonic clock, and is not set, unlike the time of
// day. Only the difference between two results is meaningful.
func Elapsed() time.Duration {
	if t := readClock(unix.CLOCK_BOOTTIME); t != 0 {
		return t
	}
	return readClock(unix.CLOCK_MONOTONIC)
}

const (
	// observationInterval is the time between two observations of Stalls.
	observationInterval = 100 * time.Millisecond
	// minStall is the shortest delay of an observation that counts as a stall. Quotas of processor time hold a process up for less.
	minStall = 200 * time.Millisecond
	// settleTime is how long after a stall a process may still read what came in before its end. A process that is slower than that is
	// held up again, which prolongs the stall.
	settleTime = 500 * time.Millisecond
)

// Stalls notes when the process did not run, because it was stopped, got no processor time, or its machine was suspended. The kernel
// accepts connections and data meanwhile, so what the process reads after a stall may be as old as the stall. It is safe for
// concurrent use.
type Stalls struct {
	elapsed func() time.Duration

	mu sync.Mutex // guards the fields below
	// seen is the time of the last observation.
	seen time.Duration
	// began and ended are those of the last stall.
	began, ended time.Duration
	stalled      bool
}

// NewStalls returns a Stalls that has seen no stall. It is of use while Run is active.
func NewStalls() *Stalls { return newStalls(Elapsed) }

func newStalls(elapsed func() time.Duration) *Stalls {
	return &Stalls{elapsed: elapsed, seen: elapsed()}
}

// Run observes the process until ctx ends.
func (s *Stalls) Run(ctx context.Context) {
	s.mu.Lock()
	s.seen = s.elapsed()
	s.mu.Unlock()
	ticker := time.NewTicker(observationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.EarliestArrival()
		}
	}
}

// EarliestArrival returns the earliest time, on the clock of Elapsed, at which what the process reads now can have arrived. That is now,
// unless the process has just gone on after a stall.
func (s *Stalls) EarliestArrival() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.elapsed()
	settled := !s.stalled || now-s.ended >= settleTime
	if now-s.seen >= observationInterval+minStall {
		// A stall that follows another one prolongs it: what arrived in the first may not have been read in between.
		if !s.stalled || s.seen-s.ended >= settleTime {
			s.began = s.seen
		}
		s.stalled, s.ended, settled = true, now, false
	}
	s.seen = now
	if settled {
		return now
	}
	return s.began
}
