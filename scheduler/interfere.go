package scheduler

import (
	"github.com/quetzalshed/quetzalshed/scheduler/interference"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Estimate returns what is known of a resident load beside the task: of the service among the two beside the batch
// class. It returns false when both are of the same kind or nothing has been learned at all.
func (c *Cycle) Estimate(task *PendingTask, load *ClassLoad) (interference.Estimate, bool) {
	if c.snapshot.Interference == nil || task.Job.Kind == load.Kind {
		return interference.Estimate{}, false
	}
	if task.Job.Kind == structs.KindService {
		return c.pair(task.Job.Class, task.state.class, load.Class, load.id), true
	}
	return c.pair(load.Class, load.id, task.Job.Class, task.state.class), true
}

func (c *Cycle) pair(service string, serviceID int, batch string, batchID int) interference.Estimate {
	key := [2]int{serviceID, batchID}
	if e, ok := c.pairs[key]; ok {
		return e
	}
	if c.pairs == nil {
		c.pairs = map[[2]int]interference.Estimate{}
	}
	e := c.snapshot.Interference.Estimate(service, batch)
	c.pairs[key] = e
	return e
}

// Slowdown returns the factor by which the known batch classes on the worker are expected to slow a service class down,
// at least 1. The service is a load of the worker, or the task itself with a nil load.
func (c *Cycle) Slowdown(task *PendingTask, w *WorkerView, service *ClassLoad) float64 {
	name, id := task.Job.Class, task.state.class
	if service != nil {
		if service.slowdown > 0 {
			return service.slowdown
		}
		name, id = service.Class, service.id
	}
	factor := 1.0
	if c.snapshot.Interference != nil && w.Capacity.MilliCores > 0 {
		for i := range w.cycle.loads {
			load := &w.cycle.loads[i]
			if load.Kind != structs.KindBatch {
				continue
			}
			if e := c.pair(name, id, load.Class, load.id); e.Known {
				factor += (e.Slowdown - 1) * float64(load.MilliCores) / float64(w.Capacity.MilliCores)
			}
		}
	}
	if service != nil {
		service.slowdown = factor
	}
	return factor
}

// Beside returns how many tasks of the batch class run beside the service class on all workers.
func (c *Cycle) Beside(task *PendingTask, load *ClassLoad) int {
	service, batch := load.id, task.state.class
	if task.Job.Kind == structs.KindService {
		service, batch = batch, service
	}
	counts, ok := c.beside[batch]
	if !ok {
		counts = c.countBeside(batch)
	}
	return counts[service]
}

func (c *Cycle) countBeside(batch int) map[int]int {
	counts := map[int]int{}
	for i := range c.workers {
		loads := c.workers[i].cycle.loads
		tasks := 0
		for k := range loads {
			if loads[k].id == batch && loads[k].Kind == structs.KindBatch {
				tasks = loads[k].Tasks
			}
		}
		for k := range loads {
			if tasks > 0 && loads[k].Kind == structs.KindService {
				counts[loads[k].id] += tasks
			}
		}
	}
	if c.beside == nil {
		c.beside = map[int]map[int]int{}
	}
	c.beside[batch] = counts
	return counts
}
