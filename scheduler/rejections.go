package scheduler

import "github.com/quetzalshed/quetzalshed/structs"

// Rejections returns, by worker and batch class, why the worker takes none of the tasks that the last plan left
// pending. The first waiting task of a class represents the class. The result is for reports and doesn't affect
// decisions.
func (p *Planner) Rejections() map[string]map[string]Reason {
	c := &p.cycle
	placed := make(map[structs.TaskID]bool, len(c.plan.Place))
	for i := range c.plan.Place {
		placed[c.plan.Place[i].Task] = true
	}
	explained := map[string]bool{}
	rejections := map[string]map[string]Reason{}
	for i := range c.snapshot.Pending {
		task := c.snapshot.Pending[i]
		if task.Job.Kind != structs.KindBatch || explained[task.Job.Class] || placed[task.ID()] || task.NotBefore.After(c.Now) {
			continue
		}
		task.state = c.stateOf(task.Job)
		if task.state.unschedulable {
			continue
		}
		explained[task.Job.Class] = true
		task.Resources = c.reservation(&task)
		for k := range c.workers {
			c.addRejection(&task, &c.workers[k], rejections)
		}
	}
	return rejections
}

func (c *Cycle) addRejection(task *PendingTask, w *WorkerView, rejections map[string]map[string]Reason) {
	_, reason := c.rate(task, w)
	if reason == "" && !task.state.account.Allows(task.Resources) {
		reason = ReasonQuota
	}
	if rejections[w.Name] == nil {
		rejections[w.Name] = map[string]Reason{}
	}
	rejections[w.Name][task.Job.Class] = reason
}
