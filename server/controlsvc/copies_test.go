package controlsvc

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/go-chi/chi/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/server/replica"
)

var _ = Describe("copies of a confirmed change", func() {
	members := func(match ...uint64) []replica.MemberStatus {
		var out []replica.MemberStatus
		for _, m := range match {
			out = append(out, replica.MemberStatus{Voter: true, MatchIndex: m})
		}
		return out
	}

	// Guards against a confirmed change whose copies are all in data folders that can be lost at once.
	DescribeTable("are counted", func(losses int, status []replica.MemberStatus, want bool) {
		b := newTestService(true, func(c *Config) {
			c.ToleratedLosses = losses
			c.Log = statusLog{c.Log, replica.Status{CommitIndex: 9, Members: status}}
		})
		Expect(b.hasEnoughCopies(9)).To(Equal(want))
	},
		Entry("a majority of five replicas survives two losses", 2, members(9, 9, 9, 4, 4), true),
		Entry("two of three replicas do not survive two losses", 2, members(9, 9, 4), false),
		Entry("three of three replicas survive two losses", 2, members(9, 9, 9), true),
		Entry("a learner's copy counts", 2, append(members(9, 9, 4), replica.MemberStatus{MatchIndex: 9}), true),
		Entry("one copy is enough without tolerated losses", 0, members(9), true),
	)

	It("are awaited only until the deadline", func() {
		b := newTestService(true, func(c *Config) {
			c.ToleratedLosses = 2
			c.Log = statusLog{c.Log, replica.Status{CommitIndex: 9, Members: members(9, 9, 4)}}
		})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(control.ErrUnavailable.Has(b.awaitCopies(ctx))).To(BeTrue())
	})
})

// statusLog is a log that reports a given status.
type statusLog struct {
	replica.Log
	status replica.Status
}

func (l statusLog) Status() replica.Status { return l.status }

var _ = Describe("calls of the operator API inside the process", func() {
	// Guards against a chi route context that the caller's router leaves in the context: a leader answered 405 to an adapter.
	It("are routed by their own path inside a handler of another router", func() {
		b := newTestService(true).run()
		outer := chi.NewRouter()
		outer.Post("/other/{id}", func(w http.ResponseWriter, r *http.Request) {
			status, _ := b.CallOperatorAPI(r.Context(), http.MethodGet, "/v1/catalogue", nil)
			w.WriteHeader(status)
		})
		w := httptest.NewRecorder()
		outer.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/other/1", nil))
		Expect(w.Code).To(Equal(http.StatusOK))
	})
})
