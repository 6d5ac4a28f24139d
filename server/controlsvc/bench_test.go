package controlsvc

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/controlclient"
	"clementinetray/server/controlstate"
	"clementinetray/server/fleet"
	"clementinetray/server/limits"
	"clementinetray/server/peer"
	"clementinetray/server/ratings"
	"clementinetray/server/replica"
)

// replicaGroup has three replicas with their services in one process, connected over loopback, each with a data folder.
type replicaGroup struct {
	pool      *peer.Pool
	addresses []string
	services  []*Service
	logs      []*replica.Replica
}

func startReplicaGroup(b *testing.B) *replicaGroup {
	secret := []byte("secret")
	g := &replicaGroup{pool: peer.NewPool(secret, time.Second)}
	members := map[string]string{}
	var servers []*peer.Server
	for i := range 3 {
		s, err := peer.Listen("127.0.0.1:0", secret, slog.New(slog.DiscardHandler))
		if err != nil {
			b.Fatal(err)
		}
		servers = append(servers, s)
		g.addresses = append(g.addresses, s.Address())
		members[fmt.Sprint("c", i)] = s.Address()
	}
	ctx, cancel := context.WithCancel(context.Background())
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	var running sync.WaitGroup
	for i, server := range servers {
		id := fmt.Sprint("c", i)
		state, clock := controlstate.New(), &event.Clock{}
		log, err := replica.Start(replica.Config{
			ID: id, Address: server.Address(), Members: members, Bootstrap: true, DataDir: b.TempDir(), Pool: g.pool,
			Server: server, StateMachine: state, Logger: logger, Recorder: &fakeRecorder{}, Clock: clock,
		})
		if err != nil {
			b.Fatal(err)
		}
		service := New(Config{
			Log: log, State: state, Proposer: NewProposer(log), Allocator: limits.NewAllocator(10), FleetTable: fleet.NewTable(), Ratings: ratings.NewStore(state),
			Recorder: &fakeRecorder{}, Clock: clock, Peers: g.pool, Identity: controlclient.Identity{Instance: id, Boot: "b"},
			PeerAddress: server.Address(), Logger: logger,
		})
		if err := server.Register("Control", service); err != nil {
			b.Fatal(err)
		}
		go func() { _ = server.Serve() }()
		running.Go(func() { _ = service.Run(ctx) })
		g.services, g.logs = append(g.services, service), append(g.logs, log)
	}
	b.Cleanup(func() {
		cancel()
		running.Wait()
		for i, log := range g.logs {
			_ = log.Stop(context.Background())
			_ = servers[i].Close()
		}
		g.pool.Close()
	})
	return g
}

// benchmarkCalls measures calls of 64 concurrent clients over net/rpc to a group of three replicas that sync their logs.
func benchmarkCalls(b *testing.B, call func(ctx context.Context, c *controlclient.Client, n int64) error) {
	g := startReplicaGroup(b)
	client := controlclient.New(g.pool, controlclient.Group{Addresses: g.addresses}, controlclient.Identity{Instance: "e1", Boot: "b1"}, &event.Clock{})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	if err := call(ctx, client, -1); err != nil {
		b.Fatal(err)
	}
	var next atomic.Int64
	latencies := make([]time.Duration, b.N)
	var running sync.WaitGroup
	b.ResetTimer()
	for range 64 {
		running.Go(func() {
			for {
				n := next.Add(1) - 1
				if n >= int64(b.N) {
					return
				}
				began := time.Now()
				if err := call(ctx, client, n); err != nil {
					b.Error(err)
					return
				}
				latencies[n] = time.Since(began)
			}
		})
	}
	running.Wait()
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(b.N)/float64(g.logs[0].Status().CommitIndex), "calls/entry")
}

func BenchmarkReplicatedBeginCall(b *testing.B) {
	benchmarkCalls(b, func(ctx context.Context, c *controlclient.Client, n int64) error {
		_, err := c.BeginCall(ctx, &control.BeginCallRequest{Workspace: "w", Key: fmt.Sprint(n), BodyHash: "h", Request: fmt.Sprint("r", n)})
		return err
	})
}

func BenchmarkReplicatedPinSession(b *testing.B) {
	benchmarkCalls(b, func(ctx context.Context, c *controlclient.Client, n int64) error {
		_, err := c.PinSession(ctx, &control.PinRequest{Workspace: "w", Session: fmt.Sprint(n), Proposed: ref("v1")})
		return err
	})
}

// BenchmarkSync measures the reply to an entry instance for 600 backend servers, the size the system is designed for:
// without changes, and after each server has reported its load once.
func BenchmarkSync(b *testing.B) {
	table := fleet.NewTable()
	s := newTestService(false, func(c *Config) { c.FleetTable = table })
	now := s.clock.Now()
	table.Reset(now, fleet.Epoch(1))
	announce := func(round int) {
		for i := range 600 {
			err := table.Announce(now, control.Announcement{
				ID: fmt.Sprint("s", i), Address: "127.0.0.1:1", Boot: "b1", AvailabilityZone: "z1", Running: round,
				Versions: []catalogue.VersionRef{ref("v1")}, Capacity: 8,
			})
			if err != nil {
				b.Fatal(err)
			}
		}
	}
	announce(0)
	out := &control.SyncReply{}
	if err := s.Sync(&control.SyncRequest{}, out); err != nil {
		b.Fatal(err)
	}
	in := &control.SyncRequest{Revision: out.Revision, FleetEpoch: out.Fleet.Epoch, FleetVersion: out.Fleet.Version}
	for _, changed := range []bool{false, true} {
		b.Run(fmt.Sprintf("loads=%t", changed), func(b *testing.B) {
			if changed {
				announce(1)
			}
			b.ReportAllocs()
			for range b.N {
				if err := s.Sync(in, &control.SyncReply{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	b.Run("SlotLimit", func(b *testing.B) {
		for range b.N {
			s.limitSource.SlotLimit(limits.ServerSlotKey("s1", "b1"))
		}
	})
}
