package plugins

import (
	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Default weights of the scores. Spreading has the highest one, since a service without a replica in another failure
// domain is lost with its domain. A wrong interference estimate costs latency; a poor fit or a wasted accelerator
// costs throughput.
const (
	weightSpread       = 4
	weightInterference = 3
	weightReturned     = 1
	weightAccelerators = 2
	weightFit          = 1
)

// unknownSlowdown is the slowdown assumed for pairs without a known estimate, so that batch explores only where there
// is no better worker.
const unknownSlowdown = 1.5

func init() {
	scheduler.RegisterScore(spread{}, weightSpread)
	scheduler.RegisterScore(bestFit{}, weightFit)
	scheduler.RegisterScore(interferenceCost{}, weightInterference)
	scheduler.RegisterScore(acceleratorWaste{}, weightAccelerators)
	scheduler.RegisterScore(recentlyReturned{}, weightReturned)
}

// spread prefers failure domains, and then workers, with few tasks of the job. It applies to services and to batch
// jobs that ask for it.
type spread struct{}

func (spread) Name() string { return "spread" }

func (spread) Score(ctx *scheduler.Cycle, task *scheduler.PendingTask, w *scheduler.WorkerView) float64 {
	if task.Job.Kind != structs.KindService && !task.Job.SpreadDomains {
		return 0
	}
	here, all := ctx.DomainTasks(task, w)
	score := 1.0
	if all > 0 {
		score -= float64(here) / float64(all)
	}
	if ctx.JobTasks(task, w) > 0 {
		score -= 0.5
	}
	return score
}

// bestFit packs batch onto workers that have little capacity left afterwards, and places services on workers that keep
// much, so that they have room for load shifts.
type bestFit struct{}

func (bestFit) Name() string { return "best_fit" }

func (bestFit) Score(ctx *scheduler.Cycle, task *scheduler.PendingTask, w *scheduler.WorkerView) float64 {
	left := ctx.Free(w).Sub(task.Resources)
	freeFraction := (fraction(left.MilliCores, w.Capacity.MilliCores) + fraction(left.MemoryMB, w.Capacity.MemoryMB)) / 2
	if task.Job.Kind == structs.KindService {
		return freeFraction
	}
	return 1 - freeFraction
}

// interferenceCost prefers workers on which the task slows services down the least. The cost is the expected slowdown,
// weighted by the fraction of the worker that the batch class fills.
type interferenceCost struct{}

func (interferenceCost) Name() string { return "interference" }

func (interferenceCost) Score(ctx *scheduler.Cycle, task *scheduler.PendingTask, w *scheduler.WorkerView) float64 {
	if !ctx.HasInterferenceModel() {
		return 0
	}
	cost := 0.0
	loads := ctx.ColocatedLoads(task, w)
	for i := range loads {
		estimate := ctx.Estimate(task, &loads[i])
		cores := task.Resources.MilliCores
		if task.Job.Kind == structs.KindService {
			cores = loads[i].MilliCores
		}
		slowdown := estimate.Slowdown
		if !estimate.Known {
			slowdown = max(slowdown, unknownSlowdown)
		}
		cost += (slowdown - 1) * fraction(cores, w.Capacity.MilliCores)
	}
	return -min(cost, 1)
}

// acceleratorWaste keeps tasks that need no accelerator off workers with free accelerators.
type acceleratorWaste struct{}

func (acceleratorWaste) Name() string { return "accelerator_waste" }

func (acceleratorWaste) Score(ctx *scheduler.Cycle, task *scheduler.PendingTask, w *scheduler.WorkerView) float64 {
	if task.Resources.Accelerators > 0 || w.Capacity.Accelerators == 0 {
		return 0
	}
	return -fraction(ctx.Free(w).Accelerators, w.Capacity.Accelerators)
}

// recentlyReturned prefers workers that have been in service for some time over those whose failure domain has just
// returned.
type recentlyReturned struct{}

func (recentlyReturned) Name() string { return "recently_returned" }

func (recentlyReturned) Score(ctx *scheduler.Cycle, _ *scheduler.PendingTask, w *scheduler.WorkerView) float64 {
	return ctx.RampFraction(w) - 1
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
