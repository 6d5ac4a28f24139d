package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

// restartable is a backend server that can be stopped and started again at its address. The address is apart from 127.0.0.1, from which
// other tests and processes connect: while the server is away, one of their connections could take its port.
type restartable struct {
	address string
	handler http.HandlerFunc
	server  *http.Server
}

func newRestartable(handler http.HandlerFunc) *restartable {
	GinkgoHelper()
	r := &restartable{address: "127.0.0.2:0", handler: handler}
	r.start()
	DeferCleanup(func() { _ = r.server.Close() })
	return r
}

func (r *restartable) start() {
	GinkgoHelper()
	l, err := net.Listen("tcp", r.address)
	Expect(err).NotTo(HaveOccurred())
	r.address, r.server = l.Addr().String(), &http.Server{Handler: r.handler}
	go func(s *http.Server) { _ = s.Serve(l) }(r.server)
}

// crash closes all connections and refuses new ones.
func (r *restartable) crash() { _ = r.server.Close() }

// row returns the server's row of its first start, which is warm.
func (r *restartable) row(id string) *control.BackendServer {
	return &control.BackendServer{Phase: control.PhaseInService, Announcement: control.Announcement{
		ID: id, Boot: id + "-1", Address: r.address, Service: "orders", AvailabilityZone: "a", Capacity: 100, StatesCold: true, Sequence: 1,
	}}
}

const (
	coldPerSecond = 14
	coldSeconds   = 3
)

// serveCold sets the rows and one idempotent or streamed route to a service whose servers are cold after their start.
func (s *harness) serveCold(kind string, rows ...*control.BackendServer) {
	s.table.Members = []control.Member{{Instance: "entry-1"}}
	s.changeCatalogue(func(c *catalogue.Catalogue) {
		c.Routes = []catalogue.Route{{Name: "r", Host: "127.0.0.1", PathPrefix: "/r/", Kind: catalogue.RouteKind(kind), Resumable: true, MaxAttempts: 3,
			TimeLimitMillis: 3000, Targets: []catalogue.Target{{Service: "orders", Weight: 1}}}}
		c.Services[0].Pool = &catalogue.Pool{ColdSeconds: coldSeconds, ColdPerSecond: coldPerSecond}
	})
	s.setServers(catalogue.VersionRef{}, rows...)
}

