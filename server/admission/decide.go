// Package admission decides whether a request runs now, waits in this entry instance, or is rejected, and in which order requests wait.
// Decide and Compare are functions of a snapshot and a clock. Pools learns the values of the snapshot from placements and answers, and
// Queue holds the requests that wait.
package admission

import (
	"math"
	"time"
)

// Request holds the properties of a request that decisions depend on.
type Request struct {
	// Rank is the rank under overload; 0 is the most urgent. Values outside 0 to MaxRank count as the nearest one.
	Rank int
	// Standing is the use of the request's workspace in the fleet, divided by its fair share. 0 or less means unknown and counts as 1. Over 1,
	// the workspace asks for more than its share while capacity is short.
	Standing float64
	// Cost is the expected engine time of the request in any unit that is the same for all requests of the pool.
	Cost float64
	// MeanCost is the mean of Cost over the recent requests of the pool and rank, 0 if unknown.
	MeanCost float64
	// Arrived is when the request arrived, and WaitingSince is when the wait for the present attempt began.
	Arrived, WaitingSince time.Time
	// Target is the wanted time to the first event of the answer; 0 means that none is set.
	Target time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Retry is true if this instance rejected the request before.
	Retry bool
	// Attempted is true if an attempt was made. The request then waits until its deadline, as another backend server may have run it.
	Attempted bool
	// Favoured is true if the rank is starved and this is one of its requests that are ordered before more urgent ones for that.
	Favoured bool
	// Draw is a number of the request, 0 to 1, which decides whether it belongs to the share of its rank that is held back.
	Draw float64
}

// Snapshot is the state of a pool at one moment, as seen by this entry instance.
type Snapshot struct {
	// Full reports whether the best backend server counts as full, whatever the rank of the request.
	Full bool
	// Load is the number of requests on the best backend server divided by its slots, and LoadLimit is the load from which it counts
	// as full. LoadKnown is false if the instance has recent reports of under half of the pool. The mean of the last reports then counts as
	// Load if it is larger, as a report of some seconds ago says little of the server's present load.
	Load, LoadLimit float64
	LoadKnown       bool
	// QueueShare is the part, 0 to 1, of FirstEvent that the request spends in the queue of the best backend server.
	QueueShare float64
	// FirstEvent is the expected time from the dispatch to the first event on the best backend server, 0 if unknown.
	FirstEvent time.Duration
	// UseKnown reports whether Use and Queued are known. Use is the share of the pool's slots that are in use, and Queued is true if
	// requests wait at its backend servers.
	UseKnown bool
	Use      float64
	Queued   bool
	// Slots is the number of slots of the pool, and Part this instance's part of the fleet's requests.
	Slots, Part float64
	// SpareEarned is true if this instance may fill a free slot with a request of a workspace above its share, see spare.
	SpareEarned bool
	// WithinShare is the recent part of the pool's requests that are of workspaces within their shares.
	WithinShare float64
	// Outdated is true if the fleet table is too old for a rejection for lateness.
	Outdated bool
	// ReleaseRate is the number of placements per second that end on this instance, 0 if unknown.
	ReleaseRate float64
	// Ahead is the number of requests that wait for the pool in this instance and come before the request. MoreUrgentAhead is true if
	// one of them has a more urgent rank.
	Ahead           int
	MoreUrgentAhead bool
	// Late holds the recent share of requests of each rank that got no first event within their target time, 0 if unknown.
	Late [MaxRank + 1]float64
	// Targets holds the target time of the recent requests of each rank, 0 if there were none.
	Targets [MaxRank + 1]time.Duration
}

// MaxRank is the least urgent rank.
const MaxRank = 9

// Action is what happens to a request now.
type Action int

// Actions of a Decision.
const (
	Run Action = iota
	Wait
	Reject
)

// String returns the name of the action, which is also the value of a metric label.
func (a Action) String() string { return [...]string{"run", "wait", "reject"}[a] }

// Reason says why a decision was made. It is also the value of a metric label.
type Reason string

