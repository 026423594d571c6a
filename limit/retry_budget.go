// Package limit bounds admission, rates and retries.
package limit

import (
	"sync"
	"time"
)

// RetryBudget bounds retries and hedges to a share of the requests plus a small constant rate, so that they can't
// multiply the load of a fleet that is already short of capacity. It is safe for concurrent use.
type RetryBudget struct {
	requestShare     float64
	perSecond float64
	capacity  float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// capacitySeconds is how many seconds of the constant rate the bucket holds when it is full.
const capacitySeconds = 10

// NewRetryBudget returns a budget of share tokens per request plus perSecond tokens per second. It starts with one
// second's worth.
func NewRetryBudget(requestShare, perSecond float64) *RetryBudget {
	return &RetryBudget{requestShare: requestShare, perSecond: perSecond, capacity: max(1, capacitySeconds*perSecond), tokens: perSecond}
}

// CreditRequest credits the share of one request.
func (b *RetryBudget) CreditRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.capacity, b.tokens+b.requestShare)
}

// Available tells whether Take would succeed.
func (b *RetryBudget) Available(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens >= 1
}

// Take spends one token, or returns false when there is none.
func (b *RetryBudget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) refill(now time.Time) {
	if b.last.IsZero() {
		b.last = now
	}
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.tokens = min(b.capacity, b.tokens+elapsed.Seconds()*b.perSecond)
		b.last = now
	}
}
