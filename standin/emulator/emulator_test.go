package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"clementinetray/server/balance"
)

const (
	engines = 14
	entries = 9
	// largeFleet is both the number of engines and the number of entry instances of a large fleet.
	largeFleet = 80
)

// load describes arrivals. Prompt sizes have a wide lognormal distribution, as in the users' data sheets.
type load struct {
	desc              string
	requestsPerSecond float64
	duration          time.Duration
	// burst multiplies the arrival rate in the middle third of duration. 0 means no burst.
	burst float64
	// median and spread (sigma) are those of the lognormal distribution of prompt tokens, largest is their upper bound.
	median, spread float64
	largest        int
	// hotShare is the share, 0 to 1, of requests that begin with the same prompt part, which has hotTokens.
	hotShare  float64
	hotTokens int
	faults    []Fault
	// large selects the large fleet, in which each instance sends to a small part of the engines.
	large bool
}

// fleet returns the numbers of engines and entry instances.
func (l *load) fleet() (int, int) {
	if l.large {
		return largeFleet, largeFleet
	}
	return engines, entries
}

func (l *load) requests(rng *rand.Rand) []Request {
	_, entries := l.fleet()
	var out []Request
	for at := time.Duration(0); at < l.duration; {
		rate := l.requestsPerSecond
		if l.burst > 0 && at > l.duration/3 && at < 2*l.duration/3 {
			rate *= l.burst
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		r := Request{
			At: at, Entry: rng.IntN(entries), Target: 1500 * time.Millisecond, TargetGap: time.Second, Worth: 1,
			PromptTokens: min(int(l.median*math.Exp(l.spread*rng.NormFloat64())), l.largest),
			OutputTokens: 50 + rng.IntN(400),
		}
		r.Parts = []balance.PromptPart{{ID: fmt.Sprint("own-", len(out)), Tokens: r.PromptTokens}}
		if rng.Float64() < l.hotShare {
			r.Parts = append([]balance.PromptPart{{ID: "hot", Tokens: l.hotTokens}}, r.Parts...)
			r.PromptTokens += l.hotTokens
		}
		out = append(out, r)
	}
	return out
}

func slowDownHalf(at, duration time.Duration, factor float64) []Fault {
	var out []Fault
	for i := range engines / 2 {
		out = append(out, Fault{Engine: i, At: at, Duration: duration, Slowdown: factor})
	}
	return out
}

// Guards against a Balancer ("the product") that is worse than simpler strategies on the same arrivals. It must not answer
// more requests late than they do, and must answer at most half as many late under the loads that its rules address. Each
// load is simulated with several seeds, because a single seed may favour any strategy by chance.
func TestPlacementUnderLoad(t *testing.T) {
	// Fewer seeds are enough for the large fleet: two of its simulations have at least as many requests as eight of any
	// other load.
	const seeds, largeSeeds = 4, 2
	cases := []struct {
		load
		// halfOfLeastOutstanding allows the product at most half the late requests of the least outstanding strategy.
		// halfOfNoHints allows it at most half those of the product without hints between entry instances.
		halfOfLeastOutstanding, halfOfNoHints bool
	}{
		{load{desc: "calm", requestsPerSecond: 30, duration: 20 * time.Second, median: 600, spread: 1, largest: 3000}, false, false},
		{load{desc: "few long prompts among many short ones", requestsPerSecond: 45, duration: 20 * time.Second, median: 900, spread: 1.6, largest: 54_600}, true, true},
		{load{desc: "a burst of all callers", requestsPerSecond: 25, burst: 3, duration: 20 * time.Second, median: 1500, spread: 1.2, largest: 40_000}, true, true},
		{load{desc: "half of the pool is slow", requestsPerSecond: 30, duration: 20 * time.Second, median: 800, spread: 1.2, largest: 20_000,
			faults: slowDownHalf(5*time.Second, 10*time.Second, 4)}, true, false},
		{load{desc: "half of the prompts share a prefix", requestsPerSecond: 30, duration: 20 * time.Second, median: 400, spread: 1, largest: 4000, hotShare: 0.5, hotTokens: 12_000}, false, false},
		{load{desc: "a large fleet", requestsPerSecond: 260, duration: 20 * time.Second, median: 900, spread: 1.6, largest: 54_600, large: true}, true, true},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			engines, entries := c.fleet()
			names := []string{"random", "least outstanding", "product without hints", "product"}
			var inTime [4]float64
			var firstEventP99 [4]time.Duration
			var promptTokensRead [4]int
			total, seedCount := 0, seeds
			if c.large {
				seedCount = largeSeeds
			}
			for seed := range uint64(seedCount) {
				requests := c.requests(rand.New(rand.NewPCG(seed, 1)))
				total += len(requests)
				for i, p := range []Placement{
					&Random{Engines: engines, RNG: rand.New(rand.NewPCG(seed, 2))},
					&LeastOutstanding{Engines: engines, RNG: rand.New(rand.NewPCG(seed, 2))},
					NewBalancer(DefaultEngine, engines, entries, false), NewBalancer(DefaultEngine, engines, entries, true),
				} {
					got := Simulate(DefaultEngine, engines, requests, c.faults, p)
					if sum := got.InTime + got.Late + got.Failed; sum != len(requests) {
						t.Fatalf("%s: %d of %d requests ended", names[i], sum, len(requests))
					}
					inTime[i] += float64(got.InTime)
					firstEventP99[i] = max(firstEventP99[i], got.FirstEventPercentile(99))
					promptTokensRead[i] += got.PromptTokensRead
				}
			}
			for i, name := range names {
				inTime[i] *= 100 / float64(total)
				t.Logf("%-22s in time %5.1f%%  p99 of the first event, worst seed %5.2f s  tokens read %d", name, inTime[i], firstEventP99[i].Seconds(), promptTokensRead[i])
			}
			late := func(i int) float64 { return 100 - inTime[i] }
			allowed := func(i int, half bool) float64 {
				if half {
					return late(i) / 2
				}
				return late(i)
			}
			if late(3) > allowed(1, c.halfOfLeastOutstanding) || late(3) > late(0) {
				t.Errorf("late: the product %.1f%%, least outstanding %.1f%%, random %.1f%%", late(3), late(1), late(0))
			}
			if late(3) > allowed(2, c.halfOfNoHints) {
				t.Errorf("late: with hints %.1f%%, without %.1f%%", late(3), late(2))
			}
			if c.large && late(2) > late(1)*2/3 {
				t.Errorf("late in a large fleet, where most hints are withheld: without hints %.1f%%, least outstanding %.1f%%", late(2), late(1))
			}
			if c.hotShare > 0 && promptTokensRead[3] >= promptTokensRead[1] {
				t.Errorf("prompt tokens read with a shared prefix: the product %d, least outstanding %d", promptTokensRead[3], promptTokensRead[1])
			}
		})
	}
}

