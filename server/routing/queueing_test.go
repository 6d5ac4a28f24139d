package routing_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/blackboard"
	"clementinetray/server/ratings"
	"clementinetray/server/routing"
)

// The queueing model simulates a fleet in virtual time to measure the effect of routing decisions. Its backend servers
// have a batch of limited size, a queue and a cache of prompt prefixes; one of them is slow and one is cold at first. Load
// reports are 1 to 3 s old.

const (
	simCapacity               = 8
	simPromptTokens           = 800.0  // length of each prompt in tokens
	simPrefillTokensPerSecond = 4000.0 // prompt tokens per second in an empty batch
	simSecondsPerToken        = 0.02   // seconds for each output token in an empty batch
	simPrefixCount            = 60
	simCachedPrefixes         = 12

	zoneOutAt, zoneBackAt = 150.0, 210.0 // seconds of virtual time
)

// simClass is a class of requests: quality target, priority, share of all requests and true quality by model.
type simClass struct {
	name     string
	target   float64
	priority int
	share    float64
	quality  map[string]float64
}

var simClasses = []simClass{
	{"tagging", 0.75, 0, 0.5, map[string]float64{"small": 0.85, "medium": 0.92, "large": 0.96}},
	{"dossier", 0.85, 1, 0.35, map[string]float64{"small": 0.60, "medium": 0.91, "large": 0.95}},
	{"assess", 0.90, 2, 0.15, map[string]float64{"small": 0.40, "medium": 0.75, "large": 0.95}},
}

// simServer is a simulated backend server. row is its current state and reported the state last published.
type simServer struct {
	row            control.BackendServer
	reported       control.BackendServer
	slowness       float64
	running        int
	queue          []*simJob
	cache          []uint64
	finished       int
	limitChangedAt float64
}

type simJob struct {
	createdAt float64
	class     *simClass
	model     string
	prefix    uint64
	tokens    float64
	entry     *simEntry
	server    *simServer
	arrived   float64
	hasSlot   bool
	explored  bool
}

type simEntry struct {
	zone      string
	snapshot  routing.Snapshot
	sent      map[string]int
	next      map[string]int
	estimator *ratings.Estimator
}

