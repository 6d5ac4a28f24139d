package watchdog

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// TestFindStall guards against stalls that are not reported, or whose cause is not told.
func TestFindStall(t *testing.T) {
	start := time.Now()
	for _, c := range []struct {
		desc  string
		after sample
		want  Phase
	}{
		{"on time", sample{at: start.Add(interval)}, ""},
		{"late as on a busy machine", sample{at: start.Add(interval + minStall - time.Millisecond)}, ""},
		{"no processor time", sample{at: start.Add(6 * time.Second), processor: 100 * time.Millisecond}, PhaseNotRunning},
		{"computing", sample{at: start.Add(6 * time.Second), processor: 5 * time.Second}, PhaseBusy},
		{"garbage collector", sample{at: start.Add(3 * time.Second), processor: 2 * time.Second, collecting: 2 * time.Second}, PhaseCollecting},
		{"suspended: the monotonic clock stood still", sample{at: start.Add(interval), suspended: 4 * time.Second}, PhaseSuspended},
	} {
		s, found := findStall(sample{at: start}, c.after)
		if found != (c.want != "") || s.phase != c.want {
			t.Errorf("%s: %+v, %t; want phase %q", c.desc, s, found, c.want)
		}
	}
}

// TestRun guards against a watchdog that reports a process that is not held up, or that outlives its context.
func TestRun(t *testing.T) {
	var log bytes.Buffer
	ctx, cancel := context.WithTimeout(context.Background(), 2*interval+interval/2)
	defer cancel()
	Run(ctx, slog.New(slog.NewTextHandler(&log, nil)))
	if lines := log.String(); strings.Contains(lines, "phase=collecting") || strings.Contains(lines, "phase=suspended") {
		t.Errorf("log %q", lines)
	}
}
