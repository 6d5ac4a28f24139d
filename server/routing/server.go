package routing

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
)

const (
	// sampleSize is the number of random candidates that are compared at each distance.
	sampleSize = 2
	// fullSampleSize is the number of further random candidates of each distance that are compared if the first ones are
	// full. Comparing all candidates would make every entry instance choose the same one until the next load report.
	fullSampleSize = 2
	// prefixSampleSize is the number of candidates with the longest cached prefix that are compared in addition to the
	// random sample.
	prefixSampleSize = 2
	// slotProbability is the probability that a decision also considers cold and ramping backend servers although others
	// have room. They need work to warm up, but each attempt on them costs a call to acquire a slot.
	slotProbability = 0.25
	// fullLoad is the load from which a request has to wait in the queue of the backend server.
	fullLoad = 1.0
	// noServerRetryAfter is the retry delay that is suggested when no backend server is available; within it an update of
	// the fleet table may have added one.
	noServerRetryAfter = time.Second
	// fullRetryAfter is the time within which full backend servers finish some of their requests.
	fullRetryAfter = time.Second
)

var (
	reasonOwnZone      = "lower score of a sample of the own availability zone"
	reasonAllZones     = "lower score of a sample of all availability zones"
	reasonLargerSample = "sampled backend servers are full; lowest score of a larger sample"
	reasonOnlyAvoided  = "only backend servers with recent connection errors are left"
	reasonCachedPrefix = "has the prompt's prefix cached"
)

// candidateLists holds the lists of candidates of one decision. It is reused to avoid allocations.
type candidateLists struct {
	// ownZone holds the candidates in service in this availability zone, otherZones those in other zones of this region,
	// otherRegions those in other regions. needSlot holds the cold and ramping candidates of any zone and region.
	ownZone, otherZones, otherRegions, needSlot []*control.BackendServer
}

var candidateListsPool = sync.Pool{New: func() any { return new(candidateLists) }}

// hasServer reports whether any backend server takes new work for the version.
func hasServer(s *Snapshot, ref catalogue.VersionRef) bool {
	for _, b := range serversFor(s, ref, "") {
		if routable(s, b) {
			return true
		}
	}
	return false
}

// serversFor returns the backend servers of the service if it is set, and of the version otherwise.
func serversFor(s *Snapshot, version catalogue.VersionRef, service string) []*control.BackendServer {
	switch {
	case s.Fleet == nil:
		return nil
	case service != "":
		return s.Fleet.ByService[service]
	}
	return s.Fleet.ByVersion[version]
}

// routable reports whether a backend server may take new work according to its phase, its own statements and the operators'
// orders.
func routable(s *Snapshot, b *control.BackendServer) bool {
	switch b.Phase {
	case control.PhaseInService, control.PhaseCold, control.PhaseRamping:
	default:
		return false
	}
	if b.Leaving {
		return false
	}
	if s.StatementOf != nil {
		if said := s.StatementOf(b.ID, b.Boot); said.Leaving || said.SpareUntil.After(s.Now) {
			return false
		}
	}
	o := s.View.Orders
	if o == nil {
		return true
	}
	if len(o.ZonesOut) > 0 {
		if _, out := o.ZonesOut[b.AvailabilityZone]; out {
			return false
		}
	}
	if len(o.ServersOut) > 0 {
		if _, out := o.ServersOut[b.ID]; out {
			return false
		}
	}
	return true
}

// needsSlot reports whether each request to the backend server must hold a slot.
func needsSlot(b *control.BackendServer) bool { return b.Phase != control.PhaseInService }

