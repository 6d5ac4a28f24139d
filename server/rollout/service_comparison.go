package rollout

import (
	"math"

	"clementinetray/api/control"
)

// The tests for services detect a failure rate 20 percentage points above that of the old version, as faults of single backend
// servers raise the failure rate of a version by less, and a share of overdue answers 30 points above.
var (
	serviceErrorPlan   = Plan{Alpha: 0.001, Beta: 0.01, Difference: 0.2}
	serviceOverduePlan = Plan{Alpha: 0.001, Beta: 0.01, Difference: 0.3}
)

const (
	// priorRequests is the weight, in requests, of the assumption that a version seldom fails.
	priorRequests = 20
	// minSoundRate limits how far sequentialTest.baseFactor lowers the rate that the new version is compared with: single
	// backend servers of the new version may fail, too.
	minSoundRate = 0.05
	// routeRateWindow is the number of requests on the old version beyond which its rates on a route scale older ones down,
	// so that a fault that hits both versions counts for both.
	routeRateWindow = 400
	// minRouteShare is the smallest share of the requests that a route needs to be judged by itself before a version is
	// accepted.
	minRouteShare = 0.1
	// oldTimesWindow and newTimesWindow are the same for the times of one route and model. The window of the new version is
	// shorter, so that one that turns slow is not hidden by its earlier answers.
	oldTimesWindow = 300
	newTimesWindow = 30

	// minSlowRatio is the smallest ratio of the times to the first event, new version to old, at which the new version counts
	// as slower. The time depends on the size of the request, so a smaller ratio is no evidence. minSlowIntervalRatio is the
	// same for the times between events, which depend on the load of the backend server only.
	minSlowRatio         = 2.2
	minSlowIntervalRatio = 1.8
	// slowStdErrors is the number of standard errors by which the means of the logarithms must differ.
	slowStdErrors = 3.5
	// acceptStdErrors is the number of standard errors by which the difference must be below the one that counts as slower
	// before the new version is taken for as fast as the old one.
	acceptStdErrors = 2
	// minTimes and minIntervals are the numbers of times of the new version that a comparison needs. minOldTimes is how many
	// of the old version each route and model needs.
	minTimes     = 6
	minIntervals = 4
	minOldTimes  = 3
	// minLogVariance is the smallest variance of the logarithms: times of a few milliseconds vary by that much anyway.
	minLogVariance = 0.05
	// minLogRatio is the lowest log likelihood ratio that is passed to Plan.Clamp.
	minLogRatio = -100
)

// stratum names attempts whose times can be compared: those of one route that run on one model.
type stratum struct{ route, model string }

// windowedTimes adds up logarithms of times, and scales older ones down beyond a window.
type windowedTimes struct{ count, sum, squares float64 }

func (w *windowedTimes) add(t control.LogTimes, window float64) {
	w.count += float64(t.Count)
	w.sum += t.Sum
	w.squares += t.Squares
	if w.count > window {
		scale := window / w.count
		w.count, w.sum, w.squares = window, w.sum*scale, w.squares*scale
	}
}

func (w *windowedTimes) mean() float64 { return w.sum / w.count }

func (w *windowedTimes) variance() float64 {
	return max(w.squares/w.count-w.mean()*w.mean(), minLogVariance)
}

// versionTimes holds one kind of times of both versions.
type versionTimes struct{ old, fresh windowedTimes }

// timeDifference is the mean difference of the logarithms of times, new version minus old, over the strata of both.
type timeDifference struct {
	// count is the number of times of the new version. mean and stdError are in natural logarithms.
	count, mean, stdError float64
}

// compareTimes compares each time of the new version with the mean of the old version in the same stratum. The versions may
// have other shares of the routes and models, whose times differ more than those of good and bad versions.
func compareTimes(strata []*versionTimes) timeDifference {
	var d timeDifference
	var squares, oldVariance float64
	for _, s := range strata {
		if s.old.count < minOldTimes || s.fresh.count == 0 {
			continue
		}
		mean, n := s.old.mean(), s.fresh.count
		d.count += n
		d.mean += s.fresh.sum - n*mean
		squares += s.fresh.squares - 2*mean*s.fresh.sum + n*mean*mean
		oldVariance += n * n * s.old.variance() / s.old.count
	}
	if d.count == 0 {
		return d
	}
	d.mean /= d.count
	newVariance := max(squares/d.count-d.mean*d.mean, minLogVariance)
	d.stdError = math.Sqrt(newVariance/d.count + oldVariance/(d.count*d.count))
	return d
}

