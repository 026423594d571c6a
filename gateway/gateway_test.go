package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against clients that have used up their retries before the store is back: with four of them, a client that comes at
// the start of an outage tries until its seventh second at least.
func TestRetriesSpanAnOutage(t *testing.T) {
	const retries = 4
	at := time.Duration(0)
	for range retries {
		after := retryAfter(at)
		qt.Assert(t, after >= leastRetry && after <= longestRetry, qt.IsTrue)
		at += after
	}
	qt.Assert(t, at >= 7*time.Second, qt.IsTrue, qt.Commentf("last try after %v", at))
	qt.Assert(t, retryAfter(time.Minute), qt.Equals, longestRetry)
}
