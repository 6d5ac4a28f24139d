package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/limits"
	"clementinetray/server/routing"
)

// slotTurns bounds how many backend servers without a free slot are tried before the request waits.
const slotTurns = 4

// placement is the right to send one attempt to a backend server.
type placement struct {
	server *control.BackendServer
	// begun notes that the first byte of the answer came; nil when nobody counts that.
	begun func()
	// patience is how long the first byte may take before another backend server is asked; 0: as long as the request may.
	patience time.Duration
	// release gives back slots and the running count. It may be called more than once.
	release func()
}

// snapshot returns what decisions depend on, or a problem when the view is too old.
func (h *Handler) snapshot() (*routing.Snapshot, *problem.Problem) {
	now := time.Now()
	if p := h.checkView(now); p != nil {
		return nil, p
	}
	view, fleet, ratings := h.cfg.Board.View.Load(), h.cfg.Board.Fleet.Load(), h.cfg.Board.Ratings.Load()
	return &routing.Snapshot{
		View: view.View, Fleet: &fleet, Ratings: &ratings, Now: now,
		AvailabilityZone: h.cfg.AvailabilityZone, Region: h.cfg.Region,
		Sent: h.sent.get, SuspectUntil: h.suspects.get,
	}, nil
}

// place decides for a version and a backend server and takes the slots that they need. While each candidate is full it waits
// in the queue, before anything is dispatched.
func (h *Handler) place(ctx context.Context, rq *request) (*placement, *problem.Problem) {
	var waiting *waiter
	defer func() {
		if waiting != nil {
			h.queue.leave(waiting)
		}
	}()
	began := time.Now()
	for {
		_, fleetChanged := h.cfg.Board.Fleet.Watch()
		placed, p := h.tryPlace(ctx, rq, waiting)
		if p == nil {
			return placed, nil
		}
		if !rq.fixed {
			// A request that waits must not hold what a better one needs.
			rq.dropVersion()
		}
		if expired := h.expired(ctx, rq); expired != nil {
			return nil, expired
		}
		if p.Reason != problem.Overloaded && p.Reason != problem.NoBackendServer || rq.noWait {
			return nil, p
		}
		if waiting == nil {
			waiting = h.newWaiter(rq)
			h.queue.enter(waiting)
		}
		h.queue.setPool(waiting, rq.pool())
		if refused := h.queue.wait(ctx, waiting, fleetChanged, h.waitUntil(rq, began, p.Reason), p); refused != nil {
			if expired := h.expired(ctx, rq); expired != nil {
				return nil, expired
			}
			return nil, refused
		}
		rq.readmitBusy()
	}
}

// newWaiter returns the request's place in the order of waiting requests.
func (h *Handler) newWaiter(rq *request) *waiter {
	w := rq.route.Workspace
	if rq.routed != nil {
		return h.newRoutedWaiter(rq)
	}
	return &waiter{
		Waiting: limits.Waiting{Priority: rq.priority(), Use: float64(h.usage.get(w.Name)), Weight: w.Weight, Since: time.Now()},
		pool:    rq.pool(), wake: make(chan struct{}, 1), refused: make(chan struct{}),
	}
}

// pool names the backend servers that the request competes for. It is empty for a request that may not use each of them, so that
// no other request waits behind it.
func (rq *request) pool() string {
	switch {
	case rq.crashes > 0 || len(rq.route.Exclude) > 0:
		return ""
	case rq.route.Service != "":
		return "service/" + rq.route.Service
	default:
		return rq.version.String()
	}
}

func (rq *request) priority() int {
	if rq.routed != nil {
		return -rq.rank()
	}
	if rq.class == nil {
		return 0
	}
	return rq.class.Priority
}

// waitUntil is the end of the wait for a backend server. A pinned session waits up to the deadline for its version's pool.
func (h *Handler) waitUntil(rq *request, began time.Time, reason problem.Reason) time.Time {
	if rq.routed != nil {
		return rq.waitLimit(began, reason)
	}
	until := began.Add(h.cfg.MaxWait)
	if rq.tries > 0 {
		until = began.Add(h.cfg.RetryWait)
	}
	if pinned(&rq.route) && reason == problem.NoBackendServer {
		until = began.Add(h.cfg.SessionWait)
		if d := rq.route.Deadline; !d.IsZero() {
			return d
		}
	}
	if d := rq.route.Deadline; !d.IsZero() && d.Before(until) {
		return d
	}
	return until
}

