package balance

import (
	"math"
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
	p, n := t.poolOf(r.Pool), list.Len()
	if n <= maxPoolSizeForExactGroup || !p.learns || !p.rates.Known() || r.TargetTime <= 0 {
		return Selection{}, false
	}
	p.updateHashes(list)
	e := selector{t: t, pool: p, list: list, now: now, r: r, keys: partKeys(r), saltHash: Hash(salt), group: groupOfLarge(r),
		best: Selection{Index: -1}, bestScore: math.Inf(1)}
	e.considerPreferred()
	e.considerHolders()
	e.considerSample()
	if e.inside == 0 || e.best.Candidate.Penalty > 0 {
		return Selection{}, false
	}
	return e.best, true
}

// updateHashes computes the hashes of the list's servers if the list has changed.
func (p *poolState) updateHashes(list ServerList) {
	identity := list.Identity()
	if identity == p.hashesOf && len(p.hashes) == list.Len() {
		return
	}
	p.hashesOf, p.hashes = identity, p.hashes[:0]
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
	// inside is the number of sampled candidates in the group of the request's model.
	inside int
}

// consider compares a server with the best candidate. It returns false if the request may not be sent to it. A server with a
// penalty is not considered if skipPenalty is set.
func (e *selector) consider(i int, preferred, skipPenalty bool) (c Candidate, usable bool) {
	row, ok := e.list.Row(i)
	if !ok {
		return c, false
	}
	s := e.t.getOrCreate(row.ID, e.now)
	s.join(e.pool)
	c = s.candidate(e.now, &row, e.r, e.keys, e.t.meanTokens)
	c.Slowness = max(e.pool.rates.Factor(e.now, &s.rate), 1)
	if c.Cold && !c.ColdReady || skipPenalty && c.Penalty > 0 {
		return c, false
	}
	score := timeScore(&c, e.r, preferred) + tieBreak(e.saltHash, &c)
	if !e.group.has(&c) {
		score += otherGroupCost
	}
	if score < e.bestScore {
		e.best, e.bestScore = Selection{i, c}, score
	}
	return c, true
}

// considerPreferred considers the server of the group that all instances prefer for the prompt's shared prefix: the first usable
// one of those with the highest ranks.
func (e *selector) considerPreferred() {
	key := sharedPrefixKey(e.r.Parts)
	if key == "" {
		return
	}
	type ranked struct {
		rank  uint64
		index int
	}
	var top [3]ranked
	keyHash := Hash(e.r.Model + "/" + key)
	for i, hash := range e.pool.hashes {
		if !e.group.hasHash(hash) {
			continue
		}
		rank := rankFor(keyHash, hash)
		for j := range top {
			if rank > top[j].rank {
				copy(top[j+1:], top[j:])
				top[j] = ranked{rank, i}
				break
			}
		}
	}
	for _, candidate := range top {
		if candidate.rank == 0 {
			return
		}
		if _, usable := e.consider(candidate.index, true, false); usable {
			return
		}
	}
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
				_, usable := e.consider(index, false, true)
				found = found || usable
			}
		}
		if found {
			return
		}
	}
}

// considerSample considers random servers, as chooseFromSample.
func (e *selector) considerSample() {
	known, outside := 0, 0
	for draw := range uint64(maxSampleDraws) {
		full := e.inside == maxSampled || known == maxSampledKnown
		if full && (e.group.all || outside == maxSampledOutside) {
			return
		}
		i := int(rankFor(e.saltHash, draw) % uint64(len(e.pool.hashes)))
		inside := e.group.hasHash(e.pool.hashes[i])
		if inside && full || !inside && outside == maxSampledOutside {
			continue
		}
		c, usable := e.consider(i, false, true)
		switch {
		case !usable:
		case !inside:
			outside++
		default:
			e.inside++
			if c.LoadKnown {
				known++
			}
		}
	}
}
