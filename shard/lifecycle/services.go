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
	// reachable is false while nothing is heard of its worker.
	reachable bool
	// replacing is set while the replica that it is to replace still runs; it doesn't count then.
	replacing bool
}

// counted tells whether the replica counts towards the number that the service wants.
func (r replica) counted() bool { return r.reachable && !r.replacing }

// countedAndRunning tells whether the replica counts and serves.
func (r replica) countedAndRunning() bool {
	return r.counted() && r.live != nil && r.live.State == structs.TaskRunning
}

// ReconcileServices keeps the number of replicas of services. Moving them out of failure domains and off draining workers is up
// to the scheduler.
func (m *Machine) ReconcileServices(now, wall time.Time) {
	for _, id := range m.state.JobIDs() {
		job := m.state.Jobs[id]
		if job.Spec.Kind == structs.KindService && !job.Cancelled {
			m.reconcileService(id, job, now, wall)
		}
	}
}

// WithdrawStarts ends starts that were never sent to workers which are to be left.
func (m *Machine) WithdrawStarts(wall time.Time, out func(domain string) bool) {
	for _, id := range slices.Sorted(maps.Keys(m.attempts)) {
		live := m.attempts[id]
		view := m.workers[live.Alloc.Worker]
		if live.ExpiresAt.IsZero() && view != nil && (view.Draining || out(view.Worker.FailureDomain)) {
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

// unreachable tells whether a replica is on a worker that has been silent. After a change of ownership the worker gets
// the same time to report.
func (m *Machine) unreachable(live *LiveAttempt, now time.Time) bool {
	view := m.workers[live.Alloc.Worker]
	if view == nil {
		return now.Sub(m.startedAt) > m.settings.Lease+m.settings.Margin
	}
	return now.Sub(view.ReceivedAt) > m.settings.Lease+m.settings.Margin
}

// reconcileService adds replicas that are missing and stops those that are superfluous.
func (m *Machine) reconcileService(id string, job *Job, now, wall time.Time) {
	replicas := m.replicas(id, job, now)
	good, running := 0, 0
	for _, r := range replicas {
		if r.counted() {
			good++
		}
		if r.countedAndRunning() {
			running++
		}
	}
	for ; good < job.Spec.Tasks; good++ {
		if m.propose(Event{Kind: EventGrow, JobID: id, Index: len(job.Tasks)}) == 0 {
			break
		}
	}
	// Nothing is stopped before the full number runs.
	if running < job.Spec.Tasks {
		return
	}
	excess := good - job.Spec.Tasks
	for _, r := range stopOrder(replicas) {
		if excess > 0 && r.counted() {
			m.retire(id, r, "the replica is superfluous", wall)
			excess--
		}
	}
}

// stopOrder sorts replicas so that those that are least worth keeping come first: not running, then the newest.
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

// retire stops a replica. One that can't be reached stays recorded until it returns or its lease runs out.
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
