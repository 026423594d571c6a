// Package owner runs the engine in the process that owns the jobs: it stores what the engine decides before anything
// that follows is said or done, and carries orders to the nodes.
package owner

import (
	"context"
	"errors"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// Keys of the store. Entries write below InputPrefix, the owner below StatePrefix.
const (
	InputPrefix  = "qz/in/"
	JobPrefix    = InputPrefix + "job/"
	CancelPrefix = InputPrefix + "cancel/"
	StatePrefix  = "qz/state/"
)

const (
	// Grant is how long an executor keeps its tasks without word from an owner. It bridges the takeover by another owner,
	// most restarts of a node, and outages of the store of more than six seconds. It also is how long the tasks of a lost
	// executor stand still: together with lapse and takeoverSlack it has to stay below nine seconds, the time after which a
	// task that lasts counts as lost.
	Grant = 6500 * time.Millisecond
	// lapse is the time after which a grant has certainly ended: executors' clocks are up to 2% slow.
	lapse = Grant + Grant/25 + 300*time.Millisecond
	// takeoverSlack is how long a former owner whose key was taken away may believe that it still is the owner: a little more
	// than the lease of its key.
	takeoverSlack = ownership.LeaseTTL + 100*time.Millisecond
	// flushInterval is the least time between two writes, so that changes share them.
	flushInterval = 20 * time.Millisecond
	// tick is how often the engine looks at the time.
	tick = 100 * time.Millisecond
	// inputWait is how long a watch waits for new jobs.
	inputWait = 2 * time.Second
	// eventQueue bounds the events that wait for the engine; senders wait when it is full.
	eventQueue = 1024
	// pushTimeout bounds the delivery of orders.
	pushTimeout = 2 * time.Second
	// retention is how long the state of a finished job can be read.
	retention = 130 * time.Second
	// collectInterval is how often finished jobs are deleted, collectLimit how many at once.
	collectInterval = 2 * time.Second
	collectLimit    = 8
)

var (
	errLost   = errors.New("owner: ownership lost")
	errBroken = errors.New("owner: state broken")
)

// Operators follows what operators configure.
type Operators interface {
	// Follow calls apply with each state until ctx ends.
	Follow(ctx context.Context, apply func(OperatorState))
}

// OperatorState is what operators have configured.
type OperatorState struct {
	// Config is the newest configuration; nil before the first.
	Config *workflow.Config
	// Evacuated lists the failure domains that get no starts.
	Evacuated []string
}

// event changes the engine. The returned function, if any, is called once all changes up to then are stored.
type event func(now, wall time.Time) func()

// term is one tenure of the owner.
type term struct {
	tenure    *ownership.Tenure
	store     kv.Store
	operators Operators
	rpc       *rpc.Client
	log       hclog.Logger
	metrics   metrics
	farFactor float64

	engine *engine.Engine
	events chan event
	loaded chan struct{}

	// Only the loop uses these.
	commitRevision int64
	commitCount    int64
	commitDone     chan error
	committing     *batch
	waiting        []func()
	lastFlush      time.Time
	collected      time.Time
	deletions      []string
	quarantined    []string

	mu    sync.Mutex
	acked map[string]int64
}

type metrics struct {
	commits, changes, orders, rejected, lapsed, quarantined tally.Counter
	commitTime                                              tally.Histogram
	jobs, assigned                                          tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		commits: scope.Counter("owner_commits"), changes: scope.Counter("owner_changes"),
		orders: scope.Counter("owner_orders"), rejected: scope.Counter("owner_orders_rejected"),
		lapsed: scope.Counter("owner_lapsed_executors"), quarantined: scope.Counter("owner_quarantined_executors"),
		commitTime: scope.Histogram("owner_commit_seconds", tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 12)),
		jobs:       scope.Gauge("owner_jobs_active"), assigned: scope.Gauge("owner_tasks_assigned"),
	}
}

// batch is what is released once its changes are stored.
type batch struct {
	changes    []engine.Change
	deletions  []string
	after      []func()
	deliveries []engine.NodeOrders
	begun      time.Time
}

