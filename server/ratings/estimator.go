// Package ratings estimates the answer quality of each model version in each request class from the scores of a rating
// service.
package ratings

import (
	"maps"
	"math"
	"sync"

	"github.com/zeebo/errs"

	"clementinetray/api/catalogue"
	"clementinetray/server/blackboard"
)

// Error is the class of all errors of this package.
var Error = errs.Class("ratings")

const (
	// HalfLife is the number of later ratings of the same version after which a rating counts half.
	HalfLife = 500
	// PriorWeight is the maximum weight of an estimate that a new version takes from its predecessor.
	PriorWeight = 10
)

// Estimator holds the quality estimates. It is safe for concurrent use.
type Estimator struct {
	mu        sync.Mutex
	estimates map[blackboard.ClassVersion]blackboard.Quality
	health    serviceHealth
	drift     detector
}

// NewEstimator returns an estimator without ratings.
func NewEstimator() *Estimator {
	return &Estimator{estimates: make(map[blackboard.ClassVersion]blackboard.Quality), drift: newDetector()}
}

// SetCatalogue adds an estimate for each version of a class that has none, taken from the version's predecessor, and removes
// the estimates of versions that are no longer in the catalogue.
func (e *Estimator) SetCatalogue(c *catalogue.Catalogue) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := make(map[blackboard.ClassVersion]blackboard.Quality, len(e.estimates))
	for _, k := range c.Classes {
		for _, name := range k.Models {
			m := c.FindModel(name)
			if m == nil {
				continue
			}
			rollout := c.FindRollout(name)
			previous := UniformPrior
			for i, v := range m.Versions {
				key := blackboard.ClassVersion{Class: k.Name, VersionRef: catalogue.VersionRef{Model: name, Version: v.Name}}
				q, ok := e.estimates[key]
				if !ok {
					q = UniformPrior
					if i > 0 {
						q = Discount(previous)
					}
					if rollout != nil && rollout.To == v.Name {
						from, ok := e.estimates[blackboard.ClassVersion{Class: k.Name, VersionRef: catalogue.VersionRef{Model: name, Version: rollout.From}}]
						if ok {
							q = Discount(from)
						}
					}
				}
				known[key] = q
				previous = q
			}
		}
	}
	e.estimates = known
	maps.DeleteFunc(e.drift.tracks, func(key blackboard.ClassVersion, _ *versionTrack) bool {
		_, ok := known[key]
		return !ok
	})
}

// Discount returns an estimate with the same mean and a weight of at most PriorWeight.
func Discount(q blackboard.Quality) blackboard.Quality {
	w := Weight(q)
	if w <= PriorWeight {
		return q
	}
	return blackboard.Quality{Alpha: q.Alpha * PriorWeight / w, Beta: q.Beta * PriorWeight / w}
}

// Observe records the score, 0 to 1, that the rating service gave to an answer; other values count as a failure of the
// service. The estimates do not change while the service fails or its scores show that it is inverted or constant.
func (e *Estimator) Observe(class string, ref catalogue.VersionRef, score float64) {
	if math.IsNaN(score) || score < 0 || score > 1 {
		e.RecordFailure()
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	key := blackboard.ClassVersion{Class: class, VersionRef: ref}
	e.health.recordSuccess()
	if _, ok := e.estimates[key]; !ok {
		e.estimates[key] = UniformPrior
	}
	maps.Copy(e.estimates, e.drift.observe(key, score, e.estimates))
	if !e.frozen() {
		e.estimates[key] = addRating(e.estimates[key], score)
	}
}

// ObserveSum records n ratings with the given sum, as reported by an entry instance (control.Outcome). It ignores a sum outside
// 0 to n. It does not detect runs of equal scores, as a sum does not show them.
func (e *Estimator) ObserveSum(class string, ref catalogue.VersionRef, sum float64, n int) {
	if n <= 0 || math.IsNaN(sum) || sum < 0 || sum > float64(n) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	key := blackboard.ClassVersion{Class: class, VersionRef: ref}
	mean := sum / float64(n)
	for range n {
		if _, ok := e.estimates[key]; !ok {
			e.estimates[key] = UniformPrior
		}
		e.drift.observedCount++
		if q, changed := e.drift.observeShift(key, mean, e.estimates[key]); changed {
			e.estimates[key] = q
		}
		if !e.frozen() {
			e.estimates[key] = addRating(e.estimates[key], mean)
		}
	}
}

// frozen reports whether the estimates must not change because the scores are unreliable.
func (e *Estimator) frozen() bool { return e.health.isFailing() || e.drift.faultDetected() }

// ratingDecay is the factor by which each rating reduces the weight of the earlier ones.
var ratingDecay = math.Exp2(-1.0 / HalfLife)

// addRating returns the estimate with the weight of the earlier ratings reduced and one rating added. Its weight never falls
// below that of the uniform prior.
func addRating(q blackboard.Quality, score float64) blackboard.Quality {
	return blackboard.Quality{Alpha: q.Alpha*ratingDecay + score, Beta: q.Beta*ratingDecay + 1 - score}
}

// RecordFailure records a call of the rating service that failed, timed out or returned no valid score.
func (e *Estimator) RecordFailure() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.health.recordFailure()
}

// Snapshot returns a copy of the estimates for the blackboard.
func (e *Estimator) Snapshot() blackboard.Ratings {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := blackboard.Ratings{ByClass: make(map[blackboard.ClassVersion]blackboard.Quality, len(e.estimates)), Frozen: e.frozen()}
	maps.Copy(out.ByClass, e.estimates)
	return out
}