// expired returns a problem when the deadline has passed or the caller is gone.
func (h *Handler) expired(ctx context.Context, rq *request) *problem.Problem {
	d := rq.route.Deadline
	if ctx.Err() == nil && (d.IsZero() || time.Now().Before(d)) {
		return nil
	}
	return problem.New(problem.DeadlineExceeded, "the deadline has passed or the caller is gone")
}

// tryPlace places the request now or says why it can't. waiting is its place in the queue, nil on the first try.
func (h *Handler) tryPlace(ctx context.Context, rq *request, waiting *waiter) (*placement, *problem.Problem) {
	if rq.routed != nil {
		return h.tryPlaceRouted(ctx, rq, waiting)
	}
	snap, p := h.snapshot()
	if p != nil {
		return nil, p
	}
	if waiting != nil && h.queue.outranks(waiting, nil) {
		return nil, problem.New(problem.Overloaded, "other requests wait for "+rq.pool()).After(time.Second)
	}
	isModel := rq.route.Service == ""
	if isModel && !rq.fixed && (rq.releaseVersion == nil || rq.revision != snap.View.Revision) {
		if p := h.chooseVersion(ctx, rq, snap); p != nil {
			return nil, p
		}
	}
	if waiting == nil && h.queue.outranks(nil, func() *waiter { return h.newWaiter(rq) }) {
		return nil, problem.New(problem.Overloaded, "other requests wait for "+rq.pool()).After(time.Second)
	}
	route := rq.route
	for range slotTurns {
		choice, p := h.cfg.Router.ChooseServer(snap, &route, rq.version, rq.rng)
		if p != nil {
			return nil, p
		}
		if h.isFull(&choice) {
			break
		}
		release, ok := h.takeSlots(ctx, rq, &choice)
		if ok {
			h.recordServer(rq, choice.Server, "server_chosen", choice.Reasons...)
			return &placement{server: choice.Server, release: release}, nil
		}
		if rq.slotRefusals++; rq.slotRefusals <= slotTurns {
			h.recordServer(rq, choice.Server, "slot_refused")
		}
		if ctx.Err() != nil {
			break
		}
		route.Exclude = maps.Clone(route.Exclude)
		route.Exclude[choice.Server.ID] = true
	}
	return nil, problem.New(problem.Overloaded, "each backend server of "+rq.version.String()+" is full").After(time.Second)
}

// isFull says that the best backend server in service has as much to do as it may get. One that needs a slot is full when it has none.
func (h *Handler) isFull(choice *routing.ServerChoice) bool {
	b := choice.Server
	load := float64(b.Running + b.Queued + h.sent.get(b.ID))
	return !choice.NeedsSlot && load >= h.cfg.FullLoad*float64(max(b.Capacity, 1))
}

// takeSlots takes the slots that a dispatch to the chosen backend server needs and counts it as running there.
func (h *Handler) takeSlots(ctx context.Context, rq *request, choice *routing.ServerChoice) (release func(), ok bool) {
	var keys []control.SlotKey
	if rq.crashes > 0 {
		keys = append(keys, limits.SuspectSlot(choice.Server.ID))
	}
	if choice.NeedsSlot {
		keys = append(keys, limits.ServerSlots(choice.Server.ID, choice.Server.Boot))
	}
	releases := []func(){h.sent.add(choice.Server.ID, time.Now())}
	pool, placed := rq.pool(), false
	var once sync.Once
	release = func() {
		once.Do(func() {
			for _, r := range releases {
				r()
			}
			// A refused slot frees nothing. Waking for it would make the refused request itself look again at once.
			if placed {
				h.queue.wakeFirst(pool)
			}
		})
	}
	// A panic before the placement is used gives it back too.
	rq.releasePlace = release
	for _, key := range keys {
		r, granted := h.slots.acquire(ctx, key, rq.nextSlotID())
		if !granted {
			release()
			return nil, false
		}
		releases = append(releases, r)
	}
	placed = true
	return release, true
}
