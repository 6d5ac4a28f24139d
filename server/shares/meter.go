package shares

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"clementinetray/api/control"
)

const (
	// AveragingTime is the time constant of the exponential mean of the use. With a round of heartbeats for the report and one
	// for the reply, a change of the load is known to all instances within 3 s; a shorter mean would follow single long requests.
	AveragingTime = 1500 * time.Millisecond
	// MaxReported bounds the workspaces in one heartbeat and in one reply.
	MaxReported = 100
	// maxMetered bounds the workspaces that a meter keeps; further ones are not counted until others are idle.
	maxMetered = 4096
	// forgetTime is how long after its last request a workspace is removed from the meter. Its use has then fallen below 1%.
	forgetTime = 5 * AveragingTime
)

// Meter measures what the workspaces ask of one entry instance and what they are served. It does nothing until it is enabled. It is
// safe for concurrent use.
type Meter struct {
	enabled atomic.Bool
	metrics *instanceMetrics

	mu    sync.Mutex // guards the fields below
	use   map[string]*meteredUse
	ended ended
	// waiting is the cost of the requests that wait now, here or at backend servers.
	waiting float64
	// costs holds the sum of the costs of all requests that were asked for, as asked, and the sum of their squares, as served.
	costs meteredUse
}

// meteredUse holds the use of one workspace.
type meteredUse struct {
	// asked and served are the exponentially decayed sums of the costs up to the time at, the last report or the first request.
	asked, served float64
	at            time.Time
	// newAsked and newServed are the costs since then. They are added as if they were spread evenly over that time: a plain decayed sum would
	// count what comes just before a report for more, and what an instance places changes with the standings that each heartbeat brings.
	newAsked, newServed float64
	lastRequest         time.Time
}

// Enable starts or stops the measurement. A meter that is stopped reports nothing.
func (m *Meter) Enable(on bool) { m.enabled.Store(on) }

// Served counts an attempt that was sent to a backend server. cost is the expected cost of the request, in a unit that is the same
// on all instances.
func (m *Meter) Served(workspace string, cost float64, now time.Time) {
	m.add(workspace, cost, cost, now)
}

// NotRun takes back an attempt that was counted by Served and did not run, for instance because the backend server was full.
func (m *Meter) NotRun(workspace string, cost float64, now time.Time) {
	if !m.enabled.Load() || !validAmount(cost) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if u := m.use[workspace]; u != nil {
		u.newAsked, u.asked = takeBack(u.newAsked, u.asked, cost)
		u.newServed, u.served = takeBack(u.newServed, u.served, cost)
	}
}

// takeBack subtracts a cost from the new sum, and what exceeds it from the earlier one.
func takeBack(recent, earlier, cost float64) (float64, float64) {
	return max(recent-cost, 0), max(earlier-max(cost-recent, 0), 0)
}

// Ended counts the end of an attempt that was counted by Served and that may have run. While requests wait for backend servers, what ends
// shows their capacity; what is placed also fills and empties their queues.
func (m *Meter) Ended(cost float64, now time.Time) {
	if !m.enabled.Load() || !validAmount(cost) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended.add(cost, now)
}

// Refused counts a request that was refused, without having run, because there was no capacity for it.
func (m *Meter) Refused(workspace string, cost float64, now time.Time) {
	m.add(workspace, cost, 0, now)
}

// Asked counts a request that begins to wait in this instance for a backend server. Its placement is counted by Placed, and its refusal not again:
// a request may wait for many seconds, and the workspace would seem to ask for little as long.
func (m *Meter) Asked(workspace string, cost float64, now time.Time) {
	m.add(workspace, cost, 0, now)
}

// Placed counts an attempt that was sent to a backend server, of a request that was counted by Asked.
func (m *Meter) Placed(workspace string, cost float64, now time.Time) {
	m.add(workspace, 0, cost, now)
}

// WaitBegan counts a request that waits from now on, in this instance or at a backend server without a free slot. WaitEnded must follow with
// the same cost.
func (m *Meter) WaitBegan(cost float64) { m.addWaiting(cost) }

// WaitEnded counts the end of a wait that was counted by WaitBegan.
func (m *Meter) WaitEnded(cost float64) { m.addWaiting(-cost) }

