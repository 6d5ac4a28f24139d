package controlsvc

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/blackboard"
	"clementinetray/server/controlstate"
)

// tableFillTime is how long after a leader change the fleet table may be incomplete. The capacity check of an order waits
// until this time has passed.
const tableFillTime = 4 * time.Second

// Shortage describes a pool whose remaining backend servers don't have the capacity for its current load.
type Shortage struct {
	Pool string `json:"pool"`
	// Load is the number of running and queued requests of the whole pool, Capacity the number of concurrent requests that
	// the remaining backend servers can take.
	Load     int `json:"load"`
	Capacity int `json:"capacity"`
	// Servers is the number of remaining backend servers.
	Servers int `json:"servers"`
}

// checkCapacity refuses an order that takes a zone or a backend server out of service if the remaining backend servers
// can't take the load, unless the order is forced.
func (s *Service) checkCapacity(ctx context.Context, order *controlstate.SetOrder, force bool) *problem.Problem {
	if force {
		return nil
	}
	if l, _ := s.Log.LeadershipChanged(); l.Leader {
		sleep(ctx, tableFillTime-s.Now().Sub(l.Since))
	}
	table := s.FleetTable.Snapshot(s.Now())
	if len(table.Servers) > 0 && !targetExists(table, order) {
		// A misspelt name would be accepted, and callers would stay on the servers that the operator wants to drain.
		return problem.New(problem.NotFound, "no backend server or entry instance is known under "+
			order.AvailabilityZone+order.BackendServer+"; force the order to insist")
	}
	shortages := findShortages(table.Servers, s.State.View().Orders, order)
	if len(shortages) == 0 {
		return nil
	}
	first := shortages[0]
	p := problem.New(problem.InsufficientCapacity, fmt.Sprintf("%s: load %d, the remaining %d servers bear %d; force the order to insist",
		first.Pool, first.Load, first.Servers, first.Capacity))
	p.Fields = shortages
	return p
}

// targetExists reports whether the fleet table has the zone or backend server that the order names.
func targetExists(table *blackboard.Fleet, order *controlstate.SetOrder) bool {
	if order.BackendServer != "" {
		return table.Servers[order.BackendServer] != nil
	}
	for _, b := range table.Servers {
		if b.AvailabilityZone == order.AvailabilityZone {
			return true
		}
	}
	return slices.ContainsFunc(table.Members, func(m control.Member) bool { return m.AvailabilityZone == order.AvailabilityZone })
}

// findShortages returns a Shortage, sorted by name, for each pool that loses capacity through the order and then has less
// capacity than load.
func findShortages(servers map[string]*control.BackendServer, orders *control.Orders, order *controlstate.SetOrder) []Shortage {
	pools := map[string]*Shortage{}
	affected := map[string]bool{}
	for _, b := range servers {
		takenOut := b.ID == order.BackendServer || b.AvailabilityZone == order.AvailabilityZone && order.AvailabilityZone != ""
		capacity := usableCapacity(b, orders)
		for _, name := range poolNames(b) {
			p := pools[name]
			if p == nil {
				p = &Shortage{Pool: name}
				pools[name] = p
			}
			p.Load += b.Running + b.Queued
			switch {
			case takenOut:
				affected[name] = affected[name] || capacity > 0
			case capacity > 0:
				p.Capacity += capacity
				p.Servers++
			}
		}
	}
	shortages := []Shortage{}
	for _, name := range slices.Sorted(maps.Keys(affected)) {
		if p := pools[name]; affected[name] && (p.Servers == 0 || p.Load > p.Capacity) {
			shortages = append(shortages, *p)
		}
	}
	return shortages
}

// usableCapacity returns how many concurrent requests the backend server can take; 0 when it gets no new requests.
func usableCapacity(b *control.BackendServer, orders *control.Orders) int {
	_, zoneOut := orders.ZonesOut[b.AvailabilityZone]
	_, serverOut := orders.ServersOut[b.ID]
	if zoneOut || serverOut || b.Leaving {
		return 0
	}
	switch b.Phase {
	case control.PhaseInService:
		return b.Capacity
	case control.PhaseCold, control.PhaseRamping:
		return b.Limit
	default:
		return 0
	}
}

// poolNames returns the pools that the backend server belongs to: its service, or its model versions.
func poolNames(b *control.BackendServer) []string {
	if b.Service != "" {
		return []string{"service " + b.Service}
	}
	names := make([]string, 0, len(b.Versions))
	for _, ref := range b.Versions {
		names = append(names, poolName(ref))
	}
	return names
}
