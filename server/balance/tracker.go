package balance

import (
	"hash/maphash"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"clementinetray/server/serverrate"
)

const (
	// reportHalfWeightAge is the age at which a load report counts half. Each instance gets an answer with a report
	// about once a second; heartbeats carry no load.
	reportHalfWeightAge = 1500 * time.Millisecond
	// maxReportAge is the age up to which a load report or stream event makes a server's load known. At this age, a
	// report has a third of its full weight (see ageWeight).
	maxReportAge = 2 * reportHalfWeightAge
	// partCacheLifetime is how long an engine is assumed to cache a prompt part after it was last sent there.
	partCacheLifetime = 10 * time.Second
	// maxPartsPerServer is the maximum number of cached prompt parts recorded for each backend server.
	maxPartsPerServer = 512
	// maxServers is the maximum number of backend servers tracked, the same as in the fleet table.
	maxServers = 12_000
	// minAvoidance is how long a backend server is avoided after a failure. Each further consecutive failure doubles
	// it, up to maxAvoidance.
	minAvoidance = 500 * time.Millisecond
	maxAvoidance = 4 * time.Second
	// requestWeight is the weight of a new request in the running means of latency and of unread tokens.
	requestWeight = 0.2
	// minLatencySamples is the number of answers required for Latency and Slowness.
	minLatencySamples = 5
)

// Row holds the fields of a backend server's entry in the fleet table that affect the selection.
type Row struct {
	ID, Zone string
	// Boot identifies the start of the server; what is recorded of another start no longer holds. It may be empty.
	Boot  string
	Slots int
	// Silent reports whether the server's announcements are overdue.
	Silent bool
	// ColdRemaining is the remaining time for which the server is cold, 0 if it is warm or its service has no limit for
	// cold servers.
	ColdRemaining time.Duration
	// ColdRate is the number of requests per second that this instance may send while the server is cold; 0: none.
	ColdRate float64
	// Brittle is what the server says of being brittle.
	Brittle Brittle
}

// Tracker holds the state of backend servers as seen by this entry instance. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex // guards the fields below
	servers map[string]*serverState
	byHash  map[uint64]*serverState
	// notify, if set, sends this instance's unread tokens at a backend server to the other instances.
	notify NotifyFunc
	// meanTokens is the running mean of uncached prompt tokens per request, in tokens of the slowest model.
	meanTokens float64
	options    Options
	// pools holds the state of each pool, by Request.Pool.
	pools map[string]*poolState
	// random draws which instances use the room of a brittle server.
	random *rand.Rand
}

// Options are the options of a tracker.
type Options struct {
	// LearnedRates enables expected times for all pools. Without it, they are enabled for the pools whose servers report their
	// WorkPercent.
	LearnedRates bool
	// UsualPlacement keeps the selection by load in pools with learned rates, so that these give expected times only. Where an
	// instance sees a small part of a pool's responses, its expected times of single servers are worse than its loads.
	UsualPlacement bool
	// Seed is the seed of the tracker's random draws; 0: a random one.
	Seed uint64
}

type serverState struct {
	// boot identifies the start that the state describes; empty if it is not known.
	boot string
	// running is the number of this instance's requests that have not ended.
	running int
	// queuedTokens is the number of uncached tokens of this instance's requests without a first byte, in tokens of the
	// slowest model.
	queuedTokens float64
	// notifiedTokens is the value of queuedTokens last sent to the other instances.
	notifiedTokens float64
	// remoteBySender holds the unread tokens reported by other entry instances.
	remoteBySender map[uint64]remoteReport
	lastReport     LoadReport
	// ownRunningAtReport and ownWaitingAtReport are the values of running and waiting when lastReport arrived.
	ownRunningAtReport, ownWaitingAtReport int
	// waiting is the number of this instance's requests without a first byte.
	waiting       int
	hash          uint64
	failures      int // since the last answer
	avoidUntil    time.Time
	latencyMillis float64 // running mean
	// eventInterval is the running mean of the time between two stream events, and lastEvent is the time of its last update.
	eventInterval time.Duration
	lastEvent     time.Time
	answerCount   int
	// partSentAt holds the time at which a request with a prompt part was last sent, by the key from partKeys.
	partSentAt  map[string]time.Time
	coldLimiter rateLimiter
	lastUsed    time.Time
	rate        serverrate.Server
	// othersPerSlot is the running mean over the server's reportCount last reports of the requests of other instances that run or
	// wait, for each slot.
	othersPerSlot float64
	reportCount   int
	// occupied is the running mean of the time for which a request has a slot.
	occupied time.Duration
	// brittle is nil if the server does not say that it is brittle.
	brittle *brittleState
	// pool is nil until the server is first a candidate.
	pool *poolState
}

