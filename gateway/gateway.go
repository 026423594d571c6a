// Package gateway accepts jobs from clients, answers questions for their state and takes cancellations. A job counts as
// accepted once the store has it.
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
	// ErrUnknown means that a request may have taken effect or may still do so; the client has to ask again.
	ErrUnknown = errors.New("gateway: result unknown")
	// ErrUnavailable means that the request had no effect and never will.
	ErrUnavailable = errors.New("gateway: unavailable")
	// ErrUnsupported means that the queue can't be served under its configuration; the request had no effect.
	ErrUnsupported = errors.New("gateway: queue not supported")
	// ErrNotFound means that no such job exists.
	ErrNotFound = errors.New("gateway: no such job")
)

const (
	// askTimeout bounds one question to the owner; the store answers otherwise.
	askTimeout = 500 * time.Millisecond
	// directTime is how long one way to the store is tried before the other.
	directTime = 700 * time.Millisecond
	// retryPause is the pause between attempts of a write.
	retryPause = 60 * time.Millisecond
	// rememberedPhases bounds the final phases that are remembered.
	rememberedPhases = 20000
)

// Gateway serves the clients of one entry.
type Gateway struct {
	store   *kv.Monitor
	locator *ownership.Locator
	rpc     *rpc.Client
	log     hclog.Logger
	writer  *intake.Writer
	metrics metrics

	config atomic.Pointer[workflow.Config]

	mu     sync.Mutex
	phases map[string]workflow.Phase
}

type metrics struct {
	accepted, repeated, unavailable, unsupported, unknown, cancelled, states, fallbacks, relayed tally.Counter
	acceptTime, stateTime                                                                        tally.Histogram
}

