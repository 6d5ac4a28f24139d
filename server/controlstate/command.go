// Package controlstate is the deterministic state machine that holds all durable state of the control group. It does no
// I/O and reads no clock: each command carries its time.
package controlstate

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

// Error is the class of all errors of this package.
var Error = errs.Class("controlstate")

// Command is one replicated command. Either exactly one pointer is set, or one or more of the lists BeginCalls,
// FinishCalls and BillBatches.
type Command struct {
	// At is the wall clock time of the proposer. The time of the state machine is the largest At applied so far.
	At time.Time

	ApplyCatalogue *ApplyCatalogue `json:",omitempty"`
	SetOrder       *SetOrder       `json:",omitempty"`
	SetRollout     *SetRollout     `json:",omitempty"`
	LiftQuarantine *LiftQuarantine `json:",omitempty"`

	StartServiceRollout   *StartServiceRollout   `json:",omitempty"`
	AdvanceServiceRollout *AdvanceServiceRollout `json:",omitempty"`
	RecordServers         *RecordServers         `json:",omitempty"`

	SetPhase     *SetPhase                   `json:",omitempty"`
	NextFence    *NextFence                  `json:",omitempty"`
	PinSession   *control.PinRequest         `json:",omitempty"`
	BeginCalls   []control.BeginCallRequest  `json:",omitempty"`
	FinishCalls  []control.FinishCallRequest `json:",omitempty"`
	InstanceGone *InstanceGone               `json:",omitempty"`
	RecordBills  *control.RecordBillsRequest `json:",omitempty"`
	ReportCrash  *control.ReportCrashRequest `json:",omitempty"`
	ClearParts   *control.ClearPartsRequest  `json:",omitempty"`
	// BillBatches may be combined with BeginCalls and FinishCalls in one command: the leader batches the requests that
	// arrive while a proposal is in flight. The result of such a command is BatchResult.
	BillBatches []control.RecordBillsRequest `json:",omitempty"`
}

// ApplyCatalogue replaces the catalogue. Its result is ChangeResult.
type ApplyCatalogue struct {
	control.ChangeBase
	Catalogue catalogue.Catalogue
	// Number and Document are those of control.ApplyCatalogueRequest.
	Number   uint64
	Document []byte
}

// SetOrder takes an availability zone or a backend server out of service or brings it back. Its result is ChangeResult.
type SetOrder struct {
	control.ChangeBase
	// Exactly one of AvailabilityZone and BackendServer is set.
	AvailabilityZone string
	BackendServer    string
	Out              bool
	Reason           string
}

// SetRollout records the progress of a roll-out. Commands of the roll-out controller have an empty RequestID, and Expect
// holds the progress that they are based on, nil for none. If the recorded progress differs from Expect, nothing changes.
// Its result is ChangeResult.
type SetRollout struct {
	control.ChangeBase
	Expect   *control.RolloutProgress
	Progress control.RolloutProgress
}

// StartServiceRollout starts the roll-out of version To of a service within Seconds. Its result is ChangeResult.
type StartServiceRollout struct {
	control.ChangeBase
	Service string
	To      string
	Seconds int
	Millis  int
}

// AdvanceServiceRollout records the progress of a service roll-out. It changes nothing if Progress.Order is not the
// service's latest order or if that roll-out has ended. Its result is nil.
type AdvanceServiceRollout struct{ Progress control.ServiceRollout }

// RecordedServer is what the state holds of one start of a backend server. Sequence is that of the announcement which made the
// last recorded change; earlier ones may still arrive and are out of date.
type RecordedServer struct {
	control.Announcement
	// Deregistered is true once this start has deregistered.
	Deregistered bool `json:",omitempty"`
}

// RecordServers records (Put) and removes (Remove, by id) the announcements of backend servers, so that a new leader has
// them before the servers announce themselves again. Its result is nil.
type RecordServers struct {
	Put    []RecordedServer
	Remove []string
}

// LiftQuarantine removes the crash record of a fingerprint. Its result is ChangeResult.
type LiftQuarantine struct {
	control.ChangeBase
	Fingerprint string
}

// SetPhase records the phase of a backend server in one of its boots. Its result is nil, or an error of class
// control.ErrTableFull.
type SetPhase struct {
	BackendServer string
	Boot          string
	Phase         control.Phase
	// Limit is the number of requests that the server may run concurrently while it is cold or ramping.
	Limit  int
	Reason string
}

// NextFence returns a new fencing number. Its result is Fence.
type NextFence struct{ Term uint64 }

// Fence is a fencing number. Fences are ordered by Term, then by Index.
type Fence struct{ Term, Index uint64 }

// InstanceGone marks the calls in progress of this boot of an entry instance as outcome unknown. Its result is the number
// of calls.
type InstanceGone struct{ Instance, Boot string }

// ChangeResult is the result of an operator's change.
type ChangeResult struct {
	control.ChangeReply
	// Conflict is set when the command was based on an outdated revision or progress and therefore changed nothing.
	Conflict *control.Conflict
}

// BatchResult is the result of a command with BeginCalls, FinishCalls or BillBatches. Begins and Bills have the order of
// BeginCalls and BillBatches. A call that was not recorded because the table is full has the state CallTableFull.
type BatchResult struct {
	Begins []control.BeginCallReply
	Bills  []control.RecordBillsReply
}

// Encode returns the command as JSON for the replicated log. JSON is used because a separate gob stream for each command
// repeats the type descriptors: a session pin took 3 KB and 212 us to decode.
func (c *Command) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	return data, Error.Wrap(err)
}

// Decode parses a command that Encode returned.
func Decode(data []byte) (*Command, error) {
	c := &Command{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, Error.Wrap(err)
	}
	return c, nil
}
