// Package node drives the executor of one host: it renews the lease of the executor's tasks as long as an owner grants
// it, carries out orders, and reports what runs and what has ended.
package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/node/sharing"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// Errors of an executor. Any other error means that the effect of the call is unknown.
var (
	// ErrAnotherLife means that another incarnation answers at the address; the call had no effect.
	ErrAnotherLife = errors.New("node: another incarnation of the executor")
	// ErrNotReached means that the call certainly had no effect.
	ErrNotReached = errors.New("node: executor not reached")
)

// RejectedError is the executor's refusal of a call, which had no effect.
type RejectedError struct{ Reason string }

func (e *RejectedError) Error() string { return "node: executor rejected the call: " + e.Reason }

// Start is the order to start a run.
type Start struct {
	Task, Spec, Saved, Ticket string
	Run                       int
	Fence                     int64
	// DeadlineMillis is when everything on the executor ends, on the executor's clock.
	DeadlineMillis int64
}

// Lists is what an executor says of its runs.
type Lists struct {
	// ClockMillis is the executor's clock.
	ClockMillis int64
	// BornUnixMillis names the incarnation that answered; 0 if the answer didn't tell.
	BornUnixMillis int64
	Running        []workflow.RunState
	Ended          []workflow.RunEnd
}

// Executor is the interface of the executor beside the node.
type Executor interface {
	// Start starts a run. Repeating a call for a run that exists has no effect.
	Start(ctx context.Context, life string, s Start) error
	// Stop ends a run, or keeps it from ever starting.
	Stop(ctx context.Context, life, task string, run int, fence int64) error
	// Pace lets a run work at a share in percent.
	Pace(ctx context.Context, life, task string, run, percent int, fence int64) error
	// Hold acknowledges ends up to ack, sets the time up to which runs go on (0 leaves it), and waits for an end.
	Hold(ctx context.Context, life string, fence, ack, deadlineMillis int64, wait time.Duration) (*Lists, error)
}

// Node drives one executor.
type Node struct {
	name, address string
	incarnation   int64
	executor      Executor
	locator       *ownership.Locator
	rpc           *rpc.Client
	log           hclog.Logger
	metrics       nodeMetrics

	mu sync.Mutex
	// current is the incarnation of the executor; nil while none is known.
	current *workflow.Executor
	// sequence is of the last announcement of that incarnation.
	sequence int64
	// clockMillis is a reading of the executor's clock that was received at clockAt.
	clockMillis int64
	clockAt     time.Time
	// lists is the newest answer of the incarnation; nil before the first. It arrived at listedAt, and covers is the
	// operations it covers.
	lists    *Lists
	listedAt time.Time
	covers   int64
	// confirmed tells that the last call was answered by that incarnation.
	confirmed bool
	// operations counts the orders that were carried out, and unsure is the number of the last start without an answer.
	operations, unsure int64
	// grantEnd is when the runs end unless an owner grants more.
	grantEnd time.Time
	epoch    int64
	ack      int64
	sent     map[int64]time.Time
	number   int64
	unaware  bool
	traits   map[string]workflow.RunTraits
	paces    map[string]int
	// losses is the headroom that images take from serving ones, as the owner has learned.
	losses map[string]map[string]float64
	// pressed holds the serving images that have been near their bounds since the pace was last full.
	pressed    map[string]bool
	pacer      *sharing.Controller
	wakeHold   chan struct{}
	wakeReport chan struct{}
}

type nodeMetrics struct {
	starts, rejected, unknown, stops, ends, reports, failedReports tally.Counter
	startTime, reportTime                                          tally.Histogram
}

