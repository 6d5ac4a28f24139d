package ratings

import (
	"maps"
	"math"

	"clementinetray/api/catalogue"
	"clementinetray/server/blackboard"
)

const (
	// recentWindow is the number of ratings in the recent mean of a version.
	recentWindow = 20
	// establishedWeight is the minimum weight of an estimate that is used to judge the rating service.
	establishedWeight = 100
	// minDeviation is the smallest difference between recent mean and estimate that counts as a deviation. It must also
	// exceed minDeviationSigmas standard deviations of the recent mean.
	minDeviation       = 0.2
	minDeviationSigmas = 4
	// If the ratings of a single version deviate, the estimate is replaced by their mean after shiftAcceptRatings ratings.
	shiftAcceptRatings = 100
	// staleAfterRatings is the number of ratings of other versions after which a version no longer counts as recently rated.
	staleAfterRatings = 400
	// minConstantRun is the length of a run of equal scores at which the estimates are saved. The service counts as constant
	// when the run is longer and its probability under the saved estimates is below maxConstantRunChance.
	minConstantRun       = 8
	maxConstantRunChance = 1e-6
	// maxScoreChance limits the probability assumed for each score of a run, so that every constant service is detected
	// eventually.
	maxScoreChance = 0.995
)

// versionTrack compares the recent ratings of a version with its estimate.
type versionTrack struct {
	recentMean  float64
	ratingCount int
	// trustedEstimate is the version's estimate at the last rating at which the recent mean did not deviate from it.
	trustedEstimate blackboard.Quality
	// deviatingCount is the number of ratings since the recent mean began to deviate, and deviatingSum is their sum.
	deviatingCount int
	deviatingSum   float64
	// lastObserved is the detector's observedCount at the version's last rating.
	lastObserved int
}

// detector detects a rating service whose scores are inverted or constant. If the ratings of one version shift, that version
// has changed. If the ratings of several models shift at once, the service has changed. A constant service is also detected by
// the length of a run of equal scores.
type detector struct {
	tracks map[blackboard.ClassVersion]*versionTrack
	// observedCount is the number of ratings of all versions.
	observedCount int
	// shifted is set while the ratings of several models deviate.
	shifted bool

	// runScore and runLength are the score and the length of the current run of equal scores.
	runScore  float64
	runLength int
	// runLogChance is the logarithm of an upper bound of the run's probability under the estimates.
	runLogChance float64
	// estimatesBeforeRun is a copy of the estimates, taken when the run reached minConstantRun.
	estimatesBeforeRun map[blackboard.ClassVersion]blackboard.Quality
	// scoresConstant is set while the run is too long to be by chance.
	scoresConstant bool
}

func newDetector() detector { return detector{tracks: make(map[blackboard.ClassVersion]*versionTrack)} }

// faultDetected reports whether the scores are inverted or constant.
func (d *detector) faultDetected() bool { return d.shifted || d.scoresConstant }

// observe records a score and returns new values for the estimates that must be replaced. When a fault of the service is
// detected these are the estimates from before the fault; when a single version has changed, the mean of its deviating ratings.
func (d *detector) observe(key blackboard.ClassVersion, score float64, estimates map[blackboard.ClassVersion]blackboard.Quality) map[blackboard.ClassVersion]blackboard.Quality {
	d.observedCount++
	wasDetected := d.faultDetected()
	d.observeRun(key, score, estimates)
	if q, changed := d.observeShift(key, score, estimates[key]); changed {
		return map[blackboard.ClassVersion]blackboard.Quality{key: q}
	}
	if wasDetected || !d.faultDetected() {
		return nil
	}
	restored := make(map[blackboard.ClassVersion]blackboard.Quality)
	if d.scoresConstant {
		maps.Copy(restored, d.estimatesBeforeRun)
	}
	for k, t := range d.tracks {
		if t.deviatingCount > 0 {
			restored[k] = t.trustedEstimate
		}
	}
	return restored
}

// observeRun adds a score to the run of equal scores, and sets scoresConstant if the run is too long to be by chance.
func (d *detector) observeRun(key blackboard.ClassVersion, score float64, estimates map[blackboard.ClassVersion]blackboard.Quality) {
	if d.runLength == 0 || score != d.runScore {
		d.runScore, d.runLength, d.runLogChance, d.estimatesBeforeRun, d.scoresConstant = score, 0, 0, nil, false
	}
	d.runLength++
	if d.runLength == minConstantRun {
		d.estimatesBeforeRun = maps.Clone(estimates)
	}
	q := estimates[key]
	if old, ok := d.estimatesBeforeRun[key]; ok {
		q = old
	}
	if q.Alpha+q.Beta == 0 {
		q = UniformPrior
	}
	m := Mean(q)
	d.runLogChance += math.Log(min(max(m, 1-m), maxScoreChance))
	if d.runLength > minConstantRun && d.runLogChance < math.Log(maxConstantRunChance) {
		d.scoresConstant = true
	}
}

// observeShift updates the version's track and sets shifted. It returns a replacement for the version's estimate q if only this
// version has changed.
func (d *detector) observeShift(key blackboard.ClassVersion, score float64, q blackboard.Quality) (replacement blackboard.Quality, changed bool) {
	t := d.tracks[key]
	if t == nil {
		t = &versionTrack{trustedEstimate: q, recentMean: score}
		d.tracks[key] = t
	}
	t.ratingCount++
	t.lastObserved = d.observedCount
	t.recentMean += (score - t.recentMean) / float64(min(t.ratingCount, recentWindow))
	m := Mean(t.trustedEstimate)
	// The variance of an exponentially weighted mean over n ratings is 1/(2n-1) of the variance of a single rating.
	sigma := math.Sqrt(m * (1 - m) / (2*recentWindow - 1))
	switch {
	case Weight(q) < establishedWeight || t.ratingCount < recentWindow,
		math.Abs(t.recentMean-m) <= max(minDeviation, minDeviationSigmas*sigma):
		t.deviatingCount, t.deviatingSum = 0, 0
		if !d.shifted {
			t.trustedEstimate = q
		}
	case !d.shifted && t.deviatingCount >= shiftAcceptRatings:
		t.trustedEstimate = blackboard.Quality{Alpha: UniformPrior.Alpha + t.deviatingSum, Beta: UniformPrior.Beta + float64(t.deviatingCount) - t.deviatingSum}
		t.deviatingCount, t.deviatingSum = 0, 0
		replacement, changed = t.trustedEstimate, true
	default:
		t.deviatingCount++
		t.deviatingSum += score
	}
	d.shifted = d.severalModelsDeviate()
	return replacement, changed
}

// severalModelsDeviate reports whether at least two models have deviating versions and more than half of the recently
// rated versions deviate.
func (d *detector) severalModelsDeviate() bool {
	deviating, rated := 0, 0
	var first catalogue.VersionRef
	several := false
	for key, t := range d.tracks {
		if d.observedCount-t.lastObserved > staleAfterRatings || t.ratingCount < recentWindow || Weight(t.trustedEstimate) < establishedWeight {
			continue
		}
		rated++
		if t.deviatingCount == 0 {
			continue
		}
		deviating++
		switch first.Model {
		case "":
			first = key.VersionRef
		case key.Model:
		default:
			several = true
		}
	}
	return several && 2*deviating > rated
}
