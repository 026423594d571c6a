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

// planInput describes the shard to the scheduler. work is false when there is nothing to decide.
func (o *Owner) planInput(t *term, now time.Time) (input scheduler.Snapshot, work bool) {
	m := t.machine
	input.Rules, input.Quotas = o.settled.Rules()
	leaving := false
	specs := specifications{rules: o.settled.Policy(), restricted: map[string]*structs.Job{}}
	for _, name := range slices.Sorted(maps.Keys(m.Workers())) {
		view := m.Workers()[name]
		w := scheduler.WorkerView{
			Worker: qualified(view.Worker), Reported: m.Usable(view, now), Draining: view.Draining,
			DrainingSince: view.DrainingSince,
		}
		if allowed, _ := o.settled.MayStart(view.Worker.FailureDomain); !allowed {
			w.Reported = false
		}
		for _, h := range m.Held(name) {
			running := runningTask(m, h)
			running.Job = specs.of(running.Job)
			w.Running = append(w.Running, running)
		}
		leaves := view.Draining || o.settled.Out(view.Worker.FailureDomain)
		leaving = leaving || (leaves && len(w.Running) > 0)
		w.Running = append(w.Running, upstreams(view)...)
		input.Workers = append(input.Workers, w)
	}
	peaks := map[structs.TaskID]structs.Resources{}
	for _, p := range m.PendingTasks() {
		if reason := t.learned.quarantine.JobFaultReason(p.Task.JobID); reason != "" {
			m.FailJob(p.Task.JobID, reason, now)
			continue
		}
		if p.State.Since.IsZero() {
			p.State.Since = now
		}
		task := pendingTask(p)
		task.Job = specs.of(task.Job)
		input.Pending = append(input.Pending, task)
		peaks[p.Task] = p.State.Peak
	}
	t.learned.prepare(&input, specs.rules, peaks, now)
	return input, leaving || len(input.Pending) > 0
}

// specifications adds what the rules say of services to their jobs. All tasks of a job share one specification.
type specifications struct {
	rules      config.Rules
	restricted map[string]*structs.Job
}

// of returns the job, or a copy that is restricted to the failure domains of the service's rules. Constraints of the job
// itself come first.
func (s *specifications) of(job *structs.Job) *structs.Job {
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

// upstreams describes the upstreams beside a worker, so that batch is placed with regard to them. They are no
// allocations: they hold nothing here and the scheduler must not replace them, hence the state.
func upstreams(view *lifecycle.View) []scheduler.RunningTask {
	var list []scheduler.RunningTask
	for _, service := range view.Services {
		list = append(list, scheduler.RunningTask{
			AllocationID: "upstream/" + service.Service + "/" + view.Worker.Name, State: structs.TaskEvicting,
			Job: &structs.Job{ID: "upstream/" + service.Service, Kind: structs.KindService, Class: service.Service},
		})
	}
	return list
}

func pendingTask(p lifecycle.Pending) scheduler.PendingTask {
	return scheduler.PendingTask{
		Job: p.Job, Index: p.Task.Index, Attempt: p.State.Attempt + 1, NotBefore: p.State.NotBefore,
		Since:    p.State.Since,
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
		// It holds its room until the agent has stopped it, but must not keep the next attempt of its task from starting.
		task.Index = -1
	}
	if job := m.State().Jobs[h.Alloc.Task.JobID]; job != nil {
		task.Job = &job.Spec
	} else {
		// The job has been forgotten; the allocation is being stopped and still holds its room.
		task.State = structs.TaskEvicting
		task.Job = &structs.Job{
			ID: h.Alloc.Task.JobID, Kind: h.Alloc.Kind, Class: h.Alloc.Class, Resources: h.Alloc.Resources,
		}
	}
	task.WorkDone = workDone(task.Job, h.Progress)
	if state := m.State().Task(h.Alloc.Task); state != nil && m.Live()[state.Replaces] != nil {
		task.Replaces = state.Replaces
	}
	return task
}

// workDone is the run time that a progress stands for, by the declared run time of the job.
func workDone(job *structs.Job, progress float64) time.Duration {
	return time.Duration(progress * job.ExpectedSeconds * float64(time.Second))
}

// apply records what the scheduler decided.
func apply(t *term, input scheduler.Snapshot, d scheduler.Decisions, now time.Time) {
	m := t.machine
	reasons := map[string]string{}
	for _, v := range d.Unschedulable {
		reasons[v.JobID] = v.Reason
	}
	for i := range input.Pending {
		// A job that has no verdict any more can run again, as after a change of the inventory.
		id := input.Pending[i].Job.ID
		m.Verdict(id, reasons[id])
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
			t.learned.placed(p.Worker, now)
		}
	}
}

// qualified names the rack of a worker together with its failure domain, as the rules and accepted jobs do.
func qualified(w structs.Worker) structs.Worker {
	w.Rack = w.FailureDomain + "/" + w.Rack
	return w
}
