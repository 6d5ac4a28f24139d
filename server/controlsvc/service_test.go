package controlsvc

import (
	"context"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/server/controlclient"
	"clementinetray/server/controlstate"
	"clementinetray/server/fleet"
	"clementinetray/server/peer"
	"clementinetray/server/replica"
)

func (f proposerFunc) ProposeCommand(_ context.Context, c *controlstate.Command) (any, error) {
	return f(c)
}

// fakeController is a LeaderController that reports its runs and returns the errors sent to fail.
type fakeController struct {
	started, ended chan uint64
	fail           chan error
}

func newFakeController() *fakeController {
	return &fakeController{started: make(chan uint64, 9), ended: make(chan uint64, 9), fail: make(chan error, 1)}
}

func (c *fakeController) Run(ctx context.Context, term uint64) error {
	c.started <- term
	select {
	case <-ctx.Done():
	case err := <-c.fail:
		return err
	}
	c.ended <- term
	return nil
}

func (b *testService) setLeadership(term uint64, leader bool) {
	b.log.update(func() {
		b.log.leadership.Term, b.log.leadership.Leader = term, leader
	})
}

var _ = Describe("leadership", func() {
	It("resets the soft state and runs the controllers for each term, and stops them when it ends", func() {
		c := newFakeController()
		b := newTestService(false, func(cfg *Config) { cfg.LeaderControllers = []LeaderController{c} }).run()
		b.table.put(control.BackendServer{Announcement: control.Announcement{ID: "old"}})
		b.setLeadership(2, true)
		Eventually(c.started).Should(Receive(Equal(uint64(2))))
		Expect(b.allocator.resets).To(Equal(1))
		Expect(b.table.epoch).To(Equal(fleet.Epoch(2)))
		Expect(b.table.servers).To(BeEmpty())
		b.setLeadership(3, true)
		Eventually(c.ended).Should(Receive(Equal(uint64(2))))
		Eventually(c.started).Should(Receive(Equal(uint64(3))))
		b.setLeadership(4, false)
		Eventually(c.ended).Should(Receive(Equal(uint64(3))))
		Eventually(b.readyTerm.Load).Should(BeZero())
		Expect(b.recorder.kinds()).To(ContainElements(BeEquivalentTo("leadership_gained"), BeEquivalentTo("leadership_ended")))
	})
	It("restarts a controller that has failed", func() {
		c := newFakeController()
		newTestService(true, func(cfg *Config) { cfg.LeaderControllers = []LeaderController{c} }).run()
		Eventually(c.started).Should(Receive())
		c.fail <- Error.New("broken")
		Eventually(c.started, 3*time.Second).Should(Receive(), "the controller must run again in the same term")
	})
	It("starts no controller before the committed state is applied", func() {
		c := newFakeController()
		b := newTestService(false, func(cfg *Config) { cfg.LeaderControllers = []LeaderController{c} })
		b.log.readError = replica.ErrNotLeader.New("")
		b.run()
		b.setLeadership(2, true)
		Consistently(c.started, 300*time.Millisecond).ShouldNot(Receive())
		b.log.mu.Lock()
		b.log.readError = nil
		b.log.mu.Unlock()
		Eventually(c.started).Should(Receive(Equal(uint64(2))))
	})
	It("answers with the rows of the previous leader until they expire or backend servers announce themselves again", func() {
		table := fleet.NewTable()
		b := newTestService(false, func(c *Config) { c.FleetTable = table }).run()
		row := control.BackendServer{Announcement: control.Announcement{ID: "s1", Boot: "b1"}, Phase: control.PhaseInService}
		table.LoadDelta(b.clock.Now(), control.FleetDelta{Epoch: fleet.Epoch(1), Version: 7, Full: true, Changed: []control.BackendServer{row}})
		b.setLeadership(2, true)
		Eventually(b.readyTerm.Load).Should(Equal(uint64(2)))
		out := &control.SyncReply{}
		Expect(b.Sync(&control.SyncRequest{FleetEpoch: fleet.Epoch(1), FleetVersion: 7}, out)).To(Succeed())
		Expect(out.Fleet.Epoch).To(Equal(fleet.Epoch(2)))
		Expect(out.Fleet.Full).To(BeTrue())
		Expect(out.Fleet.Changed).To(HaveLen(1), "with an empty table, requests would be refused for 2 s, until the next announcements")
		b.clock.advance(fleet.AnnouncementTTL)
		Expect(b.Sync(&control.SyncRequest{}, out)).To(Succeed())
		Expect(out.Fleet.Changed).To(BeEmpty(), "the row of a server that failed together with the old leader must expire")
	})
})

