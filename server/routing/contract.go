// Package routing decides where a request runs. All functions are pure: they read a snapshot and return a decision with
// reasons that the timeline can print.
package routing

import (
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/blackboard"
)

// Snapshot is what a decision depends on.
type Snapshot struct {
	View    *control.View
	Fleet   *blackboard.Fleet
	Ratings *blackboard.Ratings
	Now     time.Time
	// AvailabilityZone and Region are those of this entry instance.
	AvailabilityZone string
	Region           string
	// Sent returns how many requests this entry instance has running on a backend server.
	Sent func(server string) int
	// SuspectUntil returns until when this entry instance avoids a backend server after connection errors; zero: never.
	SuspectUntil func(server string) time.Time
}

// Request is what is known of a request before it is dispatched.
type Request struct {
	ID        string
	Workspace *catalogue.Workspace
	Session   string
	// Model names a model, optionally as "model@version". Class names a class instead.
	Model string
	Class string
	// Service names a plain service instead of a model.
	Service string
	// Pinned is the version that the session is pinned to; zero when it is not pinned.
	Pinned catalogue.VersionRef
	// PrefixHashes are the hashes of the prompt's prefixes, longest first.
	PrefixHashes []uint64
	// Exclude holds backend servers that already failed for this request.
	Exclude map[string]bool
	// Failed is the new version of a roll-out at which an attempt of this request failed, so that the request stays on the old
	// one; zero: none.
	Failed catalogue.VersionRef
	// Above excludes versions that cost no more than this one, for the next step of a cascade; zero: none.
	Above catalogue.VersionRef
	// Deadline is when the caller stops waiting; zero: none.
	Deadline time.Time
}

// VersionChoice is a decision for a version.
type VersionChoice struct {
	catalogue.VersionRef
	// Explore says that the version was chosen to learn its quality.
	Explore bool
	// Moved says that a pinned session had to leave a withdrawn version.
	Moved   bool
	Reasons []string
}

// ServerChoice is a decision for a backend server.
type ServerChoice struct {
	Server *control.BackendServer
	// NeedsSlot says that the backend server is cold or ramping, so that a slot must be held.
	NeedsSlot bool
	Reasons   []string
}
