package limits

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"clementinetray/api/control"
)

// floorFraction is the fraction of each limit that is divided evenly as floors, which need no grant.
const floorFraction = 1 - LeasedFraction

// splitLimit splits a limit into the total amount that may be leased and the floor that each entry instance may always
// use. A concurrency limit is leased completely if otherwise an entry instance could not run a single request, even with
// the whole leased amount.
func splitLimit(key string, limit float64, maxEntryInstances int) (leased, floor float64) {
	if limit <= 0 {
		return 0, 0
	}
	leased, floor = limit*LeasedFraction, limit*floorFraction/float64(maxEntryInstances)
	if isConcurrency(key) && leased+floor < 1 {
		return limit, 0
	}
	return leased, floor
}

// isConcurrency reports whether the key limits running requests, which are whole numbers, rather than a rate.
func isConcurrency(key string) bool { return !strings.HasSuffix(key, "/rate") }

// runningSuffix marks an amount in HeartbeatRequest.Held that is a number of running requests which no grant covers. The
// leader reserves the amount so that no other holder gets it. The leader must not treat it as a grant, because other
// holders may have received that amount after the grant expired.
const runningSuffix = "/running"

func runningKey(key string) string { return key + runningSuffix }

// claim is the amount of a limit that one entry instance demands, without its floor, and the target computed for it.
type claim struct {
	demand, target float64
}

// setTargets sets the targets to max-min fair shares of the amount, at most the demand of each claim. It splits what then
// remains evenly, so that each holder can accept further requests before its next heartbeat.
func setTargets(claims []*claim, amount float64) {
	order := slices.Clone(claims)
	slices.SortStableFunc(order, func(a, b *claim) int { return cmp.Compare(a.demand, b.demand) })
	rest := amount
	for i, c := range order {
		c.target = min(c.demand, rest/float64(len(order)-i))
		rest -= c.target
	}
	if rest > 0 && len(order) > 0 {
		for _, c := range order {
			c.target += rest / float64(len(order))
		}
	}
}

// setWholeTargets is setTargets for concurrency limits. It makes each target plus the floor a whole number, so that no
// fraction of a request stays unused. Remaining whole units go first to the claims with the most unmet demand; among
// equal ones the order of the slice decides.
func setWholeTargets(claims []*claim, amount, floor float64) {
	setTargets(claims, amount)
	rest := amount
	for _, c := range claims {
		c.target = max(math.Floor(c.target+floor+roundingTolerance)-floor, 0)
		rest -= c.target
	}
	order := slices.Clone(claims)
	slices.SortStableFunc(order, func(a, b *claim) int { return cmp.Compare(b.demand-b.target, a.demand-a.target) })
	for changed := true; changed; {
		changed = false
		for _, c := range order {
			step := math.Floor(c.target+floor+roundingTolerance) + 1 - floor - c.target
			if step <= rest+roundingTolerance {
				c.target += step
				rest -= step
				changed = true
			}
		}
	}
}

// roundingTolerance is the tolerance for rounding errors of floating-point sums, in requests.
const roundingTolerance = 1e-9

const (
	// maxClockDrift is the greatest relative difference that is allowed between the rates of two clocks, three times the
	// expected 1%.
	maxClockDrift = 0.03
	// leaderTTL is how long the leader reserves a grant on its own clock. It covers GrantTTL on the slowest clock that a
	// holder may have.
	leaderTTL = time.Duration(float64(GrantTTL) * (1 + maxClockDrift))
	// formerLeaderTime is how long a former leader may still answer after the next one was elected.
	formerLeaderTime = time.Second
	// recoveryTime is the time during which a new leader grants no more in total than the holders report as held.
	recoveryTime = leaderTTL + formerLeaderTime
	// slotRecoveryTime is the time during which a new leader grants no slots.
	slotRecoveryTime = 3 * time.Second
	// recomputeInterval is the shortest time between two sweeps, and between two computations of the targets of a key with
	// more than maxImmediateHolders holders.
	recomputeInterval = 500 * time.Millisecond
	// maxImmediateHolders is the largest number of holders of a key whose targets are computed at each heartbeat.
	maxImmediateHolders = 16
	// keyIdleTime is how long the state of an unused key is kept.
	keyIdleTime = 10 * time.Minute
)

// holderID identifies one process of an entry instance.
type holderID struct{ instance, boot string }

// keyShare is the share of one entry instance of one key.
type keyShare struct {
	claim
	// reserved is the largest amount beyond its floor that the holder may use until expiresAt.
	reserved  float64
	expiresAt time.Time
}

// keyState is the leader's state of one key.
type keyState struct {
	shares map[holderID]*keyShare
	// holders is sorted by compareHolders, for the order in which setWholeTargets treats equal demands.
	holders []holderID
	// reserved is the sum of keyShare.reserved over all shares.
	reserved float64
	// recoveredAmount is the sum of the amounts that holders reported as held in their first heartbeat of the recovery
	// period. No more than this is granted until the period ends.
	recoveredAmount float64
	// targetsAt and targetsLimit are the time and the limit of the last computation of the targets.
	targetsAt    time.Time
	targetsLimit float64
	usedAt       time.Time
}

func (k *keyState) setReserved(s *keyShare, amount float64) {
	k.reserved += amount - s.reserved
	s.reserved = amount
}

func (k *keyState) removeHolder(id holderID) {
	if s, ok := k.shares[id]; ok {
		k.setReserved(s, 0)
		delete(k.shares, id)
		k.holders = slices.DeleteFunc(k.holders, func(o holderID) bool { return o == id })
	}
}

// removeExpired removes the holders whose grants have expired, even by the slowest clock that a holder may have.
func (k *keyState) removeExpired(now time.Time) {
	for _, id := range slices.Clone(k.holders) {
		if s := k.shares[id]; !now.Before(s.expiresAt) {
			k.removeHolder(id)
		}
	}
	if len(k.shares) == 0 {
		k.reserved = 0
	}
}

// updateTargets removes expired holders and computes the targets of the others.
func (k *keyState) updateTargets(now time.Time, key string, limit float64, maxEntryInstances int) {
	k.removeExpired(now)
	leased, floor := splitLimit(key, limit, maxEntryInstances)
	claims := make([]*claim, 0, len(k.holders))
	for _, id := range k.holders {
		claims = append(claims, &k.shares[id].claim)
	}
	if isConcurrency(key) {
		setWholeTargets(claims, leased, floor)
	} else {
		setTargets(claims, leased)
	}
	k.targetsAt, k.targetsLimit = now, limit
}

// amountOf returns the amount of a key in grants; 0 if grants doesn't have the key.
func amountOf(grants []control.Grant, key string) float64 {
	for _, g := range grants {
		if g.Key == key && g.Amount > 0 {
			return g.Amount
		}
	}
	return 0
}
