package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Bounds of the ledger.
const (
	// maxResults bounds the results that wait for an acknowledgement; at the bound no allocation is accepted.
	maxResults = 4096
	// sentKept is how many send times of heartbeats are remembered; a push that names an older one is rejected.
	sentKept = 16
	// unusableAfter is how long the worker may give no status before nothing more is placed on it. Its calls time out
	// after 1 s.
	unusableAfter = 3 * time.Second
	// startTries is how long a start is repeated when its result is unknown.
	startTries = 5 * time.Second
	// suspendEarly is how long before the end of its lease a batch task is suspended. The lease on the worker never lasts
	// longer, so a later suspension would find the task stopped and its memory lost. Two ticks fit into it.
	suspendEarly = 500 * time.Millisecond
	// drift is added to the end of a lease on the worker before the task is taken as stopped by it.
	drift = time.Second
)

// Settings holds the periods of a runner.
type Settings struct {
	// Lease is how long a batch allocation runs after the heartbeat that was last answered.
	Lease time.Duration
	// WorkerLease is the lease of batch tasks on the worker. If a pause of this process delays a renewal, a task runs at
	// most this much longer than its allocation; owners wait for it (lifecycle.Settings.Margin).
	WorkerLease time.Duration
	// ServiceWorkerLease is that of services, which go on while the agent is restarted.
	ServiceWorkerLease time.Duration
	// SuspendLimit is how long a batch task stays suspended in memory before it is stopped with its checkpoint.
	SuspendLimit time.Duration
	// OwnerValidity is that of shard owners.
	OwnerValidity time.Duration
	// CheckpointEvery is how often a running batch task saves its state, which bounds the work that the loss of a host
	// costs. 22,000 tasks make about 14 checkpoint events per second and shard, in records that are written anyway.
	CheckpointEvery time.Duration
}

// DefaultSettings returns the periods of the design.
func DefaultSettings() Settings {
	return Settings{
		Lease: 4 * time.Second, WorkerLease: 2 * time.Second, ServiceWorkerLease: time.Minute,
		SuspendLimit: 10 * time.Minute, OwnerValidity: 30 * time.Second,
		CheckpointEvery: 30 * time.Second,
	}
}

