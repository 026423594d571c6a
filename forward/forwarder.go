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

// Options configures a Forwarder. All pointers are required.
type Options struct {
	Pool      *Pool
	Table     *routing.Table
	Budget    *limit.RetryBudget
	Latencies *LatencyTracker
	Tracer    trace.Tracer
	Metrics   tally.Scope
	// Incarnation is different after each start of the process. It is part of the attempt IDs.
	Incarnation string
	// DeadlineMargin is subtracted from the time budget that is sent to agents, so that their response arrives before
	// the deadline.
	DeadlineMargin time.Duration
	// ResolveTimeout limits one resolve, and the time that fetching an answer takes beyond its wait.
	ResolveTimeout time.Duration
	// SuspectFor is how long an agent process gets no requests after it timed out or could not be reached.
	SuspectFor time.Duration
	// MinHedge is the minimum delay before a hedge.
	MinHedge time.Duration
	// MaxCleanups limits the concurrent background cancellations of abandoned attempts. An attempt over the limit isn't
	// cancelled and ends at the agent when its time budget is used up.
	MaxCleanups int
}

// Forwarder forwards requests to announced upstreams. It is safe for concurrent use.
type Forwarder struct {
	opts            Options
	counters        *counters
	cleanupSlots    chan struct{}
	runningCleanups sync.WaitGroup
	sequence        atomic.Uint64
}

// New returns a Forwarder.
func New(opts Options) *Forwarder {
	return &Forwarder{opts: opts, counters: newCounters(opts.Metrics), cleanupSlots: make(chan struct{}, opts.MaxCleanups)}
}

// Assigner records which attempt of a non-idempotent request may run, before that attempt is sent.
type Assigner interface {
	// Assign returns nil if the attempt may be sent. It is called before each attempt, and only if no earlier attempt
	// has run.
	Assign(ctx context.Context, target Target, attempt string) error
}

// Result is the final outcome of a request.
type Result struct {
	Outcome structs.Outcome
	Status  int
	Header  http.Header
	Body    []byte
	Reason  string
	// RetryAfter is how long the caller should wait before a retry, or 0 if a retry doesn't help.
	RetryAfter time.Duration
	// Agent is the name of the agent of the last attempt.
	Agent    string
	Attempts int
	// AssignError is the error of the assigner that prevented an attempt.
	AssignError error
}

// Wait waits until all background cancellations have ended.
func (f *Forwarder) Wait() { f.runningCleanups.Wait() }

// cancelInBackground resolves an attempt in the background, which cancels it if it is still queued.
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
		// The result is ignored because the caller has already been answered.
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
