package entry_test

import (
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/problem"
	"clementinetray/server/entry"
)

// controlledRoutes returns a handler under test with overload control and one backend server with one slot. The requests of the route /r/
// have rank 1, those of /u/ rank 0. Requests whose path ends with /hold run until they receive from release; order returns the paths of the
// requests that reached the server.
func controlledRoutes(limitMillis int, release chan struct{}) (s *harness, order func() []string) {
	var mu sync.Mutex
	var paths []string
	b := newBackend("b1", func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		paths = append(paths, r.URL.Path)
		mu.Unlock()
		if strings.HasSuffix(r.URL.Path, "/hold") {
			waitForRelease(r, release)
		}
		respond(http.StatusOK, "well")(w, r)
	})
	s = newHarness(func(c *entry.Config) { c.OverloadControl = true })
	s.changeCatalogue(func(c *catalogue.Catalogue) {
		for rank, name := range []string{"u", "r"} {
			c.Routes = append(c.Routes, catalogue.Route{
				Name: name, Host: "127.0.0.1", PathPrefix: "/" + name + "/", Kind: catalogue.KindIdempotent, Rank: rank, MaxAttempts: 1,
				Targets: []catalogue.Target{{Service: "orders", Weight: 1}}, TargetMillis: 2000, TimeLimitMillis: limitMillis,
			})
		}
		c.Services[0].Pool = &catalogue.Pool{}
	})
	s.addServers("v1", b)
	row := *s.table.ByService["orders"][0]
	row.Capacity = 1
	s.setServers(catalogue.VersionRef{}, &row)
	return s, func() []string {
		mu.Lock()
		defer mu.Unlock()
		return append([]string(nil), paths...)
	}
}

var _ = Describe("overload control", func() {
	waiting := func(s *harness) func() float64 {
		return func() float64 { return counterValue(s, "clementinetray_entry_waiting_requests", "") }
	}
	start := func(s *harness, path string) chan reply {
		answer := make(chan reply, 1)
		r := s.request("POST", path, "body")
		go func() {
			defer GinkgoRecover()
			answer <- send(r)
		}()
		return answer
	}

	It("serves waiting requests by rank (guards against urgent requests behind others that came first)", func() {
		release := make(chan struct{})
		s, order := controlledRoutes(8000, release)
		running := []chan reply{start(s, "/u/hold"), start(s, "/u/hold")}
		Eventually(order).Should(HaveLen(2))
		less := start(s, "/r/less/hold")
		Eventually(waiting(s)).Should(Equal(1.0))
		more := start(s, "/u/more/hold")
		Eventually(waiting(s)).Should(Equal(2.0))
		// With one of the two ended, there is room for one request.
		release <- struct{}{}
		Eventually(order).Should(HaveLen(3))
		Consistently(order, "300ms").Should(HaveLen(3))
		close(release)
		for _, answer := range append(running, less, more) {
			Expect((<-answer).status).To(Equal(http.StatusOK))
		}
		Expect(order()[2:]).To(Equal([]string{"/u/more/hold", "/r/less/hold"}))
	})

	It("rejects a request that finds no capacity while its caller can still use the rejection (guards against requests that wait until their caller leaves)", func() {
		release := make(chan struct{})
		s, order := controlledRoutes(2000, release)
		running := []chan reply{start(s, "/u/hold"), start(s, "/u/hold")}
		defer func() {
			close(release)
			for _, answer := range running {
				<-answer
			}
		}()
		Eventually(order).Should(HaveLen(2))
		began := time.Now()
		got := send(s.request("POST", "/r/late", "body"))
		Expect(got.problem.Reason).To(Equal(problem.Overloaded))
		Expect(got.problem.NotRun).To(BeTrue())
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(time.Since(began)).To(BeNumerically("<", 1500*time.Millisecond))
		Expect(order()).To(HaveLen(2))
		Expect(counterValue(s, "clementinetray_entry_admissions_total", "reject")).To(Equal(1.0))
	})

	It("asks for the standing of the caller's workspace (guards against shares without effect)", func() {
		asked := make(chan string, 1)
		s := newHarness(func(c *entry.Config) {
			c.OverloadControl, c.Standings = true, standingsFunc(func(name string) { asked <- name })
		})
		s.setRoute(catalogue.Route{Kind: catalogue.KindIdempotent, TargetMillis: 2000, MaxAttempts: 1})
		s.addServers("v1", newBackend("b1", respond(http.StatusOK, "well")))
		Expect(send(s.request("POST", "/r/x", "body")).status).To(Equal(http.StatusOK))
		Expect(asked).To(Receive(Not(BeEmpty())))
	})
})

// standingsFunc calls the function with each workspace whose standing is asked for. Every standing is unknown.
type standingsFunc func(workspace string)

// Standing implements entry.Standings.
func (f standingsFunc) Standing(workspace string, _ time.Time) (float64, bool) {
	f(workspace)
	return 0, false
}
