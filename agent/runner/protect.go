package runner

import (
	"time"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/scheduler/guard"
	"github.com/quetzalshed/quetzalshed/structs"
)

// ServiceGuard protects the services on the worker, both replicas and upstreams, by the operators' rules. It is used by
// one goroutine at a time.
type ServiceGuard struct {
	rules     func() *config.Rules
	latencies func() []structs.ServiceLatency
	state     guard.State
}

var _ Guard = (*ServiceGuard)(nil)

// NewServiceGuard returns a guard. latencies returns the measurements of the upstreams beside the worker.
func NewServiceGuard(rules func() *config.Rules, latencies func() []structs.ServiceLatency) *ServiceGuard {
	return &ServiceGuard{rules: rules, latencies: latencies}
}

// Decide implements Guard.
func (g *ServiceGuard) Decide(now time.Time, w structs.Worker, tasks []GuardTask) []GuardAction {
	rules := g.rules()
	if !rules.Guard.Enabled {
		g.state = guard.State{}
		return shareAll(tasks, 1, "the guard is switched off")
	}
	var action guard.Action
	g.state, action = guard.Decide(guard.Rules{
		ThrottleAt: rules.Guard.ThrottleAt, EvictAt: rules.Guard.EvictAt, ReleaseAt: rules.Guard.ResumeAt,
		EvictAfter: rules.Guard.EvictAfter, MemoryAt: rules.Guard.MemoryEvictAt,
	}, g.state, g.input(rules, w, tasks), now)
	actions := shareAll(tasks, action.Share, action.Reason)
	for _, id := range action.Evict {
		actions = append(actions, GuardAction{AllocationID: id, Share: action.Share, Evict: true, Reason: action.Reason})
	}
	return actions
}

func shareAll(tasks []GuardTask, share float64, reason string) []GuardAction {
	var actions []GuardAction
	for _, t := range tasks {
		if t.Allocation.Kind == structs.KindBatch {
			actions = append(actions, GuardAction{AllocationID: t.Allocation.ID, Share: share, Reason: reason})
		}
	}
	return actions
}

// input describes the worker to the guard. Services without a latency target are left alone.
func (g *ServiceGuard) input(rules *config.Rules, w structs.Worker, tasks []GuardTask) guard.Input {
	objectives := map[string]float64{}
	for _, s := range rules.Services {
		objectives[s.Name] = float64(s.LatencyTarget) / float64(time.Millisecond)
	}
	in := guard.Input{Capacity: w.Capacity}
	for _, t := range tasks {
		in.Used = in.Used.Add(t.Used)
		if t.Allocation.Kind == structs.KindService {
			in.Services = append(in.Services, guard.Service{
				AllocationID: t.Allocation.ID, LatencyMillis: t.LatencyMillis, ObjectiveMillis: objectives[t.Allocation.Class],
				Age: t.UsageAge,
			})
			continue
		}
		in.Batch = append(in.Batch, guard.Batch{
			AllocationID: t.Allocation.ID, Priority: t.Allocation.Priority, Urgent: t.Allocation.Urgent,
			WorkDone: time.Duration(t.Progress * float64(time.Hour)), Reserved: t.Allocation.Resources, Used: t.Used,
			Evicting: t.State == structs.TaskEvicting,
		})
	}
	for _, s := range g.latencies() {
		in.Services = append(in.Services, guard.Service{
			AllocationID: "upstream/" + s.Service, LatencyMillis: s.Millis, ObjectiveMillis: objectives[s.Service],
			Age: time.Duration(s.AgeMillis) * time.Millisecond,
		})
	}
	return in
}
