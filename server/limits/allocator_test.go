package limits_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/server/limits"
)

var key = limits.WorkspaceConcurrencyKey("claims")

// newFleet returns an allocator whose recovery period is over, and n members that have sent no heartbeat yet.
func newFleet(n int, limit float64) (*limits.Allocator, *fixedSource, []*member) {
	src := &fixedSource{limits: map[string]float64{key: limit}}
	a := limits.NewAllocator(n)
	a.Reset(at(-60))
	var members []*member
	for i := range n {
		m := newMember(fmt.Sprintf("entry-%d", i), n)
		m.holder.SetLimits(start, src.limits)
		members = append(members, m)
	}
	return a, src, members
}

var _ = DescribeTable("shares of a concurrency limit, with requests that last less than a second",
	func(limit float64, demands, want []int) {
		a, src, members := newFleet(len(demands), limit)
		got := make([]int, len(demands))
		for round := range 6 {
			for i, m := range members {
				now := at(float64(round) + float64(i)/100)
				var running []func()
				for range demands[i] {
					if release, ok := m.holder.TryAcquire(now, key, limit); ok {
						running = append(running, release)
					}
				}
				got[i] = len(running)
				m.sendHeartbeat(now, a, src)
				for _, release := range running {
					release()
				}
			}
		}
		Expect(got).To(Equal(want))
	},
	Entry("guards against a large demand that starves small ones", 100.0, []int{200, 10, 10}, []int{76, 10, 10}),
	Entry("guards against uneven shares of equal demands", 90.0, []int{60, 60, 60}, []int{30, 30, 30}),
	Entry("guards against a share that is smaller than the demand while part of the limit is unused", 100.0, []int{50, 0, 0}, []int{50, 0, 0}),
	Entry("guards against whole requests lost to rounding", 10.0, []int{9, 9, 9}, []int{4, 3, 3}),
	Entry("guards against a limit of one that no instance can use", 1.0, []int{1, 0, 0}, []int{1, 0, 0}),
	Entry("guards against a limit of two that no instance can use", 2.0, []int{1, 0, 0}, []int{1, 0, 0}),
)

