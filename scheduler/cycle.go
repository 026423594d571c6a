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

// ClassLoad is the load of the service replicas, or of the batch tasks, of one class on a worker.
type ClassLoad struct {
	Class      string
	Tasks      int
	MilliCores int64

	// classID is the ID of the class in this cycle, or unassignedClassID.
	classID int
	// slowdown caches Cycle.Slowdown of a service class; 0 means not computed.
	slowdown float64
}

// unassignedClassID marks a load whose class has no ID yet.
const unassignedClassID = -1

// jobState is the state of a job in a cycle.
type jobState struct {
	job     *structs.Job
	classID int
	account *quota.Account
	// runningIndices holds the indices of the running tasks, and domainCounts their number by failure domain. Both are
	// valid once counted is set.
	runningIndices map[int]bool
	domainCounts   map[string]int
	counted        bool
	spread         spreadState
	// checked is set once the job has been tested, unschedulable if it can never run.
	checked       bool
	unschedulable bool
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

// openAccounts opens the quota accounts of the teams with pending tasks. The usage of other teams doesn't affect the
// plan.
func (c *Cycle) openAccounts() {
	var total structs.Resources
	for i := range c.workers {
		total = total.Add(c.workers[i].Capacity)
	}
	c.quotas = quota.NewTable(&c.snapshot.Quotas, total)
	for i := range c.snapshot.Pending {
		c.quotas.OpenAccount(c.snapshot.Pending[i].Job.Team)
	}
	for team, used := range c.snapshot.Used {
		c.charge(team, used)
	}
}

// teamAccount returns the quota account of a team. An account that was not opened for a pending task is opened now and
// charged with the team's usage.
func (c *Cycle) teamAccount(team string) *quota.Account {
	if account := c.quotas.Find(team); account != nil {
		return account
	}
	account := c.quotas.OpenAccount(team)
	account.Charge(c.snapshot.Used[team])
	for i := range c.workers {
		for k := range c.workers[i].Running {
			if t := &c.workers[i].Running[k]; t.Job.Team == team {
				account.Charge(t.Resources)
			}
		}
	}
	return account
}

// charge adds to the usage of a team if the team has an account.
func (c *Cycle) charge(team string, r structs.Resources) {
	if account := c.quotas.Find(team); account != nil {
		account.Charge(r)
	}
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

// serviceLoads returns the services on a worker by class. Service and batch loads are each computed on first use: a
// batch task is rated by the services beside it only, and most tasks are batch.
func (c *Cycle) serviceLoads(w *WorkerView) []ClassLoad {
	s := w.cycle
	if !s.serviceLoadsValid {
		s.serviceLoadsValid = true
		s.computeLoads(w, structs.KindService)
	}
	return s.serviceLoads
}

// batchLoads returns the batch tasks on a worker by class.
func (c *Cycle) batchLoads(w *WorkerView) []ClassLoad {
	s := w.cycle
	if !s.batchLoadsValid {
		s.batchLoadsValid = true
		s.computeLoads(w, structs.KindBatch)
	}
	return s.batchLoads
}

func (s *workerState) computeLoads(w *WorkerView, kind structs.JobKind) {
	for i := range w.Running {
		if t := &w.Running[i]; t.Job.Kind == kind {
			s.addLoad(t.Job, t.Resources)
		}
	}
	for _, task := range s.placed {
		if task.Job.Kind == kind {
			s.addLoad(task.Job, task.Resources)
		}
	}
}

// addLoad adds one task to the loads of its kind, if these have been computed.
func (s *workerState) addLoad(job *structs.Job, r structs.Resources) {
	loads, loaded := &s.serviceLoads, s.serviceLoadsValid
	if job.Kind == structs.KindBatch {
		loads, loaded = &s.batchLoads, s.batchLoadsValid
		for i := range s.serviceLoads {
			s.serviceLoads[i].slowdown = 0
		}
	}
	if !loaded {
		return
	}
	for i := range *loads {
		if load := &(*loads)[i]; load.Class == job.Class {
			load.Tasks++
			load.MilliCores += r.MilliCores
			return
		}
	}
	*loads = append(*loads, ClassLoad{Class: job.Class, Tasks: 1, MilliCores: r.MilliCores, classID: unassignedClassID})
}

func (c *Cycle) stateOf(job *structs.Job) *jobState {
	if s := c.jobs[job.ID]; s != nil {
		return s
	}
	s := &jobState{job: job, classID: c.classID(job.Class), account: c.teamAccount(job.Team)}
	c.jobs[job.ID] = s
	return s
}

func (c *Cycle) loadClassID(load *ClassLoad) int {
	if load.classID == unassignedClassID {
		load.classID = c.classID(load.Class)
	}
	return load.classID
}

func (c *Cycle) classID(class string) int {
	if id, ok := c.classes[class]; ok {
		return id
	}
	id := len(c.classes)
	c.classes[class] = id
	return id
}

// maxJobsScannedSeparately is the number of jobs in the cycle up to which the tasks of each job are counted in a scan
// of their own, which compares one ID for each running task. With more jobs, a single scan that looks up the job of
// each running task is cheaper.
const maxJobsScannedSeparately = 4

// countJobTasks counts the running tasks of a job, once in a cycle for each job that is about to be placed.
func (c *Cycle) countJobTasks(j *jobState) {
	if j.counted {
		return
	}
	countAll := len(c.jobs) > maxJobsScannedSeparately && !c.jobsCounted
	for i := range c.workers {
		w := &c.workers[i]
		for k := range w.Running {
			t := &w.Running[k]
			if countAll {
				if other := c.jobs[t.Job.ID]; other != nil && !other.counted {
					other.addTask(t.Index, w.FailureDomain)
				}
			} else if t.Job == j.job || t.Job.ID == j.job.ID {
				j.addTask(t.Index, w.FailureDomain)
			}
		}
	}
	j.counted = true
	if countAll {
		c.jobsCounted = true
		for _, other := range c.jobs {
			other.counted = true
		}
	}
}

// addTask counts one task of the job.
func (j *jobState) addTask(index int, domain string) {
	if j.runningIndices == nil {
		j.runningIndices, j.domainCounts = map[int]bool{}, map[string]int{}
	}
	j.runningIndices[index] = true
	j.domainCounts[domain]++
	j.spread.task = nil
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

// DomainTasks returns how many tasks of the task's job run in the worker's failure domain, and how many run in all.
func (c *Cycle) DomainTasks(task *PendingTask, w *WorkerView) (here, all int) {
	c.countJobTasks(task.state)
	for _, n := range task.state.domainCounts {
		all += n
	}
	return task.state.domainCounts[w.FailureDomain], all
}

// JobTasks returns the number of tasks of the task's job on the worker.
func (c *Cycle) JobTasks(task *PendingTask, w *WorkerView) int {
	n := 0
	for i := range w.Running {
		if w.Running[i].Job.ID == task.Job.ID {
			n++
		}
	}
	for _, other := range w.cycle.placed {
		if other.Job.ID == task.Job.ID {
			n++
		}
	}
	return n
}
