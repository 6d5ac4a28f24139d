package entry

import (
	"cmp"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/problem"
)

// meterPlacement counts an attempt of a routed request in the use of its workspace, and returns its cost.
func (h *Handler) meterPlacement(rq *request, placed *placement) (cost float64) {
	if h.cfg.Meter == nil {
		return 0
	}
	cost = h.pricedCost(rq)
	if rq.askedMetered {
		h.cfg.Meter.Placed(rq.workspaceName(), cost, time.Now())
	} else {
		h.cfg.Meter.Served(rq.workspaceName(), cost, time.Now())
	}
	rq.askedMetered = false
	if placed.queued {
		h.cfg.Meter.WaitBegan(cost)
		placed.waitingCost = cost
	}
	return cost
}

// meterFirstByte counts the end of the wait for a slot at the backend server.
func (h *Handler) meterFirstByte(placed *placement) {
	if placed.waitingCost > 0 {
		h.cfg.Meter.WaitEnded(placed.waitingCost)
		placed.waitingCost = 0
	}
}

// meterWait counts a routed request that begins to wait here because there is no capacity for it. Waits for other reasons are no demand for
// capacity.
func (h *Handler) meterWait(w *wait, p *problem.Problem) {
	if h.cfg.Meter == nil || w.rq.routed == nil || p.Reason != problem.Overloaded || w.waitingCost > 0 {
		return
	}
	w.waitingCost = h.pricedCost(w.rq)
	h.cfg.Meter.WaitBegan(w.waitingCost)
	if !w.rq.askedMetered {
		w.rq.askedMetered = true
		h.cfg.Meter.Asked(w.rq.workspaceName(), w.waitingCost, time.Now())
	}
}

// meterWaitEnd counts the end of a wait that meterWait counted.
func (h *Handler) meterWaitEnd(w *wait) {
	if w.waitingCost > 0 {
		h.cfg.Meter.WaitEnded(w.waitingCost)
		w.waitingCost = 0
	}
}

// meterEnd counts the end of an attempt. It takes back one that did not run, for instance because the backend server was full.
func (h *Handler) meterEnd(rq *request, cost float64, f *attemptError) {
	switch {
	case h.cfg.Meter == nil:
	case f != nil && (f.notRun || !f.wrote):
		h.cfg.Meter.NotRun(rq.workspaceName(), cost, time.Now())
	default:
		h.cfg.Meter.Ended(cost, time.Now())
	}
}

// meterRefusal counts a routed request that no backend server had capacity for. Other refusals are no demand for capacity.
func (h *Handler) meterRefusal(rq *request, p *problem.Problem) {
	if h.cfg.Meter == nil || rq.mayHaveRun || rq.askedMetered {
		return
	}
	if p.Reason == problem.Overloaded || p.Reason == problem.DeadlineExceeded || len(rq.busyServers) > 0 {
		h.cfg.Meter.Refused(rq.workspaceName(), h.pricedCost(rq), time.Now())
	}
}

const (
	// outputTokenCost is the cost of an output token in prompt tokens, by the prices of catalogue.EngineModel.
	outputTokenCost = 4
	// requestCost is the cost of each request, in prompt tokens, beyond the sizes that the caller states. Many callers state none, and
	// requests to pools without engines have none. The requests of a workspace would otherwise count nothing.
	requestCost = 400
	// maxStatedTokens bounds each size that a caller states. It is more than the context of today's models.
	maxStatedTokens = 1_000_000
)

// pricedCost returns the expected cost of a routed request in thousands of prompt tokens of the most expensive model.
func (h *Handler) pricedCost(rq *request) float64 {
	call := rq.routed
	var engine *catalogue.Engine
	if view := h.cfg.Board.View.Load(); view.View != nil && view.Catalogue != nil {
		engine = view.Catalogue.PoolOf(call.service).Engine
	}
	_, timeRatio := rankAndTimeRatio(call.route, engine, cmp.Or(call.model, call.Model))
	tokens := boundTokens(call.PromptTokens) + outputTokenCost*boundTokens(call.OutputHint) + requestCost
	return tokens * timeRatio / 1000
}

func boundTokens(n int) float64 { return float64(min(max(n, 0), maxStatedTokens)) }
