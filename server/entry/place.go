package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/admission"
	"clementinetray/server/balance"
	"clementinetray/server/limits"
	"clementinetray/server/routing"
)

// maxSlotAttempts is the largest number of backend servers whose slots are requested before the request waits.
const maxSlotAttempts = 4

// placement is a backend server chosen for one attempt, with the slots acquired for it.
type placement struct {
	server *control.BackendServer
	// onFirstByte is called at the first byte of the answer. It is set for routed requests only.
	onFirstByte func()
	// firstByteTimeout is how long to wait for the first byte of the answer before another backend server is tried. 0 sets
	// no limit besides that of the request.
	firstByteTimeout time.Duration
	// cold is true if the backend server of a routed request is cold.
	cold bool
	// sent is the record of a routed request in the load balancing.
	sent *balance.Sent
	// queued is true if the backend server had no free slot, as far as its load is known. waitingCost is what the use of the workspace counts
	// as waiting there, 0 from the first byte of the answer on.
	queued      bool
	waitingCost float64
	// release releases the slots and removes the request from the backend server's running requests. It may be called more than
	// once.
	release func()
}

// routingSnapshot returns the state that routing decisions are based on, or a problem when the view is too old.
func (h *Handler) routingSnapshot() (*routing.Snapshot, *problem.Problem) {
	now := time.Now()
	if p := h.checkViewAge(now); p != nil {
		return nil, p
	}
	view, fleet, ratings := h.cfg.Board.View.Load(), h.cfg.Board.Fleet.Load(), h.cfg.Board.Ratings.Load()
	return &routing.Snapshot{
		View: view.View, Fleet: &fleet, Ratings: &ratings, Now: now,
		AvailabilityZone: h.cfg.AvailabilityZone, Region: h.cfg.Region,
		LoadCorrection: h.loadCorrections.get, AvoidUntil: h.suspectUntil.get, StatementOf: h.statements.lookup(), RefusedColdTime: func(server, boot string, coldTime time.Duration) time.Duration {
			return h.restarts.ColdFor(now, server, boot, coldTime)
		},
	}, nil
}

// place chooses a version and a backend server and acquires the slots that they need. While every candidate is full the
// request waits in the queue; nothing has been dispatched for this attempt yet.
func (h *Handler) place(ctx context.Context, rq *request) (placed *placement, p *problem.Problem) {
	w := &wait{h: h, rq: rq, start: time.Now()}
	// Also after a panic: other requests must not wait behind one that has ended.
	defer func() { w.end(p) }()
	return w.run(ctx)
}

// wait is the search for a backend server for one attempt, with the time in the queue.
type wait struct {
	h     *Handler
	rq    *request
	start time.Time
	// queue is the queue that waiter is in; both are nil while the request is not queued.
	queue  *admission.Queue
	waiter *admission.Waiter
	// ahead is the number of waiting requests with overload control that came before this one at the last try.
	ahead int
	// waitingCost is what the use of the workspace counts as waiting here, 0 before the wait.
	waitingCost float64
}

func (w *wait) run(ctx context.Context) (*placement, *problem.Problem) {
	h, rq := w.h, w.rq
	for {
		_, fleetChanged := h.cfg.Board.Fleet.Watch()
		placed, p := h.tryPlace(ctx, rq, w)
		if p == nil {
			return placed, nil
		}
		if !rq.versionFixed {
			// A waiting request must not occupy limits that a request of higher priority needs.
			rq.releaseVersionLimits()
		}
		if expired := h.checkExpired(ctx, rq); expired != nil {
			return nil, expired
		}
		if p.Reason != problem.Overloaded && p.Reason != problem.NoBackendServer || rq.noWait {
			return nil, p
		}
		w.enqueue()
		h.meterWait(w, p)
		switch w.queue.Wait(ctx, w.waiter, fleetChanged, h.waitDeadline(rq, w.start, p.Reason), w.ahead) {
		case admission.TryAgain:
		case admission.Refused:
			p = problem.New(problem.Overloaded, "requests of a higher class or of a smaller share wait already").WithRetryAfter(h.overflowRetryAfter(rq))
			fallthrough
		default:
			if expired := h.checkExpired(ctx, rq); expired != nil {
				return nil, expired
			}
			return nil, p
		}
		rq.includeBusyServers()
	}
}

