package engineorder_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/engineorder"
	"clementinetray/server/fleet"
)

// BenchmarkTick measures a tick for 600 servers and 4 models of 2 versions in which no order is due.
func BenchmarkTick(b *testing.B) {
	s := &testSite{table: fleet.NewTable(), now: time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)}
	cat := &catalogue.Catalogue{}
	for m := range 4 {
		cat.Models = append(cat.Models, catalogue.Model{Name: fmt.Sprint("m", m), Versions: []catalogue.Version{{Name: "v1"}, {Name: "v2"}}})
	}
	s.view = &control.View{Catalogue: cat}
	s.lease.Store(true)
	s.table.Reset(s.now, fleet.Epoch(1))
	for i := range 600 {
		a := control.Announcement{ID: fmt.Sprintf("engine-%03d", i), Boot: "1", Address: "127.0.0.1:1", AvailabilityZone: fmt.Sprint("z", i%5), Capacity: 32}
		a.Versions = []catalogue.VersionRef{{Model: fmt.Sprint("m", i%4), Version: "v1"}, {Model: fmt.Sprint("m", i%4), Version: "v2"}}
		_ = s.table.Announce(s.now, a)
		s.table.SetPhase(s.now, a.ID, "1", control.PhaseInService, 0, "test")
	}
	c := engineorder.New(engineorder.Config{Table: s.table, State: s, Proposer: s, HoldsLease: s.lease.Load, Recorder: s, Log: slog.New(slog.DiscardHandler)})
	c.Reset(s.now.Add(-time.Minute), 1)
	b.ResetTimer()
	for i := range b.N {
		c.Tick(context.Background(), s.now.Add(time.Duration(i%2)*100*time.Millisecond))
	}
	c.Wait()
}
