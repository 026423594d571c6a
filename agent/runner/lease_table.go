package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Bounds of the ledger.
const (
	// maxPendingResults bounds the results that wait for an acknowledgement; at the bound no allocation is accepted.
	maxPendingResults = 4096
	// maxSentHeartbeats is how many send times of heartbeats are remembered; a push that names an older one is rejected.
	maxSentHeartbeats = 16
	// unresponsiveAfter is how long the worker may give no status before nothing more is placed on it. Its calls time out
	// after 1 s.
	unresponsiveAfter = 3 * time.Second
	// startRetryWindow is how long a start is repeated when its result is unknown.
	startRetryWindow = 5 * time.Second
	// suspendLead is how long before the end of its lease a batch task is suspended. The lease on the worker never lasts
	// longer, so a later suspension would find the task stopped and its memory lost. Two ticks fit into it.
	suspendLead = 500 * time.Millisecond
	// clockDriftMargin is added to the end of a lease on the worker before the task is taken as stopped by it.
	clockDriftMargin = time.Second
)

// Settings holds the periods of a runner.
type Settings struct {
	// BatchLease is how long a batch allocation runs after the heartbeat that was last answered.
	BatchLease time.Duration
	// BatchWorkerLease is the lease of batch tasks on the worker. If a pause of this process delays a renewal, a task runs at
	// most this much longer than its allocation; owners wait for it (lifecycle.Settings.Margin).
	BatchWorkerLease time.Duration
	// ServiceWorkerLease is that of services, which go on while the agent is restarted.
	ServiceWorkerLease time.Duration
	// MaxSuspension is how long a batch task stays suspended in memory before it is stopped with its checkpoint.
	MaxSuspension time.Duration
	// OwnerValidity is that of shard owners.
	OwnerValidity time.Duration
	// CheckpointInterval is how often a running batch task saves its state, which bounds the work that the loss of a host
	// costs. 22,000 tasks make about 14 checkpoint events per second and shard, in records that are written anyway.
	CheckpointInterval time.Duration
}

// DefaultSettings returns the periods of the design.
func DefaultSettings() Settings {
	return Settings{
		BatchLease: 4 * time.Second, BatchWorkerLease: 2 * time.Second, ServiceWorkerLease: time.Minute,
		MaxSuspension: 10 * time.Minute, OwnerValidity: 30 * time.Second,
		CheckpointInterval: 30 * time.Second,
	}
}

// heldAllocation is an allocation that occupies the worker.
type heldAllocation struct {
	alloc structs.Allocation
	state structs.TaskState
	// acceptedAt is when the allocation was accepted.
	acceptedAt time.Time
	// started is set once a start call may have taken effect.
	started bool
	// leaseEnd is when the allocation must not run any more.
	leaseEnd time.Time
	// workerLeaseEnd is when the worker stops the task, at the earliest.
	workerLeaseEnd time.Time
	// confirmed is unset for a task found after a restart until an owner keeps it. Until then it is neither renewed nor
	// suspended, so that it runs no longer than the previous process allowed.
	confirmed   bool
	suspendedAt time.Time
	stop        *structs.TaskStop
	checkpoint  string
	progress    float64
	usage       structs.Resources
	usageAge    time.Duration
	latency     float64
	// share is the part of its processor time that the task has; 0 means unknown, as after a restart of the agent.
	share float64
	// checkpointAt is when a checkpoint was last tried.
	checkpointAt time.Time
}

// LeaseTable decides what runs on the worker. It does no I/O and is not safe for concurrent use.
type LeaseTable struct {
	settings    Settings
	worker      structs.Worker
	shard       int
	incarnation string
	startedUnixNano     int64

	epoch    int64
	sequence int64
	sentAt     map[int64]time.Time
	held     map[string]*heldAllocation
	results  map[string]structs.TaskResult
	// endedAt remembers allocations that were endedAt, for as long as a start of them can still arrive.
	endedAt    map[string]time.Time
	draining bool
	// endedCount counts the allocations that have ended.
	endedCount int64
	// lastStatusAt is when the worker last lastStatusAt with its status.
	lastStatusAt time.Time
}

// NewLeaseTable returns an empty ledger of a worker.
func NewLeaseTable(settings Settings, w structs.Worker, shard int, incarnation string, startedUnixNano int64) *LeaseTable {
	return &LeaseTable{
		settings: settings, worker: w, shard: shard, incarnation: incarnation, startedUnixNano: startedUnixNano,
		sentAt: map[int64]time.Time{}, held: map[string]*heldAllocation{}, results: map[string]structs.TaskResult{},
		endedAt: map[string]time.Time{},
	}
}

// Epoch returns the highest epoch that was accepted.
func (l *LeaseTable) Epoch() int64 { return l.epoch }

// RaiseEpoch accepts an epoch that is higher than the present one.
func (l *LeaseTable) RaiseEpoch(epoch int64) { l.epoch = max(l.epoch, epoch) }

// Reserved returns what the held allocations reserve.
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

// ApplyReply takes the reply to a heartbeat. It returns false, and changes nothing, for a reply of an older epoch or to
// another heartbeat than one of the newest.
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

// extendLease extends a lease from when the answered heartbeat was sent.
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
		// A start that is still on its way must not take effect after this.
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

// ApplyStartRequest takes starts that arrive outside of a reply. It returns false when they are out of date.
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

// admit accepts an allocation if its lease still runs and its reservation fits beside what the worker holds. This check
// is the authoritative one for the capacity of the worker.
func (l *LeaseTable) admit(alloc structs.Allocation, sent, now time.Time) {
	_, ended := l.endedAt[alloc.ID]
	_, result := l.results[alloc.ID]
	if l.held[alloc.ID] != nil || ended || result {
		return
	}
	// The age is bounded by the batch lease for services too, so that a delayed start is never taken late.
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

// endAllocation replaces an allocation by its result.
func (l *LeaseTable) endAllocation(h *heldAllocation, state structs.TaskState, reason string, now time.Time) {
	delete(l.held, h.alloc.ID)
	l.endedCount++
	l.endedAt[h.alloc.ID] = now
	l.results[h.alloc.ID] = structs.TaskResult{
		AllocationID: h.alloc.ID, Task: h.alloc.Task, Attempt: h.alloc.Attempt, State: state, CheckpointID: h.checkpoint,
		Progress: h.progress, Reason: reason, Refused: !h.started,
	}
}

// workerUnresponsive tells whether the worker has stopped responding.
func (l *LeaseTable) workerUnresponsive(now time.Time) bool {
	return now.Sub(l.lastStatusAt) > unresponsiveAfter
}

// prune forgets ended allocations of which no start can arrive any more.
func (l *LeaseTable) prune(now time.Time) {
	for id, at := range l.endedAt {
		if now.Sub(at) > 2*l.settings.BatchLease {
			delete(l.endedAt, id)
		}
	}
}

// Idle tells whether nothing is held and every result has been acknowledged.
func (l *LeaseTable) Idle() bool { return len(l.held) == 0 && len(l.results) == 0 }
