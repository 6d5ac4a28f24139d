package fleet_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/blackboard"
	"clementinetray/server/controlsvc"
	"clementinetray/server/fleet"
)

var _ controlsvc.FleetTable = (*fleet.Table)(nil)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

var (
	start  = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	claims = catalogue.VersionRef{Model: "claims", Version: "v1"}
)

func announcement(id, boot string) control.Announcement {
	return control.Announcement{
		ID: id, Boot: boot, Address: "127.0.0.1:80", AvailabilityZone: "a", Capacity: 8,
		Versions: []catalogue.VersionRef{claims},
	}
}

// sendOverWire returns the delta as a remote process decodes it.
func sendOverWire(d control.FleetDelta) control.FleetDelta {
	GinkgoHelper()
	var buf bytes.Buffer
	Expect(gob.NewEncoder(&buf).Encode(d)).To(Succeed())
	var out control.FleetDelta
	Expect(gob.NewDecoder(&buf).Decode(&out)).To(Succeed())
	return out
}

// fullCopy returns the whole table as a reader without an earlier copy receives it.
func fullCopy(table *fleet.Table, now time.Time) *blackboard.Fleet {
	return fleet.ApplyDelta(nil, table.Delta(now, "", 0), now)
}

// expectSameFleet compares a reader's table with the full one. Rows of a former leader may remain for 8 s.
func expectSameFleet(got, want *blackboard.Fleet) {
	GinkgoHelper()
	listed := *got
	listed.Servers = map[string]*control.BackendServer{}
	for id, s := range got.Servers {
		if s.Number != 0 || want.Servers[id] != nil {
			listed.Servers[id] = s
			continue
		}
		Expect(s.LoadAge).To(BeNumerically("<", 8*time.Second))
	}
	got = &listed
	Expect(got.Epoch).To(Equal(want.Epoch))
	Expect(got.Version).To(Equal(want.Version))
	Expect(got.Members).To(ConsistOf(want.Members))
	Expect(got.Servers).To(HaveLen(len(want.Servers)))
	for id, w := range want.Servers {
		g := got.Servers[id]
		Expect(g).NotTo(BeNil(), id)
		a, b := *g, *w
		a.ReportedAt, b.ReportedAt = time.Time{}, time.Time{}
		if len(a.PrefixHashes) == 0 && len(b.PrefixHashes) == 0 {
			a.PrefixHashes, b.PrefixHashes = nil, nil
		}
		Expect(a).To(Equal(b))
	}
	for ref, list := range want.ByVersion {
		var indexed []string
		for _, s := range got.ByVersion[ref] {
			if got.Servers[s.ID] != nil {
				Expect(s).To(BeIdenticalTo(got.Servers[s.ID]))
				indexed = append(indexed, s.ID)
			}
		}
		var ids []string
		for _, s := range list {
			ids = append(ids, s.ID)
		}
		Expect(indexed).To(Equal(ids))
	}
	for name, list := range want.ByService {
		Expect(len(got.ByService[name])).To(BeNumerically(">=", len(list)))
	}
}

