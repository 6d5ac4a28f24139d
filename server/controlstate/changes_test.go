package controlstate

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

func progress(state control.RolloutState, step int) control.RolloutProgress {
	return control.RolloutProgress{Model: "claims", From: "v1", To: "v2", State: state, Step: step, Percent: 5, Since: epoch}
}

func (d *driver) rollout(expect *control.RolloutProgress, next control.RolloutProgress) ChangeResult {
	return d.apply(Command{SetRollout: &SetRollout{Expect: expect, Progress: next}}).(ChangeResult)
}

func (d *driver) orderRollout(revision uint64, id string, state control.RolloutState) any {
	p := control.RolloutProgress{Model: "claims", State: state, Reason: "test"}
	return d.apply(Command{SetRollout: &SetRollout{ChangeBase: base(revision, id, "anna"), Progress: p}})
}

var _ = Describe("operator changes", func() {
	var d *driver
	BeforeEach(func() { d = newDriver() })

	It("gives the loser of a race who won, when and the differences", func() {
		Expect(d.catalogue(0, "a", "anna", twoVersions()).Revision).To(Equal(uint64(1)))
		lost := d.zone(0, "b", "bernd", "muc-1", true)
		Expect(lost.Conflict).NotTo(BeNil())
		Expect(lost.Conflict.By).To(Equal("anna"))
		Expect(lost.Conflict.At).To(Equal(epoch))
		Expect(lost.Conflict.Revision).To(Equal(uint64(1)))
		Expect(lost.Conflict.Diff).To(ContainElement("revision 1 by anna: model claims: added"))
		Expect(d.state.View().Orders.ZonesOut).To(BeEmpty(), "the loser must not take effect")
	})
	It("gives a resend the first result, even after later changes by others", func() {
		first := d.catalogue(0, "a", "anna", twoVersions())
		d.zone(1, "b", "bernd", "muc-1", true)
		again := d.catalogue(0, "a", "anna", twoVersions())
		Expect(again.Repeated).To(BeTrue())
		Expect(again.Revision).To(Equal(first.Revision))
		Expect(again.Diff).To(Equal(first.Diff))
		Expect(d.state.View().ConfigRevision).To(Equal(uint64(2)), "a resend must not change anything")
	})
	It("refuses a request id that was used for another change", func() {
		d.zone(0, "a", "anna", "muc-1", true)
		result := d.apply(Command{SetOrder: &SetOrder{ChangeBase: base(1, "a", "anna"), AvailabilityZone: "muc-2", Out: true}})
		Expect(ErrRefused.Has(result.(error))).To(BeTrue())
		Expect(d.state.View().Orders.ZonesOut).To(HaveLen(1))
	})
	It("forgets request ids after 24 h, and conflicts then guard against the old resend", func() {
		d.zone(0, "a", "anna", "muc-1", true)
		d.at = d.at.Add(RequestIDTTL)
		Expect(d.zone(0, "a", "anna", "muc-1", true).Conflict).NotTo(BeNil())
	})
	It("keeps 10,000 request ids at most and drops the oldest, so that operators are never locked out", func() {
		for i := range MaxRequestIDs + 5 {
			d.state.results.push(keyOf(fmt.Sprint(i)), firstResult{}, 0)
		}
		Expect(d.state.results.len()).To(Equal(MaxRequestIDs))
		Expect(d.state.results.get(keyOf("4"))).To(BeNil())
		Expect(d.zone(0, "x", "anna", "muc-1", true).Conflict).To(BeNil())
	})
	It("keeps 64 catalogues and 256 changes, and says so to an operator with an older base", func() {
		for i := range uint64(300) {
			Expect(d.catalogue(i, fmt.Sprint(i), "anna", twoVersions()).Conflict).To(BeNil())
		}
		Expect(d.state.Catalogues()).To(HaveLen(KeptCatalogues))
		Expect(d.state.Changes()).To(HaveLen(KeptChanges))
		Expect(d.zone(3, "late", "bernd", "muc-1", true).Conflict.Diff[0]).To(Equal("changes before revision 45 are no longer kept"))
	})
	It("tells an operator whose base is ahead of the accepted revision", func() {
		Expect(d.zone(7, "a", "anna", "muc-1", true).Conflict.Diff).To(ConsistOf("base_revision 7 is newer than the current revision 0"))
	})
	It("makes no change on a dry run and reports the same differences", func() {
		c := Command{ApplyCatalogue: &ApplyCatalogue{ChangeBase: base(0, "a", "anna"), Catalogue: twoVersions()}}
		dry, err := d.state.DryRun(&c)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.state.View().ConfigRevision).To(BeZero())
		c.ApplyCatalogue.DryRun = true
		Expect(d.apply(c).(ChangeResult).Diff).To(Equal(dry.Diff))
		Expect(d.state.View().ConfigRevision).To(BeZero())
		Expect(d.catalogue(0, "a", "anna", twoVersions()).Diff).To(Equal(dry.Diff))
	})
	It("bounds the lines that are kept of one change", func() {
		c := catalogue.Catalogue{}
		for i := range 500 {
			c.Services = append(c.Services, catalogue.Service{Name: fmt.Sprint("s", i)})
		}
		Expect(d.catalogue(0, "a", "anna", c).Diff).To(HaveLen(MaxDiffLines + 1))
	})
	It("sends only the sections that changed since the caller's revision", func() {
		view, revision := d.state.ViewSince(0)
		Expect(view.Catalogue).NotTo(BeNil(), "a restarted entry instance needs every section")
		Expect(view.Orders).NotTo(BeNil())
		d.zone(0, "a", "anna", "muc-1", true)
		view, next := d.state.ViewSince(revision)
		Expect(next).To(BeNumerically(">", revision))
		Expect(view.Orders.ZonesOut).To(HaveKey("muc-1"))
		Expect(view.Catalogue).To(BeNil())
		Expect(view.Rollouts).To(BeNil())
		Expect(view.Quarantine).To(BeNil())
		view, _ = d.state.ViewSince(next)
		Expect(view).To(BeNil())
	})
	It("never changes a view that was handed out", func() {
		d.zone(0, "a", "anna", "muc-1", true)
		old := d.state.View()
		d.zone(1, "b", "anna", "muc-1", false)
		Expect(old.Orders.ZonesOut).To(HaveKey("muc-1"))
		Expect(d.state.View().Orders.ZonesOut).To(BeEmpty())
	})

	DescribeTable("commands that can't be executed change nothing",
		func(c Command, refused bool) {
			d.catalogue(0, "a", "anna", twoVersions())
			before, _ := d.state.Snapshot()
			err, _ := d.apply(c).(error)
			Expect(err).To(HaveOccurred())
			Expect(ErrRefused.Has(err)).To(Equal(refused))
			after, _ := d.state.Snapshot()
			Expect(after).To(Equal(before))
		},
		Entry("empty command", Command{}, false),
		Entry("order without a name", Command{SetOrder: &SetOrder{ChangeBase: base(1, "b", "x"), Out: true}}, true),
		Entry("order with two names", Command{SetOrder: &SetOrder{ChangeBase: base(1, "b", "x"), AvailabilityZone: "z", BackendServer: "s"}}, true),
		Entry("hold without a rollout", Command{SetRollout: &SetRollout{ChangeBase: base(1, "b", "x"), Progress: progress(control.RolloutHeld, 0)}}, true),
		Entry("lift without a crash", Command{LiftQuarantine: &LiftQuarantine{ChangeBase: base(1, "b", "x"), Fingerprint: "f"}}, true),
	)
	It("refuses bytes that are no command", func() {
		Expect(d.state.Apply(1, []byte("not a command"))).To(MatchError(ContainSubstring("controlstate")))
	})
	It("bounds the standing orders, but always lets one be taken back", func() {
		for i := range MaxOrders {
			d.state.orders.ServersOut[fmt.Sprint(i)] = control.Order{}
		}
		out := &SetOrder{ChangeBase: base(0, "a", "anna"), BackendServer: "more", Out: true}
		Expect(control.ErrTableFull.Has(d.apply(Command{SetOrder: out}).(error))).To(BeTrue())
		in := &SetOrder{ChangeBase: base(0, "b", "anna"), BackendServer: "7"}
		Expect(d.apply(Command{SetOrder: in}).(ChangeResult).Conflict).To(BeNil())
	})
})

