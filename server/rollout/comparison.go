package rollout

import (
	"math"

	"clementinetray/api/control"
)

const (
	// rateWindowRequests is the number of requests beyond which a failure rate scales older requests down.
	// shareWindowRequests is the same for the share of requests on the new version.
	// previousShareRequests is the largest number of earlier requests that the share for one interval includes.
	rateWindowRequests    = 2000
	shareWindowRequests   = 500
	previousShareRequests = 20
	// The baseline of a version starts as if it had served baselinePriorRequests requests with the failure rate
	// baselinePriorRate. baselineStdErrors standard errors are added, so that a rate from few requests is not taken as exact.
	baselinePriorRequests = 20
	baselinePriorRate     = 0.05
	baselineStdErrors     = 2
	// maxConcurrentShare is the largest share of requests on the new version at which both versions are compared by their
	// concurrent requests. Above it the old version has too few requests, so the new version is compared with the earlier
	// failure rate of the old one.
	maxConcurrentShare = 0.9

	// bandWindowRatings is the number of recent ratings of the old version whose mean is compared with the band around its
	// earlier mean. With fewer than minBandRatings ratings there is no result.
	bandWindowRatings = 50
	minBandRatings    = 20
	// The band extends bandStdErrors standard errors to each side of the earlier mean, but at least minBandDeviation.
	minBandDeviation = 0.08
	bandStdErrors    = 4

	// maxWorkspaces bounds the memory of one comparison; further workspaces are counted together.
	maxWorkspaces = 256
)

// rate is the share of hits, for instance failures, in a total. Older observations are discounted exponentially once the
// total exceeds a window.
type rate struct{ total, hits float64 }

func (r *rate) add(total, hits, window float64) {
	r.total += total
	r.hits += hits
	if r.total > window {
		scale := window / r.total
		r.total, r.hits = window, r.hits*scale
	}
}

func (r *rate) mean() float64 {
	if r.total == 0 {
		return 0
	}
	return r.hits / r.total
}

// baseline returns the failure probability that the new version is compared with. prior is the probability that is
// assumed before the first request.
func (r *rate) baseline(prior float64) float64 {
	weight := r.total + baselinePriorRequests
	p := min((r.hits+baselinePriorRequests*prior)/weight, 1)
	return min(p+baselineStdErrors*math.Sqrt(p*(1-p)/weight), 1)
}

// failureRates holds the rates of one kind of failure, overall and by workspace.
type failureRates struct {
	overall    rate
	workspaces map[string]*rate
}

func (f *failureRates) add(workspace string, total, hits int) {
	f.overall.add(float64(total), float64(hits), rateWindowRequests)
	if f.workspaces == nil {
		f.workspaces = map[string]*rate{}
	}
	w := f.workspaces[workspace]
	if w == nil {
		if len(f.workspaces) >= maxWorkspaces {
			return
		}
		w = &rate{}
		f.workspaces[workspace] = w
	}
	w.add(float64(total), float64(hits), rateWindowRequests)
}

// baseline returns the failure probability that the requests of a workspace are compared with. Its prior is the baseline
// over all workspaces.
func (f *failureRates) baseline(workspace string) float64 {
	overall := f.overall.baseline(baselinePriorRate)
	if w := f.workspaces[workspace]; w != nil {
		return w.baseline(overall)
	}
	return overall
}

// evidence holds the log likelihood ratios of one comparison. historical compares the new version with the earlier failure
// rate of the old version, and concurrent compares it with the requests on the old version in the same intervals.
type evidence struct{ historical, concurrent float64 }

// raisesAlarm reports whether the evidence is enough for an alarm, and whether it comes from concurrent requests on both
// versions. newShare is the share of requests on the new version.
func (e *evidence) raisesAlarm(plan Plan, newShare float64) (bad, concurrent bool) {
	_, alarm := plan.Bounds()
	if newShare > maxConcurrentShare {
		return e.historical >= alarm, false
	}
	return e.concurrent >= alarm && e.historical > 0, true
}

