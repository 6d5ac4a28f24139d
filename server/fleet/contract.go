// Package fleet holds the control leader's table of backend servers and entry instances. Changes have versions, so that
// other instances receive only what changed.
package fleet

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("fleet")

var (
	// ErrInvalidAnnouncement means that an announcement with a missing, invalid or too large field was ignored.
	ErrInvalidAnnouncement = errs.Class("invalid announcement")
	// ErrStaleBoot means that an announcement was ignored because a later one or a later start is already in the table.
	ErrStaleBoot = errs.Class("stale boot")
	// ErrUnpack means that the packed rows of a delta can't be decoded.
	ErrUnpack = errs.Class("packed fleet delta")
	// ErrTableFull means that the table holds the maximum number of backend servers.
	ErrTableFull = errs.Class("fleet table full")
)

const (
	// AnnouncementTTL is how long a backend server stays in the table without an announcement.
	AnnouncementTTL = 8 * time.Second
	// DepartureTTL is how long a start is kept that has no row any more, or deregistered before it had one. It is longer than any
	// announcement was seen to be late: those that a partition holds up are late by its length and some seconds.
	DepartureTTL = 90 * time.Second
	// SilentAfter is the age of the last announcement at which a backend server counts as silent. A server that announces
	// itself about once a second has then missed three announcements.
	SilentAfter = 4 * time.Second
	// BrittleTTL is how long a backend server counts as brittle after the last answer that says so. Each entry instance that gets such
	// answers repeats its report every few seconds, so that a few lost heartbeats and a change of leaders don't end it.
	BrittleTTL = 10 * time.Second
	// MemberTTL is how long an entry instance stays in the table without a heartbeat.
	MemberTTL = 5 * time.Second

	// maxSnapshotAge is the maximum age of the loads in a snapshot.
	maxSnapshotAge = 50 * time.Millisecond

	// maxServers limits the memory of the table to about 10 MB. It is 20 times the largest fleet of the design.
	maxServers = 12_000
	// maxDepartures limits the memory for starts without a row to about 0.5 MB. 600 servers that restart each minute under new ids need
	// 900. It leaves two thirds of controlstate.MaxServers to the rows.
	maxDepartures = 4000
	// maxTombstones limits the memory for removed rows. A reader that missed more removals receives the whole table.
	maxTombstones = 1024
	// maxCount limits the capacities and loads in an announcement, maxCold the time for which a backend server stays cold, and
	// maxStartAhead how far its start may lie in the future by this process's clock. Larger values come from another program
	// or a faulty one. A start in the far future would keep the backend server's own announcements out for good.
	maxCount      = 1_000_000
	maxCold       = time.Hour
	maxStartAhead = time.Hour
	// maxVersions and maxTextBytes limit the size of an announcement.
	maxVersions  = 64
	maxTextBytes = 256
	// lateAnnouncementTime is how late an announcement may arrive after it was sent. Backend servers announce themselves about
	// once a second.
	lateAnnouncementTime = 2 * time.Second
	// maxPastBoots is the number of earlier boots of a server whose late announcements are recognised.
	maxPastBoots = 4

	// MaxPrefixHashes is the number of prefix hashes kept for a backend server: the newest ones, which its announcement
	// lists first.
	MaxPrefixHashes = 32
	// prefixHashesPerSecond limits the prefix hashes that all backend servers together change in the table, because each
	// one is sent to each entry instance: about 6 KB/s of the 16 KB/s that control traffic may use.
	prefixHashesPerSecond = 600
)
