package routing

import (
	"github.com/cespare/xxhash/v2"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

// rolloutOf returns the roll-out that is in force for a model. A roll-out of the catalogue without matching progress has
// not started: its new version gets no share. Progress without a roll-out in the catalogue stays in force, so that
// deleting a roll-out at 1% does not move all work to the new version.
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

// isRolledBack reports whether the last roll-out of the model to this version was rolled back.
func isRolledBack(view *control.View, ref catalogue.VersionRef) bool {
	if view.Rollouts == nil {
		return false
	}
	p, ok := view.Rollouts.Progress[ref.Model]
	return ok && p.State == control.RolloutRolledBack && p.To == ref.Version
}

// RolloutShare returns the share of requests, in percent, that a running roll-out sends to the version; 0 when the version is not
// the new one of a roll-out.
func RolloutShare(view *control.View, ref catalogue.VersionRef) int {
	rollout, rolling := rolloutOf(view, ref.Model)
	if !rolling || rollout.State != control.RolloutRunning || rollout.To != ref.Version {
		return 0
	}
	return rollout.Percent
}

// splitUnits is the resolution of a roll-out's percent.
const splitUnits = 10000

// takesNew reports whether the request falls into the share of the new version. The share of a higher percent contains
// that of a lower one, so a request or session never returns to the old version as the roll-out advances.
func takesNew(p *control.RolloutProgress, r *Request) bool {
	// Only sessions keep their share while held: they may have begun on the new version, and single requests would expose
	// callers that the held roll-out has not reached.
	if p.State == control.RolloutHeld && r.Session == "" {
		return false
	}
	return stableHash(r, p.To)%splitUnits < uint64(max(p.Percent, 0))*(splitUnits/100)
}

// stableHash hashes the session, or the request id without one, so that each entry instance decides the same. The salt
// separates decisions: the first sessions of one roll-out are not the first of the next.
func stableHash(r *Request, salt string) uint64 {
	h := xxhash.New()
	add := func(text string) {
		// Writes to a hash never fail. The byte 0xff, which no name contains, keeps two texts apart.
		_, _ = h.WriteString(text)
		_, _ = h.Write([]byte{0xff})
	}
	add(salt)
	if r.Session != "" {
		if r.Workspace != nil {
			add(r.Workspace.Name)
		}
		add(r.Session)
	} else {
		add(r.ID)
	}
	return h.Sum64()
}
