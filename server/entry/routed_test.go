package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/entry"
	"clementinetray/server/routing"
)

// newRoutedHarness returns a handler under test with one route from the path /r/ to the service "orders", which the backends
// serve as version v1.
func newRoutedHarness(route catalogue.Route, backends ...*backend) *harness {
	s := newHarness(func(c *entry.Config) { c.RoutedRetryRatio, c.RoutedRetrySlack = 1, 100 })
	s.setRoute(route)
	s.addServers("v1", backends...)
	return s
}

func (s *harness) setRoute(route catalogue.Route, others ...catalogue.Route) {
	route.Name, route.Host, route.PathPrefix = "r", "127.0.0.1", "/r/"
	route.Targets = []catalogue.Target{{Service: "orders", Weight: 1}}
	if route.TimeLimitMillis == 0 {
		route.TimeLimitMillis = 2000
	}
	s.changeCatalogue(func(c *catalogue.Catalogue) {
		c.Routes = append([]catalogue.Route{route}, others...)
		c.Services[0].Pool = &catalogue.Pool{Engine: &catalogue.Engine{Slots: 8, Models: []catalogue.EngineModel{
			{Name: "small", CostPerThousandTokens: 1}, {Name: "large", CostPerThousandTokens: 10},
		}}}
	})
}

func (s *harness) addServers(version string, backends ...*backend) {
	rows := s.table.ByService["orders"]
	for _, b := range backends {
		r := serverRow(b)
		r.SoftwareVersion, r.StatesCold, r.Service = version, true, "orders"
		rows = append(rows, r)
	}
	s.setServers(catalogue.VersionRef{}, rows...)
}

// respond returns a handler that answers with the status and the body, and with the id that the router requires.
func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// refuseNotRun refuses the request and says that it did not run.
func refuseNotRun(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Clementinetray-Not-Run", "1")
	respond(http.StatusServiceUnavailable, "")(w, r)
}

func answerOfOtherRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Attempt-Id", "of-another-request")
	_, _ = io.WriteString(w, "another caller's answer")
}

// streamEvents returns a handler that streams up to count numbered events, of six in all, and starts after the caller's
// Last-Event-ID. After them it calls then, if it isn't nil.
func streamEvents(count int, then func(http.ResponseWriter)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		first := 1
		if last := r.Header.Get("Last-Event-ID"); last != "" {
			_, err := fmt.Sscan(last, &first)
			Expect(err).NotTo(HaveOccurred())
			first++
		}
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := first; i < first+count && i <= 6; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			w.(http.Flusher).Flush()
		}
		if then != nil {
			then(w)
		}
	}
}

