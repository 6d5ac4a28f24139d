package rollout

import (
	"math"
	"time"

	"clementinetray/api/control"
)

// sample adds up the attempts on one software version of a service, for one route or over all.
type sample struct {
	requests, failures int
	// logSum and logSquares add up the natural logarithm of the time to the first byte in milliseconds, and its square,
	// over timedAnswers answers.
	logSum, logSquares float64
	timedAnswers       int
}

func (s *sample) add(o *control.Outcome) {
	s.requests += o.Requests
	s.failures += o.Failures
	s.timedAnswers += o.Timed
	s.logSum += o.LogFirstSum
	s.logSquares += o.LogFirstSquares
}

// failureRate estimates the share of failed attempts. It starts from half a failure in priorRequests requests, so a
// version that was hardly used counts as failing now and then.
func (s *sample) failureRate() float64 {
	return (float64(s.failures) + 0.5) / (float64(s.requests) + priorRequests)
}

// priorRequests is the weight of the assumption, in requests, that a version seldom fails.
const priorRequests = 20

// serviceErrorPlan detects a failure rate 20 percentage points above that of the old version. Faults of single backend
// servers stay below that.
var serviceErrorPlan = Plan{Alpha: 0.001, Beta: 0.01, Difference: 0.2}

const (
	// minSlowRatio is the ratio of the geometric mean times to the first byte above which a version counts as slow. The
	// time of one request depends on its size, so a smaller ratio is no evidence.
	minSlowRatio = 2.2
	// slowStdErrors is the number of standard errors by which the mean logarithms must differ.
	slowStdErrors = 3.5
	// minTimedAnswers is the number of timed answers of each version that a comparison needs.
	minTimedAnswers = 6
)

// compareSamples reports whether the new version does worse than the old one, and why.
func compareSamples(old, candidate *sample) (string, bool) {
	base := old.failureRate()
	if _, verdict := serviceErrorPlan.Clamp(max(serviceErrorPlan.Increment(candidate.requests, candidate.failures, base), minLogRatio)); verdict == Bad {
		return "fails more often than the old version", true
	}
	if isSlower(old, candidate) {
		return "answers more slowly than the old version", true
	}
	return "", false
}

// minLogRatio is the lowest log likelihood ratio that is passed to Plan.Clamp.
const minLogRatio = -100

// isSlower reports whether the candidate is slower, by the mean logarithms of the times to the first byte.
func isSlower(old, candidate *sample) bool {
	if old.timedAnswers < minTimedAnswers || candidate.timedAnswers < minTimedAnswers {
		return false
	}
	oldMean, candidateMean := old.logSum/float64(old.timedAnswers), candidate.logSum/float64(candidate.timedAnswers)
	difference := candidateMean - oldMean
	deviation := math.Sqrt(old.logVariance()/float64(old.timedAnswers) + candidate.logVariance()/float64(candidate.timedAnswers))
	return difference > math.Log(minSlowRatio) && difference > slowStdErrors*deviation
}

// logVariance is the variance of the logarithms, at least minLogVariance, as times of a few milliseconds vary by that
// much anyway.
func (s *sample) logVariance() float64 {
	mean := s.logSum / float64(s.timedAnswers)
	return max(s.logSquares/float64(s.timedAnswers)-mean*mean, minLogVariance)
}

const minLogVariance = 0.05

// schedule holds the points of the time limit, in percent of it, at which a roll-out changes state.
type schedule struct {
	// All requests go to the new version from allFromPercent on. A version without faults has succeeded at
	// doneFromPercent. In between, open streams on the old version finish.
	allFromPercent, doneFromPercent int
}

// scheduleFor returns the schedule by which at most the share exposure of the requests within the time limit reaches
// the new version, even if it shows no fault: a version that is bad only under load, or turns bad late, may show none
// before it serves all requests.
func scheduleFor(exposure float64) schedule {
	const smallShare = control.InitialRolloutPercent / 100.0
	boundPercent := 100 * exposure * exposureMargin
	// Solves smallShare*(all-startFromPercent) + (100-all) = boundPercent.
	all := int(math.Ceil((100 - smallShare*startFromPercent - boundPercent) / (1 - smallShare)))
	all = min(max(all, settledFromPercent), latestAllPercent)
	return schedule{allFromPercent: all, doneFromPercent: min(all+switchPercent, latestDonePercent)}
}

const (
	// startFromPercent is the share of the time limit, in percent, before which no request goes to the new version:
	// entry instances exchange in that time which sessions are open and stay on the old one. Of the shortest roll-outs,
	// 16 s, it is 1.3 s.
	startFromPercent = 8
	// settledFromPercent is the share of the time limit, in percent, from which sessions may move to the new version.
	settledFromPercent = 50
	// switchPercent is the share of the time limit, in percent, for which all requests go to the new version before it
	// has succeeded: of the shortest roll-outs, 16 s, it is 0.8 s. latestAllPercent and latestDonePercent leave 0.6 s
	// of those for the switch, and as much for the commit and the operator's query.
	switchPercent     = 5
	latestAllPercent  = 92
	latestDonePercent = 96
	// exposureMargin lowers the planned exposure, as the load may vary during a roll-out.
	exposureMargin = 0.95
	// minServiceRequests is the number of requests that a version must have served to succeed.
	minServiceRequests = 5
)

// nextProgress returns the progress of a running roll-out after elapsed. served is the number of requests that the new
// version served; reason is the fault that was found, or empty.
func nextProgress(r control.ServiceRollout, sched schedule, elapsed time.Duration, served int, reason string) control.ServiceRollout {
	next := r
	next.ElapsedMillis = elapsed.Milliseconds()
	limit := time.Duration(r.Seconds) * time.Second
	elapsedPercent := int(100 * elapsed / max(limit, time.Millisecond))
	switch {
	case reason != "":
		next.State, next.Reason = control.RolloutRolledBack, reason
	case elapsedPercent >= sched.doneFromPercent && served >= minServiceRequests:
		next.State, next.Reason = control.RolloutDone, "no fault was found"
	case elapsedPercent >= 100:
		next.State, next.Reason = control.RolloutRolledBack, "too few requests to judge the version"
	}
	switch {
	case elapsedPercent >= sched.allFromPercent:
		next.Percent = 100
	case elapsedPercent >= startFromPercent:
		next.Percent = max(r.Percent, control.InitialRolloutPercent)
	}
	next.Settled = r.Settled || elapsedPercent >= settledFromPercent
	return next
}
