package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/answercheck"
	"clementinetray/server/balance"
	"clementinetray/server/routing"
	"clementinetray/server/target"
)

// Headers between entry instances and backend servers.
const (
	headerAttemptID  = "X-Attempt-Id"
	headerPriority   = "X-Priority"
	headerDeadlineMs = "X-Deadline-Ms"
)

// suspectDuration is how long a backend server is avoided after a connection to it could not be opened or broke.
const suspectDuration = 2 * time.Second

// failureKind is the cause of a failed attempt. It is also the value of a metric label.
type failureKind string

const (
	failDial      failureKind = "dial"
	failBroken    failureKind = "broken"
	failTimeout   failureKind = "timeout"
	failCancelled failureKind = "cancelled"
	failProtocol  failureKind = "protocol"
	failStatus    failureKind = "status"
	failBusy      failureKind = "busy"
	// failWrongAnswer means that the answer may belong to another attempt or comes from another backend server.
	failWrongAnswer failureKind = "crossed"
	// failLowConfidence means that the answer was dropped in favour of a larger model, because its confidence was too low.
	failLowConfidence failureKind = "unsure"
	// failNoAnswer means that no byte of the answer arrived within the time allowed for the first one, or that a stream stalled.
	failNoAnswer failureKind = "silent"
)

// attemptError describes why an attempt ended without a complete answer.
type attemptError struct {
	kind failureKind
	err  error
	// wrote is set when a byte of the request may have been sent.
	wrote bool
	// notRun is set when the backend server's answer states that it did not run the request.
	notRun bool
	// refused is the error response of the backend server, if it was read.
	refused *answer
	// pathFault is set when the failure is that of this instance's network paths or of a relay.
	pathFault bool
	// serverCrashed is set when the backend server crashed while it ran the request.
	serverCrashed bool
	// answerBegan is set when the header of the answer had come, but no event yet; sentEvents when events had come.
	answerBegan, sentEvents bool
	// overdueFor is how long a stream of a chat request had waited for its first event when it ended without one; 0 if that was
	// no longer than control.SlowFirstToken.
	overdueFor time.Duration
}

// Error returns the kind and the cause.
func (e *attemptError) Error() string {
	if e.err == nil {
		return string(e.kind)
	}
	return string(e.kind) + ": " + e.err.Error()
}

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.err }

// outgoingRequest is one request to a backend server.
type outgoingRequest struct {
	method string
	target target.Target
	header http.Header
	body   []byte
	// newConnection sends the request on a new connection.
	newConnection bool
}

// exchange is one attempt at a backend server, from dispatch to the end of its answer.
type exchange struct {
	h        *Handler
	rq       *request
	server   *control.BackendServer
	id       string
	began    time.Time
	trace    connTrace
	ctx      context.Context
	cancel   context.CancelCauseFunc
	running  runningAttempt
	response *http.Response
	// answered is set once the header of the answer arrived.
	answered bool
	// answerMetadata holds the metadata of the answer to a routed request.
	answerMetadata AnswerMetadata
	// sent is the record of the attempt in the load balancing, for a routed request.
	sent *balance.Sent
	// events is the number of complete events of a stream that this attempt has sent.
	events int
	// pathLost is set when a direct connection broke and only a relay reaches the backend server.
	pathLost bool
	// buffered is the memory that the attempt's answer takes.
	buffered bufferShare
	sampleState
}

// dispatch sends one attempt and returns when the header of the answer has arrived. The caller must close the exchange, also
// after a failure.
func (h *Handler) dispatch(ctx context.Context, rq *request, placed *placement, out *outgoingRequest) (*exchange, *attemptError) {
	rq.attemptCount++
	rq.countedAttempts++
	x := &exchange{h: h, rq: rq, server: placed.server, id: rq.id + "/" + strconv.Itoa(rq.attemptCount), began: time.Now()}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	x.buffered.buffer = &h.answerBuffer
	x.running.exchange = x
	x.running.server, x.running.boot, x.running.began, x.running.cancel = placed.server.ID, placed.server.Boot, x.began, x.cancel
	if rq.routed != nil {
		x.model, x.targetTime, x.cold = rq.routed.model, rq.routed.route.TargetTime(), placed.cold
		x.sent = placed.sent
		x.running.repeatable.Store(rq.routed.route.Repeatable() && rq.countedAttempts < rq.maxAttempts())
	} else if rq.chat != nil {
		x.running.repeatable.Store(rq.countedAttempts < h.cfg.MaxAttempts)
	}
	x.trace.running = &x.running
	h.runningAttempts.add(&x.running)
	if rq.countedAttempts == 1 && (rq.routed == nil || rq.attemptCount == 1) {
		h.retryBudget(rq).CountRequest(x.began)
	}
	r, err := x.newRequest(out)
	if err != nil {
		return x, x.fail(&attemptError{kind: failProtocol, err: err})
	}
	transport := h.keepAliveTransport
	if out.newConnection || !h.unnamedAnswers.get(serverKey(placed.server)).IsZero() {
		transport = h.singleUseTransport
	} else if h.dialer.RelayedFirst(placed.server.ID) {
		transport = h.relayedTransport
	}
	stopTimer := x.startFirstByteTimer(placed.firstByteTimeout)
	x.response, err = transport.RoundTrip(r)
	stopTimer()
	if err != nil {
		return x, x.failConnection(err)
	}
	if err := answercheck.Head(x.response); err != nil {
		return x, x.dropAnswer("invalid", err.Error(), &attemptError{kind: failProtocol, err: err})
	}
	x.answered = true
	x.recordDelivery(true)
	h.restarts.Answered(time.Now(), latest(x.began, x.running.connectedAt()), x.server.ID, x.server.Boot)
	if rq.routed != nil {
		x.answerMetadata = h.cfg.Dialect.ReadAnswer(x.response)
		x.recordPromptness(time.Now())
	}
	if f := x.checkAnswerID(); f != nil {
		return x, f
	}
	x.recordAnswerStatement()
	return x, nil
}

