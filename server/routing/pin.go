package routing

import (
	"clementinetray/api/catalogue"
	"clementinetray/api/problem"
)

// choosePinned keeps a session on its pinned version, unless that version is withdrawn, was rolled back or may no
// longer be used by the workspace. The session then moves to the named successor or to the roll-out's old version. If
// neither is permitted, chooseWithoutPin chooses a version as for a session without a pin.
func choosePinned(s *Snapshot, r *Request, chooseWithoutPin func() (VersionChoice, *problem.Problem)) (VersionChoice, *problem.Problem) {
	reasons := reasonUnusablePin
	switch checkVersionPermission(s.View, r.Workspace, r.Pinned) {
	case permitted:
		return VersionChoice{VersionRef: r.Pinned, Reasons: reasonPinned}, nil
	case rolledBack:
		reasons = reasonRollback
		from := catalogue.VersionRef{Model: r.Pinned.Model, Version: s.View.Rollouts.Progress[r.Pinned.Model].From}
		if next, ok := permittedSuccessor(s, r, from); ok {
			return VersionChoice{VersionRef: next, MovedFromPin: true, Reasons: reasons}, nil
		}
	case withdrawn:
		reasons = reasonSuccessor
		if next, ok := permittedSuccessor(s, r, r.Pinned); ok {
			return VersionChoice{VersionRef: next, MovedFromPin: true, Reasons: reasons}, nil
		}
	}
	choice, p := chooseWithoutPin()
	if p != nil {
		return VersionChoice{}, p
	}
	choice.MovedFromPin, choice.Explore, choice.Reasons = true, false, reasons
	return choice, nil
}

// permittedSuccessor follows the chain of named successors, starting at ref, to the first permitted version; if the
// chain has none, it calls versionBeforeRollout. The chain may be a cycle of withdrawn versions, so the number of
// steps is limited to the number of versions.
func permittedSuccessor(s *Snapshot, r *Request, ref catalogue.VersionRef) (catalogue.VersionRef, bool) {
	m := s.View.Catalogue.FindModel(ref.Model)
	if m == nil {
		return ref, false
	}
	for range m.Versions {
		if checkVersionPermission(s.View, r.Workspace, ref) == permitted {
			return ref, true
		}
		v := s.View.Catalogue.FindVersion(ref)
		if v == nil || v.Successor == "" {
			break
		}
		ref.Version = v.Successor
	}
	return versionBeforeRollout(s, r, m)
}