// addWaiting also counts while the meter is not enabled, so that waits across its start and stop add up to zero.
func (m *Meter) addWaiting(cost float64) {
	if !validAmount(math.Abs(cost)) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting += cost
}

// ReportRequestCost returns the mean cost of the requests of the last seconds, weighted by their cost, for a heartbeat; 0 without any, and while
// the meter is not enabled.
func (m *Meter) ReportRequestCost(now time.Time) float64 {
	if !m.enabled.Load() {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.costs.decay(now)
	if m.costs.asked <= 0 {
		return 0
	}
	return roundAmount(min(m.costs.served/m.costs.asked, maxAmount))
}

// ReportWaiting returns the cost of the requests that wait now, for a heartbeat; 0 while the meter is not enabled.
func (m *Meter) ReportWaiting() float64 {
	if !m.enabled.Load() {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return roundAmount(min(max(m.waiting, 0), maxAmount))
}

func (m *Meter) add(workspace string, asked, served float64, now time.Time) {
	if !m.enabled.Load() || workspace == "" || !validAmount(asked) || !validAmount(served) || asked == 0 && served == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.use[workspace]
	if u == nil {
		if len(m.use) >= maxMetered {
			return
		}
		u = &meteredUse{at: now}
		m.use[workspace] = u
	}
	if now.After(u.lastRequest) {
		u.lastRequest = now
	}
	u.newAsked = min(u.newAsked+asked, maxAmount)
	u.newServed = min(u.newServed+served, maxAmount)
	if m.costs.at.IsZero() {
		m.costs.at = now
	}
	m.costs.newAsked = min(m.costs.newAsked+asked, maxAmount)
	m.costs.newServed = min(m.costs.newServed+asked*asked, maxAmount)
}

// decay moves the sums to the time now. A time before the last one moves no time.
func (u *meteredUse) decay(now time.Time) {
	weight := 1.0
	if elapsed := now.Sub(u.at).Seconds() / AveragingTime.Seconds(); elapsed > 0 {
		factor := math.Exp(-elapsed)
		u.asked, u.served, u.at = u.asked*factor, u.served*factor, now
		weight = -math.Expm1(-elapsed) / elapsed
	}
	u.asked = min(u.asked+weight*u.newAsked, maxAmount)
	u.served = min(u.served+weight*u.newServed, maxAmount)
	u.newAsked, u.newServed = 0, 0
}

// ReportEnded returns what ended in the last slots, for a heartbeat; nil while the meter is not enabled, and before the first end.
func (m *Meter) ReportEnded(now time.Time) *control.EndedCost {
	if !m.enabled.Load() {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended.report(now)
}

// Report returns the use of the largest workspaces for a heartbeat, and whether the meter is enabled.
func (m *Meter) Report(now time.Time) (use []control.WorkspaceUse, enabled bool) {
	if !m.enabled.Load() {
		return nil, false
	}
	m.mu.Lock()
	for name, u := range m.use {
		if now.Sub(u.lastRequest) >= forgetTime {
			delete(m.use, name)
			continue
		}
		u.decay(now)
		use = append(use, control.WorkspaceUse{Workspace: name, Asked: u.asked / AveragingTime.Seconds(), Served: u.served / AveragingTime.Seconds()})
	}
	m.mu.Unlock()
	slices.SortFunc(use, func(a, b control.WorkspaceUse) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Workspace, b.Workspace))
	})
	use = use[:min(len(use), MaxReported)]
	for i := range use {
		use[i].Asked, use[i].Served = roundAmount(use[i].Asked), roundAmount(use[i].Served)
	}
	m.metrics.reported.Set(float64(len(use)))
	return use, true
}

// maxAmount is the largest amount that counts as valid. Sums of 410 reports of it are finite.
const maxAmount = 1e15

// validAmount reports whether v is a number from 0 to maxAmount.
func validAmount(v float64) bool { return v >= 0 && v <= maxAmount }

// roundAmount rounds to 10 bits, an error below 1 in 1,000. gob omits the trailing zero bytes of a number, so that an amount takes 4
// bytes instead of 9.
func roundAmount(v float64) float64 {
	fraction, exponent := math.Frexp(v)
	return math.Ldexp(math.Round(fraction*1024)/1024, exponent)
}
