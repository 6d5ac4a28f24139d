// Package serverrate learns how fast the backend servers of a pool answer: the time to the first event as a function of the
// unread prompt tokens, the time between events and the time that a request occupies a slot. It does no I/O and reads no
// clock.
//
// It addresses pools whose servers differ in speed, and whose speed changes several times a second by a factor of 2.5. Times
// are learned as they would be at the server's usual speed; an estimate for now multiplies them by the latest report of the
// server's speed, weighted by the age of the report.
package serverrate

import (
	"math"
	"slices"
	"time"
)

const (
	// usualPercent is the work percentage of a server that works at its usual speed.
	usualPercent = 100
	// MaxWorkPercent is the largest work percentage that is accepted. A server that takes 100 times as long as usual answers no
	// request in time, so that larger values are errors.
	MaxWorkPercent = 10_000
	// workPersistence is the mean time for which the speed of a machine stays the same. The weight of a report falls
	// exponentially with it. On the model servers of the image registry, speeds
	// change about every 600 ms.
	workPersistence = 600 * time.Millisecond
	// percentWeight is the weight of a report in the running mean of a server's work percentage. It is small, as an instance
	// reads reports of a server at a time when its speed deviates from the mean more often than not.
	percentWeight = 0.02

	// minSamples is the number of first events of a pool from which its values count as learned.
	minSamples = 24
	// fitDecay is the weight that the samples of a pool's fit keep with each new sample.
	fitDecay = 0.998
	// kindWeight is the smallest weight of a new sample in the means of its kind of request.
	kindWeight = 0.02
	// serverDecay is the weight that the samples of a server keep with each new sample, about the last 30.
	serverDecay = 0.97
	// priorSamples is the number of samples that the pool's value counts for in a server's factor.
	priorSamples = 4
	// forgetTime is the time without a sample after which the pool's value counts twice as much in a server's factor, and
	// maxForgetDoublings bounds the number of doublings.
	forgetTime         = 10 * time.Second
	maxForgetDoublings = 20
	// maxNoEventRatio bounds the ratio of the time of an attempt without an event to the expected one. Such attempts often end
	// because a machine stopped, which says little about its speed.
	maxNoEventRatio = 4
	// maxFactor bounds a server's factor, and 1/maxFactor is the lower bound.
	maxFactor = 16
	// maxSampleRatio bounds the ratio of one observed time to the expected one, so that a single lost answer doesn't
	// determine a server's factor.
	maxSampleRatio = 20
	// medianInterval is the number of samples of a pool after which the medians are computed again.
	medianInterval = 256
	// maxKinds is the largest number of kinds of requests, and of models, of a pool. Further ones share the values of the
	// empty name.
	maxKinds = 64

	// eventWeight is the weight of an event in a server's recent time between events; slowEventWeight is that in the usual one.
	eventWeight     = 0.15
	slowEventWeight = 0.01
	// minEvents is the number of events of a server from which its time between events counts as learned.
	minEvents = 5
	// eventHalfLife is the age at which the recent time between events counts half, as the load that it reflects changes
	// within the duration of a few requests.
	eventHalfLife = 1500 * time.Millisecond

	// priorReportVariance is the weight of the assumption that reports are right, as a squared deviation of the work factor: that of
	// one report which is off by half.
	priorReportVariance = 0.25
)

// Server holds the learned values of one backend server. Its zero value knows nothing. Values are ratios to those of the pool,
// so that a server keeps them when the mix of requests changes.
type Server struct {
	// first is the time to the first event relative to the pool.
	first ratio
	// slotWait is the observed wait for a slot relative to the expected one.
	slotWait ratio
	// recentEvent and usualEvent are running means of the time between events relative to the pool, and eventCount is the
	// number of events.
	recentEvent, usualEvent float64
	eventCount              int
	lastEvent               time.Time
	// percent is the last reported work percentage, 0 if there is none. percentDeviation is the running mean of reported
	// percentages less usualPercent.
	percent          int
	percentAt        time.Time
	percentDeviation float64
	// reportVariance and reportCovariance are decaying sums over responses: of the squared deviation of the work factor from its mean,
	// and of its product with the deviation of the response's time from the one expected without reports.
	reportVariance, reportCovariance float64
}

// ratio is a quotient of two decaying sums. Its zero value is unknown.
type ratio struct {
	observed, expected, count float64
	last                      time.Time
}

func (r *ratio) add(now time.Time, observed, expected float64) {
	r.last = now
	r.observed = r.observed*serverDecay + min(observed, maxSampleRatio*expected)
	r.expected = r.expected*serverDecay + expected
	r.count = r.count*serverDecay + 1
}

