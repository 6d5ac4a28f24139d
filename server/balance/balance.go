// Package balance selects the backend server that runs a request. It does no I/O: a Tracker holds the load and the
// failures of each backend server as seen by this entry instance, and Choose compares candidates. It deals with load
// reports that are late and read by many instances at once, prompts with common prefixes, and servers that are cold,
// slow or failing.
package balance

import (
	"math"
	"slices"
	"time"
)

// PromptPart is one part of a prompt, in order. An engine reuses its cached state for the leading parts that requests
// have in common.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request holds the properties of a request that affect the selection.
type Request struct {
	// PromptTokens is the prompt length of a generation in tokens; 0 for plain services.
	PromptTokens int
	// Model is the model to run; cached parts can be reused by the same model only.
	Model string
	// ModelRank is the index of the model in the pool, the smallest first, and ModelCount is the number of models in
	// the pool. Both are 0 when the router does not choose between models.
	ModelRank, ModelCount int
	// TimeRatio is the model's time per token divided by that of the slowest model of the pool, 0 to 1.
	TimeRatio float64
	Parts     []PromptPart
	// Zone is the availability zone of this entry instance.
	Zone string
	// Pool is the name of the set of backend servers from which one is selected, and Kind is the kind of request, for example
	// its route. Times are learned for each pool and for each kind of its requests.
	Pool, Kind string
	// TargetTime is the time to the first event that the caller expects, and EventGap the largest time between two events.
	// 0: none.
	TargetTime, EventGap time.Duration
}

// newTokens returns the number of prompt tokens that are not cached, converted to tokens of the slowest model: a token of
// a model that takes half the time counts as one half.
func (r *Request) newTokens(cached int) float64 { return float64(r.PromptTokens-cached) * r.TimeRatio }

// Candidate is the state of one backend server as seen by this entry instance.
type Candidate struct {
	ID, Zone string
	// Hash is Hash(ID). All instances rank candidates by it, so that they agree.
	Hash uint64
	// Load is the estimated number of requests from all entry instances divided by the number of slots.
	Load float64
	// QueuedTokens is the estimated number of unread prompt tokens, which the engine has yet to process, in tokens of the
	// slowest model.
	QueuedTokens float64
	// LoadKnown reports whether this entry instance has a recent load report or stream event of the server.
	LoadKnown bool
	// EventInterval is the recent mean time between two events of the server's streams, 0 if unknown.
	EventInterval time.Duration
	// Cold is true while the server can take requests at a low rate only. ColdReady reports whether this instance may
	// send it a request now.
	Cold, ColdReady bool
	// ColdRate is the number of requests per second that this instance may send to the server while it is cold.
	ColdRate float64
	// Penalty is 1 after recent failures or missing announcements, else 0. A candidate with a penalty is selected only if
	// all usable ones have it.
	Penalty float64
	// Slowness is the server's mean latency divided by that of its pool, at least 1.
	Slowness float64
	// Latency is the server's mean time to the first byte, 0 until there are enough answers.
	Latency time.Duration
	// CachedTokens is the number of prompt tokens that the server has probably cached.
	CachedTokens int
	// FirstEvent is the expected time from the dispatch of this request to its first event, 0 if unknown.
	FirstEvent time.Duration
	// EventTime is the expected time between two events of this request, 0 if unknown.
	EventTime time.Duration
	// WorkPercent is how long work takes on the server's machine, as a percentage of the usual time, 0 if it is not reported.
	WorkPercent int
	// queueTime is the part of FirstEvent that other requests cause.
	queueTime time.Duration
	// timed is set if the server's times are learned and the request has a target time. Then timePressure replaces the part of
	// Pressure that is not Load: queueTime and EventTime relative to the times that the caller expects.
	timed        bool
	timePressure float64
	// sampled is set if the pool's rates are learned, so that a sample of the candidates is compared.
	sampled bool
}

const (
	// queueTokensPerLoadUnit is the number of queued prompt tokens of the slowest model that count as a load of 1. An
	// engine reads as many tokens in about 2 s, the time to the first event that callers expect.
	queueTokensPerLoadUnit = 40_000
	// eventIntervalPerLoadUnit is the time between two stream events that counts as a load of 1. An engine that reads
	// long prompts without a pause sends an event about once a second.
	eventIntervalPerLoadUnit = time.Second
	// otherGroupCost is the score, in units of load, for a backend server outside the group of the request's model.
	// Requests leave the group only when its servers have at least this much more load than the others.
	otherGroupCost = 0.5
	// otherZoneCost is the score, in units of load, for a backend server in another availability zone. Crossing zones
	// takes a few ms and its traffic is charged, which outweighs a small imbalance only.
	otherZoneCost = 0.06
	// affinityBonus is subtracted from the score of the candidate that all instances prefer for the prompt's shared
	// prefix.
	affinityBonus = 0.25
	// penaltyWeight exceeds any load, so that a recently failed or silent candidate is selected only if there is no
	// other.
	penaltyWeight = 4
	// slownessDoublingCost is added to the score each time Slowness doubles.
	slownessDoublingCost = 0.1
)

