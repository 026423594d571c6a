package requests

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/structs"
)

// The reasons in HeaderReason beside those of package limit.
const (
	reasonBadRequest  = "bad_request"
	reasonIncarnation = "wrong_incarnation"
	reasonNoUpstream  = "no_upstream"
	reasonDraining    = "draining"
	reasonTombstone   = "resolved_before_arrival"
	reasonCancelled   = "cancelled"
	reasonDuplicate   = "duplicate_attempt"
	reasonForgotten   = "attempt_forgotten"
	reasonUnreachable = "upstream_unreachable"
	reasonLost        = "upstream_failed"
	reasonMemory      = "agent_memory"
	reasonUnfinished  = "not_finished"
	reasonDeadline    = "deadline_while_running"
)

// tickInterval is how often waiting requests are compared with their deadlines.
const tickInterval = 200 * time.Millisecond

// unreachableRetryAfter is the time in which an upstream that refuses connections may be back.
const unreachableRetryAfter = time.Second

// result is what an attempt came to.
type result struct {
	outcome    structs.Outcome
	response   *response
	reason     string
	retryAfter time.Duration
}

func notRun(reason string, retryAfter time.Duration) result {
	return result{outcome: structs.OutcomeNotRun, reason: reason, retryAfter: retryAfter}
}

func unknown(reason string) result { return result{outcome: structs.OutcomeUnknown, reason: reason} }

// execute takes an attempt from the queue to its end. It doesn't depend on the connection of the entry: once an attempt
// runs, its response is retained even when nobody waits for it.
func (m *Module) execute(a *attempt) {
	defer a.releaseResponse()
	defer close(a.done)
	defer a.span.End()
	a.result = m.run(a, a.upstream)
	// Followers of the attempt need its result only.
	a.body, a.header = nil, nil
	m.bodies.release(a.reservedBytes)
	m.metrics.count(a.result)
	a.span.SetAttributes(outcomeAttributes(a.result)...)
}

func (m *Module) run(a *attempt, u *upstream) result {
	ticket := u.admission.Enter(limit.Request{ID: a.id, Rank: a.priority.Rank(), Deadline: a.deadline})
	if !waitForSlot(a, u, ticket) {
		return notRun(reasonCancelled, 0)
	}
	if refusal := ticket.Refusal(); refusal != nil {
		return m.refuse(a, string(refusal.Reason), refusal.RetryAfter)
	}
	took := time.Duration(-1)
	defer func() { ticket.Done(took) }()
	c, err := m.connect(a, u)
	if err != nil {
		return m.refuse(a, reasonUnreachable, unreachableRetryAfter)
	}
	request, err := a.request(u)
	if err != nil {
		u.pool.put(c)
		return m.refuse(a, reasonBadRequest, 0)
	}
	if !m.clock.Now().Before(a.deadline) {
		u.pool.put(c)
		return m.refuse(a, string(limit.ReasonTooLate), 0)
	}
	if _, err := m.attempts.apply(a.id, begin); err != nil {
		u.pool.put(c)
		return notRun(reasonCancelled, 0)
	}
	started := m.clock.Now()
	response, err := c.exchange(request, time.Now().Add(m.settings.RunLimit), responseMemory{a.memory, m.attempts})
	if err != nil {
		u.pool.closeAllIdle()
		_, _ = m.attempts.apply(a.id, lose)
		m.log.Debug("upstream failed", "attempt", a.id, "service", a.service, "error", err)
		a.span.RecordError(err)
		return unknown(reasonLost)
	}
	took = m.clock.Now().Sub(started)
	m.metrics.serviceTime.Record(took)
	u.latency.record(took, m.clock.Now())
	if err := m.attempts.finish(a.id, response); err != nil {
		// Only running leads here, so this is a fault of the agent itself; the response is still the true one.
		m.log.Error("retaining a response", "attempt", a.id, "error", err)
	}
	return result{outcome: structs.OutcomeAnswered, response: response}
}

// waitForSlot waits until the ticket is decided; it returns false when the attempt was cancelled first.
func waitForSlot(a *attempt, u *upstream, ticket *limit.Ticket) bool {
	select {
	case <-ticket.Ready():
		return true
	default:
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticket.Ready():
			return true
		case <-ticker.C:
			u.admission.Tick()
		case <-a.cancelled:
			if !ticket.Cancel() && ticket.Refusal() == nil {
				ticket.Done(-1)
			}
			return false
		}
	}
}

// refuse ends an attempt to which nothing was sent. If it was cancelled meanwhile, that stands.
func (m *Module) refuse(a *attempt, reason string, retryAfter time.Duration) result {
	if _, err := m.attempts.apply(a.id, refuse); err != nil {
		return notRun(reasonCancelled, 0)
	}
	return notRun(reason, retryAfter)
}

// connect returns a connection on which nothing was sent for this attempt. Requests that aren't idempotent get a new
// connection, since an idle one may break in use and leave the outcome unknown.
func (m *Module) connect(a *attempt, u *upstream) (*upstreamConn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(a.deadline.Sub(m.clock.Now())))
	defer cancel()
	c, err := u.pool.get(ctx, !a.idempotent)
	return c, eris.Wrap(err, "getting a connection")
}
