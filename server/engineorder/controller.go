// Package engineorder lets the control leader order engines to load and unload model versions. It compares the versions
// that backend servers announce with a plan of those that they should hold, and orders the difference within the load
// rate that the weight store allows.
package engineorder

import (
	"cmp"
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/blackboard"
	"clementinetray/server/controlstate"
)

// Error is the class of all errors of this package.
var Error = errs.Class("engineorder")

// EventOrder is the kind of this package's timeline events. Detail holds action, term, index and result.
const EventOrder event.Kind = "engine_order"

const (
	tickInterval = 500 * time.Millisecond
	// fenceTimeout is the time limit for the commit of a fencing number.
	fenceTimeout = 2 * time.Second
	// loadTimeout is how long an accepted load may take before it is ordered again. Orders are idempotent: an engine that
	// is still loading treats the repetition as the same order.
	loadTimeout = 2 * time.Minute
	// retryDelay is the delay after a failed order. It doubles with each failure up to maxRetryDelay.
	retryDelay    = 2 * time.Second
	maxRetryDelay = 5 * time.Minute
	// After failuresBeforeBlock failures in a row, of which the last is a refusal, the load is planned on another server
	// for blockTime.
	failuresBeforeBlock = 5
	blockTime           = 10 * time.Minute
	// unloadDelay is the time from the withdrawal of a version to its unload: no answer runs longer than 10 minutes, and
	// entry instances stop sending requests to the version within seconds.
	unloadDelay = 10*time.Minute + 10*time.Second
	// maxOrders is the maximum number of servers with an order in flight.
	maxOrders = 32
)

// Table is the fleet table; fleet.Table implements it.
type Table interface {
	Snapshot(now time.Time) *blackboard.Fleet
}

// State returns the current view of the replicated state.
type State interface{ View() *control.View }

// Proposer commits a command to the replicated state and returns its result.
type Proposer interface {
	ProposeCommand(ctx context.Context, c *controlstate.Command) (any, error)
}

// Config holds the dependencies and settings of a Controller.
type Config struct {
	Table    Table
	State    State
	Proposer Proposer
	// HoldsLease reports whether a majority acknowledged this replica as the leader within the last LeaseTime.
	HoldsLease func() bool
	Recorder   event.Recorder
	Log        *slog.Logger
	// WeightStoreURL is the base URL of the weight store. If it is empty, defaultLoadsPerMinute applies.
	WeightStoreURL string
}

// Controller plans the versions of each backend server and sends orders to engines. It is safe for concurrent use.
type Controller struct {
	Config
	sender *sender
	client *http.Client
	wg     sync.WaitGroup

	mu          sync.Mutex // guards the fields below
	term        uint64
	leaderSince time.Time
	plan        plan
	// attempts holds the outcome of the last order for each load.
	attempts map[loadKey]*attempt
	// inFlight holds the ids of backend servers with an order in flight.
	inFlight map[string]bool
	// withdrawnSince holds when this leader first saw that a version is withdrawn.
	withdrawnSince   map[catalogue.VersionRef]time.Time
	loadTokens       tokenBucket
	limitRequestedAt time.Time
	// exports holds the KV cache exports by the id of the leaving backend server.
	exports map[string]*cacheExport
}

// attempt is the outcome of the last order for a version on a backend server.
type attempt struct {
	// retryAt is when the version may be ordered again.
	retryAt  time.Time
	failures int
	// loading is set from the acceptance of a load until the version is announced or loadTimeout has passed.
	loading bool
	// blockedUntil is until when the load is not planned.
	blockedUntil time.Time
}

// dueOrder is an order that is to be sent now.
type dueOrder struct {
	loadKey
	address  string
	action   Action
	priority loadPriority
}

// New returns a Controller. It sends no orders before Run is called.
func New(c Config) *Controller {
	controller := &Controller{Config: c, sender: newSender(c.HoldsLease), client: &http.Client{}}
	controller.Reset(time.Time{}, 0)
	return controller
}

