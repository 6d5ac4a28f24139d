package entry_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/entry"
)

var _ = Describe("answers", func() {
	It("passes on a complete unstreamed answer and bills it once (guards against a lost or duplicate bill)", func() {
		s, b := newHarness(nil), newBackend("b1", completion("Hel", "lo"))
		s.setServers(ref("small", "v1"), serverRow(b))
		got := s.chat(chat, "traceparent", "00-aa-bb-01", "Clementinetray-Deadline-Ms", "5000")
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(ContainSubstring(`"Hello"`))
		seen := b.requests()
		Expect(seen).To(HaveLen(1))
		Expect(seen[0].body).To(HaveKeyWithValue("model", "small@v1"))
		Expect(seen[0].header.Get("traceparent")).To(Equal("00-aa-bb-01"))
		Expect(seen[0].header.Get("X-Attempt-Id")).To(Equal(got.header.Get(entry.HeaderRequest) + "/1"))
		Expect(seen[0].header.Get("Authorization")).To(BeEmpty())
		bills := s.control.billList()
		Expect(bills).To(HaveLen(1))
		Expect(bills[0].Complete).To(BeTrue())
		Expect(bills[0].Lines).To(Equal([]control.BillLine{
			{VersionRef: ref("small", "v1"), BackendServer: "b1", PromptTokens: 7, OutputTokens: 2, CostMicros: 2},
		}))
		Expect(s.limits.running()).To(BeZero())
	})

	It("numbers the events of a stream (guards against a caller that can't reconnect)", func() {
		s, b := newHarness(nil), newBackend("b1", stream(nil, "Hel", "lo"))
		s.setServers(ref("small", "v1"), serverRow(b))
		got := s.chat(chatStream)
		Expect(got.cut).To(BeFalse())
		events := parseEvents(got.body)
		Expect(events).To(HaveLen(4))
		Expect(eventText(events)).To(Equal("Hello"))
		Expect(events[0].ID).To(Equal(got.header.Get(entry.HeaderRequest) + ".1"))
		Expect(events[3]).To(Equal(sse{ID: got.header.Get(entry.HeaderRequest) + ".4", Data: "[DONE]"}))
		Expect(s.control.billList()).To(HaveLen(1))
	})

	It("sends the last event only after the bill is durable (guards against an answer without a bill)", func() {
		s, b := newHarness(func(c *entry.Config) { c.BillWait, c.ControlTimeout = 10*time.Second, 10*time.Second }), newBackend("b1", stream(nil, "Hi"))
		s.setServers(ref("small", "v1"), serverRow(b))
		release := make(chan struct{})
		s.control.set(func() { s.control.hold["RecordBills"] = release })
		_, in := s.openStream(GinkgoT().Context())
		for range 2 {
			_, err := readEvent(in)
			Expect(err).NotTo(HaveOccurred())
		}
		last := make(chan sse, 1)
		go func() {
			e, _ := readEvent(in)
			last <- e
		}()
		Consistently(last, 150*time.Millisecond).ShouldNot(Receive())
		close(release)
		Eventually(last, time.Second).Should(Receive(HaveField("Data", "[DONE]")))
		Expect(s.control.billList()).To(HaveLen(1))
	})

	It("passes on a refusal of the backend server to the caller (guards against retries of a bad request)", func() {
		s := newHarness(nil)
		b := newBackend("b1", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "bad temperature", http.StatusBadRequest) })
		s.setServers(ref("small", "v1"), serverRow(b))
		for _, body := range []string{chat, chatStream} {
			got := s.chat(body)
			Expect(got.status).To(Equal(http.StatusBadRequest))
			Expect(got.body).To(ContainSubstring("bad temperature"))
		}
		Expect(b.requests()).To(HaveLen(2))
		Expect(s.control.billList()).To(BeEmpty())
	})

	It("lists what the workspace may use (guards against a list of other workspaces' models)", func() {
		s := newHarness(nil)
		got := send(s.request(http.MethodGet, "/v1/models", "", "Authorization", "Bearer secret-of-other"))
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(ContainSubstring(`"small@v2"`))
		Expect(got.body).NotTo(ContainSubstring(`large`))
	})
})

