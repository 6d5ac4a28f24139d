package retry

import (
	"strconv"
	"time"
)

// MinAttemptTime is the minimum time until the deadline at which an attempt may still be started.
const MinAttemptTime = 20 * time.Millisecond

// maxDeadline is the longest time that a deadline header can set. Longer times are reduced to it, to avoid an overflow.
const maxDeadline = 24 * time.Hour

// ErrInvalidDeadline is returned for a deadline header that is not a positive number of milliseconds.
var ErrInvalidDeadline = Error.New("the deadline is not a positive number of milliseconds")

// ParseDeadline converts the header Clementinetray-Deadline-Ms, in milliseconds from the time when the request was
// received, to a time. An empty header gives the zero time, which means no deadline. It returns ErrInvalidDeadline for
// an invalid header.
func ParseDeadline(header string, received time.Time) (time.Time, error) {
	if header == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, ErrInvalidDeadline
	}
	if ms > maxDeadline.Milliseconds() {
		ms = maxDeadline.Milliseconds()
	}
	return received.Add(time.Duration(ms) * time.Millisecond), nil
}

// Remaining returns the time left until the deadline (0 if it has passed), and false if there is no deadline.
func Remaining(deadline, now time.Time) (time.Duration, bool) {
	if deadline.IsZero() {
		return 0, false
	}
	return max(deadline.Sub(now), 0), true
}

// FormatDeadline returns the value of the deadline header for the next hop: the remaining milliseconds, rounded down.
// It is empty if there is no deadline, and "0" if the deadline has passed; the attempt must not start then.
func FormatDeadline(deadline, now time.Time) string {
	remaining, ok := Remaining(deadline, now)
	if !ok {
		return ""
	}
	return strconv.FormatInt(remaining.Milliseconds(), 10)
}

// HasTime reports whether at least MinAttemptTime is left for an attempt. It is true if there is no deadline.
func HasTime(deadline, now time.Time) bool {
	remaining, ok := Remaining(deadline, now)
	return !ok || remaining >= MinAttemptTime
}

// Failure describes a failed attempt of a request.
type Failure struct {
	// Sent is set if a byte of the request may have reached a backend server.
	Sent bool
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Delivered is set if the caller has received a byte of the answer, Resumable if another backend server can continue
	// the answer.
	Delivered, Resumable bool
	Deadline             time.Time
}

// MayRetry reports whether the request may be sent again. The caller must also take a retry from the budget.
func MayRetry(f Failure, now time.Time) bool {
	switch {
	case f.Sent && !f.Idempotent:
		return false
	case f.Delivered && !f.Resumable:
		return false
	}
	return HasTime(f.Deadline, now)
}

// Hedge describes a running attempt for which a second attempt may be started.
type Hedge struct {
	Idempotent bool
	// Suspect is set if the request may have crashed a backend server: a second attempt might crash another one.
	Suspect bool
	// FirstByteReceived is set if the first byte of the answer has arrived, Hedged if a second attempt is already running.
	FirstByteReceived, Hedged bool
	// Started is the time at which the first attempt was sent.
	Started  time.Time
	Deadline time.Time
	// P95 and Median are recent latencies of the version until the first token. P95 is 0 if it is unknown.
	P95, Median time.Duration
}

// MayHedge reports whether a second attempt may start: the first one has waited for at least P95, and a second one
// would usually still meet the deadline. The caller must also take a retry from the budget.
func MayHedge(h Hedge, now time.Time) bool {
	if !h.Idempotent || h.Suspect || h.FirstByteReceived || h.Hedged || h.P95 <= 0 || now.Sub(h.Started) < h.P95 {
		return false
	}
	remaining, ok := Remaining(h.Deadline, now)
	return !ok || remaining >= max(h.Median, MinAttemptTime)
}
