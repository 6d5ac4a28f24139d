package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"clementinetray/api/problem"
)

const (
	eventStreamType = "text/event-stream"
	doneData        = "[DONE]"
	// errorEvent is the type of the event that ends a broken stream.
	errorEvent = "error"
	// maxContinueBytes is the largest size of delivered text, in bytes, after which a broken stream is still continued on
	// another backend server.
	maxContinueBytes = 4 << 20
	// trailingReadTimeout and maxTrailingBytes limit the reading of data after the end of a stream.
	trailingReadTimeout = 250 * time.Millisecond
	maxTrailingBytes    = 64 << 10
)

// streamState is the state of a stream that is kept across attempts.
type streamState struct {
	log  *answerLog
	text strings.Builder
	// earlierTokens is the number of output tokens of earlier attempts.
	earlierTokens int
	// finished is set once the backend server sent a finish reason.
	finished bool
	// continuable is false once the caller received anything other than the text of a single choice, which a continuation
	// can't reproduce.
	continuable bool
}

// canContinue reports whether another attempt can continue the stream after what the caller received.
func (s *streamState) canContinue() bool { return s.continuable && s.text.Len() <= maxContinueBytes }

// serveStream runs the stream in a separate goroutine, so that it survives a lost caller connection, and writes its events
// to the caller.
func (h *Handler) serveStream(w http.ResponseWriter, r *http.Request, rq *request) {
	ctx, cancel := h.withTimeLimit(context.WithoutCancel(r.Context()), rq)
	log := h.answers.open(rq.id, rq.route.Workspace.Name, h.cfg.ResumeGrace, cancel)
	f, _ := log.follow(1)
	h.beginBackground()
	go h.runStream(ctx, cancel, rq, log)
	h.writeEvents(w, r, rq, f)
}

// runStream runs a stream to its end and closes its log. The last event is sent when the bill is durable or BillWait has
// passed.
func (h *Handler) runStream(ctx context.Context, cancel context.CancelFunc, rq *request, log *answerLog) {
	defer h.endRequest()
	defer cancel()
	defer rq.close()
	defer func() {
		if cause := recover(); cause != nil {
			h.metrics.panics.Inc()
			h.cfg.Log.Error("panic", "cause", cause, "stack", string(debug.Stack()))
			log.end(problem.New(problem.Internal, ""), nil)
			h.submitBill(rq, false)
		}
	}()
	state := &streamState{log: log, continuable: true}
	refused, p := h.streamAnswer(ctx, rq, state)
	switch {
	case p == nil && refused == nil:
		h.submitBill(rq, true)
		h.record(rq, "stream_ended")
		// The answer is complete, so a deadline that expires now must not drop the last event.
		log.append(context.WithoutCancel(ctx), "", []byte(doneData))
		log.end(nil, nil)
		h.ratings.sampleText(rq, state.text.String())
	case refused != nil:
		log.end(nil, refused)
	default:
		h.submitBill(rq, false)
		p = rq.withNotRunIfUnsent(p)
		if log.count() > 0 {
			p.Request = rq.id
			h.recordEvent(rq, streamBrokenEvent(p))
			if data, err := json.Marshal(p); err == nil {
				log.append(context.WithoutCancel(ctx), errorEvent, data)
			}
		}
		log.end(p, nil)
	}
}

// streamAnswer delivers the events of the answer. When an attempt fails it continues on another backend server, as far
// as the retry budget allows. It returns the backend server's answer when that is a refusal.
func (h *Handler) streamAnswer(ctx context.Context, rq *request, state *streamState) (*answer, *problem.Problem) {
	for {
		placed, p := h.place(ctx, rq)
		if p != nil {
			return nil, p
		}
		refused, f := h.attemptStream(ctx, rq, placed, state)
		if f == nil {
			return refused, nil
		}
		if p := h.checkRetry(ctx, rq, placed.server, f); p != nil {
			return nil, p
		}
		if state.log.count() == 0 {
			continue
		}
		if !state.canContinue() {
			return nil, problem.New(problem.BackendFailed, "the stream broke and can't be continued")
		}
		rq.versionFixed = true
		h.metrics.continuedStreams.Inc()
		h.recordServerEvent(rq, placed.server, "stream_continued", f.Error())
	}
}