// held is an allocation that occupies the worker.
type held struct {
	alloc structs.Allocation
	state structs.TaskState
	// admitted is when the allocation was accepted.
	admitted time.Time
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

// Ledger decides what runs on the worker. It does no I/O and is not safe for concurrent use.
type Ledger struct {
	settings    Settings
	worker      structs.Worker
	shard       int
	incarnation string
	started     int64

	epoch    int64
	sequence int64
	sent     map[int64]time.Time
	held     map[string]*held
	results  map[string]structs.TaskResult
	// ended remembers allocations that were ended, for as long as a start of them can still arrive.
	ended    map[string]time.Time
	draining bool
	// endings counts the allocations that have ended.
	endings int64
	// responded is when the worker last responded with its status.
	responded time.Time
}

// NewLedger returns an empty ledger of a worker.
func NewLedger(settings Settings, w structs.Worker, shard int, incarnation string, started int64) *Ledger {
	return &Ledger{
		settings: settings, worker: w, shard: shard, incarnation: incarnation, started: started,
		sent: map[int64]time.Time{}, held: map[string]*held{}, results: map[string]structs.TaskResult{},
		ended: map[string]time.Time{},
	}
}

// Epoch returns the highest epoch that was accepted.
func (l *Ledger) Epoch() int64 { return l.epoch }

// RaiseEpoch accepts an epoch that is higher than the present one.
func (l *Ledger) RaiseEpoch(epoch int64) { l.epoch = max(l.epoch, epoch) }

// Reserved returns what the held allocations reserve.
func (l *Ledger) Reserved() structs.Resources {
	var sum structs.Resources
	for _, h := range l.held {
		sum = sum.Add(h.alloc.Resources)
	}
	return sum
}

// Heartbeat returns the next heartbeat; now is when it is sent.
func (l *Ledger) Heartbeat(now time.Time) structs.Heartbeat {
	l.sequence++
	l.sent[l.sequence] = now
	delete(l.sent, l.sequence-sentKept)
	hb := structs.Heartbeat{
		Worker: l.worker, Incarnation: l.incarnation, StartedUnixNano: l.started, Sequence: l.sequence, Epoch: l.epoch,
		Draining: l.draining, Unusable: l.unusable(now),
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

// Apply takes the reply to a heartbeat. It returns false, and changes nothing, for a reply of an older epoch or to
// another heartbeat than one of the newest.
func (l *Ledger) Apply(reply structs.HeartbeatReply, now time.Time) bool {
	sent, known := l.sent[reply.Sequence]
	if !known || reply.Shard != l.shard || reply.Epoch < l.epoch {
		return false
	}
	l.epoch = reply.Epoch
	for _, id := range reply.Keep {
		l.keep(id, sent, time.Duration(reply.LeaseMillis)*time.Millisecond)
	}
	for _, stop := range reply.Stop {
		l.stop(stop, now)
	}
	for _, id := range reply.AckResults {
		delete(l.results, id)
	}
	for _, alloc := range reply.Start {
		l.admit(alloc, sent, now)
	}
	return true
}

// keep extends a lease from when the answered heartbeat was sent.
func (l *Ledger) keep(id string, sent time.Time, lease time.Duration) {
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

func (l *Ledger) stop(stop structs.TaskStop, now time.Time) {
	h := l.held[stop.AllocationID]
	if h == nil {
		// A start that is still on its way must not take effect after this.
		if _, result := l.results[stop.AllocationID]; !result {
			l.ended[stop.AllocationID] = now
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

// Push takes starts that arrive outside of a reply. It returns false when they are out of date.
func (l *Ledger) Push(request structs.StartRequest, now time.Time) bool {
	sent, known := l.sent[request.Sequence]
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
func (l *Ledger) admit(alloc structs.Allocation, sent, now time.Time) {
	_, ended := l.ended[alloc.ID]
	_, result := l.results[alloc.ID]
	if l.held[alloc.ID] != nil || ended || result {
		return
	}
	// The age is bounded by the batch lease for services too, so that a delayed start is never taken late.
	if now.Sub(sent) >= l.settings.Lease {
		return
	}
	h := &held{
		alloc: alloc, state: structs.TaskStarting, confirmed: true, admitted: now, checkpoint: alloc.CheckpointID, share: 1,
		leaseEnd: sent.Add(time.Duration(alloc.LeaseMillis) * time.Millisecond),
	}
	switch {
	case l.draining:
		l.refuse(h, "the agent is draining", now)
	case len(l.results) >= maxResults:
		l.refuse(h, "too many results wait for an acknowledgement", now)
	case !l.Reserved().Add(alloc.Resources).Fits(l.worker.Capacity):
		l.refuse(h, "the reservation doesn't fit beside what the worker holds", now)
	default:
		l.held[alloc.ID] = h
	}
}

func (l *Ledger) refuse(h *held, reason string, now time.Time) {
	l.end(h, structs.TaskPending, "refused: "+reason, now)
}

// end replaces an allocation by its result.
func (l *Ledger) end(h *held, state structs.TaskState, reason string, now time.Time) {
	delete(l.held, h.alloc.ID)
	l.endings++
	l.ended[h.alloc.ID] = now
	l.results[h.alloc.ID] = structs.TaskResult{
		AllocationID: h.alloc.ID, Task: h.alloc.Task, Attempt: h.alloc.Attempt, State: state, CheckpointID: h.checkpoint,
		Progress: h.progress, Reason: reason, Refused: !h.started,
	}
}

// unusable tells whether the worker has stopped responding.
func (l *Ledger) unusable(now time.Time) bool {
	return now.Sub(l.responded) > unusableAfter
}

// prune forgets ended allocations of which no start can arrive any more.
func (l *Ledger) prune(now time.Time) {
	for id, at := range l.ended {
		if now.Sub(at) > 2*l.settings.Lease {
			delete(l.ended, id)
		}
	}
}

// Idle tells whether nothing is held and every result has been acknowledged.
func (l *Ledger) Idle() bool { return len(l.held) == 0 && len(l.results) == 0 }
