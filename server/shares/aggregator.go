package shares

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

const (
	// recomputeInterval is the least time between two computations of the shares; at 410 instances one takes about a millisecond.
	recomputeInterval = 200 * time.Millisecond
	// maxInstances bounds the instances that the aggregator keeps.
	maxInstances = 4096
	// rankingTime is the time constant of the mean use by which workspaces above their shares are ordered among each other. Instances
	// follow an order with a delay of about 2 s, so two workspaces take turns; with a mean over 6 s one of them got up to 12% too little.
	rankingTime = 12 * time.Second
	// logInterval is the least time between two log lines about one workspace, and logBurst the most lines in that time.
	logInterval = time.Minute
	logBurst    = 20
)

// Config holds the dependencies of an Aggregator.
type Config struct {
	// Catalogue returns the catalogue in force, with the workspaces and their weights. It may return nil.
	Catalogue func() *catalogue.Catalogue
	// Registerer and Log may be nil.
	Registerer prometheus.Registerer
	Log        *slog.Logger
}

// Aggregator computes the standings of workspaces from the reports of all entry instances. It runs at the control leader and keeps
// soft state only. It is safe for concurrent use.
type Aggregator struct {
	catalogue func() *catalogue.Catalogue
	metrics   *leaderMetrics
	log       *slog.Logger

	mu sync.Mutex // guards the fields below
	// gathersUntil is the end of the wait of a new leader that knows no members; zero before the first use.
	gathersUntil time.Time
	instances    map[string]*instanceReport
	computedAt   time.Time
	// known, reporting, expected, demands and standings are results of the last computation.
	known               bool
	reporting, expected int
	demands             []demand
	capacity            float64
	standings           []control.WorkspaceStanding
	// loggedAt is when each workspace above its share was last logged. aboveBefore holds those of the last computation.
	loggedAt    map[string]time.Time
	aboveBefore map[string]bool
	// useOfShare is the mean of served/share over the last rankingTime, for each workspace above its share.
	useOfShare map[string]float64
}

// instanceReport is the last report of one entry instance.
type instanceReport struct {
	boot     string
	sequence uint64
	seenAt   time.Time
	// reportedAt is zero if the instance has sent no report to this leader.
	reportedAt time.Time
	use        []control.WorkspaceUse
	ended      *control.EndedCost
	// waiting is the cost of the requests that wait, and requestCost the mean cost of one, weighted by the cost.
	waiting, requestCost float64
}

// NewAggregator returns an aggregator without reports.
func NewAggregator(c Config) (*Aggregator, error) {
	m, err := newLeaderMetrics(c.Registerer)
	if err != nil {
		return nil, err
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	a := &Aggregator{catalogue: c.Catalogue, metrics: m, log: c.Log}
	a.resetLocked(time.Time{}, nil)
	return a, nil
}

// Reset discards all reports. members are the entry instances that the replica knows of when it becomes leader. Their reports are
// awaited; if there are none, all reports of the next gatherTime are awaited.
func (a *Aggregator) Reset(now time.Time, members []control.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resetLocked(now, members)
}

func (a *Aggregator) resetLocked(now time.Time, members []control.Member) {
	a.gathersUntil = time.Time{}
	if !now.IsZero() && len(members) == 0 {
		a.gathersUntil = now.Add(gatherTime)
	}
	a.instances = map[string]*instanceReport{}
	for _, m := range members[:min(len(members), maxInstances)] {
		a.instances[m.Instance] = &instanceReport{boot: m.Boot, seenAt: now}
	}
	a.computedAt, a.known, a.reporting, a.expected = time.Time{}, false, 0, 0
	a.demands, a.standings = nil, nil
	a.loggedAt, a.aboveBefore = map[string]time.Time{}, map[string]bool{}
	a.useOfShare = nil
}

// Heartbeat records the report in a heartbeat and adds the standings to its reply. It adds nothing if the sender reports no use.
func (a *Aggregator) Heartbeat(now time.Time, in *control.HeartbeatRequest, out *control.HeartbeatReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.instances) == 0 && a.gathersUntil.IsZero() {
		a.gathersUntil = now.Add(gatherTime)
	}
	a.record(now, in)
	if !in.ReportsUse {
		return
	}
	a.compute(now)
	if a.known {
		out.StandingsTTL, out.Standings = StandingsTTL, a.standings
	}
}

