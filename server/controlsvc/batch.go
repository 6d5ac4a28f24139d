package controlsvc

import (
	"context"
	"sync"

	"clementinetray/api/control"
	"clementinetray/server/controlstate"
	"clementinetray/server/replica"
)

const (
	// maxBatchItems and maxBatchBytes limit one command. An item over maxBatchBytes gets a command of its own.
	maxBatchItems = 512
	maxBatchBytes = 1 << 20
	// maxQueuedItems limits the calls that wait while a proposal is in flight.
	maxQueuedItems = 10_000
)

// batchItem is an RPC that waits for its commit. Exactly one of begin, finish and bills is set; sizeBytes is
// the estimated size of its part of the command.
type batchItem struct {
	begin     *control.BeginCallRequest
	finish    *control.FinishCallRequest
	bills     *control.RecordBillsRequest
	sizeBytes int

	done       chan struct{}
	beginReply control.BeginCallReply
	billsReply control.RecordBillsReply
	err        error
}

// batcher combines the items that arrive while a proposal is in flight into the next command.
type batcher struct {
	proposer Proposer

	mu       sync.Mutex // guards queue and flushing
	queue    []*batchItem
	flushing bool
}

func newBatcher(p Proposer) *batcher { return &batcher{proposer: p} }

// submit queues the item and waits until it is committed or has failed. The reply is in the item.
func (b *batcher) submit(item *batchItem) error {
	item.done = make(chan struct{})
	b.mu.Lock()
	if len(b.queue) >= maxQueuedItems {
		b.mu.Unlock()
		return control.ErrUnavailable.New("%d calls wait for a commit", maxQueuedItems)
	}
	b.queue = append(b.queue, item)
	startFlush := !b.flushing
	b.flushing = true
	b.mu.Unlock()
	if startFlush {
		go b.flush()
	}
	<-item.done
	return item.err
}

// flush proposes one batch after the other until the queue is empty.
func (b *batcher) flush() {
	for {
		items := b.takeBatch()
		if len(items) == 0 {
			return
		}
		b.commitBatch(items)
	}
}

// failQueued fails all queued items after a failed proposal. None of them was proposed, so clients can send them again at
// once. If the items stayed in the queue, each batch would wait for the timeouts of the earlier ones.
func (b *batcher) failQueued() {
	b.mu.Lock()
	waiting := b.queue
	b.queue = nil
	b.mu.Unlock()
	for _, item := range waiting {
		item.err = replica.ErrNotLeader.New("the previous proposal failed")
		close(item.done)
	}
}

// takeBatch removes the next batch from the queue. When the queue is empty, it returns nothing and clears flushing.
func (b *batcher) takeBatch() []*batchItem {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, bytes := 0, 0
	for n < len(b.queue) && n < maxBatchItems && (n == 0 || bytes+b.queue[n].sizeBytes <= maxBatchBytes) {
		bytes += b.queue[n].sizeBytes
		n++
	}
	items := b.queue[:n:n]
	b.queue = b.queue[n:]
	if n == 0 {
		b.queue, b.flushing = nil, false
	}
	return items
}

// commitBatch proposes the items as one command and completes each with its reply or the error.
func (b *batcher) commitBatch(items []*batchItem) {
	c := &controlstate.Command{}
	for _, item := range items {
		switch {
		case item.begin != nil:
			c.BeginCalls = append(c.BeginCalls, *item.begin)
		case item.finish != nil:
			c.FinishCalls = append(c.FinishCalls, *item.finish)
		default:
			c.BillBatches = append(c.BillBatches, *item.bills)
		}
	}
	result, err := b.proposer.ProposeCommand(context.Background(), c)
	out, ok := result.(controlstate.BatchResult)
	if err == nil && (!ok || len(out.Begins) != len(c.BeginCalls) || len(out.Bills) != len(c.BillBatches)) {
		err = Error.New("the result for %d calls and %d batches of bills is incomplete or of an unexpected type: %T", len(c.BeginCalls), len(c.BillBatches), result)
	}
	if replica.ErrNotLeader.Has(err) || replica.ErrOutcomeUnknown.Has(err) {
		// Before the items are completed: calls that their senders make after that are not failed.
		b.failQueued()
	}
	beginIndex, billsIndex := 0, 0
	for _, item := range items {
		item.err = err
		switch {
		case err != nil:
		case item.begin != nil:
			item.beginReply = out.Begins[beginIndex]
			beginIndex++
		case item.bills != nil:
			item.billsReply = out.Bills[billsIndex]
			billsIndex++
		}
		close(item.done)
	}
}
