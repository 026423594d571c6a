// Package plugins holds the standard Filter and Score plug-ins of the scheduler. Importing it registers all of them.
package plugins

import (
	"slices"

	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/scheduler/interference"
	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/structs"
)

// The reasons of the filters.
const (
	ReasonCapacity     scheduler.Reason = "not enough free processors, memory or accelerators"
	ReasonEvacuating   scheduler.Reason = "failure domain is out of service or worker drains"
	ReasonDomain       scheduler.Reason = "job is constrained to other failure domains"
	ReasonRack         scheduler.Reason = "job is constrained to other racks"
	ReasonAccelerator  scheduler.Reason = "job needs another kind of accelerator"
	ReasonNoBatch      scheduler.Reason = "rack takes no batch"
	ReasonQuarantined  scheduler.Reason = "worker is quarantined"
	ReasonInterference scheduler.Reason = "batch class would slow a service down"
	ReasonExploration  scheduler.Reason = "interference of the batch class is being explored elsewhere"
	ReasonSpread       scheduler.Reason = "service must spread to another failure domain"
	ReasonReturnRamp   scheduler.Reason = "worker returned recently and fills slowly"
)

func init() {
	scheduler.RegisterFilter(capacity{})
	scheduler.RegisterFilter(evacuating{})
	scheduler.RegisterFilter(constraints{})
	scheduler.RegisterFilter(racksWithoutBatch{})
	scheduler.RegisterFilter(quarantined{})
	scheduler.RegisterFilter(interferenceLimit{})
	scheduler.RegisterFilter(spreadDomains{})
	scheduler.RegisterFilter(returnRamp{})
}

// capacity rejects workers without enough free processors, memory and accelerators.
type capacity struct{}

func (capacity) Name() string { return "capacity" }

func (capacity) Filter(ctx *scheduler.Cycle, task *scheduler.PendingTask, w *scheduler.WorkerView) scheduler.Reason {
	if !task.Resources.Fits(ctx.Free(w)) {
		return ReasonCapacity
	}
	return ""
}

// evacuating rejects draining workers and workers in failure domains that are out of service.
type evacuating struct{}

func (evacuating) Name() string { return "failure_domain" }

func (evacuating) Filter(ctx *scheduler.Cycle, _ *scheduler.PendingTask, w *scheduler.WorkerView) scheduler.Reason {
	if ctx.Evacuating(w) {
		return ReasonEvacuating
	}
	return ""
}

// constraints rejects workers that don't match the failure domains, racks or accelerator kind that the job requires.
type constraints struct{}

func (constraints) Name() string { return "constraints" }

func (constraints) Filter(_ *scheduler.Cycle, task *scheduler.PendingTask, w *scheduler.WorkerView) scheduler.Reason {
	con := &task.Job.Constraints
	switch {
	case len(con.FailureDomains) > 0 && !slices.Contains(con.FailureDomains, w.FailureDomain):
		return ReasonDomain
	case len(con.Racks) > 0 && !slices.Contains(con.Racks, w.Rack):
		return ReasonRack
	case con.AcceleratorKind != "" && con.AcceleratorKind != w.AcceleratorKind:
		return ReasonAccelerator
	}
	return ""
}

// spreadDomains rejects workers in failure domains that have a replica of the service, as long as the service must
// spread to more domains.
type spreadDomains struct{}

func (spreadDomains) Name() string { return "spread_domains" }

func (spreadDomains) Filter(ctx *scheduler.Cycle, task *scheduler.PendingTask, w *scheduler.WorkerView) scheduler.Reason {
	if ctx.ViolatesSpread(task, w) {
		return ReasonSpread
	}
	return ""
}

// racksWithoutBatch rejects batch tasks on workers whose rack runs services only.
type racksWithoutBatch struct{}

func (racksWithoutBatch) Name() string { return "racks_without_batch" }

