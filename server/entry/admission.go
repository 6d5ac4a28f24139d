package entry

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/admission"
	"clementinetray/server/balance"
	"clementinetray/server/fleet"
	"clementinetray/server/routing"
)

// servicePool returns the name of the pool of a routed request in the learned state. In contrast to poolName it is never empty.
func (rq *request) servicePool() string { return "service/" + rq.routed.service }

// startControl decides whether overload control applies to a routed request, and sets the properties that decisions depend on.
func (h *Handler) startControl(rq *request, now time.Time) {
	call, pool := rq.routed, rq.servicePool()
	// Until and Held belong to the last try; this one may end for another reason.
	call.decision.Until, call.decision.Held = time.Time{}, false
	call.controlled = h.cfg.OverloadControl || h.pools.ReportsWork(now, pool)
	if !call.controlled {
		return
	}
	standing := 0.0
	if h.cfg.Standings != nil {
		if ratio, known := h.cfg.Standings.Standing(rq.workspaceName(), now); known {
			standing = ratio
		}
	}
	r := call.admission
	if r == nil {
		r = &admission.Request{
			Rank: rq.rank(), Standing: standing, Arrived: rq.start, WaitingSince: now, Target: call.route.TargetTime(), Deadline: call.deadline,
			Cost: engineCost(call), Retry: h.pools.WasRejected(now, rq.id), Draw: routing.StableFraction(rq.id, "admission"),
		}
		h.pools.RecordRequest(now, pool, r)
		call.admission = r
	}
	if attempted := rq.countedAttempts > 0 || call.answerStarted; attempted != r.Attempted {
		// Requests in the queue read the properties of others, so that they are never changed.
		changed := *r
		changed.Attempted, changed.WaitingSince = attempted, now
		call.admission = &changed
	}
	if standing != call.admission.Standing {
		changed := *call.admission
		changed.Standing = standing
		call.admission = &changed
	}
}

// engineCost returns the expected engine time of a request in generated tokens; a prompt token costs a quarter of one. Requests
// without tokens all cost 1.
func engineCost(call *routedCall) float64 {
	return max(float64(call.PromptTokens)/4+float64(cmp.Or(call.OutputHint, call.MaxOutputTokens)), 1)
}

// requestsAhead returns how many waiting requests with overload control come before the request, and records the number in w.
func (h *Handler) requestsAhead(rq *request, w *wait, now time.Time) (ahead int, moreUrgent bool) {
	w.ahead = 0
	if !rq.routed.controlled {
		return 0, false
	}
	waiter := w.waiter
	if w.queue != h.controlledQueue {
		waiter = nil
	}
	w.ahead, moreUrgent = h.controlledQueue.Ahead(now, waiter, func() *admission.Waiter { return h.newWaiter(rq) })
	return w.ahead, moreUrgent
}

// isFleetOutdated reports whether the fleet table is too old to reject a request for lateness.
func (h *Handler) isFleetOutdated(snap *routing.Snapshot) bool {
	return snap.Now.Sub(snap.Fleet.ReceivedAt) > fleet.SilentAfter
}

// decideAt records the state of the pool and decides about a request for which a backend server is chosen. It returns nil if the
// request runs now or is not subject to overload control.
func (h *Handler) decideAt(rq *request, snap *routing.Snapshot, candidates []balance.Candidate, servers []*control.BackendServer, best int, r *balance.Request) *problem.Problem {
	reported := false
	for i := range candidates {
		if candidates[i].WorkPercent > 0 {
			reported = true
			break
		}
	}
	if !rq.routed.controlled {
		if reported {
			h.pools.Observe(snap.Now, rq.servicePool(), admission.Snapshot{}, false, true)
		}
		return nil
	}
	slots := func(i int) int { return servers[i].Capacity }
	state := admission.SnapshotOf(candidates, slots, best, r, rq.routed.route.TargetTime()*waitSharePercent/100)
	state.Outdated = h.isFleetOutdated(snap)
	state.Part = 1 / float64(max(len(snap.Fleet.Members), 1))
	learned := h.pools.Snapshot(snap.Now, rq.servicePool(), state)
	p := h.decide(rq, snap.Now, &learned)
	h.pools.Observe(snap.Now, rq.servicePool(), state, p != nil && rq.routed.decision.Reason == admission.ReasonFull, reported)
	return p
}

