package shard

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/scheduler/quota"
	"github.com/quetzalshed/quetzalshed/structs"
)

// FollowerConfig implements FleetConfig on top of a config.Follower. It is safe for concurrent use.
type FollowerConfig struct {
	follower *config.Follower
	clock    clock.Clock

	mu       sync.Mutex
	out      map[string]time.Time
	returned map[string]time.Time
}

var _ FleetConfig = (*FollowerConfig)(nil)

// NewFollowerConfig returns the fleet configuration that a follower has loaded.
func NewFollowerConfig(f *config.Follower, c clock.Clock) *FollowerConfig {
	return &FollowerConfig{follower: f, clock: c, out: map[string]time.Time{}, returned: map[string]time.Time{}}
}

// MayStart implements FleetConfig.
func (f *FollowerConfig) MayStart(domain string) (bool, string) { return f.follower.MayStart(domain) }

// OutOfService implements FleetConfig.
func (f *FollowerConfig) OutOfService(domain string) bool {
	head, ok := f.follower.Head()
	return ok && head.Domains[domain].Out
}

// Worker implements FleetConfig.
func (f *FollowerConfig) Worker(name string) (structs.Worker, bool) {
	return f.follower.Inventory().Worker(name)
}

// PlacementRules implements FleetConfig.
func (f *FollowerConfig) PlacementRules() (scheduler.Rules, quota.Limits) {
	loaded := f.follower.Rules()
	rules := scheduler.Rules{
		RacksWithoutBatch: map[string]bool{}, InterferenceLimit: loaded.Interference.MaxSlowdown,
		ExplorationTasks: loaded.Interference.ExplorationTasks, SpreadDomains: map[string]int{},
	}
	for _, rack := range loaded.RacksWithoutBatch {
		rules.RacksWithoutBatch[rack] = true
	}
	for _, service := range loaded.Services {
		rules.ServiceOrder = append(rules.ServiceOrder, service.Name)
		rules.SpreadDomains[service.Name] = service.SpreadDomains
	}
	rules.Out, rules.Returned = f.domainTransitions()
	return rules, quota.Limits{Teams: loaded.Quotas, Default: loaded.DefaultQuota}
}

// OperatorRules implements FleetConfig.
func (f *FollowerConfig) OperatorRules() config.Rules { return *f.follower.Rules() }

// domainTransitions returns when failure domains were taken out of service and when they returned, as observed by this
// process.
func (f *FollowerConfig) domainTransitions() (out, returned map[string]time.Time) {
	head, _ := f.follower.Head()
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, state := range head.Domains {
		_, was := f.out[name]
		switch {
		case state.Out && !was:
			f.out[name] = now
			delete(f.returned, name)
		case !state.Out && was:
			delete(f.out, name)
			f.returned[name] = now
		}
	}
	out, returned = make(map[string]time.Time, len(f.out)), make(map[string]time.Time, len(f.returned))
	for name, at := range f.out {
		out[name] = at
	}
	for name, at := range f.returned {
		returned[name] = at
	}
	return out, returned
}

// AttachHead implements FleetConfig.
func (f *FollowerConfig) AttachHead(reply *structs.HeartbeatReply, known int64) {
	proof := f.follower.FreshnessProof(known)
	reply.HeadRevision, reply.ConfirmedMillis = proof.Revision, proof.AgeMillis
	if proof.Head == nil {
		return
	}
	if raw, err := json.Marshal(proof.Head); err == nil {
		reply.Head = raw
	}
}
