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
	"github.com/uber-go/tally/v4"

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
	// restart of the tasks of a lost executor: executorLeaseExpiry, which follows from it, and takeoverSlack together must
	// stay below nine seconds, after which a long-running task counts as lost.
	ExecutorLeaseDuration = 6500 * time.Millisecond
	// executorLeaseExpiry is the time after which an executor's lease has certainly expired: executors' clocks may be up to 2% slow.
	executorLeaseExpiry = ExecutorLeaseDuration + ExecutorLeaseDuration/25 + 300*time.Millisecond
	// takeoverSlack is how long a former owner whose key was deleted may still consider itself the owner: slightly longer than
	// the lease of its key.
	takeoverSlack = ownership.LeaseTTL + 100*time.Millisecond
	// flushInterval is the minimum time between two writes, so that changes are batched.
	flushInterval = 20 * time.Millisecond
	// tickInterval is how often the engine checks for timeouts.
	tickInterval = 100 * time.Millisecond
	// inputWatchTimeout is how long one watch call waits for new jobs.
	inputWatchTimeout = 2 * time.Second
	// eventQueueSize limits the events that wait for the engine; senders block when the queue is full.
	eventQueueSize = 1024
	// ordersTimeout limits the delivery of orders to a node.
	ordersTimeout = 2 * time.Second
	// defaultRetention is how long the state of a finished job is kept, unless the candidate says otherwise.
	defaultRetention = 130 * time.Second
	// collectInterval is how often expired finished jobs are deleted, and collectLimit how many at a time.
	collectInterval = 2 * time.Second
	collectLimit    = 8
)

var (
	errOwnershipLost = errors.New("owner: ownership lost")
	errTermPanicked  = errors.New("owner: panic in the loop of the term")
)

// OperatorSource provides the state that operators configure.
type OperatorSource interface {
	// Follow calls apply with the current state and with each change until ctx ends.
	Follow(ctx context.Context, apply func(OperatorState))
}

// OperatorState is the state that operators have configured.
type OperatorState struct {
	// Config is the newest configuration, or nil if none was received yet.
	Config *workflow.Config
	// Evacuated lists the failure domains in which no tasks are started.
	Evacuated []string
}

// event changes the engine in the loop of the term, at a time on the clock of the term and the time of day. The returned function, if any, is called once all changes made so far are
// stored.
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
	retention      time.Duration

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

	mu    sync.Mutex
	acked map[string]int64
}

type metrics struct {
	commits, changes, orders, rejected, lapsed, departed, ended, quarantined, crashed, givenUp tally.Counter
	commitTime                                                                                 tally.Histogram
	jobs, assigned                                                                             tally.Gauge
	scope                                                                                      tally.Scope
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		commits: scope.Counter("owner_commits"), changes: scope.Counter("owner_changes"),
		orders: scope.Counter("owner_orders"), rejected: scope.Counter("owner_orders_rejected"),
		lapsed: scope.Counter("owner_lapsed_executors"), departed: scope.Counter("owner_departed_executors"), ended: scope.Counter("owner_ended_executors"), quarantined: scope.Counter("owner_quarantined_executors"),
		crashed: scope.Counter("owner_crashed_executors"), givenUp: scope.Counter("owner_given_up_jobs"),
		commitTime: scope.Histogram("owner_commit_seconds", tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 12)),
		jobs:       scope.Gauge("owner_jobs_active"), assigned: scope.Gauge("owner_tasks_assigned"),
		scope: scope,
	}
}

// batch holds the changes of one flush, and the callbacks and orders that must wait until they are stored.
type batch struct {
	changes     []engine.Change
	deletions   []string
	afterCommit []func()
	deliveries  []engine.NodeOrders
	started     time.Time
}

// run loads the jobs and runs the loop until the ownership is lost or ctx ends. It returns errOwnershipLost in the first case.
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
		LeaseDuration: ExecutorLeaseDuration, LeaseExpiry: executorLeaseExpiry, RemoteSlowdown: t.remoteSlowdown, Retention: t.retention, TakeoverSlack: takeoverSlack,
		Epoch: t.lease.Record.Epoch,
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