// attemptStream delivers the events of one attempt until the end of the stream or a failure. It returns the backend server's
// answer when that is a refusal.
func (h *Handler) attemptStream(ctx context.Context, rq *request, placed *placement, state *streamState) (*answer, *attemptError) {
	defer placed.release()
	continued := state.log.count() > 0
	x, f := h.dispatchChat(ctx, rq, placed, state.text.String())
	defer x.close()
	if f != nil {
		return nil, f
	}
	if x.response.StatusCode != http.StatusOK {
		return h.readStreamRefusal(x, continued)
	}
	if !strings.HasPrefix(x.response.Header.Get("Content-Type"), eventStreamType) {
		return nil, x.fail(&attemptError{kind: failProtocol, err: Error.New("the answer is not an event stream")})
	}
	state.log.setVersionChange(rq.versionChange)
	events := newEventReader(x.response.Body, &x.buffered)
	defer events.release()
	r := &streamRelay{x: x, state: state, continued: continued}
	f = r.run(events)
	h.addBillLine(rq, x.server, r.attemptUsage)
	state.earlierTokens += r.attemptUsage.CompletionTokens
	if f != nil && !state.finished {
		return nil, f
	}
	if f == nil {
		x.drainTrailingEvents(events)
	}
	x.recordSuccess()
	return nil, nil
}

// readStreamRefusal reads an answer whose status is not 200. For a continuation it is a failure, because part of the answer
// was already delivered.
func (h *Handler) readStreamRefusal(x *exchange, continued bool) (*answer, *attemptError) {
	if continued {
		return nil, x.fail(&attemptError{kind: failStatus, err: Error.New("status %d for a continuation", x.response.StatusCode)})
	}
	body, f := x.readBody(h.cfg.MaxAnswer)
	if f != nil {
		return nil, f
	}
	x.recordSuccess()
	return &answer{status: x.response.StatusCode, header: x.response.Header, body: body}, nil
}

// streamRelay appends the events of one attempt to the log.
type streamRelay struct {
	x         *exchange
	state     *streamState
	continued bool
	// attemptUsage is the token usage of this attempt: as reported by the backend server, or else the number of events with
	// text.
	attemptUsage usage
	// usageReported is set once the backend server sent its token usage.
	usageReported bool
	// firstEventAt is the time of the first event.
	firstEventAt time.Time
}

// run relays events until the end of the stream.
func (r *streamRelay) run(events eventReader) *attemptError {
	for {
		data, err := events.next()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return r.x.failConnection(err)
		}
		r.x.running.touch()
		if string(data) == doneData {
			r.countPace(true)
			return nil
		}
		if f := r.relayEvent(data); f != nil {
			return f
		}
	}
}

// relayEvent parses the data of a server-sent message, updates the stream's state and appends the data to the log.
func (r *streamRelay) relayEvent(data []byte) *attemptError {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return r.x.fail(&attemptError{kind: failProtocol, err: err})
	}
	if len(c.Error) > 0 {
		return r.x.fail(&attemptError{kind: failStatus, err: Error.New("the stream carries an error")})
	}
	r.countEvent()
	text, finished, continuable := c.text()
	switch {
	case c.Usage != nil:
		r.attemptUsage, r.usageReported = *c.Usage, true
		data = r.withTotal(data)
	case text != "" && !r.usageReported:
		r.attemptUsage.CompletionTokens++
	case text == "" && !finished && r.continued:
		// Skip the opening event of a continuation: the caller already has one.
		return nil
	}
	r.state.text.WriteString(text)
	r.state.finished = r.state.finished || finished
	r.state.continuable = r.state.continuable && continuable
	if !r.state.canContinue() {
		r.x.running.repeatable.Store(false)
	}
	if !r.state.log.append(r.x.ctx, "", data) {
		return r.x.failConnection(r.x.ctx.Err())
	}
	return nil
}

