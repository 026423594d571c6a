package scheduler

import (
	"github.com/quetzalshed/quetzalshed/scheduler/interference"
	"github.com/quetzalshed/quetzalshed/structs"
)

// HasInterferenceModel reports whether the snapshot has an interference model.
func (c *Cycle) HasInterferenceModel() bool { return c.snapshot.Interference != nil }

// ColocatedLoads returns the loads of the other kind on a worker, including the placements of this cycle: services for
// a batch task, batch for a service. Callers must not modify them.
func (c *Cycle) ColocatedLoads(task *PendingTask, w *WorkerView) []ClassLoad {
	if task.Job.Kind == structs.KindService {
		return c.batchLoads(w)
	}
	return c.serviceLoads(w)
}

// Estimate returns the interference estimate for the task and a colocated load: by how much the batch class of the two
// slows the service class down.
func (c *Cycle) Estimate(task *PendingTask, load *ClassLoad) interference.Estimate {
	if task.Job.Kind == structs.KindService {
		return c.estimatePair(task.Job.Class, task.state.classID, load.Class, c.loadClassID(load))
	}
	return c.estimatePair(load.Class, c.loadClassID(load), task.Job.Class, task.state.classID)
}

// cachedEstimate caches an interference estimate for one cycle.
type cachedEstimate struct {
	estimate interference.Estimate
	valid    bool
}

func (c *Cycle) estimatePair(service string, serviceID int, batch string, batchID int) interference.Estimate {
	for len(c.estimates) <= batchID {
		c.estimates = append(c.estimates, nil)
	}
	if len(c.estimates[batchID]) <= serviceID {
		c.estimates[batchID] = append(c.estimates[batchID], make([]cachedEstimate, serviceID+8-len(c.estimates[batchID]))...)
	}
	cached := &c.estimates[batchID][serviceID]
	if !cached.valid {
		*cached = cachedEstimate{c.snapshot.Interference.Estimate(service, batch), true}
	}
	return cached.estimate
}

// Slowdown returns the factor, at least 1, by which the batch classes on the worker are expected to slow a service
// class down. Only classes with a known estimate count. The service is a load of the worker, or the task itself if the
// load is nil.
func (c *Cycle) Slowdown(task *PendingTask, w *WorkerView, service *ClassLoad) float64 {
	name, id := task.Job.Class, task.state.classID
	if service != nil {
		if service.slowdown > 0 {
			return service.slowdown
		}
		name, id = service.Class, c.loadClassID(service)
	}
	factor := 1.0
	if c.snapshot.Interference != nil && w.Capacity.MilliCores > 0 {
		batch := c.batchLoads(w)
		for i := range batch {
			load := &batch[i]
			if e := c.estimatePair(name, id, load.Class, c.loadClassID(load)); e.Known {
				factor += (e.Slowdown - 1) * float64(load.MilliCores) / float64(w.Capacity.MilliCores)
			}
		}
	}
	if service != nil {
		service.slowdown = factor
	}
	return factor
}

// HasOtherUnknownClass reports whether another batch class runs on the worker whose interference with the service is
// unknown.
func (c *Cycle) HasOtherUnknownClass(task *PendingTask, w *WorkerView, service *ClassLoad) bool {
	batch := c.batchLoads(w)
	for i := range batch {
		load := &batch[i]
		if load.Class != task.Job.Class && !c.estimatePair(service.Class, c.loadClassID(service), load.Class, c.loadClassID(load)).Known {
			return true
		}
	}
	return false
}

// ColocatedTasks returns how many tasks of the batch class run beside the service class, summed over all workers.
func (c *Cycle) ColocatedTasks(task *PendingTask, load *ClassLoad) int {
	service, batch := c.loadClassID(load), task.state.classID
	if task.Job.Kind == structs.KindService {
		service, batch = batch, service
	}
	counts, ok := c.colocated[batch]
	if !ok {
		counts = c.countColocated(batch)
	}
	return counts[service]
}

func (c *Cycle) countColocated(batch int) map[int]int {
	counts := map[int]int{}
	for i := range c.workers {
		loads := c.batchLoads(&c.workers[i])
		tasks := 0
		for k := range loads {
			if c.loadClassID(&loads[k]) == batch {
				tasks = loads[k].Tasks
			}
		}
		services := c.serviceLoads(&c.workers[i])
		for k := range services {
			if tasks > 0 {
				counts[c.loadClassID(&services[k])] += tasks
			}
		}
	}
	c.colocated[batch] = counts
	return counts
}