// value returns the quotient, drawn towards 1 by the weight of priorSamples samples, or unknown without samples. The pull towards
// 1 keeps the values of the pool and the factors of all its servers from drifting in opposite directions. It doubles with each
// forgetTime since the last sample, so that a server that looked slow gets requests again.
func (r *ratio) value(unknown float64, now time.Time) float64 {
	if r.count == 0 || r.expected <= 0 {
		return unknown
	}
	age := float64(max(now.Sub(r.last), 0)) / float64(forgetTime)
	priorWeight := priorSamples * r.expected / r.count * math.Exp2(min(age, maxForgetDoublings))
	return min(max((r.observed+priorWeight)/(r.expected+priorWeight), 1.0/maxFactor), maxFactor)
}

// Pool holds the learned values that the servers of a pool have in common. It is not safe for concurrent use.
type Pool struct {
	// kinds holds the mean number of tokens and the mean time to the first event for each kind of request.
	kinds map[string]*kind
	// events holds the mean time between events for each model.
	events map[string]*mean
	// fit is the time per token over the samples of all kinds, by deviations from the means of the kind.
	fit       slope
	samples   int
	occupancy mean
	// medianFirst and medianEvent are the medians of the servers' factors, and of their usual times between events.
	medianFirst, medianEvent float64
	// nextMedian is the number of samples from which the medians are computed again.
	nextMedian int
}

type kind struct {
	count          int
	tokens, millis float64
	// fit is the kind's own time per token, which replaces that of the pool once it has enough samples. The ratio of the prices of
	// two models, by which tokens are converted, differs from that of their times.
	fit slope
}

// slope is the quotient of two decaying sums of products of deviations from a mean.
type slope struct{ variance, covariance float64 }

func (f *slope) add(tokens, millis float64) {
	f.variance = f.variance*fitDecay + tokens*tokens
	f.covariance = f.covariance*fitDecay + tokens*millis
}

func (f *slope) value() float64 {
	if f.variance <= 0 {
		return 0
	}
	return max(f.covariance/f.variance, 0)
}

// mean is a running mean, whose first samples all have the same weight.
type mean struct {
	count int
	value float64
}

func (m *mean) add(value, weight float64) {
	m.count++
	m.value += max(weight, 1/float64(m.count)) * (value - m.value)
}

// NewPool returns a pool without learned values.
func NewPool() *Pool {
	return &Pool{kinds: map[string]*kind{}, events: map[string]*mean{}, medianFirst: 1, medianEvent: 1}
}

// RecordWork records the work percentage that the server reported at the time at. 0 and values above MaxWorkPercent are
// ignored.
func (s *Server) RecordWork(percent int, at time.Time) {
	if percent < 1 || percent > MaxWorkPercent || at.Before(s.percentAt) {
		return
	}
	s.percent, s.percentAt = percent, at
	s.percentDeviation += percentWeight * (float64(percent) - usualPercent - s.percentDeviation)
}

// WorkFactor returns how long work is expected to take at now, relative to the server's usual speed: the last report, which
// decays with its age to the mean of the reports, as far as responses were seen to follow the reports.
func (s *Server) WorkFactor(now time.Time) float64 {
	reported, mean := s.reportedFactor(now)
	return mean + (reported-mean)*s.trust()
}

// reportedFactor returns the work factor by the reports alone, and the mean that it decays to.
func (s *Server) reportedFactor(now time.Time) (factor, mean float64) {
	if s.percent == 0 {
		return 1, 1
	}
	usual := usualPercent + s.percentDeviation
	weight := math.Exp(-float64(max(now.Sub(s.percentAt), 0)) / float64(workPersistence))
	return (usual + (float64(s.percent)-usual)*weight) / usualPercent, usual / usualPercent
}

// trust returns the part of the reports' deviations that the responses show: 1 for a server whose responses take as much longer as it
// reports, 0 for one whose reports say nothing about them.
func (s *Server) trust() float64 {
	return min(max((s.reportCovariance+priorReportVariance)/(s.reportVariance+priorReportVariance), 0), 1)
}

// recordReportedFactor compares the reports with a response that took the given time. usual is the time expected without reports.
func (s *Server) recordReportedFactor(now time.Time, millis, usual float64) {
	reported, mean := s.reportedFactor(now)
	if s.percent == 0 || usual <= 0 {
		return
	}
	x, y := reported/mean-1, min(millis/(usual*mean), maxSampleRatio)-1
	s.reportVariance = s.reportVariance*serverDecay + x*x
	s.reportCovariance = s.reportCovariance*serverDecay + x*y
}

// Known reports whether the pool has enough responses for an estimate.
func (p *Pool) Known() bool { return p.samples >= minSamples }

// rate returns the time per token in milliseconds of a kind of request, or over all kinds if k is nil or has too few samples.
func (p *Pool) rate(k *kind) float64 {
	if k != nil && k.count >= minSamples && k.fit.variance > 0 {
		return k.fit.value()
	}
	return p.fit.value()
}

