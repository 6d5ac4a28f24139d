// Package watchdog reports when the whole process was held up, and by what. A log without lines for seconds does not tell
// whether the process waited, computed, collected garbage or did not run.
package watchdog

import (
	"context"
	"log/slog"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"

	"clementinetray/server/clock"
)

const (
	// interval is the time between two observations.
	interval = 500 * time.Millisecond
	// minStall is the shortest delay of an observation that is reported. Schedulers of busy machines delay by tens of
	// milliseconds.
	minStall = 500 * time.Millisecond
)

// Phase is what held the process up.
type Phase string

// The phases of a stall.
const (
	// PhaseSuspended means that the machine was suspended.
	PhaseSuspended Phase = "suspended"
	// PhaseCollecting means that the garbage collector paused the process.
	PhaseCollecting Phase = "collecting"
	// PhaseBusy means that the process computed most of the time, so that its goroutines waited for each other.
	PhaseBusy Phase = "busy"
	// PhaseNotRunning means that the process got no processor time: it was stopped, or other processes had all processors.
	PhaseNotRunning Phase = "not_running"
)

// sample is the state of the process's clocks at one moment.
type sample struct {
	at time.Time
	// processor is the processor time that the process has used, suspended the time that the machine was suspended, and
	// collecting the time that the garbage collector paused the process.
	processor, suspended, collecting time.Duration
}

// stall is a delay of an observation.
type stall struct {
	duration time.Duration
	phase    Phase
	// used is what changed in the clocks meanwhile.
	used sample
}

// findStall compares two samples and reports whether the process was held up between them.
func findStall(before, after sample) (stall, bool) {
	used := sample{
		processor: after.processor - before.processor, suspended: after.suspended - before.suspended,
		collecting: after.collecting - before.collecting,
	}
	delay := after.at.Sub(before.at) + used.suspended - interval
	if delay < minStall {
		return stall{}, false
	}
	phase := PhaseNotRunning
	switch {
	case used.suspended >= delay/2:
		phase = PhaseSuspended
	case used.collecting >= delay/2:
		phase = PhaseCollecting
	case used.processor >= delay/2:
		phase = PhaseBusy
	}
	return stall{duration: delay, phase: phase, used: used}, true
}

// sampler takes samples. It keeps the memory of the collector's statistics from one to the next.
type sampler struct{ collections debug.GCStats }

func (p *sampler) sample() sample {
	s := sample{at: time.Now(), suspended: clock.SuspendedTime()}
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) == nil {
		s.processor = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	debug.ReadGCStats(&p.collections)
	s.collecting = p.collections.PauseTotal
	return s
}

// Run logs each stall until ctx ends.
func Run(ctx context.Context, log *slog.Logger) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var p sampler
	for last := p.sample(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		next := p.sample()
		if s, found := findStall(last, next); found {
			log.Warn("stall", "duration", s.duration, "phase", string(s.phase), "processor", s.used.processor,
				"suspended", s.used.suspended, "collecting", s.used.collecting)
		}
		last = next
	}
}