// Reset discards the plan and the outcomes of an earlier term. The first orders are sent 3 s after now.
func (c *Controller) Reset(now time.Time, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term, c.leaderSince, c.limitRequestedAt = term, now, time.Time{}
	c.plan = plan{}
	c.attempts = map[loadKey]*attempt{}
	c.inFlight = map[string]bool{}
	c.withdrawnSince = map[catalogue.VersionRef]time.Time{}
	c.loadTokens = tokenBucket{perMinute: defaultLoadsPerMinute}
	c.exports = map[string]*cacheExport{}
}

// Run sends orders until ctx ends. It returns after the last order was answered or timed out.
func (c *Controller) Run(ctx context.Context, term uint64) error {
	c.Reset(time.Now(), term)
	defer c.wg.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.Tick(ctx, time.Now())
		}
	}
}

// Tick updates the plan and starts the orders that are due, without waiting for their answers.
func (c *Controller) Tick(ctx context.Context, now time.Time) {
	view, fleet := c.State.View(), c.Table.Snapshot(now)
	if view == nil || view.Catalogue == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateAttempts(now, view, fleet)
	c.plan.update(planInput{view: view, fleet: fleet, isBlocked: func(k loadKey) bool { return c.isBlocked(now, k) }})
	if now.Sub(c.leaderSince) < firstOrderDelay || !c.HoldsLease() {
		return
	}
	c.refreshLoadLimit(ctx, now)
	for _, due := range c.dueOrders(now, fleet) {
		if c.inFlight[due.server] || len(c.inFlight) >= maxOrders {
			continue
		}
		if due.action == ActionLoad && !c.reserveLoad(now) {
			break
		}
		c.startOrder(ctx, now, due)
	}
	c.moveCaches(ctx, now, fleet)
}

func (c *Controller) isBlocked(now time.Time, k loadKey) bool {
	a := c.attempts[k]
	return a != nil && now.Before(a.blockedUntil)
}

// updateAttempts deletes the attempts whose order took effect, ends loads that timed out and records when versions were
// withdrawn.
func (c *Controller) updateAttempts(now time.Time, view *control.View, fleet *blackboard.Fleet) {
	for k, a := range c.attempts {
		b := fleet.Servers[k.server]
		switch {
		case b == nil || slices.Contains(b.Versions, k.VersionRef) == c.isPlanned(k) && !now.Before(a.blockedUntil):
			delete(c.attempts, k)
		case a.loading && !now.Before(a.retryAt):
			a.loading = false
		}
	}
	for ref := range c.withdrawnSince {
		if v := view.Catalogue.FindVersion(ref); v != nil && !v.Withdrawn {
			delete(c.withdrawnSince, ref)
		}
	}
	for ref := range fleet.ByVersion {
		if v := view.Catalogue.FindVersion(ref); v != nil && v.Withdrawn && c.withdrawnSince[ref].IsZero() {
			c.withdrawnSince[ref] = now
		}
	}
}

func (c *Controller) isPlanned(k loadKey) bool {
	_, ok := c.plan[k]
	return ok
}

// dueOrders returns an order for each difference between plan and announcements, the most urgent first.
func (c *Controller) dueOrders(now time.Time, fleet *blackboard.Fleet) []dueOrder {
	var orders []dueOrder
	for k, priority := range c.plan {
		b := fleet.Servers[k.server]
		if b == nil || !mayLoad(b) || slices.Contains(b.Versions, k.VersionRef) || !c.mayOrder(now, k) {
			continue
		}
		if holders := fleet.ByVersion[k.VersionRef]; priority == priorityRestore && (len(holders) == 0 || utilization(holders) > maxUtilization) {
			priority = priorityShortage
		}
		orders = append(orders, dueOrder{k, b.Address, ActionLoad, priority})
	}
	for ref, since := range c.withdrawnSince {
		if now.Sub(since) < unloadDelay {
			continue
		}
		for _, b := range fleet.ByVersion[ref] {
			if k := (loadKey{b.ID, ref}); c.mayOrder(now, k) {
				orders = append(orders, dueOrder{k, b.Address, ActionUnload, priorityRestore})
			}
		}
	}
	slices.SortFunc(orders, func(a, b dueOrder) int {
		// Unloads need no weights and go first.
		return cmp.Or(-cmp.Compare(a.action, b.action), cmp.Compare(a.priority, b.priority), cmp.Compare(a.server, b.server),
			cmp.Compare(a.String(), b.String()))
	})
	return orders
}

