package balance

import (
	"math"
	"slices"
	"strconv"
	"time"
)

// Brittle describes a backend server that goes down when it turns away more than Limit requests within a second, counted over all
// entry instances. The zero value is a server that does not say so.
type Brittle struct {
	Limit int
	// Boot is the start of the server that said so. The state of an earlier start does not apply to it.
	Boot string
	// Instances holds the ids of all entry instances, and Instance that of this one. The slice must not change.
	Instances []string
	Instance  string
}

const (
	// briefRequest is the time for which a request has a slot below which instances keep to their shares. Such requests end before load
	// reports show them, and those beyond the shares are gone soon after the statement is known.
	briefRequest = time.Second
	// occupiedWeight is the weight of a request in the pool's mean of these times.
	occupiedWeight = 0.05
	// shareLoad is the mean load of the pool's servers, by the last reports, below which each instance may use its share of the slots. The
	// shares add up to the slots, but beside what instances had before they knew of the statement they are too much in a busy pool.
	shareLoad = 0.6
	// shareLoadAfter is the time after a refusal in the pool before shareLoad is used. While servers go down and return, the reports show
	// a load that is too low.
	shareLoadAfter = 10 * time.Second
	// seatHold is how long the room that a request left may be used for another one. Nobody else knows of the room yet, so that the
	// number of requests on the server does not grow by this. Longer times leave slots empty at instances without a waiting request.
	seatHold = 300 * time.Millisecond
	// smallLimitSeatHold is that time for limits up to smallLimit: places that are used late come together with those of load reports, and two
	// requests beyond the slots are too many there.
	smallLimitSeatHold = 150 * time.Millisecond
	// roomySeatHold is added to seatHold in proportion to the free share of the slots: the more room there is, the less it harms if others
	// take the same room for free.
	roomySeatHold = time.Second
	// growthGain is the share of the first Limit/2 free slots shown by load reports that all instances together fill before the effect is
	// in the reports. It is above 1, as only instances with a waiting request use their part, and below Limit requests are turned away if
	// all do.
	growthGain = 2.0
	// smallestLimitGain replaces growthGain for a limit of 1. Two instances that draw the same room within a second are too many for it.
	smallestLimitGain = 0.7
	// largeRoomShare is the share of the other free slots that is filled at a time.
	largeRoomShare = 0.3
	// minGrowthInterval is the least time in which an instance fills its part of the room, and the time that load reports are assumed
	// to be late.
	minGrowthInterval = 300 * time.Millisecond
	// recentReport is the age up to which a load report is shared by the instances that get an answer of the server within that time.
	recentReport = 600 * time.Millisecond
	// restartTime is how long after a restart most instances have no answer yet, so that the number of those that have is not known.
	restartTime = 2 * time.Second
	// reportUncertainty is the time after which nothing is left of the certainty of a load report: the reserve kept for the requests
	// that other instances sent since grows to all slots.
	reportUncertainty = 30 * time.Second
	// smallLimit is the limit up to which the age of a load report counts for smallLimitAge only in giving up places beyond the slots.
	// Otherwise the instances give up too few places where reports are old, so that more requests than such a limit still wait when the
	// server lets fewer wait. Too many are regained in a few seconds.
	smallLimit    = 2
	smallLimitAge = 500 * time.Millisecond
	// blindShare is the share of Limit that may be sent each second without knowing of any room. It is small because those requests
	// and the ones that they displace may be turned away, in addition to those that late reports cause.
	blindShare = 0.4
	// blindPeriod is the time after which other instances may send without knowing of room, so that an instance without requests on a
	// server is not left out for good. They send in the middle half of the period only: the senders of two periods are then at least
	// half a period apart, also if the clocks of machines differ by a few hundred milliseconds.
	blindPeriod = 2 * time.Second
	// turnedAwayShare is the share of Limit that may be turned away each second if each instance sees one request turned away before
	// it stops.
	turnedAwayShare = 0.5
	// turnedAwayShareWait is how long an instance does not use its share after a refusal.
	turnedAwayShareWait = 150 * time.Millisecond
	// drainShare is the part of the time for which a request has a slot that an instance waits, when it learns of the statement, before it
	// uses its share: until then the server may have as many requests waiting as it let wait before, and would turn those beyond away.
	drainShare = 0.5
	// shareGrowthDelay is how long an instance waits before it uses a share that grew because the lists of instances or servers changed.
	// By then the others know of the change, which makes their shares smaller, and brief requests of the earlier shares have ended.
	shareGrowthDelay = 3 * time.Second
	// minTurnedAwayPause and maxTurnedAwayPause bound the time without further growth after a request was turned away.
	minTurnedAwayPause = 500 * time.Millisecond
	maxTurnedAwayPause = 5 * time.Second
)