func (d timeDifference) isSlower(minCount, minRatio float64) bool {
	return d.count >= minCount && d.mean > math.Log(minRatio) && d.mean > slowStdErrors*d.stdError
}

func (d timeDifference) isAsFast(minCount, minRatio float64) bool {
	return d.count >= minCount && d.mean+acceptStdErrors*d.stdError < math.Log(minRatio)
}

// sequentialTest compares the share of hits, for instance failures, between the versions, on each route and over all of them.
// The requests of a route are compared with the old version's on that route.
type sequentialTest struct {
	plan     Plan
	oldRates map[string]*routeRate
	ratios   map[string]float64
	overall  float64
	// baseFactor is multiplied with the rates of the old version, so that the faults of single backend servers don't count as
	// the version's.
	baseFactor float64
}

// routeRate is the rate of the old version on a route. seen is the number of all requests, also of those that the rate no longer
// includes.
type routeRate struct {
	rate
	seen float64
}

func newSequentialTest(plan Plan) sequentialTest {
	return sequentialTest{plan: plan, oldRates: map[string]*routeRate{}, ratios: map[string]float64{}, baseFactor: 1}
}

// addOld adds requests on the old version, and addNew those on the new one.
func (t *sequentialTest) addOld(route string, total, hits int) {
	if t.oldRates[route] == nil {
		t.oldRates[route] = &routeRate{}
	}
	t.oldRates[route].seen += float64(total)
	t.oldRates[route].add(float64(total), float64(hits), routeRateWindow)
}

func (t *sequentialTest) addNew(route string, total, hits int) {
	if total <= 0 {
		return
	}
	old := t.oldRates[route]
	if old == nil {
		old = &routeRate{}
	}
	base := (old.hits + 0.5) / (old.total + priorRequests)
	base = max(base*t.baseFactor, min(base, minSoundRate))
	increment := max(t.plan.LogRatioIncrement(total, hits, base), minLogRatio)
	t.ratios[route], _ = t.plan.Clamp(t.ratios[route] + increment)
	t.overall, _ = t.plan.Clamp(t.overall + increment)
}

// badRoute returns the route on which the new version is worse; worse says whether it is worse at all.
func (t *sequentialTest) badRoute() (route string, worse bool) {
	if _, verdict := t.plan.Clamp(t.overall); verdict == Bad {
		return "", true
	}
	for route, ratio := range t.ratios {
		if _, verdict := t.plan.Clamp(ratio); verdict == Bad {
			return route, true
		}
	}
	return "", false
}

// accepts reports whether the new version does no worse over all routes and, with half of that evidence, on each route that has
// minRouteShare or more of the requests.
func (t *sequentialTest) accepts() bool {
	if _, verdict := t.plan.Clamp(t.overall); verdict != Accepted {
		return false
	}
	requests := 0.0
	for _, old := range t.oldRates {
		requests += old.seen
	}
	accept, _ := t.plan.Bounds()
	for route, old := range t.oldRates {
		if t.ratios[route] > accept/2 && old.seen >= minRouteShare*requests {
			return false
		}
	}
	return true
}

// sampleKey identifies the totals of one version in one stratum.
type sampleKey struct {
	stratum
	isNew bool
}

// serviceEvidence is what the attempts during a roll-out say about the new version.
type serviceEvidence struct {
	// counted holds the totals that the tests include already.
	counted           map[sampleKey]control.RolloutSample
	failures, overdue sequentialTest
	first, interval   map[stratum]*versionTimes
	// served and failed count the attempts on the new version, oldServed those on the old one.
	served, failed, oldServed int
}

func newServiceEvidence() *serviceEvidence {
	return &serviceEvidence{
		counted: map[sampleKey]control.RolloutSample{}, failures: newSequentialTest(serviceErrorPlan), overdue: newSequentialTest(serviceOverduePlan),
		first: map[stratum]*versionTimes{}, interval: map[stratum]*versionTimes{},
	}
}

// update includes what the totals have grown by since the last update. soundFraction is the result of
// serverRates.soundFraction. The old version comes first, so that a fault that began
// on both is in the rates that the new one is compared with.
func (e *serviceEvidence) update(totals map[sampleKey]control.RolloutSample, soundFraction float64) {
	e.failures.baseFactor = soundFraction
	for _, isNew := range []bool{false, true} {
		for key, total := range totals {
			if key.isNew == isNew {
				e.add(key, growth(total, e.counted[key]))
				e.counted[key] = total
			}
		}
	}
}

