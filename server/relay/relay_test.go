package relay_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/server/blackboard"
	"clementinetray/server/relay"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

var secret = []byte("the secret of all instances")

// tcpServer is a backend server that handles each connection with serve.
type tcpServer struct {
	listener net.Listener
	accepted atomic.Int64
}

func newTCPServer(serve func(net.Conn)) *tcpServer {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &tcpServer{listener: l}
	var accepting, conns sync.WaitGroup
	accepting.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			conns.Go(func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			})
		}
	})
	DeferCleanup(func() {
		_ = l.Close()
		accepting.Wait()
		conns.Wait()
	})
	return s
}

func (s *tcpServer) address() string { return s.listener.Addr().String() }

func echo(conn net.Conn) { _, _ = io.Copy(conn, conn) }

// refusedAddress returns an address that refuses connections.
func refusedAddress() string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// instance is an entry instance with a dialer and a relay.
type instance struct {
	board  *blackboard.Board
	fleet  *blackboard.Writer[blackboard.Fleet]
	dialer *relay.Dialer
	server *relay.Server
	member control.Member
	// direct is how direct dials end; nil: as the network does.
	direct  atomic.Pointer[relay.DialFunc]
	changes chan bool
	// unanswered receives the servers that neither this instance nor a relay reached.
	unanswered chan string
}

// newInstance starts an instance with a relay of the given number of connections.
func newInstance(name, zone string, connections int) *instance {
	GinkgoHelper()
	i := &instance{board: blackboard.New(), changes: make(chan bool, 10), unanswered: make(chan string, 10)}
	writer, err := i.board.Fleet.Writer()
	Expect(err).NotTo(HaveOccurred())
	i.fleet = writer
	i.dialer, err = relay.NewDialer(relay.Config{Instance: name, AvailabilityZone: zone, Secret: secret, Board: i.board, DialDirect: i.dialDirect,
		OnChange: func(cut bool) { i.changes <- cut }, OnUnanswered: func(server string) { i.unanswered <- server }})
	Expect(err).NotTo(HaveOccurred())
	i.server, err = relay.Listen(relay.ServerConfig{Address: "127.0.0.1:0", Secret: secret, Board: i.board, Dialer: i.dialer, MaxConnections: connections})
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = i.server.Serve() }()
	DeferCleanup(func() { _ = i.server.Close() })
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { i.dialer.Run(ctx) })
	DeferCleanup(func() {
		stop()
		running.Wait()
	})
	i.member = control.Member{Instance: name, AvailabilityZone: zone, RelayAddress: i.server.Address()}
	return i
}

func (i *instance) dialDirect(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	if dial := i.direct.Load(); dial != nil {
		return (*dial)(ctx, address, timeout)
	}
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// setDirect sets how direct dials end; nil: as the network does.
func (i *instance) setDirect(dial relay.DialFunc) {
	if dial == nil {
		i.direct.Store(nil)
		return
	}
	i.direct.Store(&dial)
}

func refuse(context.Context, string, time.Duration) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
}

// drop gives no answer.
func drop(ctx context.Context, _ string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	<-ctx.Done()
	return nil, ctx.Err()
}

// publish gives all instances the same table.
func publish(servers map[string]string, instances ...*instance) {
	rows := map[string]*control.BackendServer{}
	for id, address := range servers {
		rows[id] = &control.BackendServer{Announcement: control.Announcement{ID: id, Address: address}, Phase: control.PhaseInService}
	}
	var all []control.Member
	for _, i := range instances {
		all = append(all, i.member)
	}
	for _, i := range instances {
		i.fleet.Publish(blackboard.Fleet{Servers: rows, Members: all, ReceivedAt: time.Now()})
	}
}

func dial(i *instance, id, address string) (net.Conn, error) {
	conn, err := i.dialer.Dial(context.Background(), id, address, 700*time.Millisecond)
	if err == nil {
		DeferCleanup(func() { _ = conn.Close() })
	}
	return conn, err
}