// brittleState is the part of a server's state that decides whether a request may be sent there while it is brittle.
//
// Where the server's load is not reported, or requests are brief, each instance keeps to a share of the slots; the shares add up to the
// slots. Otherwise the number of requests on the server is kept by sending one for each that ended. It grows by the room that load
// reports show, and slowly without such knowledge. So only those sent in addition can be turned away, or displace others.
type brittleState struct {
	Brittle
	// seats holds the ends of the times in which room that a request left may be used.
	seats []time.Time
	// growth is the number of further requests that may be sent until growthUntil.
	growth      int
	growthUntil time.Time
	// restartedAt is when this instance learned of another boot while the server was brittle; zero if it did not. All instances assume
	// that it is empty then.
	restartedAt time.Time
	// assumed is the number of requests that the other instances are assumed to have sent into the same room since the last report. In a
	// busy pool most of them have requests waiting for it.
	assumed float64
	// assumedAt is when assumed last grew.
	assumedAt time.Time
	// turnedAwayAt is when a request of this instance was last turned away, and pausedUntil the end of the pause after it.
	turnedAwayAt, pausedUntil time.Time
	// blind limits the requests without knowledge; blindRate is the rate in the period blindIn.
	blind     rateLimiter
	blindRate float64
	blindIn   int64
	// share is this instance's share of the slots, and laterShare a larger one that applies from laterShareAt on. They and the rate are
	// valid for a list of instances and the members of the pool.
	share, laterShare int
	laterShareAt      time.Time
	// shareFrom is when the share may first be used.
	shareFrom      time.Time
	slots          int
	ratesFor       *string
	ratesSize      int
	membersVersion int
}

// updateBrittle takes over the row's statement.
func (s *serverState) updateBrittle(now time.Time, row *Row) *brittleState {
	b := &row.Brittle
	if b.Limit <= 0 {
		s.brittle = nil
		return nil
	}
	if s.brittle == nil || s.brittle.Boot != b.Boot {
		restarted := s.brittle != nil && !s.lastReport.At.IsZero()
		if restarted {
			// The new start has no requests yet.
			s.lastReport, s.ownRunningAtReport, s.ownWaitingAtReport = LoadReport{Slots: s.lastReport.Slots, At: now}, 0, 0
		}
		s.brittle = &brittleState{}
		if restarted {
			s.brittle.restartedAt = now
		} else if s.pool != nil {
			s.brittle.shareFrom = now.Add(time.Duration(drainShare * float64(s.pool.occupied)))
		}
	}
	s.brittle.Brittle = *b
	return s.brittle
}

// brittleReady reports whether this instance may send a request to the brittle server of the row now.
func (t *Tracker) brittleReady(now time.Time, s *serverState, row *Row) bool {
	b := s.brittle
	b.slots = max(row.Slots, 1)
	if s.lastReport.Slots > 0 {
		b.slots = s.lastReport.Slots
	}
	t.updateRates(now, s, row.ID)
	if !s.lastReport.At.IsZero() && !now.Before(b.growthUntil) {
		t.drawGrowth(now, s, b.slots)
	}
	return s.brittleAllows(now)
}

// brittleAllows reports whether the brittle server may get a further request of this instance, after brittleReady.
func (s *serverState) brittleAllows(now time.Time) bool {
	b := s.brittle
	if s.running >= b.slots {
		return false
	}
	reported := !s.lastReport.At.IsZero() || s.pool != nil && s.pool.reportCount > 0
	brief := s.pool != nil && s.pool.occupied > 0 && s.pool.occupied < briefRequest
	switch {
	case b.share > 0 && (!reported || brief):
		// A request without a share has the slot of one that was turned away. The next one would be turned away too.
		return s.running < b.share && now.Sub(b.turnedAwayAt) >= turnedAwayShareWait && !now.Before(b.shareFrom)
	case !reported || brief:
		return s.running == 0 && b.blindReady(now)
	case s.running < b.share && s.pool != nil && s.pool.recentOthersPerSlot < shareLoad && now.Sub(s.pool.turnedAwayAt) > shareLoadAfter:
		return true
	}
	b.removeExpiredSeats(now)
	return len(b.seats) > 0 || b.growth > 0 || b.blindReady(now)
}

func (b *brittleState) removeExpiredSeats(now time.Time) {
	for len(b.seats) > 0 && !now.Before(b.seats[0]) {
		b.seats = b.seats[1:]
	}
}

