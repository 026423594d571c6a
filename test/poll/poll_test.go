package poll_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/test/poll"
)

// Guards against a wait that ends before the condition holds or long after.
func TestUntilReturnsOnceTheConditionHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		poll.Until(t, "a second has passed", func() bool { return time.Since(start) >= time.Second })
		qt.Assert(t, time.Since(start), qt.Equals, time.Second)
	})
}

// Guards against a wait without end for a condition that never holds.
func TestReachedGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		qt.Assert(t, poll.Reached(func() bool { return false }), qt.IsFalse)
		qt.Assert(t, time.Since(start), qt.Equals, 10*time.Second)
	})
}

// failure is a test that records a fatal failure instead of ending.
type failure struct {
	testing.TB
	message string
}

func (f *failure) Helper() {}

func (f *failure) Fatalf(format string, args ...any) { f.message = fmt.Sprintf(format, args...) }

// Guards against a condition that never holds but doesn't fail the test.
func TestUntilFailsTheTest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &failure{TB: t}
		poll.Until(f, "it rains", func() bool { return false })
		qt.Assert(t, f.message, qt.Equals, "timed out waiting until it rains")
	})
}