// New returns a node that reports as name and takes orders at address.
func New(name, address string, executor Executor, locator *ownership.Locator, client *rpc.Client, log hclog.Logger, scope tally.Scope) *Node {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)
	return &Node{
		name: name, address: address, incarnation: time.Now().UnixNano(), executor: executor, locator: locator,
		rpc: client, log: log, sent: map[int64]time.Time{}, unaware: true,
		traits: map[string]workflow.RunTraits{}, paces: map[string]int{}, pressed: map[string]bool{}, pacer: sharing.NewController(),
		wakeHold: make(chan struct{}, 1), wakeReport: make(chan struct{}, 1),
		metrics: nodeMetrics{
			starts: scope.Counter("node_starts"), rejected: scope.Counter("node_starts_rejected"),
			unknown: scope.Counter("node_starts_unknown"), stops: scope.Counter("node_stops"),
			ends: scope.Counter("node_ends"), reports: scope.Counter("node_reports"),
			failedReports: scope.Counter("node_reports_failed"),
			startTime:     scope.Histogram("node_start_seconds", buckets),
			reportTime:    scope.Histogram("node_report_seconds", buckets),
		},
	}
}

// Announce takes over what the executor says of itself. It returns false for an announcement that is older than what is
// known.
func (n *Node) Announce(e workflow.Executor, sequence, clockMillis int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current != nil && n.current.IncarnationID() != e.IncarnationID() {
		if e.StartedUnixMillis < n.current.StartedUnixMillis {
			n.log.Info("announcement of a former executor ignored", "executor", e.IncarnationID(), "current", n.current.IncarnationID())
			return false
		}
		n.forget()
	} else if n.current != nil && sequence <= n.sequence {
		return false
	}
	if n.current == nil {
		n.log.Info("executor found", "executor", e.IncarnationID(), "pool", e.Pool, "cpu", e.Capacity.MilliCores, "memory_mb", e.Capacity.MemoryMB, "failure_domain", e.FailureDomain)
	}
	changed := n.current == nil || n.current.Draining != e.Draining
	if changed && e.Draining {
		n.log.Info("executor leaves", "executor", e.IncarnationID(), "remaining_ms", e.RemainingMillis)
	}
	n.current, n.sequence = &e, sequence
	if n.clockAt.IsZero() && clockMillis > 0 {
		n.clockMillis, n.clockAt = clockMillis, time.Now()
	}
	if changed {
		wake(n.wakeHold)
		wake(n.wakeReport)
	}
	return true
}

// Leave notes that the executor has ended.
func (n *Node) Leave(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil || n.current.ID != id {
		return
	}
	n.log.Info("executor has left", "executor", n.current.IncarnationID())
	n.current.Draining = true
	wake(n.wakeReport)
}

// forget drops what is known of an incarnation.
func (n *Node) forget() {
	n.log.Info("executor replaced", "former", n.current.IncarnationID())
	n.current, n.lists, n.ack = nil, nil, 0
	n.clockAt = time.Time{}
	n.grantEnd = time.Time{}
	n.pacer = sharing.NewController()
	clear(n.paces)
	clear(n.pressed)
	clear(n.traits)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run drives the executor until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { n.holdLoop(ctx) })
	loops.Go(func() { n.reportLoop(ctx) })
	loops.Wait()
}

const (
	// lifeBits of a fence tell incarnations of an executor apart, in steps of lifeStep milliseconds; they repeat after
	// twelve days. What is left of the 53 bits that JSON carries exactly holds two thousand million revisions of the store.
	lifeBits = 22
	lifeStep = 250
)

// fence returns the fencing token of calls under an epoch. It rises with the epoch, and with each incarnation of the
// executor: a call to a former incarnation that is carried out late finds a higher one.
func (n *Node) fence(epoch int64) int64 {
	return epoch<<lifeBits | n.current.StartedUnixMillis/lifeStep&(1<<lifeBits-1)
}

// deadline returns the end of the grant on the executor's clock; 0 if there is no grant or no reading of the clock. The
// executor's clock may be 2% slow, and the reading is older than its receipt.
func (n *Node) deadline(now time.Time) int64 {
	if n.clockAt.IsZero() || !n.grantEnd.After(now) {
		return 0
	}
	return n.clockMillis + n.grantEnd.Sub(n.clockAt).Milliseconds()*98/100
}
