package sharing_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/node/sharing"
)

// settled is longer than a change of pace takes to show.
const settled = 500 * time.Millisecond

// Guards against filling tasks that hold a serving one over its bound: after four seconds at a latency that doesn't fall
// they have to be halted.
func TestPaceFallsWithLatency(t *testing.T) {
	c := qt.New(t)
	controller := sharing.NewController()
	now := time.Unix(1000, 0)
	for range 8 {
		controller.Observe(1.1, now)
		now = now.Add(settled)
	}
	c.Assert(controller.Pace(), qt.Equals, 0)
}

// Guards against several small steps at a latency that is far beyond the bound.
func TestExcessiveLatencyHaltsAtOnce(t *testing.T) {
	c := qt.New(t)
	controller := sharing.NewController()
	c.Assert(controller.Observe(8, time.Unix(1000, 0)), qt.Equals, 0)
}

// Guards against a change that is judged by latencies from before it.
func TestPaceWaitsForSettleTime(t *testing.T) {
	c := qt.New(t)
	controller := sharing.NewController()
	now := time.Unix(1000, 0)
	first := controller.Observe(0.95, now)
	c.Assert(first < sharing.FullPace, qt.IsTrue)
	c.Assert(controller.Observe(0.95, now.Add(100*time.Millisecond)), qt.Equals, first)
	c.Assert(controller.Observe(0.95, now.Add(settled)) < first, qt.IsTrue)
}

// Guards against filling tasks that stay slow once nothing needs it.
func TestPaceRecovers(t *testing.T) {
	c := qt.New(t)
	controller := sharing.NewController()
	now := time.Unix(1000, 0)
	controller.Observe(8, now)
	for range 5 {
		now = now.Add(settled)
		controller.Observe(0.4, now)
	}
	c.Assert(controller.Pace(), qt.Equals, sharing.FullPace)
	controller.Observe(8, now.Add(settled))
	c.Assert(controller.Observe(0, now.Add(settled)), qt.Equals, sharing.FullPace)
}
