// Package retry limits retries and hedged attempts, and computes deadlines.
package retry

import (
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("retry")

const (
	// BudgetWindow is the sliding interval in which requests and retries are counted.
	BudgetWindow = 10 * time.Second
	// DefaultRatio is the number of retries allowed for each request within BudgetWindow.
	DefaultRatio = 0.1
	// DefaultFreeRetries is the number of retries within BudgetWindow that are allowed in addition, so that an instance
	// with few requests can retry.
	DefaultFreeRetries = 3

	bucketWidth = 100 * time.Millisecond
	bucketCount = int(BudgetWindow/bucketWidth) + 1
)

// Budget limits the retries of one entry instance: within any BudgetWindow, to a share of the requests of that window
// plus a fixed number. It is safe for concurrent use.
type Budget struct {
	// ratio is the number of retries allowed for each request, free the number of those allowed in addition.
	ratio, free float64

	mu            sync.Mutex
	start         time.Time
	currentBucket int64
	requests      [bucketCount]int
	retries       [bucketCount]int
	// requestSum and retrySum are the totals of all buckets.
	requestSum, retrySum int
}

// NewBudget returns an unused budget with the default limits.
func NewBudget() *Budget { return NewBudgetWithLimits(DefaultRatio, DefaultFreeRetries) }

// NewBudgetWithLimits returns an unused budget. Within BudgetWindow it allows ratio retries for each request, and free
// retries in addition.
func NewBudgetWithLimits(ratio, free float64) *Budget { return &Budget{ratio: ratio, free: free} }

// SetLimits changes the limits that NewBudgetWithLimits sets. They apply to requests and retries already counted, too.
func (b *Budget) SetLimits(ratio, free float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.free = ratio, free
}

// CountRequest counts a new request, which adds to the retries that are allowed.
func (b *Budget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advanceTo(now)
	b.requests[i]++
	b.requestSum++
}

// TryRetry takes one retry from the budget, and returns false if none is left.
func (b *Budget) TryRetry(now time.Time) bool { return b.TryRetryWithin(now, 1) }

// TryRetryWithin takes one retry if that leaves no more than the given share (0 to 1) of the budget used. The rest is
// reserved for more important retries.
func (b *Budget) TryRetryWithin(now time.Time, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advanceTo(now)
	// A part of the oldest bucket may lie before the window. To never exceed the limit, its retries are counted and its
	// requests are not.
	oldest := (i + 1) % bucketCount
	if float64(b.retrySum+1) > share*(b.free+b.ratio*float64(b.requestSum-b.requests[oldest])) {
		return false
	}
	b.retries[i]++
	b.retrySum++
	return true
}

// advanceTo clears the buckets that have left the window at time now and returns the index of the current bucket.
func (b *Budget) advanceTo(now time.Time) int {
	if b.start.IsZero() {
		b.start = now
	}
	bucket := int64(now.Sub(b.start) / bucketWidth)
	for n := 0; b.currentBucket < bucket; n++ {
		if n == bucketCount {
			b.currentBucket = bucket
			break
		}
		b.currentBucket++
		i := int(b.currentBucket % int64(bucketCount))
		b.requestSum -= b.requests[i]
		b.retrySum -= b.retries[i]
		b.requests[i], b.retries[i] = 0, 0
	}
	return int(b.currentBucket % int64(bucketCount))
}
