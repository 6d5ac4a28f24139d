package rollout

import "math"

// Verdict is the result of a sequential test so far.
type Verdict int

// Accepted means that the new version is as good as the baseline, with error probability Beta; Bad that it is worse by
// the difference to detect, with error probability Alpha.
const (
	Undecided Verdict = iota
	Accepted
	Bad
)

// Plan holds the error probabilities of a sequential probability ratio test and the difference that it detects.
type Plan struct {
	// Alpha is the probability of a false alarm, Beta that of accepting a bad version.
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

// Bounds returns the log likelihood ratios at which the test accepts and at which it raises the alarm.
func (p Plan) Bounds() (accept, alarm float64) {
	return math.Log(p.Beta / (1 - p.Alpha)), math.Log((1 - p.Beta) / p.Alpha)
}

// Increment returns what further requests and failures add to the log likelihood ratio; the sum must be limited with
// Clamp. base is the failure probability of the old version.
func (p Plan) Increment(requests, failures int, base float64) float64 {
	if base > maxBadRate-p.Difference {
		return p.acceptingIncrement()
	}
	p0, p1 := p.goodAndBadRates(base)
	return float64(failures)*math.Log(p1/p0) + float64(requests-failures)*math.Log((1-p1)/(1-p0))
}

// ConcurrentIncrement returns what failures of both versions in the same interval add to a log likelihood ratio; the
// sum must be limited with Clamp. It compares the shares of the versions in the failures with their shares in the
// requests, of which newShare went to the new version. A fault that hits both versions leaves the shares of the
// failures as they are, so it raises no alarm, whatever the failure probability becomes.
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

// acceptingIncrement returns an increment that reaches the accepting bound from any ratio: if the old version almost
// always fails, the new one can't be worse by the difference.
func (p Plan) acceptingIncrement() float64 {
	accept, alarm := p.Bounds()
	return accept - alarm
}

// Clamp limits a log likelihood ratio to the bounds and returns the verdict. The ratio does not fall below the
// accepting bound, so a version that turns bad later is found as soon as one that is bad from the start, and an alarm
// after acceptance needs the evidence of both bounds.
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
