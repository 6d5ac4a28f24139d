package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/routing"
)

// Headers between entry instances and backend servers.
const (
	headerAttemptID  = "X-Attempt-Id"
	headerPriority   = "X-Priority"
	headerDeadlineMs = "X-Deadline-Ms"
)

// suspectTime is how long a backend server is avoided after it refused or reset a connection.
const suspectTime = 2 * time.Second

// failureKind is the typed cause of a failed attempt. It is also a metric label.
type failureKind string

const (
	failDial      failureKind = "dial"
	failBroken    failureKind = "broken"
	failTimeout   failureKind = "timeout"
	failCancelled failureKind = "cancelled"
	failProtocol  failureKind = "protocol"
	failStatus    failureKind = "status"
	failBusy      failureKind = "busy"
	failCrossed   failureKind = "crossed"
	// failUnsure is an answer that was dropped because a larger model will do better.
	failUnsure failureKind = "unsure"
	// failSilent is an attempt without a byte of the answer when the patience was over.
	failSilent failureKind = "silent"
)

// attemptError is the end of an attempt without a whole answer.
type attemptError struct {
	kind failureKind
	err  error
	// wrote says that a byte of the request may have been written.
	wrote bool
	// notRun says that the backend server proved that it did not run the request.
	notRun bool
	// refused is the backend server's failure answer, if it was read.
	refused *answer
	// died says that the backend server died while it ran the request.
	died bool
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

// outgoing is one request to a backend server.
type outgoing struct {
	method, path string
	header       http.Header
	body         []byte
	// fresh uses a new connection.
	fresh bool
}

// exchange is one attempt on a backend server from dispatch to the end of its answer.
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
	// answered says that a byte of the answer arrived.
	answered bool
	// said is what the backend server says of its answer to a routed request.
	said Answer
}

// dispatch sends one attempt and returns once the answer's header arrived. The caller must call close.
func (h *Handler) dispatch(ctx context.Context, rq *request, placed *placement, out *outgoing) (*exchange, *attemptError) {
	rq.attempts++
	rq.tries++
	x := &exchange{h: h, rq: rq, server: placed.server, id: rq.id + "/" + strconv.Itoa(rq.attempts), began: time.Now()}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	x.running = runningAttempt{server: placed.server.ID, boot: placed.server.Boot, cancel: x.cancel}
	h.running.add(&x.running)
	if rq.tries == 1 && (rq.routed == nil || rq.attempts == 1) {
		h.budgetOf(rq).Request(x.began)
	}
	r, err := x.newRequest(out)
	if err != nil {
		return x, x.fail(&attemptError{kind: failProtocol, err: err})
	}
	transport := h.kept
	if out.fresh {
		transport = h.fresh
	}
	heard := x.limitSilence(placed.patience)
	x.response, err = transport.RoundTrip(r)
	heard()
	if err != nil {
		return x, x.broken(err)
	}
	x.answered = true
	x.running.touch()
	if rq.routed != nil {
		x.said = h.cfg.Dialect.ReadAnswer(x.response)
	}
	if p := x.checkEcho(); p != nil {
		return x, p
	}
	return x, nil
}

// errSilent ends an attempt whose backend server said nothing for too long.
var errSilent = errs.Class("silent backend server")

// silentShare is the part of the retry budget that silent backend servers may use up: most of them are only slow, and failures
// need the rest.
const silentShare = 0.5

// limitSilence ends the attempt when its backend server says nothing for the given time, another attempt is allowed and the
// retry budget has room; it takes the attempt from the budget. The returned function ends the wait.
func (x *exchange) limitSilence(patience time.Duration) (heard func()) {
	if patience <= 0 || x.rq.tries >= x.rq.maxTries() {
		return func() {}
	}
	budget := x.h.routedBudget(x.rq.routed.service)
	timer := time.AfterFunc(patience, func() {
		if budget.TryShare(time.Now(), silentShare) {
			x.cancel(errSilent.New("no answer for %s", patience))
		}
	})
	return func() { timer.Stop() }
}

// oneShotBody is sent once. The transport repeats requests without a body, or with one that it can get again, by itself.
type oneShotBody struct{ *bytes.Reader }

func (oneShotBody) Close() error { return nil }

