package scheduler

import "github.com/quetzalshed/quetzalshed/structs"

// ClassLoad is the load of the service replicas, or of the batch tasks, of one class on a worker.
type ClassLoad struct {
	Class      string
	Tasks      int
	MilliCores int64

	// classID is the ID of the class in this cycle, or unassignedClassID.
	classID int
	// slowdown caches Cycle.Slowdown of a service class; 0 means not computed.
	slowdown float64
}

// unassignedClassID marks a load whose class has no ID yet.
const unassignedClassID = -1

// serviceLoads returns the services on a worker by class. Service and batch loads are each computed on first use: a
// batch task is rated by the services beside it only, and most tasks are batch.
func (c *Cycle) serviceLoads(w *WorkerView) []ClassLoad {
	s := w.cycle
	if !s.serviceLoadsValid {
		s.serviceLoadsValid = true
		s.computeLoads(w, structs.KindService)
	}
	return s.serviceLoads
}

// batchLoads returns the batch tasks on a worker by class.
func (c *Cycle) batchLoads(w *WorkerView) []ClassLoad {
	s := w.cycle
	if !s.batchLoadsValid {
		s.batchLoadsValid = true
		s.computeLoads(w, structs.KindBatch)
	}
	return s.batchLoads
}

func (s *workerState) computeLoads(w *WorkerView, kind structs.JobKind) {
	for i := range w.Running {
		if t := &w.Running[i]; t.Job.Kind == kind {
			s.addLoad(t.Job, t.Resources)
		}
	}
	for _, task := range s.placed {
		if task.Job.Kind == kind {
			s.addLoad(task.Job, task.Resources)
		}
	}
}

// addLoad adds one task to the loads of its kind, if these have been computed.
func (s *workerState) addLoad(job *structs.Job, r structs.Resources) {
	loads, loaded := &s.serviceLoads, s.serviceLoadsValid
	if job.Kind == structs.KindBatch {
		loads, loaded = &s.batchLoads, s.batchLoadsValid
		for i := range s.serviceLoads {
			s.serviceLoads[i].slowdown = 0
		}
	}
	if !loaded {
		return
	}
	for i := range *loads {
		if load := &(*loads)[i]; load.Class == job.Class {
			load.Tasks++
			load.MilliCores += r.MilliCores
			return
		}
	}
	*loads = append(*loads, ClassLoad{Class: job.Class, Tasks: 1, MilliCores: r.MilliCores, classID: unassignedClassID})
}

func (c *Cycle) loadClassID(load *ClassLoad) int {
	if load.classID == unassignedClassID {
		load.classID = c.classID(load.Class)
	}
	return load.classID
}

func (c *Cycle) classID(class string) int {
	if id, ok := c.classes[class]; ok {
		return id
	}
	id := len(c.classes)
	c.classes[class] = id
	return id
}
