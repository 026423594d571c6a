package lifecycle

import (
	"maps"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// LiveAttempt is an attempt that may be running, as tracked by the owner.
type LiveAttempt struct {
	Alloc structs.Allocation
	// ExpiresAt is the time after which the attempt can't be running unless it is renewed; zero if the start was never
	// sent.
	ExpiresAt time.Time
	// OfferedAt is when the heartbeat arrived from which the lease of the newest start offer counts.
	OfferedAt time.Time
	// Reported is set once the agent has reported the allocation.
	Reported bool
	// Inherited is set for an attempt that an earlier owner started.
	Inherited bool
	State     structs.TaskState
	// Progress is the last reported progress, from 0 to 1.
	Progress float64
	// Stop is the stop request for the agent, nil if the attempt is to continue.
	Stop *structs.TaskStop
	// offeredIncarnation is the agent incarnation to which the start was sent.
	offeredIncarnation string
	// pushed is set once the start was sent outside of a heartbeat reply, which is tried only once.
	pushed bool
	// lsn is the log position of the start event; the start is sent once that position is durable.
	lsn int64
	// workerAnsweredAt is when the worker itself last answered a status query.
	workerAnsweredAt time.Time
}

// WorkerView is what the owner knows about one worker from its newest heartbeat.
type WorkerView struct {
	Worker structs.Worker
	// ReportedWorker is the worker's description as its agent reported it, before the inventory is applied.
	ReportedWorker  structs.Worker
	Incarnation     string
	StartedUnixNano int64
	Sequence        int64
	// ReceivedAt is when the newest heartbeat arrived. The worker's leases end before ReceivedAt + lease + margin.
	ReceivedAt time.Time
	// EpochConfirmed is set once the agent has reported under this owner's epoch. Until then no task is placed on the
	// worker.
	EpochConfirmed bool
	Draining       bool
	// Unusable is set while the worker doesn't respond to its agent.
	Unusable bool
	// DrainingSince is when the drain was first reported.
	DrainingSince time.Time
	Running       map[string]structs.AllocationState
	Usage         map[string]structs.TaskUsage
	// Services lists the upstreams on the worker's host that served requests recently.
	Services []structs.ServiceLatency
}

// Machine is the state machine of one shard under one owner. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	shard    int
	epoch    int64
	// startedAt is when the ownership began.
	startedAt time.Time
	state     *State
	workers   map[string]*WorkerView
	attempts  map[string]*LiveAttempt
	// lastChange holds the log position of the newest event of each task that changed under this owner.
	lastChange map[structs.TaskID]int64
	// pending holds the events that are not durable yet; the first one has the position durable + 1.
	pending  []Event
	durable  int64
	counters Counters
	// OnAttemptEnd is called for every attempt that has ended; it may be nil.
	OnAttemptEnd func(AttemptEnd)
}

// AttemptEnd describes an attempt that has ended.
type AttemptEnd struct {
	Task   structs.TaskID
	Worker string
	Failed bool
	// Inconclusive is set if the attempt has neither finished nor failed: it was evicted, refused, cancelled or lost.
	Inconclusive bool
}

// Counters counts the actions of an owner.
type Counters struct {
	Starts, Finishes, Failures, Requeues, Lost, Refused, StaleHeartbeats, StaleResults, RuleErrors int64
	// WorkerResults counts the attempts whose end was learned from the worker rather than from its agent.
	WorkerResults int64
}

// NewMachine returns the machine of a new owner. state is the replayed log, and now is a time after the epoch record
// was written. Every attempt that is active in the log is assumed to run until it is reported or its former leases
// have expired.
func NewMachine(settings Settings, formerPeriods LeasePeriods, shard int, epoch int64, state *State, now time.Time) *Machine {
	m := &Machine{
		settings: settings, shard: shard, epoch: epoch, startedAt: now, state: state,
		workers: map[string]*WorkerView{}, attempts: map[string]*LiveAttempt{}, lastChange: map[structs.TaskID]int64{},
	}
	for _, jobID := range state.JobIDs() {
		job := state.Jobs[jobID]
		for index, task := range job.Tasks {
			if task.Active() {
				m.inheritAttempt(job, structs.TaskID{JobID: jobID, Index: index}, task, formerPeriods, now)
			}
		}
	}
	return m
}

// inheritAttempt tracks an attempt whose lease an earlier owner could have renewed until the end of that owner's
// validity.
func (m *Machine) inheritAttempt(job *Job, id structs.TaskID, task *Task, formerPeriods LeasePeriods, now time.Time) {
	lease := formerPeriods.Lease
	if job.Spec.Kind == structs.KindService {
		lease = formerPeriods.ServiceLease
	}
	alloc := m.newAllocation(job, id, task)
	m.attempts[alloc.ID] = &LiveAttempt{
		Alloc: alloc, Inherited: true, State: structs.TaskStarting, Progress: task.Progress,
		ExpiresAt: now.Add(formerPeriods.OwnerValidity + lease + m.settings.leaseMargin(job.Spec.Kind)),
	}
}

