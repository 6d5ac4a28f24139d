package engineorder_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/controlstate"
	"clementinetray/server/controlsvc"
	"clementinetray/server/engineorder"
	"clementinetray/server/fleet"
)

var _ controlsvc.LeaderController = (*engineorder.Controller)(nil)

func TestEngineOrder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engineorder")
}

// engine is a fake engine that serves the order endpoint.
type engine struct {
	server *httptest.Server
	id     string
	zone   string
	// checksFence makes the engine refuse orders with an old fencing number.
	checksFence bool
	// status, if set, is the answer to each order. blocked, if set, delays answers until it is closed.
	status  int
	blocked chan struct{}
	// neverLoads keeps accepted loads from finishing.
	neverLoads bool

	mu          sync.Mutex // guards the fields below
	newestOrder engineorder.Order
	held        map[string]bool
	orders      []engineorder.Order
}

func newEngine(id, zone string, held ...string) *engine {
	e := &engine{id: id, zone: zone, held: map[string]bool{}}
	for _, v := range held {
		e.held[v] = true
	}
	e.server = httptest.NewServer(http.HandlerFunc(e.serve))
	DeferCleanup(e.server.Close)
	return e
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	var o engineorder.Order
	if r.URL.Path != "/v1/orders" || json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(e.apply(o))
}

func (e *engine) apply(o engineorder.Order) int {
	if e.blocked != nil {
		<-e.blocked
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	older := o.Term < e.newestOrder.Term || o.Term == e.newestOrder.Term && o.Index < e.newestOrder.Index
	switch {
	case e.status != 0:
		return e.status
	case e.checksFence && older:
		return http.StatusConflict
	case o.Action == engineorder.ActionLoad && !e.neverLoads:
		e.held[o.Version] = true
	case o.Action == engineorder.ActionUnload:
		delete(e.held, o.Version)
	}
	if !older {
		e.newestOrder = o
	}
	return http.StatusOK
}

func (e *engine) countOrders(action engineorder.Action) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, o := range e.orders {
		if o.Action == action {
			n++
		}
	}
	return n
}

func (e *engine) holds(version string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held[version]
}

type testSite struct {
	table      *fleet.Table
	view       *control.View
	engines    []*engine
	controller *engineorder.Controller
	now        time.Time
	term       uint64
	index      atomic.Uint64
	lease      atomic.Bool
	// onFence, if set, runs when a fencing number is committed.
	onFence        func()
	weightStore    *httptest.Server
	loadsPerMinute atomic.Int64
	phase          map[string]control.Phase
	load           map[string]int
	mu             sync.Mutex // guards events
	events         []event.Event
}

func (s *testSite) View() *control.View { return s.view }

func (s *testSite) Record(e event.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
}

func (s *testSite) ProposeCommand(_ context.Context, c *controlstate.Command) (any, error) {
	if c.NextFence == nil {
		return nil, errors.New("unexpected command")
	}
	if s.onFence != nil {
		s.onFence()
	}
	return controlstate.Fence{Term: c.NextFence.Term, Index: s.index.Add(1)}, nil
}

func newTestSite(engines ...*engine) *testSite {
	s := &testSite{
		table: fleet.NewTable(), engines: engines, now: time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC),
		phase: map[string]control.Phase{}, load: map[string]int{},
		view: &control.View{
			Catalogue: &catalogue.Catalogue{Models: []catalogue.Model{{
				Name: "claims", Versions: []catalogue.Version{{Name: "v1"}},
			}}},
			Rollouts: &control.Rollouts{Progress: map[string]control.RolloutProgress{}},
		},
	}
	s.lease.Store(true)
	s.loadsPerMinute.Store(6000)
	s.weightStore = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]int64{"loads_per_minute": s.loadsPerMinute.Load()})
	}))
	DeferCleanup(s.weightStore.Close)
	s.startLeader()
	return s
}

// startLeader starts a controller as the leader of the next term.
func (s *testSite) startLeader() {
	s.term++
	s.table.Reset(s.now, fleet.Epoch(s.term))
	s.controller = engineorder.New(engineorder.Config{
		Table: s.table, State: s, Proposer: s, HoldsLease: s.lease.Load, Recorder: s,
		Log: slog.New(slog.DiscardHandler), WeightStoreURL: s.weightStore.URL,
	})
	s.controller.Reset(s.now, s.term)
}

