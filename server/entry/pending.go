package entry

import (
	"context"
	"sync"
	"time"
)

// pendingRetryDelay is the pause before a failed control call is repeated.
const pendingRetryDelay = 250 * time.Millisecond

// pendingList queues items for an idempotent control call, which it repeats until it succeeds.
type pendingList[T any] struct {
	send func(ctx context.Context, items []T) error
	// limit is the largest number of items. When it is exceeded the oldest item is dropped and passed to onDropped,
	// unless that is nil.
	limit     int
	onDropped func(T)

	mu           sync.Mutex // guards items, sendingCount and changed
	items        []T
	sendingCount int           // the number of items in the call in progress
	changed      chan struct{} // closed after a successful call
	wake         chan struct{}
}

func newPendingList[T any](limit int, send func(ctx context.Context, items []T) error) *pendingList[T] {
	return &pendingList[T]{send: send, limit: limit, changed: make(chan struct{}), wake: make(chan struct{}, 1)}
}

func (p *pendingList[T]) add(item T) {
	p.mu.Lock()
	if len(p.items) >= p.limit {
		if p.onDropped != nil {
			p.onDropped(p.items[0])
		}
		p.items = p.items[1:]
	}
	p.items = append(p.items, item)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *pendingList[T]) run(ctx context.Context) {
	for {
		select {
		case <-p.wake:
		case <-ctx.Done():
			return
		}
		for p.flush(ctx) != nil {
			select {
			case <-time.After(pendingRetryDelay):
			case <-ctx.Done():
				return
			}
		}
	}
}

func (p *pendingList[T]) flush(ctx context.Context) error {
	p.mu.Lock()
	items := p.items
	p.items, p.sendingCount = nil, len(items)
	p.mu.Unlock()
	if len(items) == 0 {
		return nil
	}
	err := p.send(ctx, items)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sendingCount = 0
	if err != nil {
		p.items = append(items, p.items...)
		return err
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// drain waits until each item was sent or ctx ends, and returns the number of unsent items.
func (p *pendingList[T]) drain(ctx context.Context) int {
	for {
		p.mu.Lock()
		remaining, changed := len(p.items)+p.sendingCount, p.changed
		p.mu.Unlock()
		if remaining == 0 {
			return 0
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return remaining
		}
	}
}
