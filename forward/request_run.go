package forward

import (
	"context"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/quetzalshed/quetzalshed/routing"
)

// requestRun is the state of one request. It is used only by the goroutine of Do. Attempts report through results.
type requestRun struct {
	f        *Forwarder
	ctx      context.Context
	request  *Request
	assigner Assigner
	attempts []*attempt
	results  chan attemptResult
	// nextUpstream is the upstream for the next attempt, as of the last refreshStatus. It is valid if verdict is
	// Chosen.
	nextUpstream routing.Candidate
	verdict      routing.Verdict
	hedgeAt      time.Time
	// budgetDenied makes the next decision assume an empty retry budget, after another request took the last token.
	budgetDenied bool
}

// attempt is the state of one attempt of a request.
type attempt struct {
	AttemptStatus
	id      string
	target  Target
	tracker *routing.RequestTracker
	span    trace.Span
	cancel  context.CancelFunc
	ctx     context.Context
	started time.Time
	hedge   bool
	reply   *Reply
	reason  string
	// undelivered is set if the connection was lost before the request reached the agent. The same agent may then be
	// tried again.
	undelivered bool
}

// Do forwards one request and returns its final result. assigner is nil for an idempotent request.
func (f *Forwarder) Do(ctx context.Context, request *Request, assigner Assigner) Result {
	f.opts.Budget.CreditRequest(time.Now())
	r := &requestRun{f: f, ctx: ctx, request: request, assigner: assigner, results: make(chan attemptResult, 2*maxAttempts)}
	defer r.finish()
	for {
		d := Decide(r.refreshStatus(time.Now()))
		switch d.Action {
		case ActionWait:
			r.wait(d.WaitUntil)
		case ActionSend:
			if err := r.startAttempt(d.Hedge); err != nil {
				out := r.notRunResult()
				out.AssignError = err
				return out
			}
		case ActionResolve:
			r.resolve(d.Attempt)
		case ActionAnswer:
			return r.answeredResult(r.attempts[d.Attempt])
		case ActionNotRun:
			return r.notRunResult()
		case ActionUnknown:
			return r.unknownResult()
		}
	}
}

// refreshStatus returns the input of Decide and chooses the upstream of the next attempt. While all attempts wait for a
// response and no hedge is due, it skips the lookups in the routing table and the retry budget.
func (r *requestRun) refreshStatus(now time.Time) RequestStatus {
	status := RequestStatus{
		Now: now, Deadline: r.request.Deadline, Idempotent: r.request.Idempotent, HedgeAt: r.hedgeAt,
		CallerGone: r.ctx.Err() != nil, HasBudget: true, HasUpstream: true,
	}
	for _, a := range r.attempts {
		status.Attempts = append(status.Attempts, a.AttemptStatus)
	}
	if r.allSent() && now.Before(r.hedgeAt) {
		return status
	}
	status.HasUpstream = r.chooseNextUpstream(now)
	if len(r.attempts) > 0 {
		status.HasBudget = r.checkBudget(now)
	}
	return status
}

// allSent reports whether there are attempts and all of them wait for a response.
func (r *requestRun) allSent() bool {
	return len(r.attempts) > 0 &&
		!slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.Phase != PhaseSent })
}

// chooseNextUpstream chooses the upstream of the next attempt and reports whether there is one. A suspected upstream is
// not used while a response to another attempt may still be obtained.
func (r *requestRun) chooseNextUpstream(now time.Time) bool {
	r.nextUpstream, r.verdict = r.f.opts.Table.Choose(r.request.Service, r.triedAgents())
	pending := slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.Phase.pending() })
	return r.verdict == routing.Chosen && !(pending && now.Before(r.nextUpstream.SuspectUntil))
}

// checkBudget reports whether the retry budget has a token, and counts the denial if it has none.
func (r *requestRun) checkBudget(now time.Time) bool {
	available := !r.budgetDenied && r.f.opts.Budget.Available(now)
	r.budgetDenied = false
	if !available {
		r.f.counters.budgetDenied.Inc(1)
	}
	return available
}

// triedAgents returns the agent processes to which another attempt should not be sent.
func (r *requestRun) triedAgents() []routing.AgentID {
	var ids []routing.AgentID
	for _, a := range r.attempts {
		if !a.undelivered {
			ids = append(ids, a.target.ID)
		}
	}
	return ids
}