// usualMillis returns the pool's time to the first event of a request with the number of unread tokens.
func (p *Pool) usualMillis(kindName string, tokens float64) float64 {
	return max(p.base(kindName)+p.rate(nil)*tokens, minMillis)
}

// base returns the pool's time to the first event of a request without unread tokens, in milliseconds. A kind of request that has
// not been seen yet takes the mean of the others.
func (p *Pool) base(kindName string) float64 {
	k := p.kinds[kindName]
	if k == nil && len(p.kinds) >= maxKinds {
		k = p.kinds[""]
	}
	rate := p.rate(nil)
	if k != nil {
		return max(k.millis-rate*k.tokens, 0)
	}
	sum := 0.0
	for _, k := range p.kinds {
		sum += max(k.millis-rate*k.tokens, 0)
	}
	return sum / float64(max(len(p.kinds), 1))
}

// Estimate holds the expected times of a request on a server.
type Estimate struct {
	// Alone is the time to the first event without other requests, First the one behind the unread tokens of others.
	Alone, First time.Duration
	// Event is the time between events, 0 if it is not known.
	Event time.Duration
}

// Estimate returns FirstEvent for the request's own unread tokens and for those with the tokens ahead of it, and EventTime. It
// returns false while the pool is not known.
func (p *Pool) Estimate(now time.Time, s *Server, kindName, model string, own, ahead float64) (Estimate, bool) {
	if !p.Known() {
		return Estimate{}, false
	}
	work := s.WorkFactor(now)
	scale, base, rate := work*p.Factor(now, s), p.base(kindName), p.rate(nil)
	return Estimate{
		Alone: duration(scale * max(base+rate*own, minMillis)), First: duration(scale * max(base+rate*(own+ahead), minMillis)),
		Event: duration(work * p.usualEventMillis(now, s, model)),
	}, true
}

// minMillis is the smallest expected time, which keeps quotients finite.
const minMillis = 0.1

func (p *Pool) kindName(name string) string {
	if _, ok := p.kinds[name]; !ok && len(p.kinds) >= maxKinds {
		return ""
	}
	return name
}

// FirstEvent returns the expected time from dispatch to the first event of a request, without the wait for a slot: the pool's
// time for the kind of request and the number of unread tokens, which include those that the server reads before, times the
// server's factor and its work factor at now. It returns 0 while the pool is not known.
func (p *Pool) FirstEvent(now time.Time, s *Server, kindName string, tokens float64) time.Duration {
	if !p.Known() {
		return 0
	}
	return duration(p.usualMillis(kindName, tokens) * p.Factor(now, s) * s.WorkFactor(now))
}

// Factor returns the server's usual time relative to that of its pool. It is the pool's median for a server without responses.
func (p *Pool) Factor(now time.Time, s *Server) float64 { return s.first.value(p.medianFirst, now) }

// TokensPerMillisecond returns the number of prompt tokens that the server reads per millisecond at its usual speed, 0 if it is
// not known.
func (p *Pool) TokensPerMillisecond(now time.Time, s *Server) float64 {
	if rate := p.rate(nil); rate > 0 && p.Known() {
		return 1 / (rate * p.Factor(now, s))
	}
	return 0
}

// RecordFirstEvent records the time from dispatch to the first event of a request with the number of unread tokens. A request
// that waited for a slot counts for the server's wait for slots only; slotWait is the expected wait at its dispatch.
func (p *Pool) RecordFirstEvent(now time.Time, s *Server, kindName string, tokens float64, took, slotWait time.Duration) {
	if !validTokens(tokens) {
		return
	}
	if slotWait <= 0 && p.Known() {
		s.recordReportedFactor(now, milliseconds(took), p.usualMillis(kindName, tokens)*p.Factor(now, s))
	}
	millis := min(max(milliseconds(took)/s.WorkFactor(now), 0), maxMillis)
	if slotWait > 0 && p.Known() {
		waited := milliseconds(took) - milliseconds(p.FirstEvent(now, s, kindName, tokens))
		s.slotWait.add(now, max(waited, 0), milliseconds(slotWait))
		return
	}
	name := p.kindName(kindName)
	k := p.kinds[name]
	if k == nil {
		k = &kind{}
		p.kinds[name] = k
	}
	if k.count > 0 {
		more, later := tokens-k.tokens, millis/p.Factor(now, s)-k.millis
		p.fit.add(more, later)
		k.fit.add(more, later)
	}
	// The time is divided by the server's factor, so that the pool's values don't change when other servers answer.
	k.count++
	weight := max(kindWeight, 1/float64(k.count))
	k.tokens += weight * (tokens - k.tokens)
	k.millis += weight * (millis/p.Factor(now, s) - k.millis)
	p.samples++
	if p.Known() {
		s.first.add(now, millis, p.usualMillis(kindName, tokens))
	}
}

