package control

import (
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/event"
)

// The operator API is JSON over HTTP and needs a bearer token. Changes with a ChangeBase give base_revision and request_id.
//
//	GET  /v1/catalogue            -> CatalogueReply; ?revision=N returns the catalogue as of revision N
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
//	GET  /v1/timeline             query parameters as in event.Filter -> TimelineMerge
//	GET  /v1/bills                -> []WorkspaceBill
//	GET  /v1/shares               -> SharesReply
//	POST /v1/replicas/{id}        ReplicaRequest -> StatusReply
//	DELETE /v1/replicas/{id}      -> StatusReply

// ChangeBase holds the fields that are common to the changes of operators.
type ChangeBase struct {
	// BaseRevision is the View.ConfigRevision that the change is based on. If it is not the current one, the change is refused
	// with a Conflict.
	BaseRevision uint64 `json:"base_revision"`
	// RequestID identifies the change. A second request with the same id and content returns the result of the first.
	RequestID string `json:"request_id"`
	// By is the operator's name.
	By string `json:"by"`
	// DryRun returns the result that the change would have, without applying it.
	DryRun bool `json:"dry_run,omitempty"`
	// Latest applies the change to the current revision and ignores BaseRevision. It is meant for orders that state the wanted
	// result, so that sending them again changes nothing else. The replica that reads the request replaces it by the revision that is
	// current then, while its caller waits, so that a copy which arrives after a later change doesn't undo that.
	Latest bool `json:"latest,omitempty"`
}

// ApplyCatalogueRequest replaces the whole catalogue.
type ApplyCatalogueRequest struct {
	ChangeBase
	Catalogue catalogue.Catalogue `json:"catalogue"`
	// Number orders the catalogues that another system sends: one with a number above the current one replaces the catalogue,
	// any other is accepted and changes nothing. BaseRevision is then ignored. 0 means not numbered.
	Number uint64 `json:"number,omitempty"`
	// Document is the catalogue in the form in which the other system sent it. CatalogueReply returns it unchanged.
	Document []byte `json:"document,omitempty"`
}

// ServiceRolloutRequest starts a roll-out of a service to the software version To within Seconds and Millis.
type ServiceRolloutRequest struct {
	ChangeBase
	To      string `json:"to"`
	Seconds int    `json:"seconds"`
	// Millis is a fraction of a second beyond Seconds, 0 to 999.
	Millis int `json:"millis,omitempty"`
}

// OrderRequest takes an availability zone or a backend server out of service (Out) or returns it to service.
type OrderRequest struct {
	ChangeBase
	Out    bool   `json:"out"`
	Reason string `json:"reason,omitempty"`
	// Force accepts the order even if the remaining backend servers don't have the capacity for the load.
	Force bool `json:"force,omitempty"`
}

// RolloutOrderRequest holds, resumes or rolls back the roll-out of a model: State is RolloutHeld, RolloutRunning or
// RolloutRolledBack.
type RolloutOrderRequest struct {
	ChangeBase
	State RolloutState `json:"state"`
}

// ReplicaRequest adds a control replica as a learner, which becomes a voter once it has caught up.
type ReplicaRequest struct {
	// Address is the peer address of the replica, host:port.
	Address string `json:"address"`
}

// ChangeReply confirms that a change is durable on a majority of the control replicas. For a dry run, it holds the result
// that the change would have.
type ChangeReply struct {
	// Revision is View.ConfigRevision after the change.
	Revision uint64 `json:"revision"`
	// Diff lists the differences from the previous revision, one line each.
	Diff []string `json:"diff,omitempty"`
	// Repeated is true if nothing changed: the same request_id was accepted before, or the order already applied.
	Repeated bool `json:"repeated,omitempty"`
}

