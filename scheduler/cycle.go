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
	// pairs caches estimates by batch class and service class.
	pairs   [][]cachedEstimate
	beside  map[int]map[int]int
	shapes  map[shapeKey]*shape
	blocked map[shapeKey]bool
	// noRoom holds the shapes for which preemption found no room.
	noRoom  map[shapeKey]bool
	touched []int
	// maxFree bounds what any worker has free, field by field.
	maxFree structs.Resources
	plan    Decisions
	// counted is set once the running tasks of all jobs were counted.
	counted bool
	// replacements is set if any running replica was a replacement, and settling if one still runs beside the replica that
	// it replaces. replaced holds the allocations that need no replacement, since one runs
	// or they are one; evicted holds those that this cycle evicts.
	replacements bool
	settling     bool
	replaced     map[string]bool
	evicted      map[string]bool
}

// workerState is what a cycle keeps for each worker.
type workerState struct {
	// free is what may still be placed in this cycle; future is what evictions will free, as far as nothing claims it.
	free   structs.Resources
	future structs.Resources
	// serviceLoads and batchLoads are valid once they are loaded.
	serviceLoads   []ClassLoad
	batchLoads     []ClassLoad
	servicesLoaded bool
	batchLoaded    bool
	leaving        bool
	usable         bool
	added          []*PendingTask
	admits         quarantine.Admission
	ramp           float64
	evicting       int
}

// ClassLoad is what the services, or the batch tasks, of one class reserve on a worker.
type ClassLoad struct {
	Class      string
	Tasks      int
	MilliCores int64

	// id is the number of the class in this cycle once it was asked for.
	id int
	// slowdown caches Cycle.Slowdown of a service; 0 means not computed.
	slowdown float64
}

// unnumbered is the id of a load whose class has not been numbered.
const unnumbered = -1

// jobState is what a cycle keeps for a job.
type jobState struct {
	job     *structs.Job
	class   int
	account *quota.Account
	// indices holds the tasks that run and domains counts them by failure domain, both valid once counted is set.
	indices map[int]bool
	domains map[string]int
	counted bool
	spread  spreadState
	// checked is set once the job was tested for a verdict, never once it got one.
	checked bool
	never   bool
}

// reset prepares the cycle for a snapshot and keeps the memory of the last one.
func (c *Cycle) reset(snapshot *Snapshot, now time.Time) {
	last := *c
	*c = Cycle{
		Now: now, Rules: snapshot.Rules.withDefaults(), snapshot: snapshot, jobs: cleared(last.jobs),
		classes: cleared(last.classes), shapes: cleared(last.shapes), blocked: cleared(last.blocked), noRoom: cleared(last.noRoom),
		beside: cleared(last.beside), replaced: cleared(last.replaced), evicted: cleared(last.evicted),
		workers: append(last.workers[:0], snapshot.Workers...), states: last.states, touched: last.touched[:0],
	}
	c.scores = weighted(c.Rules.Weights)
	if !slices.IsSortedFunc(c.workers, byName) {
		slices.SortStableFunc(c.workers, byName)
	}
	for len(c.states) < len(c.workers) {
		c.states = append(c.states, workerState{})
	}
	c.openAccounts()
	for i := range c.workers {
		c.prepare(&c.workers[i], &c.states[i])
	}
}

func cleared[K comparable, V any](m map[K]V) map[K]V {
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
		c.quotas.Account(c.snapshot.Pending[i].Job.Team)
	}
	for team, used := range c.snapshot.Used {
		c.charge(team, used)
	}
}