// Reasons of decisions.
const (
	// ReasonFree means that the pool has capacity for the request.
	ReasonFree Reason = "free"
	// ReasonIdle means that the request would be rejected, but under half of the pool is in use.
	ReasonIdle Reason = "idle"
	// ReasonFull means that the request would wait at the best backend server.
	ReasonFull Reason = "full"
	// ReasonOrder means that requests wait that come before this one.
	ReasonOrder Reason = "order"
	// ReasonHeld means that the request is held back in favour of more urgent ranks.
	ReasonHeld Reason = "held"
	// ReasonLate means that the request can't be answered before its deadline.
	ReasonLate Reason = "late"
)

// Decision is the result of Decide.
type Decision struct {
	Action Action
	Reason Reason
	// Until is when a request that waits is rejected, unless a later decision says otherwise.
	Until time.Time
	// Held is true if the request is held back in favour of more urgent ranks. Other requests then don't wait behind it.
	Held bool
	// ExpectedStart is the expected time until the request can start, 0 if unknown.
	ExpectedStart time.Duration
}

const (
	// waitPercent is the percentage of the target time that a request may wait in any case. A caller that is refused then has time
	// to retry.
	waitPercent = 60
	// longWaitPercent is the percentage of the time between arrival and deadline that a request may wait when it displaces nothing
	// more urgent. A caller that is refused then has as much time left as it has spent.
	longWaitPercent = 50
	// idleUse is the share of a pool's slots in use under which no request is rejected.
	idleUse = 0.5
)

// Decide returns what happens to a request now. It is called again while the request waits.
//
// Load patterns: a surge over the capacity of a pool, in which requests that can't be answered in time would take capacity from those
// that can, and less urgent requests would be served more often than urgent ones; pools that lose servers or speed for a while.
func Decide(now time.Time, r *Request, s *Snapshot) Decision {
	d := decide(now, r, s)
	if d.Action == Reject && s.idle() {
		return Decision{Action: Run, Reason: ReasonIdle}
	}
	return d
}

func decide(now time.Time, r *Request, s *Snapshot) Decision {
	left := r.Deadline.Sub(now)
	full := s.fullFor(r) || s.mayExpire(r, left) || s.isSpareTaken(r)
	start := expectedStart(s, full)
	if !s.Outdated && !r.Attempted && expectedAnswer(r, s, start) > left {
		return Decision{Action: Reject, Reason: ReasonLate, ExpectedStart: start}
	}
	held := s.LoadKnown && s.UseKnown && (s.contended() || s.Queued) && !r.Attempted && r.Draw < HeldShare(r.Rank, r.Retry, &s.Late)*s.heldPart(r)
	d := Decision{Action: Wait, ExpectedStart: start}
	switch {
	case s.Ahead > 0:
		d.Reason = ReasonOrder
	case full:
		d.Reason = ReasonFull
	case held:
		d.Reason = ReasonHeld
	default:
		return Decision{Action: Run, Reason: ReasonFree}
	}
	d.Held = held
	d.Until = waitEnd(r, held || s.MoreUrgentAhead || s.FirstEvent <= 0 && s.ReleaseRate <= 0)
	if !now.Before(d.Until) {
		d.Action = Reject
	}
	return d
}

// idle reports whether the pool has so much unused capacity that no request is rejected.
func (s *Snapshot) idle() bool { return s.UseKnown && s.Use < idleUse && !s.Queued }

const (
	// queuePerRank is the part of the queue at the best backend server that a request leaves to each more urgent rank of its pool. With
	// two more urgent ranks, it starts only where a slot is free.
	queuePerRank = 0.5
	// maxTimeLeft is the largest part of the target time that is left to more urgent ranks likewise: short queues are usual, and do not
	// show that capacity is short.
	maxTimeLeft = 0.75
	// slotsInUse is the load at which all slots are in use.
	slotsInUse = 1
)

// fullFor reports whether the request would wait too long at the best backend server: in an engine whose queue exceeds the target
// time, a request loses its order and can't be sent elsewhere. The queue that less urgent requests accept is shorter, so that they wait
// here first.
func (s *Snapshot) fullFor(r *Request) bool {
	if s.Full || !s.LoadKnown {
		return s.Full
	}
	rank, target, moreUrgent := clampRank(r.Rank), r.Target, 0
	for _, t := range s.Targets[:rank] {
		if t <= 0 {
			continue
		}
		moreUrgent++
		if target <= 0 || t < target {
			target = t
		}
	}
	left := min(float64(moreUrgent)*queuePerRank, 1)
	if moreUrgent > 0 && s.Load >= slotsInUse+max(s.LoadLimit-slotsInUse, 0)*(1-left) {
		return true
	}
	return target > 0 && float64(s.FirstEvent)*min(max(finite(s.QueueShare), 0), 1) > float64(target)*(1-min(left, maxTimeLeft))
}

