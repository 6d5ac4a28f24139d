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

// Replica is a control replica that leads or names another one.
type Replica struct {
	server *peer.Server
	calls  atomic.Int64
	leads  atomic.Bool
	answer atomic.Pointer[func() error]
}

// silent returns an address that takes connections and never answers.
func silent() string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	return l.Addr().String()
}

// PinSession answers as the test says.
func (r *Replica) PinSession(_ *control.PinRequest, _ *control.PinReply) error {
	r.calls.Add(1)
	return (*r.answer.Load())()
}

// Sync answers with this replica's address.
func (r *Replica) Sync(_ *control.SyncRequest, out *control.SyncReply) error {
	r.calls.Add(1)
	out.Instance = r.server.Address()
	if r.leads.Load() {
		out.Leader = out.Instance
	}
	return nil
}

func (r *Replica) answers(f func() error) { r.answer.Store(&f) }

// replicas starts n replicas of which none leads.
func replicas(n int) ([]*Replica, *controlclient.Client) {
	GinkgoHelper()
	var all []*Replica
	var addresses []string
	for range n {
		s, err := peer.Listen("127.0.0.1:0", secret, slog.New(slog.DiscardHandler))
		Expect(err).NotTo(HaveOccurred())
		r := &Replica{server: s}
		r.answers(func() error { return controlclient.NotLeader("") })
		Expect(s.Register("Control", r)).To(Succeed())
		go func() { _ = s.Serve() }()
		DeferCleanup(s.Close)
		all = append(all, r)
		addresses = append(addresses, s.Address())
	}
	pool := peer.NewPool(secret, time.Second)
	DeferCleanup(pool.Close)
	return all, controlclient.New(pool, controlclient.Group{Addresses: addresses}, controlclient.Identity{Instance: "e1", Boot: "1"}, &event.Clock{})
}

func pin(c *controlclient.Client, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := c.PinSession(ctx, &control.PinRequest{})
	return err
}

var _ = Describe("Client", func() {
	It("follows the hint to the leader and stays with it (guards against a search for each write)", func() {
		all, c := replicas(3)
		all[0].answers(func() error { return controlclient.NotLeader(all[2].server.Address()) })
		all[2].answers(func() error { return nil })
		for range 5 {
			Expect(pin(c, 2*time.Second)).To(Succeed())
		}
		Expect(all[2].calls.Load()).To(BeEquivalentTo(5))
		Expect(all[0].calls.Load() + all[1].calls.Load()).To(BeNumerically("<=", 2))
	})

	It("finds the next leader when the known one is gone (guards against writes that fail until a restart)", func() {
		all, c := replicas(3)
		all[1].answers(func() error { return nil })
		Expect(pin(c, 2*time.Second)).To(Succeed())
		Expect(all[1].server.Close()).To(Succeed())
		all[2].answers(func() error { return nil })
		Expect(pin(c, 3*time.Second)).To(Succeed())
	})

	It("says unavailable when nobody leads, within the deadline (guards against requests that hang)", func() {
		_, c := replicas(3)
		began := time.Now()
		Expect(control.ErrUnavailable.Has(pin(c, 500*time.Millisecond))).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})

	It("does not repeat what a full table refused (guards against load on a full leader)", func() {
		all, c := replicas(1)
		all[0].answers(func() error { return control.ErrTableFull.New("sessions") })
		Expect(control.ErrTableFull.Has(pin(c, time.Second))).To(BeTrue())
		Expect(all[0].calls.Load()).To(BeEquivalentTo(1))
	})

	It("turns to a leader that it learns of while it waits for a silent one (guards against announcements that fail after a change of leaders)", func() {
		all, _ := replicas(1)
		leader := all[0]
		leader.answers(func() error { return nil })
		leader.leads.Store(true)
		pool := peer.NewPool(secret, time.Second)
		DeferCleanup(pool.Close)
		group := controlclient.Group{Addresses: []string{silent(), leader.server.Address()}}
		c := controlclient.New(pool, group, controlclient.Identity{Instance: "e1", Boot: "1"}, &event.Clock{})
		ended := make(chan error, 1)
		started := time.Now()
		go func() { ended <- pin(c, 3*time.Second) }()
		time.Sleep(50 * time.Millisecond)
		_, err := c.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Eventually(ended).WithTimeout(3 * time.Second).Should(Receive(BeNil()))
		Expect(time.Since(started)).To(BeNumerically("<", 500*time.Millisecond))
	})

	It("does not wait for a silent replica while another one answers (guards against instances that serve a second later than they could after a loss of power)", func() {
		all, _ := replicas(1)
		pool := peer.NewPool(secret, time.Second)
		DeferCleanup(pool.Close)
		group := controlclient.Group{Addresses: []string{silent(), silent(), all[0].server.Address()}}
		c := controlclient.New(pool, group, controlclient.Identity{Instance: "e1", Boot: "1"}, &event.Clock{})
		started := time.Now()
		reply, err := c.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Instance).To(Equal(all[0].server.Address()))
		Expect(time.Since(started)).To(BeNumerically("<", 500*time.Millisecond))
		started = time.Now()
		_, err = c.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically("<", 100*time.Millisecond), "it stays with the one that answered")
	})

	It("syncs with the next replica when one is gone or skipped (guards against a view that ages beside living replicas)", func() {
		all, c := replicas(3)
		first, err := c.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Instance).To(Equal(all[0].server.Address()))
		Expect(all[0].server.Close()).To(Succeed())
		second, err := c.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Instance).To(Equal(all[1].server.Address()))
		c.SkipReplica()
		third, err := c.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(third.Instance).To(Equal(all[2].server.Address()))
	})
})
