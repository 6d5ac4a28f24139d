package entry

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/balance"
	"clementinetray/server/blackboard"
	"clementinetray/server/fleet"
	"clementinetray/server/retry"
	"clementinetray/server/routing"
)

// tryPlaceRouted chooses a backend server for a routed request, or returns why none can take it now.
func (h *Handler) tryPlaceRouted(ctx context.Context, rq *request, waiting *wait) (*placement, *problem.Problem) {
	snap, p := h.routingSnapshot()
	if p != nil {
		return nil, p
	}
	if ctx.Err() != nil {
		return nil, problem.New(problem.DeadlineExceeded, "the deadline has passed or the caller is gone")
	}
	if p := h.checkPartQuarantine(rq, snap.Now); p != nil {
		return nil, p
	}
	call := rq.routed
	rq.noWait = false
	h.startControl(rq, snap.Now)
	if !call.controlled && h.isOutranked(rq, waiting) {
		return nil, problem.New(problem.Overloaded, "other requests wait for "+rq.poolName()).WithRetryAfter(time.Second)
	}
	ahead, moreUrgent := h.requestsAhead(rq, waiting, snap.Now)
	if ahead > 0 {
		state := h.pools.LastSnapshot(snap.Now, rq.servicePool(), call.route.TargetTime())
		state.Ahead, state.MoreUrgentAhead, state.Outdated = ahead, moreUrgent, state.Outdated || h.isFleetOutdated(snap)
		return nil, h.decide(rq, snap.Now, &state)
	}
	if call.route = snap.View.Catalogue.FindRoute(call.host, call.target.RoutePath()); call.route == nil {
		return nil, problem.New(problem.NotFound, "the route was removed")
	}
	pool := snap.View.Catalogue.PoolOf(call.service)
	rq.chooseFirstModel()
	balanceReq := rq.balanceRequest(pool.Engine, call.model)
	servers, candidates, best, p := h.chooseServer(snap, rq, &pool, balanceReq)
	if p != nil {
		return nil, p
	}
	server := servers[best]
	h.bindVersion(rq, server, snap.Now)
	if p := h.decideAt(rq, snap, candidates, servers, best, balanceReq); p != nil {
		return nil, p
	}
	if c := &candidates[best]; !call.controlled && c.Full(balanceReq, call.route.TargetTime()*waitSharePercent/100) {
		return nil, problem.New(problem.Overloaded, fmt.Sprintf("each backend server of %s is full, the best one has a load of %.2f and answers in %v",
			call.service, c.Load, c.Latency)).WithRetryAfter(time.Second)
	}
	placed := h.newPlacement(rq, server, balanceReq, candidates[best].ColdRate)
	if placed == nil {
		return nil, problem.New(problem.Overloaded, "another request took the place on the cold or brittle backend server "+server.ID).WithRetryAfter(time.Second)
	}
	if call.controlled && call.admission.AboveShare() {
		h.pools.RecordSpare(snap.Now, rq.servicePool(), rand.ExpFloat64())
	}
	h.logPlacement(rq, server, &candidates[best], len(candidates), snap)
	placed.cold = candidates[best].Cold
	placed.queued = candidates[best].LoadKnown && candidates[best].Load >= 1
	if call.route.Repeatable() {
		placed.firstByteTimeout = balance.FirstByteTimeout(balanceReq, &candidates[best], call.route.TargetTime())
	}
	return placed, nil
}

// noServerProblem returns why no backend server takes the request. If those that may run it have asked to be spared, the request
// waits for the first of them, unless that is later than it may wait.
func (h *Handler) noServerProblem(snap *routing.Snapshot, rq *request) *problem.Problem {
	software := routing.SoftwareRulesFor(snap.View, rq.routed.service, rq.rolloutKey(), h.boundVersion(rq, snap))
	back := earliestReturn(snap, rq, software.Allows)
	if back.IsZero() {
		return problem.New(problem.NoBackendServer, "no backend server takes work for "+rq.routed.service).WithRetryAfter(time.Second)
	}
	rq.noWait = back.After(rq.waitDeadline(snap.Now, problem.Overloaded))
	return problem.New(problem.Overloaded, "each backend server of "+rq.routed.service+" has asked to be spared").WithRetryAfter(back.Sub(snap.Now))
}

// SetUnreadTokensSender sets the function that reports to the other entry instances how many of this instance's prompt tokens a
// backend server has not read yet.
func (h *Handler) SetUnreadTokensSender(send balance.NotifyFunc) { h.balance.SetNotify(send) }