var _ = Describe("refusals before dispatch", func() {
	// Guards against refusals without not_run for requests that were not sent to a backend server, and against requests that
	// are sent to one although they are refused.
	DescribeTable("set not_run and send nothing to a backend server",
		func(prepare func(s *harness), body string, header []string, status int, reason problem.Reason) {
			s, b := newHarness(func(c *entry.Config) { c.MaxBody, c.MaxQueuedBills = 1000, 1 }), newBackend("b1", completion("x"))
			s.setServers(ref("small", "v1"), serverRow(b))
			if prepare != nil {
				prepare(s)
			}
			got := s.chat(body, header...)
			Expect(got.status).To(Equal(status), got.body)
			Expect(got.problem.Reason).To(Equal(reason))
			Expect(got.problem.NotRun).To(BeTrue())
			Expect(b.requests()).To(BeEmpty())
			Expect(s.limits.running()).To(BeZero())
		},
		Entry("no key", nil, chat, []string{"Authorization", ""}, 401, problem.Unauthorized),
		Entry("wrong key", nil, chat, []string{"Authorization", "Bearer nobody"}, 401, problem.Unauthorized),
		Entry("view too old", func(s *harness) { s.publishView(time.Now().Add(-2 * time.Minute)) }, chat, nil, 503, problem.ViewStale),
		Entry("view never confirmed", func(s *harness) { s.publishView(time.Time{}) }, chat, nil, 503, problem.ViewStale),
		Entry("body over the limit", nil, `{"model":"small","x":"`+strings.Repeat("x", 2000)+`"}`, nil, 413, problem.BodyTooLarge),
		Entry("truncated JSON", nil, chat[:20], nil, 400, problem.InvalidRequest),
		Entry("null body", nil, `null`, nil, 400, problem.InvalidRequest),
		Entry("no model", nil, `{}`, nil, 400, problem.InvalidRequest),
		Entry("stream of a wrong type", nil, `{"model":"small","stream":"yes"}`, nil, 400, problem.InvalidRequest),
		Entry("continuation by a caller", nil, `{"model":"small","continue_from":"x"}`, nil, 400, problem.InvalidRequest),
		Entry("unknown model", nil, `{"model":"huge"}`, nil, 404, problem.UnknownModel),
		Entry("class of another workspace", nil, `{"model":"class:private"}`, nil, 403, problem.NotAllowed),
		Entry("deadline that is not a number", nil, chat, []string{entry.HeaderDeadline, "soon"}, 400, problem.InvalidRequest),
		Entry("deadline passed", nil, chat, []string{entry.HeaderDeadline, "0"}, 504, problem.DeadlineExceeded),
		Entry("session id too long", nil, chat, []string{entry.HeaderSession, strings.Repeat("s", 300)}, 400, problem.InvalidRequest),
		Entry("workspace concurrency used up", func(s *harness) { s.limits.denied["workspace/acme/concurrent"] = true }, chat, nil, 429, problem.WorkspaceLimit),
		Entry("workspace rate used up", func(s *harness) { s.limits.denied["workspace/acme/rate"] = true }, chat, nil, 429, problem.WorkspaceLimit),
		Entry("empty pool", func(s *harness) { s.setServers(ref("small", "v1")) }, chat, nil, 503, problem.NoBackendServer),
		Entry("only an unreachable backend server", func(s *harness) { s.setServers(ref("small", "v1"), refusingServerRow("d1")) }, chat, nil, 503, problem.Overloaded),
		Entry("no retry budget after a refused connection", func(s *harness) {
			s.budget.retries = 0
			s.setServers(ref("small", "v1"), refusingServerRow("d1"))
		}, chat, nil, 502, problem.RetryBudgetExceeded),
	)

	It("refuses new requests while too many bills are queued (guards against unbounded unbilled work)", func() {
		s, b := newHarness(func(c *entry.Config) { c.MaxQueuedBills = 1 }), newBackend("b1", completion("x"))
		s.setServers(ref("small", "v1"), serverRow(b))
		s.control.set(func() { s.control.failing["RecordBills"] = true })
		Expect(s.chat(chat).status).To(Equal(http.StatusOK), "the answer is completed although the bill is not durable")
		got := s.chat(chat)
		Expect(got.problem.Reason).To(Equal(problem.ControlUnavailable))
		Expect(got.problem.NotRun).To(BeTrue())
		Expect(send(s.request(http.MethodGet, "/readyz", "")).status).To(Equal(http.StatusServiceUnavailable))
		s.control.set(func() { s.control.failing["RecordBills"] = false })
		Eventually(s.control.billList, time.Second).Should(HaveLen(1))
		Eventually(func() int { return s.chat(chat).status }, time.Second).Should(Equal(http.StatusOK))
	})

	It("refuses a body that ends early (guards against the dispatch of an incomplete request)", func() {
		s, b := newHarness(nil), newBackend("b1", completion("x"))
		s.setServers(ref("small", "v1"), serverRow(b))
		conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+key+
			"\r\nContent-Length: 500\r\n\r\n"+chat)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		answer, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(ContainSubstring("invalid_request"))
		Expect(b.requests()).To(BeEmpty())
	})

	It("refuses a body that takes too long (guards against connections that are held open forever)", func() {
		s := newHarness(func(c *entry.Config) { c.CallerReadTimeout = 100 * time.Millisecond })
		conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+key+
			"\r\nContent-Length: 500\r\n\r\n{")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		answer, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(ContainSubstring("invalid_request"))
	})

	It("keeps a connection usable after a slow answer (guards against a read deadline that still applies to the next request)", func() {
		s := newHarness(func(c *entry.Config) { c.CallerReadTimeout = 100 * time.Millisecond })
		s.setServers(ref("small", "v1"), serverRow(newBackend("b1", func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(300 * time.Millisecond)
			completion("x")(w, r)
		})))
		for range 2 {
			Expect(s.chat(chat).status).To(Equal(http.StatusOK))
		}
	})

	It("is not ready while the view is too old, and ready again afterwards (guards against traffic to an instance without contact to the control group)", func() {
		s := newHarness(nil)
		ready := func() int { return send(s.request(http.MethodGet, "/readyz", "")).status }
		Expect(ready()).To(Equal(http.StatusOK))
		s.publishView(time.Now().Add(-2 * time.Minute))
		Expect(ready()).To(Equal(http.StatusServiceUnavailable))
		Expect(send(s.request(http.MethodGet, "/healthz", "")).status).To(Equal(http.StatusOK))
		s.publishView(time.Now())
		Expect(ready()).To(Equal(http.StatusOK))
	})
})
