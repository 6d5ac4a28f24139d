package ratings

import "math/bits"

const (
	// freezeFailures is the number of failures in the last 32 calls from which the estimates are frozen; they stay
	// frozen until the number is at most resumeFailures. The numbers differ so that occasional failures don't switch
	// exploration on and off.
	freezeFailures = 8
	resumeFailures = 2
)

// serviceHealth holds the outcomes of the last 32 calls of the rating service, the latest in the lowest bit.
type serviceHealth struct {
	recentFailures uint32
	failing        bool
}

func (h *serviceHealth) recordSuccess() { h.shiftIn(0) }

func (h *serviceHealth) recordFailure() { h.shiftIn(1) }

func (h *serviceHealth) shiftIn(bit uint32) {
	h.recentFailures = h.recentFailures<<1 | bit
	switch n := bits.OnesCount32(h.recentFailures); {
	case n >= freezeFailures:
		h.failing = true
	case n <= resumeFailures:
		h.failing = false
	}
}

func (h *serviceHealth) frozen() bool { return h.failing }