// countEvent counts an event of the attempt, and at the first one the answer and its time to the first token.
func (r *streamRelay) countEvent() {
	r.x.events++
	r.x.running.streaming.Store(true)
	if r.x.events > 1 {
		r.countPace(false)
		return
	}
	r.firstEventAt = time.Now()
	h := r.x.h
	h.recordPartsAnswered(r.x.rq)
	h.countAnswer(r.x.rq, r.x.server, r.firstEventAt.Sub(r.x.began))
	if !r.continued {
		h.metrics.firstTokenSeconds.Observe(time.Since(r.x.rq.start).Seconds())
	}
}

// countPace counts the stream by its mean time between events, when measuresInterval says so.
func (r *streamRelay) countPace(ended bool) {
	if measuresInterval(r.x.events, ended) {
		r.x.h.countPace(r.x.rq, r.x.server, time.Since(r.firstEventAt)/time.Duration(r.x.events-1))
	}
}

// withTotal returns the event's data with the output tokens of earlier attempts added to its usage.
func (r *streamRelay) withTotal(data []byte) []byte {
	if r.state.earlierTokens == 0 {
		return data
	}
	total := r.attemptUsage
	total.CompletionTokens += r.state.earlierTokens
	return withUsage(data, total)
}

// drainTrailingEvents reads the rest of the response body, so that the connection can be reused. Events after the end of
// the stream belong to a duplicate answer and are dropped.
func (x *exchange) drainTrailingEvents(events eventReader) {
	timer := time.AfterFunc(trailingReadTimeout, func() { x.cancel(context.Canceled) })
	defer timer.Stop()
	dropped := false
	for read := 0; read < maxTrailingBytes; {
		data, err := events.next()
		if err != nil {
			return
		}
		read += len(data)
		if !dropped {
			dropped = true
			x.recordDropped("duplicate", "events after the end of the stream")
		}
	}
}

// writeEvents writes the events of a log to a caller until the log ends or the caller disconnects. It aborts the
// connection when an event that the caller needs next was already dropped.
func (h *Handler) writeEvents(w http.ResponseWriter, r *http.Request, rq *request, f *follower) {
	defer f.close()
	out := http.NewResponseController(w)
	started := false
	for {
		frames, ended, lost := f.unread()
		if lost {
			panic(http.ErrAbortHandler)
		}
		if len(frames) > 0 {
			if !started {
				started = true
				f.writeHeader(w)
			}
			_ = out.SetWriteDeadline(time.Now().Add(h.cfg.CallerWriteTimeout))
			if !writeFrames(w, out, frames) {
				return
			}
			f.advance(frames)
			continue
		}
		if ended {
			_ = out.SetWriteDeadline(time.Time{})
			h.endEvents(w, rq, f, started)
			return
		}
		select {
		case <-f.wake:
		case <-r.Context().Done():
			return
		}
	}
}

func (f *follower) writeHeader(w http.ResponseWriter) {
	w.Header().Set("Content-Type", eventStreamType)
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(HeaderRequest, f.log.requestID)
	f.log.mu.Lock()
	changed := f.log.versionChange
	f.log.mu.Unlock()
	if changed != "" {
		w.Header().Set(HeaderVersionChanged, changed)
	}
	w.WriteHeader(http.StatusOK)
}

func writeFrames(w http.ResponseWriter, out *http.ResponseController, frames [][]byte) bool {
	for _, frame := range frames {
		if _, err := w.Write(frame); err != nil {
			return false
		}
	}
	return out.Flush() == nil
}

// endEvents ends the response. It writes the answer or the problem of a stream without events, and aborts the connection of
// a broken stream, so that the caller can't mistake a partial answer for a complete one.
func (h *Handler) endEvents(w http.ResponseWriter, rq *request, f *follower, started bool) {
	f.log.mu.Lock()
	p, a := f.log.problem, f.log.answer
	f.log.mu.Unlock()
	switch {
	case a != nil:
		h.writeAnswer(w, rq, a)
	case p != nil && started:
		panic(http.ErrAbortHandler)
	case p != nil:
		h.writeProblem(w, rq, p)
	case !started:
		f.writeHeader(w)
	}
}
