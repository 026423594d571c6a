package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/routing"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Options configures a forwarder. All pointers are required.
type Options struct {
	Pool      *Pool
	Table     *routing.Table
	Budget    *limit.RetryBudget
	Latencies *LatencyTracker
	Tracer    trace.Tracer
	Metrics   tally.Scope
	// Incarnation differs for each start of the process and is part of the IDs of its attempts.
	Incarnation string
	// DeadlineMargin is taken off the budget that agents are told, so that their response arrives before the deadline.
	DeadlineMargin time.Duration
	// ResolveTimeout bounds one resolve or fetch.
	ResolveTimeout time.Duration
	// SuspectFor is how long an agent process gets no requests after it was silent or unreachable.
	SuspectFor time.Duration
	// MinHedge is the least delay before a hedge.
	MinHedge time.Duration
	// MaxCleanups bounds the concurrent cancellations of attempts that nobody waits for. Beyond it, an attempt ends at
	// the agent by its own budget.
	MaxCleanups int
}

// Forwarder answers requests by means of the announced upstreams. It is safe for concurrent use.
type Forwarder struct {
	opts            Options
	counters        *counters
	cleanupSlots    chan struct{}
	runningCleanups sync.WaitGroup
	sequence        atomic.Uint64
}

// New returns a forwarder.
func New(opts Options) *Forwarder {
	return &Forwarder{opts: opts, counters: newCounters(opts.Metrics), cleanupSlots: make(chan struct{}, opts.MaxCleanups)}
}

// Assigner records which attempt of a non-idempotent request may run.
type Assigner interface {
	// Assign returns nil when the attempt may be sent. It is called before each attempt, when every earlier attempt has
	// certainly not run.
	Assign(ctx context.Context, target Target, attempt string) error
}

// Result is the final outcome of a request.
type Result struct {
	Outcome structs.Outcome
	Status  int
	Header  http.Header
	Body    []byte
	Reason  string
	// RetryAfter is set when a retry by the caller helps.
	RetryAfter time.Duration
	// Agent names the agent of the last attempt.
	Agent    string
	Attempts int
	// AssignError is the error of the assigner that kept the request from running.
	AssignError error
}

// Wait returns when no cancellation is under way.
func (f *Forwarder) Wait() { f.runningCleanups.Wait() }

// cancelInBackground cancels an attempt in the background if it is still queued.
func (f *Forwarder) cancelInBackground(ctx context.Context, target Target, attempt string) {
	select {
	case f.cleanupSlots <- struct{}{}:
	default:
		f.counters.cleanupsSkipped.Inc(1)
		return
	}
	ctx = context.WithoutCancel(ctx)
	f.runningCleanups.Go(func() {
		defer func() { <-f.cleanupSlots }()
		// The result is of no use to anyone: the caller has been answered.
		_, _ = f.Resolve(ctx, target, attempt)
	})
}

type counters struct {
	attempts, retries, hedges, hedgesWon   tally.Counter
	cleanupsSkipped                        tally.Counter
	resolves, resolvesFailed, budgetDenied tally.Counter
	scope                                  tally.Scope
}

func newCounters(scope tally.Scope) *counters {
	scope = scope.SubScope("forward")
	return &counters{
		attempts: scope.Counter("attempts"), retries: scope.Counter("retries"), hedges: scope.Counter("hedges"),
		hedgesWon: scope.Counter("hedges_won"), cleanupsSkipped: scope.Counter("cleanups_skipped"),
		resolves: scope.Counter("resolves"), resolvesFailed: scope.Counter("resolves_failed"),
		budgetDenied: scope.Counter("budget_denied"), scope: scope,
	}
}

func (c *counters) fault(kind Fault) {
	c.scope.Tagged(map[string]string{"kind": string(kind)}).Counter("faults").Inc(1)
}
