package engine

import (
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Change is a job record that has to be stored before its consequences are sent to nodes or shown to clients.
type Change struct {
	Job    string
	Record workflow.JobRecord
}

// TakeDirty returns the job records that have changed since the last call.
func (e *Engine) TakeDirty() []Change {
	changes := make([]Change, 0, len(e.dirtyJobs))
	for j := range e.dirtyJobs {
		changes = append(changes, Change{Job: j.ID, Record: j.record()})
	}
	clear(e.dirtyJobs)
	slices.SortFunc(changes, func(a, b Change) int {
		if a.Job < b.Job {
			return -1
		}
		return 1
	})
	return changes
}

// record returns the stored form of a job. For a finished job it contains only the tasks that may still be running. Only tasks that may
// start again have checkpoints.
func (j *job) record() workflow.JobRecord {
	r := workflow.JobRecord{Phase: j.phase, Begun: j.begun, EndedUnixMillis: j.endedUnixMillis}
	for _, t := range j.tasks {
		if t.run == 0 || j.phase.Final() && !t.hasRun() {
			continue
		}
		saved := t.saved
		if t.phase == workflow.TaskDone || j.phase.Final() {
			saved = ""
		}
		r.Tasks = append(r.Tasks, workflow.TaskRecord{
			Occurrence: t.id.Occurrence, Step: t.id.Step, Index: t.id.Index, Phase: t.phase, Run: t.run,
			Life: t.executorIncarnation, Node: t.host, Failures: t.failures, FailedRun: t.failedRun, Saved: saved,
			Crashes: t.crashes.total, Suspicions: t.crashes.suspicions, Reassigned: t.reassigned && t.hasRun(),
		})
	}
	return r
}

// MarkStored marks records as stored, so that their phases are reported to clients.
func (e *Engine) MarkStored(changes []Change) {
	for _, c := range changes {
		if j := e.jobs[c.Job]; j != nil {
			j.storedPhase = c.Record.Phase
		}
	}
}

// NodeOrders holds the orders for one node.
type NodeOrders struct {
	Node    string
	Address string
	Orders  workflow.Orders
	// Bases holds what each of Orders.Starts was based on when it was decided.
	Bases []StartBasis
}

// TakeOrders returns the orders decided since the last call. The caller sets their epoch.
func (e *Engine) TakeOrders() []NodeOrders {
	deliveries := make([]NodeOrders, 0, len(e.outbox))
	for name, b := range e.outbox {
		n := e.nodes[name]
		if n == nil {
			continue
		}
		orders, bases := n.orders(b, e.settings.LeaseDuration)
		deliveries = append(deliveries, NodeOrders{Node: name, Address: n.address, Orders: orders, Bases: bases})
	}
	clear(e.outbox)
	slices.SortFunc(deliveries, func(a, b NodeOrders) int {
		if a.Node < b.Node {
			return -1
		}
		return 1
	})
	return deliveries
}

// orders returns the orders for the node, and what each start was based on. They name the report that renewed the lease, so that the
// node rejects starts by the time at which this owner takes the lease for expired.
func (n *node) orders(b *outbox, lease time.Duration) (o workflow.Orders, bases []StartBasis) {
	o = workflow.Orders{
		Incarnation: n.incarnation, ReportNumber: n.leaseReport, ExecutorIncarnation: n.executor.IncarnationID(),
		Stops: b.stops, Specs: map[string]string{},
	}
	if n.leaseReport > 0 {
		o.LeaseMillis = lease.Milliseconds()
	}
	if len(b.starts) > 0 {
		bases = make([]StartBasis, 0, len(b.starts))
	}
	for i := range b.starts {
		t := b.starts[i].task
		if t.phase != workflow.TaskAssigned || t.node != n {
			continue
		}
		o.Specs[t.job.ID] = t.job.Spec
		o.Starts = append(o.Starts, workflow.StartOrder{RunTraits: t.traits(), Run: t.run, Saved: t.saved})
		bases = append(bases, b.starts[i].basis)
	}
	return o, bases
}

func (t *task) traits() workflow.RunTraits {
	return workflow.RunTraits{
		Task: t.name, TargetMillis: t.step.TargetMillis, Image: t.step.Image, MilliCores: t.step.Need.MilliCores, BestEffort: t.step.BestEffort,
	}
}

// Traits returns the traits of the tasks with a run on a node.
func (e *Engine) Traits(node string) []workflow.RunTraits {
	n := e.nodes[node]
	if n == nil || !n.known {
		return nil
	}
	var traits []workflow.RunTraits
	for _, t := range e.tasksWithRun[n.executorIncarnation] {
		traits = append(traits, t.traits())
	}
	return traits
}

// CriticalPath returns the largest sum of estimates along dependent steps of a job; 0 if the job is unknown.
func (e *Engine) CriticalPath(id string) time.Duration {
	if j := e.jobs[id]; j != nil {
		return j.criticalPath()
	}
	return 0
}

// Objective returns the time from acceptance within which a job has its full value for its client; 0 if the job is
// unknown.
func (e *Engine) Objective(id string) time.Duration {
	if j := e.jobs[id]; j != nil {
		return latencyObjective(j, e.queueOf(j))
	}
	return 0
}

// Age returns the time since a job was accepted. It returns false if the job is unknown.
func (e *Engine) Age(id string, now time.Time) (time.Duration, bool) {
	j := e.jobs[id]
	if j == nil {
		return 0, false
	}
	return now.Sub(j.acceptedAt), true
}

// Phase returns the stored phase of a job. It returns false if the job is unknown.
func (e *Engine) Phase(id string) (workflow.Phase, bool) {
	j := e.jobs[id]
	if j == nil {
		return "", false
	}
	return j.storedPhase, true
}

// Waiting returns the number of a queue's accepted jobs without a due time of which no task has started. An ordered start doesn't count
// as started, since it may be carried out seconds later or not at all. Jobs whose first runs only a former owner has seen count until
// executors list them.
func (e *Engine) Waiting(queue string) int {
	count := 0
	for _, j := range e.jobs {
		if j.Queue.Name == queue && !j.begun && !j.storedPhase.Final() && j.Occurrences == 0 {
			count++
		}
	}
	return count
}

// Counts holds totals of the engine's state for metrics and logs.
type Counts struct {
	Jobs, Active int
	// Assigned is the number of tasks with a run, done ones included.
	Assigned, Executors int
	// HeadroomPairs is the number of pairs of images of which headroom losses have been sampled.
	HeadroomPairs int
}

// Counts returns the current totals.
func (e *Engine) Counts() Counts {
	c := Counts{Jobs: len(e.jobs), Active: len(e.activeJobs), HeadroomPairs: e.colocation.Pairs()}
	for _, tasks := range e.tasksWithRun {
		c.Assigned += len(tasks)
	}
	for _, n := range e.sortedNodes {
		if n.known {
			c.Executors++
		}
	}
	return c
}

// ExpiredJobs returns up to limit finished jobs whose retention has passed and that have no run. The caller
// deletes their keys and then calls Forget.
func (e *Engine) ExpiredJobs(now time.Time, limit int) []string {
	var ids []string
	for _, j := range e.jobs {
		if len(ids) == limit {
			break
		}
		if j.phase.Final() && j.storedPhase.Final() && now.Sub(j.endKnownAt) > e.settings.Retention && !j.hasRun() {
			ids = append(ids, j.ID)
		}
	}
	return ids
}

func (j *job) hasRun() bool { return slices.ContainsFunc(j.tasks, (*task).hasRun) }

// hasListedRun reports whether an executor lists a run of the job.
func (j *job) hasListedRun() bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.phase == workflow.TaskAssigned && t.listed })
}

// Forget removes a job.
func (e *Engine) Forget(id string) {
	if j := e.jobs[id]; j != nil {
		e.heldTasks -= j.footprint
		delete(e.dirtyJobs, j)
		delete(e.completing, j)
	}
	delete(e.activeJobs, id)
	delete(e.jobs, id)
	e.forgotten.add(id)
}
