package limits

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"clementinetray/api/control"
)

// Allocator divides fleet-wide limits among the entry instances. It runs at the control leader and is safe for
// concurrent use.
type Allocator struct {
	// maxEntryInstances is the largest number of entry instances in the fleet.
	maxEntryInstances int

	mu sync.Mutex
	// recoveryEnds is the end of the recovery period after a reset; zero before the first use.
	recoveryEnds time.Time
	keys         map[string]*keyState
	sequences    map[holderID]sequenceState
	slots        slotTable
	sweptAt      time.Time
}

// sequenceState is the sequence number of the newest heartbeat of a process and when it was received.
type sequenceState struct {
	newest     uint64
	receivedAt time.Time
}

// NewAllocator returns an allocator for a fleet of at most n entry instances. Its first use starts a recovery period, as
// Reset does.
func NewAllocator(n int) *Allocator { return &Allocator{maxEntryInstances: max(n, 1)} }

// Reset discards all state and starts a recovery period at now. Until it ends, grants of an earlier leader may still be
// valid, so the allocator only confirms grants that holders report in their heartbeats.
func (a *Allocator) Reset(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resetLocked(now)
}

// ensureInitialized starts the recovery period of an allocator that was never reset, because an earlier leader may have
// issued grants.
func (a *Allocator) ensureInitialized(now time.Time) {
	if a.recoveryEnds.IsZero() {
		a.resetLocked(now)
	}
}

func (a *Allocator) resetLocked(now time.Time) {
	a.recoveryEnds = now.Add(recoveryTime)
	a.keys = make(map[string]*keyState)
	a.sequences = make(map[holderID]sequenceState)
	a.slots = newSlotTable(now)
	a.sweptAt = now
}

// Heartbeat records the demand of an entry instance and returns its grants, one for each key that it demands or holds.
// The result is nil for a heartbeat that is older than the newest one received from the same process.
func (a *Allocator) Heartbeat(now time.Time, in *control.HeartbeatRequest, src Source) []control.Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ensureInitialized(now)
	id := holderID{in.Instance, in.Boot}
	state, known := a.sequences[id]
	if known && in.Sequence < state.newest {
		// The heartbeat arrived out of order and is outdated. Its sender ignores the reply.
		return nil
	}
	// A repeated heartbeat may have been built before its sender received the grants of the first reply, so the sender may
	// use grants that the heartbeat doesn't list.
	repeated := known && in.Sequence == state.newest
	a.sequences[id] = sequenceState{newest: in.Sequence, receivedAt: now}
	a.sweep(now)
	a.slots.reconcile(now, id, in.Slots, repeated)
	grants := make([]control.Grant, 0, len(in.Demand))
	for _, g := range in.Demand {
		grants = a.appendGrant(now, id, g.Key, in, repeated, src, grants)
	}
	for _, g := range in.Held {
		if !strings.HasSuffix(g.Key, runningSuffix) && !slices.ContainsFunc(in.Demand, func(d control.Grant) bool { return d.Key == g.Key }) {
			grants = a.appendGrant(now, id, g.Key, in, repeated, src, grants)
		}
	}
	return grants
}

// appendGrant updates the share that holder id has of the key, and returns grants with the new grant appended. A key
// without a limit gets no grant.
func (a *Allocator) appendGrant(now time.Time, id holderID, key string, in *control.HeartbeatRequest, repeated bool, src Source, grants []control.Grant) []control.Grant {
	limit, ok := src.Limit(key)
	if !ok {
		return grants
	}
	k := a.stateFor(key)
	k.usedAt = now
	held := amountOf(in.Held, key)
	s := k.shares[id]
	if s == nil {
		s = &keyShare{}
		k.shares[id] = s
		// The order of the holders is by a hash of key and holder, so that the remainders of many small limits don't all go
		// to the same instance.
		i, _ := slices.BinarySearchFunc(k.holders, id, func(x, y holderID) int { return compareHolders(key, x, y) })
		k.holders = slices.Insert(k.holders, i, id)
		if now.Before(a.recoveryEnds) {
			k.recoveredAmount += held
		}
	}
	held = max(held, amountOf(in.Held, runningKey(key)))
	if repeated {
		held = max(held, s.reserved)
	}
	leased, floor := splitLimit(key, limit, a.maxEntryInstances)
	s.demand, s.expiresAt = max(amountOf(in.Demand, key)-floor, 0), now.Add(leaderTTL)
	k.setReserved(s, held)
	if len(k.holders) <= maxImmediateHolders || now.Sub(k.targetsAt) >= recomputeInterval || k.targetsLimit != limit {
		k.updateTargets(now, key, limit, a.maxEntryInstances)
	}
	available := leased
	if now.Before(a.recoveryEnds) {
		available = min(available, k.recoveredAmount)
	}
	free := max(available-(k.reserved-s.reserved), 0)
	amount := min(s.target, free)
	if isConcurrency(key) {
		amount = max(math.Floor(amount+floor+roundingTolerance)-floor, 0)
	}
	k.setReserved(s, max(held, amount))
	return append(grants, control.Grant{Key: key, Amount: amount})
}

func (a *Allocator) stateFor(key string) *keyState {
	k := a.keys[key]
	if k == nil {
		k = &keyState{shares: make(map[holderID]*keyShare)}
		a.keys[key] = k
	}
	return k
}

// sweep bounds memory use: it removes expired grants of holders that send no heartbeats, and unused keys.
func (a *Allocator) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < recomputeInterval {
		return
	}
	a.sweptAt = now
	for name, k := range a.keys {
		k.removeExpired(now)
		if len(k.shares) == 0 && now.Sub(k.usedAt) > keyIdleTime {
			delete(a.keys, name)
		}
	}
	for id, s := range a.sequences {
		if now.Sub(s.receivedAt) > keyIdleTime {
			delete(a.sequences, id)
		}
	}
	a.slots.sweep(now)
}

// InstanceLeft frees the grants and slots of an entry instance that has stopped, if orderly says that the stop was planned.
// Otherwise it does nothing, because the instance may still run behind a network partition. The grants and slots then
// expire.
func (a *Allocator) InstanceLeft(now time.Time, instance, boot string, orderly bool) {
	if !orderly {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ensureInitialized(now)
	id := holderID{instance, boot}
	for _, k := range a.keys {
		k.removeHolder(id)
	}
	a.slots.releaseHolder(now, id)
}

func compareHolders(key string, x, y holderID) int {
	hx, hy := holderHash(key, x), holderHash(key, y)
	return cmp.Or(cmp.Compare(hx, hy), strings.Compare(x.instance, y.instance), strings.Compare(x.boot, y.boot))
}

// holderHash returns the 64-bit FNV-1a hash of a key and a holder.
func holderHash(key string, id holderID) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, text := range [3]string{key, id.instance, id.boot} {
		for i := 0; i < len(text); i++ {
			h = (h ^ uint64(text[i])) * prime
		}
	}
	return h
}
