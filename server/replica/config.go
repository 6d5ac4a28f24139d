package replica

import (
	"log/slog"
	"time"

	"clementinetray/api/event"
	"clementinetray/server/peer"
	"clementinetray/server/wal"
)

const (
	defaultTick              = 50 * time.Millisecond
	defaultElectionTimeout   = 500 * time.Millisecond
	defaultHeartbeatInterval = 100 * time.Millisecond
	defaultCallTimeout       = 2 * time.Second
	defaultJoinInterval      = time.Second
	defaultBootstrapWait     = 1500 * time.Millisecond
	// A surplus voter that is gone must be removed before its successor has had 4 s, as two further members may be lost then. This
	// leaves time for the loss of the leader in the last moment: 1 s to elect another one, and an election timeout in which that one
	// misses the voter too.
	defaultUnresponsiveTimeout = 2 * time.Second
	defaultCompactBytes        = 8 << 20
)

// Config is the configuration of a replica. Fields with a default may be zero.
type Config struct {
	// ID is the id of the replica; it stays the same when the data folder is replaced.
	ID string
	// Address is the host:port under which the other replicas reach this one.
	Address string
	// Members maps the id of each replica, this one included, to its address.
	Members map[string]string
	// Bootstrap allows this replica to create a new group. A group is created only if all Members respond and their data
	// folders are empty, so Bootstrap may stay set after the first start.
	Bootstrap bool
	// GroupSize is the number of voters that the group maintains automatically. Replicas that are not in Members may join.
	// Voters above this number are removed when they have not responded for UnresponsiveTimeout. Default 0: only operators
	// change the membership.
	GroupSize int
	DataDir   string

	Pool         *peer.Pool
	Server       *peer.Server
	StateMachine StateMachine
	Logger       *slog.Logger
	// Recorder (of timeline events) and Clock (of event stamps) may be nil.
	Recorder event.Recorder
	Clock    *event.Clock

	// Tick is the tick interval of the raft node and the resolution of its timeouts. Default 50 ms.
	Tick time.Duration
	// ElectionTimeout is the minimum time without a leader after which a voter starts an election; the actual time is random
	// and less than twice as long. Default 500 ms.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between the heartbeats of the leader. Default 100 ms.
	HeartbeatInterval time.Duration
	// CallTimeout is the timeout of one call to another replica. Default 2 s.
	CallTimeout time.Duration
	// JoinInterval is the time between the join requests of a replica that is not a voter. Default 1 s.
	JoinInterval time.Duration
	// BootstrapWait is how long a replica with a GroupSize waits for join requests of replicas that are not in Members
	// before it creates the group. Default 1.5 s.
	BootstrapWait time.Duration
	// UnresponsiveTimeout is how long a surplus voter must be unresponsive before it is removed from a group with a GroupSize, counted
	// over changes of the leader. A learner is removed after twice that time. Default 2 s.
	UnresponsiveTimeout time.Duration
	// JoinAddresses returns further addresses to which join requests are sent. Default: none.
	JoinAddresses func() []string
	// CompactBytes is the minimum growth of the log since the last checkpoint, in bytes, after which a snapshot is written.
	// Default 8 MiB.
	CompactBytes int64
	// FS is the file system of DataDir. Default: wal.OS.
	FS wal.FS
}

func (c *Config) setDefaults() {
	setDefault(&c.Tick, defaultTick)
	setDefault(&c.ElectionTimeout, defaultElectionTimeout)
	setDefault(&c.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	setDefault(&c.JoinInterval, defaultJoinInterval)
	setDefault(&c.BootstrapWait, defaultBootstrapWait)
	setDefault(&c.UnresponsiveTimeout, defaultUnresponsiveTimeout)
	setDefault(&c.CompactBytes, defaultCompactBytes)
	if c.JoinAddresses == nil {
		c.JoinAddresses = func() []string { return nil }
	}
	if c.FS == nil {
		c.FS = wal.OS{}
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	c.Logger = c.Logger.With("replica", c.ID)
}

func setDefault[T ~int64](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}

func (c *Config) validate() error {
	switch {
	case c.ID == "" || c.Address == "" || c.DataDir == "":
		return ErrConfig.New("ID, Address and DataDir are required")
	case c.Pool == nil || c.Server == nil || c.StateMachine == nil:
		return ErrConfig.New("Pool, Server and StateMachine are required")
	case c.Bootstrap && c.GroupSize == 0 && c.Members[c.ID] == "":
		return ErrConfig.New("Members does not contain this replica %q although Bootstrap is set", c.ID)
	}
	return nil
}
