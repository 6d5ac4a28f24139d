package entry_test

import (
	"net/http"
	"strconv"
	"sync/atomic"

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
	)
})
