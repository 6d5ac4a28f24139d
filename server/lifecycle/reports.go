package lifecycle

import (
	"slices"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/fleet"
)

const (
	// A server becomes cold when its time to the first token is over slowFactor times the pool median for slowRequests
	// requests in a row. The excess over the median must also be above slowExcessMillis, because times of a few
	// milliseconds vary by such a factor anyway.
	slowFactor       = 4
	slowRequests     = 3
	slowExcessMillis = 200
	// slowPause is the time for which slow answers of a boot are ignored after the server was set to cold: long prompts can
	// exceed slowFactor by chance.
	slowPause = 2 * time.Minute

	// latencyWindowSize is the number of reports that a pool median covers. No median is computed from fewer than
	// minLatencies reports.
	latencyWindowSize = 64
	minLatencies      = 16
	// reportsPerMedian is the number of reports after which the median is computed again. It isn't computed for each report,
	// because that needs sorting.
	reportsPerMedian = 8
	// maxLatencyKeys is the greatest number of pools whose latencies are stored; latencies of further pools are ignored.
	maxLatencyKeys = 1024

	// An entry instance that reports more than maxServersPerReporter servers within reporterWindow probably has a fault in
	// its own network, and its further reports are ignored.
	maxServersPerReporter = 3
	reporterWindow        = 5 * time.Second
	// reporterPause is the time during which further connection reports of the same entry instance about the same boot are
	// ignored. Otherwise an instance with a broken path to one server would keep that server below full load for all
	// others.
	reporterPause = 2 * time.Minute
	// maxReporters bounds the memory for the recent reports by entry instance.
	maxReporters = 1024
	// At most 1/maxDemotedDivisor of the servers of a pool (rounded down, but at least one) are kept below full load at once
	// because of reports. If there are reports about more servers, the network is the likely cause, and the pool needs the
	// servers.
	maxDemotedDivisor = 3
)

// suspicion is the evidence from reports of entry instances that a server may be down or cold.
type suspicion struct {
	// connectionFailedAt is when a connection was last reported as refused or reset; zero once the server has announced
	// itself again.
	connectionFailedAt time.Time
	// answersSlowly says that the server answers as slowly as one that has just started.
	answersSlowly bool
	// slowStreak is the number of slow requests in a row.
	slowStreak       int
	slowIgnoredUntil time.Time
	// lastReporter is the entry instance that sent the last accepted report of a failed connection. Its further reports of
	// this kind are ignored until reporterIgnoredUntil.
	lastReporter         string
	reporterIgnoredUntil time.Time
	// demoted says that the server is below full load because of reports.
	demoted bool
}

// latencyKey identifies a pool: a version in a class.
type latencyKey struct {
	catalogue.VersionRef
	class string
}

// latencies holds the mean times to the first token that were recently reported for a pool, and their median. All are in
// milliseconds.
type latencies struct {
	values [latencyWindowSize]int64
	count  int
	median int64
}

func (l *latencies) add(millis int64) {
	l.values[l.count%latencyWindowSize] = millis
	l.count++
	if l.count < minLatencies || l.count%reportsPerMedian != 0 {
		return
	}
	sorted := l.values
	window := sorted[:min(l.count, latencyWindowSize)]
	slices.Sort(window)
	l.median = window[len(window)/2]
}

// decideSuspicion returns the phase that follows from the reports about the server; false if they require none. The phase
// is suspect after a refused or reset connection. It is cold when the server has announced itself after that, or when it
// answers as slowly as a cold server.
func (s *server) decideSuspicion(now, reported time.Time, row *control.BackendServer) (decision, bool) {
	cold := decision{phase: control.PhaseCold, limit: fleet.ColdLimit(row.Announcement)}
	switch {
	case !s.connectionFailedAt.IsZero() && reported.After(s.connectionFailedAt):
		s.connectionFailedAt = time.Time{}
		cold.reason = "announced again after a refused or reset connection"
	case !s.connectionFailedAt.IsZero():
		return decision{phase: control.PhaseSuspect, reason: "connection refused or reset"}, true
	case s.answersSlowly:
		cold.reason = "first token over 4 times the pool median for 3 requests"
	default:
		return decision{}, false
	}
	s.answersSlowly, s.slowStreak = false, 0
	s.slowIgnoredUntil = now.Add(slowPause)
	return cold, true
}

