package lifecycle_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/controlstate"
	"clementinetray/server/controlsvc"
	"clementinetray/server/fleet"
	"clementinetray/server/lifecycle"
)

var (
	_ controlsvc.LeaderController = (*lifecycle.Controller)(nil)
	_ controlsvc.OutcomeSink      = (*lifecycle.Controller)(nil)
)

func TestLifecycle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lifecycle")
}

// fakeControlGroup simulates the control group: it keeps the recorded phases across leader changes.
type fakeControlGroup struct {
	mu       sync.Mutex // guards the fields below
	view     *control.View
	recorded map[string]controlstate.SetPhase
	commits  int
	down     bool
}

func (g *fakeControlGroup) View() *control.View { return g.view }

func (g *fakeControlGroup) Phase(id string) (string, control.Phase, int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.recorded[id]
	return r.Boot, r.Phase, r.Limit, ok
}

func (g *fakeControlGroup) RecordedServers() []string {
	var out []string
	for id, r := range g.recorded {
		if r.Phase != control.PhaseGone {
			out = append(out, id)
		}
	}
	return out
}

func (g *fakeControlGroup) ProposeCommand(_ context.Context, c *controlstate.Command) (any, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down {
		return nil, errors.New("no majority")
	}
	g.commits++
	g.recorded[c.SetPhase.BackendServer] = *c.SetPhase
	return nil, nil
}

type harness struct {
	*fakeControlGroup
	table   *fleet.Table
	control *lifecycle.Controller
	events  []event.Event
	now     time.Time
	term    uint64
	// announcements holds the announcements by server; each is repeated every 2 s.
	announcements map[string]control.Announcement
	// completing holds the servers that complete two requests in each step.
	completing map[string]bool
}

func (s *harness) Record(e event.Event) { s.events = append(s.events, e) }

func newHarness() *harness {
	s := &harness{
		fakeControlGroup: &fakeControlGroup{recorded: map[string]controlstate.SetPhase{}, view: &control.View{Orders: &control.Orders{
			ZonesOut: map[string]control.Order{}, ServersOut: map[string]control.Order{},
		}}},
		now: time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC), announcements: map[string]control.Announcement{}, completing: map[string]bool{},
	}
	s.table = fleet.NewTable()
	s.changeLeader()
	return s
}

// changeLeader starts a new leader with an empty controller.
func (s *harness) changeLeader() {
	s.term++
	s.table.Reset(s.now, fleet.Epoch(s.term))
	s.control = lifecycle.New(s.table, s, s, s, slog.New(slog.DiscardHandler))
	s.control.Reset(s.now)
}

func (s *harness) startServer(id, boot, zone string) {
	s.announcements[id] = control.Announcement{
		ID: id, Boot: boot, Address: "127.0.0.1:80", AvailabilityZone: zone, Capacity: 8,
		Versions: []catalogue.VersionRef{{Model: "claims", Version: "v1"}},
	}
}

// advance moves the time forward by d in steps of 250 ms, with one tick in each.
func (s *harness) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(250 * time.Millisecond)
		if s.now.UnixMilli()%2000 == 0 {
			for _, a := range s.announcements {
				Expect(s.table.Announce(s.now, a)).To(Succeed())
			}
		}
		for id := range s.completing {
			s.reportOutcome(id, 2, 0, 20)
		}
		s.control.Tick(context.Background(), s.now)
	}
}

func (s *harness) reportOutcome(id string, requests, failures int, millis int64) {
	s.control.AddOutcomes(s.now, "e1", []control.Outcome{{
		VersionRef: catalogue.VersionRef{Model: "claims", Version: "v1"}, BackendServer: id, Boot: s.announcements[id].Boot,
		Requests: requests, Failures: failures, FirstTokenMillis: millis * int64(requests),
	}})
}

func (s *harness) reportSuspect(instance, id, reason string) {
	s.control.AddSuspects(s.now, instance, []control.SuspectReport{{BackendServer: id, Boot: s.announcements[id].Boot, Reason: reason}})
}

func (s *harness) phase(id string) control.Phase {
	row := s.table.Snapshot(s.now).Servers[id]
	if row == nil {
		return control.PhaseGone
	}
	return row.Phase
}

