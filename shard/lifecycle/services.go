package lifecycle

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// replica is one unfinished task of a service.
type replica struct {
	index int
	task  *Task
	live  *Live
	// reachable is false while nothing is heard of its worker.
	reachable bool
	// leaving is set when its worker is draining or its failure domain is out of service.
	leaving bool
}

// good tells whether the replica counts towards the number that the service wants.
func (r replica) good() bool { return r.reachable && !r.leaving }

// running tells whether the replica serves at a place where it may stay.
func (r replica) running() bool {
	return r.good() && r.live != nil && r.live.State == structs.TaskRunning
}

// Reconcile keeps the number of replicas of services, wherever they may stay. Batch leaves by evictions of the scheduler.
func (m *Machine) Reconcile(now, wall time.Time, out func(domain string) bool) {
	for _, id := range m.state.JobIDs() {
		job := m.state.Jobs[id]
		if job.Spec.Kind == structs.KindService && !job.Cancelled {
			m.reconcileService(id, job, now, wall, out)
		}
	}
}

// Leaving tells whether a worker is to be left by its tasks.
func (m *Machine) Leaving(worker string, out func(domain string) bool) bool {
	view := m.workers[worker]
	return view != nil && (view.Draining || out(view.Worker.FailureDomain))
}

func (m *Machine) replicas(id string, job *Job, now time.Time, out func(domain string) bool) []replica {
	var list []replica
	for index, task := range job.Tasks {
		if task.State.Terminal() {
			continue
		}
		r := replica{index: index, task: task, reachable: true}
		if task.Active() {
			r.live = m.live[AllocationID(structs.TaskID{JobID: id, Index: index}, task.Attempt)]
			if r.live != nil {
				r.reachable = !m.unreachable(r.live, now)
				r.leaving = m.Leaving(r.live.Alloc.Worker, out)
			}
		}
		list = append(list, r)
	}
	return list
}

// unreachable tells whether a replica is on a worker that has been silent. After a change of ownership the worker gets
// the same time to report.
func (m *Machine) unreachable(live *Live, now time.Time) bool {
	view := m.workers[live.Alloc.Worker]
	if view == nil {
		return now.Sub(m.began) > m.settings.Lease+m.settings.Margin
	}
	return now.Sub(view.Received) > m.settings.Lease+m.settings.Margin
}

// reconcileService adds replicas that are missing and stops those that are superfluous.
func (m *Machine) reconcileService(id string, job *Job, now, wall time.Time, out func(domain string) bool) {
	replicas := m.replicas(id, job, now, out)
	good, running := 0, 0
	for _, r := range replicas {
		if r.good() {
			good++
		}
		if r.running() {
			running++
		}
	}
	for ; good < job.Spec.Tasks; good++ {
		if m.propose(Event{Kind: EventGrow, JobID: id, Index: len(job.Tasks)}) == 0 {
			break
		}
	}
	// Nothing is stopped before the full number runs where it may stay.
	if running < job.Spec.Tasks {
		return
	}
	excess := good - job.Spec.Tasks
	for _, r := range stopOrder(replicas) {
		if !r.good() {
			m.retire(id, r, "the replica has been replaced", wall)
			continue
		}
		if excess > 0 {
			m.retire(id, r, "the replica is superfluous", wall)
			excess--
		}
	}
}

// stopOrder sorts replicas so that those that are least worth keeping come first: not running, then the newest.
func stopOrder(replicas []replica) []replica {
	return slices.SortedFunc(slices.Values(replicas), func(a, b replica) int {
		if a.running() != b.running() {
			if a.running() {
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
