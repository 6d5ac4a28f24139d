package announce

import (
	"context"
	"sync"
	"time"

	"clementinetray/api/control"
)

const (
	// joinDelay is how long the first announcement of a batch waits for others. Backend servers accept an answer within a second.
	joinDelay = 20 * time.Millisecond
	// joinTimeout bounds the call that passes a batch on.
	joinTimeout = time.Second
)

// Forwarder passes announcements on to the control leader. control.Client implements it.
type Forwarder interface {
	Announce(ctx context.Context, in *control.AnnounceRequest) error
}

// Batcher joins the announcements that arrive at nearly the same time into one call, and tells each sender the result of its
// call. A control instance that passes each announcement on by itself costs the leader a call for each backend server and interval,
// thousands a second in a large fleet. At most one call is under way, so that batches grow while the leader is slow.
type Batcher struct {
	forward Forwarder

	mu      sync.Mutex // guards the fields below
	next    *batch
	calling bool
}

// batch is a call that waits or is under way. err is valid once done is closed.
type batch struct {
	request control.AnnounceRequest
	done    chan struct{}
	err     error
}

// NewBatcher returns a batcher that passes announcements on by forward.
func NewBatcher(forward Forwarder) *Batcher { return &Batcher{forward: forward} }

// Announce returns once the leader has the announcements and leaves of the request, with the error of the call, or when ctx ends.
func (b *Batcher) Announce(ctx context.Context, in *control.AnnounceRequest) error {
	joined := b.join(in)
	select {
	case <-joined.done:
		return joined.err
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// join adds the request to the next batch, and starts that unless a call is under way.
func (b *Batcher) join(in *control.AnnounceRequest) *batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = &batch{done: make(chan struct{})}
		if !b.calling {
			b.calling = true
			time.AfterFunc(joinDelay, b.send)
		}
	}
	b.next.request.Announcements = append(b.next.request.Announcements, in.Announcements...)
	b.next.request.Leaves = append(b.next.request.Leaves, in.Leaves...)
	return b.next
}

// send makes one call after the other until no announcement waits.
func (b *Batcher) send() {
	for {
		b.mu.Lock()
		current := b.next
		b.next, b.calling = nil, current != nil
		b.mu.Unlock()
		if current == nil {
			return
		}
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
		current.err = b.forward.Announce(ctx, &current.request)
		cancel()
		close(current.done)
		time.Sleep(joinDelay - time.Since(began))
	}
}
