// Package gateway accepts jobs from clients, returns their states and cancels them. A job counts as accepted once it is in the
// store.
package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/intake"
	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// Errors of requests. Callers compare with errors.Is.
var (
	// ErrUnknown means that a request may have taken effect or may still do so. The client has to repeat it or query the state.
	ErrUnknown = errors.New("gateway: result unknown")
	// ErrUnavailable means that the request had no effect and will not have one later.
	ErrUnavailable = errors.New("gateway: unavailable")
	// ErrTooLarge means that a job takes more bytes than the store takes for a value. The request had no effect.
	ErrTooLarge = errors.New("gateway: job too large")
	// ErrUnsupported means that jobs of the queue can't be run with its configuration. The request had no effect.
	ErrUnsupported = errors.New("gateway: queue not supported")
	// ErrCancelled means that a job was cancelled before it was stored. It was not accepted, and no submission of it that was sent before
	// the cancellation takes effect.
	ErrCancelled = errors.New("gateway: job was cancelled before it was stored")
	// ErrNotFound means that no such job exists.
	ErrNotFound = errors.New("gateway: no such job")
)

const (
	// ownerQueryTimeout limits one query to the owner. If it fails, the store is queried instead.
	ownerQueryTimeout = 500 * time.Millisecond
	// firstPathTimeout limits the first attempt of a write before the alternative is tried. Jobs are first stored directly and
	// then through the owner, cancellations the other way round.
	firstPathTimeout = 700 * time.Millisecond
	// retryDelay is the pause between attempts to store a cancellation.
	retryDelay = 60 * time.Millisecond
	// maxOwnerReplyBytes limits a response of the owner, which is a state or a number.
	maxOwnerReplyBytes = 64 << 10
)

// Gateway serves the clients that connect to one process.
type Gateway struct {
	store   *kv.Monitor
	locator *ownership.Locator
	rpc     *rpc.Client
	log     hclog.Logger
	writer  *intake.Writer
	metrics metrics

	tombstones *tombstones

	config atomic.Pointer[workflow.Config]

	submitted *submissions
	phases    *finalPhases

	// instance identifies this gateway to owners.
	instance string
	loads    *loads
	recent   *recentJobs
	// lookups holds an element for each refused submission that is being looked up.
	lookups chan struct{}
	// deciding is held while a job is decided on and counted.
	deciding sync.Mutex
}

type metrics struct {
	accepted, repeated, unavailable, unsupported, unknown, cancelled, tombstones, states, fallbacks, relayed tally.Counter
	acceptTime, stateTime                                                                                    tally.Histogram
	loadAsked                                                                                                tally.Counter
	summaryAge                                                                                               tally.Gauge
	scope                                                                                                    tally.Scope
}

// New returns a gateway. It accepts jobs once Run is called.
func New(store *kv.Monitor, locator *ownership.Locator, client *rpc.Client, log hclog.Logger, scope tally.Scope) *Gateway {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)
	return &Gateway{
		store: store, locator: locator, rpc: client.WithMaxResponse(maxOwnerReplyBytes), log: log, writer: intake.NewWriter(store, log),
		tombstones: newTombstones(store, log),
		phases:     newFinalPhases(), submitted: newSubmissions(),
		instance: strconv.FormatUint(rand.Uint64(), 36), loads: newLoads(), recent: newRecentJobs(time.Now()),
		lookups: make(chan struct{}, maxLookups),
		metrics: metrics{
			accepted: scope.Counter("jobs_accepted"), repeated: scope.Counter("jobs_repeated"),
			unavailable: scope.Counter("requests_unavailable"), unsupported: scope.Counter("requests_unsupported"), unknown: scope.Counter("requests_unknown"),
			cancelled: scope.Counter("jobs_cancelled"), tombstones: scope.Counter("tombstones_stored"), states: scope.Counter("states_asked"),
			relayed:    scope.Counter("jobs_relayed"),
			fallbacks:  scope.Counter("states_from_store"),
			acceptTime: scope.Histogram("job_accept_seconds", buckets),
			stateTime:  scope.Histogram("state_seconds", buckets),
			loadAsked:  scope.Counter("load_asked"), summaryAge: scope.Gauge("load_summary_age_seconds"), scope: scope,
		},
	}
}

// Run follows the configuration and writes submitted jobs until ctx ends.
func (g *Gateway) Run(ctx context.Context, operators owner.OperatorSource) {
	go g.writer.Run(ctx)
	go g.tombstones.run(ctx)
	operators.Follow(ctx, func(state owner.OperatorState) {
		current := g.config.Load()
		if state.Config == nil || current != nil && state.Config.Version <= current.Version {
			return
		}
		g.config.Store(state.Config)
		g.log.Info("configuration in force", "version", state.Config.Version, "queues", len(state.Config.Queues))
	})
}

// Config returns the configuration in force, or nil if none was received yet.
func (g *Gateway) Config() *workflow.Config { return g.config.Load() }

// Ready reports whether the gateway can serve clients.
func (g *Gateway) Ready() bool { return g.config.Load() != nil }
