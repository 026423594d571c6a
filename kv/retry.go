package kv

import (
	"context"
	"time"

	"github.com/quetzalshed/quetzalshed/progress"
)

// firstRetryTimeout bounds the first repetition of a call to a store that has not answered.
const firstRetryTimeout = 400 * time.Millisecond

// retryCycle is how many repetitions have timeouts of their own, each twice as long; the next one has the client's. A store
// that answers again is noticed soon by the short ones, and one that is slow is waited for by the long ones.
const retryCycle = 3

// RetryContext bounds the silence in a call that follows a number of failed ones.
func RetryContext(ctx context.Context, failures int) (context.Context, context.CancelFunc) {
	if failures == 0 || failures%retryCycle == 0 {
		return context.WithCancel(ctx)
	}
	return progress.WithIdleTimeout(ctx, firstRetryTimeout<<(failures%retryCycle-1))
}
