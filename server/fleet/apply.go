package fleet

import (
	"cmp"
	"slices"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/blackboard"
)

// ApplyDelta merges a delta that was received at now into the table old, which it doesn't change, and returns the new
// table.
// Load ages of the result are as of now. A delta that is older than the table, or that is not based on it, only updates
// the ages. old may be nil.
//
// After a leader change, rows that are missing in the new leader's table are kept with Number 0 until their last
// announcement is AnnouncementTTL old, because a leader that has just started has received no announcements yet. Rows of
// backend servers that announce their cold time are kept for AnnouncementTTL after the first delta of the new leader,
// because deltas don't contain the time of their last announcement.
func ApplyDelta(old *blackboard.Fleet, d control.FleetDelta, now time.Time) *blackboard.Fleet {
	if old == nil {
		old = &blackboard.Fleet{ReceivedAt: now}
	}
	if isStaleDelta(old, d) {
		d = control.FleetDelta{Epoch: old.Epoch, Version: old.Version}
	}
	next := &blackboard.Fleet{Epoch: d.Epoch, EpochSince: now, Version: d.Version, ReceivedAt: now, Members: old.Members}
	if d.Epoch == old.Epoch {
		next.EpochSince = old.EpochSince
	}
	next.Members = mergeMembers(old.Members, d)
	next.Servers = indexByID(mergeRows(old, d, now, next.EpochSince))
	groupServers(next)
	return next
}

// isStaleDelta reports whether the delta is older than the table or not based on it.
func isStaleDelta(old *blackboard.Fleet, d control.FleetDelta) bool {
	if d.Epoch == old.Epoch {
		return d.Version < old.Version
	}
	return !d.Full || isEarlierEpoch(d.Epoch, old.Epoch)
}

// mergeRows returns the rows after the delta. It copies all rows, because the ages of unchanged rows increase too.
func mergeRows(old *blackboard.Fleet, d control.FleetDelta, now, epochSince time.Time) []control.BackendServer {
	rows := make([]control.BackendServer, 0, len(old.Servers)+len(d.Changed))
	replaced := make(map[string]bool, len(d.Changed)+len(d.Removed))
	for i := range d.Changed {
		replaced[d.Changed[i].ID] = true
	}
	for _, id := range d.Removed {
		replaced[id] = true
	}
	loads := make(map[uint32]control.LoadReport, len(d.Loads))
	for _, l := range d.Loads {
		loads[l.Number] = l
	}
	elapsed := now.Sub(old.ReceivedAt)
	for id, s := range old.Servers {
		inherited := s.Number == 0 || d.Epoch != old.Epoch
		listed := !d.Full && !inherited
		sinceAnnounced := s.LoadAge + elapsed
		if s.StatesCold {
			sinceAnnounced = now.Sub(epochSince)
		}
		if replaced[id] || !listed && (!inherited || sinceAnnounced >= AnnouncementTTL) {
			continue
		}
		rows = append(rows, *s)
		kept := &rows[len(rows)-1]
		kept.LoadAge += elapsed
		if inherited {
			kept.Number = 0
		} else if l, ok := loads[s.Number]; ok {
			applyLoad(kept, l)
			kept.ReportedAt = now.Add(-kept.LoadAge)
		}
	}
	return append(rows, d.Changed...)
}

// indexByID returns the rows by the id of their backend server.
func indexByID(rows []control.BackendServer) map[string]*control.BackendServer {
	out := make(map[string]*control.BackendServer, len(rows))
	for i := range rows {
		out[rows[i].ID] = &rows[i]
	}
	return out
}

// groupServers sets ByVersion and ByService, sorted by id.
func groupServers(f *blackboard.Fleet) {
	sorted := make([]*control.BackendServer, 0, len(f.Servers))
	for _, s := range f.Servers {
		sorted = append(sorted, s)
	}
	slices.SortFunc(sorted, func(a, b *control.BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	f.ByVersion = map[catalogue.VersionRef][]*control.BackendServer{}
	f.ByService = map[string][]*control.BackendServer{}
	for _, s := range sorted {
		for _, v := range s.Versions {
			f.ByVersion[v] = append(f.ByVersion[v], s)
		}
		if s.Service != "" {
			f.ByService[s.Service] = append(f.ByService[s.Service], s)
		}
	}
}