// ChooseServer chooses the backend server that runs a request on the version. If version is zero, it chooses one of the
// plain service r.Service. Every problem that it returns has NotRun set.
func ChooseServer(s *Snapshot, r *Request, version catalogue.VersionRef, rng *rand.Rand) (ServerChoice, *problem.Problem) {
	if p := checkSnapshot(s); p != nil {
		return ServerChoice{}, p
	}
	if p := checkDeadline(s, r); p != nil {
		return ServerChoice{}, p
	}
	service := ""
	if version.Model == "" {
		service = r.Service
		if p := CheckServicePermission(s, r.Workspace, service); p != nil {
			return ServerChoice{}, p
		}
	} else if p := permissionProblem(checkVersionPermission(s.View, r.Workspace, version), version); p != nil {
		return ServerChoice{}, p
	}
	lists := candidateListsPool.Get().(*candidateLists)
	defer candidateListsPool.Put(lists)
	d := decision{s: s, r: r, rng: rng, candidateLists: lists}
	if !d.collectCandidates(serversFor(s, version, service)) {
		name := service
		if name == "" {
			name = version.String()
		}
		return ServerChoice{}, problem.New(problem.NoBackendServer, "no backend server takes work for "+name).MarkNotRun().WithRetryAfter(noServerRetryAfter)
	}
	return d.chooseServer()
}

// decision is the state of one call of ChooseServer.
type decision struct {
	s   *Snapshot
	r   *Request
	rng *rand.Rand
	*candidateLists
	ownZoneLoad, poolLoad float64
	matcher               prefixMatcher
	// best is the candidate with the lowest score so far, second the one with the next higher score.
	best, second           *control.BackendServer
	bestScore, secondScore float64
	bestHitShare           float64
	bestLoad               float64
}

// collectCandidates fills the candidate lists with the backend servers that may run the request, and computes the loads
// of the own zone and of all servers. It reports whether it found any server.
func (d *decision) collectCandidates(servers []*control.BackendServer) bool {
	s := d.s
	d.ownZone, d.otherZones, d.otherRegions, d.needSlot = d.ownZone[:0], d.otherZones[:0], d.otherRegions[:0], d.needSlot[:0]
	ownRunning, ownCapacity, running, capacity := 0, 0, 0, 0
	for _, b := range servers {
		if !routable(s, b) || len(d.r.Exclude) > 0 && d.r.Exclude[b.ID] {
			continue
		}
		if needsSlot(b) {
			if b.Running+b.Queued < b.Limit {
				d.needSlot = append(d.needSlot, b)
			}
			continue
		}
		running += b.Running + b.Queued
		capacity += max(b.Capacity, 1)
		switch {
		case b.Region != s.Region:
			d.otherRegions = append(d.otherRegions, b)
		case b.AvailabilityZone != s.AvailabilityZone:
			d.otherZones = append(d.otherZones, b)
		default:
			ownRunning += b.Running + b.Queued
			ownCapacity += max(b.Capacity, 1)
			d.ownZone = append(d.ownZone, b)
		}
	}
	d.poolLoad = float64(running) / float64(max(capacity, 1))
	d.ownZoneLoad = float64(ownRunning) / float64(max(ownCapacity, 1))
	inService := len(d.ownZone) + len(d.otherZones) + len(d.otherRegions)
	d.matcher = newPrefixMatcher(d.r.PrefixHashes, inService)
	return inService+len(d.needSlot) > 0
}

// chooseServer compares samples of the candidates, nearest first, and returns the one with the lowest score. It returns
// a problem if even that one is too full for the priority of the request.
func (d *decision) chooseServer() (ServerChoice, *problem.Problem) {
	reason := reasonOwnZone
	overflowShare := linearRamp(d.ownZoneLoad, zoneOverflowStartLoad, zoneOverflowFullLoad)
	allZones := len(d.ownZone) == 0 || overflowShare > 0 && d.rng.Float64() < overflowShare
	d.scoreSample(d.ownZone, sampleSize)
	if allZones || d.best == nil || d.bestLoad >= zoneOverflowFullLoad {
		reason = reasonAllZones
		d.scoreSample(d.otherZones, sampleSize)
	}
	if d.best == nil || d.bestLoad >= fullLoad {
		d.scoreSample(d.otherRegions, sampleSize)
	}
	d.scoreLongestPrefixes()
	if len(d.needSlot) > 0 && (d.best == nil || d.bestLoad >= zoneOverflowStartLoad || d.rng.Float64() < slotProbability) {
		d.scoreSample(d.needSlot, 1)
	}
	if d.best != nil && d.bestLoad >= fullLoad {
		reason = reasonLargerSample
		d.scoreSample(d.ownZone, fullSampleSize)
		d.scoreSample(d.otherZones, fullSampleSize)
		d.scoreSample(d.otherRegions, fullSampleSize)
	}
	if d.best == nil {
		reason = reasonOnlyAvoided
		d.scoreAll()
	}
	if d.bestLoad >= shedLowestPriorityLoad && d.bestLoad >= shedLoad(d.s.View.Catalogue, d.r) {
		return ServerChoice{}, problem.New(problem.Overloaded, "every backend server that may run the request is full").MarkNotRun().WithRetryAfter(fullRetryAfter)
	}
	return ServerChoice{Server: d.best, NeedsSlot: needsSlot(d.best), Reasons: d.reasons(reason)}, nil
}

