package timeline_test

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/peer"
	"clementinetray/server/timeline"
)

func TestTimeline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "timeline")
}

var (
	longText    = strings.Repeat("v", 4000)
	manyDetails = map[string]string{}
)

func init() {
	for i := range 40 {
		manyDetails[fmt.Sprint(i, longText)] = longText
	}
}

func ordinaryEvent(i int) event.Event {
	return event.Event{
		Kind: "attempt_started", Request: fmt.Sprintf("req-%032d", i), Workspace: "gewerk-nord",
		BackendServer: "claims-07", AvailabilityZone: "by-2", Version: "claims@2026-11", Reason: "least loaded of two",
		Detail: map[string]string{"attempt": "1", "score": "0.31"},
	}
}

func largestEvent(int) event.Event {
	return event.Event{Kind: "k", Request: longText, Detail: manyDetails}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

var _ = Describe("Ring", func() {
	It("returns the newest events that match the filter, in order", func() {
		ring := timeline.NewRing("i1", &event.Clock{}, 100)
		for i := range 150 {
			ring.Record(event.Event{Kind: "k", Request: fmt.Sprint("r", i%2), Reason: fmt.Sprint(i), Detail: map[string]string{"n": "1"}})
		}
		events := ring.Query(event.Filter{Request: "r1", Limit: 3})
		Expect(events).To(HaveLen(3))
		for i, reason := range []string{"145", "147", "149"} {
			Expect(events[i].Reason).To(Equal(reason))
			Expect(events[i].Instance).To(Equal("i1"))
			Expect(events[i].Detail).To(Equal(map[string]string{"n": "1"}))
		}
		Expect(ring.Query(event.Filter{Since: events[1].Stamp, Request: "r1"})).To(HaveLen(2))
		Expect(ring.Query(event.Filter{Request: "r2"})).To(BeEmpty())
	})

	DescribeTable("takes less than 10 MiB regardless of the size of the events",
		func(e func(i int) event.Event) {
			before := heapBytes()
			ring := timeline.NewRing("i1", &event.Clock{}, timeline.DefaultEventCount)
			for i := range 2 * timeline.DefaultEventCount {
				ring.Record(e(i))
			}
			used := heapBytes() - before
			Expect(used).To(BeNumerically("<", 10<<20))
			runtime.KeepAlive(ring)
		},
		Entry("ordinary events", ordinaryEvent),
		Entry("long fields and many details", largestEvent),
	)
})

var _ = Describe("Merge", func() {
	It("sorts causes before effects and lists the processes that did not answer", func() {
		secret := []byte("secret")
		pool := peer.NewPool(secret, time.Second)
		defer pool.Close()
		processes := map[string]string{}
		clocks := map[string]*event.Clock{}
		rings := map[string]*timeline.Ring{}
		for _, name := range []string{"control-1", "entry-1"} {
			clocks[name] = &event.Clock{}
			rings[name] = timeline.NewRing(name, clocks[name], 10)
			server, err := peer.Listen("127.0.0.1:0", secret, slog.New(slog.DiscardHandler))
			Expect(err).NotTo(HaveOccurred())
			defer server.Close()
			Expect(server.Register(timeline.ServiceName, timeline.NewService(rings[name]))).To(Succeed())
			go server.Serve()
			processes[name] = server.Address()
		}
		processes["entry-2"] = "127.0.0.1:1"
		// The control instance's wall clock is an hour ahead. Its messages carry its stamp.
		ahead := event.Stamp(time.Now().Add(time.Hour).UnixMilli()) << 16
		clocks["control-1"].Observe(ahead)
		rings["control-1"].Record(event.Event{Kind: "zone_out", AvailabilityZone: "a"})
		clocks["entry-1"].Observe(clocks["control-1"].Now())
		rings["entry-1"].Record(event.Event{Kind: "zone_stopped", AvailabilityZone: "a"})
		clocks["control-1"].Observe(clocks["entry-1"].Now())
		rings["control-1"].Record(event.Event{Kind: "zone_empty", AvailabilityZone: "a"})

		merged := timeline.QueryAll(context.Background(), pool, processes, event.Filter{AvailabilityZone: "a"})
		var kinds []event.Kind
		for _, e := range merged.Events {
			kinds = append(kinds, e.Kind)
		}
		Expect(kinds).To(Equal([]event.Kind{"zone_out", "zone_stopped", "zone_empty"}))
		Expect(merged.Unanswered).To(Equal([]string{"entry-2"}))
	})

	It("advances its clock to the stamp of the query, so that later events of the process have later stamps", func() {
		clock := &event.Clock{}
		ring := timeline.NewRing("e", clock, 10)
		ahead := event.Stamp(time.Now().Add(time.Hour).UnixMilli()) << 16
		var reply control.TimelineReply
		in := control.TimelineRequest{Meta: control.Meta{Stamp: ahead}}
		Expect(timeline.NewService(ring).Query(in, &reply)).To(Succeed())
		Expect(reply.Stamp).To(BeNumerically(">", ahead))
	})
})
