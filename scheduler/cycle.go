package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/scheduler/quota"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Cycle is the working state of one Plan. Plug-ins read it through its methods; only Plan changes it.
type Cycle struct {
	// Now is the time of the decision.
	Now time.Time
	// Rules are the rules of the snapshot with defaults filled in.
	Rules Rules

	snapshot *Snapshot
	workers  []WorkerView
	states   []workerState
	// jobs holds the jobs with pending tasks, and others as far as they were asked for.
	jobs    map[string]*jobState
	quotas  *quota.Table
	scores  []weightedScore
	classes map[string]int
	// estimates caches estimates by batch class and service class.
	estimates     [][]cachedEstimate
	colocated     map[int]map[int]int
	ratings       map[equivalenceKey]*cachedRatings
	unschedulable map[equivalenceKey]bool
	// preemptionFailed holds the shapes for which preemption found no room.
	preemptionFailed map[equivalenceKey]bool
	changedWorkers   []int
	// maxFree bounds what any worker has free, field by field.
	maxFree structs.Resources
	plan    Decisions
	// jobsCounted is set once the running tasks of all jobs were jobsCounted.
	jobsCounted bool
	// hasReplacements is set if any running replica was a replacement, and settling if one still runs beside the replica that
	// it replaces. replaced holds the allocations that need no replacement, since one runs
	// or they are one; evicted holds those that this cycle evicts.
	hasReplacements     bool
	replacing           bool
	noReplacementNeeded map[string]bool
	evicted             map[string]bool
}

// workerState is what a cycle keeps for each worker.
type workerState struct {
	// free is what may still be placed in this cycle; future is what evictions will free, as far as nothing claims it.
	free      structs.Resources
	releasing structs.Resources
	// serviceLoads and batchLoads are valid once they are loaded.
	serviceLoads      []ClassLoad
	batchLoads        []ClassLoad
	serviceLoadsValid bool
	batchLoadsValid   bool
	evacuating        bool
	schedulable       bool
	placed            []*PendingTask
	admission         quarantine.Admission
	rampFraction      float64
	evictingCount     int
}

// ClassLoad is what the services, or the batch tasks, of one class reserve on a worker.
type ClassLoad struct {
	Class      string
	Tasks      int
	MilliCores int64

	// classID is the number of the class in this cycle once it was asked for.
	classID int
	// slowdown caches Cycle.Slowdown of a service; 0 means not computed.
	slowdown float64
}

// unassignedClassID is the id of a load whose class has not been numbered.
const unassignedClassID = -1

// jobState is what a cycle keeps for a job.
type jobState struct {
	job     *structs.Job
	classID int
	account *quota.Account
	// runningIndices holds the tasks that run and domains counts them by failure domain, both valid once counted is set.
	runningIndices map[int]bool
	domainCounts   map[string]int
	counted        bool
	spread         spreadState
	// checked is set once the job was tested for a verdict, never once it got one.
	checked       bool
	unschedulable bool
}

// reset prepares the cycle for a snapshot and keeps the memory of the last one.
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

// openAccounts opens the accounts of the teams with pending tasks. What other teams use doesn't matter to the plan.
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

// teamAccount returns the teamAccount of a team. One that was not opened for a pending task is charged now.
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

// charge counts what a team uses if it has an account.
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

// initWorker computes the state of one worker from what runs on it. It runs for every task of the fleet in every plan, so
// that what depends on classes and jobs is computed only when asked for.
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

// rampFraction returns which part of a worker's capacity batch may fill after its failure domain returned.
func (c *Cycle) rampFraction(domain string) float64 {
	returned, ok := c.Rules.Returned[domain]
	if !ok {
		return 1
	}
	age := c.Now.Sub(returned)
	return min(1, max(0, float64(age)/float64(c.Rules.ReturnRamp)))
}

// serviceLoads returns the serviceLoads of a worker by class. They are counted when first asked for, and so is batch: a batch
// task is rated by the serviceLoads beside it, and most tasks are batch.
func (c *Cycle) serviceLoads(w *WorkerView) []ClassLoad {
	s := w.cycle
	if !s.serviceLoadsValid {
		s.serviceLoadsValid = true
		s.computeLoads(w, structs.KindService)
	}
	return s.serviceLoads
}

// batchLoads returns the batchLoads of a worker by class.
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

// addLoad adds one task to the loads of its kind, if these were asked for.
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

// maxJobsScannedSeparately is the number of pending jobs up to which each is counted by a scan of its own, which compares one ID for
// each running task. With more jobs, a single scan that looks each running task's job up is cheaper.
const maxJobsScannedSeparately = 4

// countJobTasks finds the tasks of a job that run, once for each job that is about to be placed.
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

// Free returns what is free on a worker, less what this cycle placed there or holds for a task that waits for
// evictions. Fields are negative on an overcommitted worker.
func (c *Cycle) Free(w *WorkerView) structs.Resources { return w.cycle.free }

// Evacuating tells whether the worker drains or is in a failure domain that is out of service.
func (c *Cycle) Evacuating(w *WorkerView) bool { return w.cycle.evacuating }

// RampFraction returns which part of the worker batch may fill: below 1 for a while after its failure domain returned.
func (c *Cycle) RampFraction(w *WorkerView) float64 { return w.cycle.rampFraction }

// Admission returns what the quarantine lets the worker start.
func (c *Cycle) Admission(w *WorkerView) quarantine.Admission { return w.cycle.admission }

// PlacedCount returns how many tasks this cycle has placed on the worker.
func (c *Cycle) PlacedCount(w *WorkerView) int { return len(w.cycle.placed) }

// DomainTasks returns how many tasks of the task's service run in the worker's failure domain and how many in all.
func (c *Cycle) DomainTasks(task *PendingTask, w *WorkerView) (here, all int) {
	c.countJobTasks(task.state)
	for _, n := range task.state.domainCounts {
		all += n
	}
	return task.state.domainCounts[w.FailureDomain], all
}

// JobTasks returns how many tasks of the task's job run on the worker.
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
