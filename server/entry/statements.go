package entry

import (
	"maps"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"clementinetray/api/control"
	"clementinetray/server/balance"
	"clementinetray/server/blackboard"
	"clementinetray/server/routing"
)

const (
	// maxSpareTime is the longest time for which a backend server is spared at its own request.
	maxSpareTime = 10 * time.Minute
	// returnTime is how long a backend server gets a reduced load after it was spared. In the first half it gets
	// firstReturnShare of its slots a second from all instances together, in the second half twice that.
	returnTime       = 2 * time.Second
	firstReturnShare = 0.25
	// statementRetention is how long a statement is kept whose backend server is missing from the fleet table. The table lacks
	// live backend servers while a new control leader rebuilds it.
	statementRetention = 10 * time.Minute
)

// ServerStatement is what a backend server says of itself in an answer.
type ServerStatement struct {
	// Leaving is true if the backend server is about to stop and wants no further requests.
	Leaving bool
	// SpareFor is how long it wants no requests, 0 if it did not say so.
	SpareFor time.Duration
	// BrittleLimit is the number of requests that it can turn away within a second without going down, 0 if it does not say so.
	BrittleLimit int
	// Odd describes values that are not valid and were left out or limited; empty if there are none.
	Odd string
}

// StatementHeaders are the names of the headers of a ServerStatement.
type StatementHeaders struct {
	// Leaving is the header whose value 1 says that the backend server leaves.
	Leaving string
	// Brittle is the header that holds BrittleLimit, a positive integer; 0 is the same as an absent header.
	Brittle string
}

// ReadServerStatement returns the statement in the header of an answer. The time to spare the backend server is in Retry-After, in
// seconds or as a date, of status 503.
func ReadServerStatement(r *http.Response, headers StatementHeaders, now time.Time) ServerStatement {
	var s ServerStatement
	var odd []string
	for _, value := range r.Header.Values(headers.Leaving) {
		if value == "1" {
			s.Leaving = true
		} else {
			odd = append(odd, headers.Leaving+": "+value)
		}
	}
	for _, value := range r.Header.Values(headers.Brittle) {
		limit, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || limit < 0 || limit > control.MaxBrittleLimit {
			odd = append(odd, headers.Brittle+": "+value)
			continue
		}
		// Of several values the smallest is the safe one.
		if limit > 0 && (s.BrittleLimit == 0 || limit < s.BrittleLimit) {
			s.BrittleLimit = limit
		}
	}
	if r.StatusCode == http.StatusServiceUnavailable {
		for _, value := range r.Header.Values("Retry-After") {
			spareFor, ok := parseRetryAfter(value, now)
			if !ok {
				odd = append(odd, "Retry-After: "+value)
			}
			s.SpareFor = max(s.SpareFor, spareFor)
		}
	}
	s.Odd = strings.Join(odd, ", ")
	return s
}

