package ratings

import (
	"math"

	"clementinetray/server/blackboard"
)

// MaxMissProbability is the highest accepted probability that a version's quality is below its target. Accepting at
// most this probability is the same as requiring that the 10th percentile of the posterior meets the target.
const MaxMissProbability = 0.1

// minParameter is the lower bound of the parameters a and b of the incomplete beta function.
const minParameter = 1e-3

// UniformPrior is the prior Beta(1,1) of a version without ratings and without a predecessor.
var UniformPrior = blackboard.Quality{Alpha: 1, Beta: 1}

// Mean returns the mean of the posterior.
func Mean(q blackboard.Quality) float64 { return q.Alpha / (q.Alpha + q.Beta) }

// Weight returns the number of ratings that the posterior corresponds to.
func Weight(q blackboard.Quality) float64 { return q.Alpha + q.Beta }

// ProbabilityBelow returns the posterior probability that the quality is below x. It is the value of the regularized
// incomplete beta function. To decide whether a quantile meets a target, comparing this value with the quantile's probability
// is about 30 times faster than computing the quantile.
func ProbabilityBelow(q blackboard.Quality, x float64) float64 {
	if x <= 0 {
		return 0
	}
	if x >= 1 {
		return 1
	}
	// While all ratings are equal, their decay lets one parameter approach 0, where the function is undefined.
	a, b := max(q.Alpha, minParameter), max(q.Beta, minParameter)
	la, _ := math.Lgamma(a)
	lb, _ := math.Lgamma(b)
	lab, _ := math.Lgamma(a + b)
	prefactor := math.Exp(lab - la - lb + a*math.Log(x) + b*math.Log1p(-x))
	// The continued fraction converges fast only for x up to about the mean. For larger x, use the symmetry of the function.
	if x < (a+1)/(a+b+2) {
		return prefactor * betaFraction(a, b, x) / a
	}
	return 1 - prefactor*betaFraction(b, a, 1-x)/b
}

// betaFraction evaluates the continued fraction of the incomplete beta function by the modified Lentz method.
func betaFraction(a, b, x float64) float64 {
	const iterations, precision, tiny = 200, 1e-10, 1e-300
	avoidZero := func(v float64) float64 {
		if math.Abs(v) < tiny {
			return tiny
		}
		return v
	}
	c, d := 1.0, 1/avoidZero(1-(a+b)*x/(a+1))
	h := d
	for i := 1; i <= iterations; i++ {
		m := float64(i)
		even := m * (b - m) * x / ((a + 2*m - 1) * (a + 2*m))
		d = 1 / avoidZero(1+even*d)
		c = avoidZero(1 + even/c)
		h *= d * c
		odd := -(a + m) * (a + b + m) * x / ((a + 2*m) * (a + 2*m + 1))
		d = 1 / avoidZero(1+odd*d)
		c = avoidZero(1 + odd/c)
		step := d * c
		h *= step
		if math.Abs(step-1) < precision {
			break
		}
	}
	return h
}
