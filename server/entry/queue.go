package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"clementinetray/api/problem"
	"clementinetray/server/limits"
)

// queuePollInterval is the interval at which a waiting request tries again without being woken, as other entry instances
// may have freed capacity.
const queuePollInterval = 100 * time.Millisecond

// waitQueue holds the requests that wait for a free backend server. When it is full it refuses a request of the lowest
// priority. If there are several, it refuses one whose workspace has the most running requests in relation to its weight.
type waitQueue struct {
	limit   int
	metrics *metrics
	mu      sync.Mutex // guards waiters
	waiters []*waiter
}

type waiter struct {
	// Use of QueuedRequest is the number of the workspace's running requests on this instance.
	limits.QueuedRequest
	// pool names the backend servers that the request waits for; the queue's mutex guards it.
	pool    string
	wake    chan struct{} // receives a value when the request should try again
	refused chan struct{} // closed when the request is refused in favour of another
}

func newWaitQueue(limit int, m *metrics) *waitQueue { return &waitQueue{limit: limit, metrics: m} }

// compareWaiters sorts waiters: the one to be served first comes first, the one to be refused first comes last.
func compareWaiters(a, b *waiter) int {
	switch {
	case limits.RefusedBefore(b.QueuedRequest, a.QueuedRequest):
		return -1
	case limits.RefusedBefore(a.QueuedRequest, b.QueuedRequest):
		return 1
	}
	return 0
}

// enqueue adds a waiter. When the queue exceeds its limit the last waiter is refused, which may be the new one.
func (q *waitQueue) enqueue(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	index, _ := slices.BinarySearchFunc(q.waiters, w, compareWaiters)
	q.waiters = slices.Insert(q.waiters, index, w)
	if len(q.waiters) > q.limit {
		last := q.waiters[len(q.waiters)-1]
		q.waiters = q.waiters[:len(q.waiters)-1]
		close(last.refused)
	}
	q.metrics.waitingRequests.Set(float64(len(q.waiters)))
}

// isOutranked reports whether a waiting request of the same pool comes before w. If w is nil, newWaiter returns the
// waiter of a request that is not queued; it is not called while the queue is empty.
func (q *waitQueue) isOutranked(w *waiter, newWaiter func() *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) == 0 {
		return false
	}
	if w == nil {
		w = newWaiter()
	}
	for _, other := range q.waiters {
		if other == w || compareWaiters(other, w) >= 0 {
			return false
		}
		if other.pool != "" && other.pool == w.pool {
			return true
		}
	}
	return false
}

// setPool sets the pool that w waits for, which changes when another version is chosen.
func (q *waitQueue) setPool(w *waiter, pool string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.pool = pool
}

// remove takes w out of the queue and wakes the next waiter of its pool.
func (q *waitQueue) remove(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if index := slices.Index(q.waiters, w); index >= 0 {
		q.waiters = slices.Delete(q.waiters, index, index+1)
	}
	q.metrics.waitingRequests.Set(float64(len(q.waiters)))
	q.wakeLocked(w.pool)
}

// wakeFirst wakes the first waiter of the pool, so that it tries to find a backend server.
func (q *waitQueue) wakeFirst(pool string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeLocked(pool)
}

func (q *waitQueue) wakeLocked(pool string) {
	for _, w := range q.waiters {
		if w.pool != pool {
			continue
		}
		select {
		case w.wake <- struct{}{}:
		default:
		}
		return
	}
}

// wait blocks until w should try again. It returns a problem when w was refused in favour of another request, and
// lastProblem when the deadline has passed or ctx has ended.
func (q *waitQueue) wait(ctx context.Context, w *waiter, fleetChanged <-chan struct{}, deadline time.Time, lastProblem *problem.Problem) *problem.Problem {
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return lastProblem
	}
	timer := time.NewTimer(min(remaining, queuePollInterval))
	defer timer.Stop()
	select {
	case <-w.wake:
	case <-fleetChanged:
	case <-timer.C:
	case <-w.refused:
		return problem.New(problem.Overloaded, "requests of a higher class or of a smaller share wait already").WithRetryAfter(time.Second)
	case <-ctx.Done():
		return lastProblem
	}
	return nil
}
