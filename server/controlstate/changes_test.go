package controlstate

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

func claimsProgress(state control.RolloutState, step int) control.RolloutProgress {
	return control.RolloutProgress{Model: "claims", From: "v1", To: "v2", State: state, Step: step, Percent: 5, Since: epoch}
}

func (d *driver) advanceRollout(expect *control.RolloutProgress, next control.RolloutProgress) ChangeResult {
	return d.apply(Command{SetRollout: &SetRollout{Expect: expect, Progress: next}}).(ChangeResult)
}

func (d *driver) orderRollout(revision uint64, id string, state control.RolloutState) any {
	p := control.RolloutProgress{Model: "claims", State: state, Reason: "test"}
	return d.apply(Command{SetRollout: &SetRollout{ChangeBase: changeBase(revision, id, "anna"), Progress: p}})
}

var _ = Describe("operator changes", func() {
	var d *driver
	BeforeEach(func() { d = newDriver() })

	It("reports the author, time and differences of the accepted change in a conflict", func() {
		Expect(d.applyCatalogue(0, "a", "anna", twoVersionCatalogue()).Revision).To(Equal(uint64(1)))
		lost := d.orderZone(0, "b", "bernd", "muc-1", true)
		Expect(lost.Conflict).NotTo(BeNil())
		Expect(lost.Conflict.By).To(Equal("anna"))
		Expect(lost.Conflict.At).To(Equal(epoch))
		Expect(lost.Conflict.Revision).To(Equal(uint64(1)))
		Expect(lost.Conflict.Diff).To(ContainElement("revision 1 by anna: model claims: added"))
		Expect(d.state.View().Orders.ZonesOut).To(BeEmpty(), "a change with a conflict must not take effect")
	})
	It("returns the first result to a resend, even after later changes by other operators", func() {
		first := d.applyCatalogue(0, "a", "anna", twoVersionCatalogue())
		d.orderZone(1, "b", "bernd", "muc-1", true)
		again := d.applyCatalogue(0, "a", "anna", twoVersionCatalogue())
		Expect(again.Repeated).To(BeTrue())
		Expect(again.Revision).To(Equal(first.Revision))
		Expect(again.Diff).To(Equal(first.Diff))
		Expect(d.state.View().ConfigRevision).To(Equal(uint64(2)), "a resend must not change anything")
	})
	It("refuses a request id that was used for another change", func() {
		d.orderZone(0, "a", "anna", "muc-1", true)
		result := d.apply(Command{SetOrder: &SetOrder{ChangeBase: changeBase(1, "a", "anna"), AvailabilityZone: "muc-2", Out: true}})
		Expect(ErrRefused.Has(result.(error))).To(BeTrue())
		Expect(d.state.View().Orders.ZonesOut).To(HaveLen(1))
	})
	It("removes request ids after 24 h; a later resend gets a conflict", func() {
		d.orderZone(0, "a", "anna", "muc-1", true)
		d.at = d.at.Add(RequestIDTTL)
		Expect(d.orderZone(0, "a", "anna", "muc-1", true).Conflict).NotTo(BeNil())
	})
	It("keeps at most 10,000 request ids and evicts the oldest, so that new changes are always accepted", func() {
		for i := range MaxRequestIDs + 5 {
			d.state.firstResults.putEvictingOldest(keyOf(fmt.Sprint(i)), firstResult{}, 0)
		}
		Expect(d.state.firstResults.len()).To(Equal(MaxRequestIDs))
		Expect(d.state.firstResults.get(keyOf("4"))).To(BeNil())
		Expect(d.orderZone(0, "x", "anna", "muc-1", true).Conflict).To(BeNil())
	})
	It("keeps 64 catalogues and 256 changes, and reports in a conflict that older changes are no longer kept", func() {
		for i := range uint64(300) {
			Expect(d.applyCatalogue(i, fmt.Sprint(i), "anna", twoVersionCatalogue()).Conflict).To(BeNil())
		}
		Expect(d.state.Catalogues()).To(HaveLen(MaxCatalogues))
		Expect(d.state.Changes()).To(HaveLen(MaxChanges))
		Expect(d.orderZone(3, "late", "bernd", "muc-1", true).Conflict.Diff[0]).To(Equal("changes before revision 45 are no longer kept"))
	})
	It("reports a base revision that is newer than the current one", func() {
		Expect(d.orderZone(7, "a", "anna", "muc-1", true).Conflict.Diff).To(ConsistOf("base_revision 7 is newer than the current revision 0"))
	})
	It("makes no change on a dry run and reports the same differences", func() {
		c := Command{ApplyCatalogue: &ApplyCatalogue{ChangeBase: changeBase(0, "a", "anna"), Catalogue: twoVersionCatalogue()}}
		dry, err := d.state.DryRun(&c)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.state.View().ConfigRevision).To(BeZero())
		c.ApplyCatalogue.DryRun = true
		Expect(d.apply(c).(ChangeResult).Diff).To(Equal(dry.Diff))
		Expect(d.state.View().ConfigRevision).To(BeZero())
		Expect(d.applyCatalogue(0, "a", "anna", twoVersionCatalogue()).Diff).To(Equal(dry.Diff))
	})
	It("bounds the diff lines that are kept for one change", func() {
		c := catalogue.Catalogue{}
		for i := range 500 {
			c.Services = append(c.Services, catalogue.Service{Name: fmt.Sprint("s", i)})
		}
		Expect(d.applyCatalogue(0, "a", "anna", c).Diff).To(HaveLen(MaxDiffLines + 1))
	})
	It("sends only the sections that changed since the caller's revision", func() {
		view, revision := d.state.ViewSince(0)
		Expect(view.Catalogue).NotTo(BeNil(), "a restarted entry instance needs every section")
		Expect(view.Orders).NotTo(BeNil())
		d.orderZone(0, "a", "anna", "muc-1", true)
		view, next := d.state.ViewSince(revision)
		Expect(next).To(BeNumerically(">", revision))
		Expect(view.Orders.ZonesOut).To(HaveKey("muc-1"))
		Expect(view.Catalogue).To(BeNil())
		Expect(view.Rollouts).To(BeNil())
		Expect(view.Quarantine).To(BeNil())
		view, _ = d.state.ViewSince(next)
		Expect(view).To(BeNil())
	})
	It("never modifies a view after returning it", func() {
		d.orderZone(0, "a", "anna", "muc-1", true)
		old := d.state.View()
		d.orderZone(1, "b", "anna", "muc-1", false)
		Expect(old.Orders.ZonesOut).To(HaveKey("muc-1"))
		Expect(d.state.View().Orders.ZonesOut).To(BeEmpty())
	})

	DescribeTable("commands that can't be executed change nothing",
		func(c Command, refused bool) {
			d.applyCatalogue(0, "a", "anna", twoVersionCatalogue())
			before, _ := d.state.Snapshot()
			err, _ := d.apply(c).(error)
			Expect(err).To(HaveOccurred())
			Expect(ErrRefused.Has(err)).To(Equal(refused))
			after, _ := d.state.Snapshot()
			Expect(after).To(Equal(before))
		},
		Entry("empty command", Command{}, false),
		Entry("order without a name", Command{SetOrder: &SetOrder{ChangeBase: changeBase(1, "b", "x"), Out: true}}, true),
		Entry("order with two names", Command{SetOrder: &SetOrder{ChangeBase: changeBase(1, "b", "x"), AvailabilityZone: "z", BackendServer: "s"}}, true),
		Entry("hold without a rollout", Command{SetRollout: &SetRollout{ChangeBase: changeBase(1, "b", "x"), Progress: claimsProgress(control.RolloutHeld, 0)}}, true),
		Entry("lift without a crash", Command{LiftQuarantine: &LiftQuarantine{ChangeBase: changeBase(1, "b", "x"), Fingerprint: "f"}}, true),
	)
	It("returns an error for bytes that are not a command", func() {
		Expect(d.state.Apply(1, []byte("not a command"))).To(MatchError(ContainSubstring("controlstate")))
	})
	It("bounds the number of orders, but always accepts the removal of one", func() {
		for i := range MaxOrders {
			d.state.orders.ServersOut[fmt.Sprint(i)] = control.Order{}
		}
		out := &SetOrder{ChangeBase: changeBase(0, "a", "anna"), BackendServer: "more", Out: true}
		Expect(control.ErrTableFull.Has(d.apply(Command{SetOrder: out}).(error))).To(BeTrue())
		in := &SetOrder{ChangeBase: changeBase(0, "b", "anna"), BackendServer: "7"}
		Expect(d.apply(Command{SetOrder: in}).(ChangeResult).Conflict).To(BeNil())
	})
})