func (m *Machine) newAllocation(job *Job, id structs.TaskID, task *Task) structs.Allocation {
	return structs.Allocation{
		ID: AllocationID(id, task.Attempt), Task: id, Attempt: task.Attempt, Worker: task.Worker, Kind: job.Spec.Kind,
		Class: job.Spec.Class, Priority: job.Spec.Priority, Urgent: job.Spec.Urgent, Resources: job.Spec.Resources, Shard: m.shard, Epoch: m.epoch,
		LeaseMillis: m.leasePeriod(job.Spec.Kind).Milliseconds(), CheckpointID: task.CheckpointID, Command: job.Spec.Command,
	}
}

func (m *Machine) leasePeriod(kind structs.JobKind) time.Duration {
	if kind == structs.KindService {
		return m.settings.ServiceLease
	}
	return m.settings.Lease
}

// Epoch returns the epoch of this ownership.
func (m *Machine) Epoch() int64 { return m.epoch }

// State returns the state with all proposed events applied. Callers must not change it.
func (m *Machine) State() *State { return m.state }

// Counters returns the counters of this owner.
func (m *Machine) Counters() Counters { return m.counters }

// LiveAttempts returns the attempts that may be running, by allocation ID. Callers must not change them.
func (m *Machine) LiveAttempts() map[string]*LiveAttempt { return m.attempts }

// Workers returns the views of all workers that have reported. Callers must not change them.
func (m *Machine) Workers() map[string]*WorkerView { return m.workers }

// propose applies an event and queues it for the log. It returns the event's log position. For an event that violates a
// life cycle rule it counts a rule error and returns 0.
func (m *Machine) propose(e Event) int64 {
	if err := m.state.Apply(e); err != nil {
		m.counters.RuleErrors++
		return 0
	}
	m.pending = append(m.pending, e)
	lsn := m.durable + int64(len(m.pending))
	switch e.Kind {
	case EventAccept, EventCancel, EventFailJob, EventVerdict, EventForget:
	default:
		m.lastChange[e.Task()] = lsn
	}
	return lsn
}

// PendingEvents returns the events that are not durable yet, oldest first.
func (m *Machine) PendingEvents() []Event { return m.pending }

// LastPosition returns the log position of the newest event.
func (m *Machine) LastPosition() int64 { return m.durable + int64(len(m.pending)) }

// DurablePosition returns the log position up to which events are durable.
func (m *Machine) DurablePosition() int64 { return m.durable }

// Committed marks the oldest count pending events as durable.
func (m *Machine) Committed(count int) {
	m.pending = slices.Clone(m.pending[count:])
	m.durable += int64(count)
}

// Accept adds a job. It returns the log position of its event, or 0 if the job is already known.
func (m *Machine) Accept(job structs.Job) int64 {
	if m.state.Jobs[job.ID] != nil {
		return 0
	}
	return m.propose(Event{Kind: EventAccept, Job: &job})
}

// Cancel cancels all unfinished tasks of a job and requests its attempts to stop. known is false if the shard doesn't
// have the job. The cancellation is durable once DurablePosition reaches lsn.
func (m *Machine) Cancel(jobID string, wall time.Time) (lsn int64, known bool) {
	job := m.state.Jobs[jobID]
	if job == nil {
		return 0, false
	}
	if job.Cancelled || job.OpenTasks == 0 {
		return m.LastPosition(), true
	}
	lsn = m.propose(Event{Kind: EventCancel, JobID: jobID, UnixMilli: wall.UnixMilli()})
	m.stopAttempts(jobID, "the job was cancelled")
	return lsn, true
}

// FailJob fails all unfinished tasks of a batch job and requests its attempts to stop.
func (m *Machine) FailJob(jobID, reason string, wall time.Time) {
	job := m.state.Jobs[jobID]
	if job == nil || job.OpenTasks == 0 || job.Spec.Kind == structs.KindService {
		return
	}
	m.propose(Event{Kind: EventFailJob, JobID: jobID, Reason: reason, UnixMilli: wall.UnixMilli()})
	m.stopAttempts(jobID, reason)
}

func (m *Machine) stopAttempts(jobID, reason string) {
	for _, live := range m.attempts {
		if live.Alloc.Task.JobID == jobID {
			live.Stop = &structs.TaskStop{AllocationID: live.Alloc.ID, Reason: reason}
		}
	}
}

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

// Status returns the externally visible state of a job.
func (m *Machine) Status(jobID string) (structs.JobStatus, bool) {
	job := m.state.Jobs[jobID]
	if job == nil {
		return structs.JobStatus{}, false
	}
	status := structs.JobStatus{
		ID: jobID, Kind: job.Spec.Kind, Tasks: job.Spec.Tasks, Counts: job.Counts(), Workers: job.TasksByWorker(), Verdict: job.Verdict,
		Reason: job.Reason, Cancelled: job.Cancelled, Done: job.EndedUnixMilli > 0,
	}
	return status, true
}
