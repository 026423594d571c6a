// Package node controls the executor of one host: it renews the lease of the executor's tasks as long as an owner grants it,
// executes the owner's orders, and reports running and ended runs.
package node

import (
	"context"
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
	// former is the incarnation before the current one; zero if none is known.
	former formerIncarnation
	// successor is another executor that was announced while the current one responded; nil for none.
	successor *successor
	// announceSequence is the sequence number of the last announcement of that incarnation.
	announceSequence int64
	// shrunkReport is the number of the last report before the capacity of that incarnation shrank.
	shrunkReport int64
	// changedReport is the number of the last report before another incarnation took the place of the current one, or the pool, the
	// labels or the failure domain of the current one changed.
	changedReport int64
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
	leaseBound time.Time
	// grantedUntil is the latest end of all leases that owners have granted to this process, for whichever incarnation, or may have
	// granted to former ones.
	grantedUntil time.Time
	// leaseCalls holds the calls that may give the next incarnation a lease, and staleLease the lease that the current incarnation may
	// have from such calls. Calls of former processes of the node may be carried out until formerCallsUntil. firstID is the ID of the
	// executor that was the first to respond to this process.
	leaseCalls       leaseCalls
	firstID          string
	staleLease       staleLease
	formerCallsUntil time.Time
	probe            tokenProbe
	// staleStops holds the stops of runs under the stale lease.
	staleStops map[staleRun]*staleStop
	// maxLease is the longest lease that the executor takes, by its own clock.
	maxLease time.Duration
	// maxStopTime is the longest time that the executor takes to stop a run.
	maxStopTime time.Duration
	// fetches is set if the executor fetches its orders.
	fetches      bool
	epoch        int64
	tokenFloor   tokenFloor
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
	// timedStops tells how long stops take.
	timedStops timedStops
	// copies is how often a call to the executor is sent at most.
	copies     int
	wakeHold   chan struct{}
	wakeReport chan struct{}
	wakeStops  chan struct{}
}

type nodeMetrics struct {
	starts, rejected, unknown, stops, ends, reports, failedReports, repeated, suspensions, pauses, staleAnswers tally.Counter
	startTime, reportTime                                                                                       tally.Histogram
	stopping                                                                                                    stopMetrics
}

// New returns a node that reports under the given name and receives orders at the given address.
func New(
	name, address string, executor Executor, locator *ownership.Locator, client *rpc.Client, host clock.Host, log hclog.Logger,
	scope tally.Scope,
) *Node {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)
	boot := clock.NewBoot(host)
	if !boot.CountsSuspensions() {
		log.Warn("time since boot can't be read, leases don't count suspensions of the host")
	}
	copies := maxCopies
	_, fetches := executor.(*Mailbox)
	if fetches {
		// An order that is not fetched is withdrawn, so that it certainly has no effect.
		copies = 1
	}
	return &Node{
		copies: copies,
		name:   name, address: address, incarnation: time.Now().UnixNano(), executor: executor, locator: locator,
		leaseBound: boot.Now().Add(owner.ExecutorLeaseDuration), grantedUntil: boot.Now().Add(owner.ExecutorLeaseDuration),
		leaseCalls:       leaseCalls{open: map[int64]leaseCall{}},
		formerCallsUntil: host.Now().Add(staleCallLimit), maxLease: DefaultMaxLease, fetches: fetches, rpc: client.WithMaxResponse(owner.MaxReportReplyBytes), clock: boot, host: host, log: log,
		reportSentAt: map[int64]time.Time{}, unlistedStarts: map[int64]workflow.RunState{},
		needsTraits: true, traits: map[string]workflow.RunTraits{}, paces: map[string]int{}, nearTarget: map[string]bool{},
		pacer:      sharing.NewController(),
		staleStops: map[staleRun]*staleStop{},
		wakeHold:   make(chan struct{}, 1), wakeReport: make(chan struct{}, 1), wakeStops: make(chan struct{}, 1),
		metrics: nodeMetrics{
			starts: scope.Counter("node_starts"), rejected: scope.Counter("node_starts_rejected"),
			unknown: scope.Counter("node_starts_unknown"), stops: scope.Counter("node_stops"),
			ends: scope.Counter("node_ends"), reports: scope.Counter("node_reports"),
			failedReports: scope.Counter("node_reports_failed"), repeated: scope.Counter("node_calls_repeated"),
			suspensions: scope.Counter("node_suspensions"), pauses: scope.Counter("node_pauses"),
			staleAnswers: scope.Counter("node_stale_answers"),
			startTime:    scope.Histogram("node_start_seconds", buckets),
			reportTime:   scope.Histogram("node_report_seconds", buckets),
			stopping:     newStopMetrics(scope),
		},
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
	loops.Go(func() { n.staleStopLoop(ctx) })
	loops.Go(func() { n.watchPauses(ctx) })
	loops.Wait()
}
