// Package control defines the messages between entry instances and the control group, sent over net/rpc, and the messages
// of the operator API, sent as JSON over HTTP.
package control

import (
	"context"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/event"
)

// Meta is part of each request and reply between processes.
type Meta struct {
	// Stamp is the sender's hybrid logical time when it sent the message.
	Stamp event.Stamp
	// Instance is the sender's instance id. Boot is different for each start of its process.
	Instance string
	Boot     string
}

// View is the part of the replicated state that routing decisions depend on. Its sections are immutable.
type View struct {
	// Revision increases with each change of any section.
	Revision uint64
	// ConfigRevision increases with each accepted operator change. Operators send it as base_revision.
	ConfigRevision uint64
	Catalogue      *catalogue.Catalogue
	Orders         *Orders
	Rollouts       *Rollouts
	Quarantine     *Quarantine
}

// Orders lists the availability zones and backend servers that operators have taken out of service.
type Orders struct {
	// ModRevision is View.Revision at the last change of this section, as in the other sections.
	ModRevision uint64 `json:"mod_revision"`
	// ZonesOut holds the orders for availability zones, by name.
	ZonesOut map[string]Order `json:"zones_out"`
	// ServersOut holds the orders for backend servers, by id.
	ServersOut map[string]Order `json:"servers_out"`
}

// Order records who took an availability zone or backend server out of service, and when.
type Order struct {
	By     string    `json:"by"`
	At     time.Time `json:"at"`
	Reason string    `json:"reason,omitempty"`
	// Revision is View.ConfigRevision after the order was accepted.
	Revision uint64 `json:"revision"`
}

// RolloutState is the state of a roll-out.
type RolloutState string

// States of a roll-out.
const (
	RolloutRunning    RolloutState = "running"
	RolloutHeld       RolloutState = "held"
	RolloutRolledBack RolloutState = "rolled_back"
	RolloutDone       RolloutState = "done"
)

