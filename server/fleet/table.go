package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/server/blackboard"
)

// Table is the fleet table of a control replica. On the leader it records announcements and heartbeats; on followers it is
// a copy of the leader's table. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex // guards all fields

	epoch   string
	version uint64
	// isCopy is set while the table is a copy of another replica's. Rows then expire at that replica.
	isCopy        bool
	lastRowNumber uint32
	rows          map[string]*row
	tombstones    []tombstone
	// trimmedVersion is the oldest version whose later removals all have tombstones. Readers of an older version receive the
	// whole table.
	trimmedVersion uint64

	members        map[string]*member
	membersVersion uint64
	// leftMembers and trimmedMembersVersion are for entry instances what tombstones and trimmedVersion are for rows.
	leftMembers           []tombstone
	trimmedMembersVersion uint64
	// departures keeps late announcements of starts without a row out of service.
	departures departures
	// partRows is the largest number of rows in one part of a delta. fullParts holds the parts of the whole table that were made last.
	partRows  int
	fullParts partCache

	// nextExpiry is at or before the first expiry of a row or member, so that most calls need not check them.
	nextExpiry time.Time
	// nextSilence is at or before the next time at which a row becomes silent.
	nextSilence time.Time
	// snapshot is the last result of Snapshot. nonLoadVersion is the version of the last change other than of loads.
	snapshot       *blackboard.Fleet
	nonLoadVersion uint64
}

// row is the entry of a backend server.
type row struct {
	server     control.BackendServer
	reportedAt time.Time
	// silenceStart is the time of the last announcement, or the start of this leader's epoch if that is later.
	silenceStart time.Time
	expiresAt    time.Time
	// prefixesReplacedAt is when the prefix hashes were last replaced.
	prefixesReplacedAt time.Time
	// saysLeavingAt is when an entry instance reported that the backend server says that it leaves; zero if none has.
	saysLeavingAt time.Time
	// brittleSeenAt is the time of the newest answer that a BrittleReport was about; zero if there is none for this boot.
	brittleSeenAt time.Time
	// minSequence is the sequence of the last recorded change of this start; announcements before it are late.
	minSequence int64
	pastBoots   []string
	// Table versions of the last change of the row, of its load and of its prefix hashes.
	changedIn, loadIn, hashesIn uint64
}

// tombstone records a removed row or member, so that the removal is sent to readers of an older version.
type tombstone struct {
	id      string
	version uint64
}

type member struct {
	control.Member
	expiresAt time.Time
	// changedIn is the table version of the last change.
	changedIn uint64
}

// NewTable returns an empty table without an epoch.
func NewTable() *Table {
	return &Table{rows: map[string]*row{}, departures: departures{}, members: map[string]*member{}, partRows: maxPartRows}
}

// epochPrefix is the prefix of the epochs that Epoch returns.
const epochPrefix = "term-"

// Epoch returns the epoch of a leader's term. These epochs are ordered, so that entry instances do not return to the table
// of an earlier leader.
func Epoch(term uint64) string { return fmt.Sprintf("%s%020d", epochPrefix, term) }

// isEarlierEpoch reports whether a is earlier than b. It returns false unless Epoch returned both.
func isEarlierEpoch(a, b string) bool {
	return strings.HasPrefix(a, epochPrefix) && strings.HasPrefix(b, epochPrefix) && len(a) == len(b) && a < b
}

// Reset starts the epoch of a new leader. Rows copied from the last leader stay for another AnnouncementTTL.
func (t *Table) Reset(now time.Time, epoch string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.epoch, t.isCopy = epoch, false
	t.version++
	t.trimmedVersion, t.tombstones = t.version, nil
	t.trimmedMembersVersion, t.leftMembers = t.version, nil
	t.membersVersion, t.nonLoadVersion = t.version, t.version
	t.nextExpiry, t.nextSilence = now.Add(MemberTTL), now
	for _, r := range t.rows {
		r.expiresAt, r.silenceStart = now.Add(AnnouncementTTL), now
		if r.server.BrittleLimit > 0 {
			// Copied rows have no time of their last report.
			r.brittleSeenAt = now
		}
		t.markRow(r)
	}
	for _, m := range t.members {
		m.expiresAt = now.Add(MemberTTL)
	}
}

