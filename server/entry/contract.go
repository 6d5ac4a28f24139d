// Package entry serves callers: it authenticates them, chooses a version and a backend server for each request, dispatches
// the request, streams the answer back and bills it.
package entry

import (
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/control"
)

// Error is the class of all errors of this package.
var Error = errs.Class("entry")

// Limits enforces this entry instance's share of fleet-wide limits (limits.Holder). It is safe for concurrent use.
type Limits interface {
	// TryAcquire counts one running request against a concurrency limit, which is given for the whole fleet. release must be
	// called once.
	TryAcquire(now time.Time, key string, limit float64) (release func(), ok bool)
	// TryRate counts one request against a rate limit, which is given in requests per second for the whole fleet.
	TryRate(now time.Time, key string, limit float64) bool
	// Demand and Held return the amounts that the next heartbeat reports as wanted and as held. Apply adopts the grants in the
	// reply to the heartbeat sent at sentAt.
	Demand(now time.Time) []control.Grant
	Held(now time.Time) []control.Grant
	Apply(sentAt time.Time, reply *control.HeartbeatReply)
}

// WorkspaceMeter measures what workspaces ask for and are served (shares.Meter). cost is the expected cost of the request. It is safe
// for concurrent use.
type WorkspaceMeter interface {
	// Served counts an attempt that is sent to a backend server.
	Served(workspace string, cost float64, now time.Time)
	// NotRun takes back an attempt that was counted as served and did not run.
	NotRun(workspace string, cost float64, now time.Time)
	// Ended counts the end of an attempt that was counted as served and that may have run.
	Ended(cost float64, now time.Time)
	// Refused counts a request that is refused for lack of capacity and has not run.
	Refused(workspace string, cost float64, now time.Time)
	// Asked counts a request that begins to wait for a backend server. It is then placed or refused without Served and Refused.
	Asked(workspace string, cost float64, now time.Time)
	// Placed counts an attempt of a request that was counted by Asked.
	Placed(workspace string, cost float64, now time.Time)
	// WaitBegan and WaitEnded count a request that waits, here or at a backend server without a free slot.
	WaitBegan(cost float64)
	WaitEnded(cost float64)
}

// RetryBudget bounds retries and hedged attempts (retry.Budget). It is safe for concurrent use.
type RetryBudget interface {
	// CountRequest counts the first attempt of a request, which adds to the budget.
	CountRequest(now time.Time)
	// TryRetry takes one retry from the budget and reports whether there was one left.
	TryRetry(now time.Time) bool
}
