package scheduler

import (
	"slices"

	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/structs"
)

// spreadState is what the rule on the spread of a service says of one task.
type spreadState struct {
	// task is the one for which the rest was computed, nil when replicas were placed since.
	task *PendingTask
	// occupied holds the failure domains with replicas that stay.
	occupied map[string]bool
	// elsewhere is set when the task must start in a failure domain without a replica.
	elsewhere bool
}

// Crowds tells whether the task would leave its service in fewer failure domains than the rules ask for if it started on
// the worker. Domains without room for the task, batch that it may preempt included, don't count: a replica beside
// another one is better than none.
func (c *Cycle) Crowds(task *PendingTask, w *WorkerView) bool {
	least := c.Rules.SpreadDomains[task.Job.Name]
	if task.Job.Kind != structs.KindService || least < 2 {
		return false
	}
	s := &task.state.spread
	if s.task != task {
		*s = c.spreadOf(task, least)
	}
	return s.elsewhere && s.occupied[w.FailureDomain]
}

func (c *Cycle) spreadOf(task *PendingTask, least int) spreadState {
	s := spreadState{task: task, occupied: map[string]bool{}}
	staying := 0
	for i := range c.workers {
		w := &c.workers[i]
		if n := c.stayingReplicas(task, w); n > 0 {
			staying += n
			s.occupied[w.FailureDomain] = true
		}
	}
	open := map[string]bool{}
	for i := range c.workers {
		if w := &c.workers[i]; !s.occupied[w.FailureDomain] && c.roomForService(task, w) {
			open[w.FailureDomain] = true
		}
	}
	least = min(least, task.Job.Tasks, len(s.occupied)+len(open))
	later := max(0, task.Job.Tasks-staying-1)
	s.elsewhere = len(s.occupied)+later < least
	return s
}

// stayingReplicas counts the replicas of the task's service on a worker that neither leave nor are replaced by the task.
func (c *Cycle) stayingReplicas(task *PendingTask, w *WorkerView) int {
	if w.cycle.leaving {
		return 0
	}
	n := 0
	for k := range w.Running {
		t := &w.Running[k]
		if t.Job.ID == task.Job.ID && t.AllocationID != task.Replaces && !c.leavingSoon(t) {
			n++
		}
	}
	for _, placed := range w.cycle.added {
		if placed.Job.ID == task.Job.ID {
			n++
		}
	}
	return n
}

// roomForService tells whether a replica could start on a worker if it preempted the batch there.
func (c *Cycle) roomForService(task *PendingTask, w *WorkerView) bool {
	con := &task.Job.Constraints
	if !w.cycle.usable || w.cycle.admits != quarantine.AdmitAll ||
		(len(con.FailureDomains) > 0 && !slices.Contains(con.FailureDomains, w.FailureDomain)) {
		return false
	}
	room := w.cycle.free.Add(w.cycle.future)
	for _, k := range c.preemptable(task, w) {
		room = room.Add(w.Running[k].Resources)
	}
	return task.Resources.Fits(room)
}
