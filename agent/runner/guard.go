package runner

import (
	"time"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/scheduler/guard"
	"github.com/quetzalshed/quetzalshed/structs"
)

// RulesGuard applies the guard of the rules. It keeps the state between decisions and is used by one runner.
type RulesGuard struct {
	rules func() *config.Rules
	state guard.State
}

// NewRulesGuard returns a guard that follows the rules.
func NewRulesGuard(rules func() *config.Rules) *RulesGuard { return &RulesGuard{rules: rules} }

// Decide implements Guard.
func (g *RulesGuard) Decide(now time.Time, w structs.Worker, tasks []GuardTask) []GuardAction {
	rules := g.rules()
	if !rules.Guard.Enabled {
		return nil
	}
	in := guard.Input{Capacity: w.Capacity}
	for _, t := range tasks {
		in.Used = in.Used.Add(t.Used)
		if t.Allocation.Kind == structs.KindService {
			// The class of a service is its name.
			service, _, _ := rules.Service(t.Allocation.Class)
			in.Services = append(in.Services, guard.Service{
				AllocationID: t.Allocation.ID, LatencyMillis: t.LatencyMillis, Age: t.UsageAge,
				ObjectiveMillis: float64(service.LatencyTarget) / float64(time.Millisecond),
			})
			continue
		}
		in.Batch = append(in.Batch, guard.Batch{
			AllocationID: t.Allocation.ID, WorkDone: t.SinceCheckpoint, Reserved: t.Allocation.Resources, Used: t.Used,
			Evicting: t.State == structs.TaskEvicting,
		})
	}
	var action guard.Action
	g.state, action = guard.Decide(guard.Rules{
		ThrottleAt: rules.Guard.ThrottleAt, EvictAt: rules.Guard.EvictAt, ReleaseAt: rules.Guard.ResumeAt,
		EvictAfter: rules.Guard.EvictAfter, MemoryAt: rules.Guard.MemoryEvictAt,
	}, g.state, in, now)
	return actionsOf(action, in.Batch)
}

func actionsOf(action guard.Action, batch []guard.Batch) []GuardAction {
	evict := map[string]bool{}
	for _, id := range action.Evict {
		evict[id] = true
	}
	actions := make([]GuardAction, 0, len(batch))
	for _, b := range batch {
		actions = append(actions, GuardAction{
			AllocationID: b.AllocationID, Share: action.Share, Evict: evict[b.AllocationID], Reason: action.Reason,
		})
	}
	return actions
}
