package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
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

// rawAnswer is what a faulty backend server writes after the nth request on a connection: answer at once, and later 20 ms after it.
type rawAnswer struct{ answer, later string }

// rawHandler takes the connection over and answers each request on it with the bytes that script returns. n counts from 1.
func rawHandler(script func(n int, r *http.Request) rawAnswer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		for n := 1; ; n++ {
			out := script(n, r)
			if _, err := io.WriteString(conn, out.answer); err != nil {
				return
			}
			if out.later != "" {
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(conn, out.later)
			}
			if r = nextRequest(conn, buffered.Reader); r == nil {
				return
			}
		}
	}
}

func nextRequest(conn net.Conn, reader *bufio.Reader) *http.Request {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return nil
	}
	return r
}

// rawMessage returns an answer with a length. id is the id that it names, none if empty.
func rawMessage(status int, id, extraHeader, body string) string {
	if id != "" {
		id = "X-Attempt-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, extraHeader, len(body), body)
}

const rawNotRun = "Clementinetray-Not-Run: 1\r\n"

var _ = Describe("bytes of a faulty backend server on a kept connection", func() {
	idempotent := catalogue.Route{Kind: catalogue.KindIdempotent, MaxAttempts: 1}
	stream := catalogue.Route{Kind: catalogue.KindStream, MaxAttempts: 1}
	answerTo := func(number string) string { return "data: " + number + "\n\n" }
	ownAnswer := func(r *http.Request) string {
		return rawMessage(http.StatusOK, r.Header.Get("X-Attempt-Id"), "", answerTo(r.Header.Get("X-Number")))
	}

	// Guards against a caller that gets the answer to another request, or is told that its request did not run although it did.
	DescribeTable("never settle another request",
		func(route catalogue.Route, extra func(earlierID string) string, between bool) {
			var mu sync.Mutex
			ran := map[string]bool{}
			s := newRoutedHarness(route, newBackend("b1", rawHandler(func(n int, r *http.Request) rawAnswer {
				mu.Lock()
				ran[r.Header.Get("X-Number")] = true
				mu.Unlock()
				switch {
				case between:
					return rawAnswer{answer: ownAnswer(r), later: extra(r.Header.Get("X-Attempt-Id"))}
				case n > 1:
					return rawAnswer{answer: extra("earlier") + ownAnswer(r)}
				}
				return rawAnswer{answer: ownAnswer(r)}
			})))
			answered, notRun := 0, []string{}
			for i := range 6 {
				number := fmt.Sprint("number ", i)
				got := send(s.request("POST", "/r/x", "", "X-Number", number))
				if got.status == http.StatusOK {
					answered++
					Expect(got.body).To(Equal(answerTo(number)))
				} else {
					Expect(got.body).NotTo(ContainSubstring("foreign"))
					if strings.Contains(got.body, `"not_run":true`) {
						notRun = append(notRun, number)
					}
				}
				if between {
					time.Sleep(50 * time.Millisecond)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			for _, number := range notRun {
				// The transport may hand out the connection that was closed for the odd bytes; no byte of the request is on it then.
				Expect(ran).NotTo(HaveKey(number))
			}
			Expect(answered).To(BeNumerically(">=", 3), "a connection with odd bytes is not used again")
		},
		Entry("an answer with another id before the own one", idempotent, func(id string) string { return rawMessage(200, id, "", "foreign") }, false),
		Entry("an answer without an id before the own one", idempotent, func(string) string { return rawMessage(200, "", "", "foreign") }, false),
		Entry("an empty answer with another id before the own one", idempotent, func(id string) string { return rawMessage(200, id, "", "") }, false),
		Entry("a refusal with another id before the own answer", idempotent, func(id string) string { return rawMessage(503, id, rawNotRun, "") }, false),
		Entry("a refusal without an id before the own answer", idempotent, func(string) string { return rawMessage(503, "", rawNotRun, "") }, false),
		Entry("a refusal without an id before the own stream", stream, func(string) string { return rawMessage(503, "", rawNotRun, "") }, false),
		Entry("a refusal with another id before the own stream", stream, func(id string) string { return rawMessage(503, id, rawNotRun, "") }, false),
		Entry("an answer without an id between two requests", idempotent, func(string) string { return rawMessage(200, "", "", "foreign") }, true),
		Entry("a refusal without an id between two requests", idempotent, func(string) string { return rawMessage(503, "", rawNotRun, "") }, true),
		Entry("bytes that are no answer between two requests", idempotent, func(string) string { return "foreign foreign foreign" }, true),
		Entry("bytes that are no answer before the own one", idempotent, func(string) string { return "foreign foreign foreign\r\n\r\n" }, false),
	)

	It("settle none of 32 requests in flight", func() {
		seed := uint64(GinkgoRandomSeed())
		var mu sync.Mutex
		rng := rand.New(rand.NewPCG(seed, 3))
		extras := []string{
			"", "", "", rawMessage(200, "", "", "foreign"), rawMessage(503, "", rawNotRun, ""), rawMessage(200, "earlier", "", "foreign"),
			rawMessage(503, "earlier", rawNotRun, ""), "foreign\r\n\r\n",
		}
		random := func() string {
			mu.Lock()
			defer mu.Unlock()
			return extras[rng.IntN(len(extras))]
		}
		ran := map[string]bool{}
		faulty := rawHandler(func(n int, r *http.Request) rawAnswer {
			mu.Lock()
			ran[r.Header.Get("X-Number")] = true
			mu.Unlock()
			if n == 1 {
				// A connection without an earlier request has no bytes of an earlier answer.
				return rawAnswer{answer: ownAnswer(r), later: random()}
			}
			return rawAnswer{answer: random() + ownAnswer(r), later: random()}
		})
		s := newRoutedHarness(catalogue.Route{Kind: catalogue.KindIdempotent, MaxAttempts: 3, TimeLimitMillis: 10_000}, newBackend("b1", faulty), newBackend("b2", faulty), newBackend("b3", faulty))
		var callers sync.WaitGroup
		var answered atomic.Int64
		var notRun []string
		for caller := range 32 {
			callers.Go(func() {
				defer GinkgoRecover()
				for i := range 20 {
					number := fmt.Sprint("number ", caller, "/", i)
					got := send(s.request("POST", "/r/x", "", "X-Number", number))
					if got.status == http.StatusOK {
						answered.Add(1)
						Expect(got.body).To(Equal(answerTo(number)))
						continue
					}
					Expect(got.body).NotTo(ContainSubstring("foreign"))
					if strings.Contains(got.body, `"not_run":true`) {
						mu.Lock()
						notRun = append(notRun, number)
						mu.Unlock()
					}
				}
			})
		}
		callers.Wait()
		for _, number := range notRun {
			// Bytes that came before the request was written fail the attempt without a byte of it on the connection.
			Expect(ran).NotTo(HaveKey(number))
		}
		Expect(answered.Load()).To(BeNumerically(">", 400), "of 640")
	})

	It("are not expected of a backend server that names no ids: it gets a new connection for each request", func() {
		s := newRoutedHarness(idempotent, newBackend("b1", rawHandler(func(n int, _ *http.Request) rawAnswer {
			return rawAnswer{answer: rawMessage(200, "", "", fmt.Sprint("answer ", n))}
		})))
		for range 5 {
			got := send(s.request("POST", "/r/x", "1"))
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.body).To(Equal("answer 1"))
		}
	})
})