var _ = Describe("Table", func() {
	var (
		table *fleet.Table
		now   time.Time
	)
	BeforeEach(func() {
		table, now = fleet.NewTable(), start
		table.Reset(now, fleet.Epoch(1))
	})

	DescribeTable("refuses announcements that would corrupt the table",
		func(change func(*control.Announcement)) {
			a := announcement("s1", "1")
			change(&a)
			Expect(fleet.ErrInvalidAnnouncement.Has(table.Announce(now, a))).To(BeTrue())
			Expect(table.Snapshot(now).Servers).To(BeEmpty())
		},
		Entry("no id", func(a *control.Announcement) { a.ID = "" }),
		Entry("no boot number", func(a *control.Announcement) { a.Boot = "" }),
		Entry("no address", func(a *control.Announcement) { a.Address = "" }),
		Entry("no capacity", func(a *control.Announcement) { a.Capacity = 0 }),
		Entry("negative load", func(a *control.Announcement) { a.Running = -1 }),
		Entry("a long id", func(a *control.Announcement) { a.ID = string(make([]byte, 300)) }),
		Entry("a version without a name", func(a *control.Announcement) { a.Versions = []catalogue.VersionRef{{Model: "m"}} }),
	)

	It("treats a server as cold on its first announcement, so that it gets no full load before lifecycle sets its phase", func() {
		a := announcement("s1", "1")
		a.ColdCapacity = 2
		Expect(table.Announce(now, a)).To(Succeed())
		s := table.Snapshot(now).Servers["s1"]
		Expect(s.Phase).To(Equal(control.PhaseCold))
		Expect(s.Limit).To(Equal(2))
	})

	It("treats a server as cold again after a new boot number and ignores a late announcement of the old boot", func() {
		Expect(table.Announce(now, announcement("s1", "1"))).To(Succeed())
		table.SetPhase(now, "s1", "1", control.PhaseInService, 0, "ramp done")
		Expect(table.Announce(now, announcement("s1", "2"))).To(Succeed())
		Expect(table.Snapshot(now).Servers["s1"].Phase).To(Equal(control.PhaseCold))
		Expect(fleet.ErrStaleBoot.Has(table.Announce(now, announcement("s1", "1")))).To(BeTrue())
		table.SetPhase(now, "s1", "1", control.PhaseInService, 0, "late")
		Expect(table.Snapshot(now).Servers["s1"].Phase).To(Equal(control.PhaseCold))
		Expect(table.Snapshot(now).Servers["s1"].Boot).To(Equal("2"))
	})

	DescribeTable("drops silent servers after 8 s and silent entry instances after 5 s",
		func(after time.Duration, servers, members int) {
			Expect(table.Announce(now, announcement("s1", "1"))).To(Succeed())
			table.Heartbeat(now, control.Member{Instance: "e1", Boot: "1"}, false)
			f := table.Snapshot(now.Add(after))
			Expect(f.Servers).To(HaveLen(servers))
			Expect(f.Members).To(HaveLen(members))
		},
		Entry("just before 5 s", 5*time.Second-time.Millisecond, 1, 1),
		Entry("at 5 s", 5*time.Second, 1, 0),
		Entry("at 8 s", 8*time.Second, 0, 0),
	)

	It("keeps a restarted entry instance when a leave message of its old boot arrives late", func() {
		table.Heartbeat(now, control.Member{Instance: "e1", Boot: "2"}, false)
		table.Heartbeat(now, control.Member{Instance: "e1", Boot: "1"}, true)
		Expect(table.Snapshot(now).Members).To(HaveLen(1))
		table.Heartbeat(now, control.Member{Instance: "e1", Boot: "2"}, true)
		held := fleet.ApplyDelta(nil, sendOverWire(table.Delta(now, "", 0)), now)
		Expect(held.Members).To(BeEmpty())
	})

	It("limits the number of servers", func() {
		for i := range 12_000 {
			Expect(table.Announce(now, announcement(fmt.Sprint("s", i), "1"))).To(Succeed())
		}
		Expect(fleet.ErrTableFull.Has(table.Announce(now, announcement("one more", "1")))).To(BeTrue())
	})

	It("keeps copied rows for 8 s after a leader change, so that requests still find backend servers", func() {
		Expect(table.Announce(now, announcement("s1", "1"))).To(Succeed())
		table.SetPhase(now, "s1", "1", control.PhaseInService, 0, "ramp done")
		follower := fleet.NewTable()
		follower.LoadDelta(now, sendOverWire(table.Delta(now, "", 0)))
		now = now.Add(7 * time.Second)
		follower.Reset(now, fleet.Epoch(2))
		Expect(follower.Snapshot(now.Add(7 * time.Second)).Servers["s1"].Phase).To(Equal(control.PhaseInService))
		Expect(follower.Snapshot(now.Add(8 * time.Second)).Servers).To(BeEmpty())
	})

	It("returns changes of load within 50 ms in a snapshot, and other changes at once", func() {
		Expect(table.Announce(now, announcement("s1", "1"))).To(Succeed())
		Expect(table.Snapshot(now).Servers).To(HaveLen(1))
		table.SetPhase(now, "s1", "1", control.PhaseInService, 0, "ramp done")
		Expect(table.Snapshot(now).Servers["s1"].Phase).To(Equal(control.PhaseInService))
		a := announcement("s1", "1")
		a.Running = 5
		Expect(table.Announce(now, a)).To(Succeed())
		now = now.Add(50 * time.Millisecond)
		Expect(table.Snapshot(now).Servers["s1"].Running).To(Equal(5))
		s, ok := table.Server(now, "s1")
		Expect(ok).To(BeTrue())
		Expect(s.LoadAge).To(Equal(50 * time.Millisecond))
	})

	It("ignores a delta of an earlier leader or an earlier version", func() {
		Expect(table.Announce(now, announcement("s1", "1"))).To(Succeed())
		early := table.Delta(now, "", 0)
		Expect(table.Announce(now, announcement("s2", "1"))).To(Succeed())
		held := fleet.ApplyDelta(nil, table.Delta(now, "", 0), now)
		Expect(fleet.ApplyDelta(held, early, now).Servers).To(HaveLen(2))
		next := fleet.NewTable()
		next.Reset(now, fleet.Epoch(2))
		now = now.Add(9 * time.Second)
		held = fleet.ApplyDelta(held, next.Delta(now, "", 0), now)
		Expect(held.Servers).To(BeEmpty())
		Expect(fleet.ApplyDelta(held, early, now).Servers).To(BeEmpty())
	})

	It("keeps an entry instance's backend servers for 8 s while a new leader has received no announcements from them", func() {
		Expect(table.Announce(now, announcement("s1", "1"))).To(Succeed())
		Expect(table.Announce(now, announcement("s2", "1"))).To(Succeed())
		held := fleet.ApplyDelta(nil, table.Delta(now, "", 0), now)
		next := fleet.NewTable()
		next.Reset(now, fleet.Epoch(2))
		step := func(d time.Duration) {
			now = now.Add(d)
			held = fleet.ApplyDelta(held, sendOverWire(next.Delta(now, held.Epoch, held.Version)), now)
		}
		step(time.Second)
		Expect(held.ByVersion[claims]).To(HaveLen(2))
		Expect(next.Announce(now, announcement("s1", "2"))).To(Succeed())
		step(time.Second)
		Expect(held.Servers["s1"].Boot).To(Equal("2"))
		Expect(held.Servers["s2"].Boot).To(Equal("1"))
		step(5900 * time.Millisecond)
		Expect(held.Servers).To(HaveLen(2))
		step(100 * time.Millisecond)
		Expect(held.Servers).To(HaveLen(1))
	})

	It("sends the whole table to a reader that missed more removals than there are tombstones", func() {
		Expect(table.Announce(now, announcement("first", "1"))).To(Succeed())
		held := fleet.ApplyDelta(nil, table.Delta(now, "", 0), now)
		table.SetPhase(now, "first", "1", control.PhaseGone, 0, "left")
		for i := range 1024 {
			id := fmt.Sprint("s", i)
			Expect(table.Announce(now, announcement(id, "1"))).To(Succeed())
			table.SetPhase(now, id, "1", control.PhaseGone, 0, "left")
		}
		held = fleet.ApplyDelta(held, table.Delta(now, held.Epoch, held.Version), now)
		Expect(held.Servers).To(BeEmpty())
	})

	It("increases the load age of rows without a new report", func() {
		Expect(table.Announce(now, announcement("s1", "1"))).To(Succeed())
		held := fleet.ApplyDelta(nil, table.Delta(now.Add(time.Second), "", 0), now.Add(time.Second))
		later := now.Add(4 * time.Second)
		held = fleet.ApplyDelta(held, table.Delta(later, held.Epoch, held.Version), later)
		Expect(held.Servers["s1"].LoadAge).To(Equal(4 * time.Second))
	})
})

