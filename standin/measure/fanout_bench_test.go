package measure_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/blackboard"
	"clementinetray/server/controlclient"
	"clementinetray/server/fleet"
	"clementinetray/server/limits"
	"clementinetray/server/peer"
	"clementinetray/server/syncer"
	"clementinetray/server/timeline"
	"clementinetray/standin/site"
)

// idle reports nothing from an entry instance without requests.
type idle struct{}

func (idle) Outcomes() []control.Outcome         { return nil }
func (idle) Suspects() []control.SuspectReport   { return nil }
func (idle) Slots() []control.Slot               { return nil }
func (idle) RolloutTimes() []control.RolloutTime { return nil }

// startNode runs the sync and heartbeat loops of one entry instance, with its own connections, until ctx ends.
func startNode(ctx context.Context, b *testing.B, s *site.Site, n int) *blackboard.Board {
	b.Helper()
	id := fmt.Sprintf("n%d", n)
	pool := peer.NewPool([]byte("shared secret of the small site"), time.Second)
	b.Cleanup(pool.Close)
	var replicas []string
	for _, i := range s.Instances {
		replicas = append(replicas, i.Peers)
	}
	// Nodes start at unlike replicas, as their own random start would have them.
	first := n % len(replicas)
	replicas = append(replicas[first:], replicas[:first]...)
	clock := &event.Clock{}
	client := controlclient.New(pool, controlclient.Group{Addresses: replicas}, controlclient.Identity{Instance: id, Boot: "1"}, clock)
	logger := slog.New(slog.DiscardHandler)
	board := blackboard.New()
	sync, err := syncer.New(client, board, fleet.Apply, 6*time.Second, timeline.NewRing(id, clock, 100), logger)
	check(b, err)
	member := control.Member{Instance: id, Boot: "1", AvailabilityZone: "north", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:1"}
	heartbeat := syncer.NewHeartbeat(client, limits.NewHolder(410), idle{}, member, logger)
	go sync.Run(ctx)
	go heartbeat.Run(ctx)
	return board
}

// announce announces n backend servers with changing load every 2 s until ctx ends.
func announce(ctx context.Context, s *site.Site, n int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	for i := range n {
		go func() {
			for turn := 0; ctx.Err() == nil; turn++ {
				a := control.Announcement{
					ID: fmt.Sprintf("b%d", i), Address: "127.0.0.1:1", Boot: "1", AvailabilityZone: []string{"north", "middle", "south"}[i%3],
					Versions: []catalogue.VersionRef{{Model: "cheap", Version: "v1"}}, Capacity: 64, ColdCapacity: 64, Running: (i + turn) % 40,
				}
				raw, _ := json.Marshal(a)
				target := s.Instances[i%len(s.Instances)].Announcements
				if resp, err := client.Post("http://"+target+"/v1/announce", "application/json", bytes.NewReader(raw)); err == nil {
					_ = resp.Body.Close()
				}
				time.Sleep(2 * time.Second)
			}
		}()
	}
}

// use is what a process has used so far.
type use struct {
	cpu   time.Duration
	bytes float64
}

// usedBy reads the processor time and the bytes read and written of a process, files included.
func usedBy(b *testing.B, pid string) use {
	b.Helper()
	stat, err := os.ReadFile("/proc/" + pid + "/stat")
	check(b, err)
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	ticks := atoi(b, fields[11]) + atoi(b, fields[12])
	raw, err := os.ReadFile("/proc/" + pid + "/io")
	check(b, err)
	u := use{cpu: time.Duration(ticks) * 10 * time.Millisecond}
	for line := range strings.Lines(string(raw)) {
		if name, value, _ := strings.Cut(strings.TrimSpace(line), ": "); name == "rchar" || name == "wchar" {
			u.bytes += float64(atoi(b, value))
		}
	}
	return u
}

func atoi(b *testing.B, v string) int {
	b.Helper()
	n, err := strconv.Atoi(v)
	check(b, err)
	return n
}

// residentMiB reads the resident memory of a process.
func residentMiB(b *testing.B, pid string) float64 {
	b.Helper()
	raw, err := os.ReadFile("/proc/" + pid + "/statm")
	check(b, err)
	return float64(atoi(b, strings.Fields(string(raw))[1])*syscall.Getpagesize()) / (1 << 20)
}

// BenchmarkFanOut measures what control costs each control instance and each entry instance, by the number of entry
// instances and of backend servers, and the time until an order is in force on all of them.
func BenchmarkFanOut(b *testing.B) {
	const window = 10 * time.Second
	for _, size := range []struct{ nodes, servers int }{{0, 24}, {9, 24}, {100, 24}, {400, 24}, {0, 600}, {100, 600}, {400, 600}} {
		b.Run(fmt.Sprintf("%dnodes%dservers", size.nodes, size.servers), func(b *testing.B) {
			for b.Loop() {
				fanOut(b, size.nodes, size.servers, window)
			}
		})
	}
}

func fanOut(b *testing.B, nodes, servers int, window time.Duration) {
	s := newControlSite(b, 3)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	announce(ctx, s, servers)
	var boards []*blackboard.Board
	for n := range nodes {
		boards = append(boards, startNode(ctx, b, s, n))
	}
	time.Sleep(8 * time.Second)
	leader, err := leaderOf(s)
	check(b, err)
	follower := s.Instances[0]
	if follower == leader {
		follower = s.Instances[1]
	}
	before := map[string]use{"leader": usedBy(b, leader.PID()), "follower": usedBy(b, follower.PID()), "node": usedBy(b, "self")}
	time.Sleep(window)
	pids := map[string]string{"leader": leader.PID(), "follower": follower.PID(), "node": "self"}
	for role, pid := range pids {
		after, share := usedBy(b, pid), 1.0
		if role == "node" {
			share = float64(max(nodes, 1))
		}
		b.ReportMetric(100*(after.cpu-before[role].cpu).Seconds()/window.Seconds()/share, role+"-cpu-%")
		b.ReportMetric((after.bytes-before[role].bytes)/window.Seconds()/share/1024, role+"-KB/s")
	}
	b.ReportMetric(residentMiB(b, leader.PID()), "leader-MiB")
	if nodes > 0 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		b.ReportMetric(float64(m.HeapInuse+m.StackInuse)/float64(nodes)/(1<<20), "node-MiB")
		b.ReportMetric(float64(inForce(b, s, leader, boards).Milliseconds()), "in-force-ms")
	}
}

// inForce returns the time from an accepted order until each board has it.
func inForce(b *testing.B, s *site.Site, leader *site.Instance, boards []*blackboard.Board) time.Duration {
	b.Helper()
	check(b, s.Order(leader, "servers/absent", true))
	accepted := time.Now()
	for _, board := range boards {
		for {
			view := board.View.Load()
			if view.View != nil && view.Orders != nil && len(view.Orders.ServersOut) > 0 {
				break
			}
			if time.Since(accepted) > 30*time.Second {
				b.Fatal("the order is not in force after 30 s")
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(accepted)
}

func newControlSite(b *testing.B, replicas int) *site.Site {
	b.Helper()
	dir := b.TempDir()
	binaries, err := site.Build(dir)
	check(b, err)
	s, err := site.New(site.Config{Binaries: binaries, Dir: dir, Control: replicas, Zones: []string{"north", "middle", "south"}})
	check(b, err)
	b.Cleanup(s.Close)
	check(b, s.Start())
	check(b, s.ApplyCatalogue(site.SampleCatalogue(), 20*time.Second))
	check(b, s.WaitReady(20*time.Second))
	return s
}
