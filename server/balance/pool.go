package balance

import (
	"iter"
	"math"
	"slices"
	"time"

	"clementinetray/server/serverrate"
)

// poolState is what the servers of a pool have in common.
type poolState struct {
	// nameHash is Hash of the pool's name.
	nameHash uint64
	// members holds the hashes of the servers that were candidates within memberLifetime, in ascending order. membersVersion changes with it.
	members        []uint64
	membersVersion int
	// sampled is set if requests read a sample of the pool's servers only, so that members may lack some.
	sampled bool
	rates   *serverrate.Pool
	// learns is set if the pool's times are learned: by an option of the tracker, or once a server reports its WorkPercent.
	learns bool
	// usualPlacement is Options.UsualPlacement.
	usualPlacement bool
	// othersPerSlot and waitingPerSlot are running means, over the load reports of all servers, of the requests of other
	// instances that run or wait, and of those that wait, for each slot.
	othersPerSlot, waitingPerSlot float64
	reportCount                   int
	// recentOthersPerSlot is othersPerSlot over the last few reports.
	recentOthersPerSlot float64
	// occupied is the running mean of the time for which a request has a slot, and turnedAwayAt is when a request of this instance was
	// last turned away.
	occupied     time.Duration
	turnedAwayAt time.Time
	// holders holds the servers to which a prompt part was sent last, by the key from partKeys.
	holders map[string]*[maxHolders]holder
	// hashes holds Hash of the ids of the pool's servers, in the order of the list with the identity hashesOf.
	hashes   []uint64
	hashesOf any
	// preferred caches the results of preferredServers for hashes.
	preferred map[preferredKey][maxPreferred]int
}

// holder is a server that has probably cached a prompt part.
type holder struct {
	server string
	at     time.Time
}

const (
	// maxHolders is the number of servers that are kept for each prompt part. A prompt rarely has more servers to gain from, as all
	// instances prefer the same server for a shared part.
	maxHolders = 3
	// maxHeldParts is the largest number of prompt parts with holders in a pool.
	maxHeldParts = 16_384
)

// recordHolder records that a prompt with the parts was sent to the server.
func (p *poolState) recordHolder(now time.Time, server string, keys []string) {
	if len(p.holders)+len(keys) > maxHeldParts {
		for key, h := range p.holders {
			if now.Sub(h[0].at) > partCacheLifetime/2 {
				delete(p.holders, key)
			}
		}
		if len(p.holders)+len(keys) > maxHeldParts {
			clear(p.holders)
		}
	}
	for _, key := range keys {
		h := p.holders[key]
		if h == nil {
			h = &[maxHolders]holder{}
			p.holders[key] = h
		}
		// The holders are kept in the order of their last use.
		last := 0
		for last < maxHolders-1 && h[last].server != server {
			last++
		}
		copy(h[1:last+1], h[:last])
		h[0] = holder{server, now}
	}
}

// maxPools is the largest number of pools whose times are learned. Requests of further pools share one state.
const maxPools = 256

// reportWeight is the smallest weight of a load report in the means of its pool. About 50 reports arrive while the load of a pool
// changes noticeably.
const reportWeight = 0.02

// recentReportWeight is the smallest weight of a load report in the mean of the last few.
const recentReportWeight = 0.2

func (t *Tracker) poolOf(name string) *poolState {
	p := t.pools[name]
	if p == nil && len(t.pools) >= maxPools {
		name = ""
		p = t.pools[name]
	}
	if p == nil {
		p = &poolState{nameHash: Hash(name), rates: serverrate.NewPool(), learns: t.options.LearnedRates, usualPlacement: t.options.UsualPlacement, holders: map[string]*[maxHolders]holder{},
			preferred: map[preferredKey][maxPreferred]int{}}
		t.pools[name] = p
	}
	return p
}

func (s *serverState) join(p *poolState) {
	if i, found := slices.BinarySearch(p.members, s.hash); !found {
		p.members = slices.Insert(p.members, i, s.hash)
		p.membersVersion++
	}
	if s.pool != p {
		s.pool = p
		p.learns = p.learns || s.lastReport.WorkPercent > 0
	}
}

// memberLifetime is how long a server that is no candidate any more counts as a member of its pool. A server that goes down and returns
// stays a member, so that the others' shares don't move.
const memberLifetime = time.Minute

// removeOldMembers removes the members that have been no candidates for memberLifetime.
func (t *Tracker) removeOldMembers(now time.Time, p *poolState) {
	n := len(p.members)
	p.members = slices.DeleteFunc(p.members, func(hash uint64) bool {
		s := t.byHash[hash]
		return s == nil || s.pool != p || now.Sub(s.lastUsed) > memberLifetime
	})
	if len(p.members) != n {
		p.membersVersion++
	}
}

