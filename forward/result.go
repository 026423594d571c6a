package forward

import (
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/quetzalshed/quetzalshed/routing"
	"github.com/quetzalshed/quetzalshed/structs"
)

// result is what an exchange or a resolve of one attempt yielded.
type result struct {
	attempt int
	err     error
	// reply is that of an exchange.
	reply *Reply
	// resolve tells that resolution is set instead of reply.
	resolve    bool
	resolution Resolution
}

// take updates an attempt with a result.
func (r *run) take(got result) {
	a := r.attempts[got.attempt]
	switch {
	case got.resolve && got.err != nil:
		r.f.counters.resolvesFailed.Inc(1)
		r.resolveFailed(a, got.err)
	case got.resolve:
		r.resolved(a, got.resolution)
	case got.err != nil:
		r.failed(a, got.err)
	default:
		r.replied(a, got.reply)
	}
}

// replied takes a verified response of the agent.
func (r *run) replied(a *attempt, reply *Reply) {
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
		a.Final = everyAgentRefuses(reply.Status)
	default:
		a.Phase = PhaseUnknown
	}
	a.ticket.Done(observation)
}

// everyAgentRefuses tells whether a refusal with a status is due to the request. Of the 4xx statuses, 429 is due to the
// load of the upstream and 409 to the incarnation of the agent.
func everyAgentRefuses(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusConflict
}

// failed takes the failure of an exchange. What the agent may have received must be resolved.
func (r *run) failed(a *attempt, err error) {
	kind := FaultBroken
	var fault *AttemptError
	if errors.As(err, &fault) {
		kind = fault.Kind
	}
	r.f.counters.fault(kind)
	a.span.SetAttributes(attribute.String("quetzalshed.fault", string(kind)))
	switch kind {
	case FaultExhausted:
		a.Phase, a.reason = PhaseNotRun, "no connection to the agent is free"
		a.ticket.Done(routing.Observation{})
	case FaultNotSent:
		a.Phase, a.reason = PhaseNotRun, "the agent can't be reached"
		a.ticket.Done(routing.Observation{})
		r.f.opts.Table.Suspect(a.target.ID, r.f.opts.SuspectFor)
	default:
		a.Phase, a.NextResolve = PhaseLost, time.Now()
		a.reason = "the connection to the agent was lost"
		if kind == FaultSilent {
			r.f.opts.Table.Suspect(a.target.ID, r.f.opts.SuspectFor)
		}
		if kind != FaultCancelled {
			r.f.opts.Pool.Distrust(a.target.Address)
		}
	}
}

// resolveFailed takes a resolve without a response.
func (r *run) resolveFailed(a *attempt, err error) {
	r.f.opts.Table.Suspect(a.target.ID, r.f.opts.SuspectFor)
	a.FailedResolves++
	if a.FailedResolves >= maxFailedResolves {
		a.Phase, a.reason = PhaseUnknown, "the connection to the agent was lost and the attempt can't be resolved"
		a.span.RecordError(err)
		return
	}
	a.Phase, a.NextResolve = PhaseLost, time.Now().Add(failedBackoff(a.FailedResolves))
}

// resolved takes what the agent knows of an attempt.
func (r *run) resolved(a *attempt, got Resolution) {
	if got.State != structs.AttemptUnknown {
		r.f.opts.Table.ClearSuspicion(a.target.ID)
	}
	switch {
	case got.Reply != nil:
		r.replied(a, got.Reply)
	case got.State.NotRun():
		a.Phase, a.reason = PhaseNotRun, "the connection to the agent was lost before the request ran"
		a.undelivered = got.State == structs.AttemptNeverSeen
		a.ticket.Done(routing.Observation{})
	case got.State == structs.AttemptRunning || got.State == structs.AttemptQueued:
		a.Phase, a.NextResolve = PhaseRunning, time.Now().Add(pollInterval)
	default:
		a.Phase, a.reason = PhaseUnknown, "the agent no longer knows the attempt"
		a.ticket.Done(routing.Observation{})
	}
}
