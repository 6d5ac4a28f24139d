package entry_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/server/entry"
)

// confidenceDialect extends a dialect by a header with the confidence of an answer.
type confidenceDialect struct{ entry.Dialect }

func (c confidenceDialect) ReadAnswer(r *http.Response) entry.AnswerMetadata {
	a := c.Dialect.ReadAnswer(r)
	if n, err := strconv.Atoi(r.Header.Get("Confidence")); err == nil {
		a.Confidence = n
	}
	return a
}

var _ = Describe("routes that leave the model to the router", func() {
	route := catalogue.Route{Kind: catalogue.KindStream, Resumable: true, MaxAttempts: 3, Models: []string{"small", "large"}}
	// calls counts the requests to the small and to the large model.
	var calls [2]atomic.Int64

	// serve answers as the model that the request's header names. The small model states the confidence, the large one 1.
	serve := func(smallConfidence string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("Content-Type", "text/event-stream")
			model := r.Header.Get("Clementinetray-Model")
			if model == "small" {
				calls[0].Add(1)
				w.Header().Set("Confidence", smallConfidence)
			} else {
				calls[1].Add(1)
				w.Header().Set("Confidence", "1")
			}
			_, _ = w.Write([]byte("id: 1\ndata: " + model + "\n\n"))
		}
	}
	run := func(route catalogue.Route, confidence string, retries float64) string {
		calls[0].Store(0)
		calls[1].Store(0)
		s := newHarness(func(c *entry.Config) {
			c.Dialect, c.RoutedRetryRatio, c.RoutedRetrySlack = confidenceDialect{entry.NativeDialect()}, 0.0001, retries
		})
		s.setRoute(route)
		s.addServers("v1", newBackend("b1", serve(confidence)))
		return send(s.request("POST", "/r/x", "body", "Clementinetray-Model", "*")).body
	}

	It("do not replace a model that the caller names", func() {
		Expect(run(route, "10", 100)).To(ContainSubstring("large"))
		s := newHarness(nil)
		s.setRoute(route)
		s.addServers("v1", newBackend("b1", serve("10")))
		Expect(send(s.request("POST", "/r/x", "body", "Clementinetray-Model", "small")).body).To(ContainSubstring("small"))
	})

	// Guards against the use of an expensive model where a small one is enough, and against a delivered answer of low confidence
	// where a larger model may still be used.
	DescribeTable("try the smallest model first",
		func(change func(*catalogue.Route), confidence string, retries float64, want string, small, large int) {
			r := route
			if change != nil {
				change(&r)
			}
			Expect(run(r, confidence, retries)).To(Equal("id: 1\ndata: " + want + "\n\n"))
			Expect([]int64{calls[0].Load(), calls[1].Load()}).To(Equal([]int64{int64(small), int64(large)}))
		},
		Entry("an answer of high confidence is delivered", nil, "90", 100.0, "small", 1, 0),
		Entry("one of low confidence is dropped and the largest model's answer is delivered", nil, "10", 100.0, "large", 1, 1),
		Entry("an answer without confidence is delivered", nil, "", 100.0, "small", 1, 0),
		Entry("one of low confidence is delivered when no attempt is left", func(r *catalogue.Route) { r.MaxAttempts = 1 }, "10", 100.0, "small", 1, 0),
		Entry("one of low confidence is delivered when the retry budget is used up", nil, "10", 0.5, "small", 1, 0),
		// Guards against a request that may run once only and runs twice, as the answer of the first run was dropped.
		Entry("one of low confidence is delivered when the request may not be repeated", func(r *catalogue.Route) {
			r.Kind, r.Resumable = catalogue.KindNonIdempotent, false
		}, "10", 100.0, "small", 1, 0),
		Entry("one of low confidence is delivered when the stream may not be resumed", func(r *catalogue.Route) { r.Resumable = false }, "10", 100.0, "small", 1, 0),
		Entry("one of low confidence is dropped when the request may be repeated", func(r *catalogue.Route) {
			r.Kind, r.Resumable = catalogue.KindIdempotent, false
		}, "10", 100.0, "large", 1, 1),
	)

	// serveModels answers with the name of the model, after a delay for the large one. Every model but the large one has a low confidence.
	serveModels := func(delay time.Duration) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			model := r.Header.Get("Clementinetray-Model")
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Confidence", "10")
			if model == "large" {
				w.Header().Set("Confidence", "90")
				time.Sleep(delay)
			}
			_, _ = w.Write([]byte("id: 1\ndata: " + model + "\n\n"))
		}
	}
	controlled := func(change func(*entry.Config)) *harness {
		return newHarness(func(c *entry.Config) {
			c.Dialect, c.RoutedRetryRatio, c.RoutedRetrySlack, c.OverloadControl = confidenceDialect{entry.NativeDialect()}, 1, 1000, true
			change(c)
		})
	}
	threeModels := catalogue.Route{Kind: catalogue.KindStream, Resumable: true, MaxAttempts: 3, Models: []string{"small", "middle", "large"}, TargetMillis: 5000}

	// Guards against requests of the least urgent rank that take the time of the largest model from urgent ones, and against the limit
	// where overload control is off or only two ranks share the models.
	DescribeTable("leave the largest model to more urgent ranks under overload control",
		func(ranks []int, rank int, control bool, want string) {
			s := controlled(func(c *entry.Config) { c.OverloadControl = control })
			route := threeModels
			route.Rank = rank
			var others []catalogue.Route
			for i, rank := range ranks {
				r := route
				r.Name, r.Host, r.PathPrefix, r.Rank = fmt.Sprint("other", i), "127.0.0.1", fmt.Sprintf("/other%d/", i), rank
				r.Targets, r.TimeLimitMillis = []catalogue.Target{{Service: "orders", Weight: 1}}, 2000
				others = append(others, r)
			}
			s.setRoute(route, others...)
			s.addServers("v1", newBackend("b1", serveModels(0)))
			Expect(send(s.request("POST", "/r/x", "body", "Clementinetray-Model", "*")).body).To(Equal("id: 1\ndata: " + want + "\n\n"))
			if want == "middle" {
				Expect(counterValue(s, "clementinetray_entry_larger_models_total", "reserved")).To(Equal(1.0))
			}
		},
		Entry("the least urgent of three", []int{0, 1}, 2, true, "middle"),
		Entry("a more urgent one of three", []int{0, 2}, 1, true, "large"),
		Entry("the less urgent of two", []int{0}, 1, true, "large"),
		Entry("the least urgent of three without overload control", []int{0, 1}, 2, false, "large"),
	)

	It("take no model that is expected to answer after the target time (guards against prompts that a slow model reads for longer than callers wait)", func() {
		s := controlled(func(*entry.Config) {})
		route := threeModels
		route.Models = []string{"small", "large"}
		s.setRoute(route)
		s.addServers("v1", newBackend("b1", serveModels(60*time.Millisecond)))
		ask := func() string { return send(s.request("POST", "/r/x", "body", "Clementinetray-Model", "*")).body }
		for range 40 {
			Expect(ask()).To(ContainSubstring("large"))
		}
		route.TargetMillis = 20
		s.setRoute(route)
		Expect(ask()).To(ContainSubstring("small"))
		Expect(counterValue(s, "clementinetray_entry_larger_models_total", "late")).To(Equal(1.0))
	})
})