func (x *exchange) newRequest(out *outgoing) (*http.Request, error) {
	r, err := http.NewRequestWithContext(x.trace.with(x.ctx), out.method, "http://"+x.server.Address+out.path, nil)
	if err != nil {
		return nil, err
	}
	r.Body, r.ContentLength = oneShotBody{bytes.NewReader(out.body)}, int64(len(out.body))
	r.Header = out.header.Clone()
	if x.rq.routed != nil {
		x.writeRouted(r)
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

// checkEcho drops an answer that names another attempt.
func (x *exchange) checkEcho() *attemptError {
	echo, id := x.response.Header.Get(headerAttemptID), x.id
	if x.rq.routed != nil {
		echo, id = x.said.ID, x.rq.id
	}
	if echo == "" || echo == id {
		return nil
	}
	kind := "crossed"
	if strings.HasPrefix(echo, x.rq.id+"/") {
		kind = "late"
	}
	x.dropped(kind, echo)
	return x.fail(&attemptError{kind: failCrossed, err: Error.New("the answer is for attempt %s", echo)})
}

// dropped counts an answer that does not belong to the attempt.
func (x *exchange) dropped(kind, detail string) {
	x.h.metrics.dropped.WithLabelValues(kind).Inc()
	x.h.recordServer(x.rq, x.server, "answer_dropped", kind, detail)
}

// broken classifies an error of the connection.
func (x *exchange) broken(err error) *attemptError {
	got, reused := x.trace.connected()
	cause := context.Cause(x.ctx)
	f := &attemptError{kind: failBroken, err: err}
	switch {
	case errRestarted.Has(cause):
		f.err, f.died = cause, true
	case errSilent.Has(cause):
		f.kind, f.err = failSilent, cause
	case errors.Is(cause, context.DeadlineExceeded):
		f.kind = failTimeout
	case x.ctx.Err() != nil:
		f.kind = failCancelled
	case !got:
		f.kind = failDial
	case !endedByServer(err):
		f.kind = failProtocol
	default:
		f.died = true
	}
	f = x.fail(f)
	if x.rq.routed == nil && f.died && reused && !x.answered && !errRestarted.Has(cause) && x.h.alive(x.ctx, x.server) {
		f.died = false
	}
	f.died = f.died && f.wrote
	return f
}

// endedByServer says whether the connection was reset or closed without an end of the answer.
func endedByServer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || strings.Contains(err.Error(), "server closed idle connection")
}

// fail ends the attempt's connections, after which it is certain whether a byte was written. Once an answer arrived the connection
// is left to the transport, which may have given it to another request already.
func (x *exchange) fail(f *attemptError) *attemptError {
	f.wrote = x.response != nil || x.trace.seal()
	x.rq.written = x.rq.written || f.wrote
	x.h.metrics.attempts.WithLabelValues(string(f.kind)).Inc()
	x.logFailure(f)
	x.h.recordServer(x.rq, x.server, "attempt_failed", f.Error())
	if f.kind == failDial || f.kind == failBroken {
		x.h.suspects.set(x.server.ID, time.Now().Add(suspectTime))
		x.h.outcomes.suspect(control.SuspectReport{BackendServer: x.server.ID, Boot: x.server.Boot, Reason: control.SuspectConnection})
	}
	return f
}

// succeed notes a whole answer.
func (x *exchange) succeed() {
	x.rq.written = true
	x.h.metrics.attempts.WithLabelValues("ok").Inc()
}

// close ends the exchange. A connection whose answer was not read to its end is closed by it, which cancels the request at
// the backend server.
func (x *exchange) close() {
	x.h.running.remove(&x.running)
	if x.response != nil {
		x.rq.written = true
		_ = x.response.Body.Close()
	}
	x.cancel(context.Canceled)
}

// readBody reads an unstreamed answer whole.
func (x *exchange) readBody(limit int64) ([]byte, *attemptError) {
	body, err := io.ReadAll(io.LimitReader(x.response.Body, limit+1))
	if err != nil {
		return nil, x.broken(err)
	}
	if int64(len(body)) > limit {
		return nil, x.fail(&attemptError{kind: failProtocol, err: Error.New("the answer is over %d bytes", limit)})
	}
	return body, nil
}

// afterFailure decides whether a failed attempt may be repeated: it reports a crash first, then asks the retry budget. It returns
// the refusal for the caller when the request ends here.
func (h *Handler) afterFailure(ctx context.Context, rq *request, server *control.BackendServer, f *attemptError) *problem.Problem {
	h.countFailure(rq, server, f)
	if f.died {
		if p := h.reportCrash(ctx, rq, server); p != nil {
			return p
		}
	}
	if expired := h.expired(ctx, rq); expired != nil {
		return expired
	}
	rq.route.Exclude[server.ID] = true
	if f.kind == failBusy {
		rq.busy = append(rq.busy, server.ID)
	}
	if rq.tries >= h.cfg.MaxAttempts {
		return problem.New(problem.BackendFailed, "each attempt failed, the last one with: "+string(f.kind))
	}
	if !h.leaveRollout(rq, f) && !h.cfg.Budget.TryRetry(time.Now()) {
		return problem.New(problem.RetryBudgetExceeded, "the attempt failed with: "+string(f.kind)).After(time.Second)
	}
	h.metrics.retries.Inc()
	return nil
}

// maxLeavingPercent is the largest share of a roll-out up to which its failures go to the old version without the retry budget:
// the old version then gets half of its requests again at most, and it has to bear all of them after a roll-back anyway.
const maxLeavingPercent = 50

// leaveRollout makes a request without a session go on with the old version after the new one of a roll-out failed it. Such a
// retry needs no budget, as each request has one.
func (h *Handler) leaveRollout(rq *request, f *attemptError) bool {
	r := &rq.route
	decided := r.Service != "" || r.Session != "" || strings.Contains(r.Model, "@") || rq.fixed
	view := h.cfg.Board.View.Load().View
	if decided || f.kind == failBusy || r.Failed.Model != "" || view == nil {
		return false
	}
	if share := routing.RolloutShare(view, rq.version); share == 0 || share > maxLeavingPercent {
		return false
	}
	r.Failed = rq.version
	rq.dropVersion()
	h.record(rq, "rollout_left", "an attempt on "+rq.version.String()+" failed")
	return true
}

// writeRouted adds the headers of an attempt of a routed request. The host stays the caller's, as backend servers see the
// request as it was sent.
func (x *exchange) writeRouted(r *http.Request) {
	call := x.rq.routed
	r.Host = call.host
	x.h.cfg.Dialect.WriteAttempt(r.Header, &Attempt{
		Server: x.server, ID: x.rq.id, Workspace: x.rq.workspaceName(), Left: max(time.Until(call.limit), time.Millisecond),
		Rank: x.rq.rank(), Model: call.model, LastEvent: call.delivered,
	})
	if _, named := r.Header["User-Agent"]; !named {
		// An empty value keeps the transport from adding its own.
		r.Header.Set("User-Agent", "")
	}
}

// budgetOf returns the retry budget that the request draws on.
func (h *Handler) budgetOf(rq *request) RetryBudget {
	if rq.routed != nil {
		return h.routedBudget(rq.routed.service)
	}
	return h.cfg.Budget
}
