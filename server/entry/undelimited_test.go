package entry_test

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
)

// answerUndelimited answers with a body that has neither a length nor chunks, and then closes or resets the connection.
func answerUndelimited(w http.ResponseWriter, r *http.Request, header, body string, reset bool) {
	conn, _, err := w.(http.Hijacker).Hijack()
	Expect(err).NotTo(HaveOccurred())
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + r.Header.Get("X-Attempt-Id") + "\r\n" + header + "\r\n" + body))
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
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
		Entry("a stream that is reset after an event", stream, events, sixEvents[:32], true, sixEvents, 2),
	)
})