// parseRetryAfter returns the time that a value of Retry-After states, 0 if it is invalid or in the past. ok is false if the
// value is invalid, or over maxSpareTime and limited to that.
func parseRetryAfter(value string, now time.Time) (d time.Duration, ok bool) {
	if at, err := http.ParseTime(value); err == nil {
		d = max(at.Sub(now), 0)
		return min(d, maxSpareTime), d <= maxSpareTime
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, false
	}
	if seconds > maxSpareTime.Seconds() {
		return maxSpareTime, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// statements holds what each boot of a backend server last said of itself to this instance.
type statements struct {
	// byBoot is replaced on each change, so that decisions read it without a lock. It is nil while there are no statements.
	byBoot atomic.Pointer[map[serverBoot]statement]
	mu     sync.Mutex // serializes changes
}

type statement struct {
	routing.Statement
	// request is the request whose answer brought the statement, at is when.
	request string
	at      time.Time
}

// lookup returns the function by which decisions read the statements; nil if there are none.
func (s *statements) lookup() func(server, boot string) routing.Statement {
	current := s.byBoot.Load()
	if current == nil {
		return nil
	}
	return func(server, boot string) routing.Statement { return (*current)[serverBoot{server, boot}].Statement }
}

// add merges a statement into what the boot said before, and reports whether it says something new.
func (s *statements) add(server serverBoot, said ServerStatement, request string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[serverBoot]statement{}
	if current := s.byBoot.Load(); current != nil {
		next = maps.Clone(*current)
	}
	before := next[server]
	after := before
	after.Leaving = before.Leaving || said.Leaving
	if until := now.Add(said.SpareFor); said.SpareFor > 0 && until.After(before.SpareUntil) {
		after.SpareUntil = until
	}
	if after == before {
		return false
	}
	after.request, after.at = request, now
	next[server] = after
	s.byBoot.Store(&next)
	return !before.Leaving && after.Leaving || !before.SpareUntil.After(now) && after.SpareUntil.After(now)
}

// removeEnded removes and returns the statements that no longer apply: those of another boot than the one in the table, of
// backend servers that are gone, and those whose time is over.
func (s *statements) removeEnded(fleet *blackboard.Fleet, now time.Time) map[serverBoot]statement {
	if s.byBoot.Load() == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kept, ended := map[serverBoot]statement{}, map[serverBoot]statement{}
	for server, st := range *s.byBoot.Load() {
		row := fleet.Servers[server.server]
		replaced := row != nil && row.Boot != server.boot
		gone := row == nil && now.Sub(st.at) > statementRetention
		over := !st.Leaving && now.After(st.SpareUntil.Add(returnTime))
		if replaced || gone || over {
			ended[server] = st
		} else {
			kept[server] = st
		}
	}
	switch {
	case len(kept) == 0:
		s.byBoot.Store(nil)
	case len(ended) > 0:
		s.byBoot.Store(&kept)
	}
	return ended
}

// recordAnswerStatement records the statement in the header of the answer, unless another backend server has the address now.
func (x *exchange) recordAnswerStatement() {
	if x.rq.routed == nil {
		x.recordStatement(ReadServerStatement(x.response, statementHeaders, time.Now()))
	} else if !x.answerMetadata.AddressReassigned {
		x.recordStatement(x.answerMetadata.Statement)
	}
}

// recordStatement records what the backend server says of itself in the answer.
func (x *exchange) recordStatement(said ServerStatement) {
	if said.Odd != "" {
		x.h.cfg.Log.Warn("server_statement_odd", "request", x.rq.id, "backend_server", x.server.ID, "boot", x.server.Boot, "header", said.Odd)
	}
	x.recordBrittle(said.BrittleLimit)
	if !said.Leaving && said.SpareFor <= 0 {
		return
	}
	if said.Leaving {
		x.h.metrics.serverStatements.WithLabelValues("leaving").Inc()
	}
	if said.SpareFor > 0 {
		x.h.metrics.serverStatements.WithLabelValues("spare").Inc()
	}
	if x.h.statements.add(serverBoot{x.server.ID, x.server.Boot}, said, x.rq.id, time.Now()) {
		x.h.cfg.Log.Info("server_statement", "request", x.rq.id, "backend_server", x.server.ID, "boot", x.server.Boot, "leaving", said.Leaving, "spare_for", said.SpareFor)
		x.h.recordServerEvent(x.rq, x.server, "server_statement", "leaving="+strconv.FormatBool(said.Leaving), "spare_for="+said.SpareFor.String())
		if said.Leaving {
			x.h.outcomes.addSuspect(control.SuspectReport{BackendServer: x.server.ID, Boot: x.server.Boot, Reason: control.SuspectLeaving})
		}
	}
}

// removeEndedStatements removes the statements that no longer apply, and logs their end.
func (h *Handler) removeEndedStatements(fleet *blackboard.Fleet, now time.Time) {
	for server, st := range h.statements.removeEnded(fleet, now) {
		h.cfg.Log.Info("server_statement_ended", "backend_server", server.server, "boot", server.boot, "leaving", st.Leaving,
			"request", st.request, "lasted", now.Sub(st.at))
	}
}

// limitReturning limits the load of the rows that were spared until lately, as if they were cold.
func (h *Handler) limitReturning(snap *routing.Snapshot, rows []balance.Row, servers []*control.BackendServer) {
	if snap.StatementOf == nil {
		return
	}
	var instances []string
	for i := range rows {
		row := &rows[i]
		since := snap.Now.Sub(snap.StatementOf(row.ID, servers[i].Boot).SpareUntil)
		if since >= returnTime {
			continue
		}
		if instances == nil {
			instances = memberNames(snap.Fleet)
		}
		perSecond := firstReturnShare * float64(max(row.Slots, 1))
		if since >= returnTime/2 {
			perSecond *= 2
		}
		rate := balance.ColdRate(perSecond, instances, h.cfg.Instance, row.ID)
		if row.ColdRemaining > 0 {
			rate = min(rate, row.ColdRate)
		}
		row.ColdRemaining, row.ColdRate = max(row.ColdRemaining, returnTime-since), rate
	}
}

// earliestReturn returns when the first of the backend servers that the request may run on, and that asked to be spared, may get
// requests again; the zero time if there is none.
func earliestReturn(snap *routing.Snapshot, rq *request, versionMatches func(version string) bool) time.Time {
	var earliest time.Time
	if snap.StatementOf == nil {
		return earliest
	}
	without := *snap
	without.StatementOf = nil
	for _, b := range snap.Fleet.ByService[rq.routed.service] {
		st := snap.StatementOf(b.ID, b.Boot)
		if st.Leaving || !st.SpareUntil.After(snap.Now) || !versionMatches(b.SoftwareVersion) || !routing.Routable(&without, b) {
			continue
		}
		if earliest.IsZero() || st.SpareUntil.Before(earliest) {
			earliest = st.SpareUntil
		}
	}
	return earliest
}