// mustRelay returns a connection to a backend server through a relay.
func mustRelay(i *instance, id, address string) *relay.Conn {
	GinkgoHelper()
	conn, err := dial(i, id, address)
	Expect(err).NotTo(HaveOccurred())
	relayed, ok := conn.(*relay.Conn)
	Expect(ok).To(BeTrue(), "the connection goes through a relay")
	return relayed
}

var _ = Describe("a relayed connection", func() {
	var cut, other *instance
	BeforeEach(func() {
		cut, other = newInstance("e1", "a", 10), newInstance("e2", "a", 10)
		cut.setDirect(refuse)
	})

	// Guards against bytes that are lost, doubled or out of order, also when one side is slower than the other.
	It("carries bytes in both directions unchanged", func() {
		s := newTCPServer(echo)
		publish(map[string]string{"s": s.address()}, cut, other)
		conn := mustRelay(cut, "s", s.address())
		want := make([]byte, 1<<20+3)
		for i := range want {
			want[i] = byte(i * i >> 7)
		}
		go func() {
			defer GinkgoRecover()
			_, err := conn.Write(want)
			Expect(err).NotTo(HaveOccurred())
		}()
		got := make([]byte, len(want))
		_, err := io.ReadFull(conn, got)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(got, want)).To(BeTrue())
		Expect(other.server.OpenCount()).To(Equal(1))
		Expect(conn.Close()).To(Succeed())
		Eventually(other.server.OpenCount).Should(BeZero())
		Expect(cut.dialer.OpenCount()).To(BeZero())
	})

	// Guards against an answer that was cut off and looks complete because its end has no length.
	DescribeTable("ends as the backend server's connection does",
		func(serve func(net.Conn), want error) {
			s := newTCPServer(serve)
			publish(map[string]string{"s": s.address()}, cut, other)
			conn := mustRelay(cut, "s", s.address())
			got, err := io.ReadAll(conn)
			Expect(string(got)).To(Equal("part"))
			if want == nil {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(errors.Is(err, want)).To(BeTrue(), "%v", err)
			}
			Expect(conn.RelayBroke()).To(BeFalse())
		},
		Entry("an orderly end", func(conn net.Conn) { _, _ = io.WriteString(conn, "part") }, nil),
		Entry("a reset", func(conn net.Conn) {
			_, _ = io.WriteString(conn, "part")
			// The bytes reach the relay before the reset.
			time.Sleep(100 * time.Millisecond)
			reset(conn)
		}, syscall.ECONNRESET),
	)

	// Guards against the same while a write of the request is blocked, which may take the error of the reset.
	DescribeTable("ends as the backend server's connection does although the request is not read",
		func(end func(*net.TCPConn), want error) {
			s := newTCPServer(func(conn net.Conn) {
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
				_, _ = io.ReadFull(conn, make([]byte, 1024))
				_, _ = io.WriteString(conn, "part")
				// The bytes reach the relay before the end, and its write is blocked by then.
				time.Sleep(100 * time.Millisecond)
				end(conn.(*net.TCPConn))
			})
			publish(map[string]string{"s": s.address()}, cut, other)
			for range 10 {
				conn := mustRelay(cut, "s", s.address())
				written := make(chan struct{})
				go func() {
					defer close(written)
					_, _ = conn.Write(make([]byte, 16<<20))
				}()
				got, err := io.ReadAll(conn)
				Expect(string(got)).To(Equal("part"))
				if want == nil {
					Expect(err).NotTo(HaveOccurred())
				} else {
					Expect(errors.Is(err, want)).To(BeTrue(), "%v", err)
				}
				Expect(conn.Close()).To(Succeed())
				<-written
			}
		},
		Entry("an orderly end", func(conn *net.TCPConn) { _ = conn.CloseWrite(); _, _ = io.Copy(io.Discard, conn) }, nil),
		Entry("a reset", func(conn *net.TCPConn) { reset(conn) }, syscall.ECONNRESET),
	)

	// Guards against an answer that looks complete, and a backend server that is taken for dead, because the relay's process ended.
	It("breaks when the relay ends", func() {
		s := newTCPServer(func(conn net.Conn) {
			_, _ = io.WriteString(conn, "part")
			_, _ = io.Copy(io.Discard, conn)
		})
		publish(map[string]string{"s": s.address()}, cut, other)
		conn := mustRelay(cut, "s", s.address())
		first := make([]byte, 4)
		_, err := io.ReadFull(conn, first)
		Expect(err).NotTo(HaveOccurred())
		Expect(other.server.Close()).To(Succeed())
		_, err = io.ReadAll(conn)
		Expect(errors.Is(err, io.ErrUnexpectedEOF)).To(BeTrue(), "%v", err)
		Expect(conn.RelayBroke()).To(BeTrue())
	})

	// Guards against work that goes on at a backend server after the caller left.
	It("closes that to the backend server when the instance closes its own", func() {
		ended := make(chan struct{})
		s := newTCPServer(func(conn net.Conn) {
			_, _ = io.Copy(io.Discard, conn)
			close(ended)
		})
		publish(map[string]string{"s": s.address()}, cut, other)
		conn := mustRelay(cut, "s", s.address())
		_, err := io.WriteString(conn, "request")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		Eventually(ended, "500ms").Should(BeClosed())
	})

	// Guards against goroutines and descriptors that remain after a connection.
	It("leaves nothing behind", func() {
		s := newTCPServer(echo)
		publish(map[string]string{"s": s.address()}, cut, other)
		before := runtime.NumGoroutine()
		for range 20 {
			conn := mustRelay(cut, "s", s.address())
			_, err := io.WriteString(conn, "x")
			Expect(err).NotTo(HaveOccurred())
			_ = conn.Close()
		}
		Eventually(runtime.NumGoroutine, "3s").Should(BeNumerically("<=", before+3))
		Eventually(other.server.OpenCount).Should(BeZero())
	})
})