// isAvoided reports whether this entry instance recently had connection errors with the backend server.
func (d *decision) isAvoided(b *control.BackendServer) bool {
	return d.s.AvoidUntil != nil && d.s.AvoidUntil(b.ID).After(d.s.Now)
}

// scoreSample scores up to n random candidates that are not avoided. It shuffles the part of the list that it reads.
func (d *decision) scoreSample(list []*control.BackendServer, n int) {
	for i := 0; i < len(list) && n > 0; i++ {
		j := i + d.rng.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
		if !d.isAvoided(list[i]) {
			d.scoreServer(list[i], d.matcher.expectedHitShare(d.s, list[i]))
			n--
		}
	}
}

// scoreLongestPrefixes scores the candidates with the longest cached prefix, which a small random sample would mostly
// miss.
func (d *decision) scoreLongestPrefixes() {
	if d.matcher.filter == 0 {
		return
	}
	var found [prefixSampleSize]*control.BackendServer
	var hitShares [prefixSampleSize]float64
	for _, list := range [3][]*control.BackendServer{d.ownZone, d.otherZones, d.otherRegions} {
		for _, b := range list {
			hitShare := d.matcher.expectedHitShare(d.s, b)
			for i := range hitShares {
				if hitShare > hitShares[i] {
					copy(hitShares[i+1:], hitShares[i:])
					copy(found[i+1:], found[i:])
					hitShares[i], found[i] = hitShare, b
					break
				}
			}
		}
	}
	for i, b := range found {
		if b != nil && !d.isAvoided(b) {
			d.scoreServer(b, hitShares[i])
		}
	}
}

// scoreAll scores all candidates, although this entry instance avoids each of them.
func (d *decision) scoreAll() {
	for _, list := range [4][]*control.BackendServer{d.ownZone, d.otherZones, d.otherRegions, d.needSlot} {
		for _, b := range list {
			d.scoreServer(b, 0)
		}
	}
}

// scoreServer computes the score of a candidate and keeps it if it is the best or second best one so far. hitShare is
// the share of the prompt that it is expected to have cached.
func (d *decision) scoreServer(b *control.BackendServer, hitShare float64) {
	if b == d.best || b == d.second {
		return
	}
	ownLoad := ownLoadCorrection(d.s, b)
	load := loadOf(d.s, b, d.poolLoad) + ownLoad
	score := load + ownRunningWeight*ownLoad + distanceCost(d.s, b) - maxPrefixBonus*hitShare
	if d.best == nil || score < d.bestScore {
		d.second, d.secondScore = d.best, d.bestScore
		d.best, d.bestScore, d.bestHitShare, d.bestLoad = b, score, hitShare, load
	} else if d.second == nil || score < d.secondScore {
		d.second, d.secondScore = b, score
	}
}

// reasons returns the rule that selected the candidates, the scores of the best two, and whether a cached prefix
// counted.
func (d *decision) reasons(rule string) []string {
	var buffer [96]byte
	text := append(buffer[:0], "score "...)
	text = strconv.AppendFloat(text, d.bestScore, 'f', 2, 64)
	if d.second != nil {
		text = append(text, ", next "...)
		text = append(text, d.second.ID...)
		text = append(text, " with "...)
		text = strconv.AppendFloat(text, d.secondScore, 'f', 2, 64)
	}
	if d.bestHitShare > 0 {
		return []string{rule, string(text), reasonCachedPrefix}
	}
	return []string{rule, string(text)}
}
