package scheduler

import (
	"slices"

	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/structs"
)

// spreadState is the result of the spread rule for one task of a service.
type spreadState struct {
	// task is the task that the result is for, or nil if replicas were placed since it was computed.
	task *PendingTask
	// occupied holds the failure domains with replicas that stay.
	occupied map[string]bool
	// needsNewDomain is set if the task must start in a failure domain without a replica.
	needsNewDomain bool
}

// ViolatesSpread reports whether starting the task on the worker would leave its service in fewer failure domains than
// the rules require. Domains that couldn't take the task even after preempting batch don't count: a replica in the
// same domain as another one is better than none.
func (c *Cycle) ViolatesSpread(task *PendingTask, w *WorkerView) bool {
	minDomains := c.Rules.SpreadDomains[task.Job.Name]
	if task.Job.Kind != structs.KindService || minDomains < 2 {
		return false
	}
	s := &task.state.spread
	if s.task != task {
		*s = c.spreadOf(task, minDomains)
	}
	return s.needsNewDomain && s.occupied[w.FailureDomain]
}

func (c *Cycle) spreadOf(task *PendingTask, minDomains int) spreadState {
	s := spreadState{task: task, occupied: map[string]bool{}}
	staying := 0
	for i := range c.workers {
		w := &c.workers[i]
		if n := c.countStayingReplicas(task, w); n > 0 {
			staying += n
			s.occupied[w.FailureDomain] = true
		}
	}
	availableDomains := map[string]bool{}
	for i := range c.workers {
		if w := &c.workers[i]; !s.occupied[w.FailureDomain] && c.fitsWithPreemption(task, w) {
			availableDomains[w.FailureDomain] = true
		}
	}
	minDomains = min(minDomains, task.Job.Tasks, len(s.occupied)+len(availableDomains))
	unplaced := max(0, task.Job.Tasks-staying-1)
	s.needsNewDomain = len(s.occupied)+unplaced < minDomains
	return s
}

// countStayingReplicas counts the replicas of the task's service on a worker, without those that are being evicted or
// that the task replaces. It returns 0 for an evacuated worker.
func (c *Cycle) countStayingReplicas(task *PendingTask, w *WorkerView) int {
	if w.cycle.evacuating {
		return 0
	}
	n := 0
	for k := range w.Running {
		t := &w.Running[k]
		if t.Job.ID == task.Job.ID && t.AllocationID != task.Replaces && !c.isEvicting(t) {
			n++
		}
	}
	for _, placed := range w.cycle.placed {
		if placed.Job.ID == task.Job.ID {
			n++
		}
	}
	return n
}

// fitsWithPreemption reports whether a replica could start on a worker if it preempted the batch tasks there.
func (c *Cycle) fitsWithPreemption(task *PendingTask, w *WorkerView) bool {
	con := &task.Job.Constraints
	if !w.cycle.schedulable || w.cycle.admission != quarantine.AdmitAll ||
		(len(con.FailureDomains) > 0 && !slices.Contains(con.FailureDomains, w.FailureDomain)) {
		return false
	}
	available := w.cycle.free.Add(w.cycle.releasing)
	for _, k := range c.preemptibleTasks(task, w) {
		available = available.Add(w.Running[k].Resources)
	}
	return task.Resources.Fits(available)
}
