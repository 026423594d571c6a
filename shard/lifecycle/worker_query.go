package lifecycle

import (
	"maps"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker"
)

// queryAnswerTimeout is how long an attempt whose worker has answered an inquiry waits for the next answer. An inquiry is
// repeated each second and times out after one.
const queryAnswerTimeout = 3 * time.Second

// WorkersToQuery returns the workers to ask, in order, for batch attempts that their agents have not reported for a lease. A
// task may have ended on the worker after its agent was last heard. Without the question a finished one would run again,
// and one that the worker has stopped would wait for the end of every lease that a former owner could have renewed.
func (m *Machine) WorkersToQuery(now time.Time) []string {
	names := map[string]bool{}
	for _, live := range m.attempts {
		if m.unreported(live, now) {
			names[live.Alloc.Worker] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// unreported tells whether nothing has been heard of a batch attempt for a lease.
func (m *Machine) unreported(live *LiveAttempt, now time.Time) bool {
	if live.Alloc.Kind != structs.KindBatch || live.ExpiresAt.IsZero() {
		return false
	}
	heard := m.startedAt
	if view := m.workers[live.Alloc.Worker]; view != nil {
		heard = view.ReceivedAt
	}
	return now.Sub(heard) >= m.settings.Lease
}

// awaitsAnswer tells whether an attempt must not be given up yet, because its worker has answered lately and can be asked
// for the final state.
func (m *Machine) awaitsAnswer(live *LiveAttempt, now time.Time) bool {
	return !live.workerAnsweredAt.IsZero() && now.Sub(live.workerAnsweredAt) < queryAnswerTimeout
}

// ApplyWorkerStatus takes what a worker says of its tasks; asked is when the inquiry was sent. A task that has ended on the worker
// never runs there again, so that its end counts at once. Anything else is final only once the lease has run out, since
// the agent may be alive: then the attempt continues elsewhere from the worker's checkpoint.
func (m *Machine) ApplyWorkerStatus(name string, statuses []worker.TaskStatus, asked, now, wall time.Time) {
	known := map[string]worker.TaskStatus{}
	for _, status := range statuses {
		known[status.ID] = status
	}
	for _, id := range slices.Sorted(maps.Keys(m.attempts)) {
		live := m.attempts[id]
		if live.Alloc.Worker != name || !m.unreported(live, asked) || !m.unreported(live, now) {
			continue
		}
		m.applyTaskStatus(live, known[id], asked, now, wall)
	}
}

func (m *Machine) applyTaskStatus(live *LiveAttempt, status worker.TaskStatus, asked, now, wall time.Time) {
	live.workerAnsweredAt = now
	over := asked.After(live.ExpiresAt)
	switch {
	case status.Phase == worker.PhaseFinished:
		m.applyWorkerResult(live, status, structs.TaskFinished, "", now, wall)
	case status.Phase == worker.PhaseFailed:
		m.applyWorkerResult(live, status, structs.TaskFailed, status.Reason, now, wall)
	case status.Phase == worker.PhaseRunning && over:
		// The worker's own lease has not run out, so the attempt can't be given up before that.
		live.ExpiresAt = now.Add(m.settings.Margin)
	case status.Phase == worker.PhaseStopped:
		m.applyWorkerResult(live, status, structs.TaskPending, "stopped by the worker: "+status.Reason, now, wall)
	case over:
		m.applyWorkerResult(live, status, structs.TaskPending, "the agent is silent and the task doesn't run on the worker", now, wall)
	}
}

func (m *Machine) applyWorkerResult(live *LiveAttempt, status worker.TaskStatus, state structs.TaskState, reason string, now, wall time.Time) {
	m.counters.WorkerResults++
	m.applyResult(structs.TaskResult{
		AllocationID: live.Alloc.ID, Task: live.Alloc.Task, Attempt: live.Alloc.Attempt, State: state,
		CheckpointID: status.CheckpointID, Progress: status.Progress, Reason: reason,
	}, live.Alloc.Worker, now, wall)
}
