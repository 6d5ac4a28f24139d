package soak

import (
	"context"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/standin/site"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

var smallSize = Size{Control: 3, Entry: 3, Servers: 6}

// Every seed that has failed is kept here, with the cause.
var _ = DescribeTable("guarantees hold under the faults of a seed", func(seed uint64, length time.Duration) {
	dir := GinkgoT().TempDir()
	binaries, err := site.Build(dir)
	Expect(err).NotTo(HaveOccurred())
	history, err := Run(context.Background(), Config{
		Seed: seed, Length: length, Size: smallSize, Binaries: binaries, Dir: dir, Log: slog.New(slog.NewTextHandler(GinkgoWriter, nil)),
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(history.Violations()).To(BeEmpty())
	Expect(history.ResultCounts()["200"]).To(BeNumerically(">", 100), "too few answered requests to check the guarantees")
},
	Entry("an answer with status 099 panicked, and ended as status 500 with the headers of its backend server", uint64(5), 30*time.Second),
	Entry("two zone changes of the soak overlapped, and the reversal of one brought back a zone that the other had taken out", uint64(3), 40*time.Second),
)

var _ = Describe("a plan", func() {
	It("depends only on the seed", func() {
		Expect(NewPlan(7, time.Minute, smallSize)).To(Equal(NewPlan(7, time.Minute, smallSize)))
		Expect(NewPlan(7, time.Minute, smallSize)).NotTo(Equal(NewPlan(8, time.Minute, smallSize)))
	})

	// Guards against plans with faults that the system isn't designed to tolerate, under which a violation means nothing.
	It("keeps the majority of the control group available except during KillAll, and lets a replica recover before the next loses its disk", func() {
		for seed := range uint64(300) {
			plan := NewPlan(seed, 2*time.Minute, smallSize)
			for i, s := range plan {
				lost := map[int]bool{}
				for _, o := range plan[:i+1] {
					if o.At+o.Duration > s.At && disablesInstance(o.Kind) && o.Kind != KillAll && o.Target < smallSize.Control {
						lost[o.Target] = true
					}
				}
				Expect(len(lost)).To(BeNumerically("<=", 1), "seed %d at %s", seed, s.At)
			}
		}
	})

	It("contains each kind of step for some seed (guards against faults that are never injected)", func() {
		seen := map[Kind]bool{}
		for seed := range uint64(50) {
			for _, s := range NewPlan(seed, time.Minute, smallSize) {
				seen[s.Kind] = true
			}
		}
		Expect(seen).To(HaveLen(23))
	})
})

// at returns the time s seconds after the start of a history.
func at(s float64) time.Time {
	return time.Unix(1_800_000_000, 0).Add(time.Duration(s * float64(time.Second)))
}

var _ = DescribeTable("guarantees are checked", func(change func(*History, *Outcome), broken ...Guarantee) {
	o := Outcome{ID: "r1", Kind: NonIdempotent, Began: at(10), End: at(11), Status: 200, BodyRead: true, Body: "r1"}
	h := &History{Arrivals: map[string][]Arrival{"r1": {{Request: "r1", Zone: "north", At: at(10.1)}}}}
	change(h, &o)
	h.Outcomes = append(h.Outcomes, o)
	var got []Guarantee
	for _, v := range h.Violations() {
		got = append(got, v.Guarantee)
	}
	Expect(got).To(ConsistOf(broken))
},
	Entry("a whole answer to the caller's own request is accepted", func(*History, *Outcome) {}),
	Entry("the answer to another request", func(_ *History, o *Outcome) { o.Body = "r2" }, WholeAnswer),
	Entry("a stream that ends regularly before its last event", func(_ *History, o *Outcome) {
		o.Kind, o.Body = Stream, formatEvent("r1", 1)
	}, WholeAnswer),
	Entry("a stream that was cut within an event is accepted", func(_ *History, o *Outcome) {
		o.Kind, o.Body, o.BodyRead = Stream, formatEvent("r1", 1)+"id: 2\nda", false
	}),
	Entry("a stream that was cut and lacks an event in between", func(_ *History, o *Outcome) {
		o.Kind, o.Body, o.BodyRead = Stream, formatEvent("r1", 1)+formatEvent("r1", 3), false
	}, WholeAnswer),
	Entry("a repeated non-idempotent request", func(h *History, _ *Outcome) {
		h.Arrivals["r1"] = append(h.Arrivals["r1"], Arrival{Request: "r1", At: at(10.2)})
	}, RunsOnce),
	Entry("a repeated idempotent request is accepted", func(h *History, o *Outcome) {
		o.Kind = Idempotent
		h.Arrivals["r1"] = append(h.Arrivals["r1"], Arrival{Request: "r1", At: at(10.2)})
	}),
	Entry("a refusal as not run after the request ran", func(_ *History, o *Outcome) { o.Status, o.NotRun = 503, true }, RefusedNotRun),
	Entry("a request that ran in a zone that was out for longer than the limit", func(h *History, _ *Outcome) {
		h.ZonesOut = []Span{{Begin: at(3), Name: "north"}}
	}, ZoneDrained),
	Entry("a request that ran in a zone that was back in service is accepted", func(h *History, _ *Outcome) {
		h.ZonesOut = []Span{{Begin: at(3), End: at(10), Name: "north"}}
	}),
	Entry("a request that ran in a zone within the limit is accepted", func(h *History, _ *Outcome) { h.ZonesOut = []Span{{Begin: at(4), Name: "north"}} }),
	Entry("a revoked key that still works", func(h *History, o *Outcome) {
		o.GuestKey = true
		h.KeysOut = []Span{{Begin: at(3)}}
	}, KeyRevoked),
	Entry("an answer cut by a planned stop", func(h *History, o *Outcome) {
		o.BodyRead, o.Body = false, ""
		h.Stops = []Span{{Begin: at(10.5), End: at(11)}}
	}, StopKeepsAnswers),
	Entry("an answer cut by a planned stop soon after a fault is accepted", func(h *History, o *Outcome) {
		o.BodyRead, o.Body = false, ""
		h.Stops = []Span{{Begin: at(10.5), End: at(11)}}
		h.Faults = []Span{{Begin: at(4), End: at(5)}}
	}),
	Entry("a request that came after a leaving flag was passed on", func(h *History, o *Outcome) {
		h.Arrivals["r1"][0].Leaving = 1
		h.Outcomes = append(h.Outcomes, Outcome{ID: "r0", Kind: Idempotent, Began: at(6), End: at(7), Status: 200, BodyRead: true, Body: "r0"})
		h.Arrivals["r0"] = []Arrival{{Request: "r0", At: at(6.5), Leaving: 1}}
	}, LeavingObeyed),
	Entry("a request that came after a leaving flag, at an instance that was killed in between, is accepted", func(h *History, o *Outcome) {
		h.Arrivals["r1"][0].Leaving = 1
		h.Outcomes = append(h.Outcomes, Outcome{ID: "r0", Kind: Idempotent, Began: at(6), End: at(7), Status: 200, BodyRead: true, Body: "r0"})
		h.Arrivals["r0"] = []Arrival{{Request: "r0", At: at(6.5), Leaving: 1}}
		h.Interrupted = []Span{{Begin: at(7.5), End: at(8)}}
	}),
	Entry("three requests to a backend server that is to be spared", func(h *History, _ *Outcome) {
		for _, second := range []float64{5, 5.4, 5.6, 5.7, 5.8} {
			h.Refusals = append(h.Refusals, Refusal{Request: "r1", At: at(second), Until: at(8)})
		}
	}, SpareObeyed),
	Entry("two requests to a backend server that is to be spared are accepted", func(h *History, _ *Outcome) {
		for _, second := range []float64{5, 5.4, 5.6, 5.7, 8.5} {
			h.Refusals = append(h.Refusals, Refusal{Request: "r1", At: at(second), Until: at(8)})
		}
	}),
	Entry("a completion that was not billed", func(h *History, o *Outcome) {
		o.Kind, o.Body, h.BillsKnown = Chat, chatText, true
	}, BilledOnce),
	Entry("a missing bill of an instance that was killed is accepted", func(h *History, o *Outcome) {
		o.Kind, o.Body, h.BillsKnown, h.Killed = Chat, chatText, true, map[int]bool{0: true}
	}),
	Entry("a refusal that bears the mark of a backend server", func(_ *History, o *Outcome) { o.Status, o.Refused, o.Marked = 500, true, true }, OwnRefusals),
	Entry("an answer that comes too late", func(_ *History, o *Outcome) { o.Began = at(-1) }, AnsweredInTime),
	Entry("an answer that comes too late while backend servers spoil answers", func(h *History, o *Outcome) {
		o.Began = at(-1)
		h.Faults = []Span{{Begin: at(5), End: at(6), Name: string(SpoilAnswers)}}
	}, AnsweredInTime),
	Entry("an answer that comes too late beside a fault is accepted", func(h *History, o *Outcome) {
		o.Began = at(-1)
		h.Faults = []Span{{Begin: at(5), End: at(6), Name: string(Pause)}}
	}),
	Entry("a completion that was billed twice", func(h *History, o *Outcome) {
		o.Kind, o.Body, h.BillsKnown, h.Billed = Chat, chatText, true, 2
	}, BilledOnce),
)
