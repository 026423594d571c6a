package lifecycle

import (
	"maps"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Expire ends the attempts whose leases have expired and removes ended jobs after their retention.
func (m *Machine) Expire(now, wall time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.attempts)) {
		live := m.attempts[id]
		switch {
		case live.ExpiresAt.IsZero():
			// The start was never sent, so there is no lease to wait for.
			if m.HeartbeatOverdue(live.Alloc.Worker, now) || live.Stop != nil {
				m.endLostAttempt(live, "the start was withdrawn", wall)
			}
		case m.undeliverable(live, now):
			m.endLostAttempt(live, "the start did not arrive", wall)
		case now.After(live.ExpiresAt) && !m.stillReported(live, now) && !m.awaitsAnswer(live, now):
			m.counters.Lost++
			m.endLostAttempt(live, "the lease ran out", wall)
		}
	}
	for _, id := range m.state.JobIDs() {
		job := m.state.Jobs[id]
		if job.EndedUnixMilli > 0 && wall.UnixMilli()-job.EndedUnixMilli > m.settings.Retention.Milliseconds() {
			m.propose(Event{Kind: EventForget, JobID: id})
		}
	}
}

// undeliverable reports whether an offered start can no longer arrive: agents reject starts older than a lease, and the
// worker has reported since then without the attempt.
func (m *Machine) undeliverable(live *LiveAttempt, now time.Time) bool {
	view := m.workers[live.Alloc.Worker]
	return !live.Inherited && !live.Reported && view != nil && view.EpochConfirmed &&
		view.ReceivedAt.Sub(live.OfferedAt) > m.settings.Lease+m.settings.Margin
}

// stillReported reports whether the worker's recent heartbeat contains the attempt. An owner that could not renew
// leases for a while must not requeue an attempt that the agent has only suspended.
func (m *Machine) stillReported(live *LiveAttempt, now time.Time) bool {
	if m.HeartbeatOverdue(live.Alloc.Worker, now) {
		return false
	}
	_, held := m.workers[live.Alloc.Worker].Running[live.Alloc.ID]
	return held
}

// HeartbeatOverdue reports whether no heartbeat of a worker has arrived for a lease and its margin.
func (m *Machine) HeartbeatOverdue(worker string, now time.Time) bool {
	view := m.workers[worker]
	return view == nil || now.Sub(view.ReceivedAt) > m.settings.Lease+m.settings.Margin
}

func (m *Machine) notifyEnd(end AttemptEnd) {
	if m.OnAttemptEnd != nil {
		m.OnAttemptEnd(end)
	}
}

// endLostAttempt ends an attempt that can't be running and reported no result.
func (m *Machine) endLostAttempt(live *LiveAttempt, reason string, wall time.Time) {
	delete(m.attempts, live.Alloc.ID)
	m.notifyEnd(AttemptEnd{Task: live.Alloc.Task, Worker: live.Alloc.Worker, Inconclusive: true})
	task := m.state.Task(live.Alloc.Task)
	if task == nil || !task.Active() || task.Attempt != live.Alloc.Attempt {
		return
	}
	m.requeueOrRetire(live, "", 0, reason, wall)
}

// requeueOrRetire ends an attempt and makes its task pending again. A service replica that has run is retired instead,
// since its index isn't reused. So is a replica that was to replace another one, since the scheduler places a new one
// if it is still needed.
func (m *Machine) requeueOrRetire(live *LiveAttempt, checkpoint string, progress float64, reason string, wall time.Time) {
	id := live.Alloc.Task
	e := Event{
		Kind: EventRequeue, JobID: id.JobID, Index: id.Index, Attempt: live.Alloc.Attempt, CheckpointID: checkpoint,
		Progress: progress, Reason: reason,
	}
	task := m.state.Task(id)
	if live.Alloc.Kind == structs.KindService && (live.Reported || (task != nil && task.Replaces != "")) {
		e.Kind, e.UnixMilli = EventRetire, wall.UnixMilli()
	}
	m.counters.Requeues++
	m.propose(e)
}
