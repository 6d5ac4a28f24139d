package limits_test

import (
	"fmt"
	"testing"

	"clementinetray/api/control"
	"clementinetray/server/limits"
)

// BenchmarkHeartbeat measures one heartbeat at the leader, with 410 entry instances and 28 keys, at one heartbeat per
// second and instance.
func BenchmarkHeartbeat(b *testing.B) {
	const entries, keys = 410, 28
	src := &fixedSource{limits: map[string]float64{}}
	for i := range keys {
		src.limits[limits.WorkspaceConcurrencyKey(fmt.Sprint("workspace-", i))] = float64(50 + 100*i)
	}
	a := limits.NewAllocator(entries)
	a.Reset(at(-60))
	var members []*member
	var held [][]control.Grant
	for i := range entries {
		m := newMember(fmt.Sprint("entry-", i), entries)
		m.holder.SetLimits(start, src.limits)
		members, held = append(members, m), append(held, nil)
	}
	demand := members[0].holder.Demand(start)
	for i := range demand {
		demand[i].Amount = float64(i % 5)
	}
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		m := members[n%entries]
		m.sequence++
		in := &control.HeartbeatRequest{Meta: control.Meta{Instance: m.id, Boot: "1"}, Sequence: m.sequence, Demand: demand, Held: held[n%entries]}
		held[n%entries] = a.Heartbeat(at(float64(n)/entries), in, src)
		n++
	}
}

func BenchmarkTryAcquire(b *testing.B) {
	a, src, members := newFleet(9, 1000)
	for _, m := range members {
		m.sendHeartbeat(start, a, src)
	}
	m := members[0]
	m.sendHeartbeat(start, a, src)
	b.ReportAllocs()
	for b.Loop() {
		release, ok := m.holder.TryAcquire(start, key, 1000)
		if !ok {
			b.Fatal("refused")
		}
		release()
	}
}
