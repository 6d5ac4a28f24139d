// Package emulator plays load against model engines in virtual time, so that ways to place requests can be compared on the
// same arrivals in milliseconds. It answers what a decision does to callers; it has no network, no retries and no failures of
// the router. Differences to the users' bench: one model an engine, no preemption, one first event as soon as a prompt is read.
package emulator

import (
	"container/heap"
	"slices"
	"time"

	"clementinetray/server/balance"
)

// Request is one generation.
type Request struct {
	At time.Duration
	// Kind groups requests in the result.
	Kind string
	// Entry is the entry instance that the request arrives at.
	Entry                      int
	PromptTokens, OutputTokens int
	Parts                      []balance.PromptPart
	// Target is the wanted time to the first event, Gap the wanted longest pause between two events.
	Target, Gap time.Duration
	Worth       float64
}

// Placement decides which engine runs a request. All methods are called in the order of virtual time.
type Placement interface {
	// Choose returns the index of an engine.
	Choose(now time.Duration, r *Request) int
	// Begun is called with what the engine stated of its load when the first event came, Paced with the pause before each
	// further one, Ended when the last one came.
	Begun(now time.Duration, r *Request, engine, running, waiting int)
	Paced(now time.Duration, r *Request, engine int, gap time.Duration)
	Ended(now time.Duration, r *Request, engine int)
}

// Fault makes an engine slower by a factor, or lets it fail all its requests, for some time.
type Fault struct {
	Engine  int
	At, For time.Duration
	Slow    float64
	Gone    bool
}

// Result is what callers got.
type Result struct {
	InTime, Late, Failed int
	// Worth is the share of the worth of all requests that was answered in time.
	Worth float64
	// TokensRead are the prompt tokens that engines read.
	TokensRead int
	// Outcomes are the requests in the order in which they ended.
	Outcomes []Outcome
}

// Outcome is how one request ended.
type Outcome struct {
	Kind string
	// First is the time to the first event, Pause the longest pause between two events.
	First, Pause time.Duration
	OK, InTime   bool
	Worth        float64
}

// First returns a percentile of the time to the first event.
func (r *Result) First(percent int) time.Duration {
	var firsts []time.Duration
	for _, o := range r.Outcomes {
		if o.OK {
			firsts = append(firsts, o.First)
		}
	}
	if len(firsts) == 0 {
		return 0
	}
	slices.Sort(firsts)
	return firsts[min(len(firsts)*percent/100, len(firsts)-1)]
}

// Site is a pool of engines.
type Site struct {
	now     time.Duration
	pending events
	count   int
	engines []*engine
	result  Result
}

// Play sends the requests to n engines as the placement decides and returns what callers got.
func Play(cfg EngineConfig, n int, requests []Request, faults []Fault, place Placement) Result {
	s := &Site{}
	for i := range n {
		s.engines = append(s.engines, &engine{id: EngineID(i), cfg: cfg, slow: 1, site: s, parts: map[string]keptPart{}})
	}
	for _, f := range faults {
		e := s.engines[f.Engine]
		s.at(f.At, func() { e.slow, e.gone = max(f.Slow, 1), f.Gone })
		s.at(f.At+f.For, func() { e.slow, e.gone = 1, false })
	}
	owed, earned := 0.0, 0.0
	for i := range requests {
		r := &requests[i]
		owed += r.Worth
		s.at(r.At, func() {
			at := place.Choose(s.now, r)
			running := &run{request: r}
			running.began = func(now time.Duration, active, waiting int) { place.Begun(now, r, at, active, waiting) }
			running.paced = func(now, gap time.Duration) { place.Paced(now, r, at, gap) }
			running.ended = func(now time.Duration, ok bool) {
				place.Ended(now, r, at)
				o := Outcome{Kind: r.Kind, First: running.first - r.At, Pause: running.pause, OK: ok, Worth: r.Worth}
				o.InTime = ok && o.First <= r.Target && o.Pause <= r.Gap
				switch {
				case !ok:
					s.result.Failed++
				case o.InTime:
					s.result.InTime++
					earned += r.Worth
				default:
					s.result.Late++
				}
				s.result.Outcomes = append(s.result.Outcomes, o)
			}
			s.engines[at].add(running)
		})
	}
	for len(s.pending) > 0 {
		e := heap.Pop(&s.pending).(event)
		s.now = e.at
		e.do()
	}
	s.result.Worth = earned / owed
	return s.result
}

// at plans what happens at a time; what is planned first for the same time happens first.
func (s *Site) at(when time.Duration, do func()) {
	s.count++
	heap.Push(&s.pending, event{at: when, order: s.count, do: do})
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

// events is a heap by time and order.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
