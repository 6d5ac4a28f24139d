package admission

import (
	"cmp"
	"time"
)

// Compare orders requests that wait for the same pool: the result is negative if a is served before b. The order is by rank, then by the
// standing of the workspace, then by cost against urgency. Waiting makes a request more urgent, so that large requests are not overtaken
// forever. Requests of workspaces above their shares come last, whatever their rank. At a fixed time it is a strict weak order.
//
// Load patterns: one workspace that sends many times its usual traffic, and large requests among many small ones.
func Compare(now time.Time, a, b *Request) int {
	return cmp.Or(
		compareAboveShare(a, b),
		cmp.Compare(effectiveRank(now, a), effectiveRank(now, b)),
		cmp.Compare(standingLevel(a.Standing), standingLevel(b.Standing)),
		cmp.Compare(costAgainstUrgency(now, a), costAgainstUrgency(now, b)),
		a.Arrived.Compare(b.Arrived),
	)
}

func compareAboveShare(a, b *Request) int {
	switch above := a.AboveShare(); {
	case above == b.AboveShare():
		return 0
	case above:
		return 1
	}
	return -1
}

// effectiveRank returns the rank, one less for a retry after a rejection that has waited for half of its time.
func effectiveRank(now time.Time, r *Request) int {
	rank := r.urgency()
	if r.Retry && waitedShare(now, r) >= 0.5 {
		return max(rank-1, 0)
	}
	return rank
}

// waitedShare returns the time since the arrival as a share of the time that the request may wait.
func waitedShare(now time.Time, r *Request) float64 {
	allowed := max(r.Deadline.Sub(r.Arrived)*longWaitPercent/100, time.Millisecond)
	return float64(max(now.Sub(r.Arrived), 0)) / float64(allowed)
}

// standingLevel groups standings, so that the cost still matters between workspaces of similar use. The levels begin at a quarter above
// the fair share, and at two and four times the fair share.
func standingLevel(standing float64) int {
	switch {
	case !(standing > 1.25):
		return 0
	case standing <= 2:
		return 1
	case standing <= 4:
		return 2
	}
	return 3
}

// costAgainstUrgency returns a number that grows with the cost of a request relative to the mean and falls with the time that it has
// waited. The cost counts less than half a target time, so a request that has waited for that long comes before any new one. A request that
// may wait for 60% of its target time thus gets its turn.
func costAgainstUrgency(now time.Time, r *Request) float64 {
	cost, mean := max(finite(r.Cost), 0), max(finite(r.MeanCost), 0)
	relative := 0.5
	if cost+mean > 0 {
		// Halves keep the sum finite.
		relative = (cost / 2) / (cost/2 + mean/2)
	}
	unit := r.Target / 2
	if unit <= 0 {
		unit = max(r.Deadline.Sub(r.Arrived)*longWaitPercent/100, time.Millisecond)
	}
	urgency := float64(max(now.Sub(r.Arrived), 0)) / float64(unit)
	if r.Retry {
		urgency += 0.5
	}
	return finite(relative - urgency)
}