// AddOutcomes counts the completed requests of each server, so that its limit can double, and marks servers that answer
// as slowly as cold ones.
func (c *Controller) AddOutcomes(now time.Time, _ string, outcomes []control.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range outcomes {
		o := &outcomes[i]
		s := c.servers[o.BackendServer]
		if s == nil || o.Boot != s.boot || o.Requests <= 0 {
			continue
		}
		if o.Failures > 0 {
			s.completions = 0
			continue
		}
		s.completions += o.Requests
		c.addLatency(now, s, o)
	}
}

func (c *Controller) addLatency(now time.Time, s *server, o *control.Outcome) {
	if s.current.phase != control.PhaseInService || o.FirstTokenMillis <= 0 {
		return
	}
	key := latencyKey{o.VersionRef, o.Class}
	l := c.poolLatencies[key]
	if l == nil {
		if len(c.poolLatencies) >= maxLatencyKeys {
			return
		}
		l = &latencies{}
		c.poolLatencies[key] = l
	}
	mean := o.FirstTokenMillis / int64(o.Requests)
	isSlow := l.median > 0 && mean > slowFactor*l.median && mean > l.median+slowExcessMillis
	l.add(mean)
	if !isSlow {
		s.slowStreak = 0
		return
	}
	s.slowStreak += o.Requests
	if s.slowStreak >= slowRequests {
		c.suspectSlow(now, s)
	}
}

// AddSuspects adds the reports of an entry instance about refused or reset connections and slow answers.
func (c *Controller) AddSuspects(now time.Time, instance string, reports []control.SuspectReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reports {
		s := c.servers[r.BackendServer]
		if s == nil || s.boot != r.Boot || r.Reason == control.SuspectLeaving || !c.countReport(now, instance, r.BackendServer) {
			continue
		}
		if r.Reason == control.SuspectSlow {
			c.suspectSlow(now, s)
			continue
		}
		if s.lastReporter == instance && now.Before(s.reporterIgnoredUntil) {
			continue
		}
		if c.mayDemote(s) {
			s.connectionFailedAt, s.demoted = now, true
			s.lastReporter, s.reporterIgnoredUntil = instance, now.Add(reporterPause)
		}
	}
}

// suspectSlow marks a server that is in service as slow. The next tick sets its phase to cold.
func (c *Controller) suspectSlow(now time.Time, s *server) {
	if s.current.phase == control.PhaseInService && !now.Before(s.slowIgnoredUntil) && c.mayDemote(s) {
		s.answersSlowly, s.demoted = true, true
	}
}

// countReport records that the entry instance has reported the server id. It returns false if the report must be ignored,
// because the instance has reported more than maxServersPerReporter servers within reporterWindow.
func (c *Controller) countReport(now time.Time, instance, id string) bool {
	recent := c.recentReports[instance]
	if recent == nil {
		if len(c.recentReports) >= maxReporters {
			clear(c.recentReports)
		}
		recent = map[string]time.Time{}
		c.recentReports[instance] = recent
	}
	for other, at := range recent {
		if now.Sub(at) >= reporterWindow {
			delete(recent, other)
		}
	}
	recent[id] = now
	return len(recent) <= maxServersPerReporter
}

// mayDemote reports whether reports may reduce the server's load: it is already reduced because of reports, or each of its
// pools can spare it.
func (c *Controller) mayDemote(s *server) bool {
	switch s.current.phase {
	case control.PhaseCold, control.PhaseRamping, control.PhaseInService, control.PhaseSuspect:
	default:
		return false
	}
	row := c.fleet.Servers[s.id]
	if row == nil || s.demoted {
		return row != nil
	}
	if row.Service != "" && !c.canSpare(c.fleet.ByService[row.Service]) {
		return false
	}
	for _, v := range row.Versions {
		if !c.canSpare(c.fleet.ByVersion[v]) {
			return false
		}
	}
	return true
}

// canSpare reports whether one more server of the pool may be demoted.
func (c *Controller) canSpare(pool []*control.BackendServer) bool {
	demoted := 0
	for _, row := range pool {
		if s := c.servers[row.ID]; s != nil && s.demoted {
			demoted++
		}
	}
	return demoted < max(1, len(pool)/maxDemotedDivisor)
}