// Announce records the announcement of a backend server. A server that is new or has a new boot number is cold until
// SetPhase sets another phase; one that announces its cold time is in service at once. Errors are of the classes
// ErrInvalidAnnouncement, ErrStaleBoot and ErrTableFull.
func (t *Table) Announce(now time.Time, a control.Announcement) error {
	if err := validate(now, a); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	if replacedBy := t.removeEarlierAtAddress(now, a); replacedBy != "" {
		return ErrStaleBoot.New("server=%s boot=%s address=%s now belongs to %s", a.ID, a.Boot, a.Address, replacedBy)
	}
	r := t.rows[a.ID]
	left, hasLeft := t.departures.find(now, a.ID)
	switch {
	case r != nil && isLate(r, &a):
		return ErrStaleBoot.New("server=%s boot=%s sequence=%d current=%s/%d", a.ID, a.Boot, a.Sequence, r.server.Boot, r.server.Sequence)
	case r == nil && hasLeft && left.isLate(&a):
		return ErrStaleBoot.New("server=%s boot=%s sequence=%d left=%s/%d", a.ID, a.Boot, a.Sequence, left.boot, left.sequence)
	case r == nil && len(t.rows) >= maxServers:
		return ErrTableFull.New("server=%s limit=%d", a.ID, maxServers)
	case r == nil:
		r = t.insertRow(now, a)
	case r.server.Boot == a.Boot:
	case slices.Contains(r.pastBoots, a.Boot):
		return ErrStaleBoot.New("server=%s boot=%s current=%s", a.ID, a.Boot, r.server.Boot)
	default:
		t.startAgain(r, a)
	}
	if hasLeft && left.deregistered && left.isOf(&a) {
		r.server.Deregistered = true
	}
	t.applyAnnouncement(now, r, a)
	return nil
}

// startAgain prepares a row for the announcement of another start of its server.
func (t *Table) startAgain(r *row, a control.Announcement) {
	r.pastBoots = append(r.pastBoots, r.server.Boot)
	r.pastBoots = r.pastBoots[max(0, len(r.pastBoots)-maxPastBoots):]
	markCold(r, a)
}

// isLate reports whether the announcement is older than the current one, or the same. An unknown start, which is 0, does not replace a
// known one.
func isLate(r *row, a *control.Announcement) bool {
	if a.Started != r.server.Started {
		return a.Started < r.server.Started
	}
	return a.Sequence > 0 && (a.Sequence <= r.server.Sequence || a.Sequence < r.minSequence)
}

// removeEarlierAtAddress removes the other backend servers at the announced address that started before this one: they no
// longer run. It returns the id of a server at the address that started later, or "".
func (t *Table) removeEarlierAtAddress(now time.Time, a control.Announcement) string {
	if a.Started == 0 {
		return ""
	}
	for id, r := range t.rows {
		switch {
		case id == a.ID || r.server.Address != a.Address || r.server.Started == 0:
		case r.server.Started > a.Started:
			return id
		default:
			t.removeRow(now, id)
		}
	}
	return ""
}

// MarkLeaving marks a backend server as leaving until it starts again. It ignores a message about another start.
func (t *Table) MarkLeaving(now time.Time, l control.Leave) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	r := t.rows[l.ID]
	if l.Started > 0 && (r == nil || l.Started > r.server.Started) {
		if len(l.ID) > maxTextBytes || l.Started > now.Add(maxStartAhead).UnixMilli() {
			return
		}
		if r != nil {
			// The start of the row has ended, as this one came after it.
			t.removeRow(now, l.ID)
		}
		t.departures.store(now, l.ID, departure{started: l.Started, deregistered: true})
		return
	}
	if r == nil || l.Started > 0 && l.Started != r.server.Started {
		return
	}
	t.markDeregistered(r)
}

func (t *Table) markDeregistered(r *row) {
	r.server.Deregistered, r.server.Leaving, r.server.Phase, r.server.Reason = true, true, control.PhaseLeaving, "deregistered"
	t.version++
	r.changedIn, t.nonLoadVersion = t.version, t.version
}

// MarkSaysLeaving marks a boot of a backend server as leaving, because it said so in an answer to an entry instance. Announcements
// that it may have sent before that don't change it, later ones do.
func (t *Table) MarkSaysLeaving(now time.Time, id, boot string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	r := t.rows[id]
	if r == nil || r.server.Boot != boot || r.server.Leaving {
		return
	}
	r.saysLeavingAt = now
	r.server.Leaving, r.server.Reason = true, "says in its answers that it leaves"
	if r.server.StatesCold {
		r.server.Phase = control.PhaseLeaving
	}
	t.version++
	r.changedIn, t.nonLoadVersion = t.version, t.version
}