type simEvent struct {
	at  float64
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simResult holds the results of one run. Its times are in seconds.
type simResult struct {
	firstToken   []float64
	cost         float64
	quality      map[string][2]float64
	refused      map[string]int
	offered      map[string]int
	onSlowServer float64
	warmAt       float64
	// sentToZoneOut counts requests that were sent to the zone more than 2 s after it was taken out of service.
	sentToZoneOut int
	done          int
}

func (r *simResult) percentile(p float64) float64 {
	slices.Sort(r.firstToken)
	return r.firstToken[min(int(p*float64(len(r.firstToken))), len(r.firstToken)-1)]
}

// targetsMet returns the number of classes whose mean quality is at least the target, and the mean quality of all requests.
func (r *simResult) targetsMet() (met int, mean float64) {
	sum, n := 0.0, 0.0
	for _, k := range simClasses {
		q := r.quality[k.name]
		if q[1] > 0 && q[0]/q[1] >= k.target {
			met++
		}
		sum, n = sum+q[0], n+q[1]
	}
	return met, sum / n
}

// simSite holds the parameters of a run.
type simSite struct {
	zones, entries int
	pools          map[string]int
	load           float64
	seed           uint64
	policy         string
	// priorRatings is the number of earlier ratings of each class and model at each entry instance.
	priorRatings int
	// zoneOut takes availability zone 0 out of service from zoneOutAt to zoneBackAt.
	zoneOut bool
}

type sim struct {
	simSite
	rng     *rand.Rand
	now     float64
	events  simQueue
	view    *control.View
	servers []*simServer
	entries []*simEntry
	result  simResult
}

var simPrices = map[string]int64{"small": 1, "medium": 5, "large": 20}

func newSim(site simSite) *sim {
	s := &sim{simSite: site, rng: rand.New(rand.NewPCG(site.seed, 1))}
	s.result = simResult{quality: map[string][2]float64{}, refused: map[string]int{}, offered: map[string]int{}}
	c := &catalogue.Catalogue{Workspaces: []catalogue.Workspace{{Name: "desk"}}}
	for _, name := range []string{"small", "medium", "large"} {
		c.Models = append(c.Models, catalogue.Model{Name: name, Versions: []catalogue.Version{{Name: "v1", CostPerMillionTokens: simPrices[name]}}})
		c.Workspaces[0].Models = append(c.Workspaces[0].Models, name)
		for i := range site.pools[name] {
			b := control.BackendServer{Phase: control.PhaseInService, Announcement: control.Announcement{ID: fmt.Sprint(name, "-", i), AvailabilityZone: fmt.Sprint("zone-", len(s.servers)%site.zones), Capacity: simCapacity, Versions: []catalogue.VersionRef{ref(name, "v1")}}}
			s.servers = append(s.servers, &simServer{row: b, reported: b, slowness: 1})
		}
	}
	for _, k := range simClasses {
		c.Classes = append(c.Classes, catalogue.Class{Name: k.name, QualityTarget: k.target, Priority: k.priority, Models: []string{"small", "medium", "large"}})
		c.Workspaces[0].Classes = append(c.Workspaces[0].Classes, k.name)
	}
	s.view = &control.View{Catalogue: c}
	s.servers[1].slowness = 3
	s.servers[2].row.Phase, s.servers[2].row.Limit = control.PhaseCold, 1
	s.servers[2].reported = s.servers[2].row
	for i := range site.entries {
		e := &simEntry{zone: fmt.Sprint("zone-", i%site.zones), sent: map[string]int{}, next: map[string]int{}, estimator: ratings.NewEstimator()}
		e.estimator.SetCatalogue(c)
		s.addPriorRatings(e)
		s.entries = append(s.entries, e)
		s.schedule(s.rng.Float64()*0.5, func() { s.sync(e) })
	}
	for _, b := range s.servers {
		s.schedule(s.rng.Float64()*2, func() { s.report(b) })
	}
	s.schedule(1, s.arrive)
	if site.zoneOut {
		s.schedule(zoneOutAt, func() { s.setZonesOut(map[string]control.Order{"zone-0": {}}) })
		s.schedule(zoneBackAt, func() { s.setZonesOut(nil) })
	}
	return s
}

// addPriorRatings adds the ratings of earlier requests to the estimator of an entry instance.
func (s *sim) addPriorRatings(e *simEntry) {
	for range s.priorRatings {
		for _, k := range simClasses {
			for model, q := range k.quality {
				e.estimator.Observe(k.name, ref(model, "v1"), q)
			}
		}
	}
}

func (s *sim) schedule(delay float64, do func()) { heap.Push(&s.events, simEvent{s.now + delay, do}) }

func (s *sim) virtualTime() time.Time { return now.Add(time.Duration(s.now * float64(time.Second))) }

// setZonesOut takes the given availability zones out of service. If out is nil, it puts zone-0 back into service with cold
// backend servers.
func (s *sim) setZonesOut(out map[string]control.Order) {
	s.view = &control.View{Catalogue: s.view.Catalogue, Orders: &control.Orders{ZonesOut: out}}
	for _, b := range s.servers {
		if out == nil && b.row.AvailabilityZone == "zone-0" {
			b.row.Phase, b.row.Limit, b.finished, b.limitChangedAt, b.cache = control.PhaseCold, 1, 0, s.now, nil
			b.reported.Phase, b.reported.Limit = b.row.Phase, b.row.Limit
		}
	}
}

// report publishes the load of a backend server every 2 s; a report takes about 1 s to reach the entry instances.
func (s *sim) report(b *simServer) {
	row := b.row
	row.Running, row.Queued, row.ReportedAt = b.running, len(b.queue), s.virtualTime()
	row.PrefixHashes = slices.Clone(b.cache)
	s.schedule(0.9, func() { b.reported = row })
	s.schedule(2, func() { s.report(b) })
}

func (s *sim) sync(e *simEntry) {
	f := &blackboard.Fleet{ByVersion: map[catalogue.VersionRef][]*control.BackendServer{}, ReceivedAt: s.virtualTime()}
	for _, b := range s.servers {
		row := b.reported
		row.LoadAge = s.virtualTime().Sub(row.ReportedAt)
		f.ByVersion[row.Versions[0]] = append(f.ByVersion[row.Versions[0]], &row)
	}
	learned := e.estimator.Snapshot()
	e.snapshot = routing.Snapshot{View: s.view, Fleet: f, Ratings: &learned, AvailabilityZone: e.zone, LoadCorrection: func(id string) int { return e.sent[id] }}
	s.schedule(0.5, func() { s.sync(e) })
}

// arrivalRate returns the number of requests per second at which the servers of the busiest model have a utilization of
// load, if each class runs on the cheapest model that meets its target.
func (s *sim) arrivalRate() float64 {
	most := 0.0
	for i, model := range []string{"small", "medium", "large"} {
		seconds := simPromptTokens/simPrefillTokensPerSecond + 150*simSecondsPerToken*1.5
		most = max(most, simClasses[i].share*seconds/float64(s.pools[model]*simCapacity))
	}
	return s.load / most
}

func (s *sim) arrive() {
	s.schedule(s.rng.ExpFloat64()/s.arrivalRate(), s.arrive)
	x := s.rng.Float64()
	k := &simClasses[0]
	for i := range simClasses {
		if k = &simClasses[i]; x < k.share {
			break
		}
		x -= k.share
	}
	// The square makes a few prefixes much more frequent than the others.
	prefix := uint64(float64(simPrefixCount) * math.Pow(s.rng.Float64(), 2))
	j := &simJob{createdAt: s.now, class: k, prefix: prefix, tokens: 50 + s.rng.ExpFloat64()*100, entry: s.entries[s.rng.IntN(len(s.entries))]}
	s.result.offered[k.name]++
	s.dispatch(j, map[string]bool{})
}

func (s *sim) dispatch(j *simJob, exclude map[string]bool) {
	e := j.entry
	e.snapshot.Now = s.virtualTime()
	r := &routing.Request{ID: fmt.Sprint(s.seed, "-", j.createdAt), Workspace: &s.view.Catalogue.Workspaces[0], Class: j.class.name, PrefixHashes: []uint64{j.prefix}, Exclude: exclude}
	v, p := routing.ChooseVersion(&e.snapshot, r)
	if p != nil {
		s.result.refused[j.class.name]++
		return
	}
	switch s.policy {
	case "always the best model":
		v.VersionRef = ref("large", "v1")
	case "always the cheapest":
		v.VersionRef = ref("small", "v1")
	}
	j.model, j.explored = v.Model, v.Explore
	pool := s.serversInService(e.snapshot.Fleet.ByVersion[v.VersionRef], e.snapshot.View)
	var id string
	switch s.policy {
	case "round robin":
		id = pool[e.next[v.Model]%len(pool)].ID
		e.next[v.Model]++
	case "least outstanding":
		least := slices.MinFunc(pool, func(a, b *control.BackendServer) int { return e.sent[a.ID] - e.sent[b.ID] })
		id = least.ID
	default:
		c, p := routing.ChooseServer(&e.snapshot, r, v.VersionRef, s.rng)
		if p != nil {
			s.result.refused[j.class.name]++
			return
		}
		id, j.hasSlot = c.Server.ID, c.NeedsSlot
	}
	b := s.servers[slices.IndexFunc(s.servers, func(b *simServer) bool { return b.row.ID == id })]
	if s.zoneOut && s.now > zoneOutAt+2 && s.now < zoneBackAt && b.row.AvailabilityZone == "zone-0" {
		s.result.sentToZoneOut++
	}
	delay := 0.0002
	if b.row.AvailabilityZone != e.zone {
		delay = 0.001
	}
	if j.hasSlot {
		delay += 0.002
		if b.row.Phase != control.PhaseInService && b.running >= b.row.Limit {
			exclude[id] = true
			s.schedule(delay, func() { s.dispatch(j, exclude) })
			return
		}
	}
	e.sent[id]++
	j.server = b
	s.schedule(delay, func() { j.arrived = s.now; b.queue = append(b.queue, j); s.startQueued(b) })
}

// serversInService returns the servers whose zone is in service, for the baseline policies.
func (s *sim) serversInService(pool []*control.BackendServer, view *control.View) []*control.BackendServer {
	if view.Orders == nil || len(view.Orders.ZonesOut) == 0 {
		return pool
	}
	return slices.DeleteFunc(slices.Clone(pool), func(b *control.BackendServer) bool {
		_, out := view.Orders.ZonesOut[b.AvailabilityZone]
		return out
	})
}

// startQueued starts queued requests while the batch has room. A cold server with more requests than its limit is slower.
func (s *sim) startQueued(b *simServer) {
	for b.running < simCapacity && len(b.queue) > 0 {
		j := b.queue[0]
		b.queue = b.queue[1:]
		b.running++
		prefill, decode := simPromptTokens/simPrefillTokensPerSecond, simSecondsPerToken
		if i := slices.Index(b.cache, j.prefix); i >= 0 {
			prefill *= 0.2
			b.cache = slices.Delete(b.cache, i, i+1)
		}
		b.cache = append([]uint64{j.prefix}, b.cache[:min(len(b.cache), simCachedPrefixes-1)]...)
		slow := b.slowness
		if b.row.Phase != control.PhaseInService && b.running > b.row.Limit {
			slow *= float64(b.running) / float64(b.row.Limit)
		}
		batch := 1 + float64(b.running)/simCapacity
		first := s.now + prefill*slow*batch
		s.result.addFirstToken(j, first-j.createdAt)
		s.schedule(prefill*slow*batch+j.tokens*decode*slow*batch/1.5, func() { s.finish(b, j) })
	}
}

func (s *sim) finish(b *simServer, j *simJob) {
	b.running--
	b.finished++
	j.entry.sent[b.row.ID]--
	if b.row.Phase != control.PhaseInService && b.finished >= 8 && s.now-b.limitChangedAt >= 5 {
		b.finished, b.limitChangedAt = 0, s.now
		b.row.Phase, b.row.Limit = control.PhaseRamping, b.row.Limit*2
		if b.row.Limit >= simCapacity {
			b.row.Phase, s.result.warmAt = control.PhaseInService, s.now
		}
	}
	q := min(max(j.class.quality[j.model]+s.rng.NormFloat64()*0.1, 0), 1)
	if j.explored || s.rng.Float64() < 0.1 {
		j.entry.estimator.Observe(j.class.name, ref(j.model, "v1"), q)
	}
	if j.createdAt > 60 {
		s.result.cost += j.tokens * float64(simPrices[j.model])
		sum := s.result.quality[j.class.name]
		s.result.quality[j.class.name] = [2]float64{sum[0] + q, sum[1] + 1}
		s.result.done++
	}
	s.startQueued(b)
}

func (r *simResult) addFirstToken(j *simJob, firstToken float64) {
	if j.createdAt <= 60 {
		return
	}
	r.firstToken = append(r.firstToken, firstToken)
	if j.server.slowness > 1 {
		r.onSlowServer++
	}
}

// run simulates d virtual seconds; requests of the first 60 s are not counted in the results.
func (s *sim) run(d float64) *simResult {
	for s.events.Len() > 0 && s.now < d {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return &s.result
}
