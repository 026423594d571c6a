package requests

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/structs"
)

// bodyLimit bounds the time for which a sender can hold a handler with an incomplete request.
const bodyLimit = 10 * time.Second

// discardBody reads the rest of a body: a connection that is closed with unread input is reset, and the sender may lose
// the response.
func discardBody(r *http.Request) {
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, 2*structs.MaxRequestBody))
}

// serveAttempt handles POST /v1/requests/{attemptID}.
func (m *Module) serveAttempt(w http.ResponseWriter, r *http.Request) {
	out := newReplier(w)
	id := mux.Vars(r)["attemptID"]
	if _, _, _, ok := structs.ParseAttemptID(id); !ok {
		m.reply(out, id, notRun(reasonBadRequest, 0), nil)
		return
	}
	_ = out.control.SetReadDeadline(time.Now().Add(bodyLimit))
	a, reason := m.readAttempt(id, r)
	if reason != "" {
		discardBody(r)
		m.reject(out, id, reason, unreachableRetryAfter, nil)
		return
	}
	defer func() {
		if a.upstream == nil {
			m.bodies.release(a.held)
		}
	}()
	_ = out.control.SetReadDeadline(time.Time{})
	u, reason := m.upstreams.find(a.service)
	if reason != "" {
		m.reject(out, id, reason, unreachableRetryAfter, u)
		return
	}
	ctx := propagation.TraceContext{}.Extract(context.Background(), propagation.HeaderCarrier(r.Header))
	_, a.span = m.tracer.Start(ctx, "agent.request", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attemptAttributes(a)...))
	if known, ok := m.ledger.arrive(a); !ok {
		a.span.End()
		result := knownAttempt(known)
		m.metrics.count(result)
		m.reply(out, id, result, u)
		return
	}
	a.upstream = u
	a.memory = m.responses.NewReservation(a.priority, a.deadline, firstRead)
	a.users.Store(2)
	defer a.leave()
	go m.execute(a)
	m.follow(out, r, a)
}

// readAttempt reads the request of an attempt whole, or returns a reason to reject it. The bytes of its body are held
// until the attempt ends.
func (m *Module) readAttempt(id string, r *http.Request) (a *attempt, reason string) {
	if r.Header.Get(structs.HeaderAgentIncarnation) != m.incarnation {
		return nil, reasonIncarnation
	}
	a, err := newAttempt(id, r, m.clock.Now())
	if err != nil {
		return nil, reasonBadRequest
	}
	a.held = bodySize(r)
	if !m.bodies.hold(a.held) {
		return nil, reasonMemory
	}
	if err := a.readBody(r); err != nil {
		m.bodies.release(a.held)
		return nil, reasonBadRequest
	}
	return a, ""
}

// knownAttempt returns the response to a message about an attempt in the given state, which has a record or was forgotten.
// Only an attempt that can never run is reported as not run.
func knownAttempt(s state) result {
	switch {
	case s == forgotten:
		return unknown(reasonForgotten)
	case s.notRun():
		return notRun(reasonTombstone, 0)
	}
	return unknown(reasonDuplicate)
}

// reject refuses an attempt that was never queued. If the attempt is known, its state decides the response.
func (m *Module) reject(out *replier, id, reason string, retryAfter time.Duration, u *upstream) {
	result := notRun(reason, retryAfter)
	if s := m.ledger.reject(id); !s.notRun() {
		result = knownAttempt(s)
	}
	m.metrics.count(result)
	m.reply(out, id, result, u)
}

func (m *Module) reply(out *replier, id string, r result, u *upstream) {
	load := ""
	if u != nil {
		load = loadHeader(u.announced())
	}
	out.result(id, r, load)
}

// lateInterval is how soon an attempt is looked at again that was between the queue and the upstream at its deadline.
const lateInterval = 20 * time.Millisecond

// follow sends interim responses until the attempt has ended, its deadline has passed, or the entry has gone.
func (m *Module) follow(out *replier, r *http.Request, a *attempt) {
	ticker := time.NewTicker(interimInterval)
	defer ticker.Stop()
	late := time.NewTimer(a.deadline.Sub(m.clock.Now()))
	defer late.Stop()
	for {
		select {
		case <-a.done:
			m.reply(out, a.id, a.result, a.upstream)
			return
		case <-late.C:
			// The queue refuses a waiting attempt now; a running one goes on and its response is retained.
			a.upstream.admission.Tick()
			if s, _, _ := m.ledger.look(a.id); s == running {
				a.upstream.pool.distrust()
				m.reply(out, a.id, unknown(reasonDeadline), a.upstream)
				return
			}
			late.Reset(lateInterval)
		case <-ticker.C:
			s, _, _ := m.ledger.look(a.id)
			out.interim(s)
		case <-r.Context().Done():
			_, _ = m.ledger.apply(a.id, withdraw)
			return
		}
	}
}

// serveResolve handles POST /v1/requests/{attemptID}/resolve.
func (m *Module) serveResolve(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["attemptID"]
	reply := structs.ResolveReply{Attempt: id, Incarnation: m.incarnation, State: structs.AttemptUnknown}
	if _, _, _, ok := structs.ParseAttemptID(id); !ok {
		kernel.WriteJSON(w, http.StatusBadRequest, reply)
		return
	}
	asked := r.Header.Get(structs.HeaderAgentIncarnation)
	if asked != "" && asked != m.incarnation {
		kernel.WriteJSON(w, http.StatusOK, reply)
		return
	}
	s, err := m.ledger.apply(id, resolve)
	if err == nil {
		reply.State = s.report()
		m.metrics.countResolved(s)
	}
	kernel.WriteJSON(w, http.StatusOK, reply)
}

// serveAnswer handles GET /v1/requests/{attemptID}/answer. For an attempt that is still queued or running it waits for as
// long as HeaderBudgetMillis says, with interim responses, and without that header it responds at once.
func (m *Module) serveAnswer(w http.ResponseWriter, r *http.Request) {
	out := newReplier(w)
	id := mux.Vars(r)["attemptID"]
	s, found, a := m.ledger.look(id)
	switch {
	case found != nil:
		m.reply(out, id, result{outcome: structs.OutcomeAnswered, response: found}, nil)
	case a != nil:
		budget, _ := strconv.ParseInt(r.Header.Get(structs.HeaderBudgetMillis), 10, 64)
		budget = min(max(budget, 0), maxBudget.Milliseconds())
		m.await(out, r, a, time.Duration(budget)*time.Millisecond)
	case s.notRun():
		m.reply(out, id, notRun(reasonCancelled, 0), nil)
	default:
		m.reply(out, id, unknown(reasonForgotten), nil)
	}
}

// await sends interim responses until the attempt has ended or the time is over. It has no effect on the attempt.
func (m *Module) await(out *replier, r *http.Request, a *attempt, limit time.Duration) {
	ticker := time.NewTicker(interimInterval)
	defer ticker.Stop()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case <-a.done:
			m.reply(out, a.id, a.result, a.upstream)
			return
		case <-timer.C:
			s, _, _ := m.ledger.look(a.id)
			out.Header().Set(structs.HeaderState, string(s.report()))
			m.reply(out, a.id, unknown(reasonUnfinished), a.upstream)
			return
		case <-ticker.C:
			s, _, _ := m.ledger.look(a.id)
			out.interim(s)
		case <-r.Context().Done():
			return
		}
	}
}

// servePing handles GET /v1/ping.
func (m *Module) servePing(w http.ResponseWriter, _ *http.Request) {
	kernel.WriteJSON(w, http.StatusOK, struct {
		Incarnation string `json:"incarnation"`
	}{m.incarnation})
}
