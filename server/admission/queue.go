package admission

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// pollInterval is the interval at which a waiting request tries again without being woken, as other entry instances may have freed
	// capacity.
	pollInterval = 100 * time.Millisecond
	// A request with others ahead only looks whether it has become late. It does so less often by one pollInterval for each
	// pollStep requests ahead, so that a long queue costs little, and at least every maxPollInterval.
	pollStep        = 8
	maxPollInterval = 5 * pollInterval
)

// Waiter is a request in a Queue.
type Waiter struct {
	// QueuedRequest decides the order in a queue without overload control. Its Use is the number of the workspace's running requests
	// on this instance.
	QueuedRequest
	// Request decides the order in a queue with overload control. It is not changed, only replaced by Queue.Update.
	Request *Request
	// pool names the backend servers that the request waits for; the queue's mutex guards it.
	pool string
	// held is true for a request that others don't wait behind; the queue's mutex guards it.
	held    bool
	wake    chan struct{} // receives a value when the request should try again
	refused chan struct{} // closed when the request is refused in favour of another
}

// NewWaiter returns a waiter for the pool. No other request waits behind one whose pool has no name.
func NewWaiter(pool string, q QueuedRequest, r *Request) *Waiter {
	return &Waiter{QueuedRequest: q, Request: r, pool: pool, wake: make(chan struct{}, 1), refused: make(chan struct{})}
}

// Order compares two waiters at a time: the result is negative if a is served before b, and b is refused before a.
type Order func(now time.Time, a, b *Waiter) int

// ByPriority is the order without overload control: by priority, then by the workspace's running requests in relation to its weight, then
// by arrival.
func ByPriority(_ time.Time, a, b *Waiter) int {
	switch {
	case refusedBefore(b.QueuedRequest, a.QueuedRequest):
		return -1
	case refusedBefore(a.QueuedRequest, b.QueuedRequest):
		return 1
	}
	return 0
}

// ByRequest is the order with overload control, see Compare.
func ByRequest(now time.Time, a, b *Waiter) int { return Compare(now, a.Request, b.Request) }

// Queue holds the requests that wait for a free backend server. When it is full, it refuses the request that its order puts last. It is
// safe for concurrent use.
type Queue struct {
	limit    int
	order    Order
	onChange func(change int)
	mu       sync.Mutex // guards waiters and their pools
	waiters  []*Waiter
}

// NewQueue returns an empty queue for at most limit requests. onChange is called with each change of their number.
func NewQueue(limit int, order Order, onChange func(change int)) *Queue {
	return &Queue{limit: limit, order: order, onChange: onChange}
}

// Enqueue adds a waiter. When the queue exceeds its limit the last waiter is refused, which may be the new one.
func (q *Queue) Enqueue(now time.Time, w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters = append(q.waiters, w)
	q.onChange(1)
	if len(q.waiters) <= q.limit {
		return
	}
	last := len(q.waiters) - 1
	for i, other := range q.waiters {
		// Of equal ones the later one is refused.
		if c := q.order(now, other, q.waiters[last]); c > 0 {
			last = i
		}
	}
	close(q.waiters[last].refused)
	q.waiters = slices.Delete(q.waiters, last, last+1)
	q.onChange(-1)
}

// IsOutranked reports whether a waiting request of the same pool comes before w. If w is nil, newWaiter returns the waiter of a request
// that is not queued; it is not called while the queue is empty.
func (q *Queue) IsOutranked(now time.Time, w *Waiter, newWaiter func() *Waiter) bool {
	ahead, _ := q.Ahead(now, w, newWaiter)
	return ahead > 0
}

// Ahead returns the number of waiting requests of the same pool that come before w, and whether one of them has a more urgent rank. The
// parameters are those of IsOutranked.
func (q *Queue) Ahead(now time.Time, w *Waiter, newWaiter func() *Waiter) (ahead int, moreUrgent bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) == 0 {
		return 0, false
	}
	if w == nil {
		w = newWaiter()
	}
	if w.pool == "" {
		return 0, false
	}
	position := slices.Index(q.waiters, w)
	for i, other := range q.waiters {
		if other == w || other.pool != w.pool || other.held {
			continue
		}
		c := q.order(now, other, w)
		if c < 0 || c == 0 && position > i {
			ahead++
			moreUrgent = moreUrgent || other.Request != nil && w.Request != nil && other.Request.urgency() < w.Request.urgency()
		}
	}
	return ahead, moreUrgent
}

// Update sets the pool that w waits for, which changes when another version is chosen, its properties, and whether w is held back. Other
// requests don't wait behind one that is held back.
func (q *Queue) Update(w *Waiter, pool string, r *Request, held bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.pool, w.Request, w.held = pool, r, held
}

// Remove takes w out of the queue and wakes the next waiter of its pool.
func (q *Queue) Remove(now time.Time, w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if index := slices.Index(q.waiters, w); index >= 0 {
		q.waiters = slices.Delete(q.waiters, index, index+1)
		q.onChange(-1)
	}
	q.wakeLocked(now, w.pool)
}

// WakeFirst wakes the first waiter of the pool, so that it tries to find a backend server.
func (q *Queue) WakeFirst(now time.Time, pool string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeLocked(now, pool)
}

func (q *Queue) wakeLocked(now time.Time, pool string) {
	var first *Waiter
	for _, w := range q.waiters {
		if w.pool == pool && !w.held && (first == nil || q.order(now, w, first) < 0) {
			first = w
		}
	}
	if first == nil {
		return
	}
	select {
	case first.wake <- struct{}{}:
	default:
	}
}

// Wakeup says why Wait returned.
type Wakeup int

// Results of Wait.
const (
	// TryAgain means that the request may have a backend server now.
	TryAgain Wakeup = iota
	// Refused means that the queue was full and the request was refused in favour of another.
	Refused
	// Ended means that the deadline has passed or the context has ended.
	Ended
)

// Wait blocks until w should try again, w was refused, the deadline has passed or ctx has ended. A change of the fleet table closes
// fleetChanged. ahead is the number of requests that come before w.
func (q *Queue) Wait(ctx context.Context, w *Waiter, fleetChanged <-chan struct{}, deadline time.Time, ahead int) Wakeup {
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return Ended
	}
	timer := time.NewTimer(min(remaining, pollInterval*time.Duration(1+ahead/pollStep), maxPollInterval))
	defer timer.Stop()
	select {
	case <-w.wake:
	case <-fleetChanged:
	case <-timer.C:
	case <-w.refused:
		return Refused
	case <-ctx.Done():
		return Ended
	}
	return TryAgain
}
