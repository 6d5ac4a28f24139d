package entry

import (
	"fmt"
	"testing"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/blackboard"
	"clementinetray/server/routing"
)

// BenchmarkRoutableServers600 selects the backend servers of a pool of 600 that may take a request.
func BenchmarkRoutableServers600(b *testing.B) {
	now := time.Now()
	var pool []*control.BackendServer
	for i := range 600 {
		id := fmt.Sprintf("s%03d", i)
		pool = append(pool, &control.BackendServer{Phase: control.PhaseInService, Announcement: control.Announcement{
			ID: id, Boot: id + "-1", Service: "pool", SoftwareVersion: "v1", Capacity: 64, StatesCold: true, Sequence: 1,
		}})
	}
	for _, said := range []int{0, 3, 60} {
		b.Run(fmt.Sprint("statements=", said), func(b *testing.B) {
			var s statements
			for i := range said {
				s.add(serverBoot{pool[10*i].ID, pool[10*i].Boot}, ServerStatement{Leaving: true}, "r", now)
			}
			snap := &routing.Snapshot{
				Now: now, StatementOf: s.lookup(),
				View:  &control.View{Catalogue: &catalogue.Catalogue{Services: []catalogue.Service{{Name: "pool", Pool: &catalogue.Pool{}}}}},
				Fleet: &blackboard.Fleet{ReceivedAt: now, ByService: map[string][]*control.BackendServer{"pool": pool}},
			}
			rq := &request{routed: &routedCall{service: "pool"}}
			b.ReportAllocs()
			for b.Loop() {
				if rows, _ := routableServers(snap, rq, ""); len(rows) != 600-said {
					b.Fatalf("%d rows", len(rows))
				}
			}
		})
	}
}
