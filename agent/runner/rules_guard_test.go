package runner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Guards against a guard that ignores upstreams or the configured thresholds: batch tasks must be throttled when an
// upstream on the same host is near its latency target, and run at full speed again when the guard is disabled.
func TestGuardProtectsUpstreams(t *testing.T) {
	c := qt.New(t)
	millis := 50.0
	rules := &config.Rules{
		Services: []config.Service{{Name: "svc", LatencyTarget: 100 * time.Millisecond}},
		Guard:    config.Guard{Enabled: true, ThrottleAt: 0.8, ResumeAt: 0.6, EvictAt: 0.95, EvictAfter: time.Second},
	}
	g := NewRulesGuard(func() *config.Rules { return rules }, func() []structs.ServiceLatency {
		return []structs.ServiceLatency{{Service: "svc", Millis: millis}, {Service: "other", Millis: 900}}
	})
	tasks := []GuardTask{{Allocation: structs.Allocation{ID: "a", Kind: structs.KindBatch}, State: structs.TaskRunning}}
	now := time.Unix(1000, 0)
	decide := func() GuardAction {
		now = now.Add(time.Minute)
		return g.Decide(now, structs.Worker{}, tasks)[0]
	}
	c.Assert(decide().Share, qt.Equals, 1.0)
	millis = 85
	throttled := decide().Share
	c.Assert(throttled < 1, qt.IsTrue)
	rules.Guard.ThrottleAt = 0.9
	c.Assert(decide().Share >= throttled, qt.IsTrue)
	rules.Guard.Enabled = false
	c.Assert(decide().Share, qt.Equals, 1.0)
}