// cutInEvent aborts the connection in the middle of an event.
func cutInEvent(w http.ResponseWriter) {
	_, _ = io.WriteString(w, "id: 9\ndata: hal")
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// endInEvent ends the body regularly, but in the middle of an event, as happens to a body without a length when its server dies.
func endInEvent(w http.ResponseWriter) { _, _ = io.WriteString(w, "id: 9\ndata: hal") }

const sixEvents = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\nid: 5\ndata: 5\n\nid: 6\ndata: 6\n\n"

var _ = Describe("routed requests", func() {
	once := catalogue.Route{Kind: catalogue.KindNonIdempotent, MaxAttempts: 3}
	idempotent := catalogue.Route{Kind: catalogue.KindIdempotent, MaxAttempts: 3}

	// Guards against a request that runs twice, a refusal with a wrong not-run mark, and a request that fails though another
	// backend server could answer it. The first call gets the fault, later ones get a good answer.
	DescribeTable("a fault of the first backend server",
		func(route catalogue.Route, fault http.HandlerFunc, wantStatus int, wantNotRun bool, wantCalls int) {
			var calls atomic.Int64
			serve := func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 1 {
					fault(w, r)
					return
				}
				respond(http.StatusOK, "well")(w, r)
			}
			s := newRoutedHarness(route, newBackend("b1", serve), newBackend("b2", serve), newBackend("b3", serve))
			got := send(s.request("POST", "/r/x", "body"))
			Expect(got.status).To(Equal(wantStatus))
			Expect(got.problem.NotRun).To(Equal(wantNotRun))
			Expect(calls.Load()).To(Equal(int64(wantCalls)))
		},
		Entry("a closed connection is not retried where the request may run only once", once, cutAtOnce, http.StatusConflict, false, 1),
		Entry("a closed connection is retried where the request is idempotent", idempotent, cutAtOnce, http.StatusOK, false, 2),
		Entry("a truncated answer is not retried where the request may run only once", once, cutInBody, http.StatusConflict, false, 1),
		Entry("a truncated answer is retried where the request is idempotent", idempotent, cutInBody, http.StatusOK, false, 2),
		Entry("a request that is marked as not run is always retried", once, refuseNotRun, http.StatusOK, false, 2),
		Entry("another request's answer is not retried where the request may run only once", once, answerOfOtherRequest, http.StatusConflict, false, 1),
		Entry("another request's answer is retried where the request is idempotent", idempotent, answerOfOtherRequest, http.StatusOK, false, 2),
		Entry("a status 500 is relayed where the request may run only once", once, respond(http.StatusInternalServerError, "sorry"), http.StatusInternalServerError, false, 1),
		Entry("a status 500 is retried where the request is idempotent", idempotent, respond(http.StatusInternalServerError, "sorry"), http.StatusOK, false, 2),
		Entry("a missing answer is refused at the route's time limit", catalogue.Route{Kind: catalogue.KindNonIdempotent, TimeLimitMillis: 300}, hang, http.StatusGatewayTimeout, false, 1),
	)

	// Guards against callers that wait for a lost answer until their time limit, and against a request that runs twice though it
	// isn't idempotent.
	DescribeTable("a backend server that does not answer",
		func(route catalogue.Route, wantStatus int) {
			var calls atomic.Int64
			serve := func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 1 {
					hang(w, r)
					return
				}
				respond(http.StatusOK, "well")(w, r)
			}
			route.TimeLimitMillis, route.TargetMillis = 1500, 100
			s := newRoutedHarness(route, newBackend("b1", serve), newBackend("b2", serve))
			started := time.Now()
			Expect(send(s.request("POST", "/r/x", "body")).status).To(Equal(wantStatus))
			if wantStatus == http.StatusOK {
				Expect(time.Since(started)).To(BeNumerically("<", time.Second))
			} else {
				Expect(calls.Load()).To(BeEquivalentTo(1))
			}
		},
		Entry("is replaced by another one where the request is idempotent", idempotent, http.StatusOK),
		Entry("is waited for where the request may run only once", once, http.StatusGatewayTimeout),
		Entry("is waited for when no further attempt is allowed", catalogue.Route{Kind: catalogue.KindIdempotent, MaxAttempts: 1}, http.StatusGatewayTimeout),
	)

	// Guards against callers that wait for another backend server when there is none, instead of getting the failure answer.
	It("relays a status 500 at once when no other backend server is left", func() {
		s := newRoutedHarness(idempotent, newBackend("b1", respond(http.StatusInternalServerError, "sorry")))
		started := time.Now()
		got := send(s.request("POST", "/r/x", "body"))
		Expect(got.status).To(Equal(http.StatusInternalServerError))
		Expect(got.body).To(Equal("sorry"))
		Expect(time.Since(started)).To(BeNumerically("<", 500*time.Millisecond))
	})

	// Guards against requests that fail because backend servers of the fleet table were replaced by others on the same addresses,
	// and against requests that are still sent there until the table is updated.
	It("counts no attempt for a backend server whose address another one has now, and avoids it", func() {
		var misdirected atomic.Int64
		moved := func(w http.ResponseWriter, r *http.Request) {
			misdirected.Add(1)
			w.Header().Set("Clementinetray-Not-Run", "1")
			respond(http.StatusMisdirectedRequest, "")(w, r)
		}
		s := newRoutedHarness(catalogue.Route{Kind: catalogue.KindNonIdempotent, MaxAttempts: 1}, newBackend("b1", moved), newBackend("b2", moved),
			newBackend("b3", moved), newBackend("b4", respond(http.StatusOK, "well")))
		for range 20 {
			Expect(send(s.request("POST", "/r/x", "body")).status).To(Equal(http.StatusOK))
		}
		Expect(misdirected.Load()).To(BeNumerically("<=", 3))
	})

	// Guards against requests that fail because the first backend servers refuse connections, though another one works.
	It("counts no attempt for a backend server that refuses the connection", func() {
		s := newHarness(func(c *entry.Config) { c.RoutedRetryRatio, c.RoutedRetrySlack = 0, 0 })
		s.setRoute(catalogue.Route{Kind: catalogue.KindNonIdempotent, MaxAttempts: 1})
		working := serverRow(newBackend("b1", respond(http.StatusOK, "well")))
		rows := []*control.BackendServer{refusingServerRow("d1"), refusingServerRow("d2"), refusingServerRow("d3"), working}
		for _, r := range rows {
			r.SoftwareVersion, r.StatesCold, r.Service = "v1", true, "orders"
		}
		s.setServers(catalogue.VersionRef{}, rows...)
		for range 5 {
			Expect(send(s.request("POST", "/r/x", "body")).status).To(Equal(http.StatusOK))
		}
	})

	// Guards against limits of the catalogue that aren't enforced, and against limits of the settings that are used in their
	// place.
	DescribeTable("the catalogue's size limits",
		func(limits catalogue.CallerLimits, size int, header string, wantStatus int, wantReason problem.Reason) {
			s := newRoutedHarness(idempotent, newBackend("b1", respond(http.StatusOK, "well")))
			limited := *s.current.Catalogue
			limited.Limits = limits
			s.current.Catalogue = &limited
			s.publishView(time.Now())
			got := send(s.request("POST", "/r/x", strings.Repeat("x", size), "X-Long", header))
			Expect(got.status).To(Equal(wantStatus))
			Expect(got.problem.Reason).To(Equal(wantReason))
		},
		Entry("a body within the limit", catalogue.CallerLimits{MaxBodyBytes: 3000}, 3000, "", http.StatusOK, problem.Reason("")),
		Entry("a body over the limit", catalogue.CallerLimits{MaxBodyBytes: 3000}, 3001, "", http.StatusRequestEntityTooLarge, problem.BodyTooLarge),
		Entry("a header within the limit", catalogue.CallerLimits{MaxHeaderBytes: 2000}, 0, strings.Repeat("x", 1000), http.StatusOK, problem.Reason("")),
		Entry("a header over the limit", catalogue.CallerLimits{MaxHeaderBytes: 2000}, 0, strings.Repeat("x", 2000),
			http.StatusRequestHeaderFieldsTooLarge, problem.HeaderTooLarge),
		Entry("no limits stated", catalogue.CallerLimits{}, 10, strings.Repeat("x", 2000), http.StatusOK, problem.Reason("")),
	)

	It("relays a backend server's failure answer when each attempt fails", func() {
		s := newRoutedHarness(idempotent, newBackend("b1", respond(500, "sorry")), newBackend("b2", respond(500, "sorry")))
		got := send(s.request("GET", "/r/x", ""))
		Expect(got.status).To(Equal(500))
		Expect(got.body).To(Equal("sorry"))
	})

	It("makes no more attempts than the route allows", func() {
		var calls atomic.Int64
		fault := func(w http.ResponseWriter, r *http.Request) { calls.Add(1); refuseNotRun(w, r) }
		s := newRoutedHarness(catalogue.Route{Kind: catalogue.KindIdempotent, MaxAttempts: 2},
			newBackend("b1", fault), newBackend("b2", fault), newBackend("b3", fault))
		got := send(s.request("GET", "/r/x", ""))
		Expect(got.problem.NotRun).To(BeTrue())
		Expect(calls.Load()).To(Equal(int64(2)))
	})

	// Guards against refusals with the wrong reason, such as 404 or 401 while the view is too old, and without the not-run mark.
	DescribeTable("refusals before the body is read",
		func(prepare func(*harness, *http.Request), wantReason problem.Reason) {
			s := newRoutedHarness(idempotent, newBackend("b1", respond(200, "")))
			r := s.request("GET", "/r/x", "")
			prepare(s, r)
			got := send(r)
			Expect(got.problem.Reason).To(Equal(wantReason))
			Expect(got.problem.NotRun).To(BeTrue())
		},
		Entry("no key", func(_ *harness, r *http.Request) { r.Header.Del("Authorization") }, problem.Unauthorized),
		Entry("an unknown key", func(_ *harness, r *http.Request) { r.Header.Set("Authorization", "Bearer no") }, problem.Unauthorized),
		Entry("a path without a route", func(_ *harness, r *http.Request) { r.URL.Path = "/other/x" }, problem.NotFound),
		Entry("an unreadable deadline", func(_ *harness, r *http.Request) { r.Header.Set(entry.HeaderDeadline, "soon") }, problem.InvalidRequest),
		Entry("a view that is too old", func(s *harness, _ *http.Request) { s.publishView(time.Now().Add(-time.Hour)) }, problem.ViewStale),
	)

	It("requires no key on an anonymous route", func() {
		s := newRoutedHarness(catalogue.Route{Kind: catalogue.KindIdempotent, Anonymous: true}, newBackend("b1", respond(200, "well")))
		r := s.request("GET", "/r/x", "")
		r.Header.Del("Authorization")
		Expect(send(r).body).To(Equal("well"))
	})

	// Guards against callers that forge headers of the router, and against callers' keys that reach backend servers.
	It("replaces the router's own headers in what the caller sent", func() {
		b := newBackend("b1", respond(200, ""))
		s := newRoutedHarness(idempotent, b)
		send(s.request("GET", "/r/x?a=1", "", "Clementinetray-Workspace", "other", "Clementinetray-Backend-Server", "b9", "X-Own", "kept"))
		got := b.requests()[0]
		Expect(got.path).To(Equal("/r/x?a=1"))
		Expect(got.header).NotTo(HaveKey("Authorization"))
		Expect(got.header.Get("Clementinetray-Workspace")).To(Equal("acme"))
		Expect(got.header.Get("Clementinetray-Backend-Server")).To(Equal("b1"))
		Expect(got.header.Get("X-Own")).To(Equal("kept"))
	})

	It("cancels the attempt when the caller disconnects", func() {
		ended := make(chan struct{})
		s := newRoutedHarness(idempotent, newBackend("b1", func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(ended)
		}))
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			time.Sleep(50 * time.Millisecond)
			cancel()
		}()
		_, err := http.DefaultClient.Do(s.request("POST", "/r/x", "body").WithContext(ctx))
		Expect(err).To(HaveOccurred())
		Eventually(ended, 500*time.Millisecond).Should(BeClosed())
	})

	// Guards against a session that moves to the new version early in a roll-out because its next request arrives at an entry
	// instance that has not served it before.
	It("keeps a session on its software version at every instance while a roll-out begins", func() {
		old, fresh := newBackend("old", respond(http.StatusOK, "old")), newBackend("new", respond(http.StatusOK, "new"))
		sites := make([]*harness, 2)
		for i := range sites {
			s := newHarness(nil)
			s.setRoute(idempotent)
			s.addServers("v1", old)
			s.addServers("v2", fresh)
			sites[i] = s
		}
		sites[0].handler.SetSessionSender(sites[1].handler.ReceiveSessions)
		rollOut := func(percent int) {
			r := control.ServiceRollout{Service: "orders", Order: 1, To: "v2", Seconds: 24, State: control.RolloutRunning, Percent: percent}
			for _, s := range sites {
				s.current.Rollouts = &control.Rollouts{Services: map[string]control.ServiceRollout{"orders": r}}
				s.publishView(time.Now())
			}
		}
		ask := func(s *harness, session string) string {
			return send(s.request("GET", "/r/x", "", entry.HeaderSession, session)).body
		}
		var inShare []string
		for n := 0; len(inShare) < 2; n++ {
			session := fmt.Sprint("session-", n)
			if routing.InRolloutShare("acme/"+session, "v2", control.InitialRolloutPercent) {
				inShare = append(inShare, session)
			}
		}
		active, later := inShare[0], inShare[1]
		rollOut(0)
		Expect(ask(sites[0], active)).To(Equal("old"), "before the first share")
		time.Sleep(700 * time.Millisecond)
		rollOut(control.InitialRolloutPercent)
		Expect(ask(sites[1], active)).To(Equal("old"), "the session was active before")
		Expect(ask(sites[1], later)).To(Equal("new"), "a session that begins later is in the share")
		Expect(ask(sites[0], later)).To(Equal("new"))
	})

	It("reports not ready at once when it stops, and serves until the load balancer has reacted", func() {
		s := newHarness(func(c *entry.Config) {
			c.DrainDelay, c.StreamDrainDelay = 300*time.Millisecond, 100*time.Millisecond
		})
		s.setRoute(idempotent)
		s.addServers("v1", newBackend("b1", respond(200, "well")))
		drained := make(chan error, 1)
		go func() { drained <- s.handler.Drain(context.Background()) }()
		Eventually(func() int { return send(s.request("GET", "/readyz", "")).status }).Should(Equal(http.StatusServiceUnavailable))
		Expect(send(s.request("GET", "/r/x", "")).status).To(Equal(http.StatusOK))
		s.setRoute(catalogue.Route{Kind: catalogue.KindStream})
		time.Sleep(120 * time.Millisecond)
		Expect(send(s.request("GET", "/r/x", "")).problem.Reason).To(Equal(problem.Stopping), "a stream that begins late might not end in time")
		Eventually(drained).Should(Receive(BeNil()))
		s.setRoute(idempotent)
		Expect(send(s.request("GET", "/r/x", "")).problem.Reason).To(Equal(problem.Stopping))
	})
})

