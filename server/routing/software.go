package routing

import (
	"slices"

	"clementinetray/api/control"
)

// Software says which software versions of a service a request may run on.
type Software struct {
	rollout control.ServiceRollout
	// fresh says that the request belongs to the share of the new version.
	fresh bool
}

// SoftwareOf decides for the versions of a service. bound names the version that the request's session runs on, empty when
// it has none: a session stays on the new version of a roll-out that runs, and moves to it once the roll-out is settled.
func SoftwareOf(view *control.View, service, shareKey, bound string) Software {
	s := Software{}
	if view.Rollouts == nil {
		return s
	}
	r, ok := view.Rollouts.Services[service]
	if !ok {
		return s
	}
	s.rollout = r
	if r.State != control.RolloutRunning {
		return s
	}
	switch {
	case bound == r.To:
		s.fresh = true
	case bound == "" || r.Settled:
		s.fresh = InShare(shareKey, r.To, r.Percent)
	}
	return s
}

// InShare reports whether a session or request belongs to the given percentage that runs on the version.
func InShare(shareKey, version string, percent int) bool {
	return int(Share(shareKey, version)*100) < percent
}

// Prefers reports whether a backend server of the version is what the request should run on. Allows is asked where no such
// backend server takes work.
func (s Software) Prefers(version string) bool {
	switch s.rollout.State {
	case control.RolloutRunning:
		return (version == s.rollout.To) == s.fresh && s.Allows(version)
	case control.RolloutDone:
		return version == s.rollout.To
	}
	return s.Allows(version)
}

// Allows reports whether the request may run on the version at all: not on one that was rolled back, and not on the new
// version of a roll-out whose share does not hold it.
func (s Software) Allows(version string) bool {
	if slices.Contains(s.rollout.RolledBack, version) {
		return false
	}
	return s.rollout.State != control.RolloutRunning || version != s.rollout.To || s.fresh
}