// RolloutProgress is the recorded progress of the roll-out of a model.
type RolloutProgress struct {
	Model string       `json:"model"`
	From  string       `json:"from"`
	To    string       `json:"to"`
	State RolloutState `json:"state"`
	// Step is an index into catalogue.Rollout.Steps. Percent is the share of new work for To at that step, 0 to 100.
	Step    int       `json:"step"`
	Percent int       `json:"percent"`
	Since   time.Time `json:"since"`
	// Rated is true once the rating service has rated the old version enough, so that each further step waits for ratings.
	Rated  bool   `json:"rated,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// Rollouts is the section of the roll-outs of models and services.
type Rollouts struct {
	ModRevision uint64
	// Progress holds the roll-out of each model, by the model's name.
	Progress map[string]RolloutProgress
	// Services holds the newest roll-out of each service, by the service's name.
	Services map[string]ServiceRollout
}

// ServiceRollout moves a service, within a time limit, to the backend servers that run the software version To.
type ServiceRollout struct {
	Service string `json:"service"`
	// Order is the number of this roll-out among those of the service, starting at 1.
	Order uint64 `json:"order"`
	To    string `json:"to"`
	// Seconds and Millis are the time limit, counted from the start. Time without a control leader counts too.
	Seconds int          `json:"seconds"`
	Millis  int          `json:"millis,omitempty"`
	State   RolloutState `json:"state"`
	// Percent is the share of new sessions and requests for To, 0 to 100.
	Percent int `json:"percent"`
	// ElapsedMillis is how long the roll-out had run, in milliseconds, when this state was recorded.
	ElapsedMillis int64 `json:"elapsed_millis"`
	// Settled is true after half of the time limit. Existing sessions may then move to To.
	Settled bool `json:"settled,omitempty"`
	// ExposedMillis is the integral of the share of To over that time, in milliseconds at a share of 1.
	ExposedMillis int64 `json:"exposed_millis,omitempty"`
	// AllFromMillis is how long the roll-out had run when all requests began to go to To; 0 before.
	AllFromMillis int64  `json:"all_from_millis,omitempty"`
	Reason        string `json:"reason,omitempty"`
	// RolledBack lists the versions whose roll-out was rolled back, Done those whose roll-out succeeded, newest last.
	RolledBack []string `json:"rolled_back,omitempty"`
	Done       []string `json:"done,omitempty"`
}

// TimeLimit returns the time limit of the roll-out.
func (r *ServiceRollout) TimeLimit() time.Duration {
	return time.Duration(r.Seconds)*time.Second + time.Duration(r.Millis)*time.Millisecond
}

const (
	// InitialRolloutPercent is the share of new sessions and requests, in percent, that a roll-out of a service gives to the
	// new version at first. A few dozen requests are enough to detect a failing version.
	InitialRolloutPercent = 4
	// ExtendedRolloutPercent is the share after half of the time limit if the requests so far do not decide whether the
	// version is good.
	ExtendedRolloutPercent = 15
)

// Quarantine is the section of the requests that crashed backend servers.
type Quarantine struct {
	ModRevision uint64
	// Crashes is the number of distinct (backend server, boot) pairs that crashed while they ran the request, by the
	// request's fingerprint. A request with QuarantineCrashes of them is quarantined.
	Crashes map[string]int
	// Parts holds the quarantined prompt parts: those with QuarantineCrashes crashes that no other entry explains.
	Parts map[string]QuarantinedPart
}

// QuarantinedPart is a prompt part that crashes backend servers. A request is quarantined if its prompt has all parts of Common.
type QuarantinedPart struct {
	// Crashes is the number of crashes that no other quarantined part explains. With fewer than ConfirmedPartCrashes the
	// quarantine is provisional: requests that ran on servers which crashed together have that many by chance.
	Crashes int
	// Common lists the parts that all requests with this part had in common which crashed backend servers, with the part
	// itself.
	Common []string
}

// QuarantineCrashes is the number of crashed backend servers at which a request is quarantined: all entry instances then
// refuse it. For requests of catalogue.Route, entry instances apply a higher number.
const QuarantineCrashes = 2

// ConfirmedPartCrashes is the number of crashed backend servers at which the quarantine of a prompt part is no longer
// provisional.
const ConfirmedPartCrashes = 3

// Phase is the lifecycle phase of a backend server.
type Phase string

// Phases of a backend server.
const (
	// PhaseCold servers have just started and run few requests at once; PhaseRamping servers run more, step by step.
	PhaseCold    Phase = "cold"
	PhaseRamping Phase = "ramping"
	// PhaseInService servers run up to their capacity.
	PhaseInService Phase = "in_service"
	// PhaseLeaving servers get no new work and finish what they run; PhaseEmpty servers have finished it.
	PhaseLeaving Phase = "leaving"
	PhaseEmpty   Phase = "empty"
	// PhaseSuspect servers refused or reset a connection, or restarted too often.
	PhaseSuspect Phase = "suspect"
	// PhaseGone servers no longer announce themselves.
	PhaseGone Phase = "gone"
)

// Announcement describes a backend server and its current load. The backend server sends it as JSON in POST /v1/announce.
type Announcement struct {
	ID string `json:"id"`
	// Address is host:port of the backend server's HTTP listener.
	Address string `json:"address"`
	// Boot is different for each start of the backend server.
	Boot             string `json:"boot"`
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region,omitempty"`
	// Versions lists the loaded model versions. Backend servers of a service set Service instead.
	Versions []catalogue.VersionRef `json:"versions,omitempty"`
	Service  string                 `json:"service,omitempty"`
	// Capacity is the number of requests that it can run at once when warm, ColdCapacity right after its start. ColdCapacity
	// 0 means 1.
	Capacity     int `json:"capacity"`
	ColdCapacity int `json:"cold_capacity,omitempty"`
	// Running and Queued are numbers of requests at the time of the announcement.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Leaving is true when it should get no new work because it is about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// Fencing is true if it rejects orders whose fencing number is older than one that it has seen.
	Fencing bool `json:"fencing,omitempty"`
	// PrefixHashes holds the hashes of the cached prompt prefixes, newest first.
	PrefixHashes []uint64 `json:"prefix_hashes,omitempty"`
	// SoftwareVersion is the version of the software that a service's backend server runs. ServiceRollout refers to it.
	SoftwareVersion string `json:"software_version,omitempty"`
	// Started is the time of the start in Unix milliseconds, 0 if not given. The boot with the lower Started is the earlier.
	Started int64 `json:"started,omitempty"`
	// Sequence increases with each announcement of one boot; 0 means that announcements are not numbered. An announcement
	// whose Sequence is not above the last one arrived late and is ignored.
	Sequence int64 `json:"sequence,omitempty"`
	// StatesCold is true if the backend server sends in ColdMillis for how many more milliseconds it is cold, 0 when it is
	// warm. It then does not go through PhaseCold and PhaseRamping; while it is cold, entry instances limit its requests to
	// catalogue.Pool.ColdPerSecond.
	StatesCold bool  `json:"states_cold,omitempty"`
	ColdMillis int64 `json:"cold_millis,omitempty"`
}

