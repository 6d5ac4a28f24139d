// Package emulator simulates model engines under load in virtual time, so that placement strategies can be compared on the
// same arrivals within milliseconds. It shows how placement affects callers and leaves out the network, retries and failures
// of the router. Unlike in the benchmark that the router's users run, each engine has one model, engines don't preempt
// requests, and the first event is sent as soon as the prompt has been read.
package emulator

import (
	"container/heap"
	"slices"
	"time"

	"clementinetray/server/balance"
)

// Request is one request for generated text.
type Request struct {
	// At is the virtual time of the arrival.
	At time.Duration
	// Kind names the group of the request. Outcomes give it, so that results can be summed up by group.
	Kind string
	// Entry is the entry instance that the request arrives at.
	Entry                      int
	PromptTokens, OutputTokens int
	Parts                      []balance.PromptPart
	// An answer is in time if its first event comes within Target and no later pause between events exceeds TargetGap.
	Target, TargetGap time.Duration
	// Worth is the weight of the request in Result.WorthShare.
	Worth float64
}

// Placement chooses the engine of each request. Its methods are called in the order of virtual time.
type Placement interface {
	// Choose returns the index of an engine.
	Choose(now time.Duration, r *Request) int
	// OnFirstEvent is called at the first event of an answer, with the numbers of running and waiting requests that the
	// engine reports.
	OnFirstEvent(now time.Duration, r *Request, engine, running, waiting int)
	// OnNextEvent is called at each later event, with the pause before it.
	OnNextEvent(now time.Duration, r *Request, engine int, gap time.Duration)
	// OnEnd is called after the last event and after a failure.
	OnEnd(now time.Duration, r *Request, engine int)
}

// Fault slows an engine down by the factor Slowdown, or makes all its requests fail, from At for Duration.
type Fault struct {
	Engine       int
	At, Duration time.Duration
	Slowdown     float64
	Failing      bool
}

// Result sums up a simulation.
type Result struct {
	// InTime, Late and Failed count requests.
	InTime, Late, Failed int
	// WorthShare is the worth of the requests answered in time as a share, 0 to 1, of the worth of all requests.
	WorthShare float64
	// PromptTokensRead counts the prompt tokens that weren't in the prefix caches of the engines.
	PromptTokensRead int
	// Outcomes are in the order in which the requests ended.
	Outcomes []Outcome
}

// Outcome is the result of one request.
type Outcome struct {
	Kind string
	// FirstEvent is the time from the arrival to the first event, LongestPause the longest time between two events.
	FirstEvent, LongestPause time.Duration
	OK, InTime               bool
	Worth                    float64
}

// FirstEventPercentile returns a percentile of the time to the first event of answered requests, 0 if there are none.
func (r *Result) FirstEventPercentile(percent int) time.Duration {
	var times []time.Duration
	for _, o := range r.Outcomes {
		if o.OK {
			times = append(times, o.FirstEvent)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(len(times)*percent/100, len(times)-1)]
}

// Simulation is a pool of engines with a virtual clock.
type Simulation struct {
	now            time.Duration
	pending        actionQueue
	scheduledCount int
	engines        []*engine
	result         Result
}

// Simulate runs the requests on n engines until all have ended.
func Simulate(cfg EngineConfig, n int, requests []Request, faults []Fault, placement Placement) Result {
	s := &Simulation{}
	for i := range n {
		s.engines = append(s.engines, &engine{id: EngineID(i), cfg: cfg, slowdown: 1, sim: s, cachedParts: map[string]cachedPart{}})
	}
	for _, f := range faults {
		e := s.engines[f.Engine]
		s.schedule(f.At, func() { e.slowdown, e.failing = max(f.Slowdown, 1), f.Failing })
		s.schedule(f.At+f.Duration, func() { e.slowdown, e.failing = 1, false })
	}
	totalWorth, inTimeWorth := 0.0, 0.0
	for i := range requests {
		r := &requests[i]
		totalWorth += r.Worth
		s.schedule(r.At, func() {
			chosen := placement.Choose(s.now, r)
			engineReq := &engineRequest{request: r}
			engineReq.onFirstEvent = func(now time.Duration, active, waiting int) { placement.OnFirstEvent(now, r, chosen, active, waiting) }
			engineReq.onNextEvent = func(now, gap time.Duration) { placement.OnNextEvent(now, r, chosen, gap) }
			engineReq.onEnd = func(now time.Duration, ok bool) {
				placement.OnEnd(now, r, chosen)
				o := Outcome{Kind: r.Kind, FirstEvent: engineReq.firstEventAt - r.At, LongestPause: engineReq.longestPause, OK: ok, Worth: r.Worth}
				o.InTime = ok && o.FirstEvent <= r.Target && o.LongestPause <= r.TargetGap
				switch {
				case !ok:
					s.result.Failed++
				case o.InTime:
					s.result.InTime++
					inTimeWorth += r.Worth
				default:
					s.result.Late++
				}
				s.result.Outcomes = append(s.result.Outcomes, o)
			}
			s.engines[chosen].enqueue(engineReq)
		})
	}
	for len(s.pending) > 0 {
		e := heap.Pop(&s.pending).(scheduledAction)
		s.now = e.at
		e.action()
	}
	s.result.WorthShare = inTimeWorth / totalWorth
	return s.result
}

// schedule queues an action for a virtual time. Actions of the same time run in the order of their scheduling.
func (s *Simulation) schedule(when time.Duration, action func()) {
	s.scheduledCount++
	heap.Push(&s.pending, scheduledAction{at: when, order: s.scheduledCount, action: action})
}

type scheduledAction struct {
	at     time.Duration
	order  int
	action func()
}

// actionQueue is a heap ordered by time, then by the order of scheduling.
type actionQueue []scheduledAction

func (e actionQueue) Len() int { return len(e) }
func (e actionQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e actionQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *actionQueue) Push(x any)   { *e = append(*e, x.(scheduledAction)) }
func (e *actionQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
