package balance

import (
	"slices"
	"time"
)

// GroupPressure returns the pressure of the group of the request's model: the value at pressurePercentile among the
// servers with a known load, or 0 without any. In a large fleet an instance knows the load of some servers only; the
// others are assumed to be as busy.
func GroupPressure(candidates []Candidate, r *Request) float64 {
	group := groupOf(candidates, r)
	known := knownPressures(candidates, group.has)
	if len(known) == 0 {
		return 0
	}
	return known[len(known)*pressurePercentile/100]
}

// pressurePercentile is the percentage of the servers with a known load that are less busy than the result of
// GroupPressure.
// Requests go to one of the less busy servers, and rarely to the least busy one.
const pressurePercentile = 25

// RequiredConfidence returns the minimum confidence, in percent, at which a smaller model's answer is delivered.
// request describes the run on the larger model that would replace the answer. The result falls from the given
// confidence as the larger models get busy, and faster for long prompts, because all streams of an engine stall while
// it reads a prompt.
func RequiredConfidence(confidence int, pressure float64, request *Request) int {
	relaxation := min(max((pressure-lowPressure)/(highPressure-lowPressure), 0), 1)
	return int(float64(confidence) * max(1-relaxation*maxConfidenceReduction*request.blockingCost(), 0))
}

// blockingCost returns how much the request delays others on the same engine: 0 for an empty prompt, at most
// maxBlockingCost.
func (r *Request) blockingCost() float64 {
	tokens := r.newTokens(0)
	return min(largePromptCost*2*tokens/(tokens+largePromptTokens), maxBlockingCost)
}

const (
	// lowPressure is the pressure up to which the configured confidence applies unchanged. At highPressure its
	// reduction is largest, and only answers of very low confidence are replaced by those of a larger model.
	lowPressure  = 0.05
	highPressure = 0.35
	// maxConfidenceReduction is the fraction by which the confidence is reduced at highPressure for a request with a
	// blocking cost of 1.
	maxConfidenceReduction = 0.9
	// largePromptCost is the blocking cost of a prompt of largePromptTokens, and maxBlockingCost the limit for the
	// longest prompts, whose required confidence reaches 0 shortly before highPressure.
	largePromptCost = 0.75
	maxBlockingCost = 1.2
)

// NextModel returns the index of the model to run after the answer of the model at position had less than the required
// confidence. That is the next larger model if the confidence was at least nearConfidencePercent of the required one, else
// the largest model. Both confidences are in percent.
func NextModel(position, modelCount, confidence, required int) int {
	if position+1 < modelCount-1 && 100*confidence >= nearConfidencePercent*required {
		return position + 1
	}
	return modelCount - 1
}

// nearConfidencePercent is the percentage of the required confidence from which the next larger model is likely to reach
// the required confidence.
const nearConfidencePercent = 60

// LargestInTime returns the index of the largest model, at most wanted, whose expected time to the first event is no longer than
// left, or position if no model above it is. A time of 0 is unknown and counts as short enough.
//
// Load pattern: long prompts that the largest model reads for longer than callers wait. Their answers would be late, and all
// streams of the backend server would stall meanwhile.
func LargestInTime(position, wanted int, left time.Duration, expected func(model int) time.Duration) int {
	for i := wanted; i > position; i-- {
		if expected(i) <= left {
			return i
		}
	}
	return position
}

// LargestForRank returns the index of the largest model that a request of the rank may run on. ranks are those of the routes that share
// the models. Where there are minRanksForLimit ranks or more, requests of the least urgent one leave the largest model to the others.
//
// Load pattern: many requests of little urgency, whose prompts take so much of the largest model's time that urgent requests on the
// same backend servers wait for it.
func LargestForRank(rank int, ranks []int, modelCount int) int {
	distinct := slices.Compact(slices.Sorted(slices.Values(ranks)))
	if len(distinct) >= minRanksForLimit && rank >= distinct[len(distinct)-1] {
		return max(modelCount-2, 0)
	}
	return modelCount - 1
}

// minRanksForLimit is 3, so that of two ranks the second one, which is often that of most requests, keeps all models.
const minRanksForLimit = 3
