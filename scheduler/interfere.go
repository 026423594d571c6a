package scheduler

import (
	"github.com/quetzalshed/quetzalshed/scheduler/interference"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Interferes tells whether interference has been learned at all.
func (c *Cycle) Interferes() bool { return c.snapshot.Interference != nil }

// Neighbours returns the loads of the other kind on a worker, with this cycle's placements: services for a batch task
// and batch for a service. Callers only read them.
func (c *Cycle) Neighbours(task *PendingTask, w *WorkerView) []ClassLoad {
	if task.Job.Kind == structs.KindService {
		return c.batch(w)
	}
	return c.services(w)
}

// Estimate returns what is known of a neighbour beside the task: of the service among the two beside the batch class.
func (c *Cycle) Estimate(task *PendingTask, load *ClassLoad) interference.Estimate {
	if task.Job.Kind == structs.KindService {
		return c.pair(task.Job.Class, task.state.class, load.Class, c.loadID(load))
	}
	return c.pair(load.Class, c.loadID(load), task.Job.Class, task.state.class)
}

// cachedEstimate is an estimate that this cycle has asked for.
type cachedEstimate struct {
	estimate interference.Estimate
	asked    bool
}

func (c *Cycle) pair(service string, serviceID int, batch string, batchID int) interference.Estimate {
	for len(c.pairs) <= batchID {
		c.pairs = append(c.pairs, nil)
	}
	if len(c.pairs[batchID]) <= serviceID {
		c.pairs[batchID] = append(c.pairs[batchID], make([]cachedEstimate, serviceID+8-len(c.pairs[batchID]))...)
	}
	cached := &c.pairs[batchID][serviceID]
	if !cached.asked {
		*cached = cachedEstimate{c.snapshot.Interference.Estimate(service, batch), true}
	}
	return cached.estimate
}

// Slowdown returns the factor by which the known batch classes on the worker are expected to slow a service class down,
// at least 1. The service is a load of the worker, or the task itself with a nil load.
func (c *Cycle) Slowdown(task *PendingTask, w *WorkerView, service *ClassLoad) float64 {
	name, id := task.Job.Class, task.state.class
	if service != nil {
		if service.slowdown > 0 {
			return service.slowdown
		}
		name, id = service.Class, c.loadID(service)
	}
	factor := 1.0
	if c.snapshot.Interference != nil && w.Capacity.MilliCores > 0 {
		batch := c.batch(w)
		for i := range batch {
			load := &batch[i]
			if e := c.pair(name, id, load.Class, c.loadID(load)); e.Known {
				factor += (e.Slowdown - 1) * float64(load.MilliCores) / float64(w.Capacity.MilliCores)
			}
		}
	}
	if service != nil {
		service.slowdown = factor
	}
	return factor
}

// Explores tells whether another batch class runs on the worker whose interference with the service isn't known either.
func (c *Cycle) Explores(task *PendingTask, w *WorkerView, service *ClassLoad) bool {
	batch := c.batch(w)
	for i := range batch {
		load := &batch[i]
		if load.Class != task.Job.Class && !c.pair(service.Class, c.loadID(service), load.Class, c.loadID(load)).Known {
			return true
		}
	}
	return false
}

// Beside returns how many tasks of the batch class run beside the service class on all workers.
func (c *Cycle) Beside(task *PendingTask, load *ClassLoad) int {
	service, batch := c.loadID(load), task.state.class
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
		loads := c.batch(&c.workers[i])
		tasks := 0
		for k := range loads {
			if c.loadID(&loads[k]) == batch {
				tasks = loads[k].Tasks
			}
		}
		services := c.services(&c.workers[i])
		for k := range services {
			if tasks > 0 {
				counts[c.loadID(&services[k])] += tasks
			}
		}
	}
	c.beside[batch] = counts
	return counts
}