func (s *testSite) announce() {
	for _, e := range s.engines {
		a := control.Announcement{
			ID: e.id, Boot: "1", Address: strings.TrimPrefix(e.server.URL, "http://"), AvailabilityZone: e.zone,
			Capacity: 8, Fencing: e.checksFence, Running: s.load[e.id],
		}
		e.mu.Lock()
		for v := range e.held {
			model, version, _ := strings.Cut(v, "@")
			a.Versions = append(a.Versions, catalogue.VersionRef{Model: model, Version: version})
		}
		e.mu.Unlock()
		Expect(s.table.Announce(s.now, a)).To(Succeed())
		phase := s.phase[e.id]
		if phase == "" {
			phase = control.PhaseInService
		}
		s.table.SetPhase(s.now, e.id, "1", phase, 0, "test")
	}
}

// run advances virtual time in ticks of 500 ms and waits for the orders of each tick, which run in real time.
func (s *testSite) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(500 * time.Millisecond)
		if s.now.UnixMilli()%2000 == 0 {
			s.announce()
		}
		s.controller.Tick(context.Background(), s.now)
		s.controller.Wait()
	}
}

func (s *testSite) countHolders(version string) (n int) {
	for _, e := range s.engines {
		if e.holds(version) {
			n++
		}
	}
	return n
}

func (s *testSite) countOrders(action engineorder.Action) (n int) {
	for _, e := range s.engines {
		n += e.countOrders(action)
	}
	return n
}

func (s *testSite) setRollout(percent int, state control.RolloutState) {
	s.view.Catalogue.Models[0].Versions = []catalogue.Version{{Name: "v1"}, {Name: "v2"}}
	s.view.Catalogue.Rollouts = []catalogue.Rollout{{Model: "claims", From: "v1", To: "v2"}}
	s.view.Rollouts.Progress["claims"] = control.RolloutProgress{Model: "claims", From: "v1", To: "v2", State: state, Percent: percent}
}

func claimsEngines(n int) (out []*engine) {
	for i := range n {
		out = append(out, newEngine(fmt.Sprintf("s%02d", i), string(rune('a'+i%3)), "claims@v1"))
	}
	return out
}

