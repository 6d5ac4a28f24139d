package balance

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// observationLife is the age at which a stated load counts half; heartbeats carry no load and answers come about once a
	// second to each instance.
	observationLife = 1500 * time.Millisecond
	// knownFor is the age up to which a stated load or an event tells how busy a backend server is: it counts a third then.
	knownFor = 2 * observationLife
	// partLife is how long a part is taken to stay in an engine's memory after it was last read there.
	partLife = 10 * time.Second
	// maxParts bounds the parts that are remembered of one backend server.
	maxParts = 512
	// maxServers bounds the backend servers that are remembered; it is the bound of the fleet table.
	maxServers = 12_000
	// doubtBase is how long a backend server is avoided after one failure; it doubles with each further one in a row, up to
	// maxDoubt.
	doubtBase = 500 * time.Millisecond
	maxDoubt  = 4 * time.Second
	// latencyWeight is the share of one answer in the running mean of the time to the first byte.
	latencyWeight = 0.2
	// minLatencies is the number of answers before slowness is judged.
	minLatencies = 5
)

// Row is what the fleet table says of a backend server.
type Row struct {
	ID, Zone string
	Slots    int
	// Silent says that its announcements fail to come.
	Silent bool
	// ColdFor is how long it stays cold, 0 when it is warm or when its service has no bound for cold ones.
	ColdFor time.Duration
	// ColdRate is the rate of requests a second that this instance may send while it is cold; 0: none.
	ColdRate float64
}

// Tracker keeps what this entry instance learned of backend servers. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex // guards the fields below
	servers map[string]*server
	byHash  map[uint64]*server
	// tell passes on how much unread work this instance has at a backend server; nil: nobody is told.
	tell Tell
	// meanWork is the running mean of the work of a request, in tokens of the slowest model.
	meanWork float64
}

type server struct {
	running int
	// queued is the work of requests that were sent here and have no first byte yet, in tokens of the slowest model.
	queued float64
	// told is what others were told of queued.
	told float64
	// remote is what other entry instances told of their work here, by sender.
	remote map[uint64]remoteWork
	seen   Observation
	// ownSeen and ownWaiting are running and waiting at the time of seen.
	ownSeen, ownWaiting int
	// waiting is the number of requests that have no first byte yet.
	waiting  int
	hash     uint64
	failures int
	doubted  time.Time
	latency  float64 // milliseconds, running mean
	// gap is the running mean of the time between two events, and paced when it was last updated.
	gap     time.Duration
	paced   time.Time
	answers int
	parts   map[string]time.Time
	cold    bucket
	used    time.Time
}

// remoteWork is unread work of another entry instance.
type remoteWork struct {
	sequence uint64
	tokens   float64
	at       time.Time
}

const (
	// heavyWork is the change of unread work, in tokens of the slowest model, that other entry instances are told of: an engine
	// reads it in about 0.1 s, during which other requests there wait.
	heavyWork = 4_000
	// remoteLife is how long a hint holds that no later one replaces, for each token of its work and at least and most: engines
	// read 25 to 50 tokens of the slowest model in a millisecond, and others may wait before them.
	remoteLife = 100 * time.Microsecond
	leastLife  = time.Second
	mostLife   = 5 * time.Second
	// maxRemote bounds the senders that are remembered of one backend server.
	maxRemote = 64
)

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{servers: map[string]*server{}, byHash: map[uint64]*server{}}
}

// Tell passes on how much unread work this instance has at a backend server, which is named by its Hash; more says that it
// grew. It must not block. It returns false when nobody was told.
type Tell func(server uint64, tokens float64, more bool) bool

// TellWith makes the tracker pass on changes of the unread work that this instance has at a backend server.
func (t *Tracker) TellWith(tell Tell) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tell = tell
}

// tellLocked tells others when the unread work changed much. t.mu is held.
func (t *Tracker) tellLocked(s *server) {
	if t.tell != nil && math.Abs(s.queued-s.told) >= heavyWork && t.tell(s.hash, s.queued, s.queued > s.told) {
		s.told = s.queued
	}
}

