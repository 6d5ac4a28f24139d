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

// Table is the fleet table of a control replica. On the leader it takes announcements and heartbeats; on followers it
// copies the leader's table. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex // guards all fields

	epoch   string
	version uint64
	// copied is true while the table follows another replica; rows then expire there and not here.
	copied     bool
	lastNumber uint32
	rows       map[string]*row
	removed    []tombstone
	// forgotten is the version of the newest change that tombstones no longer cover.
	forgotten uint64

	members        map[string]*member
	membersVersion uint64

	// nextExpiry is no later than the first expiry of a row or member, so that most calls need not look at them.
	nextExpiry time.Time
	// snapshot is the last result of Snapshot; settled is the version of the last change that was more than load.
	snapshot *blackboard.Fleet
	settled  uint64
}

type row struct {
	server   control.BackendServer
	reported time.Time
	// heard is the time of the last announcement, or the start of this leader's epoch, which knows of no earlier one.
	heard     time.Time
	expires   time.Time
	prefixAt  time.Time
	pastBoots []string
	// changed, load and prefixes are the table versions of the last change of the row, its load and its prefixes.
	changed, load, prefixes uint64
}

type tombstone struct {
	id      string
	version uint64
}

type member struct {
	control.Member
	expires time.Time
}

// NewTable returns an empty table without an epoch.
func NewTable() *Table {
	return &Table{rows: map[string]*row{}, members: map[string]*member{}}
}

// epochPrefix starts the epochs that Epoch returns.
const epochPrefix = "term-"

// Epoch returns the epoch of a leader's term. Epochs of this form are ordered, so that entry instances do not go back to
// the table of an earlier leader.
func Epoch(term uint64) string { return fmt.Sprintf("%s%020d", epochPrefix, term) }

// olderEpoch reports whether a is known to precede b.
func olderEpoch(a, b string) bool {
	return strings.HasPrefix(a, epochPrefix) && strings.HasPrefix(b, epochPrefix) && len(a) == len(b) && a < b
}

// Reset starts a new epoch. Rows copied from the last leader stay for a further AnnouncementTTL.
func (t *Table) Reset(now time.Time, epoch string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.epoch, t.copied = epoch, false
	t.version++
	t.forgotten, t.removed = t.version, nil
	t.membersVersion, t.settled = t.version, t.version
	t.nextExpiry = now.Add(MemberTTL)
	for _, r := range t.rows {
		r.expires, r.heard = now.Add(AnnouncementTTL), now
		t.touch(r)
	}
	for _, m := range t.members {
		m.expires = now.Add(MemberTTL)
	}
}

// Announce records what a backend server says of itself. A server that is new or has a new boot number is cold until
// SetPhase says otherwise.
func (t *Table) Announce(now time.Time, a control.Announcement) error {
	if err := check(a); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if earlier := t.atAddress(a); earlier != "" {
		return ErrStaleBoot.New("server=%s boot=%s address=%s now belongs to %s", a.ID, a.Boot, a.Address, earlier)
	}
	r := t.rows[a.ID]
	switch {
	case r != nil && late(&r.server, &a):
		return ErrStaleBoot.New("server=%s boot=%s sequence=%d current=%s/%d", a.ID, a.Boot, a.Sequence, r.server.Boot, r.server.Sequence)
	case r == nil && len(t.rows) >= maxServers:
		return ErrTableFull.New("server=%s limit=%d", a.ID, maxServers)
	case r == nil:
		r = t.insert(now, a)
	case r.server.Boot == a.Boot:
	case slices.Contains(r.pastBoots, a.Boot):
		return ErrStaleBoot.New("server=%s boot=%s current=%s", a.ID, a.Boot, r.server.Boot)
	default:
		r.pastBoots = append(r.pastBoots, r.server.Boot)
		r.pastBoots = r.pastBoots[max(0, len(r.pastBoots)-rememberedBoots):]
		restart(r, a)
	}
	t.update(now, r, a)
	return nil
}

// late reports whether the announcement was sent before one that the row holds.
func late(current *control.BackendServer, a *control.Announcement) bool {
	if a.Started != current.Started {
		return a.Started > 0 && a.Started < current.Started
	}
	return a.Sequence > 0 && a.Sequence <= current.Sequence
}

