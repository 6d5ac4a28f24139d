// Package event defines the events of the timeline and the hybrid logical clock that orders the events of all processes.
package event

import (
	"sync"
	"time"
)

// Stamp is a hybrid logical time: Unix milliseconds in the upper 48 bits and a logical counter in the lower 16.
type Stamp uint64

// Time returns the wall-clock part, with a resolution of one millisecond.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> 16)) }

// Clock is a hybrid logical clock. Each stamp that it issues is later than all stamps that it issued or observed before.
// The zero value is ready to use. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now issues the next stamp.
func (c *Clock) Now() Stamp { return c.Observe(0) }

// Observe records a stamp from another process and issues the next stamp, which is later than that one.
func (c *Clock) Observe(remote Stamp) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := Stamp(time.Now().UnixMilli()) << 16
	c.last = max(wall, c.last+1, remote+1)
	return c.last
}

// Kind is the type of an event, in snake case.
type Kind string

// Event is an entry of the timeline. Fields that do not apply to its Kind are empty.
type Event struct {
	Stamp            Stamp             `json:"stamp"`
	Instance         string            `json:"instance"`
	Kind             Kind              `json:"kind"`
	Request          string            `json:"request,omitempty"`
	Session          string            `json:"session,omitempty"`
	Workspace        string            `json:"workspace,omitempty"`
	BackendServer    string            `json:"backend_server,omitempty"`
	AvailabilityZone string            `json:"availability_zone,omitempty"`
	Version          string            `json:"version,omitempty"`
	Revision         uint64            `json:"revision,omitempty"`
	Reason           string            `json:"reason,omitempty"`
	Detail           map[string]string `json:"detail,omitempty"`
}

// Recorder records events in the timeline. Implementations set Stamp and Instance.
type Recorder interface {
	Record(e Event)
}

// Filter selects the events that match all of its non-empty fields.
type Filter struct {
	Request, Session, BackendServer, AvailabilityZone, Version string
	Kind                                                       Kind
	Revision                                                   uint64
	// Since excludes events with an earlier stamp.
	Since Stamp
	// Limit is the maximum number of events to return. If more match, the newest are returned. 0 means 1000.
	Limit int
}

// Matches reports whether the filter selects the event. It ignores Limit.
func (f Filter) Matches(e Event) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Session == "" || f.Session == e.Session) &&
		(f.BackendServer == "" || f.BackendServer == e.BackendServer) &&
		(f.AvailabilityZone == "" || f.AvailabilityZone == e.AvailabilityZone) &&
		(f.Version == "" || f.Version == e.Version) &&
		(f.Kind == "" || f.Kind == e.Kind) &&
		(f.Revision == 0 || f.Revision == e.Revision) &&
		e.Stamp >= f.Since
}
