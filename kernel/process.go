package kernel

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"go.uber.org/multierr"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/findings"
	"github.com/quetzalshed/quetzalshed/ingress"
	"github.com/quetzalshed/quetzalshed/settings"
)

// ProcessSettings is the section [process].
type ProcessSettings struct {
	// Name is unique in the fleet.
	Name string `ini:"name"`
	// Fleet is the name of the fleet. Processes reject messages from other fleets.
	Fleet         string         `ini:"fleet"`
	Region        string         `ini:"region" default:"local"`
	FailureDomain string         `ini:"failure_domain"`
	Listen        netip.AddrPort `ini:"listen"`
	// Advertise is the address that is announced to other processes. It defaults to Listen; read it with PeerAddress.
	Advertise   netip.AddrPort `ini:"advertise" default:""`
	AdminListen netip.AddrPort `ini:"admin_listen"`
	LogLevel    string         `ini:"log_level" default:"info" oneof:"trace debug info warn error"`
	// TraceFile is the file to which spans are written as JSON lines. Tracing is off if it is empty.
	TraceFile string `ini:"trace_file" default:""`
	// MemoryLimit is the soft memory limit of the Go runtime in bytes. Near it, the garbage collector runs more often
	// instead of letting the heap grow to twice the live heap. The default leaves 16 MB of the 128 MB that control
	// processes may use on a node to the program text and the system. The environment variable GOMEMLIMIT takes
	// precedence. The limits of package ingress are derived from it.
	MemoryLimit int64 `ini:"memory_limit" default:"112000000" min:"32000000" max:"1099511627776"`
	// DrainNotice is how long a stopping process keeps accepting connections after it reports that it isn't ready, so
	// that load balancers and peers stop sending requests first.
	DrainNotice time.Duration `ini:"drain_notice" default:"2s" min:"0s" max:"1m"`
	// DrainLimit bounds a graceful shutdown.
	DrainLimit time.Duration `ini:"drain_limit" default:"65s" min:"1s" max:"30m"`
}

// PeerAddress returns the address at which other processes can reach this one.
func (p *ProcessSettings) PeerAddress() netip.AddrPort {
	if p.Advertise.IsValid() {
		return p.Advertise
	}
	return p.Listen
}

// CheckSettings implements settings.Checker. drain_notice must be below drain_limit, since otherwise there would be no
// time left to close connections and every stop would be reported as unclean.
func (p *ProcessSettings) CheckSettings(location func(key string) findings.Location, found *findings.List) {
	switch {
	case !p.Advertise.IsValid() && p.Listen.Addr().IsUnspecified():
		found.Addf(location("listen"), "peers can't reach %s; set advertise to an address of this host", p.Listen)
	case p.Advertise.IsValid() && (p.Advertise.Addr().IsUnspecified() || p.Advertise.Port() == 0):
		found.Addf(location("advertise"), "peers can't reach %s", p.Advertise)
	}
	if p.DrainNotice >= p.DrainLimit {
		found.Addf(location("drain_limit"), "%v must be more than drain_notice, which is %v", p.DrainLimit, p.DrainNotice)
	}
}

// Process runs the modules and HTTP servers of one role.
type Process struct {
	context     *Context
	host        clock.Host
	moduleOrder []string
	draining    atomic.Bool
	// started is set once all modules have started.
	started   atomic.Bool
	telemetry *telemetry
	server    *http.Server
	admin     *http.Server
}

// LoadProcess reads the settings of a role and its modules. The error holds all findings.
func LoadProcess(role Role, path string) (*Process, error) {
	file, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	infos, err := modulesForRole(role)
	if err != nil {
		return nil, err
	}
	p := &Process{context: &Context{Role: role, modules: map[string]Module{}}, host: clock.System{}}
	file.Decode("process", &p.context.Process)
	for _, info := range infos {
		module := info.New()
		if target := module.Settings(); target != nil {
			file.Decode(info.Name, target)
		}
		p.context.modules[info.Name] = module
		p.moduleOrder = append(p.moduleOrder, info.Name)
	}
	return p, file.Err()
}

