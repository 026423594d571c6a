package sharing_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/node/sharing"
)

// settled is longer than a change of pace takes to show in the latencies.
const settled = 500 * time.Millisecond

// Guards against best-effort tasks that keep a serving task above its latency target: if the latency doesn't fall, they must be
// halted within four seconds.
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

// Guards against a slow reduction in several steps when the latency is far above the target.
func TestExcessiveLatencyHaltsAtOnce(t *testing.T) {
	c := qt.New(t)
	controller := sharing.NewController()
	c.Assert(controller.Observe(8, time.Unix(1000, 0)), qt.Equals, 0)
}

// Guards against further changes of the pace based on latencies that were measured before the last change.
func TestPaceWaitsForSettleTime(t *testing.T) {
	c := qt.New(t)
	controller := sharing.NewController()
	now := time.Unix(1000, 0)
	first := controller.Observe(0.95, now)
	c.Assert(first < sharing.FullPace, qt.IsTrue)
	c.Assert(controller.Observe(0.95, now.Add(100*time.Millisecond)), qt.Equals, first)
	c.Assert(controller.Observe(0.95, now.Add(settled)) < first, qt.IsTrue)
}

// Guards against best-effort tasks that stay slow after the latency has fallen or the serving tasks have ended.
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
