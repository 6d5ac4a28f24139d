package entry_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/problem"
	"clementinetray/server/entry"
	"clementinetray/server/jsonbound"
)

var _ = Describe("bodies that are small or decode to much", func() {
	// Guards against small bodies that count toward no bound: thousands of unfinished ones use up the memory of the instance.
	It("are refused as not run while unfinished small ones take the memory, and served afterwards", func() {
		const (
			bodyBytes = 30 << 10
			bodies    = 60
			// bodyMemory is the memory that a body of this size takes once it is read.
			bodyMemory = 32 << 10
		)
		s := newHarness(func(c *entry.Config) { c.RequestBuffer = 1 << 20 })
		s.setRoute(catalogue.Route{Kind: catalogue.KindNonIdempotent, TimeLimitMillis: 20_000})
		s.addServers("v1", newBackend("b1", respond(http.StatusOK, "well")))
		text := strings.Repeat("x", bodyBytes)
		release := make(chan struct{})
		var callers sync.WaitGroup
		for range bodies {
			callers.Go(func() {
				defer GinkgoRecover()
				rest, end := io.Pipe()
				go func() {
					<-release
					_, _ = io.WriteString(end, "x")
					_ = end.Close()
				}()
				r := s.request("POST", "/r/x", "")
				r.Body, r.ContentLength = io.NopCloser(io.MultiReader(strings.NewReader(text[1:]), rest)), bodyBytes
				if got := send(r); got.status != http.StatusOK {
					Expect(got.problem.Reason).To(Equal(problem.Overloaded))
					Expect(got.problem.NotRun).To(BeTrue())
				}
			})
		}
		// A request that is sent while the bodies still grow takes room for which one of them is refused, and gives it back: those that
		// remain then leave room for each further request.
		Eventually(func() float64 {
			admitted := bodies - counterValue(s, "clementinetray_entry_refused_bodies_total", "")
			return admitted*bodyMemory - counterValue(s, "clementinetray_entry_request_body_bytes", "")
		}, 15*time.Second).Should(BeZero(), "bytes that admitted bodies have yet to grow")
		Eventually(func() problem.Reason {
			return send(s.request("POST", "/r/x", text)).problem.Reason
		}, 15*time.Second).Should(Equal(problem.Overloaded))
		close(release)
		callers.Wait()
		Eventually(func() int { return send(s.request("POST", "/r/x", text)).status }, 5*time.Second).Should(Equal(http.StatusOK))
	})

	// Guards against a chat request of legal size whose decoded form takes a multiple of it.
	DescribeTable("are refused as not run before they are decoded", func(body string) {
		s := newHarness(func(c *entry.Config) { c.JSONLimits = jsonbound.Limits{Values: 1000, Depth: 20} })
		got := send(s.request("POST", "/v1/chat/completions", body))
		Expect(got.status).To(Equal(http.StatusBadRequest))
		Expect(got.problem.Reason).To(Equal(problem.InvalidRequest))
		Expect(got.problem.NotRun).To(BeTrue())
		Expect(got.problem.Detail).To(ContainSubstring("more than"))
	},
		Entry("many messages", `{"model":"small","messages":[`+strings.Repeat(`{"role":"user","content":"a"},`, 1000)+`{"role":"user","content":"a"}]}`),
		Entry("many fields", `{"model":"small"`+strings.Repeat(`,"a":0`, 2000)+`}`),
		Entry("deep nesting", `{"model":"small","messages":`+strings.Repeat("[", 30)+strings.Repeat("]", 30)+`}`),
	)
})
