package peer_test

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/server/peer"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

var secret = []byte("a secret of the processes")

// Echo is an RPC receiver that records its calls.
type Echo struct{ calls chan string }

// Say returns its argument; "hang" never returns.
func (e *Echo) Say(in string, out *string) error {
	e.calls <- in
	if in == "hang" {
		select {}
	}
	*out = in
	return nil
}

// serve runs a server until the spec ends.
func serve(echo *Echo) *peer.Server {
	GinkgoHelper()
	s, err := peer.Listen("127.0.0.1:0", secret, slog.New(slog.DiscardHandler))
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Register("Echo", echo)).To(Succeed())
	go func() { _ = s.Serve() }()
	DeferCleanup(s.Close)
	return s
}

func call(p *peer.Pool, address, text string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var out string
	err := p.Call(ctx, address, "Echo.Say", text, &out)
	return out, err
}

var _ = Describe("Pool", func() {
	It("serves a process that has the secret", func() {
		s := serve(&Echo{calls: make(chan string, 1)})
		p := peer.NewPool(secret, time.Second)
		defer p.Close()
		Expect(call(p, s.Address(), "hello", time.Second)).To(Equal("hello"))
	})

	It("rejects calls without the secret (guards against an unauthenticated process that writes control state)", func() {
		echo := &Echo{calls: make(chan string, 1)}
		s := serve(echo)
		p := peer.NewPool([]byte("another secret of somebody"), time.Second)
		defer p.Close()
		_, err := call(p, s.Address(), "hello", time.Second)
		Expect(err).To(HaveOccurred())
		Expect(echo.calls).To(BeEmpty())
	})

	It("rejects a listener that reflects the proof (guards against a listener without the secret)", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = l.Close() }()
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			buffer := make([]byte, 256)
			for {
				n, err := conn.Read(buffer)
				if err != nil {
					return
				}
				_, _ = conn.Write(buffer[:n])
			}
		}()
		p := peer.NewPool(secret, time.Second)
		defer p.Close()
		_, err = call(p, l.Addr().String(), "hello", time.Second)
		Expect(peer.ErrAuthentication.Has(err)).To(BeTrue())
	})

	It("dials again after a call that timed out (guards against a silently broken connection that blocks later calls)", func() {
		s := serve(&Echo{calls: make(chan string, 2)})
		p := peer.NewPool(secret, time.Second)
		defer p.Close()
		_, err := call(p, s.Address(), "hang", 50*time.Millisecond)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(call(p, s.Address(), "hello", time.Second)).To(Equal("hello"))
	})
})
