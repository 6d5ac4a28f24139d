package entry

import (
	"cmp"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/problem"
)

// meterPlacement counts an attempt of a routed request in the use of its workspace, and returns its cost.
func (h *Handler) meterPlacement(rq *request) (cost float64) {
	if h.cfg.Meter == nil {
		return 0
	}
	cost = h.pricedCost(rq)
	h.cfg.Meter.Served(rq.workspaceName(), cost, time.Now())
	return cost
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
	if h.cfg.Meter == nil || rq.mayHaveRun {
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
