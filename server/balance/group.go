package balance

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// affinityIndexOf returns the index of the candidate in the model's group with the highest rendezvous rank for the
// prompt's shared prefix, or -1 for a prompt without one. All instances thus send prompts with the same prefix to the
// same backend server without coordination.
func affinityIndexOf(candidates []Candidate, r *Request, group modelGroup) int {
	key := sharedPrefixKey(r.Parts)
	if key == "" {
		return -1
	}
	best, highest, keyHash := -1, uint64(0), Hash(r.Model+"/"+key)
	for i := range candidates {
		if !group.has(&candidates[i]) {
			continue
		}
		if rank := rankFor(keyHash, candidates[i].Hash); best < 0 || rank > highest {
			best, highest = i, rank
		}
	}
	return best
}

// modelGroup is the subset of a pool that runs a model: all candidates, or those whose hash is below hashLimit or at
// least hashLimit.
type modelGroup struct {
	all       bool
	hashLimit uint64
	below     bool
}

func (g modelGroup) has(c *Candidate) bool { return g.hasHash(c.Hash) }

func (g modelGroup) hasHash(hash uint64) bool { return g.all || (hash < g.hashLimit) == g.below }

// groupOf returns the group of the request's model. The smallest model has a group of its own, because its short
// requests would wait for the long prompts of larger models on the same engine. Pools of one or two servers are not
// divided.
func groupOf(candidates []Candidate, r *Request) modelGroup {
	smallCount := (smallGroupPercent*len(candidates) + 50) / 100
	if r.ModelCount < 2 || smallCount == 0 {
		return modelGroup{all: true}
	}
	if len(candidates) > maxPoolSizeForExactGroup {
		return groupOfLarge(r)
	}
	g := modelGroup{below: r.ModelRank == 0}
	var hashes [maxPoolSizeForExactGroup]uint64
	for i := range candidates {
		hashes[i] = candidates[i].Hash
	}
	sorted := hashes[:len(candidates)]
	slices.Sort(sorted)
	g.hashLimit = sorted[smallCount]
	return g
}

// groupOfLarge returns the group of the request's model in a pool of more than maxPoolSizeForExactGroup servers.
func groupOfLarge(r *Request) modelGroup {
	if r.ModelCount < 2 {
		return modelGroup{all: true}
	}
	return modelGroup{below: r.ModelRank == 0, hashLimit: math.MaxUint64 / 100 * smallGroupPercent}
}

// smallGroupPercent is the percentage of a pool that runs the smallest model. A small part of the pool is enough: every
// request runs on the smallest model first, but takes only a tenth of the time that it takes on the largest one.
const smallGroupPercent = 22

// maxPoolSizeForExactGroup is the number of servers in the largest pool whose small group has an exact number of members.
// In larger pools, hashLimit is a fixed fraction of the hash range, which is accurate enough.
const maxPoolSizeForExactGroup = 64

// sharedPrefixKey returns the key of the longest prefix that other prompts may share: all parts but the last. It returns
// an empty string for a prompt with fewer than two parts.
func sharedPrefixKey(parts []PromptPart) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}

// Hash returns the hash of an ID by which candidates are ranked, the same on each instance.
func Hash(id string) uint64 {
	return xxhash.Sum64String(id)
}

// rankFor returns the rendezvous rank of a hash under a key. The orders under different keys are independent.
func rankFor(key, hash uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], key)
	binary.LittleEndian.PutUint64(pair[8:], hash)
	return xxhash.Sum64(pair[:])
}
