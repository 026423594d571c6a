package kernel

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// metricsInterval is how often metrics are published at /metrics.
const metricsInterval = time.Second

// telemetry holds the metrics and traces of a process.
type telemetry struct {
	scope       tally.Scope
	scopeCloser io.Closer
	handler     http.Handler
	tracer      trace.Tracer
	provider    *sdktrace.TracerProvider
	traceFile   *os.File
}

func newTelemetry(role Role, settings ProcessSettings) (*telemetry, error) {
	t := &telemetry{}
	// A separate registry allows several processes to run in one test binary.
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	t.handler = reporter.HTTPHandler()
	t.scope, t.scopeCloser = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "quetzalshed", Separator: promreporter.DefaultSeparator, CachedReporter: reporter,
		Tags: map[string]string{"process": settings.Name, "role": string(role)}, OmitCardinalityMetrics: true,
	}, metricsInterval)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if settings.TraceFile == "" {
		t.tracer = noop.NewTracerProvider().Tracer("quetzalshed")
		return t, nil
	}
	if err := t.openTraces(role, settings); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *telemetry) openTraces(role Role, settings ProcessSettings) error {
	file, err := os.OpenFile(settings.TraceFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return eris.Wrap(err, "opening the trace file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		_ = file.Close()
		return eris.Wrap(err, "creating the trace exporter")
	}
	t.traceFile = file
	t.provider = sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter, sdktrace.WithBatchTimeout(time.Second)),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", string(role)),
			attribute.String("service.instance.id", settings.Name),
			attribute.String("failure_domain", settings.FailureDomain),
		)))
	t.tracer = t.provider.Tracer("quetzalshed")
	return nil
}

func (t *telemetry) close() {
	if t.provider != nil {
		_ = t.provider.Shutdown(context.Background())
		_ = t.traceFile.Close()
	}
	_ = t.scopeCloser.Close()
}
