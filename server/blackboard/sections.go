package blackboard

import (
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/clock"
)

// Fleet is the table of backend servers as this process knows it.
type Fleet struct {
	Epoch string
	// EpochSince is when the first delta of the epoch was received.
	EpochSince time.Time
	Version    uint64
	// Servers by id.
	Servers map[string]*control.BackendServer
	// ByVersion and ByService index Servers; the slices are sorted by id.
	ByVersion map[catalogue.VersionRef][]*control.BackendServer
	ByService map[string][]*control.BackendServer
	// ReceivedAt is when the table was received, for the age of load reports.
	ReceivedAt time.Time
	Members    []control.Member
}

// View is the control group's view with its confirmed age.
type View struct {
	*control.View
	// ConfirmedAt is the latest time, on this process's monotonic clock, at which the view is known to have been current.
	ConfirmedAt time.Time
	// Asleep is clock.Asleep at that time.
	Asleep time.Duration
	// Leader is the peer address of the control leader, empty when unknown.
	Leader string
}

// Age returns how old the view may be at now, which is the present on the monotonic clock. Time in which the machine was
// suspended counts.
func (v View) Age(now time.Time) time.Duration {
	return now.Sub(v.ConfirmedAt) + max(clock.Asleep()-v.Asleep, 0)
}

// Board is the blackboard of one process.
type Board struct {
	// View is written by the sync controller.
	View *Section[View]
	// Fleet is written by the sync controller.
	Fleet *Section[Fleet]
	// Ratings is written by the ratings controller: mean quality and weight by class and version.
	Ratings *Section[Ratings]
	// FleetRatings is written by the sync controller: the rating table of the whole fleet, nil until one came.
	FleetRatings *Section[*control.RatingTable]
}

// Quality is the estimate of the ratings of one version in one class.
type Quality struct {
	// Alpha and Beta are the parameters of the Beta posterior.
	Alpha, Beta float64
}

// ClassVersion names a version within a class.
type ClassVersion struct {
	Class string
	catalogue.VersionRef
}

// Ratings holds the quality estimates.
type Ratings struct {
	ByClass map[ClassVersion]Quality
	// Frozen says that the rating service fails, so that estimates are not updated and nothing is explored.
	Frozen bool
}

// New returns an empty blackboard.
func New() *Board {
	return &Board{
		View:    NewSection(View{}),
		Fleet:   NewSection(Fleet{}),
		Ratings: NewSection(Ratings{}),

		FleetRatings: NewSection[*control.RatingTable](nil),
	}
}
