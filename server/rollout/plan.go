package rollout

import (
	"fmt"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

const (
	// maxRequiredRatings is the largest number of ratings of the new version that a step waits for.
	maxRequiredRatings = 20
	// maxWorkspaceHoldStepTimes is the longest time, in multiples of the step time, for which evidence from a single
	// workspace delays the next step. The workspace may have stopped sending requests.
	maxWorkspaceHoldStepTimes = 4
	// minReasonInterval is the shortest time between two commands that change nothing but the reason.
	minReasonInterval = 30 * time.Second
)

// planProgress returns the next progress of a roll-out; false if the progress does not change.
func (c *Controller) planProgress(now time.Time, cat *catalogue.Catalogue, r catalogue.Rollout, p *control.RolloutProgress) (control.RolloutProgress, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p == nil {
		delete(c.trials, r.Model)
		return firstProgress(now, cat, r)
	}
	if p.State == control.RolloutDone || p.State == control.RolloutRolledBack {
		delete(c.trials, r.Model)
		return *p, false
	}
	t := c.updateTrial(now, p)
	old := c.statsFor(t.from)
	if old == nil {
		old = &versionStats{}
	}
	if next, ok := forcedProgress(now, cat, r, p, t, old); ok {
		return next, true
	}
	if p.State != control.RolloutRunning {
		return *p, false
	}
	if p.Step >= len(r.Steps) || r.Steps[p.Step] != p.Percent {
		return progressAfterEdit(now, r, p), true
	}
	if !p.Rated && old.longTermScores.total >= maxRequiredRatings {
		next := *p
		next.Rated = true
		return next, true
	}
	reason, goBack := t.waitReason(now, r, p, old)
	switch {
	case goBack:
		return progressAtStep(now, r, p, p.Step-1, reason), true
	case reason != "":
		return progressWithReason(now, p, t, reason)
	case p.Step == len(r.Steps)-1:
		next := *p
		next.State, next.Percent, next.Since, next.Reason = control.RolloutDone, 100, now, "the last step passed"
		return next, true
	}
	return progressAtStep(now, r, p, p.Step+1, "the step before passed"), true
}

// firstProgress returns the progress with which a roll-out starts; false if the new version is withdrawn.
func firstProgress(now time.Time, cat *catalogue.Catalogue, r catalogue.Rollout) (control.RolloutProgress, bool) {
	p := control.RolloutProgress{Model: r.Model, From: r.From, To: r.To, State: control.RolloutRunning, Since: now}
	switch {
	case isWithdrawn(cat, r.Model, r.To):
		return p, false
	case isWithdrawn(cat, r.Model, r.From):
		p.State, p.Step, p.Percent, p.Reason = control.RolloutDone, len(r.Steps)-1, 100, "the old version is withdrawn"
	default:
		p.Percent, p.Reason = r.Steps[0], "started"
	}
	return p, true
}

func isWithdrawn(cat *catalogue.Catalogue, model, name string) bool {
	v := cat.FindVersion(catalogue.VersionRef{Model: model, Version: name})
	return v == nil || v.Withdrawn
}

// updateTrial returns the evidence on a roll-out. For a new roll-out it starts without evidence. A new step resets the counts
// of the step; the sequential tests continue.
func (c *Controller) updateTrial(now time.Time, p *control.RolloutProgress) *trial {
	from := catalogue.VersionRef{Model: p.Model, Version: p.From}
	to := catalogue.VersionRef{Model: p.Model, Version: p.To}
	t := c.trials[p.Model]
	if t == nil || t.from != from || t.to != to {
		t = &trial{
			from: from, to: to, step: p.Step, since: p.Since, seenAt: now,
			errors:  comparison{overallPlan: errorTestPlan, workspacePlan: workspaceErrorPlan},
			slow:    comparison{overallPlan: slowPlan, workspacePlan: workspaceSlowPlan},
			pace:    comparison{overallPlan: slowPlan, workspacePlan: workspaceSlowPlan},
			ratings: comparison{overallPlan: errorTestPlan, workspacePlan: workspaceErrorPlan},
		}
		c.trials[p.Model] = t
	}
	if t.step != p.Step || !t.since.Equal(p.Since) {
		t.step, t.since, t.seenAt = p.Step, p.Since, now
		t.requestCount, t.ratingCount, t.maxRatedShare = 0, 0, 0
		t.errors.beginStep()
		t.slow.beginStep()
		t.pace.beginStep()
		t.ratings.beginStep()
	}
	return t
}

// forcedProgress returns the progress that a withdrawn version or an alarm requires; false if there is neither. Such
// progress is made even while an operator holds the roll-out.
func forcedProgress(now time.Time, cat *catalogue.Catalogue, r catalogue.Rollout, p *control.RolloutProgress, t *trial, old *versionStats) (control.RolloutProgress, bool) {
	next := *p
	next.Since = now
	switch {
	case isWithdrawn(cat, p.Model, p.To):
		next.State, next.Percent, next.Reason = control.RolloutRolledBack, 0, "the new version is withdrawn"
	case isWithdrawn(cat, p.Model, p.From):
		// Without the old version there is no comparison, and only the new version can serve the requests.
		next.State, next.Percent, next.Reason = control.RolloutDone, 100, "the old version is withdrawn"
	case t.errors.alarmRaised:
		return t.progressOnAlarm(now, r, p, &t.errors, "more errors than the old version"), true
	case t.slow.alarmRaised:
		return t.progressOnAlarm(now, r, p, &t.slow, "more slow first tokens than the old version"), true
	case t.pace.alarmRaised:
		return t.progressOnAlarm(now, r, p, &t.pace, "more slow streams than the old version"), true
	case t.ratings.alarmRaised && old.ratingsAreSteady():
		next.State, next.Percent, next.Reason = control.RolloutRolledBack, 0, "lower ratings than the old version"+t.ratings.worstWorkspaceSuffix()
	default:
		return next, false
	}
	return next, true
}

// progressOnAlarm returns the progress after an alarm: a rollback, or the previous step if the old version had too few
// requests for a comparison. In that case the fault may affect both versions, and the previous step shows whether it
// does, because both versions get requests there.
func (t *trial) progressOnAlarm(now time.Time, r catalogue.Rollout, p *control.RolloutProgress, cmp *comparison, reason string) control.RolloutProgress {
	if !cmp.alarmIsConcurrent && p.Step > 0 && p.State == control.RolloutRunning && p.Step < len(r.Steps) {
		return progressAtStep(now, r, p, p.Step-1, reason+" before, which has no requests to compare with")
	}
	next := *p
	next.State, next.Percent, next.Since, next.Reason = control.RolloutRolledBack, 0, now, reason+cmp.worstWorkspaceSuffix()
	return next
}

func (v *versionStats) ratingsAreSteady() bool {
	inBand, known := v.ratingsInBand()
	return inBand && known
}

func (c *comparison) worstWorkspaceSuffix() string {
	if c.worstWorkspace == "" {
		return ""
	}
	return fmt.Sprintf(", most of all in workspace %q", c.worstWorkspace)
}

// waitReason returns why the current step must continue, or an empty string. goBack is true if the roll-out must return
// to the previous step, so that the old version gets ratings too.
func (t *trial) waitReason(now time.Time, r catalogue.Rollout, p *control.RolloutProgress, old *versionStats) (reason string, goBack bool) {
	if t.ratings.alarmRaised {
		if _, known := old.ratingsInBand(); !known && p.Step > 0 && p.Step == len(r.Steps)-1 {
			return "ratings fell and the old version has none to compare with", true
		}
		return "ratings of both versions fell or can't be compared", false
	}
	required := t.requiredRatings(old)
	switch {
	case t.stepAge(now) < time.Duration(r.StepSeconds)*time.Second:
		return reasonUnchanged, false
	case t.requestCount < r.MinRequests:
		return reasonUnchanged, false
	case p.Rated && t.ratingCount < required:
		return "ratings are late or missing", false
	case t.ratings.newSeemsWorse():
		return "ratings are lower than before", false
	case !t.errors.accepted || t.errors.newSeemsWorse() || t.slow.newSeemsWorse() || t.pace.newSeemsWorse():
		return reasonUnchanged, false
	case t.hasSuspiciousWorkspace() && t.stepAge(now) < maxWorkspaceHoldStepTimes*time.Duration(r.StepSeconds)*time.Second:
		return reasonUnchanged, false
	}
	return "", false
}

func (t *trial) hasSuspiciousWorkspace() bool {
	return t.errors.hasSuspiciousWorkspace() || t.slow.hasSuspiciousWorkspace() || t.pace.hasSuspiciousWorkspace() || t.ratings.hasSuspiciousWorkspace()
}

// reasonUnchanged is returned by waitReason for ordinary waits, which leave the recorded reason as it is.
const reasonUnchanged = "-"

// stepAge returns the time since the recorded start of the step, or the time since this leader first saw the step if that
// is longer. The start was recorded by the clock of a former leader, which may be ahead.
func (t *trial) stepAge(now time.Time) time.Duration { return max(now.Sub(t.since), now.Sub(t.seenAt)) }

// requiredRatings returns how many ratings of the new version the step needs. This is half of the expected number, which
// is requestCount times maxRatedShare. The result is at most maxRequiredRatings, and at least one: without any rating
// the rating service has failed.
func (t *trial) requiredRatings(old *versionStats) int {
	t.maxRatedShare = max(t.maxRatedShare, old.ratedShare.mean())
	return max(1, min(maxRequiredRatings, int(t.maxRatedShare*float64(t.requestCount)/2)))
}

func progressAtStep(now time.Time, r catalogue.Rollout, p *control.RolloutProgress, step int, reason string) control.RolloutProgress {
	next := *p
	next.Step, next.Percent, next.Since, next.Reason = step, r.Steps[step], now, reason
	return next
}

// progressAfterEdit returns the progress after the steps were edited: the last step that does not raise the share of the
// new version.
func progressAfterEdit(now time.Time, r catalogue.Rollout, p *control.RolloutProgress) control.RolloutProgress {
	step := 0
	for i, percent := range r.Steps {
		if percent <= p.Percent {
			step = i
		}
	}
	return progressAtStep(now, r, p, step, "the steps were edited")
}

func progressWithReason(now time.Time, p *control.RolloutProgress, t *trial, reason string) (control.RolloutProgress, bool) {
	if reason == reasonUnchanged || reason == p.Reason || now.Sub(t.reasonChanged) < minReasonInterval {
		return *p, false
	}
	t.reasonChanged = now
	next := *p
	next.Reason = reason
	return next, true
}
