package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"clementinetray/api/control"
	"clementinetray/server/balance"
	"clementinetray/server/blackboard"
	"clementinetray/server/fleet"
	"clementinetray/server/routing"
)

const (
	// ownBrittlePrecedence is how long an answer that this instance got counts more than the fleet table, which learns of it with the
	// next heartbeats.
	ownBrittlePrecedence = 3 * time.Second
	// brittleReportInterval is the time after which an instance repeats its report of a backend server that still states to be brittle,
	// well below fleet.BrittleTTL.
	brittleReportInterval = 3 * time.Second
	// brittleReporters is the mean number of instances that repeat their report of a backend server within brittleReportInterval. In a
	// large fleet, all instances together would send the leader more than it needs.
	brittleReporters = 16
	// maxBrittleReports is the largest number of reports in a heartbeat; the others follow in the next one.
	maxBrittleReports = 1000
)

// brittleServers holds what the answers to this instance state of backend servers that are brittle.
type brittleServers struct {
	// active is set while a backend server is or was lately brittle. It spares the lock on the path of each answer and decision.
	active atomic.Bool

	mu sync.Mutex // guards the fields below
	// said holds the last statement of each boot, including that it is no longer brittle.
	said map[serverBoot]*brittleSaid
	// byService holds the smallest limit of the services of which most backend servers are brittle. It applies to those that have not
	// answered yet, for example after a start.
	byService map[string]int
	// instances is the list of entry instances of the fleet table whose members are membersOf.
	instances []string
	membersOf []control.Member
}

type brittleSaid struct {
	limit int
	// at is when the last answer arrived that confirmed limit.
	at time.Time
	// lastReport is when it was last reported or a repeated report was left to other instances. reported is the limit in the last report,
	// -1 before the first one.
	lastReport time.Time
	reported   int
}

