// Package retry bounds retries and hedged attempts, and does the arithmetic of deadlines.
package retry

import (
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("retry")

const (
	// Window is the time over which requests and retries are counted.
	Window = 10 * time.Second
	// Part is the share of the requests within Window that may be retries.
	Part = 0.1
	// Free is the number of retries within Window that need no requests.
	Free = 3

	bucketWidth = 100 * time.Millisecond
	buckets     = int(Window/bucketWidth) + 1
)

// Budget bounds the retries of one entry instance: within any Window at most a part of the requests of that Window plus
// some free ones. It is safe for concurrent use.
type Budget struct {
	part, free float64

	mu       sync.Mutex
	start    time.Time
	current  int64
	requests [buckets]int
	retries  [buckets]int
	// requestSum and retrySum are the sums over the buckets.
	requestSum, retrySum int
}

// NewBudget returns an unused budget.
func NewBudget() *Budget { return NewBudgetOf(Part, Free) }

// NewBudgetOf returns an unused budget with another share and another number of free retries within Window.
func NewBudgetOf(part, free float64) *Budget { return &Budget{part: part, free: free} }

// SetLimits changes the share and the number of free retries within Window.
func (b *Budget) SetLimits(part, free float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.part, b.free = part, free
}

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	b.requests[i]++
	b.requestSum++
}

// TryRetry takes one retry from the budget. The oldest bucket may reach back past the window: its retries count, its
// requests do not.
func (b *Budget) TryRetry(now time.Time) bool { return b.TryShare(now, 1) }

// TryShare takes one retry when no more than a share, 0 to 1, of the budget is used with it, so that the rest is left for
// retries that matter more.
func (b *Budget) TryShare(now time.Time, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	oldest := (i + 1) % buckets
	if float64(b.retrySum+1) > share*(b.free+b.part*float64(b.requestSum-b.requests[oldest])) {
		return false
	}
	b.retries[i]++
	b.retrySum++
	return true
}

// advance empties the buckets that now leaves behind and returns the index of the current one.
func (b *Budget) advance(now time.Time) int {
	if b.start.IsZero() {
		b.start = now
	}
	bucket := int64(now.Sub(b.start) / bucketWidth)
	for n := 0; b.current < bucket; n++ {
		if n == buckets {
			b.current = bucket
			break
		}
		b.current++
		i := int(b.current % int64(buckets))
		b.requestSum -= b.requests[i]
		b.retrySum -= b.retries[i]
		b.requests[i], b.retries[i] = 0, 0
	}
	return int(b.current % int64(buckets))
}
