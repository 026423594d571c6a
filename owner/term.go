// Package owner runs the engine in the process that owns the jobs. It stores each decision of the engine before it
// acknowledges it or sends the resulting orders to the nodes.
package owner

import (
	"context"
	"errors"
	"runtime/debug"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// Store keys. Gateways write below InputPrefix, the owner below StatePrefix.
const (
	InputPrefix  = "qz/in/"
	JobPrefix    = InputPrefix + "job/"
	CancelPrefix = InputPrefix + "cancel/"
	StatePrefix  = "qz/state/"
)

const (
	// ExecutorLeaseDuration is how long an executor keeps running its tasks unless an owner renews its lease. It covers a
	// takeover by another owner, most restarts of a node, and store outages of more than six seconds. It also delays the
	// restart of the tasks of a lost executor: executorLeaseExpiry, which follows from it, and TakeoverSlack together must
	// stay below nine seconds, after which a long-running task counts as lost.
	ExecutorLeaseDuration = 6500 * time.Millisecond
	// OrdersTimeout limits the delivery of orders to a node, and how long the node goes on sending them to the executor.
	OrdersTimeout = 2 * time.Second
	// executorLeaseExpiry is the time after which an executor's lease has certainly expired: executors' clocks may be up to 2% slow.
	executorLeaseExpiry = ExecutorLeaseDuration + LeaseExpiryMargin
	// LeaseExpiryMargin is how long after the end of a lease that it has granted an owner may start the tasks of a lost executor elsewhere.
	// Owners of all versions count it, whatever the stop time in the settings, and whether the node has confirmed the end or not.
	LeaseExpiryMargin = ExecutorLeaseDuration/25 + MinStopMargin
	// MinStopMargin is the part of LeaseExpiryMargin that the owner allows an executor for stopping its tasks. The rest covers the drift of
	// the executor's clock.
	MinStopMargin = 300 * time.Millisecond
	// TakeoverSlack is how long a former owner whose key was deleted may still consider itself the owner: slightly longer than
	// the lease of its key.
	TakeoverSlack = ownership.LeaseTTL + 100*time.Millisecond
	// flushInterval is the minimum time between two writes, so that changes are batched.
	flushInterval = 20 * time.Millisecond
	// tickInterval is how often the engine checks for timeouts.
	tickInterval = 100 * time.Millisecond
	// inputWatchTimeout is how long one watch call waits for new jobs.
	inputWatchTimeout = 2 * time.Second
	// eventQueueSize limits the events that wait for the engine; senders block when the queue is full.
	eventQueueSize = 1024
	// defaultRetention is how long the state of a finished job is kept, unless the candidate says otherwise.
	defaultRetention = 130 * time.Second
	// collectInterval is how often expired finished jobs are deleted, and collectLimit how many at a time. fastCollectLimit applies while
	// the owner holds more than half of the tasks that it may hold: eight writes at a time.
	collectInterval  = 2 * time.Second
	collectLimit     = 8
	fastCollectLimit = 8 * (maxChangesPerCommit / rowsPerJob)
)

var (
	// errOwnershipLost ends a term when another process is, or may be, the owner.
	errOwnershipLost = errors.New("owner: ownership lost")
	// errTermEnded ends a term at a planned stop, while this process still holds the ownership.
	errTermEnded = errors.New("owner: term ended")
	// errWriteRefused means that the store refuses a write for what it contains. It ends the term, since the state in memory can't be stored.
	errWriteRefused = errors.New("owner: write refused by the store")
	errTermPanicked = errors.New("owner: panic in the loop of the term")
)

// event changes the engine in the loop of the term. now is the time on the clock of the term, wall the time of day. The returned
// function, if any, is called once all changes made so far are stored.
type event func(now, wall time.Time) func()

// term is the time during which this process holds the ownership once, with its engine and its event loop.
type term struct {
	lease *ownership.Lease
	// clock is the one by which the lease and the engine judge times.
	clock          *clock.Boot
	store          kv.Store
	operators      OperatorSource
	rpc            *rpc.Client
	log            hclog.Logger
	metrics        metrics
	remoteSlowdown float64
	// maxLease is the longest lease that executors take, by their own clocks, and stopMargin how long after its end they may take to stop
	// their tasks.
	maxLease, stopMargin time.Duration
	retention            time.Duration
	maxValueBytes        int
	// maxTasks is the most tasks that the owner may hold, as package admission counts; 0 for no limit.
	maxTasks int
	load     loadState

	engine *engine.Engine
	events chan event
	loaded chan struct{}

	// The fields up to mu are used only by the loop and by the commit that it runs.
	commitRevision int64
	commitCount    int64
	commitDone     chan error
	committing     *batch
	leases         *workflow.OwnerLeases
	afterCommit    []func()
	lastFlush      time.Time
	lastCollection time.Time
	// unreportedLogAt is when executors that have not reported are logged; zero once that is done.
	unreportedLogAt time.Time
	deletions       []string
	deletedJobs     deletedJobs
	quarantined     []string
	// contradictionLines limits the lines on contradictions.
	contradictionLines lineLimit
	// supersededLines limits the lines on superseded runs, supersededEndLines those on their ends.
	supersededLines, supersededEndLines lineLimit
	// misplacedLines limits the lines on misplaced runs.
	misplacedLines lineLimit

	mu    sync.Mutex
	acked map[string]int64
}

// run loads the jobs and runs the loop until the ownership is lost or ctx ends. It returns errOwnershipLost or errTermEnded then, and
// another error if the term has failed.
func (t *term) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		if t.lease.KeepAlive(ctx) {
			cancel(errOwnershipLost)
		}
	}()
	states, _, err := t.store.List(ctx, StatePrefix)
	if err != nil {
		return eris.Wrap(err, "list job records")
	}
	records := t.parseRecords(states)
	now := t.clock.Now()
	t.engine = engine.New(engine.Settings{
		LeaseDuration: ExecutorLeaseDuration, LeaseExpiry: executorLeaseExpiry, TakeoverSlack: TakeoverSlack,
		StaleLeaseExpiry: clock.LongestOnSlowClock(t.maxLease) + t.stopMargin, StopMargin: t.stopMargin, FirstOwner: t.lease.Former == nil,
		UnlistedMargin: t.stopMargin - MinStopMargin,
		RemoteSlowdown: t.remoteSlowdown, Retention: t.retention, Epoch: t.lease.Record.Epoch,
	}, now)
	t.inheritLeases()
	t.unreportedLogAt = now.Add(unreportedLogDelay)
	inputs := make(chan func(), eventQueueSize)
	go t.followInputs(ctx, inputs, records)
	go t.operators.Follow(ctx, func(state OperatorState) { t.applyOperatorState(ctx, state) })
	return t.recoverPanic(func() error { return t.loop(ctx, inputs) })
}

// recoverPanic turns a panic into errTermPanicked. This ends only the term: the process continues, and the next owner reads the
// stored state.
func (t *term) recoverPanic(run func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			t.log.Error("the owner's state is broken, the ownership is given up", "epoch", t.lease.Record.Epoch, "cause", cause, "stack", string(debug.Stack()))
			err = errTermPanicked
		}
	}()
	return run()
}