var _ = Describe("routed streams", func() {
	resumable := catalogue.Route{Kind: catalogue.KindStream, Resumable: true, MaxAttempts: 3}

	// Guards against events that are lost, repeated or put together from two attempts.
	DescribeTable("a stream whose attempt breaks off",
		func(route catalogue.Route, first func(http.ResponseWriter), wantBody string, wantCut bool) {
			var calls atomic.Int64
			serve := func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 1 {
					streamEvents(3, first)(w, r)
					return
				}
				streamEvents(6, nil)(w, r)
			}
			s := newRoutedHarness(route, newBackend("b1", serve), newBackend("b2", serve))
			got := send(s.request("POST", "/r/x", "body"))
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.body).To(Equal(wantBody))
			Expect(got.cut).To(Equal(wantCut))
		},
		Entry("between two events continues on another backend server", resumable, abortConnection, sixEvents, false),
		Entry("in the middle of an event continues without the partial event", resumable, cutInEvent, sixEvents, false),
		Entry("in the middle of an event continues also when the body ends regularly", resumable, endInEvent, sixEvents, false),
		Entry("is aborted where the route is not resumable", catalogue.Route{Kind: catalogue.KindStream, MaxAttempts: 3}, abortConnection,
			"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n", true),
	)

	It("continues after the last event that the caller has", func() {
		s := newRoutedHarness(resumable, newBackend("b1", streamEvents(6, nil)))
		got := send(s.request("POST", "/r/x", "body", "Last-Event-ID", "4"))
		Expect(got.body).To(Equal("id: 5\ndata: 5\n\nid: 6\ndata: 6\n\n"))
	})

	It("relays each event as it arrives", func() {
		release := make(chan struct{})
		s := newRoutedHarness(resumable, newBackend("b1", func(w http.ResponseWriter, r *http.Request) {
			streamEvents(1, nil)(w, r)
			waitForRelease(r, release)
			_, _ = io.WriteString(w, "id: 2\ndata: 2\n\n")
		}))
		answer, err := http.DefaultClient.Do(s.request("POST", "/r/x", "body"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = answer.Body.Close() }()
		first := make([]byte, len("id: 1\ndata: 1\n\n"))
		_, err = io.ReadFull(answer.Body, first)
		Expect(err).NotTo(HaveOccurred())
		close(release)
		rest, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).To(Equal("id: 2\ndata: 2\n\n"))
	})
})

