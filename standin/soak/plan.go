package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what a step of a plan does.
type Kind string

// Faults that nobody planned, and planned work.
const (
	Kill     Kind = "kill"     // SIGKILL, then a new start
	Pause    Kind = "pause"    // SIGSTOP, then SIGCONT
	LoseDisk Kind = "losedisk" // SIGKILL, the data folder removed, then a new start
	TornTail Kind = "torntail" // SIGKILL, bytes of an unfinished write behind the log, then a new start
	KillAll  Kind = "killall"  // SIGKILL of each control instance at once, then new starts
	Cut      Kind = "cut"      // no byte between the instance and the control group
	CutFrom  Kind = "cutfrom"  // no byte from the instance to the control group
	Delay    Kind = "delay"    // each read of what callers send the instance is late
	Reset    Kind = "reset"    // callers' connections to the instance are reset
	Silence  Kind = "silence"  // callers' connections to the instance go silent for good
	Crash    Kind = "crash"    // a backend server dies and starts again
	CutBack  Kind = "cutback"  // nothing comes back from a backend server
	ResetAt  Kind = "resetat"  // connections to a backend server are reset
	SilentAt Kind = "silentat" // connections to a backend server go silent for good

	Stop    Kind = "stop"    // SIGTERM, then a new start
	Reload  Kind = "reload"  // SIGHUP
	ZoneOut Kind = "zoneout" // an availability zone is taken out of service and back
	Revoke  Kind = "revoke"  // a workspace key is withdrawn and accepted again
	Race    Kind = "race"    // two operators change the same thing at once
	Leave   Kind = "leave"   // a backend server asks to be emptied and comes back
)

var (
	// processFaults lose a process for a while.
	processFaults = []Kind{Kill, Pause, Cut, CutFrom}
	// diskFaults need an instance with a disk.
	diskFaults = []Kind{LoseDisk, TornTail}
	wireFaults = []Kind{Delay, Reset, Silence, Crash, CutBack, ResetAt, SilentAt}
	plannedAll = []Kind{Stop, Reload, ZoneOut, Revoke, Race, Leave}
)

// Planned reports whether the step is planned work, which must cost no caller an answer.
func (k Kind) Planned() bool { return slices.Contains(plannedAll, k) }

// Step is one fault or piece of planned work.
type Step struct {
	Kind Kind
	// At is when it begins after the start of the load, For how long it lasts.
	At, For time.Duration
	// Target is the number of the instance or of the backend server that it concerns.
	Target int
}

// String returns the step on one line.
func (s Step) String() string {
	return fmt.Sprintf("%s target=%d at=%s for=%s", s.Kind, s.Target, s.At, s.For)
}

// Size is what a plan may choose from.
type Size struct {
	// Control and Entry are the numbers of instances with a disk and without, Servers that of backend servers.
	Control, Entry, Servers int
}

const (
	// phaseLength is the length of a phase. Phases of faults and phases of planned work take turns, so that planned work is
	// also judged alone.
	phaseLength = 20 * time.Second
	// settleTime is the time at the end of a phase in which nothing new begins: a cut instance serves for 6 s.
	settleTime = 8 * time.Second
	// leastStep and mostStep bound the length of a step.
	leastStep = 500 * time.Millisecond
	mostStep  = 5 * time.Second
	// stepsPerPhase is the number of steps that begin in a phase, of which some overlap.
	stepsPerPhase = 6
)

// NewPlan returns the steps of a seed in the order of their beginning. Fewer than half of the control instances are lost at
// once, but for KillAll, which keeps the disks.
func NewPlan(seed uint64, length time.Duration, size Size) []Step {
	rng := rand.New(rand.NewPCG(seed, seed))
	var plan []Step
	for from, planned := time.Duration(0), rng.IntN(2) == 0; from < length; from, planned = from+phaseLength, !planned {
		plan = addPhase(plan, rng, from, min(phaseLength, length-from), planned, size)
	}
	slices.SortStableFunc(plan, func(a, b Step) int { return int(a.At - b.At) })
	return plan
}

// addPhase adds the steps of one phase to a plan.
func addPhase(plan []Step, rng *rand.Rand, from, length time.Duration, planned bool, size Size) []Step {
	window := max(length-settleTime, length/2)
	for range stepsPerPhase {
		s := Step{
			At:  from + time.Duration(rng.Int64N(int64(window))),
			For: leastStep + time.Duration(rng.Int64N(int64(mostStep-leastStep))),
		}
		s.Kind, s.Target = choose(rng, planned, size)
		if s.Kind == ZoneOut || s.Kind == Revoke {
			// Long enough to see what an instance does that was cut off.
			s.For += viewLimit
		}
		if !clashes(plan, s, size) {
			plan = append(plan, s)
		}
	}
	return plan
}

func choose(rng *rand.Rand, planned bool, size Size) (Kind, int) {
	instance, control, server := rng.IntN(size.Control+size.Entry), rng.IntN(size.Control), rng.IntN(size.Servers)
	pick := func(kinds []Kind) Kind { return kinds[rng.IntN(len(kinds))] }
	if planned {
		kind := pick(plannedAll)
		if kind == Leave {
			return kind, server
		}
		return kind, instance
	}
	switch rng.IntN(8) {
	case 0:
		return pick(diskFaults), control
	case 1:
		return KillAll, 0
	case 2, 3, 4:
		return pick(processFaults), instance
	}
	kind := pick(wireFaults)
	if kind == Delay || kind == Reset || kind == Silence {
		return kind, instance
	}
	return kind, server
}

// clashes reports whether a step would concern what another one holds, or lose the majority of the control group.
func clashes(steps []Step, s Step, size Size) bool {
	lost := 0
	for _, o := range steps {
		if s.At >= o.At+o.For+recoveryTime(o.Kind) || o.At >= s.At+s.For+recoveryTime(s.Kind) {
			continue
		}
		switch {
		case s.Kind == o.Kind && s.Target == o.Target, s.Kind == ZoneOut && o.Kind == ZoneOut, s.Kind == Revoke && o.Kind == Revoke,
			s.Kind == KillAll && takesInstance(o.Kind), o.Kind == KillAll && takesInstance(s.Kind),
			takesInstance(s.Kind) && takesInstance(o.Kind) && s.Target == o.Target,
			slices.Contains(diskFaults, s.Kind) && slices.Contains(diskFaults, o.Kind):
			return true
		case takesInstance(o.Kind) && o.Target < size.Control:
			lost++
		}
	}
	return takesInstance(s.Kind) && s.Target < size.Control && 2*(lost+1) >= size.Control
}

func takesInstance(k Kind) bool {
	return k == Stop || k == KillAll || slices.Contains(processFaults, k) || slices.Contains(diskFaults, k)
}

// recoveryTime is how long an instance counts as lost after a step: a replica that lost its disk is admitted again after
// seconds.
func recoveryTime(k Kind) time.Duration {
	switch {
	case k == LoseDisk:
		return 6 * time.Second
	case takesInstance(k):
		return 2 * time.Second
	}
	return 0
}
