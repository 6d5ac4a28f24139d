package controlstate

import (
	"fmt"
	"maps"
	"slices"

	"clementinetray/api/control"
)

// maxKeptVersions bounds the versions of earlier roll-outs in each of the lists RolledBack and Done of a service.
const maxKeptVersions = 16

// planServiceRollout plans the start of a roll-out. If the service's current roll-out has the same target version, it is
// left unchanged, as orders are resent until they are answered. This also applies when that roll-out has ended: the order
// is accepted, and only the state that is read back shows that no new roll-out started.
func (s *State) planServiceRollout(c *StartServiceRollout) changePlan {
	p := changePlan{
		base: c.ChangeBase, kind: ChangeServiceRollout, subject: c.Service,
		contentHash: hashContent("service rollout", c.Service, c.To, c.Seconds, c.Millis),
		diff:        []string{fmt.Sprintf("service %s: roll-out to %s within %d s", c.Service, c.To, c.Seconds)},
	}
	if c.Service == "" || c.To == "" || c.Seconds <= 0 || c.Millis < 0 || c.Millis > 999 {
		p.err = ErrRefused.New("a roll-out names a service, a version and a positive number of seconds")
		return p
	}
	current, ok := s.rollouts.Services[c.Service]
	p.unchanged = ok && current.To == c.To
	p.apply = func() {
		s.putServiceRollout(control.ServiceRollout{
			Service: c.Service, Order: current.Order + 1, To: c.To, Seconds: c.Seconds, Millis: c.Millis, State: control.RolloutRunning,
			RolledBack: withoutVersion(current.RolledBack, c.To), Done: current.Done,
		})
	}
	return p
}

// advanceServiceRollout records progress. Progress with a smaller elapsed time is ignored, and the end of a roll-out is
// final.
func (s *State) advanceServiceRollout(next control.ServiceRollout) {
	current, ok := s.rollouts.Services[next.Service]
	if !ok || current.Order != next.Order || current.State != control.RolloutRunning || next.ElapsedMillis < current.ElapsedMillis {
		return
	}
	switch next.State {
	case control.RolloutRolledBack:
		next.Percent = 0
		next.RolledBack = keepLast(append(withoutVersion(current.RolledBack, next.To), next.To), maxKeptVersions)
	case control.RolloutDone:
		next.Percent = 100
		next.Done = keepLast(append(withoutVersion(current.Done, next.To), next.To), maxKeptVersions)
	}
	s.revision++
	s.putServiceRollout(next)
}

func (s *State) putServiceRollout(r control.ServiceRollout) {
	services := maps.Clone(s.rollouts.Services)
	if services == nil {
		services = map[string]control.ServiceRollout{}
	}
	services[r.Service] = r
	s.rollouts = &control.Rollouts{ModRevision: s.revision, Progress: s.rollouts.Progress, Services: services}
}

func withoutVersion(versions []string, version string) []string {
	return slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return v == version })
}
