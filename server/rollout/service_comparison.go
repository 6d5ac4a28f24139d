package rollout

import (
	"math"
	"time"

	"clementinetray/api/control"
)

// sample adds up the attempts on one software version of a service, for one route or over all routes.
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

// failureRate returns an estimate of the share of failed attempts. It starts from half a failed request in priorRequests
// requests, so that the estimate for a version with few requests is not zero.
func (s *sample) failureRate() float64 {
	return (float64(s.failures) + 0.5) / (float64(s.requests) + priorRequests)
}

// priorRequests is the weight, in requests, of the assumption that a version seldom fails.
const priorRequests = 20

// serviceErrorPlan detects a failure rate 20 percentage points above that of the old version. Faults of single backend
// servers raise the failure rate of a version by less.
var serviceErrorPlan = Plan{Alpha: 0.001, Beta: 0.01, Difference: 0.2}

const (
	// minSlowRatio is the smallest ratio of the geometric mean times to the first byte, new version to old, at which the new
	// version counts as slower. The time of a request depends on its size, so a smaller ratio is no evidence.
	minSlowRatio = 2.2
	// slowStdErrors is the number of standard errors by which the means of the logarithms must differ.
	slowStdErrors = 3.5
	// minTimedAnswers is how many answers with a measured time a comparison needs of each version.
	minTimedAnswers = 6
)

// compareSamples reports whether the new version, the candidate, does worse than the old one, and returns the fault.
func compareSamples(old, candidate *sample) (string, bool) {
	base := old.failureRate()
	if _, verdict := serviceErrorPlan.Clamp(max(serviceErrorPlan.LogRatioIncrement(candidate.requests, candidate.failures, base), minLogRatio)); verdict == Bad {
		return "fails more often than the old version", true
	}
	if isSlower(old, candidate) {
		return "answers more slowly than the old version", true
	}
	return "", false
}

// minLogRatio is the lowest log likelihood ratio that is passed to Plan.Clamp.
const minLogRatio = -100

// isSlower reports whether the candidate is slower. It compares the means of the logarithms of the times to the first
// byte.
func isSlower(old, candidate *sample) bool {
	if old.timedAnswers < minTimedAnswers || candidate.timedAnswers < minTimedAnswers {
		return false
	}
	oldMean, candidateMean := old.logSum/float64(old.timedAnswers), candidate.logSum/float64(candidate.timedAnswers)
	difference := candidateMean - oldMean
	deviation := math.Sqrt(old.logVariance()/float64(old.timedAnswers) + candidate.logVariance()/float64(candidate.timedAnswers))
	return difference > math.Log(minSlowRatio) && difference > slowStdErrors*deviation
}

// logVariance returns the variance of the logarithms, but at least minLogVariance: times of a few milliseconds vary by
// that much anyway.
func (s *sample) logVariance() float64 {
	mean := s.logSum / float64(s.timedAnswers)
	return max(s.logSquares/float64(s.timedAnswers)-mean*mean, minLogVariance)
}

const minLogVariance = 0.05

// schedule says after which percentage of its time limit a roll-out changes state.
type schedule struct {
	// From allFromPercent on, all requests go to the new version. The roll-out of a version without faults is done at
	// doneFromPercent. Open streams on the old version can end in the time between.
	allFromPercent, doneFromPercent int
}

// scheduleFor returns a schedule that sends at most the share exposure of the requests during a roll-out to the new
// version, even if no fault is found. A version that fails only under load, or only after some time, may show no fault
// before it serves all requests.
func scheduleFor(exposure float64) schedule {
	const smallShare = control.InitialRolloutPercent / 100.0
	boundPercent := 100 * exposure * exposureMargin
	// Solves smallShare*(all-startFromPercent) + (100-all) = boundPercent.
	all := int(math.Ceil((100 - smallShare*startFromPercent - boundPercent) / (1 - smallShare)))
	all = min(max(all, settledFromPercent), latestAllPercent)
	return schedule{allFromPercent: all, doneFromPercent: min(all+allRequestsPercent, latestDonePercent)}
}

const (
	// startFromPercent is the percentage of the time limit after which requests may go to the new version. Before that, entry
	// instances exchange which sessions are open, because these stay on the old version. The shortest roll-outs, of 16 s,
	// leave 1.3 s for this exchange.
	startFromPercent = 8
	// settledFromPercent is the percentage of the time limit after which sessions may move to the new version.
	settledFromPercent = 50
	// allRequestsPercent is the percentage of the time limit for which all requests go to the new version before the
	// roll-out is done: 0.8 s in the shortest roll-outs, of 16 s. latestAllPercent and latestDonePercent are the upper
	// limits of the schedule. In the shortest roll-outs, 0.6 s lie between the two, and 0.6 s remain after
	// latestDonePercent for the commit and the operator's query.
	allRequestsPercent = 5
	latestAllPercent   = 92
	latestDonePercent  = 96
	// exposureMargin is the planned fraction of the allowed exposure. It is below 1 because the load may vary during a
	// roll-out.
	exposureMargin = 0.95
	// minServiceRequests is the number of requests that the new version must have served before the roll-out is done.
	minServiceRequests = 5
)

// nextProgress returns the progress of a roll-out that has run for elapsed. served is the number of requests that the new
// version has served; reason is the fault that was found, or empty.
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
