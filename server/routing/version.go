package routing

import (
	"strings"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
)

// The reasons are slices that all decisions share, so that none is allocated per request. Their capacity equals their
// length, so that append copies them.
var (
	reasonNamed                 = []string{"the request names the version"}
	reasonPinned                = []string{"the session is pinned to the version"}
	reasonSuccessor             = []string{"the session left a withdrawn version for its successor"}
	reasonRollback              = []string{"the session left a rolled back version"}
	reasonUnusablePin           = []string{"the session left a version that it may no longer use"}
	reasonLatest                = []string{"latest version of the model"}
	reasonInShare               = []string{"within the roll-out's share of the new version"}
	reasonOutsideShare          = []string{"outside the roll-out's share of the new version"}
	reasonNewVersionFailed      = []string{"an attempt on the roll-out's new version failed"}
	reasonNewVersionUnavailable = []string{"within the roll-out's share, but no backend server of the new version takes work"}
)

// ChooseVersion chooses the version on which a request runs. Every problem that it returns has NotRun set.
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
		if p := permissionProblem(checkVersionPermission(s.View, r.Workspace, ref), ref); p != nil {
			return VersionChoice{}, p
		}
		return VersionChoice{VersionRef: ref, Reasons: reasonNamed}, nil
	}
	m := s.View.Catalogue.FindModel(model)
	if m == nil {
		return VersionChoice{}, problem.New(problem.UnknownModel, model+" is not in the catalogue").MarkNotRun()
	}
	// A pin to another model does not apply to a request that names this model.
	if r.Pinned.Model == model {
		return choosePinned(s, r, func() (VersionChoice, *problem.Problem) { return chooseForModel(s, r, m) })
	}
	return chooseForModel(s, r, m)
}

// chooseForModel chooses a version of the model: by its roll-out if it has one, the latest version otherwise.
func chooseForModel(s *Snapshot, r *Request, m *catalogue.Model) (VersionChoice, *problem.Problem) {
	ref, ok := versionBeforeRollout(s, r, m)
	if !ok {
		return VersionChoice{}, noVersionProblem(s, r, m)
	}
	choice := VersionChoice{VersionRef: ref, Reasons: reasonLatest}
	applyRollout(s, r, &choice)
	return choice, nil
}

// versionBeforeRollout returns the version that serves a model before applyRollout is called. That is the roll-out's old
// version (the new one if the roll-out is done) or else the latest permitted version, preferably one with a backend
// server that takes work. The new version of an unfinished roll-out is returned only if no other version is permitted.
func versionBeforeRollout(s *Snapshot, r *Request, m *catalogue.Model) (catalogue.VersionRef, bool) {
	rollout, hasRollout := rolloutOf(s.View, m.Name)
	unfinished := hasRollout && rollout.State != control.RolloutDone
	if hasRollout {
		preferred := rollout.From
		if !unfinished {
			preferred = rollout.To
		}
		ref := catalogue.VersionRef{Model: m.Name, Version: preferred}
		if checkVersionPermission(s.View, r.Workspace, ref) == permitted {
			return ref, true
		}
	}
	var latest, fallback catalogue.VersionRef
	for i := len(m.Versions) - 1; i >= 0; i-- {
		ref := catalogue.VersionRef{Model: m.Name, Version: m.Versions[i].Name}
		if checkVersionPermission(s.View, r.Workspace, ref) != permitted {
			continue
		}
		if unfinished && ref.Version == rollout.To {
			fallback = ref
			continue
		}
		if hasServer(s, ref) {
			return ref, true
		}
		if latest.Model == "" {
			latest = ref
		}
	}
	if latest.Model == "" {
		latest = fallback
	}
	return latest, latest.Model != ""
}

// applyRollout replaces the roll-out's old version by its new one for requests within the roll-out's share.
func applyRollout(s *Snapshot, r *Request, choice *VersionChoice) {
	rollout, hasRollout := rolloutOf(s.View, choice.Model)
	if !hasRollout || rollout.From != choice.Version || rollout.State == control.RolloutRolledBack {
		return
	}
	if !takesNewVersion(&rollout, r) {
		choice.Reasons = reasonOutsideShare
		return
	}
	to := catalogue.VersionRef{Model: choice.Model, Version: rollout.To}
	switch {
	case r.FailedVersion == to:
		choice.Reasons = reasonNewVersionFailed
	case checkVersionPermission(s.View, r.Workspace, to) != permitted:
	case !hasServer(s, to):
		choice.Reasons = reasonNewVersionUnavailable
	default:
		choice.VersionRef, choice.Reasons = to, reasonInShare
	}
}

// noVersionProblem returns the problem for a model of which the workspace may use no version.
func noVersionProblem(s *Snapshot, r *Request, m *catalogue.Model) *problem.Problem {
	worst := unknownVersion
	for i := range m.Versions {
		worst = max(worst, checkVersionPermission(s.View, r.Workspace, catalogue.VersionRef{Model: m.Name, Version: m.Versions[i].Name}))
	}
	if worst == withdrawn || worst == rolledBack {
		return problem.New(problem.VersionWithdrawn, "every version of "+m.Name+" that the workspace may use is withdrawn").MarkNotRun()
	}
	return problem.New(problem.NotAllowed, "the workspace may not use "+m.Name).MarkNotRun()
}
