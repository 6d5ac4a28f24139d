package relay_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// timedOutConn is a connection that the kernel gives up.
type timedOutConn struct{ net.Conn }

func (c timedOutConn) Read([]byte) (int, error) {
	time.Sleep(50 * time.Millisecond)
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ETIMEDOUT}
}

// unreachableConn is a connection on which a write finds that the network can't be reached, upon which the reads end.
type unreachableConn struct {
	net.Conn
	failed chan struct{}
}

func (c unreachableConn) Write([]byte) (int, error) {
	close(c.failed)
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.EHOSTUNREACH)}
}

func (c unreachableConn) Read([]byte) (int, error) {
	<-c.failed
	return 0, io.EOF
}

var _ = Describe("a relayed connection whose relay loses its own paths", func() {
	// Guards against an answer without a length that counts as whole, because a write of the relay took the error of a lost path.
	It("ends as that of a broken relay when a write finds the network unreachable", func() {
		cut, other := newInstance("e1", "a", 10), newInstance("e2", "a", 10)
		cut.setDirect(refuse)
		other.setDirect(func(_ context.Context, address string, timeout time.Duration) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", address, timeout)
			return unreachableConn{conn, make(chan struct{})}, err
		})
		s := newTCPServer(echo)
		publish(map[string]string{"s": s.address()}, cut, other)
		conn := mustRelay(cut, "s", s.address())
		_, err := conn.Write([]byte("request"))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(conn)
		Expect(errors.Is(err, io.ErrUnexpectedEOF)).To(BeTrue(), "%v", err)
		Expect(conn.RelayBroke()).To(BeTrue())
	})

	// Guards against sound backend servers that are suspected because the path between them and the relay was lost.
	It("ends as that of a broken relay when the relay's connection times out", func() {
		cut, other := newInstance("e1", "a", 10), newInstance("e2", "a", 10)
		cut.setDirect(refuse)
		other.setDirect(func(_ context.Context, address string, timeout time.Duration) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", address, timeout)
			return timedOutConn{conn}, err
		})
		s := newTCPServer(echo)
		publish(map[string]string{"s": s.address()}, cut, other)
		conn := mustRelay(cut, "s", s.address())
		_, err := io.ReadAll(conn)
		Expect(errors.Is(err, io.ErrUnexpectedEOF)).To(BeTrue(), "%v", err)
		Expect(conn.RelayBroke()).To(BeTrue())
	})

	// Guards against the same when the relay's connections are reset and it knows that it is cut.
	It("ends as that of a broken relay when the connection is reset while the relay is cut", func() {
		cut, other, third := newInstance("e1", "a", 10), newInstance("e2", "a", 10), newInstance("e3", "a", 10)
		cut.setDirect(refuse)
		_, rows := newSoundServers(4)
		end := make(chan struct{})
		s := newTCPServer(func(conn net.Conn) {
			<-end
			reset(conn)
		})
		rows["s"] = s.address()
		publish(rows, cut, other)
		conn := mustRelay(cut, "s", s.address())
		publish(rows, cut, other, third)
		other.setDirect(refuse)
		for _, id := range serverNames(4) {
			mustRelay(other, id, rows[id])
		}
		Eventually(other.dialer.Cut, "2s").Should(BeTrue())
		close(end)
		_, err := io.ReadAll(conn)
		Expect(errors.Is(err, io.ErrUnexpectedEOF)).To(BeTrue(), "%v", err)
		Expect(conn.RelayBroke()).To(BeTrue())
	})
})

var _ = Describe("a relay's bound of connections without a proof", func() {
	// Guards against a flood that fills the bound, and against connections that are held for as long as a flood wants.
	It("is freed by the oldest ones, and by time", func() {
		one, two := newInstance("e1", "a", 20), newInstance("e2", "a", 20)
		_, rows := newSoundServers(1)
		publish(rows, one, two)
		one.setDirect(refuse)
		var silent []net.Conn
		for range 300 {
			conn, err := net.Dial("tcp", two.server.Address())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			silent = append(silent, conn)
		}
		mustRelay(one, "s0", rows["s0"])
		last := silent[len(silent)-1]
		Expect(last.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
		_, err := io.Copy(io.Discard, last)
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse(), "the relay ends the connection first")
	})
})