// run serves until the ownership is lost or ctx ends. It returns errLost in the first case.
func (t *term) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		if t.tenure.Keep(ctx) {
			cancel(errLost)
		}
	}()
	states, _, err := t.store.List(ctx, StatePrefix)
	if err != nil {
		return eris.Wrap(err, "records of the jobs")
	}
	records := t.parseRecords(states)
	now := time.Now()
	t.engine = engine.New(engine.Settings{
		LeaseDuration: Grant, LeaseExpiry: lapse, RemoteSlowdown: t.farFactor, Retention: retention, TakeoverSlack: takeoverSlack,
	}, now)
	inputs := make(chan func(), eventQueue)
	go t.followInputs(ctx, inputs, records)
	go t.operators.Follow(ctx, func(state OperatorState) { t.configure(ctx, state) })
	return t.guard(func() error { return t.loop(ctx, inputs) })
}

// guard turns a panic into the end of the term. The process goes on, and the next owner reads the stored state.
func (t *term) guard(run func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			t.log.Error("the owner's state is broken, the ownership is given up", "epoch", t.tenure.Record.Epoch, "cause", cause, "stack", string(debug.Stack()))
			err = errBroken
		}
	}()
	return run()
}

func (t *term) parseRecords(items []kv.Item) map[string]*workflow.JobRecord {
	records := make(map[string]*workflow.JobRecord, len(items))
	for _, item := range items {
		record := &workflow.JobRecord{}
		if err := rpc.Decode(item.Value, record); err != nil {
			t.log.Error("record of a job can't be read", "key", item.Key, "revision", item.Revision, "error", err)
			continue
		}
		records[strings.TrimPrefix(item.Key, StatePrefix)] = record
	}
	return records
}

// followInputs passes on the jobs and cancellations that entries have stored.
func (t *term) followInputs(ctx context.Context, inputs chan<- func(), records map[string]*workflow.JobRecord) {
	send := func(f func()) {
		select {
		case inputs <- f:
		case <-ctx.Done():
		}
	}
	first := true
	follower := &kv.Follower{
		Store: t.store, Prefix: InputPrefix, Wait: inputWait, Log: t.log,
		Reset: func(items []kv.Item) {
			send(func() {
				for _, item := range items {
					t.input(item, records, false)
				}
				if first {
					first = false
					close(t.loaded)
					t.log.Info("jobs loaded", "epoch", t.tenure.Record.Epoch, "inputs", len(items), "records", len(records))
				}
			})
		},
		Changed: func(e kv.Event) {
			if !e.Deleted {
				send(func() { t.input(e.Item, records, true) })
			}
		},
	}
	follower.Run(ctx)
}

// input takes over one job or cancellation. One that arrives live has just been stored, so that its age needs no comparison
// of the entry's time of day with this host's, which may be off by seconds.
func (t *term) input(item kv.Item, records map[string]*workflow.JobRecord, live bool) {
	now, wall := time.Now(), time.Now()
	if id, ok := strings.CutPrefix(item.Key, CancelPrefix); ok {
		if t.engine.Cancel(id, wall) {
			t.log.Debug("job cancelled", "job", id, "revision", item.Revision)
		}
		return
	}
	id, ok := strings.CutPrefix(item.Key, JobPrefix)
	if !ok {
		return
	}
	if record := records[id]; record != nil && record.Phase.Final() && len(record.Tasks) == 0 {
		t.engine.AddEnded(id, record)
		delete(records, id)
		return
	}
	spec, err := readJob(id, item.Value)
	if err != nil {
		t.log.Error("job can't be read", "key", item.Key, "revision", item.Revision, "error", err)
		return
	}
	if live {
		wall = time.UnixMilli(spec.AcceptedUnixMillis)
	}
	if t.engine.Add(spec, records[id], now, wall) {
		t.log.Info("job known", "job", id, "queue", spec.Queue.Name, "steps", len(spec.Steps), "revision", item.Revision,
			"recorded", records[id] != nil, "live", live, "age_ms", wall.UnixMilli()-spec.AcceptedUnixMillis,
			"chain_ms", t.engine.CriticalPath(id).Milliseconds(), "objective_ms", t.engine.Objective(id).Milliseconds(),
			"first_step", spec.Steps[0])
		delete(records, id)
	}
}