// drawGrowth draws this instance's part of the room on the server.
func (t *Tracker) drawGrowth(now time.Time, s *serverState, slots int) {
	b := s.brittle
	b.growth, b.growthUntil = 0, now.Add(max(minGrowthInterval, time.Duration(s.latencyMillis*float64(time.Millisecond))))
	if now.Before(b.pausedUntil) {
		return
	}
	room := s.brittleRoom(now, slots)
	// The draws of the instances scatter, and late reports show the same room again.
	small := min(room, float64(b.Limit)/2)
	gain := growthGain
	if b.Limit == 1 {
		gain = smallestLimitGain
	}
	room = gain*small + (room-small)*largeRoomShare
	part := room / s.sharers(now, slots)
	if part > 0 {
		if s.pool != nil {
			b.assumed += room * min(s.pool.recentOthersPerSlot, 1)
			b.assumedAt = now
		}
		whole, fraction := math.Modf(part)
		b.growth = int(whole)
		if t.random.Float64() < fraction {
			b.growth++
		}
	}
}

// sharers returns the number of instances that see the same room: those that get an answer of the server within recentReport if this
// instance has such an answer, else all.
func (s *serverState) sharers(now time.Time, slots int) float64 {
	n := float64(max(len(s.brittle.Instances), 1))
	if now.Sub(s.brittle.restartedAt) < max(restartTime, s.occupied) || s.occupied <= 0 || now.Sub(s.lastReport.At) > recentReport {
		return n
	}
	return min(n, max(float64(slots)*float64(recentReport)/float64(s.occupied), 1))
}

// feedbackTime returns the time after which load reports show the effect of what was sent.
func (s *serverState) feedbackTime() time.Duration {
	return minGrowthInterval + time.Duration(s.latencyMillis*float64(time.Millisecond))
}

// brittleRoom returns the estimated number of free slots, less the reserve for what the other instances may have sent since the last
// report. It is negative if more requests than slots are there.
func (s *serverState) brittleRoom(now time.Time, slots int) float64 {
	reserve := 0.0
	if len(s.brittle.Instances) > 1 {
		reserve = float64(slots) * float64(now.Sub(s.lastReport.At)) / float64(reportUncertainty)
	}
	others := s.reportedOthers() + s.brittle.assumed
	if s.pool != nil {
		usual := s.pool.recentOthersPerSlot * float64(slots)
		others = usual + (others-usual)*ageWeight(now, s.lastReport.At)
	}
	return float64(slots) - float64(s.running) - others - reserve
}

// updateRates computes the instance's share of the slots, and whether it may send without knowledge in this period. All instances
// agree by the hashes of their names.
func (t *Tracker) updateRates(now time.Time, s *serverState, server string) {
	b := s.brittle
	if b.laterShare > b.share && !now.Before(b.laterShareAt) {
		b.share = b.laterShare
	}
	if len(b.Instances) == 0 {
		b.share, b.laterShare, b.blindRate = 0, 0, 0
		return
	}
	period := now.UnixNano() / int64(b.blindPeriod())
	if b.ratesFor == &b.Instances[0] && b.ratesSize == len(b.Instances) && b.blindIn == period && b.membersVersion == s.pool.membersVersion {
		return
	}
	first := b.ratesFor == nil
	t.removeOldMembers(now, s.pool)
	b.ratesFor, b.ratesSize, b.blindIn, b.membersVersion = &b.Instances[0], len(b.Instances), period, s.pool.membersVersion
	b.blindRate = ColdRate(blindShare*float64(b.Limit), b.Instances, b.Instance, server+"/"+strconv.FormatInt(period, 10))
	var share int
	if s.pool.sampled || len(s.pool.members) > maxPoolSizeForExactGroup {
		share = slotShare(b.slots, b.Instances, b.Instance, server)
	} else {
		share = s.pool.evenShare(b.slots, b.Instances, b.Instance, s.hash)
	}
	if share != b.laterShare {
		b.laterShare, b.laterShareAt = share, now.Add(shareGrowthDelay)
	}
	if first || share < b.share {
		b.share = share
	}
}

// blindPeriod is longer for a limit of 1, as one request in each period may be turned away.
func (b *brittleState) blindPeriod() time.Duration {
	return max(blindPeriod, 4*time.Second/time.Duration(b.Limit))
}

func (b *brittleState) blindReady(now time.Time) bool {
	period := int64(b.blindPeriod())
	phase := now.UnixNano() % period
	return b.blindRate > 0 && phase >= period/4 && phase < period*3/4 && b.blind.ready(now)
}

