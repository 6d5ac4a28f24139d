package peer_test

import (
	"context"
	"net"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"clementinetray/server/peer"
)

// unresponsiveListener fills the accept queue of a listener, so that the kernel drops further SYNs. accept accepts the
// queued connection, so that the next one succeeds.
func unresponsiveListener() (address string, accept func()) {
	GinkgoHelper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = unix.Close(fd) })
	Expect(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	Expect(unix.Listen(fd, 0)).To(Succeed())
	name, err := unix.Getsockname(fd)
	Expect(err).NotTo(HaveOccurred())
	address = net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*unix.SockaddrInet4).Port))
	filler, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(filler.Close)
	return address, func() {
		conn, _, err := unix.Accept(fd)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = unix.Close(conn) })
	}
}

var _ = Describe("Dial", func() {
	// Guards against instances that reach a restarted control replica only when the kernel retransmits the SYN after a second.
	It("connects soon after an unresponsive machine responds again", func() {
		address, accept := unresponsiveListener()
		started := time.Now()
		time.AfterFunc(150*time.Millisecond, accept)
		conn, err := peer.Dial(context.Background(), net.Dialer{}, address, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		Expect(time.Since(started)).To(BeNumerically("<", 700*time.Millisecond))
	})

	It("returns at the timeout when there is no response, and at once when the context ends", func() {
		address, _ := unresponsiveListener()
		started := time.Now()
		_, err := peer.Dial(context.Background(), net.Dialer{}, address, 300*time.Millisecond)
		Expect(err).To(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically("~", 300*time.Millisecond, 150*time.Millisecond))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		started = time.Now()
		_, err = peer.Dial(ctx, net.Dialer{}, address, 10*time.Second)
		Expect(err).To(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically("<", 150*time.Millisecond))
	})

	It("does not retry a refused connection", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		started := time.Now()
		_, err = peer.Dial(context.Background(), net.Dialer{}, address, 10*time.Second)
		Expect(err).To(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically("<", time.Second))
	})
})
