package entry

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/server/blackboard"
	"clementinetray/server/clock"
)

// errRestarted is the cancellation cause of an attempt whose backend server has a new boot id or left the fleet table.
var errRestarted = errs.Class("backend server restarted")

// missingIdleLimit is how long an attempt may receive no data before it is cancelled if its backend server is missing
// from the fleet table. A missing row alone cancels nothing, because the table lacks live backend servers while a new
// control leader rebuilds it.
const missingIdleLimit = 10 * time.Second

// runningAttempts holds the running attempts, so that they can be cancelled when their backend server dies without closing
// its connections.
type runningAttempts struct {
	mu       sync.Mutex // guards attempts
	attempts map[*runningAttempt]struct{}
	// endedAt returns the time by which a start of a backend server had ended, as its connections were refused. It is nil if that is not
	// recorded.
	endedAt func(server, boot string) time.Time
}

type runningAttempt struct {
	server, boot string
	began        time.Time
	cancel       context.CancelCauseFunc
	// lastActive is the time of the start or of the last data received, in Unix nanoseconds.
	lastActive atomic.Int64
	exchange   *exchange
	// repeatable is set for a routed or chat request that another attempt may take over; path is the kind of connection that it got.
	repeatable atomic.Bool
	path       atomic.Int32
	// streaming is set once an event of a stream arrived.
	streaming atomic.Bool
	// opened is when the connection that it got was opened, nil if there is none yet.
	opened atomic.Pointer[time.Time]
}

// connectedAt returns when the connection of the attempt was opened, or when the attempt began if it has none. A kept connection is older
// than the attempt. A dial may end long after the attempt began, at a later start of the backend server.
func (a *runningAttempt) connectedAt() time.Time {
	if opened := a.opened.Load(); opened != nil {
		return *opened
	}
	return a.began
}

func newRunningAttempts() *runningAttempts {
	return &runningAttempts{attempts: map[*runningAttempt]struct{}{}}
}

func (r *runningAttempts) add(a *runningAttempt) {
	a.touch()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[a] = struct{}{}
}

func (r *runningAttempts) remove(a *runningAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, a)
}

// forEach calls visit for each running attempt.
func (r *runningAttempts) forEach(visit func(*runningAttempt)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for a := range r.attempts {
		visit(a)
	}
}

// touch records that data was received now.
func (a *runningAttempt) touch() { a.lastActive.Store(time.Now().UnixNano()) }

// cancelDead cancels the attempts whose backend server restarted, or is missing from the table and sent no data for
// missingIdleLimit.
func (r *runningAttempts) cancelDead(fleet *blackboard.Fleet, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for a := range r.attempts {
		row := fleet.Servers[a.server]
		switch {
		case row != nil && row.Boot != a.boot && r.runsOnLaterStart(a):
			a.boot = row.Boot
		case row != nil && row.Boot != a.boot:
			a.cancel(errRestarted.New("%s has boot %s", a.server, row.Boot))
		case row == nil && now.Sub(time.Unix(0, a.lastActive.Load())) > missingIdleLimit:
			a.cancel(errRestarted.New("%s is gone", a.server))
		}
	}
}

// runsOnLaterStart reports whether the attempt's connection was opened when its backend server's start had ended. It was sent on that
// start's row, but runs on the next one.
func (r *runningAttempts) runsOnLaterStart(a *runningAttempt) bool {
	if r.endedAt == nil {
		return false
	}
	ended := r.endedAt(a.server, a.boot)
	return !ended.IsZero() && a.connectedAt().After(ended)
}

// watchFleet updates load corrections, run times of roll-outs, running attempts and suspect backend servers on each change of
// the fleet table and at least once a second, until ctx ends.
func (h *Handler) watchFleet(ctx context.Context) {
	poll := time.NewTicker(time.Second)
	defer poll.Stop()
	for {
		fleet, changed := h.cfg.Board.Fleet.Watch()
		h.loadCorrections.observe(&fleet)
		h.rollouts.observe(h.cfg.Board.View.Load().View, time.Now(), clock.SuspendedTime())
		h.runningAttempts.cancelDead(&fleet, time.Now())
		h.logStarts(&fleet, time.Now())
		h.removeEndedStatements(&fleet, time.Now())
		h.updateBrittle(&fleet, time.Now())
		h.suspectUntil.keepOnly(func(id string) bool { return fleet.Servers[id] != nil })
		h.unnamedAnswers.keepOnly(func(key string) bool {
			id, boot, _ := strings.Cut(key, "/")
			return fleet.Servers[id] != nil && fleet.Servers[id].Boot == boot
		})
		select {
		case <-changed:
		case <-poll.C:
		case <-ctx.Done():
			return
		}
	}
}
