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

// GroupMember is a control replica that replies with the addresses of all replicas and of the leader.
type GroupMember struct {
	server   *peer.Server
	replicas []string
	leader   string
	pinCalls atomic.Int64
}

// Sync replies with the replicas and the leader.
func (m *GroupMember) Sync(_ *control.SyncRequest, out *control.SyncReply) error {
	out.Instance, out.Replicas, out.Leader = m.server.Address(), m.replicas, m.leader
	return nil
}

// PinSession rejects the write with the leader's address.
func (m *GroupMember) PinSession(_ *control.PinRequest, _ *control.PinReply) error {
	m.pinCalls.Add(1)
	return controlclient.NotLeaderError(m.leader)
}

var _ = Describe("discovery of replicas", func() {
	start := func() *GroupMember {
		s, err := peer.Listen("127.0.0.1:0", secret, slog.New(slog.DiscardHandler))
		Expect(err).NotTo(HaveOccurred())
		m := &GroupMember{server: s}
		Expect(s.Register("Control", m)).To(Succeed())
		go func() { _ = s.Serve() }()
		DeferCleanup(s.Close)
		return m
	}

	// Guards against an entry instance that has no control replica when its seeds are down although others are up.
	It("calls the replicas in the seed's reply after the seed has stopped", func() {
		seed, other := start(), start()
		seed.replicas = []string{seed.server.Address(), other.server.Address()}
		other.replicas = seed.replicas
		pool := peer.NewPool(secret, time.Second)
		DeferCleanup(pool.Close)
		client := controlclient.New(pool, controlclient.Group{Addresses: []string{seed.server.Address()}, DiscoverReplicas: true}, controlclient.Identity{Instance: "e1"}, &event.Clock{})
		reply, err := client.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Instance).To(Equal(seed.server.Address()))
		Expect(seed.server.Close()).To(Succeed())
		reply, err = client.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Instance).To(Equal(other.server.Address()))
		Expect(client.Replicas()).To(ConsistOf(seed.replicas))
	})

	// Guards against calls that bypass the forwarders configured for the replicas.
	It("calls only the configured addresses when they are complete", func() {
		first, other := start(), start()
		first.replicas = []string{first.server.Address(), other.server.Address()}
		pool := peer.NewPool(secret, time.Second)
		DeferCleanup(pool.Close)
		group := controlclient.Group{Addresses: []string{first.server.Address()}}
		client := controlclient.New(pool, group, controlclient.Identity{Instance: "e1"}, &event.Clock{})
		_, err := client.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Replicas()).To(Equal(group.Addresses))
	})

	// Guards against writes that bypass the configured forwarder of a leader.
	It("does not write to a leader at an address that is not configured", func() {
		named, leader := start(), start()
		named.leader = leader.server.Address()
		pool := peer.NewPool(secret, time.Second)
		DeferCleanup(pool.Close)
		client := controlclient.New(pool, controlclient.Group{Addresses: []string{named.server.Address()}}, controlclient.Identity{Instance: "e1"}, &event.Clock{})
		_, err := client.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(control.ErrUnavailable.Has(pinSession(client, 500*time.Millisecond))).To(BeTrue())
		Expect(named.pinCalls.Load()).To(BeNumerically(">", 1))
		Expect(leader.pinCalls.Load()).To(BeZero())
	})

	It("adds new seeds to the known replicas", func() {
		client := controlclient.New(peer.NewPool(secret, time.Second), controlclient.Group{Addresses: []string{"127.0.0.1:1"}, DiscoverReplicas: true},
			controlclient.Identity{}, &event.Clock{})
		client.SetSeeds([]string{"127.0.0.1:2"})
		Expect(client.Replicas()).To(ConsistOf("127.0.0.1:1", "127.0.0.1:2"))
	})
})
