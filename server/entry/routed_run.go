package entry

import (
	"context"
	"net/http"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
)

// runRouted sends the request to one backend server after the other until one answers, the time limit ends or no further
// attempt is allowed.
func (h *Handler) runRouted(ctx context.Context, w http.ResponseWriter, rq *request) {
	for {
		h.waitForFleet(ctx, rq)
		placed, p := h.place(ctx, rq)
		if p != nil {
			h.endRouted(ctx, w, rq, p)
			return
		}
		f := h.attemptRouted(ctx, w, rq, placed)
		if f == nil {
			return
		}
		if p := h.checkRoutedRetry(ctx, rq, placed.server, f); p != nil {
			h.endRouted(ctx, w, rq, p)
			return
		}
	}
}

// attemptRouted sends one attempt and relays its answer to the caller.
func (h *Handler) attemptRouted(ctx context.Context, w http.ResponseWriter, rq *request, placed *placement) (f *attemptError) {
	defer placed.release()
	cost := h.meterPlacement(rq, placed)
	// The panic of an aborted answer ends the attempt, too.
	defer func() {
		h.meterFirstByte(placed)
		h.meterEnd(rq, cost, f)
	}()
	call := rq.routed
	// Set lastUsed at the end of the request, so that the session's idle time starts there.
	defer func() { h.bindVersion(rq, placed.server, time.Now()) }()
	x, f := h.dispatch(ctx, rq, placed, &outgoingRequest{
		method: call.method, target: call.target, header: call.header, body: call.body,
		// On a reused connection it can't be decided whether a reset came before the request ran or after.
		newConnection: call.route.Kind == catalogue.KindNonIdempotent,
	})
	defer x.close()
	if f == nil {
		placed.onFirstByte()
		h.meterFirstByte(placed)
		f = h.relayRouted(w, x)
	}
	if f != nil {
		x.countRoutedFailure(f)
	}
	return f
}

// relayRouted relays the answer to the caller, unless it is dropped for an answer of a larger model.
func (h *Handler) relayRouted(w http.ResponseWriter, x *exchange) *attemptError {
	rq, call := x.rq, x.rq.routed
	h.balance.RecordLatency(time.Now(), x.server.ID, time.Since(x.began))
	if x.answerMetadata.LoadKnown {
		h.balance.RecordLoad(x.server.ID, x.answerMetadata.Load)
		h.recordLoad(rq, x.answerMetadata.Load)
	}
	if f := x.checkRoutedAnswer(); f != nil {
		return f
	}
	if !x.isStream() && x.response.StatusCode < http.StatusInternalServerError {
		x.sent.FirstEvent(time.Now())
	}
	if largerModel := h.chooseLargerModel(rq, x.answerMetadata.Confidence); largerModel != "" {
		x.countDroppedAnswer()
		h.rememberDropped(x)
		f := x.fail(&attemptError{kind: failLowConfidence, err: Error.New("confidence %d of model %s", x.answerMetadata.Confidence, call.model)})
		call.model = largerModel
		return f
	}
	if x.isStream() {
		return h.relayStream(w, x)
	}
	return h.relayWhole(w, x)
}

// isStream reports whether the answer is a stream of events.
func (x *exchange) isStream() bool {
	return x.rq.routed.route.Kind == catalogue.KindStream && x.response.StatusCode == http.StatusOK
}

// checkRoutedAnswer returns a failure if the answer must not be relayed or another backend server may give a better one, else
// nil.
func (x *exchange) checkRoutedAnswer() *attemptError {
	status, call, metadata := x.response.StatusCode, x.rq.routed, x.answerMetadata
	switch {
	case metadata.NotRun:
		kind := failBusy
		if metadata.AddressReassigned {
			kind = failWrongAnswer
		} else {
			x.sent.TurnedAway(time.Now())
		}
		f := x.fail(&attemptError{kind: kind, err: Error.New("status %d", status)})
		f.notRun = true
		return f
	case !metadata.FromApplication:
		return x.fail(&attemptError{kind: failProtocol, err: Error.New("status %d without the server's mark", status)})
	case call.answerStarted && (status != http.StatusOK || x.response.Header.Get("Content-Type") != call.contentType):
		return x.fail(&attemptError{kind: failStatus, err: Error.New("status %d and type %q for a continuation", status, x.response.Header.Get("Content-Type"))})
	case status >= http.StatusInternalServerError && call.route.Repeatable() && x.rq.countedAttempts < x.rq.maxAttempts():
		// The answer is kept, to be sent to the caller if no other attempt is allowed.
		return x.fail(&attemptError{kind: failStatus, err: Error.New("status %d", status), refused: x.readFailureAnswer()})
	}
	return nil
}

// readFailureAnswer reads a failure answer completely. It returns nil when that fails.
func (x *exchange) readFailureAnswer() *answer {
	body, f := x.readBody(maxFailureBodyBytes)
	if f != nil {
		return nil
	}
	return &answer{status: x.response.StatusCode, header: x.response.Header, body: body}
}

// maxFailureBodyBytes is the largest body of a failure answer that is kept for the caller.
const maxFailureBodyBytes = 64 << 10

// maxAttempts returns the largest number of backend servers that the request may be sent to.
func (rq *request) maxAttempts() int { return max(rq.routed.route.MaxAttempts, 1) }

