package lifecycle

import (
	"maps"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// PendingTask is a task that waits for a place.
type PendingTask struct {
	Task     structs.TaskID
	Job      *structs.Job
	State    *Task
	Attempts int
}

// PendingTasks returns the tasks that wait for a place, in the order of jobs and indices.
func (m *Machine) PendingTasks() []PendingTask {
	var tasks []PendingTask
	for _, id := range m.state.JobIDs() {
		job := m.state.Jobs[id]
		if job.OpenTasks == 0 {
			continue
		}
		for index, task := range job.Tasks {
			if task.State == structs.TaskPending {
				tasks = append(tasks, PendingTask{Task: structs.TaskID{JobID: id, Index: index}, Job: &job.Spec, State: task})
			}
		}
	}
	return tasks
}

// Usable tells whether a worker takes new tasks: it reported under this epoch, lately, and isn't draining.
func (m *Machine) Usable(view *WorkerView, now time.Time) bool {
	return view.EpochConfirmed && !view.Draining && !view.Unusable && now.Sub(view.ReceivedAt) < m.settings.Lease
}

// HeldAllocation is an allocation that occupies a worker.
type HeldAllocation struct {
	Alloc    structs.Allocation
	State    structs.TaskState
	Progress float64
	// Ending is set when the agent is told to stop it.
	Ending bool
	// Superseded is set when it is no longer the current attempt of its task.
	Superseded bool
}

// HeldAllocations returns the allocations that occupy a worker: what it reported, and what it may be starting.
func (m *Machine) HeldAllocations(worker string) []HeldAllocation {
	held := map[string]HeldAllocation{}
	if view := m.workers[worker]; view != nil {
		for id, r := range view.Running {
			gone := m.attempts[id] == nil
			held[id] = HeldAllocation{
				Alloc: r.Allocation, State: r.State, Progress: r.Progress, Ending: gone, Superseded: gone,
			}
		}
	}
	for id, live := range m.attempts {
		if live.Alloc.Worker == worker {
			held[id] = HeldAllocation{
				Alloc: live.Alloc, State: live.State, Progress: live.Progress, Ending: live.Stop != nil,
			}
		}
	}
	list := make([]HeldAllocation, 0, len(held))
	for _, id := range slices.Sorted(maps.Keys(held)) {
		list = append(list, held[id])
	}
	return list
}

// Place records the start of a pending task with what the agent is to reserve for it. It returns false when the task is
// no longer pending.
func (m *Machine) Place(id structs.TaskID, worker string, reservation structs.Resources) bool {
	task := m.state.Task(id)
	if task == nil || task.State != structs.TaskPending {
		return false
	}
	lsn := m.propose(Event{
		Kind: EventStart, JobID: id.JobID, Index: id.Index, Attempt: task.Attempt + 1, Worker: worker,
	})
	if lsn == 0 {
		return false
	}
	alloc := m.allocation(m.state.Jobs[id.JobID], id, task)
	alloc.Resources = reservation
	m.attempts[alloc.ID] = &LiveAttempt{Alloc: alloc, State: structs.TaskStarting, Progress: task.Progress, lsn: lsn}
	m.counters.Starts++
	return true
}

// Replace starts a new replica of a service, under an index of its own, that is to replace an allocation.
func (m *Machine) Replace(old, worker string, reservation structs.Resources) bool {
	live := m.attempts[old]
	if live == nil {
		return false
	}
	id := live.Alloc.Task
	id.Index = len(m.state.Jobs[id.JobID].Tasks)
	if m.propose(Event{Kind: EventGrow, JobID: id.JobID, Index: id.Index, Replaces: old}) == 0 {
		return false
	}
	return m.Place(id, worker, reservation)
}

// Evict has an attempt leave its worker: batch with a checkpoint, a replica of a service for good.
func (m *Machine) Evict(allocationID, reason string, wall time.Time) {
	live := m.attempts[allocationID]
	if live == nil || live.Stop != nil {
		return
	}
	if live.Alloc.Kind != structs.KindService {
		live.Stop = &structs.TaskStop{AllocationID: allocationID, Checkpoint: true, Reason: reason}
		return
	}
	if task := m.state.Task(live.Alloc.Task); task != nil && task.Active() && task.Attempt == live.Alloc.Attempt {
		m.retire(live.Alloc.Task.JobID, replica{index: live.Alloc.Task.Index, task: task, live: live, reachable: true}, reason, wall)
	}
}

// SetVerdict records why a job can't run at all, if that is news. An empty reason withdraws the verdict.
func (m *Machine) SetVerdict(jobID, reason string) {
	if job := m.state.Jobs[jobID]; job != nil && job.Verdict != reason {
		m.propose(Event{Kind: EventVerdict, JobID: jobID, Reason: reason})
	}
}

// OpenTasks returns the number of tasks that have not ended.
func (m *Machine) OpenTasks() int {
	open := 0
	for _, job := range m.state.Jobs {
		open += job.OpenTasks
	}
	return open
}
