package controlclient_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/controlclient"
	"clementinetray/server/peer"
)

// Member is a control replica that names all replicas.
type Member struct {
	server *peer.Server
	group  []string
}

// Sync names the group.
func (m *Member) Sync(_ *control.SyncRequest, out *control.SyncReply) error {
	out.Instance, out.Replicas = m.server.Address(), m.group
	return nil
}

var _ = Describe("a client that knows one seed", func() {
	start := func() *Member {
		s, err := peer.Listen("127.0.0.1:0", secret)
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
		client := controlclient.New(pool, []string{seed.server.Address()}, controlclient.Identity{Instance: "e1"}, &event.Clock{})
		reply, err := client.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Instance).To(Equal(seed.server.Address()))
		Expect(seed.server.Close()).To(Succeed())
		reply, err = client.Sync(context.Background(), &control.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Instance).To(Equal(other.server.Address()))
		Expect(client.Replicas()).To(ConsistOf(seed.group))
	})

	It("takes new seeds beside the replicas that it knows", func() {
		client := controlclient.New(peer.NewPool(secret, time.Second), []string{"127.0.0.1:1"}, controlclient.Identity{}, &event.Clock{})
		client.SetSeeds([]string{"127.0.0.1:2"})
		Expect(client.Replicas()).To(ConsistOf("127.0.0.1:1", "127.0.0.1:2"))
	})
})
