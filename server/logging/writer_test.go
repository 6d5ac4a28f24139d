package logging_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/onsi/gomega/gbytes"

	"clementinetray/server/logging"
)

// blockedOutput is an output that nobody reads: each write blocks until release is closed.
type blockedOutput struct{ release chan struct{} }

func (b blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against requests that block because nobody reads the log.
func TestWriteDoesNotBlockOnAnUnreadOutput(t *testing.T) {
	out := blockedOutput{make(chan struct{})}
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

// countLines returns the number of test lines in out.
func countLines(out *gbytes.Buffer) int { return bytes.Count(out.Contents(), []byte("line\n")) }

// Guards against a log whose volume grows with the load.
func TestLinesOverTheRateAreDroppedAndCounted(t *testing.T) {
	out := gbytes.NewBuffer()
	w := logging.NewWriter(out, 10)
	const sent = 500
	for range sent {
		_, _ = w.Write([]byte("line\n"))
	}
	w.Close()
	// The lines may be sent within two different seconds of the clock.
	if got := countLines(out); got < 10 || got > 20 {
		t.Fatalf("%d lines were written, want 10 a second", got)
	}
	if got := w.Dropped() + uint64(countLines(out)); got != sent {
		t.Fatalf("%d lines were written or counted as dropped, want %d", got, sent)
	}
}
