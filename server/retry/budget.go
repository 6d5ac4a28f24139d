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
	// ratio is the number of retries allowed for each request, slack the number of retries allowed in addition.
	ratio, slack float64

	mu sync.Mutex
	// firstUse is the time of the first call that counts a request or tries a retry; the buckets are numbered from there.
	firstUse      time.Time
	currentBucket int64
	requests      [bucketCount]int
	retries       [bucketCount]int
	// requestSum and retrySum are the totals of all buckets.
	requestSum, retrySum int
}

// NewBudget returns an unused budget with the default limits.
func NewBudget() *Budget { return NewBudgetWithLimits(DefaultRatio, DefaultFreeRetries) }

// NewBudgetWithLimits returns an unused budget. Within BudgetWindow it allows ratio retries for each request, and slack
// retries in addition.
func NewBudgetWithLimits(ratio, slack float64) *Budget { return &Budget{ratio: ratio, slack: slack} }

// SetLimits changes the limits that NewBudgetWithLimits sets. The new limits also apply to requests and retries already
// counted.
func (b *Budget) SetLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
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
func (b *Budget) TryRetry(now time.Time) bool { return b.TryRetryWithinShare(now, 1) }

// TryRetryWithinShare takes one retry, unless more than the given share (0 to 1) of the budget would then be used. It
// returns false if it took none. The rest of the budget is reserved for more important retries.
func (b *Budget) TryRetryWithinShare(now time.Time, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advanceTo(now)
	// A part of the oldest bucket may lie before the window. To never exceed the limit, its retries are counted and its
	// requests are not.
	oldest := (i + 1) % bucketCount
	if float64(b.retrySum+1) > share*(b.slack+b.ratio*float64(b.requestSum-b.requests[oldest])) {
		return false
	}
	b.retries[i]++
	b.retrySum++
	return true
}

// advanceTo clears the buckets that have left the window at time now and returns the index of the current bucket.
func (b *Budget) advanceTo(now time.Time) int {
	if b.firstUse.IsZero() {
		b.firstUse = now
	}
	bucket := int64(now.Sub(b.firstUse) / bucketWidth)
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