// BackendServer is one row of the fleet table. Rows are immutable.
type BackendServer struct {
	Announcement
	Phase Phase
	// Limit is the number of requests that it may run at once, from all entry instances together, while it is cold or
	// ramping. Each of them needs a Slot. 0 means no limit.
	Limit int
	// ReportedAt is the control leader's wall-clock time when the last announcement arrived. It is only displayed.
	ReportedAt time.Time
	// LoadAge is the age of Running, Queued and ColdMillis when the row was sent.
	LoadAge time.Duration
	Reason  string
	// Deregistered is true after a Leave for this boot. Announcements that arrive later don't return it to service.
	Deregistered bool
	// BrittleLimit is the number of requests that the backend server says it can turn away within a second without going down; 0 if
	// it does not say so.
	BrittleLimit int
	// Silent is true when a backend server that sets StatesCold has stopped announcing itself. Its announcements carry no
	// load, and one that changes nothing is left out of fleet deltas. Without this field, readers of the deltas could not see
	// that the announcements have stopped.
	Silent bool
	// Number identifies the row within one epoch of the fleet table. A LoadReport uses it in place of the id.
	Number uint32
}

// LoadReport updates the load of a row whose other fields did not change. It keeps a fleet delta small: each backend
// server reports its load every 2 s, while the rest of its row seldom changes.
type LoadReport struct {
	Number  uint32
	Running int
	Queued  int
	// AgeMillis is the age of the load in milliseconds when the report was sent.
	AgeMillis int64
	// PrefixesChanged is true if PrefixHashes replaces that of the row.
	PrefixesChanged bool
	PrefixHashes    []uint64
}

// FleetDelta holds the changes of the fleet table since the version that the receiver has.
type FleetDelta struct {
	// Epoch changes when a new leader rebuilds the table. Versions of different epochs can't be compared.
	Epoch   string
	Version uint64
	// Full is true if Changed or Packed holds the whole table.
	Full    bool
	Changed []BackendServer
	// Packed replaces Changed by a compressed form if there are many rows and the receiver set AcceptsPacked.
	Packed []byte
	// Loads updates the rows of which only the load or the prefixes changed.
	Loads []LoadReport
	// Removed holds the ids of removed backend servers.
	Removed []string
	// Members lists all entry instances if MembersChanged is set. The flag is needed because gob decodes an empty list as nil.
	Members        []Member
	MembersChanged bool
	// MembersJoined and MembersLeft, by instance, replace Members if only some changed and the receiver set AcceptsParts.
	MembersJoined []Member
	MembersLeft   []string
	// More is true if the delta is a part that ends with the row LastNumber, and further rows follow. A part holds changed rows
	// only; the last one holds everything else, too. The parts together are a delta of the lowest of their versions.
	More       bool
	LastNumber uint32
	// After is the number after which the part begins, 0 for the first one.
	After uint32
}

