package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/answercheck"
)

// maxPendingFinishes is the largest number of FinishCall requests that wait for a retry. If one is dropped, the record of its
// call changes to outcome unknown after this process has ended.
const maxPendingFinishes = 10_000

// callFinisher commits the ends of calls and retries those that could not be committed in time.
type callFinisher struct {
	client  control.Client
	timeout time.Duration
	pending *pendingList[control.FinishCallRequest]
}

func newCallFinisher(cfg *Config) *callFinisher {
	f := &callFinisher{client: cfg.Control, timeout: cfg.ControlTimeout}
	f.pending = newPendingList(maxPendingFinishes, f.sendAll)
	return f
}

func (f *callFinisher) run(ctx context.Context) { f.pending.run(ctx) }

func (f *callFinisher) drain(ctx context.Context) int { return f.pending.drain(ctx) }

func (f *callFinisher) sendAll(ctx context.Context, items []control.FinishCallRequest) error {
	for i := range items {
		if err := f.send(ctx, &items[i]); err != nil {
			return err
		}
	}
	return nil
}

func (f *callFinisher) send(ctx context.Context, in *control.FinishCallRequest) error {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	return f.client.FinishCall(ctx, in)
}

// finish commits the end of a call and reports whether it is durable. On failure it queues the end for a retry.
func (f *callFinisher) finish(in control.FinishCallRequest) bool {
	copied := in
	if err := f.send(context.Background(), &copied); err != nil {
		f.pending.add(in)
		return false
	}
	return true
}

// requestHash returns the SHA-256 hash of method, path and body in hexadecimal.
func requestHash(out *outgoingRequest) string {
	hash := sha256.New()
	for _, part := range []string{out.method, out.target.String()} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(out.body)
	return hex.EncodeToString(hash.Sum(nil))
}

// callOnce runs a call that must not be repeated. Its record is durable before the first byte is written to a backend server,
// and its end is durable before the caller gets the answer.
func (h *Handler) callOnce(ctx context.Context, rq *request, call *serviceCall) (*answer, *problem.Problem) {
	stored, p := h.beginCall(ctx, rq, call)
	if stored != nil || p != nil {
		return stored, p
	}
	finish := control.FinishCallRequest{Workspace: rq.route.Workspace.Name, Key: rq.idempotencyKey, Request: rq.id}
	finishSubmitted := false
	// A panic must not leave the record in progress.
	defer func() {
		if !finishSubmitted {
			finish.Unknown, finish.Cancelled = rq.written, !rq.written
			h.finisher.pending.add(finish)
		}
	}()
	a, p := h.runOnce(ctx, rq, call)
	switch {
	case p == nil:
		finish.Answer = storedAnswer(a)
	case rq.written:
		finish.Unknown = true
	default:
		finish.Cancelled = true
	}
	finishSubmitted = true
	durable := h.finisher.finish(finish)
	if p != nil {
		return nil, rq.withNotRunIfUnsent(p)
	}
	if !durable {
		h.record(rq, "call_not_finished", "the answer could not be committed")
		return nil, problem.New(problem.OutcomeUnknown, "the call ran but its answer could not be committed; send it again with the same key to get the answer").WithRetryAfter(time.Second)
	}
	return a, nil
}

// runOnce makes attempts until one of them has written a byte to a backend server. There is no further attempt after that.
func (h *Handler) runOnce(ctx context.Context, rq *request, call *serviceCall) (*answer, *problem.Problem) {
	for {
		placed, p := h.place(ctx, rq)
		if p != nil {
			return nil, p
		}
		// The call continues when its caller disconnects, so that a retry with the same key gets the answer.
		detached, cancel := h.withTimeLimit(context.WithoutCancel(ctx), rq)
		a, f := h.attemptService(detached, rq, placed, call)
		cancel()
		switch {
		case f == nil:
			return a, nil
		case f.wrote:
			h.countFailure(rq, placed.server, f)
			if f.serverCrashed {
				h.reportCrash(ctx, rq, placed.server, f)
			}
			return nil, problem.New(problem.OutcomeUnknown, "the backend server did not answer; the call may have run")
		}
		if p := h.checkRetry(ctx, rq, placed.server, f); p != nil {
			return nil, p
		}
	}
}

// beginCall records the call. It returns the stored answer of an earlier call with the same key, or a problem, or neither when
// the call may be dispatched.
func (h *Handler) beginCall(ctx context.Context, rq *request, call *serviceCall) (*answer, *problem.Problem) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.cfg.ControlTimeout)
	defer cancel()
	reply, err := h.cfg.Control.BeginCall(ctx, &control.BeginCallRequest{
		Workspace: rq.route.Workspace.Name, Key: rq.idempotencyKey, BodyHash: requestHash(&call.out), Request: rq.id,
	})
	if control.ErrTableFull.Has(err) {
		return nil, tableFullProblem()
	}
	if err != nil {
		h.cancelBeginCall(rq)
		// not_run is not set, as an earlier request with the same key may have run.
		return nil, problem.New(problem.ControlUnavailable, "the call could not be recorded").WithRetryAfter(time.Second)
	}
	h.record(rq, "call_begun", string(reply.State), reply.Holder)
	switch reply.State {
	case control.CallNew:
		return nil, nil
	case control.CallDone:
		return answerFromStored(reply.Answer)
	case control.CallInProgress:
		return nil, problem.New(problem.InProgress, "request "+reply.Holder+" holds the key").WithRetryAfter(time.Second)
	case control.CallKeyReused:
		return nil, problem.New(problem.KeyReused, "the key was used for another request").MarkNotRun()
	case control.CallTableFull:
		return nil, tableFullProblem()
	default:
		return nil, problem.New(problem.OutcomeUnknown, "request "+reply.Holder+" held the key and its outcome is not known")
	}
}

func tableFullProblem() *problem.Problem {
	return problem.New(problem.Overloaded, "the table of calls is full").MarkNotRun().WithRetryAfter(time.Minute)
}

// cancelBeginCall cancels the record of a BeginCall whose outcome is unknown. It cancels twice, as BeginCall may be committed
// after the first cancellation.
func (h *Handler) cancelBeginCall(rq *request) {
	finish := control.FinishCallRequest{Workspace: rq.route.Workspace.Name, Key: rq.idempotencyKey, Request: rq.id, Cancelled: true}
	h.finisher.pending.add(finish)
	time.AfterFunc(2*h.cfg.ControlTimeout, func() { h.finisher.pending.add(finish) })
}

// storedAnswer returns the part of an answer that is stored for retries. A body over control.MaxStoredAnswerBytes is left out.
func storedAnswer(a *answer) *control.CallAnswer {
	out := &control.CallAnswer{Status: a.status, ContentType: a.header.Get("Content-Type"), Body: a.body}
	if len(a.body) > control.MaxStoredAnswerBytes {
		out.Body, out.Truncated = nil, true
	}
	return out
}

func answerFromStored(stored *control.CallAnswer) (*answer, *problem.Problem) {
	if stored == nil || stored.Truncated {
		return nil, problem.New(problem.OutcomeUnknown, "the call was completed but its answer was too large to be kept")
	}
	if !answercheck.IsFinal(stored.Status) {
		// Earlier builds stored any status that a backend server sent.
		return nil, problem.New(problem.OutcomeUnknown, "the call was answered with an invalid status")
	}
	return &answer{status: stored.Status, header: http.Header{"Content-Type": {stored.ContentType}}, body: stored.Body}, nil
}
