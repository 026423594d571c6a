package scheduler

import (
	"cmp"
	"time"
)

// Defaults of Rules. They apply where the field is zero.
const (
	// DefaultMaxPlacements bounds the placements of one plan. A shard starts up to about 40 tasks a second and plans
	// several times a second, so this is a few seconds of starts.
	DefaultMaxPlacements = 256
	// DefaultMaxEvictions bounds the new evictions of one plan.
	DefaultMaxEvictions = 64
	// DefaultEvictionsPerWorker bounds the tasks that checkpoint on one worker at the same time during an evacuation.
	DefaultEvictionsPerWorker = 4
	// DefaultReturnRamp is how long a returned worker takes to reach its full share of batch work.
	DefaultReturnRamp = 30 * time.Second
	// DefaultEvacuationGrace is how long batch may wait in an out domain for room elsewhere before it is evicted anyway.
	DefaultEvacuationGrace = 20 * time.Second
	// DefaultStarveAfter is how long a batch task waits before room is held for it. Until then smaller tasks that fit may
	// overtake it without end.
	DefaultStarveAfter = 10 * time.Minute
	// DefaultInterferenceLimit is the service slowdown above which a worker takes no more batch beside the service.
	DefaultInterferenceLimit = 1.25
	// DefaultExplorationTasks bounds the tasks of one batch class that run beside one service class while their
	// interference is not known.
	DefaultExplorationTasks = 2
)

// Rules is what the operators decided, as far as placement depends on it. A zero field means its default.
type Rules struct {
	// Out maps each failure domain that is out of service to when it was taken out.
	Out map[string]time.Time
	// Returned maps failure domains to when they last returned to service. Old entries have no effect.
	Returned map[string]time.Time
	// RacksWithoutBatch holds the racks that run services only.
	RacksWithoutBatch map[string]bool
	// ServiceOrder lists names of service jobs, the most important first. Services that are not listed come last.
	ServiceOrder []string
	// SpreadDomains maps names of service jobs to the least number of failure domains over which replicas are placed.
	SpreadDomains map[string]int
	// InterferenceLimit is a factor of the service's latency, above 1.
	InterferenceLimit float64
	// ExplorationTasks bounds concurrent tasks for each unknown pair of service and batch class.
	ExplorationTasks int
	// ReturnRamp is how long a returned worker takes to reach its full share of batch work.
	ReturnRamp time.Duration
	// EvacuationGrace is how long batch in an out domain may wait for room elsewhere. Negative: no wait.
	EvacuationGrace time.Duration
	// StarveAfter is how long a batch task waits before a worker is kept free for it. Negative: for ever.
	StarveAfter time.Duration
	// EvictionsPerWorker bounds concurrent evictions of an evacuation on one worker.
	EvictionsPerWorker int
	// MaxPlacements and MaxEvictions bound one plan. What exceeds them waits for the next plan.
	MaxPlacements int
	MaxEvictions  int
	// Weights replaces the weights with which Score plug-ins were registered, by name.
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

// IsOut tells whether a failure domain is out of service.
func (r *Rules) IsOut(domain string) bool {
	_, out := r.Out[domain]
	return out
}

// serviceRank returns the position of a service in the order of importance.
func (r *Rules) serviceRank(name string) int {
	for i, service := range r.ServiceOrder {
		if service == name {
			return i
		}
	}
	return len(r.ServiceOrder)
}
