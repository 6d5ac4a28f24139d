package serverrate_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"clementinetray/server/serverrate"
)

var start = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

// engine is a backend server with a speed of its own and a machine whose speed changes every 600 ms.
type engine struct {
	rate   serverrate.Server
	factor float64
	// percents holds the machine's work percentage in each span of 600 ms.
	percents []int
}

const noisePeriod = 600 * time.Millisecond

func (e *engine) percentAt(at time.Duration) int {
	return e.percents[int(at/noisePeriod)%len(e.percents)]
}

// firstEvent returns the time to the first event: 20 ms and 1 ms for each 85 tokens, at the usual speed of a server of factor 1.
func (e *engine) firstEvent(at time.Duration, tokens float64) time.Duration {
	return time.Duration((20 + tokens/85) * e.factor * float64(e.percentAt(at)) / 100 * float64(time.Millisecond))
}

func newEngines(seed uint64, n int) (*rand.Rand, []*engine) {
	rng := rand.New(rand.NewPCG(seed, 1))
	engines := make([]*engine, n)
	for i := range engines {
		engines[i] = &engine{factor: 0.7 + float64(i)/float64(n-1)}
		for range 50 {
			percent := 100
			if rng.IntN(4) == 0 {
				percent = 40 + rng.IntN(210)
			}
			engines[i].percents = append(engines[i].percents, percent)
		}
	}
	return rng, engines
}

func learn(p *serverrate.Pool, rng *rand.Rand, engines []*engine, from, to time.Duration) {
	for at := from; at < to; at += 10 * time.Millisecond {
		e, tokens := engines[rng.IntN(len(engines))], float64(rng.IntN(12_000))
		took := e.firstEvent(at, tokens)
		e.rate.RecordWork(e.percentAt(at), start.Add(at))
		p.RecordFirstEvent(start.Add(at), &e.rate, "long", tokens, took, 0)
		for range 10 {
			p.RecordEvent(start.Add(at), &e.rate, "m", time.Duration(30*e.factor*float64(e.percentAt(at))/100*float64(time.Millisecond)))
		}
	}
}

func deviation(got, want time.Duration) float64 { return math.Abs(float64(got)/float64(want) - 1) }

// Guards against estimates that follow the noise of a machine instead of its usual speed, and against a large prompt whose
// expected time is that of a small one.
func TestUsualSpeedIsLearnedUnderNoise(t *testing.T) {
	rng, engines := newEngines(3, 18)
	p := serverrate.NewPool()
	learn(p, rng, engines, 0, 20*time.Second)
	for i, e := range engines {
		for _, tokens := range []float64{0, 628, 6610, 20_000} {
			// Long after the last report, the estimate is that of the usual speed.
			now := start.Add(20 * time.Second)
			e.rate.RecordWork(100, now)
			want := time.Duration((20 + tokens/85) * e.factor * float64(time.Millisecond))
			if got := p.FirstEvent(now, &e.rate, "long", tokens); deviation(got, want) > 0.25 {
				t.Errorf("server %d: %s for %.0f tokens, want %s", i, got, tokens, want)
			}
		}
		want := time.Duration(30 * e.factor * float64(time.Millisecond))
		if got := p.EventTime(start.Add(20*time.Second), &e.rate, "m"); deviation(got, want) > 0.2 {
			t.Errorf("server %d: %s between events, want %s", i, got, want)
		}
	}
}

// Guards against a report that counts fully although the machine's speed has changed several times since.
func TestWorkReportLosesWeightWithAge(t *testing.T) {
	var s serverrate.Server
	if f := s.WorkFactor(start); f != 1 {
		t.Errorf("factor %g without a report", f)
	}
	s.RecordWork(250, start)
	last := 3.0
	for _, age := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second, time.Minute} {
		f := s.WorkFactor(start.Add(age))
		if f >= last || f < 1 {
			t.Errorf("factor %g at an age of %s, after %g", f, age, last)
		}
		last = f
	}
	if f := s.WorkFactor(start); f != 2.5 {
		t.Errorf("factor %g for a new report of 250", f)
	}
	if last > 1.05 {
		t.Errorf("factor %g a minute after the report", last)
	}
	for _, percent := range []int{0, -5, serverrate.MaxWorkPercent + 1} {
		s.RecordWork(percent, start.Add(time.Minute))
	}
	if f := s.WorkFactor(start.Add(time.Minute)); f != last {
		t.Errorf("factor %g after invalid reports, want %g", f, last)
	}
}