// intervalCounts counts the requests since the last evaluation. The failures of both versions are evaluated together. If
// they were evaluated one by one, the result would depend on their order, because Clamp limits the ratio after each.
type intervalCounts struct{ oldTotal, oldHits, newTotal, newHits int }

// workspaceComparison compares the versions within one workspace.
type workspaceComparison struct {
	evidence
	intervalCounts
	// newShare is the share of requests on the new version.
	newShare rate
}

// smoothedNewShare returns the share of requests on the new version in the interval. An interval may have few requests,
// so the share in earlier intervals is included with the weight of up to previousShareRequests requests.
func (w *workspaceComparison) smoothedNewShare() float64 {
	weight := min(w.newShare.total, previousShareRequests)
	return (weight*w.newShare.mean() + float64(w.newTotal)) / (weight + float64(w.oldTotal+w.newTotal))
}

// comparison compares the new version with the old one by one kind of failure. It does so over all workspaces and for
// each workspace, because a version may be bad for a single one. Each request is compared with the baseline of its own
// workspace, because a workspace with more failures than others may have a larger share in the requests of one version.
type comparison struct {
	overallPlan, workspacePlan Plan
	evidence
	newShare   rate
	workspaces map[string]*workspaceComparison
	// accepted is set once the test over all workspaces has accepted the new version in the current step.
	// alarmRaised is set while there is an alarm.
	accepted    bool
	alarmRaised bool
	// alarmIsConcurrent is set if the evidence for the alarm comes from concurrent requests on both versions.
	alarmIsConcurrent bool
	// worstWorkspace is the workspace with the most evidence in an alarm; empty if none has more than half the evidence
	// that an alarm needs.
	worstWorkspace string
}

// addOld and addNew count requests on the old and the new version for the next call of evaluate.
func (c *comparison) addOld(workspace string, total, hits int) {
	w := c.workspaceComparison(workspace)
	w.oldTotal += total
	w.oldHits += hits
}

func (c *comparison) addNew(workspace string, total, hits int) {
	w := c.workspaceComparison(workspace)
	w.newTotal += total
	w.newHits += hits
}

func (c *comparison) workspaceComparison(workspace string) *workspaceComparison {
	if c.workspaces == nil {
		c.workspaces = map[string]*workspaceComparison{}
	}
	w := c.workspaces[workspace]
	if w == nil && len(c.workspaces) >= maxWorkspaces {
		workspace, w = "", c.workspaces[""]
	}
	if w == nil {
		w = &workspaceComparison{}
		c.workspaces[workspace] = w
	}
	return w
}

// beginStep resets what is counted for each step, as the versions have other shares in a new step. It also clears an
// alarm that has not led to a rollback: the evidence in the last step may have been historical only, and a real fault
// raises the alarm again.
func (c *comparison) beginStep() {
	c.accepted, c.alarmRaised, c.newShare = false, false, rate{}
	for _, w := range c.workspaces {
		w.newShare = rate{}
	}
}

// evaluate ends an interval. It adds the counts of the interval to the evidence, and sets or clears the alarm. old holds
// the failure rates of the old version.
func (c *comparison) evaluate(old *failureRates) {
	var historical, concurrent float64
	for workspace, w := range c.workspaces {
		counts, baseline, newShare := w.intervalCounts, old.baseline(workspace), w.smoothedNewShare()
		if counts == (intervalCounts{}) {
			continue
		}
		increment := c.overallPlan.ConcurrentIncrement(counts.oldHits, counts.newHits, baseline, newShare)
		concurrent += increment
		w.concurrent, _ = c.workspacePlan.Clamp(w.concurrent + increment)
		increment = c.overallPlan.LogRatioIncrement(counts.newTotal, counts.newHits, baseline)
		historical += increment
		w.historical, _ = c.workspacePlan.Clamp(w.historical + increment)
		w.newShare.add(float64(counts.oldTotal+counts.newTotal), float64(counts.newTotal), shareWindowRequests)
		c.newShare.add(float64(counts.oldTotal+counts.newTotal), float64(counts.newTotal), shareWindowRequests)
		w.intervalCounts = intervalCounts{}
	}
	var verdict Verdict
	c.concurrent, _ = c.overallPlan.Clamp(c.concurrent + concurrent)
	c.historical, verdict = c.overallPlan.Clamp(c.historical + historical)
	c.accepted = c.accepted || verdict == Accepted
	c.updateAlarm()
}

