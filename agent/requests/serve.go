package requests

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/quetzalshed/quetzalshed/ingress"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/structs"
)

// bodyReadTimeout limits how long a sender can occupy a handler with an incomplete request.
const bodyReadTimeout = 10 * time.Second

// discardBody reads the rest of a body before its request is refused, since an entry reads the response only once it has sent the
// whole body: closing a connection with unread input resets it, and the entry would lose the response.
func discardBody(w http.ResponseWriter, r *http.Request) {
	ingress.DiscardBody(w, r, 2*structs.MaxRequestBody, bodyReadTimeout)
}

// serveAttempt handles POST /v1/requests/{attemptID}.
func (m *Module) serveAttempt(w http.ResponseWriter, r *http.Request) {
	out := newAttemptWriter(w)
	id := mux.Vars(r)["attemptID"]
	if _, _, _, ok := structs.ParseAttemptID(id); !ok {
		discardBody(w, r)
		m.reply(out, id, notRun(reasonBadRequest, 0), nil)
		return
	}
	a, reason := m.readAttempt(w, id, r)
	if reason != "" {
		discardBody(w, r)
		m.reject(out, id, reason, unreachableRetryAfter, nil)
		return
	}
	defer func() {
		if a.upstream == nil {
			m.bodies.release(a.reservedBytes)
		}
	}()
	u, reason := m.upstreams.find(a.service)
	if reason != "" {
		m.reject(out, id, reason, unreachableRetryAfter, u)
		return
	}
	ctx := propagation.TraceContext{}.Extract(context.Background(), propagation.HeaderCarrier(r.Header))
	_, a.span = m.tracer.Start(ctx, "agent.request", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attemptAttributes(a)...))
	if known, ok := m.attempts.arrive(a); !ok {
		a.span.End()
		result := knownAttemptResult(known)
		m.metrics.count(result)
		m.reply(out, id, result, u)
		return
	}
	a.upstream = u
	a.memory = m.responses.NewReservation(a.priority, a.deadline, firstReadSize)
	a.responseRefs.Store(2)
	defer a.releaseResponse()
	go m.execute(a)
	m.respondToSender(out, r, a)
}

// readAttempt reads the complete request of an attempt, or returns a reason to reject it. The memory for its body stays
// reserved until the attempt ends.
//
// While the body arrives, package ingress limits its memory and its time, so that senders whose bodies stop short take nothing of
// the memory for the bodies of attempts.
func (m *Module) readAttempt(w http.ResponseWriter, id string, r *http.Request) (a *attempt, reason string) {
	if r.Header.Get(structs.HeaderAgentIncarnation) != m.incarnation {
		return nil, reasonIncarnation
	}
	a, err := newAttempt(id, r, m.clock.Now())
	if err != nil {
		return nil, reasonBadRequest
	}
	if !m.bodies.fits(max(r.ContentLength, 0)) {
		return nil, reasonMemory
	}
	ingress.SetBodyDeadline(r, time.Now().Add(bodyReadTimeout))
	a.body, err = ingress.ReadBody(w, r, structs.MaxRequestBody)
	switch {
	case errors.Is(err, ingress.ErrRefused):
		return nil, reasonMemory
	case err != nil:
		return nil, reasonBadRequest
	}
	ingress.ReleaseBody(r)
	if !m.bodies.tryReserve(int64(len(a.body))) {
		return nil, reasonMemory
	}
	a.reservedBytes = int64(len(a.body))
	return a, ""
}

// knownAttemptResult returns the result to report for a request whose attempt already has a record or was forgotten. Only
// an attempt that can never run is reported as not run.
func knownAttemptResult(s state) result {
	switch {
	case s == forgotten:
		return unknown(reasonForgotten)
	case s.notRun():
		return notRun(reasonTombstone, 0)
	}
	return unknown(reasonDuplicate)
}

// reject refuses an attempt that was never queued. If the attempt is already known and may run or have run, the
// response reports that instead of the reason.
func (m *Module) reject(out *attemptWriter, id, reason string, retryAfter time.Duration, u *upstream) {
	result := notRun(reason, retryAfter)
	if s := m.attempts.reject(id); !s.notRun() {
		result = knownAttemptResult(s)
	}
	m.metrics.count(result)
	m.reply(out, id, result, u)
}

