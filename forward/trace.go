package forward

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/quetzalshed/quetzalshed/structs"
)

// stateEvents returns a handler of 1xx responses that records each change of the attempt's state as a span event.
func stateEvents(span trace.Span) func(http.Header) {
	last := ""
	return func(header http.Header) {
		if state := header.Get(structs.HeaderState); state != last {
			last = state
			span.AddEvent(state)
		}
	}
}

// traceHeaders returns the W3C trace context of ctx as headers.
func traceHeaders(ctx context.Context) http.Header {
	header := http.Header{}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
	return header
}
