package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the action of a step.
type Kind string

// Unplanned faults, followed by planned operations.
const (
	Kill             Kind = "kill"     // SIGKILL, then a restart
	Pause            Kind = "pause"    // SIGSTOP, then SIGCONT
	LoseDisk         Kind = "losedisk" // SIGKILL, removal of the data folder, then a restart
	TornTail         Kind = "torntail" // SIGKILL, a partly written record at the end of the log, then a restart
	KillAll          Kind = "killall"  // SIGKILL of all control instances at once, then restarts
	Cut              Kind = "cut"      // silent loss of all traffic between the instance and the control group
	CutOutgoing      Kind = "cutfrom"  // silent loss of traffic from the instance to the control group only
	DelayCallers     Kind = "delay"    // traffic between callers and the instance is delayed
	ResetCallers     Kind = "reset"    // open connections of callers to the instance are reset
	DropCallerData   Kind = "silence"  // open connections of callers to the instance pass no more data
	CrashServer      Kind = "crash"    // a backend server crashes and restarts
	CutServerAnswers Kind = "cutback"  // silent loss of what a backend server answers
	ResetServer      Kind = "resetat"  // open connections to a backend server are reset
	DropServerData   Kind = "silentat" // open connections to a backend server pass no more data
	SayLeaving       Kind = "says"     // a backend server says in its answers that it leaves, then restarts
	AskToSpare       Kind = "spare"    // a backend server refuses requests and asks to be spared
	SpoilAnswers     Kind = "spoil"    // a backend server spoils a share of its answers

	Stop          Kind = "stop"    // SIGTERM, then a restart
	Reload        Kind = "reload"  // SIGHUP
	ZoneOut       Kind = "zoneout" // an availability zone is taken out of service and brought back
	RevokeKey     Kind = "revoke"  // a workspace key is revoked and restored
	RaceOperators Kind = "race"    // two operators make changes based on the same revision
	DrainServer   Kind = "leave"   // a backend server asks to be drained and returns
)

var (
	// processFaults make an instance unavailable for a while.
	processFaults = []Kind{Kill, Pause, Cut, CutOutgoing}
	// diskFaults damage the data folder of a control instance.
	diskFaults = []Kind{LoseDisk, TornTail}
	// networkFaults concern the connections of callers, or a backend server and the connections to it.
	networkFaults = []Kind{DelayCallers, ResetCallers, DropCallerData, CrashServer, CutServerAnswers, ResetServer, DropServerData}
	// statementKinds are what a backend server says of itself.
	statementKinds = []Kind{SayLeaving, AskToSpare}
	plannedKinds   = []Kind{Stop, Reload, ZoneOut, RevokeKey, RaceOperators, DrainServer}
)

// Planned reports whether the kind is a planned operation, which must not make a caller lose an answer.
func (k Kind) Planned() bool { return slices.Contains(plannedKinds, k) }

// Step is one fault or planned operation.
type Step struct {
	Kind Kind
	// At is the start of the step, counted from the start of the plan. Duration is how long the step lasts.
	At, Duration time.Duration
	// Target is the index of the instance or backend server that the step applies to.
	Target int
}

// String returns the step on one line.
func (s Step) String() string {
	return fmt.Sprintf("%s target=%d at=%s for=%s", s.Kind, s.Target, s.At, s.Duration)
}

// Size holds the numbers of processes that a plan can target.
type Size struct {
	// Control counts the control instances, which have a disk, Entry the entry-only instances, Servers the backend servers.
	Control, Entry, Servers int
}

const (
	// phaseLength is the length of a phase. Phases of faults and of planned operations alternate, so that planned operations
	// are also checked without faults.
	phaseLength = 20 * time.Second
	// settleTime is the time at the end of a phase in which no step begins, so that the effects of earlier steps end: an
	// instance that was cut off serves callers for up to 6 s more.
	settleTime = 8 * time.Second
	// minStepTime and maxStepTime bound the duration of a step.
	// statementInterval is the mean time between two statements of backend servers.
	statementInterval = 4 * time.Second
	minStepTime       = 500 * time.Millisecond
	maxStepTime       = 5 * time.Second
	// stepsPerPhase is how many steps are drawn for a phase. Steps may overlap; conflicting ones are left out.
	stepsPerPhase = 6
)

// NewPlan returns the steps for a seed, ordered by start time. Fewer than half of the control instances are unavailable at
// once, except during KillAll, which keeps the disks.
func NewPlan(seed uint64, length time.Duration, size Size) []Step {
	rng := rand.New(rand.NewPCG(seed, seed))
	var plan []Step
	for from, planned := time.Duration(0), rng.IntN(2) == 0; from < length; from, planned = from+phaseLength, !planned {
		plan = addPhase(plan, rng, from, min(phaseLength, length-from), planned, size)
	}
	plan = addStatements(plan, rand.New(rand.NewPCG(seed, statementStream)), length, size)
	plan = addSpoiling(plan, rand.New(rand.NewPCG(seed, spoilingStream)), length, size)
	slices.SortStableFunc(plan, func(a, b Step) int { return int(a.At - b.At) })
	return plan
}

// statementStream and spoilingStream are the second seeds of the random numbers for addStatements and addSpoiling. They are apart from the
// others, so that seeds give the same other steps as before these kinds existed.
const statementStream, spoilingStream = 1, 2