// slotShare returns the instance's part of a number of slots. The parts of all instances add up to the number.
func slotShare(slots int, instances []string, instance, server string) int {
	serverHash, higherRanked, listed := Hash(server), 0, false
	ownRank := rankFor(serverHash, Hash(instance))
	for _, other := range instances {
		listed = listed || other == instance
		if other != instance && rankFor(serverHash, Hash(other)) > ownRank {
			higherRanked++
		}
	}
	if !listed {
		return 0
	}
	share := slots / len(instances)
	if higherRanked < slots%len(instances) {
		share++
	}
	return share
}

// evenShare returns the instance's part of a number of slots, as slotShare, with parts that are even over the pool: the instances stand in
// a circle, and the slots that are left after equal parts go to instances in a row, from a place that moves on evenly from member to
// member. With slotShare, instances differ by several slots in a pool of few servers: some have none, and of others the slots are unused.
func (p *poolState) evenShare(slots int, instances []string, instance string, server uint64) int {
	n, rank, listed := len(instances), 0, false
	ownRank := rankFor(p.nameHash, Hash(instance))
	for _, other := range instances {
		listed = listed || other == instance
		if other != instance && rankFor(p.nameHash, Hash(other)) > ownRank {
			rank++
		}
	}
	if !listed {
		return 0
	}
	index, _ := slices.BinarySearch(p.members, server)
	start := index * n / max(len(p.members), 1)
	share := slots / n
	if (rank-start+n)%n < slots%n {
		share++
	}
	return share
}

// sent records that a request was sent to the server.
func (b *brittleState) sent(now time.Time) {
	switch {
	case len(b.seats) > 0:
		b.seats = b.seats[1:]
	case b.growth > 0:
		b.growth--
	case b.blindRate > 0:
		b.blind.consume(now, b.blindRate)
	}
}

// requestEnded records that a request which had a slot of the server has ended. Another one may take its place, unless more
// requests than slots are on the server: then as many places are given up as ends are expected until the reports show the effect.
func (t *Tracker) requestEnded(now time.Time, s *serverState, occupied time.Duration) {
	if s.occupied == 0 {
		s.occupied = occupied
	}
	s.occupied += time.Duration(requestWeight * float64(occupied-s.occupied))
	if p := s.pool; p != nil {
		if p.occupied == 0 {
			p.occupied = occupied
		}
		p.occupied += time.Duration(occupiedWeight * float64(occupied-p.occupied))
	}
	b := s.brittle
	if b == nil {
		return
	}
	if slots := s.lastReport.Slots; slots > 0 && now.Sub(s.lastReport.At) < maxReportAge {
		excess := float64(s.running) + s.reportedOthers() + 1 - float64(slots)
		age := now.Sub(s.lastReport.At)
		if b.Limit <= smallLimit {
			age = min(age, smallLimitAge)
		}
		ends := float64(slots) * float64(s.feedbackTime()+age) / float64(max(s.occupied, time.Millisecond))
		if excess > 0 && t.random.Float64()*max(ends, 1) < excess {
			return
		}
	}
	hold := seatHold
	if b.Limit <= smallLimit {
		hold = smallLimitSeatHold
	}
	if slots := s.lastReport.Slots; slots > 0 {
		hold += time.Duration(max(s.brittleRoom(now, slots), 0) / float64(slots) * float64(roomySeatHold))
	}
	b.removeExpiredSeats(now)
	if len(b.seats) < max(s.lastReport.Slots, 1) {
		b.seats = append(b.seats, now.Add(hold))
	}
}

// TurnedAway records that the server refused the request for want of room. The instance sends it no more than ended there for a
// while: for so long that the requests of all instances that have yet to see a refusal stay below the server's limit.
func (a *Sent) TurnedAway(now time.Time) {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	a.turnedAway = true
	if a.s.pool != nil {
		a.s.pool.turnedAwayAt = now
	}
	b := a.s.brittle
	if b == nil {
		return
	}
	pause := time.Duration(float64(len(b.Instances)) / (turnedAwayShare * float64(b.Limit)) * float64(time.Second))
	b.turnedAwayAt, b.pausedUntil = now, now.Add(min(max(pause, minTurnedAwayPause), maxTurnedAwayPause))
	b.growth, b.growthUntil = 0, now.Add(minGrowthInterval)
}

// reportArrived ends the pause after a refusal if a report that is later by more than the delay of reports shows room.
func (s *serverState) reportArrived(now time.Time) {
	b := s.brittle
	if b == nil {
		return
	}
	if now.Sub(b.assumedAt) >= minGrowthInterval {
		b.assumed = 0
	}
	if now.Before(b.pausedUntil) && now.Sub(b.turnedAwayAt) > minGrowthInterval && s.brittleRoom(now, s.lastReport.Slots) >= 1 {
		b.pausedUntil = time.Time{}
	}
}
