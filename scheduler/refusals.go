package scheduler

import "github.com/quetzalshed/quetzalshed/structs"

// Refusals tells why each worker takes none of the batch tasks that the last plan left pending, by worker and batch
// class. Of a class, the first task that waits stands for all. It is for reports, not for decisions.
func (p *Planner) Refusals() map[string]map[string]Reason {
	c := &p.cycle
	placed := make(map[structs.TaskID]bool, len(c.plan.Place))
	for i := range c.plan.Place {
		placed[c.plan.Place[i].Task] = true
	}
	seen := map[string]bool{}
	refusals := map[string]map[string]Reason{}
	for i := range c.snapshot.Pending {
		task := c.snapshot.Pending[i]
		if task.Job.Kind != structs.KindBatch || seen[task.Job.Class] || placed[task.ID()] || task.NotBefore.After(c.Now) {
			continue
		}
		task.state = c.job(task.Job)
		if task.state.never {
			continue
		}
		seen[task.Job.Class] = true
		task.Resources = c.reservation(&task)
		for k := range c.workers {
			c.refuse(&task, &c.workers[k], refusals)
		}
	}
	return refusals
}

func (c *Cycle) refuse(task *PendingTask, w *WorkerView, refusals map[string]map[string]Reason) {
	_, reason := c.rate(task, w)
	if reason == "" && !task.state.account.Allows(task.Resources) {
		reason = ReasonQuota
	}
	if refusals[w.Name] == nil {
		refusals[w.Name] = map[string]Reason{}
	}
	refusals[w.Name][task.Job.Class] = reason
}
