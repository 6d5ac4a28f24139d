package measure_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/controlclient"
	"clementinetray/server/peer"
	"clementinetray/standin/site"
)

// BenchmarkWrites measures the cost of durable records for several numbers of replicas and request rates. The rate is the
// total of all entry instances (nodes). Each request writes one bill, one in ten also pins a session, and one in fifty is a
// non-idempotent call.
func BenchmarkWrites(b *testing.B) {
	const nodes, window = 400, 10 * time.Second
	for _, size := range []struct{ replicas, rate int }{{3, 500}, {3, 2000}, {3, 5000}, {7, 5000}} {
		b.Run(fmt.Sprintf("%dreplicas%dper-s", size.replicas, size.rate), func(b *testing.B) {
			for b.Loop() {
				measureWrites(b, size.replicas, nodes, size.rate, window)
			}
		})
	}
}

func measureWrites(b *testing.B, replicas, nodes, rate int, window time.Duration) {
	s := newControlSite(b, replicas)
	leader, err := findLeader(s)
	requireNoError(b, err)
	follower := s.Instances[0]
	if follower == leader {
		follower = s.Instances[1]
	}
	ctx, cancel := context.WithTimeout(context.Background(), window+2*time.Second)
	defer cancel()
	var failed atomic.Int64
	var mu sync.Mutex
	var latencies []time.Duration
	var wg sync.WaitGroup
	for n := range nodes {
		client := newClient(b, s, n)
		wg.Go(func() {
			own := recordRequests(ctx, client, n, time.Duration(nodes)*time.Second/time.Duration(rate), &failed)
			mu.Lock()
			latencies = append(latencies, own...)
			mu.Unlock()
		})
	}
	time.Sleep(2 * time.Second)
	before := map[string]usage{"leader": processUsage(b, leader.PID()), "follower": processUsage(b, follower.PID()), "node": processUsage(b, "self")}
	if path := os.Getenv("LEADER_PROFILE"); path != "" {
		go saveProfile(b, leader, path, window)
	}
	time.Sleep(window)
	for role, pid := range map[string]string{"leader": leader.PID(), "follower": follower.PID(), "node": "self"} {
		after, divisor := processUsage(b, pid), 1.0
		if role == "node" {
			divisor = float64(nodes)
		}
		b.ReportMetric(100*(after.cpu-before[role].cpu).Seconds()/window.Seconds()/divisor, role+"-cpu-%")
		b.ReportMetric((after.bytes-before[role].bytes)/window.Seconds()/divisor/1024, role+"-KB/s")
	}
	wg.Wait()
	slices.Sort(latencies)
	b.ReportMetric(float64(len(latencies))/(window.Seconds()+2), "bills/s")
	b.ReportMetric(float64(quantile(latencies, 0.5).Microseconds())/1000, "bill-p50-ms")
	b.ReportMetric(float64(quantile(latencies, 0.99).Microseconds())/1000, "bill-p99-ms")
	b.ReportMetric(float64(failed.Load()), "failed")
	b.ReportMetric(residentMiB(b, leader.PID()), "leader-MiB")
}

// saveProfile records a CPU profile of the leader during the window and writes it to a file.
func saveProfile(b *testing.B, leader *site.Instance, path string, window time.Duration) {
	resp, err := http.Get(fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", leader.Metrics, int(window.Seconds())-1))
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err == nil {
		err = os.WriteFile(path, raw, 0o600)
	}
	if err != nil {
		b.Error(err)
	}
}

func newClient(b *testing.B, s *site.Site, n int) *controlclient.Client {
	pool := peer.NewPool([]byte("shared secret of the small site"), time.Second)
	b.Cleanup(pool.Close)
	var replicas []string
	for _, i := range s.Instances {
		replicas = append(replicas, i.Peers)
	}
	return controlclient.New(pool, controlclient.Group{Addresses: replicas}, controlclient.Identity{Instance: fmt.Sprintf("n%d", n), Boot: "1"}, &event.Clock{})
}

// recordRequests records one request per interval until ctx ends. It returns the latencies of those that were recorded and
// adds the others to failed.
func recordRequests(ctx context.Context, client *controlclient.Client, n int, interval time.Duration, failed *atomic.Int64) []time.Duration {
	var latencies []time.Duration
	var wg sync.WaitGroup
	var mu sync.Mutex
	time.Sleep(interval * time.Duration(n%16) / 16)
	for i := 0; ctx.Err() == nil; i++ {
		wg.Go(func() {
			began := time.Now()
			id := fmt.Sprintf("%032d-n%d", i, n)
			if err := recordRequest(client, id, i); err != nil {
				failed.Add(1)
				return
			}
			mu.Lock()
			latencies = append(latencies, time.Since(began))
			mu.Unlock()
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return latencies
}

// recordRequest writes the durable records of one request, the bill last.
func recordRequest(client *controlclient.Client, id string, i int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	ref := catalogue.VersionRef{Model: "cheap", Version: "v1"}
	if i%10 == 0 {
		if _, err := client.PinSession(ctx, &control.PinRequest{Workspace: "large", Session: id, Proposed: ref}); err != nil {
			return err
		}
	}
	if i%50 == 0 {
		if _, err := client.BeginCall(ctx, &control.BeginCallRequest{Workspace: "large", Key: id, BodyHash: id, Request: id}); err != nil {
			return err
		}
		answer := &control.CallAnswer{Status: 201, Body: make([]byte, 200)}
		if err := client.FinishCall(ctx, &control.FinishCallRequest{Workspace: "large", Key: id, Request: id, Answer: answer}); err != nil {
			return err
		}
	}
	_, err := client.RecordBills(ctx, &control.RecordBillsRequest{Bills: []control.Bill{{
		Key: id, Workspace: "large", Request: id, Complete: true,
		Lines: []control.BillLine{{VersionRef: ref, BackendServer: "cheap-1", PromptTokens: 500, OutputTokens: 200, CostMicros: 20}},
	}}})
	return err
}