func (s *harness) limit(id string) int { return s.table.Snapshot(s.now).Servers[id].Limit }

func (s *harness) phaseHistory(id string) []string {
	var out []string
	for _, e := range s.events {
		if e.BackendServer == id && e.Kind == lifecycle.EventPhase {
			Expect(e.Reason).NotTo(BeEmpty())
			out = append(out, e.Detail["to"]+"/"+e.Detail["limit"])
		}
	}
	return out
}

// bringIntoService starts servers and waits until they are in service.
func (s *harness) bringIntoService(ids ...string) {
	GinkgoHelper()
	for _, id := range ids {
		s.startServer(id, "1", "a")
		s.completing[id] = true
	}
	s.advance(25 * time.Second)
	for _, id := range ids {
		Expect(s.phase(id)).To(Equal(control.PhaseInService))
	}
}

var _ = Describe("Controller", func() {
	var s *harness
	BeforeEach(func() { s = newHarness() })

	It("doubles the limit from the first one to the capacity and records each phase once", func() {
		s.bringIntoService("s1")
		Expect(s.phaseHistory("s1")).To(Equal([]string{"cold/1", "ramping/2", "ramping/4", "in_service/0"}))
		Expect(s.commits).To(Equal(3))
		s.advance(time.Minute)
		Expect(s.commits).To(Equal(3))
	})

	DescribeTable("does not raise the limit before 8 completions without error and 5 s, to protect the server from overload",
		func(requests, failures int, wait time.Duration, phase control.Phase) {
			s.startServer("s1", "1", "a")
			s.advance(2 * time.Second)
			for range requests {
				s.reportOutcome("s1", 1, 0, 20)
			}
			if failures > 0 {
				s.reportOutcome("s1", failures, failures, 0)
			}
			s.advance(wait)
			Expect(s.phase("s1")).To(Equal(phase))
		},
		Entry("both reached", 8, 0, 6*time.Second, control.PhaseRamping),
		Entry("7 completions", 7, 0, 20*time.Second, control.PhaseCold),
		Entry("too early", 100, 0, 4*time.Second, control.PhaseCold),
		Entry("an error after 8 completions", 8, 1, 20*time.Second, control.PhaseCold),
	)

	It("ignores completions of an earlier boot", func() {
		s.startServer("s1", "1", "a")
		s.advance(2 * time.Second)
		s.startServer("s1", "2", "a")
		s.advance(2 * time.Second)
		s.control.AddOutcomes(s.now, "e1", []control.Outcome{{BackendServer: "s1", Boot: "1", Requests: 50}})
		s.advance(10 * time.Second)
		Expect(s.phase("s1")).To(Equal(control.PhaseCold))
	})

	It("makes a server cold again within one announcement when it restarts without announcing that it leaves", func() {
		s.bringIntoService("s1")
		s.startServer("s1", "2", "a")
		s.advance(2250 * time.Millisecond)
		Expect(s.phase("s1")).To(Equal(control.PhaseCold))
		Expect(s.limit("s1")).To(Equal(1))
		Expect(s.recorded["s1"].Boot).To(Equal("2"))
	})

	It("keeps recorded boots in service over a leader change and restarts the ramp of all others", func() {
		s.bringIntoService("s1", "s2")
		s.startServer("s3", "1", "a")
		s.completing["s3"] = true
		s.advance(8 * time.Second)
		Expect(s.limit("s3")).To(Equal(2))
		s.startServer("s2", "2", "a")
		s.changeLeader()
		Expect(s.phase("s1")).To(Equal(control.PhaseInService))
		s.advance(2 * time.Second)
		Expect(s.phase("s1")).To(Equal(control.PhaseInService))
		Expect(s.phase("s2")).To(Equal(control.PhaseCold))
		Expect(s.limit("s3")).To(Equal(1))
	})

	It("does not raise the load before the record is durable, but lowers it without a majority", func() {
		s.bringIntoService("s1")
		s.startServer("s2", "1", "a")
		s.completing["s2"] = true
		s.advance(2 * time.Second)
		s.down = true
		s.advance(30 * time.Second)
		Expect(s.phase("s2")).To(Equal(control.PhaseCold))
		s.setServerOut("s1", true)
		s.advance(250 * time.Millisecond)
		Expect(s.phase("s1")).To(Equal(control.PhaseLeaving))
		s.down = false
		s.advance(time.Second)
		Expect(s.phase("s2")).To(Equal(control.PhaseRamping))
		Expect(s.recorded["s1"].Phase).To(Equal(control.PhaseLeaving))
	})

	DescribeTable("empties a leaving server and lets it return through the ramp",
		func(out, back func()) {
			s.bringIntoService("s1", "s2")
			a := s.announcements["s1"]
			a.Running = 3
			s.announcements["s1"] = a
			out()
			s.advance(2250 * time.Millisecond)
			Expect(s.phase("s1")).To(Equal(control.PhaseLeaving))
			s.advance(30 * time.Second)
			Expect(s.phase("s1")).To(Equal(control.PhaseLeaving))
			a = s.announcements["s1"]
			a.Running = 0
			s.announcements["s1"] = a
			s.advance(4 * time.Second)
			Expect(s.phase("s1")).To(Equal(control.PhaseEmpty))
			back()
			s.advance(2250 * time.Millisecond)
			Expect(s.phase("s1")).To(Equal(control.PhaseRamping))
			Expect(s.limit("s1")).To(Equal(1))
			s.advance(20 * time.Second)
			Expect(s.phase("s1")).To(Equal(control.PhaseInService))
		},
		Entry("by operator order", func() { s.setServerOut("s1", true) }, func() { s.setServerOut("s1", false) }),
		Entry("by zone order", func() { s.setZoneOut("a", true) }, func() { s.setZoneOut("a", false) }),
		Entry("by its own announcement", func() { s.setLeaving("s1", true) }, func() { s.setLeaving("s1", false) }),
	)

	It("does not make an idle server empty before the last entry instance has the order", func() {
		s.bringIntoService("s1")
		s.setServerOut("s1", true)
		s.advance(8 * time.Second)
		Expect(s.phase("s1")).To(Equal(control.PhaseLeaving))
		s.advance(3 * time.Second)
		Expect(s.phase("s1")).To(Equal(control.PhaseEmpty))
	})

	It("keeps a server out of service that restarts while its zone is out, also under a new leader", func() {
		s.bringIntoService("s1")
		s.setZoneOut("a", true)
		s.advance(time.Second)
		s.startServer("s1", "2", "a")
		s.advance(2 * time.Second)
		Expect(s.phase("s1")).To(Equal(control.PhaseLeaving))
		s.changeLeader()
		s.advance(2 * time.Second)
		Expect(s.phase("s1")).To(Equal(control.PhaseLeaving))
	})

	It("removes a server after 8 s without announcements and returns the same boot to service at once, as it is still warm", func() {
		s.bringIntoService("s1")
		a := s.announcements["s1"]
		delete(s.announcements, "s1")
		delete(s.completing, "s1")
		s.advance(8500 * time.Millisecond)
		Expect(s.phase("s1")).To(Equal(control.PhaseGone))
		Expect(s.phaseHistory("s1")).To(ContainElement("gone/0"))
		s.announcements["s1"] = a
		s.advance(2250 * time.Millisecond)
		Expect(s.phase("s1")).To(Equal(control.PhaseInService))
	})

	It("ends the record of a server without announcements, also of one that never announced itself to the leader", func() {
		s.recorded["old"] = controlstate.SetPhase{BackendServer: "old", Boot: "1", Phase: control.PhaseInService}
		s.changeLeader()
		s.advance(11 * time.Minute)
		Expect(s.recorded["old"].Phase).To(Equal(control.PhaseGone))
		commits := s.commits
		s.advance(time.Minute)
		Expect(s.commits).To(Equal(commits))
	})

	It("keeps a flapping server out of service for an increasing time", func() {
		var held []time.Duration
		for boot := range 5 {
			s.startServer("s1", fmt.Sprint(boot), "a")
			s.advance(2250 * time.Millisecond)
			from := s.now
			for s.phase("s1") == control.PhaseSuspect {
				s.advance(time.Second)
			}
			held = append(held, s.now.Sub(from).Round(10*time.Second))
		}
		Expect(held).To(Equal([]time.Duration{0, 0, 30 * time.Second, time.Minute, 2 * time.Minute}))
		Expect(s.phase("s1")).To(Equal(control.PhaseCold))
	})

	It("treats a server as cold when it announces itself after a refused connection", func() {
		s.bringIntoService("s1", "s2", "s3")
		s.reportSuspect("e1", "s1", control.SuspectConnection)
		s.advance(250 * time.Millisecond)
		Expect(s.phase("s1")).To(Equal(control.PhaseSuspect))
		s.advance(2 * time.Second)
		Expect(s.phase("s1")).To(Equal(control.PhaseCold))
		Expect(s.phase("s2")).To(Equal(control.PhaseInService))
	})

	DescribeTable("treats a server as cold that answers as slowly as a cold one, although its boot number is the same",
		func(report func(), phase control.Phase) {
			s.bringIntoService("s1", "s2", "s3")
			delete(s.completing, "s1")
			report()
			s.advance(250 * time.Millisecond)
			Expect(s.phase("s1")).To(Equal(phase))
		},
		Entry("3 slow requests in a row", func() {
			for range 3 {
				s.reportOutcome("s1", 1, 0, 900)
			}
		}, control.PhaseCold),
		Entry("a fast request in between", func() {
			for _, millis := range []int64{900, 900, 20, 900, 900} {
				s.reportOutcome("s1", 1, 0, millis)
			}
		}, control.PhaseInService),
		Entry("jitter of a few milliseconds", func() {
			for range 5 {
				s.reportOutcome("s1", 1, 0, 150)
			}
		}, control.PhaseInService),
		Entry("a report of an entry instance", func() { s.reportSuspect("e1", "s1", control.SuspectSlow) }, control.PhaseCold),
	)

	DescribeTable("keeps the pool in service when the network, not the servers, causes the reports",
		func(servers int, report func(ids []string), least int) {
			var ids []string
			for i := range servers {
				ids = append(ids, fmt.Sprint("s", i))
			}
			s.bringIntoService(ids...)
			report(ids)
			s.advance(3 * time.Second)
			inService := 0
			for _, id := range ids {
				if s.phase(id) == control.PhaseInService {
					inService++
				}
			}
			Expect(inService).To(Equal(least))
		},
		Entry("one entry instance reports all servers", 18, func(ids []string) {
			for _, id := range ids {
				s.reportSuspect("e1", id, control.SuspectConnection)
			}
		}, 15),
		Entry("several entry instances report a few servers each", 9, func(ids []string) {
			for i, id := range ids {
				s.reportSuspect(fmt.Sprint("e", i/3), id, control.SuspectConnection)
			}
		}, 6),
	)

	It("lets one entry instance with a broken path demote a server only once", func() {
		s.bringIntoService("s1", "s2", "s3")
		for range 20 {
			s.reportSuspect("e1", "s1", control.SuspectConnection)
			s.advance(2 * time.Second)
		}
		Expect(s.phase("s1")).To(Equal(control.PhaseInService))
	})

	It("sets a phase again that the table lost because the row expired and was announced again between two ticks", func() {
		s.bringIntoService("s1")
		s.table.SetPhase(s.now, "s1", "1", control.PhaseGone, 0, "lost")
		Expect(s.table.Announce(s.now, s.announcements["s1"])).To(Succeed())
		Expect(s.phase("s1")).To(Equal(control.PhaseCold))
		s.advance(250 * time.Millisecond)
		Expect(s.phase("s1")).To(Equal(control.PhaseInService))
	})
})

// setServerOut and setZoneOut set or remove an order that takes a server or a zone out of service.
func (s *harness) setServerOut(id string, out bool) { setOrder(s.view.Orders.ServersOut, id, out) }
func (s *harness) setZoneOut(zone string, out bool) { setOrder(s.view.Orders.ZonesOut, zone, out) }

func setOrder(orders map[string]control.Order, key string, out bool) {
	delete(orders, key)
	if out {
		orders[key] = control.Order{By: "operator"}
	}
}

func (s *harness) setLeaving(id string, leaving bool) {
	a := s.announcements[id]
	a.Leaving = leaving
	s.announcements[id] = a
}
