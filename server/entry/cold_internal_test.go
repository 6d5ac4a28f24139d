package entry

import (
	"testing"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/blackboard"
	"clementinetray/server/routing"
)

// Guards against full load on backend servers that had just started when the whole control group was lost: the record from
// which the new leader restores its table has no cold times.
func TestRestoredBackendServersAreColdAfterTheirStart(t *testing.T) {
	now := time.Now()
	row := func(id string, sequence int64, startedBefore time.Duration, coldMillis int64) *control.BackendServer {
		return &control.BackendServer{Phase: control.PhaseInService, Announcement: control.Announcement{
			ID: id, Boot: id, Service: "pool", Capacity: 8, StatesCold: true, Sequence: sequence, ColdMillis: coldMillis,
			Started: now.Add(-startedBefore).UnixMilli(),
		}}
	}
	snap := &routing.Snapshot{
		Now: now, AvoidUntil: func(string) time.Time { return time.Time{} },
		View: &control.View{Catalogue: &catalogue.Catalogue{Services: []catalogue.Service{{Name: "pool", Pool: &catalogue.Pool{ColdSeconds: 3, ColdPerSecond: 16}}}}},
		Fleet: &blackboard.Fleet{ReceivedAt: now, ByService: map[string][]*control.BackendServer{"pool": {
			row("restored", 0, time.Second, 0), row("restored-warm", 0, time.Minute, 0), row("announced", 7, time.Second, 0), row("announced-cold", 7, time.Second, 1500),
		}}},
	}
	rq := &request{routed: &routedCall{service: "pool"}}
	rows, _ := routableServers(snap, rq, "")
	want := []time.Duration{2 * time.Second, 0, 0, 1500 * time.Millisecond}
	if len(rows) != len(want) {
		t.Fatalf("%d rows, want %d", len(rows), len(want))
	}
	for i, r := range rows {
		if diff := r.ColdRemaining - want[i]; diff < -10*time.Millisecond || diff > 10*time.Millisecond {
			t.Errorf("%s is cold for %s, want %s", r.ID, r.ColdRemaining, want[i])
		}
	}
}