var _ = Describe("rollout progress", func() {
	var d *driver
	BeforeEach(func() {
		d = newDriver()
		d.applyCatalogue(0, "a", "anna", twoVersionCatalogue())
	})

	It("advances only when the recorded progress is the one that the controller expects", func() {
		Expect(d.advanceRollout(nil, claimsProgress(control.RolloutRunning, 0)).Conflict).To(BeNil())
		Expect(d.advanceRollout(nil, claimsProgress(control.RolloutRunning, 1)).Conflict).NotTo(BeNil(), "an old leader's controller must not restart a rollout")
		now := claimsProgress(control.RolloutRunning, 0)
		Expect(d.advanceRollout(&now, claimsProgress(control.RolloutRunning, 1)).Conflict).To(BeNil())
		Expect(d.advanceRollout(&now, claimsProgress(control.RolloutRunning, 2)).Conflict).NotTo(BeNil())
		Expect(d.state.View().Rollouts.Progress["claims"].Step).To(Equal(1))
		Expect(d.state.View().ConfigRevision).To(Equal(uint64(1)), "the controller is not an operator")
	})
	It("refuses progress of a rollout that the catalogue does not have", func() {
		other := claimsProgress(control.RolloutRunning, 0)
		other.To = "v3"
		Expect(d.advanceRollout(nil, other).Conflict).NotTo(BeNil())
	})
	It("keeps an operator's hold when the controller advances from progress before the hold", func() {
		d.advanceRollout(nil, claimsProgress(control.RolloutRunning, 0))
		seen := claimsProgress(control.RolloutRunning, 0)
		Expect(d.orderRollout(1, "h", control.RolloutHeld).(ChangeResult).Revision).To(Equal(uint64(2)))
		Expect(d.advanceRollout(&seen, claimsProgress(control.RolloutRunning, 1)).Conflict).NotTo(BeNil())
		Expect(d.state.View().Rollouts.Progress["claims"].State).To(Equal(control.RolloutHeld))
	})
	It("keeps the step that the controller reached when an operator's order is based on older progress", func() {
		d.advanceRollout(nil, claimsProgress(control.RolloutRunning, 3))
		d.orderRollout(1, "h", control.RolloutRolledBack)
		p := d.state.View().Rollouts.Progress["claims"]
		Expect(p.Step).To(Equal(3))
		Expect(p.Percent).To(BeZero(), "a rolled back version gets no share of new work")
	})
	DescribeTable("transitions by operators",
		func(from, to control.RolloutState, ok bool) {
			d.advanceRollout(nil, claimsProgress(from, 1))
			_, refused := d.orderRollout(1, "x", to).(error)
			Expect(refused).To(Equal(!ok))
		},
		Entry("hold a running one", control.RolloutRunning, control.RolloutHeld, true),
		Entry("resume a held one", control.RolloutHeld, control.RolloutRunning, true),
		Entry("roll back a running one", control.RolloutRunning, control.RolloutRolledBack, true),
		Entry("roll back a finished one", control.RolloutDone, control.RolloutRolledBack, true),
		Entry("resume a rolled back one, which would route new requests to it again", control.RolloutRolledBack, control.RolloutRunning, false),
		Entry("hold a rolled back one", control.RolloutRolledBack, control.RolloutHeld, false),
		Entry("mark a running one as done", control.RolloutRunning, control.RolloutDone, false),
		Entry("an unknown state", control.RolloutRunning, control.RolloutState("paused"), false),
	)
	It("is kept by a catalogue that has the rollout and removed by one that does not", func() {
		d.advanceRollout(nil, claimsProgress(control.RolloutRolledBack, 1))
		c := twoVersionCatalogue()
		c.Models[0].Owner = "other"
		d.applyCatalogue(1, "b", "anna", c)
		Expect(d.state.View().Rollouts.Progress).To(HaveKey("claims"), "an unrelated edit must not put a rolled back version into service again")
		c.Rollouts = nil
		Expect(d.applyCatalogue(2, "c", "anna", c).Diff).To(ContainElement("rollout claims: progress of v1 to v2 (rolled_back, step 1) ends"))
		Expect(d.state.View().Rollouts.Progress).To(BeEmpty())
	})
})

