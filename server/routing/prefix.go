package routing

import (
	"math"
	"time"

	"clementinetray/api/control"
)

const (
	// maxPrefixBonus is the largest deduction from a score for cached prefixes, in units of load (1 is a server at its
	// capacity). It applies to a backend server that certainly has the whole prompt cached.
	maxPrefixBonus = 0.5
	// prefixEvictionHalfLife is the age of a cache report at which half of its prefixes have probably been evicted.
	prefixEvictionHalfLife = 30 * time.Second
	// maxPrefixComparisons limits the reported prefixes that one decision compares, over all candidates.
	maxPrefixComparisons = 4096
	// minPrefixesPerServer and maxPrefixesPerServer limit the reported prefixes that are compared for each candidate.
	minPrefixesPerServer = 4
	maxPrefixesPerServer = 64
)

// prefixMatcher finds the longest prefix of a prompt that a backend server has reported as cached.
type prefixMatcher struct {
	requestHashes []uint64
	// filter has one bit set for the low 6 bits of each request hash, so that one comparison rules out most of the
	// reported hashes.
	filter               uint64
	maxComparedPerServer int
}

func newPrefixMatcher(requestHashes []uint64, candidateCount int) prefixMatcher {
	m := prefixMatcher{requestHashes: requestHashes}
	for _, h := range requestHashes {
		m.filter |= 1 << (h & 63)
	}
	m.maxComparedPerServer = min(max(maxPrefixComparisons/max(candidateCount, 1), minPrefixesPerServer), maxPrefixesPerServer)
	return m
}

// expectedHitShare returns the share of the prompt (0 to 1) that the backend server is expected to have cached: the
// share that it reported times the probability that it was not evicted since. That probability falls with the age of
// the report and with the position in it, as the oldest prefixes are reported last and evicted first.
func (m *prefixMatcher) expectedHitShare(s *Snapshot, b *control.BackendServer) float64 {
	if m.filter == 0 || len(b.PrefixHashes) == 0 {
		return 0
	}
	longest, bestPosition := len(m.requestHashes), 0
	for i, h := range b.PrefixHashes[:min(len(b.PrefixHashes), m.maxComparedPerServer)] {
		if m.filter>>(h&63)&1 == 0 {
			continue
		}
		for j, w := range m.requestHashes[:longest] {
			if w == h {
				longest, bestPosition = j, i
				break
			}
		}
	}
	if longest == len(m.requestHashes) {
		return 0
	}
	fraction := float64(len(m.requestHashes)-longest) / float64(len(m.requestHashes))
	cachedProbability := math.Exp2(-float64(reportAge(s, b))/float64(prefixEvictionHalfLife)) * (1 - 0.5*float64(bestPosition)/float64(len(b.PrefixHashes)))
	return fraction * cachedProbability
}
