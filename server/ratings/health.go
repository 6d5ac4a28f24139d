package ratings

import "math/bits"

const (
	// minFailuresToFreeze is the number of failures in the last 32 calls from which the estimates are frozen; they stay
	// frozen until the number is at most maxFailuresToResume. The numbers differ so that occasional failures don't switch
	// exploration on and off.
	minFailuresToFreeze = 8
	maxFailuresToResume = 2
)

// serviceHealth holds the outcomes of the last 32 calls of the rating service.
type serviceHealth struct {
	// recentOutcomes has a bit for each call, 1 for a failure. The lowest bit is the latest call.
	recentOutcomes uint32
	failing        bool
}

func (h *serviceHealth) recordSuccess() { h.recordOutcome(0) }

func (h *serviceHealth) recordFailure() { h.recordOutcome(1) }

func (h *serviceHealth) recordOutcome(bit uint32) {
	h.recentOutcomes = h.recentOutcomes<<1 | bit
	switch n := bits.OnesCount32(h.recentOutcomes); {
	case n >= minFailuresToFreeze:
		h.failing = true
	case n <= maxFailuresToResume:
		h.failing = false
	}
}

func (h *serviceHealth) isFailing() bool { return h.failing }
