package limit

import (
	"sync"
	"time"
)

// RetryBudget limits retries and hedges to a share of the requests plus a small constant rate, so that they can't multiply
// the load of a fleet that is already short of capacity. It is safe for concurrent use.
type RetryBudget struct {
	requestShare float64
	perSecond    float64
	capacity     float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// capacitySeconds is the capacity of the token bucket, in seconds of the constant rate.
const capacitySeconds = 10

// NewRetryBudget returns a budget of requestShare tokens per request plus perSecond tokens per second. It starts with the
// tokens of one second.
func NewRetryBudget(requestShare, perSecond float64) *RetryBudget {
	return &RetryBudget{requestShare: requestShare, perSecond: perSecond, capacity: max(1, capacitySeconds*perSecond), tokens: perSecond}
}

// CreditRequest adds the tokens that one request contributes.
func (b *RetryBudget) CreditRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.capacity, b.tokens+b.requestShare)
}

// Available reports whether Take would succeed.
func (b *RetryBudget) Available(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens >= 1
}

// Take takes one token, or returns false if there is none.
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
