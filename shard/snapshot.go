package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/shard/lifecycle"
	"github.com/quetzalshed/quetzalshed/structs"
)

// planInput describes the shard to the scheduler. work is false when there is nothing to decide.
func (o *Owner) planInput(m *lifecycle.Machine, now time.Time) (input scheduler.Snapshot, work bool) {
	input.Rules, input.Quotas = o.settled.Rules()
	leaving := false
	replaced := map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(m.Workers())) {
		view := m.Workers()[name]
		w := scheduler.WorkerView{
			Worker: qualified(view.Worker), Reported: m.Usable(view, now), Draining: view.Draining, DrainingSince: view.DrainingSince,
		}
		if allowed, _ := o.settled.MayStart(view.Worker.FailureDomain); !allowed {
			w.Reported = false
		}
		leaves := m.Leaving(name, o.settled.Out)
		for _, h := range m.Held(name) {
			running := runningTask(m, h)
			if leaves && running.Job.Kind == structs.KindService && !running.Evicting() {
				replaced[running.Job.ID] = append(replaced[running.Job.ID], running.AllocationID)
				// The machine stops the replica once enough others run, so the scheduler leaves it alone.
				running.State = structs.TaskEvicting
			}
			w.Running = append(w.Running, running)
		}
		leaving = leaving || (leaves && len(w.Running) > 0)
		w.Running = append(w.Running, upstreams(view)...)
		input.Workers = append(input.Workers, w)
	}
	for _, p := range m.PendingTasks() {
		input.Pending = append(input.Pending, pendingTask(p, replaced))
	}
	return input, leaving || len(input.Pending) > 0
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

func pendingTask(p lifecycle.Pending, replaced map[string][]string) scheduler.PendingTask {
	task := scheduler.PendingTask{
		Job: p.Job, Index: p.Task.Index, Attempt: p.State.Attempt + 1, NotBefore: p.State.NotBefore,
		WorkDone: workDone(p.Job, p.State.Progress), Avoid: p.State.Avoid,
	}
	// A substitute may exceed the quota of its team for as long as the replica that it replaces still runs.
	if old := replaced[p.Job.ID]; len(old) > 0 {
		task.Replaces = old[0]
		replaced[p.Job.ID] = old[1:]
	}
	return task
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
	return task
}

// workDone is the run time that a progress stands for, by the declared run time of the job.
func workDone(job *structs.Job, progress float64) time.Duration {
	return time.Duration(progress * job.ExpectedSeconds * float64(time.Second))
}

// apply records what the scheduler decided.
func apply(m *lifecycle.Machine, input scheduler.Snapshot, d scheduler.Decisions) {
	reasons := map[string]string{}
	for _, v := range d.Verdicts {
		reasons[v.JobID] = v.Reason
	}
	for i := range input.Pending {
		// A job that has no verdict any more can run again, as after a change of the inventory.
		id := input.Pending[i].Job.ID
		m.Verdict(id, reasons[id])
	}
	for _, e := range d.Evict {
		m.Evict(e.AllocationID, string(e.Reason))
	}
	for _, p := range d.Place {
		m.Place(p.Task, p.Worker, p.Resources)
		m.Verdict(p.Task.JobID, "")
	}
}

// qualified names the rack of a worker together with its failure domain, as the rules and accepted jobs do.
func qualified(w structs.Worker) structs.Worker {
	w.Rack = w.FailureDomain + "/" + w.Rack
	return w
}
