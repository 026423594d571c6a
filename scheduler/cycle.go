package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler/interference"
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
	jobs     map[string]*jobState
	domains  map[string]int
	classes  map[string]int
	quotas   *quota.Table
	scores   []weightedScore
	pairs    map[[2]int]interference.Estimate
	beside   map[int]map[int]int
	shapes   map[shapeKey]*shape
	blocked  map[shapeKey]bool
	touched  []int
	maxFree  structs.Resources
	plan     Decisions
	// replaced holds the allocations for which a replacement runs, evicted those that this cycle evicts.
	replaced map[string]bool
	evicted  map[string]bool
}

// workerState is what a cycle keeps for each worker.
type workerState struct {
	// free is what may still be placed in this cycle; future is what evictions will free, as far as nothing claims it.
	free     structs.Resources
	future   structs.Resources
	loads    []ClassLoad
	added    []*PendingTask
	domain   int
	leaving  bool
	usable   bool
	admits   quarantine.Admission
	ramp     float64
	evicting int
}

// ClassLoad is what tasks of one class and kind reserve on a worker.
type ClassLoad struct {
	Kind       structs.JobKind
	Class      string
	Tasks      int
	MilliCores int64

	id int
	// slowdown caches Cycle.Slowdown of a service; 0 means not computed.
	slowdown float64
}

// jobState is what a cycle keeps for each job.
type jobState struct {
	job     *structs.Job
	class   int
	account *quota.Account
	// domains counts the tasks of a service in each failure domain.
	domains []int
	running int
	indices map[int]bool
	// checked is set once the job was tested for a verdict, never once it got one.
	checked bool
	never   bool
}

func newCycle(snapshot *Snapshot, now time.Time) *Cycle {
	c := &Cycle{
		Now: now, Rules: snapshot.Rules.withDefaults(), snapshot: snapshot,
		jobs: make(map[string]*jobState, 64), domains: map[string]int{}, classes: map[string]int{},
		shapes: map[shapeKey]*shape{}, blocked: map[shapeKey]bool{}, replaced: map[string]bool{}, evicted: map[string]bool{},
	}
	c.scores = weighted(c.Rules.Weights)
	c.workers = slices.Clone(snapshot.Workers)
	byName := func(a, b WorkerView) int { return cmp.Compare(a.Name, b.Name) }
	if !slices.IsSortedFunc(c.workers, byName) {
		slices.SortStableFunc(c.workers, byName)
	}
	var total structs.Resources
	for i := range c.workers {
		total = total.Add(c.workers[i].Capacity)
		if _, ok := c.domains[c.workers[i].FailureDomain]; !ok {
			c.domains[c.workers[i].FailureDomain] = len(c.domains)
		}
	}
	c.quotas = quota.NewTable(&snapshot.Quotas, total)
	for team, used := range snapshot.Used {
		c.quotas.Account(team).Charge(used)
	}
	for i := range c.workers {
		c.prepare(&c.workers[i])
	}
	c.refreshMaxFree()
	return c
}

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

// prepare computes the state of one worker from what runs on it.
func (c *Cycle) prepare(w *WorkerView) {
	s := &w.cycle
	*s = workerState{domain: c.domains[w.FailureDomain], ramp: c.rampOf(w.FailureDomain)}
	s.leaving = w.Draining || c.Rules.IsOut(w.FailureDomain)
	s.usable = w.Reported && !s.leaving
	if c.snapshot.Quarantine != nil {
		s.admits = c.snapshot.Quarantine.Admits(w.Name, c.Now)
	}
	s.free = w.Capacity
	s.loads = make([]ClassLoad, 0, 8)
	for i := range w.Running {
		t := &w.Running[i]
		job := c.job(t.Job)
		job.running++
		job.account.Charge(t.Resources)
		s.free = s.free.Sub(t.Resources)
		if t.Evicting() {
			s.future = s.future.Add(t.Resources)
			s.evicting++
		}
		s.load(t.Job, job.class, t.Resources)
		if t.Replaces != "" {
			c.replaced[t.Replaces] = true
		}
		if t.Job.Kind == structs.KindService {
			job.countDomain(s.domain)
		}
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

func (s *workerState) load(job *structs.Job, class int, r structs.Resources) {
	if job.Kind == structs.KindBatch {
		for i := range s.loads {
			s.loads[i].slowdown = 0
		}
	}
	for i := range s.loads {
		if s.loads[i].id == class && s.loads[i].Kind == job.Kind {
			s.loads[i].Tasks++
			s.loads[i].MilliCores += r.MilliCores
			return
		}
	}
	s.loads = append(s.loads, ClassLoad{Kind: job.Kind, Class: job.Class, Tasks: 1, MilliCores: r.MilliCores, id: class})
}

func (c *Cycle) job(job *structs.Job) *jobState {
	if s := c.jobs[job.ID]; s != nil {
		return s
	}
	s := &jobState{job: job, class: c.classID(job.Class), account: c.quotas.Account(job.Team)}
	c.jobs[job.ID] = s
	return s
}

func (j *jobState) countDomain(domain int) {
	for len(j.domains) <= domain {
		j.domains = append(j.domains, 0)
	}
	j.domains[domain]++
}

func (c *Cycle) classID(class string) int {
	if id, ok := c.classes[class]; ok {
		return id
	}
	id := len(c.classes)
	c.classes[class] = id
	return id
}

// isRunning tells whether a task with this index of the job holds an allocation or was placed in this cycle.
func (c *Cycle) isRunning(j *jobState, index int) bool {
	if j.running == 0 {
		return false
	}
	if j.indices == nil {
		j.indices = make(map[int]bool, j.running)
		for i := range c.workers {
			for k := range c.workers[i].Running {
				if t := &c.workers[i].Running[k]; t.Job.ID == j.job.ID {
					j.indices[t.Index] = true
				}
			}
			for _, t := range c.workers[i].cycle.added {
				if t.Job.ID == j.job.ID && t.Replaces == "" {
					j.indices[t.Index] = true
				}
			}
		}
	}
	return j.indices[index]
}

// refreshMaxFree computes an upper bound of what any worker has free, field by field. Free room only shrinks in a cycle.
func (c *Cycle) refreshMaxFree() {
	c.maxFree = structs.Resources{}
	for i := range c.workers {
		if !c.workers[i].cycle.usable {
			continue
		}
		free := &c.workers[i].cycle.free
		c.maxFree.MilliCores = max(c.maxFree.MilliCores, free.MilliCores)
		c.maxFree.MemoryMB = max(c.maxFree.MemoryMB, free.MemoryMB)
		c.maxFree.Accelerators = max(c.maxFree.Accelerators, free.Accelerators)
	}
}

// Free returns what is free on a worker, less what this cycle placed there or holds for a task that waits for
// evictions. Fields are negative on an overcommitted worker.
func (c *Cycle) Free(w *WorkerView) structs.Resources { return w.cycle.free }

// Loads returns what runs on a worker by class, with this cycle's placements. Callers only read it.
func (c *Cycle) Loads(w *WorkerView) []ClassLoad { return w.cycle.loads }

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
	for domain, n := range task.state.domains {
		all += n
		if domain == w.cycle.domain {
			here = n
		}
	}
	return here, all
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
