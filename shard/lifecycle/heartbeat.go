package lifecycle

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// ErrStale means that a heartbeat is older than one already processed, so it doesn't describe the current state.
var ErrStale = errors.New("lifecycle: heartbeat is out of date")

// Heartbeat processes the heartbeat of a worker and returns the reply. renew reports whether the ownership is still
// valid; without it the reply neither renews leases nor starts tasks. mayStart reports whether starts in the worker's
// failure domain are allowed.
func (m *Machine) Heartbeat(now, wall time.Time, hb structs.Heartbeat, renew, mayStart bool) (structs.HeartbeatReply, error) {
	view, err := m.updateWorker(now, hb)
	if err != nil {
		m.counters.StaleHeartbeats++
		return structs.HeartbeatReply{}, err
	}
	reply := structs.HeartbeatReply{
		Shard: m.shard, Epoch: m.epoch, Sequence: hb.Sequence, LeaseMillis: m.settings.Lease.Milliseconds(),
	}
	ended := map[string]bool{}
	for _, result := range hb.Results {
		ended[result.AllocationID] = true
		if m.applyResult(result, hb.Worker.Name, now, wall) {
			reply.AckResults = append(reply.AckResults, result.AllocationID)
		}
	}
	for _, running := range hb.Running {
		m.updateAttempt(running, wall)
	}
	m.recordPeaks(hb.Usage)
	m.endMissingAttempts(hb, view, ended, wall)
	m.fillReply(&reply, view, now, renew, mayStart)
	return reply, nil
}

func (m *Machine) updateWorker(now time.Time, hb structs.Heartbeat) (*WorkerView, error) {
	view := m.workers[hb.Worker.Name]
	if view == nil {
		view = &WorkerView{}
		m.workers[hb.Worker.Name] = view
	}
	if hb.StartedUnixNano < view.StartedUnixNano ||
		(hb.Incarnation == view.Incarnation && hb.Sequence <= view.Sequence) {
		return nil, ErrStale
	}
	view.Worker, view.Incarnation, view.StartedUnixNano, view.Sequence = hb.Worker, hb.Incarnation, hb.StartedUnixNano, hb.Sequence
	if hb.Draining && !view.Draining {
		view.DrainingSince = now
	}
	view.ReceivedAt, view.EpochConfirmed, view.Draining = now, hb.Epoch == m.epoch, hb.Draining
	view.Unusable = hb.Unusable
	view.Running = make(map[string]structs.AllocationState, len(hb.Running))
	for _, running := range hb.Running {
		view.Running[running.Allocation.ID] = running
	}
	view.Usage = make(map[string]structs.TaskUsage, len(hb.Usage))
	for _, usage := range hb.Usage {
		view.Usage[usage.AllocationID] = usage
	}
	view.Services = hb.Services
	return view, nil
}

// applyResult applies the result of an attempt. It reports whether the agent may discard the result, which is when its
// effect is durable.
func (m *Machine) applyResult(r structs.TaskResult, worker string, now, wall time.Time) bool {
	live := m.attempts[r.AllocationID]
	delete(m.attempts, r.AllocationID)
	task := m.state.Task(r.Task)
	if live != nil && !m.conclusive(r) {
		m.notifyEnd(AttemptEnd{Task: r.Task, Worker: live.Alloc.Worker, Inconclusive: true})
	}
	if task == nil {
		// The job has ended or is unknown. Its end must be durable before the agent may discard the result.
		return len(m.pending) == 0
	}
	current := task.Active() && task.Attempt == r.Attempt
	switch {
	case r.State == structs.TaskFinished && task.canFinish(r.Attempt):
		m.finishTask(r, worker, wall)
	case current:
		if live == nil {
			live = &LiveAttempt{Alloc: m.newAllocation(m.state.Jobs[r.Task.JobID], r.Task, task)}
		}
		m.applyUnfinishedResult(r, live, worker, wall)
		m.delayRetry(task, r, now)
	default:
		m.counters.StaleResults++
	}
	return m.lastChange[r.Task] <= m.durable
}

