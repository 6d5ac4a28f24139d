package lifecycle

import (
	"fmt"
	"slices"
	"time"

	"clementinetray/api/control"
	"clementinetray/server/fleet"
)

// updateServer returns the state of the server that the row describes. It creates the state of a new server, and resets
// it when the server announces a new boot number.
func (c *Controller) updateServer(now time.Time, id string, row *control.BackendServer) *server {
	s := c.servers[id]
	if s == nil {
		s = &server{id: id, current: decision{phase: phaseAnnounced}}
		s.recordedBoot, s.recordedPhase, _, _ = c.state.Phase(id)
		c.servers[id] = s
	}
	s.zone = row.AvailabilityZone
	switch {
	case s.boot != row.Boot:
		s.resetForBoot(now, row)
	case s.current.phase == control.PhaseGone:
		s.current.phase = phaseAnnounced
	}
	return s
}

// resetForBoot resets the state of the server for the boot number of row. It keeps the recorded phase and the times of
// recent boots, and keeps a server that restarts too often out of service for some time.
func (s *server) resetForBoot(now time.Time, row *control.BackendServer) {
	*s = server{
		id: s.id, zone: s.zone, boot: row.Boot, recordedPhase: s.recordedPhase, recordedBoot: s.recordedBoot,
		bootTimes: s.bootTimes, flapHoldUntil: s.flapHoldUntil, current: decision{phase: phaseAnnounced},
	}
	if s.recordedBoot == row.Boot {
		return
	}
	s.bootTimes = append(s.bootTimes, now)
	s.bootTimes = slices.DeleteFunc(s.bootTimes, func(at time.Time) bool { return now.Sub(at) >= flapWindow })
	if extra := len(s.bootTimes) - flapBoots; extra >= 0 {
		s.flapHoldUntil = now.Add(min(flapHold<<min(extra, 10), maxFlapHold))
	}
}

// decidePhase returns the phase that the server should be in. reported is the time at which its last announcement
// arrived.
func (s *server) decidePhase(now, reported time.Time, row *control.BackendServer, view *control.View) decision {
	if reason := outOfServiceReason(row, view); reason != "" {
		return s.decideOutOfService(now, reported, row, reason)
	}
	s.outSince = time.Time{}
	if now.Before(s.flapHoldUntil) {
		return decision{phase: control.PhaseSuspect, reason: fmt.Sprintf("flapping: %d boots within 10 min", len(s.bootTimes))}
	}
	if d, ok := s.decideSuspicion(now, reported, row); ok {
		return d
	}
	switch s.current.phase {
	case phaseAnnounced:
		return s.decideInitial(row)
	case control.PhaseLeaving, control.PhaseEmpty:
		return decision{phase: control.PhaseRamping, limit: fleet.ColdLimit(row.Announcement), reason: "returned to service"}
	case control.PhaseSuspect:
		return decision{phase: control.PhaseCold, limit: fleet.ColdLimit(row.Announcement), reason: "suspicion ended"}
	case control.PhaseCold, control.PhaseRamping:
		return s.decideRamp(now, row)
	}
	return s.current
}

// outOfServiceReason returns why the server must not get new work, or an empty string if it may.
func outOfServiceReason(row *control.BackendServer, view *control.View) string {
	if view != nil && view.Orders != nil {
		if o, ok := view.Orders.ServersOut[row.ID]; ok {
			return "backend server ordered out by " + o.By
		}
		if o, ok := view.Orders.ZonesOut[row.AvailabilityZone]; ok {
			return "availability zone ordered out by " + o.By
		}
	}
	if row.Leaving {
		return "backend server announced that it leaves"
	}
	return ""
}

// decideOutOfService returns the phase of a server that must not get new work. It is PhaseLeaving at first, and PhaseEmpty
// once the server has announced, at least orderPropagationTime later, that it has no work: no entry instance sends
// requests to the server then.
func (s *server) decideOutOfService(now, reported time.Time, row *control.BackendServer, reason string) decision {
	if s.outSince.IsZero() {
		s.outSince = now
	}
	idle := row.Running == 0 && row.Queued == 0
	if idle && !reported.Before(s.outSince.Add(orderPropagationTime)) {
		return decision{phase: control.PhaseEmpty, reason: reason}
	}
	return decision{phase: control.PhaseLeaving, reason: reason}
}

// decideInitial returns the first phase of a server that this leader sees for the first time, or that announces itself
// again after it was gone.
func (s *server) decideInitial(row *control.BackendServer) decision {
	cold := decision{phase: control.PhaseCold, limit: fleet.ColdLimit(row.Announcement)}
	switch {
	case s.recordedBoot != row.Boot:
		cold.reason = "boot number not recorded"
		return cold
	case s.recordedPhase == control.PhaseInService:
		return decision{phase: control.PhaseInService, reason: "recorded as in service"}
	case s.recordedPhase == control.PhaseLeaving || s.recordedPhase == control.PhaseEmpty:
		return decision{phase: control.PhaseRamping, limit: cold.limit, reason: "returned to service"}
	}
	cold.reason = "ramp restarted: recorded as " + string(s.recordedPhase)
	return cold
}

// decideRamp returns the next decision on a cold or ramping server. It doubles the limit after rampCompletions requests
// and rampTime. Once the limit reaches the capacity, the server is in service.
func (s *server) decideRamp(now time.Time, row *control.BackendServer) decision {
	d := s.current
	if d.limit >= row.Capacity {
		return decision{phase: control.PhaseInService, reason: "bears its capacity from the start"}
	}
	if s.completions < rampCompletions || now.Sub(s.limitSince) < rampTime {
		return d
	}
	if limit := 2 * d.limit; limit < row.Capacity {
		return decision{phase: control.PhaseRamping, limit: limit, reason: "completed 8 requests at the last limit"}
	}
	return decision{phase: control.PhaseInService, reason: "ramp reached the capacity"}
}

// setCurrent replaces the current decision by next, and resets the state that was valid only for the previous phase or
// limit.
func (s *server) setCurrent(now time.Time, from, next decision) {
	s.current = next
	if from.phase != next.phase || from.limit != next.limit {
		s.limitSince, s.completions = now, 0
	}
	if next.phase == control.PhaseInService {
		s.demoted = false
	}
	if next.phase == control.PhaseLeaving {
		s.suspicion = suspicion{}
	}
}

// mayApplyBeforeRecord reports whether the decision may be applied before its record is durable. A decision that gives
// the server more work must wait for the record. Otherwise the next leader might not have the record, or a replica that
// is no longer the leader could still apply the decision. A decision that gives the server less work is applied at once.
func (s *server) mayApplyBeforeRecord(want decision) bool {
	if want.phase == s.current.phase {
		return true
	}
	switch want.phase {
	case control.PhaseRamping, control.PhaseInService, control.PhaseEmpty:
		return s.recordedPhase == want.phase && s.recordedBoot == s.boot
	}
	return true
}
