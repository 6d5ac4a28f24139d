package entry

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"clementinetray/server/answercheck"
)

const (
	// maxEventBytes bounds one event of a routed stream.
	maxEventBytes = 1 << 20
	// streamWriteTimeout bounds one write to the caller of a routed stream.
	streamWriteTimeout = 5 * time.Second
)

// eventSplitter splits a stream into events. Each is returned unchanged, with the empty line that ends it.
type eventSplitter struct {
	reader   *bufio.Reader
	event    []byte
	buffered *bufferShare
}

// next returns the next event, which is valid until the next call. The error is io.EOF when the body ends after an event, and
// io.ErrUnexpectedEOF when it ends inside one.
func (s *eventSplitter) next() ([]byte, error) {
	s.event = s.event[:0]
	for {
		line, err := s.reader.ReadSlice('\n')
		if err := s.buffered.grow(3 * (len(s.event) + len(line))); err != nil {
			return nil, err
		}
		s.event = append(s.event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(s.event) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return s.event, nil
		}
		if len(s.event) > maxEventBytes {
			return nil, Error.New("an event is over %d bytes", maxEventBytes)
		}
	}
}

// eventID returns the id of an event, empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// hasData reports whether an event holds data. Comments and empty events, which a backend server may send to keep a connection
// open, are no progress.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok && len(bytes.TrimSpace(data)) > 0 {
			return true
		}
	}
	return false
}

// stallFactor is the time without progress, in units of the longest wanted pause between events, after which a stream goes on at
// another backend server. An engine that reads a long prompt pauses its streams for longer than wanted, but not for several times as long.
const stallFactor = 3

// startStallTimer starts a timer that ends the attempt of a stream that makes no progress, if another backend server may go on with the
// stream. Otherwise a slow stream is left alone until the time limit of its route.
func (x *exchange) startStallTimer() *giveUpTimer {
	route := x.rq.routed.route
	limit := stallFactor * route.TargetGap()
	if !route.Resumable || limit <= 0 || x.rq.countedAttempts >= x.rq.maxAttempts() {
		return nil
	}
	return x.startGiveUpTimer(limit, errStalled.New("no event with data for %s", limit))
}

// isRepeated reports whether the first event of an attempt is one that the caller has already. last is the id of the caller's last
// event. Ids that are no numbers, and events without one, can't be compared.
func isRepeated(last, id string) bool {
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	number, err := strconv.ParseUint(id, 10, 64)
	return lastErr == nil && err == nil && number <= lastNumber
}

// relayStream sends events to the caller as they arrive. It sends complete events only, so that after a broken connection
// another backend server can continue after the last one.
func (h *Handler) relayStream(w http.ResponseWriter, x *exchange) *attemptError {
	reader := readerPool.Get().(*bufio.Reader)
	reader.Reset(x.response.Body)
	defer func() {
		reader.Reset(nil)
		readerPool.Put(reader)
	}()
	splitter, controller, call := &eventSplitter{reader: reader, buffered: &x.buffered}, http.NewResponseController(w), x.rq.routed
	var first, longestPause time.Duration
	last := x.began
	stalled := x.startStallTimer()
	defer stalled.stop()
	for {
		readFrom := time.Now()
		event, err := splitter.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return x.failConnection(err)
		}
		x.recordDelivery(time.Since(readFrom) >= minReadWait)
		if hasData(event) {
			stalled.restart()
		}
		id := eventID(event)
		if x.events == 0 && isRepeated(call.lastEventID, id) {
			return x.fail(&attemptError{kind: failProtocol, err: Error.New("event %s after event %s", id, call.lastEventID)})
		}
		x.events++
		x.running.streaming.Store(true)
		now := time.Now()
		if first == 0 {
			first = now.Sub(x.began)
			x.sent.FirstEvent(now)
			h.recordPartsAnswered(x.rq)
		} else {
			longestPause = max(longestPause, now.Sub(last))
			x.sent.Event(now, now.Sub(last))
		}
		last = now
		x.sampleInterval(x.events, now.Sub(x.began)-first, false)
		if !call.answerStarted {
			call.answerStarted, call.contentType = true, x.response.Header.Get("Content-Type")
			h.metrics.firstTokenSeconds.Observe(time.Since(x.rq.start).Seconds())
			h.recordFirstEvent(x.rq)
			copyHeader(w.Header(), x.response.Header)
			disableSniffing(w.Header())
			w.WriteHeader(http.StatusOK)
		}
		_ = controller.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
		if _, err := w.Write(event); err != nil {
			return x.fail(&attemptError{kind: failCancelled, err: err})
		}
		if err := controller.Flush(); err != nil {
			return x.fail(&attemptError{kind: failCancelled, err: err})
		}
		if id != "" {
			call.lastEventID = id
		}
	}
	if x.events == 0 && answercheck.EndsWithConnection(x.response) {
		return x.failConnection(io.ErrUnexpectedEOF)
	}
	x.recordSuccess()
	x.sampleInterval(x.events, last.Sub(x.began)-first, true)
	h.countRoutedAnswer(x, first)
	h.logAnswer(x, "stream_ended", "first", first, "longest_pause", longestPause, "events", x.events)
	if !call.answerStarted {
		// A stream that ends without an event is a valid answer.
		call.answerStarted = true
		copyHeader(w.Header(), x.response.Header)
		w.WriteHeader(http.StatusOK)
	}
	return nil
}
