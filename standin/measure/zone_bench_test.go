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

// requestOutcome is the outcome of one request of BenchmarkZone.
type requestOutcome struct {
	began time.Time
	took  time.Duration
	ok    bool
}

// BenchmarkZone takes one of three availability zones out under load and brings it back, on nine instances. It measures the
// time from the order to the last new request in the zone, the time until the zone has half its share of the load again, and
// failed requests and latencies before the order, while the zone is out, and after the order to bring it back.
func BenchmarkZone(b *testing.B) {
	for b.Loop() {
		s, engines := newSite(b, 5, 4, func(c *engine.Config) { c.FirstTokenDelay, c.ColdCapacity, c.Capacity = 20*time.Millisecond, 2, 32 })
		stop := startLoad(s, 4)
		time.Sleep(25 * time.Second) // gives the engines time to warm up
		began := time.Now()
		time.Sleep(5 * time.Second)
		orderedOut := time.Now()
		requireNoError(b, s.SetOut(s.Instances[0], "zones/north", true))
		lastRequest := measureTimeToLastRequest(engines, orderedOut, 8*time.Second)
		orderedIn := time.Now()
		requireNoError(b, s.SetOut(s.Instances[1], "zones/north", false))
		returnTime := measureTimeToHalfShare(engines, 60*time.Second)
		outcomes := stop()
		b.ReportMetric(float64(lastRequest.Milliseconds()), "last-new-request-ms")
		b.ReportMetric(returnTime.Seconds(), "return-to-share-s")
		reportPeriodMetrics(b, outcomes, "before", began, orderedOut)
		reportPeriodMetrics(b, outcomes, "leaving", orderedOut, orderedIn)
		reportPeriodMetrics(b, outcomes, "returning", orderedIn, time.Now())
	}
}

// startLoad sends requests from the given number of callers through each instance. stop ends the load and returns the
// outcomes of all requests.
func startLoad(s *site.Site, callers int) (stop func() []requestOutcome) {
	var stopped atomic.Bool
	var mu sync.Mutex
	var all []requestOutcome
	var wg sync.WaitGroup
	for _, i := range s.Instances {
		for range callers {
			wg.Go(func() {
				var own []requestOutcome
				for !stopped.Load() {
					at := time.Now()
					answer, err := s.Post(i, "/v1/chat/completions", site.LargeKey, `{"model":"cheap",`+bodyAfterModel)
					own = append(own, requestOutcome{began: at, took: time.Since(at), ok: err == nil && answer.Status == 200})
				}
				mu.Lock()
				all = append(all, own...)
				mu.Unlock()
			})
		}
	}
	return func() []requestOutcome {
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

func servedRequests(engines []*engine.Engine) int {
	n := 0
	for _, e := range engines {
		n += e.Received()
	}
	return n
}

// measureTimeToLastRequest returns how long after the order the zone received its last new request. It observes the zone for
// duration, counted from the order.
func measureTimeToLastRequest(engines []*engine.Engine, order time.Time, duration time.Duration) time.Duration {
	zone := northCheapEngines(engines)
	count, last := servedRequests(zone), time.Duration(0)
	for time.Since(order) < duration {
		if now := servedRequests(zone); now != count {
			count, last = now, time.Since(order)
		}
		time.Sleep(time.Millisecond)
	}
	return last
}

// measureTimeToHalfShare waits until the zone receives, within one second, at least half of the requests that an even
// distribution would give it. It returns how long that took, or about limit if it took longer.
func measureTimeToHalfShare(engines []*engine.Engine, limit time.Duration) time.Duration {
	zone, began := northCheapEngines(engines), time.Now()
	var cheap []*engine.Engine
	for _, e := range engines {
		if strings.HasPrefix(e.ID(), "cheap") {
			cheap = append(cheap, e)
		}
	}
	for time.Since(began) < limit {
		zoneBefore, allBefore := servedRequests(zone), servedRequests(cheap)
		time.Sleep(time.Second)
		share := float64(servedRequests(zone)-zoneBefore) / float64(max(1, servedRequests(cheap)-allBefore))
		if share >= 0.5*float64(len(zone))/float64(len(cheap)) {
			break
		}
	}
	return time.Since(began)
}

func reportPeriodMetrics(b *testing.B, outcomes []requestOutcome, name string, from, to time.Time) {
	var took []time.Duration
	failed := 0
	for _, o := range outcomes {
		if o.began.Before(from) || o.began.After(to) {
			continue
		}
		took = append(took, o.took)
		if !o.ok {
			failed++
		}
	}
	slices.Sort(took)
	b.ReportMetric(float64(quantile(took, 0.99).Microseconds())/1000, name+"-p99-ms")
	b.ReportMetric(float64(quantile(took, 0.5).Microseconds())/1000, name+"-p50-ms")
	b.ReportMetric(float64(failed), name+"-failed")
	b.ReportMetric(float64(len(took)), name+"-requests")
}
