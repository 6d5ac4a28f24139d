package entry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/balance"
	"clementinetray/server/blackboard"
	"clementinetray/server/routing"
)

// ratedPool returns a handler whose tracker has learned rates, with a snapshot of a service of n backend servers and a request to
// it.
func ratedPool(tb testing.TB, n int) (*Handler, *routing.Snapshot, *request) {
	tb.Helper()
	board := blackboard.New()
	h := &Handler{cfg: Config{Board: board, Instance: "e1"}, balance: balance.NewTracker(balance.Options{LearnedRates: true}), boundSessions: newBoundSessions()}
	now := time.Now()
	table := blackboard.Fleet{ReceivedAt: now, Servers: map[string]*control.BackendServer{}, ByService: map[string][]*control.BackendServer{}}
	for i := range n {
		b := &control.BackendServer{Announcement: control.Announcement{ID: fmt.Sprintf("i-%03d", i), Capacity: 24}, Phase: control.PhaseInService}
		table.Servers[b.ID], table.ByService["llm"] = b, append(table.ByService["llm"], b)
	}
	snap := &routing.Snapshot{View: &control.View{Catalogue: &catalogue.Catalogue{}}, Fleet: &table, Now: now}
	rq := &request{id: "r", routed: &routedCall{service: "llm", route: &catalogue.Route{Name: "chat", TargetMillis: 2000, TargetGapMillis: 1200}}}
	rq.routed.PromptTokens = 5000
	rq.routed.Parts = []balance.PromptPart{{ID: "system", Tokens: 500}, {ID: "subject", Tokens: 3500}, {ID: "own", Tokens: 1000}}
	rq.route.Exclude = map[string]bool{}
	balanceReq := rq.balanceRequest(nil, "")
	h.balance.Candidates(now, []balance.Row{{ID: "i-000", Slots: 24}}, balanceReq)
	for i := range 40 {
		sent := h.balance.Send(now, "i-000", &balance.Request{PromptTokens: i * 100, TimeRatio: 1, Pool: "llm", Kind: balanceReq.Kind}, 0)
		sent.FirstByte()
		sent.FirstEvent(now.Add(time.Duration(20+i) * time.Millisecond))
		sent.Ended(now.Add(time.Second))
	}
	return h, snap, rq
}

// Guards against requests to backend servers that are excluded or out of service, when only a sample of a large pool is read.
func TestChooseServerOfALargePool(t *testing.T) {
	h, snap, rq := ratedPool(t, 140)
	for i, b := range snap.Fleet.ByService["llm"] {
		switch i % 3 {
		case 0:
			b.Phase = control.PhaseEmpty
		case 1:
			rq.route.Exclude[b.ID] = true
		}
	}
	for i := range 100 {
		rq.id = fmt.Sprint("r", i)
		servers, candidates, best, p := h.chooseServer(snap, rq, &catalogue.Pool{}, rq.balanceRequest(nil, ""))
		if p != nil {
			t.Fatal(p)
		}
		b := servers[best]
		if b.Phase != control.PhaseInService || rq.route.Exclude[b.ID] || candidates[best].ID != b.ID || candidates[best].FirstEvent <= 0 {
			t.Fatalf("chose %s, %+v", b.ID, candidates[best])
		}
		if len(servers) != 1 {
			t.Fatal("the whole pool was read")
		}
	}
}

// Guards against a log line that grows with the fleet, and against metrics that can't be collected.
func TestLearnedRatesAreReported(t *testing.T) {
	h, snap, _ := ratedPool(t, 2)
	registry := prometheus.NewRegistry()
	registry.MustRegister(newRateCollector(h.balance))
	families, err := registry.Gather()
	if err != nil || len(families) != 3 {
		t.Errorf("%d kinds of metrics, %v", len(families), err)
	}
	if rates := h.balance.Rates(snap.Now); len(rates) != 1 || rates[0].Pool != "llm" || len(rates[0].Servers) != 1 {
		t.Errorf("rates %+v", rates)
	}
	many := make([]balance.ServerRate, 600)
	if n := strings.Count(formatRates(many), ","); n != maxLoggedRates-1 {
		t.Errorf("%d separators for 600 servers", n)
	}
}

func BenchmarkChooseServer600(b *testing.B) {
	h, snap, rq := ratedPool(b, 600)
	balanceReq := rq.balanceRequest(nil, "")
	b.ReportAllocs()
	for b.Loop() {
		if servers, _, _, p := h.chooseServer(snap, rq, &catalogue.Pool{}, balanceReq); p != nil || len(servers) != 1 {
			b.Fatal("the whole pool was read")
		}
	}
}
