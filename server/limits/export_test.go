package limits

import "time"

// UsableAmount returns the floor plus the unexpired grant under a limit, for tests that check the sum over the fleet.
func (h *Holder) UsableAmount(now time.Time, key string, limit float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := *h.usageFor(now, key)
	k.limit = limit
	return h.usableAmount(now, key, &k)
}

// LeaderTTL and RecoveryTime export constants to tests.
const LeaderTTL, RecoveryTime = leaderTTL, recoveryTime