const (
	// maxMillis and maxTokens are the largest values of a sample that are used; larger ones are errors.
	maxMillis = 600_000
	maxTokens = 1e9
)

func validTokens(tokens float64) bool { return tokens >= 0 && tokens <= maxTokens }

// RecordNoEvent records that an attempt ended after a time without an event. It counts as a sample of the server only if it
// lasted longer than expected, as the first event would have come later still.
func (p *Pool) RecordNoEvent(now time.Time, s *Server, kindName string, tokens float64, took, slotWait time.Duration) {
	if !p.Known() || !validTokens(tokens) || took <= p.FirstEvent(now, s, kindName, tokens)+slotWait {
		return
	}
	expected := p.usualMillis(kindName, tokens)
	s.first.add(now, min(milliseconds(took-slotWait)/s.WorkFactor(now), maxNoEventRatio*expected), expected)
}

// RecordEvent records the time between two events of a stream of the model.
func (p *Pool) RecordEvent(now time.Time, s *Server, model string, interval time.Duration) {
	millis := min(max(milliseconds(interval), 0), maxMillis) / s.WorkFactor(now)
	if _, ok := p.events[model]; !ok && len(p.events) >= maxKinds {
		model = ""
	}
	m := p.events[model]
	if m == nil {
		m = &mean{}
		p.events[model] = m
	}
	m.add(millis, slowEventWeight)
	relative := min(millis/max(m.value, minMillis), maxSampleRatio)
	if s.eventCount++; s.eventCount == 1 {
		s.recentEvent, s.usualEvent = 1, 1
	}
	s.recentEvent += eventWeight * (relative - s.recentEvent)
	s.usualEvent += slowEventWeight * (relative - s.usualEvent)
	s.lastEvent = now
}

// EventTime returns the expected time between two events of the model at now, 0 if it is not known. The recent time between
// events shows how busy the server is; it decays to the server's usual time.
func (p *Pool) EventTime(now time.Time, s *Server, model string) time.Duration {
	return duration(p.usualEventMillis(now, s, model) * s.WorkFactor(now))
}

func (p *Pool) usualEventMillis(now time.Time, s *Server, model string) float64 {
	m := p.events[model]
	if m == nil {
		m = p.events[""]
	}
	if m == nil || m.count < minEvents {
		return 0
	}
	relative := p.medianEvent
	if s.eventCount > 0 {
		weight := float64(eventHalfLife) / float64(eventHalfLife+max(now.Sub(s.lastEvent), 0))
		relative = s.usualEvent + (s.recentEvent-s.usualEvent)*weight
	}
	return m.value * relative
}

// RecordOccupancy records how long a request occupied a slot of the server. The server's speed changes several times meanwhile, so
// that the time is not corrected by it.
func (p *Pool) RecordOccupancy(now time.Time, s *Server, took time.Duration) {
	p.occupancy.add(min(max(milliseconds(took), 0), maxMillis)/p.Factor(now, s), kindWeight)
}

// SlotWait returns the expected time until a slot is free for one more request, given the number of requests that run or wait
// there. Each of the slots becomes free once in the time that a request occupies it. The server's speed averages out over that
// time, so that the current one has no effect.
func (p *Pool) SlotWait(now time.Time, s *Server, requests float64, slots int) time.Duration {
	if !p.Known() || p.occupancy.count == 0 || slots < 1 || requests < float64(slots) {
		return 0
	}
	return duration((requests - float64(slots) + 1) / float64(slots) * p.occupancy.value * p.Factor(now, s) * s.slotWait.value(1, now))
}

// Occupancy returns the time for which a request usually occupies a slot of the server, 0 if it is not known.
func (p *Pool) Occupancy(now time.Time, s *Server) time.Duration {
	return duration(p.occupancy.value * p.Factor(now, s))
}

// UpdateMedian computes the medians from the pool's servers if there are enough new samples since the last time. The iteration
// must yield each server once.
func (p *Pool) UpdateMedian(now time.Time, servers func(yield func(*Server) bool)) {
	if p.samples < p.nextMedian {
		return
	}
	p.nextMedian = p.samples + medianInterval
	var first, event []float64
	for s := range servers {
		if s.first.count > 0 {
			first = append(first, p.Factor(now, s))
		}
		if s.eventCount > 0 {
			event = append(event, s.usualEvent)
		}
	}
	p.medianFirst, p.medianEvent = median(first), median(event)
}

// median returns the upper median, or 1 without values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 1
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// Responses returns the number of responses, decayed, that the server's factor is based on.
func (s *Server) Responses() float64 { return s.first.count }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// duration converts milliseconds, limited to maxMillis.
func duration(millis float64) time.Duration {
	if !(millis > 0) { // Also for NaN.
		return 0
	}
	return time.Duration(min(millis, maxMillis) * float64(time.Millisecond))
}
