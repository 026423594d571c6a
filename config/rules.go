package config

import (
	"slices"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Rules is what operators decide about scheduling. It is immutable once it has been parsed.
type Rules struct {
	// Services is in order of importance, the most important first.
	Services []Service `json:"services,omitempty"`
	// RacksWithoutBatch lists racks as "failure domain/rack", sorted.
	RacksWithoutBatch []string `json:"racks_without_batch,omitempty"`
	// Quotas bounds what the running tasks of a team may hold. A team that isn't listed has DefaultQuota.
	Quotas map[string]structs.Resources `json:"quotas,omitempty"`
	// DefaultQuota is nil when teams that aren't listed have no bound.
	DefaultQuota *structs.Resources `json:"default_quota,omitempty"`
	Guard        Guard              `json:"guard"`
	Interference Interference       `json:"interference"`
	Sizing       Sizing             `json:"sizing"`
	// Shards is the number of groups into which workers and jobs are partitioned.
	Shards int `json:"shards"`
	// StartFreshness is the age of the newest proof of the head beyond which no task starts (P4).
	StartFreshness time.Duration `json:"start_freshness"`
	// TaskLease is how long a task runs without a heartbeat.
	TaskLease time.Duration `json:"task_lease"`
	// OwnerValidity is how long a shard owner that can't reach the store may renew leases of running tasks.
	OwnerValidity time.Duration `json:"owner_validity"`
	// ServiceLease is how long a service replica runs without a heartbeat.
	ServiceLease time.Duration `json:"service_lease"`
}

// Service is what the rules say of one latency-critical service.
type Service struct {
	Name string `json:"name"`
	// LatencyTarget is the tail latency that the guard protects.
	LatencyTarget time.Duration `json:"latency_target"`
	// FailureDomains restricts where replicas run; an empty list allows all.
	FailureDomains []string `json:"failure_domains,omitempty"`
	// SpreadDomains is the least number of failure domains over which replicas are spread.
	SpreadDomains int `json:"spread_domains"`
}

// Guard holds the thresholds at which batch work gives way on a worker. Latency thresholds are shares of the latency
// target of the worker's most affected service.
type Guard struct {
	Enabled bool `json:"enabled"`
	// ThrottleAt is the share at which batch work is throttled.
	ThrottleAt float64 `json:"throttle_at"`
	// ResumeAt is the share below which throttled batch work always resumes. Above it, batch resumes step by step while
	// the guard expects the latency to stay well below ThrottleAt.
	ResumeAt float64 `json:"resume_at"`
	// EvictAt is the share at which batch work is checkpointed and evicted.
	EvictAt float64 `json:"evict_at"`
	// EvictAfter is how long the share must stay at EvictAt.
	EvictAfter time.Duration `json:"evict_after"`
	// MemoryEvictAt is the used share of a worker's memory at which batch work is evicted.
	MemoryEvictAt float64 `json:"memory_evict_at"`
}

// Interference bounds how far batch work may slow a service down.
type Interference struct {
	// MaxSlowdown is the learned slowdown of a service beyond which a batch class isn't placed beside it.
	MaxSlowdown float64 `json:"max_slowdown"`
	// ExplorationTasks bounds the tasks of a batch class beside a service while their interference is not known.
	ExplorationTasks int `json:"exploration_tasks"`
}

// Sizing says how reservations follow from observed usage.
type Sizing struct {
	// Percentile of observed usage, from 0 to 1.
	Percentile float64 `json:"percentile"`
	// Headroom is added to the percentile as a share of it.
	Headroom float64 `json:"headroom"`
}

var defaultRules = sync.OnceValue(func() *Rules {
	parsed, found := ParseRules("defaults", nil)
	if err := found.Err(); err != nil {
		panic("config: the default rules are invalid: " + err.Error())
	}
	return parsed.Rules
})

// DefaultRules returns the rules that are in force before operators have applied any.
func DefaultRules() *Rules { return defaultRules() }

// Service returns the rules of a service and its rank, 0 for the most important. A service that isn't listed ranks last.
func (r *Rules) Service(name string) (service Service, rank int, ok bool) {
	index := slices.IndexFunc(r.Services, func(s Service) bool { return s.Name == name })
	if index < 0 {
		return Service{Name: name, SpreadDomains: 1}, len(r.Services), false
	}
	return r.Services[index], index, true
}

// BatchAllowed tells whether batch tasks may run in a rack.
func (r *Rules) BatchAllowed(domain, rack string) bool {
	_, excluded := slices.BinarySearch(r.RacksWithoutBatch, domain+"/"+rack)
	return !excluded
}

// Quota returns the bound on what a team's running tasks may hold. ok is false when there is none.
func (r *Rules) Quota(team string) (quota structs.Resources, ok bool) {
	if quota, ok := r.Quotas[team]; ok {
		return quota, true
	}
	if r.DefaultQuota != nil {
		return *r.DefaultQuota, true
	}
	return structs.Resources{}, false
}
