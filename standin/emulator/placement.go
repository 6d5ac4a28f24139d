package emulator

import (
	"math/rand/v2"
	"strconv"
	"time"

	"clementinetray/server/balance"
)

// EngineID names an engine.
func EngineID(i int) string { return "engine-" + strconv.Itoa(i) }

// Random places each request by lot.
type Random struct {
	Engines int
	RNG     *rand.Rand
}

// Choose implements Placement.
func (p *Random) Choose(time.Duration, *Request) int { return p.RNG.IntN(p.Engines) }

// Begun implements Placement.
func (*Random) Begun(time.Duration, *Request, int, int, int) {}

// Paced implements Placement.
func (*Random) Paced(time.Duration, *Request, int, time.Duration) {}

// Ended implements Placement.
func (*Random) Ended(time.Duration, *Request, int) {}

// LeastOutstanding places each request at the engine with the fewest requests of the same entry instance.
type LeastOutstanding struct {
	Engines int
	RNG     *rand.Rand
	running map[[2]int]int
}

// Choose implements Placement.
func (p *LeastOutstanding) Choose(_ time.Duration, r *Request) int {
	if p.running == nil {
		p.running = map[[2]int]int{}
	}
	best, offset := 0, p.RNG.IntN(p.Engines)
	for i := range p.Engines {
		at := (i + offset) % p.Engines
		if i == 0 || p.running[[2]int{r.Entry, at}] < p.running[[2]int{r.Entry, best}] {
			best = at
		}
	}
	p.running[[2]int{r.Entry, best}]++
	return best
}

// Begun implements Placement.
func (*LeastOutstanding) Begun(time.Duration, *Request, int, int, int) {}

// Paced implements Placement.
func (*LeastOutstanding) Paced(time.Duration, *Request, int, time.Duration) {}

// Ended implements Placement.
func (p *LeastOutstanding) Ended(_ time.Duration, r *Request, engine int) {
	p.running[[2]int{r.Entry, engine}]--
}

// Balance places requests as the product does: each entry instance has a tracker of its own.
type Balance struct {
	rows     []balance.Row
	slots    int
	trackers []*balance.Tracker
	sent     map[*Request][2]func()
	// began is the virtual time of dispatch.
	began map[*Request]time.Duration
	now   time.Duration
	hints bool
}

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// NewBalance returns the placement for n engines. With hints, entry instances tell each other of long prompts without delay.
func NewBalance(cfg EngineConfig, n, entries int, hints bool) *Balance {
	p := &Balance{slots: cfg.Slots, sent: map[*Request][2]func(){}, began: map[*Request]time.Duration{}, hints: hints}
	for i := range n {
		p.rows = append(p.rows, balance.Row{ID: EngineID(i), Zone: "a", Slots: cfg.Slots})
	}
	sequence := uint64(0)
	for i := range entries {
		t := balance.NewTracker()
		p.trackers = append(p.trackers, t)
		if !hints {
			continue
		}
		t.SetNotify(func(server uint64, tokens float64, _ bool) bool {
			sequence++
			told := sequence
			for j, other := range p.trackers {
				if j != i {
					other.RecordRemoteTokens(epoch.Add(p.now), uint64(i), told, server, tokens)
				}
			}
			return true
		})
	}
	return p
}

func size(r *Request) *balance.Request {
	return &balance.Request{PromptTokens: r.PromptTokens, Parts: r.Parts, Zone: "a", TimeRatio: 1}
}

// Choose implements Placement.
func (p *Balance) Choose(now time.Duration, r *Request) int {
	p.now = now
	t, wanted := p.trackers[r.Entry], size(r)
	candidates := t.Candidates(epoch.Add(now), p.rows, wanted)
	best := balance.Choose(candidates, wanted, strconv.FormatInt(int64(now), 36)+"/"+strconv.Itoa(r.Entry))
	begun, done := t.RecordSent(epoch.Add(now), candidates[best].ID, wanted, 0)
	p.sent[r], p.began[r] = [2]func(){begun, done}, now
	return best
}

// Begun implements Placement.
func (p *Balance) Begun(now time.Duration, r *Request, engine, running, waiting int) {
	p.now = now
	p.sent[r][0]()
	t, id := p.trackers[r.Entry], EngineID(engine)
	t.RecordLatency(epoch.Add(now), id, now-p.began[r])
	t.RecordLoad(id, balance.LoadReport{Running: running, Waiting: waiting, Slots: p.slots, At: epoch.Add(now)})
}

// Paced implements Placement.
func (p *Balance) Paced(now time.Duration, r *Request, engine int, gap time.Duration) {
	p.trackers[r.Entry].RecordEventInterval(epoch.Add(now), EngineID(engine), gap)
}

// Ended implements Placement.
func (p *Balance) Ended(now time.Duration, r *Request, _ int) {
	p.now = now
	p.sent[r][1]()
	delete(p.sent, r)
	delete(p.began, r)
}
