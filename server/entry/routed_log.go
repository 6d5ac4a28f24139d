package entry

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/balance"
	"clementinetray/server/routing"
)

// logPlacement logs which backend server was chosen for a request, with the values that the choice is based on.
func (h *Handler) logPlacement(rq *request, server *control.BackendServer, c *balance.Candidate, candidates int, snap *routing.Snapshot) {
	h.cfg.Log.LogAttrs(context.Background(), slog.LevelInfo, "server_chosen", slog.String("request", rq.id), slog.String("route", rq.routed.route.Name),
		slog.String("session", rq.route.Session), slog.String("software", server.SoftwareVersion),
		slog.String("backend_server", server.ID), slog.String("model", rq.routed.model), slog.Int("attempt", rq.attemptCount+1),
		slog.Float64("load", c.Load), slog.Float64("queue", c.QueuedTokens), slog.Bool("cold", c.Cold), slog.Float64("doubt", c.Penalty), slog.Float64("slowness", c.Slowness),
		slog.Int("prompt_tokens", rq.routed.PromptTokens), slog.Int("output_hint", rq.routed.OutputHint),
		slog.Duration("expected_first", c.FirstEvent), slog.Duration("expected_interval", c.EventTime), slog.Int("work_percent", c.WorkPercent),
		slog.Int("cached_tokens", c.CachedTokens), slog.Int("candidates", candidates), slog.Int("passed_over", passedOver(snap, rq.routed.service)), slog.Uint64("revision", snap.View.Revision),
		slog.Duration("view_age", h.cfg.Board.View.Load().Age(snap.Now)), slog.Duration("fleet_age", snap.Now.Sub(snap.Fleet.ReceivedAt)),
		slog.Duration("waited", snap.Now.Sub(rq.start)))
}

// passedOver returns the number of backend servers of the service that get no requests because of what they said of themselves.
func passedOver(snap *routing.Snapshot, service string) (n int) {
	if snap.StatementOf == nil {
		return 0
	}
	for _, b := range snap.Fleet.ByService[service] {
		if said := snap.StatementOf(b.ID, b.Boot); said.Leaving || said.SpareUntil.After(snap.Now) {
			n++
		}
	}
	return n
}

// logAnswer logs an attempt that was answered. outcome is the log message, attrs are added to the attributes.
func (h *Handler) logAnswer(x *exchange, outcome string, attrs ...any) {
	h.cfg.Log.Info(outcome, append([]any{"request", x.rq.id, "route", x.rq.routed.route.Name, "backend_server", x.server.ID,
		"status", x.response.StatusCode, "attempts", x.rq.attemptCount, "model", x.rq.routed.model, "confidence", x.answerMetadata.Confidence, "took", time.Since(x.rq.start)}, attrs...)...)
}

// logRefusal logs why a request ends without a complete answer from a backend server.
func (h *Handler) logRefusal(rq *request, p *problem.Problem) {
	view := h.cfg.Board.View.Load()
	h.cfg.Log.Info("request_refused", "request", rq.id, "workspace", rq.workspaceName(), "reason", string(p.Reason), "detail", p.Detail,
		"parts", partIDs(rq.routed.Parts), "not_run", !rq.mayHaveRun, "attempts", rq.attemptCount, "revision", rq.revision, "view_age", view.Age(time.Now()), "took", time.Since(rq.start))
}

// logFailure logs how an attempt of a routed request failed.
func (x *exchange) logFailure(f *attemptError) {
	if x.rq.routed == nil {
		return
	}
	x.h.cfg.Log.Info("attempt_failed", "request", x.rq.id, "backend_server", x.server.ID, "kind", string(f.kind), "error", f.Error(),
		"written", f.wrote, "answer_begun", x.answered, "events", x.events, "parts", partIDs(x.rq.routed.Parts), "attempt", x.rq.attemptCount, "took", time.Since(x.began))
}

// partIDs returns the ids of the parts, separated by commas.
func partIDs(parts []balance.PromptPart) string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return strings.Join(ids, ",")
}