var _ = Describe("rollout progress", func() {
	var d *driver
	BeforeEach(func() {
		d = newDriver()
		d.catalogue(0, "a", "anna", twoVersions())
	})

	It("advances only from the progress that the controller expects", func() {
		Expect(d.rollout(nil, progress(control.RolloutRunning, 0)).Conflict).To(BeNil())
		Expect(d.rollout(nil, progress(control.RolloutRunning, 1)).Conflict).NotTo(BeNil(), "an old leader's controller must not restart a rollout")
		now := progress(control.RolloutRunning, 0)
		Expect(d.rollout(&now, progress(control.RolloutRunning, 1)).Conflict).To(BeNil())
		Expect(d.rollout(&now, progress(control.RolloutRunning, 2)).Conflict).NotTo(BeNil())
		Expect(d.state.View().Rollouts.Progress["claims"].Step).To(Equal(1))
		Expect(d.state.View().ConfigRevision).To(Equal(uint64(1)), "the controller is not an operator")
	})
	It("refuses progress of a rollout that the catalogue does not have", func() {
		other := progress(control.RolloutRunning, 0)
		other.To = "v3"
		Expect(d.rollout(nil, other).Conflict).NotTo(BeNil())
	})
	It("keeps the operator's hold against a controller that had not seen it", func() {
		d.rollout(nil, progress(control.RolloutRunning, 0))
		seen := progress(control.RolloutRunning, 0)
		Expect(d.orderRollout(1, "h", control.RolloutHeld).(ChangeResult).Revision).To(Equal(uint64(2)))
		Expect(d.rollout(&seen, progress(control.RolloutRunning, 1)).Conflict).NotTo(BeNil())
		Expect(d.state.View().Rollouts.Progress["claims"].State).To(Equal(control.RolloutHeld))
	})
	It("keeps the step that the controller reached when the operator orders by an older look", func() {
		d.rollout(nil, progress(control.RolloutRunning, 3))
		d.orderRollout(1, "h", control.RolloutRolledBack)
		p := d.state.View().Rollouts.Progress["claims"]
		Expect(p.Step).To(Equal(3))
		Expect(p.Percent).To(BeZero(), "a rolled back version gets no share of new work")
	})
	DescribeTable("transitions by operators",
		func(from, to control.RolloutState, ok bool) {
			d.rollout(nil, progress(from, 1))
			_, refused := d.orderRollout(1, "x", to).(error)
			Expect(refused).To(Equal(!ok))
		},
		Entry("hold a running one", control.RolloutRunning, control.RolloutHeld, true),
		Entry("resume a held one", control.RolloutHeld, control.RolloutRunning, true),
		Entry("roll back a running one", control.RolloutRunning, control.RolloutRolledBack, true),
		Entry("roll back a finished one", control.RolloutDone, control.RolloutRolledBack, true),
		Entry("resume a rolled back one would expose callers again", control.RolloutRolledBack, control.RolloutRunning, false),
		Entry("hold a rolled back one", control.RolloutRolledBack, control.RolloutHeld, false),
		Entry("declare one done by hand", control.RolloutRunning, control.RolloutDone, false),
		Entry("an unknown state", control.RolloutRunning, control.RolloutState("paused"), false),
	)
	It("survives a catalogue change that keeps the rollout and ends with one that drops it", func() {
		d.rollout(nil, progress(control.RolloutRolledBack, 1))
		c := twoVersions()
		c.Models[0].Owner = "other"
		d.catalogue(1, "b", "anna", c)
		Expect(d.state.View().Rollouts.Progress).To(HaveKey("claims"), "an unrelated edit must not reopen a bad version")
		c.Rollouts = nil
		Expect(d.catalogue(2, "c", "anna", c).Diff).To(ContainElement("rollout claims: progress of v1 to v2 (rolled_back, step 1) ends"))
		Expect(d.state.View().Rollouts.Progress).To(BeEmpty())
	})
})

var _ = Describe("phases and fencing numbers", func() {
	It("remembers the boot of each backend server and since when the phase holds", func() {
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
	It("drops servers that have long been gone when the table is full, and refuses when none is", func() {
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