// Guards against a new server that attracts all requests, or none, because nothing is known of it.
func TestNewServerHasTheMedianOfItsPool(t *testing.T) {
	rng, engines := newEngines(4, 9)
	p := serverrate.NewPool()
	if got := p.FirstEvent(start, &serverrate.Server{}, "long", 1000); got != 0 {
		t.Errorf("%s without a response, want 0 for unknown", got)
	}
	learn(p, rng, engines, 0, 10*time.Second)
	p.UpdateMedian(start, func(yield func(*serverrate.Server) bool) {
		for _, e := range engines {
			if !yield(&e.rate) {
				return
			}
		}
	})
	now, faster, slower := start.Add(10*time.Second), 0, 0
	fresh := p.FirstEvent(now, &serverrate.Server{}, "long", 5000)
	for _, e := range engines {
		e.rate.RecordWork(100, now)
		if p.FirstEvent(now, &e.rate, "long", 5000) < fresh {
			faster++
		} else {
			slower++
		}
	}
	if faster < 3 || slower < 3 {
		t.Errorf("%s for a new server: %d of the others are faster, %d slower", fresh, faster, slower)
	}
}

// Guards against a server that looked slow once and gets no requests, so that nothing is learned of it any more.
func TestSlownessIsForgotten(t *testing.T) {
	rng, engines := newEngines(5, 9)
	p := serverrate.NewPool()
	learn(p, rng, engines, 0, 10*time.Second)
	s, now := &engines[0].rate, start.Add(10*time.Second)
	for range 50 {
		p.RecordNoEvent(now, s, "long", 5000, time.Minute, 0)
	}
	if f := p.Factor(now, s); f < 3 {
		t.Errorf("factor %g after attempts without an event", f)
	}
	if f := p.Factor(now.Add(2*time.Minute), s); f > 1.1 {
		t.Errorf("factor %g two minutes later", f)
	}
}

// Guards against a wait for a slot that follows wrong reports although requests begin at once.
func TestSlotWaitIsBoundedByResponses(t *testing.T) {
	rng, engines := newEngines(6, 9)
	p := serverrate.NewPool()
	learn(p, rng, engines, 0, 10*time.Second)
	s, now := &engines[4].rate, start.Add(10*time.Second)
	if w := p.SlotWait(now, s, 100, 12); w != 0 {
		t.Errorf("wait %s before a request has ended", w)
	}
	for range 100 {
		p.RecordOccupancy(now, s, 2*time.Second)
	}
	if w := p.SlotWait(now, s, 11, 12); w != 0 {
		t.Errorf("wait %s with a free slot", w)
	}
	first := p.SlotWait(now, s, 23, 12)
	if deviation(first, 2*time.Second) > 0.3 {
		t.Errorf("wait %s behind as many requests as slots, want about the time that each takes", first)
	}
	for range 60 {
		p.RecordFirstEvent(now, s, "long", 1000, 40*time.Millisecond, first)
	}
	if w := p.SlotWait(now, s, 23, 12); w > first/4 {
		t.Errorf("wait %s after requests that did not wait, %s before", w, first)
	}
}

// Guards against values that are not finite or negative after extreme input.
func FuzzPool(f *testing.F) {
	f.Add(1000.0, int64(time.Second), 100, int64(0), 5.0, 12)
	f.Add(math.Inf(1), int64(math.MaxInt64), 10_000, int64(-5), math.NaN(), 0)
	f.Add(-1.0, int64(math.MinInt64), -1, int64(math.MaxInt64), 1e300, 1)
	f.Fuzz(func(t *testing.T, tokens float64, took int64, percent int, wait int64, requests float64, slots int) {
		p, s := serverrate.NewPool(), &serverrate.Server{}
		for i := range 60 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			s.RecordWork(percent, now)
			p.RecordFirstEvent(now, s, "k", tokens*float64(i%3), time.Duration(took), time.Duration(wait))
			p.RecordFirstEvent(now, s, "k", float64(i*100), time.Duration(i)*time.Millisecond, 0)
			p.RecordNoEvent(now, s, "k", tokens, time.Duration(took), time.Duration(wait))
			p.RecordEvent(now, s, "m", time.Duration(took))
			p.RecordOccupancy(now, s, time.Duration(took))
			for _, d := range []time.Duration{
				p.FirstEvent(now, s, "k", max(tokens, 0)), p.EventTime(now, s, "m"), p.SlotWait(now, s, requests, slots), p.Occupancy(now, s),
			} {
				if d < 0 || d > 10*time.Minute {
					t.Fatalf("time %s", d)
				}
			}
			if f := p.Factor(now, s); !(f > 0 && f <= 16) {
				t.Fatalf("factor %g", f)
			}
		}
	})
}