// atAddress makes room for a backend server at an address that others held: those that started before it are gone. It
// returns the id of one that started later.
func (t *Table) atAddress(a control.Announcement) string {
	if a.Started == 0 {
		return ""
	}
	for id, r := range t.rows {
		switch {
		case id == a.ID || r.server.Address != a.Address || r.server.Started == 0:
		case r.server.Started > a.Started:
			return id
		default:
			t.remove(id)
		}
	}
	return ""
}

// Leave marks one boot of a backend server as leaving for good.
func (t *Table) Leave(now time.Time, l control.Leave) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	r := t.rows[l.ID]
	if r == nil || l.Started > 0 && l.Started != r.server.Started {
		return
	}
	r.server.Deregistered, r.server.Leaving, r.server.Phase, r.server.Reason = true, true, control.PhaseLeaving, "deregistered"
	t.version++
	r.changed, t.settled = t.version, t.version
}

func check(a control.Announcement) error {
	for field, text := range map[string]string{"id": a.ID, "address": a.Address, "boot": a.Boot} {
		if text == "" || len(text) > maxText {
			return ErrInvalidAnnouncement.New("server=%.64q field=%s length=%d", a.ID, field, len(text))
		}
	}
	switch {
	case a.Capacity < 1 || a.ColdCapacity < 0 || a.Running < 0 || a.Queued < 0:
		return ErrInvalidAnnouncement.New("server=%q capacity=%d cold_capacity=%d running=%d queued=%d",
			a.ID, a.Capacity, a.ColdCapacity, a.Running, a.Queued)
	case len(a.Versions) > maxVersions || len(a.AvailabilityZone)+len(a.Region)+len(a.Service) > maxText:
		return ErrInvalidAnnouncement.New("server=%q versions=%d", a.ID, len(a.Versions))
	}
	for _, v := range a.Versions {
		if v.Model == "" || v.Version == "" || len(v.Model)+len(v.Version) > maxText {
			return ErrInvalidAnnouncement.New("server=%q version=%.64q", a.ID, v.String())
		}
	}
	return nil
}

func (t *Table) insert(now time.Time, a control.Announcement) *row {
	t.lastNumber++
	t.expectExpiry(now.Add(AnnouncementTTL))
	r := &row{server: control.BackendServer{Number: t.lastNumber}}
	restart(r, a)
	t.rows[a.ID] = r
	return r
}

func restart(r *row, a control.Announcement) {
	r.server.Phase, r.server.Limit, r.server.Reason = control.PhaseCold, ColdLimit(a), "new boot number"
	r.prefixAt, r.server.Deregistered = time.Time{}, false
}

// ColdLimit is the number of requests that a backend server bears right after its start.
func ColdLimit(a control.Announcement) int { return min(max(a.ColdCapacity, 1), a.Capacity) }

func (t *Table) update(now time.Time, r *row, a control.Announcement) {
	t.version++
	a.Leaving = a.Leaving || r.server.Deregistered
	old := r.server.Announcement
	prefixes := t.acceptPrefixes(now, r, a)
	same := sameIdentity(old, a) && !r.server.Silent
	r.server.Announcement, r.server.Silent = a, false
	r.server.PrefixHashes = prefixes
	r.server.ReportedAt = now
	if a.StatesCold {
		// No ramp: the backend server says itself how long it is cold.
		r.server.Phase, r.server.Limit, r.server.Reason = control.PhaseInService, 0, "states its cold time"
		if a.Leaving {
			r.server.Phase, r.server.Reason = control.PhaseLeaving, "announced that it leaves"
		}
	}
	r.reported, r.heard, r.expires = now, now, now.Add(AnnouncementTTL)
	if !a.StatesCold || a.ColdMillis > 0 || a.Running != old.Running || a.Queued != old.Queued {
		r.load = t.version
	}
	if !slices.Equal(old.PrefixHashes, prefixes) {
		r.prefixes = t.version
	}
	if !same {
		r.changed, t.settled = t.version, t.version
	}
}