// isServerFault reports whether the backend server is to be avoided for a while after the failure. It returns false when the
// caller cancelled the request, the route's time limit ended, or this instance has no path to the server.
func (e *attemptError) isServerFault() bool {
	return e.kind != failCancelled && e.kind != failTimeout && !e.pathFault
}

// notReached reports whether the attempt did not reach its backend server: no connection was made, or another backend server
// has its address now.
func (e *attemptError) notReached() bool {
	return e.kind == failDial && !e.wrote || e.kind == failWrongAnswer && e.notRun
}

// checkRoutedRetry records a failed attempt and decides whether the request may be sent to another backend server. It returns
// nil if so, else the refusal for the caller.
func (h *Handler) checkRoutedRetry(ctx context.Context, rq *request, server *control.BackendServer, f *attemptError) *problem.Problem {
	call, now := rq.routed, time.Now()
	if f.kind == failLowConfidence {
		// The answer was dropped in favour of a larger model; chooseLargerModel has taken the retry from the budget.
		rq.mayHaveRun = true
		return nil
	}
	if f.isServerFault() {
		h.balance.RecordFailure(now, server.ID)
	}
	if f.serverCrashed {
		h.reportRoutedCrash(rq, server, f)
	}
	if f.refused != nil {
		call.failureAnswer = f.refused
	}
	mayRepeat := f.notRun || !f.wrote || call.route.Repeatable()
	rq.mayHaveRun = rq.mayHaveRun || f.wrote && !f.notRun
	if f.kind == failCancelled && !errStopping.Has(f.err) {
		// The caller disconnected or doesn't read, so another attempt is of no use.
		return problem.New(problem.DeadlineExceeded, "the caller does not take the answer")
	}
	if expired := h.checkExpired(ctx, rq); expired != nil {
		return expired
	}
	rq.route.Exclude[server.ID] = true
	if f.notReached() {
		// This doesn't count as an attempt. The loop of runRouted still ends, as each backend server is excluded after one try.
		rq.countedAttempts--
		if f.kind == failDial {
			return nil
		}
		// Another backend server received the request and refused it, so the retry is taken from the budget.
	}
	if f.kind == failBusy {
		rq.busyServers = append(rq.busyServers, server.ID)
	}
	switch {
	case !mayRepeat:
		return problem.New(problem.OutcomeUnknown, "the backend server did not answer; the request may have run")
	case rq.countedAttempts >= rq.maxAttempts():
		return problem.New(problem.BackendFailed, "each attempt failed, the last one with: "+string(f.kind))
	case f.kind == failNoAnswer:
		// The retry was taken from the budget when the time for the first byte ended.
	case !h.routedBudget(call.service).TryRetry(now):
		return problem.New(problem.RetryBudgetExceeded, "the attempt failed with: "+string(f.kind))
	}
	h.metrics.retries.Inc()
	return nil
}

// endRouted ends a request that has no successful answer: with the failure answer of a backend server, if an attempt
// returned one, and otherwise with the refusal p.
func (h *Handler) endRouted(ctx context.Context, w http.ResponseWriter, rq *request, p *problem.Problem) {
	call := rq.routed
	h.logRefusal(rq, p)
	h.meterRefusal(rq, p)
	h.recordNotServed(rq, ctx.Err() != nil && context.Cause(ctx) == context.Canceled)
	switch {
	case call.answerStarted:
		// Part of the answer was delivered. Only an aborted connection shows the caller that it is incomplete.
		panic(http.ErrAbortHandler)
	case ctx.Err() != nil && context.Cause(ctx) == context.Canceled:
		panic(http.ErrAbortHandler)
	case call.failureAnswer != nil:
		h.writeRoutedAnswer(w, rq, call.failureAnswer)
		return
	}
	h.metrics.refusals.WithLabelValues(string(p.Reason)).Inc()
	h.cfg.Dialect.WriteRefusal(w, rq.refusal(p))
}

// defaultRetryAfter is the Retry-After time of refusals that come without one.
const defaultRetryAfter = 500 * time.Millisecond

// refusal returns a copy of p that says whether the request may have run and, if not, when to retry.
func (rq *request) refusal(p *problem.Problem) *problem.Problem {
	out := *p
	out.NotRun = !rq.mayHaveRun
	if out.NotRun && out.RetryAfter == 0 {
		out.RetryAfter = defaultRetryAfter
	}
	return &out
}

// relayWhole reads the complete answer before it sends any of it to the caller, so that an attempt that breaks off can be
// repeated.
func (h *Handler) relayWhole(w http.ResponseWriter, x *exchange) *attemptError {
	body, f := x.readBody(h.cfg.MaxAnswer)
	if f != nil {
		return f
	}
	x.recordSuccess()
	h.recordPartsAnswered(x.rq)
	h.countRoutedAnswer(x, time.Since(x.began))
	h.metrics.firstTokenSeconds.Observe(time.Since(x.rq.start).Seconds())
	h.logAnswer(x, "answered")
	h.recordFirstEvent(x.rq)
	h.writeRoutedAnswer(w, x.rq, &answer{status: x.response.StatusCode, header: x.response.Header, body: body})
	return nil
}

func (h *Handler) writeRoutedAnswer(w http.ResponseWriter, rq *request, a *answer) {
	copyHeader(w.Header(), a.header)
	disableSniffing(w.Header())
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		h.cfg.Log.Debug("answer not written", "request", rq.id, "error", err)
	}
}

// disableSniffing keeps net/http from adding a guessed Content-Type when the backend server sent none.
func disableSniffing(header http.Header) {
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
}
