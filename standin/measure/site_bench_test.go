// Package measure holds benchmarks of whole sites. Run one with
// go test -run '^$' -bench NAME -benchtime 1x ./measure
package measure_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/event"
	"clementinetray/standin/engine"
	"clementinetray/standin/site"
)

// newSite starts a site with four engines of each model, spread over three availability zones. change, unless nil, adjusts
// the configuration of each engine.
func newSite(b *testing.B, control, entry int, adjustEngine func(*engine.Config)) (*site.Site, []*engine.Engine) {
	b.Helper()
	dir := b.TempDir()
	binaries, err := site.Build(dir)
	requireNoError(b, err)
	zones := []string{"north", "middle", "south"}
	s, err := site.New(site.Config{Binaries: binaries, Dir: dir, ControlCount: control, EntryCount: entry, Zones: zones})
	requireNoError(b, err)
	b.Cleanup(s.Close)
	requireNoError(b, s.Start())
	var engines []*engine.Engine
	for n := range 4 {
		for _, v := range []catalogue.VersionRef{site.CheapVersion, site.DearVersion} {
			config := engine.Config{
				ID: fmt.Sprintf("%s-%d", v.Model, n), AvailabilityZone: zones[n%3], Versions: []catalogue.VersionRef{v},
				Capacity: 256, ColdCapacity: 256, AnswerTokens: 1, AnnounceTo: s.AnnouncementAddresses(),
			}
			if adjustEngine != nil {
				adjustEngine(&config)
			}
			e, err := engine.Start(config)
			requireNoError(b, err)
			b.Cleanup(e.Stop)
			engines = append(engines, e)
		}
	}
	c := site.SampleCatalogue()
	c.Workspaces[0].MaxConcurrent = 0
	requireNoError(b, s.ApplyCatalogue(c, 20*time.Second))
	requireNoError(b, s.WaitReady(20*time.Second))
	time.Sleep(2 * time.Second)
	return s, engines
}

func requireNoError(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

const bodyAfterModel = `"messages":[{"role":"user","content":"which tolerance holds for a boiler dome"}]}`

// sendRequests sends n requests from concurrent callers and returns their sorted latencies.
func sendRequests(b *testing.B, url, body string, callers, n int) []time.Duration {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	work := make(chan int, n)
	for i := range n {
		work <- i
	}
	close(work)
	var mu sync.Mutex
	var latencies []time.Duration
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			var own []time.Duration
			for range work {
				start := time.Now()
				req, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
				req.Header.Set("Authorization", "Bearer "+site.LargeKey)
				resp, err := client.Do(req)
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Errorf("status %d", resp.StatusCode)
					return
				}
				own = append(own, time.Since(start))
			}
			mu.Lock()
			latencies = append(latencies, own...)
			mu.Unlock()
		})
	}
	wg.Wait()
	slices.Sort(latencies)
	return latencies
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// BenchmarkOverhead compares the latency of calls through one instance with that of direct calls to an engine.
func BenchmarkOverhead(b *testing.B) {
	for _, load := range []struct {
		name       string
		callers, n int
		firstToken time.Duration
	}{{"1caller", 1, 1000, 0}, {"64callers", 64, 20000, 0}, {"64callers20ms", 64, 6000, 20 * time.Millisecond}} {
		b.Run(load.name, func(b *testing.B) {
			s, engines := newSite(b, 3, 0, func(c *engine.Config) { c.FirstTokenDelay = load.firstToken })
			direct := "http://" + engines[0].Address() + "/v1/chat/completions"
			routed := "http://" + s.Instances[0].Callers + "/v1/chat/completions"
			sendRequests(b, routed, `{"model":"cheap",`+bodyAfterModel, load.callers, load.n/10)
			for b.Loop() {
				directLatencies := sendRequests(b, direct, `{"model":"cheap@v1",`+bodyAfterModel, load.callers, load.n)
				began := time.Now()
				routedLatencies := sendRequests(b, routed, `{"model":"cheap",`+bodyAfterModel, load.callers, load.n)
				rate := float64(load.n) / time.Since(began).Seconds()
				for _, q := range []struct {
					name string
					at   float64
				}{{"p50", 0.5}, {"p99", 0.99}} {
					d, r := quantile(directLatencies, q.at), quantile(routedLatencies, q.at)
					b.ReportMetric(float64(d.Microseconds()), "direct-"+q.name+"-us")
					b.ReportMetric(float64(r.Microseconds()), "routed-"+q.name+"-us")
					b.ReportMetric(float64(r)/float64(d), "ratio-"+q.name)
				}
				b.ReportMetric(rate, "routed-req/s")
			}
		})
	}
}

// BenchmarkInForce measures the time from the acceptance of an order until all nine instances have it in force.
func BenchmarkInForce(b *testing.B) {
	s, _ := newSite(b, 5, 4, nil)
	var delays []time.Duration
	for b.Loop() {
		for n := range 20 {
			control := s.Instances[n%5]
			requireNoError(b, s.SetOut(control, "servers/absent", n%2 == 0))
			accepted := time.Now()
			time.Sleep(1500 * time.Millisecond)
			events, err := s.Timeline(control, "view_in_force")
			requireNoError(b, err)
			delays = append(delays, timeInForceEverywhere(events, len(s.Instances)).Sub(accepted))
		}
		slices.Sort(delays)
		b.ReportMetric(float64(quantile(delays, 0.5).Milliseconds()), "p50-ms")
		b.ReportMetric(float64(delays[len(delays)-1].Milliseconds()), "max-ms")
	}
}

// timeInForceEverywhere returns the time at which the last of all instances reported that the newest revision is in force,
// or the present time if events lacks the report of an instance.
func timeInForceEverywhere(events []event.Event, instanceCount int) time.Time {
	newest, seen, at := uint64(0), map[string]bool{}, time.Time{}
	for _, e := range events {
		newest = max(newest, e.Revision)
	}
	for _, e := range events {
		if e.Revision == newest {
			seen[e.Instance] = true
			at = e.Stamp.Time()
		}
	}
	if len(seen) < instanceCount {
		return time.Now()
	}
	return at
}

// BenchmarkLeaderLoss measures the time from the kill of the leader until the next order is accepted.
func BenchmarkLeaderLoss(b *testing.B) {
	s, _ := newSite(b, 3, 0, nil)
	var delays []time.Duration
	for b.Loop() {
		for range 10 {
			leader, err := findLeader(s)
			requireNoError(b, err)
			killed := time.Now()
			leader.Kill()
			for accepted := false; !accepted; {
				for _, i := range s.Instances {
					if i != leader && s.SetOut(i, "servers/absent", len(delays)%2 == 0) == nil {
						accepted = true
						break
					}
				}
			}
			delays = append(delays, time.Since(killed))
			requireNoError(b, s.StartInstance(leader))
			requireNoError(b, s.WaitReady(20*time.Second))
			time.Sleep(time.Second)
		}
		slices.Sort(delays)
		b.ReportMetric(float64(quantile(delays, 0.5).Milliseconds()), "p50-ms")
		b.ReportMetric(float64(delays[len(delays)-1].Milliseconds()), "max-ms")
	}
}

func findLeader(s *site.Site) (*site.Instance, error) {
	for range 100 {
		for _, i := range s.Instances {
			status, err := s.Status(i)
			if err != nil {
				continue
			}
			for _, candidate := range s.Instances {
				if candidate.ID == status.Leader {
					return candidate, nil
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, site.Error.New("no instance reports a leader")
}
