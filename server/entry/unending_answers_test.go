package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/problem"
)

// unendingAnswers counts answers that begin with some bytes and go on with a drop now and then until the caller closes the connection.
// Without a drop they only wait for that.
type unendingAnswers struct {
	// open is the number of connections with such an answer, calls that of the requests; upgrades counts those that asked for another
	// protocol.
	open, calls, upgrades atomic.Int64
}

func (u *unendingAnswers) serve(begin, drop string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		u.calls.Add(1)
		if r.Header.Get("Upgrade") != "" || strings.Contains(strings.ToLower(r.Header.Get("Connection")), "upgrade") {
			u.upgrades.Add(1)
		}
		answerRaw(w, r, begin, func(conn net.Conn) {
			u.open.Add(1)
			defer u.open.Add(-1)
			go func() {
				for drop != "" {
					if _, err := io.WriteString(conn, drop); err != nil {
						return
					}
					time.Sleep(30 * time.Millisecond)
				}
			}()
			// The read ends when the caller closes the connection, or else after a time that fails the spec.
			_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
			_, _ = io.Copy(io.Discard, conn)
		})
	}
}

var _ = Describe("an answer that does not end", func() {
	const (
		limit   = 600 * time.Millisecond
		margin  = 300 * time.Millisecond
		upgrade = "HTTP/1.1 101 Switching Protocols\r\nX-Attempt-Id: ID\r\nX-Of-Server: yes\r\nConnection: upgrade\r\nUpgrade: odd\r\n\r\n"
		events  = "Content-Type: text/event-stream\r\n"
		ok      = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n"
	)
	unending := []struct{ desc, begin, drop string }{
		{"a protocol switch", upgrade, ""},
		{"a protocol switch with bytes after it", upgrade, "odd"},
		{"a protocol switch without its headers", "HTTP/1.1 101 OK\r\nX-Attempt-Id: ID\r\n\r\n", ""},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"a status line", "HTTP/1.1 2", ""},
		{"lines of a head", ok, "X-More: and more\r\n"},
		{"a line of a head", ok + "X-More: ", "more "},
		{"a body with a length", ok + "Content-Length: 1000000\r\n\r\n", "m"},
		{"a body without a length", ok + "\r\n", "m"},
		{"chunks of one byte", ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nm\r\n"},
		{"the length of a chunk", ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "X-More: and more\r\n"},
		{"lines of an event", ok + events + "\r\n", ": and more\n"},
		{"a line of an event", ok + events + "\r\ndata: ", "m"},
	}
	var shapes []TableEntry
	for _, u := range unending {
		shapes = append(shapes, Entry(u.desc, u.begin, u.drop))
	}

	// expectGivenBack checks that the connection to the backend server and the request have ended, without a wait for either to time out.
	expectGivenBack := func(s *harness, u *unendingAnswers) {
		GinkgoHelper()
		Eventually(u.open.Load, margin, 10*time.Millisecond).Should(BeZero(), "the connection to the backend server is closed")
		Expect(u.upgrades.Load()).To(BeZero(), "a protocol switch is not asked for")
		Eventually(func() float64 { return counterValue(s, "clementinetray_entry_open_requests", "") }, margin, 10*time.Millisecond).Should(BeZero())
	}

	// Guards against a request that is never answered, and holds a goroutine, two connections and a place at its server.
	DescribeTable("ends at the route's time limit",
		func(begin, drop string) {
			var kinds sync.WaitGroup
			for _, kind := range []catalogue.RouteKind{catalogue.KindIdempotent, catalogue.KindNonIdempotent, catalogue.KindStream} {
				u := &unendingAnswers{}
				s := newRoutedHarness(catalogue.Route{Kind: kind, MaxAttempts: 1, TimeLimitMillis: int(limit.Milliseconds())}, newBackend("b1", u.serve(begin, drop)))
				kinds.Go(func() {
					defer GinkgoRecover()
					began := time.Now()
					got := send(s.request("POST", "/r/x", "body", "Connection", "Upgrade", "Upgrade", "odd"))
					Expect(time.Since(began)).To(BeNumerically("<", limit+margin), "%s", kind)
					Expect(got.header).NotTo(HaveKey("X-Of-Server"))
					Expect(got.problem.Reason).To(BeElementOf(problem.DeadlineExceeded, problem.OutcomeUnknown, problem.BackendFailed), "%s", kind)
					Expect(got.problem.NotRun).To(BeFalse())
					expectGivenBack(s, u)
				})
			}
			kinds.Wait()
		}, shapes)

	// Guards against the same where the request could be answered by another backend server: what is no answer is known at once.
	DescribeTable("and is none is left for another backend server at once",
		func(begin, drop string) {
			u := &unendingAnswers{}
			s := newRoutedHarness(catalogue.Route{Kind: catalogue.KindIdempotent, MaxAttempts: 2, TimeLimitMillis: int(limit.Milliseconds())},
				newBackend("b1", u.serve(begin, drop)), newBackend("b2", respond(http.StatusOK, "well")))
			for u.calls.Load() == 0 {
				began := time.Now()
				got := send(s.request("POST", "/r/x", "body"))
				Expect(time.Since(began)).To(BeNumerically("<", margin))
				Expect(got.status).To(Equal(http.StatusOK))
				Expect(got.body).To(Equal("well"))
			}
			expectGivenBack(s, u)
		}, shapes[:3])

	// Guards against the same through a relay.
	It("ends at the route's time limit through a relay", func() {
		u, odd := &unendingAnswers{}, map[string]http.HandlerFunc{}
		for i, shape := range unending {
			odd[fmt.Sprint("/n/odd-", i)] = u.serve(shape.begin, shape.drop)
		}
		f := newFleetOfInstances(3, func(w http.ResponseWriter, r *http.Request) {
			if serve := odd[r.URL.Path]; serve != nil {
				serve(w, r)
				return
			}
			respondSlowly(w, r)
		}, "north", "south")
		f.paths[0].set(pathDropping)
		f.awaitCut(0)
		var requests sync.WaitGroup
		for path := range odd {
			requests.Go(func() {
				defer GinkgoRecover()
				began := time.Now()
				got := send(f.instances[0].request("POST", path, "body"))
				// newFleetOfInstances gives the route 2.5 s.
				Expect(time.Since(began)).To(BeNumerically("<", 2500*time.Millisecond+margin), path)
				Expect(got.header).NotTo(HaveKey("X-Of-Server"))
				Expect(got.problem.NotRun).To(BeFalse())
			})
		}
		requests.Wait()
		Expect(u.calls.Load()).To(BeEquivalentTo(len(odd)), "each request reached a backend server")
		expectGivenBack(f.instances[0], u)
	})

	// Guards against the same on the product's own interface.
	DescribeTable("ends at the caller's deadline for chat completions and calls of services",
		func(begin, drop string) {
			u := &unendingAnswers{}
			s, row := newHarness(nil), serverRow(newBackend("b1", u.serve(begin, drop)))
			s.setServers(v1, row)
			s.setServers(ref("", ""), row)
			var calls sync.WaitGroup
			for _, r := range []*http.Request{
				s.request("POST", "/v1/chat/completions", chat),
				s.request("POST", "/v1/chat/completions", chatStream),
				s.request("GET", "/services/orders/read", ""),
				s.request("POST", "/services/orders/write", `{"part":1}`, "Idempotency-Key", "k1"),
			} {
				r.Header.Set("Clementinetray-Deadline-Ms", "600")
				calls.Go(func() {
					defer GinkgoRecover()
					began := time.Now()
					got := send(r)
					Expect(time.Since(began)).To(BeNumerically("<", limit+margin), "%s", r.URL.Path)
					Expect(got.header).NotTo(HaveKey("X-Of-Server"))
				})
			}
			calls.Wait()
			expectGivenBack(s, u)
		}, shapes)
})