// ReceiveUnreadTokens records how many prompt tokens of another entry instance a backend server has not read yet, in tokens of
// the slowest model. sender is the hash of the other instance's boot id, and sequence orders its messages. server is the hash
// of the backend server's id.
func (h *Handler) ReceiveUnreadTokens(sender, sequence, server uint64, tokens float64) {
	h.balance.RecordRemoteTokens(time.Now(), sender, sequence, server, tokens)
	h.cfg.Log.Debug("work_heard", "sender", sender, "server", server, "tokens", tokens)
}

// setColdRates sets the rate at which this instance may send to each row that is cold. perSecond is the rate of
// requests that one cold backend server can take from all instances together; 0 treats all rows as warm.
func (h *Handler) setColdRates(snap *routing.Snapshot, rows []balance.Row, perSecond float64) {
	var instances []string
	for i := range rows {
		row := &rows[i]
		if perSecond <= 0 {
			row.ColdRemaining = 0
		}
		if row.ColdRemaining == 0 {
			continue
		}
		if instances == nil {
			instances = memberNames(snap.Fleet)
		}
		row.ColdRate = balance.ColdRate(perSecond, instances, h.cfg.Instance, row.ID)
	}
}

// memberNames returns the ids of all entry instances.
func memberNames(f *blackboard.Fleet) []string {
	names := make([]string, 0, len(f.Members))
	for _, m := range f.Members {
		names = append(names, m.Instance)
	}
	return names
}

// newPlacement returns a placement on the backend server, or nil if that is cold or brittle and another request took the place meanwhile. The
// request counts as sent there until the placement is released.
func (h *Handler) newPlacement(rq *request, server *control.BackendServer, balanceReq *balance.Request, coldRate float64) *placement {
	sent := h.balance.TrySend(time.Now(), server.ID, balanceReq, coldRate)
	if sent == nil {
		return nil
	}
	pool := rq.poolName()
	var once sync.Once
	release := func() {
		once.Do(func() {
			sent.Ended(time.Now())
			h.recordRelease(rq)
			h.queue.WakeFirst(time.Now(), pool)
			h.controlledQueue.WakeFirst(time.Now(), pool)
		})
	}
	// After a panic the placement is released through the request.
	rq.releasePlace = release
	return &placement{server: server, onFirstByte: sent.FirstByte, sent: sent, release: release}
}

// routableServers returns the backend servers of the request's service that take new work and have the software version that
// the request should run on. If there are none, it returns the servers with any version that the request may run on. The two
// slices have the same order.
func routableServers(snap *routing.Snapshot, rq *request, boundVersion string) ([]balance.Row, []*control.BackendServer) {
	software := routing.SoftwareRulesFor(snap.View, rq.routed.service, rq.rolloutKey(), boundVersion)
	coldTime := time.Duration(snap.View.Catalogue.PoolOf(rq.routed.service).ColdSeconds * float64(time.Second))
	rows, servers := matchingServers(snap, rq, software.Prefers, coldTime)
	if len(rows) == 0 {
		rows, servers = matchingServers(snap, rq, software.Allows, coldTime)
	}
	return rows, servers
}

// rolloutKey returns the key that is hashed to decide whether the request belongs to the share of a roll-out: the session, or
// the request id if there is none.
func (rq *request) rolloutKey() string {
	if rq.route.Session != "" {
		return rq.workspaceName() + "/" + rq.route.Session
	}
	return rq.id
}

// matchingServers returns the backend servers of the request's service that take new work and whose version matches. coldTime is
// how long they are cold after their start.
func matchingServers(snap *routing.Snapshot, rq *request, versionMatches func(version string) bool, coldTime time.Duration) ([]balance.Row, []*control.BackendServer) {
	pool := snap.Fleet.ByService[rq.routed.service]
	rows, servers := make([]balance.Row, 0, len(pool)), make([]*control.BackendServer, 0, len(pool))
	for _, b := range pool {
		if row, ok := matchingRow(snap, rq, b, versionMatches, coldTime); ok {
			rows, servers = append(rows, row), append(servers, b)
		}
	}
	return rows, servers
}

