package entry

import (
	"slices"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/server/balance"
)

// chooseFirstModel chooses the smallest model when the route and the caller leave the choice to the router.
func (rq *request) chooseFirstModel() {
	if call := rq.routed; len(call.route.Models) > 0 && call.model == "" && call.Model == "" {
		call.model = call.route.Models[0]
	}
}

// lowConfidenceShare is the share of the retry budget that may be spent on larger models after an answer of low confidence.
// The rest is left for failures.
const lowConfidenceShare = 0.92

// chooseLargerModel returns the model to repeat the request with when the confidence of the answer is too low, or an empty
// string when the answer is to be delivered. It never replaces an answer that the caller already has a part of. It takes the
// retry from the retry budget.
func (h *Handler) chooseLargerModel(rq *request, confidence int) string {
	call := rq.routed
	models := call.route.Models
	if confidence < 0 || confidence >= h.cfg.SureConfidence || call.answerStarted || len(models) == 0 || call.model == models[len(models)-1] ||
		rq.countedAttempts >= rq.maxAttempts() {
		return ""
	}
	position := slices.Index(models, call.model)
	wanted := balance.NextModel(position, len(models), confidence, h.cfg.SureConfidence)
	if call.controlled {
		wanted = min(wanted, max(balance.LargestForRank(rq.rank(), h.modelRanks(call.service), len(models)), position))
		left := time.Until(rq.start.Add(call.route.TargetTime()))
		wanted = balance.LargestInTime(position, wanted, left, func(i int) time.Duration { return h.expectedFirstEvent(rq, models[i]) })
		if wanted == position {
			h.cfg.Log.Info("larger_model_late", "request", rq.id, "confidence", confidence, "prompt_tokens", call.PromptTokens, "left", left)
			return ""
		}
	}
	larger := models[wanted]
	pressure, balanceReq := h.modelPressure(rq, larger)
	if threshold := balance.RequiredConfidence(h.cfg.SureConfidence, pressure, balanceReq); confidence >= threshold {
		h.cfg.Log.Info("larger_model_busy", "request", rq.id, "confidence", confidence, "sure", threshold, "pressure", pressure,
			"prompt_tokens", balanceReq.PromptTokens)
		return ""
	}
	if !h.routedBudget(call.service).TryRetryWithinShare(time.Now(), lowConfidenceShare) {
		h.cfg.Log.Info("larger_model_over_budget", "request", rq.id, "confidence", confidence)
		return ""
	}
	return larger
}

// modelRanks returns the ranks of the routes that choose between models of the service.
func (h *Handler) modelRanks(service string) (ranks []int) {
	view := h.cfg.Board.View.Load()
	if view.View == nil || view.Catalogue == nil {
		return nil
	}
	for i := range view.Catalogue.Routes {
		route := &view.Catalogue.Routes[i]
		if len(route.Models) > 0 && slices.ContainsFunc(route.Targets, func(t catalogue.Target) bool { return t.Service == service }) {
			ranks = append(ranks, route.Rank)
		}
	}
	return ranks
}

// modelPressure returns how busy the backend servers are that can run the request with the model, in units of load, and the
// result of balanceRequest for the model. The pressure is 0 if the view is too old.
func (h *Handler) modelPressure(rq *request, model string) (float64, *balance.Request) {
	snap, p := h.routingSnapshot()
	if p != nil {
		return 0, rq.balanceRequest(nil, model)
	}
	balanceReq := rq.balanceRequest(snap.View.Catalogue.PoolOf(rq.routed.service).Engine, model)
	rows, _ := routableServers(snap, rq, h.boundVersion(rq, snap))
	return balance.GroupPressure(h.balance.Candidates(snap.Now, rows, balanceReq), balanceReq), balanceReq
}

// expectedFirstEvent returns the shortest expected time to the first event of the request on the model, 0 if it is not known.
func (h *Handler) expectedFirstEvent(rq *request, model string) (shortest time.Duration) {
	snap, p := h.routingSnapshot()
	if p != nil {
		return 0
	}
	balanceReq := rq.balanceRequest(snap.View.Catalogue.PoolOf(rq.routed.service).Engine, model)
	rows, _ := routableServers(snap, rq, h.boundVersion(rq, snap))
	for _, c := range h.balance.Candidates(snap.Now, rows, balanceReq) {
		if c.Penalty == 0 && !c.Cold && (shortest == 0 || c.FirstEvent < shortest) {
			shortest = c.FirstEvent
		}
	}
	return shortest
}
