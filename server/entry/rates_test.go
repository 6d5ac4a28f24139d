package entry_test

import (
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/server/balance"
	"clementinetray/server/entry"
)

// loadDialect extends a dialect by a header with the work percentage of a backend server that runs one of 8 requests.
type loadDialect struct{ entry.Dialect }

func (d loadDialect) ReadAnswer(r *http.Response) entry.AnswerMetadata {
	a := d.Dialect.ReadAnswer(r)
	percent, _ := strconv.Atoi(r.Header.Get("Work"))
	a.Load, a.LoadKnown = balance.LoadReport{Running: 1, Slots: 8, WorkPercent: percent, At: time.Now()}, true
	return a
}

var _ = Describe("backend servers of different speed", func() {
	// Guards against responses that are not recorded, so that nothing is learned of the servers, and against learning in pools whose
	// servers don't report their work percentage.
	DescribeTable("have a rate that is learned from their responses", func(kind catalogue.RouteKind, work string, learned bool) {
		serve := func(delay time.Duration) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(delay)
				w.Header().Set("Work", work)
				streamEvents(3, nil)(w, r)
			}
		}
		s := newHarness(func(c *entry.Config) { c.Dialect, c.TimedPlacement = loadDialect{entry.NativeDialect()}, true })
		s.setRoute(catalogue.Route{Kind: kind, MaxAttempts: 2, TargetMillis: 1000, TargetGapMillis: 500})
		s.addServers("v1", newBackend("fast", serve(2*time.Millisecond)), newBackend("slow", serve(30*time.Millisecond)))
		for range 80 {
			Expect(send(s.request("POST", "/r/x", "body")).status).To(Equal(http.StatusOK))
		}
		value := func(server string) float64 {
			return counterValue(s, "clementinetray_entry_server_relative_time", server)
		}
		if !learned {
			Expect(value("fast") + value("slow")).To(BeZero())
			return
		}
		Expect(value("fast")).To(BeNumerically(">", 0))
		Expect(value("slow")).To(BeNumerically(">", 1.2*value("fast")))
		Expect(counterValue(s, "clementinetray_entry_server_work_percent", "slow")).To(Equal(100.0))
	},
		Entry("streams", catalogue.KindStream, "100", true),
		Entry("other answers", catalogue.KindIdempotent, "100", true),
		Entry("without a work percentage", catalogue.KindStream, "", false),
	)
})
