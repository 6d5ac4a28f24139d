package controlclient_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/controlclient"
	"clementinetray/server/peer"
)

// Member is a control replica that names all replicas and the leader.
type Member struct {
	server *peer.Server
	group  []string
	leader string
	pins   atomic.Int64
}

// Sync names the group.
func (m *Member) Sync(_ *control.SyncRequest, out *control.SyncReply) error {
	out.Instance, out.Replicas, out.Leader = m.server.Address(), m.group, m.leader
	return nil
}

// PinSession names the leader.
func (m *Member) PinSession(_ *control.PinRequest, _ *control.PinReply) error {
	m.pins.Add(1)
	return controlclient.NotLeader(m.leader)
}

var _ = Describe("a client that knows one seed", func() {
	start := func() *Member {
		s, err := peer.Listen("127.0.0.1:0", secret, slog.New(slog.DiscardHandler))
		Expect(err).NotTo(HaveOccurred())
		m := &Member{server: s}
		Expect(s.Register("Control", m)).To(Succeed())
		go func() { _ = s.Serve() }()
		DeferCleanup(s.Close)
		return m
	}

	// Guards against an entry instance that is cut off from control when its seeds are gone while other replicas live.
	It("goes on with the replicas that the seed named", func() {
		seed, other := start(), start()
		seed.group = []string{seed.server.Address(), other.server.Address()}
		other.group = seed.group
		pool := peer.NewPool(secret, time.Second)
		DeferCleanup(pool.Close)
		client := controlclient.New(pool, controlclient.Group{Addresses: []string{seed.server.Address()}, Seeds: true}, controlclient.Identity{Instance: "e1"}, &event.Clock{})
		reply, err := client.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Instance).To(Equal(seed.server.Address()))
		Expect(seed.server.Close()).To(Succeed())
		reply, err = client.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Instance).To(Equal(other.server.Address()))
		Expect(client.Replicas()).To(ConsistOf(seed.group))
	})

	// Guards against a way around the forwarders that the settings name for each replica.
	It("keeps to the addresses of the settings when they name all replicas", func() {
		first, other := start(), start()
		first.group = []string{first.server.Address(), other.server.Address()}
		pool := peer.NewPool(secret, time.Second)
		DeferCleanup(pool.Close)
		group := controlclient.Group{Addresses: []string{first.server.Address()}}
		client := controlclient.New(pool, group, controlclient.Identity{Instance: "e1"}, &event.Clock{})
		_, err := client.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Replicas()).To(Equal(group.Addresses))
	})

	// Guards against writes that reach a leader on a way that the settings do not name, past the network between them.
	It("writes to no leader that the settings do not name", func() {
		named, leader := start(), start()
		named.leader = leader.server.Address()
		pool := peer.NewPool(secret, time.Second)
		DeferCleanup(pool.Close)
		client := controlclient.New(pool, controlclient.Group{Addresses: []string{named.server.Address()}}, controlclient.Identity{Instance: "e1"}, &event.Clock{})
		_, err := client.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(control.ErrUnavailable.Has(pin(client, 500*time.Millisecond))).To(BeTrue())
		Expect(named.pins.Load()).To(BeNumerically(">", 1))
		Expect(leader.pins.Load()).To(BeZero())
	})

	It("takes new seeds beside the replicas that it knows", func() {
		client := controlclient.New(peer.NewPool(secret, time.Second), controlclient.Group{Addresses: []string{"127.0.0.1:1"}, Seeds: true},
			controlclient.Identity{}, &event.Clock{})
		client.SetSeeds([]string{"127.0.0.1:2"})
		Expect(client.Replicas()).To(ConsistOf("127.0.0.1:1", "127.0.0.1:2"))
	})
})