const (
	// busyUse is the share of the pool's slots in use from which a backend server that looks free is often full by the time the request is there.
	busyUse = 0.9
	// minLeftOfTarget is the part of its target time that a request must have left to start in a busy pool. All 11 requests that ended
	// at their deadline in the replay of restarted instances (seed 1) had started with less.
	minLeftOfTarget = 0.5
)

// mayExpire reports whether the request has so little time left that it would often end at its deadline in the queue of a busy backend server.
// Loads are known with a delay, so that FirstEvent does not show it. It applies where the loads are known, as the rules of ranks do.
func (s *Snapshot) mayExpire(r *Request, left time.Duration) bool {
	return !r.Attempted && !s.Outdated && s.LoadKnown && s.UseKnown && s.Use >= busyUse && float64(left) < minLeftOfTarget*float64(r.Target)
}

// AboveShare reports whether the workspace of the request asks for more than its fair share.
func (r *Request) AboveShare() bool { return r.Standing > 1 }

// leastWithinShare is the part of a pool's requests that must be of workspaces within their shares for the others to give way to them. If all
// are above their shares, as in a surge of all workspaces, slots kept free would be used by nobody.
const leastWithinShare = 0.1

// isSpareTaken reports whether a request of a workspace above its share leaves the free slots to the others. It never waits in a backend server's
// queue, and leaves a tenth of the slots to arrivals: one that runs is not stopped for others that arrive later.
//
// Load pattern: one workspace that sends many times its usual traffic.
func (s *Snapshot) isSpareTaken(r *Request) bool {
	if !r.AboveShare() || s.WithinShare < leastWithinShare || r.Attempted || s.Outdated || !s.LoadKnown || !s.UseKnown || s.idle() {
		return false
	}
	return s.Load >= slotsInUse || s.Use >= busyUse || !s.SpareEarned
}

// heldPart returns the part of HeldShare that applies to a request. Workspaces within their shares are held back less the more of the pool's
// requests are of others, which give way themselves: in the replay of one large workspace, 34 of the 53 rejections of others were
// of requests that were held back.
func (s *Snapshot) heldPart(r *Request) float64 {
	if r.AboveShare() || s.WithinShare < leastWithinShare {
		return 1
	}
	return min(finite(s.WithinShare), 1)
}

// contended reports whether requests wait at the best backend server, for a slot or for their prompts to be read.
func (s *Snapshot) contended() bool { return s.Load >= slotsInUse || s.QueueShare >= contendedShare }

// contendedShare is the part of the time to the first event in the queue from which the best backend server counts as contended: its queue
// takes as long as the request itself.
const contendedShare = 0.5

// expectedStart returns the expected time until the request can start, 0 if it can start now or the time is unknown.
func expectedStart(s *Snapshot, full bool) time.Duration {
	if s.ReleaseRate <= 0 || s.Ahead <= 0 && !full {
		return 0
	}
	return seconds(float64(max(s.Ahead, 0)+1) / s.ReleaseRate)
}

// expectedAnswer returns the expected time until the first event. The queue of the best backend server gets shorter while the request
// waits here, so of the time to the first event only as much is added to the wait as the target allows.
func expectedAnswer(r *Request, s *Snapshot, start time.Duration) time.Duration {
	afterWait := s.FirstEvent
	if r.Target > 0 {
		afterWait = min(afterWait, r.Target)
	}
	return max(s.FirstEvent, start+afterWait)
}