// Choose returns the index of the candidate with the lowest score, or -1 if no request may be sent to any of them now.
// The salt, different for each request, breaks ties so that instances do not all select the same candidate.
func Choose(candidates []Candidate, r *Request, salt string) int {
	best, bestScore := -1, math.Inf(1)
	group := groupOf(candidates, r)
	affinityIndex := affinityIndexOf(candidates, r, group)
	if len(candidates) > 0 && candidates[0].sampled {
		return chooseFromSample(candidates, r, group, affinityIndex, Hash(salt))
	}
	saltHash, assumed := Hash(salt), assumedPressure(candidates, group, affinityIndex)
	for i := range candidates {
		c := &candidates[i]
		if c.Cold && !c.ColdReady {
			continue
		}
		score := scoreOf(c, r, i == affinityIndex) + tieBreak(saltHash, c)
		if !c.LoadKnown && !c.Cold {
			score += max(assumed-c.Pressure(), 0)
		}
		if !group.has(c) {
			score += otherGroupCost
		}
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

func scoreOf(c *Candidate, r *Request, isAffinityTarget bool) float64 {
	s := c.Pressure() + r.newTokens(c.CachedTokens)/queueTokensPerLoadUnit + c.Penalty*penaltyWeight +
		slownessDoublingCost*math.Log2(max(c.Slowness, 1))
	if c.Zone != r.Zone {
		s += otherZoneCost
	}
	if isAffinityTarget {
		s -= affinityBonus
	}
	return s
}

// Pressure returns the combined load of slots, queued tokens and stream delay. 1 is as much as the backend server can
// process in the time that callers expect.
func (c *Candidate) Pressure() float64 {
	if c.timed {
		return c.Load + c.timePressure
	}
	return c.Load + c.QueuedTokens/queueTokensPerLoadUnit + float64(c.EventInterval)/float64(eventIntervalPerLoadUnit)
}

// Full reports whether the server's load has reached the level from which a request should wait in this instance rather
// than in the server's queue. Here the request keeps its priority and can still be sent to another server. maxWait is how
// long it may wait here. The level is higher for a plain service that answers within milliseconds, as it drains its queue within
// maxWait and its load report is soon outdated.
func (c *Candidate) Full(r *Request, maxWait time.Duration) bool {
	drainsInTime := r.PromptTokens == 0 && c.Latency > 0 && time.Duration(c.Load*float64(c.Latency)) < maxWait
	return c.Load >= fullLoad && !(drainsInTime && c.Load < fullFastServiceLoad)
}

const (
	// fullLoad is the load at which a backend server counts as full: all slots are in use, and half as many requests
	// wait.
	fullLoad = 1.5
	// fullFastServiceLoad is the load at which a backend server of a plain service that answers quickly counts as full.
	// Such servers refuse requests once their queue is a few times as long as their number of slots.
	fullFastServiceLoad = 3
)

// knownPressures returns, in ascending order, the pressures of the usable candidates with a known load for which
// include returns true.
func knownPressures(candidates []Candidate, include func(*Candidate) bool) []float64 {
	var known []float64
	for i := range candidates {
		c := &candidates[i]
		if c.LoadKnown && c.Penalty == 0 && (!c.Cold || c.ColdReady) && include(c) {
			known = append(known, c.Pressure())
		}
	}
	slices.Sort(known)
	return known
}

// assumedPressure returns the pressure assumed for a member of the group whose load is unknown: in a large fleet, the
// lower median of the known pressures. Without it, servers of unknown load would count as idle and be selected before all
// others, even if other instances keep them busy. The median leaves out servers that have the prompt cached or are preferred
// for it, as they are busier than the rest. When at least half of the group's loads are known, servers of unknown load are
// probably idle, and the result is 0.
func assumedPressure(candidates []Candidate, group modelGroup, affinityIndex int) float64 {
	members := 0
	known := knownPressures(candidates, func(c *Candidate) bool {
		return group.has(c) && c.CachedTokens == 0 && (affinityIndex < 0 || c != &candidates[affinityIndex])
	})
	for i := range candidates {
		if group.has(&candidates[i]) {
			members++
		}
	}
	if len(known) < minKnownServers || 2*len(known) >= members {
		return 0
	}
	return known[(len(known)-1)/2]
}

// minKnownServers is the number of servers with a known load below which no pressure is assumed for the others, as a smaller
// number of servers may all be busy by chance.
const minKnownServers = 6

// maxTieBreak is the upper bound of the score that the salt adds.
const maxTieBreak = 0.02

func tieBreak(saltHash uint64, c *Candidate) float64 {
	return maxTieBreak * float64(rankFor(saltHash, c.Hash)>>54) / (1 << 10)
}

// LoadReport is the load that a backend server reported in an answer.
type LoadReport struct {
	Running, Waiting, Slots int
	// WorkPercent is how long work takes on the server's machine at this moment, as a percentage of the usual time. 0 means
	// that the server does not report it.
	WorkPercent int
	At          time.Time
}
