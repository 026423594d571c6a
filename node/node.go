// Package node controls the executor of one host: it renews the lease of the executor's tasks as long as an owner grants it,
// executes the owner's orders, and reports running and ended runs.
package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/node/sharing"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// Errors of an executor. Any other error means that the effect of the call is unknown.
var (
	// ErrOtherIncarnation means that the call reached another incarnation and had no effect.
	ErrOtherIncarnation = errors.New("node: another incarnation of the executor")
	// ErrNotDelivered means that the call certainly had no effect.
	ErrNotDelivered = errors.New("node: executor not reached")
	// ErrRefused is an ErrNotDelivered that shows that no executor runs at its address.
	ErrRefused = fmt.Errorf("%w: connection refused", ErrNotDelivered)
)

// RejectedError means that the executor rejected a call, which had no effect.
type RejectedError struct{ Reason string }

func (e *RejectedError) Error() string { return "node: executor rejected the call: " + e.Reason }

// Start is the order to start a run.
type Start struct {
	Task, Spec, Checkpoint, Ticket string
	Run                            int
	Fence                          int64
	// DeadlineMillis is the end of the lease of all runs on the executor, in milliseconds of the executor's clock.
	DeadlineMillis int64
}

// RunLists holds the running and ended runs that an executor lists.
type RunLists struct {
	// ClockMillis is the reading of the executor's clock.
	ClockMillis int64
	// StartedUnixMillis is the start time of the incarnation that responded, or 0 if the response did not contain it.
	StartedUnixMillis int64
	Running           []workflow.RunState
	Ended             []workflow.RunEnd
	// EndsComplete is set if the executor certainly has no further ends that are not acknowledged. Otherwise it lists the next
	// ones once the first are acknowledged.
	EndsComplete bool
}

// Executor is the interface to the executor on the host of the node.
type Executor interface {
	// Start starts a run. Repeating a call for a run that exists has no effect.
	Start(ctx context.Context, incarnation string, s Start) error
	// Stop ends a run, or prevents it from starting later.
	Stop(ctx context.Context, incarnation, task string, run int, fence int64) error
	// SetPace limits a run to a percentage of its full speed.
	SetPace(ctx context.Context, incarnation, task string, run, percent int, fence int64) error
	// Hold acknowledges ends up to ack, extends the lease of the runs to deadlineMillis (0 leaves it unchanged), and waits for a
	// run to end.
	Hold(ctx context.Context, incarnation string, fence, ack, deadlineMillis int64, wait time.Duration) (*RunLists, error)
	// Connect opens and closes a connection to whichever incarnation runs on the host, without any effect on it.
	Connect(ctx context.Context) error
}

// Node controls one executor on behalf of the owner.
type Node struct {
	name, address string
	incarnation   int64
	executor      Executor
	locator       *ownership.Locator
	rpc           *rpc.Client
	clock         *clock.Boot
	host          clock.Host
	log           hclog.Logger
	metrics       nodeMetrics

	mu sync.Mutex
	// current is the current incarnation of the executor, or nil if none is known.
	current *workflow.Executor
	// successor is another executor that was announced while the current one responded; nil for none.
	successor *successor
	// announceSequence is the sequence number of the last announcement of that incarnation.
	announceSequence int64
	// shrunkReport is the number of the last report before the capacity of that incarnation shrank.
	shrunkReport int64
	// clockMillis is a reading of the executor's clock that was received at clockAt.
	clockMillis int64
	clockAt     time.Time
	// lists is the newest response of the incarnation, or nil before the first. It arrived at listedAt and covers the orders
	// executed up to number listsCover.
	lists      *RunLists
	listedAt   time.Time
	listsCover int64
	// confirmed is true if the last call got a response from that incarnation.
	confirmed bool
	// departure is set from when that incarnation drains or has announced its end.
	departure *departure
	// brokenAt is when a connection to that incarnation was first broken or refused since it last responded; zero if none was.
	brokenAt time.Time
	// end follows whether that incarnation has ended, or if none is known all former ones.
	end executorEnd
	// executedOrders counts the executed orders, and lastUnknownStart is the number of the last start without a response.
	executedOrders, lastUnknownStart int64
	// unlistedStarts holds the runs that the incarnation has accepted, by the numbers of the starts, until its lists cover them.
	unlistedStarts map[int64]workflow.RunState
	// leaseEnd is the end of the lease, after which the runs end unless an owner renews it.
	leaseEnd time.Time
	// renewedUntil is the end of the lease that the executor has last confirmed by its answer to a hold call.
	renewedUntil time.Time
	// renewals tells when the executor's lease was last renewed.
	renewals renewalLog
	// leaseBound is the latest end of all leases that this process and former ones of the host can have passed on, to whichever
	// incarnation of the executor.
	leaseBound   time.Time
	epoch        int64
	ack          int64
	reportSentAt map[int64]time.Time
	reportNumber int64
	needsTraits  bool
	traits       map[string]workflow.RunTraits
	paces        map[string]int
	// losses is the latency headroom that each serving image (first key) loses to other images, as learned by the owner.
	losses map[string]map[string]float64
	// nearTarget holds the serving images whose latency has been near its target since the pace was last full.
	nearTarget map[string]bool
	pacer      *sharing.Controller
	// copies is how often a call to the executor is sent at most.
	copies     int
	wakeHold   chan struct{}
	wakeReport chan struct{}
}

