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

// beginRouted counts a routed request as open or refuses it. While the instance stops, streams are refused earlier than other
// requests, as they might not end before the process does.
func (h *Handler) beginRouted(stream bool) *problem.Problem {
	h.mu.Lock()
	late := stream && h.stopping && time.Since(h.stoppingSince) >= h.cfg.StreamDrainDelay
	h.mu.Unlock()
	if late {
		return problem.New(problem.Stopping, "the instance is stopping and a stream may outlast it").MarkNotRun().WithRetryAfter(stoppingRetryAfter)
	}
	return h.beginRequest()
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
// waits until all requests and streams have ended and the control group has all bills, call records and released slots. It
// returns an error only when ctx ends first; the error says what was left.
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
		defer h.mu.Unlock()
		return ErrDrain.New("%d requests are open", h.openCount)
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