// Member is one entry instance that sends heartbeats.
type Member struct {
	Instance         string `json:"instance"`
	Boot             string `json:"boot"`
	AvailabilityZone string `json:"availability_zone"`
	// PeerAddress is host:port for net/rpc; CallerAddress is host:port of the caller listener.
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	// RelayAddress is host:port of the listener that forwards connections to backend servers; empty if there is none. Region is that of
	// the instance.
	RelayAddress string `json:"relay_address,omitempty"`
	Region       string `json:"region,omitempty"`
}

// SyncRequest requests from a control replica everything that is newer than what the sender has.
type SyncRequest struct {
	Meta
	Revision     uint64
	FleetEpoch   string
	FleetVersion uint64
	// RatingsVersion is the version of the sender's rating table.
	RatingsVersion uint64
	// AcceptsPacked is true if the sender can read FleetDelta.Packed.
	AcceptsPacked bool
	// AcceptsParts is true if the sender can read FleetDelta.More, MembersJoined and MembersLeft.
	AcceptsParts bool
	// PartEpoch and PartAfter ask for the rows after the number PartAfter, if parts of that epoch were received before.
	PartEpoch string
	PartAfter uint32
}

// RatingRow is the estimated quality of a version for a class, given by the parameters of a beta distribution.
type RatingRow struct {
	Class string
	catalogue.VersionRef
	Alpha, Beta float64
}

// RatingTable holds the quality estimates of the whole fleet. It is immutable.
type RatingTable struct {
	Version uint64
	Rows    []RatingRow
	// Frozen is true while the ratings are not reliable. The estimates then don't change and no request explores versions.
	Frozen bool
}

// SyncReply holds the changes of the view, the fleet table and the rating table.
type SyncReply struct {
	Meta
	// FreshAge is an upper bound on the age of the replica's state when the reply was sent. It is 1<<62 when not known.
	FreshAge time.Duration
	Revision uint64
	// View is nil if no section changed. Otherwise its unchanged sections are nil.
	View  *View
	Fleet FleetDelta
	// Ratings is nil if the sender of the request has the newest table.
	Ratings *RatingTable
	// Replicas holds the peer addresses of all control replicas. It is empty when they are not known.
	Replicas []string
	// Leader is the peer address of the control leader. It is empty when it is not known.
	Leader string
}

// SlowFirstToken is the time to the first token above which an attempt counts as slow.
const SlowFirstToken = time.Second

// SlowTokenInterval is the mean time between the events of a stream above which the stream counts as slow: twice the time between
// tokens within which 95 of 100 stay by design.
const SlowTokenInterval = 140 * time.Millisecond

// Outcome counts the attempts that finished since the last heartbeat, for one version on one backend server. The version is
// empty for calls of services.
type Outcome struct {
	catalogue.VersionRef
	// Class is the class of the requests. For requests of a catalogue.Route it is the name of the route.
	Class     string
	Workspace string
	// BackendServer and Boot identify the process that ran the attempts. They are empty in an Outcome that counts ratings.
	BackendServer string
	Boot          string
	// Requests is the number of attempts, including failed ones.
	Requests int
	// Failures counts errors and timeouts. An attempt that ended because the backend server crashed is not reported if its
	// request is suspected of causing crashes, because it is no evidence against the server or the version.
	Failures int
	// Crashed is the number of Failures that ended because the backend server crashed.
	Crashed int
	// Slow counts attempts whose first token took longer than SlowFirstToken.
	Slow int
	// Overdue counts attempts of streams that were given up by the caller, without a token, later than SlowFirstToken after
	// dispatch. They are not in Requests.
	Overdue int
	// Paced counts the streams whose time between events was measured, SlowPaced those of them over SlowTokenInterval.
	Paced, SlowPaced int
	// FirstTokenMillis is the sum of the times to the first token of the attempts without failure, in milliseconds.
	FirstTokenMillis int64
	// Service and SoftwareVersion are those of the backend server, set only for requests of a catalogue.Route.
	Service         string
	SoftwareVersion string
	// RatingSum is the sum of the scores (0 to 1) that the rating service gave, Ratings their number. LowRatings is the
	// number of scores below the quality target.
	RatingSum  float64
	Ratings    int
	LowRatings int
}