var _ = DescribeTable("grants of a concurrency limit",
	func(check func(a *limits.Allocator, src *fixedSource, m []*member)) {
		a, src, m := newFleet(3, 30)
		for round := range 3 {
			for i := range m {
				m[i].sendHeartbeat(at(float64(round)+float64(i)/100), a, src)
			}
		}
		check(a, src, m)
	},
	Entry("guards against first requests that are refused because there was no demand before", func(_ *limits.Allocator, _ *fixedSource, m []*member) {
		for i := range m {
			Expect(m[i].acquire(at(3), key, 30, 30)).To(Equal(10))
		}
	}),
	Entry("guards against a cut-off holder that uses its grant after 15 s", func(_ *limits.Allocator, _ *fixedSource, m []*member) {
		Expect(m[0].acquire(at(16.9), key, 30, 3)).To(Equal(3))
		Expect(m[0].acquire(at(17.1), key, 30, 3)).To(BeZero(), "3 run, over the floor of 2")
		Expect(m[1].acquire(at(17.1), key, 30, 3)).To(Equal(2), "the floor")
	}),
	Entry("guards against a late reply that raises a grant", func(_ *limits.Allocator, _ *fixedSource, m []*member) {
		m[0].nextHeartbeat(at(4))
		m[0].holder.Apply(at(3), &control.HeartbeatReply{Grants: []control.Grant{{Key: key, Amount: 20}}, TTL: limits.GrantTTL})
		Expect(m[0].acquire(at(4.1), key, 30, 30)).To(Equal(10))
	}),
	Entry("guards against a grant that was given up and returns when the limit shrinks and grows again", func(_ *limits.Allocator, _ *fixedSource, m []*member) {
		m[0].acquire(at(3), key, 3, 1)
		m[0].nextHeartbeat(at(4))
		Expect(m[0].holder.UsableAmount(at(4), key, 30)).To(BeNumerically("~", 4.4, 0.001), "0.8 of 3 and the floor of 2")
	}),
	Entry("guards against a time to live of the reply that is ignored, or longer than 15 s", func(_ *limits.Allocator, _ *fixedSource, m []*member) {
		grants := []control.Grant{{Key: key, Amount: 5}}
		m[0].holder.Apply(at(4), &control.HeartbeatReply{Grants: grants, TTL: time.Second})
		Expect(m[0].holder.UsableAmount(at(4.9), key, 30)).To(BeNumerically("~", 7, 0.001))
		Expect(m[0].holder.UsableAmount(at(5.1), key, 30)).To(BeNumerically("~", 2, 0.001))
		m[0].holder.Apply(at(6), &control.HeartbeatReply{Grants: grants, TTL: time.Minute})
		Expect(m[0].holder.UsableAmount(at(21.1), key, 30)).To(BeNumerically("~", 2, 0.001))
	}),
	Entry("guards against running requests that no longer count because the catalogue no longer has their key", func(_ *limits.Allocator, _ *fixedSource, m []*member) {
		Expect(m[0].acquire(at(3), key, 30, 3)).To(Equal(3))
		m[0].holder.SetLimits(at(4), nil)
		m[0].holder.Demand(at(1000))
		Expect(m[0].acquire(at(1000), key, 30, 3)).To(BeZero(), "3 run, over the floor of 2")
	}),
	Entry("guards against a repeated heartbeat that hides the grant of its first reply", func(*limits.Allocator, *fixedSource, []*member) {
		a, src, m := newFleet(3, 30)
		m[0].acquire(at(0), key, 30, 40)
		in := m[0].nextHeartbeat(at(0))
		m[0].holder.Apply(at(0), &control.HeartbeatReply{Grants: a.Heartbeat(at(0), in, src)})
		Expect(m[0].holder.UsableAmount(at(0), key, 30)).To(BeNumerically("~", 26, 0.001))
		m[1].acquire(at(0.1), key, 30, 40)
		m[1].sendHeartbeat(at(0.1), a, src)
		a.Heartbeat(at(0.5), in, src)
		m[1].acquire(at(1), key, 30, 40)
		m[1].sendHeartbeat(at(1), a, src)
		Expect(m[0].holder.UsableAmount(at(1), key, 30) + m[1].holder.UsableAmount(at(1), key, 30)).To(BeNumerically("<=", 28.001))
	}),
	Entry("guards against a release that counts twice", func(_ *limits.Allocator, _ *fixedSource, m []*member) {
		release, ok := m[0].holder.TryAcquire(at(3), key, 30)
		Expect(ok).To(BeTrue())
		Expect(m[0].acquire(at(3), key, 30, 30)).To(Equal(9))
		release()
		release()
		Expect(m[0].acquire(at(3), key, 30, 30)).To(Equal(1))
	}),
	Entry("guards against a smaller limit that is ignored until grants expire", func(a *limits.Allocator, src *fixedSource, m []*member) {
		src.limits[key] = 6
		for i := range m {
			m[i].sendHeartbeat(at(4+float64(i)/100), a, src)
		}
		Expect(m[0].holder.UsableAmount(at(4.5), key, 6)).To(BeNumerically("~", 0.4, 0.001), "the floor until others gave up their grants")
		for round := range 2 {
			for i := range m {
				m[i].sendHeartbeat(at(5+float64(round)+float64(i)/100), a, src)
			}
		}
		for i := range m {
			Expect(m[i].acquire(at(7), key, 6, 30)).To(Equal(2))
		}
	}),
	Entry("guards against a share that an orderly stop leaves unused", func(a *limits.Allocator, src *fixedSource, m []*member) {
		a.InstanceLeft(at(4), m[2].id, m[2].id+"-1", true)
		m[0].acquire(at(4), key, 30, 30)
		m[0].sendHeartbeat(at(4), a, src)
		m[1].sendHeartbeat(at(4.1), a, src)
		m[0].sendHeartbeat(at(5), a, src)
		Expect(m[0].holder.UsableAmount(at(5), key, 30)).To(BeNumerically(">", 13))
	}),
	Entry("guards against the share of a crashed holder being given away while it may be alive", func(a *limits.Allocator, src *fixedSource, m []*member) {
		a.InstanceLeft(at(4), m[2].id, m[2].id+"-1", false)
		for s := 4.0; s < 16; s++ {
			m[0].acquire(at(s), key, 30, 30)
			m[0].sendHeartbeat(at(s), a, src)
			m[1].sendHeartbeat(at(s+0.1), a, src)
			Expect(m[0].holder.UsableAmount(at(s), key, 30) + m[1].holder.UsableAmount(at(s), key, 30)).To(BeNumerically("<=", 20.001))
		}
		for s := 17.0; s < 22; s++ {
			m[0].acquire(at(s), key, 30, 30)
			m[0].sendHeartbeat(at(s), a, src)
			m[1].sendHeartbeat(at(s+0.1), a, src)
		}
		Expect(m[0].holder.UsableAmount(at(22), key, 30)).To(BeNumerically(">", 15))
	}),
	Entry("guards against a new leader that grants amounts still held by holders without a heartbeat", func(_ *limits.Allocator, src *fixedSource, m []*member) {
		b := limits.NewAllocator(3)
		b.Reset(at(3))
		for s := 3.0; s < 18; s++ {
			m[0].acquire(at(s), key, 30, 30)
			m[0].sendHeartbeat(at(s), b, src)
			Expect(m[0].holder.UsableAmount(at(s), key, 30)).To(BeNumerically("~", 10, 0.001), "the amount it reported as held")
		}
		for s := 18.0; s < 24; s++ {
			m[0].sendHeartbeat(at(s), b, src)
		}
		Expect(m[0].holder.UsableAmount(at(24), key, 30)).To(BeNumerically("~", 26, 0.001), "the leased part and one floor")
	}),
	Entry("guards against a leader that was never reset and grants at once", func(_ *limits.Allocator, src *fixedSource, m []*member) {
		b := limits.NewAllocator(3)
		m[0].holder = limits.NewHolder(3)
		m[0].acquire(at(3), key, 30, 30)
		m[0].sendHeartbeat(at(3), b, src)
		Expect(m[0].holder.UsableAmount(at(3), key, 30)).To(BeNumerically("~", 2, 0.001), "the floor")
		slot := control.Slot{Key: limits.ServerSlotKey("m1", "boot-1"), ID: "a"}
		src.slots = map[control.SlotKey][2]int{slot.Key: {1, 0}}
		granted, _ := limits.NewAllocator(3).Acquire(at(3), "a", "1", slot, src)
		Expect(granted).To(BeFalse())
	}),
	Entry("guards against a new leader that confirms an expired grant because requests still run", func(_ *limits.Allocator, src *fixedSource, m []*member) {
		Expect(m[0].acquire(at(3), key, 30, 10)).To(Equal(10))
		b := limits.NewAllocator(3)
		b.Reset(at(20))
		m[0].sendHeartbeat(at(20), b, src)
		Expect(m[0].holder.UsableAmount(at(20), key, 30)).To(BeNumerically("~", 2, 0.001), "the floor")
	}),
)