// Checks the behaviour of the simulated engine that placements depend on: prefill delay, slots, prefix cache and failure.
func TestEngine(t *testing.T) {
	runOnOneEngine := func(cfg EngineConfig, requests ...Request) ([]time.Duration, Result) {
		p := &firstEnginePlacement{}
		got := Simulate(cfg, 1, requests, nil, p)
		return p.firstEvents, got
	}
	short := Request{PromptTokens: 100, OutputTokens: 100, Target: time.Minute, TargetGap: time.Minute, Worth: 1}
	long := Request{PromptTokens: 50_000, OutputTokens: 10, Target: time.Minute, TargetGap: time.Minute, Worth: 1}
	alone, _ := runOnOneEngine(DefaultEngine, short)
	behind, _ := runOnOneEngine(DefaultEngine, long, short)
	if alone[0] > 50*time.Millisecond || behind[1] < 20*alone[0] {
		t.Errorf("first event of a short prompt after %s alone, after %s behind a long one", alone[0], behind[1])
	}
	oneSlot := DefaultEngine
	oneSlot.Slots = 1
	if waited, _ := runOnOneEngine(oneSlot, short, short); waited[1] < 50*DefaultEngine.StepTime {
		t.Errorf("first event of a request without a free slot after %s", waited[1])
	}
	again := short
	again.At, again.PromptTokens = time.Second, 20_000
	again.Parts = []balance.PromptPart{{ID: "p", Tokens: 20_000}}
	before := again
	before.At = 0
	if _, got := runOnOneEngine(DefaultEngine, before, again); got.PromptTokensRead > 20_001 {
		t.Errorf("a cached prompt was read again: %d tokens", got.PromptTokensRead)
	}
	smallMemory := DefaultEngine
	smallMemory.MemoryTokens = 30_000
	other := before
	other.At, other.Parts = 500*time.Millisecond, []balance.PromptPart{{ID: "q", Tokens: 20_000}}
	if _, got := runOnOneEngine(smallMemory, before, other, again); got.PromptTokensRead < 59_000 {
		t.Errorf("prompts beyond the size of the memory stayed cached: %d tokens read", got.PromptTokensRead)
	}
	failed := Simulate(DefaultEngine, 1, []Request{short}, []Fault{{At: time.Millisecond, Duration: time.Second, Failing: true}}, &firstEnginePlacement{})
	if failed.Failed != 1 {
		t.Errorf("a failing engine answered: %+v", failed)
	}
}

// firstEnginePlacement sends all requests to the first engine and records the times to their first events, sorted.
type firstEnginePlacement struct{ firstEvents []time.Duration }

func (*firstEnginePlacement) Choose(time.Duration, *Request) int { return 0 }
func (p *firstEnginePlacement) OnFirstEvent(now time.Duration, r *Request, _, _, _ int) {
	p.firstEvents = append(p.firstEvents, now-r.At)
	slices.Sort(p.firstEvents)
}
func (*firstEnginePlacement) OnNextEvent(time.Duration, *Request, int, time.Duration) {}
func (*firstEnginePlacement) OnEnd(time.Duration, *Request, int)                      {}
