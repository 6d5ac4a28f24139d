package timeline_test

import (
	"runtime"
	"testing"

	"clementinetray/api/event"
	"clementinetray/server/timeline"
)

func BenchmarkRecord(b *testing.B) {
	ring := timeline.NewRing("entry-1", &event.Clock{}, timeline.DefaultEventCount)
	for i := range b.N {
		ring.Record(ordinaryEvent(i))
	}
}

// BenchmarkRingMemory reports the heap bytes and the number of events of a full ring.
func BenchmarkRingMemory(b *testing.B) {
	for name, newEvent := range map[string]func(int) event.Event{"ordinary": ordinaryEvent, "largest": largestEvent} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				ring := timeline.NewRing("entry-1", &event.Clock{}, timeline.DefaultEventCount)
				for i := range 2 * timeline.DefaultEventCount {
					ring.Record(newEvent(i))
				}
				b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
				events, _ := ring.Len()
				b.ReportMetric(float64(events), "events")
				runtime.KeepAlive(ring)
			}
		})
	}
}