// wait returns when a result has arrived, the given time is reached, or the caller has disconnected.
func (r *requestRun) wait(until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case result := <-r.results:
		r.applyResult(result)
	case <-timer.C:
	case <-r.ctx.Done():
	}
}

// startAttempt starts an attempt at the upstream that the last refreshStatus has chosen. If the retry budget has no
// token, it does nothing, and the next decision takes the budget as empty.
func (r *requestRun) startAttempt(hedge bool) error {
	chosen := r.nextUpstream
	a := &attempt{id: r.f.newAttemptID(), target: Target{chosen.ID(), chosen.Address}, hedge: hedge}
	if len(r.attempts) > 0 && !r.takeBudgetToken(hedge) {
		return nil
	}
	if err := r.assign(a); err != nil {
		return err
	}
	r.attempts = append(r.attempts, a)
	a.started = time.Now()
	if !a.started.Before(r.request.Deadline) {
		// Recording the assignment took too long, and nothing was sent.
		a.Phase, a.reason = PhaseNotRun, "the deadline passed before the request was sent"
		return nil
	}
	if len(r.attempts) == 1 {
		r.hedgeAt = a.started.Add(max(r.f.opts.MinHedge, r.f.opts.Latencies.P95(r.request.Service)))
	}
	r.launch(a, chosen, len(r.attempts)-1)
	return nil
}

// takeBudgetToken takes a token of the retry budget for a retry or a hedge. It returns false if there is none.
func (r *requestRun) takeBudgetToken(hedge bool) bool {
	if !r.f.opts.Budget.Take(time.Now()) {
		r.budgetDenied = true
		return false
	}
	if hedge {
		r.f.counters.hedges.Inc(1)
	} else {
		r.f.counters.retries.Inc(1)
	}
	return true
}

// assign records the attempt of a non-idempotent request with the assigner.
func (r *requestRun) assign(a *attempt) error {
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

// launch sends an attempt in a goroutine that reports to results.
func (r *requestRun) launch(a *attempt, chosen routing.Candidate, index int) {
	f := r.f
	f.counters.attempts.Inc(1)
	a.tracker = f.opts.Table.Begin(chosen)
	ctx, span := f.opts.Tracer.Start(r.ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("quetzalshed.attempt", a.id), attribute.String("quetzalshed.agent", a.target.ID.Agent),
		attribute.Bool("quetzalshed.hedge", a.hedge)))
	a.span = span
	a.ctx, a.cancel = context.WithDeadline(ctx, r.request.Deadline)
	request, target, id, results, ctx := r.request, a.target, a.id, r.results, a.ctx
	go func() {
		reply, err := f.sendAttempt(ctx, request, target, id, stateEvents(span))
		results <- attemptResult{attempt: index, reply: reply, err: err}
	}()
}

// resolve queries the state of an attempt in a goroutine that reports to results. For an attempt that is running, it
// waits for the answer.
func (r *requestRun) resolve(index int) {
	a := r.attempts[index]
	query := r.f.Resolve
	if a.Phase == PhaseRunning {
		query = r.f.awaitAnswer
	}
	a.Phase = PhaseResolving
	f, target, id, results, ctx := r.f, a.target, a.id, r.results, a.ctx
	f.counters.resolves.Inc(1)
	go func() {
		ctx, span := f.opts.Tracer.Start(ctx, "resolve", trace.WithSpanKind(trace.SpanKindClient))
		resolution, err := query(ctx, target, id)
		span.SetAttributes(attribute.String("quetzalshed.state", string(resolution.State)))
		span.End()
		results <- attemptResult{attempt: index, err: err, resolve: true, resolution: resolution}
	}()
}

// finish releases the attempts of a request that has ended and cancels those that may still be queued.
func (r *requestRun) finish() {
	for _, a := range r.attempts {
		if a.cancel == nil {
			continue
		}
		switch a.Phase {
		case PhaseSent, PhaseUnresolved, PhaseResolving:
			r.f.cancelInBackground(r.ctx, a.target, a.id)
			if r.ctx.Err() == nil {
				r.f.opts.Table.RecordOverdue(a.target.ID, r.f.opts.SuspectFor)
			}
		}
		a.cancel()
		a.tracker.Done(routing.Observation{})
		a.span.SetAttributes(attribute.String("quetzalshed.phase", a.Phase.String()))
		a.span.End()
	}
}
