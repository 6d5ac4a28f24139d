package shares

import (
	"time"

	"clementinetray/api/control"
)

const (
	// endedSlot is the length of the slots by which an instance sums up the costs of attempts that ended, and endedSlots their number. They
	// reach back to the beginning of the window also in a report that has just arrived.
	endedSlot  = 250 * time.Millisecond
	endedSlots = 13
	// windowAge is the age of the end of the window of the capacity: a heartbeat interval, a slot that has not ended and a margin for the
	// network. Each instance has then reported what ended up to there.
	windowAge = 1300 * time.Millisecond
	// windowTime is the length of the window. With windowAge, it lies after a change of the load when the shares must be right, 3 s later.
	windowTime = 1500 * time.Millisecond
)

// ended holds the costs of the attempts that ended at one instance, in slots of time.
type ended struct {
	costs [endedSlots + 1]float64
	// last is the number of the present slot; 0 before the first attempt has ended.
	last int64
}

func slotOf(now time.Time) int64 { return now.UnixNano() / int64(endedSlot) }

// move empties the slots that have begun since the last call.
func (e *ended) move(now time.Time) {
	slot := slotOf(now)
	if e.last == 0 || slot > e.last+endedSlots || slot < e.last-endedSlots {
		*e = ended{last: slot}
		return
	}
	for e.last < slot {
		e.last++
		e.costs[e.last%(endedSlots+1)] = 0
	}
}

func (e *ended) add(cost float64, now time.Time) {
	e.move(now)
	slot := &e.costs[e.last%(endedSlots+1)]
	*slot = min(*slot+cost, maxAmount)
}

// report returns the costs of the slots that have ended, the last one first. Slots before the first attempt count as well: while an instance
// serves nothing, others serve its part.
func (e *ended) report(now time.Time) *control.EndedCost {
	if e.last == 0 {
		return nil
	}
	e.move(now)
	out := &control.EndedCost{Age: max(now.Sub(time.Unix(0, e.last*int64(endedSlot))), 0)}
	for slot := e.last - 1; slot >= e.last-endedSlots; slot-- {
		out.Costs = append(out.Costs, roundAmount(e.costs[slot%(endedSlots+1)]))
	}
	return out
}

// validEnded reports whether a report of what ended is valid.
func validEnded(e *control.EndedCost) bool {
	if e == nil {
		return true
	}
	if e.Age < 0 || e.Age > endedSlot || len(e.Costs) > endedSlots {
		return false
	}
	for _, cost := range e.Costs {
		if !validAmount(cost) {
			return false
		}
	}
	return true
}

// endedRate returns the cost that ended for each second in the window of the capacity at the time now, as far as a report of the age reportAge
// covers it, and in all slots of the report if it does not cover it at all. known is false without costs.
//
// The window is the same for all instances. A standing reaches them one after the other, and each then places less for the workspace and others
// place more: with windows that end with the heartbeats the sum would miss, or count twice, what moves between them.
func endedRate(e *control.EndedCost, reportAge time.Duration) (rate float64, known bool) {
	if e == nil || len(e.Costs) == 0 {
		return 0, false
	}
	covered, cost, all := time.Duration(0), 0.0, 0.0
	for i, c := range e.Costs {
		newest := reportAge + e.Age + time.Duration(i)*endedSlot
		if inside := min(newest+endedSlot, windowAge+windowTime) - max(newest, windowAge); inside > 0 {
			covered += inside
			cost += c * float64(inside) / float64(endedSlot)
		}
		all += c
	}
	if covered > 0 {
		return cost / covered.Seconds(), true
	}
	return all / (time.Duration(len(e.Costs)) * endedSlot).Seconds(), true
}
