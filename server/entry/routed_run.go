package entry

import (
	"context"
	"net/http"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
)

// runRouted sends the request to backend servers until one answers it, the time is over or no further attempt is allowed.
func (h *Handler) runRouted(ctx context.Context, w http.ResponseWriter, rq *request) {
	for {
		placed, p := h.place(ctx, rq)
		if p != nil {
			h.endRouted(ctx, w, rq, p)
			return
		}
		f := h.attemptRouted(ctx, w, rq, placed)
		if f == nil {
			return
		}
		if p := h.afterRoutedFailure(ctx, rq, placed.server, f); p != nil {
			h.endRouted(ctx, w, rq, p)
			return
		}
	}
}

// attemptRouted sends one attempt and passes its answer on.
func (h *Handler) attemptRouted(ctx context.Context, w http.ResponseWriter, rq *request, placed *placement) *attemptError {
	defer placed.release()
	call := rq.routed
	// A session goes on from the end of its last request.
	defer func() { h.bindVersion(rq, placed.server, time.Now()) }()
	x, f := h.dispatch(ctx, rq, placed, &outgoing{
		method: call.method, path: call.target, header: call.header, body: call.body,
		// On a kept connection a reset can't be told from a lost answer.
		fresh: call.route.Kind == catalogue.KindOnce,
	})
	defer x.close()
	if f != nil {
		return f
	}
	placed.begun()
	h.balance.Answered(time.Now(), x.server.ID, time.Since(x.began))
	if x.said.LoadKnown {
		h.balance.Observe(x.server.ID, x.said.Load)
	}
	if f := x.checkRouted(); f != nil {
		return f
	}
	if next := h.largerModel(rq, x.said.Confidence); next != "" {
		f := x.fail(&attemptError{kind: failUnsure, err: Error.New("confidence %d of model %s", x.said.Confidence, call.model)})
		call.model = next
		return f
	}
	if call.route.Kind == catalogue.KindStream && x.response.StatusCode == http.StatusOK {
		return h.relayStream(w, x)
	}
	return h.relayWhole(w, x)
}

// checkRouted makes a failure of an answer that another backend server may improve on.
func (x *exchange) checkRouted() *attemptError {
	status, call, said := x.response.StatusCode, x.rq.routed, x.said
	switch {
	case said.NotRun:
		kind := failBusy
		if said.OtherInstance {
			kind = failCrossed
		}
		f := x.fail(&attemptError{kind: kind, err: Error.New("status %d", status)})
		f.notRun = true
		return f
	case !said.Genuine:
		return x.fail(&attemptError{kind: failProtocol, err: Error.New("status %d without the server's mark", status)})
	case call.begun && status != http.StatusOK:
		return x.fail(&attemptError{kind: failStatus, err: Error.New("status %d for a continuation", status)})
	case status >= http.StatusInternalServerError && call.route.Repeatable() && x.rq.tries < x.rq.maxTries():
		// The answer is kept for the caller in case that no other attempt is allowed.
		return x.fail(&attemptError{kind: failStatus, err: Error.New("status %d", status), refused: x.keepAnswer()})
	}
	return nil
}

// keepAnswer reads a failure answer whole, nil when that fails.
func (x *exchange) keepAnswer() *answer {
	body, f := x.readBody(maxKeptFailure)
	if f != nil {
		return nil
	}
	return &answer{status: x.response.StatusCode, header: x.response.Header, body: body}
}

// maxKeptFailure bounds the body of a backend server's failure that is passed on, in bytes.
const maxKeptFailure = 64 << 10

// maxTries is the largest number of backend servers that the request may be sent to.
func (rq *request) maxTries() int { return max(rq.routed.route.MaxAttempts, 1) }

// doubtful reports whether the backend server is to be avoided for a while. The caller's leaving and the route's time limit say
// nothing of it.
func (e *attemptError) doubtful() bool { return e.kind != failCancelled && e.kind != failTimeout }

// missed reports whether the attempt did not reach its backend server: nothing listens there, or another one has its address now.
func (e *attemptError) missed() bool {
	return e.kind == failDial && !e.wrote || e.kind == failCrossed && e.notRun
}

