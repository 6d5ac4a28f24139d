package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/problem"
	"clementinetray/server/entry"
)

// cutHead is a backend server that ends its first answer to each request after some bytes of the head and then answers well.
type cutHead struct {
	// framing holds the header lines that state the length of the body.
	framing string
	well    http.HandlerFunc

	mu    sync.Mutex
	begun map[string]bool
}

// head returns the head of the answer to a request. The number of bytes in the header X-Left-Out is left out at its end.
func (c *cutHead) head(id string) string {
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nContent-Type: text/event-stream\r\n" + c.framing + "\r\n"
}

func (c *cutHead) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	number := r.Header.Get("X-Number")
	c.mu.Lock()
	again := c.begun[number]
	c.begun[number] = true
	c.mu.Unlock()
	if again || r.Header.Get("X-Left-Out") == "" {
		c.well(w, r)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	var leftOut int
	_, _ = fmt.Sscan(r.Header.Get("X-Left-Out"), &leftOut)
	head := c.head(r.Header.Get("X-Attempt-Id"))
	_, _ = io.WriteString(conn, head[:max(len(head)-leftOut, 0)])
}

var _ = Describe("an answer whose head is cut", func() {
	const (
		length = "Content-Length: 168\r\n"
		chunks = "Transfer-Encoding: chunked\r\n"
	)
	once := catalogue.Route{Kind: catalogue.KindNonIdempotent, TimeLimitMillis: 8000}
	idempotent := catalogue.Route{Kind: catalogue.KindIdempotent, MaxAttempts: 3, TimeLimitMillis: 8000}
	stream := catalogue.Route{Kind: catalogue.KindStream, Resumable: true, MaxAttempts: 3, TimeLimitMillis: 8000}

	// Guards against a caller that gets status 200 with an empty body, or hears that a request did not run that may have run.
	DescribeTable("is never passed on as a whole one", func(route catalogue.Route, framing string) {
		server := &cutHead{framing: framing, well: respond(http.StatusOK, "well"), begun: map[string]bool{}}
		want := "well"
		if route.Kind == catalogue.KindStream {
			server.well, want = streamEvents(6, nil), sixEvents
		}
		s := newHarness(func(c *entry.Config) { c.RoutedRetryRatio, c.RoutedRetrySlack = 1, 1000 })
		s.setRoute(route)
		s.addServers("v1", newBackend("b1", server.serve), newBackend("b2", server.serve))
		for leftOut := range len(server.head(strings.Repeat("x", 40))) + 1 {
			id := fmt.Sprint("request ", leftOut)
			// Every second request uses a connection that an earlier one has left open.
			if leftOut%2 == 1 {
				Expect(send(s.request("POST", "/r/x", id)).body).To(Equal(want))
			}
			got := send(s.request("POST", "/r/x", id, "X-Number", id, "X-Left-Out", fmt.Sprint(leftOut)))
			if route.Kind == catalogue.KindNonIdempotent {
				Expect(got.status).NotTo(Equal(http.StatusOK), "%d bytes left out", leftOut)
				Expect(got.problem.Reason).To(Equal(problem.OutcomeUnknown))
				Expect(got.problem.NotRun).To(BeFalse())
				continue
			}
			Expect(got.status).To(Equal(http.StatusOK), "%d bytes left out", leftOut)
			Expect(got.body).To(Equal(want), "%d bytes left out", leftOut)
			Expect(got.cut).To(BeFalse())
		}
	},
		Entry("a call, with a length", once, length),
		Entry("a call, in chunks", once, chunks),
		Entry("a call, with neither", once, ""),
		Entry("an idempotent request, with a length", idempotent, length),
		Entry("an idempotent request, in chunks", idempotent, chunks),
		Entry("an idempotent request, with neither", idempotent, ""),
		Entry("a stream, with a length", stream, length),
		Entry("a stream, in chunks", stream, chunks),
		Entry("a stream, with neither", stream, ""),
	)
})
