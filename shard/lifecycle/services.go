package lifecycle

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// replica is one unfinished task of a service.
type replica struct {
	index int
	task  *Task
	live  *LiveAttempt
	// reachable is false while heartbeats of its worker are overdue.
	reachable bool
	// replacing is set while the allocation that it replaces still runs. The replica doesn't count until that one
	// stops.
	replacing bool
}

// counted reports whether the replica counts towards the service's desired number.
func (r replica) counted() bool { return r.reachable && !r.replacing }

// countedAndRunning reports whether the replica counts and its task is running.
func (r replica) countedAndRunning() bool {
	return r.counted() && r.live != nil && r.live.State == structs.TaskRunning
}

// ReconcileServices adjusts the number of replicas of all services. The scheduler moves replicas out of failure domains
// and off draining workers.
func (m *Machine) ReconcileServices(now, wall time.Time) {
	for _, id := range m.state.JobIDs() {
		job := m.state.Jobs[id]
		if job.Spec.Kind == structs.KindService && !job.Cancelled {
			m.reconcileService(id, job, now, wall)
		}
	}
}

// WithdrawStarts ends attempts whose start was never sent and whose worker is draining or in a failure domain that is
// out of service.
func (m *Machine) WithdrawStarts(wall time.Time, outOfService func(domain string) bool) {
	for _, id := range slices.Sorted(maps.Keys(m.attempts)) {
		live := m.attempts[id]
		view := m.workers[live.Alloc.Worker]
		if live.ExpiresAt.IsZero() && view != nil && (view.Draining || outOfService(view.Worker.FailureDomain)) {
			m.endLostAttempt(live, "the start was withdrawn", wall)
		}
	}
}

func (m *Machine) replicas(id string, job *Job, now time.Time) []replica {
	var list []replica
	for index, task := range job.Tasks {
		if task.State.Terminal() {
			continue
		}
		r := replica{index: index, task: task, reachable: true}
		if old := m.attempts[task.Replaces]; old != nil && old.Stop == nil {
			r.replacing = true
		}
		if task.Active() {
			r.live = m.attempts[AllocationID(structs.TaskID{JobID: id, Index: index}, task.Attempt)]
			if r.live != nil {
				r.reachable = !m.unreachable(r.live, now)
			}
		}
		list = append(list, r)
	}
	return list
}

// unreachable reports whether heartbeats of an attempt's worker are overdue. After a change of ownership the worker
// gets the same time for its first heartbeat.
func (m *Machine) unreachable(live *LiveAttempt, now time.Time) bool {
	view := m.workers[live.Alloc.Worker]
	if view == nil {
		return now.Sub(m.startedAt) > m.settings.Lease+m.settings.Margin
	}
	return now.Sub(view.ReceivedAt) > m.settings.Lease+m.settings.Margin
}

// reconcileService adds missing replicas and stops surplus ones.
func (m *Machine) reconcileService(id string, job *Job, now, wall time.Time) {
	replicas := m.replicas(id, job, now)
	counted, running := 0, 0
	for _, r := range replicas {
		if r.counted() {
			counted++
		}
		if r.countedAndRunning() {
			running++
		}
	}
	for ; counted < job.Spec.Tasks; counted++ {
		if m.propose(Event{Kind: EventGrow, JobID: id, Index: len(job.Tasks)}) == 0 {
			break
		}
	}
	// No replica is stopped before the desired number is running.
	if running < job.Spec.Tasks {
		return
	}
	excess := counted - job.Spec.Tasks
	for _, r := range stopOrder(replicas) {
		if excess > 0 && r.counted() {
			m.retire(id, r, "the replica is superfluous", wall)
			excess--
		}
	}
}

// stopOrder sorts replicas in the order in which surplus ones are stopped: those that aren't running first, then the
// newest.
func stopOrder(replicas []replica) []replica {
	return slices.SortedFunc(slices.Values(replicas), func(a, b replica) int {
		if a.countedAndRunning() != b.countedAndRunning() {
			if a.countedAndRunning() {
				return 1
			}
			return -1
		}
		return cmp.Compare(b.index, a.index)
	})
}

// retire stops a replica. An unreachable one stays recorded until it returns or its lease expires.
func (m *Machine) retire(id string, r replica, reason string, wall time.Time) {
	if r.live == nil {
		m.propose(Event{Kind: EventRetire, JobID: id, Index: r.index, Attempt: r.task.Attempt, Reason: reason, UnixMilli: wall.UnixMilli()})
		return
	}
	if r.reachable && r.live.Stop == nil {
		r.live.Stop = &structs.TaskStop{AllocationID: r.live.Alloc.ID, Reason: reason}
		m.propose(Event{Kind: EventRetire, JobID: id, Index: r.index, Attempt: r.task.Attempt, Reason: reason, UnixMilli: wall.UnixMilli()})
	}
}
