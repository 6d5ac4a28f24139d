package syncer

import (
	"context"
	"log/slog"
	"time"

	"clementinetray/api/control"
	"clementinetray/server/fleet"
)

const (
	// HeartbeatInterval is the pause between two heartbeats.
	HeartbeatInterval = time.Second
	// rolloutHeartbeatInterval is the pause while a roll-out of a service runs. The leader needs the counts soon, because
	// some versions are bad only with all requests, which they get for little more than a second of a short roll-out.
	rolloutHeartbeatInterval = 500 * time.Millisecond
)

// Leader sends heartbeats to the control leader. controlclient.Client implements it.
type Leader interface {
	Heartbeat(ctx context.Context, in *control.HeartbeatRequest) (*control.HeartbeatReply, error)
}

// Limits is this entry instance's part of the rate limits. limits.Holder implements it.
type Limits interface {
	// Demand returns the amounts that this instance needs of the limits in use.
	Demand(now time.Time) []control.Grant
	// Held returns the unexpired grants of this instance and what it uses beyond them.
	Held(now time.Time) []control.Grant
	// Apply stores the grants in the reply to the heartbeat that was sent at sentAt.
	Apply(sentAt time.Time, reply *control.HeartbeatReply)
}

// Shares reports the use of workspaces and receives their standings. shares.Instance implements it.
type Shares interface {
	// Report returns the use of the workspaces, and whether it is measured.
	Report(now time.Time) (use []control.WorkspaceUse, enabled bool)
	ReportEnded(now time.Time) *control.EndedCost
	// ReportWaiting returns the cost of the requests that wait now.
	ReportWaiting() float64
	// ReportRequestCost returns the mean cost of the recent requests, weighted by their cost.
	ReportRequestCost(now time.Time) float64
	// Apply stores the standings in the reply to the heartbeat that was sent at sentAt.
	Apply(sentAt time.Time, reply *control.HeartbeatReply)
}

// Reporter provides what an entry instance reports about its requests.
type Reporter interface {
	// TakeOutcomes and TakeSuspects return the counts and reports since the previous call and reset them.
	TakeOutcomes() []control.Outcome
	TakeSuspects() []control.SuspectReport
	// TakeBrittle returns what backend servers said of being brittle that the leader should learn.
	TakeBrittle() []control.BrittleReport
	// Slots returns the slots that this instance holds now.
	Slots() []control.Slot
	// RolloutTimes returns the elapsed times of the running roll-outs of services.
	RolloutTimes() []control.RolloutTime
	// RolloutSamples returns the totals of the attempts during the running roll-outs of services.
	RolloutSamples() []control.RolloutSample
}

// Heartbeat sends the reports of an entry instance to the control leader. It is not safe for concurrent use.
type Heartbeat struct {
	leader   Leader
	limits   Limits
	reporter Reporter
	// shares is nil if the use of workspaces is not reported.
	shares Shares
	member control.Member
	logger *slog.Logger

	sequence uint64
	// pending holds counts that no reply has confirmed. They are sent again with the same sequence number, so that the leader
	// can drop duplicates.
	pending *control.HeartbeatRequest
	// brittle holds reports that no reply has confirmed, with their age at brittleAt.
	brittle   []control.BrittleReport
	brittleAt time.Time
}

// NewHeartbeat returns a heartbeat for this member.
func NewHeartbeat(leader Leader, limits Limits, reporter Reporter, member control.Member, logger *slog.Logger) *Heartbeat {
	return &Heartbeat{leader: leader, limits: limits, reporter: reporter, member: member, logger: logger}
}

// SetShares makes the heartbeats report the use of workspaces. It must be called before the first heartbeat.
func (h *Heartbeat) SetShares(s Shares) { h.shares = s }

// Run sends heartbeats until ctx ends.
func (h *Heartbeat) Run(ctx context.Context) {
	for {
		began := time.Now()
		h.Send(ctx, false)
		interval := HeartbeatInterval
		if len(h.reporter.RolloutTimes()) > 0 {
			interval = rolloutHeartbeatInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval - time.Since(began)):
		}
	}
}

// Send sends one heartbeat. leaving is true if this entry instance is about to stop in an orderly way.
func (h *Heartbeat) Send(ctx context.Context, leaving bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if h.pending == nil {
		h.sequence++
		h.pending = &control.HeartbeatRequest{
			Sequence: h.sequence, Member: h.member, Outcomes: h.reporter.TakeOutcomes(), Suspects: h.reporter.TakeSuspects(),
		}
	}
	sentAt := time.Now()
	request := *h.pending
	request.Brittle = h.takeBrittle(sentAt)
	request.Demand, request.Held = h.limits.Demand(sentAt), h.limits.Held(sentAt)
	request.Slots, request.RolloutTimes, request.Leaving = h.reporter.Slots(), h.reporter.RolloutTimes(), leaving
	request.RolloutSamples = h.reporter.RolloutSamples()
	if h.shares != nil {
		request.Use, request.ReportsUse = h.shares.Report(sentAt)
		request.Ended, request.Waiting = h.shares.ReportEnded(sentAt), h.shares.ReportWaiting()
		request.RequestCost = h.shares.ReportRequestCost(sentAt)
	}
	reply, err := h.leader.Heartbeat(ctx, &request)
	if err != nil {
		h.logger.Warn("heartbeat failed", "error", err)
		return
	}
	h.pending, h.brittle = nil, nil
	h.limits.Apply(sentAt, reply)
	if h.shares != nil {
		h.shares.Apply(sentAt, reply)
	}
}

// takeBrittle returns the reports on brittle backend servers that no reply has confirmed, the last one of each boot. Reports that the
// leader would take for expired are left out.
func (h *Heartbeat) takeBrittle(now time.Time) []control.BrittleReport {
	fresh := h.reporter.TakeBrittle()
	replaced := make(map[[2]string]bool, len(fresh))
	for _, r := range fresh {
		replaced[[2]string{r.BackendServer, r.Boot}] = true
	}
	elapsed := now.Sub(h.brittleAt)
	for _, r := range h.brittle {
		if r.Age += elapsed; r.Age < fleet.BrittleTTL && !replaced[[2]string{r.BackendServer, r.Boot}] {
			fresh = append(fresh, r)
		}
	}
	h.brittle, h.brittleAt = fresh, now
	return fresh
}

// Leave reports to the leader that this entry instance has drained and stops. Run must have returned.
func (h *Heartbeat) Leave(ctx context.Context) { h.Send(ctx, true) }