// SlotKey names a limit that is counted in slots, such as "server/<id>/<boot>" or "suspect/<server>".
type SlotKey string

// Slot is one unit of the limit Key. ID identifies it.
type Slot struct {
	Key SlotKey
	ID  string
}

// Grant is an amount of the fleet-wide limit Key.
type Grant struct {
	Key string
	// Amount is in the unit of the limit: concurrent requests or requests per second.
	Amount float64
}

// HeartbeatRequest reports to the control leader that an entry instance is running, what it needs and what it counted.
type HeartbeatRequest struct {
	Meta
	// Sequence increases with each heartbeat of one boot. The leader counts the outcomes of each Sequence once.
	Sequence uint64
	Member   Member
	// Demand is the wanted amount of each limit in use. Held lists the sender's unexpired grants and, under keys with a
	// suffix, its running requests without a grant.
	Demand []Grant
	Held   []Grant
	// Slots lists the slots that the sender holds.
	Slots []Slot
	// Outcomes counts the attempts and ratings since the last heartbeat.
	Outcomes []Outcome
	// Suspects lists the backend servers that refused or reset a connection, or answered as slowly as cold ones.
	Suspects []SuspectReport
	// Brittle lists what backend servers said lately of being brittle. It is not part of Suspects, because a leader of an earlier
	// software version takes a suspect with an unknown reason for one with a broken connection.
	Brittle []BrittleReport
	// RolloutTimes holds how long the running roll-outs of services have run.
	RolloutTimes []RolloutTime
	// RolloutSamples holds the totals of the attempts during the running roll-outs of services.
	RolloutSamples []RolloutSample
	// Leaving is true if the instance is about to stop.
	Leaving bool
	// ReportsUse is true if the sender measures the use of workspaces. Use then lists the workspaces with recent requests, the
	// largest first; one that is not listed uses nothing.
	ReportsUse bool
	Use        []WorkspaceUse
	// Ended is the cost of the attempts of all workspaces that ended; nil if it is not known.
	Ended *EndedCost
	// Waiting is the cost of the requests that wait now at the sender or that it has sent to backend servers without a free slot. It is 0 from
	// earlier software versions.
	Waiting float64
	// RequestCost is the mean cost of the requests of Use, weighted by their cost: the sum of the squares of the costs divided by the sum of the
	// costs. It shows how much of the use may be chance. It is 0 from earlier software versions.
	RequestCost float64
}

// EndedCost is the cost of the attempts that ended at an entry instance, in slots of 250 ms, the last one first.
type EndedCost struct {
	// Age is the time from the end of the last slot until the message was sent.
	Age   time.Duration
	Costs []float64
}

// WorkspaceUse is what one workspace asked of an entry instance and got from it, as a mean over the last seconds. The unit is
// the expected cost of requests for each second; it is the same on all instances.
type WorkspaceUse struct {
	Workspace string
	// Asked is the cost of the requests that were placed or refused, Served that of the placed ones.
	Asked, Served float64
}

// WorkspaceStanding is the fleet-wide use of a workspace divided by its fair share. It is 1 at the fair share.
type WorkspaceStanding struct {
	Workspace string
	Ratio     float64
}

// RolloutTime is how long a roll-out of a service has run according to an entry instance: the time that the control group
// recorded, plus the time since the instance received that record.
type RolloutTime struct {
	Service string
	// Order is ServiceRollout.Order.
	Order   uint64
	Elapsed time.Duration
}

// BrittleReport reports that answers of a boot of a backend server state that it is brittle, or no longer do.
type BrittleReport struct {
	BackendServer string
	Boot          string
	// Limit is the stated number of requests that it can turn away within a second; 0 if it is no longer brittle.
	Limit int
	// Age is the time since the answer when the report was made. It orders the reports of different instances.
	Age time.Duration
}

