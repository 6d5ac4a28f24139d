package admission

import (
	"time"

	"clementinetray/server/balance"
)

// Loads from which backend servers count as full, see balance.Candidate.Full: the larger one applies to plain services that answer quickly.
const (
	loadLimit      = 1.5
	loadLimitQuick = 3
)

// SnapshotOf returns the state of a pool as the candidates show it. If nothing is known of the best one's time to the first event, the
// shortest of the pool counts. slotsOf returns the slots of a candidate's server. wait is the time that a request may wait here.
func SnapshotOf(candidates []balance.Candidate, slotsOf func(candidate int) int, best int, r *balance.Request, wait time.Duration) Snapshot {
	c := &candidates[best]
	s := Snapshot{
		Full: c.Full(r, wait), Load: c.Load, LoadLimit: loadLimit, FirstEvent: c.FirstEvent,
		QueueShare: queueShare(c, r),
	}
	if atLimit := *c; !s.Full {
		if atLimit.Load = loadLimit; !atLimit.Full(r, wait) {
			s.LoadLimit = loadLimitQuick
		}
	}
	used, slots, queued, known := 0.0, 0.0, 0.0, 0.0
	for i := range candidates {
		o, n := &candidates[i], float64(max(slotsOf(i), 1))
		s.Slots += n
		if c.FirstEvent <= 0 && o.FirstEvent > 0 && o.Penalty == 0 && (!o.Cold || o.ColdReady) && (s.FirstEvent <= 0 || o.FirstEvent < s.FirstEvent) {
			s.FirstEvent = o.FirstEvent
		}
		if o.LoadKnown {
			used += min(o.Load, 1) * n
			queued += max(o.Load-1, 0) * n
			slots += n
			known++
		}
	}
	// Of a few known servers, the best one often has an old report of a low load.
	s.LoadKnown = c.LoadKnown && 2*int(known) >= len(candidates)
	if slots > 0 {
		s.UseKnown, s.Use, s.Queued = true, used/slots, queued/known >= queuedWaiting
	}
	return s
}

// queueShare returns the part of the time to the first event that a request spends in the queue of the backend server: behind other
// requests for a slot, or behind the prompts of others.
func queueShare(c *balance.Candidate, r *balance.Request) float64 {
	share := 0.0
	if c.Load > 1 {
		share = (c.Load - 1) / c.Load
	}
	if own := float64(r.PromptTokens-c.CachedTokens) * r.TimeRatio; own > 0 && c.QueuedTokens > 0 {
		share = max(share, c.QueuedTokens/(c.QueuedTokens+own))
	}
	return share
}
