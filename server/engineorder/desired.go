package engineorder

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/blackboard"
)

// loadPriority ranks the loads that wait for the weight store; lower values go first.
type loadPriority int

const (
	// priorityShortage is for a version whose backend servers lack capacity.
	priorityShortage loadPriority = iota
	priorityRollout
	// priorityRestore is for a version that the backend server held before, or the first version of an empty engine.
	priorityRestore
)

func (p loadPriority) String() string {
	return [...]string{"pool short of capacity", "roll-out", "return"}[p]
}

const (
	// minServers is the minimum number of backend servers for a version, minRolloutServers that for the new version of a
	// roll-out: with a single server, a fault of the server would look like a fault of the version.
	minServers        = 1
	minRolloutServers = 2
	// maxPlanEntries is the number of entries above which those of removed backend servers are dropped, to limit memory.
	// Up to this number, a server that returns gets back the versions that it held.
	maxPlanEntries = 20000
	// maxUtilization is the share of a version's capacity in use above which another server loads the version.
	maxUtilization = 0.8
)

// plan holds the versions that each backend server should hold. An entry stays until the version is withdrawn or rolled
// back, or the load is blocked after refusals. It also stays when the engine no longer announces the version, so that an
// unload by a late order of a former leader is repaired.
type plan map[loadKey]loadPriority

// planInput is the input of plan.update.
type planInput struct {
	view  *control.View
	fleet *blackboard.Fleet
	// isBlocked reports whether a load is blocked because the engine refused it repeatedly.
	isBlocked func(loadKey) bool
}

// update changes the plan to match the current view and fleet.
func (p plan) update(s planInput) {
	p.adoptAnnounced(s)
	for _, m := range s.view.Catalogue.Models {
		pool := modelPool(s, p, m.Name)
		for _, v := range m.Versions {
			ref := catalogue.VersionRef{Model: m.Name, Version: v.Name}
			if isUsable(s.view, ref) {
				p.addServersForShortage(s, ref, pool)
			}
		}
	}
	for _, r := range s.view.Catalogue.Rollouts {
		p.addServersForRollout(s, r.WithDefaults())
	}
	p.fillEmptyEngines(s)
}

// adoptAnnounced adds the versions that backend servers announce and drops those that they should no longer hold.
func (p plan) adoptAnnounced(s planInput) {
	maps.DeleteFunc(p, func(k loadKey, _ loadPriority) bool {
		return s.fleet.Servers[k.server] == nil && len(p) > maxPlanEntries || !isUsable(s.view, k.VersionRef) || s.isBlocked(k)
	})
	for id, b := range s.fleet.Servers {
		for _, ref := range b.Versions {
			if isUsable(s.view, ref) {
				p[loadKey{id, ref}] = priorityRestore
			}
		}
	}
}

// isUsable reports whether a version may take new work.
func isUsable(view *control.View, ref catalogue.VersionRef) bool {
	v := view.Catalogue.FindVersion(ref)
	if v == nil || v.Withdrawn {
		return false
	}
	progress, ok := rolloutProgress(view, ref.Model)
	return !ok || progress.State != control.RolloutRolledBack || progress.To != ref.Version
}

func rolloutProgress(view *control.View, model string) (control.RolloutProgress, bool) {
	if view.Rollouts == nil {
		return control.RolloutProgress{}, false
	}
	progress, ok := view.Rollouts.Progress[model]
	return progress, ok
}

// mayLoad reports whether the backend server is an engine that accepts work and isn't leaving.
func mayLoad(b *control.BackendServer) bool {
	switch b.Phase {
	case control.PhaseCold, control.PhaseRamping, control.PhaseInService:
		return b.Service == "" && !b.Leaving
	}
	return false
}

// modelPool returns the backend servers that are planned to hold a version of the model, and the empty engines without a
// planned version.
func modelPool(s planInput, p plan, model string) []*control.BackendServer {
	members := map[string]bool{}
	busy := map[string]bool{}
	for k := range p {
		busy[k.server] = true
		members[k.server] = members[k.server] || k.Model == model
	}
	var pool []*control.BackendServer
	for id, b := range s.fleet.Servers {
		if mayLoad(b) && (members[id] || !busy[id] && len(b.Versions) == 0) {
			pool = append(pool, b)
		}
	}
	return pool
}

