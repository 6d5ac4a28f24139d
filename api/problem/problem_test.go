package problem_test

import (
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/problem"
)

func TestProblem(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "problem")
}

var _ = Describe("Problem", func() {
	It("omits not_run unless it is true (guards against callers that take false to mean that the request ran)", func() {
		w := httptest.NewRecorder()
		problem.New(problem.OutcomeUnknown, "the answer was lost").Write(w)
		Expect(w.Body.String()).NotTo(ContainSubstring("not_run"))
		w = httptest.NewRecorder()
		problem.New(problem.ViewStale, "the view is too old").MarkNotRun().Write(w)
		Expect(w.Body.String()).To(ContainSubstring(`"not_run":true`))
	})

	It("rounds Retry-After up to whole seconds (guards against retries that are too early)", func() {
		w := httptest.NewRecorder()
		problem.New(problem.Overloaded, "full").WithRetryAfter(1200 * time.Millisecond).Write(w)
		Expect(w.Header().Get("Retry-After")).To(Equal("2"))
		Expect(w.Header().Get("Content-Type")).To(Equal(problem.ContentType))
	})

	DescribeTable("has the status that belongs to its reason (guards against callers that retry a request that can't succeed)",
		func(reason problem.Reason, status int) { Expect(problem.New(reason, "").Status).To(Equal(status)) },
		Entry(nil, problem.Unauthorized, 401), Entry(nil, problem.NotAllowed, 403), Entry(nil, problem.UnknownModel, 404),
		Entry(nil, problem.KeyRequired, 400), Entry(nil, problem.KeyReused, 422), Entry(nil, problem.InProgress, 409),
		Entry(nil, problem.WorkspaceLimit, 429), Entry(nil, problem.ViewStale, 503), Entry(nil, problem.DeadlineExceeded, 504),
	)
})