// acceptPrefixes returns the prefixes to keep for the row. Each server may replace them once per interval, which grows
// with the fleet so that prefixHashesPerSecond holds for all of them together.
func (t *Table) acceptPrefixes(now time.Time, r *row, a control.Announcement) []uint64 {
	interval := time.Duration(len(t.rows)) * time.Second * MaxPrefixHashes / prefixHashesPerSecond
	if now.Sub(r.prefixAt) < interval {
		return r.server.PrefixHashes
	}
	r.prefixAt = now
	return slices.Clone(a.PrefixHashes[:min(len(a.PrefixHashes), MaxPrefixHashes)])
}

// sameIdentity compares everything but load and prefixes.
func sameIdentity(a, b control.Announcement) bool {
	return a.Boot == b.Boot && a.Address == b.Address && a.AvailabilityZone == b.AvailabilityZone &&
		a.Region == b.Region && a.Service == b.Service && a.Capacity == b.Capacity &&
		a.SoftwareVersion == b.SoftwareVersion && a.Started == b.Started && a.StatesCold == b.StatesCold && a.ColdMillis == b.ColdMillis &&
		a.ColdCapacity == b.ColdCapacity && a.Leaving == b.Leaving && a.Fencing == b.Fencing &&
		slices.Equal(a.Versions, b.Versions)
}

// Heartbeat records that an entry instance lives. leaving removes it at once.
func (t *Table) Heartbeat(now time.Time, m control.Member, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	old := t.members[m.Instance]
	if leaving {
		// A late message of an earlier boot must not remove its replacement.
		if old != nil && old.Boot == m.Boot {
			delete(t.members, m.Instance)
			t.changeMembers()
		}
		return
	}
	if old == nil || old.Member != m {
		t.members[m.Instance] = &member{Member: m}
		t.expectExpiry(now.Add(MemberTTL))
		t.changeMembers()
	}
	t.members[m.Instance].expires = now.Add(MemberTTL)
}

func (t *Table) changeMembers() {
	t.version++
	t.membersVersion, t.settled = t.version, t.version
}

// SetPhase sets the phase of a backend server; PhaseGone removes the row. It does nothing when the boot is no longer the
// announced one.
func (t *Table) SetPhase(now time.Time, id, boot string, phase control.Phase, limit int, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[id]
	if r == nil || r.server.Boot != boot {
		return
	}
	if phase == control.PhaseGone {
		t.remove(id)
		return
	}
	if r.server.Phase == phase && r.server.Limit == limit && r.server.Reason == reason {
		return
	}
	r.server.Phase, r.server.Limit, r.server.Reason = phase, limit, reason
	t.version++
	r.changed, t.settled = t.version, t.version
}

func (t *Table) touch(r *row) { r.changed, r.load, r.prefixes = t.version, t.version, t.version }

func (t *Table) remove(id string) {
	delete(t.rows, id)
	t.version++
	t.settled = t.version
	t.bury(id)
}

func (t *Table) bury(id string) {
	t.removed = append(t.removed, tombstone{id: id, version: t.version})
	if len(t.removed) > maxTombstones {
		t.forgotten = t.removed[0].version
		t.removed = slices.Delete(t.removed, 0, 1)
	}
}

// expire removes backend servers and entry instances that fell silent. A follower keeps what the leader listed.
func (t *Table) expire(now time.Time) {
	if t.copied || now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = now.Add(MemberTTL)
	for id, r := range t.rows {
		if !now.Before(r.expires) {
			t.remove(id)
			continue
		}
		t.expectExpiry(r.expires)
	}
	for instance, m := range t.members {
		if !now.Before(m.expires) {
			delete(t.members, instance)
			t.changeMembers()
			continue
		}
		t.expectExpiry(m.expires)
	}
}

func (t *Table) expectExpiry(at time.Time) {
	if at.Before(t.nextExpiry) {
		t.nextExpiry = at
	}
}

// Delta returns what changed since a version of an epoch, the whole table for another epoch.
func (t *Table) Delta(now time.Time, epoch string, version uint64) control.FleetDelta {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.delta(now, epoch, version)
}

