package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Limits and margins of the lease table.
const (
	// maxPendingResults limits the unacknowledged results; when it is reached, no allocation is accepted.
	maxPendingResults = 4096
	// maxSentHeartbeats is the number of heartbeats whose send times are kept; start requests that refer to an older
	// heartbeat are rejected.
	maxSentHeartbeats = 16
	// unresponsiveAfter is the time without a status after which the worker is reported as unusable, so that nothing
	// more is placed on it. Calls to the worker time out after 1 s.
	unresponsiveAfter = 3 * time.Second
	// startRetryWindow is how long a start is repeated while its result is unknown.
	startRetryWindow = 5 * time.Second
	// suspendLead is how long before the end of its lease a batch task is suspended. The lease on the worker ends no
	// later than the allocation's, so at a later suspension the worker may already have stopped the task and discarded
	// its memory. The time allows for two runs of Reconcile at the default interval.
	suspendLead = 500 * time.Millisecond
	// clockDriftMargin allows for clock drift: a task is assumed to be stopped this long after its lease on the worker
	// ended.
	clockDriftMargin = time.Second
)

// Settings holds the leases and time limits of a runner.
type Settings struct {
	// BatchLease is how long a batch allocation may run after the last answered heartbeat was sent.
	BatchLease time.Duration
	// BatchWorkerLease is the lease of batch tasks on the worker. If this process is paused during a renewal, a task
	// can outlive its allocation by at most this time; owners allow for it (lifecycle.Settings.Margin).
	BatchWorkerLease time.Duration
	// ServiceWorkerLease is the lease of services on the worker. It covers a restart of the agent.
	ServiceWorkerLease time.Duration
	// MaxSuspension is how long a batch task stays suspended in memory before it is stopped with a checkpoint.
	MaxSuspension time.Duration
	// OwnerValidity is how long a shard owner stays valid without confirmation from the store.
	OwnerValidity time.Duration
	// CheckpointInterval is the time between checkpoints of a running batch task. It limits the work lost with a host.
	// 22,000 tasks cause about 14 checkpoint events per second and shard, in records that are written anyway.
	CheckpointInterval time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		BatchLease: 4 * time.Second, BatchWorkerLease: 2 * time.Second, ServiceWorkerLease: time.Minute,
		MaxSuspension: 10 * time.Minute, OwnerValidity: 30 * time.Second,
		CheckpointInterval: 30 * time.Second,
	}
}

// heldAllocation is an allocation whose resources are reserved on the worker.
type heldAllocation struct {
	alloc structs.Allocation
	state structs.TaskState
	// acceptedAt is when the allocation was accepted.
	acceptedAt time.Time
	// started is set once a start call may have taken effect.
	started bool
	// leaseEnd is the time from which the allocation must not run any more.
	leaseEnd time.Time
	// workerLeaseEnd is the earliest time at which the worker stops the task by itself.
	workerLeaseEnd time.Time
	// confirmed is false for a task found after a restart of the agent, until an owner renews it. Until then the task
	// is neither renewed nor suspended, so that it runs no longer than the previous process allowed.
	confirmed   bool
	suspendedAt time.Time
	stop        *structs.TaskStop
	checkpoint  string
	progress    float64
	usage       structs.Resources
	usageAge    time.Duration
	latency     float64
	// share is the fraction of its processor time that the task may use; 0 means unknown, as after a restart of the
	// agent.
	share float64
	// checkpointAt is the time of the last attempt to save a checkpoint.
	checkpointAt time.Time
}

// LeaseTable holds the allocations of the worker with their leases and results, and decides which operations on the
// worker are due. It does no I/O and is not safe for concurrent use.
type LeaseTable struct {
	settings        Settings
	worker          structs.Worker
	shard           int
	incarnation     string
	startedUnixNano int64

	epoch    int64
	sequence int64
	sentAt   map[int64]time.Time
	held     map[string]*heldAllocation
	results  map[string]structs.TaskResult
	// endedAt holds when allocations ended, for as long as a delayed start of them can still arrive.
	endedAt  map[string]time.Time
	draining bool
	// endedCount is the number of allocations that have ended.
	endedCount int64
	// lastStatusAt is when the status of the worker was last read.
	lastStatusAt time.Time
}

