package entry

import (
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/limits"
	"clementinetray/server/routing"
)

// acquireVersionLimits counts the request against the limits of its model version. When the limit of running requests of a
// version in roll-out is reached, a request without a session is moved to the version that the roll-out replaces.
func (h *Handler) acquireVersionLimits(rq *request, snap *routing.Snapshot) *problem.Problem {
	var releases []func()
	rq.releaseVersion = func() {
		for _, release := range releases {
			release()
		}
	}
	now := time.Now()
	if progress, limit := findExposureLimit(snap.View, rq.version); limit > 0 {
		release, ok := h.cfg.Limits.TryAcquire(now, limits.RolloutExposureKey(rq.version.String()), float64(limit))
		from := catalogue.VersionRef{Model: progress.Model, Version: progress.From}
		switch {
		case ok:
			releases = append(releases, release)
		case rq.route.Session == "" && isUsable(snap.View.Catalogue, from) && rq.route.Workspace.Allows(from) && rq.route.Model == rq.version.Model:
			h.record(rq, "exposure_used_up", "sent to "+from.String())
			rq.version = from
		default:
			return problem.New(problem.Overloaded, "the exposure of "+rq.version.String()+" is used up").WithRetryAfter(time.Second)
		}
	}
	if v := snap.View.Catalogue.FindVersion(rq.version); v != nil && v.MaxConcurrent > 0 {
		release, ok := h.cfg.Limits.TryAcquire(now, limits.VersionConcurrencyKey(rq.version.String()), float64(v.MaxConcurrent))
		if !ok {
			return problem.New(problem.Overloaded, "the running requests of "+rq.version.String()+" are used up").WithRetryAfter(time.Second)
		}
		releases = append(releases, release)
	}
	return nil
}

// findExposureLimit returns the progress of the roll-out to v and the limit of v's running requests, which applies until the
// last step. The limit is 0 when there is none.
func findExposureLimit(view *control.View, v catalogue.VersionRef) (control.RolloutProgress, int) {
	rollout := view.Catalogue.FindRollout(v.Model)
	if rollout == nil || rollout.To != v.Version || rollout.MaxExposure == 0 || view.Rollouts == nil {
		return control.RolloutProgress{}, 0
	}
	progress, ok := view.Rollouts.Progress[v.Model]
	if !ok || progress.To != v.Version || progress.State == control.RolloutDone || progress.Percent >= 100 {
		return progress, 0
	}
	return progress, rollout.MaxExposure
}

func isUsable(c *catalogue.Catalogue, v catalogue.VersionRef) bool {
	version := c.FindVersion(v)
	return version != nil && !version.Withdrawn
}
