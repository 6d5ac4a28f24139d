package blackboard

import (
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/clock"
)

// Fleet is this process's copy of the table of backend servers.
type Fleet struct {
	// Epoch identifies the term of the control leader whose table this is; Version grows with each change in an epoch.
	Epoch string
	// EpochSince is when the first delta of the epoch was received.
	EpochSince time.Time
	Version    uint64
	// Servers holds the backend servers by id.
	Servers map[string]*control.BackendServer
	// ByVersion and ByService index Servers; the slices are sorted by id.
	ByVersion map[catalogue.VersionRef][]*control.BackendServer
	ByService map[string][]*control.BackendServer
	// ReceivedAt is when the table was received. BackendServer.LoadAge is the age of a load report at this time.
	ReceivedAt time.Time
	// Members are the entry instances.
	Members []control.Member
}

// View is the view of the control group, with the time at which the view was last known to be current.
type View struct {
	*control.View
	// ConfirmedAt is the latest time at which the view is known to have been current, on the monotonic clock of this
	// process.
	ConfirmedAt time.Time
	// SuspendedTime is the total time that the machine had been suspended at ConfirmedAt.
	SuspendedTime time.Duration
	// LeaderAddress is the peer address of the control leader; empty if unknown.
	LeaderAddress string
}

// Age returns the greatest possible age of the view. now must be the current time with its monotonic reading. The age
// includes time during which the machine was suspended, which the monotonic clock leaves out.
func (v View) Age(now time.Time) time.Duration {
	return now.Sub(v.ConfirmedAt) + max(clock.SuspendedTime()-v.SuspendedTime, 0)
}

// Board is the blackboard of one process.
type Board struct {
	// View is written by the sync controller.
	View *Section[View]
	// Fleet is written by the sync controller.
	Fleet *Section[Fleet]
	// Ratings holds the quality estimates by class and version. It is written by the ratings controller.
	Ratings *Section[Ratings]
	// FleetRatings holds the rating table of the whole fleet, nil until one is received. It is written by the sync
	// controller.
	FleetRatings *Section[*control.RatingTable]
}

// Quality is the quality estimate of one version in one class, computed from its ratings.
type Quality struct {
	// Alpha and Beta are the parameters of the Beta posterior distribution of the quality.
	Alpha, Beta float64
}

// ClassVersion is the key of a quality estimate: a class of requests and a model version.
type ClassVersion struct {
	Class string
	catalogue.VersionRef
}

// Ratings holds the quality estimates of all classes and versions.
type Ratings struct {
	ByClass map[ClassVersion]Quality
	// Frozen says that the rating service fails: estimates are not updated, and no requests are sent for exploration.
	Frozen bool
}

// New returns a blackboard whose sections hold zero values.
func New() *Board {
	return &Board{
		View:    NewSection(View{}),
		Fleet:   NewSection(Fleet{}),
		Ratings: NewSection(Ratings{}),

		FleetRatings: NewSection[*control.RatingTable](nil),
	}
}
