package routing

import (
	"strings"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
)

// Reasons are shared slices, so that a decision on the hot path allocates none. Their capacity equals their length.
var (
	reasonNamed       = []string{"the request names the version"}
	reasonPinned      = []string{"the session is pinned to the version"}
	reasonSuccessor   = []string{"the session left a withdrawn version for its successor"}
	reasonRollback    = []string{"the session left a rolled back version"}
	reasonUnusablePin = []string{"the session left a version that it may no longer use"}
	reasonOnly        = []string{"latest version of the model"}
	reasonNew         = []string{"within the roll-out's share of the new version"}
	reasonOld         = []string{"outside the roll-out's share of the new version"}
	reasonNewFailed   = []string{"an attempt on the roll-out's new version failed"}
	reasonNewMissing  = []string{"within the roll-out's share, but no backend server of the new version takes work"}
)

// ChooseVersion decides which version a request runs on. The returned problems are marked not run.
func ChooseVersion(s *Snapshot, r *Request) (VersionChoice, *problem.Problem) {
	if p := checkSnapshot(s); p != nil {
		return VersionChoice{}, p
	}
	if p := checkDeadline(s, r); p != nil {
		return VersionChoice{}, p
	}
	if r.Class != "" {
		return chooseForClass(s, r)
	}
	model, version, named := strings.Cut(r.Model, "@")
	if named {
		ref := catalogue.VersionRef{Model: model, Version: version}
		if p := denialProblem(denialOf(s.View, r.Workspace, ref), ref); p != nil {
			return VersionChoice{}, p
		}
		return VersionChoice{VersionRef: ref, Reasons: reasonNamed}, nil
	}
	m := s.View.Catalogue.FindModel(model)
	if m == nil {
		return VersionChoice{}, problem.New(problem.UnknownModel, model+" is not in the catalogue").Unrun()
	}
	// A pin to another model does not bind a request that names this one.
	if r.Pinned.Model == model {
		return choosePinned(s, r, func() (VersionChoice, *problem.Problem) { return chooseForModel(s, r, m) })
	}
	return chooseForModel(s, r, m)
}

// chooseForModel picks a version of one model by its roll-out, or the latest version.
func chooseForModel(s *Snapshot, r *Request, m *catalogue.Model) (VersionChoice, *problem.Problem) {
	ref, ok := baseVersion(s, r, m)
	if !ok {
		return VersionChoice{}, noVersionProblem(s, r, m)
	}
	choice := VersionChoice{VersionRef: ref, Reasons: reasonOnly}
	applyRollout(s, r, &choice)
	return choice, nil
}

// baseVersion returns the version that serves a model before the roll-out's split: the roll-out's old version, or the
// last permitted version, preferably one with a backend server that takes work. The new version of an unfinished
// roll-out counts only when nothing else is permitted.
func baseVersion(s *Snapshot, r *Request, m *catalogue.Model) (catalogue.VersionRef, bool) {
	rollout, rolling := rolloutOf(s.View, m.Name)
	unfinished := rolling && rollout.State != control.RolloutDone
	if rolling {
		first := rollout.From
		if !unfinished {
			first = rollout.To
		}
		ref := catalogue.VersionRef{Model: m.Name, Version: first}
		if denialOf(s.View, r.Workspace, ref) == permitted {
			return ref, true
		}
	}
	var last, fallback catalogue.VersionRef
	for i := len(m.Versions) - 1; i >= 0; i-- {
		ref := catalogue.VersionRef{Model: m.Name, Version: m.Versions[i].Name}
		if denialOf(s.View, r.Workspace, ref) != permitted {
			continue
		}
		if unfinished && ref.Version == rollout.To {
			fallback = ref
			continue
		}
		if hasServer(s, ref) {
			return ref, true
		}
		if last.Model == "" {
			last = ref
		}
	}
	if last.Model == "" {
		last = fallback
	}
	return last, last.Model != ""
}

// applyRollout replaces the old version by the new one for requests within the roll-out's share.
func applyRollout(s *Snapshot, r *Request, c *VersionChoice) {
	rollout, rolling := rolloutOf(s.View, c.Model)
	if !rolling || rollout.From != c.Version || rollout.State == control.RolloutRolledBack {
		return
	}
	if !takesNew(&rollout, r) {
		c.Reasons = reasonOld
		return
	}
	to := catalogue.VersionRef{Model: c.Model, Version: rollout.To}
	switch {
	case r.Failed == to:
		c.Reasons = reasonNewFailed
	case denialOf(s.View, r.Workspace, to) != permitted:
	case !hasServer(s, to):
		c.Reasons = reasonNewMissing
	default:
		c.VersionRef, c.Reasons = to, reasonNew
	}
}

// noVersionProblem states why no version of a model is left.
func noVersionProblem(s *Snapshot, r *Request, m *catalogue.Model) *problem.Problem {
	worst := unknownVersion
	for i := range m.Versions {
		worst = max(worst, denialOf(s.View, r.Workspace, catalogue.VersionRef{Model: m.Name, Version: m.Versions[i].Name}))
	}
	if worst == withdrawn || worst == rolledBack {
		return problem.New(problem.VersionWithdrawn, "every version of "+m.Name+" that the workspace may use is withdrawn").Unrun()
	}
	return problem.New(problem.NotAllowed, "the workspace may not use "+m.Name).Unrun()
}
