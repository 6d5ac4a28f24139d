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

// Each seed that ever failed stays here, with the cause.
var _ = DescribeTable("promises hold under the faults of a seed", func(seed uint64, length time.Duration) {
	dir := GinkgoT().TempDir()
	binaries, err := site.Build(dir)
	Expect(err).NotTo(HaveOccurred())
	history, err := Run(context.Background(), Config{
		Seed: seed, Length: length, Size: smallSize, Binaries: binaries, Dir: dir, Log: slog.New(slog.NewTextHandler(GinkgoWriter, nil)),
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(history.Violations()).To(BeEmpty())
	Expect(history.Ends()["200"]).To(BeNumerically(">", 100), "a load that nobody answers proves nothing")
},
	Entry("two orders of the soak itself overlapped, and the end of one brought a zone back that the other had taken out", uint64(3), 40*time.Second),
)

var _ = Describe("a plan", func() {
	It("is the same for the same seed and another one for another", func() {
		Expect(NewPlan(7, time.Minute, smallSize)).To(Equal(NewPlan(7, time.Minute, smallSize)))
		Expect(NewPlan(7, time.Minute, smallSize)).NotTo(Equal(NewPlan(8, time.Minute, smallSize)))
	})

	// Guards against plans that take what the product does not promise to bear, so that a violation says nothing.
	It("never loses the majority of the control group but all of it at once, and no two disks in turn before the first is back", func() {
		for seed := range uint64(300) {
			plan := NewPlan(seed, 2*time.Minute, smallSize)
			for i, s := range plan {
				lost := map[int]bool{}
				for _, o := range plan[:i+1] {
					if o.At+o.For > s.At && takesInstance(o.Kind) && o.Kind != KillAll && o.Target < smallSize.Control {
						lost[o.Target] = true
					}
				}
				Expect(len(lost)).To(BeNumerically("<=", 1), "seed %d at %s", seed, s.At)
			}
		}
	})

	It("holds each kind of step in some seed (guards against faults that are never played)", func() {
		seen := map[Kind]bool{}
		for seed := range uint64(50) {
			for _, s := range NewPlan(seed, time.Minute, smallSize) {
				seen[s.Kind] = true
			}
		}
		Expect(seen).To(HaveLen(20))
	})
})

// at returns a time in seconds after the begin of a history.
func at(s float64) time.Time {
	return time.Unix(1_800_000_000, 0).Add(time.Duration(s * float64(time.Second)))
}

var _ = DescribeTable("promises are checked", func(change func(*History, *Outcome), broken ...Promise) {
	o := Outcome{ID: "r1", Kind: Once, Began: at(10), End: at(11), Status: 200, Ended: true, Body: "r1"}
	h := &History{Runs: map[string][]Arrival{"r1": {{Request: "r1", Zone: "north", At: at(10.1)}}}}
	change(h, &o)
	h.Outcomes = append(h.Outcomes, o)
	var got []Promise
	for _, v := range h.Violations() {
		got = append(got, v.Promise)
	}
	Expect(got).To(ConsistOf(broken))
},
	Entry("a whole answer to the own request", func(*History, *Outcome) {}),
	Entry("the answer to another request", func(_ *History, o *Outcome) { o.Body = "r2" }, WholeAnswer),
	Entry("a stream that ends in order before its last event", func(_ *History, o *Outcome) {
		o.Kind, o.Body = Stream, event("r1", 1)
	}, WholeAnswer),
	Entry("a stream that is cut shows no more than that", func(_ *History, o *Outcome) {
		o.Kind, o.Body, o.Ended = Stream, event("r1", 1)+"id: 2\nda", false
	}),
	Entry("a cut stream with a gap", func(_ *History, o *Outcome) {
		o.Kind, o.Body, o.Ended = Stream, event("r1", 1)+event("r1", 3), false
	}, WholeAnswer),
	Entry("a repeated non-idempotent request", func(h *History, _ *Outcome) {
		h.Runs["r1"] = append(h.Runs["r1"], Arrival{Request: "r1", At: at(10.2)})
	}, RunsOnce),
	Entry("a repeated idempotent request is allowed", func(h *History, o *Outcome) {
		o.Kind = Again
		h.Runs["r1"] = append(h.Runs["r1"], Arrival{Request: "r1", At: at(10.2)})
	}),
	Entry("a refusal of what had run", func(_ *History, o *Outcome) { o.Status, o.NotRun = 503, true }, TrueRefusal),
	Entry("work in a zone that was out for longer than the limit", func(h *History, _ *Outcome) {
		h.ZonesOut = []Span{{Begin: at(3), Name: "north"}}
	}, ZoneEmpty),
	Entry("work in a zone that came back before", func(h *History, _ *Outcome) {
		h.ZonesOut = []Span{{Begin: at(3), End: at(10), Name: "north"}}
	}),
	Entry("work within the limit", func(h *History, _ *Outcome) { h.ZonesOut = []Span{{Begin: at(4), Name: "north"}} }),
	Entry("a withdrawn key that still works", func(h *History, o *Outcome) {
		o.Guest = true
		h.KeysOut = []Span{{Begin: at(3)}}
	}, KeyRevoked),
	Entry("an answer cut by a planned stop", func(h *History, o *Outcome) {
		o.Ended, o.Body = false, ""
		h.Stops = []Span{{Begin: at(10.5), End: at(11)}}
	}, StopsCutNo),
	Entry("an answer cut beside a fault", func(h *History, o *Outcome) {
		o.Ended, o.Body = false, ""
		h.Stops = []Span{{Begin: at(10.5), End: at(11)}}
		h.Faults = []Span{{Begin: at(4), End: at(5)}}
	}),
	Entry("a completion that was not billed", func(h *History, o *Outcome) {
		o.Kind, o.Body, h.BillsKnown = Chat, chatText, true
	}, BilledOnce),
	Entry("a completion that may have been lost with its process", func(h *History, o *Outcome) {
		o.Kind, o.Body, h.BillsKnown, h.Killed = Chat, chatText, true, map[int]bool{0: true}
	}),
	Entry("a completion that was billed twice", func(h *History, o *Outcome) {
		o.Kind, o.Body, h.BillsKnown, h.Billed = Chat, chatText, true, 2
	}, BilledOnce),
)
