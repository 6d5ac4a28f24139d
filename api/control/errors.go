package control

import "github.com/zeebo/errs"

var (
	// ErrUnavailable means that no replica or leader answered in time. The outcome of a write is then unknown.
	ErrUnavailable = errs.Class("control unavailable")
	// ErrNotLeader means that the addressed replica is not the leader and did not accept the write.
	ErrNotLeader = errs.Class("not leader")
	// ErrTableFull means that a bounded table of the replicated state is full and nothing was recorded.
	ErrTableFull = errs.Class("table full")
	// ErrInvalid means that a message lacks a required field. Sending it again gives the same error.
	ErrInvalid = errs.Class("invalid message")
)
