// Package fleet holds the table of backend servers and entry instances at the control leader, with versions so that
// others receive only what changed.
package fleet

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("fleet")

var (
	// ErrInvalidAnnouncement means that an announcement lacks a field or is too large; it changed nothing.
	ErrInvalidAnnouncement = errs.Class("invalid announcement")
	// ErrStaleBoot means that an announcement of an earlier start of the backend server arrived late; it changed nothing.
	ErrStaleBoot = errs.Class("stale boot")
	// ErrPacked means that the packed rows of a delta can't be read.
	ErrPacked = errs.Class("packed fleet delta")
	// ErrTableFull means that the table has no room for another backend server.
	ErrTableFull = errs.Class("fleet table full")
)

const (
	// AnnouncementTTL is how long a backend server stays in the table without an announcement.
	AnnouncementTTL = 8 * time.Second
	// SilentAfter is the age of the last announcement from which on a backend server is doubted: three announcements are
	// missing then where it sends one about each second.
	SilentAfter = 4 * time.Second
	// MemberTTL is how long an entry instance stays in the table without a heartbeat.
	MemberTTL = 5 * time.Second

	// snapshotAge is how old the loads of a snapshot may be.
	snapshotAge = 50 * time.Millisecond

	// maxServers bounds the memory of the table to about 10 MB; it is 20 times the largest fleet of the design.
	maxServers = 12_000
	// maxTombstones bounds the memory for removed rows. A reader that missed more of them receives the whole table.
	maxTombstones = 1024
	// maxVersions and maxText bound one announcement.
	maxVersions = 64
	maxText     = 256
	// rememberedBoots is the number of earlier boots of a server whose late announcements are recognised.
	rememberedBoots = 4

	// MaxPrefixHashes is the number of cached prefixes that are kept for one backend server, the newest ones.
	MaxPrefixHashes = 32
	// prefixHashesPerSecond bounds the prefix hashes that all backend servers together may change in the table, as each
	// one travels to each entry instance: about 6 KB/s of the 16 KB/s that control may use.
	prefixHashesPerSecond = 600
)
