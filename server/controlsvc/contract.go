// Package controlsvc is the server side of a control replica: net/rpc methods for entry instances and an HTTP API for
// operators.
package controlsvc

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/control"
	"clementinetray/server/blackboard"
	"clementinetray/server/controlstate"
	"clementinetray/server/limits"
)

// Error is the class of all errors of this package.
var Error = errs.Class("controlsvc")

// Proposer commits commands and returns their results. It returns replica.ErrNotLeader on a replica that is not the
// leader.
type Proposer interface {
	ProposeCommand(ctx context.Context, c *controlstate.Command) (any, error)
}

// LeaderController is a background task that runs only on the control leader.
type LeaderController interface {
	// Run works until ctx ends, which happens when leadership is lost. term is the term of this leadership. If Run returns
	// an error, it is called again in the same term.
	Run(ctx context.Context, term uint64) error
}

// Allocator distributes fleet-wide limits to entry instances on the control leader. It is safe for concurrent use.
// limits.Allocator implements it.
type Allocator interface {
	// Reset drops all state and starts a recovery period, in which the allocator rebuilds the state from heartbeats, which
	// report what instances hold.
	Reset(now time.Time)
	Heartbeat(now time.Time, in *control.HeartbeatRequest, src limits.Source) []control.Grant
	Acquire(now time.Time, instance, boot string, slot control.Slot, src limits.Source) (granted bool, retryAfter time.Duration)
	Release(now time.Time, slots []control.Slot)
	// InstanceLeft ends the grants of one boot of an entry instance if orderly is set, which says that the instance has returned
	// them. Otherwise the grants count until they expire.
	InstanceLeft(now time.Time, instance, boot string, orderly bool)
}

// FleetTable is the table of backend servers and entry instances. It is safe for concurrent use. fleet.Table implements
// it.
type FleetTable interface {
	// Reset starts a new epoch. Rows copied from the previous leader stay until their announcements expire, so that entry
	// instances have backend servers during a leader change.
	Reset(now time.Time, epoch string)
	Announce(now time.Time, a control.Announcement) error
	// AddRecordedServers adds the recorded backend servers to the table of a new leader and returns how many rows changed.
	AddRecordedServers(now time.Time, recorded []controlstate.RecordedServer) int
	// MarkLeaving marks one boot of a backend server as permanently leaving.
	MarkLeaving(now time.Time, l control.Leave)
	// MarkSaysLeaving marks a boot of a backend server as leaving until its next announcements say otherwise.
	MarkSaysLeaving(now time.Time, id, boot string)
	// MarkBrittle records what a boot of a backend server said of being brittle.
	MarkBrittle(now time.Time, r control.BrittleReport)
	Heartbeat(now time.Time, m control.Member, leaving bool)
	// SetPhase sets the phase of a backend server. It does nothing if the server has since announced another boot.
	SetPhase(now time.Time, id, boot string, phase control.Phase, limit int, reason string)
	// Delta returns the changes since the given version, or the whole table if the epoch isn't the current one.
	Delta(now time.Time, epoch string, version uint64) control.FleetDelta
	// ReadPart returns the next part of the changes that the request asks for, packed.
	ReadPart(now time.Time, in *control.SyncRequest) (control.FleetDelta, error)
	// LoadDelta applies a delta of the leader on a follower.
	LoadDelta(now time.Time, d control.FleetDelta)
	Snapshot(now time.Time) *blackboard.Fleet
	// Server returns the row of one backend server without copying the table.
	Server(now time.Time, id string) (control.BackendServer, bool)
}

// ServerRecorder makes changes of the fleet table durable. fleet.Recorder implements it.
type ServerRecorder interface {
	// AwaitRecorded waits until the given backend servers are recorded as the table has them now, and reports whether it had to
	// wait.
	AwaitRecorded(ctx context.Context, ids []string) (waited bool, err error)
}

// RatingTable holds the quality estimates of the fleet. It is safe for concurrent use. ratings.Store implements it.
type RatingTable interface {
	// TableIfNewer returns the table, or nil if it is not newer than the given version.
	TableIfNewer(version uint64) *control.RatingTable
	// Load copies the leader's table into that of a follower.
	Load(t *control.RatingTable)
}

// ServiceRolloutSink receives what entry instances report on the running roll-outs of services. It is safe for concurrent use.
// rollout.ServiceController implements it.
type ServiceRolloutSink interface {
	// AddRolloutTimes receives for how long the roll-outs have run.
	AddRolloutTimes(now time.Time, times []control.RolloutTime)
	// PutRolloutSamples receives the totals of one boot, which replace those that it reported before.
	PutRolloutSamples(instance, boot string, samples []control.RolloutSample)
}

// ShareAggregator computes the fair shares of workspaces from the heartbeats on the control leader. It is safe for concurrent use.
// shares.Aggregator implements it.
type ShareAggregator interface {
	// Reset drops all reports. The reports of the given members are awaited before standings are sent.
	Reset(now time.Time, members []control.Member)
	// Heartbeat records the report in a heartbeat and adds the standings to its reply.
	Heartbeat(now time.Time, in *control.HeartbeatRequest, out *control.HeartbeatReply)
	// Leave removes one boot of an instance that has stopped as planned.
	Leave(instance, boot string)
	// Shares returns the use and the shares for operators.
	Shares(now time.Time) control.SharesReply
}

// OutcomeSink receives the request outcomes and the reports of suspect backend servers from heartbeats. It receives nothing
// from a heartbeat that was sent again, so that each outcome counts once.
type OutcomeSink interface {
	AddOutcomes(now time.Time, instance string, outcomes []control.Outcome)
	AddSuspects(now time.Time, instance string, reports []control.SuspectReport)
}