// addServersForShortage plans one more server for a version that has too few servers or whose servers are overloaded.
func (p plan) addServersForShortage(s planInput, ref catalogue.VersionRef, pool []*control.BackendServer) {
	holders, pendingServers, load, capacity := 0, 0, 0, 0
	for _, b := range pool {
		switch _, planned := p[loadKey{b.ID, ref}]; {
		case slices.Contains(b.Versions, ref):
			holders++
			load += b.Running + b.Queued
			capacity += b.Capacity
		case planned:
			pendingServers++
		}
	}
	if isNewVersion(s.view, ref) {
		return
	}
	if holders+pendingServers < min(minServers, len(pool)) || pendingServers == 0 && float64(load) > maxUtilization*float64(capacity) {
		p.addServer(s, ref, pool, priorityShortage)
	}
}

// isNewVersion reports whether the version is the target of a roll-out, which then sets its number of servers.
func isNewVersion(view *control.View, ref catalogue.VersionRef) bool {
	r := view.Catalogue.FindRollout(ref.Model)
	return r != nil && r.To == ref.Version
}

// addServersForRollout plans servers for the percentage of the next roll-out step, so that they are loaded when it starts.
func (p plan) addServersForRollout(s planInput, r catalogue.Rollout) {
	to := catalogue.VersionRef{Model: r.Model, Version: r.To}
	if !isUsable(s.view, to) {
		return
	}
	var pool []*control.BackendServer
	holders := 0
	for _, b := range modelPool(s, p, r.Model) {
		_, holdsOld := p[loadKey{b.ID, catalogue.VersionRef{Model: r.Model, Version: r.From}}]
		_, holdsNew := p[loadKey{b.ID, to}]
		if holdsOld || holdsNew || len(b.Versions) == 0 {
			pool = append(pool, b)
		}
		if holdsNew {
			holders++
		}
	}
	percent := targetPercent(s.view, r)
	target := min(max(int(math.Ceil(float64(len(pool)*percent)/100)), minRolloutServers), len(pool))
	for ; holders < target; holders++ {
		if !p.addServer(s, to, pool, priorityRollout) {
			return
		}
	}
}

func targetPercent(view *control.View, r catalogue.Rollout) int {
	progress, ok := rolloutProgress(view, r.Model)
	switch {
	case !ok:
		return r.Steps[0]
	case progress.State == control.RolloutDone:
		return 100
	case progress.State == control.RolloutHeld:
		return progress.Percent
	}
	for _, percent := range r.Steps {
		if percent > progress.Percent {
			return percent
		}
	}
	return 100
}

// fillEmptyEngines plans the version with the highest utilization on each engine without a version.
func (p plan) fillEmptyEngines(s planInput) {
	planned := map[string]bool{}
	for k := range p {
		planned[k.server] = true
	}
	var busiest catalogue.VersionRef
	highest := -1.0
	for ref, holders := range s.fleet.ByVersion {
		if l := utilization(holders); isUsable(s.view, ref) && (l > highest || l == highest && ref.String() < busiest.String()) {
			busiest, highest = ref, l
		}
	}
	for id, b := range s.fleet.Servers {
		if k := (loadKey{id, busiest}); highest >= 0 && mayLoad(b) && len(b.Versions) == 0 && !planned[id] && !s.isBlocked(k) {
			p[k] = priorityRestore
		}
	}
}

func utilization(holders []*control.BackendServer) float64 {
	load, capacity := 0, 0
	for _, b := range holders {
		load += b.Running + b.Queued
		capacity += b.Capacity
	}
	return float64(load) / float64(max(capacity, 1))
}

// addServer plans the version on one more server of the pool and reports whether there was one. It prefers the
// availability zone with the fewest planned servers of the version, then the server with the fewest versions. Ties are
// broken by a hash, so that each leader chooses the same server.
func (p plan) addServer(s planInput, ref catalogue.VersionRef, pool []*control.BackendServer, priority loadPriority) bool {
	perZone := map[string]int{}
	var free []*control.BackendServer
	for _, b := range pool {
		k := loadKey{b.ID, ref}
		if _, planned := p[k]; planned {
			perZone[b.AvailabilityZone]++
		} else if !s.isBlocked(k) {
			free = append(free, b)
		}
	}
	if len(free) == 0 {
		return false
	}
	best := slices.MinFunc(free, func(a, b *control.BackendServer) int {
		return cmp.Or(
			cmp.Compare(perZone[a.AvailabilityZone], perZone[b.AvailabilityZone]),
			cmp.Compare(len(a.Versions), len(b.Versions)),
			cmp.Compare(tieBreakHash(a.ID, ref), tieBreakHash(b.ID, ref)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	p[loadKey{best.ID, ref}] = priority
	return true
}

func tieBreakHash(id string, ref catalogue.VersionRef) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id + "\x00" + ref.String()))
	return h.Sum64()
}
