package lifecycle

import (
	"maps"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker"
)

// queryAnswerTimeout is how long an attempt waits for the next status answer of a worker that has answered before.
// Queries are repeated each second and time out after one second.
const queryAnswerTimeout = 3 * time.Second

// WorkersToQuery returns, in sorted order, the workers with batch attempts that their agents have not reported for a
// lease. A task may have ended on the worker after its agent's last heartbeat. Without the query, a finished task would
// run again, and a stopped one would wait until every lease that a former owner could have renewed has expired.
func (m *Machine) WorkersToQuery(now time.Time) []string {
	names := map[string]bool{}
	for _, live := range m.attempts {
		if m.unreported(live, now) {
			names[live.Alloc.Worker] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// unreported reports whether an attempt is a batch attempt whose worker has sent no heartbeat for a lease.
func (m *Machine) unreported(live *LiveAttempt, now time.Time) bool {
	if live.Alloc.Kind != structs.KindBatch || live.ExpiresAt.IsZero() {
		return false
	}
	lastHeard := m.startedAt
	if view := m.workers[live.Alloc.Worker]; view != nil {
		lastHeard = view.ReceivedAt
	}
	return now.Sub(lastHeard) >= m.settings.Lease
}

// awaitsAnswer reports whether an attempt must not be ended yet, because its worker has answered recently and can be
// queried for the final state.
func (m *Machine) awaitsAnswer(live *LiveAttempt, now time.Time) bool {
	return !live.workerAnsweredAt.IsZero() && now.Sub(live.workerAnsweredAt) < queryAnswerTimeout
}

// ApplyWorkerStatus applies the task states that a worker reported itself; queriedAt is when the query was sent. A task
// that has ended on the worker never runs there again, so its end applies immediately. Any other state is final only
// once the lease has expired, since the agent may be alive; after that, the task continues on another worker from the
// checkpoint that this one reported.
func (m *Machine) ApplyWorkerStatus(name string, statuses []worker.TaskStatus, queriedAt, now, wall time.Time) {
	known := map[string]worker.TaskStatus{}
	for _, status := range statuses {
		known[status.ID] = status
	}
	for _, id := range slices.Sorted(maps.Keys(m.attempts)) {
		live := m.attempts[id]
		if live.Alloc.Worker != name || !m.unreported(live, queriedAt) || !m.unreported(live, now) {
			continue
		}
		m.applyTaskStatus(live, known[id], queriedAt, now, wall)
	}
}

func (m *Machine) applyTaskStatus(live *LiveAttempt, status worker.TaskStatus, queriedAt, now, wall time.Time) {
	live.workerAnsweredAt = now
	leaseExpired := queriedAt.After(live.ExpiresAt)
	switch {
	case status.Phase == worker.PhaseFinished:
		m.applyWorkerResult(live, status, structs.TaskFinished, "", now, wall)
	case status.Phase == worker.PhaseFailed:
		m.applyWorkerResult(live, status, structs.TaskFailed, status.Reason, now, wall)
	case status.Phase == worker.PhaseRunning && leaseExpired:
		// The worker's own lease on the task is still valid, so the attempt must be kept until that expires.
		live.ExpiresAt = now.Add(m.settings.Margin)
	case status.Phase == worker.PhaseStopped:
		m.applyWorkerResult(live, status, structs.TaskPending, "stopped by the worker: "+status.Reason, now, wall)
	case leaseExpired:
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
