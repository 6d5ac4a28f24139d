package workhint

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

func TestWorkHint(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "workhint")
}

var _ = Describe("hints of work", func() {
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
		a.Tell(7, 50_000)
		for _, heard := range []chan Hint{b, c} {
			var h Hint
			Eventually(heard).Should(Receive(&h))
			Expect(h).To(Equal(Hint{Sender: a.sender, Sequence: 1, Server: 7, Tokens: 50_000}))
		}
		Consistently(own, 50*time.Millisecond).ShouldNot(Receive())
	})

	It("are not taken from a stranger or damaged (guards against load that somebody made up)", func() {
		stranger, _ := start("x", "another secret, not ours")
		b, heard := start("b", "one secret of the site")
		stranger.Tell(7, 50_000)
		conn, err := net.Dial("udp", b.Address())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		whole := b.encode(Hint{Sender: 1, Sequence: 1, Server: 7, Tokens: 1})
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
		started := time.Now()
		for n := range 1000 {
			a.Tell(uint64(n), 50_000)
		}
		Expect(time.Since(started)).To(BeNumerically("<", time.Second))
		Eventually(func() int { return len(a.waiting) }).Should(BeZero())
		Expect(testutil.ToFloat64(a.hints.WithLabelValues("sent"))).To(BeNumerically("<=", 2*bytesPerSecond/(409*wireSize)+1))
	})
})