// errNoAnswer is the cancellation cause of an attempt whose backend server sent no byte of the answer in time.
var errNoAnswer = errs.Class("silent backend server")

// errStalled is the cancellation cause of an attempt whose stream made no progress for too long.
var errStalled = errs.Class("stalled stream")

// noAnswerBudgetShare is the fraction of the retry budget that may be spent on backend servers that do not answer in time.
// Most of them are only slow, and the rest is reserved for failed attempts. Attempts on dead paths may use all of it: they have failed.
const noAnswerBudgetShare = 0.5

// startFirstByteTimer starts a timer that cancels the attempt when the header of the answer has not arrived in time. The
// attempt is cancelled only if another one is allowed and the retry budget covers it; that retry is taken from the budget.
// The returned function stops the timer.
func (x *exchange) startFirstByteTimer(timeout time.Duration) (stopTimer func()) {
	if timeout <= 0 || x.rq.countedAttempts >= x.rq.maxAttempts() {
		return func() {}
	}
	return x.startGiveUpTimer(timeout, errNoAnswer.New("no answer for %s", timeout)).stop
}

// giveUp cancels the attempt in favour of another one, if the retry budget covers that. The retry is taken from the budget.
func (x *exchange) giveUp(cause error) {
	if x.rq.routed == nil {
		if x.h.cfg.Budget.TryRetry(time.Now()) {
			x.cancel(cause)
		}
		return
	}
	share := noAnswerBudgetShare
	if errPathCut.Has(cause) {
		share = 1
	}
	if x.h.routedBudget(x.rq.routed.service).TryRetryWithinShare(time.Now(), share) {
		x.cancel(cause)
	}
}

// oneShotBody is a request body that can be sent only once. http.Transport silently retries requests without a body or with
// a body that it can rewind; this type prevents that.
type oneShotBody struct{ *bytes.Reader }

func (oneShotBody) Close() error { return nil }

// newRequest builds the HTTP request to the backend server.
func (x *exchange) newRequest(out *outgoingRequest) (*http.Request, error) {
	r, err := http.NewRequestWithContext(withServerID(x.trace.withTrace(x.ctx), x.server.ID), out.method, "http://"+x.server.Address, nil)
	if err != nil {
		return nil, err
	}
	r.URL = out.target.URL(x.server.Address)
	r.Body, r.ContentLength = oneShotBody{bytes.NewReader(out.body)}, int64(len(out.body))
	r.Header = out.header.Clone()
	if x.rq.routed != nil {
		x.writeRoutedHeaders(r)
		return r, nil
	}
	r.Header.Set(headerAttemptID, x.id)
	r.Header.Set(headerPriority, strconv.Itoa(x.rq.priority()))
	if x.rq.traceparent != "" {
		r.Header.Set(headerTraceparent, x.rq.traceparent)
	}
	if d := x.rq.route.Deadline; !d.IsZero() {
		r.Header.Set(headerDeadlineMs, strconv.FormatInt(max(time.Until(d).Milliseconds(), 1), 10))
	}
	return r, nil
}

