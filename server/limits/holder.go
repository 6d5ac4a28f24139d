package limits

import (
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"clementinetray/api/control"
)

const (
	// rateBurstSeconds bounds the saved tokens of a rate limit to the number that accrues in this time.
	rateBurstSeconds = 0.5
	// demandKeptPerSecond bounds the decrease of the demand: after one second without requests this fraction is left, so
	// that a short pause between bursts doesn't lose the grant.
	demandKeptPerSecond = 0.8
	// demandHeadroom is the fraction that is added to the observed demand, for an increase before the next heartbeat.
	demandHeadroom = 0.25
	// minDemand is the smallest demand that is reported; a smaller one is reported as 0.
	minDemand = 0.01
)

// Holder applies the shares of the fleet-wide limits that one entry instance has. It is safe for concurrent use.
type Holder struct {
	// maxEntryInstances is the largest number of entry instances in the fleet.
	maxEntryInstances int

	mu   sync.Mutex
	keys map[string]*keyUsage
	// heldReportedAt is the time of the last call of Held. A reply to a heartbeat that was sent before this time is ignored, as
	// it must not raise a grant: the leader may have granted to other holders what Held no longer listed.
	heldReportedAt time.Time
	// appliedSentAt is when the heartbeat of the last applied reply was sent.
	appliedSentAt time.Time
}

// keyUsage is the state of one key.
type keyUsage struct {
	limit     float64
	grant     float64
	expiresAt time.Time
	usedAt    time.Time
	// tracked says that the catalogue limits the key.
	tracked bool
	// runningCount is the number of requests that run now under a concurrency limit.
	runningCount int
	// peakRunning is the largest runningCount since demandAt, and deniedCount the number of requests refused since then.
	// requestCount is the number of all requests since then under a rate limit.
	peakRunning, deniedCount, requestCount int
	demandAt                               time.Time
	demand                                 float64
	// tokens is the content of the token bucket of a rate limit at refilledAt, in requests.
	tokens     float64
	refilledAt time.Time
}

// NewHolder returns a holder without grants for a fleet of at most maxEntryInstances entry instances. The allocator must
// use the same number.
func NewHolder(maxEntryInstances int) *Holder {
	return &Holder{maxEntryInstances: max(maxEntryInstances, 1), keys: make(map[string]*keyUsage)}
}

// SetLimits sets the keys that the catalogue limits, with their fleet-wide limits. These keys get a grant before their
// first request; any other key can use only the floor until the heartbeat after its first request.
func (h *Holder) SetLimits(now time.Time, limits map[string]float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, k := range h.keys {
		_, k.tracked = limits[name]
	}
	for name, limit := range limits {
		k := h.usageFor(now, name)
		k.tracked, k.limit = true, limit
	}
}

func (h *Holder) usageFor(now time.Time, name string) *keyUsage {
	k := h.keys[name]
	if k == nil {
		k = &keyUsage{demandAt: now, usedAt: now, refilledAt: now}
		h.keys[name] = k
	}
	return k
}

// usableAmount returns the floor plus the unexpired grant, in running requests or in requests per second.
func (h *Holder) usableAmount(now time.Time, name string, k *keyUsage) float64 {
	leased, floor := splitLimit(name, k.limit, h.maxEntryInstances)
	if !now.Before(k.expiresAt) {
		return floor
	}
	return floor + min(k.grant, leased)
}

// TryAcquire counts one running request under a concurrency limit. It returns false if this instance's share is used up.
// limit is the fleet-wide amount, and 0 or less means no limit. If ok is true, release must be called when the request
// ends; further calls of release do nothing.
func (h *Holder) TryAcquire(now time.Time, key string, limit float64) (release func(), ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.usageFor(now, key)
	k.limit, k.usedAt = limit, now
	if limit > 0 && float64(k.runningCount+1) > h.usableAmount(now, key, k)+roundingTolerance {
		k.deniedCount++
		return nil, false
	}
	k.runningCount++
	k.peakRunning = max(k.peakRunning, k.runningCount)
	var done atomic.Bool
	return func() {
		if done.CompareAndSwap(false, true) {
			h.mu.Lock()
			k.runningCount--
			h.mu.Unlock()
		}
	}, true
}

