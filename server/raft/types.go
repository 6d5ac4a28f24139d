// Package raft implements Raft consensus for the control replicas. It does no I/O and reads no clock: a driver calls Step,
// Tick and the proposal methods, and Ready returns what the driver must persist, send and apply.
package raft

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("raft")

var (
	// ErrNotLeader means that this node is not the leader, or is transferring leadership; nothing was appended.
	ErrNotLeader = errs.Class("not leader")
	// ErrMembership means that a membership change isn't possible in the current state; nothing was appended.
	ErrMembership = errs.Class("membership change")
	// ErrInvalidState means that the persisted state, or an entry from the leader, is inconsistent or can't be decoded.
	ErrInvalidState = errs.Class("raft state")
)

// NodeID consists of a replica id and the generation of the replica's data folder. A replica that lost its folder gets a
// new NodeID, so that it drops messages to the old one: the votes that it had granted are lost.
type NodeID string

// Member is one node of the group.
type Member struct {
	Node NodeID `json:"node"`
	// ID is the replica id that operators use; it stays the same when the data folder is replaced.
	ID      string `json:"id"`
	Address string `json:"address"`
	// Voter is false for a learner, which receives the log but is not counted in majorities.
	Voter bool `json:"voter"`
	// Rejoining marks a learner that replaces a voter of the same ID whose data folder was lost.
	Rejoining bool `json:"rejoining,omitempty"`
}

// Membership is the set of nodes, sorted by Node. It must not be modified.
type Membership []Member

// Find returns the member with the node id, and false when there is none.
func (m Membership) Find(node NodeID) (Member, bool) {
	for _, member := range m {
		if member.Node == node {
			return member, true
		}
	}
	return Member{}, false
}

// With returns a copy that holds the member in place of any other with the same Node.
func (m Membership) With(member Member) Membership {
	out := append(m.Without(member.Node), member)
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

// Without returns a copy from which the node is removed.
func (m Membership) Without(node NodeID) Membership {
	out := make(Membership, 0, len(m)+1)
	for _, member := range m {
		if member.Node != node {
			out = append(out, member)
		}
	}
	return out
}

// VoterCount returns the number of voters.
func (m Membership) VoterCount() int {
	count := 0
	for _, member := range m {
		if member.Voter {
			count++
		}
	}
	return count
}

// Encode returns the Data of an EntryMembership.
func (m Membership) Encode() ([]byte, error) {
	data, err := json.Marshal(m)
	return data, Error.Wrap(err)
}

// DecodeMembership decodes what Encode returned, or returns ErrInvalidState.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, ErrInvalidState.Wrap(err)
	}
	return m, nil
}

// changedVoterCount counts the nodes that are voters in exactly one of the two memberships.
func changedVoterCount(a, b Membership) int {
	count := 0
	for _, order := range [][2]Membership{{a, b}, {b, a}} {
		for _, member := range order[0] {
			if other, _ := order[1].Find(member.Node); member.Voter && !other.Voter {
				count++
			}
		}
	}
	return count
}

// EntryKind determines what Entry.Data contains.
type EntryKind uint8

const (
	// EntryCommand holds a command of the replicated state machine.
	EntryCommand EntryKind = iota
	// EntryNoOp has no data. A new leader appends one to commit the entries of earlier terms.
	EntryNoOp
	// EntryMembership holds an encoded Membership. It takes effect on each node when the entry is appended to its log.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Data        []byte
}

// HardState is the current term and the vote in it. It must be durable before a message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote NodeID
}

// SnapshotMeta describes a snapshot of the state machine: its last entry and the membership in force after that entry.
type SnapshotMeta struct {
	Index, Term uint64
	Members     Membership
}

// Snapshot is the state of the state machine after the entry at Meta.Index.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// MessageKind is the type of a Message.
type MessageKind uint8

// The kinds of messages between nodes.
const (
	PreVote MessageKind = iota
	PreVoteReply
	Vote
	VoteReply
	// Append replicates entries; without entries it is a heartbeat.
	Append
	AppendReply
	// InstallSnapshot replaces the receiver's state and log.
	InstallSnapshot
	// TimeoutNow makes the receiver start an election at once, for a leadership transfer.
	TimeoutNow
)

// Message is sent from one node to another.
type Message struct {
	Kind     MessageKind
	From, To NodeID
	Term     uint64
	// Index and LogTerm are the entry before Entries in Append, and the candidate's last entry in PreVote and Vote. Index is
	// the last matching entry in an accepted AppendReply, and the Index of the rejected Append in a rejection.
	Index, LogTerm uint64
	Entries        []Entry
	Commit         uint64
	Reject         bool
	// HintIndex and HintTerm are the first uncommitted entry of the conflicting term in a rejected AppendReply. With
	// HintTerm 0, HintIndex is the index after the end of the follower's log.
	HintIndex, HintTerm uint64
	// Round is the leader's heartbeat round, copied into the reply.
	Round uint64
	// Transfer marks a candidate that the leader asked to take over. Voters with a live leader answer it too.
	Transfer bool
	Snapshot *Snapshot

	// Only the driver uses the fields below, to limit the age of a follower's state. LeaderAge is the age of the leader's
	// state when it sent an Append. SentAt is the follower's clock when it sent an AppendReply; the leader copies it into
	// EchoAt of its next Append.
	LeaderAge      time.Duration
	LeaderAgeKnown bool
	SentAt, EchoAt Clock
	// Silences is what the leader knows of members that do not answer it, in an Append. It is for the driver too.
	Silences []Silence
}

// Silence tells that a member does not answer the leader, or announced its stop.
type Silence struct {
	Node NodeID
	// Age is the time since the member last answered a leader; 0 if it answers.
	Age time.Duration
	// Departed is set if the member announced its planned stop.
	Departed bool
}

// Clock is a reading of the monotonic clock of one process.
type Clock struct {
	// Boot distinguishes the process from earlier ones of the same node; 0 means that the Clock is not set.
	Boot uint64
	At   time.Duration
}

// ReadState is the result of ReadIndex: the read with the token may be served once Index is applied.
type ReadState struct {
	Token uint64
	Index uint64
	// Failed is set when leadership ended before the read was confirmed.
	Failed bool
}

// Ready is the work of the driver, in this order: send EarlyMessages; persist Snapshot, HardState and Entries and sync;
// send Messages; apply Snapshot and Committed; call Advance.
type Ready struct {
	// HardState is nil when unchanged.
	HardState     *HardState
	Snapshot      *Snapshot
	Entries       []Entry
	EarlyMessages []Message
	Messages      []Message
	Committed     []Entry
	Reads         []ReadState
}

// Empty reports whether the driver has nothing to do.
func (r Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.EarlyMessages) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// MustSync reports whether the Ready holds anything to persist.
func (r Ready) MustSync() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}
