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

// deafListener listens with room for one connection that nobody accepts, so that the kernel drops further opening packets.
// accept makes room.
func deafListener() (address string, accept func()) {
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
	// Guards against instances that wait for a second longer than a control replica that gets its power back.
	It("notices soon that a silent machine answers again", func() {
		address, accept := deafListener()
		started := time.Now()
		time.AfterFunc(150*time.Millisecond, accept)
		conn, err := peer.Dial(context.Background(), net.Dialer{}, address, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		Expect(time.Since(started)).To(BeNumerically("<", 700*time.Millisecond))
	})

	It("gives up in time when nobody answers, and at once when the caller does", func() {
		address, _ := deafListener()
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

	It("does not repeat a refused connection", func() {
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
