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

// Command is one replicated command. Exactly one of the pointers is set.
type Command struct {
	// At is the proposer's wall clock; the state machine uses the largest At seen so far as its time.
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
	// BillBatches may stand beside BeginCalls and FinishCalls in one command: the leader joins what arrives while a
	// proposal is in flight. The result of such a command is BatchResult.
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

// SetRollout records the progress of a roll-out. Commands of the roll-out controller have an empty RequestID and name the
// progress they are based on in Expect; a command whose Expect differs changes nothing. Its result is ChangeResult.
type SetRollout struct {
	control.ChangeBase
	Expect   *control.RolloutProgress
	Progress control.RolloutProgress
}

// StartServiceRollout orders a roll-out of a service. Its result is ChangeResult.
type StartServiceRollout struct {
	control.ChangeBase
	Service string
	To      string
	Seconds int
}

// AdvanceServiceRollout records the progress of a roll-out of a service. A command whose order is not the newest one, or
// of a roll-out that has ended, changes nothing. Its result is nil.
type AdvanceServiceRollout struct{ Progress control.ServiceRollout }

// RecordServers records what backend servers announced of themselves, so that a new leader knows them before they announce
// themselves again. Its result is nil.
type RecordServers struct {
	Put    []control.Announcement
	Remove []string
}

// LiftQuarantine forgets the crashes of a fingerprint. Its result is ChangeResult.
type LiftQuarantine struct {
	control.ChangeBase
	Fingerprint string
}

// SetPhase records the phase of a backend server with its boot number. Its result is nil.
type SetPhase struct {
	BackendServer string
	Boot          string
	Phase         control.Phase
	// Limit is the number of requests the server may run at once while cold or ramping.
	Limit  int
	Reason string
}

// NextFence returns a new fencing number. Its result is Fence.
type NextFence struct{ Term uint64 }

// Fence is a fencing number: ordered by Term, then Index.
type Fence struct{ Term, Index uint64 }

// InstanceGone marks each call that this boot of an entry instance holds as outcome unknown. Its result is the number of calls.
type InstanceGone struct{ Instance, Boot string }

// ChangeResult is the result of an operator's change.
type ChangeResult struct {
	control.ChangeReply
	// Conflict is set when base_revision is not current; nothing was changed then.
	Conflict *control.Conflict
}

// BatchResult is the result of BeginCalls, FinishCalls and BillBatches, each in the order of the command. A call that found
// no room has the state CallTableFull.
type BatchResult struct {
	Begins []control.BeginCallReply
	Bills  []control.RecordBillsReply
}

// Encode returns the bytes of a command for the replicated log. The form is JSON: each gob stream repeats its type
// descriptors, which made a session pin 3 KB and its decoding 212 us.
func (c *Command) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	return data, Error.Wrap(err)
}

// Decode returns the command from its bytes.
func Decode(data []byte) (*Command, error) {
	c := &Command{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, Error.Wrap(err)
	}
	return c, nil
}
