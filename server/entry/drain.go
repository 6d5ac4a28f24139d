package entry

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/problem"
)

// ErrDrain is returned by Drain when ctx ends first.
var ErrDrain = errs.Class("drain")

// beginRequest counts a request as open, or refuses it when the instance is stopping.
func (h *Handler) beginRequest() *problem.Problem {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return problem.New(problem.Stopping, "the instance is stopping").MarkNotRun()
	}
	h.openCount++
	h.metrics.openRequests.Set(float64(h.openCount))
	return nil
}

// beginBackground counts a goroutine that works for a request as one more open request, so that Drain waits for it too.
func (h *Handler) beginBackground() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.openCount++
	h.metrics.openRequests.Set(float64(h.openCount))
}

// endRequest records the end of a request that beginRequest counted, or of a goroutine that beginBackground counted.
func (h *Handler) endRequest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.openCount--
	h.metrics.openRequests.Set(float64(h.openCount))
	if h.draining && h.openCount == 0 {
		h.signalIdle()
	}
}

func (h *Handler) signalIdle() {
	select {
	case <-h.idle:
	default:
		close(h.idle)
	}
}

// checkStop refuses a request that may outlast a stop.
func (h *Handler) checkStop(limit time.Time, stream bool) *problem.Problem {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.stopping || !mayOutlastStop(time.Since(h.stoppingSince), h.cfg.StreamDrainDelay, limit, h.drainEnd, stream) {
		return nil
	}
	return problem.New(problem.Stopping, "the instance is stopping and the request may outlast it").MarkNotRun().WithRetryAfter(stoppingRetryAfter)
}

// mayOutlastStop reports whether a request may outlast a stop that began stoppingFor ago: a stream, or a request whose time limit is
// later than the end of the drain. Until delay has passed, the load balancer may not know of the stop yet, and no request counts.
func mayOutlastStop(stoppingFor, delay time.Duration, limit, drainEnd time.Time, stream bool) bool {
	if stoppingFor < delay {
		return false
	}
	return stream || !drainEnd.IsZero() && limit.After(drainEnd)
}

// errStopping is the cancellation cause of requests that are open at the end of the drain.
var errStopping = errs.Class("instance stopped")

// withStop returns a context that also ends when the time for open requests is over in a stop.
func (h *Handler) withStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(h.drainEnded, func() { cancel(errStopping.New("the time for open requests is over")) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// stoppedProblem returns the answer to a request that errStopping ended.
func (rq *request) stoppedProblem() *problem.Problem {
	if rq.mayHaveRun || rq.routed == nil && rq.written {
		return problem.New(problem.OutcomeUnknown, "the instance stopped before the backend server had answered; the request may have run")
	}
	return problem.New(problem.Stopping, "the instance stopped before a backend server was free").WithRetryAfter(stoppingRetryAfter)
}

// finalAnswersTime is how long the answers to requests that errStopping ended may take.
const finalAnswersTime = 250 * time.Millisecond

// endOpenRequests ends the requests that are open at the end of the drain and waits until each has its answer. It returns the
// number of those that have none.
func (h *Handler) endOpenRequests() int {
	h.endDrain()
	select {
	case <-h.idle:
	case <-time.After(finalAnswersTime):
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.openCount
}

// stoppingRetryAfter is the Retry-After time of requests that are refused because this instance is stopping. It is short, as
// the retry reaches another instance.
const stoppingRetryAfter = 50 * time.Millisecond

func (h *Handler) isStopping() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopping
}

// waitForLoadBalancer sets the instance to not ready and returns after the configured delay. Until then the instance serves
// requests, as the load balancer sends new ones until its next health check fails.
func (h *Handler) waitForLoadBalancer(ctx context.Context) {
	h.mu.Lock()
	h.stopping, h.stoppingSince = true, time.Now()
	h.drainEnd, _ = ctx.Deadline()
	h.mu.Unlock()
	if h.cfg.DrainDelay <= 0 {
		return
	}
	select {
	case <-time.After(h.cfg.DrainDelay):
	case <-ctx.Done():
	}
}

// Drain stops the handler gracefully. It sets the instance to not ready and refuses new requests with not_run set. Then it
// waits until all requests and streams have ended and the control group has all bills, call records and released slots. When
// ctx ends first, it ends the open requests with an answer that says whether they may have run, and returns an error that says
// what was left.
func (h *Handler) Drain(ctx context.Context) error {
	h.waitForLoadBalancer(ctx)
	h.mu.Lock()
	h.draining = true
	if h.openCount == 0 {
		h.signalIdle()
	}
	h.mu.Unlock()
	h.cfg.Log.Info("draining")
	select {
	case <-h.idle:
	case <-ctx.Done():
		h.mu.Lock()
		open := h.openCount
		h.mu.Unlock()
		return ErrDrain.New("%d requests were open, %d got no answer", open, h.endOpenRequests())
	}
	if left := h.bills.drain(ctx); left > 0 {
		return ErrDrain.New("%d bills are not recorded", left)
	}
	if left := h.finisher.drain(ctx); left > 0 {
		return ErrDrain.New("%d call records are not finished", left)
	}
	if left := h.slots.drain(ctx); left > 0 {
		return ErrDrain.New("%d slots are not released", left)
	}
	h.cfg.Log.Info("drained")
	return nil
}