// afterRoutedFailure decides whether the request goes to another backend server, and returns the refusal when it does not.
func (h *Handler) afterRoutedFailure(ctx context.Context, rq *request, server *control.BackendServer, f *attemptError) *problem.Problem {
	call, now := rq.routed, time.Now()
	if f.kind == failUnsure {
		// The answer was dropped by choice; the budget is taken already.
		rq.mayHaveRun = true
		return nil
	}
	h.countRoutedFailure(rq, server, f)
	if f.doubtful() {
		h.balance.Failed(now, server.ID)
	}
	if f.died {
		h.noteCrash(rq, server)
	}
	if f.refused != nil {
		call.failure = f.refused
	}
	mayRepeat := f.notRun || !f.wrote || call.route.Repeatable()
	rq.mayHaveRun = rq.mayHaveRun || f.wrote && !f.notRun
	if f.kind == failCancelled {
		// The caller left or does not read: nobody waits for another attempt.
		return problem.New(problem.DeadlineExceeded, "the caller does not take the answer")
	}
	if expired := h.expired(ctx, rq); expired != nil {
		return expired
	}
	rq.route.Exclude[server.ID] = true
	if f.missed() {
		// This was no attempt. Each backend server is tried once.
		rq.tries--
		if f.kind == failDial {
			return nil
		}
		// The request arrived at another backend server, which the retry budget counts.
	}
	if f.kind == failBusy {
		rq.busy = append(rq.busy, server.ID)
	}
	switch {
	case !mayRepeat:
		return problem.New(problem.OutcomeUnknown, "the backend server did not answer; the request may have run")
	case rq.tries >= rq.maxTries():
		return problem.New(problem.BackendFailed, "each attempt failed, the last one with: "+string(f.kind))
	case f.kind == failSilent:
		// The budget is taken already.
	case !h.routedBudget(call.service).TryRetry(now):
		return problem.New(problem.RetryBudgetExceeded, "the attempt failed with: "+string(f.kind))
	}
	h.metrics.retries.Inc()
	return nil
}

// endRouted answers a request that no backend server will answer any more.
func (h *Handler) endRouted(ctx context.Context, w http.ResponseWriter, rq *request, p *problem.Problem) {
	call := rq.routed
	h.logRefusal(rq, p)
	switch {
	case call.begun:
		// Part of the answer is delivered: only a cut connection keeps the caller from taking it for the whole.
		panic(http.ErrAbortHandler)
	case ctx.Err() != nil && context.Cause(ctx) == context.Canceled:
		panic(http.ErrAbortHandler)
	case call.failure != nil:
		h.writeRoutedAnswer(w, rq, call.failure)
		return
	}
	h.metrics.refusals.WithLabelValues(string(p.Reason)).Inc()
	h.cfg.Dialect.WriteRefusal(w, rq.refusal(p))
}

// defaultRetryAfter is what a caller is told when the reason for a refusal names no time.
const defaultRetryAfter = 500 * time.Millisecond

// refusal states truly whether the request has run.
func (rq *request) refusal(p *problem.Problem) *problem.Problem {
	out := *p
	out.NotRun = !rq.mayHaveRun
	if out.NotRun && out.RetryAfter == 0 {
		out.RetryAfter = defaultRetryAfter
	}
	return &out
}

// relayWhole reads an answer whole before the caller gets any of it, so that one that breaks can be repeated.
func (h *Handler) relayWhole(w http.ResponseWriter, x *exchange) *attemptError {
	body, f := x.readBody(h.cfg.MaxAnswer)
	if f != nil {
		return f
	}
	x.succeed()
	h.countRoutedAnswer(x, time.Since(x.began))
	h.metrics.firstToken.Observe(time.Since(x.rq.start).Seconds())
	h.logAnswer(x, "answered")
	h.writeRoutedAnswer(w, x.rq, &answer{status: x.response.StatusCode, header: x.response.Header, body: body})
	return nil
}

func (h *Handler) writeRoutedAnswer(w http.ResponseWriter, rq *request, a *answer) {
	copyHeader(w.Header(), a.header)
	writeNoSniff(w.Header())
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		h.cfg.Log.Debug("answer not written", "request", rq.id, "error", err)
	}
}

// writeNoSniff keeps the server from guessing a media type that the backend server did not send.
func writeNoSniff(header http.Header) {
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
}