// readJob reads a stored job. Other writers can reach the store, so that a job is checked like one from a client: the owner
// and each of its successors would end with a job without steps.
func readJob(id string, value []byte) (workflow.Job, error) {
	var spec workflow.Job
	if err := rpc.Decode(value, &spec); err != nil {
		return spec, err
	}
	if spec.ID != id {
		return spec, eris.Errorf("the key names job %q, the value %q", id, spec.ID)
	}
	return spec, spec.Validate().Err()
}

func (t *term) configure(ctx context.Context, state OperatorState) {
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

// loop applies events, plans and stores until the term ends.
func (t *term) loop(ctx context.Context, inputs <-chan func()) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	flush := time.NewTimer(0)
	defer flush.Stop()
	for {
		select {
		case <-ctx.Done():
			return t.ended(ctx)
		case f := <-inputs:
			f()
		case e := <-t.events:
			t.apply(e)
		case err := <-t.commitDone:
			if err := t.committed(err); err != nil {
				return err
			}
		case <-ticker.C:
			t.tick()
		case <-flush.C:
		}
		t.drain(inputs)
		if t.committing == nil {
			if wait := flushInterval - time.Since(t.lastFlush); wait > 0 {
				flush.Reset(wait)
			} else {
				t.flush(ctx)
			}
		}
	}
}

func (t *term) ended(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), errLost) {
		return errLost
	}
	return nil
}

// drain applies everything that is already there, so that it shares a write.
func (t *term) drain(inputs <-chan func()) {
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
	if after := e(time.Now(), time.Now()); after != nil {
		t.waiting = append(t.waiting, after)
	}
}

func (t *term) tick() {
	now := time.Now()
	t.engine.Tick(now)
	for _, life := range t.engine.ExpireLeases(now) {
		t.metrics.lapsed.Inc(1)
		t.log.Info("tasks of an executor have lapsed", "executor", life, "epoch", t.tenure.Record.Epoch)
	}
	t.logQuarantine(now)
	counts := t.engine.Counts()
	t.metrics.jobs.Update(float64(counts.Active))
	t.metrics.assigned.Update(float64(counts.Assigned))
	if now.Sub(t.collected) > collectInterval {
		t.collected = now
		t.deletions = t.engine.ExpiredJobs(now, collectLimit)
	}
}

// logQuarantine logs which executors get no tasks any more, and which do again.
func (t *term) logQuarantine(now time.Time) {
	present := t.engine.Quarantined(now)
	for _, node := range present {
		if !slices.Contains(t.quarantined, node) {
			t.metrics.quarantined.Inc(1)
			t.log.Info("executor fails its tasks, it gets one at a time after a pause", "node", node, "epoch", t.tenure.Record.Epoch)
		}
	}
	for _, node := range t.quarantined {
		if !slices.Contains(present, node) {
			t.log.Info("executor gets tasks again", "node", node, "epoch", t.tenure.Record.Epoch)
		}
	}
	t.quarantined = present
}

// flush plans and begins to store what has changed.
func (t *term) flush(ctx context.Context) {
	t.engine.Plan(time.Now(), time.Now())
	b := &batch{
		changes: t.engine.TakeDirty(), deliveries: t.engine.TakeOrders(), after: t.waiting, deletions: t.deletions,
		begun: time.Now(),
	}
	t.waiting, t.deletions = nil, nil
	if len(b.changes) == 0 && len(b.deletions) == 0 {
		t.release(b)
		return
	}
	t.lastFlush = b.begun
	t.committing = b
	go func() { t.commitDone <- t.commit(ctx, b) }()
}

// committed releases what waited for a write.
func (t *term) committed(err error) error {
	b := t.committing
	t.committing = nil
	if err != nil {
		return err
	}
	t.metrics.commits.Inc(1)
	t.metrics.changes.Inc(int64(len(b.changes)))
	t.metrics.commitTime.RecordDuration(time.Since(b.begun))
	t.engine.MarkStored(b.changes)
	for _, c := range b.changes {
		if c.Record.Phase.Final() {
			t.log.Info("job ended", "job", c.Job, "phase", c.Record.Phase, "epoch", t.tenure.Record.Epoch, "revision", t.commitRevision)
		}
	}
	for _, id := range b.deletions {
		t.engine.Forget(id)
	}
	t.release(b)
	return nil
}

func (t *term) release(b *batch) {
	for _, after := range b.after {
		after()
	}
	for i := range b.deliveries {
		go t.deliver(&b.deliveries[i])
	}
}
