package logging_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/onsi/gomega/gbytes"

	"clementinetray/server/logging"
)

// blocked is a standard output that nobody reads.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against requests that wait for a reader of the log.
func TestWriteDoesNotBlockOnAnUnreadOutput(t *testing.T) {
	out := blocked{make(chan struct{})}
	w := logging.NewWriter(out, 1_000_000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20_000 {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("a write blocked")
	}
	if w.Dropped() == 0 {
		t.Fatal("no line was counted as dropped")
	}
	close(out.release)
	w.Close()
}

func lines(out *gbytes.Buffer) int { return bytes.Count(out.Contents(), []byte("line\n")) }

// Guards against a log whose volume grows with the load.
func TestLinesOverTheRateAreDroppedAndCounted(t *testing.T) {
	out := gbytes.NewBuffer()
	w := logging.NewWriter(out, 10)
	const sent = 500
	for range sent {
		_, _ = w.Write([]byte("line\n"))
	}
	w.Close()
	// The writes may fall into two seconds of the clock.
	if got := lines(out); got < 10 || got > 20 {
		t.Fatalf("%d lines were written, want 10 a second", got)
	}
	if got := w.Dropped() + uint64(lines(out)); got != sent {
		t.Fatalf("%d lines were written or counted as dropped, want %d", got, sent)
	}
}