// New returns a gateway. Run has to be called before it accepts jobs.
func New(store *kv.Monitor, locator *ownership.Locator, client *rpc.Client, log hclog.Logger, scope tally.Scope) *Gateway {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)
	return &Gateway{
		store: store, locator: locator, rpc: client, log: log, writer: intake.NewWriter(store, log),
		phases: map[string]workflow.Phase{},
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

// Run follows the configuration and writes jobs until ctx ends.
func (g *Gateway) Run(ctx context.Context, operators owner.Operators) {
	go g.writer.Run(ctx)
	operators.Follow(ctx, func(state owner.OperatorState) {
		present := g.config.Load()
		if state.Config == nil || present != nil && state.Config.Version <= present.Version {
			return
		}
		g.config.Store(state.Config)
		g.log.Info("configuration in force", "version", state.Config.Version, "queues", len(state.Config.Queues))
	})
}

// Config returns the configuration in force; nil before the first.
func (g *Gateway) Config() *workflow.Config { return g.config.Load() }

// Ready tells whether the gateway can serve clients.
func (g *Gateway) Ready() bool { return g.config.Load() != nil }

// Submit stores a job. Repeating it has no effect. Errors match ErrUnsupported, ErrUnavailable or ErrUnknown.
func (g *Gateway) Submit(ctx context.Context, job *workflow.Job) error {
	begun := time.Now()
	if job.Queue.RequiresTicket {
		// Its executors reject starts without a ticket, so that the job would be accepted and never run.
		g.metrics.unsupported.Inc(1)
		g.log.Info("job rejected", "job", job.ID, "queue", job.Queue.Name, "error", "its queue needs tickets of the advice service")
		return eris.Wrap(ErrUnsupported, "starts need tickets of the advice service")
	}
	value, err := json.Marshal(job)
	if err != nil {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	repeated, err := g.create(ctx, job.ID, value)
	g.metrics.acceptTime.RecordDuration(time.Since(begun))
	took := time.Since(begun).Milliseconds()
	switch {
	case errors.Is(err, ErrUnavailable):
		g.metrics.unavailable.Inc(1)
		g.log.Info("job rejected", "job", job.ID, "queue", job.Queue.Name, "took_ms", took, "error", err)
	case err != nil:
		g.metrics.unknown.Inc(1)
		g.log.Info("job without a result", "job", job.ID, "queue", job.Queue.Name, "took_ms", took, "error", err)
	default:
		if repeated {
			g.metrics.repeated.Inc(1)
		} else {
			g.metrics.accepted.Inc(1)
		}
		g.log.Info("job accepted", "job", job.ID, "queue", job.Queue.Name, "repeated", repeated, "took_ms", took, "config", g.version())
	}
	return err
}

func (g *Gateway) version() int64 {
	if c := g.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// State returns the phase of a job. Errors match ErrNotFound or ErrUnavailable.
func (g *Gateway) State(ctx context.Context, id string) (workflow.Phase, error) {
	begun := time.Now()
	defer func() { g.metrics.stateTime.RecordDuration(time.Since(begun)) }()
	g.metrics.states.Inc(1)
	if phase, ok := g.remembered(id); ok {
		return phase, nil
	}
	phase, err := g.askOwner(ctx, id)
	if err != nil {
		g.metrics.fallbacks.Inc(1)
		phase, err = g.readState(ctx, id)
	}
	if err == nil && phase.Final() {
		g.remember(id, phase)
	}
	return phase, err
}

func (g *Gateway) remembered(id string) (workflow.Phase, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	phase, ok := g.phases[id]
	return phase, ok
}

func (g *Gateway) remember(id string, phase workflow.Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.phases) >= rememberedPhases {
		clear(g.phases)
	}
	g.phases[id] = phase
}

// askOwner returns the phase that the owner knows.
func (g *Gateway) askOwner(ctx context.Context, id string) (workflow.Phase, error) {
	var status workflow.JobStatus
	if err := g.ask(ctx, owner.JobPath+id, &status); err != nil {
		return "", err
	}
	return status.Phase, nil
}

func (g *Gateway) ask(ctx context.Context, path string, into any) error {
	record, present := g.locator.Current()
	if !present {
		return ErrUnavailable
	}
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := g.rpc.Call(call, http.MethodGet, "http://"+record.Address+path, nil, nil)
	if err != nil {
		go g.locator.Doubt(context.WithoutCancel(ctx))
		return err
	}
	switch answer.Status {
	case http.StatusOK:
		return answer.Decode(into)
	case http.StatusNotFound:
		return ErrNotFound
	}
	go g.locator.Doubt(context.WithoutCancel(ctx))
	return ErrUnavailable
}

// readState returns the phase that the store holds. The owner may not know a job that was accepted just now.
func (g *Gateway) readState(ctx context.Context, id string) (workflow.Phase, error) {
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
		g.log.Error("record of a job can't be read", "job", id, "revision", item.Revision, "error", err)
		return "", eris.Wrap(ErrUnavailable, err.Error())
	}
	return record.Phase, nil
}

// create stores a job, through the owner where this entry doesn't reach the store.
func (g *Gateway) create(ctx context.Context, id string, value []byte) (repeated bool, err error) {
	direct, cancel := context.WithTimeout(ctx, directTime)
	defer cancel()
	repeated, err = g.writer.Create(direct, owner.JobPrefix+id, value)
	if err == nil {
		return repeated, nil
	}
	uncertain := errors.Is(err, intake.ErrUnknown)
	relayErr := g.relay(ctx, owner.CreatePath+id, json.RawMessage(value))
	switch {
	case relayErr == nil:
		g.metrics.relayed.Inc(1)
		return false, nil
	case uncertain || errors.Is(relayErr, ErrUnknown):
		return false, eris.Wrapf(ErrUnknown, "%v; by the owner: %v", err, relayErr)
	}
	return false, eris.Wrapf(ErrUnavailable, "%v; by the owner: %v", err, relayErr)
}

// relay sends a change through the owner. Errors match ErrNotFound, ErrUnavailable or ErrUnknown.
func (g *Gateway) relay(ctx context.Context, path string, body any) error {
	record, present := g.locator.Current()
	if !present {
		return eris.Wrap(ErrUnavailable, "no owner")
	}
	answer, err := g.rpc.Call(ctx, http.MethodPost, "http://"+record.Address+path, nil, body)
	if err != nil {
		go g.locator.Doubt(context.WithoutCancel(ctx))
		if errors.Is(err, rpc.ErrNotSent) {
			return eris.Wrap(ErrUnavailable, err.Error())
		}
		return eris.Wrap(ErrUnknown, err.Error())
	}
	switch answer.Status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusMisdirectedRequest:
		go g.locator.Doubt(context.WithoutCancel(ctx))
		return eris.Wrap(ErrUnavailable, "not the owner")
	case http.StatusServiceUnavailable:
		return eris.Wrap(ErrUnavailable, "the owner doesn't reach the store")
	}
	return eris.Wrapf(ErrUnknown, "status %d", answer.Status)
}

// Cancel stores the cancellation of a job: as a change of its record by the owner, or as a key that the next owner reads.
// Errors match ErrNotFound, ErrUnavailable or ErrUnknown.
func (g *Gateway) Cancel(ctx context.Context, id string) error {
	byOwner, cancel := context.WithTimeout(ctx, directTime)
	err := g.relay(byOwner, owner.CancelPath+id, struct{}{})
	cancel()
	if err == nil {
		g.metrics.cancelled.Inc(1)
		g.log.Info("cancellation stored", "job", id, "by", "owner")
		return nil
	}
	unknown := errors.Is(err, ErrUnknown)
	for {
		err := g.cancelOnce(ctx, id)
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
		case <-time.After(retryPause):
		}
	}
}

func (g *Gateway) cancelOnce(ctx context.Context, id string) error {
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

// Waiting returns the number of jobs of a queue of which no task has started.
func (g *Gateway) Waiting(ctx context.Context, queue string) (int, error) {
	var status workflow.QueueStatus
	if err := g.ask(ctx, owner.QueuePath+url.PathEscape(queue), &status); err != nil {
		return 0, eris.Wrap(ErrUnavailable, err.Error())
	}
	return status.Waiting, nil
}
