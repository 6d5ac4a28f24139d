// Package control defines the messages between entry instances and the control group, which travel over net/rpc, and
// the messages of the operator API, which travel as JSON over HTTP.
package control

import (
	"context"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/event"
)

// Meta is part of each request and reply between processes.
type Meta struct {
	// Stamp carries the sender's hybrid logical clock.
	Stamp event.Stamp
	// Instance is the sender's instance id; Boot is new for each start of the process.
	Instance string
	Boot     string
}

// View is what the control group has decided and what routing decisions depend on. Sections are immutable.
type View struct {
	// Revision grows with each change of any section.
	Revision uint64
	// ConfigRevision grows with each accepted operator change; operators name it as base_revision.
	ConfigRevision uint64
	Catalogue      *catalogue.Catalogue
	Orders         *Orders
	Rollouts       *Rollouts
	Quarantine     *Quarantine
}

// Orders are the operators' standing orders on availability zones and backend servers.
type Orders struct {
	// ModRevision is the View revision of the last change of this section. The same holds for the other sections.
	ModRevision uint64 `json:"mod_revision"`
	// ZonesOut holds the availability zones that are out of service.
	ZonesOut map[string]Order `json:"zones_out"`
	// ServersOut holds the backend servers, by id, that are out of service.
	ServersOut map[string]Order `json:"servers_out"`
}

// Order says who took something out of service and when.
type Order struct {
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	Reason   string    `json:"reason,omitempty"`
	Revision uint64    `json:"revision"`
}

// RolloutState is the stage of a roll-out.
type RolloutState string

// Stages of a roll-out.
const (
	RolloutRunning    RolloutState = "running"
	RolloutHeld       RolloutState = "held"
	RolloutRolledBack RolloutState = "rolled_back"
	RolloutDone       RolloutState = "done"
)

// RolloutProgress is the durable progress of one roll-out.
type RolloutProgress struct {
	Model string       `json:"model"`
	From  string       `json:"from"`
	To    string       `json:"to"`
	State RolloutState `json:"state"`
	// Step indexes catalogue.Rollout.Steps; Percent is the share of new work for To at that step.
	Step    int       `json:"step"`
	Percent int       `json:"percent"`
	Since   time.Time `json:"since"`
	// Rated says that the rating service rated the old version during the roll-out, so that the next step waits for ratings.
	Rated  bool   `json:"rated,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// Rollouts is the roll-out section of the view, by model.
type Rollouts struct {
	ModRevision uint64
	Progress    map[string]RolloutProgress
	// Services holds the newest roll-out of each service.
	Services map[string]ServiceRollout
}

// ServiceRollout moves a service from backend servers of one software version to those of another within a time limit.
type ServiceRollout struct {
	Service string `json:"service"`
	// Order numbers the roll-outs of the service.
	Order uint64 `json:"order"`
	To    string `json:"to"`
	// Seconds is the time limit from the order on, also while there is no control leader.
	Seconds int          `json:"seconds"`
	State   RolloutState `json:"state"`
	// Percent is the share of new sessions and requests for To.
	Percent int `json:"percent"`
	// ElapsedMillis is the time that the roll-out had run when it was recorded.
	ElapsedMillis int64 `json:"elapsed_millis"`
	// Settled says that sessions may move to To: the first half of the time limit is over.
	Settled bool   `json:"settled,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// RolledBack and Done list the versions that earlier roll-outs ended with, newest last.
	RolledBack []string `json:"rolled_back,omitempty"`
	Done       []string `json:"done,omitempty"`
}

// UnsettledPercent is the share of new sessions and requests for the new version of a service until it takes all: a version
// that fails is found by a few dozen requests.
const UnsettledPercent = 4

// Quarantine is the section of requests that crash backend servers.
type Quarantine struct {
	ModRevision uint64
	// Crashes counts crashed (backend server, boot) pairs by fingerprint; at QuarantineCrashes the request is stopped.
	Crashes map[string]int
}

// QuarantineCrashes is the number of crashed backend servers after which a request is stopped in the whole fleet.
const QuarantineCrashes = 2

// Phase is the stage of a backend server's life.
type Phase string

// Phases of a backend server.
const (
	PhaseCold      Phase = "cold"
	PhaseRamping   Phase = "ramping"
	PhaseInService Phase = "in_service"
	PhaseLeaving   Phase = "leaving"
	PhaseEmpty     Phase = "empty"
	PhaseSuspect   Phase = "suspect"
	PhaseGone      Phase = "gone"
)