// remoteReport is the number of unread tokens that another entry instance reported.
type remoteReport struct {
	sequence uint64
	tokens   float64
	at       time.Time
}

const (
	// largePromptTokens is the smallest change of the number of unread tokens, in tokens of the slowest model, that is sent
	// to the other entry instances. An engine reads as many tokens in about 0.1 s, during which its other requests wait.
	largePromptTokens = 4_000
	// A report of n unread tokens expires after n times remoteLifetimePerToken, but at least minRemoteLifetime and at most
	// maxRemoteLifetime. Engines read 25 to 50 tokens of the slowest model per millisecond; the lifetime is longer, as other
	// prompts may be read first.
	remoteLifetimePerToken = 100 * time.Microsecond
	minRemoteLifetime      = time.Second
	maxRemoteLifetime      = 5 * time.Second
	// maxRemoteSenders is the maximum number of instances whose reports are kept for each backend server.
	maxRemoteSenders = 64
)

// NewTracker returns an empty tracker with at most one set of options.
func NewTracker(options ...Options) *Tracker {
	t := &Tracker{servers: map[string]*serverState{}, byHash: map[uint64]*serverState{}, pools: map[string]*poolState{}}
	for _, o := range options {
		t.options = o
	}
	seed := t.options.Seed
	if seed == 0 {
		seed = new(maphash.Hash).Sum64()
	}
	t.random = rand.New(rand.NewPCG(seed, 0))
	return t
}

// NotifyFunc sends the number of unread tokens that this instance has at a backend server, identified by its Hash, to
// the other instances. increased reports whether the number grew. NotifyFunc must not block. It returns false if
// nothing was sent.
type NotifyFunc func(server uint64, tokens float64, increased bool) bool

// SetNotify sets the function that sends changes of this instance's unread tokens to the other instances.
func (t *Tracker) SetNotify(notify NotifyFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notify = notify
}

// notifyLocked notifies the other instances if the number of unread tokens changed by at least largePromptTokens. t.mu
// is held.
func (t *Tracker) notifyLocked(s *serverState) {
	if t.notify != nil && math.Abs(s.queuedTokens-s.notifiedTokens) >= largePromptTokens &&
		t.notify(s.hash, s.queuedTokens, s.queuedTokens > s.notifiedTokens) {
		s.notifiedTokens = s.queuedTokens
	}
}

// RecordRemoteTokens records the number of unread tokens that another entry instance has at a backend server. A report
// with a lower sequence than the sender's last one is ignored.
func (t *Tracker) RecordRemoteTokens(now time.Time, sender, sequence, server uint64, tokens float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byHash[server]
	if s == nil || s.remoteBySender[sender].sequence > sequence {
		return
	}
	if s.remoteBySender == nil {
		s.remoteBySender = map[uint64]remoteReport{}
	}
	for id, w := range s.remoteBySender {
		if now.Sub(w.at) > maxRemoteLifetime || len(s.remoteBySender) >= maxRemoteSenders {
			delete(s.remoteBySender, id)
		}
	}
	s.remoteBySender[sender] = remoteReport{sequence: sequence, tokens: tokens, at: now}
}

// remoteTokens returns the sum of the unexpired unread tokens reported by other entry instances.
func (s *serverState) remoteTokens(now time.Time) float64 {
	sum := 0.0
	for _, w := range s.remoteBySender {
		if now.Sub(w.at) <= min(max(time.Duration(w.tokens)*remoteLifetimePerToken, minRemoteLifetime), maxRemoteLifetime) {
			sum += w.tokens
		}
	}
	return sum
}

func (t *Tracker) getOrCreate(id string, now time.Time) *serverState {
	s := t.servers[id]
	if s == nil {
		if len(t.servers) >= maxServers {
			t.evictOldest()
		}
		s = &serverState{partSentAt: map[string]time.Time{}, hash: Hash(id)}
		t.servers[id], t.byHash[s.hash] = s, s
	}
	s.lastUsed = now
	return s
}

