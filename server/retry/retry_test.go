package retry_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"clementinetray/server/retry"
)

func init() {
	// A fixed seed, so that the property test checks the same cases in each run.
	_ = flag.Set("rapid.seed", "20260704")
}

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var start = time.Unix(1_800_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

var _ = DescribeTable("retries at second 20", func(requestsAt float64, requests int, retriesAt float64, retries, want int) {
	b := retry.NewBudget()
	b.TryRetry(at(-40))
	for range requests {
		b.CountRequest(at(requestsAt))
	}
	for range retries {
		b.TryRetry(at(retriesAt))
	}
	got := 0
	for b.TryRetry(at(20)) {
		got++
	}
	Expect(got).To(Equal(want))
},
	Entry("guards against an instance with few requests that may not retry at all", 0.0, 0, 0.0, 0, 3),
	Entry("guards against a retry storm: 100 requests allow 10 more retries", 15.0, 100, 15.0, 0, 13),
	Entry("guards against requests that count for longer than 10 s", 9.0, 100, 15.0, 0, 3),
	Entry("guards against retries that count for less than 10 s", 15.0, 100, 10.3, 8, 5),
	Entry("guards against retries that count for longer than 10 s", 9.0, 100, 9.5, 8, 3),
)

// Guards against more retries in any 10 s than 3 plus a tenth of the requests of the same 10 s.
func TestBudgetInAnyWindow(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		b, now := retry.NewBudget(), start
		var requests, retries []time.Time
		within := func(times []time.Time) int {
			n := 0
			for _, x := range times {
				if now.Sub(x) < retry.BudgetWindow {
					n++
				}
			}
			return n
		}
		for range 600 {
			now = now.Add(time.Duration(rng.IntN(150)*rng.IntN(4)) * time.Millisecond)
			if rng.IntN(3) > 0 {
				b.CountRequest(now)
				requests = append(requests, now)
			} else if b.TryRetry(now) {
				retries = append(retries, now)
				if float64(within(retries)) > retry.DefaultFreeRetries+retry.DefaultRatio*float64(within(requests)) {
					t.Fatalf("%d retries for %d requests", within(retries), within(requests))
				}
			}
		}
		total += len(retries)
	})
	if total == 0 {
		t.Fatal("no retry was allowed")
	}
}

var _ = DescribeTable("deadline header", func(header, want string, ok bool) {
	deadline, err := retry.ParseDeadline(header, at(0))
	Expect(err == nil).To(Equal(ok))
	Expect(retry.FormatDeadline(deadline, at(0.4))).To(Equal(want))
},
	Entry("guards against a deadline that is not shortened by the time already spent", "1000", "600", true),
	Entry("guards against a negative remaining time", "100", "0", true),
	Entry("guards against a deadline for a request without the header", "", "", true),
	Entry("guards against an overflow", "9223372036854775807", "86399600", true),
	Entry("guards against a deadline of zero", "0", "", false),
	Entry("guards against a negative deadline", "-5", "", false),
	Entry("guards against a deadline that is not a number", "soon", "", false),
)

var _ = DescribeTable("attempts that may be repeated", func(f retry.Failure, want bool) {
	Expect(retry.MayRetry(f, at(1))).To(Equal(want))
},
	Entry("guards against a second run of a non-idempotent call", retry.Failure{Sent: true}, false),
	Entry("guards against no retry of a call that reached no backend server", retry.Failure{}, true),
	Entry("guards against no retry of an idempotent call", retry.Failure{Sent: true, Idempotent: true}, true),
	Entry("guards against an answer that the caller receives from the start again", retry.Failure{Sent: true, Idempotent: true, Delivered: true}, false),
	Entry("guards against no retry of a broken stream that can be resumed", retry.Failure{Sent: true, Idempotent: true, Delivered: true, Resumable: true}, true),
	Entry("guards against a retry of a non-idempotent call with a resumable answer", retry.Failure{Sent: true, Delivered: true, Resumable: true}, false),
	Entry("guards against an attempt that can't meet the deadline", retry.Failure{Idempotent: true, Deadline: at(1.01)}, false),
)

var _ = DescribeTable("hedged attempts at second 1", func(change func(h *retry.Hedge), want bool) {
	h := retry.Hedge{Idempotent: true, Started: at(0), P95: 800 * time.Millisecond, Median: 200 * time.Millisecond, Deadline: at(3)}
	change(&h)
	Expect(retry.MayHedge(h, at(1))).To(Equal(want))
},
	Entry("guards against waiting for a slow backend server", func(*retry.Hedge) {}, true),
	Entry("guards against a second run of a non-idempotent call", func(h *retry.Hedge) { h.Idempotent = false }, false),
	Entry("guards against a second attempt of a request that may crash backend servers", func(h *retry.Hedge) { h.Suspect = true }, false),
	Entry("guards against a second attempt after the answer has started", func(h *retry.Hedge) { h.FirstByteReceived = true }, false),
	Entry("guards against a third attempt", func(h *retry.Hedge) { h.Hedged = true }, false),
	Entry("guards against a second attempt for a request that is not slow yet", func(h *retry.Hedge) { h.Started = at(0.5) }, false),
	Entry("guards against a second attempt while the usual latency is unknown", func(h *retry.Hedge) { h.P95 = 0 }, false),
	Entry("guards against a second attempt that can't meet the deadline", func(h *retry.Hedge) { h.Deadline = at(1.1) }, false),
)
