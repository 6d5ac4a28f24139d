// Package routing chooses the model version and the backend server for each request. Its functions have no side
// effects: they read a snapshot and return a decision, with reasons that are shown in the timeline.
package routing

import (
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/blackboard"
)

// Snapshot is the state of the site that a decision reads.
type Snapshot struct {
	View    *control.View
	Fleet   *blackboard.Fleet
	Ratings *blackboard.Ratings
	Now     time.Time
	// AvailabilityZone and Region are those of this entry instance.
	AvailabilityZone string
	Region           string
	// LoadCorrection returns the number of requests to add to the load that a backend server reported: those that this entry
	// instance has started since the report, minus those that have ended since. It may be negative.
	LoadCorrection func(server string) int
	// AvoidUntil returns the time until which this entry instance avoids a backend server after connection errors; the
	// zero time if it doesn't avoid it.
	AvoidUntil func(server string) time.Time
	// RefusedColdTime returns for how long a boot of a backend server is to be treated as cold, because its process has ended and it may
	// have started again; 0 if it is not. coldTime is how long the server is cold after a start. It may be nil.
	RefusedColdTime func(server, boot string, coldTime time.Duration) time.Duration
	// StatementOf returns what a boot of a backend server said of itself in its answers to this entry instance. It is nil if
	// none has said anything.
	StatementOf func(server, boot string) Statement
}

// Statement is what a backend server said of itself. It gets no new work once it is leaving, or until SpareUntil.
type Statement struct {
	Leaving    bool
	SpareUntil time.Time
}

// Request holds the properties of a request that a decision reads.
type Request struct {
	ID        string
	Workspace *catalogue.Workspace
	Session   string
	// Model is the name of a model or "model@version". It is empty if Class is set.
	Model string
	Class string
	// Service is the name of a plain service, for requests that use no model.
	Service string
	// Pinned is the version that the session is pinned to; zero if it is not pinned.
	Pinned catalogue.VersionRef
	// PrefixHashes are the hashes of the prompt's prefixes, longest prefix first.
	PrefixHashes []uint64
	// Exclude holds the ids of backend servers on which an attempt of this request has failed.
	Exclude map[string]bool
	// FailedVersion is the new version of a roll-out if an attempt of this request failed on it; the request then runs on
	// the old version. Zero if there was no such attempt.
	FailedVersion catalogue.VersionRef
	// CascadeFrom is the version that the cascade tried last: its next step takes a version that costs more. Zero outside a
	// cascade and in its first step.
	CascadeFrom catalogue.VersionRef
	// Deadline is the time at which the caller stops waiting; zero if there is none.
	Deadline time.Time
}

// VersionChoice is the version chosen for a request.
type VersionChoice struct {
	catalogue.VersionRef
	// Explore is set if the version was chosen to collect ratings of its quality.
	Explore bool
	// MovedFromPin is set if a pinned session had to leave its version, which is withdrawn, rolled back or no longer
	// permitted.
	MovedFromPin bool
	Reasons      []string
}

// ServerChoice is the backend server chosen for a request.
type ServerChoice struct {
	Server *control.BackendServer
	// NeedsSlot is set if the backend server is cold or ramping, so that the request must acquire a slot first.
	NeedsSlot bool
	Reasons   []string
}
