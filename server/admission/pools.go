package admission

import (
	"hash/maphash"
	"math"
	"sync"
	"time"
)

const (
	// maxPools is the largest number of pools with learned values; the one that was used least recently is dropped for a new one.
	maxPools = 256
	// maxRejected is the largest number of rejected requests that are remembered until their retry.
	maxRejected = 4096
	// outcomeWeight is the least weight of one request in the running share of late requests.
	outcomeWeight = 1.0 / 32
	// minOutcomes is the number of requests from which the share of late requests counts.
	minOutcomes = 8
	// reportWeight is the least weight of one load report in the running means, and minReports the number from which they count.
	reportWeight = 1.0 / 16
	minReports   = 8
	// queuedWaiting is the mean number of waiting requests at a backend server from which the pool counts as queued. Single requests
	// that wait for a moment are usual at a moderate load.
	queuedWaiting = 0.5
	// reportLifetimeDivisor sets how fast the load of a pool without reports is forgotten: within about a target time. Without
	// requests there are no reports, so that the first request after a while shows the present load.
	reportLifetimeDivisor = 3
	// maxReported is the largest figure of a load report that is believed.
	maxReported = 1_000_000
	// minReleases is the number of recent releases from which they make up a rate.
	minReleases = 4
	// costWeight is the weight of one request in the running means of the cost and of the part above the shares.
	costWeight = 1.0 / 32
	// mostAboveShare is the part of a pool's requests from which those of workspaces above their shares don't count as late.
	mostAboveShare = 0.5
	// memoryTargets is the number of target times over which learned values are kept. It holds several generations of requests, and an
	// overload that has ended no longer counts after a few of them.
	memoryTargets = 4
	// minMemory is the shortest such time, for pools with target times of some milliseconds.
	minMemory = time.Second
	// maxMemory bounds that time, for routes with target times of minutes.
	maxMemory = time.Minute
	// signalTargets is the number of target times for which the pool's state that one request saw holds for others that wait.
	signalTargets = 0.25
)

// Pools learns the state of each pool from placements and answers of this entry instance. The state is soft: it is lost with the process,
// bounded by maxPools and maxRejected, and forgotten after some target times. It is safe for concurrent use.
type Pools struct {
	mu       sync.Mutex // guards the fields below
	pools    map[string]*pool
	rejected map[uint64]time.Time
	seed     maphash.Seed
}

type pool struct {
	used time.Time
	// memory is the time over which values are kept, from the longest target time that was seen.
	memory time.Duration
	// releases is the number of releases since the pool became busy, each weighted by its age. The pool is busy from busySince to
	// busyUntil, the last time at which a request found it full. Only then do releases show its capacity.
	releases             float64
	releasedAt           time.Time
	busySince, busyUntil time.Time
	ranks                [MaxRank + 1]rankState
	reports              reportMeans
	signal               Snapshot
	signalAt             time.Time
	// reportedWork is when a backend server last reported how long work takes on its machine.
	reportedWork time.Time
	spare        spare
	// aboveShare is the running part of the requests that are of workspaces above their shares.
	aboveShare float64
}

// reportMeans holds running means over the load reports of the pool's backend servers, whichever sent them. In a large fleet an instance has
// a recent report of a few servers only, but the mean of the last reports is known.
type reportMeans struct {
	// use is the share of the slots in use, waiting the number of waiting requests, and load the number of requests divided by the slots.
	use, waiting, load float64
	count              int
	at                 time.Time
}

type rankState struct {
	late     float64
	count    int
	lateAt   time.Time
	meanCost float64
	// target is the target time of the last request, which came at seen.
	target time.Duration
	seen   time.Time
}

// NewPools returns an empty Pools.
func NewPools() *Pools {
	return &Pools{pools: map[string]*pool{}, rejected: map[uint64]time.Time{}, seed: maphash.MakeSeed()}
}

func (p *Pools) get(name string, now time.Time) *pool {
	s := p.pools[name]
	if s == nil {
		if len(p.pools) >= maxPools {
			p.evictOldest()
		}
		s = &pool{memory: minMemory}
		p.pools[name] = s
	}
	s.used = now
	return s
}

func (p *Pools) evictOldest() {
	oldest, at := "", time.Time{}
	for name, s := range p.pools {
		if oldest == "" || s.used.Before(at) {
			oldest, at = name, s.used
		}
	}
	delete(p.pools, oldest)
}

// Observe records the state of a pool that a request saw: the fields of the snapshot from Full to Outdated. busy is true if the request
// found it full, and workReported if a backend server reported how long work takes on its machine.
func (p *Pools) Observe(now time.Time, name string, s Snapshot, busy, workReported bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.get(name, now)
	state.signal, state.signalAt = s, now
	if busy {
		if now.Sub(state.busyUntil) > state.memory/4 {
			state.busySince, state.releases = now, 0
		}
		state.busyUntil = now
	}
	if workReported {
		state.reportedWork = now
	}
}

// ReportsWork reports whether backend servers of the pool have recently reported how long work takes on their machines.
func (p *Pools) ReportsWork(now time.Time, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.pools[name]
	return s != nil && !s.reportedWork.IsZero() && now.Sub(s.reportedWork) <= reportedWorkLifetime
}

// reportedWorkLifetime is how long a report of a machine's speed shows that the pool's servers send such reports.
const reportedWorkLifetime = time.Minute

// Snapshot adds the learned values to the state of a pool.
func (p *Pools) Snapshot(now time.Time, name string, s Snapshot) Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.pools[name]; state != nil {
		state.addLearned(now, &s)
		s.SpareEarned = state.spare.earn(now, s.spareSlots())
	}
	return s
}

