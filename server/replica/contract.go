// Package replica runs one member of the consensus group: it drives the raft state machine with the write-ahead log,
// snapshots and the peer transport, and applies committed commands to the replicated state machine.
package replica

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("replica")

var (
	// ErrNotLeader means that this replica refused the proposal or read because it is not the leader.
	ErrNotLeader = errs.Class("not leader")
	// ErrOutcomeUnknown means that this replica accepted a proposal but lost leadership, reached the deadline or stopped
	// before the entry was applied; it may or may not be committed.
	ErrOutcomeUnknown = errs.Class("outcome unknown")
	// ErrStopped means that this replica was stopped or stopped itself after a storage failure.
	ErrStopped = errs.Class("replica stopped")
	// ErrConfig means that the configuration is incomplete or inconsistent.
	ErrConfig = errs.Class("replica configuration")
	// ErrIdentity means that the data folder belongs to another replica.
	ErrIdentity = errs.Class("replica identity")
	// ErrMembership means that the current membership does not allow the change; nothing was proposed.
	ErrMembership = errs.Class("membership change")
	// ErrCommand means that a command is larger than MaxCommandBytes; nothing was proposed.
	ErrCommand = errs.Class("command too large")
	// ErrOverloaded means that the uncommitted proposals have reached the limit; nothing was proposed.
	ErrOverloaded = errs.Class("replica overloaded")
	// ErrStaleStream means that a call belongs to an earlier stream of its sender than the newest one that arrived; its messages
	// were dropped.
	ErrStaleStream = errs.Class("stale stream")
	// ErrNotMember means that the group does not admit this replica automatically: an operator has to add it.
	ErrNotMember = errs.Class("not a member")
)

const (
	// MaxCommandBytes is the largest size of a command, in bytes.
	MaxCommandBytes = 8 << 20
	// maxPendingBytes is the largest total size of uncommitted commands, in bytes. It limits the size of a record of the
	// write-ahead log and the memory of a leader that can't reach a majority.
	maxPendingBytes = 32 << 20
)

// StateMachine is the replicated state. Apply must be deterministic. All methods are called from one goroutine.
type StateMachine interface {
	// Apply executes a committed command and returns its result to the proposer.
	Apply(index uint64, command []byte) any
	// Snapshot returns the complete state as of the last applied command, encoded for Restore. After an error of class
	// wal.ErrFull it is called again later; any other one stops the replica.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state by the one that Snapshot encoded.
	Restore(data []byte) error
}

// Log is the interface of a replica that the control service uses.
type Log interface {
	// Propose appends a command to the log and returns the result of Apply once it is committed and applied on this
	// replica. It returns ErrNotLeader, ErrCommand or ErrOverloaded when nothing was proposed.
	Propose(ctx context.Context, command []byte) (any, error)
	// ReadIndex returns once the applied state contains every entry that was committed before the call.
	ReadIndex(ctx context.Context) error
	// MaxStateAge returns an upper bound on the age of the applied state, the time since the state was last known to be
	// current. It returns false when no leader is known or the state is not known to have been current.
	MaxStateAge(now time.Time) (time.Duration, bool)
	// Status returns the current status.
	Status() Status
	// LeadershipChanged returns the current leadership and a channel that is closed at its next change.
	LeadershipChanged() (Leadership, <-chan struct{})
	// TransferLeadership transfers leadership to the voter with the most advanced log. It does nothing on a follower.
	TransferLeadership(ctx context.Context) error
	// AddLearner, Promote and Remove change the membership of the replica with this id. They return ErrNotLeader on a
	// follower and ErrMembership when the current membership does not allow the change.
	AddLearner(ctx context.Context, id, address string) error
	Promote(ctx context.Context, id string) error
	Remove(ctx context.Context, id string) error
}

// Leadership describes the current leader from the point of view of this replica.
type Leadership struct {
	Term uint64
	// Leader is true when this replica is the leader and has applied every entry that earlier leaders committed.
	Leader bool
	// Since is the time at which Leader became true, with a monotonic clock reading; zero when Leader is false.
	Since time.Time
	// LeaderID and LeaderAddress are empty when no leader is known.
	LeaderID      string
	LeaderAddress string
}

// Status is the state of this replica and its view of the group.
type Status struct {
	ID string
	// Node is the node id: the replica id and the generation of the data folder, separated by a slash.
	Node        string
	Term        uint64
	CommitIndex uint64
	Applied     uint64
	LeaderID    string
	// Members is the newest committed membership.
	Members []MemberStatus
	// StalledLearners is the number of replicas that ask to join and have made no progress for two UnresponsiveTimeouts; 0 on
	// followers.
	StalledLearners int
}

// MemberStatus is the state of one member of the group.
type MemberStatus struct {
	ID string
	// Node is the node id, as in Status. While a replica rejoins with a new data folder, two members have its ID.
	Node    string
	Address string
	Voter   bool
	// MatchIndex is the last log entry that the member is known to have synced; 0 on followers.
	MatchIndex uint64
	// Active is true when the member responded within the last election timeout; false on followers.
	Active bool
}
