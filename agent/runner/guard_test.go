package runner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Guards against a guard that has no effect: batch tasks must be throttled when a service is near its latency
// objective, and the service must never be throttled.
func TestRulesGuardThrottlesBatch(t *testing.T) {
	c := qt.New(t)
	rules := *config.DefaultRules()
	rules.Guard.Enabled = true
	rules.Services = []config.Service{{Name: "web", LatencyTarget: 100 * time.Millisecond}}
	g := NewRulesGuard(func() *config.Rules { return &rules }, func() []structs.ServiceLatency { return nil })
	tasks := []GuardTask{
		{Allocation: structs.Allocation{ID: "s", Kind: structs.KindService, Class: "web"}, LatencyMillis: 98},
		{Allocation: structs.Allocation{ID: "b", Kind: structs.KindBatch}, State: structs.TaskRunning, Share: 1},
	}
	var actions []GuardAction
	for i := range 4 {
		actions = g.Decide(testStart.Add(time.Duration(i)*3*time.Second), structs.Worker{}, tasks)
	}
	c.Assert(actions, qt.HasLen, 1)
	c.Assert(actions[0].AllocationID, qt.Equals, "b")
	c.Assert(actions[0].Share < 1, qt.IsTrue)
	rules.Guard.Enabled = false
	c.Assert(g.Decide(testStart, structs.Worker{}, tasks)[0].Share, qt.Equals, 1.0, qt.Commentf("what was throttled is released"))
}