// conclusive reports whether a result ends its task's current attempt as finished or failed.
func (m *Machine) conclusive(r structs.TaskResult) bool {
	task := m.state.Task(r.Task)
	switch {
	case task == nil:
		return false
	case r.State == structs.TaskFinished:
		return task.canFinish(r.Attempt)
	}
	return r.State == structs.TaskFailed && task.Active() && task.Attempt == r.Attempt
}

func (m *Machine) finishTask(r structs.TaskResult, worker string, wall time.Time) {
	m.counters.Finishes++
	m.notifyEnd(AttemptEnd{Task: r.Task, Worker: worker})
	m.propose(Event{
		Kind: EventFinish, JobID: r.Task.JobID, Index: r.Task.Index, Attempt: r.Attempt, UnixMilli: wall.UnixMilli(),
	})
}

func (m *Machine) applyUnfinishedResult(r structs.TaskResult, live *LiveAttempt, worker string, wall time.Time) {
	if r.State == structs.TaskFailed {
		m.counters.Failures++
		m.propose(Event{
			Kind: EventFail, JobID: r.Task.JobID, Index: r.Task.Index, Attempt: r.Attempt, CheckpointID: r.CheckpointID,
			Progress: r.Progress, Reason: r.Reason, UnixMilli: wall.UnixMilli(),
		})
	} else {
		m.counters.Refused++
		m.requeueOrRetire(live, r.CheckpointID, r.Progress, r.Reason, wall)
	}
	if r.State == structs.TaskFailed {
		m.notifyEnd(AttemptEnd{Task: r.Task, Worker: worker, Failed: true})
	}
}

// Retry delays after an attempt that failed or was refused.
const (
	refusedDelay  = time.Second
	failedDelay   = 2 * time.Second
	maxDelayShift = 5
)

// delayRetry delays the next attempt of a task, exponentially after failures and by a fixed time after a refusal.
func (m *Machine) delayRetry(task *Task, r structs.TaskResult, now time.Time) {
	switch {
	case r.State == structs.TaskFailed:
		task.NotBefore = now.Add(failedDelay << min(task.Failures-1, maxDelayShift))
	case r.Refused:
		task.NotBefore = now.Add(refusedDelay)
	}
}

// updateAttempt updates a live attempt from the state that its agent reports. The durable state changes only if the
// attempt is the current one of its task.
func (m *Machine) updateAttempt(running structs.AllocationState, wall time.Time) {
	live := m.attempts[running.Allocation.ID]
	if live == nil {
		return
	}
	live.Reported, live.State, live.Progress = true, running.State, running.Progress
	// The agent's reservation counts, since it may differ from the resources that the job declared.
	live.Alloc.Resources, live.Alloc.Worker = running.Allocation.Resources, running.Allocation.Worker
	task := m.state.Task(live.Alloc.Task)
	if task == nil || !task.Active() || task.Attempt != live.Alloc.Attempt {
		return
	}
	task.State = running.State
	task.Progress = max(task.Progress, running.Progress)
	if running.CheckpointID != "" && running.CheckpointID != task.CheckpointID {
		m.propose(Event{
			Kind: EventCheckpoint, JobID: live.Alloc.Task.JobID, Index: live.Alloc.Task.Index, Attempt: task.Attempt,
			CheckpointID: running.CheckpointID, Progress: running.Progress,
		})
	}
}

// recordPeaks records the highest usage of each task, so that its next attempt reserves at least that much.
func (m *Machine) recordPeaks(usages []structs.TaskUsage) {
	for _, usage := range usages {
		live := m.attempts[usage.AllocationID]
		if live == nil {
			continue
		}
		if task := m.state.Task(live.Alloc.Task); task != nil {
			task.PeakUsage.MilliCores = max(task.PeakUsage.MilliCores, usage.Used.MilliCores)
			task.PeakUsage.MemoryMB = max(task.PeakUsage.MemoryMB, usage.Used.MemoryMB)
		}
	}
}