// record records what an answer to an attempt that began at began states. row is the backend server's row at that time. It returns the limit
// before, and whether it has changed. An answer without a statement ends an earlier one if its attempt began after the last answer that
// had it: it may have been written before.
func (b *brittleServers) record(row *control.BackendServer, limit int, began, now time.Time) (before int, changed bool) {
	if limit == 0 && !b.active.Load() {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	server := serverBoot{row.ID, row.Boot}
	s := b.said[server]
	switch {
	case s == nil && limit == 0 && row.BrittleLimit == 0 && b.byService[row.Service] == 0:
		return 0, false
	case s == nil:
		if b.said == nil {
			b.said = map[serverBoot]*brittleSaid{}
		}
		if len(b.said) >= maxBrittleServers {
			return 0, false
		}
		s = &brittleSaid{reported: -1}
		b.said[server] = s
		b.active.Store(true)
	case limit == 0 && s.limit > 0 && !began.After(s.at):
		return s.limit, false
	}
	before = s.limit
	if limit > 0 || before > 0 || s.at.IsZero() {
		s.limit, s.at = limit, now
	}
	return before, before != limit
}

// maxBrittleServers bounds the recorded boots, the same as the backend servers in the fleet table.
const maxBrittleServers = 12_000

// limit returns the limit that applies to a backend server now, 0 if it is not brittle.
func (b *brittleServers) limit(server *control.BackendServer, now time.Time) int {
	if !b.active.Load() {
		return server.BrittleLimit
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.said[serverBoot{server.ID, server.Boot}]
	switch {
	case s == nil && server.BrittleLimit == 0:
		return b.byService[server.Service]
	case s == nil:
		return server.BrittleLimit
	case now.Sub(s.at) < ownBrittlePrecedence:
		return s.limit
	case s.limit == 0 || now.Sub(s.at) >= fleet.BrittleTTL:
		return server.BrittleLimit
	case server.BrittleLimit == 0:
		return s.limit
	default:
		return min(s.limit, server.BrittleLimit)
	}
}

// takeReports returns what the leader should learn: statements that differ from the last report, and now and then those that go on.
func (b *brittleServers) takeReports(now time.Time, members int) []control.BrittleReport {
	if !b.active.Load() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []control.BrittleReport
	for server, s := range b.said {
		age := now.Sub(s.at)
		changed := s.reported != s.limit
		repeat := s.limit > 0 && age < brittleReportInterval && now.Sub(s.lastReport) >= brittleReportInterval
		if repeat && !changed && rand.Float64()*float64(members) >= brittleReporters {
			// The next try follows after the interval.
			s.lastReport = now
			continue
		}
		if !changed && !repeat || len(out) >= maxBrittleReports {
			continue
		}
		s.lastReport, s.reported = now, s.limit
		out = append(out, control.BrittleReport{BackendServer: server.server, Boot: server.boot, Limit: s.limit, Age: max(age, 0)})
	}
	return out
}

// update takes over a fleet table: it removes statements that are over and boots that were replaced, and finds the services whose
// backend servers are brittle. It returns the boots whose statement ended without an answer that says so.
func (b *brittleServers) update(f *blackboard.Fleet, now time.Time) (expired []serverBoot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for server, s := range b.said {
		row := f.Servers[server.server]
		over := now.Sub(s.at) >= fleet.BrittleTTL
		if row != nil && row.Boot != server.boot || over {
			if s.limit > 0 {
				expired = append(expired, server)
			}
			delete(b.said, server)
		}
	}
	b.byService = map[string]int{}
	anyRow := false
	for service, servers := range f.ByService {
		brittle, smallest := 0, 0
		for _, row := range servers {
			limit := row.BrittleLimit
			anyRow = anyRow || limit > 0
			if s := b.said[serverBoot{row.ID, row.Boot}]; s != nil && s.limit > 0 {
				limit = s.limit
			}
			if limit > 0 {
				brittle++
				if smallest == 0 || limit < smallest {
					smallest = limit
				}
			}
		}
		if brittle > 0 && 2*brittle >= len(servers) {
			b.byService[service] = smallest
		}
	}
	b.active.Store(anyRow || len(b.said) > 0)
	return expired
}

// instanceNames returns the ids of all entry instances, and own if the fleet table lacks it. It returns the same slice as long as the
// table has the same list.
func (b *brittleServers) instanceNames(f *blackboard.Fleet, own string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.instances == nil || len(b.membersOf) != len(f.Members) || len(f.Members) > 0 && &b.membersOf[0] != &f.Members[0] {
		names := memberNames(f)
		if !slices.Contains(names, own) {
			names = append(names, own)
		}
		slices.Sort(names)
		if !slices.Equal(names, b.instances) {
			b.instances = names
		}
		b.membersOf = f.Members
	}
	return b.instances
}

// recordBrittle records whether the answer states that its backend server is brittle.
func (x *exchange) recordBrittle(limit int) {
	if limit > 0 {
		x.h.metrics.serverStatements.WithLabelValues("brittle").Inc()
	}
	before, changed := x.h.brittle.record(x.server, limit, x.began, time.Now())
	if changed {
		x.h.cfg.Log.Info("server_brittle", "request", x.rq.id, "backend_server", x.server.ID, "boot", x.server.Boot, "limit", limit, "before", before)
	}
}

// updateBrittle removes statements that are over, and logs those that no answer ended.
func (h *Handler) updateBrittle(f *blackboard.Fleet, now time.Time) {
	for _, server := range h.brittle.update(f, now) {
		h.cfg.Log.Info("server_brittle_expired", "backend_server", server.server, "boot", server.boot)
	}
}

// TakeBrittle returns what the leader should learn of brittle backend servers.
func (h *Handler) TakeBrittle() []control.BrittleReport {
	return h.brittle.takeReports(time.Now(), len(h.cfg.Board.Fleet.Load().Members))
}

// setBrittle sets what the rows' backend servers state of being brittle.
func (h *Handler) setBrittle(snap *routing.Snapshot, rows []balance.Row, servers []*control.BackendServer) {
	var instances []string
	for i := range rows {
		limit := h.brittle.limit(servers[i], snap.Now)
		if limit <= 0 {
			continue
		}
		if instances == nil {
			instances = h.brittle.instanceNames(snap.Fleet, h.cfg.Instance)
		}
		rows[i].Brittle = balance.Brittle{Limit: limit, Boot: servers[i].Boot, Instances: instances, Instance: h.cfg.Instance}
	}
}
