package hints

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

func TestHints(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hints")
}

var _ = Describe("hints", func() {
	var (
		mu      sync.Mutex
		members []string
	)
	BeforeEach(func() { members = nil })
	start := func(boot, secret string) (*Exchange, chan Hint) {
		GinkgoHelper()
		heard := make(chan Hint, 100)
		e, err := Listen(Config{
			Address: "127.0.0.1:0", Boot: boot, Secret: []byte(secret), Heard: func(h Hint) { heard <- h },
			Members: func() []string { mu.Lock(); defer mu.Unlock(); return members },
			Log:     slog.New(slog.DiscardHandler), Registerer: prometheus.NewRegistry(),
		})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); e.Run(ctx) }()
		DeferCleanup(func() { cancel(); Eventually(ended).Should(BeClosed()) })
		mu.Lock()
		defer mu.Unlock()
		members = append(members, e.Address())
		return e, heard
	}

	It("reach every other instance and not the sender (guards against prompts that wait behind one that nobody knows of)", func() {
		a, own := start("a", "one secret of the site")
		_, b := start("b", "one secret of the site")
		_, c := start("c", "one secret of the site")
		a.TellWork(7, 50_000, true)
		for _, heard := range []chan Hint{b, c} {
			var h Hint
			Eventually(heard).Should(Receive(&h))
			Expect(h).To(Equal(Hint{Sender: a.sender, Sequence: 1, Work: &Work{Server: 7, Tokens: 50_000}}))
		}
		Consistently(own, 50*time.Millisecond).ShouldNot(Receive())
	})

	It("name all sessions, in several datagrams when there are many (guards against sessions that change their version)", func() {
		a, _ := start("a", "")
		_, b := start("b", "")
		var hashes, got []uint64
		for n := range uint64(MaxSessions + 10) {
			hashes = append(hashes, n)
		}
		a.TellSessions(5, hashes)
		for range 2 {
			var h Hint
			Eventually(b).Should(Receive(&h))
			Expect(h.Sessions.Rollout).To(BeEquivalentTo(5))
			got = append(got, h.Sessions.Hashes...)
		}
		Expect(got).To(ConsistOf(hashes))
	})

	It("are not taken from a stranger or damaged (guards against load that somebody made up)", func() {
		stranger, _ := start("x", "another secret, not ours")
		b, heard := start("b", "one secret of the site")
		stranger.TellWork(7, 50_000, true)
		conn, err := net.Dial("udp", b.Address())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		whole := b.encode(Hint{Sender: 1, Sequence: 1, Work: &Work{Server: 7, Tokens: 1}})
		for _, datagram := range [][]byte{{}, {1}, whole[:len(whole)-1], append(whole[:len(whole):len(whole)], 0), append([]byte{9}, whole[1:]...)} {
			_, err := conn.Write(datagram)
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(func() float64 { return testutil.ToFloat64(b.hints.WithLabelValues("refused")) }).Should(BeNumerically("==", 6))
		Expect(heard).NotTo(Receive())
	})

	It("stay within their bytes and never wait (guards against a storm of hints at the size of the design)", func() {
		a, _ := start("a", "")
		mu.Lock()
		for range 409 {
			members = append(members, "127.0.0.1:9")
		}
		mu.Unlock()
		started, told := time.Now(), 0
		for n := range 1000 {
			if a.TellWork(uint64(n), 50_000, true) {
				told++
			}
		}
		Expect(time.Since(started)).To(BeNumerically("<", time.Second))
		const pair = 2 * 409 * (headSize + workSize + macSize + packetOverhead)
		Expect(told).To(BeNumerically("<=", (burstBytes+bytesPerSecond)/pair+1))
		Expect(a.TellWork(1, 0, false)).To(BeTrue(), "the end of what was told is told too")
		Eventually(func() int { return len(a.waiting) }).Should(BeZero())
		Eventually(func() float64 { return testutil.ToFloat64(a.hints.WithLabelValues("sent")) }).Should(BeNumerically("==", told+1))
	})
})

// Guards against a datagram that ends the process or is taken for what it is not.
func FuzzDecode(f *testing.F) {
	e := &Exchange{cfg: Config{Secret: []byte("one secret of the site")}}
	f.Add(e.encode(Hint{Sender: 1, Sequence: 2, Work: &Work{Server: 3, Tokens: 4}}))
	f.Add(e.encode(Hint{Sender: 1, Sequence: 2, Sessions: &Sessions{Rollout: 3, Hashes: []uint64{4, 5}}}))
	f.Add(e.encode(Hint{Sender: 1, Sequence: 2, Sessions: &Sessions{}}))
	f.Fuzz(func(t *testing.T, in []byte) {
		h, ok := e.decode(in)
		if !ok {
			// The bytes of a stranger, with the right code: only the shape is left to refuse them.
			h, ok = e.decode(append(in[:len(in):len(in)], e.mac(in)...))
		}
		if ok && (h.Work == nil) == (h.Sessions == nil) {
			t.Errorf("decoded %v", h)
		}
	})
}

func BenchmarkReceive(b *testing.B) {
	e := &Exchange{cfg: Config{Secret: []byte("one secret of the site")}}
	datagram := e.encode(Hint{Sender: 1, Sequence: 2, Work: &Work{Server: 3, Tokens: 4}})
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := e.decode(datagram); !ok {
			b.Fatal("not decoded")
		}
	}
}
