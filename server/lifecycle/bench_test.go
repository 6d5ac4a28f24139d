package lifecycle_test

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// BenchmarkTick measures one tick with 600 servers in service.
func BenchmarkTick(b *testing.B) {
	s := newHarness()
	for i := range 600 {
		s.startServer(fmt.Sprintf("claims-engine-%03d", i), "1", fmt.Sprint("by-", i%5))
	}
	for _, a := range s.announcements {
		_ = s.table.Announce(s.now, a)
	}
	s.control.Tick(context.Background(), s.now)
	b.ResetTimer()
	for i := range b.N {
		s.control.Tick(context.Background(), s.now.Add(time.Duration(i%2)*100*time.Millisecond))
	}
}