// MarkBrittle records what a boot of a backend server said of being brittle to an entry instance. A report about an older answer than
// the last one changes nothing.
func (t *Table) MarkBrittle(now time.Time, report control.BrittleReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	r, seenAt := t.rows[report.BackendServer], now.Add(-max(report.Age, 0))
	if r == nil || r.server.Boot != report.Boot || report.Limit < 0 || report.Limit > control.MaxBrittleLimit ||
		seenAt.Before(r.brittleSeenAt) || now.Sub(seenAt) >= BrittleTTL {
		return
	}
	r.brittleSeenAt = seenAt
	if report.Limit > 0 {
		t.scheduleExpiry(seenAt.Add(BrittleTTL))
	}
	t.setBrittle(r, report.Limit)
}

func (t *Table) setBrittle(r *row, limit int) {
	if r.server.BrittleLimit == limit {
		return
	}
	r.server.BrittleLimit = limit
	t.version++
	r.changedIn, t.nonLoadVersion = t.version, t.version
}

func validate(now time.Time, a control.Announcement) error {
	for field, text := range map[string]string{"id": a.ID, "address": a.Address, "boot": a.Boot} {
		if text == "" || len(text) > maxTextBytes {
			return ErrInvalidAnnouncement.New("server=%.64q field=%s length=%d", a.ID, field, len(text))
		}
	}
	switch {
	case a.Capacity < 1 || a.ColdCapacity < 0 || a.Running < 0 || a.Queued < 0,
		max(a.Capacity, a.ColdCapacity, a.Running, a.Queued) > maxCount:
		return ErrInvalidAnnouncement.New("server=%q capacity=%d cold_capacity=%d running=%d queued=%d",
			a.ID, a.Capacity, a.ColdCapacity, a.Running, a.Queued)
	case a.ColdMillis < 0 || a.ColdMillis > maxCold.Milliseconds() || a.Sequence < 0 || a.Started < 0 || a.Started > now.Add(maxStartAhead).UnixMilli():
		return ErrInvalidAnnouncement.New("server=%q cold_millis=%d sequence=%d started=%d", a.ID, a.ColdMillis, a.Sequence, a.Started)
	case len(a.SoftwareVersion) > maxTextBytes:
		return ErrInvalidAnnouncement.New("server=%q software_version=%.64q", a.ID, a.SoftwareVersion)
	case len(a.Versions) > maxVersions || len(a.AvailabilityZone)+len(a.Region)+len(a.Service) > maxTextBytes:
		return ErrInvalidAnnouncement.New("server=%q versions=%d", a.ID, len(a.Versions))
	}
	for _, v := range a.Versions {
		if v.Model == "" || v.Version == "" || len(v.Model)+len(v.Version) > maxTextBytes {
			return ErrInvalidAnnouncement.New("server=%q version=%.64q", a.ID, v.String())
		}
	}
	return nil
}

func (t *Table) insertRow(now time.Time, a control.Announcement) *row {
	t.lastRowNumber++
	t.scheduleExpiry(now.Add(AnnouncementTTL))
	r := &row{server: control.BackendServer{Number: t.lastRowNumber}}
	markCold(r, a)
	t.rows[a.ID] = r
	return r
}

func markCold(r *row, a control.Announcement) {
	r.server.Phase, r.server.Limit, r.server.Reason = control.PhaseCold, ColdLimit(a), "new boot number"
	r.prefixesReplacedAt, r.saysLeavingAt, r.server.Deregistered, r.minSequence = time.Time{}, time.Time{}, false, 0
	r.brittleSeenAt, r.server.BrittleLimit = time.Time{}, 0
}

// ColdLimit returns the number of concurrent requests that a backend server may have right after its start.
func ColdLimit(a control.Announcement) int { return min(max(a.ColdCapacity, 1), a.Capacity) }

