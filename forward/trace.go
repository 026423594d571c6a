package forward

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
)

// traceHeaders returns the W3C trace context of ctx as headers.
func traceHeaders(ctx context.Context) http.Header {
	header := http.Header{}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
	return header
}
