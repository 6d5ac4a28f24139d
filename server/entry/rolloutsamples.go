package entry

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"clementinetray/api/control"
	"clementinetray/server/blackboard"
)

const (
	// maxSampleKeys bounds the samples of one roll-out: one for each route, model and side.
	maxSampleKeys = 512
	// intervalEvents is the number of events after which a stream's mean interval is recorded, so that a slow stream counts
	// before it ends. A shorter stream is recorded at its end if it has minIntervalEvents.
	intervalEvents    = 8
	minIntervalEvents = 3
)

// rolloutSamples holds the totals of the attempts during the running roll-outs of services.
type rolloutSamples struct {
	mu        sync.Mutex // guards byService
	byService map[string]*serviceSamples
}

type serviceSamples struct {
	order  uint64
	totals map[rolloutSampleKey]*control.RolloutSample
}

type rolloutSampleKey struct {
	route, model string
	isNew        bool
}

func newRolloutSamples() *rolloutSamples {
	return &rolloutSamples{byService: map[string]*serviceSamples{}}
}

func (s *rolloutSamples) update(r *control.ServiceRollout, key rolloutSampleKey, change func(*control.RolloutSample)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	samples := s.byService[r.Service]
	if samples == nil || samples.order != r.Order {
		samples = &serviceSamples{order: r.Order, totals: map[rolloutSampleKey]*control.RolloutSample{}}
		s.byService[r.Service] = samples
	}
	total := samples.totals[key]
	if total == nil {
		if len(samples.totals) >= maxSampleKeys {
			return
		}
		total = &control.RolloutSample{Service: r.Service, Order: r.Order, Route: key.route, Model: key.model, New: key.isNew}
		samples.totals[key] = total
	}
	change(total)
}

// list returns the totals of the roll-outs that run according to the view, and drops those of the others.
func (s *rolloutSamples) list(view *blackboard.View) []control.RolloutSample {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []control.RolloutSample
	for service, samples := range s.byService {
		if r := runningRollout(view, service); r == nil || r.Order != samples.order {
			delete(s.byService, service)
			continue
		}
		for _, total := range samples.totals {
			out = append(out, *total)
		}
	}
	return out
}

// runningRollout returns the roll-out of the service that gives its new version a share, nil if there is none.
func runningRollout(view *blackboard.View, service string) *control.ServiceRollout {
	if view.View == nil || view.Rollouts == nil {
		return nil
	}
	r, ok := view.Rollouts.Services[service]
	if !ok || r.State != control.RolloutRunning || r.Percent == 0 {
		return nil
	}
	return &r
}

// RolloutSamples returns the totals of the attempts during the running roll-outs of services.
func (h *Handler) RolloutSamples() []control.RolloutSample {
	now := time.Now()
	h.runningAttempts.forEach(func(a *runningAttempt) {
		if a.exchange.rq.routed != nil {
			a.exchange.checkOverdue(now)
		}
	})
	view := h.cfg.Board.View.Load()
	return h.rolloutSamples.list(&view)
}

// sample applies change to the totals that the attempt belongs to, if a roll-out of its service runs.
func (x *exchange) sample(change func(*control.RolloutSample)) {
	view := x.h.cfg.Board.View.Load()
	if r := runningRollout(&view, x.rq.routed.service); r != nil {
		key := rolloutSampleKey{route: x.rq.routed.route.Name, model: x.model, isNew: x.server.SoftwareVersion == r.To}
		x.h.rolloutSamples.update(r, key, change)
	}
}

// recordPromptness counts the attempt as prompt or overdue when its answer begins.
func (x *exchange) recordPromptness(now time.Time) {
	target := x.targetTime
	if target <= 0 || x.cold || !x.promptness.CompareAndSwap(promptnessUnknown, promptnessCounted) {
		return
	}
	x.sample(func(s *control.RolloutSample) {
		if now.Sub(x.began) <= target {
			s.Prompt++
		} else {
			s.Overdue++
		}
	})
}

// checkOverdue counts the attempt as overdue if its answer has not begun within the route's target time.
func (x *exchange) checkOverdue(now time.Time) {
	if now.Sub(x.began) > x.targetTime {
		x.recordPromptness(now)
	}
}

// promptnessUnknown and promptnessCounted say whether an attempt has been counted as prompt or overdue.
const (
	promptnessUnknown int32 = iota
	promptnessCounted
)

// sampleState is the part of an exchange that rolloutSamples needs.
type sampleState struct {
	// model is the model of the attempt; the request's may change before the next one.
	model string
	// targetTime is the route's target time, 0 if it has none. cold is true if the backend server was cold at dispatch, so
	// that its times say nothing about the version.
	targetTime time.Duration
	cold       bool
	promptness atomic.Int32
}

// sampleTime adds the time to the first event or to the whole answer.
func (x *exchange) sampleTime(s *control.RolloutSample, first time.Duration) {
	if !x.cold && first > 0 {
		addLogTime(&s.First, first)
	}
}

// sampleInterval adds the mean interval between the events of a stream. It is called after each event and at the end of the
// stream, and adds one interval for each stream.
func (x *exchange) sampleInterval(events int, sinceFirst time.Duration, ended bool) {
	if x.cold || !measuresInterval(events, ended) {
		return
	}
	x.sample(func(s *control.RolloutSample) { addLogTime(&s.Interval, sinceFirst/time.Duration(events-1)) })
}

// measuresInterval reports whether the mean interval of a stream is to be recorded now: after intervalEvents events, or at the
// end of a shorter stream.
func measuresInterval(events int, ended bool) bool {
	return events == intervalEvents && !ended || ended && events >= minIntervalEvents && events < intervalEvents
}

func addLogTime(t *control.LogTimes, d time.Duration) {
	log := math.Log(max(float64(d.Microseconds())/1000, minSampledMillis))
	t.Count++
	t.Sum += log
	t.Squares += log * log
}

// minSampledMillis is the shortest time that is told apart, in milliseconds: differences below it are noise.
const minSampledMillis = 1
