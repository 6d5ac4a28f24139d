package controlstate

import (
	"fmt"
	"maps"
	"slices"

	"clementinetray/api/control"
)

// keptVersions bounds the versions of earlier roll-outs that are remembered of each service, in each list.
const keptVersions = 16

// planServiceRollout starts a roll-out. The same target again continues the one that runs, as orders are sent again until
// they are answered; one to a version that a roll-out has ended with is refused only by its state in the read-back.
func (s *State) planServiceRollout(c *StartServiceRollout) plan {
	p := plan{
		base: c.ChangeBase, kind: ChangeServiceRollout, subject: c.Service,
		content: contentOf("service rollout", c.Service, c.To, c.Seconds),
		diff:    []string{fmt.Sprintf("service %s: roll-out to %s within %d s", c.Service, c.To, c.Seconds)},
	}
	if c.Service == "" || c.To == "" || c.Seconds <= 0 {
		p.err = ErrRefused.New("a roll-out names a service, a version and a positive number of seconds")
		return p
	}
	current, ok := s.rollouts.Services[c.Service]
	p.unchanged = ok && current.To == c.To
	p.apply = func() {
		s.putServiceRollout(control.ServiceRollout{
			Service: c.Service, Order: current.Order + 1, To: c.To, Seconds: c.Seconds, State: control.RolloutRunning,
			RolledBack: without(current.RolledBack, c.To), Done: current.Done,
		})
	}
	return p
}

// advanceServiceRollout records progress. Percent and time never go back, and an end is final.
func (s *State) advanceServiceRollout(next control.ServiceRollout) {
	current, ok := s.rollouts.Services[next.Service]
	if !ok || current.Order != next.Order || current.State != control.RolloutRunning || next.ElapsedMillis < current.ElapsedMillis {
		return
	}
	switch next.State {
	case control.RolloutRolledBack:
		next.Percent = 0
		next.RolledBack = keepLast(append(without(current.RolledBack, next.To), next.To), keptVersions)
	case control.RolloutDone:
		next.Percent = 100
		next.Done = keepLast(append(without(current.Done, next.To), next.To), keptVersions)
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

func without(versions []string, version string) []string {
	return slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return v == version })
}
