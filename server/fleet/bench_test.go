package fleet_test

import (
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/blackboard"
	"clementinetray/server/fleet"
)

// byteCounter counts the bytes written to it.
type byteCounter struct{ bytes int }

func (c *byteCounter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

// loadedAnnouncement returns an announcement with load and a full list of prefix hashes, of which a quarter is new.
func loadedAnnouncement(rng *rand.Rand, last *control.Announcement, i int) control.Announcement {
	a := control.Announcement{
		ID: fmt.Sprintf("claims-engine-%03d", i), Boot: fmt.Sprintf("1764800000-%d", i), Address: fmt.Sprintf("10.20.%d.%d:8000", i/250, i%250),
		AvailabilityZone: fmt.Sprintf("by-%d", i%5), Region: "bavaria", Capacity: 32, ColdCapacity: 2,
		Versions: []catalogue.VersionRef{{Model: "claims-large", Version: "2026-11"}, {Model: "claims-large", Version: "2026-12"}},
		Running:  rng.IntN(32), Queued: rng.IntN(4),
	}
	for range 8 {
		a.PrefixHashes = append(a.PrefixHashes, rng.Uint64())
	}
	if last != nil {
		a.PrefixHashes = append(a.PrefixHashes, last.PrefixHashes[:min(24, len(last.PrefixHashes))]...)
	}
	return a
}

// newFilledTable returns a table with servers in service and 410 entry instances, and the servers' announcements.
func newFilledTable(servers int) (*fleet.Table, []control.Announcement, *rand.Rand) {
	rng := rand.New(rand.NewPCG(1, 1))
	table := fleet.NewTable()
	table.Reset(start, fleet.Epoch(1))
	announcements := make([]control.Announcement, servers)
	for i := range announcements {
		announcements[i] = loadedAnnouncement(rng, nil, i)
		_ = table.Announce(start, announcements[i])
		table.SetPhase(start, announcements[i].ID, announcements[i].Boot, control.PhaseInService, 0, "ramp reached the capacity")
	}
	for i := range 410 {
		table.Heartbeat(start, newMember(i), false)
	}
	return table, announcements, rng
}

func newMember(i int) control.Member {
	return control.Member{
		Instance: fmt.Sprintf("entry-%03d", i), Boot: fmt.Sprintf("1764800000-%d", i), AvailabilityZone: fmt.Sprintf("by-%d", i%5),
		PeerAddress: fmt.Sprintf("10.21.%d.%d:7000", i/250, i%250), CallerAddress: fmt.Sprintf("10.21.%d.%d:8080", i/250, i%250),
	}
}

// BenchmarkDeltaBytes reports the bytes per second that a reader receives when each server announces itself every 2 s and
// the reader requests a delta every 500 ms.
func BenchmarkDeltaBytes(b *testing.B) {
	for _, servers := range []int{13, 24, 600} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			for range b.N {
				table, announcements, rng := newFilledTable(servers)
				var wire byteCounter
				encoder := gob.NewEncoder(&wire)
				now, held := start, &blackboard.Fleet{}
				seconds := 0.0
				for tick := range 240 {
					now = now.Add(500 * time.Millisecond)
					for i := range announcements {
						if i%4 == tick%4 {
							announcements[i] = loadedAnnouncement(rng, &announcements[i], i)
							_ = table.Announce(now, announcements[i])
						}
					}
					for i := range 410 {
						table.Heartbeat(now, newMember(i), false)
					}
					d := table.Delta(now, held.Epoch, held.Version)
					_ = encoder.Encode(d)
					held = fleet.ApplyDelta(held, d, now)
					if tick == 0 {
						b.ReportMetric(float64(wire.bytes), "full-bytes")
						wire.bytes = 0
						continue
					}
					seconds += 0.5
				}
				b.ReportMetric(float64(wire.bytes)/seconds, "bytes/s")
			}
		})
	}
}

func BenchmarkTableMemory(b *testing.B) {
	for _, servers := range []int{13, 24, 600} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				table, _, _ := newFilledTable(servers)
				b.ReportMetric(float64(heapBytes()-before), "table-bytes")
				runtime.KeepAlive(table)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkAnnounce(b *testing.B) {
	table, announcements, _ := newFilledTable(600)
	b.ResetTimer()
	for i := range b.N {
		_ = table.Announce(start, announcements[i%len(announcements)])
	}
}

// BenchmarkDelta measures a delta of the changes in 500 ms: the loads of a quarter of 600 servers.
func BenchmarkDelta(b *testing.B) {
	table, announcements, _ := newFilledTable(600)
	version := table.Delta(start, fleet.Epoch(1), 0).Version
	for i := range 150 {
		_ = table.Announce(start, announcements[i])
	}
	b.ResetTimer()
	for range b.N {
		table.Delta(start, fleet.Epoch(1), version)
	}
}

// BenchmarkSnapshot measures snapshots at intervals at which the last one can't be reused.
func BenchmarkSnapshot(b *testing.B) {
	table, _, _ := newFilledTable(600)
	b.ResetTimer()
	for i := range b.N {
		table.Snapshot(start.Add(time.Duration(i%2) * 100 * time.Millisecond))
	}
}

// BenchmarkApply measures the merge of the changes in 500 ms at an entry instance.
func BenchmarkApply(b *testing.B) {
	table, announcements, _ := newFilledTable(600)
	held := table.Snapshot(start)
	for i := range 150 {
		_ = table.Announce(start, announcements[i])
	}
	d := table.Delta(start, held.Epoch, held.Version)
	b.ResetTimer()
	for range b.N {
		fleet.ApplyDelta(held, d, start)
	}
}