func (t *term) applyOperatorState(ctx context.Context, state OperatorState) {
	apply := func(now, wall time.Time) func() {
		if state.Config != nil && state.Config.Version != t.engine.ConfigVersion() {
			taken := t.engine.Configure(state.Config)
			t.log.Info("configuration received", "version", state.Config.Version, "in_force", t.engine.ConfigVersion(), "taken", taken)
		}
		t.engine.SetEvacuated(state.Evacuated)
		return nil
	}
	select {
	case t.events <- apply:
	case <-ctx.Done():
	}
}

// loop applies inputs and events, plans tasks and stores the changes until the term ends.
func (t *term) loop(ctx context.Context, inputs <-chan func()) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	flush := time.NewTimer(0)
	defer flush.Stop()
	for {
		select {
		case <-ctx.Done():
			return t.endError(ctx)
		case f := <-inputs:
			f()
		case e := <-t.events:
			t.apply(e)
		case err := <-t.commitDone:
			if err := t.finishCommit(err); err != nil {
				return err
			}
		case <-ticker.C:
			t.tick()
		case <-flush.C:
		}
		t.applyPending(inputs)
		if t.committing == nil {
			if wait := flushInterval - time.Since(t.lastFlush); wait > 0 {
				flush.Reset(wait)
			} else {
				t.flush(ctx)
			}
		}
	}
}

func (t *term) endError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), errOwnershipLost) {
		return errOwnershipLost
	}
	return nil
}

// applyPending applies all inputs and events that are already queued, so that they share one write.
func (t *term) applyPending(inputs <-chan func()) {
	for {
		select {
		case f := <-inputs:
			f()
		case e := <-t.events:
			t.apply(e)
		default:
			return
		}
	}
}

func (t *term) apply(e event) {
	if after := e(t.clock.Now(), time.Now()); after != nil {
		t.afterCommit = append(t.afterCommit, after)
	}
}

func (t *term) tick() {
	now := t.clock.Now()
	t.engine.Tick(now)
	for _, l := range t.engine.ExpireLeases(now) {
		t.metrics.lapsed.Inc(1)
		t.log.Info("tasks of an executor have lapsed", "executor", l.Incarnation, "tasks", l.Tasks, "lease_known_from", l.Source, "epoch", t.lease.Record.Epoch)
	}
	t.logUnreported(now)
	t.logQuarantine(now)
	t.logCrashes()
	counts := t.engine.Counts()
	t.metrics.jobs.Update(float64(counts.Active))
	t.metrics.assigned.Update(float64(counts.Assigned))
	if now.Sub(t.lastCollection) > collectInterval {
		t.lastCollection = now
		t.deletions = t.engine.ExpiredJobs(t.clock.Now(), collectLimit)
	}
}

// flush plans tasks and starts to store the changes. If nothing has changed, it releases the batch at once.
func (t *term) flush(ctx context.Context) {
	t.engine.Plan(t.clock.Now(), time.Now())
	t.logWaits()
	t.logIdle()
	b := &batch{
		changes: t.engine.TakeDirty(), deliveries: t.engine.TakeOrders(), afterCommit: t.afterCommit, deletions: t.deletions,
		started: time.Now(),
	}
	t.afterCommit, t.deletions = nil, nil
	if len(b.changes) == 0 && len(b.deletions) == 0 {
		t.release(b)
		return
	}
	t.lastFlush = b.started
	t.committing = b
	go func() { t.commitDone <- t.commit(ctx, b) }()
}

// finishCommit marks the changes of a commit as stored and releases its batch.
func (t *term) finishCommit(err error) error {
	b := t.committing
	t.committing = nil
	if err != nil {
		return err
	}
	t.metrics.commits.Inc(1)
	t.metrics.changes.Inc(int64(len(b.changes)))
	t.metrics.commitTime.RecordDuration(time.Since(b.started))
	t.engine.MarkStored(b.changes)
	for _, c := range b.changes {
		if c.Record.Phase.Final() {
			t.log.Info("job ended", "job", c.Job, "phase", c.Record.Phase, "epoch", t.lease.Record.Epoch, "revision", t.commitRevision)
		}
	}
	for _, id := range b.deletions {
		t.engine.Forget(id)
		t.deletedJobs.add(id, t.commitRevision, time.Now())
	}
	t.release(b)
	return nil
}

func (t *term) release(b *batch) {
	for _, after := range b.afterCommit {
		after()
	}
	for i := range b.deliveries {
		go t.deliver(&b.deliveries[i])
	}
}
