package rollout

import "math"

// Verdict is the result of a sequential test so far.
type Verdict int

// Accepted means that the new version is not worse than the baseline by the difference to detect, with error probability
// Beta. Bad means that it is worse by that difference, with error probability Alpha.
const (
	Undecided Verdict = iota
	Accepted
	Bad
)

// Plan holds the error probabilities of a sequential probability ratio test and the difference that it detects.
type Plan struct {
	// Alpha is the probability of a false alarm. Beta is the probability that a bad version is accepted.
	Alpha, Beta float64
	// Difference is the increase of the failure probability that is detected.
	Difference float64
}

// minBaseRate limits the weight of a single failure when the old version never failed. maxBadRate keeps the failure
// probability of a bad version below 1.
const (
	minBaseRate = 0.01
	maxBadRate  = 0.999
)

// Bounds returns the log likelihood ratio at or below which the test accepts the new version, and the one at or above which
// it raises the alarm.
func (p Plan) Bounds() (accept, alarm float64) {
	return math.Log(p.Beta / (1 - p.Alpha)), math.Log((1 - p.Beta) / p.Alpha)
}

// LogRatioIncrement returns what further requests on the new version, with the given number of failures, add to the log
// likelihood ratio. The caller must limit the sum with Clamp. base is the failure probability of the old version.
func (p Plan) LogRatioIncrement(requests, failures int, base float64) float64 {
	if base > maxBadRate-p.Difference {
		return p.acceptingIncrement()
	}
	p0, p1 := p.goodAndBadRates(base)
	return float64(failures)*math.Log(p1/p0) + float64(requests-failures)*math.Log((1-p1)/(1-p0))
}

// ConcurrentIncrement returns what the failures of both versions in the same interval add to a log likelihood ratio. The
// caller must limit the sum with Clamp. The method compares the share of the new version in the failures with newShare,
// its share in the requests. A fault that hits both versions doesn't change the share in the failures, so it raises no
// alarm, whatever the failure probability becomes.
func (p Plan) ConcurrentIncrement(failuresOld, failuresNew int, base, newShare float64) float64 {
	if base > maxBadRate-p.Difference {
		return p.acceptingIncrement()
	}
	p0, p1 := p.goodAndBadRates(base)
	relativeRisk := p1 / p0
	logTotal := math.Log(1 + newShare*(relativeRisk-1))
	return float64(failuresNew)*(math.Log(relativeRisk)-logTotal) - float64(failuresOld)*logTotal
}

// goodAndBadRates returns the failure probabilities of a good and of a bad version.
func (p Plan) goodAndBadRates(base float64) (good, bad float64) {
	good = max(base, minBaseRate)
	return good, good + p.Difference
}

// acceptingIncrement returns an increment that reaches the accepting bound from any ratio. It is used when the old version
// almost always fails, because the new one can't be worse by the difference then.
func (p Plan) acceptingIncrement() float64 {
	accept, alarm := p.Bounds()
	return accept - alarm
}

// Clamp limits a log likelihood ratio to the bounds and returns it with the verdict. The ratio does not fall below the
// accepting bound, so that good results of the past don't delay the alarm for a version that turns bad later. An alarm
// after acceptance needs enough evidence to move the ratio from the one bound to the other.
func (p Plan) Clamp(ratio float64) (float64, Verdict) {
	accept, alarm := p.Bounds()
	switch {
	case ratio <= accept:
		return accept, Accepted
	case ratio >= alarm:
		return alarm, Bad
	}
	return ratio, Undecided
}