// Announcement is what a backend server says of itself. It travels as JSON in POST /v1/announce.
type Announcement struct {
	ID string `json:"id"`
	// Address is host:port of the backend server's HTTP listener.
	Address string `json:"address"`
	// Boot is new for each start of the backend server.
	Boot             string `json:"boot"`
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region,omitempty"`
	// Versions lists the model versions that are loaded. Service names a plain service instead.
	Versions []catalogue.VersionRef `json:"versions,omitempty"`
	Service  string                 `json:"service,omitempty"`
	// Capacity is the number of requests it bears at once when warm, ColdCapacity when just started (default 1).
	Capacity     int `json:"capacity"`
	ColdCapacity int `json:"cold_capacity,omitempty"`
	// Running and Queued count requests at the time of the announcement.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Leaving says that it wants to be emptied.
	Leaving bool `json:"leaving,omitempty"`
	// Fencing says that it refuses orders with an old fencing number.
	Fencing bool `json:"fencing,omitempty"`
	// PrefixHashes lists cached prompt prefixes, newest first.
	PrefixHashes []uint64 `json:"prefix_hashes,omitempty"`
	// SoftwareVersion is the version of the software of a service's backend server, which roll-outs of services move between.
	SoftwareVersion string `json:"software_version,omitempty"`
	// Started is the Unix millisecond of the start, for backend servers that state it: a lower one is an earlier boot.
	Started int64 `json:"started,omitempty"`
	// Sequence grows with each announcement of one boot, for backend servers that count them; 0: not counted. One that does
	// not grow is late and changes nothing.
	Sequence int64 `json:"sequence,omitempty"`
	// StatesCold says that the backend server itself states how long it is cold: ColdMillis, 0 when it is warm. The router
	// then keeps to the rate of the service's pool and the backend server has no ramp.
	StatesCold bool  `json:"states_cold,omitempty"`
	ColdMillis int64 `json:"cold_millis,omitempty"`
}

// BackendServer is one row of the fleet table. Rows are immutable.
type BackendServer struct {
	Announcement
	Phase Phase
	// Limit is the number of requests it may run at once over the whole fleet while cold or ramping; 0: no slots needed.
	Limit int
	// ReportedAt is the control leader's wall clock when the last announcement arrived; used for display only.
	ReportedAt time.Time
	// LoadAge is the age of Running, Queued and ColdMillis at the time the row was sent.
	LoadAge time.Duration
	Reason  string
	// Deregistered says that this boot left for good, whatever it announces late.
	Deregistered bool
	// Silent says that announcements fail to come, for a backend server that states its cold time. Its announcements carry no
	// load, so that the table tells of those that are missing instead of each one that came.
	Silent bool
	// Number identifies the row within one epoch of the fleet table, so that load reports need not repeat the id.
	Number uint32
}

// LoadReport updates the load of a row that did not change otherwise. It keeps a fleet delta small: each backend server
// reports its load every 2 s, while the rest of its row seldom changes.
type LoadReport struct {
	Number    uint32
	Running   int
	Queued    int
	AgeMillis int64
	// PrefixesChanged says that PrefixHashes replaces the prefixes of the row.
	PrefixesChanged bool
	PrefixHashes    []uint64
}

// FleetDelta carries changes of the fleet table.
type FleetDelta struct {
	// Epoch changes when the table was rebuilt by another leader; versions of different epochs can't be compared.
	Epoch   string
	Version uint64
	// Full says that Changed is the whole table.
	Full    bool
	Changed []BackendServer
	// Packed holds the changed rows instead of Changed, compressed, when there are many and the receiver accepts that.
	Packed []byte
	// Loads holds rows of which only the load or the prefixes changed.
	Loads   []LoadReport
	Removed []string
	// Members are all entry instances known, valid when MembersChanged is set: gob does not tell an empty list from none.
	Members        []Member
	MembersChanged bool
}

// Member is one entry instance that sends heartbeats.
type Member struct {
	Instance         string `json:"instance"`
	Boot             string `json:"boot"`
	AvailabilityZone string `json:"availability_zone"`
	// PeerAddress is host:port for net/rpc; CallerAddress is host:port of the caller listener.
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
}

// SyncRequest asks a control replica for everything newer than what the sender holds.
type SyncRequest struct {
	Meta
	Revision     uint64
	FleetEpoch   string
	FleetVersion uint64
	// RatingsVersion is the version of the rating table that the sender holds.
	RatingsVersion uint64
	// AcceptsPacked says that the sender reads the packed rows of a fleet delta.
	AcceptsPacked bool
}

// RatingRow is the estimated quality of one version in one class, as the parameters of a Beta posterior.
type RatingRow struct {
	Class string
	catalogue.VersionRef
	Alpha, Beta float64
}

// RatingTable holds the quality estimates of the whole fleet. It is immutable.
type RatingTable struct {
	Version uint64
	Rows    []RatingRow
	// Frozen says that the ratings can't be trusted, so that estimates stay and nothing is explored.
	Frozen bool
}

