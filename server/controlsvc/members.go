package controlsvc

import (
	"context"
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/controlstate"
)

// maxRetiredBoots limits the number of replaced boots kept in memory. At 110 restarts a day, a boot is kept for more
// than a month.
const maxRetiredBoots = 4096

// memberTable tracks the running boots of entry instances by their heartbeats. It is reset when a replica becomes leader.
type memberTable struct {
	mu sync.Mutex // guards the fields below
	// byInstance has the running boot of each instance.
	byInstance map[string]*member
	// missingSince holds, for each boot that has open calls but sends no heartbeats, the time of its last heartbeat. If this
	// leader has never received one, it holds the time at which the leader noticed that.
	missingSince map[controlstate.Holder]time.Time
	// retired holds the replaced boots, so that a late heartbeat doesn't add such a boot again. retiredOrder lists them,
	// oldest first.
	retired      map[controlstate.Holder]bool
	retiredOrder []controlstate.Holder
	// removedSequences holds the last sequence number of the boots that were removed without being replaced, so that a repeated
	// heartbeat of a boot that is heard again doesn't count twice. removedOrder lists them, oldest first.
	removedSequences map[controlstate.Holder]uint64
	removedOrder     []controlstate.Holder
}

type member struct {
	boot     string
	lastSeen time.Time
	sequence uint64
}

// heartbeatEffect describes what a heartbeat changed in the table.
type heartbeatEffect struct {
	// newCounts says that the heartbeat isn't a repetition, so its counts are new. joined says that it is the first
	// heartbeat of the boot. left says that the instance is stopping, holds no slots any more and was removed.
	newCounts, joined, left bool
	// retired says that another boot has replaced the sender. replacedBoot is the boot that the sender replaces, if any.
	retired      bool
	replacedBoot string
}

func newMemberTable() *memberTable {
	t := &memberTable{}
	t.reset()
	return t
}

func (t *memberTable) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byInstance = map[string]*member{}
	t.missingSince = map[controlstate.Holder]time.Time{}
	t.retired = map[controlstate.Holder]bool{}
	t.retiredOrder = nil
	t.removedSequences = map[controlstate.Holder]uint64{}
	t.removedOrder = nil
}

// remove removes a boot that may be heard again.
func (t *memberTable) remove(h controlstate.Holder, m *member) {
	delete(t.byInstance, h.Instance)
	if _, known := t.removedSequences[h]; !known {
		t.removedOrder = append(t.removedOrder, h)
	}
	t.removedSequences[h] = m.sequence
	if len(t.removedOrder) > maxRetiredBoots {
		delete(t.removedSequences, t.removedOrder[0])
		t.removedOrder = t.removedOrder[1:]
	}
}

func (t *memberTable) recordHeartbeat(now time.Time, in *control.HeartbeatRequest) heartbeatEffect {
	t.mu.Lock()
	defer t.mu.Unlock()
	holder := controlstate.Holder{Instance: in.Instance, Boot: in.Boot}
	if t.retired[holder] {
		return heartbeatEffect{retired: true}
	}
	var effect heartbeatEffect
	m := t.byInstance[in.Instance]
	if m != nil && m.boot != in.Boot {
		effect.replacedBoot = m.boot
		t.retire(controlstate.Holder{Instance: in.Instance, Boot: m.boot})
		m = nil
	}
	if m == nil {
		sequence, wasRemoved := t.removedSequences[holder]
		m = &member{boot: in.Boot, sequence: sequence}
		t.byInstance[in.Instance] = m
		effect.joined, effect.newCounts = true, !wasRemoved
	}
	effect.newCounts = effect.newCounts || in.Sequence > m.sequence
	m.lastSeen, m.sequence = now, max(m.sequence, in.Sequence)
	// In a planned stop, a heartbeat with Leaving and without slots means that the last request has ended. It may still list
	// grants.
	if in.Leaving && len(in.Slots) == 0 {
		effect.left = true
		t.remove(holder, m)
		t.missingSince[holder] = now
	}
	return effect
}

func (t *memberTable) retire(h controlstate.Holder) {
	t.retired[h] = true
	t.retiredOrder = append(t.retiredOrder, h)
	if len(t.retiredOrder) > maxRetiredBoots {
		delete(t.retired, t.retiredOrder[0])
		t.retiredOrder = t.retiredOrder[1:]
	}
}