// account returns the account of a team. One that was not opened for a pending task is charged now.
func (c *Cycle) account(team string) *quota.Account {
	if account := c.quotas.Find(team); account != nil {
		return account
	}
	account := c.quotas.Account(team)
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

func weighted(weights map[string]float64) []weightedScore {
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

// prepare computes the state of one worker from what runs on it. It runs for every task of the fleet in every plan, so
// that what depends on classes and jobs is computed only when asked for.
func (c *Cycle) prepare(w *WorkerView, s *workerState) {
	*s = workerState{ramp: 1, free: w.Capacity, serviceLoads: s.serviceLoads[:0], batchLoads: s.batchLoads[:0], added: s.added[:0]}
	w.cycle = s
	s.leaving = w.Draining || len(c.Rules.Out) > 0 && c.Rules.IsOut(w.FailureDomain)
	s.usable = w.Reported && !s.leaving
	if len(c.Rules.Returned) > 0 {
		s.ramp = c.rampOf(w.FailureDomain)
	}
	if c.snapshot.Quarantine != nil {
		s.admits = c.snapshot.Quarantine.Admits(w.Name, c.Now)
	}
	for i := range w.Running {
		t := &w.Running[i]
		s.free = s.free.Sub(t.Resources)
		c.charge(t.Job.Team, t.Resources)
		if t.Evicting() {
			s.future = s.future.Add(t.Resources)
			s.evicting++
		}
		c.replacements = c.replacements || t.Replaces != ""
	}
	if s.usable {
		c.maxFree.MilliCores = max(c.maxFree.MilliCores, s.free.MilliCores)
		c.maxFree.MemoryMB = max(c.maxFree.MemoryMB, s.free.MemoryMB)
		c.maxFree.Accelerators = max(c.maxFree.Accelerators, s.free.Accelerators)
	}
}

// rampOf returns which part of a worker's capacity batch may fill after its failure domain returned.
func (c *Cycle) rampOf(domain string) float64 {
	returned, ok := c.Rules.Returned[domain]
	if !ok {
		return 1
	}
	age := c.Now.Sub(returned)
	return min(1, max(0, float64(age)/float64(c.Rules.ReturnRamp)))
}

// services returns the services of a worker by class. They are counted when first asked for, and so is batch: a batch
// task is rated by the services beside it, and most tasks are batch.
func (c *Cycle) services(w *WorkerView) []ClassLoad {
	s := w.cycle
	if !s.servicesLoaded {
		s.servicesLoaded = true
		s.countAll(w, structs.KindService)
	}
	return s.serviceLoads
}

// batch returns the batch of a worker by class.
func (c *Cycle) batch(w *WorkerView) []ClassLoad {
	s := w.cycle
	if !s.batchLoaded {
		s.batchLoaded = true
		s.countAll(w, structs.KindBatch)
	}
	return s.batchLoads
}

func (s *workerState) countAll(w *WorkerView, kind structs.JobKind) {
	for i := range w.Running {
		if t := &w.Running[i]; t.Job.Kind == kind {
			s.count(t.Job, t.Resources)
		}
	}
	for _, task := range s.added {
		if task.Job.Kind == kind {
			s.count(task.Job, task.Resources)
		}
	}
}

// count adds one task to the loads of its kind, if these were asked for.
func (s *workerState) count(job *structs.Job, r structs.Resources) {
	loads, loaded := &s.serviceLoads, s.servicesLoaded
	if job.Kind == structs.KindBatch {
		loads, loaded = &s.batchLoads, s.batchLoaded
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
	*loads = append(*loads, ClassLoad{Class: job.Class, Tasks: 1, MilliCores: r.MilliCores, id: unnumbered})
}

func (c *Cycle) job(job *structs.Job) *jobState {
	if s := c.jobs[job.ID]; s != nil {
		return s
	}
	s := &jobState{job: job, class: c.classID(job.Class), account: c.account(job.Team)}
	c.jobs[job.ID] = s
	return s
}

func (c *Cycle) loadID(load *ClassLoad) int {
	if load.id == unnumbered {
		load.id = c.classID(load.Class)
	}
	return load.id
}

func (c *Cycle) classID(class string) int {
	if id, ok := c.classes[class]; ok {
		return id
	}
	id := len(c.classes)
	c.classes[class] = id
	return id
}

// scanJobs is the number of pending jobs up to which each is counted by a scan of its own, which compares one ID for
// each running task. With more jobs, a single scan that looks each running task's job up is cheaper.
const scanJobs = 4

// count finds the tasks of a job that run, once for each job that is about to be placed.
func (c *Cycle) count(j *jobState) {
	if j.counted {
		return
	}
	all := len(c.jobs) > scanJobs && !c.counted
	for i := range c.workers {
		w := &c.workers[i]
		for k := range w.Running {
			t := &w.Running[k]
			if all {
				if other := c.jobs[t.Job.ID]; other != nil && !other.counted {
					other.add(t.Index, w.FailureDomain)
				}
			} else if t.Job == j.job || t.Job.ID == j.job.ID {
				j.add(t.Index, w.FailureDomain)
			}
		}
	}
	j.counted = true
	if all {
		c.counted = true
		for _, other := range c.jobs {
			other.counted = true
		}
	}
}

// add counts one task of the job.
func (j *jobState) add(index int, domain string) {
	if j.indices == nil {
		j.indices, j.domains = map[int]bool{}, map[string]int{}
	}
	j.indices[index] = true
	j.domains[domain]++
	j.spread.task = nil
}

// Free returns what is free on a worker, less what this cycle placed there or holds for a task that waits for
// evictions. Fields are negative on an overcommitted worker.
func (c *Cycle) Free(w *WorkerView) structs.Resources { return w.cycle.free }

// Leaving tells whether the worker drains or is in a failure domain that is out of service.
func (c *Cycle) Leaving(w *WorkerView) bool { return w.cycle.leaving }

// Ramp returns which part of the worker batch may fill: below 1 for a while after its failure domain returned.
func (c *Cycle) Ramp(w *WorkerView) float64 { return w.cycle.ramp }

// Admission returns what the quarantine lets the worker start.
func (c *Cycle) Admission(w *WorkerView) quarantine.Admission { return w.cycle.admits }

// Placed returns how many tasks this cycle has placed on the worker.
func (c *Cycle) Placed(w *WorkerView) int { return len(w.cycle.added) }

// DomainTasks returns how many tasks of the task's service run in the worker's failure domain and how many in all.
func (c *Cycle) DomainTasks(task *PendingTask, w *WorkerView) (here, all int) {
	c.count(task.state)
	for _, n := range task.state.domains {
		all += n
	}
	return task.state.domains[w.FailureDomain], all
}

// SameJob returns how many tasks of the task's job run on the worker.
func (c *Cycle) SameJob(task *PendingTask, w *WorkerView) int {
	n := 0
	for i := range w.Running {
		if w.Running[i].Job.ID == task.Job.ID {
			n++
		}
	}
	for _, other := range w.cycle.added {
		if other.Job.ID == task.Job.ID {
			n++
		}
	}
	return n
}
