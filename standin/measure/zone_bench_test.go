package measure_test

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"clementinetray/standin/engine"
	"clementinetray/standin/site"
)

// sample is the outcome of one request of BenchmarkZone.
type sample struct {
	began time.Time
	took  time.Duration
	ok    bool
}

// BenchmarkZone takes one of three availability zones out under load and brings it back, on nine instances. It measures the
// time from the order to the last new request in the zone, the time until the zone has its share of the load again, and
// failed requests and latencies before, during and after the absence of the zone.
func BenchmarkZone(b *testing.B) {
	for b.Loop() {
		s, engines := newSite(b, 5, 4, func(c *engine.Config) { c.FirstTokenDelay, c.ColdCapacity, c.Capacity = 20*time.Millisecond, 2, 32 })
		stop := startLoad(s, 4)
		time.Sleep(25 * time.Second) // engines are warm afterwards
		began := time.Now()
		time.Sleep(5 * time.Second)
		orderedOut := time.Now()
		requireNoError(b, s.Order(s.Instances[0], "zones/north", true))
		lastRequest := lastRequestAfter(engines, orderedOut, 8*time.Second)
		orderedIn := time.Now()
		requireNoError(b, s.Order(s.Instances[1], "zones/north", false))
		returned := timeToHalfShare(engines, 60*time.Second)
		samples := stop()
		b.ReportMetric(float64(lastRequest.Milliseconds()), "last-new-request-ms")
		b.ReportMetric(returned.Seconds(), "return-to-share-s")
		reportPeriod(b, samples, "before", began, orderedOut)
		reportPeriod(b, samples, "leaving", orderedOut, orderedIn)
		reportPeriod(b, samples, "returning", orderedIn, time.Now())
	}
}

// startLoad sends requests from the given number of callers through each instance. stop ends them and returns all samples.
func startLoad(s *site.Site, callers int) (stop func() []sample) {
	var stopped atomic.Bool
	var mu sync.Mutex
	var all []sample
	var wg sync.WaitGroup
	for _, i := range s.Instances {
		for range callers {
			wg.Go(func() {
				var own []sample
				for !stopped.Load() {
					at := time.Now()
					answer, err := s.Post(i, "/v1/chat/completions", site.LargeKey, `{"model":"cheap",`+prompt)
					own = append(own, sample{began: at, took: time.Since(at), ok: err == nil && answer.Status == 200})
				}
				mu.Lock()
				all = append(all, own...)
				mu.Unlock()
			})
		}
	}
	return func() []sample {
		stopped.Store(true)
		wg.Wait()
		return all
	}
}

func northCheapEngines(engines []*engine.Engine) []*engine.Engine {
	var out []*engine.Engine
	for _, e := range engines {
		if e.AvailabilityZone() == "north" && strings.HasPrefix(e.ID(), "cheap") {
			out = append(out, e)
		}
	}
	return out
}

func requestCount(engines []*engine.Engine) int {
	n := 0
	for _, e := range engines {
		n += e.Requests()
	}
	return n
}

// lastRequestAfter returns how long after the order the zone received its last new request, as seen until watch has passed.
func lastRequestAfter(engines []*engine.Engine, order time.Time, watch time.Duration) time.Duration {
	zone := northCheapEngines(engines)
	count, last := requestCount(zone), time.Duration(0)
	for time.Since(order) < watch {
		if now := requestCount(zone); now != count {
			count, last = now, time.Since(order)
		}
		time.Sleep(time.Millisecond)
	}
	return last
}

// timeToHalfShare waits until the zone receives, within a second, at least half of its even share of the requests, and
// returns the time that took, at most about limit.
func timeToHalfShare(engines []*engine.Engine, limit time.Duration) time.Duration {
	zone, began := northCheapEngines(engines), time.Now()
	var cheap []*engine.Engine
	for _, e := range engines {
		if strings.HasPrefix(e.ID(), "cheap") {
			cheap = append(cheap, e)
		}
	}
	for time.Since(began) < limit {
		zoneBefore, allBefore := requestCount(zone), requestCount(cheap)
		time.Sleep(time.Second)
		share := float64(requestCount(zone)-zoneBefore) / float64(max(1, requestCount(cheap)-allBefore))
		if share >= 0.5*float64(len(zone))/float64(len(cheap)) {
			break
		}
	}
	return time.Since(began)
}

func reportPeriod(b *testing.B, samples []sample, name string, from, to time.Time) {
	var took []time.Duration
	failed := 0
	for _, s := range samples {
		if s.began.Before(from) || s.began.After(to) {
			continue
		}
		took = append(took, s.took)
		if !s.ok {
			failed++
		}
	}
	slices.Sort(took)
	b.ReportMetric(float64(quantile(took, 0.99).Microseconds())/1000, name+"-p99-ms")
	b.ReportMetric(float64(quantile(took, 0.5).Microseconds())/1000, name+"-p50-ms")
	b.ReportMetric(float64(failed), name+"-failed")
	b.ReportMetric(float64(len(took)), name+"-requests")
}
