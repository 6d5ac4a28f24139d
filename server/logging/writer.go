// Package logging writes log lines without blocking the caller, and limits how many are written per second.
package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of lines that are held while the output is slow or blocked.
	maxQueuedLines = 4096
	// closeTimeout bounds how long Close waits for the queued lines.
	closeTimeout = 200 * time.Millisecond
)

// Writer queues lines and writes them to the output from its own goroutine. It drops and counts lines that exceed the rate
// or arrive while the queue is full. It is safe for concurrent use.
type Writer struct {
	out            io.Writer
	lines          chan []byte
	linesPerSecond int
	dropped        atomic.Uint64
	stop           chan struct{}
	done           chan struct{}

	mu              sync.Mutex // guards currentSecond and linesThisSecond
	currentSecond   int64
	linesThisSecond int
}

// NewWriter returns a writer that writes at most linesPerSecond lines a second. Close stops its goroutine.
func NewWriter(out io.Writer, linesPerSecond int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), linesPerSecond: linesPerSecond, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It does not wait for the output and returns no error, because the caller can do nothing about a log
// that nobody reads.
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

// Dropped returns the number of lines that were dropped since the writer was created.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// admit counts a line and returns whether it is within the rate. Each second of the wall clock has its own count.
func (w *Writer) admit(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := now.Unix(); second != w.currentSecond {
		w.currentSecond, w.linesThisSecond = second, 0
	}
	w.linesThisSecond++
	return w.linesThisSecond <= w.linesPerSecond
}

// run writes queued lines until Close is called. Once the queue is empty, it reports lines that were dropped meanwhile.
func (w *Writer) run() {
	defer close(w.done)
	reportedDrops := uint64(0)
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		case <-w.stop:
			w.flush()
			return
		}
		if dropped := w.dropped.Load(); dropped > reportedDrops && len(w.lines) == 0 {
			_, _ = fmt.Fprintf(w.out, "level=WARN msg=log_lines_dropped count=%d total=%d\n", dropped-reportedDrops, dropped)
			reportedDrops = dropped
		}
	}
}

// flush writes the lines that are in the queue.
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

// Close writes the queued lines and stops the goroutine, but waits for this no longer than closeTimeout.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
