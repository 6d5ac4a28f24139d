package entry_test

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/problem"
)

// answerRaw writes bytes in place of an answer; ID stands for the id of the attempt. Then it calls end, if that is not nil, and closes
// the connection.
func answerRaw(w http.ResponseWriter, r *http.Request, text string, end func(net.Conn)) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write([]byte(strings.ReplaceAll(text, "ID", r.Header.Get("X-Attempt-Id"))))
	if end != nil {
		end(conn)
	}
}

// oddHead is the start of a spoiled answer with whatever the router would believe of a sound one.
func oddHead(statusLine string) string {
	return statusLine + "\r\nX-Attempt-Id: ID\r\nX-Of-Server: yes\r\nClementinetray-Not-Run: 1\r\nContent-Type: application/json\r\n"
}

const oddBody = "Content-Length: 9\r\n\r\n{\"odd\":1}"

var _ = Describe("an answer whose head is none", func() {
	idempotent := catalogue.Route{Kind: catalogue.KindIdempotent, MaxAttempts: 3}
	once := catalogue.Route{Kind: catalogue.KindNonIdempotent, MaxAttempts: 3}
	heads := []TableEntry{
		Entry("status 020", oddHead("HTTP/1.1 020 OK")+oddBody),
		Entry("status -00", oddHead("HTTP/1.1 -00 OK")+oddBody),
		Entry("status +20", oddHead("HTTP/1.1 +20 OK")+oddBody),
		Entry("status 000", oddHead("HTTP/1.1 000 OK")+oddBody),
		Entry("status 600", oddHead("HTTP/1.1 600 OK")+oddBody),
		Entry("status 999", oddHead("HTTP/1.1 999 OK")+oddBody),
		Entry("HTTP/2.0", oddHead("HTTP/2.0 200 OK")+oddBody),
		Entry("status 204 with a length", oddHead("HTTP/1.1 204 OK")+oddBody),
		Entry("status 204 in chunks", oddHead("HTTP/1.1 204 OK")+"Transfer-Encoding: chunked\r\n\r\n9\r\n{\"odd\":1}\r\n0\r\n\r\n"),
	}

	// expectRefusal checks an answer of the router's own: it bears nothing of the backend server and promises nothing.
	expectRefusal := func(s *harness, got reply, reason problem.Reason) {
		GinkgoHelper()
		Expect(got.problem.Reason).To(Equal(reason))
		Expect(got.problem.NotRun).To(BeFalse())
		Expect(got.header).NotTo(HaveKey("X-Of-Server"))
		Expect(got.header).NotTo(HaveKey("Clementinetray-Not-Run"))
		Expect(counterValue(s, "clementinetray_entry_panics_total", "")).To(BeZero())
		Expect(counterValue(s, "clementinetray_entry_dropped_answers_total", "invalid")).To(BeNumerically(">", 0))
	}

	// Guards against an answer of the router's own that bears a backend server's headers, and against anything of a spoiled head that is
	// believed: "not run" would let an order run twice.
	DescribeTable("ends a request that may run once as one that may have run",
		func(head string) {
			var calls atomic.Int64
			spoil := func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				answerRaw(w, r, head, nil)
			}
			s := newRoutedHarness(once, newBackend("b1", spoil), newBackend("b2", spoil))
			expectRefusal(s, send(s.request("POST", "/r/x", "body")), problem.OutcomeUnknown)
			Expect(calls.Load()).To(BeEquivalentTo(1))
			Expect(s.control.reportedCrashes()).To(BeEmpty(), "a spoiled answer is no crash")
		}, heads)

	DescribeTable("is left for one of another backend server where the request may be repeated",
		func(head string) {
			var calls atomic.Int64
			serve := func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 1 {
					// Without the mark, which would allow a retry by itself.
					answerRaw(w, r, strings.ReplaceAll(head, "Clementinetray-Not-Run: 1\r\n", ""), nil)
					return
				}
				respond(http.StatusOK, "well")(w, r)
			}
			s := newRoutedHarness(idempotent, newBackend("b1", serve), newBackend("b2", serve))
			got := send(s.request("POST", "/r/x", "body"))
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.body).To(Equal("well"))
			Expect(got.header).NotTo(HaveKey("X-Of-Server"))
			Expect(calls.Load()).To(BeEquivalentTo(2))
			Expect(counterValue(s, "clementinetray_entry_panics_total", "")).To(BeZero())
		}, heads)

	DescribeTable("is no answer to a chat completion or a call of a service either",
		func(head string) {
			spoil := func(w http.ResponseWriter, r *http.Request) { answerRaw(w, r, head, nil) }
			s := newHarness(nil)
			s.setServers(v1, serverRow(newBackend("b1", spoil)), serverRow(newBackend("b2", completion("well"))))
			s.setServers(ref("", ""), serverRow(newBackend("b3", spoil)))
			for range 4 {
				got := s.chat(chat)
				Expect(got.status).To(Equal(http.StatusOK))
				Expect(got.body).To(ContainSubstring("well"))
				stream := s.chat(chatStream)
				Expect(stream.header).NotTo(HaveKey("X-Of-Server"))
			}
			expectRefusal(s, s.postOrder("k1"), problem.OutcomeUnknown)
		}, heads)
})
