package config

import (
	"slices"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Rules holds the operators' scheduling configuration. It is immutable once it has been parsed.
type Rules struct {
	// Services is sorted by importance, most important first.
	Services []Service `json:"services,omitempty"`
	// RacksWithoutBatch lists the racks without batch tasks as "failure domain/rack", sorted.
	RacksWithoutBatch []string `json:"racks_without_batch,omitempty"`
	// Quotas bounds the resources of the running tasks of each team. DefaultQuota applies to teams that aren't listed.
	Quotas map[string]structs.Resources `json:"quotas,omitempty"`
	// DefaultQuota is nil if teams that aren't listed have no quota.
	DefaultQuota *structs.Resources `json:"default_quota,omitempty"`
	Guard        Guard              `json:"guard"`
	Interference Interference       `json:"interference"`
	Sizing       Sizing             `json:"sizing"`
	// Shards is the number of groups into which workers and jobs are partitioned.
	Shards int `json:"shards"`
	// StartFreshness is the maximum time since the last confirmation of the head at which tasks may start. It limits how
	// long tasks can start in a failure domain that was taken out of service (guarantee P4).
	StartFreshness time.Duration `json:"start_freshness"`
	// TaskLease is how long a task runs without a heartbeat.
	TaskLease time.Duration `json:"task_lease"`
	// OwnerValidity is how long a shard owner that can't reach the store may keep renewing the leases of running tasks.
	OwnerValidity time.Duration `json:"owner_validity"`
	// ServiceLease is how long a service replica runs without a heartbeat.
	ServiceLease time.Duration `json:"service_lease"`
}

// Service holds the rules for one latency-critical service.
type Service struct {
	Name string `json:"name"`
	// LatencyTarget is the tail latency objective that the guard protects.
	LatencyTarget time.Duration `json:"latency_target"`
	// FailureDomains restricts where replicas run; an empty list allows all.
	FailureDomains []string `json:"failure_domains,omitempty"`
	// SpreadDomains is the minimum number of failure domains over which replicas are spread.
	SpreadDomains int `json:"spread_domains"`
}

// Guard holds the thresholds for throttling and evicting batch tasks on a worker. Latency thresholds are fractions of
// the latency target of the worker's most affected service.
type Guard struct {
	Enabled bool `json:"enabled"`
	// ThrottleAt is the fraction at which batch tasks are throttled.
	ThrottleAt float64 `json:"throttle_at"`
	// ResumeAt is the fraction below which throttled batch tasks always resume. Above it, they resume step by step while
	// the guard expects the latency to stay well below ThrottleAt.
	ResumeAt float64 `json:"resume_at"`
	// EvictAt is the fraction at which batch tasks are checkpointed and evicted.
	EvictAt float64 `json:"evict_at"`
	// EvictAfter is how long the fraction must stay at or above EvictAt.
	EvictAfter time.Duration `json:"evict_after"`
	// MemoryEvictAt is the used fraction of a worker's memory at which batch tasks are evicted.
	MemoryEvictAt float64 `json:"memory_evict_at"`
}

// Interference bounds how much batch tasks may slow down a service.
type Interference struct {
	// MaxSlowdown is the estimated slowdown of a service above which a batch class isn't placed on its workers.
	MaxSlowdown float64 `json:"max_slowdown"`
	// ExplorationTasks bounds the tasks of a batch class that run beside a service while their interference is unknown.
	ExplorationTasks int `json:"exploration_tasks"`
}

// Sizing configures how reservations are derived from observed usage.
type Sizing struct {
	// Percentile of observed usage, from 0 to 1.
	Percentile float64 `json:"percentile"`
	// Headroom is added to the percentile, as a fraction of it.
	Headroom float64 `json:"headroom"`
}

var defaultRules = sync.OnceValue(func() *Rules {
	parsed, found := ParseRules("defaults", nil)
	if err := found.Err(); err != nil {
		panic("config: the default rules are invalid: " + err.Error())
	}
	return parsed.Rules
})

// DefaultRules returns the rules that apply before operators have configured any.
func DefaultRules() *Rules { return defaultRules() }

// Service returns the rules of a service and its rank, where 0 is the most important. A service that isn't listed ranks
// last.
func (r *Rules) Service(name string) (service Service, rank int, ok bool) {
	index := slices.IndexFunc(r.Services, func(s Service) bool { return s.Name == name })
	if index < 0 {
		return Service{Name: name, SpreadDomains: 1}, len(r.Services), false
	}
	return r.Services[index], index, true
}

// BatchAllowed reports whether batch tasks may run in a rack.
func (r *Rules) BatchAllowed(domain, rack string) bool {
	_, excluded := slices.BinarySearch(r.RacksWithoutBatch, domain+"/"+rack)
	return !excluded
}

// Quota returns the bound on the resources of a team's running tasks. ok is false if there is none.
func (r *Rules) Quota(team string) (quota structs.Resources, ok bool) {
	if quota, ok := r.Quotas[team]; ok {
		return quota, true
	}
	if r.DefaultQuota != nil {
		return *r.DefaultQuota, true
	}
	return structs.Resources{}, false
}
