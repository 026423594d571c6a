package forward

import (
	"context"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/quetzalshed/quetzalshed/routing"
)

// run is the state of one request. Only the goroutine of Do uses it; attempts report through results.
type run struct {
	f        *Forwarder
	ctx      context.Context
	request  *Request
	assigner Assigner
	attempts []*attempt
	results  chan result
	// next is the upstream for another attempt as of the last view, if verdict is Chosen.
	next    routing.Candidate
	verdict routing.Verdict
	hedgeAt time.Time
	// denied is set when another request took the last token of the retry budget, and holds for the next decision.
	denied bool
}

type attempt struct {
	AttemptView
	id      string
	target  Target
	ticket  *routing.RequestTracker
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

// Do answers one request. assigner is nil for an idempotent request.
func (f *Forwarder) Do(ctx context.Context, request *Request, assigner Assigner) Result {
	f.opts.Budget.CreditRequest(time.Now())
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

// view returns what the decision needs, and chooses the upstream of the next attempt. While the only thing to do is to
// wait for responses, neither the table nor the budget is looked at.
func (r *run) view(now time.Time) View {
	v := View{
		Now: now, Deadline: r.request.Deadline, Idempotent: r.request.Idempotent, HedgeAt: r.hedgeAt,
		Abandoned: r.ctx.Err() != nil, Budget: true, Upstream: true,
	}
	for _, a := range r.attempts {
		v.Attempts = append(v.Attempts, a.AttemptView)
	}
	if r.allSent() && now.Before(r.hedgeAt) {
		return v
	}
	v.Upstream = r.chooseNext(now)
	if len(r.attempts) > 0 {
		v.Budget = r.hasBudget(now)
	}
	return v
}

// allSent tells whether there are attempts and each waits for its response.
func (r *run) allSent() bool {
	return len(r.attempts) > 0 &&
		!slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.Phase != PhaseSent })
}

// chooseNext chooses the upstream of the next attempt and returns whether there is one. While an attempt may still be
// answered, a suspected upstream doesn't count.
func (r *run) chooseNext(now time.Time) bool {
	r.next, r.verdict = r.f.opts.Table.Choose(r.request.Service, r.tried())
	live := slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.Phase.live() })
	return r.verdict == routing.Chosen && !(live && now.Before(r.next.SuspectUntil))
}

// hasBudget tells whether the retry budget has a token, and counts when it has none.
func (r *run) hasBudget(now time.Time) bool {
	available := !r.denied && r.f.opts.Budget.Available(now)
	r.denied = false
	if !available {
		r.f.counters.budgetDenied.Inc(1)
	}
	return available
}

// tried returns the agent processes that another attempt should avoid.
func (r *run) tried() []routing.AgentID {
	var ids []routing.AgentID
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

// send starts an attempt at the upstream that the last view has chosen. Without a token of the retry budget it does
// nothing, and the next view reports that.
func (r *run) send(hedge bool) error {
	chosen := r.next
	a := &attempt{id: r.f.newAttemptID(), target: Target{chosen.ID(), chosen.Address}, hedge: hedge}
	if len(r.attempts) > 0 && !r.takeBudget(hedge) {
		return nil
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

// takeBudget takes a token of the retry budget for a retry or a hedge, or returns false.
func (r *run) takeBudget(hedge bool) bool {
	if !r.f.opts.Budget.Take(time.Now()) {
		r.denied = true
		return false
	}
	if hedge {
		r.f.counters.hedges.Inc(1)
	} else {
		r.f.counters.retries.Inc(1)
	}
	return true
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

// launch sends an attempt in the background; its result goes to results.
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

// resolve finds out in the background what became of an attempt. One that is known to run is waited for.
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
				r.f.opts.Table.RecordOverdue(a.target.ID, r.f.opts.SuspectFor)
			}
		}
		a.cancel()
		a.ticket.Done(routing.Observation{})
		a.span.SetAttributes(attribute.String("quetzalshed.phase", a.Phase.String()))
		a.span.End()
	}
}
