package entry_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/server/entry"
)

// ledger records which requests reached a backend server and how often each order ran.
type ledger struct {
	mu      sync.Mutex
	reached map[string]bool
	orders  map[string]int
}

func (l *ledger) record(r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request, _, _ := strings.Cut(r.Header.Get("X-Attempt-Id"), "/")
	l.reached[request] = true
	if k := r.Header.Get("Idempotency-Key"); k != "" {
		l.orders[k]++
	}
}

// faultyHandler returns a handler that answers each request with the number in its traceparent header, or with a random fault.
func (l *ledger) faultyHandler(random func(n int) int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		l.record(r)
		number := r.Header.Get("traceparent")
		answer := completion("answer ", "to ", number)
		if strings.HasPrefix(r.URL.Path, "/write") {
			answer = answerText("order " + number)
		}
		switch random(12) {
		case 0:
			cutAtOnce(w, r)
		case 1:
			cutInBody(w, r)
		case 2:
			crossedAnswer(w, r)
		case 3:
			statusHandler(http.StatusServiceUnavailable)(w, r)
		case 4:
			statusHandler(http.StatusInternalServerError)(w, r)
		case 5:
			time.Sleep(30 * time.Millisecond)
			answer(w, r)
		default:
			answer(w, r)
		}
	}
}

// continuingHandler returns a handler that streams an answer with the request's number word by word and cuts some
// streams at random. It continues after the text in continue_from. Unstreamed requests go to l.faultyHandler.
func (b *backend) continuingHandler(l *ledger, random func(n int) int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		seen := b.receivedFor(r)
		if seen.body["stream"] != true {
			l.faultyHandler(random)(w, r)
			return
		}
		l.record(r)
		words := strings.SplitAfter("answer to the request with the number "+r.Header.Get("traceparent"), " ")
		delivered, _ := seen.body["continue_from"].(string)
		for len(words) > 0 && strings.HasPrefix(delivered, words[0]) {
			delivered, words = delivered[len(words[0]):], words[1:]
		}
		if len(words) > 0 && random(3) == 0 {
			stream(abortConnection, words[:random(len(words))]...)(w, r)
			return
		}
		stream(nil, words...)(w, r)
	}
}

// receivedFor returns the request that the backend received with r's attempt id.
func (b *backend) receivedFor(r *http.Request) received {
	for _, seen := range b.requests() {
		if seen.header.Get("X-Attempt-Id") == r.Header.Get("X-Attempt-Id") {
			return seen
		}
	}
	return received{}
}

var _ = Describe("the guarantees", func() {
	It("hold for many requests under faults that come together (guards against foreign, doubled, unbilled and wrongly refused requests)", func() {
		seed := uint64(GinkgoRandomSeed())
		var mu sync.Mutex
		rng := rand.New(rand.NewPCG(seed, 1))
		random := func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return rng.IntN(n)
		}
		s := newHarness(func(c *entry.Config) {
			c.MaxWait, c.BillWait, c.ResumeGrace = 200*time.Millisecond, time.Second, 50*time.Millisecond
		})
		s.budget.retries = 1_000_000
		l := &ledger{reached: map[string]bool{}, orders: map[string]int{}}
		var models, services []*control.BackendServer
		for i := range 4 {
			b := newBackend(fmt.Sprint("b", i), nil)
			b.set(b.continuingHandler(l, random))
			models = append(models, serverRow(b))
			o := newBackend(fmt.Sprint("o", i), l.faultyHandler(random))
			services = append(services, serverRow(o))
		}
		models[3].Phase, services[3].Phase = control.PhaseCold, control.PhaseRamping
		s.setServers(v1, models...)
		s.setServers(service, services...)
		stop := make(chan struct{})
		var faults, callers sync.WaitGroup
		faults.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				method := []string{"RecordBills", "AcquireSlot", "ReleaseSlot", "FinishCall", "BeginCall", "ReportCrash"}[random(6)]
				s.control.set(func() {
					clear(s.control.failing)
					clear(s.control.applied)
					s.control.failing[method] = random(2) == 0
					s.control.applied[method] = random(2) == 0
				})
			}
		})
		for worker := range 8 {
			callers.Go(func() {
				defer GinkgoRecover()
				for i := range 40 {
					// Each number is used twice, so that some orders are sent again with the same key.
					s.sendRandomRequest(random, l, fmt.Sprintf("%d-%d", worker, i/2))
				}
			})
		}
		callers.Wait()
		close(stop)
		faults.Wait()
		s.control.set(func() { clear(s.control.failing); clear(s.control.applied) })
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		Expect(s.handler.Drain(ctx)).To(Succeed())
		Expect(s.limits.running()).To(BeZero())
		Expect(s.handler.Slots()).To(BeEmpty())
		requests := map[string]int{}
		for _, bill := range s.control.billList() {
			requests[bill.Request]++
		}
		for request, bills := range requests {
			Expect(bills).To(Equal(1), request)
		}
		Expect(len(requests)).To(BeNumerically(">", 50), "too few requests were billed under these faults")
		l.mu.Lock()
		defer l.mu.Unlock()
		Expect(len(l.orders)).To(BeNumerically(">", 20))
		for k, runs := range l.orders {
			Expect(runs).To(Equal(1), "order "+k)
		}
	})
})

