package limit

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a table that grows with every key, against keys that exceed their rate because the table is full or because
// they were evicted too early, and against idle keys that prevent new ones from being tracked.
func TestKeyedRateLimiterIsBounded(t *testing.T) {
	r, now := NewKeyedRateLimiter(1, 2, 3), testStart
	allow := func(name string) bool {
		ok, _ := r.Allow(name, now)
		return ok
	}
	for n := range 3 {
		for want := 2; want >= 0; want-- {
			qt.Assert(t, allow(fmt.Sprint(n)), qt.Equals, want > 0)
		}
	}
	// Additional keys share one bucket.
	qt.Assert(t, []bool{allow("a"), allow("b"), allow("c")}, qt.DeepEquals, []bool{true, true, false})
	qt.Assert(t, r.byKey, qt.HasLen, 3)
	ok, after := r.Allow("0", now)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, after, qt.Equals, time.Second)
	// After one second no bucket is full, so no key may be evicted.
	now = now.Add(time.Second)
	allow("a")
	qt.Assert(t, r.byKey, qt.HasLen, 3)
	qt.Assert(t, []bool{allow("0"), allow("0")}, qt.DeepEquals, []bool{true, false})
	// One second later, only the buckets of keys 1 and 2 are full.
	now = now.Add(time.Second)
	qt.Assert(t, allow("new"), qt.IsTrue)
	qt.Assert(t, r.byKey, qt.HasLen, 2)
	qt.Assert(t, []bool{allow("0"), allow("0")}, qt.DeepEquals, []bool{true, false})
}