var _ = Describe("software versions", func() {
	It("are not used after their roll-out was rolled back", func() {
		old, fresh := newBackend("b1", respond(200, "old")), newBackend("b2", respond(200, "new"))
		s := newRoutedHarness(catalogue.Route{Kind: catalogue.KindIdempotent}, old)
		s.addServers("v2", fresh)
		s.current.Rollouts = rolledBackRollouts("orders", "v2")
		s.publishView(time.Now())
		for range 20 {
			Expect(send(s.request("GET", "/r/x", "")).body).To(Equal("old"))
		}
	})
})

var _ = Describe("a routed request that crashes backend servers", func() {
	idempotent := catalogue.Route{Kind: catalogue.KindIdempotent, MaxAttempts: 3}
	// fragile returns a backend server that crashes on a request to /r/poison and answers all others.
	fragile := func(id string) *backend {
		var b *backend
		b = newBackend(id, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/r/poison" {
				_ = b.server.Listener.Close()
				panic(http.ErrAbortHandler)
			}
			respond(http.StatusOK, "well")(w, r)
		})
		return b
	}

	// Guards against a request that crashes one backend server after the other, under a new id each time and on any instance.
	It("is quarantined after three crashes, also on other instances by the view, and other requests are answered", func() {
		var backends []*backend
		for n := range 6 {
			backends = append(backends, fragile(fmt.Sprint("b", n)))
		}
		s := newRoutedHarness(idempotent, backends...)
		Expect(send(s.request("POST", "/r/poison", "body")).status).NotTo(Equal(http.StatusOK))
		Eventually(s.control.crashCount).Should(Equal(3))
		var got reply
		Eventually(func() problem.Reason {
			got = send(s.request("POST", "/r/x", "body"))
			Expect(got.status).To(Equal(http.StatusOK))
			got = send(s.request("POST", "/r/poison", "body"))
			return got.problem.Reason
		}).Should(Equal(problem.Quarantined))
		Expect(s.control.crashCount()).To(Equal(3))

		elsewhere := newRoutedHarness(idempotent, fragile("b9"))
		s.control.set(func() {
			crashes := map[string]int{}
			for fingerprint, pairs := range s.control.crashes {
				crashes[fingerprint] = len(pairs)
			}
			elsewhere.current.Quarantine = &control.Quarantine{Crashes: crashes}
		})
		elsewhere.publishView(time.Now())
		Expect(send(elsewhere.request("POST", "/r/poison", "body")).problem.Reason).To(Equal(problem.Quarantined))
		Expect(send(elsewhere.request("POST", "/r/x", "body")).status).To(Equal(http.StatusOK))
	})

	// Guards against a popular request that is refused for good, because it ran on backend servers that crashed for another reason.
	DescribeTable("is not assumed of one that the same version has answered",
		func(path, body string, answer http.HandlerFunc) {
			var crashing atomic.Bool
			var crashed atomic.Int64
			var backends []*backend
			for n := range 6 {
				var b *backend
				b = newBackend(fmt.Sprint("b", n), func(w http.ResponseWriter, r *http.Request) {
					if n < 3 && crashing.Load() {
						crashed.Add(1)
						_ = b.server.Listener.Close()
						panic(http.ErrAbortHandler)
					}
					answer(w, r)
				})
				backends = append(backends, b)
			}
			s := newRoutedHarness(idempotent, backends...)
			rows := s.table.ByService["orders"]
			s.setServers(v1, rows...)
			ask := func() reply { return send(s.request("POST", path, body)) }
			Expect(ask().status).To(Equal(http.StatusOK))
			crashing.Store(true)
			Eventually(func() int64 {
				Expect(ask().problem.Reason).NotTo(Equal(problem.Quarantined))
				return crashed.Load()
			}, "10s").Should(BeEquivalentTo(3))
			Consistently(func() int {
				Expect(ask().problem.Reason).NotTo(Equal(problem.Quarantined))
				return s.control.crashCount()
			}, "500ms").Should(BeZero())
			// The router of the harness would go on choosing the servers that are gone.
			s.setServers(catalogue.VersionRef{}, rows[3:]...)
			s.setServers(v1, rows[3:]...)
			Expect(ask().status).To(Equal(http.StatusOK))
		},
		Entry("a routed request", "/r/popular", "body", respond(http.StatusOK, "well")),
		Entry("a chat request", "/v1/chat/completions", `{"model":"small","messages":[{"role":"user","content":"popular"}]}`, completion("well")),
	)

	// Guards against the quarantine of requests whose connection broke without a crash.
	It("is not assumed when only the connection broke", func() {
		s := newRoutedHarness(idempotent, newBackend("b1", cutAtOnce), newBackend("b2", cutInBody), newBackend("b3", cutAtOnce))
		for range 3 {
			Expect(send(s.request("POST", "/r/x", "body")).problem.Reason).NotTo(Equal(problem.Quarantined))
		}
		Consistently(s.control.crashCount, 400*time.Millisecond).Should(BeZero())
	})
})