// endMissingAttempts ends the attempts that the agent should hold but doesn't report. A report proves an absence only
// if the agent had accepted this owner's epoch before; otherwise a start of an earlier owner can still arrive.
func (m *Machine) endMissingAttempts(hb structs.Heartbeat, view *WorkerView, ended map[string]bool, wall time.Time) {
	if !view.EpochConfirmed {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(m.attempts)) {
		live := m.attempts[id]
		if live.Alloc.Worker != hb.Worker.Name || ended[id] {
			continue
		}
		if _, held := view.Running[id]; held {
			continue
		}
		if live.Inherited || live.Reported {
			m.counters.Lost++
			m.endLostAttempt(live, "the agent no longer holds the allocation", wall)
		}
	}
}

// fillReply adds the lease renewals, starts and stops for one worker.
func (m *Machine) fillReply(reply *structs.HeartbeatReply, view *WorkerView, now time.Time, renew, mayStart bool) {
	if !renew {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(view.Running)) {
		live := m.attempts[id]
		switch {
		case live == nil:
			reply.Stop = append(reply.Stop, structs.TaskStop{AllocationID: id, Reason: "the attempt is not current"})
		case live.Stop != nil:
			reply.Stop = append(reply.Stop, *live.Stop)
			// An attempt that stops with a checkpoint needs its lease until the checkpoint is written.
			if live.Stop.Checkpoint {
				m.renewLease(reply, live, now)
			}
		default:
			m.renewLease(reply, live, now)
		}
	}
	for _, live := range m.startableAttempts(view.Worker.Name, mayStart) {
		m.extendExpiry(live, now)
		live.OfferedAt, live.offeredIncarnation = now, view.Incarnation
		reply.Start = append(reply.Start, live.Alloc)
	}
	for _, id := range slices.Sorted(maps.Keys(m.attempts)) {
		live := m.attempts[id]
		if live.Alloc.Worker == view.Worker.Name && live.Stop != nil && !live.Reported && !live.ExpiresAt.IsZero() {
			reply.Stop = append(reply.Stop, *live.Stop)
		}
	}
}

func (m *Machine) renewLease(reply *structs.HeartbeatReply, live *LiveAttempt, now time.Time) {
	m.extendExpiry(live, now)
	reply.Keep = append(reply.Keep, live.Alloc.ID)
}

// extendExpiry extends the expiry by a renewal in reply to a heartbeat that was sent at now or earlier.
func (m *Machine) extendExpiry(live *LiveAttempt, now time.Time) {
	until := now.Add(m.leasePeriod(live.Alloc.Kind) + m.settings.leaseMargin(live.Alloc.Kind))
	if until.After(live.ExpiresAt) {
		live.ExpiresAt = until
	}
}

// startableAttempts returns the attempts whose start events are durable and which the agent hasn't reported. A start
// that was offered to an earlier incarnation of the agent isn't offered again: that process may have started the task
// and lost it with the host, and an attempt must start at most once. Such an attempt ends when its lease has expired.
func (m *Machine) startableAttempts(worker string, mayStart bool) []*LiveAttempt {
	var starts []*LiveAttempt
	if !mayStart {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(m.attempts)) {
		live := m.attempts[id]
		if live.Alloc.Worker != worker || (live.offeredIncarnation != "" && live.offeredIncarnation != m.workers[worker].Incarnation) {
			continue
		}
		if !live.Inherited && !live.Reported && live.Stop == nil && live.lsn <= m.durable {
			starts = append(starts, live)
		}
	}
	return starts
}

// StartRequest returns the starts to push to a worker immediately, or false if there are none. Their leases count from
// the worker's newest heartbeat.
func (m *Machine) StartRequest(worker string, now time.Time, mayStart bool) (structs.StartRequest, bool) {
	view := m.workers[worker]
	if view == nil || !view.EpochConfirmed || now.Sub(view.ReceivedAt) >= m.settings.Lease {
		return structs.StartRequest{}, false
	}
	request := structs.StartRequest{
		Shard: m.shard, Epoch: m.epoch, Incarnation: view.Incarnation, Sequence: view.Sequence,
	}
	for _, live := range m.startableAttempts(worker, mayStart) {
		if live.pushed {
			continue
		}
		live.pushed = true
		m.extendExpiry(live, view.ReceivedAt)
		live.OfferedAt, live.offeredIncarnation = view.ReceivedAt, view.Incarnation
		request.Start = append(request.Start, live.Alloc)
	}
	return request, len(request.Start) > 0
}