var _ = Describe("a backend server that starts again under its id", func() {
	// Guards against a flood of a cold server: the row of the new start arrives only with a later Sync, but the instance was refused
	// while the server was away.
	It("gets its cold rate from an instance that was refused meanwhile", func() {
		var reached atomic.Int64
		restarting := newRestartable(func(w http.ResponseWriter, r *http.Request) {
			reached.Add(1)
			respond(http.StatusOK, "well")(w, r)
		})
		other := newRestartable(respond(http.StatusOK, "well"))
		s := newHarness(nil)
		s.serveCold(string(catalogue.KindIdempotent), restarting.row("b1"), other.row("b2"))
		stop, callers := make(chan struct{}), sync.WaitGroup{}
		var answered, failed atomic.Int64
		for caller := range 8 {
			callers.Go(func() {
				defer GinkgoRecover()
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					if send(s.request("POST", "/r/x", fmt.Sprint(caller, "/", n))).status == http.StatusOK {
						answered.Add(1)
					} else {
						failed.Add(1)
					}
				}
			})
		}
		Eventually(reached.Load, "5s").Should(BeNumerically(">", 5))
		restarting.crash()
		time.Sleep(700 * time.Millisecond)
		restarting.start()
		before := reached.Load()
		time.Sleep(time.Second)
		got := reached.Load() - before
		// A server that failed several times in a row is avoided for up to 4 s.
		Eventually(func() int64 { return reached.Load() - before }, "5s").Should(BeNumerically(">", 0), "a server that is back is used again")
		close(stop)
		callers.Wait()
		Expect(got).To(BeNumerically("<=", coldPerSecond*3/2+5), "requests in the second after the restart")
		Expect(failed.Load()).To(BeNumerically("<=", answered.Load()/50))
	})

	// Guards against an attempt on the new start that is cancelled and counted as a crash, because the instance sent it on the row of
	// the old start and learns of the new one while it runs.
	It("keeps the attempts that it got after the restart", func() {
		release := make(chan struct{})
		var reached atomic.Int64
		restarting := newRestartable(func(w http.ResponseWriter, r *http.Request) {
			reached.Add(1)
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = fmt.Fprint(w, "id: 1\ndata: 1\n\n")
			w.(http.Flusher).Flush()
			waitForRelease(r, release)
			_, _ = fmt.Fprint(w, "id: 2\ndata: 2\n\n")
		})
		s := newHarness(nil)
		row := restarting.row("b1")
		s.serveCold(string(catalogue.KindStream), row)
		restarting.crash()
		Expect(send(s.request("POST", "/r/x", "refused")).status).NotTo(Equal(http.StatusOK))
		restarting.start()
		var got reply
		ended := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(ended)
			got = send(s.request("POST", "/r/x", "on the new start"))
		}()
		Eventually(reached.Load).Should(BeEquivalentTo(1))
		next := *row
		next.Boot, next.Sequence, next.ColdMillis = "b1-2", 1, 2500
		s.setServers(catalogue.VersionRef{}, &next)
		time.Sleep(200 * time.Millisecond)
		close(release)
		Eventually(ended, "3s").Should(BeClosed())
		Expect(got.cut).To(BeFalse())
		Expect(got.body).To(Equal("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"))
		Expect(reached.Load()).To(BeEquivalentTo(1), "the stream was not sent again")
		Expect(s.control.reportedCrashes()).To(BeEmpty())
	})
})

// reportedCrashes returns the crash reports so far.
func (c *fakeControl) reportedCrashes() []control.ReportCrashRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]control.ReportCrashRequest(nil), c.crashReports...)
}

var _ = Describe("an instance whose fleet table is old", func() {
	serveOld := func() (*harness, *atomic.Int64, *control.BackendServer) {
		var reached atomic.Int64
		server := newRestartable(func(w http.ResponseWriter, r *http.Request) {
			reached.Add(1)
			respond(http.StatusOK, "well")(w, r)
		})
		s := newHarness(nil)
		row := server.row("b1")
		s.serveCold(string(catalogue.KindIdempotent), row)
		s.table.ReceivedAt = time.Now().Add(-2 * time.Second)
		s.fleet.Publish(s.table)
		return s, &reached, row
	}

	// Guards against a flood of cold servers by instances that stood still while these started: their tables say that the servers are warm.
	It("waits for the next one before it sends requests to servers that may be cold", func() {
		s, reached, row := serveOld()
		for range 8 {
			r := s.request("POST", "/r/x", "")
			go func() {
				// Most of these are still waiting when the spec ends.
				if answer, err := http.DefaultClient.Do(r); err == nil {
					_ = answer.Body.Close()
				}
			}()
		}
		Consistently(reached.Load, "60ms").Should(BeZero())
		next := *row
		next.Boot, next.ColdMillis = "b1-2", 2500
		s.setServers(catalogue.VersionRef{}, &next)
		time.Sleep(100 * time.Millisecond)
		Expect(reached.Load()).To(BeNumerically("<=", 2), "at the cold rate")
	})

	// Guards against requests that wait for a table that does not come, as in an instance that is cut off from the control group.
	It("does not wait long, and not again, if none comes", func() {
		s, reached, _ := serveOld()
		began := time.Now()
		Expect(send(s.request("POST", "/r/x", "")).status).To(Equal(http.StatusOK))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		for range 3 {
			began = time.Now()
			Expect(send(s.request("POST", "/r/x", "")).status).To(Equal(http.StatusOK))
			Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
		}
		Expect(reached.Load()).To(BeEquivalentTo(4))
	})
})
