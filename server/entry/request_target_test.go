package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
)

// sendTarget sends a request with a target as it stands, which net/http's client would change.
func (s *harness) sendTarget(raw, header string) reply {
	GinkgoHelper()
	conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\n%sContent-Length: 4\r\n\r\nbody", raw, header)
	Expect(err).NotTo(HaveOccurred())
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = answer.Body.Close() }()
	return readReply(answer)
}

var _ = Describe("the target of a routed request", func() {
	const withKey = "Authorization: Bearer " + key + "\r\n"

	// targetLog answers with status 200 and keeps the targets as they came.
	type targetLog struct {
		mu      sync.Mutex
		targets []string
	}
	serve := func(l *targetLog) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			l.mu.Lock()
			l.targets = append(l.targets, r.RequestURI)
			l.mu.Unlock()
			respond(http.StatusOK, "well")(w, r)
		}
	}

	// Guards against a backend server that gets another path or query than the caller sent.
	DescribeTable("reaches the backend server unchanged, or the request is refused",
		func(raw string, want int) {
			l := &targetLog{}
			s := newRoutedHarness(catalogue.Route{Kind: catalogue.KindIdempotent, MaxAttempts: 1}, newBackend("b1", serve(l)))
			got := s.sendTarget(raw, withKey)
			Expect(got.status).To(Equal(want))
			if want == http.StatusOK {
				Expect(l.targets).To(Equal([]string{raw}))
			} else {
				Expect(l.targets).To(BeEmpty())
			}
		},
		Entry("an encoded slash", "/r/a%2Fb", http.StatusOK),
		Entry("an encoded slash in small letters", "/r/a%2fb", http.StatusOK),
		Entry("two slashes", "/r//a", http.StatusOK),
		Entry("a query with slashes", "/r/a?to=/r/b%2Fc&x=|", http.StatusOK),
		Entry("an empty query", "/r/a?", http.StatusOK),
		Entry("a vertical bar and braces", "/r/a|b{c}", http.StatusOK),
		Entry("a byte beyond ASCII", "/r/caf\xc3\xa9", http.StatusOK),
		Entry("an encoded byte beyond ASCII", "/r/caf%C3%A9", http.StatusOK),
		Entry("an encoded letter of the prefix", "/%72/a", http.StatusOK),
		Entry("16 KB", "/r/"+strings.Repeat("a/", 8<<10), http.StatusOK),
		Entry("dot segments", "/r/../r/a", http.StatusBadRequest),
		Entry("encoded dot segments", "/r/%2E%2E/r/a", http.StatusBadRequest),
		Entry("dot segments with encoded slashes", "/r/..%2Fr%2Fa", http.StatusBadRequest),
		Entry("a percent sign without two digits", "/r/%4", http.StatusBadRequest),
		Entry("an absolute form", "http://127.0.0.1/r/a", http.StatusBadRequest),
		Entry("an encoded slash in the prefix", "/r%2Fa", http.StatusNotFound),
	)

	// Guards against an order with an encoded slash that gets the route of another prefix, and so runs twice when its answer is lost.
	DescribeTable("selects the route by the path that is sent",
		func(raw string, wantRuns int) {
			var runs atomic.Int64
			s := newRoutedHarness(catalogue.Route{Kind: catalogue.KindNonIdempotent, MaxAttempts: 3})
			s.addServers("v1", newBackend("b1", func(http.ResponseWriter, *http.Request) { runs.Add(1); abortConnection(nil) }),
				newBackend("b2", func(http.ResponseWriter, *http.Request) { runs.Add(1); abortConnection(nil) }))
			s.setRoute(catalogue.Route{Kind: catalogue.KindNonIdempotent, MaxAttempts: 2}, catalogue.Route{
				Name: "drafts", Host: "127.0.0.1", PathPrefix: "/r/draft/", Kind: catalogue.KindIdempotent, MaxAttempts: 2, TimeLimitMillis: 2000,
				Targets: []catalogue.Target{{Service: "orders", Weight: 1}},
			})
			s.sendTarget(raw, withKey)
			Expect(runs.Load()).To(BeEquivalentTo(wantRuns))
		},
		Entry("an order whose name has an encoded slash", "/r/draft%2F7", 1),
		Entry("a draft", "/r/draft/7", 2),
		Entry("a draft with an encoded letter", "/r/%64raft/7", 2),
	)

	// Guards against a caller without a key that reaches a route that needs one.
	DescribeTable("selects the route whose key is checked",
		func(raw string, want int) {
			l := &targetLog{}
			s := newRoutedHarness(catalogue.Route{Kind: catalogue.KindIdempotent, MaxAttempts: 1}, newBackend("b1", serve(l)))
			s.setRoute(catalogue.Route{Kind: catalogue.KindIdempotent, MaxAttempts: 1}, catalogue.Route{
				Name: "open", Host: "127.0.0.1", PathPrefix: "/r/open/", Anonymous: true, Kind: catalogue.KindIdempotent, MaxAttempts: 1, TimeLimitMillis: 2000,
				Targets: []catalogue.Target{{Service: "orders", Weight: 1}},
			})
			Expect(s.sendTarget(raw, "").status).To(Equal(want))
		},
		Entry("a path below the open prefix", "/r/open/a", http.StatusOK),
		Entry("a path below the other one", "/r/a", http.StatusUnauthorized),
		Entry("an encoded slash after the open prefix", "/r/open%2Fa", http.StatusUnauthorized),
		Entry("a way out of the open prefix", "/r/open/../a", http.StatusBadRequest),
		Entry("an encoded way out of the open prefix", "/r/open/%2e%2e/a", http.StatusBadRequest),
		Entry("a way out of the open prefix by encoded slashes", "/r/open/..%2f..%2fr%2fa", http.StatusBadRequest),
	)

	It("reaches the backend server unchanged through a relay", func() {
		l := &targetLog{}
		f := newFleetOfInstances(3, serve(l), "north", "south")
		f.paths[0].set(pathDropping)
		f.awaitCut(0)
		const raw = "/n/a%2Fb|c?d=/e%2F"
		Expect(f.instances[0].sendTarget(raw, withKey).status).To(Equal(http.StatusOK))
		Expect(l.targets).To(ContainElement(raw))
	})
})
