package limits

import (
	"time"

	"clementinetray/api/control"
)

const (
	// slotRetryAfter is the suggested delay before a refused Acquire is retried.
	slotRetryAfter = 500 * time.Millisecond
	// releasedRetention is how long the id of a released slot is kept. An Acquire that arrives after its Release is
	// refused, because no further Release would free the slot.
	releasedRetention = time.Minute
	// A slot whose ReleaseSlot call was lost counts as released when lostReleaseHeartbeats heartbeats of its holder in a row
	// don't list it and it was granted at least lostReleaseTime ago. One heartbeat without the slot is not enough, because
	// heartbeats that were in flight when the slot was granted don't list it.
	lostReleaseHeartbeats = 5
	lostReleaseTime       = 10 * time.Second
	// maxReportAge is the greatest age of the number of running requests that a backend server reports.
	maxReportAge = 4 * time.Second
)

// slotCount counts the slots in use of one slot key.
type slotCount struct {
	// heldCount is the number of slots of the key in slotTable.heldSlots.
	heldCount int
	// untrackedCount is an upper bound of the number of requests that run without a slot in slotTable.heldSlots. They are
	// those of a holder from which a new leader has no heartbeat yet, and those that began before the backend server became
	// cold. Later requests all need a slot from the allocator, so the number never grows. It is valid once untrackedSet is
	// set.
	untrackedCount int
	untrackedSet   bool
	// minHeld and lastMinHeld are the smallest values of heldCount in the current and the previous period of length
	// maxReportAge.
	minHeld, lastMinHeld int
	periodStart          time.Time
}

// inUse returns how many slots are in use. reported is the number of running requests that the backend server reports. The
// report may be up to maxReportAge old, so at least as many of these requests hold a slot as the smallest value of heldCount
// within that time; the others are taken to run without one.
func (c *slotCount) inUse(now time.Time, reported int) int {
	c.advancePeriod(now)
	untracked := max(reported-min(c.minHeld, c.lastMinHeld), 0)
	if !c.untrackedSet || untracked < c.untrackedCount {
		c.untrackedCount, c.untrackedSet = untracked, true
	}
	return max(c.heldCount+c.untrackedCount, reported)
}

func (c *slotCount) addHeld(now time.Time, n int) {
	c.advancePeriod(now)
	c.heldCount += n
	c.minHeld = min(c.minHeld, c.heldCount)
}

// advancePeriod starts a new period when the current one is older than maxReportAge.
func (c *slotCount) advancePeriod(now time.Time) {
	if now.Sub(c.periodStart) < maxReportAge {
		return
	}
	c.lastMinHeld = c.minHeld
	if now.Sub(c.periodStart) >= 2*maxReportAge {
		c.lastMinHeld = c.heldCount
	}
	c.minHeld, c.periodStart = c.heldCount, now
}

// heldSlot is a slot in use. missedHeartbeats counts the heartbeats in a row in which its holder didn't list it.
type heldSlot struct {
	holder           holderID
	countedSince     time.Time
	missedHeartbeats int
}

// slotTable is the leader's state of all slots.
type slotTable struct {
	// readyAt is when a new leader may grant slots.
	readyAt   time.Time
	heldSlots map[control.Slot]*heldSlot
	// countByKey holds the number of slots in use by slot key.
	countByKey map[control.SlotKey]*slotCount
	// releasedAt holds the time of each recent release.
	releasedAt map[control.Slot]time.Time
}

func newSlotTable(now time.Time) slotTable {
	return slotTable{
		readyAt:    now.Add(slotRecoveryTime),
		heldSlots:  make(map[control.Slot]*heldSlot),
		countByKey: make(map[control.SlotKey]*slotCount),
		releasedAt: make(map[control.Slot]time.Time),
	}
}

func (t *slotTable) add(now time.Time, id holderID, slot control.Slot) {
	t.heldSlots[slot] = &heldSlot{holder: id, countedSince: now}
	t.countFor(now, slot.Key).addHeld(now, 1)
}

func (t *slotTable) countFor(now time.Time, key control.SlotKey) *slotCount {
	c := t.countByKey[key]
	if c == nil {
		c = &slotCount{periodStart: now}
		t.countByKey[key] = c
	}
	return c
}

func (t *slotTable) release(now time.Time, slot control.Slot) {
	t.releasedAt[slot] = now
	if t.heldSlots[slot] == nil {
		return
	}
	delete(t.heldSlots, slot)
	t.countFor(now, slot.Key).addHeld(now, -1)
}

// reconcile updates the table from the slots that a holder lists in a heartbeat: it adds slots granted by an earlier
// leader, and releases those that the holder hasn't listed for some time.
func (t *slotTable) reconcile(now time.Time, id holderID, slots []control.Slot, repeated bool) {
	listed := make(map[control.Slot]bool, len(slots))
	for _, slot := range slots {
		listed[slot] = true
		if h := t.heldSlots[slot]; h != nil {
			h.missedHeartbeats = 0
		} else if _, released := t.releasedAt[slot]; !released {
			t.add(now, id, slot)
		}
	}
	if repeated {
		return
	}
	for slot, h := range t.heldSlots {
		if h.holder != id || listed[slot] {
			continue
		}
		if h.missedHeartbeats++; h.missedHeartbeats >= lostReleaseHeartbeats && now.Sub(h.countedSince) >= lostReleaseTime {
			t.release(now, slot)
		}
	}
}

func (t *slotTable) releaseHolder(now time.Time, id holderID) {
	for slot, h := range t.heldSlots {
		if h.holder == id {
			t.release(now, slot)
		}
	}
}

// sweep releases slots that are older than SlotTimeLimit, and removes idle keys and old entries of releasedAt.
func (t *slotTable) sweep(now time.Time) {
	for slot, h := range t.heldSlots {
		if now.Sub(h.countedSince) >= SlotTimeLimit {
			t.release(now, slot)
		}
	}
	for key, c := range t.countByKey {
		if c.heldCount == 0 && now.Sub(c.periodStart) >= keyIdleTime {
			delete(t.countByKey, key)
		}
	}
	for slot, at := range t.releasedAt {
		if now.Sub(at) >= releasedRetention {
			delete(t.releasedAt, slot)
		}
	}
}

// Acquire grants a slot to an entry instance. A repeated call for the same slot is granted again and counts once.
// retryAfter is the suggested delay before the next attempt when the slot is refused.
func (a *Allocator) Acquire(now time.Time, instance, boot string, slot control.Slot, src Source) (granted bool, retryAfter time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ensureInitialized(now)
	a.sweep(now)
	t := &a.slots
	if _, released := t.releasedAt[slot]; released {
		return false, slotRetryAfter
	}
	if t.heldSlots[slot] != nil {
		return true, 0
	}
	if now.Before(t.readyAt) {
		return false, t.readyAt.Sub(now)
	}
	limit, reported, ok := src.SlotLimit(slot.Key)
	// A key without a limit belongs to an earlier boot, or to a server that is in service. The entry instance's fleet table
	// is then outdated, and a slot of the old key wouldn't count against the limit of the new key.
	if !ok || t.countFor(now, slot.Key).inUse(now, reported) >= limit {
		return false, slotRetryAfter
	}
	t.add(now, holderID{instance, boot}, slot)
	return true, 0
}

// Release frees slots. Unknown slots are recorded as released too, because their Acquire call may arrive later.
func (a *Allocator) Release(now time.Time, slots []control.Slot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ensureInitialized(now)
	for _, slot := range slots {
		a.slots.release(now, slot)
	}
}
