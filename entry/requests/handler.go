package requests

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/quetzalshed/quetzalshed/forward"
	"github.com/quetzalshed/quetzalshed/idempotency"
	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/structs"
)

// serveCaller answers one request of a caller.
func (m *Module) serveCaller(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := m.context.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	result := m.answer(ctx, w, r, start)
	span.SetAttributes(attribute.String("quetzalshed.outcome", string(result.Outcome)),
		attribute.Int("http.response.status_code", result.Status), attribute.Int("quetzalshed.attempts", result.Attempts))
	m.metrics.outcomes[result.Outcome].Inc(1)
	m.metrics.latency.RecordDuration(time.Since(start))
	respond(w, r, result)
}

func (m *Module) answer(ctx context.Context, w http.ResponseWriter, r *http.Request, start time.Time) forward.Result {
	limitBody(w, r, start.Add(defaultTimeout))
	if !m.active.begin() {
		m.metrics.draining.Inc(1)
		w.Header().Set("Connection", "close")
		return notRun(http.StatusServiceUnavailable, "the entry is shutting down", time.Second)
	}
	defer m.active.end()
	p, err := parse(r)
	if err != nil {
		m.metrics.malformed.Inc(1)
		return notRun(http.StatusBadRequest, err.Error(), 0)
	}
	p.request.Deadline = start.Add(p.timeout)
	limitBody(w, r, p.request.Deadline)
	release, err := m.inFlight.Acquire(ctx, p.request.Priority, p.request.Deadline)
	if err != nil {
		m.metrics.limited.Inc(1)
		return rejected(err)
	}
	defer release()
	if result, ok := readBody(w, r, &p.request); !ok {
		m.metrics.malformed.Inc(1)
		return result
	}
	if p.request.Idempotent {
		return m.forwarder.Do(ctx, &p.request, nil)
	}
	return m.answerOnce(ctx, w, &p)
}

// rejected reports that the entry is at its limit.
func rejected(err error) forward.Result {
	var rejection *limit.RejectedError
	if errors.As(err, &rejection) {
		return notRun(http.StatusServiceUnavailable, rejection.Reason, rejection.RetryAfter)
	}
	return notRun(http.StatusServiceUnavailable, err.Error(), time.Second)
}

// limitBody bounds the time for which the body of a request is read, also by package http after the response. Without
// full duplex that package reads an unread body before it sends the response, so that a caller who sends slowly would get
// a rejection late or never.
func limitBody(w http.ResponseWriter, r *http.Request, deadline time.Time) {
	if r.ContentLength == 0 {
		return
	}
	controller := http.NewResponseController(w)
	// Both fail only for writers that aren't connections.
	_ = controller.EnableFullDuplex()
	_ = controller.SetReadDeadline(deadline)
}

// readBody reads the whole body, of at most the size that a request may have.
func readBody(w http.ResponseWriter, r *http.Request, request *forward.Request) (forward.Result, bool) {
	if r.ContentLength > structs.MaxRequestBody {
		return notRun(http.StatusRequestEntityTooLarge, "the body is over 1 MiB", 0), false
	}
	if r.ContentLength == 0 {
		return forward.Result{}, true
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, structs.MaxRequestBody))
	if err == nil {
		// A read deadline that stays set would end the request as if the caller had disconnected.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return notRun(http.StatusRequestEntityTooLarge, "the body is over 1 MiB", 0), false
	case err != nil:
		return notRun(http.StatusBadRequest, "the body did not arrive: "+err.Error(), 0), false
	}
	request.Body = body
	return forward.Result{}, true
}

// assigner connects the forwarder to a claim.
type assigner struct{ claim *idempotency.Claim }

// Assign records the attempt.
func (a assigner) Assign(ctx context.Context, target forward.Target, attempt string) error {
	return a.claim.Assign(ctx, target.ID.Agent, target.ID.Incarnation, target.Address, attempt)
}
