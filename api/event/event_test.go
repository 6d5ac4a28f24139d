package event_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/event"
)

func TestEvent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "event")
}

var _ = Describe("Clock", func() {
	It("issues stamps later than each observed one, even one from a clock an hour ahead (guards against effects sorted before their causes)", func() {
		var ahead, behind event.Clock
		remote := event.Stamp(time.Now().Add(time.Hour).UnixMilli()) << 16
		Expect(ahead.Observe(remote)).To(BeNumerically(">", remote))
		cause := ahead.Now()
		Expect(behind.Observe(cause)).To(BeNumerically(">", cause))
		Expect(behind.Now()).To(BeNumerically(">", cause))
	})

	It("never issues a stamp twice (guards against events whose order is undefined)", func() {
		var c event.Clock
		last := c.Now()
		for range 100_000 {
			next := c.Now()
			Expect(next > last).To(BeTrue())
			last = next
		}
	})
})

var _ = DescribeTable("Filter",
	func(f event.Filter, matches bool) {
		e := event.Event{Stamp: 10, Kind: "server_chosen", Request: "r1", AvailabilityZone: "north", Revision: 3}
		Expect(f.Matches(e)).To(Equal(matches))
	},
	Entry("an empty filter matches every event", event.Filter{}, true),
	Entry("an event of another request does not match", event.Filter{Request: "r2"}, false),
	Entry("all fields that are set must match", event.Filter{Request: "r1", AvailabilityZone: "south"}, false),
	Entry("an earlier event does not match", event.Filter{Since: 11}, false),
	Entry("an event stamped exactly Since matches", event.Filter{Since: 10, Revision: 3}, true),
)