func (t *Table) applyAnnouncement(now time.Time, r *row, a control.Announcement) {
	a.Leaving = a.Leaving || r.server.Deregistered || !r.saysLeavingAt.IsZero() && now.Sub(r.saysLeavingAt) < lateAnnouncementTime
	old, oldReason := r.server.Announcement, r.server.Reason
	prefixes := t.acceptPrefixes(now, r, a)
	same := sameIdentity(old, a) && !r.server.Silent
	r.server.Announcement, r.server.Silent = a, false
	r.server.PrefixHashes = prefixes
	r.server.ReportedAt = now
	if a.StatesCold {
		// No ramp is needed: the announcements include the time for which the backend server is still cold.
		r.server.Phase, r.server.Limit, r.server.Reason = control.PhaseInService, 0, "states its cold time"
		if a.Leaving {
			r.server.Phase, r.server.Reason = control.PhaseLeaving, "announced that it leaves"
			if old.Leaving {
				r.server.Reason = oldReason
			}
		}
	}
	r.reportedAt, r.silenceStart, r.expiresAt = now, now, now.Add(AnnouncementTTL)
	loadChanged := !a.StatesCold || a.ColdMillis > 0 || a.Running != old.Running || a.Queued != old.Queued
	prefixesChanged := !slices.Equal(old.PrefixHashes, prefixes)
	if same && !loadChanged && !prefixesChanged {
		// Readers need not be told: each of thousands of backend servers announces itself about once a second.
		return
	}
	t.version++
	if loadChanged {
		r.loadIn = t.version
	}
	if prefixesChanged {
		r.hashesIn = t.version
	}
	if !same {
		r.changedIn, t.nonLoadVersion = t.version, t.version
	}
}

// acceptPrefixes returns the prefix hashes to keep for the row. Each server may replace them once per interval. The
// interval grows with the fleet, so that all servers together stay within prefixHashesPerSecond.
func (t *Table) acceptPrefixes(now time.Time, r *row, a control.Announcement) []uint64 {
	interval := time.Duration(len(t.rows)) * time.Second * MaxPrefixHashes / prefixHashesPerSecond
	if now.Sub(r.prefixesReplacedAt) < interval {
		return r.server.PrefixHashes
	}
	r.prefixesReplacedAt = now
	return slices.Clone(a.PrefixHashes[:min(len(a.PrefixHashes), MaxPrefixHashes)])
}

// sameIdentity compares everything except load, sequence and prefix hashes.
func sameIdentity(a, b control.Announcement) bool {
	return a.Boot == b.Boot && a.Address == b.Address && a.AvailabilityZone == b.AvailabilityZone &&
		a.Region == b.Region && a.Service == b.Service && a.Capacity == b.Capacity &&
		a.SoftwareVersion == b.SoftwareVersion && a.Started == b.Started && a.StatesCold == b.StatesCold && a.ColdMillis == b.ColdMillis &&
		a.ColdCapacity == b.ColdCapacity && a.Leaving == b.Leaving && a.Fencing == b.Fencing &&
		slices.Equal(a.Versions, b.Versions)
}

// Heartbeat records that an entry instance is alive, or removes it at once if it is leaving.
func (t *Table) Heartbeat(now time.Time, m control.Member, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	old := t.members[m.Instance]
	if leaving {
		// A late message of an earlier boot must not remove the instance that replaced it.
		if old != nil && old.Boot == m.Boot {
			t.removeMember(m.Instance)
		}
		return
	}
	if old == nil || old.Member != m {
		t.markMembersChanged()
		t.members[m.Instance] = &member{Member: m, changedIn: t.version}
		t.scheduleExpiry(now.Add(MemberTTL))
	}
	t.members[m.Instance].expiresAt = now.Add(MemberTTL)
}

func (t *Table) removeMember(instance string) {
	delete(t.members, instance)
	t.markMembersChanged()
	t.leftMembers = append(t.leftMembers, tombstone{id: instance, version: t.version})
	if len(t.leftMembers) > maxTombstones {
		t.trimmedMembersVersion = t.leftMembers[0].version
		t.leftMembers = slices.Delete(t.leftMembers, 0, 1)
	}
}

func (t *Table) markMembersChanged() {
	t.version++
	t.membersVersion, t.nonLoadVersion = t.version, t.version
}

// SetPhase sets the phase of a backend server, its request limit and the reason; PhaseGone removes the row. It does nothing
// if the server has announced another boot.
func (t *Table) SetPhase(now time.Time, id, boot string, phase control.Phase, limit int, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[id]
	if r == nil || r.server.Boot != boot {
		return
	}
	if phase == control.PhaseGone {
		t.removeRow(now, id)
		return
	}
	if r.server.Phase == phase && r.server.Limit == limit && r.server.Reason == reason {
		return
	}
	r.server.Phase, r.server.Limit, r.server.Reason = phase, limit, reason
	t.version++
	r.changedIn, t.nonLoadVersion = t.version, t.version
}