// NewLeaseTable returns an empty lease table for a worker.
func NewLeaseTable(settings Settings, w structs.Worker, shard int, incarnation string, startedUnixNano int64) *LeaseTable {
	return &LeaseTable{
		settings: settings, worker: w, shard: shard, incarnation: incarnation, startedUnixNano: startedUnixNano,
		sentAt: map[int64]time.Time{}, held: map[string]*heldAllocation{}, results: map[string]structs.TaskResult{},
		endedAt: map[string]time.Time{},
	}
}

// Epoch returns the highest accepted epoch.
func (l *LeaseTable) Epoch() int64 { return l.epoch }

// RaiseEpoch sets the accepted epoch if it is higher than the current one.
func (l *LeaseTable) RaiseEpoch(epoch int64) { l.epoch = max(l.epoch, epoch) }

// Reserved returns the sum of the resources of the held allocations.
func (l *LeaseTable) Reserved() structs.Resources {
	var sum structs.Resources
	for _, h := range l.held {
		sum = sum.Add(h.alloc.Resources)
	}
	return sum
}

// Heartbeat returns the next heartbeat; now is when it is sent.
func (l *LeaseTable) Heartbeat(now time.Time) structs.Heartbeat {
	l.sequence++
	l.sentAt[l.sequence] = now
	delete(l.sentAt, l.sequence-maxSentHeartbeats)
	hb := structs.Heartbeat{
		Worker: l.worker, Incarnation: l.incarnation, StartedUnixNano: l.startedUnixNano, Sequence: l.sequence, Epoch: l.epoch,
		Draining: l.draining, Unusable: l.workerUnresponsive(now),
	}
	for _, id := range slices.Sorted(maps.Keys(l.held)) {
		h := l.held[id]
		hb.Running = append(hb.Running, structs.AllocationState{
			Allocation: h.alloc, State: h.state, CheckpointID: h.checkpoint, Progress: h.progress,
		})
		if !h.usage.IsZero() {
			hb.Usage = append(hb.Usage, structs.TaskUsage{
				AllocationID: id, Used: h.usage, AgeMillis: h.usageAge.Milliseconds(), LatencyMillis: h.latency,
				Progress: h.progress, Share: h.share,
			})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(l.results)) {
		hb.Results = append(hb.Results, l.results[id])
	}
	return hb
}

// ApplyReply applies the reply to a heartbeat. It returns false, and changes nothing, if the reply has an older epoch
// or answers a heartbeat that is not among the last maxSentHeartbeats.
func (l *LeaseTable) ApplyReply(reply structs.HeartbeatReply, now time.Time) bool {
	sent, known := l.sentAt[reply.Sequence]
	if !known || reply.Shard != l.shard || reply.Epoch < l.epoch {
		return false
	}
	l.epoch = reply.Epoch
	for _, id := range reply.Keep {
		l.extendLease(id, sent, time.Duration(reply.LeaseMillis)*time.Millisecond)
	}
	for _, stop := range reply.Stop {
		l.requestStop(stop, now)
	}
	for _, id := range reply.AckResults {
		delete(l.results, id)
	}
	for _, alloc := range reply.Start {
		l.admit(alloc, sent, now)
	}
	return true
}

// extendLease extends a lease, counted from when the answered heartbeat was sent.
func (l *LeaseTable) extendLease(id string, sent time.Time, lease time.Duration) {
	h := l.held[id]
	if h == nil {
		return
	}
	if h.alloc.Kind == structs.KindService {
		lease = time.Duration(h.alloc.LeaseMillis) * time.Millisecond
	}
	h.confirmed = true
	if end := sent.Add(lease); end.After(h.leaseEnd) {
		h.leaseEnd = end
	}
}

func (l *LeaseTable) requestStop(stop structs.TaskStop, now time.Time) {
	h := l.held[stop.AllocationID]
	if h == nil {
		// A start of this allocation that arrives later must be ignored.
		if _, result := l.results[stop.AllocationID]; !result {
			l.endedAt[stop.AllocationID] = now
		}
		return
	}
	if h.stop == nil || !stop.Checkpoint {
		h.stop = &stop
	}
	if stop.Checkpoint {
		h.state = structs.TaskEvicting
	}
}

// ApplyStartRequest accepts starts that arrive outside of a reply. It returns false when the request is out of date.
func (l *LeaseTable) ApplyStartRequest(request structs.StartRequest, now time.Time) bool {
	sent, known := l.sentAt[request.Sequence]
	if !known || request.Incarnation != l.incarnation || request.Shard != l.shard || request.Epoch != l.epoch {
		return false
	}
	for _, alloc := range request.Start {
		l.admit(alloc, sent, now)
	}
	return true
}

// admit accepts an allocation if its lease has not ended and its resources fit into the free capacity of the worker.
// This check, not the owner's, guarantees that the worker isn't overcommitted.
func (l *LeaseTable) admit(alloc structs.Allocation, sent, now time.Time) {
	_, ended := l.endedAt[alloc.ID]
	_, result := l.results[alloc.ID]
	if l.held[alloc.ID] != nil || ended || result {
		return
	}
	// The batch lease limits the age of starts for services too, so that a delayed start is never accepted.
	if now.Sub(sent) >= l.settings.BatchLease {
		return
	}
	h := &heldAllocation{
		alloc: alloc, state: structs.TaskStarting, confirmed: true, acceptedAt: now, checkpoint: alloc.CheckpointID, share: 1,
		leaseEnd: sent.Add(time.Duration(alloc.LeaseMillis) * time.Millisecond),
	}
	switch {
	case l.draining:
		l.reject(h, "the agent is draining", now)
	case len(l.results) >= maxPendingResults:
		l.reject(h, "too many results wait for an acknowledgement", now)
	case !l.Reserved().Add(alloc.Resources).Fits(l.worker.Capacity):
		l.reject(h, "the reservation doesn't fit beside what the worker holds", now)
	default:
		l.held[alloc.ID] = h
	}
}

func (l *LeaseTable) reject(h *heldAllocation, reason string, now time.Time) {
	l.endAllocation(h, structs.TaskPending, "refused: "+reason, now)
}

// endAllocation replaces a held allocation by its result.
func (l *LeaseTable) endAllocation(h *heldAllocation, state structs.TaskState, reason string, now time.Time) {
	delete(l.held, h.alloc.ID)
	l.endedCount++
	l.endedAt[h.alloc.ID] = now
	l.results[h.alloc.ID] = structs.TaskResult{
		AllocationID: h.alloc.ID, Task: h.alloc.Task, Attempt: h.alloc.Attempt, State: state, CheckpointID: h.checkpoint,
		Progress: h.progress, Reason: reason, Refused: !h.started,
	}
}

// workerUnresponsive reports whether the worker has given no status for too long.
func (l *LeaseTable) workerUnresponsive(now time.Time) bool {
	return now.Sub(l.lastStatusAt) > unresponsiveAfter
}

// prune removes ended allocations whose starts can no longer arrive.
func (l *LeaseTable) prune(now time.Time) {
	for id, at := range l.endedAt {
		if now.Sub(at) > 2*l.settings.BatchLease {
			delete(l.endedAt, id)
		}
	}
}

// Idle reports whether nothing is held and every result has been acknowledged.
func (l *LeaseTable) Idle() bool { return len(l.held) == 0 && len(l.results) == 0 }
