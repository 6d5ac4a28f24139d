// Package balance decides which backend server of a service runs a request. It does no I/O: the Tracker keeps what this
// entry instance learned of each backend server, and Choose compares candidates. It answers load that is spread unevenly:
// late load reports read by many instances, prompts that share parts, servers that are cold, slow or fail.
package balance

import (
	"math"
	"slices"
	"time"
)

// PromptPart is one part of a prompt, in order. Requests that begin with the same parts can share what an engine read.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is what a choice depends on.
type Request struct {
	// PromptTokens is the size of the prompt of a generation; 0 for plain services.
	PromptTokens int
	// Model is the model that the engine runs; parts are shared within a model only.
	Model string
	// ModelRank is the position of the model among those of the pool, the smallest first, and Models their number; 0 when
	// the router does not choose between models.
	ModelRank, Models int
	// Pace is the time that the model takes for a token as a share of that of the slowest model of the pool, 0 to 1.
	Pace  float64
	Parts []PromptPart
	// Zone is the availability zone of this entry instance.
	Zone string
}

// work returns the part of the prompt that is not cached, in tokens of the slowest model.
func (r *Request) work(cached int) float64 { return float64(r.PromptTokens-cached) * r.Pace }

// Candidate is one backend server as this entry instance knows it now.
type Candidate struct {
	ID, Zone string
	// Hash is Hash(ID), by which all instances rank candidates alike.
	Hash uint64
	// Load is the estimated share of its slots that is in use, over all entry instances.
	Load float64
	// Queue is the estimated number of prompt tokens that wait to be read, in tokens of the slowest model.
	Queue float64
	// Known says that this entry instance learned lately how busy it is.
	Known bool
	// Gap is the typical time between two events of its streams lately, 0 when none is known.
	Gap time.Duration
	// Cold is true while it bears only a low rate; ColdReady says that this instance may send it one request now.
	Cold, ColdReady bool
	// ColdRate is the rate of requests a second that this instance may send while it is cold.
	ColdRate float64
	// Doubt lowers a candidate after failures or silence: 0 none, 1 avoided while there is another.
	Doubt float64
	// Slowness is the factor by which its answers take longer than those of its pool, at least 1.
	Slowness float64
	// Latency is the usual time to the first byte of its answers lately, 0 until it has answered often enough.
	Latency time.Duration
	// CachedTokens is the number of tokens of the prompt that it has probably read already.
	CachedTokens int
}

const (
	// queueScale is the number of prompt tokens of the slowest model that weigh as much as all slots: an engine reads them in
	// about 2 s, which is the time to the first event that callers want.
	queueScale = 40_000
	// gapScale is the time between two events that weighs as much as all slots: an engine that reads long prompts without a
	// pause sends an event about once a second.
	gapScale = time.Second
	// groupCost keeps requests on the backend servers of their model's group until those have this much more load.
	groupCost = 0.5
	// otherZoneCost is the score of the way to another availability zone, in units of load: the way costs a few ms and
	// bytes between zones are charged, so it is worth a small imbalance only.
	otherZoneCost = 0.06
	// homeGain is the score of the candidate that all instances agree on for a prompt that nobody is known to have read.
	homeGain = 0.25
	// doubtCost outweighs any load, so that a doubtful candidate is used only when each one is.
	doubtCost = 4
	// slownessCost is the score of a factor of 2 in slowness.
	slownessCost = 0.1
)

// Choose returns the index of the best candidate, or -1 when none may be used now. Ties go to the candidate with the
// lower rank of the salt, so that instances do not all pick the same one.
func Choose(candidates []Candidate, r *Request, salt string) int {
	best, bestScore := -1, math.Inf(1)
	group := groupOf(candidates, r)
	home := homeOf(candidates, r, group)
	seed, presumed := Hash(salt), presumedPressure(candidates, group, home)
	for i := range candidates {
		c := &candidates[i]
		if c.Cold && !c.ColdReady {
			continue
		}
		score := score(c, r, i == home) + tieBreak(seed, c)
		if !c.Known && !c.Cold {
			score += max(presumed-c.Pressure(), 0)
		}
		if !group.holds(c) {
			score += groupCost
		}
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

func score(c *Candidate, r *Request, home bool) float64 {
	s := c.Pressure() + r.work(c.CachedTokens)/queueScale + c.Doubt*doubtCost + slownessCost*math.Log2(max(c.Slowness, 1))
	if c.Zone != r.Zone {
		s += otherZoneCost
	}
	if home {
		s -= homeGain
	}
	return s
}

// Pressure is how busy the backend server is, in units of load: 1 is as much as it can do in the time that callers want.
func (c *Candidate) Pressure() float64 {
	return c.Load + c.Queue/queueScale + float64(c.Gap)/float64(gapScale)
}

// Full says that a request should rather wait in this instance, where it keeps its rank and can still go elsewhere. wait is how
// long it may wait here. A plain service that answers in milliseconds has emptied its queue before that time is over, and what
// it stated of its load is old by then.
func (c *Candidate) Full(r *Request, wait time.Duration) bool {
	quick := r.PromptTokens == 0 && c.Latency > 0 && time.Duration(c.Load*float64(c.Latency)) < wait
	return c.Load >= fullLoad && !(quick && c.Load < fullQuickLoad)
}

const (
	// fullLoad is the load from which on a backend server counts as full: it runs as much as it can, and half as much waits.
	fullLoad = 1.5
	// fullQuickLoad is the same for plain services that answer quickly: they refuse requests when a few times their slots wait.
	fullQuickLoad = 3
)

// knownPressures returns the pressures, in ascending order, of the backend servers among some of which this instance knows.
func knownPressures(candidates []Candidate, among func(*Candidate) bool) []float64 {
	var known []float64
	for i := range candidates {
		c := &candidates[i]
		if c.Known && c.Doubt == 0 && (!c.Cold || c.ColdReady) && among(c) {
			known = append(known, c.Pressure())
		}
	}
	slices.Sort(known)
	return known
}

// presumedPressure returns how busy a member of the group is of which this instance knows nothing. In a large fleet it is as
// busy as the median of those it knows: an unknown one that passed for idle would be chosen before each known one, whatever
// others send there. Those to which a shared prompt goes are left out, as they are busier than the others. When the instance
// knows half of the group, the others are probably idle.
func presumedPressure(candidates []Candidate, group group, home int) float64 {
	members := 0
	known := knownPressures(candidates, func(c *Candidate) bool {
		return group.holds(c) && c.CachedTokens == 0 && (home < 0 || c != &candidates[home])
	})
	for i := range candidates {
		if group.holds(&candidates[i]) {
			members++
		}
	}
	if len(known) < leastKnown || 2*len(known) >= members {
		return 0
	}
	return known[(len(known)-1)/2]
}

// leastKnown is the number of known backend servers from which on they tell of the others: fewer may all be busy by chance, and
// of a pool of twelve each instance soon knows half.
const leastKnown = 6

// tieShare is the largest score that the salt decides over.
const tieShare = 0.02

func tieBreak(seed uint64, c *Candidate) float64 {
	return tieShare * float64(rankFor(seed, c.Hash)>>54) / (1 << 10)
}

// Observation is the load that a backend server stated in an answer.
type Observation struct {
	Running, Waiting, Slots int
	At                      time.Time
}
