package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

const (
	// maxBillBatch is the largest number of bills in one commit.
	maxBillBatch = 256
	// billRetryPause is the pause after a batch that could not be committed.
	billRetryPause = 100 * time.Millisecond
)

// biller commits bills to the control group in batches. A bill is sent at once when no batch is in progress; otherwise it
// joins the next batch.
type biller struct {
	client  control.Client
	timeout time.Duration
	limit   int
	log     *slog.Logger
	metrics *metrics

	mu      sync.Mutex // guards queue and changed
	queue   []queuedBill
	changed chan struct{} // closed when the queue shrinks

	wake chan struct{}
	stop context.CancelFunc
	done chan struct{}
}

type queuedBill struct {
	bill    control.Bill
	durable chan struct{} // closed when the bill is durable
}

func newBiller(cfg *Config, m *metrics) *biller {
	ctx, stop := context.WithCancel(context.Background())
	b := &biller{
		client: cfg.Control, timeout: cfg.ControlTimeout, limit: cfg.MaxQueuedBills, log: cfg.Log, metrics: m,
		changed: make(chan struct{}), wake: make(chan struct{}, 1), stop: stop, done: make(chan struct{}),
	}
	go b.run(ctx)
	return b
}

// submit queues a bill and returns a channel that is closed when the bill is durable.
func (b *biller) submit(bill control.Bill) <-chan struct{} {
	durable := make(chan struct{})
	b.mu.Lock()
	b.queue = append(b.queue, queuedBill{bill: bill, durable: durable})
	b.metrics.queuedBills.Set(float64(len(b.queue)))
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return durable
}

// full reports whether the queue has reached its limit. New requests are refused then, as their bills could not be kept.
func (b *biller) full() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue) >= b.limit
}

// drain waits until each bill is durable or ctx ends, and returns the number of bills still queued.
func (b *biller) drain(ctx context.Context) int {
	for {
		b.mu.Lock()
		remaining, changed := len(b.queue), b.changed
		b.mu.Unlock()
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

func (b *biller) run(ctx context.Context) {
	defer close(b.done)
	for {
		batch := b.nextBatch()
		if len(batch) == 0 {
			select {
			case <-b.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if b.commit(ctx, batch) {
			continue
		}
		select {
		case <-time.After(billRetryPause):
		case <-ctx.Done():
			return
		}
	}
}

func (b *biller) nextBatch() []queuedBill {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue[:min(len(b.queue), maxBillBatch):min(len(b.queue), maxBillBatch)]
}

// commit sends a batch and reports whether it was recorded. After a failure its bills are sent again, because the outcome is
// unknown; the control group's state machine drops duplicates by key.
func (b *biller) commit(ctx context.Context, batch []queuedBill) bool {
	in := &control.RecordBillsRequest{Bills: make([]control.Bill, len(batch))}
	for i, q := range batch {
		in.Bills[i] = q.bill
	}
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	out, err := b.client.RecordBills(ctx, in)
	if err != nil {
		b.log.Warn("bills not recorded", "bills", len(batch), "error", err)
		return false
	}
	b.metrics.bills.WithLabelValues("recorded").Add(float64(out.Recorded))
	b.metrics.bills.WithLabelValues("duplicate").Add(float64(out.Duplicates))
	b.mu.Lock()
	b.queue = b.queue[len(batch):]
	if len(b.queue) == 0 {
		b.queue = nil
	}
	b.metrics.queuedBills.Set(float64(len(b.queue)))
	close(b.changed)
	b.changed = make(chan struct{})
	b.mu.Unlock()
	for _, q := range batch {
		close(q.durable)
	}
	return true
}

func (b *biller) close() {
	b.stop()
	<-b.done
}

// costMicros returns the price of generated tokens in micro-units of the billing currency, rounded to the nearest one.
func costMicros(c *catalogue.Catalogue, v catalogue.VersionRef, outputTokens int) int64 {
	version := c.FindVersion(v)
	if version == nil {
		return 0
	}
	const million = 1_000_000
	return (int64(outputTokens)*version.CostPerMillionTokens + million/2) / million
}

// submitBill submits the request's bill and waits at most BillWait until it is durable. A request that did not complete and has
// no bill lines is not billed: its bill would suppress the bill of a retry with the same key.
func (h *Handler) submitBill(rq *request, complete bool) {
	if rq.billed || !complete && len(rq.billLines) == 0 {
		return
	}
	rq.billed = true
	key := rq.id
	if rq.idempotencyKey != "" {
		key = rq.idempotencyKey
	}
	durable := h.bills.submit(control.Bill{
		Key: key, Workspace: rq.route.Workspace.Name, Request: rq.id, Lines: rq.billLines, Complete: complete, Service: rq.route.Service,
	})
	timer := time.NewTimer(h.cfg.BillWait)
	defer timer.Stop()
	select {
	case <-durable:
	case <-timer.C:
		h.metrics.lateBills.Inc()
		h.record(rq, "bill_queued", "control did not record the bill in time")
	}
}
