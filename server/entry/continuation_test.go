package entry_test

import (
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
)

var _ = Describe("a stream that broke off after its first events", func() {
	resumable := catalogue.Route{Kind: catalogue.KindStream, Resumable: true, MaxAttempts: 2}

	// Guards against the text of an error in the middle of a caller's stream, events that come twice, and a stream that ends as if
	// it were complete.
	DescribeTable("is aborted when the next backend server does not go on with it",
		func(next http.HandlerFunc) {
			calls := 0
			serve := func(w http.ResponseWriter, r *http.Request) {
				if calls++; calls == 1 {
					streamEvents(3, abortConnection)(w, r)
					return
				}
				w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
				next(w, r)
			}
			s := newRoutedHarness(resumable, newBackend("b1", serve), newBackend("b2", serve))
			got := send(s.request("POST", "/r/x", "body"))
			Expect(calls).To(Equal(2))
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.body).To(Equal("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"))
			Expect(got.cut).To(BeTrue())
		},
		Entry("an error with a text", respond(http.StatusInternalServerError, "sorry\n\nsorry\n\n")),
		Entry("an error that is written as an event", respond(http.StatusBadGateway, "data: sorry\n\n")),
		Entry("a refusal as not run", http.HandlerFunc(refuseNotRun)),
		Entry("a text with status 200", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/plain")
			_, _ = io.WriteString(w, "out of memory\n\ntry again\n\n")
		})),
		Entry("another success status", respond(http.StatusNoContent, "")),
		Entry("a whole head as the body", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/html")
			_, _ = io.WriteString(w, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		})),
		Entry("the same events from the beginning", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.Header.Del("Last-Event-ID")
			streamEvents(6, nil)(w, r)
		})),
	)
})
