package entry

import (
	"sync"
	"time"
)

const (
	// readGrace is the last part of a giveUpTimer, which begins only when the process runs. After a suspension, what arrived meanwhile is
	// read in it. That takes milliseconds, and more on a busy machine.
	readGrace = 100 * time.Millisecond
	// lateTimer is the delay of a timer from which on the process is taken to have stood still.
	lateTimer = 50 * time.Millisecond
)

// giveUpTimer gives an attempt up in favour of another one after a time without news, unless this process itself stood still. A nil timer
// does nothing.
type giveUpTimer struct {
	x     *exchange
	limit time.Duration
	cause error

	mu    sync.Mutex // guards the fields below
	timer *time.Timer
	due   time.Time
	// isLast is set in the last part of the time, readGrace.
	isLast bool
	// ended is set when the timer was stopped or has given the attempt up.
	ended bool
}

func (x *exchange) startGiveUpTimer(limit time.Duration, cause error) *giveUpTimer {
	t := &giveUpTimer{x: x, limit: limit, cause: cause}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(t.begin(time.Now(), limit-readGrace, false), t.fire)
	return t
}

// begin begins a part of the time and returns how long it takes.
func (t *giveUpTimer) begin(now time.Time, part time.Duration, isLast bool) time.Duration {
	part = max(part, 0)
	t.due, t.isLast = now.Add(part), isLast
	return part
}

func (t *giveUpTimer) fire() {
	if t.isOver(time.Now()) {
		t.x.giveUp(t.cause)
	}
}

// isOver reports whether the attempt is to be given up now. Otherwise the last part begins, anew if it has been too late.
func (t *giveUpTimer) isOver(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch late := now.Sub(t.due); {
	case t.ended, late < 0:
		return false
	case !t.isLast, late >= lateTimer:
		t.timer.Reset(t.begin(now, readGrace, true))
		return false
	}
	t.ended = true
	return true
}

// restart begins the time anew, unless the attempt has been given up.
func (t *giveUpTimer) restart() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ended {
		t.timer.Reset(t.begin(time.Now(), t.limit-readGrace, false))
	}
}

func (t *giveUpTimer) stop() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	t.timer.Stop()
}