// Conflict is returned for a change whose base revision is not the current one. Revision, By and At are those of the last
// accepted change; Diff lists the differences since the base revision, one line each.
type Conflict struct {
	Revision uint64    `json:"revision"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	Diff     []string  `json:"diff"`
}

// CatalogueReply returns a catalogue with its revision, and who applied it and when.
type CatalogueReply struct {
	Revision  uint64              `json:"revision"`
	By        string              `json:"by"`
	At        time.Time           `json:"at"`
	Catalogue catalogue.Catalogue `json:"catalogue"`
	// Number and Document are those of the ApplyCatalogueRequest that set the catalogue.
	Number   uint64 `json:"number,omitempty"`
	Document []byte `json:"document,omitempty"`
}

// ServerStatus is the status of a backend server for operators. Its fields are those of BackendServer.
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

// QuarantineEntry describes a request, or a prompt part of requests, that crashed backend servers.
type QuarantineEntry struct {
	// Fingerprint is the hash of the request, or "part:" and the part.
	Fingerprint string   `json:"fingerprint"`
	Crashes     int      `json:"crashes"`
	Servers     []string `json:"servers"`
	// Stopped is true if the request is refused because it caused at least QuarantineCrashes crashes.
	Stopped bool `json:"stopped"`
	// Parts lists the parts that a request must have, all of them, to be refused. It is set for a prompt part only.
	Parts []string `json:"parts,omitempty"`
}

// WorkspaceBill holds the totals of the bills of one workspace.
type WorkspaceBill struct {
	Workspace string `json:"workspace"`
	// Bills is the number of bills, Incomplete the number of those with Bill.Complete false.
	Bills        uint64 `json:"bills"`
	Incomplete   uint64 `json:"incomplete"`
	OutputTokens uint64 `json:"output_tokens"`
	// CostMicros is the cost in millionths of the billing currency.
	CostMicros int64 `json:"cost_micros"`
}

// SharesReply holds the use and the fair shares of the workspaces in the whole fleet. The amounts are in the unit of WorkspaceUse.
type SharesReply struct {
	// Known is true if enough entry instances report their use, so that standings are sent to the instances.
	Known bool `json:"known"`
	// Reporting is the number of entry instances with a current report, Expected the number of those that may serve requests.
	Reporting int `json:"reporting"`
	Expected  int `json:"expected"`
	// Workspaces lists the workspaces with recent requests, the largest ratio first.
	Workspaces []WorkspaceShare `json:"workspaces"`
}

// WorkspaceShare holds the use and the fair share of one workspace in the whole fleet.
type WorkspaceShare struct {
	Workspace string  `json:"workspace"`
	Weight    float64 `json:"weight"`
	// Asked is what the workspace asked for, Used what it was served, and Share what it would be served under fair shares.
	Asked float64 `json:"asked"`
	Used  float64 `json:"used"`
	Share float64 `json:"share"`
	// Ratio is the standing that entry instances receive; 1 if they receive none.
	Ratio float64 `json:"ratio"`
	// Above is true if the workspace asks for more than its share.
	Above bool `json:"above"`
}

// ReplicaStatus is the status of a control replica for operators.
type ReplicaStatus struct {
	ID string `json:"id"`
	// Node is the id with the generation of the data folder. It changes when the folder is lost.
	Node    string `json:"node"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
	Leader  bool   `json:"leader"`
	// MatchIndex is the highest log index known to be on the replica's disk. Only the leader knows it; others return 0.
	MatchIndex uint64 `json:"match_index,omitempty"`
	// Active is true if the replica responds to the leader and has all committed log entries.
	Active bool `json:"active"`
}

// AttentionItem is a problem that needs an operator. Action is what to do, often arguments for clementinectl.
type AttentionItem struct {
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
	Attention   []AttentionItem `json:"attention"`
}

// TimelineMerge is the timeline of all processes, ordered by stamp.
type TimelineMerge struct {
	Events []event.Event `json:"events"`
	// Unanswered lists the processes whose query failed.
	Unanswered []string `json:"unanswered,omitempty"`
}