func (t *Table) delta(now time.Time, epoch string, version uint64) control.FleetDelta {
	t.expire(now)
	t.markSilent(now)
	d := control.FleetDelta{Epoch: t.epoch, Version: t.version}
	if epoch != t.epoch || version < t.forgotten {
		d.Full, version = true, 0
	}
	for _, r := range t.rows {
		switch {
		case d.Full || r.changed > version:
			d.Changed = append(d.Changed, r.at(now))
		case r.load > version:
			d.Loads = append(d.Loads, r.loadSince(now, version))
		}
	}
	if !d.Full {
		for _, gone := range t.removed {
			if gone.version > version && t.rows[gone.id] == nil {
				d.Removed = append(d.Removed, gone.id)
			}
		}
	}
	if d.Full || t.membersVersion > version {
		d.Members, d.MembersChanged = t.sortedMembers(), true
	}
	return d
}

// markSilent notes which backend servers that state their cold time have fallen silent. A follower keeps what the leader
// noted.
func (t *Table) markSilent(now time.Time) {
	if t.copied {
		return
	}
	for _, r := range t.rows {
		if r.server.StatesCold && !r.server.Silent && now.Sub(r.heard) >= SilentAfter {
			r.server.Silent = true
			t.version++
			r.changed, t.settled = t.version, t.version
		}
	}
}

func (r *row) at(now time.Time) control.BackendServer {
	s := r.server
	s.LoadAge = now.Sub(r.reported)
	return s
}

func (r *row) loadSince(now time.Time, version uint64) control.LoadReport {
	l := control.LoadReport{
		Number:    r.server.Number,
		Running:   r.server.Running,
		Queued:    r.server.Queued,
		AgeMillis: now.Sub(r.reported).Milliseconds(),
	}
	if r.prefixes > version {
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

// Load merges the leader's delta into a follower's table. Deltas older than the table are ignored.
func (t *Table) Load(now time.Time, d control.FleetDelta) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !d.Full && d.Epoch != t.epoch || d.Epoch == t.epoch && d.Version < t.version || olderEpoch(d.Epoch, t.epoch) {
		return
	}
	t.copied = true
	t.epoch, t.version = d.Epoch, d.Version
	t.settled = t.version
	if d.Full {
		t.replaceBy(d)
	}
	for _, s := range d.Changed {
		t.loadRow(now, s)
	}
	if len(d.Loads) > 0 {
		t.loadReports(now, d.Loads)
	}
	for _, id := range d.Removed {
		delete(t.rows, id)
		t.bury(id)
	}
	if d.MembersChanged {
		t.loadMembers(now, d.Members)
	}
}

func (t *Table) replaceBy(d control.FleetDelta) {
	t.forgotten, t.removed = d.Version, nil
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

func (t *Table) loadRow(now time.Time, s control.BackendServer) {
	r := t.rows[s.ID]
	if r == nil {
		r = &row{}
		t.rows[s.ID] = r
	}
	r.server, r.reported = s, now.Add(-s.LoadAge)
	t.lastNumber = max(t.lastNumber, s.Number)
	t.touch(r)
}

func (t *Table) loadReports(now time.Time, loads []control.LoadReport) {
	byNumber := make(map[uint32]*row, len(t.rows))
	for _, r := range t.rows {
		byNumber[r.server.Number] = r
	}
	for _, l := range loads {
		r := byNumber[l.Number]
		if r == nil {
			continue
		}
		r.reported = now.Add(-time.Duration(l.AgeMillis) * time.Millisecond)
		r.load = t.version
		if l.PrefixesChanged {
			r.prefixes = t.version
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

func (t *Table) loadMembers(now time.Time, members []control.Member) {
	clear(t.members)
	for _, m := range members {
		t.members[m.Instance] = &member{Member: m, expires: now.Add(MemberTTL)}
	}
	t.membersVersion = t.version
}

// Snapshot returns the whole table. Loads may be up to 50 ms old, counted in ReceivedAt and LoadAge: controllers ask often
// and a copy of a large table costs more than half a millisecond.
func (t *Table) Snapshot(now time.Time) *blackboard.Fleet {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if f := t.snapshot; f != nil && f.Epoch == t.epoch && f.Version >= t.settled {
		if age := now.Sub(f.ReceivedAt); age >= 0 && age < snapshotAge {
			return f
		}
	}
	t.snapshot = Apply(nil, t.delta(now, "", 0), now)
	return t.snapshot
}

// Server returns one row as of now; it costs no copy of the table.
func (t *Table) Server(now time.Time, id string) (control.BackendServer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	r := t.rows[id]
	if r == nil {
		return control.BackendServer{}, false
	}
	return r.at(now), true
}
