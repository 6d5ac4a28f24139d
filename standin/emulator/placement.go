package emulator

import (
	"math/rand/v2"
	"strconv"
	"time"

	"clementinetray/server/balance"
)

// EngineID returns the ID of the engine with index i.
func EngineID(i int) string { return "engine-" + strconv.Itoa(i) }

// Random chooses an engine at random.
type Random struct {
	Engines int
	RNG     *rand.Rand
}

// Choose implements Placement.
func (p *Random) Choose(time.Duration, *Request) int { return p.RNG.IntN(p.Engines) }

// OnFirstEvent implements Placement.
func (*Random) OnFirstEvent(time.Duration, *Request, int, int, int) {}

// OnNextEvent implements Placement.
func (*Random) OnNextEvent(time.Duration, *Request, int, time.Duration) {}

// OnEnd implements Placement.
func (*Random) OnEnd(time.Duration, *Request, int) {}

// LeastOutstanding chooses the engine with the fewest outstanding requests from the same entry instance.
type LeastOutstanding struct {
	Engines int
	RNG     *rand.Rand
	// outstanding counts requests by entry instance and engine.
	outstanding map[[2]int]int
}

// Choose implements Placement.
func (p *LeastOutstanding) Choose(_ time.Duration, r *Request) int {
	if p.outstanding == nil {
		p.outstanding = map[[2]int]int{}
	}
	best, offset := 0, p.RNG.IntN(p.Engines)
	for i := range p.Engines {
		index := (i + offset) % p.Engines
		if i == 0 || p.outstanding[[2]int{r.Entry, index}] < p.outstanding[[2]int{r.Entry, best}] {
			best = index
		}
	}
	p.outstanding[[2]int{r.Entry, best}]++
	return best
}

// OnFirstEvent implements Placement.
func (*LeastOutstanding) OnFirstEvent(time.Duration, *Request, int, int, int) {}

// OnNextEvent implements Placement.
func (*LeastOutstanding) OnNextEvent(time.Duration, *Request, int, time.Duration) {}

// OnEnd implements Placement.
func (p *LeastOutstanding) OnEnd(_ time.Duration, r *Request, engine int) {
	p.outstanding[[2]int{r.Entry, engine}]--
}

// Balancer places requests by the rules of package balance. As in the router, each entry instance has its own load tracker.
type Balancer struct {
	engines  []balance.Row
	slots    int
	trackers []*balance.Tracker
	// callbacks holds two functions for each unfinished request: one to call at its first event, one at its end.
	callbacks map[*Request][2]func()
	// sentAt holds the virtual times at which unfinished requests were sent.
	sentAt    map[*Request]time.Duration
	now       time.Duration
	sendHints bool
}

// epoch is the wall-clock time of virtual time 0.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// NewBalancer returns a placement for n engines. With hints, entry instances send each other the sizes of their long prompts,
// without delay.
func NewBalancer(cfg EngineConfig, n, entries int, hints bool) *Balancer {
	p := &Balancer{slots: cfg.Slots, callbacks: map[*Request][2]func(){}, sentAt: map[*Request]time.Duration{}, sendHints: hints}
	for i := range n {
		p.engines = append(p.engines, balance.Row{ID: EngineID(i), Zone: "a", Slots: cfg.Slots})
	}
	sequence := uint64(0)
	for i := range entries {
		tracker := balance.NewTracker()
		p.trackers = append(p.trackers, tracker)
		if !hints {
			continue
		}
		tracker.SetNotify(func(server uint64, tokens float64, _ bool) bool {
			sequence++
			hintSequence := sequence
			for j, other := range p.trackers {
				if j != i {
					other.RecordRemoteTokens(epoch.Add(p.now), uint64(i), hintSequence, server, tokens)
				}
			}
			return true
		})
	}
	return p
}

func toBalanceRequest(r *Request) *balance.Request {
	return &balance.Request{PromptTokens: r.PromptTokens, Parts: r.Parts, Zone: "a", TimeRatio: 1}
}

// Choose implements Placement.
func (p *Balancer) Choose(now time.Duration, r *Request) int {
	p.now = now
	t, request := p.trackers[r.Entry], toBalanceRequest(r)
	candidates := t.Candidates(epoch.Add(now), p.engines, request)
	best := balance.Choose(candidates, request, strconv.FormatInt(int64(now), 36)+"/"+strconv.Itoa(r.Entry))
	begun, done := t.RecordSent(epoch.Add(now), candidates[best].ID, request, 0)
	p.callbacks[r], p.sentAt[r] = [2]func(){begun, done}, now
	return best
}

// OnFirstEvent implements Placement.
func (p *Balancer) OnFirstEvent(now time.Duration, r *Request, engine, running, waiting int) {
	p.now = now
	p.callbacks[r][0]()
	t, id := p.trackers[r.Entry], EngineID(engine)
	t.RecordLatency(epoch.Add(now), id, now-p.sentAt[r])
	t.RecordLoad(id, balance.LoadReport{Running: running, Waiting: waiting, Slots: p.slots, At: epoch.Add(now)})
}

// OnNextEvent implements Placement.
func (p *Balancer) OnNextEvent(now time.Duration, r *Request, engine int, gap time.Duration) {
	p.trackers[r.Entry].RecordEventInterval(epoch.Add(now), EngineID(engine), gap)
}

// OnEnd implements Placement.
func (p *Balancer) OnEnd(now time.Duration, r *Request, _ int) {
	p.now = now
	p.callbacks[r][1]()
	delete(p.callbacks, r)
	delete(p.sentAt, r)
}
