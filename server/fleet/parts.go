package fleet

import (
	"cmp"
	"slices"
	"time"

	"clementinetray/api/control"
)

const (
	// maxPartRows is the largest number of rows in one part of a delta. A packed part of 30 KB takes 25 ms on a link of 10 Mbit/s; the
	// whole table of a large fleet would take longer than its reader waits before it asks the next replica, too.
	maxPartRows = 400
	// fullPartLifetime is how long a part of the whole table is sent to further readers. After a change of leaders, or when all instances
	// start at once, each of them reads the whole table.
	fullPartLifetime = 250 * time.Millisecond
)

// partCache holds packed parts of the whole table by the row number that they begin after.
type partCache struct {
	epoch   string
	byAfter map[uint32]cachedPart
}

type cachedPart struct {
	delta  control.FleetDelta
	madeAt time.Time
}

// needsWhole reports whether a reader with this epoch and version needs the whole table.
func (t *Table) needsWhole(epoch string, version uint64) bool {
	return epoch != t.epoch || version < t.trimmedVersion
}

// ReadPart returns the next part of the changes since the version that the request names, packed. Rows are sent in the order of
// their numbers. The load ages of a part of the whole table may be fullPartLifetime too low.
func (t *Table) ReadPart(now time.Time, in *control.SyncRequest) (control.FleetDelta, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	after := in.PartAfter
	if in.PartEpoch != t.epoch {
		after = 0
	}
	whole := t.needsWhole(in.FleetEpoch, in.FleetVersion)
	if whole {
		if cached, ok := t.fullParts.byAfter[after]; ok && t.fullParts.epoch == t.epoch && now.Sub(cached.madeAt) < fullPartLifetime {
			return cached.delta, nil
		}
	}
	d := t.part(now, in.FleetEpoch, in.FleetVersion, after)
	packed, err := PackRows(d)
	if err != nil {
		return control.FleetDelta{}, err
	}
	if whole {
		if t.fullParts.epoch != t.epoch || after == 0 {
			t.fullParts = partCache{epoch: t.epoch, byAfter: map[uint32]cachedPart{}}
		}
		t.fullParts.byAfter[after] = cachedPart{packed, now}
	}
	return packed, nil
}

// part returns the changes since a version, without the rows up to the number after, and limited to t.partRows rows.
func (t *Table) part(now time.Time, epoch string, version uint64, after uint32) control.FleetDelta {
	d := t.delta(now, epoch, version)
	slices.SortFunc(d.Changed, func(a, b control.BackendServer) int { return cmp.Compare(a.Number, b.Number) })
	first, _ := slices.BinarySearchFunc(d.Changed, after+1, func(s control.BackendServer, number uint32) int { return cmp.Compare(s.Number, number) })
	d.Changed, d.After = d.Changed[first:], after
	if len(d.Changed) > t.partRows {
		rows := d.Changed[:t.partRows]
		return control.FleetDelta{Epoch: d.Epoch, Version: d.Version, Full: d.Full, Changed: rows, After: after, More: true, LastNumber: rows[len(rows)-1].Number}
	}
	if !d.Full && d.MembersChanged && version >= t.trimmedMembersVersion {
		d.Members, d.MembersChanged = nil, false
		d.MembersJoined, d.MembersLeft = t.memberChanges(version)
	}
	return d
}

// memberChanges returns the entry instances that joined or changed since a version, and those that left.
func (t *Table) memberChanges(version uint64) (joined []control.Member, left []string) {
	for _, m := range t.members {
		if m.changedIn > version {
			joined = append(joined, m.Member)
		}
	}
	for _, removal := range t.leftMembers {
		if removal.version > version && t.members[removal.id] == nil {
			left = append(left, removal.id)
		}
	}
	return joined, left
}

// mergeMembers returns the members, by instance, after the changes of a delta. It doesn't change its argument.
func mergeMembers(members []control.Member, d control.FleetDelta) []control.Member {
	if d.MembersChanged {
		return d.Members
	}
	if len(d.MembersJoined) == 0 && len(d.MembersLeft) == 0 {
		return members
	}
	replaced := make(map[string]bool, len(d.MembersJoined)+len(d.MembersLeft))
	for _, m := range d.MembersJoined {
		replaced[m.Instance] = true
	}
	for _, instance := range d.MembersLeft {
		replaced[instance] = true
	}
	next := slices.Clone(d.MembersJoined)
	for _, m := range members {
		if !replaced[m.Instance] {
			next = append(next, m)
		}
	}
	slices.SortFunc(next, func(a, b control.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return next
}

// Assembly joins the parts of a delta. Its zero value waits for a first part.
type Assembly struct {
	delta control.FleetDelta
	// receivedAt is the time of the last part, to which the load ages of the rows refer.
	receivedAt time.Time
}

// Continue sets in the request which part is to follow.
func (a *Assembly) Continue(in *control.SyncRequest) {
	in.AcceptsParts = true
	if a.delta.More {
		in.PartEpoch, in.PartAfter = a.delta.Epoch, a.delta.LastNumber
	}
}

// Incomplete reports whether further parts have to be read.
func (a *Assembly) Incomplete() bool { return a.delta.More }

// Add adds a part that was received at now. It returns the delta once it is complete. A part that does not follow on the last one,
// because it is of another epoch or because the reader's version has become too old in between, begins anew.
func (a *Assembly) Add(part control.FleetDelta, now time.Time) (complete control.FleetDelta, ok bool) {
	follows := a.delta.More && a.delta.Epoch == part.Epoch && a.delta.Full == part.Full && a.delta.LastNumber == part.After
	if part.After != 0 && !follows {
		a.delta = control.FleetDelta{}
		return control.FleetDelta{}, false
	}
	if follows {
		for i := range a.delta.Changed {
			a.delta.Changed[i].LoadAge += now.Sub(a.receivedAt)
		}
		part.Changed = append(a.delta.Changed, part.Changed...)
		part.Version = min(part.Version, a.delta.Version)
	}
	a.delta, a.receivedAt = part, now
	if part.More {
		return control.FleetDelta{}, false
	}
	a.delta = control.FleetDelta{}
	return part, true
}