type nodeMetrics struct {
	starts, rejected, unknown, stops, ends, reports, failedReports, repeated, suspensions, pauses tally.Counter
	startTime, reportTime                                                                         tally.Histogram
}

// New returns a node that reports under the given name and receives orders at the given address.
func New(name, address string, executor Executor, locator *ownership.Locator, client *rpc.Client, host clock.Host, log hclog.Logger, scope tally.Scope) *Node {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)
	boot := clock.NewBoot(host)
	if !boot.CountsSuspensions() {
		log.Warn("time since boot can't be read, leases don't count suspensions of the host")
	}
	copies := maxCopies
	if _, fetches := executor.(*Mailbox); fetches {
		// An order that is not fetched is withdrawn, so that it certainly has no effect.
		copies = 1
	}
	return &Node{
		copies: copies,
		name:   name, address: address, incarnation: time.Now().UnixNano(), executor: executor, locator: locator,
		leaseBound: boot.Now().Add(owner.ExecutorLeaseDuration), rpc: client, clock: boot, host: host, log: log, reportSentAt: map[int64]time.Time{},
		unlistedStarts: map[int64]workflow.RunState{}, needsTraits: true, traits: map[string]workflow.RunTraits{}, paces: map[string]int{}, nearTarget: map[string]bool{}, pacer: sharing.NewController(),
		wakeHold: make(chan struct{}, 1), wakeReport: make(chan struct{}, 1),
		metrics: nodeMetrics{
			starts: scope.Counter("node_starts"), rejected: scope.Counter("node_starts_rejected"),
			unknown: scope.Counter("node_starts_unknown"), stops: scope.Counter("node_stops"),
			ends: scope.Counter("node_ends"), reports: scope.Counter("node_reports"),
			failedReports: scope.Counter("node_reports_failed"), repeated: scope.Counter("node_calls_repeated"),
			suspensions: scope.Counter("node_suspensions"), pauses: scope.Counter("node_pauses"),
			startTime:  scope.Histogram("node_start_seconds", buckets),
			reportTime: scope.Histogram("node_report_seconds", buckets),
		},
	}
}

// Announce stores an announcement of the executor. It returns false for an announcement that is older than the last one,
// comes from a former incarnation, or names another executor while the current one responds.
func (n *Node) Announce(e workflow.Executor, sequence, clockMillis int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.announce(e, sequence, clockMillis)
}

