package entry

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// maxEvent bounds one event of a routed stream, in bytes.
	maxEvent = 1 << 20
	// streamWriteTimeout bounds one write to the caller of a stream.
	streamWriteTimeout = 5 * time.Second
)

// eventSplitter reads whole events as they are, with the empty line that ends each.
type eventSplitter struct {
	in    *bufio.Reader
	event []byte
}

// next returns the next whole event, valid until the next call. The error is io.EOF at the end of the body between two
// events, and io.ErrUnexpectedEOF in the middle of one.
func (s *eventSplitter) next() ([]byte, error) {
	s.event = s.event[:0]
	for {
		line, err := s.in.ReadSlice('\n')
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
		if len(s.event) > maxEvent {
			return nil, Error.New("an event is over %d bytes", maxEvent)
		}
	}
}

// eventID returns the id of an event, or an empty string.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// relayStream passes whole events on as they arrive. After a break the caller has only whole events, so that another
// backend server can go on behind the last one.
func (h *Handler) relayStream(w http.ResponseWriter, x *exchange) *attemptError {
	in := readers.Get().(*bufio.Reader)
	in.Reset(x.response.Body)
	defer func() {
		in.Reset(nil)
		readers.Put(in)
	}()
	events, out, call := &eventSplitter{in: in}, http.NewResponseController(w), x.rq.routed
	var first, pause time.Duration
	count := 0
	last := x.began
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return x.broken(err)
		}
		x.running.touch()
		count++
		now := time.Now()
		if first == 0 {
			first = now.Sub(x.began)
		} else {
			pause = max(pause, now.Sub(last))
			h.balance.Paced(now, x.server.ID, now.Sub(last))
		}
		last = now
		if !call.begun {
			call.begun = true
			h.metrics.firstToken.Observe(time.Since(x.rq.start).Seconds())
			copyHeader(w.Header(), x.response.Header)
			writeNoSniff(w.Header())
			w.WriteHeader(http.StatusOK)
		}
		_ = out.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
		if _, err := w.Write(event); err != nil {
			return x.fail(&attemptError{kind: failCancelled, err: err})
		}
		if err := out.Flush(); err != nil {
			return x.fail(&attemptError{kind: failCancelled, err: err})
		}
		if id := eventID(event); id != "" {
			call.delivered = id
		}
	}
	x.succeed()
	h.countRoutedAnswer(x, first)
	h.logAnswer(x, "stream_ended", "first", first, "longest_pause", pause, "events", count)
	if !call.begun {
		// A stream without events is an answer too.
		call.begun = true
		copyHeader(w.Header(), x.response.Header)
		w.WriteHeader(http.StatusOK)
	}
	return nil
}