// enqueue puts the request into the queue that it belongs to, or updates its entry there.
func (w *wait) enqueue() {
	now, queue := time.Now(), w.h.queueOf(w.rq)
	if w.queue != nil && w.queue != queue {
		w.queue.Remove(now, w.waiter)
		w.queue = nil
	}
	if w.queue == nil {
		w.queue, w.waiter = queue, w.h.newWaiter(w.rq)
		queue.Enqueue(now, w.waiter)
	}
	if routed := w.rq.routed; routed != nil {
		queue.Update(w.waiter, w.rq.poolName(), routed.admission, routed.decision.Held)
		return
	}
	queue.Update(w.waiter, w.rq.poolName(), nil, false)
}

// end takes the request out of the queue. p is nil if it has a backend server now.
func (w *wait) end(p *problem.Problem) {
	if w.queue != nil {
		w.queue.Remove(time.Now(), w.waiter)
	}
	w.h.meterWaitEnd(w)
	w.h.recordWaitEnd(w, p)
}

// queueOf returns the queue in which the request waits. Requests with overload control have a queue of their own, as the two orders
// can't be compared.
func (h *Handler) queueOf(rq *request) *admission.Queue {
	if rq.routed != nil && rq.routed.controlled {
		return h.controlledQueue
	}
	return h.queue
}

// isOutranked reports whether a waiting request without overload control comes before this one. w may have no queue entry yet.
func (h *Handler) isOutranked(rq *request, w *wait) bool {
	waiter := w.waiter
	if w.queue != h.queue {
		waiter = nil
	}
	return h.queue.IsOutranked(time.Now(), waiter, func() *admission.Waiter { return h.newWaiter(rq) })
}

// newWaiter returns the queue entry of a request that is about to wait.
func (h *Handler) newWaiter(rq *request) *admission.Waiter {
	name, weight := rq.workspaceName(), 0.0
	if w := rq.route.Workspace; w != nil {
		weight = w.Weight
	}
	var controlled *admission.Request
	if rq.routed != nil {
		controlled = rq.routed.admission
	}
	return admission.NewWaiter(rq.poolName(), admission.QueuedRequest{
		Priority: rq.priority(), Use: float64(h.runningByWorkspace.get(name)), Weight: weight, Since: time.Now(),
	}, controlled)
}