// checkAnswerID fails the attempt, and returns the failure, when the answer is for another attempt or may be: a faulty backend server may
// have written an earlier answer once more. Otherwise it returns nil. A backend server whose answers carry no id is sent each further
// request on a connection of its own.
func (x *exchange) checkAnswerID() *attemptError {
	answerID, id := x.response.Header.Get(headerAttemptID), x.id
	if x.rq.routed != nil {
		answerID, id = x.answerMetadata.ID, x.rq.id
	}
	_, reused := x.trace.connectionState()
	kind := "crossed"
	switch answercheck.FindAddressee(answerID, id, x.rq.id, reused) {
	case answercheck.OwnAttempt:
		x.h.unnamedAnswers.remove(serverKey(x.server))
		return nil
	case answercheck.NoAttempt:
		x.h.unnamedAnswers.set(serverKey(x.server), x.began)
		return nil
	case answercheck.UnknownAttempt:
		kind = "unnamed"
	case answercheck.EarlierAttempt:
		kind = "late"
	}
	return x.dropAnswer(kind, answerID, &attemptError{kind: failWrongAnswer, err: Error.New("the answer is for attempt %q", answerID)})
}

// dropAnswer fails the attempt because of an answer that is not its own, and returns f. It closes the connection: the own answer may follow
// on it, and an attempt that the transport has already sent on it would get that one.
func (x *exchange) dropAnswer(kind, detail string, f *attemptError) *attemptError {
	x.recordDropped(kind, detail)
	f = x.fail(f)
	x.trace.seal()
	return f
}

// serverKey names one start of a backend server.
func serverKey(server *control.BackendServer) string { return server.ID + "/" + server.Boot }

// recordDropped counts and records an answer that does not belong to the attempt.
func (x *exchange) recordDropped(kind, detail string) {
	x.h.metrics.droppedAnswers.WithLabelValues(kind).Inc()
	x.h.recordServerEvent(x.rq, x.server, "answer_dropped", kind, detail)
}

// failConnection classifies an error of the connection, fails the attempt and returns the failure. A reset of a reused
// connection before any answer is no crash if the backend server is still alive, as the server may have closed an idle
// connection. Nor is one of a lost path. For routed requests reportRoutedCrash checks whether the server is alive.
func (x *exchange) failConnection(err error) *attemptError {
	connected, reused := x.trace.connectionState()
	cause := context.Cause(x.ctx)
	f := &attemptError{kind: failBroken, err: err}
	switch {
	case errRestarted.Has(cause):
		f.err, f.serverCrashed = cause, true
	case errNoAnswer.Has(cause), errStalled.Has(cause), errPathCut.Has(cause):
		f.kind, f.err = failNoAnswer, cause
	case errors.Is(cause, context.DeadlineExceeded):
		f.kind = failTimeout
	case errStopping.Has(cause):
		f.kind, f.err = failCancelled, cause
	case x.ctx.Err() != nil:
		f.kind = failCancelled
	case !connected:
		f.kind = failDial
	case !answercheck.ConnectionEnded(err):
		f.kind = failProtocol
	default:
		f.serverCrashed = true
	}
	x.pathLost = x.rq.routed == nil && f.serverCrashed && !errRestarted.Has(cause) && x.hasLostPath()
	f = x.fail(f)
	if x.rq.routed == nil && f.serverCrashed && !f.pathFault && reused && !x.answered && !errRestarted.Has(cause) && x.h.isAlive(x.ctx, x.server) {
		f.serverCrashed = false
	}
	f.serverCrashed = f.serverCrashed && f.wrote && !f.pathFault
	return f
}

// fail records the failed attempt and returns f. If no answer has arrived it closes the attempt's connections, so that it is
// certain whether a byte was written. If one has arrived it leaves the connection to the transport, which may already use it
// for another request.
func (x *exchange) fail(f *attemptError) *attemptError {
	f.wrote = x.response != nil || x.trace.seal()
	f.answerBegan, f.sentEvents = x.answered && x.events == 0, x.events > 0
	if waited := time.Since(x.began); x.rq.chat != nil && x.rq.chat.Stream && x.events == 0 && waited > control.SlowFirstToken {
		f.overdueFor = waited
	}
	x.rq.written = x.rq.written || f.wrote
	f.pathFault = x.isPathFault(f)
	x.h.metrics.attempts.WithLabelValues(string(f.kind)).Inc()
	x.logFailure(f)
	x.h.recordServerEvent(x.rq, x.server, "attempt_failed", f.Error())
	if f.pathFault {
		return f
	}
	if f.kind == failDial {
		x.h.recordRefusal(x.server, f.err)
	}
	if f.kind == failDial || f.kind == failBroken {
		x.h.suspectUntil.set(x.server.ID, time.Now().Add(suspectDuration))
		// While this instance is cut, its relays may be losing their paths too and not know it yet.
		if f.kind == failDial || !x.h.dialer.Cut() {
			x.h.outcomes.addSuspect(control.SuspectReport{BackendServer: x.server.ID, Boot: x.server.Boot, Reason: control.SuspectConnection})
		}
	}
	return f
}

// recordSuccess counts an attempt with a complete answer.
func (x *exchange) recordSuccess() {
	x.rq.written = true
	if x.response.StatusCode < http.StatusInternalServerError {
		x.h.answeredRequests.add(x.rq.answerHash(x.server), time.Now())
	}
	x.h.metrics.attempts.WithLabelValues("ok").Inc()
}