// markRow marks the row, its load and its prefix hashes as changed in the current table version.
func (t *Table) markRow(r *row) { r.changedIn, r.loadIn, r.hashesIn = t.version, t.version, t.version }

func (t *Table) removeRow(now time.Time, id string) {
	t.departures.store(now, id, departureOf(t.rows[id]))
	delete(t.rows, id)
	t.version++
	t.nonLoadVersion = t.version
	t.addTombstone(id)
}

func (t *Table) addTombstone(id string) {
	t.tombstones = append(t.tombstones, tombstone{id: id, version: t.version})
	if len(t.tombstones) > maxTombstones {
		t.trimmedVersion = t.tombstones[0].version
		t.tombstones = slices.Delete(t.tombstones, 0, 1)
	}
}

// removeExpired removes backend servers and entry instances whose last message is too old. It does nothing on a
// follower, because rows expire at the leader.
func (t *Table) removeExpired(now time.Time) {
	if t.isCopy || now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = now.Add(MemberTTL)
	for id, r := range t.rows {
		if !now.Before(r.expiresAt) {
			t.removeRow(now, id)
			continue
		}
		t.scheduleExpiry(r.expiresAt)
		if r.server.BrittleLimit == 0 {
			continue
		}
		if end := r.brittleSeenAt.Add(BrittleTTL); now.Before(end) {
			t.scheduleExpiry(end)
		} else {
			t.setBrittle(r, 0)
		}
	}
	for instance, m := range t.members {
		if !now.Before(m.expiresAt) {
			t.removeMember(instance)
			continue
		}
		t.scheduleExpiry(m.expiresAt)
	}
}

func (t *Table) scheduleExpiry(at time.Time) {
	if at.Before(t.nextExpiry) {
		t.nextExpiry = at
	}
}

// Delta returns the changes since a version of the current epoch. It returns the whole table if epoch is another one or the
// tombstones no longer cover the version.
func (t *Table) Delta(now time.Time, epoch string, version uint64) control.FleetDelta {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.delta(now, epoch, version)
}

func (t *Table) delta(now time.Time, epoch string, version uint64) control.FleetDelta {
	t.removeExpired(now)
	t.markSilent(now)
	d := control.FleetDelta{Epoch: t.epoch, Version: t.version}
	if epoch == t.epoch && version == t.version {
		// Most readers ask for changes often and have the current version. They must not cost a scan of the table.
		return d
	}
	if t.needsWhole(epoch, version) {
		d.Full, version = true, 0
	}
	for _, r := range t.rows {
		switch {
		case d.Full || r.changedIn > version:
			d.Changed = append(d.Changed, r.serverAt(now))
		case r.loadIn > version:
			d.Loads = append(d.Loads, r.loadReport(now, version))
		}
	}
	if !d.Full {
		for _, removal := range t.tombstones {
			if removal.version > version && t.rows[removal.id] == nil {
				d.Removed = append(d.Removed, removal.id)
			}
		}
	}
	if d.Full || t.membersVersion > version {
		d.Members, d.MembersChanged = t.sortedMembers(), true
	}
	return d
}

// markSilent marks the backend servers that announce their cold time and whose last announcement is SilentAfter old.
// It does nothing on a follower, because the leader marks them.
func (t *Table) markSilent(now time.Time) {
	if t.isCopy || now.Before(t.nextSilence) {
		return
	}
	t.nextSilence = now.Add(SilentAfter)
	for _, r := range t.rows {
		if !r.server.StatesCold || r.server.Silent {
			continue
		}
		if silentAt := r.silenceStart.Add(SilentAfter); now.Before(silentAt) {
			if silentAt.Before(t.nextSilence) {
				t.nextSilence = silentAt
			}
			continue
		}
		r.server.Silent = true
		t.version++
		r.changedIn, t.nonLoadVersion = t.version, t.version
	}
}

func (r *row) serverAt(now time.Time) control.BackendServer {
	s := r.server
	s.LoadAge = now.Sub(r.reportedAt)
	return s
}

func (r *row) loadReport(now time.Time, version uint64) control.LoadReport {
	l := control.LoadReport{
		Number:    r.server.Number,
		Running:   r.server.Running,
		Queued:    r.server.Queued,
		AgeMillis: now.Sub(r.reportedAt).Milliseconds(),
	}
	if r.hashesIn > version {
		l.PrefixesChanged, l.PrefixHashes = true, r.server.PrefixHashes
	}
	return l
}