// observeBoot forgets what is recorded of the server's last start if boot names another one. Requests that were sent to the last start
// count until they end.
func (s *serverState) observeBoot(boot string) {
	if boot == "" || boot == s.boot {
		return
	}
	if s.boot != "" {
		clear(s.partSentAt)
		s.lastReport, s.ownRunningAtReport, s.ownWaitingAtReport = LoadReport{}, 0, 0
		s.failures, s.avoidUntil = 0, time.Time{}
		s.latencyMillis, s.answerCount = 0, 0
		s.eventInterval, s.lastEvent = 0, time.Time{}
		s.othersPerSlot, s.reportCount = 0, 0
	}
	s.boot = boot
}

func (t *Tracker) evictOldest() {
	oldest := ""
	for _, id := range slices.Sorted(maps.Keys(t.servers)) {
		if s := t.servers[id]; s.running == 0 && (oldest == "" || s.lastUsed.Before(t.servers[oldest].lastUsed)) {
			oldest = id
		}
	}
	delete(t.byHash, Hash(oldest))
	delete(t.servers, oldest)
}

// Candidates returns a candidate for each row, in the same order, with the state known at now.
func (t *Tracker) Candidates(now time.Time, rows []Row, r *Request) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Candidate, 0, len(rows))
	servers := make([]*serverState, len(rows))
	pool := t.poolOf(r.Pool)
	for i := range rows {
		servers[i] = t.getOrCreate(rows[i].ID, now)
		servers[i].observeBoot(rows[i].Boot)
		servers[i].join(pool)
	}
	mean, keys := meanLatency(servers), partKeys(r)
	for i := range rows {
		s := servers[i]
		c := t.candidate(now, s, &rows[i], r, keys)
		if s.answerCount >= minLatencySamples && mean > 0 {
			c.Slowness = max(s.latencyMillis/mean, 1)
		}
		out = append(out, c)
	}
	return out
}

// candidate returns the candidate for a row without Slowness. keys are the cache keys of the prompt's parts.
func (t *Tracker) candidate(now time.Time, s *serverState, row *Row, r *Request, keys []string) Candidate {
	meanTokens := t.meanTokens
	c := Candidate{
		ID: row.ID, Zone: row.Zone, Hash: s.hash, Slowness: 1, CachedTokens: s.cachedTokens(now, r, keys), EventInterval: s.recentEventInterval(now), LoadKnown: s.loadKnown(now),
	}
	if row.ColdRemaining > 0 {
		c.Cold, c.ColdReady, c.ColdRate = true, row.ColdRate > 0 && s.coldLimiter.ready(now), row.ColdRate
	}
	if s.updateBrittle(now, row) != nil && !t.brittleReady(now, s, row) {
		c.Cold, c.ColdReady = true, false
	}
	if now.Before(s.avoidUntil) || row.Silent {
		c.Penalty = 1
	}
	if s.answerCount >= minLatencySamples {
		c.Latency = time.Duration(s.latencyMillis * float64(time.Millisecond))
	}
	if s.pool.learns {
		s.expect(now, r, row.Slots, meanTokens, &c)
	} else {
		c.Load, c.QueuedTokens = s.estimateLoad(now, row.Slots), s.estimateQueue(now, meanTokens)
	}
	return c
}

// loadKnown reports whether the instance has a recent load report or stream event of the server.
func (s *serverState) loadKnown(now time.Time) bool {
	return now.Sub(s.lastReport.At) <= maxReportAge || now.Sub(s.lastEvent) <= maxReportAge
}

// meanLatency returns the mean latency in milliseconds of the servers with enough answers, without the slowest one, or
// 0 if there are fewer than two.
func meanLatency(servers []*serverState) float64 {
	sum, slowest, count := 0.0, 0.0, 0
	for _, s := range servers {
		if s.answerCount >= minLatencySamples {
			sum += s.latencyMillis
			slowest = max(slowest, s.latencyMillis)
			count++
		}
	}
	if count < 2 {
		return 0
	}
	return (sum - slowest) / float64(count-1)
}

// estimateLoad returns the number of requests divided by the number of slots: this instance's own requests, and those of
// other instances in the last report, weighted by the age of the report.
func (s *serverState) estimateLoad(now time.Time, slots int) float64 {
	if s.lastReport.Slots > 0 {
		slots = s.lastReport.Slots
	}
	own := float64(s.running)
	if s.lastReport.At.IsZero() {
		return own / float64(max(slots, 1))
	}
	others := max(float64(s.lastReport.Running+s.lastReport.Waiting-s.ownRunningAtReport), 0)
	return (own + others*ageWeight(now, s.lastReport.At)) / float64(max(slots, 1))
}

