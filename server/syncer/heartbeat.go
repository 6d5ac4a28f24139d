package syncer

import (
	"context"
	"log/slog"
	"time"

	"clementinetray/api/control"
)

// HeartbeatInterval is the pause between two heartbeats.
const HeartbeatInterval = time.Second

// Leader takes heartbeats.
type Leader interface {
	Heartbeat(ctx context.Context, in *control.HeartbeatRequest) (*control.HeartbeatReply, error)
}

// Limits reports demand and takes grants.
type Limits interface {
	Demand(now time.Time) []control.Grant
	Held(now time.Time) []control.Grant
	Apply(sentAt time.Time, reply *control.HeartbeatReply)
}

// Reporter tells what happened at this entry instance.
type Reporter interface {
	// Outcomes and Suspects return what was counted since the last call and forget it.
	Outcomes() []control.Outcome
	Suspects() []control.SuspectReport
	// Slots returns the slots that are held now.
	Slots() []control.Slot
	// RolloutTimes returns how long the running roll-outs of services have run.
	RolloutTimes() []control.RolloutTime
}

// Heartbeat reports to the control leader.
type Heartbeat struct {
	leader   Leader
	limits   Limits
	reporter Reporter
	member   control.Member
	logger   *slog.Logger

	sequence uint64
	// pending holds counts that no reply has confirmed; they are sent again under the same sequence.
	pending *control.HeartbeatRequest
}

// NewHeartbeat returns a heartbeat for this member.
func NewHeartbeat(leader Leader, limits Limits, reporter Reporter, member control.Member, logger *slog.Logger) *Heartbeat {
	return &Heartbeat{leader: leader, limits: limits, reporter: reporter, member: member, logger: logger}
}

// Run sends heartbeats until ctx ends.
func (h *Heartbeat) Run(ctx context.Context) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		h.Once(ctx, false)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Once sends one heartbeat; leaving says that this entry instance stops as planned.
func (h *Heartbeat) Once(ctx context.Context, leaving bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if h.pending == nil {
		h.sequence++
		h.pending = &control.HeartbeatRequest{
			Sequence: h.sequence, Member: h.member, Outcomes: h.reporter.Outcomes(), Suspects: h.reporter.Suspects(),
		}
	}
	sent := time.Now()
	request := *h.pending
	request.Demand, request.Held = h.limits.Demand(sent), h.limits.Held(sent)
	request.Slots, request.RolloutTimes, request.Leaving = h.reporter.Slots(), h.reporter.RolloutTimes(), leaving
	reply, err := h.leader.Heartbeat(ctx, &request)
	if err != nil {
		h.logger.Warn("heartbeat failed", "error", err)
		return
	}
	h.pending = nil
	h.limits.Apply(sent, reply)
}

// Leave tells the leader that this entry instance has drained and stops. Run must have ended.
func (h *Heartbeat) Leave(ctx context.Context) { h.Once(ctx, true) }