// LastSnapshot returns the state that a request saw last, with the learned values. It is Outdated, so that it causes no rejection for
// lateness, if it is older than a fraction of the target time.
func (p *Pools) LastSnapshot(now time.Time, name string, target time.Duration) Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.pools[name]
	if state == nil {
		return Snapshot{Outdated: true}
	}
	s := state.signal
	if float64(now.Sub(state.signalAt)) > max(signalTargets*float64(target), float64(2*pollInterval)) {
		s.Outdated, s.UseKnown = true, false
	}
	state.addLearned(now, &s)
	return s
}

func (s *pool) addLearned(now time.Time, out *Snapshot) {
	if m := &s.reports; m.count >= minReports && now.Sub(m.at) <= s.memory {
		out.UseKnown, out.Use, out.Queued = true, m.use, m.waiting >= queuedWaiting
		if !out.LoadKnown {
			out.Load = max(out.Load, m.load*decay(now.Sub(m.at), s.memory/reportLifetimeDivisor))
		}
	}
	out.ReleaseRate, out.WithinShare = s.releaseRate(now), 1-s.aboveShare
	for i := range s.ranks {
		r := &s.ranks[i]
		out.Late[i], out.Targets[i] = r.lateShare(now, s.memory), 0
		if now.Sub(r.seen) <= s.memory {
			out.Targets[i] = r.target
		}
	}
}

// releaseRate returns the number of releases per second, 0 until the pool has been busy for half of the time that values are kept.
func (s *pool) releaseRate(now time.Time) float64 {
	busy := now.Sub(s.busySince)
	if s.busySince.IsZero() || busy < s.memory/2 || now.Sub(s.busyUntil) > s.memory/4 {
		return 0
	}
	if s.releases < minReleases {
		return 0
	}
	counted := s.memory.Seconds() * (1 - decay(busy, s.memory))
	return s.releases * decay(now.Sub(s.releasedAt), s.memory) / counted
}

func (r *rankState) lateShare(now time.Time, memory time.Duration) float64 {
	if r.count < minOutcomes {
		return 0
	}
	// A rank without requests for a while is not held against others.
	return r.late * decay(max(now.Sub(r.lateAt)-memory, 0), memory)
}

// decay returns the weight of a value of this age.
func decay(age, memory time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(memory))
}

// RecordRequest records the cost and the target time of a new request, and sets those of its properties that the instance has learned.
func (p *Pools) RecordRequest(now time.Time, name string, request *Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(name, now)
	s.memory = max(s.memory, min(memoryTargets*request.Target, maxMemory))
	rank := clampRank(request.Rank)
	r := &s.ranks[rank]
	r.target, r.seen = request.Target, now
	cost := max(finite(request.Cost), 0)
	if r.meanCost == 0 {
		r.meanCost = cost
	}
	r.meanCost += costWeight * (cost - r.meanCost)
	request.MeanCost = r.meanCost
	s.aboveShare *= 1 - costWeight
	if request.AboveShare() {
		s.aboveShare += costWeight
	}
	learned := Snapshot{}
	s.addLearned(now, &learned)
	request.Favoured = isFavoured(request.Draw, rank, &learned)
}

// RecordSpare records that a request of a workspace above its share was sent to a backend server. draw has an exponential distribution with the
// mean 1.
func (p *Pools) RecordSpare(now time.Time, name string, draw float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(name, now).spare.spend(draw)
}

// RecordRelease records that a placement ended.
func (p *Pools) RecordRelease(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(name, now)
	s.releases = s.releases*decay(now.Sub(s.releasedAt), s.memory) + 1
	s.releasedAt = now
}

// RecordLoad records a load report of one of the pool's backend servers. Absurd figures count as absent.
func (p *Pools) RecordLoad(now time.Time, name string, running, waiting, slots int) {
	if running < 0 || waiting < 0 || slots <= 0 || running > maxReported || waiting > maxReported || slots > maxReported {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(name, now)
	m := &s.reports
	if now.Sub(m.at) > s.memory {
		*m = reportMeans{}
	}
	m.count++
	m.at = now
	weight := max(reportWeight, 1/float64(m.count))
	m.use += weight * (min(float64(running)/float64(slots), 1) - m.use)
	m.waiting += weight * (float64(waiting) - m.waiting)
	m.load += weight * (float64(running+waiting)/float64(slots) - m.load)
}

// RecordOutcome records whether a request got its first event within its target time. Requests of workspaces above their shares don't count while
// they are most of the pool's and give way to others: ranks of the others would be held back for them.
func (p *Pools) RecordOutcome(now time.Time, name string, request *Request, late bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(name, now)
	if request.AboveShare() && s.aboveShare > mostAboveShare && 1-s.aboveShare >= leastWithinShare {
		return
	}
	r := &s.ranks[clampRank(request.Rank)]
	r.count++
	value := 0.0
	if late {
		value = 1
	}
	r.late += max(outcomeWeight, 1/float64(r.count)) * (value - r.late)
	r.lateAt = now
}

// RecordRejected remembers a rejected request until its caller's deadline.
func (p *Pools) RecordRejected(now time.Time, id string, deadline time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.rejected) >= maxRejected {
		for key, end := range p.rejected {
			if end.Before(now) {
				delete(p.rejected, key)
			}
		}
		if len(p.rejected) >= maxRejected {
			clear(p.rejected)
		}
	}
	p.rejected[maphash.String(p.seed, id)] = deadline
}

// WasRejected reports whether this instance rejected an earlier call with the same id.
func (p *Pools) WasRejected(now time.Time, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	end, ok := p.rejected[maphash.String(p.seed, id)]
	return ok && now.Before(end)
}
