// Package gateway accepts jobs from clients, returns their states and cancels them. A job counts as accepted once it is in the
// store.
package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
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
	// ErrUnsupported means that jobs of the queue can't be run with its configuration. The request had no effect.
	ErrUnsupported = errors.New("gateway: queue not supported")
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
	// maxCachedPhases limits the number of final phases that are cached.
	maxCachedPhases = 20000
)

// Gateway serves the clients that connect to one process.
type Gateway struct {
	store   *kv.Monitor
	locator *ownership.Locator
	rpc     *rpc.Client
	log     hclog.Logger
	writer  *intake.Writer
	metrics metrics

	config atomic.Pointer[workflow.Config]

	submitted *submissions

	mu     sync.Mutex
	phases map[string]workflow.Phase
}

type metrics struct {
	accepted, repeated, unavailable, unsupported, unknown, cancelled, states, fallbacks, relayed tally.Counter
	acceptTime, stateTime                                                                        tally.Histogram
}

// New returns a gateway. It accepts jobs once Run is called.
func New(store *kv.Monitor, locator *ownership.Locator, client *rpc.Client, log hclog.Logger, scope tally.Scope) *Gateway {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)
	return &Gateway{
		store: store, locator: locator, rpc: client, log: log, writer: intake.NewWriter(store, log),
		phases: map[string]workflow.Phase{}, submitted: newSubmissions(),
		metrics: metrics{
			accepted: scope.Counter("jobs_accepted"), repeated: scope.Counter("jobs_repeated"),
			unavailable: scope.Counter("requests_unavailable"), unsupported: scope.Counter("requests_unsupported"), unknown: scope.Counter("requests_unknown"),
			cancelled: scope.Counter("jobs_cancelled"), states: scope.Counter("states_asked"),
			relayed:    scope.Counter("jobs_relayed"),
			fallbacks:  scope.Counter("states_from_store"),
			acceptTime: scope.Histogram("job_accept_seconds", buckets),
			stateTime:  scope.Histogram("state_seconds", buckets),
		},
	}
}

