package callerconn

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/server/clock"
	"clementinetray/server/tcpinfo"
)

// ErrGone means that the client of a request has given it up, or may have done so.
var ErrGone = errs.Class("the client no longer waits")

type patienceKey struct{}

// WithPatience sets how long the client of a request waits for the answer before it may send the request to another process.
func WithPatience(ctx context.Context, patience time.Duration) context.Context {
	return context.WithValue(ctx, patienceKey{}, patience)
}

// CheckWaiting returns ErrGone if the client of the request with this context has closed its connection, or if the request may be older
// than the client's patience: the end of the connection of a client that has given up may be on its way. A request is at most as old as
// its connection, or as the last answer on it. The time in which the process or its machine stood still counts.
func CheckWaiting(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return ErrGone.Wrap(err)
	}
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	if tcpinfo.HasEnded(c.Conn) {
		return ErrGone.New("it closed the connection")
	}
	patience, limited := ctx.Value(patienceKey{}).(time.Duration)
	if !limited || !c.tracksAge {
		return nil
	}
	c.mu.Lock()
	age := clock.Elapsed() - c.unansweredSince
	c.mu.Unlock()
	if age >= patience {
		return ErrGone.New("the request may be %s old", age.Round(time.Millisecond))
	}
	return nil
}
