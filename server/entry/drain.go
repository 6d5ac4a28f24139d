package entry

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/problem"
)

// ErrDrain is returned by Drain when ctx ended first.
var ErrDrain = errs.Class("drain")

// enter counts a request as open, or refuses it when the instance is stopping.
func (h *Handler) enter() *problem.Problem {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return problem.New(problem.Stopping, "the instance is stopping").Unrun()
	}
	h.open++
	h.metrics.openRequests.Set(float64(h.open))
	return nil
}

// hold counts one more goroutine that works for an open request.
func (h *Handler) hold() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open++
	h.metrics.openRequests.Set(float64(h.open))
}

func (h *Handler) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open--
	h.metrics.openRequests.Set(float64(h.open))
	if h.draining && h.open == 0 {
		h.closeIdle()
	}
}

func (h *Handler) closeIdle() {
	select {
	case <-h.idle:
	default:
		close(h.idle)
	}
}

// enterRouted is enter for a routed request. A stream that begins late in a stop would be cut, so it is refused earlier.
func (h *Handler) enterRouted(stream bool) *problem.Problem {
	h.mu.Lock()
	late := stream && h.leaving && time.Since(h.leavingSince) >= h.cfg.ServeLeavingStreams
	h.mu.Unlock()
	if late {
		return problem.New(problem.Stopping, "the instance is stopping and a stream may outlast it").Unrun().After(stoppingRetry)
	}
	return h.enter()
}

// stoppingRetry is the time after which a caller may come back through another instance.
const stoppingRetry = 50 * time.Millisecond

func (h *Handler) isLeaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving
}

// serveLeaving reports not ready and goes on serving for a while, as the load balancer sends new requests until it has
// noticed.
func (h *Handler) serveLeaving(ctx context.Context) {
	h.mu.Lock()
	h.leaving, h.leavingSince = true, time.Now()
	h.mu.Unlock()
	if h.cfg.ServeLeaving <= 0 {
		return
	}
	select {
	case <-time.After(h.cfg.ServeLeaving):
	case <-ctx.Done():
	}
}

// Drain stops the handler gracefully: it reports not ready, refuses new requests as not run, waits for each open request
// and stream however long it takes, and then for bills, call records and slots to reach the control group. It returns an error
// only when ctx ends first; what is left is named in it.
func (h *Handler) Drain(ctx context.Context) error {
	h.serveLeaving(ctx)
	h.mu.Lock()
	h.draining = true
	if h.open == 0 {
		h.closeIdle()
	}
	h.mu.Unlock()
	h.cfg.Log.Info("draining")
	select {
	case <-h.idle:
	case <-ctx.Done():
		h.mu.Lock()
		defer h.mu.Unlock()
		return ErrDrain.New("%d requests are open", h.open)
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