// poolName returns the name of the set of backend servers that the request competes for. It is empty for a request that may use
// only some of them, so that no other request waits behind it.
func (rq *request) poolName() string {
	switch {
	case rq.crashes > 0 || rq.heldForPart || len(rq.route.Exclude) > 0:
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

// waitDeadline returns when the wait for a backend server ends. While the pool of its session's version is empty, a request
// waits up to its deadline, or for SessionWait if it has no deadline.
func (h *Handler) waitDeadline(rq *request, start time.Time, reason problem.Reason) time.Time {
	if rq.routed != nil {
		return rq.waitDeadline(start, reason)
	}
	end := start.Add(h.cfg.MaxWait)
	if rq.countedAttempts > 0 {
		end = start.Add(h.cfg.RetryWait)
	}
	if usesSessionPin(&rq.route) && reason == problem.NoBackendServer {
		end = start.Add(h.cfg.SessionWait)
		if d := rq.route.Deadline; !d.IsZero() {
			return d
		}
	}
	if d := rq.route.Deadline; !d.IsZero() && d.Before(end) {
		return d
	}
	return end
}

// checkExpired returns a problem when the deadline has passed, the caller has disconnected or the instance stopped.
func (h *Handler) checkExpired(ctx context.Context, rq *request) *problem.Problem {
	d := rq.route.Deadline
	if ctx.Err() == nil && (d.IsZero() || time.Now().Before(d)) {
		return nil
	}
	if errStopping.Has(context.Cause(ctx)) {
		return rq.stoppedProblem()
	}
	return problem.New(problem.DeadlineExceeded, "the deadline has passed or the caller is gone")
}

// tryPlace places the request without waiting, or returns the reason why it can't.
func (h *Handler) tryPlace(ctx context.Context, rq *request, waiting *wait) (*placement, *problem.Problem) {
	if rq.routed != nil {
		return h.tryPlaceRouted(ctx, rq, waiting)
	}
	snap, p := h.routingSnapshot()
	if p != nil {
		return nil, p
	}
	if p := h.checkPartQuarantine(rq, snap.Now); p != nil {
		return nil, p
	}
	if waiting.queue != nil && h.isOutranked(rq, waiting) {
		return nil, problem.New(problem.Overloaded, "other requests wait for "+rq.poolName()).WithRetryAfter(time.Second)
	}
	isModel := rq.route.Service == ""
	if isModel && !rq.versionFixed && (rq.releaseVersion == nil || rq.revision != snap.View.Revision) {
		if p := h.chooseVersion(ctx, rq, snap); p != nil {
			return nil, p
		}
	}
	if waiting.queue == nil && h.isOutranked(rq, waiting) {
		return nil, problem.New(problem.Overloaded, "other requests wait for "+rq.poolName()).WithRetryAfter(time.Second)
	}
	route := rq.route
	for range maxSlotAttempts {
		choice, p := h.cfg.Router.ChooseServer(snap, &route, rq.version, rq.rng)
		if p != nil {
			return nil, p
		}
		if h.isFull(&choice) {
			break
		}
		release, ok := h.acquireSlots(ctx, rq, &choice)
		if ok {
			h.recordServerEvent(rq, choice.Server, "server_chosen", choice.Reasons...)
			return &placement{server: choice.Server, release: release}, nil
		}
		if rq.slotRefusals++; rq.slotRefusals <= maxSlotAttempts {
			h.recordServerEvent(rq, choice.Server, "slot_refused")
		}
		if ctx.Err() != nil {
			break
		}
		route.Exclude = maps.Clone(route.Exclude)
		route.Exclude[choice.Server.ID] = true
	}
	return nil, problem.New(problem.Overloaded, "each backend server of "+rq.version.String()+" is full").WithRetryAfter(time.Second)
}

// isFull reports whether a chosen backend server that needs no slot has reached its load limit. It returns false for one that
// needs a slot, as acquiring the slot decides that.
func (h *Handler) isFull(choice *routing.ServerChoice) bool {
	b := choice.Server
	load := float64(b.Running + b.Queued + h.loadCorrections.get(b.ID))
	return !choice.NeedsSlot && load >= h.cfg.FullLoad*float64(max(b.Capacity, 1))
}

// acquireSlots acquires the slots that a dispatch to the chosen backend server needs and counts the request as running there.
// release undoes both. ok is false, and release nil, if a slot was refused.
func (h *Handler) acquireSlots(ctx context.Context, rq *request, choice *routing.ServerChoice) (release func(), ok bool) {
	var keys []control.SlotKey
	if rq.crashes > 0 {
		keys = append(keys, limits.SuspectSlotKey(choice.Server.ID))
	}
	if choice.NeedsSlot {
		keys = append(keys, limits.ServerSlotKey(choice.Server.ID, choice.Server.Boot))
	}
	releases := []func(){h.loadCorrections.add(choice.Server.ID, time.Now())}
	pool, allGranted := rq.poolName(), false
	var once sync.Once
	release = func() {
		once.Do(func() {
			for _, r := range releases {
				r()
			}
			// Nothing becomes free when a slot was refused. A wake-up would only make the refused request try again at once.
			if allGranted {
				h.queue.WakeFirst(time.Now(), pool)
			}
		})
	}
	// request.close releases the placement too, in case of a panic before the placement is used.
	rq.releasePlace = release
	for _, key := range keys {
		r, granted := h.slots.acquire(ctx, key, rq.nextSlotID())
		if !granted {
			release()
			return nil, false
		}
		releases = append(releases, r)
	}
	allGranted = true
	return release, true
}
