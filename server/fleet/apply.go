package fleet

import (
	"cmp"
	"slices"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/blackboard"
)

// Apply merges a delta that was received at now into an immutable table and returns the new table. The result's load
// ages count up to now. A delta that is older than the table, or that does not follow on from it, changes nothing but the
// ages. old may be nil.
//
// Rows of the last leader that a new leader does not list stay, with Number 0, until their last announcement is
// AnnouncementTTL old: a leader that has just started knows no backend server yet. Those that state their cold time stay as
// long from the new leader's first delta on, as nobody told of their last announcement.
func Apply(old *blackboard.Fleet, d control.FleetDelta, now time.Time) *blackboard.Fleet {
	if old == nil {
		old = &blackboard.Fleet{ReceivedAt: now}
	}
	if stale(old, d) {
		d = control.FleetDelta{Epoch: old.Epoch, Version: old.Version}
	}
	next := &blackboard.Fleet{Epoch: d.Epoch, EpochSince: now, Version: d.Version, ReceivedAt: now, Members: old.Members}
	if d.Epoch == old.Epoch {
		next.EpochSince = old.EpochSince
	}
	if d.MembersChanged {
		next.Members = d.Members
	}
	next.Servers = index(merge(old, d, now, next.EpochSince))
	group(next)
	return next
}

func stale(old *blackboard.Fleet, d control.FleetDelta) bool {
	if d.Epoch == old.Epoch {
		return d.Version < old.Version
	}
	return !d.Full || olderEpoch(d.Epoch, old.Epoch)
}

// merge returns the rows after the delta. All rows are copied, as the ages of the unchanged ones grow too.
func merge(old *blackboard.Fleet, d control.FleetDelta, now, epochSince time.Time) []control.BackendServer {
	rows := make([]control.BackendServer, 0, len(old.Servers)+len(d.Changed))
	drop := make(map[string]bool, len(d.Changed)+len(d.Removed))
	for i := range d.Changed {
		drop[d.Changed[i].ID] = true
	}
	for _, id := range d.Removed {
		drop[id] = true
	}
	loads := make(map[uint32]control.LoadReport, len(d.Loads))
	for _, l := range d.Loads {
		loads[l.Number] = l
	}
	elapsed := now.Sub(old.ReceivedAt)
	for id, s := range old.Servers {
		inherited := s.Number == 0 || d.Epoch != old.Epoch
		listed := !d.Full && !inherited
		unheard := s.LoadAge + elapsed
		if s.StatesCold {
			unheard = now.Sub(epochSince)
		}
		if drop[id] || !listed && (!inherited || unheard >= AnnouncementTTL) {
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

func index(rows []control.BackendServer) map[string]*control.BackendServer {
	out := make(map[string]*control.BackendServer, len(rows))
	for i := range rows {
		out[rows[i].ID] = &rows[i]
	}
	return out
}

func group(f *blackboard.Fleet) {
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
