package balance

import (
	"math"
	"slices"
	"time"
)

// ServerList is a pool's list of backend servers, from which Select reads a few. Its methods must not call the tracker.
type ServerList interface {
	// Identity returns a comparable value that differs between lists of different content or order.
	Identity() any
	Len() int
	ID(i int) string
	// Index returns the index of a server, or -1.
	Index(id string) int
	// Row returns the row of a server, or false if the request may not be sent to it.
	Row(i int) (Row, bool)
}

// Selection is the result of Select.
type Selection struct {
	// Index is the index of the selected server in the list.
	Index     int
	Candidate Candidate
}

// Select selects a server for a request in a large pool with learned rates as Choose does, but reads the rows of a sample of the
// list only. It returns false if the pool is small or its rates are not known, or if the sample has no usable server. The caller
// then uses Candidates and Choose.
func (t *Tracker) Select(now time.Time, list ServerList, r *Request, salt string) (Selection, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.newSelector(now, list, r, salt)
	if !ok {
		return Selection{}, false
	}
	e.considerPreferred()
	e.considerHolders()
	e.considerSample()
	e.considerUntilFree()
	if e.quota.inside() == 0 || e.best.Candidate.Penalty > 0 {
		return Selection{}, false
	}
	return e.best, true
}

// newSelector returns a selector, or false if all servers of the list are to be compared.
func (t *Tracker) newSelector(now time.Time, list ServerList, r *Request, salt string) (selector, bool) {
	p, n := t.poolOf(r.Pool), list.Len()
	p.sampled = n > maxPoolSizeForExactGroup
	if n <= maxPoolSizeForExactGroup || !p.learns || p.usualPlacement || !p.rates.Known() || r.TargetTime <= 0 {
		return selector{}, false
	}
	p.updateHashes(list)
	return selector{t: t, pool: p, list: list, now: now, r: r, keys: partKeys(r), saltHash: Hash(salt), group: groupOfLarge(r),
		best: Selection{Index: -1}, bestScore: math.Inf(1)}, true
}

// SelectPressure returns what GroupPressure returns, from a sample of the servers with a known load. It returns false if all
// servers are to be compared, as Select, or if the sample has too few servers. The caller then uses Candidates and
// GroupPressure.
func (t *Tracker) SelectPressure(now time.Time, list ServerList, r *Request, salt string) (float64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.newSelector(now, list, r, salt)
	if !ok {
		return 0, false
	}
	var known []float64
	for draw := range uint64(maxPressureDraws) {
		i := int(rankFor(e.saltHash, draw) % uint64(len(e.pool.hashes)))
		hash := e.pool.hashes[i]
		s := t.byHash[hash]
		if s == nil || !e.group.hasHash(hash) || !s.loadKnown(now) || now.Before(s.avoidUntil) {
			continue
		}
		if row, ok := list.Row(i); ok && row.ColdRemaining == 0 && !row.Silent {
			s.join(e.pool)
			c := t.candidate(now, s, &row, r, e.keys)
			known = append(known, c.Pressure())
		}
		if len(known) == maxPressureServers {
			break
		}
	}
	if len(known) < minKnownServers {
		return 0, false
	}
	slices.Sort(known)
	return known[len(known)*pressurePercentile/100], true
}

const (
	// maxPressureServers is the number of servers of which SelectPressure takes the percentile, and maxPressureDraws bounds the
	// random draws for them.
	maxPressureServers = 48
	maxPressureDraws   = 256
)

// updateHashes computes the hashes of the list's servers if the list has changed.
func (p *poolState) updateHashes(list ServerList) {
	identity := list.Identity()
	if identity == p.hashesOf && len(p.hashes) == list.Len() {
		return
	}
	p.hashesOf, p.hashes = identity, p.hashes[:0]
	clear(p.preferred)
	for i := range list.Len() {
		p.hashes = append(p.hashes, Hash(list.ID(i)))
	}
}

// selector is the state of one selection. Its methods read and set the best candidate so far.
type selector struct {
	t         *Tracker
	pool      *poolState
	list      ServerList
	now       time.Time
	r         *Request
	keys      []string
	saltHash  uint64
	group     modelGroup
	best      Selection
	bestScore float64
	quota     sampleQuota
}