// TryRate counts one request under a rate limit and reports whether it is allowed; limit is in requests per second over
// the whole fleet, and 0 or less means no limit.
func (h *Holder) TryRate(now time.Time, key string, limit float64) bool {
	if limit <= 0 {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.usageFor(now, key)
	k.limit, k.usedAt = limit, now
	k.requestCount++
	h.refillTokens(now, key, k)
	if k.tokens < 1-roundingTolerance {
		return false
	}
	k.tokens--
	return true
}

// refillTokens adds the tokens for the time since the last call. The amount that is usable at now bounds the result, so
// tokens that were saved under a grant are lost when it has expired.
func (h *Holder) refillTokens(now time.Time, name string, k *keyUsage) {
	if !now.After(k.refilledAt) {
		return
	}
	k.tokens += h.usableAmount(k.refilledAt, name, k) * now.Sub(k.refilledAt).Seconds()
	k.tokens = min(k.tokens, max(1, h.usableAmount(now, name, k)*rateBurstSeconds))
	k.refilledAt = now
}

// Demand returns the demand for each key that is tracked or was used recently, for the next heartbeat. It starts a new
// observation period and removes the state of idle keys.
func (h *Holder) Demand(now time.Time) []control.Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]control.Grant, 0, len(h.keys))
	for name, k := range h.keys {
		if !k.tracked && k.runningCount == 0 && now.Sub(k.usedAt) > keyIdleTime {
			delete(h.keys, name)
			continue
		}
		out = append(out, control.Grant{Key: name, Amount: k.updateDemand(now, name)})
	}
	slices.SortFunc(out, func(a, b control.Grant) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// updateDemand ends the current observation period and returns the updated demand.
func (k *keyUsage) updateDemand(now time.Time, name string) float64 {
	elapsed := now.Sub(k.demandAt).Seconds()
	if elapsed <= 0 {
		return k.demand
	}
	observed := float64(k.peakRunning + k.deniedCount)
	if !isConcurrency(name) {
		observed = float64(k.requestCount) / max(elapsed, 1)
	}
	k.demand = max(observed*(1+demandHeadroom), k.demand*math.Pow(demandKeptPerSecond, elapsed))
	if k.demand < minDemand {
		k.demand = 0
	}
	k.peakRunning, k.deniedCount, k.requestCount, k.demandAt = k.runningCount, 0, 0, now
	return k.demand
}

// Held returns the amounts for the heartbeat that is sent now. They are the unexpired grants and, under runningKey, the
// number of running requests beyond the floor, if the grant has shrunk or expired and no longer covers them. now must
// not be later than the sentAt that is passed to Apply with the reply.
func (h *Holder) Held(now time.Time) []control.Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heldReportedAt = now
	out := make([]control.Grant, 0, len(h.keys))
	for name, k := range h.keys {
		leased, floor := splitLimit(name, k.limit, h.maxEntryInstances)
		if k.limit > 0 {
			// Cut the grant permanently. The leader may give to others the part that this heartbeat doesn't report, so it must
			// not become usable again when the limit grows.
			k.grant = min(k.grant, leased)
		}
		held := 0.0
		if now.Before(k.expiresAt) && k.grant > roundingTolerance {
			held = k.grant
			out = append(out, control.Grant{Key: name, Amount: held})
		}
		if running := float64(k.runningCount) - floor; running > held+roundingTolerance {
			out = append(out, control.Grant{Key: runningKey(name), Amount: running})
		}
	}
	slices.SortFunc(out, func(a, b control.Grant) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Apply replaces the grants by those of the reply to a heartbeat that was sent at sentAt. The new grants expire GrantTTL
// after sentAt, or earlier if the TTL of the reply is shorter. A reply is ignored if Held
// was called again after sentAt, for a newer heartbeat.
func (h *Holder) Apply(sentAt time.Time, reply *control.HeartbeatReply) {
	if reply == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if sentAt.Before(h.heldReportedAt) || sentAt.Before(h.appliedSentAt) {
		return
	}
	h.appliedSentAt = sentAt
	ttl := GrantTTL
	if reply.TTL > 0 {
		ttl = min(ttl, reply.TTL)
	}
	granted := make(map[string]float64, len(reply.Grants))
	for _, g := range reply.Grants {
		granted[g.Key] = max(g.Amount, 0)
		h.usageFor(sentAt, g.Key)
	}
	for name, k := range h.keys {
		// Tokens up to sentAt accrue under the old grant.
		h.refillTokens(sentAt, name, k)
		k.grant, k.expiresAt = granted[name], sentAt.Add(ttl)
	}
}

// UsedShare returns which fraction of its share of a concurrency limit this instance uses. The result is above 1 when
// more requests run than the share allows.
func (h *Holder) UsedShare(now time.Time, key string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.keys[key]
	if k == nil || k.runningCount == 0 {
		return 0
	}
	return float64(k.runningCount) / max(h.usableAmount(now, key, k), 1)
}
