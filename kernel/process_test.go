package kernel

import (
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
)

// recorder is a module that records its lifecycle calls.
type recorder struct {
	name     string
	settings struct {
		Value int `ini:"value" default:"1" max:"5"`
	}
	mu       *sync.Mutex
	calls    *[]string
	onDrain  func()
	readyErr error
}

func (r *recorder) record(call string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*r.calls = append(*r.calls, call+" "+r.name)
}
func (r *recorder) Settings() any               { return &r.settings }
func (r *recorder) Provision(*Context) error    { r.record("provision"); return nil }
func (r *recorder) Start(context.Context) error { r.record("start"); return nil }
func (r *recorder) Stop(context.Context) error  { r.record("stop"); return nil }
func (r *recorder) Ready() error                { return r.readyErr }
func (r *recorder) Drain(context.Context) error {
	r.record("drain")
	if r.onDrain != nil {
		r.onDrain()
	}
	return nil
}

const testRole Role = "test"

// registerRecorders replaces the registry for one test by recorders with the given dependencies.
func registerRecorders(t *testing.T, dependencies map[string][]string, configure func(*recorder)) *[]string {
	saved := registry
	registry = map[string]ModuleInfo{}
	t.Cleanup(func() { registry = saved })
	calls, mu := &[]string{}, &sync.Mutex{}
	for name, after := range dependencies {
		RegisterModule(ModuleInfo{Name: name, Roles: []Role{testRole}, After: after, New: func() Module {
			r := &recorder{name: name, mu: mu, calls: calls}
			if configure != nil {
				configure(r)
			}
			return r
		}})
	}
	return calls
}

func writeSettings(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "p.ini")
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

const validProcessSettings = `[process]
name = p1
fleet = f
failure_domain = d1
listen = 127.0.0.1:0
admin_listen = 127.0.0.1:0
drain_notice = 0s
log_level = error
`

// Guards against a start or stop order that violates the dependencies between modules.
func TestModuleLifecycleOrder(t *testing.T) {
	c := qt.New(t)
	calls := registerRecorders(t, map[string][]string{"a": {"b"}, "b": nil}, nil)
	p, err := LoadProcess(testRole, writeSettings(t, validProcessSettings))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(p.Run(ctx), qt.IsNil)
	var got []string
	for _, call := range *calls {
		if call != "drain a" && call != "drain b" {
			got = append(got, call)
		}
	}
	c.Assert(got, qt.DeepEquals, []string{"provision b", "provision a", "start b", "start a", "stop a", "stop b"})
	c.Assert(*calls, qt.Contains, "drain a")
}

// Guards against dependency cycles that hang the process or overflow the stack.
func TestModuleDependencyCycleIsRejected(t *testing.T) {
	registerRecorders(t, map[string][]string{"a": {"b"}, "b": {"a"}}, nil)
	_, err := LoadProcess(testRole, writeSettings(t, validProcessSettings))
	qt.Assert(t, err, qt.ErrorMatches, `.*depends on itself`)
}

// Guards against findings of several modules that are reported one at a time.
func TestFindingsOfAllModulesAreReported(t *testing.T) {
	registerRecorders(t, map[string][]string{"a": nil, "b": nil}, nil)
	_, err := LoadProcess(testRole, writeSettings(t, "[process]\nname = p\n[a]\nvalue = 9\n[b]\nvalue = x\n[c]\n"))
	qt.Assert(t, err, qt.ErrorMatches, `(?s).*fleet: required.*\[a\] value: 9 is above.*\[b\] value: "x" is not.*`)
}

// Guards against a drain limit that ends a shutdown before the notice has passed, so that every stop is reported as
// unclean.
func TestDrainLimitExceedsNotice(t *testing.T) {
	registerRecorders(t, map[string][]string{"a": nil}, nil)
	_, err := LoadProcess(testRole, writeSettings(t, strings.Replace(validProcessSettings, "drain_notice = 0s", "drain_limit = 1s", 1)))
	qt.Assert(t, err, qt.ErrorMatches, `.*drain_limit: 1s must be more than drain_notice, which is 2s`)
}