// Run provisions and starts the modules, serves requests until ctx ends, and then shuts down gracefully.
func (p *Process) Run(ctx context.Context) error {
	if err := p.provision(); err != nil {
		return err
	}
	defer p.telemetry.close()
	listeners, err := p.listen()
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	serveErrors := make(chan error, len(listeners))
	for server, listener := range listeners {
		go func() { serveErrors <- server.Serve(listener) }()
	}
	for _, name := range p.moduleOrder {
		if err := p.context.modules[name].Start(background); err != nil {
			return eris.Wrapf(err, "starting %s", name)
		}
	}
	p.started.Store(true)
	p.context.Log.Info("process started", "address", p.context.Process.Listen,
		"advertise", p.context.Process.PeerAddress(), "incarnation", p.context.Incarnation)
	select {
	case <-ctx.Done():
		return p.shutdown()
	case err := <-serveErrors:
		return eris.Wrap(err, "serving HTTP")
	}
}

func (p *Process) provision() error {
	c := p.context
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(c.Process.MemoryLimit)
	}
	c.Clock = clock.NewBoot(p.host)
	c.StartedUnixNano = time.Now().UnixNano()
	c.Incarnation = newIncarnation()
	c.Log = hclog.New(&hclog.LoggerOptions{
		Name: string(c.Role) + "." + c.Process.Name, Level: hclog.LevelFromString(c.Process.LogLevel),
		Output: os.Stderr, JSONFormat: true,
	})
	var err error
	if p.telemetry, err = newTelemetry(c.Role, c.Process); err != nil {
		return err
	}
	c.Metrics = p.telemetry.scope
	c.Tracer = p.telemetry.tracer
	c.Router = mux.NewRouter().UseEncodedPath()
	for _, name := range p.moduleOrder {
		if err := c.modules[name].Provision(c); err != nil {
			return eris.Wrapf(err, "provisioning %s", name)
		}
	}
	return nil
}

func newIncarnation() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

func (p *Process) listen() (map[*http.Server]net.Listener, error) {
	const headerTimeout = 5 * time.Second
	limiter := ingress.NewLimiter(ingress.HeapLimits(debug.SetMemoryLimit(-1), ingress.MaxFiles()), p.context.Log, p.context.Metrics)
	p.server = &http.Server{Handler: p.closeWhileDraining(p.context.Router), ReadHeaderTimeout: headerTimeout}
	p.admin = &http.Server{Handler: p.adminRouter(), ReadHeaderTimeout: headerTimeout}
	main, err := net.Listen("tcp", p.context.Process.Listen.String())
	if err != nil {
		return nil, eris.Wrap(err, "main address")
	}
	admin, err := net.Listen("tcp", p.context.Process.AdminListen.String())
	if err != nil {
		_ = main.Close()
		return nil, eris.Wrap(err, "admin address")
	}
	return map[*http.Server]net.Listener{
		p.server: limiter.Protect(p.server, CountTraffic(main, p.context.Metrics), ingress.AllButMinorShare),
		p.admin:  limiter.Protect(p.admin, admin, ingress.MinorShare),
	}, nil
}

// shutdown drains all modules concurrently while the servers still respond, then stops the servers and the modules.
func (p *Process) shutdown() error {
	p.draining.Store(true)
	p.context.Log.Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), p.context.Process.DrainLimit)
	defer cancel()
	notice := time.NewTimer(p.context.Process.DrainNotice)
	defer notice.Stop()
	err := p.drain(ctx)
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	err = multierr.Append(err, p.server.Shutdown(ctx))
	for i := len(p.moduleOrder) - 1; i >= 0; i-- {
		err = multierr.Append(err, p.context.modules[p.moduleOrder[i]].Stop(ctx))
	}
	err = multierr.Append(err, p.admin.Shutdown(ctx))
	p.context.Log.Info("process stopped", "clean", err == nil)
	return err
}

func (p *Process) drain(ctx context.Context) error {
	results := make(chan error)
	drainers := 0
	for _, name := range p.moduleOrder {
		if drainer, ok := p.context.modules[name].(Drainer); ok {
			drainers++
			go func() { results <- eris.Wrapf(drainer.Drain(ctx), "draining %s", name) }()
		}
	}
	var err error
	for range drainers {
		err = multierr.Append(err, <-results)
	}
	return err
}

// closeWhileDraining makes clients close their keep-alive connections after the current response. Closing idle
// connections on the server instead could drop a request that is already in flight.
func (p *Process) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