var _ = DescribeTable("rate limits",
	func(limit float64, cutOffAt, seconds, least, most float64) {
		rate := limits.WorkspaceRateKey("claims")
		src := &fixedSource{limits: map[string]float64{rate: limit}}
		a := limits.NewAllocator(3)
		a.Reset(at(-60))
		total := 0
		members := []*member{newMember("a", 3), newMember("b", 3), newMember("c", 3)}
		for tick := 0.0; tick < seconds; tick += 0.01 {
			for i, m := range members {
				if m.holder.TryRate(at(tick), rate, limit) {
					total++
				}
				if tick < cutOffAt && int(tick*100+0.5)%100 == i {
					m.sendHeartbeat(at(tick), a, src)
				}
			}
		}
		Expect(float64(total)).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
	},
	Entry("guards against a fleet that runs over the rate, or far under it", 20.0, 60.0, 60.0, 1100.0, 1200.0+20*0.5),
	Entry("guards against a rate below one per instance that admits too few requests", 1.0, 60.0, 60.0, 45.0, 63.0),
	Entry("guards against cut-off holders that use an expired grant: 20 s at 20/s, then the floor of 4/s", 20.0, 5.0, 60.0, 440.0, 590.0),
)

var _ = DescribeTable("slots",
	func(check func(a *limits.Allocator, src *fixedSource, acquire func(s float64, id string) bool)) {
		slotKey := limits.ServerSlotKey("m1", "boot-1")
		src := &fixedSource{slots: map[control.SlotKey][2]int{slotKey: {2, 0}}}
		a := limits.NewAllocator(3)
		a.Reset(start)
		check(a, src, func(s float64, id string) bool {
			ok, retryAfter := a.Acquire(at(s), "entry-0", "1", control.Slot{Key: slotKey, ID: id}, src)
			Expect(ok || retryAfter > 0).To(BeTrue())
			return ok
		})
	},
	Entry("guards against a third granted slot under a limit of two", func(_ *limits.Allocator, _ *fixedSource, acquire func(float64, string) bool) {
		Expect([]bool{acquire(4, "a"), acquire(4, "b"), acquire(4, "c")}).To(Equal([]bool{true, true, false}))
	}),
	Entry("guards against a repeated call that takes a second slot", func(_ *limits.Allocator, _ *fixedSource, acquire func(float64, string) bool) {
		Expect([]bool{acquire(4, "a"), acquire(4.1, "a"), acquire(4.2, "b")}).To(Equal([]bool{true, true, true}))
	}),
	Entry("guards against a late call that acquires a slot which was already released", func(a *limits.Allocator, _ *fixedSource, acquire func(float64, string) bool) {
		a.Release(at(4), []control.Slot{{Key: limits.ServerSlotKey("m1", "boot-1"), ID: "a"}})
		Expect(acquire(4.1, "a")).To(BeFalse())
	}),
	Entry("guards against a new leader that grants slots before its recovery period ends", func(_ *limits.Allocator, _ *fixedSource, acquire func(float64, string) bool) {
		Expect([]bool{acquire(2.9, "a"), acquire(3, "a")}).To(Equal([]bool{false, true}))
	}),
	Entry("guards against slots of an earlier leader that are granted again", func(a *limits.Allocator, src *fixedSource, acquire func(float64, string) bool) {
		a.Heartbeat(at(1), &control.HeartbeatRequest{Meta: control.Meta{Instance: "entry-1", Boot: "1"}, Sequence: 1, Slots: []control.Slot{{Key: limits.ServerSlotKey("m1", "boot-1"), ID: "x"}}}, src)
		Expect([]bool{acquire(4, "a"), acquire(4, "b")}).To(Equal([]bool{true, false}))
	}),
	Entry("guards against running requests without a known slot that don't count", func(_ *limits.Allocator, src *fixedSource, acquire func(float64, string) bool) {
		src.slots[limits.ServerSlotKey("m1", "boot-1")] = [2]int{2, 1}
		Expect([]bool{acquire(4, "a"), acquire(4, "b")}).To(Equal([]bool{true, false}))
	}),
	Entry("guards against a silent holder's slot that is freed early, or never", func(_ *limits.Allocator, _ *fixedSource, acquire func(float64, string) bool) {
		Expect([]bool{acquire(4, "a"), acquire(4, "b"), acquire(590, "c"), acquire(605, "c")}).To(Equal([]bool{true, true, false, true}))
	}),
	Entry("guards against a slot that stays in use because its release call was lost", func(a *limits.Allocator, src *fixedSource, acquire func(float64, string) bool) {
		Expect([]bool{acquire(4, "a"), acquire(4, "b")}).To(Equal([]bool{true, true}))
		for i := range 11 {
			a.Heartbeat(at(5+float64(i)), &control.HeartbeatRequest{Meta: control.Meta{Instance: "entry-0", Boot: "1"}, Sequence: uint64(i)}, src)
		}
		Expect(acquire(16, "c")).To(BeTrue())
	}),
	Entry("guards against slots that stay in use after an orderly stop", func(a *limits.Allocator, _ *fixedSource, acquire func(float64, string) bool) {
		Expect([]bool{acquire(4, "a"), acquire(4, "b")}).To(Equal([]bool{true, true}))
		a.InstanceLeft(at(5), "entry-0", "1", true)
		Expect(acquire(5, "c")).To(BeTrue())
	}),
	Entry("guards against requests that count twice, as known and as reported", func(_ *limits.Allocator, src *fixedSource, acquire func(float64, string) bool) {
		Expect(acquire(4, "a")).To(BeTrue())
		src.slots[limits.ServerSlotKey("m1", "boot-1")] = [2]int{2, 1}
		Expect(acquire(6, "b")).To(BeTrue())
	}),
	Entry("guards against a late heartbeat that adds a released slot again", func(a *limits.Allocator, src *fixedSource, acquire func(float64, string) bool) {
		Expect(acquire(4, "a")).To(BeTrue())
		slots := []control.Slot{{Key: limits.ServerSlotKey("m1", "boot-1"), ID: "a"}}
		a.Release(at(5), slots)
		a.Heartbeat(at(5.1), &control.HeartbeatRequest{Meta: control.Meta{Instance: "entry-0", Boot: "1"}, Sequence: 1, Slots: slots}, src)
		Expect([]bool{acquire(6, "b"), acquire(6, "c")}).To(Equal([]bool{true, true}))
	}),
	Entry("guards against late heartbeats that free a slot which was just granted", func(a *limits.Allocator, src *fixedSource, acquire func(float64, string) bool) {
		Expect([]bool{acquire(4, "a"), acquire(4, "b")}).To(Equal([]bool{true, true}))
		for i := range 10 {
			a.Heartbeat(at(4.1), &control.HeartbeatRequest{Meta: control.Meta{Instance: "entry-0", Boot: "1"}, Sequence: uint64(i)}, src)
		}
		Expect(acquire(5, "c")).To(BeFalse())
	}),
	Entry("guards against a slot of an earlier boot that admits a request to a cold server", func(_ *limits.Allocator, src *fixedSource, acquire func(float64, string) bool) {
		delete(src.slots, limits.ServerSlotKey("m1", "boot-1"))
		Expect(acquire(4, "a")).To(BeFalse())
	}),
)

var _ = It("keeps the limit while many requests, heartbeats and replies run at the same time", func() {
	const limit = 40
	a, src, members := newFleet(4, limit)
	var running, most atomic.Int64
	var group sync.WaitGroup
	for _, m := range members {
		m.sendHeartbeat(start, a, src)
		for range 4 {
			group.Go(func() {
				for range 500 {
					release, ok := m.holder.TryAcquire(start, key, limit)
					if !ok {
						continue
					}
					n := running.Add(1)
					for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
					}
					running.Add(-1)
					release()
				}
			})
		}
		group.Go(func() {
			for i := range 50 {
				m.sendHeartbeat(at(float64(i)/1000), a, src)
				m.holder.UsedShare(start, key)
			}
		})
	}
	group.Wait()
	Expect(most.Load()).To(And(BeNumerically(">", 0), BeNumerically("<=", limit)))
})
