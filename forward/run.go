package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/quetzalshed/quetzalshed/routing"
	"github.com/quetzalshed/quetzalshed/structs"
)

// run is the state of one request. Only the goroutine of Do uses it; attempts report through results.
type run struct {
	f        *Forwarder
	ctx      context.Context
	request  *Request
	assigner Assigner
	attempts []*attempt
	results  chan result
	next     routing.Candidate
	verdict  routing.Verdict
	hedgeAt  time.Time
	// denied is set when another request took the last token of the retry budget, and holds for the next decision.
	denied bool
}

type attempt struct {
	AttemptView
	id      string
	target  Target
	ticket  *routing.Ticket
	span    trace.Span
	cancel  context.CancelFunc
	ctx     context.Context
	started time.Time
	hedge   bool
	reply   *Reply
	reason  string
	// undelivered is set when the connection lost the request before the agent saw it, which says nothing against trying
	// the same agent again.
	undelivered bool
}

// result is what an exchange or a resolve of one attempt yielded.
type result struct {
	attempt    int
	reply      *Reply
	err        error
	resolve    bool
	resolution Resolution
}

// Do answers one request. assigner is nil for an idempotent request.
func (f *Forwarder) Do(ctx context.Context, request *Request, assigner Assigner) Result {
	f.opts.Budget.Request(time.Now())
	r := &run{f: f, ctx: ctx, request: request, assigner: assigner, results: make(chan result, 2*maxAttempts)}
	defer r.finish()
	for {
		d := Decide(r.view(time.Now()))
		switch d.Action {
		case ActionWait:
			r.wait(d.At)
		case ActionSend:
			if err := r.send(d.Hedge); err != nil {
				out := r.notRun()
				out.AssignError = err
				return out
			}
		case ActionResolve:
			r.resolve(d.Attempt)
		case ActionAnswer:
			return r.answered(r.attempts[d.Attempt])
		case ActionNotRun:
			return r.notRun()
		case ActionUnknown:
			return r.unknown()
		}
	}
}

// view returns what the decision needs. Whether an upstream is left is looked up only when it can matter.
func (r *run) view(now time.Time) View {
	v := View{
		Now: now, Deadline: r.request.Deadline, Idempotent: r.request.Idempotent, HedgeAt: r.hedgeAt,
		Abandoned: r.ctx.Err() != nil, Budget: true, Upstream: true,
	}
	calm := len(r.attempts) > 0
	for _, a := range r.attempts {
		v.Attempts = append(v.Attempts, a.AttemptView)
		calm = calm && a.Phase == PhaseSent
	}
	if calm && now.Before(r.hedgeAt) {
		return v
	}
	r.next, r.verdict = r.f.opts.Table.Choose(r.request.Service, r.tried())
	v.Upstream = r.verdict == routing.Chosen
	if r.live() && now.Before(r.next.SuspectUntil) {
		// A suspected upstream is worth a try only when nothing else is left.
		v.Upstream = false
	}
	if len(r.attempts) > 0 {
		v.Budget = !r.denied && r.f.opts.Budget.Available(now)
		r.denied = false
		if !v.Budget {
			r.f.counters.budgetDenied.Inc(1)
		}
	}
	return v
}

// live tells whether an attempt may still be answered.
func (r *run) live() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.Phase.live() })
}

// tried returns the agent processes that another attempt should avoid.
func (r *run) tried() []routing.ID {
	var ids []routing.ID
	for _, a := range r.attempts {
		if !a.undelivered {
			ids = append(ids, a.target.ID)
		}
	}
	return ids
}

func (r *run) wait(until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case got := <-r.results:
		r.take(got)
	case <-timer.C:
	case <-r.ctx.Done():
	}
}

