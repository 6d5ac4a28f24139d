package rollout

import (
	"math"
	"time"

	"clementinetray/api/control"
)

// sample adds up the attempts on one software version of a service, for one route or over all.
type sample struct {
	requests, failures int
	// logSum and logSquares add up the natural logarithm of the time to the first byte in milliseconds, and its square.
	logSum, logSquares float64
	timed              int
}

func (s *sample) add(o *control.Outcome) {
	s.requests += o.Requests
	s.failures += o.Failures
	s.timed += o.Timed
	s.logSum += o.LogFirstSum
	s.logSquares += o.LogFirstSquares
}

// failureRate is the share of failed attempts; a version that was hardly used counts as failing now and then.
func (s *sample) failureRate() float64 {
	return (float64(s.failures) + 0.5) / (float64(s.requests) + priorRequests)
}

// priorRequests is the weight of the assumption, in requests, that a version seldom fails.
const priorRequests = 20

// serviceErrorPlan detects a version that fails a fifth of its requests more than the one beside it. Faults of single
// backend servers stay below that.
var serviceErrorPlan = Plan{Alpha: 0.001, Beta: 0.01, Difference: 0.2}

const (
	// slowRatio is the ratio of the typical times to the first byte from which on a version counts as slow; the time of one
	// request depends on its size, so a smaller ratio is no evidence.
	slowRatio = 2.2
	// slowErrors is the number of standard errors by which the logarithms must differ.
	slowErrors = 3.5
	// minTimed is the number of timed answers of each version that a comparison needs.
	minTimed = 6
)

// worse reports whether the new version does worse than the old one, and why.
func worse(old, fresh *sample) (string, bool) {
	base := old.failureRate()
	if _, verdict := serviceErrorPlan.Bound(max(serviceErrorPlan.Step(fresh.requests, fresh.failures, base), leastRatio)); verdict == Bad {
		return "fails more often than the old version", true
	}
	if slower(old, fresh) {
		return "answers more slowly than the old version", true
	}
	return "", false
}

// leastRatio keeps the evidence for a version within the range of Plan.Bound.
const leastRatio = -100

// slower compares the mean logarithms of the times to the first byte.
func slower(old, fresh *sample) bool {
	if old.timed < minTimed || fresh.timed < minTimed {
		return false
	}
	oldMean, freshMean := old.logSum/float64(old.timed), fresh.logSum/float64(fresh.timed)
	difference := freshMean - oldMean
	deviation := math.Sqrt(old.variance()/float64(old.timed) + fresh.variance()/float64(fresh.timed))
	return difference > math.Log(slowRatio) && difference > slowErrors*deviation
}

// variance is that of the logarithms, at least what times of a few milliseconds scatter by.
func (s *sample) variance() float64 {
	mean := s.logSum / float64(s.timed)
	return max(s.logSquares/float64(s.timed)-mean*mean, leastVariance)
}

const leastVariance = 0.05

// schedule says from which shares of its time limit on, in percent, a roll-out does what.
type schedule struct {
	// all is from when on all requests go to the new version, done from when on a version without faults has succeeded. Between
	// them, streams end on the old version.
	all, done int
}

// scheduleFor returns the schedule by which at most the given share of the requests of the whole time limit reaches the new
// version, also when it shows no fault: one that is bad under load only, or turns bad late, may show none before it serves all.
func scheduleFor(exposure float64) schedule {
	const small = control.UnsettledPercent / 100.0
	bound := 100 * exposure * exposureMargin
	// Solves small*(all-opensAfter) + (100-all) = bound.
	all := int(math.Ceil((100 - small*opensAfter - bound) / (1 - small)))
	all = min(max(all, settledAfter), latestAll)
	return schedule{all: all, done: min(all+switchTime, latestDone)}
}

const (
	// opensAfter is the share of the time limit, in percent, before which no request goes to the new version: entry instances
	// tell each other meanwhile which sessions go on and stay on the old one. Of the shortest roll-outs, 16 s, it is 1.3 s.
	opensAfter = 8
	// settledAfter is the share of the time limit, in percent, from which on sessions may move to the new version.
	settledAfter = 50
	// switchTime is the share, in percent, for which all requests go to the new version before it has succeeded: of the shortest
	// roll-outs, 16 s, it is 0.8 s. latestAll and latestDone leave 0.6 s of those for the switch, and as much for the commit and
	// the operator's question.
	switchTime = 5
	latestAll  = 92
	latestDone = 96
	// exposureMargin covers load that differs over the time of a roll-out.
	exposureMargin = 0.95
	// minServiceRequests is the number of requests that a version must have served to succeed.
	minServiceRequests = 5
)

// nextProgress returns the progress of a running roll-out after elapsed. reason is why the version is bad, if it is.
func nextProgress(r control.ServiceRollout, plan schedule, elapsed time.Duration, served int, reason string) control.ServiceRollout {
	next := r
	next.ElapsedMillis = elapsed.Milliseconds()
	limit := time.Duration(r.Seconds) * time.Second
	share := int(100 * elapsed / max(limit, time.Millisecond))
	switch {
	case reason != "":
		next.State, next.Reason = control.RolloutRolledBack, reason
	case share >= plan.done && served >= minServiceRequests:
		next.State, next.Reason = control.RolloutDone, "no fault was found"
	case share >= 100:
		next.State, next.Reason = control.RolloutRolledBack, "too few requests to judge the version"
	}
	switch {
	case share >= plan.all:
		next.Percent = 100
	case share >= opensAfter:
		next.Percent = max(r.Percent, control.UnsettledPercent)
	}
	next.Settled = r.Settled || share >= settledAfter
	return next
}
