package runner

import (
	"time"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/scheduler/guard"
	"github.com/quetzalshed/quetzalshed/structs"
)

// RulesGuard is a Guard with the thresholds of the configured rules. It keeps state between decisions, so each runner
// needs its own.
type RulesGuard struct {
	rules func() *config.Rules
	// latencies returns the measured latencies of the upstreams on the same host.
	latencies func() []structs.ServiceLatency
	state     guard.State
}

// NewRulesGuard returns a guard that uses the current rules. It protects the service replicas on the worker and the
// upstreams whose measurements latencies returns.
func NewRulesGuard(rules func() *config.Rules, latencies func() []structs.ServiceLatency) *RulesGuard {
	return &RulesGuard{rules: rules, latencies: latencies}
}

// Decide implements Guard.
func (g *RulesGuard) Decide(now time.Time, w structs.Worker, tasks []GuardTask) []GuardAction {
	rules := g.rules()
	in := g.guardInput(rules, w, tasks)
	if !rules.Guard.Enabled {
		g.state = guard.State{}
		return guardActions(guard.Action{Share: 1, Reason: "the guard is switched off"}, in.Batch)
	}
	var action guard.Action
	g.state, action = guard.Decide(guard.Rules{
		ThrottleAt: rules.Guard.ThrottleAt, EvictAt: rules.Guard.EvictAt, ResumeAt: rules.Guard.ResumeAt,
		EvictAfter: rules.Guard.EvictAfter, MemoryEvictAt: rules.Guard.MemoryEvictAt,
	}, g.state, in, now)
	return guardActions(action, in.Batch)
}

// guardInput converts the tasks and upstream latencies to the input of the guard. The class of a service allocation is
// the name of the service. Services without a latency target get the objective 0, which the guard ignores.
func (g *RulesGuard) guardInput(rules *config.Rules, w structs.Worker, tasks []GuardTask) guard.Input {
	objective := func(service string) float64 {
		found, _, _ := rules.Service(service)
		return float64(found.LatencyTarget) / float64(time.Millisecond)
	}
	in := guard.Input{Capacity: w.Capacity}
	for _, t := range tasks {
		in.Used = in.Used.Add(t.Used)
		if t.Allocation.Kind == structs.KindService {
			in.Services = append(in.Services, guard.ServiceLatency{
				AllocationID: t.Allocation.ID, LatencyMillis: t.LatencyMillis, Age: t.UsageAge,
				ObjectiveMillis: objective(t.Allocation.Class),
			})
			continue
		}
		in.Batch = append(in.Batch, guard.BatchTask{
			AllocationID: t.Allocation.ID, Priority: t.Allocation.Priority, Urgent: t.Allocation.Urgent,
			WorkDone: t.SinceCheckpoint, Reserved: t.Allocation.Resources, Used: t.Used,
			Evicting: t.State == structs.TaskEvicting,
		})
	}
	for _, s := range g.latencies() {
		in.Services = append(in.Services, guard.ServiceLatency{
			AllocationID: "upstream/" + s.Service, LatencyMillis: s.Millis, ObjectiveMillis: objective(s.Service),
			Age: time.Duration(s.AgeMillis) * time.Millisecond,
		})
	}
	return in
}

func guardActions(action guard.Action, batch []guard.BatchTask) []GuardAction {
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