func (c *comparison) updateAlarm() {
	c.worstWorkspace = ""
	c.alarmRaised, c.alarmIsConcurrent = c.raisesAlarm(c.overallPlan, c.newShare.mean())
	_, alarm := c.workspacePlan.Bounds()
	worstEvidence := alarm / 2
	for workspace, w := range c.workspaces {
		bad, concurrent := w.raisesAlarm(c.workspacePlan, w.newShare.mean())
		if bad && !c.alarmRaised {
			c.alarmIsConcurrent = concurrent
		}
		if (c.alarmRaised || bad) && w.historical > worstEvidence {
			worstEvidence, c.worstWorkspace = w.historical, workspace
		}
		c.alarmRaised = c.alarmRaised || bad
	}
}

// newSeemsWorse reports whether the overall historical evidence is against the new version.
func (c *comparison) newSeemsWorse() bool { return c.historical > 0 }

// hasSuspiciousWorkspace reports whether a workspace has more than half the evidence that an alarm needs. Less evidence
// does not count, because a workspace with few requests may never send enough of them to refute it.
func (c *comparison) hasSuspiciousWorkspace() bool {
	_, alarm := c.workspacePlan.Bounds()
	for _, w := range c.workspaces {
		if w.historical > alarm/2 {
			return true
		}
	}
	return false
}

// versionStats holds the rates of one version, whether or not it is part of a roll-out.
type versionStats struct {
	errors, slow, pace, ratings failureRates
	// longTermScores holds the ratings over the long term. recentScores holds the ratings since those of the new version
	// began to fall; referenceScores is a copy of longTermScores from that moment.
	longTermScores, recentScores rate
	referenceScores              rate
	// monitoring is set while recentScores is updated.
	monitoring bool
	// ratedShare is the share of requests with a rating.
	ratedShare rate
}

// addRatings adds the ratings of an outcome to the scores, which are needed when the version is the old one of a roll-out.
func (v *versionStats) addRatings(o *control.Outcome) {
	v.ratedShare.add(float64(o.Requests), float64(o.Ratings), rateWindowRequests)
	v.longTermScores.add(float64(o.Ratings), o.RatingSum, rateWindowRequests)
	if v.monitoring {
		v.recentScores.add(float64(o.Ratings), o.RatingSum, bandWindowRatings)
	}
}

// monitorRatings starts or ends the collection of recentScores, which show whether the ratings of the old version fall
// together with the ratings of the new one.
func (v *versionStats) monitorRatings(on bool) {
	if on && !v.monitoring {
		v.referenceScores, v.recentScores = v.longTermScores, rate{}
	}
	v.monitoring = on
}

// ratingsInBand reports whether the mean of recentScores is still close to that of referenceScores. known is false while
// there are too few ratings.
func (v *versionStats) ratingsInBand() (inBand, known bool) {
	if v.recentScores.total < minBandRatings || v.referenceScores.total < minBandRatings {
		return false, false
	}
	mean := v.referenceScores.mean()
	maxDeviation := max(minBandDeviation, bandStdErrors*math.Sqrt(mean*(1-mean)/v.recentScores.total))
	return math.Abs(v.recentScores.mean()-mean) <= maxDeviation, true
}