func (racksWithoutBatch) Filter(ctx *scheduler.Cycle, task *scheduler.PendingTask, w *scheduler.WorkerView) scheduler.Reason {
	if task.Job.Kind == structs.KindBatch && ctx.Rules.RacksWithoutBatch[w.Rack] {
		return ReasonNoBatch
	}
	return ""
}

// quarantined rejects workers on which tasks keep failing. A worker on probation takes one batch task that is not
// urgent.
type quarantined struct{}

func (quarantined) Name() string { return "quarantine" }

func (quarantined) Filter(ctx *scheduler.Cycle, task *scheduler.PendingTask, w *scheduler.WorkerView) scheduler.Reason {
	switch ctx.Admission(w) {
	case quarantine.AdmitAll:
		return ""
	case quarantine.AdmitProbe:
		if task.Job.Kind == structs.KindBatch && !task.Job.Urgent && ctx.PlacedCount(w) == 0 {
			return ""
		}
	}
	return ReasonQuarantined
}

// interferenceLimit keeps a batch class off workers with a service class that it would slow down too much, alone or
// together with the batch tasks there. It also limits how many tasks of a class run beside a service class while their
// interference is unknown.
type interferenceLimit struct{}

func (interferenceLimit) Name() string { return "interference" }

func (interferenceLimit) Filter(ctx *scheduler.Cycle, task *scheduler.PendingTask, w *scheduler.WorkerView) scheduler.Reason {
	if !ctx.HasInterferenceModel() {
		return ""
	}
	loads := ctx.ColocatedLoads(task, w)
	for i := range loads {
		estimate := ctx.Estimate(task, &loads[i])
		// A class that never runs beside the service yields no samples, so an estimate that is too high would never be
		// corrected. A few tasks are therefore admitted; the guard protects the service from them.
		mayExplore := task.Job.Kind == structs.KindBatch && ctx.ColocatedTasks(task, &loads[i]) < ctx.Rules.ExplorationTasks
		switch {
		case estimate.Blocked:
			return ReasonInterference
		case estimate.Known && !(estimate.Stale && mayExplore) && exceedsLimit(ctx, task, w, &loads[i], estimate):
			return ReasonInterference
		case !estimate.Known && task.Job.Kind == structs.KindBatch && (!mayExplore || ctx.HasOtherUnknownClass(task, w, &loads[i])):
			// The effects of two unknown classes on one worker can't be told apart: the harmless one would be blamed
			// as well, and the guard would throttle both, so neither would become known.
			return ReasonExploration
		}
	}
	return ""
}

// exceedsLimit reports whether the service of a pair would be slowed down beyond the limit. The limit is the one of
// the estimate or the one of the rules, whichever is higher.
func exceedsLimit(ctx *scheduler.Cycle, task *scheduler.PendingTask, w *scheduler.WorkerView, load *scheduler.ClassLoad,
	estimate interference.Estimate,
) bool {
	limit := max(ctx.Rules.InterferenceLimit, estimate.Limit)
	if task.Job.Kind == structs.KindService {
		return ctx.Slowdown(task, w, nil) > limit
	}
	added := (estimate.Slowdown - 1) * fraction(task.Resources.MilliCores, w.Capacity.MilliCores)
	return added > 0 && ctx.Slowdown(task, w, load)+added > limit
}

// returnRamp limits how much batch a worker takes after its failure domain returned, so that the returned workers
// don't all start and restore a full load at once. An empty worker can always take one task.
type returnRamp struct{}

func (returnRamp) Name() string { return "return_ramp" }

func (returnRamp) Filter(ctx *scheduler.Cycle, task *scheduler.PendingTask, w *scheduler.WorkerView) scheduler.Reason {
	ramp := ctx.RampFraction(w)
	if ramp >= 1 || task.Job.Kind == structs.KindService || task.Job.Urgent {
		return ""
	}
	used := w.Capacity.MilliCores - ctx.Free(w).MilliCores
	if used > 0 && float64(used+task.Resources.MilliCores) > ramp*float64(w.Capacity.MilliCores) {
		return ReasonReturnRamp
	}
	return ""
}
