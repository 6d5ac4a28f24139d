package entry_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
)

// answerUndelimited answers with a body that has neither a length nor chunks, and then closes or resets the connection.
func answerUndelimited(w http.ResponseWriter, r *http.Request, header, body string, reset bool) {
	conn, _, err := w.(http.Hijacker).Hijack()
	Expect(err).NotTo(HaveOccurred())
	writeUndelimited(conn, r, header, body)
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

// writeUndelimited writes an answer whose body has neither a length nor chunks.
func writeUndelimited(conn net.Conn, r *http.Request, header, body string) {
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + r.Header.Get("X-Attempt-Id") + "\r\n" + header + "\r\n" + body))
}

var _ = Describe("an answer that ends with its connection", func() {
	idempotent := catalogue.Route{Kind: catalogue.KindIdempotent, MaxAttempts: 3}
	stream := catalogue.Route{Kind: catalogue.KindStream, Resumable: true, MaxAttempts: 3}
	const events = "Content-Type: text/event-stream\r\n"

	// Guards against a part of an answer that is passed on as complete, and a complete one that is asked for again.
	DescribeTable("is complete only if nothing shows that it was broken off",
		func(route catalogue.Route, header, body string, reset bool, want string, wantCalls int) {
			var calls atomic.Int64
			serve := func(w http.ResponseWriter, r *http.Request) {
				switch {
				case calls.Add(1) == 1:
					answerUndelimited(w, r, header, body, reset)
				case route.Kind == catalogue.KindStream:
					streamEvents(6, nil)(w, r)
				default:
					respond(http.StatusOK, "from another one")(w, r)
				}
			}
			s := newRoutedHarness(route, newBackend("b1", serve), newBackend("b2", serve))
			got := send(s.request("POST", "/r/x", "body"))
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.cut).To(BeFalse())
			Expect(got.body).To(Equal(want))
			Expect(calls.Load()).To(BeEquivalentTo(wantCalls))
		},
		Entry("a whole body", idempotent, "", "whole", false, "whole", 1),
		Entry("a body that is reset", idempotent, "", strings.Repeat("half", 10), true, "from another one", 2),
		Entry("a whole stream", stream, events, sixEvents, false, sixEvents, 1),
		Entry("a stream that ends inside an event", stream, events, sixEvents[:40], false, sixEvents, 2),
		Entry("a stream that ends inside its first event", stream, events, sixEvents[:5], false, sixEvents, 2),
		Entry("a stream that ends inside its last event", stream, events, sixEvents[:len(sixEvents)-1], false, sixEvents, 2),
		Entry("a stream that is reset between events", stream, events, sixEvents[:30], true, sixEvents, 2),
		Entry("a stream that is reset inside an event", stream, events, sixEvents[:32], true, sixEvents, 2),
	)

	// Guards against a part of an answer that is passed on as complete: while the request is still being written, the write may take the
	// error of a reset, so that the answer seems to end in order.
	DescribeTable("and comes before the request was read is complete only if nothing shows that it was broken off",
		func(route catalogue.Route, header, body string, end func(*net.TCPConn), wantStatus int, want string, wantCalls int) {
			// The body does not fit into the buffers of both ends, so that its write blocks.
			request := strings.Repeat("u", 4<<20-1)
			for range 10 {
				var calls atomic.Int64
				answerEarly := func(conn *net.TCPConn, r *http.Request) {
					writeUndelimited(conn, r, header, body)
					time.Sleep(20 * time.Millisecond)
					end(conn)
				}
				later := respond(http.StatusOK, "from another one")
				if route.Kind == catalogue.KindStream {
					later = streamEvents(6, nil)
				}
				s := newRoutedHarness(route, newEarlyBackend("b1", &calls, answerEarly, later), newEarlyBackend("b2", &calls, answerEarly, later))
				got := send(s.request("POST", "/r/x", request))
				Expect(got.status).To(Equal(wantStatus))
				Expect(got.cut).To(BeFalse())
				if want != "" {
					Expect(got.body).To(Equal(want))
				}
				Expect(calls.Load()).To(BeEquivalentTo(wantCalls))
			}
		},
		Entry("a whole body", idempotent, "", "whole", endInOrder, http.StatusOK, "whole", 1),
		Entry("a body that is reset", idempotent, "", strings.Repeat("half", 10), endByReset, http.StatusOK, "from another one", 2),
		Entry("a body that is closed with an unread request, which is a reset", idempotent, "", strings.Repeat("half", 10), endByClose, http.StatusOK, "from another one", 2),
		Entry("a body that is reset and may not be asked for again", catalogue.Route{Kind: catalogue.KindNonIdempotent, MaxAttempts: 3}, "",
			strings.Repeat("half", 10), endByReset, http.StatusConflict, "", 1),
		Entry("a whole stream", stream, events, sixEvents, endInOrder, http.StatusOK, sixEvents, 1),
		Entry("a stream that is reset between events", stream, events, sixEvents[:30], endByReset, http.StatusOK, sixEvents, 2),
		Entry("a stream that is reset inside an event", stream, events, sixEvents[:32], endByReset, http.StatusOK, sixEvents, 2),
	)

	// Guards against the same on the other ways in which the end of a connection ends an answer, or an early end must show.
	DescribeTable("and is reset before the request was read is not passed on as a whole one",
		func(method, path, head, start string, later http.HandlerFunc) {
			for range 10 {
				var calls atomic.Int64
				answerEarly := func(conn *net.TCPConn, r *http.Request) {
					_, _ = io.WriteString(conn, strings.ReplaceAll(head, "ID", r.Header.Get("X-Attempt-Id"))+"\r\n"+`{"half":"`+strings.Repeat("half", 10))
					time.Sleep(20 * time.Millisecond)
					endByReset(conn)
				}
				s := newRoutedHarness(idempotent, newEarlyBackend("b1", &calls, answerEarly, later), newEarlyBackend("b2", &calls, answerEarly, later))
				s.setServers(v1, s.table.ByService["orders"]...)
				request := start + strings.Repeat("u", 4<<20-1-len(start)-len(chatEnd)) + chatEnd
				got := send(s.request(method, path, request))
				Expect(got.status).To(Equal(http.StatusOK))
				Expect(got.body).To(ContainSubstring("from another one"))
				Expect(calls.Load()).To(BeEquivalentTo(2))
			}
		},
		Entry("of HTTP/1.0", "POST", "/r/x", "HTTP/1.0 200 OK\r\nX-Attempt-Id: ID\r\n", "", respond(http.StatusOK, "from another one")),
		Entry("with a length on a connection that is to be closed", "POST", "/r/x",
			"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nConnection: close\r\nContent-Length: 80\r\n", "", respond(http.StatusOK, "from another one")),
		Entry("of a plain service", "GET", "/services/orders/read", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n", "", respond(http.StatusOK, "from another one")),
		Entry("of a chat completion", "POST", "/v1/chat/completions", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Type: application/json\r\n",
			`{"model":"small","messages":[{"role":"user","content":"`, completion("from another one")),
	)

	// Guards against the same when the backend server falls silent, so that the write takes the error of a time-out.
	It("and comes before the request was read is not complete when its connection times out", func() {
		var calls atomic.Int64
		ended := make(chan struct{})
		DeferCleanup(func() { close(ended) })
		answerEarly := func(conn *net.TCPConn, r *http.Request) {
			writeUndelimited(conn, r, "", strings.Repeat("half", 10))
			time.Sleep(20 * time.Millisecond)
			raw, err := conn.SyscallConn()
			Expect(err).NotTo(HaveOccurred())
			Expect(raw.Control(func(fd uintptr) { stopResponding(int(fd)) })).To(Succeed())
			<-ended
		}
		later := respond(http.StatusOK, "from another one")
		slow := catalogue.Route{Kind: catalogue.KindIdempotent, MaxAttempts: 3, TimeLimitMillis: 20_000}
		s := newRoutedHarness(slow, newEarlyBackend("b1", &calls, answerEarly, later), newEarlyBackend("b2", &calls, answerEarly, later))
		got := send(s.request("POST", "/r/x", strings.Repeat("u", 4<<20-1)))
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal("from another one"))
		Expect(calls.Load()).To(BeEquivalentTo(2))
	})
})

// chatEnd ends a chat request.
const chatEnd = `"}]}`

// endInOrder ends an answer and reads the rest of the request, as the answer would be lost with unread bytes.
func endInOrder(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

func endByReset(conn *net.TCPConn) { _ = conn.SetLinger(0) }

func endByClose(*net.TCPConn) {}

// newEarlyBackend returns a backend server that answers the first call by early, before it has read the request, and further ones by
// later. The connection is closed after the answer. Its buffer is small, so that the request does not fit.
func newEarlyBackend(id string, calls *atomic.Int64, early func(*net.TCPConn, *http.Request), later http.HandlerFunc) *backend {
	b := newBackend(id, later)
	readFirst := b.server.Config.Handler
	b.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" || calls.Add(1) > 1 {
			readFirst.ServeHTTP(w, r)
			return
		}
		hijacked, _, err := w.(http.Hijacker).Hijack()
		Expect(err).NotTo(HaveOccurred())
		defer hijacked.Close()
		conn := hijacked.(*net.TCPConn)
		Expect(conn.SetReadBuffer(4 << 10)).To(Succeed())
		early(conn, r)
	})
	return b
}
