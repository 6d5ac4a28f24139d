package fleet_test

import (
	"context"
	"log/slog"
	"math"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"clementinetray/api/control"
	"clementinetray/server/controlstate"
	"clementinetray/server/fleet"
)

// announcementWithStart returns the announcement of a backend server that announces its start, cold time and sequence.
func announcementWithStart(id string, started, sequence int64, change ...func(*control.Announcement)) control.Announcement {
	a := control.Announcement{
		ID: id, Boot: time.UnixMilli(started).UTC().Format(time.RFC3339Nano), Address: "127.0.0.1:80", AvailabilityZone: "a",
		Service: "pool", SoftwareVersion: "v1", Capacity: 8, Started: started, Sequence: sequence, StatesCold: true,
	}
	for _, f := range change {
		f(&a)
	}
	return a
}

func setLeaving(a *control.Announcement) { a.Leaving = true }

var _ = Describe("backend servers that announce their start", func() {
	var table *fleet.Table
	now := start
	row := func(id string) *control.BackendServer { return table.Snapshot(now).Servers[id] }
	BeforeEach(func() {
		table = fleet.NewTable()
		table.Reset(now, fleet.Epoch(1))
	})

	It("are in service at once and announce how long they are cold", func() {
		Expect(table.Announce(now, announcementWithStart("s", 1, 1, func(a *control.Announcement) { a.ColdMillis = 3000 }))).To(Succeed())
		Expect(row("s").Phase).To(Equal(control.PhaseInService))
		Expect(row("s").ColdMillis).To(Equal(int64(3000)))
	})

	// Guards against requests from instances that have not heard yet that a backend server leaves, and against one that is left
	// out for good although it goes on.
	It("leave once they say so in an answer, until a later announcement or boot says otherwise", func() {
		Expect(table.Announce(now, announcementWithStart("s", 1, 1))).To(Succeed())
		boot := row("s").Boot
		table.MarkSaysLeaving(now, "s", "another boot")
		table.MarkSaysLeaving(now, "unknown", boot)
		Expect(row("s").Leaving).To(BeFalse())
		table.MarkSaysLeaving(now, "s", boot)
		Expect(row("s").Leaving).To(BeTrue())
		Expect(row("s").Phase).To(Equal(control.PhaseLeaving))
		Expect(table.Announce(now.Add(time.Second), announcementWithStart("s", 1, 2))).To(Succeed())
		Expect(row("s").Leaving).To(BeTrue(), "the announcement may be older than the answer")
		Expect(table.Announce(now.Add(3*time.Second), announcementWithStart("s", 1, 3))).To(Succeed())
		Expect(row("s").Leaving).To(BeFalse())
		table.MarkSaysLeaving(now.Add(3*time.Second), "s", boot)
		Expect(table.Announce(now.Add(3*time.Second), announcementWithStart("s", 2, 1))).To(Succeed())
		Expect(row("s").Leaving).To(BeFalse(), "a new boot starts without it")
	})

	// Guards against an announcement without a start, by another program, that replaces a known start: the running attempts on the
	// server would be cancelled, and its own announcements ignored, also the one that it drains.
	It("keep their known start when an announcement states none", func() {
		Expect(table.Announce(now, announcementWithStart("s", 5, 1))).To(Succeed())
		Expect(fleet.ErrStaleBoot.Has(table.Announce(now, announcementWithStart("s", 0, 2)))).To(BeTrue())
		Expect(row("s").Started).To(Equal(int64(5)))
		Expect(table.Announce(now, announcementWithStart("s", 5, 2, setLeaving))).To(Succeed())
		Expect(row("s").Leaving).To(BeTrue())
	})

	It("are served if they never state their start (guards against the refusal of sound servers)", func() {
		Expect(table.Announce(now, announcementWithStart("s", 0, 1))).To(Succeed())
		Expect(table.Announce(now, announcementWithStart("s", 0, 2))).To(Succeed())
		Expect(row("s").Sequence).To(Equal(int64(2)))
	})

	// Each case guards against one odd announcement, by another program, that takes the backend server at its address or with its
	// id out of service, or makes its times overflow.
	DescribeTable("odd announcements are refused, and the backend server stays in service",
		func(id string, change func(*control.Announcement)) {
			Expect(table.Announce(now, announcementWithStart("s", 1, 1))).To(Succeed())
			Expect(fleet.ErrInvalidAnnouncement.Has(table.Announce(now, announcementWithStart(id, 1, 2, change)))).To(BeTrue())
			Expect(table.Announce(now, announcementWithStart("s", 1, 3))).To(Succeed())
			Expect(row("s")).NotTo(BeNil())
			Expect(row("s").Sequence).To(Equal(int64(3)))
			Expect(row("other")).To(BeNil())
		},
		Entry("a start in the far future under its id", "s", func(a *control.Announcement) { a.Started = math.MaxInt64 }),
		Entry("a start in the far future at its address", "other", func(a *control.Announcement) { a.Started = now.Add(24 * time.Hour).UnixMilli() }),
		Entry("a cold time that overflows", "other", func(a *control.Announcement) { a.ColdMillis = math.MaxInt64 }),
		Entry("a cold time of days", "s", func(a *control.Announcement) { a.ColdMillis = (48 * time.Hour).Milliseconds() }),
		Entry("a capacity that overflows", "s", func(a *control.Announcement) { a.Capacity = math.MaxInt }),
		Entry("a load that overflows", "s", func(a *control.Announcement) { a.Running, a.Queued = math.MaxInt, math.MaxInt }),
		Entry("a negative start", "s", func(a *control.Announcement) { a.Started = -1 }),
		Entry("a version of many bytes", "s", func(a *control.Announcement) { a.SoftwareVersion = strings.Repeat("v", 1000) }),
	)

	// Each case guards against requests to a backend server that left or that another one has replaced.
	DescribeTable("late announcements are ignored",
		func(late control.Announcement, earlier ...control.Announcement) {
			for _, a := range earlier {
				Expect(table.Announce(now, a)).To(Succeed())
			}
			before := *row(earlier[len(earlier)-1].ID)
			Expect(fleet.ErrStaleBoot.Has(table.Announce(now, late))).To(BeTrue())
			Expect(*row(before.ID)).To(Equal(before))
		},
		Entry("a lower sequence of the same start", announcementWithStart("s", 1, 4), announcementWithStart("s", 1, 3), announcementWithStart("s", 1, 5, setLeaving)),
		Entry("the same sequence again", announcementWithStart("s", 1, 5), announcementWithStart("s", 1, 5, setLeaving)),
		Entry("an earlier start under the same id", announcementWithStart("s", 1, 9), announcementWithStart("s", 2, 1)),
		Entry("an earlier start at the same address", announcementWithStart("old", 1, 9), announcementWithStart("new", 2, 1)),
	)

	It("replace those that started before them at the same address", func() {
		Expect(table.Announce(now, announcementWithStart("old", 1, 9))).To(Succeed())
		Expect(table.Announce(now, announcementWithStart("new", 2, 1))).To(Succeed())
		Expect(row("old")).To(BeNil())
		Expect(row("new")).NotTo(BeNil())
	})

	// Guards against new requests to a backend server that deregistered before it announced that it leaves.
	It("stay leaving once they have deregistered, until they start again", func() {
		Expect(table.Announce(now, announcementWithStart("s", 1, 1))).To(Succeed())
		table.MarkLeaving(now, control.Leave{ID: "s", Started: 1})
		Expect(table.Announce(now, announcementWithStart("s", 1, 2))).To(Succeed())
		Expect(row("s").Leaving).To(BeTrue())
		Expect(row("s").Phase).To(Equal(control.PhaseLeaving))
		Expect(table.Announce(now, announcementWithStart("s", 2, 1))).To(Succeed())
		Expect(row("s").Phase).To(Equal(control.PhaseInService))
	})

	// Guards against new requests to a backend server whose announcement was delayed until after its deregistration.
	It("stay leaving when they deregistered before their first announcement arrived", func() {
		table.MarkLeaving(now, control.Leave{ID: "s", Started: 1})
		Expect(table.Announce(now, announcementWithStart("s", 1, 1))).To(Succeed())
		Expect(row("s").Leaving).To(BeTrue())
		Expect(table.Announce(now, announcementWithStart("s", 2, 1))).To(Succeed())
		Expect(row("s").Leaving).To(BeFalse())
	})

	// Guards against orders to a backend server that left, because an announcement that it sent before its departure arrives after its row
	// has expired.
	DescribeTable("do not return by announcements that arrive after their row has expired", func(leave func()) {
		Expect(table.Announce(now, announcementWithStart("s", 1, 5))).To(Succeed())
		leave()
		later := now.Add(fleet.AnnouncementTTL + time.Second)
		Expect(table.Snapshot(later).Servers).To(BeEmpty())
		Expect(fleet.ErrStaleBoot.Has(table.Announce(later, announcementWithStart("s", 1, 4)))).To(BeTrue())
		Expect(fleet.ErrStaleBoot.Has(table.Announce(later, announcementWithStart("s", 0, 4)))).To(BeFalse(), "a start that is not known")
	},
		Entry("after a deregistration", func() { table.MarkLeaving(now, control.Leave{ID: "s", Started: 1}) }),
		Entry("after they announced that they leave", func() {
			Expect(table.Announce(now, announcementWithStart("s", 1, 6, setLeaving))).To(Succeed())
		}),
		Entry("after they ended without a signal", func() {}),
	)

	// Guards against a backend server that is kept out of service although it goes on: its announcements were held up, or it reported that
	// it leaves and then that it is ready.
	It("return after their row has expired by announcements that they sent afterwards", func() {
		Expect(table.Announce(now, announcementWithStart("s", 1, 5, setLeaving))).To(Succeed())
		now := now.Add(fleet.AnnouncementTTL + time.Second)
		Expect(table.Announce(now, announcementWithStart("s", 1, 6))).To(Succeed())
		Expect(table.Snapshot(now).Servers["s"].Phase).To(Equal(control.PhaseInService))
		now = now.Add(fleet.AnnouncementTTL + time.Second)
		Expect(table.Announce(now, announcementWithStart("s", 2, 1))).To(Succeed())
		Expect(table.Snapshot(now).Servers["s"].Phase).To(Equal(control.PhaseInService))
	})

	// Guards against a sound backend server that another program keeps out of service.
	It("stay in service after a deregistration of a start in the far future", func() {
		table.MarkLeaving(now, control.Leave{ID: "s", Started: now.Add(24 * time.Hour).UnixMilli()})
		Expect(table.Announce(now, announcementWithStart("s", 1, 1))).To(Succeed())
		Expect(row("s").Phase).To(Equal(control.PhaseInService))
	})

	It("ignore a deregistration of an earlier start", func() {
		Expect(table.Announce(now, announcementWithStart("s", 2, 1))).To(Succeed())
		table.MarkLeaving(now, control.Leave{ID: "s", Started: 1})
		Expect(row("s").Leaving).To(BeFalse())
	})

	// Guards against control traffic to each entry instance for each announcement of each backend server, although nothing
	// changed.
	It("appear in a delta when their announcement changes, not for each announcement", func() {
		Expect(table.Announce(now, announcementWithStart("s", 1, 1))).To(Succeed())
		version := table.Delta(now, fleet.Epoch(1), 0).Version
		for i := range 8 {
			now = now.Add(time.Second)
			Expect(table.Announce(now, announcementWithStart("s", 1, int64(2+i)))).To(Succeed())
			d := table.Delta(now, fleet.Epoch(1), version)
			Expect(d.Changed).To(BeEmpty())
			Expect(d.Loads).To(BeEmpty())
			version = d.Version
		}
		Expect(table.Announce(now, announcementWithStart("s", 1, 20, setLeaving))).To(Succeed())
		Expect(table.Delta(now, fleet.Epoch(1), version).Changed).To(HaveLen(1))
	})

	// Guards against requests to a backend server that crashed, because entry instances don't see its missing announcements.
	It("are marked silent while their announcements are missing", func() {
		Expect(table.Announce(now, announcementWithStart("s", 1, 1))).To(Succeed())
		version := table.Delta(now, fleet.Epoch(1), 0).Version
		now = now.Add(fleet.SilentAfter)
		d := table.Delta(now, fleet.Epoch(1), version)
		Expect(d.Changed).To(HaveLen(1))
		Expect(d.Changed[0].Silent).To(BeTrue())
		Expect(table.Announce(now, announcementWithStart("s", 1, 2))).To(Succeed())
		d = table.Delta(now, fleet.Epoch(1), d.Version)
		Expect(d.Changed).To(HaveLen(1))
		Expect(d.Changed[0].Silent).To(BeFalse())
	})

	// Guards against a sound backend server that is marked silent or removed because its announcements, one a second, paused for
	// 1.5 s.
	DescribeTable("are neither marked silent nor removed while announcements pause for a moment", func(statesCold bool) {
		const step, interval, pause = 100 * time.Millisecond, time.Second, 1500 * time.Millisecond
		sequence := int64(0)
		announce := func() {
			sequence++
			Expect(table.Announce(now, announcementWithStart("s", 1, sequence, func(a *control.Announcement) { a.StatesCold = statesCold }))).To(Succeed())
		}
		for range 3 {
			announce()
			for waited := time.Duration(0); waited < interval+pause; waited += step {
				now = now.Add(step)
				row := table.Snapshot(now).Servers["s"]
				Expect(row).NotTo(BeNil())
				Expect(row.Silent).To(BeFalse())
				Expect(row.LoadAge).To(BeNumerically("<", fleet.SilentAfter))
			}
		}
	}, Entry("with cold times", true), Entry("without cold times", false))

	// Guards against a leader change that marks the whole fleet silent or removes it.
	It("are neither marked silent nor removed at a leader change, even if their announcement last changed long ago", func() {
		Expect(table.Announce(now, announcementWithStart("s", 1, 1))).To(Succeed())
		copied := fleet.NewTable()
		copied.LoadDelta(now, table.Delta(now, "", 0))
		seen := fleet.ApplyDelta(nil, table.Delta(now, "", 0), now)
		now = now.Add(time.Hour)
		seen = fleet.ApplyDelta(seen, control.FleetDelta{Epoch: fleet.Epoch(1), Version: seen.Version}, now)
		copied.Reset(now, fleet.Epoch(2))
		Expect(copied.Snapshot(now.Add(fleet.SilentAfter / 2)).Servers["s"].Silent).To(BeFalse())
		Expect(copied.Snapshot(now.Add(fleet.SilentAfter)).Servers["s"].Silent).To(BeTrue())

		empty := control.FleetDelta{Epoch: fleet.Epoch(2), Version: 1, Full: true}
		seen = fleet.ApplyDelta(seen, empty, now)
		Expect(seen.Servers).To(HaveKey("s"))
		seen = fleet.ApplyDelta(seen, control.FleetDelta{Epoch: fleet.Epoch(2), Version: 2}, now.Add(fleet.AnnouncementTTL-time.Millisecond))
		Expect(seen.Servers).To(HaveKey("s"))
		seen = fleet.ApplyDelta(seen, control.FleetDelta{Epoch: fleet.Epoch(2), Version: 3}, now.Add(fleet.AnnouncementTTL))
		Expect(seen.Servers).To(BeEmpty())
	})
})