var _ = Describe("Sync", func() {
	It("sends sections only when they changed since the caller's revision", func() {
		b := newTestService(true).run()
		first := &control.SyncReply{}
		Expect(b.Sync(&control.SyncRequest{}, first)).To(Succeed())
		Expect(first.View.Catalogue).NotTo(BeNil())
		Expect(first.Leader).To(Equal("self:1"))
		again := &control.SyncReply{}
		Expect(b.Sync(&control.SyncRequest{Revision: first.Revision}, again)).To(Succeed())
		Expect(again.View).To(BeNil())
		Expect(leaderMethods["ReportCrash"](b.Service)).To(Succeed())
		changed := &control.SyncReply{}
		Expect(b.Sync(&control.SyncRequest{Revision: first.Revision}, changed)).To(Succeed())
		Expect(changed.View.Quarantine.Crashes).To(HaveKeyWithValue("f", 1))
		Expect(changed.View.Catalogue).To(BeNil())
		Expect(changed.Revision).To(BeNumerically(">", first.Revision))
	})
	It("adds the duration of the call to the age and reports a very large age without a leader", func() {
		b := newTestService(false)
		b.log.age = 700 * time.Millisecond
		out := &control.SyncReply{}
		Expect(b.Sync(&control.SyncRequest{}, out)).To(Succeed())
		Expect(out.FreshAge).To(Equal(700 * time.Millisecond))
		Expect(out.Leader).To(Equal("leader:1"))
		b.log.known = false
		Expect(b.Sync(&control.SyncRequest{}, out)).To(Succeed())
		Expect(out.FreshAge).To(BeNumerically(">", 100*365*24*time.Hour))
		Expect(out.FreshAge+24*time.Hour).To(BeNumerically(">", 0), "an entry instance adds durations to it, which must not overflow")
	})
	It("returns no view from a lagging replica to a client with a newer revision", func() {
		out := &control.SyncReply{}
		Expect(newTestService(false).Sync(&control.SyncRequest{Revision: 99}, out)).To(Succeed())
		Expect(out.View).To(BeNil())
		Expect(out.Revision).To(Equal(uint64(1)))
	})
})

var _ = Describe("two replicas over net/rpc", func() {
	It("copies the fleet table to the follower and routes clients and operators to the leader", func() {
		secret := []byte("secret")
		server, err := peer.Listen("127.0.0.1:0", secret, slog.New(slog.DiscardHandler))
		Expect(err).NotTo(HaveOccurred())
		followerServer, err := peer.Listen("127.0.0.1:0", secret, slog.New(slog.DiscardHandler))
		Expect(err).NotTo(HaveOccurred())
		pool := peer.NewPool(secret, time.Second)
		leader := newTestService(true, func(c *Config) { c.PeerAddress = server.Address() })
		follower := newTestService(false, func(c *Config) { c.Peers = pool; c.PeerAddress = followerServer.Address() })
		follower.log.leadership.LeaderAddress = server.Address()
		for s, receiver := range map[*peer.Server]*Service{server: leader.Service, followerServer: follower.Service} {
			Expect(s.Register("Control", receiver)).To(Succeed())
			go func() { _ = s.Serve() }()
		}
		DeferCleanup(func() {
			pool.Close()
			_ = server.Close()
			_ = followerServer.Close()
		})
		leader.run()
		follower.run()
		leader.table.put(control.BackendServer{Announcement: control.Announcement{ID: "s1"}})
		Eventually(func() int { return len(follower.table.Snapshot(time.Now()).Servers) }, 2*time.Second).Should(Equal(1))

		client := controlclient.New(pool, controlclient.Group{Addresses: []string{followerServer.Address(), server.Address()}},
			controlclient.Identity{Instance: "e1", Boot: "b1"}, leader.Clock)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		began, err := client.BeginCall(ctx, &control.BeginCallRequest{Workspace: "w", Key: "k", BodyHash: "h", Request: "r"})
		Expect(err).NotTo(HaveOccurred())
		Expect(began.State).To(Equal(control.CallNew))
		Expect(follower.log.proposals()).To(BeEmpty())
		_, err = client.BeginCall(ctx, &control.BeginCallRequest{Workspace: "w", Request: "r"})
		Expect(control.ErrInvalid.Has(err)).To(BeTrue(), "an invalid message must not be retried until the deadline")
		Expect(ctx.Err()).NotTo(HaveOccurred())

		handler := follower.OperatorHandler([]string{tokenHash})
		answer := sendRequest(handler, "POST", "/v1/zones/muc-1", `{"base_revision":0,"request_id":"a","by":"anna","out":true,"force":true}`)
		Expect(answer.Code).To(Equal(200), answer.Body.String())
		Expect(leader.State.View().Orders.ZonesOut).To(HaveKey("muc-1"))
	})
})