// Guards against a process that advertises an address at which its peers can't reach it.
func TestAdvertisedAddress(t *testing.T) {
	const listen = "listen = 127.0.0.1:0\n"
	for _, test := range []struct{ settings, address, finding string }{
		{listen, "127.0.0.1:0", ""},
		{listen + "advertise = 10.0.0.1:7800\n", "10.0.0.1:7800", ""},
		{"listen = 0.0.0.0:7800\nadvertise = 10.0.0.1:7801\n", "10.0.0.1:7801", ""},
		{"listen = 0.0.0.0:7800\n", "", `.*:5 \[process\] listen: peers can't reach 0.0.0.0:7800; set advertise .*`},
		{listen + "advertise = 0.0.0.0:7800\n", "", `.*:6 \[process\] advertise: peers can't reach 0.0.0.0:7800`},
		{listen + "advertise = 10.0.0.1:0\n", "", `.*:6 \[process\] advertise: peers can't reach 10.0.0.1:0`},
		{listen + "advertise = host:7800\n", "", `.*:6 \[process\] advertise: "host:7800" is not an IP address with a port`},
	} {
		registerRecorders(t, map[string][]string{"a": nil}, nil)
		p, err := LoadProcess(testRole, writeSettings(t, strings.Replace(validProcessSettings, listen, test.settings, 1)))
		if test.finding != "" {
			qt.Check(t, err, qt.ErrorMatches, test.finding)
			continue
		}
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, p.context.Process.PeerAddress().String(), qt.Equals, test.address)
	}
}

// Guards against a process that reports ready while it is draining, and against connections that are kept alive then.
func TestNotReadyWhileDraining(t *testing.T) {
	c := qt.New(t)
	var p *Process
	status := 0
	closing := false
	registerRecorders(t, map[string][]string{"a": nil}, func(r *recorder) {
		r.onDrain = func() {
			status = probe(p.adminRouter(), "/readyz").status
			closing = probe(p.closeWhileDraining(http.NotFoundHandler()), "/").header.Get("Connection") == "close"
		}
	})
	p, err := LoadProcess(testRole, writeSettings(t, validProcessSettings))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(p.Run(ctx), qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(closing, qt.IsTrue)
}

// Guards against a process that reports ready although one of its modules isn't.
func TestModuleDelaysReadiness(t *testing.T) {
	c := qt.New(t)
	var module *recorder
	registerRecorders(t, map[string][]string{"a": nil}, func(r *recorder) { module = r })
	p, err := LoadProcess(testRole, writeSettings(t, validProcessSettings))
	c.Assert(err, qt.IsNil)
	c.Assert(p.provision(), qt.IsNil)
	defer p.telemetry.close()
	p.context.Log = hclog.NewNullLogger()
	c.Assert(probe(p.adminRouter(), "/readyz").status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("before the start"))
	p.started.Store(true)
	c.Assert(probe(p.adminRouter(), "/readyz").status, qt.Equals, http.StatusOK)
	module.readyErr = errors.New("no head yet")
	c.Assert(probe(p.adminRouter(), "/readyz").status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(probe(p.adminRouter(), "/healthz").status, qt.Equals, http.StatusOK)
}

type probeResult struct {
	status int
	header http.Header
}

func (p *probeResult) Header() http.Header         { return p.header }
func (p *probeResult) Write(b []byte) (int, error) { return len(b), nil }
func (p *probeResult) WriteHeader(status int)      { p.status = status }

func probe(handler http.Handler, path string) *probeResult {
	result := &probeResult{header: http.Header{}}
	request, _ := http.NewRequest(http.MethodGet, path, nil)
	handler.ServeHTTP(result, request)
	return result
}

// Guards against a missing memory limit, without which the heap can grow to twice the live heap and, with full tables,
// exceed the memory for control processes, and against a setting that overrides GOMEMLIMIT.
func TestMemoryLimit(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	for _, test := range []struct {
		environment string
		want        int64
	}{{"", 50_000_000}, {"off", before}} {
		debug.SetMemoryLimit(before)
		t.Setenv("GOMEMLIMIT", test.environment)
		registerRecorders(t, map[string][]string{}, nil)
		settings := strings.Replace(validProcessSettings, "[process]", "[process]\nmemory_limit = 50000000", 1)
		p, err := LoadProcess(testRole, writeSettings(t, settings))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, p.provision(), qt.IsNil)
		p.telemetry.close()
		qt.Assert(t, debug.SetMemoryLimit(-1), qt.Equals, test.want)
	}
}