// MaxBrittleLimit is the largest accepted Limit. A backend server that can turn away more is not brittle in practice.
const MaxBrittleLimit = 1_000_000

// SuspectReport reports a failure that may affect all requests to a backend server.
type SuspectReport struct {
	BackendServer string
	Boot          string
	Reason        string
}

// Reasons of a SuspectReport. Any other reason is treated as SuspectConnection.
const (
	// SuspectConnection means that a connection was refused or reset.
	SuspectConnection = "connection"
	// SuspectSlow means that the time to the first token of three consecutive requests was over four times the median of
	// the pool.
	SuspectSlow = "slow_first_token"
	// SuspectLeaving means that the backend server said in an answer that it is about to stop.
	SuspectLeaving = "says_leaving"
)

// HeartbeatReply holds the grants of the entry instance. They expire TTL after it sent the request, by its own clock. 0
// means the default of package limits.
type HeartbeatReply struct {
	Meta
	Grants []Grant
	TTL    time.Duration
	// StandingsTTL is how long Standings are valid, counted from when the request was sent. 0 means that the leader does not know
	// the standings; those of an earlier reply then stay valid until they expire. Otherwise each workspace that is not listed
	// is within its fair share.
	StandingsTTL time.Duration
	Standings    []WorkspaceStanding
}

// AnnounceRequest forwards the announcements that an entry instance received.
type AnnounceRequest struct {
	Meta
	Announcements []Announcement
	// Leaves lists the backend servers that were deregistered. They get no new work.
	Leaves []Leave
}

// Leave deregisters one boot of a backend server, which does not return to service.
type Leave struct {
	ID string
	// Started is the time of its start in Unix milliseconds. 0 means the boot that announced itself last.
	Started int64
}

// Empty is a reply that contains nothing but Meta.
type Empty struct{ Meta }

// PinRequest pins a session to a version. A session that is pinned already keeps its version, except as Replace allows.
type PinRequest struct {
	Meta
	Workspace string
	Session   string
	Proposed  catalogue.VersionRef
	// Replace is the withdrawn version whose pin may be replaced by Proposed. It is zero for a first pin.
	Replace catalogue.VersionRef
}

// PinReply returns the version that the session is pinned to.
type PinReply struct {
	Meta
	Pinned catalogue.VersionRef
}

// CallState is the state of a non-idempotent call.
type CallState string

// States of a non-idempotent call. CallNew is returned only to the request that may dispatch the call.
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
	// Truncated is true if the body was not kept: it was larger than MaxStoredAnswerBytes or was dropped to make room.
	Truncated bool
}

// MaxStoredAnswerBytes is the size of the largest body that is stored with the record of a non-idempotent call.
const MaxStoredAnswerBytes = 64 << 10

// BeginCallRequest records a non-idempotent call before it is dispatched.
type BeginCallRequest struct {
	Meta
	Workspace string
	// Key is the caller's Idempotency-Key.
	Key string
	// BodyHash is the SHA-256 of method, path and body, in hexadecimal.
	BodyHash string
	// Request is the request id.
	Request string
}

// BeginCallReply returns the state of the call. The sender may dispatch it only if that is CallNew.
type BeginCallReply struct {
	Meta
	State CallState
	// Answer is set only for CallDone.
	Answer *CallAnswer
	// Holder is the id of the request that owns the call with this key. It is empty for CallTableFull.
	Holder string
}

// FinishCallRequest records how a call ended: with an Answer, without having run (Cancelled), or with an unknown outcome
// (Unknown).
type FinishCallRequest struct {
	Meta
	Workspace string
	Key       string
	Request   string
	Answer    *CallAnswer
	Cancelled bool
	Unknown   bool
}