var _ = Describe("a relay", func() {
	var cut, other *instance
	BeforeEach(func() {
		cut, other = newInstance("e1", "a", 2), newInstance("e2", "a", 2)
		cut.setDirect(refuse)
	})

	// Guards against a relay that connects its peers to anything: addresses that are no backend server's, or that were one's before.
	It("connects only to backend servers of its fleet table", func() {
		s := newTCPServer(echo)
		publish(map[string]string{"s": s.address()}, cut)
		publish(map[string]string{"s": refusedAddress(), "t": s.address()}, other)
		cut.fleet.Publish(blackboard.Fleet{Members: []control.Member{cut.member, other.member}, Servers: cut.board.Fleet.Load().Servers})
		_, err := dial(cut, "s", s.address())
		Expect(err).To(HaveOccurred())
		_, err = dial(cut, "unknown", s.address())
		Expect(err).To(HaveOccurred())
		Expect(s.accepted.Load()).To(BeZero())
	})

	// Guards against a stranger that uses an instance as a proxy.
	It("serves only instances that have the secret", func() {
		s := newTCPServer(echo)
		publish(map[string]string{"s": s.address()}, cut, other)
		stranger, err := relay.NewDialer(relay.Config{Instance: "e9", Secret: []byte("another secret"), Board: cut.board, DialDirect: refuse})
		Expect(err).NotTo(HaveOccurred())
		_, err = stranger.Dial(context.Background(), "s", s.address(), 700*time.Millisecond)
		Expect(err).To(HaveOccurred())
		Expect(s.accepted.Load()).To(BeZero())
	})

	// Guards against a relay that takes all descriptors and memory of an instance, which has callers of its own.
	It("forwards no more connections than its bound, and further ones after some ended", func() {
		s := newTCPServer(echo)
		publish(map[string]string{"s": s.address()}, cut, other)
		first := mustRelay(cut, "s", s.address())
		mustRelay(cut, "s", s.address())
		_, err := dial(cut, "s", s.address())
		Expect(err).To(HaveOccurred())
		Expect(other.server.OpenCount()).To(Equal(2))
		_ = first.Close()
		Eventually(func() error {
			_, err := dial(cut, "s", s.address())
			return err
		}, "3s").Should(Succeed())
	})

	// Guards against a planned stop that cuts off running streams, and against one that takes further ones.
	It("keeps its connections in a planned stop and takes no further ones", func() {
		s := newTCPServer(echo)
		publish(map[string]string{"s": s.address()}, cut, other)
		conn := mustRelay(cut, "s", s.address())
		stopped := make(chan struct{})
		go func() {
			other.server.Stop(context.Background())
			close(stopped)
		}()
		Eventually(func() error {
			further, err := dial(cut, "s", s.address())
			if err == nil {
				// Accepted before the stop began, which would wait for it.
				_ = further.Close()
			}
			return err
		}).ShouldNot(Succeed())
		_, err := io.WriteString(conn, "still")
		Expect(err).NotTo(HaveOccurred())
		got := make([]byte, 5)
		_, err = io.ReadFull(conn, got)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal("still"))
		Consistently(stopped, "200ms").ShouldNot(BeClosed())
		_ = conn.Close()
		Eventually(stopped).Should(BeClosed())
	})

	// Guards against connections that hold descriptors for good because nothing is sent on them.
	It("ends a connection without a byte in either direction", func() {
		idle, err := relay.Listen(relay.ServerConfig{Address: "127.0.0.1:0", Secret: secret, Board: other.board, Dialer: other.dialer, MaxConnections: 2, IdleTimeout: 300 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = idle.Serve() }()
		DeferCleanup(idle.Close)
		other.member.RelayAddress = idle.Address()
		s := newTCPServer(echo)
		publish(map[string]string{"s": s.address()}, cut, other)
		conn := mustRelay(cut, "s", s.address())
		for range 5 {
			time.Sleep(100 * time.Millisecond)
			_, err = io.WriteString(conn, "x")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(idle.OpenCount()).To(Equal(1), "bytes keep the connection")
		Eventually(idle.OpenCount, "1s").Should(BeZero())
	})
})

var _ = Describe("a dial", func() {
	// Guards against a server that is down and is not recognized as such, and against an instance that blames its paths for it.
	It("says that the backend server refuses when it refuses everybody", func() {
		one, two := newInstance("e1", "a", 10), newInstance("e2", "a", 10)
		rows := map[string]string{}
		for _, id := range serverNames(5) {
			rows[id] = refusedAddress()
		}
		publish(rows, one, two)
		for id, address := range rows {
			_, err := dial(one, id, address)
			Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue(), "%v", err)
		}
		Expect(one.dialer.Cut()).To(BeFalse())
		one.setDirect(drop)
		up := newTCPServer(echo)
		rows["up"] = up.address()
		publish(rows, one, two)
		mustRelay(one, "up", up.address())
		_, err := dial(one, "s0", rows["s0"])
		Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue(), "%v", err)
		Expect(relay.ErrNoPath.Has(err)).To(BeFalse())
	})

	// Guards against callers that wait, against a state that is found late or never ends, and against a direct path that is not used again.
	DescribeTable("goes through a relay while the instance is cut, and directly again afterwards", func(lost relay.DialFunc, limit time.Duration) {
		one, two := newInstance("e1", "a", 20), newInstance("e2", "a", 20)
		rows := map[string]string{}
		for _, id := range serverNames(5) {
			rows[id] = newTCPServer(echo).address()
		}
		publish(rows, one, two)
		one.setDirect(lost)
		began := time.Now()
		mustRelay(one, "s0", rows["s0"])
		Expect(time.Since(began)).To(BeNumerically("<", limit))
		Eventually(one.dialer.Cut, "1s").Should(BeTrue())
		Expect(<-one.changes).To(BeTrue())
		began = time.Now()
		for id, address := range rows {
			mustRelay(one, id, address)
		}
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		Consistently(one.dialer.Cut, "1s").Should(BeTrue(), "probes fail")
		one.setDirect(nil)
		Eventually(one.dialer.Cut, "1500ms").Should(BeFalse())
		conn, err := dial(one, "s0", rows["s0"])
		Expect(err).NotTo(HaveOccurred())
		Expect(conn).To(BeAssignableToTypeOf(&net.TCPConn{}))
	},
		Entry("new connections are refused", relay.DialFunc(refuse), 60*time.Millisecond),
		Entry("packets are dropped", relay.DialFunc(drop), 250*time.Millisecond),
	)

	// Guards against a path to one server that is taken for the loss of all, and against a dial that waits for it each time.
	It("relays only connections to the server whose path is down", func() {
		one, two := newInstance("e1", "a", 20), newInstance("e2", "a", 20)
		rows := map[string]string{}
		for _, id := range serverNames(4) {
			rows[id] = newTCPServer(echo).address()
		}
		publish(rows, one, two)
		one.setDirect(func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
			if address == rows["s0"] {
				return drop(ctx, address, timeout)
			}
			return two.dialDirect(ctx, address, timeout)
		})
		mustRelay(one, "s0", rows["s0"])
		began := time.Now()
		mustRelay(one, "s0", rows["s0"])
		Expect(time.Since(began)).To(BeNumerically("<", 80*time.Millisecond))
		Consistently(one.dialer.Cut, "800ms").Should(BeFalse())
		conn, err := dial(one, "s1", rows["s1"])
		Expect(err).NotTo(HaveOccurred())
		Expect(conn).To(BeAssignableToTypeOf(&net.TCPConn{}))
	})

	// Guards against a zone that is cut as a whole: its instances ask each other, and take servers for dead.
	DescribeTable("finds a relay in another zone when those of its own are cut too", func(lost relay.DialFunc) {
		all := []*instance{newInstance("e1", "a", 20), newInstance("e2", "a", 20), newInstance("e3", "a", 20), newInstance("e4", "b", 20)}
		rows := map[string]string{}
		for _, id := range serverNames(5) {
			rows[id] = newTCPServer(echo).address()
		}
		publish(rows, all...)
		for _, i := range all[:3] {
			i.setDirect(lost)
		}
		for n, i := range all[:3] {
			for id, address := range rows {
				conn := mustRelay(i, id, address)
				Expect(conn.Relay).To(Equal("e4"), "dial of instance %d", n)
			}
		}
		Expect(all[3].dialer.Cut()).To(BeFalse())
	},
		Entry("new connections are refused", relay.DialFunc(refuse)),
		Entry("packets are dropped", relay.DialFunc(drop)),
	)

	// Guards against a dial that waits for a relay that does not answer, and against the same wait at each dial.
	It("tries the next relay beside one that does not answer", func() {
		one, two := newInstance("e1", "a", 20), newInstance("e2", "b", 20)
		silent := newTCPServer(func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
		rows := map[string]string{"s": newTCPServer(echo).address()}
		publish(rows, one, two)
		dead := control.Member{Instance: "e0", AvailabilityZone: "a", RelayAddress: silent.address()}
		one.fleet.Publish(blackboard.Fleet{Servers: one.board.Fleet.Load().Servers, Members: []control.Member{dead, one.member, two.member}})
		one.setDirect(refuse)
		began := time.Now()
		mustRelay(one, "s", rows["s"])
		Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
		began = time.Now()
		mustRelay(one, "s", rows["s"])
		Expect(time.Since(began)).To(BeNumerically("<", 80*time.Millisecond))
	})

	// Guards against a failure of all paths that counts as evidence against the backend server.
	It("knows nothing of the backend server when the relays are gone too", func() {
		one, two := newInstance("e1", "a", 20), newInstance("e2", "a", 20)
		rows := map[string]string{}
		for _, id := range serverNames(3) {
			rows[id] = newTCPServer(echo).address()
		}
		publish(rows, one, two)
		one.setDirect(refuse)
		for id, address := range rows {
			mustRelay(one, id, address)
		}
		Expect(one.dialer.Cut()).To(BeTrue())
		Expect(two.server.Close()).To(Succeed())
		_, err := dial(one, "s0", rows["s0"])
		Expect(relay.ErrNoPath.Has(err)).To(BeTrue(), "%v", err)
		Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeFalse())
	})

	// Guards against an instance among older ones, or alone, that waits for relays which don't exist.
	It("is a plain one when no other instance has a relay", func() {
		one := newInstance("e1", "a", 20)
		address := refusedAddress()
		publish(map[string]string{"s": address}, one)
		_, err := dial(one, "s", address)
		Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue(), "%v", err)
	})
})

