// Package balance decides which backend server of a service runs a request. It does no I/O: the Tracker keeps what this
// entry instance learned of each backend server, and Choose compares candidates. It answers load that is spread unevenly:
// late load reports read by many instances, prompts that share parts, servers that are cold, slow or fail.
package balance

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// smallGroupPercent is the part of a pool, in percent, that runs the smallest model. Every request runs there first, at a
	// tenth of the time of the largest model.
	smallGroupPercent = 22
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

// Pressure returns how busy the backend servers are that run the request's model: the pressure below which pressureShare of
// those lie of which this instance knows, 0 without any. In a large fleet it knows of some only, and the others are as busy.
func Pressure(candidates []Candidate, r *Request) float64 {
	group := groupOf(candidates, r)
	known := knownPressures(candidates, group.holds)
	if len(known) == 0 {
		return 0
	}
	return known[len(known)*pressureShare/100]
}

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

// pressureShare is the part of the known backend servers, in percent, that are less busy than the pressure of the pool: requests go
// to one of the less busy ones, and rarely to the least busy of all.
const pressureShare = 25

// Sureness returns the confidence from which on the answer of a smaller model is delivered, for a request as the larger model
// would run it. It falls as the larger models get busy, and first for long prompts: while an engine reads a prompt its
// streams stand still, so that a better answer holds up others the more, the longer its prompt is.
func Sureness(sure int, pressure float64, larger *Request) int {
	relaxed := min(max((pressure-easyPressure)/(fullPressure-easyPressure), 0), 1)
	return int(float64(sure) * max(1-relaxed*mostRelaxed*larger.burden(), 0))
}

// burden weighs a generation by what its prompt takes from others: 0 for an empty prompt, mostBurden for the longest ones.
func (r *Request) burden() float64 {
	work := r.work(0)
	return min(heavyBurden*2*work/(work+heavyWork), mostBurden)
}

const (
	// easyPressure is the pressure up to which the larger model is asked as often as callers would like, and fullPressure
	// that from which on it is asked for the most doubtful answers only.
	easyPressure = 0.05
	fullPressure = 0.35
	// mostRelaxed is the share of the confidence that is waived at fullPressure for a request with a burden of 1.
	mostRelaxed = 0.9
	// heavyBurden is the burden of a prompt of heavyWork tokens, and mostBurden that of the longest ones, which are waived whole
	// shortly before fullPressure. The figures are those of the best of three trials on the grown sites.
	heavyBurden = 0.75
	mostBurden  = 1.2
)

// NextModel returns the position of the model that a request goes on to when the model at a position doubts its answer: the
// next one when little was missing, else the largest.
func NextModel(at, models, confidence, sure int) int {
	if at+1 < models-1 && 100*confidence >= nearlySure*sure {
		return at + 1
	}
	return models - 1
}

// nearlySure is the share of the confidence asked, in percent, from which on the next larger model is likely to do.
const nearlySure = 60

// tieShare is the largest score that the salt decides over.
const tieShare = 0.02

func tieBreak(seed uint64, c *Candidate) float64 {
	return tieShare * float64(rankFor(seed, c.Hash)>>54) / (1 << 10)
}

// homeOf returns the candidate of the model's group with the highest rendezvous rank for the shared parts of the prompt, so
// that all instances send prompts with the same beginning to the same backend server without talking to each other; -1
// without such parts.
func homeOf(candidates []Candidate, r *Request, group group) int {
	key := sharedKey(r.Parts)
	if key == "" {
		return -1
	}
	home, highest, seed := -1, uint64(0), Hash(r.Model+"/"+key)
	for i := range candidates {
		if !group.holds(&candidates[i]) {
			continue
		}
		if rank := rankFor(seed, candidates[i].Hash); home < 0 || rank > highest {
			home, highest = i, rank
		}
	}
	return home
}

// group is the part of a pool that runs a model: the candidates whose hash is below a limit, or those from it on.
type group struct {
	all   bool
	limit uint64
	below bool
}

func (g group) holds(c *Candidate) bool { return g.all || (c.Hash < g.limit) == g.below }

// groupOf returns the backend servers that run the request's model: the smallest model has some of its own, because a small
// request that shares an engine with the long prompts of a large model waits for those. Pools of one or two have one group.
func groupOf(candidates []Candidate, r *Request) group {
	small := (smallGroupPercent*len(candidates) + 50) / 100
	if r.Models < 2 || small == 0 {
		return group{all: true}
	}
	g := group{below: r.ModelRank == 0}
	if len(candidates) > exactGroup {
		g.limit = math.MaxUint64 / 100 * smallGroupPercent
		return g
	}
	var hashes [exactGroup]uint64
	for i := range candidates {
		hashes[i] = candidates[i].Hash
	}
	sorted := hashes[:len(candidates)]
	slices.Sort(sorted)
	g.limit = sorted[small]
	return g
}

// exactGroup is the largest pool whose small group has an exact number of members. In larger ones the share of the hashes
// below a limit is close enough.
const exactGroup = 64

// sharedKey names the longest beginning of a prompt that other prompts may have too: all parts but the last.
func sharedKey(parts []PromptPart) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}

// Hash returns the rank of an id among others, the same on each instance.
func Hash(id string) uint64 {
	return xxhash.Sum64String(id)
}

// rankFor returns the rank of a hash for a key, in which the hashes of all keys are ordered independently.
func rankFor(key, hash uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], key)
	binary.LittleEndian.PutUint64(pair[8:], hash)
	return xxhash.Sum64(pair[:])
}

// Observation is the load that a backend server stated in an answer.
type Observation struct {
	Running, Waiting, Slots int
	At                      time.Time
}
