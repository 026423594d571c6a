package scheduler

import (
	"cmp"
	"time"
)

// Defaults of Rules. They apply where the field is zero.
const (
	// DefaultMaxPlacements limits the placements of one plan. A shard starts up to about 40 tasks a second and plans
	// several times a second, so the limit covers a few seconds of starts.
	DefaultMaxPlacements = 256
	// DefaultMaxEvictions limits the new evictions of one plan.
	DefaultMaxEvictions = 64
	// DefaultEvictionsPerWorker limits the tasks of one worker that write checkpoints at the same time in an
	// evacuation.
	DefaultEvictionsPerWorker = 4
	// DefaultReturnRamp is how long a worker of a returned failure domain takes to reach its full share of batch work.
	DefaultReturnRamp = 30 * time.Second
	// DefaultEvacuationGrace is how long batch tasks in a failure domain that is out of service may wait for capacity
	// elsewhere before they are evicted anyway.
	DefaultEvacuationGrace = 20 * time.Second
	// DefaultStarveAfter is how long a batch task waits before capacity is held for it. Until then smaller tasks that
	// fit may overtake it any number of times.
	DefaultStarveAfter = 10 * time.Minute
	// DefaultInterferenceLimit is the slowdown of a service above which its worker takes no more batch tasks.
	DefaultInterferenceLimit = 1.25
	// DefaultExplorationTasks limits the tasks of one batch class that run beside one service class while their
	// interference is unknown.
	DefaultExplorationTasks = 2
)

// Rules holds the operator settings that affect placement. Zero fields take their defaults.
type Rules struct {
	// Out maps each failure domain that is out of service to the time it was taken out.
	Out map[string]time.Time
	// Returned maps failure domains to the time of their last return to service. Old entries have no effect.
	Returned map[string]time.Time
	// RacksWithoutBatch holds the racks that run services only.
	RacksWithoutBatch map[string]bool
	// ServiceOrder lists names of service jobs, the most important first. Services that are not listed rank last.
	ServiceOrder []string
	// SpreadDomains maps names of service jobs to the minimum number of failure domains that their replicas must span.
	SpreadDomains map[string]int
	// InterferenceLimit is the largest accepted slowdown, as a factor of the service's latency above 1.
	InterferenceLimit float64
	// ExplorationTasks limits the concurrent tasks of each pair of service and batch class whose interference is
	// unknown.
	ExplorationTasks int
	// ReturnRamp is how long a worker of a returned failure domain takes to reach its full share of batch work.
	ReturnRamp time.Duration
	// EvacuationGrace is how long batch tasks in a failure domain that is out of service may wait for capacity
	// elsewhere. A negative value means no wait.
	EvacuationGrace time.Duration
	// StarveAfter is how long a batch task waits before a worker is kept free for it. A negative value disables this.
	StarveAfter time.Duration
	// EvictionsPerWorker limits the concurrent evictions on one worker in an evacuation.
	EvictionsPerWorker int
	// MaxPlacements and MaxEvictions limit one plan. The rest is left to later plans.
	MaxPlacements int
	MaxEvictions  int
	// Weights overrides the default weights of Score plug-ins, by name.
	Weights map[string]float64
}

// withDefaults returns the rules with each zero field replaced by its default.
func (r Rules) withDefaults() Rules {
	r.InterferenceLimit = cmp.Or(r.InterferenceLimit, DefaultInterferenceLimit)
	r.ExplorationTasks = cmp.Or(r.ExplorationTasks, DefaultExplorationTasks)
	r.ReturnRamp = cmp.Or(r.ReturnRamp, DefaultReturnRamp)
	r.EvacuationGrace = cmp.Or(r.EvacuationGrace, DefaultEvacuationGrace)
	r.StarveAfter = cmp.Or(r.StarveAfter, DefaultStarveAfter)
	r.EvictionsPerWorker = cmp.Or(r.EvictionsPerWorker, DefaultEvictionsPerWorker)
	r.MaxPlacements = cmp.Or(r.MaxPlacements, DefaultMaxPlacements)
	r.MaxEvictions = cmp.Or(r.MaxEvictions, DefaultMaxEvictions)
	return r
}

// IsOut reports whether a failure domain is out of service.
func (r *Rules) IsOut(domain string) bool {
	_, out := r.Out[domain]
	return out
}

// serviceRank returns the position of a service in ServiceOrder, or its length for a service that is not listed.
func (r *Rules) serviceRank(name string) int {
	for i, service := range r.ServiceOrder {
		if service == name {
			return i
		}
	}
	return len(r.ServiceOrder)
}