// sendRandomRequest sends a request of a random kind and checks the answer.
func (s *harness) sendRandomRequest(random func(int) int, l *ledger, number string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	body, path, headers := chat, "/v1/chat/completions", []string{"traceparent", number}
	streamed := false
	switch random(4) {
	case 0:
		path, body = "/services/orders/write", number
		headers = append(headers, "Idempotency-Key", "order-"+number)
	case 1:
		streamed, body = true, chatStream
	}
	body = strings.Replace(body, "hello", number, 1)
	mayDisconnect := random(8) == 0
	if mayDisconnect {
		time.AfterFunc(time.Duration(random(20))*time.Millisecond, cancel)
	}
	answer, err := http.DefaultClient.Do(s.request(http.MethodPost, path, body, headers...).WithContext(ctx))
	if err != nil {
		Expect(mayDisconnect).To(BeTrue(), err.Error())
		return
	}
	defer func() { _ = answer.Body.Close() }()
	got := readPossiblyCutReply(answer, mayDisconnect)
	if mayDisconnect && got.cut {
		return
	}
	switch {
	case got.status == http.StatusOK && path != "/v1/chat/completions":
		Expect(got.body).To(Equal("order " + number))
	case got.status == http.StatusOK && streamed:
		text := eventText(parseEvents(got.body))
		want := "answer to the request with the number " + number
		if got.cut {
			Expect(want).To(HavePrefix(text))
		} else {
			Expect(text).To(Equal(want))
		}
	case got.status == http.StatusOK:
		Expect(got.body).To(ContainSubstring("answer to " + number + `"`))
	case got.problem.NotRun:
		l.mu.Lock()
		defer l.mu.Unlock()
		Expect(l.reached).NotTo(HaveKey(got.problem.Request))
	}
	if got.status == http.StatusOK && !got.cut {
		Eventually(func() bool {
			for _, bill := range s.control.billList() {
				if bill.Request == answer.Header.Get(entry.HeaderRequest) || bill.Key == "order-"+number {
					return true
				}
			}
			return false
		}, 3*time.Second, 20*time.Millisecond).Should(BeTrue(), "a bill for "+number)
	}
}

// readPossiblyCutReply reads an answer. If the caller may disconnect, it returns a cut reply for an incomplete body.
func readPossiblyCutReply(answer *http.Response, mayDisconnect bool) reply {
	if mayDisconnect {
		raw, err := io.ReadAll(answer.Body)
		if err != nil {
			return reply{cut: true}
		}
		answer.Body = io.NopCloser(strings.NewReader(string(raw)))
	}
	return readReply(answer)
}