func (t *memberTable) isRetired(h controlstate.Holder) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retired[h]
}

// removeSilent removes and returns the members without a heartbeat for HeartbeatTimeout.
func (t *memberTable) removeSilent(now time.Time) []controlstate.Holder {
	t.mu.Lock()
	defer t.mu.Unlock()
	var removed []controlstate.Holder
	for instance, m := range t.byInstance {
		if now.Sub(m.lastSeen) >= HeartbeatTimeout {
			h := controlstate.Holder{Instance: instance, Boot: m.boot}
			removed = append(removed, h)
			t.remove(h, m)
			t.missingSince[h] = m.lastSeen
		}
	}
	return removed
}

// hasFailed reports whether a boot that has open calls was replaced or has sent no heartbeat for HeartbeatTimeout. If this
// leader has never received a heartbeat of the boot, the time starts with the first call of hasFailed. The boot then has
// the whole time to find the new leader or to send its first heartbeat.
func (t *memberTable) hasFailed(now time.Time, h controlstate.Holder) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.retired[h] {
		return true
	}
	if m := t.byInstance[h.Instance]; m != nil && m.boot == h.Boot {
		delete(t.missingSince, h)
		return false
	}
	since, ok := t.missingSince[h]
	if !ok {
		t.missingSince[h] = now
		return false
	}
	return now.Sub(since) >= HeartbeatTimeout
}

// pruneMissing removes holders without open calls from missingSince.
func (t *memberTable) pruneMissing(openCalls map[controlstate.Holder]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for h := range t.missingSince {
		if openCalls[h] == 0 {
			delete(t.missingSince, h)
		}
	}
}

// runSweeps repeats sweepOnce until ctx ends.
func (s *Service) runSweeps(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		s.sweepOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sweepOnce ends the grants of entry instances without heartbeats, marks the open calls of failed or replaced boots as
// outcome unknown and promotes learners that have caught up.
func (s *Service) sweepOnce(ctx context.Context) {
	now := s.Now()
	for _, h := range s.members.removeSilent(now) {
		s.Allocator.InstanceLeft(now, h.Instance, h.Boot, false)
		s.Logger.Warn("no heartbeat from entry instance within the limit", "instance", h.Instance, "boot", h.Boot, "limit", HeartbeatTimeout)
		s.Recorder.Record(event.Event{Kind: "member_silent", Detail: map[string]string{"member": h.Instance, "boot": h.Boot}})
	}
	openCalls := s.State.OpenCallsByHolder()
	s.members.pruneMissing(openCalls)
	for h, calls := range openCalls {
		if !s.members.hasFailed(now, h) {
			continue
		}
		failed := &controlstate.InstanceGone{Instance: h.Instance, Boot: h.Boot}
		if _, err := s.Proposer.ProposeCommand(ctx, &controlstate.Command{InstanceGone: failed}); err != nil {
			s.Logger.Warn("can't mark the open calls of a failed entry instance as outcome unknown yet", "instance", h.Instance, "boot", h.Boot, "error", err)
			continue
		}
		s.Logger.Warn("marked the open calls of a failed entry instance as outcome unknown", "instance", h.Instance, "boot", h.Boot, "calls", calls)
		s.Recorder.Record(event.Event{Kind: "calls_outcome_unknown", Detail: map[string]string{"member": h.Instance, "boot": h.Boot}})
	}
	s.promoteLearners(ctx)
}

// promoteLearners makes each learner that has synced its log up to the commit index a voter.
func (s *Service) promoteLearners(ctx context.Context) {
	status := s.Log.Status()
	for _, m := range status.Members {
		if m.Voter || m.MatchIndex < status.CommitIndex || m.MatchIndex == 0 {
			continue
		}
		if err := s.Log.Promote(ctx, m.ID); err != nil {
			// The log refuses a replica that has rejoined with an empty data folder until its old member is removed.
			s.Logger.Debug("learner not promoted yet", "replica", m.ID, "error", err)
			continue
		}
		s.Logger.Info("learner promoted", "replica", m.ID, "match_index", m.MatchIndex)
		s.Recorder.Record(event.Event{Kind: "replica_promoted", Detail: map[string]string{"replica": m.ID}})
	}
}
