// Package limits enforces limits that apply to all entry instances together. An Allocator at the control leader divides
// each limit into grants, and a Holder at each entry instance admits requests within its grants.
package limits

import (
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/control"
)

// Error is the class of all errors of this package.
var Error = errs.Class("limits")

const (
	// GrantTTL is how long a grant may be used, counted from when the heartbeat that requested it was sent.
	GrantTTL = 15 * time.Second
	// LeasedFraction is the fraction of each limit that is leased by grants. The rest is split evenly into a floor for each
	// entry instance, which it may use without a grant.
	LeasedFraction = 0.8
	// SlotTimeLimit is the longest time that a slot is held. It is then freed even if its holder sends no heartbeats.
	SlotTimeLimit = 10 * time.Minute
)

// WorkspaceConcurrencyKey returns the key of the limit of running requests of a workspace.
func WorkspaceConcurrencyKey(name string) string { return "workspace/" + name + "/concurrent" }

// WorkspaceRateKey returns the key of the limit of requests per second of a workspace.
func WorkspaceRateKey(name string) string { return "workspace/" + name + "/rate" }

// VersionConcurrencyKey returns the key of the limit of running requests of a version.
func VersionConcurrencyKey(version string) string { return "version/" + version + "/concurrent" }

// RolloutExposureKey returns the key of the limit of running requests of a version that is being rolled out.
func RolloutExposureKey(version string) string { return "rollout/" + version + "/exposure" }

// ServerSlotKey returns the slot key of a backend server that is cold or ramping. Each boot has its own key.
func ServerSlotKey(id, boot string) control.SlotKey {
	return control.SlotKey("server/" + id + "/" + boot)
}

// SuspectSlotKey returns the slot key that prevents two suspect requests from running on one backend server.
func SuspectSlotKey(id string) control.SlotKey { return control.SlotKey("suspect/" + id) }

// Source returns the limits in force.
type Source interface {
	// Limit returns the fleet-wide limit of a key, in running requests or in requests per second. It returns false when the
	// key has no limit.
	Limit(key string) (float64, bool)
	// SlotLimit returns the number of slots of a key and the number of running requests that the backend server reports. It
	// returns false when requests of the key need no slot, or no longer need one.
	SlotLimit(key control.SlotKey) (limit, reported int, ok bool)
}
