package forward

import (
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/quetzalshed/quetzalshed/routing"
	"github.com/quetzalshed/quetzalshed/structs"
)

// attemptResult is the result of an exchange or a resolve of one attempt.
type attemptResult struct {
	attempt int
	err     error
	// reply is set by a successful exchange.
	reply *Reply
	// resolve marks the result of a resolve, which sets resolution instead of reply.
	resolve    bool
	resolution Resolution
}

// applyResult updates the state of an attempt with a result.
func (r *requestRun) applyResult(result attemptResult) {
	a := r.attempts[result.attempt]
	switch {
	case result.resolve && result.err != nil:
		r.f.counters.resolvesFailed.Inc(1)
		r.handleResolveFailure(a, result.err)
	case result.resolve:
		r.handleResolution(a, result.resolution)
	case result.err != nil:
		r.handleFailure(a, result.err)
	default:
		r.handleReply(a, result.reply)
	}
}

// handleReply handles a validated reply of the agent.
func (r *requestRun) handleReply(a *attempt, reply *Reply) {
	a.reply, a.reason = reply, reply.Reason
	r.f.opts.Table.ClearSuspicion(a.target.ID)
	observation := routing.Observation{Load: reply.Load}
	switch reply.Outcome {
	case structs.OutcomeAnswered:
		a.Phase = PhaseAnswered
		observation.Answered, observation.Failed = true, reply.Status >= http.StatusInternalServerError
		observation.Latency = time.Since(a.started)
	case structs.OutcomeNotRun:
		a.Phase = PhaseNotRun
		a.RefusedByAll = refusedByAll(reply.Status)
	default:
		a.Phase = PhaseUnknown
	}
	a.tracker.Done(observation)
}

// refusedByAll reports whether a refusal with this status is caused by the request itself, so that every agent would
// refuse it. Of the 4xx statuses, 429 is caused by the load of the upstream and 409 by the incarnation of the agent.
func refusedByAll(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusConflict
}

// handleFailure handles a failed exchange. If the agent may have received the attempt, the attempt must be resolved.
func (r *requestRun) handleFailure(a *attempt, err error) {
	kind := FaultConnectionLost
	var fault *ExchangeError
	if errors.As(err, &fault) {
		kind = fault.Kind
	}
	r.f.counters.fault(kind)
	a.span.SetAttributes(attribute.String("quetzalshed.fault", string(kind)))
	switch kind {
	case FaultPoolExhausted:
		a.Phase, a.reason = PhaseNotRun, "no connection to the agent is free"
		a.tracker.Done(routing.Observation{})
	case FaultNotSent:
		a.Phase, a.reason = PhaseNotRun, "the agent can't be reached"
		a.tracker.Done(routing.Observation{})
		r.f.opts.Table.Suspect(a.target.ID, r.f.opts.SuspectFor)
	default:
		a.Phase, a.NextResolveAt = PhaseUnresolved, time.Now()
		a.reason = "the connection to the agent was lost"
		if kind == FaultTimeout {
			r.f.opts.Table.Suspect(a.target.ID, r.f.opts.SuspectFor)
		}
		if kind != FaultCancelled {
			r.f.opts.Pool.InvalidateConnections(a.target.Address)
		}
	}
}

// handleResolveFailure handles a resolve without a valid response.
func (r *requestRun) handleResolveFailure(a *attempt, err error) {
	r.f.opts.Table.Suspect(a.target.ID, r.f.opts.SuspectFor)
	a.FailedResolves++
	if a.FailedResolves >= maxFailedResolves {
		a.Phase, a.reason = PhaseUnknown, "the connection to the agent was lost and the attempt can't be resolved"
		a.span.RecordError(err)
		return
	}
	a.Phase, a.NextResolveAt = PhaseUnresolved, time.Now().Add(resolveBackoff(a.FailedResolves))
}

// handleResolution handles the state of an attempt that the agent has reported.
func (r *requestRun) handleResolution(a *attempt, resolution Resolution) {
	if resolution.State != structs.AttemptUnknown {
		r.f.opts.Table.ClearSuspicion(a.target.ID)
	}
	switch {
	case resolution.Reply != nil:
		r.handleReply(a, resolution.Reply)
	case resolution.State.NotRun():
		a.Phase, a.reason = PhaseNotRun, "the connection to the agent was lost before the request ran"
		a.undelivered = resolution.State == structs.AttemptNeverSeen
		a.tracker.Done(routing.Observation{})
	case resolution.State == structs.AttemptRunning || resolution.State == structs.AttemptQueued:
		a.Phase, a.NextResolveAt = PhaseRunning, time.Now().Add(runningPollInterval)
	default:
		a.Phase, a.reason = PhaseUnknown, "the agent no longer knows the attempt"
		a.tracker.Done(routing.Observation{})
	}
}
