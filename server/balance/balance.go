// Package balance decides which backend server of a service runs a request. It does no I/O: the Tracker keeps what this
// entry instance learned of each backend server, and Choose compares candidates. It answers load that is spread unevenly:
// late load reports read by many instances, prompts that share parts, servers that are cold, slow or fail.
package balance

import (
	"cmp"
	"hash/fnv"
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
	// PromptTokens and OutputTokens are the size of a generation; 0 for plain services.
	PromptTokens, OutputTokens int
	// Model is the model that the engine runs; parts are shared within a model only.
	Model string
	Parts []PromptPart
	// Zone is the availability zone of this entry instance.
	Zone string
}

// Candidate is one backend server as this entry instance knows it now.
type Candidate struct {
	ID, Zone string
	// Load is the estimated share of its capacity that is in use, over all entry instances.
	Load float64
	// Cold is true while it bears only a low rate; ColdReady says that this instance may send it one request now.
	Cold, ColdReady bool
	// Doubt lowers a candidate after failures or silence: 0 none, 1 avoided while there is another.
	Doubt float64
	// Slowness is the factor by which its answers take longer than those of its pool, at least 1.
	Slowness float64
	// CachedTokens is the number of tokens of the prompt that it has probably read already.
	CachedTokens int
}

const (
	// otherZoneCost is the score of the way to another availability zone, in units of load: the way costs a few ms and
	// bytes between zones are charged, so it is worth a small imbalance only.
	otherZoneCost = 0.06
	// cachedShareGain is the score of a whole prompt that is cached, in units of load.
	cachedShareGain = 0.35
	// homeGain is the score of the candidate that all instances agree on for a prompt that nobody is known to have read.
	homeGain = 0.12
	// doubtCost outweighs any load, so that a doubtful candidate is used only when each one is.
	doubtCost = 4
	// slownessCost is the score of a factor of 2 in slowness.
	slownessCost = 0.3
)

// Choose returns the index of the best candidate, or -1 when none may be used now. Ties go to the candidate with the
// lower rank of the salt, so that instances do not all pick the same one.
func Choose(candidates []Candidate, r *Request, salt string) int {
	best, bestScore := -1, math.Inf(1)
	home := homeOf(candidates, r)
	for i := range candidates {
		c := &candidates[i]
		if c.Cold && !c.ColdReady {
			continue
		}
		score := score(c, r, i == home) + tieBreak(salt, c.ID)
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

func score(c *Candidate, r *Request, home bool) float64 {
	s := c.Load + c.Doubt*doubtCost + slownessCost*math.Log2(max(c.Slowness, 1))
	if c.Zone != r.Zone {
		s += otherZoneCost
	}
	if r.PromptTokens > 0 {
		s -= cachedShareGain * float64(c.CachedTokens) / float64(r.PromptTokens)
	}
	if home {
		s -= homeGain
	}
	return s
}

// tieShare is the largest score that the salt decides over.
const tieShare = 0.02

func tieBreak(salt, id string) float64 { return tieShare * float64(hash(salt, id)%1024) / 1024 }

// homeOf returns the candidate with the highest rendezvous rank for the shared parts of the prompt, so that all instances
// send prompts with the same beginning to the same backend server without talking to each other; -1 without such parts.
func homeOf(candidates []Candidate, r *Request) int {
	key := sharedKey(r.Parts)
	if key == "" {
		return -1
	}
	home, highest := -1, uint64(0)
	for i := range candidates {
		if rank := hash(r.Model+"/"+key, candidates[i].ID); home < 0 || rank > highest {
			home, highest = i, rank
		}
	}
	return home
}

// sharedKey names the longest beginning of a prompt that other prompts may have too: all parts but the last.
func sharedKey(parts []PromptPart) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}

func hash(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	x := h.Sum64()
	// FNV-1a mixes the last bytes badly into the high bits; this is the finalizer of MurmurHash3.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// Observation is the load that a backend server stated in an answer.
type Observation struct {
	Running, Waiting, Slots int
	At                      time.Time
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