var _ = Describe("the cost of relayed connections", func() {
	const connections = 400

	// Guards against buffers that grow what an instance needs for others: its bound on connections assumes 32 KiB for each at the relay.
	It("is under 64 KiB of memory for each, at both ends together, more than direct ones", func() {
		cut, other := newInstance("e1", "a", connections), newInstance("e2", "a", connections)
		s := newTCPServer(echo)
		publish(map[string]string{"s": s.address()}, cut, other)
		used := func() int {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			return int(m.HeapAlloc + m.StackInuse)
		}
		cost := func() int {
			before := used()
			for range connections {
				conn, err := dial(cut, "s", s.address())
				Expect(err).NotTo(HaveOccurred())
				_, err = io.WriteString(conn, "x")
				Expect(err).NotTo(HaveOccurred())
				_, err = io.ReadFull(conn, make([]byte, 1))
				Expect(err).NotTo(HaveOccurred())
			}
			return (used() - before) / connections
		}
		direct := cost()
		cut.setDirect(refuse)
		relayed := cost()
		GinkgoWriter.Printf("%d bytes for each direct connection, %d for each relayed one\n", direct, relayed)
		Expect(other.server.OpenCount()).To(Equal(connections))
		Expect(relayed - direct).To(BeNumerically("<", 64<<10))
	})
})

