package balance

import (
	"time"
)

// Sent is a request that was sent to a backend server. It counts as running there until Ended is called. Its methods are safe
// for concurrent use and may be called repeatedly.
type Sent struct {
	t        *Tracker
	s        *serverState
	kind     string
	model    string
	at       time.Time
	uncached float64
	// ahead is the number of unread tokens of earlier requests, and slotWait the expected wait for a slot. If the request waited
	// for a slot, ahead is 0, as the tokens were read meanwhile.
	ahead    float64
	slotWait time.Duration
	// firstByte, hasEvent and ended are set by the first calls of FirstByte, FirstEvent and Ended, under t.mu.
	firstByte, hasEvent, ended bool
	// turnedAway is set if the server refused the request for want of room.
	turnedAway bool
}

// Send records that a request is sent to the backend server. coldRate is the server's ColdRate if it is cold, else 0.
func (t *Tracker) Send(now time.Time, id string, r *Request, coldRate float64) *Sent {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sendLocked(now, t.getOrCreate(id, now), id, r, coldRate)
}

// TrySend is Send, unless another request took the room of the brittle server, or the turn at the cold one, since it was chosen. It
// returns nil then.
func (t *Tracker) TrySend(now time.Time, id string, r *Request, coldRate float64) *Sent {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(id, now)
	if s.brittle != nil && !s.brittleAllows(now) || coldRate > 0 && !s.coldLimiter.ready(now) {
		return nil
	}
	return t.sendLocked(now, s, id, r, coldRate)
}

func (t *Tracker) sendLocked(now time.Time, s *serverState, id string, r *Request, coldRate float64) *Sent {
	keys := partKeys(r)
	a := &Sent{t: t, s: s, kind: r.Kind, model: r.Model, at: now, uncached: r.newTokens(s.cachedTokens(now, r, keys))}
	if s.learns() {
		requests, slots := s.expectedRequests(now, 0)
		a.ahead = s.expectedQueue(now, t.meanTokens)
		a.slotWait = s.pool.rates.SlotWait(now, &s.rate, requests, slots)
		if a.slotWait > 0 {
			a.ahead = 0
		}
	}
	s.running++
	s.queuedTokens += a.uncached
	s.waiting++
	t.meanTokens += requestWeight * (a.uncached - t.meanTokens)
	if coldRate > 0 {
		s.coldLimiter.consume(now, coldRate)
	}
	if s.brittle != nil {
		s.brittle.sent(now)
	}
	s.recordParts(now, keys)
	if s.learns() {
		s.pool.recordHolder(now, id, keys)
	}
	t.notifyLocked(s)
	return a
}

// RecordSent is Send for callers that learn no times. The caller calls onFirstByte when the first byte of the answer arrives and
// onEnd when the attempt ends. Both may be called repeatedly.
func (t *Tracker) RecordSent(now time.Time, id string, r *Request, coldRate float64) (onFirstByte, onEnd func()) {
	a := t.Send(now, id, r, coldRate)
	return a.FirstByte, a.end
}

// FirstByte records that the first byte of the answer has arrived, so that the server has read the prompt.
func (a *Sent) FirstByte() {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	a.firstByteLocked()
}

func (a *Sent) firstByteLocked() {
	if a.firstByte {
		return
	}
	a.firstByte = true
	a.s.queuedTokens -= a.uncached
	a.s.waiting--
	a.t.notifyLocked(a.s)
}

func (a *Sent) end() {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	a.endLocked()
}

func (a *Sent) endLocked() {
	a.firstByteLocked()
	if !a.ended {
		a.ended = true
		a.s.running--
	}
}

// FirstEvent records the first event of an answer that the server's application wrote. The load that the server reported in the
// answer must be recorded before.
func (a *Sent) FirstEvent(now time.Time) {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	if a.hasEvent {
		return
	}
	a.hasEvent = true
	if a.s.learns() {
		a.s.pool.rates.RecordFirstEvent(now, &a.s.rate, a.kind, a.ahead+a.uncached, now.Sub(a.at), a.slotWait)
		a.s.pool.rates.UpdateMedian(now, a.t.ratesOf(a.s.pool))
	}
}

// Event records the time between two events of the answer.
func (a *Sent) Event(now time.Time, interval time.Duration) {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	a.s.lastUsed = now
	a.s.recordEventInterval(now, interval)
	if a.s.learns() {
		a.s.pool.rates.RecordEvent(now, &a.s.rate, a.model, interval)
	}
}

// Ended records the end of the attempt. An attempt without a first byte counts as a slow one if it lasted longer than expected; one
// that was refused, or whose answer was dropped at its header, says nothing about the server's speed.
func (a *Sent) Ended(now time.Time) {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	if !a.ended && a.s.learns() {
		if took := now.Sub(a.at); a.hasEvent {
			a.s.pool.rates.RecordOccupancy(now, &a.s.rate, took-a.slotWait)
		} else if !a.firstByte {
			a.s.pool.rates.RecordNoEvent(now, &a.s.rate, a.kind, a.ahead+a.uncached, took, a.slotWait)
		}
	}
	hadSlot := !a.ended && a.firstByte && !a.turnedAway
	a.endLocked()
	if hadSlot {
		a.t.requestEnded(now, a.s, now.Sub(a.at))
	}
}
