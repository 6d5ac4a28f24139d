package replica_test

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"clementinetray/server/replica"
)

// reportPercentiles reports the median, the 99th percentile and the largest value in milliseconds.
func reportPercentiles(b *testing.B, name string, values []time.Duration) {
	slices.Sort(values)
	for suffix, at := range map[string]int{"p50": len(values) / 2, "p99": len(values) * 99 / 100, "max": len(values) - 1} {
		b.ReportMetric(float64(values[at])/float64(time.Millisecond), name+"-"+suffix+"-ms")
	}
}

// BenchmarkCommit measures commits of 256 bytes per second and their latency at the leader, with real syncs.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{3, 5, 7} {
		for _, clients := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("replicas=%d/clients=%d", size, clients), func(b *testing.B) {
				measureCommits(b, newCluster(b, size, nil), clients)
			})
		}
	}
}

// BenchmarkCommitDelayed is BenchmarkCommit with a one-way delay of 1 ms between the replicas, as between availability
// zones.
func BenchmarkCommitDelayed(b *testing.B) {
	for _, clients := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("replicas=3/clients=%d", clients), func(b *testing.B) {
			p := &clusterProxies{t: b, delay: time.Millisecond}
			measureCommits(b, newCluster(b, 3, p.changeConfig), clients)
		})
	}
}

func measureCommits(b *testing.B, c *cluster, clients int) {
	command := []byte(strings.Repeat("x", 256))
	leader := c.leader()
	latencies := make([]time.Duration, b.N)
	var next atomic.Int64
	var group sync.WaitGroup
	b.ResetTimer()
	started := time.Now()
	for range clients {
		group.Go(func() {
			for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
				at := time.Now()
				if _, err := leader.Propose(b.Context(), command); err != nil {
					b.Error(err)
					return
				}
				latencies[i] = time.Since(at)
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(b.N)/time.Since(started).Seconds(), "commits/s")
	b.StopTimer()
	reportPercentiles(b, "commit", latencies)
}

// BenchmarkLeaderLoss measures the time from the kill of the leader to the first commit on the next leader.
func BenchmarkLeaderLoss(b *testing.B) {
	for _, size := range []int{3, 5, 7} {
		b.Run(fmt.Sprintf("replicas=%d", size), func(b *testing.B) {
			c := newCluster(b, size, nil)
			var gaps []time.Duration
			for b.Loop() {
				c.propose("before")
				old := c.leader().id
				killed := time.Now()
				c.kill(old)
				c.propose("after")
				gaps = append(gaps, time.Since(killed))
				c.restart(old)
				time.Sleep(300 * time.Millisecond)
			}
			reportPercentiles(b, "gap", gaps)
		})
	}
}

// BenchmarkRestart measures the duration of Start and the time until all entries are applied, for several lengths of the
// log in entries of 256 bytes. The second figure includes an election timeout of 500 to 1,000 ms.
func BenchmarkRestart(b *testing.B) {
	command := []byte(strings.Repeat("x", 256))
	for _, length := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", length), func(b *testing.B) {
			c := newCluster(b, 1, func(cfg *replica.Config) { cfg.CompactBytes = 1 << 30 })
			leader := c.leader()
			var group sync.WaitGroup
			for range 256 {
				group.Go(func() {
					for range length / 256 {
						_, _ = leader.Propose(b.Context(), command)
					}
				})
			}
			group.Wait()
			count := len(leader.history.allCommands())
			var starts, served []time.Duration
			for b.Loop() {
				c.kill("c1")
				at := time.Now()
				n := c.restart("c1")
				starts = append(starts, time.Since(at))
				for len(n.history.allCommands()) < count {
					time.Sleep(time.Millisecond)
				}
				served = append(served, time.Since(at))
			}
			reportPercentiles(b, "start", starts)
			reportPercentiles(b, "applied", served)
		})
	}
}

// proxy is a TCP forwarder that counts and delays the forwarded bytes.
type proxy struct {
	listener net.Listener
	bytes    atomic.Int64
	delay    time.Duration
}

func newProxy(t testing.TB, target string, delay time.Duration) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &proxy{listener: l, delay: delay}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			go p.copy(in, out)
			go p.copy(out, in)
		}
	}()
	return p
}

func (p *proxy) copy(to, from net.Conn) {
	type piece struct {
		data []byte
		due  time.Time
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer to.Close()
		for next := range pieces {
			time.Sleep(time.Until(next.due))
			if _, err := to.Write(next.data); err != nil {
				_ = from.Close()
			}
		}
	}()
	defer close(pieces)
	for {
		buf := make([]byte, 32<<10)
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		p.bytes.Add(int64(n))
		pieces <- piece{buf[:n], time.Now().Add(p.delay)}
	}
}

// clusterProxies puts a proxy in front of each replica of a cluster.
type clusterProxies struct {
	t       testing.TB
	delay   time.Duration
	byID    map[string]*proxy
	members map[string]string
}

func (p *clusterProxies) changeConfig(cfg *replica.Config) {
	if p.byID == nil {
		p.byID, p.members = map[string]*proxy{}, map[string]string{}
		for id, address := range cfg.Members {
			p.byID[id] = newProxy(p.t, address, p.delay)
			p.members[id] = p.byID[id].listener.Addr().String()
		}
	}
	cfg.Members, cfg.Address = p.members, p.members[cfg.ID]
}

func (p *clusterProxies) totalBytes() (bytes int64) {
	for _, one := range p.byID {
		bytes += one.bytes.Load()
	}
	return bytes
}

func cpuTime(t testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkIdle measures the cost of an idle replica over 10 s: bytes sent and received, and CPU time as a share of one
// core. The bytes are counted by proxies in a separate run, so that the proxies do not add CPU time.
func BenchmarkIdle(b *testing.B) {
	const window = 10 * time.Second
	for _, size := range []int{3, 5, 7} {
		b.Run(fmt.Sprintf("replicas=%d", size), func(b *testing.B) {
			for b.Loop() {
				c := newCluster(b, size, nil)
				c.leader()
				before := cpuTime(b)
				time.Sleep(window)
				spent := cpuTime(b) - before
				b.ReportMetric(100*spent.Seconds()/window.Seconds()/float64(size), "core-%/replica")
				for id := range c.nodes {
					c.kill(id)
				}
				b.ReportMetric(idleBytes(b, size, window), "B/s/replica")
			}
		})
	}
}

// idleBytes returns the bytes that a replica sends and receives per second.
func idleBytes(b *testing.B, size int, window time.Duration) float64 {
	p := &clusterProxies{t: b}
	newCluster(b, size, p.changeConfig).leader()
	before := p.totalBytes()
	time.Sleep(window)
	// Each byte is sent by one replica and received by another.
	return 2 * float64(p.totalBytes()-before) / window.Seconds() / float64(size)
}