// SyncReply carries the changed sections of the view and of the fleet table.
type SyncReply struct {
	Meta
	// FreshAge is how long before the reply was sent the replica knew that its state was current.
	FreshAge time.Duration
	Revision uint64
	// View has nil for each unchanged section. It is nil when nothing changed.
	View  *View
	Fleet FleetDelta
	// Ratings is nil when the sender holds the newest table.
	Ratings *RatingTable
	// Replicas are the peer addresses of all control replicas, empty when they are not known.
	Replicas []string
	// Leader is the peer address of the control leader, empty when unknown.
	Leader string
}

// SlowFirstToken is the time to the first token above which an attempt counts as slow.
const SlowFirstToken = time.Second

// Outcome counts finished attempts on one version at one backend server since the last heartbeat. Calls of plain services
// leave the version empty.
type Outcome struct {
	catalogue.VersionRef
	Class     string
	Workspace string
	// BackendServer and Boot name the process that ran the attempts; lifecycle counts completions by them.
	BackendServer string
	Boot          string
	Requests      int
	// Failures counts errors and timeouts. Attempts of suspect requests that ended with the death of the backend server are
	// not reported at all, as they say nothing about server or version.
	Failures int
	// Crashed counts those of Failures that ended because the backend server died.
	Crashed int
	// Slow counts attempts whose first token took longer than SlowFirstToken.
	Slow int
	// FirstTokenMillis is the sum over the attempts without failure, in milliseconds.
	FirstTokenMillis int64
	// Service and SoftwareVersion name the pool and the software of the backend server of a routed request.
	Service         string
	SoftwareVersion string
	// LogFirstSum and LogFirstSquares add up the natural logarithm of the time to the first byte in milliseconds, and its
	// square, over the Timed attempts of routed requests.
	LogFirstSum, LogFirstSquares float64
	Timed                        int
	// RatingSum and Ratings add up the scores (0 to 1) that the rating service gave; LowRatings counts those under the target.
	RatingSum  float64
	Ratings    int
	LowRatings int
}

// SlotKey names a small limit, such as "server/<id>/<boot>" or "suspect/<server>".
type SlotKey string

// Slot is one unit held under a SlotKey.
type Slot struct {
	Key SlotKey
	ID  string
}

// Grant is an amount of a fleet-wide limit.
type Grant struct {
	Key string
	// Amount is in the unit of the limit: requests running at once, or requests per second.
	Amount float64
}

// HeartbeatRequest tells the control leader that an entry instance lives and what it needs.
type HeartbeatRequest struct {
	Meta
	// Sequence grows with each heartbeat of one boot; counts of a sequence that was seen already are not added again.
	Sequence uint64
	Member   Member
	// Demand is the wanted amount for each limit in use; Held is what it believes to hold now.
	Demand []Grant
	Held   []Grant
	Slots  []Slot
	// Outcomes counts what happened since the last heartbeat.
	Outcomes []Outcome
	// Suspects lists backend servers that refused or reset a connection, or answered like cold ones.
	Suspects []SuspectReport
	// RolloutTimes says how long the running roll-outs of services have run.
	RolloutTimes []RolloutTime
	Leaving      bool
}

// RolloutTime is how long a roll-out of a service has run, as an entry instance knows it: what the control group recorded and the
// time since then on the clock of the instance.
type RolloutTime struct {
	Service string
	// Order is that of the ServiceRollout.
	Order   uint64
	Elapsed time.Duration
}

// SuspectReport says why an entry instance doubts a backend server.
type SuspectReport struct {
	BackendServer string
	Boot          string
	Reason        string
}

// Reasons of a SuspectReport. Each other reason is treated as SuspectConnection.
const (
	// SuspectConnection means that a connection was refused or reset.
	SuspectConnection = "connection"
	// SuspectSlow means that three requests in a row had a first token over four times the pool median.
	SuspectSlow = "slow_first_token"
)

// HeartbeatReply carries the grants. They expire TTL after the request was sent, on the holder's clock.
type HeartbeatReply struct {
	Meta
	Grants []Grant
	TTL    time.Duration
}

// AnnounceRequest passes on announcements that arrived at the sender.
type AnnounceRequest struct {
	Meta
	Announcements []Announcement
	// Leaves names backend servers that take no new work from now on and said nothing else.
	Leaves []Leave
}

// Leave says that one boot of a backend server stops for good.
type Leave struct {
	ID string
	// Started is the Unix millisecond of its start; 0: the boot that announced itself last.
	Started int64
}

// Empty is a reply without content.
type Empty struct{ Meta }

// PinRequest pins a session to a version; the first writer wins.
type PinRequest struct {
	Meta
	Workspace string
	Session   string
	Proposed  catalogue.VersionRef
	// Replace names the withdrawn version that the pin may be moved from; zero for a first pin.
	Replace catalogue.VersionRef
}

