package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/entry"
)

var _ = Describe("large request bodies at once", func() {
	const (
		requestBuffer = 16 << 20
		bodyBytes     = 4 << 20
		requests      = 48
	)

	// Guards against an entry instance that runs out of memory because many callers send the largest body at once.
	DescribeTable("are refused beyond a bound over all of them, while others go on",
		func(path string, body func(text string) string, inChunks bool) {
			var reached atomic.Int64
			// Bodies of callers and backend servers in this process must not count as memory of the instance.
			text := strings.Repeat("x", bodyBytes-1024)
			release := make(chan struct{})
			slow := newBackend("b1", func(w http.ResponseWriter, r *http.Request) {
				read, _ := io.Copy(io.Discard, r.Body)
				if read > bodyBytes/2 {
					reached.Add(1)
					<-release
				}
				if path == "/r/x" {
					respond(http.StatusOK, "well")(w, r)
				} else {
					completion("well")(w, r)
				}
			})
			s := newHarness(func(c *entry.Config) { c.RequestBuffer = requestBuffer })
			s.setRoute(catalogue.Route{Kind: catalogue.KindNonIdempotent, TimeLimitMillis: 20_000})
			s.addServers("v1", slow)
			s.setServers(v1, append([]*control.BackendServer{serverRow(slow)}, s.table.ByService["orders"]...)...)
			large := body(text)
			var served, refused atomic.Int64
			peak := peakHeap(func() {
				var callers sync.WaitGroup
				for range requests {
					callers.Go(func() {
						defer GinkgoRecover()
						r := s.request("POST", path, "")
						// Without its other methods the reader is not copied as a whole by the caller's side.
						r.Body, r.ContentLength = io.NopCloser(struct{ io.Reader }{strings.NewReader(large)}), int64(len(large))
						if inChunks {
							r.ContentLength = -1
						}
						switch got := send(r); got.status {
						case http.StatusOK:
							served.Add(1)
						default:
							Expect(got.problem.Reason).To(Equal(problem.Overloaded))
							Expect(got.problem.NotRun).To(BeTrue())
							refused.Add(1)
						}
					})
				}
				Eventually(func() int64 { return reached.Load() + refused.Load() }, 15*time.Second).Should(BeEquivalentTo(requests))
				Expect(send(s.request("POST", path, body("small"))).status).To(Equal(http.StatusOK))
				close(release)
				callers.Wait()
			})
			AddReportEntry(fmt.Sprintf("served %d, refused %d, peak %d MiB", served.Load(), refused.Load(), peak>>20))
			Expect(served.Load()).To(BeNumerically(">=", 1))
			Expect(refused.Load()).To(BeNumerically(">=", 1))
			// The buffer, 1 MiB for each connection on either side, and what is read before the collector runs.
			Expect(peak).To(BeNumerically("<", 2*requestBuffer+requests<<20))
			Expect(send(s.request("POST", path, large)).status).To(Equal(http.StatusOK), "the buffer is free again")
		},
		Entry("of a route, with a length", "/r/x", func(text string) string { return text }, false),
		Entry("of a route, in chunks", "/r/x", func(text string) string { return text }, true),
		Entry("of a chat completion", "/v1/chat/completions", func(text string) string {
			return `{"model":"small","messages":[{"role":"user","content":"` + text + `"}]}`
		}, false),
	)
})
