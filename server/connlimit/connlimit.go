// Package connlimit decides which connection is closed when a process has too many: of those that have sent no complete
// request, the one that has waited longest, of the source address with most of them. Connections on which a request was
// answered are kept for the next one while at least a quarter of those that wait had none.
//
// It addresses floods of connections that send nothing, send slowly, or stop in a header or a body, from one source address
// or from many. Connections with a complete request are never chosen.
package connlimit

import (
	"container/heap"
	"container/list"
	"time"
)

// Limits bound the number of connections.
type Limits struct {
	// Total is the number of connections of all listeners together. 0 means that nothing is limited.
	Total int
	// PerListener is the number of connections of one listener.
	PerListener int
	// Guaranteed is the number of connections of a listener that are not closed in favour of another listener.
	Guaranteed int
}

// DeriveLimits returns the limits for a total number of connections. A listener can't take more than three quarters, and an
// eighth stays available to each of up to six listeners.
func DeriveLimits(total int) Limits {
	return Limits{Total: total, PerListener: max(1, total*3/4), Guaranteed: max(1, total/8)}
}

// Conn is one connection in a Table.
type Conn struct {
	// Owner is not used by the table.
	Owner    any
	listener *listenerConns
	source   *source
	// answered is true once a request was answered.
	answered bool
	// since is when the connection began to wait; element is its place among those that wait, nil while it doesn't wait.
	since   time.Time
	element *list.Element
	queue   *queue
	removed bool
}

// listenerConns holds the connections of one listener.
type listenerConns struct {
	count   int
	sources map[string]*source
	// fresh and answered hold the connections that wait, without and with an answered request.
	fresh, answered waiters
}

// waiters orders the sources that have waiting connections by the choice of the next connection to close.
type waiters struct {
	count int
	order queueHeap
}

// source holds the connections from one address.
type source struct {
	address         string
	count           int
	fresh, answered queue
}

// queue holds the waiting connections of one source, the longest waiting first.
type queue struct {
	conns list.List // of *Conn
	index int       // in waiters.order, -1 if not in it
}

func (q *queue) longest() *Conn {
	c, _ := q.conns.Front().Value.(*Conn)
	return c
}

// Table holds all connections of a process. It is not safe for concurrent use.
type Table struct {
	limits    Limits
	total     int
	listeners map[string]*listenerConns
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, listeners: map[string]*listenerConns{}}
}

// Add adds a connection that waits for its first request. If the limits are reached, it removes the victim, which the caller
// must close. ok is false if there is no connection to close; then the new connection must be closed.
func (t *Table) Add(listener, address string, now time.Time) (added, victim *Conn, ok bool) {
	l := t.listeners[listener]
	if l == nil {
		l = &listenerConns{sources: map[string]*source{}}
		t.listeners[listener] = l
	}
	switch {
	case t.limits.Total == 0:
	case l.count >= t.limits.PerListener:
		victim = l.victim()
	case t.total >= t.limits.Total:
		victim = t.largestVictim(l)
	default:
		ok = true
	}
	if victim == nil && !ok && t.limits.Total != 0 {
		return nil, nil, false
	}
	if victim != nil {
		t.Remove(victim)
	}
	s := l.sources[address]
	if s == nil {
		s = &source{address: address, fresh: queue{index: -1}, answered: queue{index: -1}}
		l.sources[address] = s
	}
	added = &Conn{listener: l, source: s}
	t.total++
	l.count++
	s.count++
	t.SetWaiting(added, true, now)
	return added, victim, true
}

// largestVictim returns a waiting connection of the listener with most connections that is over its guaranteed part, or of
// the listener own.
func (t *Table) largestVictim(own *listenerConns) *Conn {
	var best *listenerConns
	for _, l := range t.listeners {
		if l.fresh.count+l.answered.count > 0 && (l.count > t.limits.Guaranteed || l == own) && (best == nil || l.count > best.count) {
			best = l
		}
	}
	if best == nil {
		return nil
	}
	return best.victim()
}

// victim returns the connection to close, nil if none waits.
func (l *listenerConns) victim() *Conn {
	from := &l.answered
	// Without the second condition, a flood that leaves answered connections open would have every new connection closed.
	if l.fresh.count > 0 && 3*l.fresh.count >= l.answered.count {
		from = &l.fresh
	}
	if from.count == 0 {
		return nil
	}
	return from.order[0].longest()
}

// SetWaiting records whether the connection waits for a complete request of its client, from now on.
func (t *Table) SetWaiting(c *Conn, waiting bool, now time.Time) {
	if c.removed || waiting == (c.element != nil) {
		return
	}
	of, queue := &c.listener.fresh, &c.source.fresh
	if waiting && c.answered || !waiting && c.queue == &c.source.answered {
		of, queue = &c.listener.answered, &c.source.answered
	}
	if waiting {
		c.since, c.queue = now, queue
		c.element = queue.conns.PushBack(c)
		of.count++
	} else {
		queue.conns.Remove(c.element)
		c.element, c.queue = nil, nil
		of.count--
	}
	of.reorder(queue)
}

// SetAnswered records that a request on the connection was answered. It must not wait.
func (t *Table) SetAnswered(c *Conn) { c.answered = true }

// Remove removes a connection and reports whether it was in the table.
func (t *Table) Remove(c *Conn) bool {
	if c.removed {
		return false
	}
	t.SetWaiting(c, false, time.Time{})
	c.removed = true
	t.total--
	c.listener.count--
	c.source.count--
	if c.source.count == 0 {
		delete(c.listener.sources, c.source.address)
	}
	return true
}

// Count returns the number of connections of a listener.
func (t *Table) Count(listener string) int {
	if l := t.listeners[listener]; l != nil {
		return l.count
	}
	return 0
}

// reorder puts a queue at its place after a change.
func (w *waiters) reorder(q *queue) {
	switch {
	case q.conns.Len() == 0 && q.index >= 0:
		heap.Remove(&w.order, q.index)
	case q.conns.Len() > 0 && q.index < 0:
		heap.Push(&w.order, q)
	case q.index >= 0:
		heap.Fix(&w.order, q.index)
	}
}

// queueHeap implements heap.Interface. The first queue has most connections, or the longest waiting one of those with equally
// many.
type queueHeap []*queue

func (h queueHeap) Len() int { return len(h) }

// Less sorts an empty queue, which is about to be removed, to the end.
func (h queueHeap) Less(i, j int) bool {
	a, b := h[i].conns.Len(), h[j].conns.Len()
	if a != b || a == 0 {
		return a > b
	}
	return h[i].longest().since.Before(h[j].longest().since)
}

func (h queueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *queueHeap) Push(x any) {
	q, _ := x.(*queue)
	q.index = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *queueHeap) Pop() any {
	last := (*h)[len(*h)-1]
	last.index = -1
	*h = (*h)[:len(*h)-1]
	return last
}