func (t *Table) sortedMembers() []control.Member {
	out := make([]control.Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b control.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// LoadDelta merges the leader's delta into a follower's table. It ignores a delta that is older than the table, and a
// partial one of another epoch.
func (t *Table) LoadDelta(now time.Time, d control.FleetDelta) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !d.Full && d.Epoch != t.epoch || d.Epoch == t.epoch && d.Version < t.version || isEarlierEpoch(d.Epoch, t.epoch) {
		return
	}
	t.isCopy = true
	t.epoch, t.version = d.Epoch, d.Version
	t.nonLoadVersion = t.version
	if d.Full {
		t.removeUnlisted(d)
	}
	for _, s := range d.Changed {
		t.copyRow(now, s)
	}
	if len(d.Loads) > 0 {
		t.applyLoads(now, d.Loads)
	}
	for _, id := range d.Removed {
		delete(t.rows, id)
		t.addTombstone(id)
	}
	if d.MembersChanged {
		t.replaceMembers(now, d.Members)
	}
}

func (t *Table) removeUnlisted(d control.FleetDelta) {
	t.trimmedVersion, t.tombstones = d.Version, nil
	listed := make(map[string]bool, len(d.Changed))
	for i := range d.Changed {
		listed[d.Changed[i].ID] = true
	}
	for id := range t.rows {
		if !listed[id] {
			delete(t.rows, id)
		}
	}
}

func (t *Table) copyRow(now time.Time, s control.BackendServer) {
	r := t.rows[s.ID]
	if r == nil {
		r = &row{}
		t.rows[s.ID] = r
	}
	r.server, r.reportedAt = s, now.Add(-s.LoadAge)
	t.lastRowNumber = max(t.lastRowNumber, s.Number)
	t.markRow(r)
}

func (t *Table) applyLoads(now time.Time, loads []control.LoadReport) {
	byNumber := make(map[uint32]*row, len(t.rows))
	for _, r := range t.rows {
		byNumber[r.server.Number] = r
	}
	for _, l := range loads {
		r := byNumber[l.Number]
		if r == nil {
			continue
		}
		r.reportedAt = now.Add(-time.Duration(l.AgeMillis) * time.Millisecond)
		r.loadIn = t.version
		if l.PrefixesChanged {
			r.hashesIn = t.version
		}
		applyLoad(&r.server, l)
	}
}

func applyLoad(s *control.BackendServer, l control.LoadReport) {
	s.Running, s.Queued = l.Running, l.Queued
	s.LoadAge = time.Duration(l.AgeMillis) * time.Millisecond
	if l.PrefixesChanged {
		s.PrefixHashes = l.PrefixHashes
	}
}

func (t *Table) replaceMembers(now time.Time, members []control.Member) {
	old := t.members
	t.members = make(map[string]*member, len(members))
	for _, m := range members {
		copied := &member{Member: m, expiresAt: now.Add(MemberTTL), changedIn: t.version}
		if known := old[m.Instance]; known != nil && known.Member == m {
			copied.changedIn = known.changedIn
		}
		t.members[m.Instance] = copied
	}
	for instance := range old {
		if t.members[instance] == nil {
			t.leftMembers = append(t.leftMembers, tombstone{id: instance, version: t.version})
		}
	}
	if excess := len(t.leftMembers) - maxTombstones; excess > 0 {
		t.trimmedMembersVersion = t.leftMembers[excess-1].version
		t.leftMembers = slices.Delete(t.leftMembers, 0, excess)
	}
	t.membersVersion = t.version
}

// Snapshot returns the whole table. It reuses the last result for up to 50 ms if only loads have changed, because
// controllers call it often and copying a large table is expensive. ReceivedAt is the time of the copy, to which LoadAge
// refers.
func (t *Table) Snapshot(now time.Time) *blackboard.Fleet {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	if f := t.snapshot; f != nil && f.Epoch == t.epoch && f.Version >= t.nonLoadVersion {
		if age := now.Sub(f.ReceivedAt); age >= 0 && age < maxSnapshotAge {
			return f
		}
	}
	t.snapshot = ApplyDelta(nil, t.delta(now, "", 0), now)
	return t.snapshot
}

// Server returns the row of a backend server as of now, without a copy of the table.
func (t *Table) Server(now time.Time, id string) (control.BackendServer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	r := t.rows[id]
	if r == nil {
		return control.BackendServer{}, false
	}
	return r.serverAt(now), true
}
