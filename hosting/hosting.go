// Package hosting runs the servers, logs and metrics of one process and stops them in order.
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

	"github.com/quetzalshed/quetzalshed/logging"
)

// metricsPort is where processes serve their metrics; deploy/system.toml names it too.
const metricsPort = "9464"

const (
	// metricsInterval is how often counters become visible.
	metricsInterval = 2 * time.Second
	// readHeaderTimeout bounds the reading of the header of a request.
	readHeaderTimeout = 5 * time.Second
	// gcPercent lets the heap double and a half before it is collected, since processor time is scarcer than memory.
	gcPercent = 250
)

// Process is what all parts of a process share.
type Process struct {
	Name    string
	Log     hclog.Logger
	Scope   tally.Scope
	Metrics http.Handler

	logWriter     *logging.Writer
	metricsCloser io.Closer
	servers       []*http.Server
	draining      atomic.Bool
	serveErrors   chan error
}

// New returns a process that logs to standard output.
func New(name, role string, level hclog.Level, memoryLimit int64) *Process {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "quetzalshed", Separator: promreporter.DefaultSeparator, CachedReporter: reporter,
		Tags: map[string]string{"process": name, "role": role}, OmitCardinalityMetrics: true,
	}, metricsInterval)
	writer := logging.NewWriter(os.Stdout, scope)
	return &Process{
		Name: name, Log: logging.New(role, writer, level), Scope: scope, Metrics: reporter.HTTPHandler(),
		logWriter: writer, metricsCloser: closer, serveErrors: make(chan error, 1),
	}
}

// Serve serves HTTP on an address of the form IP:PORT until the process stops.
func (p *Process) Serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listening on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: p.Log.StandardLogger(nil)}
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

// ServeMetrics serves the metrics as text at /metrics on the metrics port of an IP address.
func (p *Process) ServeMetrics(ip string) error {
	router := http.NewServeMux()
	router.Handle("/metrics", p.Metrics)
	return p.Serve(net.JoinHostPort(ip, metricsPort), router)
}

// Draining tells whether the process is about to stop.
func (p *Process) Draining() bool { return p.draining.Load() }

// Wait returns when ctx ends or a server has failed.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-p.serveErrors:
		return err
	}
}

// Drain reports the process as not ready for the notice, and then lets requests finish for up to the limit. Connections
// of clients stay open during the notice, since the load balancer still opens new ones.
func (p *Process) Drain(notice, limit time.Duration) {
	p.draining.Store(true)
	p.Log.Info("process stops", "notice_ms", notice.Milliseconds(), "limit_ms", limit.Milliseconds())
	for _, server := range p.servers {
		server.SetKeepAlivesEnabled(false)
	}
	time.Sleep(notice)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for _, server := range p.servers {
		if err := server.Shutdown(ctx); err != nil {
			p.Log.Warn("requests were still running", "error", err)
		}
	}
}

// Close writes the remaining log lines.
func (p *Process) Close() {
	p.Log.Info("process stopped", "lines_dropped", p.logWriter.Dropped())
	p.logWriter.Flush()
	_ = p.metricsCloser.Close()
}