// estimateQueue returns the number of unread prompt tokens of all instances. For the other instances it takes the larger of
// the number that they reported and an estimate from the number of waiting requests in the last load report, weighted by
// the age of the report. meanTokens is the mean number of tokens of a request.
func (s *serverState) estimateQueue(now time.Time, meanTokens float64) float64 {
	remote := s.remoteTokens(now)
	if s.lastReport.At.IsZero() {
		return s.queuedTokens + remote
	}
	others := max(float64(s.lastReport.Waiting-s.ownWaitingAtReport), 0)
	return s.queuedTokens + max(others*ageWeight(now, s.lastReport.At)*meanTokens, remote)
}

// cachedTokens returns the number of tokens in the leading parts of the prompt that the server has probably cached.
func (s *serverState) cachedTokens(now time.Time, r *Request, keys []string) int {
	tokens := 0
	for i, p := range r.Parts {
		at, ok := s.partSentAt[keys[i]]
		if !ok || now.Sub(at) > partCacheLifetime {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// partKeys returns the cache keys of the prompt's parts, which include the model, as engines cache parts for each
// model.
func partKeys(r *Request) []string {
	keys := make([]string, len(r.Parts))
	for i, p := range r.Parts {
		keys[i] = r.Model + "/" + p.ID
	}
	return keys
}

func (s *serverState) recordParts(now time.Time, keys []string) {
	if len(s.partSentAt)+len(keys) > maxPartsPerServer {
		for id, at := range s.partSentAt {
			if now.Sub(at) > partCacheLifetime/2 {
				delete(s.partSentAt, id)
			}
		}
		if len(s.partSentAt)+len(keys) > maxPartsPerServer {
			clear(s.partSentAt)
		}
	}
	for _, key := range keys {
		s.partSentAt[key] = now
	}
}

// RecordLoad records the load that the backend server reported in an answer.
func (t *Tracker) RecordLoad(id string, report LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(id, report.At)
	s.lastReport, s.ownRunningAtReport, s.ownWaitingAtReport = report, s.running, s.waiting
	s.recordReport()
	s.reportArrived(report.At)
}

// RecordLatency records the time from dispatch to the first byte of an answer.
func (t *Tracker) RecordLatency(now time.Time, id string, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(id, now)
	s.failures = 0
	ms := float64(latency.Milliseconds())
	if s.answerCount++; s.answerCount == 1 {
		s.latencyMillis = ms
		return
	}
	s.latencyMillis += requestWeight * (ms - s.latencyMillis)
}

// RecordEventInterval records the time between two events of a stream.
func (t *Tracker) RecordEventInterval(now time.Time, id string, interval time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(id, now)
	s.recordEventInterval(now, interval)
}

func (s *serverState) recordEventInterval(now time.Time, interval time.Duration) {
	s.eventInterval += time.Duration(eventWeight * float64(interval-s.eventInterval))
	s.lastEvent = now
}

// eventWeight is the weight of a new event in the running mean of the time between events.
const eventWeight = 0.15

// recentEventInterval returns the event interval, weighted by the age of its last update. Without streams there is no new
// measurement, so that the value of a busy time must not count forever.
func (s *serverState) recentEventInterval(now time.Time) time.Duration {
	if s.lastEvent.IsZero() {
		return 0
	}
	return time.Duration(float64(s.eventInterval) * ageWeight(now, s.lastEvent))
}

// ageWeight returns the weight at now of a value measured at the time at: 1 at age 0, 1/2 at reportHalfWeightAge.
func ageWeight(now, at time.Time) float64 {
	return float64(reportHalfWeightAge) / float64(reportHalfWeightAge+now.Sub(at))
}

// RecordFailure records a failed attempt. The backend server is avoided for minAvoidance, doubled for each preceding
// failure without an answer in between, up to maxAvoidance.
func (t *Tracker) RecordFailure(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(id, now)
	s.avoidUntil = now.Add(min(minAvoidance<<min(s.failures, 8), maxAvoidance))
	s.failures++
}

// ForgetFailures ends the avoidance of all backend servers after failures that were not theirs.
func (t *Tracker) ForgetFailures() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		s.avoidUntil, s.failures = time.Time{}, 0
	}
}