func (a *Aggregator) record(now time.Time, in *control.HeartbeatRequest) {
	r := a.instances[in.Instance]
	if r == nil || r.boot != in.Boot {
		if r == nil && len(a.instances) >= maxInstances {
			return
		}
		r = &instanceReport{boot: in.Boot}
		a.instances[in.Instance] = r
	}
	if in.Sequence < r.sequence {
		// The heartbeat was overtaken by a later one.
		return
	}
	r.sequence, r.seenAt = in.Sequence, now
	r.use, r.ended, r.waiting, r.requestCost, r.reportedAt = nil, nil, 0, 0, time.Time{}
	if !in.ReportsUse {
		return
	}
	r.use, r.reportedAt = a.validUse(in.Use[:min(len(in.Use), MaxReported)]), now
	if validAmount(in.Waiting) && validAmount(in.RequestCost) {
		r.waiting, r.requestCost = in.Waiting, in.RequestCost
	} else {
		a.metrics.invalid.Inc()
	}
	if validEnded(in.Ended) {
		r.ended = in.Ended
	} else {
		a.metrics.invalid.Inc()
	}
}

// validUse returns the entries whose amounts are valid.
func (a *Aggregator) validUse(use []control.WorkspaceUse) []control.WorkspaceUse {
	isInvalid := func(u control.WorkspaceUse) bool { return !validAmount(u.Asked) || !validAmount(u.Served) }
	if !slices.ContainsFunc(use, isInvalid) {
		return use
	}
	valid := slices.DeleteFunc(slices.Clone(use), isInvalid)
	a.metrics.invalid.Add(float64(len(use) - len(valid)))
	return valid
}

// Leave removes one boot of an instance that has stopped as planned.
func (a *Aggregator) Leave(instance, boot string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.instances[instance]; r != nil && r.boot == boot {
		delete(a.instances, instance)
	}
}

// Shares returns the use and the share of each workspace for operators.
func (a *Aggregator) Shares(now time.Time) control.SharesReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.compute(now)
	reply := control.SharesReply{Known: a.known, Reporting: a.reporting, Expected: a.expected, Workspaces: []control.WorkspaceShare{}}
	for _, d := range a.demands {
		reply.Workspaces = append(reply.Workspaces, control.WorkspaceShare{
			Workspace: d.workspace, Weight: d.weight, Asked: d.asked, Used: d.served, Share: d.share, Ratio: d.ratio, Above: d.above,
		})
	}
	slices.SortFunc(reply.Workspaces, func(x, y control.WorkspaceShare) int {
		return cmp.Or(cmp.Compare(y.Ratio, x.Ratio), cmp.Compare(y.Used, x.Used), cmp.Compare(x.Workspace, y.Workspace))
	})
	return reply
}

// compute updates the shares if recomputeInterval has passed.
func (a *Aggregator) compute(now time.Time) {
	if elapsed := now.Sub(a.computedAt); elapsed >= 0 && elapsed < recomputeInterval {
		return
	}
	elapsed := now.Sub(a.computedAt)
	a.computedAt = now
	a.countInstances(now)
	s := a.sumReports(now)
	for i := range s.demands {
		_, s.demands[i].wasAbove = a.useOfShare[s.demands[i].workspace]
	}
	a.demands, a.capacity = s.demands, s.capacity
	divide(s)
	a.smoothRatios(elapsed)
	a.standings = standingsOf(a.demands)
	a.logAbove(now)
}

// countInstances removes instances that count as lost and decides whether the standings are known.
func (a *Aggregator) countInstances(now time.Time) {
	a.reporting, a.expected = 0, 0
	for name, r := range a.instances {
		if now.Sub(r.seenAt) >= memberTTL {
			delete(a.instances, name)
			continue
		}
		a.expected++
		if r.isCurrent(now) {
			a.reporting++
		}
	}
	a.known = a.reporting > 0 && a.reporting*100 >= a.expected*requiredPercent && !now.Before(a.gathersUntil)
	a.metrics.reporting.Set(float64(a.reporting))
	a.metrics.expected.Set(float64(a.expected))
}

