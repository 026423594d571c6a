package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/scheduler/quota"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Cycle is the working state of one plan. Plug-ins read it through its methods; only Plan changes it.
type Cycle struct {
	// Now is the time of the plan.
	Now time.Time
	// Rules holds the rules of the snapshot with defaults filled in.
	Rules Rules

	snapshot *Snapshot
	workers  []WorkerView
	states   []workerState
	// jobs holds the jobs with pending tasks, and other jobs that were looked up.
	jobs    map[string]*jobState
	quotas  *quota.Table
	scores  []weightedScore
	classes map[string]int
	// estimates caches interference estimates by the class IDs of batch and service.
	estimates [][]cachedEstimate
	// colocated caches the counts of ColocatedTasks by the class IDs of batch and service.
	colocated map[int]map[int]int
	// ratings caches the ratings of all workers for each group of equivalent tasks.
	ratings map[equivalenceKey]*cachedRatings
	// unschedulable holds the groups of equivalent tasks that no worker takes in this cycle.
	unschedulable map[equivalenceKey]bool
	// preemptionFailed holds the groups of equivalent tasks for which preemption is not possible in this cycle.
	preemptionFailed map[equivalenceKey]bool
	// changedWorkers lists the workers whose state changed in this cycle, in the order of the changes.
	changedWorkers []int
	// maxFree is an upper bound, for each resource, of what is free on any schedulable worker.
	maxFree structs.Resources
	plan    Decisions
	// jobsCounted is set once the running tasks of all jobs have been counted.
	jobsCounted bool
	// hasReplacements is set if any running replica is a replacement, and replacing if one runs beside the replica
	// that it replaces. noReplacementNeeded holds the allocations that need no replacement, because theirs is running
	// already or because they are a replacement themselves. evicted holds the allocations that this cycle evicts.
	hasReplacements     bool
	replacing           bool
	noReplacementNeeded map[string]bool
	evicted             map[string]bool
}

// workerState is the state of a worker in a cycle.
type workerState struct {
	// free is what this cycle can still place on the worker. releasing is what evictions will free, less what is
	// already held for waiting tasks.
	free      structs.Resources
	releasing structs.Resources
	// serviceLoads and batchLoads are valid once the flags below are set.
	serviceLoads      []ClassLoad
	batchLoads        []ClassLoad
	serviceLoadsValid bool
	batchLoadsValid   bool
	// evacuating is set if the worker drains or its failure domain is out of service.
	evacuating bool
	// schedulable is set if the worker has reported and is not evacuated.
	schedulable   bool
	placed        []*PendingTask
	admission     quarantine.Admission
	rampFraction  float64
	evictingCount int
}

// reset prepares the cycle for a snapshot and reuses the memory of the previous cycle.
func (c *Cycle) reset(snapshot *Snapshot, now time.Time) {
	previous := *c
	*c = Cycle{
		Now: now, Rules: snapshot.Rules.withDefaults(), snapshot: snapshot, jobs: clearedMap(previous.jobs),
		classes: clearedMap(previous.classes), ratings: clearedMap(previous.ratings), unschedulable: clearedMap(previous.unschedulable), preemptionFailed: clearedMap(previous.preemptionFailed),
		colocated: clearedMap(previous.colocated), noReplacementNeeded: clearedMap(previous.noReplacementNeeded), evicted: clearedMap(previous.evicted),
		workers: append(previous.workers[:0], snapshot.Workers...), states: previous.states, changedWorkers: previous.changedWorkers[:0],
	}
	c.scores = applyWeights(c.Rules.Weights)
	if !slices.IsSortedFunc(c.workers, byName) {
		slices.SortStableFunc(c.workers, byName)
	}
	for len(c.states) < len(c.workers) {
		c.states = append(c.states, workerState{})
	}
	c.openAccounts()
	for i := range c.workers {
		c.initWorker(&c.workers[i], &c.states[i])
	}
}

func clearedMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	clear(m)
	return m
}

func byName(a, b WorkerView) int { return cmp.Compare(a.Name, b.Name) }

func applyWeights(weights map[string]float64) []weightedScore {
	if len(weights) == 0 {
		return scores
	}
	list := slices.Clone(scores)
	for i := range list {
		if weight, ok := weights[list[i].plugin.Name()]; ok {
			list[i].weight = weight
		}
	}
	return list
}

// initWorker computes the state of one worker from its running tasks. It visits every task of the fleet in every plan,
// so values that depend on classes and jobs are computed lazily instead.
func (c *Cycle) initWorker(w *WorkerView, s *workerState) {
	*s = workerState{rampFraction: 1, free: w.Capacity, serviceLoads: s.serviceLoads[:0], batchLoads: s.batchLoads[:0], placed: s.placed[:0]}
	w.cycle = s
	s.evacuating = w.Draining || len(c.Rules.Out) > 0 && c.Rules.IsOut(w.FailureDomain)
	s.schedulable = w.Reported && !s.evacuating
	if len(c.Rules.Returned) > 0 {
		s.rampFraction = c.rampFraction(w.FailureDomain)
	}
	if c.snapshot.Quarantine != nil {
		s.admission = c.snapshot.Quarantine.Admits(w.Name, c.Now)
	}
	for i := range w.Running {
		t := &w.Running[i]
		s.free = s.free.Sub(t.Resources)
		c.charge(t.Job.Team, t.Resources)
		if t.Evicting() {
			s.releasing = s.releasing.Add(t.Resources)
			s.evictingCount++
		}
		c.hasReplacements = c.hasReplacements || t.Replaces != ""
	}
	if s.schedulable {
		c.maxFree.MilliCores = max(c.maxFree.MilliCores, s.free.MilliCores)
		c.maxFree.MemoryMB = max(c.maxFree.MemoryMB, s.free.MemoryMB)
		c.maxFree.Accelerators = max(c.maxFree.Accelerators, s.free.Accelerators)
	}
}

// rampFraction returns the fraction of a worker's capacity that batch may fill after its failure domain returned.
func (c *Cycle) rampFraction(domain string) float64 {
	returned, ok := c.Rules.Returned[domain]
	if !ok {
		return 1
	}
	age := c.Now.Sub(returned)
	return min(1, max(0, float64(age)/float64(c.Rules.ReturnRamp)))
}

// Free returns the free resources of a worker, less what this cycle placed there or holds for tasks that wait for
// evictions. Fields are negative on an overcommitted worker.
func (c *Cycle) Free(w *WorkerView) structs.Resources { return w.cycle.free }

// Evacuating reports whether the worker drains or is in a failure domain that is out of service.
func (c *Cycle) Evacuating(w *WorkerView) bool { return w.cycle.evacuating }

// RampFraction returns the fraction of the worker that batch may fill. It is below 1 for some time after the worker's
// failure domain returned.
func (c *Cycle) RampFraction(w *WorkerView) float64 { return w.cycle.rampFraction }

// Admission returns which tasks the quarantine admits on the worker.
func (c *Cycle) Admission(w *WorkerView) quarantine.Admission { return w.cycle.admission }

// PlacedCount returns the number of tasks that this cycle has placed on the worker.
func (c *Cycle) PlacedCount(w *WorkerView) int { return len(w.cycle.placed) }
