package shares

import (
	"sync/atomic"
	"time"

	"clementinetray/api/control"
)

// Holder holds the standings that an entry instance received from the control leader. It is safe for concurrent use.
type Holder struct {
	metrics *instanceMetrics
	// current is nil until the first standings have arrived.
	current atomic.Pointer[receivedStandings]
}

type receivedStandings struct {
	sentAt, expires time.Time
	ratios          map[string]float64
}

// Standing returns the fleet-wide use of a workspace divided by its fair share. It is 1 at the fair share. known is false, and the
// ratio 1, if there are no standings or they have expired.
func (h *Holder) Standing(workspace string, now time.Time) (ratio float64, known bool) {
	current := h.current.Load()
	if current == nil || !now.Before(current.expires) {
		return 1, false
	}
	if ratio, listed := current.ratios[workspace]; listed {
		return ratio, true
	}
	return 1, true
}

// Apply stores the standings in the reply to the heartbeat that was sent at sentAt. A reply without standings leaves the earlier
// ones valid until they expire.
func (h *Holder) Apply(sentAt time.Time, reply *control.HeartbeatReply) {
	ttl := min(reply.StandingsTTL, StandingsTTL)
	if ttl <= 0 {
		return
	}
	if current := h.current.Load(); current != nil && sentAt.Before(current.sentAt) {
		return
	}
	next := &receivedStandings{sentAt: sentAt, expires: sentAt.Add(ttl), ratios: make(map[string]float64, len(reply.Standings))}
	for _, s := range reply.Standings[:min(len(reply.Standings), MaxReported)] {
		if validAmount(s.Ratio) && s.Workspace != "" {
			next.ratios[s.Workspace] = s.Ratio
		}
	}
	h.current.Store(next)
	h.metrics.standings.Set(float64(len(next.ratios)))
	h.metrics.expires.Set(float64(next.expires.UnixMilli()) / 1000)
}
