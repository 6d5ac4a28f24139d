package routing

import (
	"slices"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
)

// permissionResult says whether a workspace may run new work on a version and, if not, why.
type permissionResult uint8

const (
	permitted permissionResult = iota
	unknownVersion
	notAllowed
	withdrawn
	rolledBack
)

// CheckPermission returns nil if the workspace may run new work on the version, and otherwise the problem to answer
// with.
func CheckPermission(s *Snapshot, w *catalogue.Workspace, ref catalogue.VersionRef) *problem.Problem {
	if p := checkSnapshot(s); p != nil {
		return p
	}
	return permissionProblem(checkVersionPermission(s.View, w, ref), ref)
}

// CheckServicePermission returns nil if the workspace may call the plain service, and otherwise the problem to answer
// with.
func CheckServicePermission(s *Snapshot, w *catalogue.Workspace, service string) *problem.Problem {
	if p := checkSnapshot(s); p != nil {
		return p
	}
	if w == nil || !slices.Contains(w.Services, service) {
		return problem.New(problem.NotAllowed, "the workspace may not use service "+service).MarkNotRun()
	}
	if s.View.Catalogue.FindService(service) == nil {
		return problem.New(problem.NotFound, "service "+service+" is not in the catalogue").MarkNotRun()
	}
	return nil
}

func checkSnapshot(s *Snapshot) *problem.Problem {
	if s.View == nil || s.View.Catalogue == nil {
		return problem.New(problem.ViewStale, "no catalogue was received yet").MarkNotRun()
	}
	return nil
}

func checkDeadline(s *Snapshot, r *Request) *problem.Problem {
	if !r.Deadline.IsZero() && !s.Now.Before(r.Deadline) {
		return problem.New(problem.DeadlineExceeded, "the deadline passed before the request was dispatched").MarkNotRun()
	}
	return nil
}

// checkVersionPermission returns permitted if the workspace may run new work on the version, and otherwise the reason why
// it may not.
func checkVersionPermission(view *control.View, w *catalogue.Workspace, ref catalogue.VersionRef) permissionResult {
	v := view.Catalogue.FindVersion(ref)
	switch {
	case v == nil:
		return unknownVersion
	case w == nil || !workspaceAllows(w, ref):
		return notAllowed
	case v.Withdrawn:
		return withdrawn
	case isRolledBack(view, ref):
		return rolledBack
	}
	return permitted
}

// workspaceAllows does the same as Workspace.Allows without allocating the string "model@version".
func workspaceAllows(w *catalogue.Workspace, ref catalogue.VersionRef) bool {
	for _, m := range w.Models {
		if m == ref.Model {
			return true
		}
		if n := len(ref.Model); len(m) == n+1+len(ref.Version) && m[:n] == ref.Model && m[n] == '@' && m[n+1:] == ref.Version {
			return true
		}
	}
	return false
}

// permissionProblem returns the problem to answer with, or nil if the result is permitted.
func permissionProblem(result permissionResult, ref catalogue.VersionRef) *problem.Problem {
	switch result {
	case unknownVersion:
		return problem.New(problem.UnknownModel, ref.String()+" is not in the catalogue").MarkNotRun()
	case notAllowed:
		return problem.New(problem.NotAllowed, "the workspace may not use "+ref.String()).MarkNotRun()
	case withdrawn:
		return problem.New(problem.VersionWithdrawn, ref.String()+" is withdrawn").MarkNotRun()
	case rolledBack:
		return problem.New(problem.VersionWithdrawn, ref.String()+" was rolled back").MarkNotRun()
	}
	return nil
}