// matchingRow returns the row of a backend server, or false if it doesn't take the request as new work.
func matchingRow(snap *routing.Snapshot, rq *request, b *control.BackendServer, versionMatches func(version string) bool, coldTime time.Duration) (balance.Row, bool) {
	if !routing.Routable(snap, b) || rq.route.Exclude[b.ID] || !versionMatches(b.SoftwareVersion) {
		return balance.Row{}, false
	}
	fleetAge := snap.Now.Sub(snap.Fleet.ReceivedAt)
	loadAge := b.LoadAge + fleetAge
	coldFor := max(time.Duration(b.ColdMillis)*time.Millisecond-loadAge, assumedColdTime(b, coldTime, snap.Now), 0)
	if snap.RefusedColdTime != nil {
		coldFor = max(coldFor, snap.RefusedColdTime(b.ID, b.Boot, coldTime))
	}
	silent := b.Silent || fleetAge > fleet.SilentAfter || !b.StatesCold && loadAge > fleet.SilentAfter
	return balance.Row{ID: b.ID, Boot: b.Boot, Zone: b.AvailabilityZone, Slots: b.Capacity, Silent: silent, ColdRemaining: coldFor}, true
}

// assumedColdTime returns how long a backend server is assumed to stay cold that has not announced itself since its row was
// restored from the record of an earlier leader, which has no cold times. The announcement follows within seconds.
func assumedColdTime(b *control.BackendServer, coldTime time.Duration, now time.Time) time.Duration {
	if b.Sequence > 0 || b.Started == 0 || !b.StatesCold {
		return 0
	}
	return time.UnixMilli(b.Started).Add(coldTime).Sub(now)
}

// balanceRequest returns the properties of the request that affect the load balancing. model is the model that the router
// chose; if it is empty, the time per token is that of the caller's model.
func (rq *request) balanceRequest(engine *catalogue.Engine, model string) *balance.Request {
	c := rq.routed
	rank, timeRatio := rankAndTimeRatio(c.route, engine, cmp.Or(model, c.Model))
	return &balance.Request{
		PromptTokens: c.PromptTokens, Model: model, Parts: c.Parts, Zone: rq.zone,
		ModelRank: rank, ModelCount: len(c.route.Models), TimeRatio: timeRatio,
		Pool: c.service, Kind: c.route.Name + "/" + model, TargetTime: c.route.TargetTime(), EventGap: c.route.TargetGap(),
	}
}

// rankAndTimeRatio returns the position of a model among those of the route, and its time per token as a share, 0 to 1,
// of that of the most expensive model. The share is computed from the prices, which are nearly proportional to the times.
func rankAndTimeRatio(route *catalogue.Route, engine *catalogue.Engine, name string) (rank int, timeRatio float64) {
	if engine == nil {
		return 0, 1
	}
	highestCost := 0.0
	for _, m := range engine.Models {
		highestCost = max(highestCost, m.CostPerThousandTokens)
	}
	model := engine.FindModel(name)
	if model == nil || highestCost <= 0 {
		return 0, 1
	}
	return max(slices.Index(route.Models, name), 0), model.CostPerThousandTokens / highestCost
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
	// RoutedRetrySlack applies to all entry instances together; each gets an equal part.
	members := max(len(h.cfg.Board.Fleet.Load().Members), 1)
	b.SetLimits(h.cfg.RoutedRetryRatio, h.cfg.RoutedRetrySlack/float64(members))
	return b
}

// waitDeadline returns the time until which the request may wait for a backend server. reason is why it has none now. Before
// the first attempt the wait is at most waitSharePercent of the route's target time, so that a refused caller has time to
// retry.
func (rq *request) waitDeadline(began time.Time, reason problem.Reason) time.Time {
	call := rq.routed
	if call.controlled && reason == problem.Overloaded && !call.decision.Until.IsZero() {
		return call.decision.Until
	}
	wait := time.Until(call.deadline) / 2
	if reason == problem.NoBackendServer && call.failureAnswer != nil {
		// There is a failure answer to deliver and no backend server left that could give a better one.
		return began
	}
	if reason == problem.NoBackendServer {
		return began.Add(min(max(wait, 0), maxServerWait))
	}
	if target := call.route.TargetTime(); target > 0 {
		wait = min(wait, target*waitSharePercent/100)
	}
	if call.answerStarted || rq.countedAttempts > 0 {
		return call.deadline
	}
	return began.Add(max(wait, 0))
}

// maxServerWait is how long a request waits while its service has no backend server. Backend servers announce themselves about
// once a second, so a fleet table that was lost is complete again by then.
const maxServerWait = 1500 * time.Millisecond

// waitSharePercent is the share of the route's target time that a request may wait for a backend server.
const waitSharePercent = 60
