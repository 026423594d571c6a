// Package hosting runs the HTTP servers, logging and metrics of a process and shuts them down in order.
package hosting

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/quetzalshed/quetzalshed/ingress"
	"github.com/quetzalshed/quetzalshed/logging"
)

// metricsPort is the port on which processes serve their metrics. It must match deploy/system.toml.
const metricsPort = "9464"

const (
	// metricsInterval is how often metrics are reported.
	metricsInterval = 2 * time.Second
	// readHeaderTimeout is the timeout for reading a request header.
	readHeaderTimeout = 5 * time.Second
	// gcPercent lets the heap grow by 250% between garbage collections, since processor time is scarcer than memory.
	gcPercent = 250
)

// Process holds the logger, metrics and HTTP servers that all parts of a process share.
type Process struct {
	Log     hclog.Logger
	Scope   tally.Scope
	Metrics http.Handler

	// Ingress limits what the servers take in. It is nil if nothing limits it.
	Ingress *ingress.Limiter

	logWriter     *logging.Writer
	metricsCloser io.Closer
	servers       []*http.Server
	draining      atomic.Bool
	serveErrors   chan error
}

// New returns a process that logs to standard output. memoryLimit is the soft memory limit of the Go runtime in bytes, unless
// that of limits is lower.
func New(name, role string, level hclog.Level, memoryLimit int64, limits ingress.Limits) *Process {
	debug.SetGCPercent(gcPercent)
	if limits.HeapBytes > 0 {
		memoryLimit = min(memoryLimit, limits.HeapBytes)
	}
	debug.SetMemoryLimit(memoryLimit)
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "quetzalshed", Separator: promreporter.DefaultSeparator, CachedReporter: reporter,
		Tags: map[string]string{"process": name, "role": role}, OmitCardinalityMetrics: true,
	}, metricsInterval)
	writer := logging.NewWriter(os.Stdout, scope)
	p := &Process{
		Log: logging.New(role, writer, level), Scope: scope, Metrics: reporter.HTTPHandler(),
		logWriter: writer, metricsCloser: closer, serveErrors: make(chan error, 1),
	}
	if limits != (ingress.Limits{}) {
		p.Ingress = ingress.NewLimiter(limits, p.Log, scope)
	}
	return p
}

// Serve starts an HTTP server on an address of the form IP:PORT. It runs until Drain. The server gets the given share of the
// connections of the process.
func (p *Process) Serve(address string, share ingress.Share, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listening on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: p.Log.StandardLogger(nil)}
	listener = p.Ingress.Protect(server, listener, share)
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			select {
			case p.serveErrors <- eris.Wrapf(err, "serving %s", address):
			default:
			}
		}
	}()
	return nil
}

// ServeMetrics serves the metrics in the Prometheus text format at /metrics on the metrics port of an IP address.
func (p *Process) ServeMetrics(ip string) error {
	router := http.NewServeMux()
	router.Handle("/metrics", p.Metrics)
	return p.Serve(net.JoinHostPort(ip, metricsPort), ingress.MinorShare, router)
}

// Draining reports whether Drain has been called.
func (p *Process) Draining() bool { return p.draining.Load() }

// Wait blocks until ctx ends, or until a server fails and returns its error.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-p.serveErrors:
		return err
	}
}

// Drain marks the process as draining, keeps serving for the notice period, and then lets running requests finish for
// up to the limit. The servers accept connections during the notice period, since the load balancer still opens new
// ones.
func (p *Process) Drain(notice, limit time.Duration) {
	p.draining.Store(true)
	p.Log.Info("process stopping", "notice_ms", notice.Milliseconds(), "limit_ms", limit.Milliseconds())
	for _, server := range p.servers {
		server.SetKeepAlivesEnabled(false)
	}
	time.Sleep(notice)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for _, server := range p.servers {
		if err := server.Shutdown(ctx); err != nil {
			p.Log.Warn("drain limit reached while requests were running", "error", err)
		}
	}
}

// Close flushes the log and closes the metrics reporter.
func (p *Process) Close() {
	p.Log.Info("process stopped", "lines_dropped", p.logWriter.Dropped())
	p.logWriter.Flush()
	_ = p.metricsCloser.Close()
}
