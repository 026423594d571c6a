package engine

import (
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/admission"
)

// HeldTasks returns the memory of all jobs, as package admission counts. Finished jobs count until they are removed.
func (e *Engine) HeldTasks() int { return e.heldTasks }

// poolLoad is the capacity of a pool, and the work that is ready in it by priority and size class.
type poolLoad struct {
	load admission.QueueLoad
	work map[int]*[admission.SizeClasses]float64
}

// Loads returns the load that matters for the jobs of each configured queue. It returns nil while a new owner may not know all
// executors yet.
func (e *Engine) Loads(now, wall time.Time) map[string]admission.QueueLoad {
	if !e.operatorStateLoaded || !e.executorsDiscovered(now) {
		return nil
	}
	pools := e.poolCapacities(now)
	running, waiting := map[string]int{}, map[string]int{}
	for _, j := range e.activeJobs {
		queue := e.queueOf(j)
		running[queue.Name] += j.assignedCount()
		if !j.begun && j.Occurrences == 0 {
			waiting[queue.Name]++
		}
		if p := pools[queue.Pool]; p != nil {
			e.addReadyWork(p, j, queue, now, wall)
		}
	}
	loads := make(map[string]admission.QueueLoad, len(e.config.Queues))
	for i := range e.config.Queues {
		q := &e.config.Queues[i]
		l := admission.QueueLoad{}
		if p := pools[q.Pool]; p != nil {
			l = p.load
			l.Backlog = p.backlog(q.Priority)
		}
		l.Running, l.Waiting = running[q.Name], waiting[q.Name]
		loads[q.Name] = l
	}
	return loads
}

// poolCapacities returns the capacity of the executors in service, by pool.
func (e *Engine) poolCapacities(now time.Time) map[string]*poolLoad {
	pools := map[string]*poolLoad{}
	for _, n := range e.sortedNodes {
		if !e.isInService(n, now) {
			continue
		}
		p := pools[n.executor.Pool]
		if p == nil {
			p = &poolLoad{work: map[int]*[admission.SizeClasses]float64{}}
			pools[n.executor.Pool] = p
		}
		free := max(n.executor.Capacity.MilliCores-n.reserved.MilliCores, 0)
		p.load.Capacity += n.executor.Capacity.MilliCores
		p.load.Reserved += n.executor.Capacity.MilliCores - free
		p.load.LargestFree = max(p.load.LargestFree, free)
	}
	return pools
}

// isInService reports whether starts may be sent to an executor, apart from its load and the history of tasks on it.
func (e *Engine) isInService(n *node, now time.Time) bool {
	return n.known && n.endReportedAt.IsZero() && !n.executor.MayEnd() && now.Sub(n.reportedAt) < reportTimeout && !e.evacuated[n.executor.FailureDomain]
}

// addReadyWork adds the ready work of a job to that of its pool. Jobs that run until they are cancelled, those with due times and those
// that are too late to have any value left are left out: they delay no other job, or their work has no bound.
func (e *Engine) addReadyWork(p *poolLoad, j *job, q *workflow.Queue, now, wall time.Time) {
	if j.isLongRunning() || j.Occurrences > 0 {
		return
	}
	o := e.outlook(j, q)
	if o.expectedValue(now.Sub(j.acceptedAt)) < overdueValue {
		return
	}
	byClass := p.work[q.Priority]
	if byClass == nil {
		byClass = &[admission.SizeClasses]float64{}
		p.work[q.Priority] = byClass
	}
	byClass[admission.SizeClass(o.remainingWork)] += e.readyWork(j, q, wall)
}

// readyWork returns the CPU time, in core seconds, that is left of the job's tasks that run or could run now.
func (e *Engine) readyWork(j *job, q *workflow.Queue, wall time.Time) float64 {
	model, work := e.durationsOf(q.Name), 0.0
	for i := range j.groups {
		g := &j.groups[i]
		if !e.groupReady(j, g, wall) {
			continue
		}
		_, left := g.remaining()
		work += left * g.predictedDuration(model).Seconds() * float64(g.tasks[0].step.Reserved().MilliCores) / 1000
	}
	return work
}

// backlog returns the work that comes before a new job of each size class at a priority.
func (p *poolLoad) backlog(priority int) (ahead [admission.SizeClasses]float64) {
	for other, byClass := range p.work {
		for class, work := range byClass {
			for affected := range ahead {
				if other < priority || other == priority && class <= affected {
					ahead[affected] += work
				}
			}
		}
	}
	return ahead
}

// assignedCount returns the number of tasks that are assigned to executors.
func (j *job) assignedCount() int {
	count := 0
	for _, t := range j.tasks {
		if t.phase == workflow.TaskAssigned {
			count++
		}
	}
	return count
}