// fakeReplica applies commands directly to a state, without a replicated log.
type fakeReplica struct{ state *controlstate.State }

func (r *fakeReplica) Servers() []controlstate.RecordedServer { return r.state.Servers() }

func (r *fakeReplica) Server(id string) (controlstate.RecordedServer, bool) {
	return r.state.Server(id)
}

func (r *fakeReplica) ProposeCommand(_ context.Context, c *controlstate.Command) (any, error) {
	data, err := c.Encode()
	if err != nil {
		return nil, err
	}
	return r.state.Apply(1, data), nil
}

var _ = Describe("the recorder of the fleet", func() {
	// Guards against a new control leader without backend servers until each has announced itself again.
	It("restores the recorded backend servers at a leader that starts with an empty table", func() {
		state := &fakeReplica{controlstate.New()}
		log := slog.New(slog.DiscardHandler)
		first := fleet.NewTable()
		first.Reset(time.Now(), fleet.Epoch(1))
		Expect(first.Announce(time.Now(), announcementWithStart("s", 1, 7, setLeaving))).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = fleet.NewRecorder(first, state, state, log).Run(ctx, 1)
		}()
		Eventually(state.Servers, 3*time.Second).Should(HaveLen(1))
		cancel()
		<-done

		second := fleet.NewTable()
		second.Reset(time.Now(), fleet.Epoch(2))
		Expect(second.AddRecordedServers(time.Now(), state.Servers())).To(Equal(1))
		got := second.Snapshot(time.Now()).Servers["s"]
		Expect(got.Leaving).To(BeTrue())
		Expect(got.Address).To(Equal("127.0.0.1:80"))
	})

	// Guards against a backend server that receives no requests without a log line that shows why.
	It("logs which backend servers became silent and announced themselves again", func() {
		lines := gbytes.NewBuffer()
		table, state := fleet.NewTable(), &fakeReplica{controlstate.New()}
		begin := time.Now().Add(-fleet.SilentAfter)
		table.Reset(begin, fleet.Epoch(1))
		Expect(table.Announce(begin, announcementWithStart("s", 1, 7))).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = fleet.NewRecorder(table, state, state, slog.New(slog.NewTextHandler(lines, nil))).Run(ctx, 1)
		}()
		Eventually(lines, 3*time.Second).Should(gbytes.Say("msg=server_silence backend_server=s silent=true .*sequence=7"))
		Expect(table.Announce(time.Now(), announcementWithStart("s", 1, 8))).To(Succeed())
		Eventually(lines, 3*time.Second).Should(gbytes.Say("msg=server_silence backend_server=s silent=false .*sequence=8"))
		cancel()
		<-done
	})
})