// A reader that misses a change, a removal or a load report would send requests to servers that left or are overloaded.
var _ = DescribeTable("deltas applied in random schedules yield the full table, also through a follower",
	func(seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 1))
		now, term := start, uint64(1)
		leader, follower := fleet.NewTable(), fleet.NewTable()
		leader.Reset(now, fleet.Epoch(term))
		var direct, indirect *blackboard.Fleet = &blackboard.Fleet{}, &blackboard.Fleet{}
		for range 400 {
			now = now.Add(time.Duration(rng.IntN(900)) * time.Millisecond)
			for range rng.IntN(6) {
				randomChange(rng, leader, now)
			}
			if rng.IntN(4) == 0 {
				f := fullCopy(follower, now)
				follower.LoadDelta(now, sendOverWire(leader.Delta(now, f.Epoch, f.Version)))
				expectSameFleet(fullCopy(follower, now), fullCopy(leader, now))
			}
			if rng.IntN(3) == 0 {
				direct = fleet.ApplyDelta(direct, sendOverWire(leader.Delta(now, direct.Epoch, direct.Version)), now)
				expectSameFleet(direct, fullCopy(leader, now))
			}
			if rng.IntN(3) == 0 && fullCopy(follower, now).Epoch != "" {
				indirect = fleet.ApplyDelta(indirect, sendOverWire(follower.Delta(now, indirect.Epoch, indirect.Version)), now)
				expectSameFleet(indirect, fullCopy(follower, now))
			}
			if rng.IntN(60) == 0 {
				term++
				leader, follower = follower, leader
				leader.Reset(now, fleet.Epoch(term))
			}
		}
	},
	Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)),
	Entry("seed 4", uint64(4)), Entry("seed 5", uint64(5)), Entry("seed 6", uint64(6)),
)

func randomChange(rng *rand.Rand, table *fleet.Table, now time.Time) {
	id := fmt.Sprint("s", rng.IntN(12))
	member := control.Member{Instance: fmt.Sprint("e", rng.IntN(4)), Boot: fmt.Sprint(rng.IntN(3))}
	switch rng.IntN(8) {
	case 0:
		table.Heartbeat(now, member, rng.IntN(5) == 0)
	case 1:
		phases := []control.Phase{control.PhaseRamping, control.PhaseInService, control.PhaseLeaving, control.PhaseGone}
		for _, s := range table.Snapshot(now).Servers {
			table.SetPhase(now, s.ID, s.Boot, phases[rng.IntN(len(phases))], rng.IntN(4), "random")
			return
		}
	default:
		a := announcement(id, fmt.Sprint(now.Unix()/20))
		a.Running, a.Queued, a.Leaving = rng.IntN(9), rng.IntN(3), rng.IntN(20) == 0
		if rng.IntN(3) == 0 {
			a.Service, a.Versions = "orders", nil
		}
		for range rng.IntN(40) {
			a.PrefixHashes = append(a.PrefixHashes, rng.Uint64())
		}
		_ = table.Announce(now, a) // the schedule contains late announcements, which are refused
	}
}