var _ = Describe("a dialer whose budget of early relayed dials is spent", func() {
	// Guards against requests that wait for their whole dial timeout because servers were slow to accept just before the paths were lost.
	It("starts a relayed dial later, and early ones again once a path is in doubt", func() {
		one, other := newInstance("e1", "a", 50), newInstance("e2", "a", 50)
		_, rows := newSoundServers(8)
		publish(rows, one, other)
		slow := func(_ context.Context, address string, _ time.Duration) (net.Conn, error) {
			time.Sleep(130 * time.Millisecond)
			return net.Dial("tcp", address)
		}
		one.setDirect(slow)
		other.setDirect(slow)
		for range 5 {
			_, err := dial(one, "s0", rows["s0"])
			Expect(err).NotTo(HaveOccurred())
		}
		one.setDirect(drop)
		other.setDirect(nil)
		began := time.Now()
		mustRelay(one, "s1", rows["s1"])
		Expect(time.Since(began)).To(BeNumerically("~", 300*time.Millisecond, 60*time.Millisecond))
		began = time.Now()
		mustRelay(one, "s2", rows["s2"])
		Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
	})
})

var _ = Describe("an instance with one path that stays down", func() {
	// Guards against connections to sound servers in each round of probes for as long as the path is down.
	It("probes other servers only when the path is lost", func() {
		one, other := newInstance("e1", "a", 50), newInstance("e2", "a", 50)
		sound, rows := newSoundServers(8)
		publish(rows, one, other)
		one.setDirect(func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
			if address == rows["s0"] {
				return drop(ctx, address, timeout)
			}
			return other.dialDirect(ctx, address, timeout)
		})
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
			mustRelay(one, "s0", rows["s0"])
		}
		Expect(acceptedBy(sound[1:])).To(BeNumerically("<=", 2))
		Expect(one.dialer.Cut()).To(BeFalse())
	})
})
