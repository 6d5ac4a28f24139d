package controlclient_test

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/controlclient"
	"clementinetray/server/peer"
)

func TestControlClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "controlclient")
}

var secret = []byte("a secret of the processes")

// Replica is a control replica whose answers the test sets.
type Replica struct {
	server     *peer.Server
	calls      atomic.Int64
	isLeader   atomic.Bool
	syncDelay  atomic.Int64 // in nanoseconds
	pinHandler atomic.Pointer[func() error]
}

// silentAddress returns an address that takes connections and never answers.
func silentAddress() string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	return l.Addr().String()
}

// PinSession calls the handler that the test set.
func (r *Replica) PinSession(_ *control.PinRequest, _ *control.PinReply) error {
	r.calls.Add(1)
	return (*r.pinHandler.Load())()
}

// Sync replies with this replica's address, also as the leader's if it is the leader.
func (r *Replica) Sync(_ *control.SyncRequest, out *control.SyncReply) error {
	r.calls.Add(1)
	time.Sleep(time.Duration(r.syncDelay.Load()))
	out.Instance = r.server.Address()
	if r.isLeader.Load() {
		out.Leader = out.Instance
	}
	return nil
}

func (r *Replica) setPinHandler(f func() error) { r.pinHandler.Store(&f) }

// startReplicas starts n replicas, none of which is the leader, and returns a client for them.
func startReplicas(n int) ([]*Replica, *controlclient.Client) {
	GinkgoHelper()
	var replicas []*Replica
	var addresses []string
	for range n {
		s, err := peer.Listen("127.0.0.1:0", secret, slog.New(slog.DiscardHandler))
		Expect(err).NotTo(HaveOccurred())
		r := &Replica{server: s}
		r.setPinHandler(func() error { return controlclient.NotLeaderError("") })
		Expect(s.Register("Control", r)).To(Succeed())
		go func() { _ = s.Serve() }()
		DeferCleanup(s.Close)
		replicas = append(replicas, r)
		addresses = append(addresses, s.Address())
	}
	pool := peer.NewPool(secret, time.Second)
	DeferCleanup(pool.Close)
	return replicas, controlclient.New(pool, controlclient.Group{Addresses: addresses}, controlclient.Identity{Instance: "e1", Boot: "1"}, &event.Clock{})
}

func pinSession(c *controlclient.Client, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := c.PinSession(ctx, &control.PinRequest{})
	return err
}