func (m *Module) reply(out *attemptWriter, id string, r result, u *upstream) {
	load := ""
	if u != nil {
		load = loadHeader(u.announced())
	}
	out.sendResult(id, r, load)
}

// deadlineRecheckInterval is how soon an attempt is checked again if its deadline passed after it left the queue and
// before its send began.
const deadlineRecheckInterval = 20 * time.Millisecond

// respondToSender responds to the entry that sent the attempt. It sends interim responses until the attempt has ended or
// its deadline has passed, and then the result. If the entry disconnects, the attempt is withdrawn if it is still queued.
func (m *Module) respondToSender(out *attemptWriter, r *http.Request, a *attempt) {
	ticker := time.NewTicker(interimInterval)
	defer ticker.Stop()
	deadlineTimer := time.NewTimer(a.deadline.Sub(m.clock.Now()))
	defer deadlineTimer.Stop()
	for {
		select {
		case <-a.done:
			m.reply(out, a.id, a.result, a.upstream)
			return
		case <-deadlineTimer.C:
			// Tick refuses a waiting attempt whose deadline has passed. A running one continues, and its response is
			// retained.
			a.upstream.admission.Tick()
			if s, _, _ := m.attempts.lookup(a.id); s == running {
				a.upstream.pool.closeAllIdle()
				m.reply(out, a.id, unknown(reasonDeadline), a.upstream)
				return
			}
			deadlineTimer.Reset(deadlineRecheckInterval)
		case <-ticker.C:
			s, _, _ := m.attempts.lookup(a.id)
			out.sendInterim(s)
		case <-r.Context().Done():
			_, _ = m.attempts.apply(a.id, withdraw)
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
	expected := r.Header.Get(structs.HeaderAgentIncarnation)
	if expected != "" && expected != m.incarnation {
		kernel.WriteJSON(w, http.StatusOK, reply)
		return
	}
	s, err := m.attempts.apply(id, resolve)
	if err == nil {
		reply.State = s.attemptState()
		m.metrics.countResolved(s)
	}
	kernel.WriteJSON(w, http.StatusOK, reply)
}

// serveAnswer handles GET /v1/requests/{attemptID}/answer. For an attempt that is still queued or running it sends
// interim responses and waits for up to HeaderBudgetMillis; without that header it responds immediately.
func (m *Module) serveAnswer(w http.ResponseWriter, r *http.Request) {
	out := newAttemptWriter(w)
	id := mux.Vars(r)["attemptID"]
	s, found, a := m.attempts.lookup(id)
	switch {
	case found != nil:
		m.reply(out, id, result{outcome: structs.OutcomeAnswered, response: found}, nil)
	case a != nil:
		budget, _ := strconv.ParseInt(r.Header.Get(structs.HeaderBudgetMillis), 10, 64)
		budget = min(max(budget, 0), maxBudget.Milliseconds())
		m.respondToFetch(out, r, a, time.Duration(budget)*time.Millisecond)
	case s.notRun():
		m.reply(out, id, notRun(reasonCancelled, 0), nil)
	default:
		m.reply(out, id, unknown(reasonForgotten), nil)
	}
}

// respondToFetch responds to an entry that fetches the answer of an attempt. It sends interim responses until the attempt
// has ended or the limit has passed, and then the result. It doesn't affect the attempt.
func (m *Module) respondToFetch(out *attemptWriter, r *http.Request, a *attempt, limit time.Duration) {
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
			s, _, _ := m.attempts.lookup(a.id)
			out.Header().Set(structs.HeaderState, string(s.attemptState()))
			m.reply(out, a.id, unknown(reasonUnfinished), a.upstream)
			return
		case <-ticker.C:
			s, _, _ := m.attempts.lookup(a.id)
			out.sendInterim(s)
		case <-r.Context().Done():
			return
		}
	}
}

// servePing handles GET /v1/ping, which returns the agent's incarnation.
func (m *Module) servePing(w http.ResponseWriter, _ *http.Request) {
	kernel.WriteJSON(w, http.StatusOK, struct {
		Incarnation string `json:"incarnation"`
	}{m.incarnation})
}
