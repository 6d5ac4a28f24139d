package balance

import (
	"math"
	"time"
)

const (
	// maxSampledCandidates is the number of candidates of the model's group that are compared by expected time, besides those
	// with a part of the prompt. Instances read the same reports at the same time. If each compared all servers, all of them
	// would choose the one that was best in the last report; with a sample, at most this number times the mean of a server's
	// requests reach the best one before its next report.
	maxSampledCandidates = 4
	// maxSampledOutside is the number of candidates outside the model's group that are compared.
	maxSampledOutside = 1
	// maxSampleDraws bounds the random draws for a sample.
	maxSampleDraws = 48
)

// usesExpectedTimes reports whether the candidates are compared by expected times: each has one, and the request has a target
// time to relate it to.
func (r *Request) usesExpectedTimes(candidates []Candidate) bool {
	if r.TargetTime <= 0 || len(candidates) == 0 {
		return false
	}
	for i := range candidates {
		if candidates[i].FirstEvent <= 0 {
			return false
		}
	}
	return true
}

// chooseByTime returns the index of the best candidate of a sample, or -1 if no request may be sent to any of the candidates. It
// compares all of them if the sample has none without a penalty.
func chooseByTime(candidates []Candidate, r *Request, group modelGroup, affinityIndex int, saltHash uint64) int {
	best, bestScore := -1, math.Inf(1)
	consider := func(i int) {
		c := &candidates[i]
		if c.Cold && !c.ColdReady {
			return
		}
		score := timeScore(c, r, i == affinityIndex) + tieBreak(saltHash, c)
		if !group.has(c) {
			score += otherGroupCost
		}
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	for i := range candidates {
		if candidates[i].CachedTokens > 0 || i == affinityIndex {
			consider(i)
		}
	}
	inside, outside := 0, 0
	for draw := range uint64(maxSampleDraws) {
		i := int(rankFor(saltHash, draw) % uint64(len(candidates)))
		c := &candidates[i]
		switch {
		case c.Cold && !c.ColdReady || c.Penalty > 0:
		case group.has(c) && inside < maxSampledCandidates:
			inside++
			consider(i)
		case !group.has(c) && outside < maxSampledOutside:
			outside++
			consider(i)
		}
		if inside == maxSampledCandidates && outside == maxSampledOutside {
			break
		}
	}
	if best >= 0 && candidates[best].Penalty == 0 && inside > 0 {
		return best
	}
	for i := range candidates {
		consider(i)
	}
	return best
}

// timeScore returns the score of a candidate with expected times. The unit is the time that the caller expects: 1 for a first
// event that comes at the target time, or for events with the largest wanted time between them.
func timeScore(c *Candidate, r *Request, isAffinityTarget bool) float64 {
	// A request on a server that takes longer occupies its slot longer.
	s := c.Load*max(c.relativeTime, 1.0/maxRelativeTime) + float64(c.FirstEvent)/float64(r.TargetTime) + c.Penalty*penaltyWeight
	if r.EventGap > 0 {
		s += float64(c.EventTime) / float64(r.EventGap)
	}
	if c.Zone != r.Zone {
		s += otherZoneCost
	}
	if isAffinityTarget {
		s -= affinityBonus
	}
	return s
}

// maxRelativeTime bounds how much faster than its pool a server counts, so that none attracts all requests.
const maxRelativeTime = 4

// setTimes sets the expected times of a candidate from the learned values of its server. requests is the estimated number of
// requests there.
func (c *Candidate) setTimes(now time.Time, s *serverState, r *Request, requests float64, slots int) {
	p := s.pool.rates
	unread := r.newTokens(c.CachedTokens)
	own, all := p.FirstEvent(now, &s.rate, r.Kind, unread), p.FirstEvent(now, &s.rate, r.Kind, unread+c.QueuedTokens)
	if own <= 0 {
		return
	}
	// The requests before this one are read while it waits for a slot, so that the longer of the two waits counts.
	c.queueTime = max(all-own, p.SlotWait(now, &s.rate, requests, slots))
	c.FirstEvent = own + c.queueTime
	c.EventTime = p.EventTime(now, &s.rate, r.Model)
	c.relativeTime = p.Factor(now, &s.rate)
	if r.TargetTime > 0 {
		c.timed, c.timePressure = true, float64(c.queueTime)/float64(r.TargetTime)
		if r.EventGap > 0 {
			c.timePressure += float64(c.EventTime) / float64(r.EventGap)
		}
	}
}