// spoilingInterval is the mean time between two backend servers that begin to spoil answers.
const spoilingInterval = 3 * time.Second

// addSpoiling adds steps in which a backend server spoils answers, beside the steps of all other kinds and at any backend server.
func addSpoiling(plan []Step, rng *rand.Rand, length time.Duration, size Size) []Step {
	for from := time.Duration(0); from < length; from += spoilingInterval {
		s := Step{
			Kind: SpoilAnswers, Target: rng.IntN(size.Servers), At: from + time.Duration(rng.Int64N(int64(spoilingInterval))),
			Duration: minStepTime + time.Duration(rng.Int64N(int64(maxStepTime-minStepTime))),
		}
		overlaps := slices.ContainsFunc(plan, func(o Step) bool {
			return o.Kind == SpoilAnswers && o.Target == s.Target && s.At < o.At+o.Duration && o.At < s.At+s.Duration
		})
		if !overlaps && s.At < length {
			plan = append(plan, s)
		}
	}
	return plan
}

// addStatements adds steps in which backend servers say something of themselves, also beside the steps of all other kinds. Only
// the first half of the backend servers takes part, so that requests always find one.
func addStatements(plan []Step, rng *rand.Rand, length time.Duration, size Size) []Step {
	for from := time.Duration(0); from < length; from += statementInterval {
		s := Step{
			Kind: statementKinds[rng.IntN(len(statementKinds))], Target: rng.IntN(max(size.Servers/2, 1)),
			At:       from + time.Duration(rng.Int64N(int64(statementInterval))),
			Duration: minStepTime + time.Duration(rng.Int64N(int64(maxStepTime-minStepTime))),
		}
		overlaps := slices.ContainsFunc(plan, func(o Step) bool {
			restarts := slices.Contains(statementKinds, o.Kind) || o.Kind == CrashServer
			return restarts && o.Target == s.Target && s.At < o.At+o.Duration && o.At < s.At+s.Duration
		})
		if !overlaps && s.At < length {
			plan = append(plan, s)
		}
	}
	return plan
}

// addPhase adds the steps of one phase to a plan.
func addPhase(plan []Step, rng *rand.Rand, from, length time.Duration, planned bool, size Size) []Step {
	window := max(length-settleTime, length/2)
	for range stepsPerPhase {
		s := Step{
			At:       from + time.Duration(rng.Int64N(int64(window))),
			Duration: minStepTime + time.Duration(rng.Int64N(int64(maxStepTime-minStepTime))),
		}
		s.Kind, s.Target = drawStep(rng, planned, size)
		if s.Kind == ZoneOut || s.Kind == RevokeKey {
			// After viewLimit also an instance that is cut off must apply the change or refuse requests.
			s.Duration += viewLimit
		}
		if !conflicts(plan, s, size) {
			plan = append(plan, s)
		}
	}
	return plan
}

// drawStep draws the kind and the target of a step.
func drawStep(rng *rand.Rand, planned bool, size Size) (Kind, int) {
	instance, control, server := rng.IntN(size.Control+size.Entry), rng.IntN(size.Control), rng.IntN(size.Servers)
	pick := func(kinds []Kind) Kind { return kinds[rng.IntN(len(kinds))] }
	if planned {
		kind := pick(plannedKinds)
		if kind == DrainServer {
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
	kind := pick(networkFaults)
	if kind == DelayCallers || kind == ResetCallers || kind == DropCallerData {
		return kind, instance
	}
	return kind, server
}

// conflicts reports whether a step overlaps another one in a way that isn't allowed: on the same target, or so that the
// control group loses its majority.
func conflicts(steps []Step, s Step, size Size) bool {
	lost := 0
	for _, o := range steps {
		if s.At >= o.At+o.Duration+recoveryTime(o.Kind) || o.At >= s.At+s.Duration+recoveryTime(s.Kind) {
			continue
		}
		switch {
		case s.Kind == o.Kind && s.Target == o.Target, s.Kind == ZoneOut && o.Kind == ZoneOut, s.Kind == RevokeKey && o.Kind == RevokeKey,
			s.Kind == KillAll && disablesInstance(o.Kind), o.Kind == KillAll && disablesInstance(s.Kind),
			disablesInstance(s.Kind) && disablesInstance(o.Kind) && s.Target == o.Target,
			slices.Contains(diskFaults, s.Kind) && slices.Contains(diskFaults, o.Kind):
			return true
		case disablesInstance(o.Kind) && o.Target < size.Control:
			lost++
		}
	}
	return disablesInstance(s.Kind) && s.Target < size.Control && 2*(lost+1) >= size.Control
}

// disablesInstance reports whether a step makes an instance unavailable.
func disablesInstance(k Kind) bool {
	return k == Stop || k == KillAll || slices.Contains(processFaults, k) || slices.Contains(diskFaults, k)
}

// recoveryTime returns how long after a step an instance still counts as unavailable. A replica that lost its disk takes
// several seconds until it votes again.
func recoveryTime(k Kind) time.Duration {
	switch {
	case k == LoseDisk:
		return 6 * time.Second
	case disablesInstance(k):
		return 2 * time.Second
	}
	return 0
}