func (r *instanceReport) isCurrent(now time.Time) bool {
	return !r.reportedAt.IsZero() && now.Sub(r.reportedAt) < reportTTL
}

// sumReports returns the sums over all current reports for the workspaces of the catalogue. Other workspaces count as absent. An instance at which
// nothing ended counts with what it placed: it may be of an earlier version, or its first requests still run.
func (a *Aggregator) sumReports(now time.Time) (s sums) {
	c := a.catalogue()
	if c == nil {
		return sums{}
	}
	index := make(map[string]int, len(c.Workspaces))
	s.demands = make([]demand, len(c.Workspaces))
	for i, w := range c.Workspaces {
		index[w.Name] = i
		s.demands[i] = demand{workspace: w.Name, weight: validWeight(w.Weight)}
	}
	asked, squares := 0.0, 0.0
	for _, r := range a.instances {
		if !r.isCurrent(now) {
			continue
		}
		rate, ended := endedRate(r.ended, now.Sub(r.reportedAt))
		s.capacity += rate
		s.waiting += r.waiting
		for _, u := range r.use {
			if !ended {
				s.capacity += u.Served
			}
			asked += u.Asked
			squares += u.Asked * r.requestCost
			if i, known := index[u.Workspace]; known {
				s.demands[i].asked += u.Asked
				s.demands[i].served += u.Served
			}
		}
	}
	if asked > 0 {
		s.requestCost = squares / asked
	}
	s.demands = slices.DeleteFunc(s.demands, func(d demand) bool { return d.asked == 0 && d.served == 0 })
	return s
}

// smoothRatios replaces the ratios of the workspaces above their shares by those of their mean use.
func (a *Aggregator) smoothRatios(elapsed time.Duration) {
	weight := 1 - math.Exp(-max(elapsed.Seconds(), 0)/rankingTime.Seconds())
	next := map[string]float64{}
	for i := range a.demands {
		d := &a.demands[i]
		if !d.above || d.share <= 0 {
			continue
		}
		use := min(d.served/d.share, maxAmount)
		if before, known := a.useOfShare[d.workspace]; known {
			use = before + weight*(use-before)
		}
		next[d.workspace] = use
		d.ratio = ratioAbove(use, 1)
	}
	a.useOfShare = next
}

// standingsOf returns the standings to send: those that differ from 1, the farthest from it first.
func standingsOf(demands []demand) []control.WorkspaceStanding {
	var listed []demand
	for _, d := range demands {
		if d.listed {
			listed = append(listed, d)
		}
	}
	slices.SortFunc(listed, func(x, y demand) int {
		return cmp.Or(cmp.Compare(math.Abs(y.ratio-1), math.Abs(x.ratio-1)), cmp.Compare(x.workspace, y.workspace))
	})
	var standings []control.WorkspaceStanding
	for _, d := range listed[:min(len(listed), MaxReported)] {
		standings = append(standings, control.WorkspaceStanding{Workspace: d.workspace, Ratio: roundAmount(d.ratio)})
	}
	return standings
}

// logAbove logs each workspace that has gone above its share since the last computation, within the limits of logInterval and
// logBurst.
func (a *Aggregator) logAbove(now time.Time) {
	above := map[string]bool{}
	for name, at := range a.loggedAt {
		if now.Sub(at) >= logInterval {
			delete(a.loggedAt, name)
		}
	}
	for _, d := range a.demands {
		if !d.above {
			continue
		}
		above[d.workspace] = true
		if _, logged := a.loggedAt[d.workspace]; !a.known || a.aboveBefore[d.workspace] || logged || len(a.loggedAt) >= logBurst {
			continue
		}
		a.loggedAt[d.workspace] = now
		a.log.Info("workspace_above_share", "workspace", d.workspace, "asked", d.asked, "used", d.served, "share", d.share, "ratio", d.ratio,
			"weight", d.weight, "reporting", a.reporting, "expected", a.expected)
	}
	if a.known {
		a.aboveBefore = above
	}
	a.metrics.above.Set(float64(len(above)))
}
