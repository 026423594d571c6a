package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/shard/lifecycle"
	"github.com/quetzalshed/quetzalshed/structs"
)

// planInput builds the scheduler's input from the state of the shard. work is false if there is nothing to decide.
func (o *Owner) planInput(t *term, now time.Time) (input scheduler.Snapshot, work bool) {
	m := t.machine
	input.Rules, input.Quotas = o.fleet.PlacementRules()
	leaving := false
	specs := serviceSpecs{rules: o.fleet.OperatorRules(), restricted: map[string]*structs.Job{}}
	for _, name := range slices.Sorted(maps.Keys(m.Workers())) {
		view := m.Workers()[name]
		w := scheduler.WorkerView{
			Worker: qualifyRack(view.Worker), Reported: m.Usable(view, now), Draining: view.Draining,
			DrainingSince: view.DrainingSince,
		}
		if allowed, _ := o.fleet.MayStart(view.Worker.FailureDomain); !allowed {
			w.Reported = false
		}
		for _, h := range m.HeldAllocations(name) {
			running := runningTask(m, h)
			running.Job = specs.effectiveSpec(running.Job)
			w.Running = append(w.Running, running)
		}
		leaves := view.Draining || o.fleet.OutOfService(view.Worker.FailureDomain)
		leaving = leaving || (leaves && len(w.Running) > 0)
		w.Running = append(w.Running, upstreamTasks(view)...)
		input.Workers = append(input.Workers, w)
	}
	peaks := map[structs.TaskID]structs.Resources{}
	for _, p := range m.PendingTasks() {
		if reason := t.models.quarantine.JobFaultReason(p.Task.JobID); reason != "" {
			m.FailJob(p.Task.JobID, reason, now)
			continue
		}
		if p.State.PendingSince.IsZero() {
			p.State.PendingSince = now
		}
		task := pendingTask(p)
		task.Job = specs.effectiveSpec(task.Job)
		input.Pending = append(input.Pending, task)
		peaks[p.Task] = p.State.PeakUsage
	}
	t.models.prepareSnapshot(&input, specs.rules, peaks, now)
	return input, leaving || len(input.Pending) > 0
}

// serviceSpecs applies the operators' rules on services to job specifications. All tasks of a job share one
// specification.
type serviceSpecs struct {
	rules      config.Rules
	restricted map[string]*structs.Job
}

// effectiveSpec returns the job, or a copy that is restricted to the failure domains in the rules of its service.
// Failure domains in the job's own constraints take precedence.
func (s *serviceSpecs) effectiveSpec(job *structs.Job) *structs.Job {
	if job.Kind != structs.KindService || len(job.Constraints.FailureDomains) > 0 {
		return job
	}
	if known := s.restricted[job.ID]; known != nil {
		return known
	}
	result := job
	if service, _, ok := s.rules.Service(job.Name); ok && len(service.FailureDomains) > 0 {
		limited := *job
		limited.Constraints.FailureDomains = service.FailureDomains
		result = &limited
	}
	s.restricted[job.ID] = result
	return result
}

// upstreamTasks represents the upstreams on a worker's host as running tasks, so that batch placement takes them into
// account. They aren't allocations: they reserve no resources and the scheduler must not replace them, hence the state
// evicting.
func upstreamTasks(view *lifecycle.WorkerView) []scheduler.RunningTask {
	var list []scheduler.RunningTask
	for _, service := range view.Services {
		list = append(list, scheduler.RunningTask{
			AllocationID: "upstream/" + service.Service + "/" + view.Worker.Name, State: structs.TaskEvicting,
			Job: &structs.Job{ID: "upstream/" + service.Service, Kind: structs.KindService, Class: service.Service},
		})
	}
	return list
}

func pendingTask(p lifecycle.PendingTask) scheduler.PendingTask {
	return scheduler.PendingTask{
		Job: p.Job, Index: p.Task.Index, Attempt: p.State.Attempt + 1, NotBefore: p.State.NotBefore,
		Since:    p.State.PendingSince,
		WorkDone: workDone(p.Job, p.State.Progress), Avoid: p.State.Avoid,
	}
}

func runningTask(m *lifecycle.Machine, h lifecycle.HeldAllocation) scheduler.RunningTask {
	task := scheduler.RunningTask{
		AllocationID: h.Alloc.ID, Index: h.Alloc.Task.Index, Attempt: h.Alloc.Attempt, Resources: h.Alloc.Resources,
		State: h.State, Ready: h.State == structs.TaskRunning,
	}
	if h.Ending {
		task.State = structs.TaskEvicting
	}
	if h.Superseded {
		// It occupies its resources until the agent has stopped it, but must not prevent the next attempt of its task
		// from starting.
		task.Index = -1
	}
	if job := m.State().Jobs[h.Alloc.Task.JobID]; job != nil {
		task.Job = &job.Spec
	} else {
		// The job has been removed; the allocation is being stopped and still occupies its resources.
		task.State = structs.TaskEvicting
		task.Job = &structs.Job{
			ID: h.Alloc.Task.JobID, Kind: h.Alloc.Kind, Class: h.Alloc.Class, Resources: h.Alloc.Resources,
		}
	}
	task.WorkDone = workDone(task.Job, h.Progress)
	if state := m.State().Task(h.Alloc.Task); state != nil && m.LiveAttempts()[state.Replaces] != nil {
		task.Replaces = state.Replaces
	}
	return task
}

// workDone converts progress to run time, based on the declared run time of the job.
func workDone(job *structs.Job, progress float64) time.Duration {
	return time.Duration(progress * job.ExpectedSeconds * float64(time.Second))
}

// applyDecisions applies the scheduler's decisions to the machine.
func applyDecisions(t *term, input scheduler.Snapshot, d scheduler.Decisions, now time.Time) {
	m := t.machine
	reasons := map[string]string{}
	for _, v := range d.Unschedulable {
		reasons[v.JobID] = v.Reason
	}
	for i := range input.Pending {
		// A job without a verdict can run again, for instance after a change of the inventory.
		id := input.Pending[i].Job.ID
		m.SetVerdict(id, reasons[id])
	}
	for _, e := range d.Evict {
		m.Evict(e.AllocationID, string(e.Reason), now)
	}
	for _, p := range d.Place {
		placed := false
		if p.Replaces != "" {
			placed = m.Replace(p.Replaces, p.Worker, p.Resources)
		} else {
			placed = m.Place(p.Task, p.Worker, p.Resources)
		}
		if placed {
			t.models.recordPlacement(p.Worker, now)
		}
	}
}

// qualifyRack prefixes the rack of a worker with its failure domain, as rules and accepted jobs do.
func qualifyRack(w structs.Worker) structs.Worker {
	w.Rack = w.FailureDomain + "/" + w.Rack
	return w
}
