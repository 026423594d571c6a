package lifecycle

import (
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
