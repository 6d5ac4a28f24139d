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

// confident is the product's dialect with the confidence of an answer in a header.
type confident struct{ entry.Dialect }

func (c confident) ReadAnswer(r *http.Response) entry.Answer {
	a := c.Dialect.ReadAnswer(r)
	if n, err := strconv.Atoi(r.Header.Get("Confidence")); err == nil {
		a.Confidence = n
	}
	return a
}

var _ = Describe("routes that leave the model to the router", func() {
	route := catalogue.Route{Kind: catalogue.KindStream, Resumable: true, MaxAttempts: 3, Models: []string{"small", "large"}}
	var asked [2]atomic.Int64

	// serve answers as the named model with the confidence.
	serve := func(smallConfidence string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("Content-Type", "text/event-stream")
			model := r.Header.Get("Clementinetray-Model")
			if model == "small" {
				asked[0].Add(1)
				w.Header().Set("Confidence", smallConfidence)
			} else {
				asked[1].Add(1)
				w.Header().Set("Confidence", "1")
			}
			_, _ = w.Write([]byte("id: 1\ndata: " + model + "\n\n"))
		}
	}
	run := func(route catalogue.Route, confidence string, retries float64) string {
		asked[0].Store(0)
		asked[1].Store(0)
		s := newSite(func(c *entry.Config) {
			c.Dialect, c.RoutedRetryPart, c.RoutedRetryFree = confident{entry.NativeDialect()}, 0.0001, retries
		})
		s.route(route)
		s.serveAs("v1", newBackend("b1", serve(confidence)))
		return send(s.request("POST", "/r/x", "body", "Clementinetray-Model", "*")).body
	}

	It("leave a model that the caller names alone", func() {
		Expect(run(route, "10", 100)).To(ContainSubstring("large"))
		s := newSite(nil)
		s.route(route)
		s.serveAs("v1", newBackend("b1", serve("10")))
		Expect(send(s.request("POST", "/r/x", "body", "Clementinetray-Model", "small")).body).To(ContainSubstring("small"))
	})

	// Guards against a dear model for what a small one can do, and a small one's doubtful answer where a dear one may be asked.
	DescribeTable("ask the smallest model first",
		func(change func(*catalogue.Route), confidence string, retries float64, want string, small, large int) {
			r := route
			if change != nil {
				change(&r)
			}
			Expect(run(r, confidence, retries)).To(Equal("id: 1\ndata: " + want + "\n\n"))
			Expect([]int64{asked[0].Load(), asked[1].Load()}).To(Equal([]int64{int64(small), int64(large)}))
		},
		Entry("a sure answer is delivered", nil, "90", 100.0, "small", 1, 0),
		Entry("a doubtful one is dropped for the largest model, whose answer stands", nil, "10", 100.0, "large", 1, 1),
		Entry("an answer without confidence is delivered", nil, "", 100.0, "small", 1, 0),
		Entry("a doubtful one is delivered when no attempt is left", func(r *catalogue.Route) { r.MaxAttempts = 1 }, "10", 100.0, "small", 1, 0),
		Entry("a doubtful one is delivered when the retry budget is used up", nil, "10", 0.5, "small", 1, 0),
	)
})
