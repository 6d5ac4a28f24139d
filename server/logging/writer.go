// Package logging writes log lines without ever blocking the process that logs, and bounds their number.
package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedLines bounds the lines that wait for a reader that is slow or gone.
	queuedLines = 4096
	// closeTimeout bounds the wait for the last lines when the process ends.
	closeTimeout = 200 * time.Millisecond
)

// Writer passes lines on from a goroutine of its own. Lines over the rate, or that find the queue full, are dropped and
// counted. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	rate    int
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}

	mu     sync.Mutex // guards second and used
	second int64
	used   int
}

// NewWriter returns a writer that passes on at most rate lines a second. Close ends its goroutine.
func NewWriter(out io.Writer, rate int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queuedLines), rate: rate, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never blocks and never fails, as nothing can be done about a log that is not read.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.admit(time.Now()) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

func (w *Writer) admit(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := now.Unix(); second != w.second {
		w.second, w.used = second, 0
	}
	w.used++
	return w.used <= w.rate
}

func (w *Writer) run() {
	defer close(w.done)
	reported := uint64(0)
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		case <-w.stop:
			w.flush()
			return
		}
		if dropped := w.dropped.Load(); dropped > reported && len(w.lines) == 0 {
			_, _ = fmt.Fprintf(w.out, "level=WARN msg=log_lines_dropped count=%d total=%d\n", dropped-reported, dropped)
			reported = dropped
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		default:
			return
		}
	}
}

// Close writes the lines that wait, for a limited time.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