// waitEnd returns when a request that can't start is rejected. short is true if more urgent requests are displaced by it, or if nothing
// is known of the pool's capacity.
func waitEnd(r *Request, short bool) time.Time {
	if r.Attempted {
		return r.Deadline
	}
	total := r.Deadline.Sub(r.Arrived)
	long := r.Arrived.Add(total * longWaitPercent / 100)
	if !short {
		return long
	}
	if r.Target <= 0 {
		return earlier(long, r.WaitingSince.Add(total*longWaitPercent/100))
	}
	return earlier(long, r.WaitingSince.Add(r.Target*waitPercent/100))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

const (
	// lateTolerance is the difference between the shares of late requests of two ranks that is ignored: no kind may be served less
	// often than a less urgent one by over 5 in 100.
	lateTolerance = 0.05
	// heldPerLate is the share of a rank that is held back for each unit by which a more urgent rank is late more often. With 4, the
	// difference that remains is about a fifth of the one without control.
	heldPerLate = 4
	// maxHeldShare leaves a quarter of each rank, so that no kind of request is starved.
	maxHeldShare = 0.75
)

// HeldShare returns the share, 0 to maxHeldShare, of the requests of a rank that wait because more urgent ranks are late more often.
// A retry after a rejection is held back half as often.
func HeldShare(rank int, retry bool, late *[MaxRank + 1]float64) float64 {
	rank = clampRank(rank)
	worst := 0.0
	for _, share := range late[:rank] {
		worst = max(worst, finite(share))
	}
	held := min(max(heldPerLate*(worst-finite(late[rank])-lateTolerance), 0), maxHeldShare)
	if retry {
		return held / 2
	}
	return held
}

// starvedShare is the share of the requests in time of the best-served rank under which a rank is starved: no kind may be served less
// than a quarter as often as all. The margin is for the delay until the difference shows.
const starvedShare = 1.0 / 3

// favouredShare is the share of the requests of a starved rank that are ordered before more urgent ones. Together with what the rank is
// served anyway, a seventh is enough in the replays; a quarter took capacity from the urgent ranks without need.
const favouredShare = 0.15

// isFavoured reports whether a request is ordered before more urgent ones because its rank is starved.
func isFavoured(draw float64, rank int, s *Snapshot) bool {
	best := 0.0
	for i, late := range s.Late {
		if s.Targets[i] > 0 {
			best = max(best, 1-finite(late))
		}
	}
	return draw >= 1-favouredShare && 1-finite(s.Late[rank]) < starvedShare*best
}

// urgency returns the rank that counts for the order.
func (r *Request) urgency() int {
	if r.Favoured {
		return 0
	}
	return clampRank(r.Rank)
}

func clampRank(rank int) int { return min(max(rank, 0), MaxRank) }

// finite returns v, or 0 if v is not a number or infinite.
func finite(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

// seconds converts a number of seconds to a duration; absurd values become the longest duration that can be added to others.
func seconds(s float64) time.Duration {
	const longest = float64(time.Hour)
	return time.Duration(min(max(finite(s)*float64(time.Second), 0), longest))
}

const (
	// retryLeftDivisor bounds Retry-After to a third of the time left: callers honour no more than that.
	retryLeftDivisor = 3
	// minRetryAfter is the shortest Retry-After. It is also the unit in which the platform's header is written.
	minRetryAfter = 10 * time.Millisecond
)

// RetryAfter returns when a retry of a rejected request makes sense: about the time until the pool is expected to have capacity for its
// rank, see SpreadRetry.
//
// Load patterns: clients that all retry at the same moment after a burst of rejections, and clients that retry several times at once.
func RetryAfter(now time.Time, r *Request, s *Snapshot, random float64) time.Duration {
	left := max(r.Deadline.Sub(now), 0)
	expected := expectedStart(s, s.fullFor(r))
	if r.Target > 0 {
		expected = max(expected, s.FirstEvent-r.Target)
	}
	if expected <= 0 {
		// Nothing is known of the pool: the retries are spread over the time that callers honour.
		expected = left / retryLeftDivisor
	}
	return SpreadRetry(expected, left, random)
}

// SpreadRetry returns a Retry-After around the expected time until a retry makes sense. Two thirds of the largest value are random, drawn from
// random (0 to 1), and it is at most a third of the time left.
func SpreadRetry(expected, left time.Duration, random float64) time.Duration {
	largest := min(expected*3/2, max(left, 0)/retryLeftDivisor)
	return max(largest/3+time.Duration(min(max(finite(random), 0), 1)*float64(largest*2/3)), minRetryAfter)
}
