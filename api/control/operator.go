package control

import (
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/event"
)

// The operator API (JSON over HTTP, bearer token). Each change names base_revision and request_id.
//
//	GET  /v1/catalogue            -> CatalogueReply; ?revision=N returns the one in force at an earlier revision
//	PUT  /v1/catalogue            ApplyCatalogueRequest -> ChangeReply
//	POST /v1/zones/{zone}         OrderRequest -> ChangeReply
//	POST /v1/servers/{id}         OrderRequest -> ChangeReply
//	GET  /v1/servers              -> []ServerStatus
//	GET  /v1/rollouts             -> []RolloutProgress
//	POST /v1/rollouts/{model}     RolloutOrderRequest -> ChangeReply
//	GET  /v1/services/{service}/rollout   -> ServiceRollout
//	POST /v1/services/{service}/rollout   ServiceRolloutRequest -> ChangeReply
//	GET  /v1/quarantine           -> []QuarantineEntry
//	POST /v1/quarantine/{fingerprint}/lift  ChangeBase -> ChangeReply
//	GET  /v1/status               -> StatusReply
//	GET  /v1/timeline             query as event.Filter -> TimelineMerge
//	GET  /v1/bills                -> []WorkspaceBill
//	POST /v1/replicas/{id}        ReplicaRequest -> StatusReply
//	DELETE /v1/replicas/{id}      -> StatusReply

// ChangeBase identifies an operator's change.
type ChangeBase struct {
	BaseRevision uint64 `json:"base_revision"`
	// RequestID makes a resend return the first result.
	RequestID string `json:"request_id"`
	By        string `json:"by"`
	DryRun    bool   `json:"dry_run,omitempty"`
	// Latest applies the change to whatever revision is current, in place of BaseRevision. It suits orders that state a
	// wanted end, which a resend does not change.
	Latest bool `json:"latest,omitempty"`
}

// ApplyCatalogueRequest replaces the whole catalogue.
type ApplyCatalogueRequest struct {
	ChangeBase
	Catalogue catalogue.Catalogue `json:"catalogue"`
	// Number orders catalogues that come from another system: the highest number is in force, a lower or equal one is
	// accepted and changes nothing, and base_revision is not looked at. 0: not numbered.
	Number uint64 `json:"number,omitempty"`
	// Document is the form in which the other system sent the catalogue, kept for read-back.
	Document []byte `json:"document,omitempty"`
}

// ServiceRolloutRequest starts a roll-out of a service.
type ServiceRolloutRequest struct {
	ChangeBase
	To      string `json:"to"`
	Seconds int    `json:"seconds"`
}

// OrderRequest takes an availability zone or a backend server out of service or brings it back.
type OrderRequest struct {
	ChangeBase
	Out    bool   `json:"out"`
	Reason string `json:"reason,omitempty"`
	// Force accepts an order although the rest can't bear the load.
	Force bool `json:"force,omitempty"`
}

// RolloutOrderRequest holds, resumes or rolls back the roll-out of a model.
type RolloutOrderRequest struct {
	ChangeBase
	State RolloutState `json:"state"`
}

// ReplicaRequest adds a control replica as a learner; it becomes a voter once it has caught up.
type ReplicaRequest struct {
	// Address is the peer address of the replica, host:port.
	Address string `json:"address"`
}

// ChangeReply says that a change is durable on a majority of the control replicas.
type ChangeReply struct {
	Revision uint64 `json:"revision"`
	// Diff lists the differences to the revision before, one line each.
	Diff []string `json:"diff,omitempty"`
	// Repeated says that the change had been accepted earlier under the same request_id.
	Repeated bool `json:"repeated,omitempty"`
}

// Conflict tells the loser of a race what was accepted instead.
type Conflict struct {
	Revision uint64    `json:"revision"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	Diff     []string  `json:"diff"`
}

// CatalogueReply is the current catalogue with its revision.
type CatalogueReply struct {
	Revision  uint64              `json:"revision"`
	By        string              `json:"by"`
	At        time.Time           `json:"at"`
	Catalogue catalogue.Catalogue `json:"catalogue"`
	// Number and Document are those of the ApplyCatalogueRequest.
	Number   uint64 `json:"number,omitempty"`
	Document []byte `json:"document,omitempty"`
}

// ServerStatus is one backend server as operators see it.
type ServerStatus struct {
	ID               string                 `json:"id"`
	AvailabilityZone string                 `json:"availability_zone"`
	Phase            Phase                  `json:"phase"`
	Reason           string                 `json:"reason,omitempty"`
	Versions         []catalogue.VersionRef `json:"versions,omitempty"`
	Service          string                 `json:"service,omitempty"`
	Running          int                    `json:"running"`
	Queued           int                    `json:"queued"`
	Capacity         int                    `json:"capacity"`
	Limit            int                    `json:"limit,omitempty"`
}

// QuarantineEntry is one request that crashed backend servers.
type QuarantineEntry struct {
	Fingerprint string   `json:"fingerprint"`
	Crashes     int      `json:"crashes"`
	Servers     []string `json:"servers"`
	Stopped     bool     `json:"stopped"`
}

// WorkspaceBill sums the bills of one workspace.
type WorkspaceBill struct {
	Workspace    string `json:"workspace"`
	Bills        uint64 `json:"bills"`
	Incomplete   uint64 `json:"incomplete"`
	OutputTokens uint64 `json:"output_tokens"`
	CostMicros   int64  `json:"cost_micros"`
}

// ReplicaStatus is one control replica as operators see it.
type ReplicaStatus struct {
	ID string `json:"id"`
	// Node is the id with the generation of the data folder; it changes when the folder was lost.
	Node    string `json:"node"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
	Leader  bool   `json:"leader"`
	// MatchIndex is the last log index known to be on its disk; known to the leader only.
	MatchIndex uint64 `json:"match_index,omitempty"`
	// Active says that it answers the leader and holds what the leader holds of the log's committed part.
	Active bool `json:"active"`
}

// Attention is something that waits for an operator.
type Attention struct {
	Subject string `json:"subject"`
	Problem string `json:"problem"`
	Action  string `json:"action"`
}

// StatusReply is the state of the whole system.
type StatusReply struct {
	Leader      string          `json:"leader"`
	Term        uint64          `json:"term"`
	CommitIndex uint64          `json:"commit_index"`
	Revision    uint64          `json:"revision"`
	Replicas    []ReplicaStatus `json:"replicas"`
	Members     []Member        `json:"members"`
	Orders      Orders          `json:"orders"`
	Attention   []Attention     `json:"attention"`
}

// TimelineMerge is the time line over all processes.
type TimelineMerge struct {
	Events []event.Event `json:"events"`
	// Unanswered names the processes that did not answer.
	Unanswered []string `json:"unanswered,omitempty"`
}