// BillLine bills one attempt that produced tokens.
type BillLine struct {
	catalogue.VersionRef
	BackendServer string
	PromptTokens  int
	OutputTokens  int
	// CostMicros is the cost in millionths of the billing currency.
	CostMicros int64
}

// Bill is the bill of a request, with all its attempts.
type Bill struct {
	// Key is the request's Idempotency-Key or, without one, its id. A second bill with the same workspace and key is
	// dropped.
	Key       string
	Workspace string
	Request   string
	Lines     []BillLine
	// Complete is false if the answer was cancelled or cut off. The tokens produced until then are billed.
	Complete bool
	Service  string
}

// RecordBillsRequest records a batch of bills.
type RecordBillsRequest struct {
	Meta
	Bills []Bill
}

// RecordBillsReply returns how many bills were recorded and how many were dropped as duplicates.
type RecordBillsReply struct {
	Meta
	Recorded, Duplicates int
}

// ReportCrashRequest reports that a backend server crashed while it ran a request.
type ReportCrashRequest struct {
	Meta
	// Fingerprint is a hash that is the same whenever a caller sends the same request again.
	Fingerprint   string
	BackendServer string
	Boot          string
	// Request is the request id.
	Request string
	// Parts lists the shared parts of the request's prompt if the backend server crashed as it began the answer, without
	// those with which other answers have begun. Such a part may have caused the crash.
	Parts []string
}

// ReportCrashReply returns the number of crashes of the fingerprint, counted as in Quarantine.
type ReportCrashReply struct {
	Meta
	Crashes int
	// Parts has the entries of Quarantine.Parts for the parts in the report.
	Parts map[string]QuarantinedPart
}

// ClearPartsRequest reports that backend servers have answered requests with these prompt parts, so that the parts don't crash
// them.
type ClearPartsRequest struct {
	Meta
	Parts []string
}

// ClearPartsReply is the reply to ClearPartsRequest.
type ClearPartsReply struct{ Meta }

// AcquireSlotRequest requests a slot. The sender chooses Slot.ID, so that a repeated request does not take a second slot.
type AcquireSlotRequest struct {
	Meta
	Slot Slot
}

// AcquireSlotReply grants or refuses the slot. If it is refused, the sender should try again after RetryAfter.
type AcquireSlotReply struct {
	Meta
	Granted    bool
	RetryAfter time.Duration
}

// ReleaseSlotRequest releases slots.
type ReleaseSlotRequest struct {
	Meta
	Slots []Slot
}

// TimelineRequest requests the events of one process that match the filter.
type TimelineRequest struct {
	Meta
	Filter event.Filter
}

// TimelineReply returns the events of one process, ordered by stamp.
type TimelineReply struct {
	Meta
	Events []event.Event
}

// Client is the API of the control group that entry instances use. Its calls return ErrUnavailable when no replica or leader
// answered in time. The outcome of a write is then unknown; it may be repeated, because writes are idempotent.
type Client interface {
	Sync(ctx context.Context, in *SyncRequest) (*SyncReply, error)
	Heartbeat(ctx context.Context, in *HeartbeatRequest) (*HeartbeatReply, error)
	Announce(ctx context.Context, in *AnnounceRequest) error
	PinSession(ctx context.Context, in *PinRequest) (*PinReply, error)
	BeginCall(ctx context.Context, in *BeginCallRequest) (*BeginCallReply, error)
	FinishCall(ctx context.Context, in *FinishCallRequest) error
	RecordBills(ctx context.Context, in *RecordBillsRequest) (*RecordBillsReply, error)
	ReportCrash(ctx context.Context, in *ReportCrashRequest) (*ReportCrashReply, error)
	// ClearParts lifts the quarantine of prompt parts, and keeps new reports on them from counting for a while.
	ClearParts(ctx context.Context, in *ClearPartsRequest) (*ClearPartsReply, error)
	AcquireSlot(ctx context.Context, in *AcquireSlotRequest) (*AcquireSlotReply, error)
	ReleaseSlot(ctx context.Context, in *ReleaseSlotRequest) error
}
