package routing

import (
	"github.com/cespare/xxhash/v2"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

// rolloutOf returns the roll-out that applies to a model, and false if there is none. A roll-out of the catalogue
// without matching progress has not started: its new version gets 0% of the requests. Progress still applies after its
// roll-out was deleted from the catalogue, so that deleting a roll-out at 1% does not move all work to the new version.
func rolloutOf(view *control.View, model string) (control.RolloutProgress, bool) {
	var progress control.RolloutProgress
	found := false
	if view.Rollouts != nil {
		progress, found = view.Rollouts.Progress[model]
	}
	planned := view.Catalogue.FindRollout(model)
	if planned == nil || found && progress.From == planned.From && progress.To == planned.To {
		return progress, found
	}
	return control.RolloutProgress{Model: model, From: planned.From, To: planned.To, State: control.RolloutRunning}, true
}

// isRolledBack reports whether the model's last roll-out was to this version and was rolled back.
func isRolledBack(view *control.View, ref catalogue.VersionRef) bool {
	if view.Rollouts == nil {
		return false
	}
	p, ok := view.Rollouts.Progress[ref.Model]
	return ok && p.State == control.RolloutRolledBack && p.To == ref.Version
}

// RolloutPercent returns the percentage (0 to 100) of the requests that a running roll-out sends to the version, and 0 if
// the version is not the new version of a running roll-out.
func RolloutPercent(view *control.View, ref catalogue.VersionRef) int {
	rollout, hasRollout := rolloutOf(view, ref.Model)
	if !hasRollout || rollout.State != control.RolloutRunning || rollout.To != ref.Version {
		return 0
	}
	return rollout.Percent
}

// hashBucketCount is the number of equal buckets into which hashes divide the requests: 100 buckets are one percent.
const hashBucketCount = 10000

// takesNewVersion reports whether the request belongs to the share of the new version. A request in the share at one
// percentage is also in the share at each higher one, so that no session returns to the old version while the roll-out
// advances.
func takesNewVersion(progress *control.RolloutProgress, r *Request) bool {
	// While a roll-out is held, only requests with a session still get the new version, as the session may have started on
	// it. Requests without a session would expose callers that have not used the new version yet.
	if progress.State == control.RolloutHeld && r.Session == "" {
		return false
	}
	return stableHash(r, progress.To)%hashBucketCount < uint64(max(progress.Percent, 0))*(hashBucketCount/100)
}

// stableHash hashes the session, or the request id if there is no session, so that all entry instances decide alike.
// The salt makes decisions independent of each other: otherwise each roll-out would reach the same sessions first.
func stableHash(r *Request, salt string) uint64 {
	h := xxhash.New()
	addText := func(text string) {
		// Writes to a hash never fail. The byte 0xff, which no name contains, separates the texts: without it, "a" and "bc"
		// would have the same hash as "ab" and "c".
		_, _ = h.WriteString(text)
		_, _ = h.Write([]byte{0xff})
	}
	addText(salt)
	if r.Session != "" {
		if r.Workspace != nil {
			addText(r.Workspace.Name)
		}
		addText(r.Session)
	} else {
		addText(r.ID)
	}
	return h.Sum64()
}
