package balance

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

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

// smallGroupPercent is the part of a pool, in percent, that runs the smallest model. Every request runs there first, at a
// tenth of the time of the largest model.
const smallGroupPercent = 22

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