// growth returns the difference of two totals.
func growth(total, before control.RolloutSample) control.RolloutSample {
	total.Requests -= before.Requests
	total.Failures -= before.Failures
	total.Prompt -= before.Prompt
	total.Overdue -= before.Overdue
	total.First = timesGrowth(total.First, before.First)
	total.Interval = timesGrowth(total.Interval, before.Interval)
	return total
}

func timesGrowth(total, before control.LogTimes) control.LogTimes {
	return control.LogTimes{Count: total.Count - before.Count, Sum: total.Sum - before.Sum, Squares: total.Squares - before.Squares}
}

func (e *serviceEvidence) add(key sampleKey, s control.RolloutSample) {
	first, interval := timesOf(e.first, key.stratum), timesOf(e.interval, key.stratum)
	if !key.isNew {
		e.oldServed += s.Requests
		e.failures.addOld(key.route, s.Requests, s.Failures)
		e.overdue.addOld(key.route, s.Prompt+s.Overdue, s.Overdue)
		first.old.add(s.First, oldTimesWindow)
		interval.old.add(s.Interval, oldTimesWindow)
		return
	}
	e.served += s.Requests
	e.failed += s.Failures
	e.failures.addNew(key.route, s.Requests, s.Failures)
	e.overdue.addNew(key.route, s.Prompt+s.Overdue, s.Overdue)
	first.fresh.add(s.First, newTimesWindow)
	interval.fresh.add(s.Interval, newTimesWindow)
}

func timesOf(m map[stratum]*versionTimes, key stratum) *versionTimes {
	if m[key] == nil {
		m[key] = &versionTimes{}
	}
	return m[key]
}

// routes returns the routes that have times.
func (e *serviceEvidence) routes() map[string]bool {
	routes := map[string]bool{}
	for key := range e.first {
		routes[key.route] = true
	}
	return routes
}

// selectTimes returns the times on a route, or on all routes if it is empty.
func selectTimes(m map[stratum]*versionTimes, route string) []*versionTimes {
	var out []*versionTimes
	for key, times := range m {
		if route == "" || key.route == route {
			out = append(out, times)
		}
	}
	return out
}

// assessment is what a roll-out knows about its new version.
type assessment struct {
	// served is the number of attempts on the new version, newShare their share in all attempts, 0 to 1.
	served   int
	newShare float64
	// fault says how the new version is worse; empty if it is not known to be.
	fault string
	// accepted is set if the attempts show that the new version is as good as the old one. Otherwise missing says what they
	// do not show yet.
	accepted bool
	missing  string
}

// assess compares the versions over all routes and on each route, because a version may be bad on one route only.
func (e *serviceEvidence) assess() assessment {
	a := assessment{served: e.served, newShare: float64(e.served) / float64(max(e.served+e.oldServed, 1))}
	if route, worse := e.failures.badRoute(); worse {
		a.fault = onRoute("fails more often than the old version", route)
		return a
	}
	if route, worse := e.overdue.badRoute(); worse {
		a.fault = onRoute("begins more answers too late than the old version", route)
		return a
	}
	routes := e.routes()
	routes[""] = true
	for route := range routes {
		if compareTimes(selectTimes(e.first, route)).isSlower(minTimes, minSlowRatio) {
			a.fault = onRoute("answers more slowly than the old version", route)
			return a
		}
		if compareTimes(selectTimes(e.interval, route)).isSlower(minIntervals, minSlowIntervalRatio) {
			a.fault = onRoute("pauses longer between events than the old version", route)
			return a
		}
	}
	a.missing = e.missing()
	a.accepted = a.missing == ""
	return a
}

func onRoute(fault, route string) string {
	if route == "" {
		return fault
	}
	return fault + " on route " + route
}

// missing returns what the attempts do not show yet, or an empty string if the new version is as good as the old one.
func (e *serviceEvidence) missing() string {
	if !e.failures.accepts() {
		return "that it fails no more often"
	}
	if e.overdue.overall > 0 {
		return "that its answers begin in time"
	}
	if !compareTimes(selectTimes(e.first, "")).isAsFast(minTimes, minSlowRatio) {
		return "that it answers as fast"
	}
	oldIntervals := 0.0
	for _, times := range e.interval {
		oldIntervals += times.old.count
	}
	if oldIntervals >= minIntervals && !compareTimes(selectTimes(e.interval, "")).isAsFast(minIntervals, minSlowIntervalRatio) {
		return "that its streams are as fast"
	}
	return ""
}
