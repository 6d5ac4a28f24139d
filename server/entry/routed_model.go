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
// string when the answer is to be delivered. It never replaces an answer that the caller already has a part of, or one to a request that
// may run once only: the request ran for the answer that would be dropped. It takes the retry from the retry budget.
func (h *Handler) chooseLargerModel(rq *request, confidence int) string {
	call := rq.routed
	models := call.route.Models
	if confidence < 0 || confidence >= h.cfg.SureConfidence || call.answerStarted || len(models) == 0 || call.model == models[len(models)-1] ||
		!call.route.Repeatable() || rq.countedAttempts >= rq.maxAttempts() {
		return ""
	}
	model, outcome := h.decideLargerModel(rq, confidence)
	h.metrics.largerModels.WithLabelValues(outcome).Inc()
	return model
}

// Values of the metric label of decisions about a larger model.
const (
	largerModelChosen     = "chosen"
	largerModelReserved   = "reserved"
	largerModelLate       = "late"
	largerModelBusy       = "busy"
	largerModelOverBudget = "over_budget"
)

// decideLargerModel decides about an answer of low confidence. It returns the larger model, or an empty string and why the answer is
// delivered. The log lines of the reasons hold the values that it is based on.
func (h *Handler) decideLargerModel(rq *request, confidence int) (model, outcome string) {
	call := rq.routed
	models := call.route.Models
	position := slices.Index(models, call.model)
	wanted := balance.NextModel(position, len(models), confidence, h.cfg.SureConfidence)
	outlooks := map[int]modelOutlook{}
	outlookOf := func(i int) modelOutlook {
		if _, ok := outlooks[i]; !ok {
			outlooks[i] = h.outlookOf(rq, models[i])
		}
		return outlooks[i]
	}
	if call.controlled {
		wanted = min(wanted, balance.LargestForRank(rq.rank(), h.modelRanks(call.service), len(models)))
		if wanted <= position {
			h.cfg.Log.Info("larger_model_reserved", "request", rq.id, "confidence", confidence, "rank", rq.rank())
			return "", largerModelReserved
		}
		left := time.Until(rq.start.Add(call.route.TargetTime()))
		wanted = balance.LargestInTime(position, wanted, left, func(i int) time.Duration { return outlookOf(i).firstEvent })
		if wanted == position {
			h.cfg.Log.Info("larger_model_late", "request", rq.id, "confidence", confidence, "prompt_tokens", call.PromptTokens, "left", left)
			return "", largerModelLate
		}
	}
	outlook := outlookOf(wanted)
	if threshold := balance.RequiredConfidence(h.cfg.SureConfidence, outlook.pressure, outlook.request); confidence >= threshold {
		h.cfg.Log.Info("larger_model_busy", "request", rq.id, "confidence", confidence, "sure", threshold, "pressure", outlook.pressure,
			"prompt_tokens", outlook.request.PromptTokens)
		return "", largerModelBusy
	}
	if !h.routedBudget(call.service).TryRetryWithinShare(time.Now(), lowConfidenceShare) {
		h.cfg.Log.Info("larger_model_over_budget", "request", rq.id, "confidence", confidence)
		return "", largerModelOverBudget
	}
	return models[wanted], largerModelChosen
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

// modelOutlook is what a request can expect of a model.
type modelOutlook struct {
	// firstEvent is the shortest expected time to the first event, 0 if it is not known.
	firstEvent time.Duration
	// pressure is how busy the backend servers are that can run the model, in units of load.
	pressure float64
	request  *balance.Request
}

// outlookOf returns what the request can expect of the model. The times and the pressure are 0 if the view is too old.
func (h *Handler) outlookOf(rq *request, model string) modelOutlook {
	snap, p := h.routingSnapshot()
	if p != nil {
		return modelOutlook{request: rq.balanceRequest(nil, model)}
	}
	pool := snap.View.Catalogue.PoolOf(rq.routed.service)
	out, boundVersion := modelOutlook{request: rq.balanceRequest(pool.Engine, model)}, h.boundVersion(rq, snap)
	list := h.newRoutableList(snap, rq, &pool, boundVersion)
	if selected, ok := h.balance.Select(snap.Now, list, out.request, rq.id); ok {
		if out.pressure, ok = h.balance.SelectPressure(snap.Now, list, out.request, rq.id); ok {
			out.firstEvent = selected.Candidate.FirstEvent
			return out
		}
	}
	rows, _ := routableServers(snap, rq, boundVersion)
	candidates := h.balance.Candidates(snap.Now, rows, out.request)
	out.pressure = balance.GroupPressure(candidates, out.request)
	for i := range candidates {
		if c := &candidates[i]; c.Penalty == 0 && !c.Cold && c.FirstEvent > 0 && (out.firstEvent == 0 || c.FirstEvent < out.firstEvent) {
			out.firstEvent = c.FirstEvent
		}
	}
	return out
}
