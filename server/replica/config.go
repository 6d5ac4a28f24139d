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
	defaultGatherTime        = 1500 * time.Millisecond
	defaultSilenceLimit      = 3 * time.Second
	defaultCompactBytes      = 8 << 20
)

// Config sets up a replica. Fields with a default may be zero.
type Config struct {
	// ID names the replica; it stays the same when the data folder is replaced.
	ID string
	// Address is the host:port at which the other replicas reach this one.
	Address string
	// Members maps the id of each replica, this one included, to its address.
	Members map[string]string
	// Bootstrap allows this replica to take part in the creation of a new group. A group is created only while the data
	// folders of all Members are empty and all of them answer, so the setting may stay on.
	Bootstrap bool
	// GroupSize is the number of voters that the group keeps by itself: replicas that Members does not hold may join, and
	// voters beyond that number leave once they have been silent for SilenceLimit. Default 0: operators decide.
	GroupSize int
	DataDir   string

	Pool         *peer.Pool
	Server       *peer.Server
	StateMachine StateMachine
	Logger       *slog.Logger
	// Recorder and Clock may be nil.
	Recorder event.Recorder
	Clock    *event.Clock

	// Tick is the resolution of the timeouts below. Default 50 ms.
	Tick time.Duration
	// ElectionTimeout is the smallest time without a leader after which a voter campaigns; the largest is twice that.
	// Default 500 ms.
	ElectionTimeout time.Duration
	// HeartbeatInterval defaults to 100 ms.
	HeartbeatInterval time.Duration
	// CallTimeout bounds one call to another replica. Default 2 s.
	CallTimeout time.Duration
	// JoinInterval is the pause between the requests of a replica that is not a voter yet. Default 1 s.
	JoinInterval time.Duration
	// GatherTime is how long the replica that creates a group with a GroupSize waits for replicas that Members does not hold.
	// Default 1.5 s.
	GatherTime time.Duration
	// SilenceLimit is how long a voter must be silent before a replica that joined takes its place. Default 3 s.
	SilenceLimit time.Duration
	// Peers returns further addresses of replicas to ask for admission. Default: none.
	Peers func() []string
	// CompactBytes is the growth of the log after which a snapshot is written. Default 8 MiB.
	CompactBytes int64
	// FS defaults to the file system of the machine.
	FS wal.FS
}

func (c *Config) setDefaults() {
	setDefault(&c.Tick, defaultTick)
	setDefault(&c.ElectionTimeout, defaultElectionTimeout)
	setDefault(&c.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	setDefault(&c.JoinInterval, defaultJoinInterval)
	setDefault(&c.GatherTime, defaultGatherTime)
	setDefault(&c.SilenceLimit, defaultSilenceLimit)
	setDefault(&c.CompactBytes, defaultCompactBytes)
	if c.Peers == nil {
		c.Peers = func() []string { return nil }
	}
	if c.FS == nil {
		c.FS = wal.OS{}
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	c.Logger = c.Logger.With("replica", c.ID)
}

func setDefault[T ~int64](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

func (c *Config) validate() error {
	switch {
	case c.ID == "" || c.Address == "" || c.DataDir == "":
		return ErrConfig.New("ID, Address and DataDir are required")
	case c.Pool == nil || c.Server == nil || c.StateMachine == nil:
		return ErrConfig.New("Pool, Server and StateMachine are required")
	case c.Bootstrap && c.GroupSize == 0 && c.Members[c.ID] == "":
		return ErrConfig.New("Members does not hold this replica %q, which is to take part in the bootstrap", c.ID)
	}
	return nil
}