// PinReply names the version that the session is pinned to.
type PinReply struct {
	Meta
	Pinned catalogue.VersionRef
}

// CallState is the state of a non-idempotent call.
type CallState string

// States of a non-idempotent call. CallNew is returned to the only caller that may dispatch it.
const (
	CallNew            CallState = "new"
	CallInProgress     CallState = "in_progress"
	CallDone           CallState = "done"
	CallOutcomeUnknown CallState = "outcome_unknown"
	CallKeyReused      CallState = "key_reused"
	CallTableFull      CallState = "table_full"
)

// CallAnswer is the stored answer of a non-idempotent call.
type CallAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated says that the body was over MaxStoredAnswer and was not kept.
	Truncated bool
}

// MaxStoredAnswer is the largest body, in bytes, that is kept with the record of a non-idempotent call.
const MaxStoredAnswer = 64 << 10

// BeginCallRequest records a non-idempotent call before it is dispatched.
type BeginCallRequest struct {
	Meta
	Workspace string
	Key       string
	// BodyHash is the SHA-256 of method, path and body, in hexadecimal.
	BodyHash string
	Request  string
}

// BeginCallReply says whether the sender may dispatch the call.
type BeginCallReply struct {
	Meta
	State  CallState
	Answer *CallAnswer
	// Holder is the request id of the call that holds the key.
	Holder string
}

// FinishCallRequest records the answer, or the certainty that the call did not run (Cancelled), or that nobody knows (Unknown).
type FinishCallRequest struct {
	Meta
	Workspace string
	Key       string
	Request   string
	Answer    *CallAnswer
	Cancelled bool
	Unknown   bool
}

// BillLine is one attempt that produced tokens.
type BillLine struct {
	catalogue.VersionRef
	BackendServer string
	PromptTokens  int
	OutputTokens  int
	// CostMicros is in micro-units of the billing currency.
	CostMicros int64
}

// Bill is the one bill of a request.
type Bill struct {
	// Key is the workspace's Idempotency-Key, or the request id. A second bill with the same workspace and key is dropped.
	Key       string
	Workspace string
	Request   string
	Lines     []BillLine
	// Complete is false for a cancelled or broken answer, billed for the tokens produced.
	Complete bool
	Service  string
}

// RecordBillsRequest commits a batch of bills.
type RecordBillsRequest struct {
	Meta
	Bills []Bill
}

// RecordBillsReply counts what was recorded and what was dropped as duplicate.
type RecordBillsReply struct {
	Meta
	Recorded, Duplicates int
}

// ReportCrashRequest records that a backend server died while it ran the request.
type ReportCrashRequest struct {
	Meta
	Fingerprint   string
	BackendServer string
	Boot          string
	Request       string
}

// ReportCrashReply returns the number of crashed (backend server, boot) pairs of the fingerprint.
type ReportCrashReply struct {
	Meta
	Crashes int
}

// AcquireSlotRequest asks for one unit of a small limit. The sender chooses Slot.ID, so that a repeated request takes no
// second unit.
type AcquireSlotRequest struct {
	Meta
	Slot Slot
}

// AcquireSlotReply grants the slot or not. RetryAfter is a hint when not.
type AcquireSlotReply struct {
	Meta
	Granted    bool
	RetryAfter time.Duration
}

// ReleaseSlotRequest gives slots back.
type ReleaseSlotRequest struct {
	Meta
	Slots []Slot
}

// TimelineRequest asks one process for events.
type TimelineRequest struct {
	Meta
	Filter event.Filter
}

// TimelineReply carries the events of one process in stamp order.
type TimelineReply struct {
	Meta
	Events []event.Event
}

// Client is the control group as an entry instance sees it. Calls return typed errors: ErrUnavailable when no replica
// or leader answered in time; the outcome of a write is then unknown and the write may be repeated as it is idempotent.
type Client interface {
	Sync(ctx context.Context, in *SyncRequest) (*SyncReply, error)
	Heartbeat(ctx context.Context, in *HeartbeatRequest) (*HeartbeatReply, error)
	Announce(ctx context.Context, in *AnnounceRequest) error
	PinSession(ctx context.Context, in *PinRequest) (*PinReply, error)
	BeginCall(ctx context.Context, in *BeginCallRequest) (*BeginCallReply, error)
	FinishCall(ctx context.Context, in *FinishCallRequest) error
	RecordBills(ctx context.Context, in *RecordBillsRequest) (*RecordBillsReply, error)
	ReportCrash(ctx context.Context, in *ReportCrashRequest) (*ReportCrashReply, error)
	AcquireSlot(ctx context.Context, in *AcquireSlotRequest) (*AcquireSlotReply, error)
	ReleaseSlot(ctx context.Context, in *ReleaseSlotRequest) error
}
