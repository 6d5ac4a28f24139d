package entry

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/balance"
	"clementinetray/server/fleet"
	"clementinetray/server/limits"
	"clementinetray/server/retry"
	"clementinetray/server/routing"
)

// tryPlaceRouted places a routed request now or says why it can't.
func (h *Handler) tryPlaceRouted(ctx context.Context, rq *request, waiting *waiter) (*placement, *problem.Problem) {
	snap, p := h.snapshot()
	if p != nil {
		return nil, p
	}
	if ctx.Err() != nil {
		return nil, problem.New(problem.DeadlineExceeded, "the deadline has passed or the caller is gone")
	}
	if waiting != nil && h.queue.outranks(waiting, nil) || waiting == nil && h.queue.outranks(nil, func() *waiter { return h.newWaiter(rq) }) {
		return nil, problem.New(problem.Overloaded, "other requests wait for "+rq.pool()).After(time.Second)
	}
	call := rq.routed
	if call.route = snap.View.Catalogue.FindRoute(call.host, call.path); call.route == nil {
		return nil, problem.New(problem.NotFound, "the route was removed")
	}
	pool := snap.View.Catalogue.PoolOf(call.service)
	rq.chooseModel()
	size := rq.size(pool.Engine, call.model)
	rows, servers := routableRows(snap, rq, h.boundVersion(rq, snap))
	if len(rows) == 0 {
		return nil, problem.New(problem.NoBackendServer, "no backend server takes work for "+call.service).After(time.Second)
	}
	h.limitCold(snap, rows, pool.ColdPerSecond)
	candidates := h.balance.Candidates(snap.Now, rows, size)
	best := balance.Choose(candidates, size, rq.id)
	if best < 0 {
		return nil, problem.New(problem.Overloaded, "each backend server of "+call.service+" is cold").After(time.Second)
	}
	server := servers[best]
	h.bindVersion(rq, server, snap.Now)
	if c := &candidates[best]; c.Full(size, call.route.Target()*waitShare/100) {
		return nil, problem.New(problem.Overloaded, fmt.Sprintf("each backend server of %s is full, the best one has a load of %.2f and answers in %v",
			call.service, c.Load, c.Latency)).After(time.Second)
	}
	h.logPlacement(rq, server, &candidates[best], len(candidates), snap)
	placed := h.holdPlace(rq, server, size, candidates[best].ColdRate)
	if call.route.Repeatable() {
		placed.patience = balance.Patience(size, &candidates[best], call.route.Target())
	}
	return placed, nil
}

// TellWorkWith makes the handler pass on how much unread prompt work it has at each backend server.
func (h *Handler) TellWorkWith(tell balance.Tell) { h.balance.TellWith(tell) }

// HearWork takes what another entry instance told of its unread prompt work at a backend server.
func (h *Handler) HearWork(sender, sequence, server uint64, tokens float64) {
	h.balance.Hear(time.Now(), sender, sequence, server, tokens)
	h.cfg.Log.Debug("work_heard", "sender", sender, "server", server, "tokens", tokens)
}

// limitCold sets the rate at which this instance may send to each row that is cold.
func (h *Handler) limitCold(snap *routing.Snapshot, rows []balance.Row, perSecond float64) {
	var instances []string
	for i := range rows {
		row := &rows[i]
		if perSecond <= 0 {
			row.ColdFor = 0
		}
		if row.ColdFor == 0 {
			continue
		}
		if instances == nil {
			for _, m := range snap.Fleet.Members {
				instances = append(instances, m.Instance)
			}
		}
		row.ColdRate = balance.ColdRate(perSecond, instances, h.cfg.Instance, row.ID)
	}
}

// holdPlace counts the request at the backend server until the placement is released.
func (h *Handler) holdPlace(rq *request, server *control.BackendServer, size *balance.Request, cold float64) *placement {
	begun, done := h.balance.Sent(time.Now(), server.ID, size, cold)
	pool := rq.pool()
	var once sync.Once
	release := func() {
		once.Do(func() {
			done()
			h.queue.wakeFirst(pool)
		})
	}
	// A panic before the placement is used gives it back too.
	rq.releasePlace = release
	return &placement{server: server, begun: begun, release: release}
}

// routableRows returns the backend servers of the request's service that take new work.
// Those of the software version that the request should run on come before the others that it may run on.
func routableRows(snap *routing.Snapshot, rq *request, bound string) ([]balance.Row, []*control.BackendServer) {
	software := routing.SoftwareOf(snap.View, rq.routed.service, rq.shareKey(), bound)
	rows, servers := rowsWhere(snap, rq, software.Prefers)
	if len(rows) == 0 {
		rows, servers = rowsWhere(snap, rq, software.Allows)
	}
	return rows, servers
}

// shareKey is what decides the request's share in a roll-out: its session, or itself without one.
func (rq *request) shareKey() string {
	if rq.route.Session != "" {
		return rq.workspaceName() + "/" + rq.route.Session
	}
	return rq.id
}

func rowsWhere(snap *routing.Snapshot, rq *request, wanted func(version string) bool) ([]balance.Row, []*control.BackendServer) {
	var rows []balance.Row
	var servers []*control.BackendServer
	since := snap.Now.Sub(snap.Fleet.ReceivedAt)
	for _, b := range snap.Fleet.ByService[rq.routed.service] {
		if !routing.Routable(snap, b) || rq.route.Exclude[b.ID] || !wanted(b.SoftwareVersion) {
			continue
		}
		age := b.LoadAge + since
		coldFor := max(time.Duration(b.ColdMillis)*time.Millisecond-age, 0)
		silent := b.Silent || since > fleet.SilentAfter || !b.StatesCold && age > fleet.SilentAfter
		rows = append(rows, balance.Row{ID: b.ID, Zone: b.AvailabilityZone, Slots: b.Capacity, Silent: silent, ColdFor: coldFor})
		servers = append(servers, b)
	}
	return rows, servers
}

