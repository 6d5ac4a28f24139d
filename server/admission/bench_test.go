package admission

import (
	"testing"
	"time"
)

// BenchmarkAhead measures one try of a request in a full queue. Each waiting request tries at least twice a second.
func BenchmarkAhead(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	q := NewQueue(256, ByRequest, func(int) {})
	var last *Waiter
	for i := range 256 {
		last = NewWaiter("p", QueuedRequest{}, &Request{
			Rank: i % 3, Cost: float64(i % 17), MeanCost: 8, Arrived: now.Add(-time.Duration(i) * time.Millisecond), Target: 2 * time.Second, Deadline: now.Add(time.Minute),
		})
		q.Enqueue(now, last)
	}
	for b.Loop() {
		q.Ahead(now, last, nil)
	}
}

// BenchmarkDecide measures one decision with the learned values of the pool.
func BenchmarkDecide(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	p := NewPools()
	r := &Request{Rank: 1, Cost: 5, Arrived: now, WaitingSince: now, Target: 2 * time.Second, Deadline: now.Add(time.Minute)}
	p.RecordRequest(now, "p", r)
	for b.Loop() {
		s := p.Snapshot(now, "p", Snapshot{Full: true, Load: 2, LoadLimit: 1.5, FirstEvent: time.Second})
		Decide(now, r, &s)
	}
}
