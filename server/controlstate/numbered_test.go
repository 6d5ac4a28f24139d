package controlstate

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

func numberedCatalogue(number uint64, id, version string) Command {
	return Command{ApplyCatalogue: &ApplyCatalogue{
		ChangeBase: control.ChangeBase{RequestID: id, By: "platform"}, Number: number,
		Catalogue: claimsCatalogue(catalogue.Version{Name: version}), Document: []byte(id),
	}}
}

var _ = Describe("numbered catalogues", func() {
	var d *driver
	numberAndDocument := func() (uint64, string) {
		c := d.state.Catalogue()
		return c.Number, string(c.Document)
	}
	BeforeEach(func() { d = newDriver() })

	// Guards against a catalogue in force other than the latest one of the operators, which has the highest number.
	DescribeTable("the catalogue with the highest number is in force and each change is accepted",
		func(wantNumber int, wantDocument string, changes ...Command) {
			for _, c := range changes {
				result := d.apply(c)
				Expect(result).To(BeAssignableToTypeOf(ChangeResult{}))
				Expect(result.(ChangeResult).Conflict).To(BeNil())
			}
			number, document := numberAndDocument()
			Expect(number).To(Equal(uint64(wantNumber)))
			Expect(document).To(Equal(wantDocument))
		},
		Entry("numbers in order, with gaps", 9, "b", numberedCatalogue(4, "a", "v1"), numberedCatalogue(9, "b", "v2")),
		Entry("a lower number that arrives late", 9, "b", numberedCatalogue(9, "b", "v2"), numberedCatalogue(4, "a", "v1")),
		Entry("other content under the number in force", 4, "a", numberedCatalogue(4, "a", "v1"), numberedCatalogue(4, "b", "v2")),
		Entry("a resend after a higher number", 9, "b", numberedCatalogue(4, "a", "v1"), numberedCatalogue(9, "b", "v2"), numberedCatalogue(4, "a", "v1")),
		Entry("a resend of the number in force", 4, "a", numberedCatalogue(4, "a", "v1"), numberedCatalogue(4, "a", "v1")),
	)

	It("keeps the current number and document in a snapshot, but no documents of earlier revisions", func() {
		d.apply(numberedCatalogue(4, "a", "v1"))
		d.apply(numberedCatalogue(9, "b", "v2"))
		data, err := d.state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		d.state = New()
		Expect(d.state.Restore(data)).To(Succeed())
		number, document := numberAndDocument()
		Expect(number).To(Equal(uint64(9)))
		Expect(document).To(Equal("b"))
		Expect(d.state.Catalogues()[1].Document).To(BeNil())
	})
})

var _ = Describe("orders that apply to the latest revision", func() {
	order := func(id string, out bool) Command {
		return Command{SetOrder: &SetOrder{
			ChangeBase: control.ChangeBase{RequestID: id, By: "platform", Latest: true}, AvailabilityZone: "north", Out: out,
		}}
	}

	// Guards against refusing a resend because of another change in between, and against applying a resend twice.
	It("are accepted at any revision, and change nothing when repeated", func() {
		d := newDriver()
		first := d.apply(order("1", true)).(ChangeResult)
		again := d.apply(order("2", true)).(ChangeResult)
		Expect(again.Conflict).To(BeNil())
		Expect(again.Repeated).To(BeTrue())
		Expect(again.Revision).To(Equal(first.Revision))
		Expect(d.state.View().Orders.ZonesOut).To(HaveKey("north"))
		d.apply(order("3", false))
		Expect(d.state.View().Orders.ZonesOut).NotTo(HaveKey("north"))
	})
})

var _ = Describe("roll-outs of services", func() {
	var d *driver
	start := func(id, to string) ChangeResult {
		return d.apply(Command{StartServiceRollout: &StartServiceRollout{
			ChangeBase: control.ChangeBase{RequestID: id, By: "platform", Latest: true}, Service: "pool", To: to, Seconds: 20,
		}}).(ChangeResult)
	}
	advance := func(change func(*control.ServiceRollout)) {
		next := d.state.View().Rollouts.Services["pool"]
		change(&next)
		d.apply(Command{AdvanceServiceRollout: &AdvanceServiceRollout{Progress: next}})
	}
	current := func() control.ServiceRollout { return d.state.View().Rollouts.Services["pool"] }
	BeforeEach(func() { d = newDriver() })

	It("starts with the order, and a resend does not start a second one", func() {
		start("1", "v2")
		advance(func(r *control.ServiceRollout) { r.Percent, r.ElapsedMillis = 6, 1000 })
		start("2", "v2")
		Expect(current().Order).To(Equal(uint64(1)))
		Expect(current().Percent).To(Equal(6))
	})

	// Guards against a deposed leader that overwrites the end of a roll-out.
	It("does not change after its end", func() {
		start("1", "v2")
		advance(func(r *control.ServiceRollout) { r.State, r.ElapsedMillis = control.RolloutRolledBack, 1000 })
		advance(func(r *control.ServiceRollout) { r.State, r.ElapsedMillis = control.RolloutDone, 2000 })
		Expect(current().State).To(Equal(control.RolloutRolledBack))
		Expect(current().RolledBack).To(ConsistOf("v2"))
	})

	// Guards against a new leader that restarts the time limit.
	It("ignores progress with a smaller elapsed time", func() {
		start("1", "v2")
		advance(func(r *control.ServiceRollout) { r.Percent, r.ElapsedMillis = 30, 9000 })
		advance(func(r *control.ServiceRollout) { r.Percent, r.ElapsedMillis = 6, 1000 })
		Expect(current().Percent).To(Equal(30))
		Expect(current().ElapsedMillis).To(Equal(int64(9000)))
	})

	It("is kept across a new catalogue and a snapshot", func() {
		start("1", "v2")
		d.apply(numberedCatalogue(4, "a", "v1"))
		data, err := d.state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		d.state = New()
		Expect(d.state.Restore(data)).To(Succeed())
		Expect(current().To).To(Equal("v2"))
	})
})

var _ = Describe("recorded backend servers", func() {
	// Guards against a control group that has no backend servers after a power loss.
	It("are kept across a snapshot until they are removed", func() {
		d := newDriver()
		d.apply(Command{RecordServers: &RecordServers{Put: []RecordedServer{{Announcement: control.Announcement{ID: "s1"}}, {Announcement: control.Announcement{ID: "s2"}, Deregistered: true}}}})
		d.apply(Command{RecordServers: &RecordServers{Remove: []string{"s1"}}})
		data, err := d.state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		d.state = New()
		Expect(d.state.Restore(data)).To(Succeed())
		Expect(d.state.Servers()).To(Equal([]RecordedServer{{Announcement: control.Announcement{ID: "s2"}, Deregistered: true}}))
	})
})
