package balance

import (
	"math"
	"time"
)

const (
	// minSampledKnown is the number of candidates of the model's group with a known load that are compared if the loads of all
	// servers are known. Instances read the same reports at the same time. If each compared all servers, all of them would choose
	// the one that was best in the last report; with a sample, about this number times the mean of a server's requests reach the
	// best one before its next report.
	minSampledKnown = 4
	// maxSampledKnown is the largest number of such candidates. If an instance knows the loads of few servers, the other instances
	// know others, so that the sample grows with the inverse of the share of known ones.
	maxSampledKnown = 16
	// maxSampledUnknown is the number of candidates of the group whose load is not known. They differ by this instance's own
	// requests only.
	maxSampledUnknown = 4
	// maxSampledOutside is the number of candidates outside the model's group that are compared.
	maxSampledOutside = 1
	// maxSampleDraws bounds the random draws for a sample, which cost up to 70 ns each.
	maxSampleDraws = 64
)

// sampleQuota counts the candidates of a sample, besides those with a part of the prompt.
type sampleQuota struct {
	// drawn is the number of random draws of servers in the group.
	drawn, known, unknown, outside int
	// knownFull is set when there are enough candidates of known load.
	knownFull bool
}

// take reports whether a randomly drawn server is to be compared.
func (q *sampleQuota) take(inGroup, loadKnown bool) bool {
	switch {
	case !inGroup:
		return q.outside < maxSampledOutside
	case loadKnown:
		q.drawn++
		return !q.knownFull
	default:
		q.drawn++
		return q.unknown < maxSampledUnknown
	}
}

// add counts a drawn server that was compared.
func (q *sampleQuota) add(inGroup, loadKnown bool) {
	switch {
	case !inGroup:
		q.outside++
	case loadKnown:
		q.known++
		// The wanted number is minSampledKnown divided by the share of known ones among the draws.
		q.knownFull = q.known >= maxSampledKnown || q.known >= minSampledKnown && q.known*q.known >= minSampledKnown*q.drawn
	default:
		q.unknown++
	}
}

// inside returns the number of candidates in the group.
func (q *sampleQuota) inside() int { return q.known + q.unknown }

// full reports whether no further draw can add a candidate. A group of all servers has no candidates outside.
func (q *sampleQuota) full(group modelGroup) bool {
	return q.knownFull && q.unknown == maxSampledUnknown && (group.all || q.outside == maxSampledOutside)
}

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

// chooseFromSample returns the index of the best candidate of a sample, or -1 if no request may be sent to any of the candidates.
// It compares all of them if the sample has none without a penalty, or if its best one is full.
func chooseFromSample(candidates []Candidate, r *Request, group modelGroup, affinityIndex int, saltHash uint64) int {
	score := scoreOf
	if r.usesExpectedTimes(candidates) {
		score = timeScore
	}
	best, bestScore := -1, math.Inf(1)
	consider := func(i int) {
		c := &candidates[i]
		if c.Cold && !c.ColdReady {
			return
		}
		value := score(c, r, i == affinityIndex) + tieBreak(saltHash, c)
		if !group.has(c) {
			value += otherGroupCost
		}
		if value < bestScore {
			best, bestScore = i, value
		}
	}
	for i := range candidates {
		if candidates[i].CachedTokens > 0 || i == affinityIndex {
			consider(i)
		}
	}
	var quota sampleQuota
	for draw := range uint64(maxSampleDraws) {
		if quota.full(group) {
			break
		}
		i := int(rankFor(saltHash, draw) % uint64(len(candidates)))
		c := &candidates[i]
		if c.Cold && !c.ColdReady || c.Penalty > 0 {
			continue
		}
		if inGroup := group.has(c); quota.take(inGroup, c.LoadKnown) {
			quota.add(inGroup, c.LoadKnown)
			consider(i)
		}
	}
	if best >= 0 && candidates[best].Penalty == 0 && candidates[best].Load < fullLoad && quota.inside() > 0 {
		return best
	}
	for i := range candidates {
		consider(i)
	}
	return best
}

// timeScore returns the score of a candidate with expected times, in units of load.
func timeScore(c *Candidate, r *Request, isAffinityTarget bool) float64 {
	s := c.Load + lateness(c.FirstEvent, r.TargetTime) + lateness(c.EventTime, r.EventGap) + c.Penalty*penaltyWeight
	if c.Zone != r.Zone {
		s += otherZoneCost
	}
	if isAffinityTarget {
		s -= affinityBonus
	}
	return s
}

// lateness returns the cost of an expected time relative to the time that the caller expects, 1 if they are equal and 0 if none is
// expected. It grows with the square up to there: differences between times that are both far shorter are of no use to the caller,
// and if they counted, all instances would prefer the same fast servers at a low load.
func lateness(expected, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	x := float64(expected) / float64(target)
	if x > 1 {
		return 2*x - 1
	}
	return x * x
}

// setTimes sets the expected times of a candidate from the learned values of its server. requests is the estimated number of
// requests there.
func (c *Candidate) setTimes(now time.Time, s *serverState, r *Request, requests float64, slots int) {
	p := s.pool.rates
	e, ok := p.Estimate(now, &s.rate, r.Kind, r.Model, r.newTokens(c.CachedTokens), c.QueuedTokens)
	if !ok {
		return
	}
	// The requests before this one are read while it waits for a slot, so that the longer of the two waits counts.
	c.queueTime = max(e.First-e.Alone, p.SlotWait(now, &s.rate, requests, slots))
	c.FirstEvent, c.EventTime = e.Alone+c.queueTime, e.Event
	if r.TargetTime > 0 {
		c.timed, c.timePressure = true, float64(c.queueTime)/float64(r.TargetTime)
		if r.EventGap > 0 {
			c.timePressure += float64(c.EventTime) / float64(r.EventGap)
		}
	}
}