// Run follows the configuration and writes submitted jobs until ctx ends.
func (g *Gateway) Run(ctx context.Context, operators owner.OperatorSource) {
	go g.writer.Run(ctx)
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

// Submit stores a job. Repeating it has no effect. Errors match ErrUnsupported, ErrUnavailable or ErrUnknown.
func (g *Gateway) Submit(ctx context.Context, job *workflow.Job) error {
	started := time.Now()
	if job.Queue.RequiresTicket {
		// Executors of such a queue reject starts without a ticket, so the job would never run.
		g.metrics.unsupported.Inc(1)
		g.log.Info("job rejected", "job", job.ID, "queue", job.Queue.Name, "error", "its queue needs tickets of the advice service")
		return eris.Wrap(ErrUnsupported, "starts need tickets of the advice service")
	}
	value, err := json.Marshal(job)
	if err != nil {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	repeated, err := g.create(ctx, job.ID, value)
	if errors.Is(err, ErrUnavailable) {
		repeated, err = g.recallSubmission(job.ID, err)
	}
	g.metrics.acceptTime.RecordDuration(time.Since(started))
	took := time.Since(started).Milliseconds()
	switch {
	case errors.Is(err, ErrUnavailable):
		g.metrics.unavailable.Inc(1)
		g.log.Info("job rejected", "job", job.ID, "queue", job.Queue.Name, "took_ms", took, "error", err)
	case err != nil:
		g.submitted.remember(job.ID, false)
		g.metrics.unknown.Inc(1)
		g.log.Info("job without a result", "job", job.ID, "queue", job.Queue.Name, "took_ms", took, "error", err)
	default:
		g.submitted.remember(job.ID, true)
		if repeated {
			g.metrics.repeated.Inc(1)
		} else {
			g.metrics.accepted.Inc(1)
		}
		g.log.Info("job accepted", "job", job.ID, "queue", job.Queue.Name, "repeated", repeated, "took_ms", took, "config", g.configVersion())
	}
	return err
}

// recallSubmission replaces a rejection by the result of an earlier submission of the same job, which the rejection would
// contradict: the client must not be told that a job was not accepted that runs, or may run later.
func (g *Gateway) recallSubmission(id string, rejection error) (repeated bool, err error) {
	switch accepted, known := g.submitted.find(id); {
	case !known:
		return false, rejection
	case accepted:
		return true, nil
	}
	return false, eris.Wrapf(ErrUnknown, "an earlier submission had no result: %v", rejection)
}

func (g *Gateway) configVersion() int64 {
	if c := g.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// State returns the phase of a job. Errors match ErrNotFound or ErrUnavailable.
func (g *Gateway) State(ctx context.Context, id string) (workflow.Phase, error) {
	started := time.Now()
	defer func() { g.metrics.stateTime.RecordDuration(time.Since(started)) }()
	g.metrics.states.Inc(1)
	if phase, ok := g.cachedPhase(id); ok {
		return phase, nil
	}
	phase, err := g.queryPhase(ctx, id)
	if err != nil {
		g.metrics.fallbacks.Inc(1)
		phase, err = g.readStoredPhase(ctx, id)
	}
	if err == nil && phase.Final() {
		g.cachePhase(id, phase)
	}
	return phase, err
}

func (g *Gateway) cachedPhase(id string) (workflow.Phase, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	phase, ok := g.phases[id]
	return phase, ok
}

func (g *Gateway) cachePhase(id string, phase workflow.Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.phases) >= maxCachedPhases {
		clear(g.phases)
	}
	g.phases[id] = phase
}

// queryPhase returns the phase of a job according to the owner.
func (g *Gateway) queryPhase(ctx context.Context, id string) (workflow.Phase, error) {
	var status workflow.JobStatus
	if err := g.queryOwner(ctx, owner.JobPath+id, &status); err != nil {
		return "", err
	}
	return status.Phase, nil
}

func (g *Gateway) queryOwner(ctx context.Context, path string, into any) error {
	record, present := g.locator.Current()
	if !present {
		return ErrUnavailable
	}
	call, cancel := context.WithTimeout(ctx, ownerQueryTimeout)
	defer cancel()
	response, err := g.rpc.Call(call, http.MethodGet, "http://"+record.Address+path, nil, nil)
	if err != nil {
		go g.locator.Refresh(context.WithoutCancel(ctx))
		return err
	}
	switch response.Status {
	case http.StatusOK:
		return response.Decode(into)
	case http.StatusNotFound:
		return ErrNotFound
	}
	go g.locator.Refresh(context.WithoutCancel(ctx))
	return ErrUnavailable
}

// readStoredPhase returns the phase of a job according to the store. The owner may not have seen a job yet that was just
// accepted.
func (g *Gateway) readStoredPhase(ctx context.Context, id string) (workflow.Phase, error) {
	if !g.store.Healthy() {
		return "", eris.Wrap(ErrUnavailable, "neither the owner nor the store answers")
	}
	_, found, _, err := g.store.Get(ctx, owner.JobPrefix+id)
	if err != nil {
		return "", eris.Wrap(ErrUnavailable, err.Error())
	}
	if !found {
		return "", ErrNotFound
	}
	item, found, _, err := g.store.Get(ctx, owner.StatePrefix+id)
	if err != nil {
		return "", eris.Wrap(ErrUnavailable, err.Error())
	}
	if !found {
		return workflow.Pending, nil
	}
	var record workflow.JobRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		g.log.Error("invalid job record", "job", id, "revision", item.Revision, "error", err)
		return "", eris.Wrap(ErrUnavailable, err.Error())
	}
	return record.Phase, nil
}

// create stores a job directly, or through the owner if that fails. repeated is true if the job was already stored.
func (g *Gateway) create(ctx context.Context, id string, value []byte) (repeated bool, err error) {
	direct, cancel := context.WithTimeout(ctx, firstPathTimeout)
	defer cancel()
	repeated, err = g.writer.Create(direct, owner.JobPrefix+id, value)
	if err == nil {
		return repeated, nil
	}
	uncertain := errors.Is(err, intake.ErrUnknown)
	relayErr := g.relayToOwner(ctx, owner.CreatePath+id, json.RawMessage(value))
	switch {
	case relayErr == nil:
		g.metrics.relayed.Inc(1)
		return false, nil
	case uncertain || errors.Is(relayErr, ErrUnknown):
		return false, eris.Wrapf(ErrUnknown, "%v; by the owner: %v", err, relayErr)
	}
	return false, eris.Wrapf(ErrUnavailable, "%v; by the owner: %v", err, relayErr)
}

// relayToOwner sends a change to the owner, which stores it. Errors match ErrNotFound, ErrUnavailable or ErrUnknown.
func (g *Gateway) relayToOwner(ctx context.Context, path string, body any) error {
	record, present := g.locator.Current()
	if !present {
		return eris.Wrap(ErrUnavailable, "no owner")
	}
	response, err := g.rpc.Call(ctx, http.MethodPost, "http://"+record.Address+path, nil, body)
	if err != nil {
		go g.locator.Refresh(context.WithoutCancel(ctx))
		if errors.Is(err, rpc.ErrNotSent) {
			return eris.Wrap(ErrUnavailable, err.Error())
		}
		return eris.Wrap(ErrUnknown, err.Error())
	}
	switch response.Status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusMisdirectedRequest:
		go g.locator.Refresh(context.WithoutCancel(ctx))
		return eris.Wrap(ErrUnavailable, "not the owner")
	case http.StatusServiceUnavailable:
		return eris.Wrap(ErrUnavailable, "the owner doesn't reach the store")
	}
	return eris.Wrapf(ErrUnknown, "status %d", response.Status)
}