func (s *serverState) learns() bool { return s.pool != nil && s.pool.learns }

// ratesOf returns the learned values of the pool's servers.
func (t *Tracker) ratesOf(p *poolState) iter.Seq[*serverrate.Server] {
	return func(yield func(*serverrate.Server) bool) {
		for _, s := range t.servers {
			if s.pool == p && !yield(&s.rate) {
				return
			}
		}
	}
}

// recordReport adds the last load report to the learned values.
func (s *serverState) recordReport() {
	s.rate.RecordWork(s.lastReport.WorkPercent, s.lastReport.At)
	p := s.pool
	if p == nil {
		return
	}
	p.learns = p.learns || s.lastReport.WorkPercent > 0
	if slots := float64(s.lastReport.Slots); slots > 0 {
		p.reportCount++
		weight := max(reportWeight, 1/float64(p.reportCount))
		p.othersPerSlot += weight * (min(s.reportedOthers()/slots, maxReportedLoad) - p.othersPerSlot)
		p.recentOthersPerSlot += max(recentReportWeight, 1/float64(p.reportCount)) * (min(s.reportedOthers()/slots, maxReportedLoad) - p.recentOthersPerSlot)
		s.reportCount = min(s.reportCount+1, maxServerReports)
		s.othersPerSlot += (min(s.reportedOthers()/slots, maxReportedLoad) - s.othersPerSlot) / float64(s.reportCount)
		p.waitingPerSlot += weight * (min(s.reportedOthersWaiting()/slots, maxReportedLoad) - p.waitingPerSlot)
	}
}

// usualOthersPerSlot returns the usual number of requests of other instances for each slot: the server's mean, drawn towards that of
// its pool by the weight of priorReports reports. The mean differs between servers, as slow ones keep their requests for longer.
func (s *serverState) usualOthersPerSlot() float64 {
	n := float64(s.reportCount)
	return (n*s.othersPerSlot + priorReports*s.pool.othersPerSlot) / (n + priorReports)
}

const (
	// maxServerReports is the number of reports that a server's mean covers.
	maxServerReports = 10
	priorReports     = 2
)

// maxReportedLoad bounds the load of a report in the means of its pool, so that one wrong report doesn't make all servers look full.
const maxReportedLoad = 4

func (s *serverState) reportedOthers() float64 {
	return max(float64(s.lastReport.Running+s.lastReport.Waiting-s.ownRunningAtReport), 0)
}

func (s *serverState) reportedOthersWaiting() float64 {
	return max(float64(s.lastReport.Waiting-s.ownWaitingAtReport), 0)
}

// expectedRequests returns the estimated number of requests that run or wait on the server, and its number of slots. The
// requests of other instances decay from those of the last report to the usual number, so that a server without a recent
// report doesn't look idle. slots is the number of slots if no report has one.
func (s *serverState) expectedRequests(now time.Time, slots int) (requests float64, knownSlots int) {
	if s.lastReport.Slots > 0 {
		slots = s.lastReport.Slots
	}
	return float64(s.running) + s.others(now, s.reportedOthers(), s.usualOthersPerSlot()*float64(slots)), slots
}

// expectedQueue returns the estimated number of unread tokens. The other instances' share is estimated as in
// expectedRequests.
func (s *serverState) expectedQueue(now time.Time, meanTokens float64) float64 {
	waiting := s.others(now, s.reportedOthersWaiting(), s.pool.waitingPerSlot*float64(s.lastReport.Slots))
	return s.queuedTokens + max(waiting*meanTokens, s.remoteTokens(now))
}

func (s *serverState) others(now time.Time, reported, usual float64) float64 {
	if s.lastReport.At.IsZero() {
		return usual
	}
	return usual + (reported-usual)*ageWeight(now, s.lastReport.At)
}

// expect sets the load of a candidate, which decays to the usual one, and its expected times.
func (s *serverState) expect(now time.Time, r *Request, slots int, meanTokens float64, c *Candidate) {
	c.WorkPercent = s.lastReport.WorkPercent
	if s.pool.usualPlacement {
		c.Load, c.QueuedTokens = s.estimateLoad(now, slots), s.estimateQueue(now, meanTokens)
		if s.lastReport.Slots > 0 {
			slots = s.lastReport.Slots
		}
		c.setTimes(now, s, r, c.Load*float64(slots), slots)
		c.timed = false
		return
	}
	c.sampled = true
	requests, slots := s.expectedRequests(now, slots)
	c.Load = requests / math.Max(float64(slots), 1)
	c.QueuedTokens = s.expectedQueue(now, meanTokens)
	c.setTimes(now, s, r, requests, slots)
}
