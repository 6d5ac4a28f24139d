package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/server/blackboard"
	"clementinetray/server/clock"
)

// errRestarted is the cause of an attempt's end when its backend server has another boot number or is gone.
var errRestarted = errs.Class("backend server restarted")

// goneIdle is how long an attempt may be silent after its backend server left the fleet table. A table that a new control
// leader rebuilds may lack backend servers that are alive, so a missing row alone ends nothing.
const goneIdle = 10 * time.Second

// runningAttempts lists attempts, so that those on backend servers that died silently are ended.
type runningAttempts struct {
	mu  sync.Mutex // guards all
	all map[*runningAttempt]struct{}
}

type runningAttempt struct {
	server, boot string
	cancel       context.CancelCauseFunc
	// active is the time of the last byte received, in Unix nanoseconds.
	active atomic.Int64
}

func newRunningAttempts() *runningAttempts {
	return &runningAttempts{all: map[*runningAttempt]struct{}{}}
}

func (r *runningAttempts) add(a *runningAttempt) {
	a.touch()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all[a] = struct{}{}
}

func (r *runningAttempts) remove(a *runningAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.all, a)
}

func (a *runningAttempt) touch() { a.active.Store(time.Now().UnixNano()) }

// check ends the attempts on backend servers that are known to have died.
func (r *runningAttempts) check(fleet *blackboard.Fleet, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for a := range r.all {
		row := fleet.Servers[a.server]
		switch {
		case row != nil && row.Boot != a.boot:
			a.cancel(errRestarted.New("%s has boot %s", a.server, row.Boot))
		case row == nil && now.Sub(time.Unix(0, a.active.Load())) > goneIdle:
			a.cancel(errRestarted.New("%s is gone", a.server))
		}
	}
}

// watchFleet checks running attempts, notes how long roll-outs have run and wakes a waiting request whenever the fleet table
// changes.
func (h *Handler) watchFleet(ctx context.Context) {
	poll := time.NewTicker(time.Second)
	defer poll.Stop()
	for {
		fleet, changed := h.cfg.Board.Fleet.Watch()
		h.sent.observe(&fleet)
		h.rollouts.observe(h.cfg.Board.View.Load().View, time.Now(), clock.Asleep())
		h.running.check(&fleet, time.Now())
		h.suspects.keepOnly(func(id string) bool { return fleet.Servers[id] != nil })
		select {
		case <-changed:
		case <-poll.C:
		case <-ctx.Done():
			return
		}
	}
}
