package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/entry"
	"clementinetray/server/routing"
)

// discardRecorder discards events, so that the timeline's ring buffer does not add to the measured times and memory.
type discardRecorder struct{}

func (discardRecorder) Record(event.Event) {}

// newBenchHarness returns a harness whose handler uses the real router, and its only backend server.
func newBenchHarness(b *testing.B, serve http.HandlerFunc) (*harness, *httptest.Server) {
	s := buildHarness(newFakeControl(), "entry-1", func(c *entry.Config) {
		c.Router = entry.RouterFuncs{Version: routing.ChooseVersion, Server: routing.ChooseServer}
		c.Recorder = discardRecorder{}
		c.MaxViewAge = time.Hour
	})
	backend := httptest.NewServer(serve)
	b.Cleanup(func() {
		s.close()
		backend.CloseClientConnections()
		backend.Close()
	})
	s.setServers(ref("small", "v2"), &control.BackendServer{
		Announcement: control.Announcement{
			ID: "b1", Address: backend.Listener.Addr().String(), Boot: "b1-1", AvailabilityZone: "a", Region: "r", Capacity: 1_000_000,
		},
		Phase: control.PhaseInService,
	})
	return s, backend
}

func benchRequest(url, body string) *http.Request {
	r := must(http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body)))
	r.Header.Set("Authorization", "Bearer "+key)
	return r
}

func timeRequest(client *http.Client, url, body string) time.Duration {
	start := time.Now()
	answer := must(client.Do(benchRequest(url, body)))
	if answer.StatusCode != http.StatusOK {
		panic(answer.Status)
	}
	must(io.Copy(io.Discard, answer.Body))
	_ = answer.Body.Close()
	return time.Since(start)
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// BenchmarkAddedLatency sends each request directly to the backend server and then through the handler, and reports the
// difference. A fake commits bills without delay, so that the difference is the latency that the handler adds.
func BenchmarkAddedLatency(b *testing.B) {
	words := strings.Split(strings.Repeat("word ", 50), " ")
	for _, c := range []struct {
		name, body string
		serve      http.HandlerFunc
		delay      time.Duration
	}{
		{"unstreamed/instant", chat, completion("x"), 0},
		{"unstreamed/20ms", chat, completion("x"), 20 * time.Millisecond},
		{"stream50/instant", chatStream, stream(nil, words...), 0},
		{"stream50/20ms", chatStream, stream(nil, words...), 20 * time.Millisecond},
	} {
		b.Run(c.name, func(b *testing.B) {
			s, backend := newBenchHarness(b, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				time.Sleep(c.delay)
				c.serve(w, r)
			})
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			timeRequest(client, backend.URL, c.body)
			timeRequest(client, s.server.URL, c.body)
			var direct, proxied []time.Duration
			for b.Loop() {
				direct = append(direct, timeRequest(client, backend.URL, c.body))
				proxied = append(proxied, timeRequest(client, s.server.URL, c.body))
			}
			slices.Sort(direct)
			slices.Sort(proxied)
			report := func(name string, q float64) {
				d, t := quantile(direct, q), quantile(proxied, q)
				b.ReportMetric(float64((t - d).Microseconds()), name+"-added-µs")
				b.ReportMetric(float64(t)/float64(d), name+"-ratio")
			}
			report("p50", 0.5)
			report("p99", 0.99)
		})
	}
}

// BenchmarkStreamMemory keeps streams open directly from the backend server and then through the handler. The difference is the
// memory that the handler, the caller's connection and the connection to the backend server need for each stream. Run it
// with -benchtime 1x.
func BenchmarkStreamMemory(b *testing.B) {
	for _, streams := range []int{200, 1000} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			release := make(chan struct{})
			s, backend := newBenchHarness(b, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				stream(func(http.ResponseWriter) { <-release }, strings.Split(strings.Repeat("word ", 50), " ")...)(w, r)
			})
			var open []*http.Response
			openStreams := func(url string) uint64 {
				before := liveMemory()
				for range streams {
					answer := must(http.DefaultTransport.RoundTrip(benchRequest(url, chatStream)))
					in := bufio.NewReader(answer.Body)
					for range 40 {
						must(in.ReadString('\n'))
					}
					open = append(open, answer)
				}
				return liveMemory() - before
			}
			for b.Loop() {
				direct := openStreams(backend.URL)
				proxied := openStreams(s.server.URL)
				b.ReportMetric(float64(int64(proxied)-int64(direct))/float64(streams), "bytes/stream")
				b.ReportMetric(float64(direct)/float64(streams), "direct-bytes/stream")
			}
			close(release)
			for _, answer := range open {
				_ = answer.Body.Close()
			}
		})
	}
}

// liveMemory returns the size of live heap objects and of stacks in bytes.
func liveMemory() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
