package entry

import (
	"context"
	"sync"
	"time"

	"clementinetray/server/blackboard"
	"clementinetray/server/clock"
)

const (
	// maxFleetAge is the age above which a fleet table may lack the restarts of backend servers: more than two Syncs are overdue. An
	// instance that stood still has such a table until its next Sync.
	maxFleetAge = 1200 * time.Millisecond
	// maxFleetWait is how long requests wait for the next table after an old one was noticed. A Sync takes a few milliseconds, and starts
	// at once when the process goes on. An instance whose Syncs fail goes on with the old table.
	maxFleetWait = 300 * time.Millisecond
)

// oldFleet notes when a fleet table was first found to be old.
type oldFleet struct {
	mu                     sync.Mutex // guards the fields below
	receivedAt, waitingEnd time.Time
}

// waitEnd returns until when requests wait for the table after the one that was received at receivedAt.
func (o *oldFleet) waitEnd(receivedAt, now time.Time) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.receivedAt.Equal(receivedAt) {
		o.receivedAt, o.waitingEnd = receivedAt, now.Add(maxFleetWait)
	}
	return o.waitingEnd
}

// waitForFleet waits for the next fleet table if the current one is old and servers of the request's service are cold after their start:
// by an old table they might be sent the full load.
func (h *Handler) waitForFleet(ctx context.Context, rq *request) {
	for {
		view := h.cfg.Board.View.Load()
		if view.View == nil || view.Catalogue == nil || view.Catalogue.PoolOf(rq.routed.service).ColdPerSecond <= 0 {
			return
		}
		fleet, changed := h.cfg.Board.Fleet.Watch()
		now := time.Now()
		if fleetAge(&view, &fleet, now) <= maxFleetAge {
			return
		}
		wait := h.oldFleet.waitEnd(fleet.ReceivedAt, now).Sub(now)
		if wait <= 0 {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// fleetAge returns the age of a fleet table, with the time for which the machine was suspended since the Sync that brought it.
func fleetAge(view *blackboard.View, fleet *blackboard.Fleet, now time.Time) time.Duration {
	return now.Sub(fleet.ReceivedAt) + max(clock.SuspendedTime()-view.SuspendedTime, 0)
}
