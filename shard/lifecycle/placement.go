package lifecycle

import (
	"maps"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// PendingTask is a task that waits for placement.
type PendingTask struct {
	Task  structs.TaskID
	Job   *structs.Job
	State *Task
}

// PendingTasks returns the tasks that wait for placement, ordered by job ID and index.
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

// Usable reports whether a worker accepts new tasks: it reported recently under this epoch, responds to its agent and
// isn't draining.
func (m *Machine) Usable(view *WorkerView, now time.Time) bool {
	return view.EpochConfirmed && !view.Draining && !view.Unusable && now.Sub(view.ReceivedAt) < m.settings.Lease
}

// HeldAllocation is an allocation that occupies resources of a worker.
type HeldAllocation struct {
	Alloc    structs.Allocation
	State    structs.TaskState
	Progress float64
	// Ending is set when the agent is requested to stop the allocation.
	Ending bool
	// Superseded is set when the allocation is no longer the current attempt of its task.
	Superseded bool
}

// HeldAllocations returns the allocations that occupy a worker: those that it reported and those that it may be
// starting.
func (m *Machine) HeldAllocations(worker string) []HeldAllocation {
	held := map[string]HeldAllocation{}
	if view := m.workers[worker]; view != nil {
		for id, r := range view.Running {
			superseded := m.attempts[id] == nil
			held[id] = HeldAllocation{
				Alloc: r.Allocation, State: r.State, Progress: r.Progress, Ending: superseded, Superseded: superseded,
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

// Place records the start of a pending task with the resources that the agent is to reserve. It returns false if the
// task is no longer pending.
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
	alloc := m.newAllocation(m.state.Jobs[id.JobID], id, task)
	alloc.Resources = reservation
	m.attempts[alloc.ID] = &LiveAttempt{Alloc: alloc, State: structs.TaskStarting, Progress: task.Progress, lsn: lsn}
	m.counters.Starts++
	return true
}

// Replace starts a new replica of a service, under a new index, that replaces an allocation.
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

// Evict requests an attempt to leave its worker: a batch attempt with a checkpoint, a service replica permanently.
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

// SetVerdict records why a job can't run at all, if the reason has changed. An empty reason clears the verdict.
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
