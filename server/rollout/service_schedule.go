package rollout

import (
	"time"

	"clementinetray/api/control"
)

const (
	// startFromPercent is the percentage of the time limit after which requests may go to the new version. Before that, entry
	// instances exchange which sessions are open, because these stay on the old version. The shortest roll-outs, of 16 s,
	// leave 1.3 s for this exchange.
	startFromPercent = 8
	// settledFromPercent is the percentage of the time limit after which sessions may move to the new version.
	settledFromPercent = 50
	// allRequestsPercent is the percentage of the time limit for which all requests go to the new version before the
	// roll-out is done: 0.8 s in the shortest roll-outs, of 16 s. It is done from doneFromPercent on in any case, if the rest
	// of the time limit fits into the allowed exposure, and from latestDonePercent on without that. In the shortest roll-outs
	// 0.6 s and 0.3 s remain then for the commit and the operator's query.
	allRequestsPercent = 5
	doneFromPercent    = 96
	latestDonePercent  = 98
	// exposureMargin is the planned fraction of the allowed exposure. It is below 1 because the load may vary during a
	// roll-out.
	exposureMargin = 0.95
)

// nextProgress returns the progress of a roll-out that has run for elapsed. A version is kept only if the requests show that it
// is as good as the old one. Too few of them lead to a larger share at first, and to a rollback at the time limit. exposure is
// the largest share, 0 to 1, of the requests within the time limit that may go to a version that turns out to be bad.
func nextProgress(r control.ServiceRollout, exposure float64, elapsed time.Duration, a assessment) control.ServiceRollout {
	next := r
	limit := r.TimeLimit()
	next.ElapsedMillis = elapsed.Milliseconds()
	next.ExposedMillis = r.ExposedMillis + (next.ElapsedMillis-r.ElapsedMillis)*int64(r.Percent)/100
	elapsedPercent := int(100 * elapsed / max(limit, time.Millisecond))
	// What was exposed so far, and what is exposed if all requests go to the new version from now on. The load may have been
	// higher while it had the larger share, so the requests count too, not only the time. A version that fails only under
	// load, or only after some time, may show no fault before it serves all requests.
	exposed := max(time.Duration(next.ExposedMillis)*time.Millisecond, time.Duration(a.newShare*float64(elapsed))) + limit - elapsed
	allowed := exposure * float64(limit)
	mayServeAll := elapsedPercent >= settledFromPercent && float64(exposed) <= exposureMargin*allowed
	allFor := elapsed - time.Duration(r.AllFromMillis)*time.Millisecond
	mayBeDone := elapsedPercent >= latestDonePercent || elapsedPercent >= doneFromPercent && float64(exposed) <= allowed ||
		r.AllFromMillis > 0 && allFor >= limit*allRequestsPercent/100
	switch {
	case a.fault != "":
		next.State, next.Reason = control.RolloutRolledBack, a.fault
	case mayBeDone && a.accepted:
		next.State, next.Reason = control.RolloutDone, "no fault was found"
	case elapsedPercent >= 100:
		next.State, next.Reason = control.RolloutRolledBack, "too few requests to show "+a.missing
	}
	switch {
	case mayServeAll && a.accepted:
		next.Percent = 100
	case elapsedPercent >= settledFromPercent && !a.accepted:
		next.Percent = max(r.Percent, control.ExtendedRolloutPercent)
	case elapsedPercent >= startFromPercent:
		// A share that shrinks would move sessions back.
		next.Percent = max(r.Percent, control.InitialRolloutPercent)
	}
	if next.Percent == 100 && r.AllFromMillis == 0 {
		next.AllFromMillis = next.ElapsedMillis
	}
	next.Settled = r.Settled || elapsedPercent >= settledFromPercent
	return next
}
