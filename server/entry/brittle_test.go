package entry_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

// brittleServer is a backend server that refuses requests beyond its slots, and states its limit while that is set.
type brittleServer struct {
	slots            int
	running, refused atomic.Int64
	limit            atomic.Int64
}

func (b *brittleServer) handle(w http.ResponseWriter, r *http.Request) {
	defer b.running.Add(-1)
	if limit := b.limit.Load(); limit > 0 {
		w.Header().Set("Clementinetray-Brittle", fmt.Sprint(limit))
	}
	if b.running.Add(1) > int64(b.slots) {
		b.refused.Add(1)
		refuseNotRun(w, r)
		return
	}
	select {
	case <-time.After(20 * time.Millisecond):
	case <-r.Context().Done():
	}
	respond(http.StatusOK, "well")(w, r)
}

var _ = Describe("a brittle backend server", func() {
	const requestsAtOnce = 20
	route := catalogue.Route{Kind: catalogue.KindIdempotent, MaxAttempts: 3, TimeLimitMillis: 5000}
	var server *brittleServer
	var s *harness
	BeforeEach(func() {
		server = &brittleServer{slots: 2}
		server.limit.Store(3)
		s = newRoutedHarness(route, newBackend("b1", server.handle))
		s.table.Members = []control.Member{{Instance: "entry-1"}}
		row := *s.table.ByService["orders"][0]
		row.Capacity = server.slots
		s.setServers(catalogue.VersionRef{}, &row)
	})
	// sendAtOnce sends requests at the same time, and returns how many were answered.
	sendAtOnce := func() int {
		var callers sync.WaitGroup
		var answered atomic.Int64
		for n := range requestsAtOnce {
			callers.Go(func() {
				defer GinkgoRecover()
				if send(s.request("POST", "/r/x", fmt.Sprint("body", n))).status == http.StatusOK {
					answered.Add(1)
				}
			})
		}
		callers.Wait()
		return int(answered.Load())
	}

	// Guards against requests beyond the server's slots, of which it would turn more away than it can stand. They wait in the instance.
	It("gets no more requests at once than it has slots", func() {
		Expect(send(s.request("POST", "/r/x", "first")).status).To(Equal(http.StatusOK))
		Expect(sendAtOnce()).To(Equal(requestsAtOnce))
		Expect(server.refused.Load()).To(BeZero())
	})

	// Guards against an instance that sends the next request at once when the server had no room for one: all that wait would be turned
	// away within a moment.
	It("gets the next requests later after it turned one away", func() {
		const enough = 12
		var refusals []time.Time
		var mu sync.Mutex
		s = newRoutedHarness(route, newBackend("b1", func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			refusals = append(refusals, time.Now())
			w.Header().Set("Clementinetray-Brittle", "3")
			refuseNotRun(w, r)
		}))
		s.table.Members = []control.Member{{Instance: "entry-1"}}
		row := *s.table.ByService["orders"][0]
		row.Capacity, row.BrittleLimit = 2, 3
		s.setServers(catalogue.VersionRef{}, &row)
		sendAtOnce()
		mu.Lock()
		defer mu.Unlock()
		Expect(len(refusals)).To(BeNumerically(">=", enough))
		Expect(refusals[enough-1].Sub(refusals[0])).To(BeNumerically(">", 400*time.Millisecond))
	})

	It("is reported to the control group with its limit, and so is the end", func() {
		Expect(send(s.request("POST", "/r/x", "first")).status).To(Equal(http.StatusOK))
		reports := s.handler.TakeBrittle()
		Expect(reports).To(HaveLen(1))
		Expect(reports[0].BackendServer + "/" + reports[0].Boot).To(Equal("b1/b1-1"))
		Expect(reports[0].Limit).To(Equal(3))
		server.limit.Store(0)
		Expect(send(s.request("POST", "/r/x", "second")).status).To(Equal(http.StatusOK))
		reports = s.handler.TakeBrittle()
		Expect(reports).To(HaveLen(1))
		Expect(reports[0].Limit).To(BeZero())
	})

	// Guards against an instance that floods a server which another instance knows to be brittle.
	It("is obeyed from the fleet table before the first answer", func() {
		row := *s.table.ByService["orders"][0]
		row.BrittleLimit = 3
		s.setServers(catalogue.VersionRef{}, &row)
		Expect(sendAtOnce()).To(Equal(requestsAtOnce))
		Expect(server.refused.Load()).To(BeZero())
	})

	// Guards against limits that outlast the statement, and that the next start inherits. The server refuses requests then, as the instance
	// may let some wait there.
	It("gets requests as any other once its answers no longer say so", func() {
		Expect(send(s.request("POST", "/r/x", "first")).status).To(Equal(http.StatusOK))
		server.limit.Store(0)
		Expect(send(s.request("POST", "/r/x", "second")).status).To(Equal(http.StatusOK))
		sendAtOnce()
		Expect(server.refused.Load()).To(BeNumerically(">", 0))
	})
	It("gets requests as any other after a new start that does not say so", func() {
		Expect(send(s.request("POST", "/r/x", "first")).status).To(Equal(http.StatusOK))
		server.limit.Store(0)
		row := *s.table.ByService["orders"][0]
		row.Boot = "b1-2"
		s.setServers(catalogue.VersionRef{}, &row)
		sendAtOnce()
		Expect(server.refused.Load()).To(BeNumerically(">", 0))
	})
})
