// Package controlsvc serves entry instances over net/rpc and operators over HTTP from one control replica.
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

// Proposer commits commands and returns their results. It fails on a replica that is not the leader.
type Proposer interface {
	ProposeCommand(ctx context.Context, c *controlstate.Command) (any, error)
}

// LeaderController is work that only the control leader does.
type LeaderController interface {
	// Run works until ctx ends, which it does when leadership is lost. term is the term of this leadership.
	Run(ctx context.Context, term uint64) error
}

// Allocator shares out fleet-wide limits at the control leader (limits.Allocator). It is safe for concurrent use.
type Allocator interface {
	// Reset forgets everything; the allocator then takes inventory from heartbeats as a new leader must.
	Reset(now time.Time)
	Heartbeat(now time.Time, in *control.HeartbeatRequest, src limits.Source) []control.Grant
	Acquire(now time.Time, instance, boot string, slot control.Slot, src limits.Source) (granted bool, retryAfter time.Duration)
	Release(now time.Time, slots []control.Slot)
	// Gone ends the grants of an entry instance; orderly says that it gave everything back.
	Gone(now time.Time, instance, boot string, orderly bool)
}

// FleetTable is the table of backend servers and entry instances (fleet.Table). It is safe for concurrent use.
type FleetTable interface {
	// Reset starts a new epoch. Rows copied from the last leader stay until their announcements expire, so that a leader
	// change does not leave entry instances without backend servers.
	Reset(now time.Time, epoch string)
	Announce(now time.Time, a control.Announcement) error
	// Leave marks one boot of a backend server as leaving for good.
	Leave(now time.Time, l control.Leave)
	Heartbeat(now time.Time, m control.Member, leaving bool)
	// SetPhase sets the phase of a backend server; it does nothing when the boot is no longer the announced one.
	SetPhase(now time.Time, id, boot string, phase control.Phase, limit int, reason string)
	// Delta returns what changed since a version of an epoch, the whole table for another epoch.
	Delta(now time.Time, epoch string, version uint64) control.FleetDelta
	// Load replaces the table by the leader's delta; used on followers.
	Load(now time.Time, d control.FleetDelta)
	Snapshot(now time.Time) *blackboard.Fleet
	// Server returns one row without a copy of the table.
	Server(now time.Time, id string) (control.BackendServer, bool)
}

// RatingTable holds the fleet's quality estimates (ratings.Fleet). It is safe for concurrent use.
type RatingTable interface {
	// Table returns the table, or nil when it is not newer than the version.
	Table(version uint64) *control.RatingTable
	// Load takes the leader's table on a follower.
	Load(t *control.RatingTable)
}

// RolloutTimeSink takes how long entry instances know roll-outs to have run (rollout.ServiceController). It is safe for concurrent
// use.
type RolloutTimeSink interface {
	AddRolloutTimes(now time.Time, times []control.RolloutTime)
}

// OutcomeSink takes what entry instances report in heartbeats; counts were already checked against repetition.
type OutcomeSink interface {
	AddOutcomes(now time.Time, instance string, outcomes []control.Outcome)
	AddSuspects(now time.Time, instance string, reports []control.SuspectReport)
}
