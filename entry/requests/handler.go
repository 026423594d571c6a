package requests

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/quetzalshed/quetzalshed/forward"
	"github.com/quetzalshed/quetzalshed/idempotency"
	"github.com/quetzalshed/quetzalshed/ingress"
	"github.com/quetzalshed/quetzalshed/limit"
)

// serveCaller answers one request of a caller.
func (m *Module) serveCaller(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := m.context.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	var memory requestReservation
	// The memory of the request is held until the response has been sent.
	defer memory.release()
	result := m.answer(ctx, w, r, &memory, start)
	span.SetAttributes(attribute.String("quetzalshed.outcome", string(result.Outcome)),
		attribute.Int("http.response.status_code", result.Status), attribute.Int("quetzalshed.attempts", result.Attempts))
	m.metrics.outcomes[result.Outcome].Inc(1)
	m.metrics.latency.RecordDuration(time.Since(start))
	ingress.DiscardBody(w, r, maxDiscardBytes, discardTime)
	respond(w, r, result, m.settings.WriteLimit)
}

// requestReservation is the memory that a request holds from its admission on.
type requestReservation struct{ *limit.Reservation }

func (r *requestReservation) release() {
	if r.Reservation != nil {
		r.Release()
	}
}

// answer processes a request that arrived at start and returns its final result. It may set headers of the response. The request
// takes a place, its priority and memory of the requests in flight only once its body has arrived: until then, package ingress
// limits its memory and its time, so that clients whose bodies stop short keep nobody out.
func (m *Module) answer(
	ctx context.Context, w http.ResponseWriter, r *http.Request, memory *requestReservation, start time.Time,
) forward.Result {
	if !m.active.begin() {
		m.metrics.draining.Inc(1)
		w.Header().Set("Connection", "close")
		return notRun(http.StatusServiceUnavailable, "the entry is shutting down", time.Second)
	}
	defer m.active.end()
	p, err := parseRequest(r)
	if err != nil {
		m.metrics.malformed.Inc(1)
		return notRun(http.StatusBadRequest, err.Error(), 0)
	}
	if result, ok := m.checkRates(r, p.request.Service); !ok {
		return result
	}
	p.request.Deadline = start.Add(p.timeout)
	if result, ok := m.receiveBody(w, r, &p.request); !ok {
		return result
	}
	memory.Reservation = m.newReservation(&p.request, int64(len(p.request.Body)))
	release, err := m.inFlight.Acquire(ctx, memory.Reservation)
	if err != nil {
		return m.rejected(err)
	}
	defer release()
	ctx = forward.WithMemory(ctx, memory.Reservation)
	if p.request.Idempotent {
		return m.forwarder.Do(ctx, &p.request, nil)
	}
	return m.answerAtMostOnce(ctx, w, &p)
}

// newReservation returns a reservation for a request with a body of a size. It holds nothing yet.
func (m *Module) newReservation(request *forward.Request, bodyBytes int64) *limit.Reservation {
	return m.memory.NewReservation(request.Priority, request.Deadline, int64(headerBytes(request.Header))+bodyBytes)
}

// rejected turns a rejection by the in-flight limiter into a result.
func (m *Module) rejected(err error) forward.Result {
	m.metrics.limited.Inc(1)
	var rejection *limit.RejectedError
	if errors.As(err, &rejection) {
		if rejection.MemoryExceeded {
			m.metrics.memoryLimited.Inc(1)
		}
		return notRun(http.StatusServiceUnavailable, rejection.Reason, rejection.RetryAfter)
	}
	return notRun(http.StatusServiceUnavailable, err.Error(), time.Second)
}

// claimAssigner lets the forwarder record each attempt in a claim before it is sent.
type claimAssigner struct{ claim *idempotency.Claim }

// Assign implements forward.Assigner.
func (a claimAssigner) Assign(ctx context.Context, target forward.Target, attempt string) error {
	return a.claim.Assign(ctx, target.ID.Agent, target.ID.Incarnation, target.Address, attempt)
}