// consider compares a server with the best candidate. It returns false if the request may not be sent to it. A server with a
// penalty is not considered if skipPenalty is set.
func (e *selector) consider(i int, preferred, skipPenalty bool) (usable bool) {
	row, ok := e.list.Row(i)
	if !ok {
		return false
	}
	s := e.t.getOrCreate(row.ID, e.now)
	s.observeBoot(row.Boot)
	s.join(e.pool)
	c := e.t.candidate(e.now, s, &row, e.r, e.keys)
	c.Slowness = max(e.pool.rates.Factor(e.now, &s.rate), 1)
	if c.Cold && !c.ColdReady || skipPenalty && c.Penalty > 0 {
		return false
	}
	score := timeScore(&c, e.r, preferred) + tieBreak(e.saltHash, &c)
	if !e.group.has(&c) {
		score += otherGroupCost
	}
	if score < e.bestScore {
		e.best, e.bestScore = Selection{i, c}, score
	}
	return true
}

// considerPreferred considers the server of the group that all instances prefer for the prompt's shared prefix: the first usable
// one of those with the highest ranks.
func (e *selector) considerPreferred() {
	key := sharedPrefixKey(e.r.Parts)
	if key == "" {
		return
	}
	for _, index := range e.pool.preferredServers(preferredKey{Hash(e.r.Model + "/" + key), e.group}) {
		if index >= 0 && e.consider(index, true, false) {
			return
		}
	}
}

// preferredKey identifies the order of a pool's servers for a shared prefix.
type preferredKey struct {
	prefix uint64
	group  modelGroup
}

const (
	// maxPreferred is the number of servers that are kept in the order of a shared prefix, in case that the first ones are not
	// usable.
	maxPreferred = 3
	// maxPreferredKeys is the number of shared prefixes whose servers are kept.
	maxPreferredKeys = 4096
)

// preferredServers returns the indexes of the servers of the group with the highest ranks for the prefix, or -1 instead of missing
// ones.
func (p *poolState) preferredServers(key preferredKey) [maxPreferred]int {
	if top, ok := p.preferred[key]; ok {
		return top
	}
	top, ranks := [maxPreferred]int{-1, -1, -1}, [maxPreferred]uint64{}
	for i, hash := range p.hashes {
		if !key.group.hasHash(hash) {
			continue
		}
		rank := rankFor(key.prefix, hash)
		for j := range top {
			if top[j] < 0 || rank > ranks[j] {
				copy(top[j+1:], top[j:])
				copy(ranks[j+1:], ranks[j:])
				top[j], ranks[j] = i, rank
				break
			}
		}
	}
	if len(p.preferred) >= maxPreferredKeys {
		clear(p.preferred)
	}
	p.preferred[key] = top
	return top
}

// considerHolders considers the servers that have probably cached the longest part of the prompt.
func (e *selector) considerHolders() {
	for i := len(e.keys) - 1; i >= 0; i-- {
		holders, found := e.pool.holders[e.keys[i]], false
		if holders == nil {
			continue
		}
		for _, h := range holders {
			if h.server == "" || e.now.Sub(h.at) > partCacheLifetime {
				continue
			}
			if index := e.list.Index(h.server); index >= 0 && index != e.best.Index {
				found = e.consider(index, false, true) || found
			}
		}
		if found {
			return
		}
	}
}

// considerSample considers random servers, as chooseFromSample.
func (e *selector) considerSample() {
	for draw := range uint64(maxSampleDraws) {
		if e.quota.full(e.group) {
			return
		}
		i := int(rankFor(e.saltHash, draw) % uint64(len(e.pool.hashes)))
		hash := e.pool.hashes[i]
		inGroup, s := e.group.hasHash(hash), e.t.byHash[hash]
		loadKnown := s != nil && s.loadKnown(e.now)
		if !e.quota.take(inGroup, loadKnown) {
			continue
		}
		if e.consider(i, false, true) {
			e.quota.add(inGroup, loadKnown)
		}
	}
}

// considerUntilFree considers further random servers while the best candidate is full, as a request must not wait because only the
// sample is full. Servers that are full too are skipped without reading their rows.
func (e *selector) considerUntilFree() {
	for draw := uint64(maxSampleDraws); draw < maxSampleDraws+maxFreeDraws; draw++ {
		if e.best.Index < 0 || e.best.Candidate.Load < fullLoad {
			return
		}
		i := int(rankFor(e.saltHash, draw) % uint64(len(e.pool.hashes)))
		if s := e.t.byHash[e.pool.hashes[i]]; s != nil && s.pool != nil {
			if requests, slots := s.expectedRequests(e.now, 0); slots > 0 && requests >= fullLoad*float64(slots) {
				continue
			}
		}
		e.consider(i, false, true)
	}
}

// maxFreeDraws bounds the random draws for a server that is not full. In a pool in which 1 in 100 servers is not full, they find one
// with a probability of 85%.
const maxFreeDraws = 192
