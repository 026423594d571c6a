package kv

import (
	"context"
	"time"

	"github.com/quetzalshed/quetzalshed/progress"
)

// firstRetryTimeout is the idle timeout of the first retry after a failed call.
const firstRetryTimeout = 400 * time.Millisecond

// retryCycle is the number of retries after which the timeouts repeat. Within a cycle the timeouts double, and the last retry
// has only the client's timeout. With the short timeouts, a store that has recovered is noticed soon; the long ones give a
// slow store time to respond.
const retryCycle = 3

// RetryContext returns a context with the idle timeout for a call that follows a number of failed ones. The call is cancelled
// if nothing is received for that long.
func RetryContext(ctx context.Context, failures int) (context.Context, context.CancelFunc) {
	if failures == 0 || failures%retryCycle == 0 {
		return context.WithCancel(ctx)
	}
	return progress.WithIdleTimeout(ctx, firstRetryTimeout<<(failures%retryCycle-1))
}