// Hear notes what another entry instance told of its unread work at a backend server. The sequence orders what one sender
// tells.
func (t *Tracker) Hear(now time.Time, sender, sequence, server uint64, tokens float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byHash[server]
	if s == nil || s.remote[sender].sequence > sequence {
		return
	}
	if s.remote == nil {
		s.remote = map[uint64]remoteWork{}
	}
	for id, w := range s.remote {
		if now.Sub(w.at) > mostLife || len(s.remote) >= maxRemote {
			delete(s.remote, id)
		}
	}
	s.remote[sender] = remoteWork{sequence: sequence, tokens: tokens, at: now}
}

// heard returns the unread work of other entry instances that told of it.
func (s *server) heard(now time.Time) float64 {
	sum := 0.0
	for _, w := range s.remote {
		if now.Sub(w.at) <= min(max(time.Duration(w.tokens)*remoteLife, leastLife), mostLife) {
			sum += w.tokens
		}
	}
	return sum
}

func (t *Tracker) get(id string, now time.Time) *server {
	s := t.servers[id]
	if s == nil {
		if len(t.servers) >= maxServers {
			t.dropOldest()
		}
		s = &server{parts: map[string]time.Time{}, hash: Hash(id)}
		t.servers[id], t.byHash[s.hash] = s, s
	}
	s.used = now
	return s
}

func (t *Tracker) dropOldest() {
	oldest := ""
	for _, id := range slices.Sorted(maps.Keys(t.servers)) {
		if s := t.servers[id]; s.running == 0 && (oldest == "" || s.used.Before(t.servers[oldest].used)) {
			oldest = id
		}
	}
	delete(t.byHash, Hash(oldest))
	delete(t.servers, oldest)
}

// Candidates returns the rows with what is known of each.
func (t *Tracker) Candidates(now time.Time, rows []Row, r *Request) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Candidate, 0, len(rows))
	servers := make([]*server, len(rows))
	for i := range rows {
		servers[i] = t.get(rows[i].ID, now)
	}
	mean, keys := meanLatency(servers), partKeys(r)
	for i, row := range rows {
		s := servers[i]
		c := Candidate{
			ID: row.ID, Zone: row.Zone, Hash: s.hash, Load: s.load(now, row.Slots), Queue: s.queue(now, t.meanWork), Slowness: 1,
			CachedTokens: s.cached(now, r, keys), Gap: s.recentGap(now), Known: s.known(now),
		}
		if row.ColdFor > 0 {
			c.Cold, c.ColdReady, c.ColdRate = true, row.ColdRate > 0 && s.cold.ready(now), row.ColdRate
		}
		if now.Before(s.doubted) || row.Silent {
			c.Doubt = 1
		}
		if s.answers >= minLatencies {
			c.Latency = time.Duration(s.latency * float64(time.Millisecond))
			if mean > 0 {
				c.Slowness = max(s.latency/mean, 1)
			}
		}
		out = append(out, c)
	}
	return out
}

// known reports whether the server said lately how busy it is, in an answer or by the events of a stream.
func (s *server) known(now time.Time) bool {
	return now.Sub(s.seen.At) <= knownFor || now.Sub(s.paced) <= knownFor
}

// meanLatency is the mean over the servers that answered often enough, without the slowest one.
func meanLatency(servers []*server) float64 {
	sum, slowest, n := 0.0, 0.0, 0
	for _, s := range servers {
		if s.answers >= minLatencies {
			sum += s.latency
			slowest = max(slowest, s.latency)
			n++
		}
	}
	if n < 2 {
		return 0
	}
	return (sum - slowest) / float64(n-1)
}

// load estimates the share of the slots in use: what the server stated last, fading out, and what was sent since.
func (s *server) load(now time.Time, slots int) float64 {
	if s.seen.Slots > 0 {
		slots = s.seen.Slots
	}
	own := float64(s.running)
	if s.seen.At.IsZero() {
		return own / float64(max(slots, 1))
	}
	others := max(float64(s.seen.Running+s.seen.Waiting-s.ownSeen), 0)
	return (own + others*faded(now, s.seen.At)) / float64(max(slots, 1))
}