var _ = Describe("Controller", func() {
	It("sends nothing for 3 s after leadership starts, as orders of the old leader may be in flight", func() {
		s := newTestSite(newEngine("s1", "a", "claims@v1"), newEngine("s2", "b"))
		s.run(2500 * time.Millisecond)
		Expect(s.countOrders(engineorder.ActionLoad)).To(BeZero())
		s.run(20 * time.Second)
		Expect(s.countHolders("claims@v1")).To(Equal(2))
	})

	DescribeTable("sends nothing without the lease",
		func(lose func(s *testSite), fences int) {
			s := newTestSite(newEngine("s1", "a", "claims@v1"), newEngine("s2", "b"))
			lose(s)
			s.run(time.Minute)
			Expect(s.index.Load()).To(BeNumerically("==", fences))
			Expect(s.countOrders(engineorder.ActionLoad)).To(BeZero())
			s.onFence = nil
			s.lease.Store(true)
			s.run(time.Minute)
			Expect(s.countHolders("claims@v1")).To(Equal(2))
		},
		Entry("lost before the decision", func(s *testSite) { s.lease.Store(false) }, 0),
		Entry("lost between the decision and the write", func(s *testSite) {
			s.onFence = func() { s.lease.Store(false) }
		}, 1),
	)

	It("increases fencing numbers across a leader change, so that engines that check them refuse the old leader", func() {
		e := newEngine("s1", "a")
		e.checksFence = true
		s := newTestSite(newEngine("s0", "b", "claims@v1"), e)
		s.run(10 * time.Second)
		first := e.newestOrder
		s.startLeader()
		delete(e.held, "claims@v1")
		s.run(20 * time.Second)
		Expect(e.newestOrder.Term).To(BeNumerically(">", first.Term))
		Expect(e.newestOrder.Index).To(BeNumerically(">", first.Index))
		Expect(e.apply(engineorder.Order{Term: first.Term, Index: first.Index + 100, Action: engineorder.ActionUnload, Version: "claims@v1"})).
			To(Equal(http.StatusConflict))
		Expect(e.holds("claims@v1")).To(BeTrue())
	})

	DescribeTable("repairs within 4 s the effect of a stale order on an engine that ignores fencing numbers",
		func(before func(s *testSite)) {
			e := newEngine("s1", "a", "claims@v1")
			s := newTestSite(newEngine("s0", "b", "claims@v1"), e)
			s.run(10 * time.Second)
			s.startLeader()
			before(s)
			Expect(e.apply(engineorder.Order{Term: 1, Index: 1, Action: engineorder.ActionUnload, Version: "claims@v1"})).To(Equal(http.StatusOK))
			Expect(e.holds("claims@v1")).To(BeFalse())
			s.run(4 * time.Second)
			Expect(e.holds("claims@v1")).To(BeTrue())
		},
		Entry("long after the leader change", func(s *testSite) { s.run(30 * time.Second) }),
		Entry("right after the leader change, within the wait of 3 s", func(*testSite) {}),
	)

	It("repeats the order of an accepted load that does not finish", func() {
		e := newEngine("s1", "a")
		e.neverLoads = true
		s := newTestSite(newEngine("s0", "b", "claims@v1"), e)
		s.run(100 * time.Second)
		Expect(e.countOrders(engineorder.ActionLoad)).To(Equal(1))
		s.run(100 * time.Second)
		Expect(e.countOrders(engineorder.ActionLoad)).To(Equal(2))
	})

	It("sends orders to other engines while one does not answer", func() {
		hanging := newEngine("s1", "a")
		hanging.blocked = make(chan struct{})
		DeferCleanup(func() { close(hanging.blocked) })
		s := newTestSite(newEngine("s0", "b", "claims@v1"), hanging, newEngine("s2", "c"))
		s.run(5 * time.Second)
		Expect(s.countHolders("claims@v1")).To(Equal(2))
	})

	It("stops ordering a load that the engine keeps refusing, after retries with increasing delays", func() {
		e := newEngine("s1", "a")
		e.status = http.StatusInsufficientStorage
		s := newTestSite(newEngine("s0", "b", "claims@v1"), e)
		s.run(10 * time.Minute)
		Expect(e.countOrders(engineorder.ActionLoad)).To(Equal(5))
	})

	It("loads the new version on as many servers as the next roll-out step needs, spread over availability zones", func() {
		s := newTestSite(claimsEngines(12)...)
		s.setRollout(1, control.RolloutRunning)
		s.run(20 * time.Second)
		Expect(s.countHolders("claims@v2")).To(Equal(2))
		zones := map[string]bool{}
		for _, e := range s.engines {
			if e.holds("claims@v2") {
				zones[e.zone] = true
			}
		}
		Expect(zones).To(HaveLen(2))
		s.setRollout(25, control.RolloutRunning)
		s.run(20 * time.Second)
		Expect(s.countHolders("claims@v2")).To(Equal(6))
		s.setRollout(25, control.RolloutHeld)
		s.run(20 * time.Second)
		Expect(s.countHolders("claims@v2")).To(Equal(6))
		s.setRollout(100, control.RolloutDone)
		s.run(20 * time.Second)
		Expect(s.countHolders("claims@v2")).To(Equal(12))
	})

	It("replaces the servers of the new version when their availability zone fails during a roll-out", func() {
		s := newTestSite(claimsEngines(12)...)
		s.setRollout(1, control.RolloutRunning)
		s.run(20 * time.Second)
		var zone string
		for _, e := range s.engines {
			if e.holds("claims@v2") {
				zone = e.zone
			}
		}
		remaining := 0
		for _, e := range s.engines {
			if e.zone == zone {
				s.phase[e.id] = control.PhaseLeaving
			}
		}
		s.run(20 * time.Second)
		for _, e := range s.engines {
			if e.zone != zone && e.holds("claims@v2") {
				remaining++
			}
		}
		Expect(remaining).To(Equal(2))
	})

	It("loads no version that was rolled back", func() {
		s := newTestSite(claimsEngines(6)...)
		s.setRollout(0, control.RolloutRolledBack)
		s.run(time.Minute)
		Expect(s.countHolders("claims@v2")).To(BeZero())
	})

	It("unloads a withdrawn version only after the longest answer must have ended", func() {
		s := newTestSite(newEngine("s1", "a", "claims@v1", "claims@v2"))
		s.view.Catalogue.Models[0].Versions = []catalogue.Version{{Name: "v1", Withdrawn: true}, {Name: "v2"}}
		s.run(10 * time.Minute)
		Expect(s.countHolders("claims@v1")).To(Equal(1))
		s.run(30 * time.Second)
		Expect(s.countHolders("claims@v1")).To(BeZero())
		Expect(s.countHolders("claims@v2")).To(Equal(1))
	})

	It("keeps to the weight store's limit: first versions that lack capacity, then roll-outs, then restored versions", func() {
		engines := append(claimsEngines(4), newEngine("t1", "a", "tags@v1"), newEngine("t2", "b", "tags@v1"))
		s := newTestSite(engines...)
		s.loadsPerMinute.Store(2)
		s.view.Catalogue.Models = append(s.view.Catalogue.Models, catalogue.Model{
			Name: "tags", Versions: []catalogue.Version{{Name: "v1"}, {Name: "v2"}},
		})
		s.run(5 * time.Second)
		delete(engines[0].held, "claims@v1")
		s.setRollout(1, control.RolloutRunning)
		var order []string
		for i := range 10 {
			s.run(30 * time.Second)
			Expect(s.countOrders(engineorder.ActionLoad)).To(BeNumerically("<=", i+2))
		}
		for _, e := range s.events {
			if e.Kind == engineorder.EventOrder {
				order = append(order, e.Version+" "+e.Reason)
			}
		}
		Expect(order).To(Equal([]string{
			"tags@v2 pool short of capacity", "claims@v2 roll-out", "claims@v2 roll-out", "claims@v1 return",
		}))
	})

	It("limits unfinished loads to what the weight store allows in a minute", func() {
		engines := claimsEngines(1)
		for i := range 30 {
			e := newEngine(fmt.Sprintf("x%02d", i), "a")
			e.neverLoads = true
			engines = append(engines, e)
		}
		s := newTestSite(engines...)
		s.loadsPerMinute.Store(10)
		s.run(110 * time.Second)
		Expect(s.countOrders(engineorder.ActionLoad)).To(BeNumerically("<=", 10))
	})

	It("loads a version on one more server when its servers are overloaded", func() {
		engines := append(claimsEngines(2), newEngine("o1", "c", "claims@v0"))
		s := newTestSite(engines...)
		s.view.Catalogue.Models[0].Versions = []catalogue.Version{{Name: "v0"}, {Name: "v1"}}
		s.run(10 * time.Second)
		Expect(s.countOrders(engineorder.ActionLoad)).To(BeZero())
		s.load["s00"], s.load["s01"] = 7, 7
		s.run(10 * time.Second)
		Expect(engines[2].holds("claims@v1")).To(BeTrue())
	})

	DescribeTable("moves the KV cache of a leaving server once, if its engine can",
		func(status, exports, imports int) {
			from, to := newEngine("s1", "a", "claims@v1"), newEngine("s2", "a", "claims@v1")
			from.status = status
			s := newTestSite(from, to)
			s.phase["s1"] = control.PhaseLeaving
			s.run(30 * time.Second)
			Expect(from.countOrders(engineorder.ActionExportKV)).To(Equal(exports))
			Expect(to.countOrders(engineorder.ActionImportKV)).To(Equal(imports))
		},
		Entry("can", 0, 1, 1),
		Entry("can't", http.StatusNotImplemented, 1, 0),
	)

	It("sends no orders to a suspect server", func() {
		e := newEngine("s1", "a")
		s := newTestSite(newEngine("s0", "b", "claims@v1"), e)
		s.phase["s1"] = control.PhaseSuspect
		s.run(20 * time.Second)
		Expect(e.countOrders(engineorder.ActionLoad)).To(BeZero())
	})
})