func (c *Controller) mayOrder(now time.Time, k loadKey) bool {
	a := c.attempts[k]
	return a == nil || !now.Before(a.retryAt)
}

// reserveLoad takes a token for one load and reports whether there was one. Loads that do not finish mean that the weight
// store is slow, so the loads in progress are limited to the number that it allows in a minute.
func (c *Controller) reserveLoad(now time.Time) bool {
	loading := 0
	for _, a := range c.attempts {
		if a.loading {
			loading++
		}
	}
	return loading < max(1, int(c.loadTokens.perMinute)) && c.loadTokens.take(now)
}

func (c *Controller) refreshLoadLimit(ctx context.Context, now time.Time) {
	if c.WeightStoreURL == "" || !c.limitRequestedAt.IsZero() && now.Sub(c.limitRequestedAt) < loadLimitInterval {
		return
	}
	c.limitRequestedAt = now
	c.wg.Go(func() {
		limit, err := fetchLoadLimit(ctx, c.client, c.WeightStoreURL)
		if err != nil {
			c.Log.Warn("can't read the load limit of the weight store", "error", err.Error())
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.loadTokens.setRate(now, limit)
	})
}

// startOrder sends an order in the background. The caller holds c.mu.
func (c *Controller) startOrder(ctx context.Context, now time.Time, due dueOrder) {
	c.inFlight[due.server] = true
	term := c.term
	c.wg.Go(func() {
		fence, err := c.sendOrder(ctx, now, term, due.address, Order{Action: due.action, Version: due.VersionRef.String()})
		c.reportOrder(due.server, due.VersionRef.String(), due.action, due.priority.String(), fence, err)
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.term != term {
			return
		}
		delete(c.inFlight, due.server)
		c.recordResult(now, due, err)
	})
}

// sendOrder commits a fencing number and sends the order with it.
func (c *Controller) sendOrder(ctx context.Context, now time.Time, term uint64, address string, o Order) (controlstate.Fence, error) {
	fenceCtx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	result, err := c.Proposer.ProposeCommand(fenceCtx, &controlstate.Command{At: now, NextFence: &controlstate.NextFence{Term: term}})
	if err != nil {
		return controlstate.Fence{}, Error.Wrap(err)
	}
	fence, ok := result.(controlstate.Fence)
	if !ok {
		return controlstate.Fence{}, Error.New("unexpected result %T of a fencing number", result)
	}
	o.Term, o.Index = fence.Term, fence.Index
	return fence, c.sender.send(ctx, address, o)
}

func (c *Controller) recordResult(now time.Time, due dueOrder, err error) {
	a := c.attempts[due.loadKey]
	if a == nil {
		a = &attempt{}
		c.attempts[due.loadKey] = a
	}
	if err == nil {
		a.failures, a.loading, a.retryAt = 0, due.action == ActionLoad, now.Add(loadTimeout)
		return
	}
	a.failures++
	a.retryAt = now.Add(min(retryDelay<<min(a.failures-1, 10), maxRetryDelay))
	if a.failures >= failuresBeforeBlock && ErrRefused.Has(err) {
		a.failures, a.blockedUntil = 0, now.Add(blockTime)
	}
}

func (c *Controller) reportOrder(server, version string, action Action, reason string, fence controlstate.Fence, err error) {
	result := "accepted"
	if err != nil {
		result = err.Error()
	}
	c.Recorder.Record(event.Event{
		Kind: EventOrder, BackendServer: server, Version: version, Reason: reason,
		Detail: map[string]string{
			"action": string(action), "term": strconv.FormatUint(fence.Term, 10),
			"index": strconv.FormatUint(fence.Index, 10), "result": result,
		},
	})
	c.Log.Info("order sent", "server", server, "version", version, "action", action, "reason", reason,
		"term", fence.Term, "index", fence.Index, "result", result)
}
