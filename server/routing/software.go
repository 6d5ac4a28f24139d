package routing

import (
	"slices"

	"clementinetray/api/control"
)

// SoftwareRules decides on which software versions of a service a request may run.
type SoftwareRules struct {
	rollout control.ServiceRollout
	// inNewShare is set if the request belongs to the share of the roll-out's new version.
	inNewShare bool
}

// SoftwareRulesFor returns the rules for a request to the service. shareKey identifies the session, or the request if it
// has no session; its hash decides whether the request belongs to the new version's share. sessionVersion is the software
// version on which the session runs, empty if unknown. While a roll-out is running, a session on the new version stays
// there. A session on the old version stays until ServiceRollout.Settled is set, and then moves if it belongs to the new
// version's share.
func SoftwareRulesFor(view *control.View, service, shareKey, sessionVersion string) SoftwareRules {
	s := SoftwareRules{}
	if view.Rollouts == nil {
		return s
	}
	rollout, ok := view.Rollouts.Services[service]
	if !ok {
		return s
	}
	s.rollout = rollout
	if rollout.State != control.RolloutRunning {
		return s
	}
	switch {
	case sessionVersion == rollout.To:
		s.inNewShare = true
	case sessionVersion == "" || rollout.Settled:
		s.inNewShare = InRolloutShare(shareKey, rollout.To, rollout.Percent)
	}
	return s
}

// InRolloutShare reports whether the session or request that shareKey identifies is among the given percentage (0 to 100)
// that runs on the new version.
func InRolloutShare(shareKey, version string, percent int) bool {
	return int(StableFraction(shareKey, version)*100) < percent
}

// Prefers reports whether the request should run on the version. If no backend server of a preferred version takes
// work, any version that Allows accepts may be used.
func (s SoftwareRules) Prefers(version string) bool {
	switch s.rollout.State {
	case control.RolloutRunning:
		return (version == s.rollout.To) == s.inNewShare && s.Allows(version)
	case control.RolloutDone:
		return version == s.rollout.To
	}
	return s.Allows(version)
}

// Allows reports whether the request may run on the version. It may not run on a version that was rolled back, nor on
// the new version of a running roll-out unless it belongs to that version's share.
func (s SoftwareRules) Allows(version string) bool {
	if slices.Contains(s.rollout.RolledBack, version) {
		return false
	}
	return s.rollout.State != control.RolloutRunning || version != s.rollout.To || s.inNewShare
}