// Cancel cancels a job: the owner changes its record, or, if the owner can't be reached, the gateway stores a cancellation key
// that the owner reads. Errors match ErrNotFound, ErrUnavailable or ErrUnknown.
func (g *Gateway) Cancel(ctx context.Context, id string) error {
	byOwner, cancel := context.WithTimeout(ctx, firstPathTimeout)
	err := g.relayToOwner(byOwner, owner.CancelPath+id, struct{}{})
	cancel()
	if err == nil {
		g.metrics.cancelled.Inc(1)
		g.log.Info("cancellation stored", "job", id, "by", "owner")
		return nil
	}
	unknown := errors.Is(err, ErrUnknown)
	for {
		err := g.storeCancellation(ctx, id)
		if err == nil {
			g.metrics.cancelled.Inc(1)
			g.log.Info("cancellation stored", "job", id, "by", "key")
			return nil
		}
		if errors.Is(err, ErrNotFound) {
			return err
		}
		unknown = unknown || errors.Is(err, kv.ErrUnknown)
		if !unknown {
			g.log.Info("cancellation rejected", "job", id, "error", err)
			return eris.Wrap(ErrUnavailable, err.Error())
		}
		select {
		case <-ctx.Done():
			g.log.Info("cancellation without a result", "job", id, "error", err)
			return eris.Wrap(ErrUnknown, err.Error())
		case <-time.After(retryDelay):
		}
	}
}

func (g *Gateway) storeCancellation(ctx context.Context, id string) error {
	item, found, _, err := g.store.Get(ctx, owner.JobPrefix+id)
	if err != nil {
		return err
	}
	if !found {
		return ErrNotFound
	}
	_, err = g.store.Commit(ctx, kv.Transaction{
		Conditions: []kv.Condition{{Key: owner.JobPrefix + id, Revision: item.Revision}},
		Puts:       []kv.Put{{Key: owner.CancelPrefix + id, Value: []byte("{}")}},
	})
	return err
}

// Waiting returns the number of jobs of a queue that have not started any task.
func (g *Gateway) Waiting(ctx context.Context, queue string) (int, error) {
	var status workflow.QueueStatus
	if err := g.queryOwner(ctx, owner.QueuePath+url.PathEscape(queue), &status); err != nil {
		return 0, eris.Wrap(ErrUnavailable, err.Error())
	}
	return status.Waiting, nil
}