// decide decides about a controlled request and returns nil if it runs now.
func (h *Handler) decide(rq *request, now time.Time, s *admission.Snapshot) *problem.Problem {
	call := rq.routed
	previous := call.decision
	d := admission.Decide(now, call.admission, s)
	call.decision = d
	if d.Action != previous.Action || d.Reason != previous.Reason || d.Action == admission.Run {
		h.metrics.admissions.WithLabelValues(d.Action.String(), string(d.Reason)).Inc()
	}
	if d.Action == admission.Run {
		return nil
	}
	rq.noWait = d.Action == admission.Reject
	p := problem.New(problem.Overloaded, fmt.Sprintf("%s %s: rank %d of %s, %d ahead, load %.2f, first event in %v, start in %v", d.Action, d.Reason,
		call.admission.Rank, call.service, s.Ahead, s.Load, s.FirstEvent, d.ExpectedStart))
	return p.WithRetryAfter(admission.RetryAfter(now, call.admission, s, rand.Float64()))
}

// overflowRetryAfter returns the Retry-After of a request that is refused because the queue is full.
func (h *Handler) overflowRetryAfter(rq *request) time.Duration {
	if rq.routed == nil || !rq.routed.controlled {
		return time.Second
	}
	now := time.Now()
	s := h.pools.LastSnapshot(now, rq.servicePool(), rq.routed.route.TargetTime())
	return admission.RetryAfter(now, rq.routed.admission, &s, rand.Float64())
}

// recordRelease records that a placement ended.
func (h *Handler) recordRelease(rq *request) {
	if rq.routed.controlled {
		h.pools.RecordRelease(time.Now(), rq.servicePool())
	}
}

// recordLoad records a load report for overload control.
func (h *Handler) recordLoad(rq *request, report balance.LoadReport) {
	if rq.routed.controlled {
		h.pools.RecordLoad(time.Now(), rq.servicePool(), report.Running, report.Waiting, report.Slots)
	}
}

// recordFirstEvent records that the caller got the first event of a controlled request now.
func (h *Handler) recordFirstEvent(rq *request) {
	target := rq.routed.route.TargetTime()
	h.recordAdmissionOutcome(rq, target > 0 && time.Since(rq.start) > target)
}

// recordNotServed records that the caller gets no answer of a backend server. A caller that leaves before its target time has passed
// says nothing about the pool.
func (h *Handler) recordNotServed(rq *request, callerLeft bool) {
	if callerLeft && time.Since(rq.start) < rq.routed.route.TargetTime() {
		return
	}
	h.recordAdmissionOutcome(rq, true)
}

// recordAdmissionOutcome records once whether a controlled request was late.
func (h *Handler) recordAdmissionOutcome(rq *request, late bool) {
	call := rq.routed
	if !call.controlled || call.outcomeRecorded {
		return
	}
	call.outcomeRecorded = true
	h.pools.RecordOutcome(time.Now(), rq.servicePool(), call.admission, late)
}

// recordWaitEnd records and logs how the search for a backend server ended. p is nil if the request has one.
func (h *Handler) recordWaitEnd(w *wait, p *problem.Problem) {
	rq, now := w.rq, time.Now()
	if rq.routed == nil || !rq.routed.controlled {
		return
	}
	outcome := "run"
	if p != nil {
		outcome = string(p.Reason)
		left := rq.routed.deadline.Sub(now)
		if (p.Reason == problem.Overloaded || p.Reason == problem.NoBackendServer) && p.RetryAfter > left/3 {
			// Refusals for other reasons than a decision, such as servers that are all cold, have a fixed time.
			p.RetryAfter = admission.SpreadRetry(p.RetryAfter, left, rand.Float64())
		}
		if p.Reason == problem.Overloaded && !rq.mayHaveRun {
			h.pools.RecordRejected(now, rq.id, rq.routed.deadline)
		}
		if p.Reason == problem.Overloaded && rq.routed.decision.Action == admission.Wait {
			h.metrics.admissions.WithLabelValues(admission.Reject.String(), string(rq.routed.decision.Reason)).Inc()
		}
	}
	if w.queue == nil {
		return
	}
	h.cfg.Log.LogAttrs(context.Background(), slog.LevelInfo, "wait_ended", slog.String("request", rq.id), slog.String("route", rq.routed.route.Name),
		slog.String("workspace", rq.workspaceName()), slog.Int("rank", rq.rank()), slog.String("outcome", outcome),
		slog.String("reason", string(rq.routed.decision.Reason)), slog.Duration("waited", now.Sub(w.start)),
		slog.Duration("left", rq.routed.deadline.Sub(now)), slog.Bool("retry", rq.routed.admission.Retry))
}