// queue estimates the prompt tokens that wait to be read: those of this instance, and those of others as they told or as the
// requests that the backend server stated, fading out, whichever is more.
func (s *server) queue(now time.Time, meanWork float64) float64 {
	heard := s.heard(now)
	if s.seen.At.IsZero() {
		return s.queued + heard
	}
	others := max(float64(s.seen.Waiting-s.ownWaiting), 0)
	return s.queued + max(others*faded(now, s.seen.At)*meanWork, heard)
}

// cached returns the number of tokens at the beginning of the prompt that this server has read lately.
func (s *server) cached(now time.Time, r *Request, keys []string) int {
	tokens := 0
	for i, p := range r.Parts {
		at, ok := s.parts[keys[i]]
		if !ok || now.Sub(at) > partLife {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// Sent notes that a request goes to the backend server. begun is to be called when its first byte came, done when it has
// ended there.
func (t *Tracker) Sent(now time.Time, id string, r *Request, cold float64) (begun, done func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id, now)
	s.running++
	keys := partKeys(r)
	work := r.work(s.cached(now, r, keys))
	s.queued += work
	s.waiting++
	t.meanWork += latencyWeight * (work - t.meanWork)
	if cold > 0 {
		s.cold.take(now, cold)
	}
	s.remember(now, keys)
	t.tellLocked(s)
	var first, last sync.Once
	begun = func() {
		first.Do(func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			s.queued -= work
			s.waiting--
			t.tellLocked(s)
		})
	}
	done = func() {
		begun()
		last.Do(func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			s.running--
		})
	}
	return begun, done
}

// partKeys names the parts of a prompt as an engine caches them, which is for one model.
func partKeys(r *Request) []string {
	keys := make([]string, len(r.Parts))
	for i, p := range r.Parts {
		keys[i] = r.Model + "/" + p.ID
	}
	return keys
}

func (s *server) remember(now time.Time, keys []string) {
	if len(s.parts)+len(keys) > maxParts {
		for id, at := range s.parts {
			if now.Sub(at) > partLife/2 {
				delete(s.parts, id)
			}
		}
		if len(s.parts)+len(keys) > maxParts {
			clear(s.parts)
		}
	}
	for _, key := range keys {
		s.parts[key] = now
	}
}

// Observe notes the load that an answer stated.
func (t *Tracker) Observe(id string, o Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id, o.At)
	s.seen, s.ownSeen, s.ownWaiting = o, s.running, s.waiting
}

// Answered notes the time from dispatch to the first byte of an answer.
func (t *Tracker) Answered(now time.Time, id string, first time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id, now)
	s.failures = 0
	ms := float64(first.Milliseconds())
	if s.answers++; s.answers == 1 {
		s.latency = ms
		return
	}
	s.latency += latencyWeight * (ms - s.latency)
}

// Paced notes the time between two events of a stream.
func (t *Tracker) Paced(now time.Time, id string, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id, now)
	s.gap += time.Duration(gapWeight * float64(gap-s.gap))
	s.paced = now
}

// gapWeight is the share of one event in the running mean of the time between events.
const gapWeight = 0.15

// recentGap fades out, as a server without streams gets faster unseen.
func (s *server) recentGap(now time.Time) time.Duration {
	if s.paced.IsZero() {
		return 0
	}
	return time.Duration(float64(s.gap) * faded(now, s.paced))
}

// faded is the weight of what was learned at a time: 1 at once, a half after observationLife.
func faded(now, at time.Time) float64 {
	return float64(observationLife) / float64(observationLife+now.Sub(at))
}

// Failed notes an attempt that the backend server failed. It is avoided for a while.
func (t *Tracker) Failed(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id, now)
	s.doubted = now.Add(min(doubtBase<<min(s.failures, 8), maxDoubt))
	s.failures++
}
