package requests

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/structs"
)

// The values of HeaderReason in addition to those of package limit.
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

// tickInterval is how often the deadlines of waiting requests are checked.
const tickInterval = 200 * time.Millisecond

// unreachableRetryAfter is the delay after which a caller may retry when the upstream can't be reached.
const unreachableRetryAfter = time.Second

// result is the outcome of an attempt, with the response of the upstream or the reason why there is none.
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

// execute queues and runs an attempt until it ends. It doesn't depend on the entry's connection: once an attempt runs,
// its response is retained even if the entry has disconnected.
func (m *Module) execute(a *attempt) {
	defer a.releaseResponse()
	defer close(a.done)
	defer a.span.End()
	a.result = m.run(a, a.upstream)
	// Handlers that wait for the attempt use only its result.
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
		m.log.Debug("no complete response from the upstream", "attempt", a.id, "service", a.service, "error", err)
		a.span.RecordError(err)
		return unknown(reasonLost)
	}
	took = m.clock.Now().Sub(started)
	m.metrics.serviceTime.Record(took)
	u.latency.record(took, m.clock.Now())
	if err := m.attempts.finish(a.id, response); err != nil {
		// The attempt is running here, so the event can only be rejected because of a bug in the agent. The response is
		// still valid.
		m.log.Error("cannot retain a response", "attempt", a.id, "error", err)
	}
	return result{outcome: structs.OutcomeAnswered, response: response}
}

// waitForSlot waits until the ticket is granted or refused. It returns false if the attempt is cancelled first.
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

// refuse ends an attempt of which nothing was sent to the upstream. If it was cancelled in the meantime, it stays
// cancelled.
func (m *Module) refuse(a *attempt, reason string, retryAfter time.Duration) result {
	if _, err := m.attempts.apply(a.id, refuse); err != nil {
		return notRun(reasonCancelled, 0)
	}
	return notRun(reason, retryAfter)
}

// connect returns a connection to the upstream and sends nothing over it. A request that isn't idempotent gets a new
// connection, since an idle one may break while it is used, which would make the outcome unknown.
func (m *Module) connect(a *attempt, u *upstream) (*upstreamConn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(a.deadline.Sub(m.clock.Now())))
	defer cancel()
	c, err := u.pool.get(ctx, !a.idempotent)
	return c, eris.Wrap(err, "getting a connection to the upstream")
}