var _ = Describe("phases and fencing numbers", func() {
	It("records the boot of each backend server and the time of its last phase change", func() {
		d := newDriver()
		set := func(boot string, phase control.Phase, limit int) {
			d.apply(Command{SetPhase: &SetPhase{BackendServer: "s1", Boot: boot, Phase: phase, Limit: limit}})
		}
		set("b1", control.PhaseRamping, 2)
		d.at = d.at.Add(time.Minute)
		set("b1", control.PhaseRamping, 4)
		r, ok := d.state.Phase("s1")
		Expect(ok).To(BeTrue())
		Expect(r).To(Equal(PhaseRecord{Boot: "b1", Phase: control.PhaseRamping, Limit: 4, Since: epoch}))
		set("b2", control.PhaseCold, 1)
		r, _ = d.state.Phase("s1")
		Expect(r.Since).To(Equal(d.at))
		_, ok = d.state.Phase("s2")
		Expect(ok).To(BeFalse())
	})
	It("removes servers that have been gone for over 24 h when the table is full, and refuses a new one if there are none", func() {
		d := newDriver()
		for i := range MaxPhases {
			d.state.phases[fmt.Sprint(i)] = PhaseRecord{Phase: control.PhaseInService, Since: epoch}
		}
		more := Command{SetPhase: &SetPhase{BackendServer: "more", Boot: "b", Phase: control.PhaseCold}}
		Expect(control.ErrTableFull.Has(d.apply(more).(error))).To(BeTrue())
		d.state.phases["7"] = PhaseRecord{Phase: control.PhaseGone, Since: epoch}
		d.at = d.at.Add(PhaseTTL + time.Second)
		Expect(d.apply(more)).To(BeNil())
		Expect(d.state.phases).To(HaveLen(MaxPhases))
	})
	It("issues fencing numbers that grow with the log index", func() {
		d := newDriver()
		a := d.apply(Command{NextFence: &NextFence{Term: 3}}).(Fence)
		b := d.apply(Command{NextFence: &NextFence{Term: 3}}).(Fence)
		Expect(a).To(Equal(Fence{3, 1}))
		Expect(b).To(Equal(Fence{3, 2}))
	})
})