// close ends the exchange. If the answer was not read to its end this closes the connection, which cancels the request at
// the backend server.
func (x *exchange) close() {
	x.h.runningAttempts.remove(&x.running)
	if x.response != nil {
		x.rq.written = true
		_ = x.response.Body.Close()
	}
	x.cancel(context.Canceled)
	x.buffered.release()
}

// readBody reads an unstreamed answer of at most limit bytes.
func (x *exchange) readBody(limit int64) ([]byte, *attemptError) {
	body, tooLong, err := x.buffered.readAll(x.response.Body, limit)
	switch {
	case Error.Has(err):
		return nil, x.fail(&attemptError{kind: failProtocol, err: err})
	case err != nil:
		return nil, x.failConnection(err)
	case tooLong:
		return nil, x.fail(&attemptError{kind: failProtocol, err: Error.New("the answer is over %d bytes", limit)})
	case len(body) == 0 && answercheck.EndsWithConnection(x.response):
		return nil, x.failConnection(io.ErrUnexpectedEOF)
	}
	return body, nil
}

// checkRetry records a failed attempt and decides whether the request may be sent again. It reports a crash to the control
// group and takes the retry from the retry budget. It returns nil if another attempt is allowed, else the refusal for the
// caller.
func (h *Handler) checkRetry(ctx context.Context, rq *request, server *control.BackendServer, f *attemptError) *problem.Problem {
	h.countFailure(rq, server, f)
	if f.serverCrashed {
		if p := h.reportCrash(ctx, rq, server, f); p != nil {
			return p
		}
	}
	if expired := h.checkExpired(ctx, rq); expired != nil {
		return expired
	}
	// The server of an attempt that was given up on a dead path is reached through a relay, and may be the only one.
	gaveUpPath := errPathCut.Has(f.err)
	if !gaveUpPath {
		rq.route.Exclude[server.ID] = true
	}
	if f.kind == failBusy {
		rq.busyServers = append(rq.busyServers, server.ID)
	}
	switch {
	case rq.countedAttempts >= h.cfg.MaxAttempts:
		return problem.New(problem.BackendFailed, "each attempt failed, the last one with: "+string(f.kind))
	case gaveUpPath:
		// The retry was taken from the budget when the attempt was given up.
	case !h.retryOnOldVersion(rq, f) && !h.cfg.Budget.TryRetry(time.Now()):
		return problem.New(problem.RetryBudgetExceeded, "the attempt failed with: "+string(f.kind)).WithRetryAfter(time.Second)
	}
	h.metrics.retries.Inc()
	return nil
}

// maxPercentForUnbudgetedRetry is the largest traffic share of a roll-out, in percent, at which failed requests are
// retried on the old version outside the retry budget. At this share the retries are at most half of all requests, and
// the old version must be able to serve all of them after a roll-back anyway.
const maxPercentForUnbudgetedRetry = 50

// retryOnOldVersion moves a request without a session to the old version after an attempt on the new version of a
// roll-out failed. It returns true if it did. Such a retry needs no retry budget, because each request gets at most one.
func (h *Handler) retryOnOldVersion(rq *request, f *attemptError) bool {
	r := &rq.route
	versionFixed := r.Service != "" || r.Session != "" || strings.Contains(r.Model, "@") || rq.versionFixed
	view := h.cfg.Board.View.Load().View
	if versionFixed || f.kind == failBusy || r.FailedVersion.Model != "" || view == nil {
		return false
	}
	if percent := routing.RolloutPercent(view, rq.version); percent == 0 || percent > maxPercentForUnbudgetedRetry {
		return false
	}
	r.FailedVersion = rq.version
	rq.releaseVersionLimits()
	h.record(rq, "rollout_left", "an attempt on "+rq.version.String()+" failed")
	return true
}

// writeRoutedHeaders sets the headers of a routed request's attempt. The Host header stays as the caller sent it.
func (x *exchange) writeRoutedHeaders(r *http.Request) {
	call := x.rq.routed
	r.Host = call.host
	x.h.cfg.Dialect.WriteAttempt(r.Header, &AttemptMetadata{
		Server: x.server, ID: x.rq.id, Workspace: x.rq.workspaceName(), TimeLeft: max(time.Until(call.deadline), time.Millisecond),
		Rank: x.rq.rank(), Model: call.model, LastEvent: call.lastEventID,
	})
	if _, named := r.Header["User-Agent"]; !named {
		// An empty value prevents the transport from adding its default User-Agent.
		r.Header.Set("User-Agent", "")
	}
}

// retryBudget returns the retry budget that applies to the request.
func (h *Handler) retryBudget(rq *request) RetryBudget {
	if rq.routed != nil {
		return h.routedBudget(rq.routed.service)
	}
	return h.cfg.Budget
}