var _ = Describe("Client", func() {
	It("follows the hint to the leader and keeps using it (guards against a search for each write)", func() {
		replicas, c := startReplicas(3)
		replicas[0].setPinHandler(func() error { return controlclient.NotLeaderError(replicas[2].server.Address()) })
		replicas[2].setPinHandler(func() error { return nil })
		for range 5 {
			Expect(pinSession(c, 2*time.Second)).To(Succeed())
		}
		Expect(replicas[2].calls.Load()).To(BeEquivalentTo(5))
		Expect(replicas[0].calls.Load() + replicas[1].calls.Load()).To(BeNumerically("<=", 2))
	})

	It("finds the next leader when the known one is gone (guards against writes that fail until a restart)", func() {
		replicas, c := startReplicas(3)
		replicas[1].setPinHandler(func() error { return nil })
		Expect(pinSession(c, 2*time.Second)).To(Succeed())
		Expect(replicas[1].server.Close()).To(Succeed())
		replicas[2].setPinHandler(func() error { return nil })
		Expect(pinSession(c, 3*time.Second)).To(Succeed())
	})

	It("returns ErrUnavailable within the deadline when there is no leader (guards against requests that hang)", func() {
		_, c := startReplicas(3)
		began := time.Now()
		Expect(control.ErrUnavailable.Has(pinSession(c, 500*time.Millisecond))).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})

	It("does not retry a write that a full table rejected (guards against load on a full leader)", func() {
		replicas, c := startReplicas(1)
		replicas[0].setPinHandler(func() error { return control.ErrTableFull.New("sessions") })
		Expect(control.ErrTableFull.Has(pinSession(c, time.Second))).To(BeTrue())
		Expect(replicas[0].calls.Load()).To(BeEquivalentTo(1))
	})

	It("switches to a new leader while a call to an unresponsive one is pending (guards against announcements that fail after a change of leaders)", func() {
		replicas, _ := startReplicas(1)
		leader := replicas[0]
		leader.setPinHandler(func() error { return nil })
		leader.isLeader.Store(true)
		pool := peer.NewPool(secret, time.Second)
		DeferCleanup(pool.Close)
		group := controlclient.Group{Addresses: []string{silentAddress(), leader.server.Address()}}
		c := controlclient.New(pool, group, controlclient.Identity{Instance: "e1", Boot: "1"}, &event.Clock{})
		ended := make(chan error, 1)
		started := time.Now()
		go func() { ended <- pinSession(c, 3*time.Second) }()
		time.Sleep(50 * time.Millisecond)
		_, err := c.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Eventually(ended).WithTimeout(3 * time.Second).Should(Receive(BeNil()))
		Expect(time.Since(started)).To(BeNumerically("<", 500*time.Millisecond))
	})

	// Guards against a process that ends because it reads a reply that a call did not get, as after its machine was suspended.
	It("returns an error when the time for a call has ended before any answer or failure", func() {
		_, c := startReplicas(1)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		reply, err := c.Sync(ctx, &control.SyncRequest{})
		Expect(control.ErrUnavailable.Has(err)).To(BeTrue(), "error %v, reply %v", err, reply)
	})

	It("does not wait for an unresponsive replica while another one answers (guards against instances that start to serve a second late after a power failure)", func() {
		replicas, _ := startReplicas(1)
		pool := peer.NewPool(secret, time.Second)
		DeferCleanup(pool.Close)
		group := controlclient.Group{Addresses: []string{silentAddress(), silentAddress(), replicas[0].server.Address()}}
		c := controlclient.New(pool, group, controlclient.Identity{Instance: "e1", Boot: "1"}, &event.Clock{})
		started := time.Now()
		reply, err := c.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Instance).To(Equal(replicas[0].server.Address()))
		Expect(time.Since(started)).To(BeNumerically("<", 500*time.Millisecond))
		started = time.Now()
		_, err = c.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically("<", 100*time.Millisecond), "the second Sync starts with the replica that answered")
	})

	It("makes few calls while all replicas are slow, and asks the next one fast again once they are not (guards against instances that keep an overloaded control group busy)", func() {
		replicas, c := startReplicas(5)
		setDelay := func(delay time.Duration) {
			for _, r := range replicas {
				r.syncDelay.Store(int64(delay))
				r.calls.Store(0)
			}
		}
		calls := func() (sum int64) {
			for _, r := range replicas {
				sum += r.calls.Load()
			}
			return sum
		}
		syncs := func(n int) {
			for range n {
				_, err := c.Sync(context.Background(), &control.SyncRequest{})
				Expect(err).NotTo(HaveOccurred())
			}
		}
		setDelay(450 * time.Millisecond)
		syncs(3)
		setDelay(450 * time.Millisecond)
		syncs(4)
		Expect(calls()).To(BeNumerically("<=", 4), "one call for each Sync")
		setDelay(0)
		syncs(20)
		Expect(replicas[0].server.Close()).To(Succeed())
		replicas[1].syncDelay.Store(int64(time.Second))
		started := time.Now()
		syncs(1)
		Expect(time.Since(started)).To(BeNumerically("<", 500*time.Millisecond))
	})

	It("syncs with the next replica when one is down or skipped (guards against a view that ages although replicas are up)", func() {
		replicas, c := startReplicas(3)
		first, err := c.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Instance).To(Equal(replicas[0].server.Address()))
		Expect(replicas[0].server.Close()).To(Succeed())
		second, err := c.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Instance).To(Equal(replicas[1].server.Address()))
		c.SkipReplica()
		third, err := c.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(third.Instance).To(Equal(replicas[2].server.Address()))
	})
})
