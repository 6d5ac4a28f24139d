package entry

import (
	"slices"
	"strings"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/balance"
	"clementinetray/server/routing"
)

// chooseServer chooses a backend server for the request, or returns why none can take it now. It returns the candidates that it
// read, their backend servers in the same order, and the index of the chosen one.
func (h *Handler) chooseServer(snap *routing.Snapshot, rq *request, pool *catalogue.Pool, balanceReq *balance.Request) (
	servers []*control.BackendServer, candidates []balance.Candidate, best int, refused *problem.Problem,
) {
	boundVersion := h.boundVersion(rq, snap)
	list := h.newRoutableList(snap, rq, pool, boundVersion)
	if selected, ok := h.balance.Select(snap.Now, list, balanceReq, rq.id); ok {
		return list.servers[selected.Index : selected.Index+1], []balance.Candidate{selected.Candidate}, 0, nil
	}
	rows, servers := routableServers(snap, rq, boundVersion)
	if len(rows) == 0 {
		return nil, nil, 0, h.noServerProblem(snap, rq)
	}
	h.setColdRates(snap, rows, pool.ColdPerSecond)
	h.limitReturning(snap, rows, servers)
	h.setBrittle(snap, rows, servers)
	candidates = h.balance.Candidates(snap.Now, rows, balanceReq)
	if best = balance.Choose(candidates, balanceReq, rq.id); best < 0 {
		return nil, nil, 0, problem.New(problem.Overloaded, "each backend server of "+rq.routed.service+" is cold, or brittle and full").WithRetryAfter(time.Second)
	}
	return servers, candidates, best, nil
}

// routableList implements balance.ServerList with the backend servers of the request's service. Servers with a software version
// that the request should not run on are left out.
type routableList struct {
	h             *Handler
	snap          *routing.Snapshot
	rq            *request
	servers       []*control.BackendServer
	software      routing.SoftwareRules
	coldTime      time.Duration
	coldPerSecond float64
	row           [1]balance.Row
}

func (h *Handler) newRoutableList(snap *routing.Snapshot, rq *request, pool *catalogue.Pool, boundVersion string) *routableList {
	service := rq.routed.service
	return &routableList{
		h: h, snap: snap, rq: rq, servers: snap.Fleet.ByService[service],
		software: routing.SoftwareRulesFor(snap.View, service, rq.rolloutKey(), boundVersion),
		coldTime: time.Duration(pool.ColdSeconds * float64(time.Second)), coldPerSecond: pool.ColdPerSecond,
	}
}

// Identity implements balance.ServerList. The lists of a fleet table are not changed, so that the address of the first element is
// different for each.
func (l *routableList) Identity() any {
	if len(l.servers) == 0 {
		return nil
	}
	return &l.servers[0]
}

// Len implements balance.ServerList.
func (l *routableList) Len() int { return len(l.servers) }

// ID implements balance.ServerList.
func (l *routableList) ID(i int) string { return l.servers[i].ID }

// Index implements balance.ServerList.
func (l *routableList) Index(id string) int {
	i, found := slices.BinarySearchFunc(l.servers, id, func(b *control.BackendServer, id string) int { return strings.Compare(b.ID, id) })
	if !found {
		return -1
	}
	return i
}

// Row implements balance.ServerList.
func (l *routableList) Row(i int) (balance.Row, bool) {
	row, ok := matchingRow(l.snap, l.rq, l.servers[i], l.software.Prefers, l.coldTime)
	if !ok {
		return row, false
	}
	l.row[0] = row
	l.h.setColdRates(l.snap, l.row[:], l.coldPerSecond)
	l.h.limitReturning(l.snap, l.row[:], l.servers[i:i+1])
	l.h.setBrittle(l.snap, l.row[:], l.servers[i:i+1])
	return l.row[0], true
}