// size returns what the balance of backend servers needs to know of the request when the router chooses the model; an empty
// one leaves the caller's.
func (rq *request) size(engine *catalogue.Engine, model string) *balance.Request {
	c := rq.routed
	rank, pace := paceOf(c.route, engine, cmp.Or(model, c.Model))
	return &balance.Request{
		PromptTokens: c.PromptTokens, Model: model, Parts: c.Parts, Zone: rq.zone,
		ModelRank: rank, Models: len(c.route.Models), Pace: pace,
	}
}

// paceOf returns the position of a model among those of the route, and the time that the model takes as a share
// of that of the dearest one. Prices follow the time that models take closely enough.
func paceOf(route *catalogue.Route, engine *catalogue.Engine, name string) (rank int, pace float64) {
	if engine == nil {
		return 0, 1
	}
	dearest := 0.0
	for _, m := range engine.Models {
		dearest = max(dearest, m.CostPerThousandTokens)
	}
	model := engine.FindModel(name)
	if model == nil || dearest <= 0 {
		return 0, 1
	}
	return max(slices.Index(route.Models, name), 0), model.CostPerThousandTokens / dearest
}

// chooseModel decides for a first model when the route leaves that to the router: the smallest.
func (rq *request) chooseModel() {
	if call := rq.routed; len(call.route.Models) > 0 && call.model == "" && call.Model == "" {
		call.model = call.route.Models[0]
	}
}

// unsureShare is the part of the retry budget that answers of small models may use up; the rest is for failures.
const unsureShare = 0.92

// largerModel returns the model that the request goes on to, because the smaller one doubts its answer and nothing of it
// was delivered. It takes the attempt from the retry budget.
func (h *Handler) largerModel(rq *request, confidence int) string {
	call := rq.routed
	models := call.route.Models
	if confidence < 0 || confidence >= h.cfg.SureConfidence || call.begun || len(models) == 0 || call.model == models[len(models)-1] ||
		rq.tries >= rq.maxTries() {
		return ""
	}
	larger := models[balance.NextModel(slices.Index(models, call.model), len(models), confidence, h.cfg.SureConfidence)]
	pressure, size := h.pressureOf(rq, larger)
	if sure := balance.Sureness(h.cfg.SureConfidence, pressure, size); confidence >= sure {
		h.cfg.Log.Info("larger_model_busy", "request", rq.id, "confidence", confidence, "sure", sure, "pressure", pressure,
			"prompt_tokens", size.PromptTokens)
		return ""
	}
	if !h.routedBudget(call.service).TryShare(time.Now(), unsureShare) {
		h.cfg.Log.Info("larger_model_over_budget", "request", rq.id, "confidence", confidence)
		return ""
	}
	return larger
}

// pressureOf returns how busy the backend servers are that would run the request with the model, and the request as they
// would run it. Without a snapshot the pressure is 0.
func (h *Handler) pressureOf(rq *request, model string) (float64, *balance.Request) {
	snap, p := h.snapshot()
	if p != nil {
		return 0, rq.size(nil, model)
	}
	size := rq.size(snap.View.Catalogue.PoolOf(rq.routed.service).Engine, model)
	rows, _ := routableRows(snap, rq, h.boundVersion(rq, snap))
	return balance.Pressure(h.balance.Candidates(snap.Now, rows, size), size), size
}

// routedBudget returns the retry budget of a service.
func (h *Handler) routedBudget(service string) *retry.Budget {
	h.budgetMu.Lock()
	defer h.budgetMu.Unlock()
	b := h.budgets[service]
	if b == nil {
		b = retry.NewBudget()
		h.budgets[service] = b
	}
	// The free retries are those of all entry instances together.
	members := max(len(h.cfg.Board.Fleet.Load().Members), 1)
	b.SetLimits(h.cfg.RoutedRetryPart, h.cfg.RoutedRetryFree/float64(members))
	return b
}

// newRoutedWaiter returns the request's place in the order of waiting requests.
func (h *Handler) newRoutedWaiter(rq *request) *waiter {
	name, weight := rq.workspaceName(), 0.0
	if w := rq.route.Workspace; w != nil {
		weight = w.Weight
	}
	return &waiter{
		Waiting: limits.Waiting{Priority: rq.priority(), Use: float64(h.usage.get(name)), Weight: weight, Since: time.Now()},
		pool:    rq.pool(), wake: make(chan struct{}, 1), refused: make(chan struct{}),
	}
}

// waitLimit is the end of the wait for a backend server: a share of the time in which the answer is wanted, so that a
// refusal leaves the caller time to come back.
func (rq *request) waitLimit(began time.Time, reason problem.Reason) time.Time {
	call := rq.routed
	wait := time.Until(call.limit) / 2
	if reason == problem.NoBackendServer && call.failure != nil {
		// There is an answer, and nobody who could give a better one.
		return began
	}
	if reason == problem.NoBackendServer {
		return began.Add(min(max(wait, 0), maxServerWait))
	}
	if target := call.route.Target(); target > 0 {
		wait = min(wait, target*waitShare/100)
	}
	if call.begun || rq.tries > 0 {
		return call.limit
	}
	return began.Add(max(wait, 0))
}

// maxServerWait is how long a request waits for any backend server of its service: they announce themselves about once a
// second, so a fleet table that was lost is whole again by then.
const maxServerWait = 1500 * time.Millisecond

// waitShare is the share of the wanted time, in percent, that a request waits for a backend server.
const waitShare = 60