// announce is Announce for callers that hold mu.
func (n *Node) announce(e workflow.Executor, sequence, clockMillis int64) bool {
	if n.current != nil && n.current.IncarnationID() != e.IncarnationID() {
		if !n.isReplacedBy(&e, sequence, clockMillis) {
			return false
		}
		n.forgetIncarnation()
	} else if n.current != nil && sequence <= n.announceSequence {
		return false
	}
	if n.current == nil {
		n.end = executorEnd{}
		n.log.Info("executor found", "executor", e.IncarnationID(), "pool", e.Pool, "cpu", e.Capacity.MilliCores, "memory_mb", e.Capacity.MemoryMB, "failure_domain", e.FailureDomain)
	}
	if n.departure.announced() {
		// An announcement that was sent before the end may arrive after it.
		e.Draining, e.Left = true, n.current.Left
	}
	if e.Draining && n.departure == nil {
		n.departure = newDeparture(true)
	}
	changed := n.current == nil || n.current.Draining != e.Draining || n.current.Capacity != e.Capacity
	if n.current != nil && n.current.Capacity != e.Capacity {
		n.changeCapacity(&e)
	}
	if changed && e.Draining {
		n.log.Info("executor leaves", "executor", e.IncarnationID(), "remaining_ms", e.RemainingMillis)
	}
	n.end.noteOtherResult()
	n.current, n.announceSequence = &e, sequence
	if n.clockAt.IsZero() && clockMillis > 0 {
		n.clockMillis, n.clockAt = clockMillis, n.clock.Now()
	}
	if changed {
		signal(n.wakeHold)
		signal(n.wakeReport)
	}
	return true
}

// changeCapacity records that the capacity of the executor has changed.
func (n *Node) changeCapacity(e *workflow.Executor) {
	n.log.Info("capacity changed", "executor", e.IncarnationID(), "cpu", e.Capacity.MilliCores, "memory_mb", e.Capacity.MemoryMB,
		"former_cpu", n.current.Capacity.MilliCores, "former_memory_mb", n.current.Capacity.MemoryMB)
	if !n.current.Capacity.Fits(e.Capacity) {
		n.shrunkReport = n.reportNumber
	}
}

// forgetIncarnation discards the state of the current incarnation.
func (n *Node) forgetIncarnation() {
	n.log.Info("executor replaced", "former", n.current.IncarnationID())
	n.current, n.successor, n.lists, n.ack, n.shrunkReport = nil, nil, nil, 0, 0
	n.endDeparture()
	n.end = executorEnd{}
	n.clockAt, n.brokenAt = time.Time{}, time.Time{}
	n.leaseEnd, n.renewedUntil = time.Time{}, time.Time{}
	n.pacer = sharing.NewController()
	clear(n.unlistedStarts)
	clear(n.paces)
	clear(n.nearTarget)
	clear(n.traits)
}

// extendLease moves the end of the lease to the time duration after sent, unless it ends later already.
func (n *Node) extendLease(sent time.Time, duration time.Duration) {
	end := sent.Add(duration)
	if duration <= 0 || !end.After(n.leaseEnd) {
		return
	}
	n.leaseEnd = end
	if end.After(n.leaseBound) {
		n.leaseBound = end
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run controls the executor until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { n.holdLoop(ctx) })
	loops.Go(func() { n.reportLoop(ctx) })
	loops.Go(func() { n.watchPauses(ctx) })
	loops.Wait()
}

const (
	// incarnationBits is the number of low bits of a fencing token that hold the start time of the executor's incarnation, in
	// steps of incarnationStep milliseconds. They wrap around after twelve days. JSON represents integers of up to 53 bits
	// exactly; the remaining 31 bits hold two thousand million store revisions.
	incarnationBits = 22
	incarnationStep = 250
)

// fence returns the fencing token of calls under an epoch. It increases with the epoch and with each incarnation of the
// executor, so that a delayed call to a former incarnation is rejected because of its lower token.
func (n *Node) fence(epoch int64) int64 {
	return epoch<<incarnationBits | n.current.StartedUnixMillis/incarnationStep&(1<<incarnationBits-1)
}

// deadline returns the end of the lease in milliseconds of the executor's clock, or 0 if there is no lease or no reading of the
// clock. The result errs on the early side: the executor's clock may be 2% slow, and the reading was taken before it arrived.
func (n *Node) deadline(now time.Time) int64 {
	if n.clockAt.IsZero() || !n.leaseEnd.After(now) {
		return 0
	}
	return n.clockMillis + n.leaseEnd.Sub(n.clockAt).Milliseconds()*98/100
}