// send starts an attempt at the upstream that the last view has found.
func (r *run) send(hedge bool) error {
	chosen := r.next
	a := &attempt{id: r.f.newAttemptID(), target: Target{chosen.ID(), chosen.Address}, hedge: hedge}
	if len(r.attempts) > 0 {
		if !r.f.opts.Budget.Take(time.Now()) {
			r.denied = true
			return nil
		}
		if hedge {
			r.f.counters.hedges.Inc(1)
		} else {
			r.f.counters.retries.Inc(1)
		}
	}
	if err := r.assign(a); err != nil {
		return err
	}
	r.attempts = append(r.attempts, a)
	a.started = time.Now()
	if !a.started.Before(r.request.Deadline) {
		// The record took too long. Nothing was sent.
		a.Phase, a.reason = PhaseNotRun, "the deadline passed before the request was sent"
		return nil
	}
	if len(r.attempts) == 1 {
		r.hedgeAt = a.started.Add(max(r.f.opts.MinHedge, r.f.opts.Latencies.P95(r.request.Service)))
	}
	r.launch(a, chosen, len(r.attempts)-1)
	return nil
}

// assign has the attempt of a non-idempotent request recorded.
func (r *run) assign(a *attempt) error {
	if r.assigner == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(r.ctx, r.request.Deadline)
	defer cancel()
	ctx, span := r.f.opts.Tracer.Start(ctx, "assign")
	defer span.End()
	err := r.assigner.Assign(ctx, a.target, a.id)
	if err != nil {
		span.RecordError(err)
	}
	return err
}

func (r *run) launch(a *attempt, chosen routing.Candidate, index int) {
	f := r.f
	f.counters.attempts.Inc(1)
	a.ticket = f.opts.Table.Begin(chosen)
	ctx, span := f.opts.Tracer.Start(r.ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("quetzalshed.attempt", a.id), attribute.String("quetzalshed.agent", a.target.ID.Agent),
		attribute.Bool("quetzalshed.hedge", a.hedge)))
	a.span = span
	a.ctx, a.cancel = context.WithDeadline(ctx, r.request.Deadline)
	request, target, id, results, ctx := r.request, a.target, a.id, r.results, a.ctx
	go func() {
		reply, err := f.send(ctx, request, target, id, stateEvents(span))
		results <- result{attempt: index, reply: reply, err: err}
	}()
}

func (r *run) resolve(index int) {
	a := r.attempts[index]
	find := r.f.Resolve
	if a.Phase == PhaseRunning {
		find = r.f.await
	}
	a.Phase = PhaseResolving
	f, target, id, results, ctx := r.f, a.target, a.id, r.results, a.ctx
	f.counters.resolves.Inc(1)
	go func() {
		ctx, span := f.opts.Tracer.Start(ctx, "resolve", trace.WithSpanKind(trace.SpanKindClient))
		resolution, err := find(ctx, target, id)
		span.SetAttributes(attribute.String("quetzalshed.state", string(resolution.State)))
		span.End()
		results <- result{attempt: index, err: err, resolve: true, resolution: resolution}
	}()
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

func (r *run) replied(a *attempt, reply *Reply) {
	a.reply, a.reason = reply, reply.Reason
	r.f.opts.Table.Trust(a.target.ID)
	observation := routing.Observation{Load: reply.Load}
	switch reply.Outcome {
	case structs.OutcomeAnswered:
		a.Phase = PhaseAnswered
		observation.Answered, observation.Failed = true, reply.Status >= http.StatusInternalServerError
		observation.Latency = time.Since(a.started)
	case structs.OutcomeNotRun:
		a.Phase = PhaseNotRun
		a.Final = reply.Status >= 400 && reply.Status < 500 && reply.Status != http.StatusTooManyRequests &&
			reply.Status != http.StatusConflict
	default:
		a.Phase = PhaseUnknown
	}
	a.ticket.Done(observation)
}

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

func (r *run) resolved(a *attempt, got Resolution) {
	if got.State != structs.AttemptUnknown {
		r.f.opts.Table.Trust(a.target.ID)
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

// finish ends what is still under way for the request. Attempts that may be queued are cancelled.
func (r *run) finish() {
	for _, a := range r.attempts {
		if a.cancel == nil {
			continue
		}
		switch a.Phase {
		case PhaseSent, PhaseLost, PhaseResolving:
			r.f.cleanup(r.ctx, a.target, a.id)
			if r.ctx.Err() == nil {
				r.f.opts.Table.Overdue(a.target.ID, r.f.opts.SuspectFor)
			}
		}
		a.cancel()
		a.ticket.Done(routing.Observation{})
		a.span.SetAttributes(attribute.String("quetzalshed.phase", a.Phase.String()))
		a.span.End()
	}
}
