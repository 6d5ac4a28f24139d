package entry_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
)

var service = catalogue.VersionRef{}

func (s *harness) callState(key string) control.CallState {
	return readLocked(s.control, func() control.CallState {
		if call := s.control.calls["acme/"+key]; call != nil {
			return call.state
		}
		return ""
	})
}

func answerWithOtherAttemptID(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Attempt-Id", "another-request/1")
	_, _ = io.WriteString(w, "order 7")
}

func cutCallInBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "order")
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

var _ = Describe("calls that must not be repeated", func() {
	It("run once and answer each retry with the stored answer (guards against a doubled order)", func() {
		s, b := newHarness(nil), newBackend("o1", answerText("order 7"))
		s.setServers(service, serverRow(b))
		for range 3 {
			got := s.postOrder("k1")
			Expect(got.status).To(Equal(http.StatusOK), got.body)
			Expect(got.body).To(Equal("order 7"))
		}
		seen := b.requests()
		Expect(seen).To(HaveLen(1))
		Expect(seen[0].path).To(Equal("/write"))
		Expect(seen[0].header).NotTo(HaveKey("Authorization"))
		Expect(s.control.billList()).To(HaveLen(1))
		By("refusing the key for another body")
		got := send(s.request(http.MethodPost, "/services/orders/write", `{"part":2}`, "Idempotency-Key", "k1"))
		Expect(got.status).To(Equal(http.StatusUnprocessableEntity))
		Expect(got.problem.Reason).To(Equal(problem.KeyReused))
	})

	It("begin before the first byte and finish before the answer (guards against an order without a record)", func() {
		s := newHarness(nil)
		var during control.CallState
		b := newBackend("o1", func(w http.ResponseWriter, _ *http.Request) {
			during = s.callState("k1")
			_, _ = io.WriteString(w, "order 7")
		})
		s.setServers(service, serverRow(b))
		Expect(s.postOrder("k1").status).To(Equal(http.StatusOK))
		Expect(during).To(Equal(control.CallInProgress))
		Expect(s.callState("k1")).To(Equal(control.CallDone))
	})

	// Guards against a second run after a fault that follows the first written byte, and against a wrong "not run" in that case.
	DescribeTable("are never repeated once a byte was written",
		func(fault http.HandlerFunc) {
			s, b, c := newHarness(nil), newBackend("o1", fault), newBackend("o2", answerText("second order"))
			s.setServers(service, serverRow(b), serverRow(c))
			got := s.postOrder("k1")
			Expect(got.status).To(Equal(http.StatusConflict), got.body)
			Expect(got.problem.Reason).To(Equal(problem.OutcomeUnknown))
			Expect(got.problem.NotRun).To(BeFalse())
			Expect(c.requests()).To(BeEmpty())
			Expect(s.callState("k1")).To(Equal(control.CallOutcomeUnknown))
			again := s.postOrder("k1")
			Expect(again.problem.Reason).To(Equal(problem.OutcomeUnknown))
			Expect(again.problem.NotRun).To(BeFalse())
			Expect(len(b.requests()) + len(c.requests())).To(Equal(1))
		},
		Entry("connection closes before the answer", http.HandlerFunc(cutAtOnce)),
		Entry("connection closes after the first byte of the answer", http.HandlerFunc(cutCallInBody)),
		Entry("answer belongs to another attempt", http.HandlerFunc(answerWithOtherAttemptID)),
	)

	It("are not repeated on a GET whose connection breaks (guards against retries by the HTTP transport)", func() {
		s, b := newHarness(nil), newBackend("o1", answerText("read"))
		s.setServers(service, serverRow(b))
		Expect(send(s.request(http.MethodGet, "/services/orders/read", "")).status).To(Equal(http.StatusOK))
		b.set(cutAtOnce)
		got := send(s.request(http.MethodGet, "/services/orders/write", "", "Idempotency-Key", "k1"))
		Expect(got.problem.Reason).To(Equal(problem.OutcomeUnknown))
		Expect(b.requests()).To(HaveLen(2))
	})

	It("use a new connection each (guards against a reused connection that the server closes as idle at that moment)", func() {
		// Only a backend server that names the attempt in its answers gets several requests on one connection.
		s, b := newHarness(nil), newBackend("o1", respond(http.StatusOK, "x"))
		s.setServers(service, serverRow(b))
		read := func() { send(s.request(http.MethodGet, "/services/orders/read", "")) }
		read()
		Expect(s.postOrder("k1").status).To(Equal(http.StatusOK))
		read()
		seen := b.requests()
		Expect(seen[2].from).To(Equal(seen[0].from), "repeatable calls share a connection")
		Expect(seen[1].from).NotTo(Equal(seen[0].from))
	})

	It("go to another backend server while no byte was written (guards against a needless unknown outcome)", func() {
		s, c := newHarness(nil), newBackend("o2", answerText("order 7"))
		s.setServers(service, refusingServerRow("o1"), serverRow(c))
		Expect(s.postOrder("k1").body).To(Equal("order 7"))
		Expect(c.requests()).To(HaveLen(1))
		Expect(s.callState("k1")).To(Equal(control.CallDone))
	})

	It("are refused as not run and free the key when no backend server was reached (guards against a key that stays in use)", func() {
		s, b := newHarness(nil), newBackend("o2", answerText("order 7"))
		s.setServers(service, refusingServerRow("o1"))
		got := s.postOrder("k1")
		Expect(got.problem.NotRun).To(BeTrue(), got.body)
		Expect(s.callState("k1")).To(BeEmpty())
		s.setServers(service, serverRow(b))
		Expect(s.postOrder("k1").body).To(Equal("order 7"))
	})

	DescribeTable("need an unambiguous path and a key (guards against a path that is mistaken for a repeatable one)",
		func(method, path, key string, reason problem.Reason) {
			s, b := newHarness(nil), newBackend("o1", answerText("x"))
			s.setServers(service, serverRow(b))
			r := s.request(method, path, "", "Idempotency-Key", key)
			got := send(r)
			Expect(got.problem.Reason).To(Equal(reason), got.body)
			Expect(got.problem.NotRun).To(BeTrue())
			Expect(b.requests()).To(BeEmpty())
		},
		Entry("no key", http.MethodPost, "/services/orders/write", "", problem.KeyRequired),
		Entry("no route matches", http.MethodDelete, "/services/orders/read/1", "", problem.KeyRequired),
		Entry("longer name than the route's", http.MethodGet, "/services/orders/readwrite", "", problem.KeyRequired),
		Entry("parent segment", http.MethodGet, "/services/orders/read/../write", "", problem.InvalidRequest),
		Entry("encoded slash", http.MethodGet, "/services/orders/read%2f..%2fwrite", "", problem.InvalidRequest),
		Entry("double slash", http.MethodGet, "/services/orders/read//x", "", problem.InvalidRequest),
		Entry("unknown service", http.MethodGet, "/services/secret/read", "", problem.NotAllowed),
	)

	It("are not dispatched when the outcome of begin is unknown (guards against a run without a record)", func() {
		s, b := newHarness(nil), newBackend("o1", answerText("order 7"))
		s.setServers(service, serverRow(b))
		s.control.set(func() { s.control.applied["BeginCall"] = true })
		got := s.postOrder("k1")
		Expect(got.problem.Reason).To(Equal(problem.ControlUnavailable))
		Expect(got.problem.NotRun).To(BeFalse(), "an earlier request with the same key may have run")
		Expect(b.requests()).To(BeEmpty())
		By("cancelling the record, so that the key can be used again")
		s.control.set(func() { s.control.applied["BeginCall"] = false })
		Eventually(func() control.CallState { return s.callState("k1") }, time.Second).Should(BeEmpty())
		Expect(s.postOrder("k1").body).To(Equal("order 7"))
	})

	It("withhold the answer until it is durable (guards against an answer that a retry contradicts)", func() {
		s, b := newHarness(nil), newBackend("o1", answerText("order 7"))
		s.setServers(service, serverRow(b))
		s.control.set(func() { s.control.failing["FinishCall"] = true })
		got := s.postOrder("k1")
		Expect(got.problem.Reason).To(Equal(problem.OutcomeUnknown))
		Expect(got.problem.NotRun).To(BeFalse())
		Expect(s.postOrder("k1").problem.Reason).To(Equal(problem.InProgress))
		s.control.set(func() { s.control.failing["FinishCall"] = false })
		Eventually(func() string { return s.postOrder("k1").body }, 2*time.Second).Should(Equal("order 7"))
		Expect(b.requests()).To(HaveLen(1))
	})

	It("run once across a restart of the entry instance (guards against a doubled order after a restart)", func() {
		s := newHarness(nil)
		release := make(chan struct{})
		b := newBackend("o1", func(w http.ResponseWriter, r *http.Request) {
			waitForRelease(r, release)
			_, _ = io.WriteString(w, "order 7")
		})
		DeferCleanup(func() { close(release) })
		s.setServers(service, serverRow(b))
		ctx, disconnect := context.WithCancel(context.Background())
		defer disconnect()
		r := s.request(http.MethodPost, "/services/orders/write", `{"part":1}`, "Idempotency-Key", "k1").WithContext(ctx)
		go func() {
			if answer, err := http.DefaultClient.Do(r); err == nil {
				_ = answer.Body.Close()
			}
		}()
		Eventually(b.requests).Should(HaveLen(1))
		restarted := newHarnessWith(s.control, "entry-1", nil)
		restarted.setServers(service, serverRow(b))
		got := restarted.postOrder("k1")
		Expect(got.problem.Reason).To(Equal(problem.InProgress))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		s.control.loseInstance()
		got = restarted.postOrder("k1")
		Expect(got.problem.Reason).To(Equal(problem.OutcomeUnknown))
		Expect(got.problem.NotRun).To(BeFalse())
		Expect(b.requests()).To(HaveLen(1))
	})

	It("continue when their caller disconnects, so that a retry gets the answer (guards against a lost reply)", func() {
		s := newHarness(nil)
		release := make(chan struct{})
		b := newBackend("o1", func(w http.ResponseWriter, r *http.Request) {
			waitForRelease(r, release)
			_, _ = io.WriteString(w, "order 7")
		})
		s.setServers(service, serverRow(b))
		ctx, disconnect := context.WithCancel(context.Background())
		r := s.request(http.MethodPost, "/services/orders/write", `{"part":1}`, "Idempotency-Key", "k1").WithContext(ctx)
		go func() {
			if answer, err := http.DefaultClient.Do(r); err == nil {
				_ = answer.Body.Close()
			}
		}()
		Eventually(b.requests).Should(HaveLen(1))
		disconnect()
		time.Sleep(50 * time.Millisecond)
		close(release)
		Eventually(func() control.CallState { return s.callState("k1") }, time.Second).Should(Equal(control.CallDone))
		Expect(s.postOrder("k1").body).To(Equal("order 7"))
		Expect(b.requests()).To(HaveLen(1))
	})

	It("end with an unknown outcome on a retry when the answer was too large to be stored (guards against a truncated answer)", func() {
		s, b := newHarness(nil), newBackend("o1", answerText(strings.Repeat("x", control.MaxStoredAnswerBytes+1)))
		s.setServers(service, serverRow(b))
		Expect(s.postOrder("k1").body).To(HaveLen(control.MaxStoredAnswerBytes + 1))
		Expect(s.postOrder("k1").problem.Reason).To(Equal(problem.OutcomeUnknown))
		Expect(b.requests()).To(HaveLen(1))
	})

	It("end with an unknown outcome when the stored status is none (guards against a panic on what an earlier build stored)", func() {
		s, b := newHarness(nil), newBackend("o1", answerText("order 7"))
		s.setServers(service, serverRow(b))
		Expect(s.postOrder("k1").status).To(Equal(http.StatusOK))
		s.control.set(func() { s.control.calls["acme/k1"].answer.Status = 20 })
		Expect(s.postOrder("k1").problem.Reason).To(Equal(problem.OutcomeUnknown))
		Expect(b.requests()).To(HaveLen(1))
	})

	It("end their record after a panic (guards against a key that stays in progress)", func() {
		s, b := newHarness(nil), newBackend("o1", answerText("order 7"))
		s.setServers(service, serverRow(b))
		s.router.panics = true
		Expect(s.postOrder("k1").status).To(Equal(http.StatusInternalServerError))
		Eventually(func() control.CallState { return s.callState("k1") }, time.Second).Should(BeEmpty())
		Expect(s.limits.running()).To(BeZero())
	})

	It("are refused when the table of calls is full (guards against a run without a record)", func() {
		s, b := newHarness(nil), newBackend("o1", answerText("order 7"))
		s.setServers(service, serverRow(b))
		s.control.set(func() {
			s.control.calls["acme/k1"] = &fakeCall{state: control.CallTableFull, request: "other"}
		})
		h := s.control.calls["acme/k1"]
		Expect(s.postOrder("k2").status).To(Equal(http.StatusOK))
		h.hash = readLocked(s.control, func() string { return s.control.calls["acme/k2"].hash })
		got := s.postOrder("k1")
		Expect(got.problem.Reason).To(Equal(problem.Overloaded))
		Expect(got.problem.NotRun).To(BeTrue())
		Expect(b.requests()).To(HaveLen(1))
	})
})

var _ = Describe("repeatable calls", func() {
	It("are repeated on another backend server (guards against a lost lookup)", func() {
		s, b, c := newHarness(nil), newBackend("o1", cutCallInBody), newBackend("o2", answerText("certificate"))
		s.setServers(service, serverRow(b), serverRow(c))
		got := send(s.request(http.MethodGet, "/services/orders/read/7?full=1", ""))
		Expect(got.body).To(Equal("certificate"))
		Expect(c.requests()[0].path).To(Equal("/read/7?full=1"))
		Expect(s.control.billList()).To(HaveLen(1))
	})
})
