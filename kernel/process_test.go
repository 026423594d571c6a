package kernel

import (
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
)

// recorder is a module that notes the calls of its life cycle.
type recorder struct {
	name     string
	settings struct {
		Value int `ini:"value" default:"1" max:"5"`
	}
	mu       *sync.Mutex
	calls    *[]string
	drained  func()
	notReady error
}

func (r *recorder) note(call string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*r.calls = append(*r.calls, call+" "+r.name)
}
func (r *recorder) Settings() any               { return &r.settings }
func (r *recorder) Provision(*Context) error    { r.note("provision"); return nil }
func (r *recorder) Start(context.Context) error { r.note("start"); return nil }
func (r *recorder) Stop(context.Context) error  { r.note("stop"); return nil }
func (r *recorder) Ready() error                { return r.notReady }
func (r *recorder) Drain(context.Context) error {
	r.note("drain")
	if r.drained != nil {
		r.drained()
	}
	return nil
}

const testRole Role = "test"

// registerRecorders replaces the registry for one test.
func registerRecorders(t *testing.T, after map[string][]string, configure func(*recorder)) *[]string {
	saved := registry
	registry = map[string]ModuleInfo{}
	t.Cleanup(func() { registry = saved })
	calls, mu := &[]string{}, &sync.Mutex{}
	for name, earlier := range after {
		RegisterModule(ModuleInfo{Name: name, Roles: []Role{testRole}, After: earlier, New: func() Module {
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

const validProcess = `[process]
name = p1
fleet = f
failure_domain = d1
listen = 127.0.0.1:0
admin_listen = 127.0.0.1:0
drain_notice = 0s
log_level = error
`

// Guards against a start or stop order that breaks the dependencies between modules.
func TestLifeCycleOrder(t *testing.T) {
	c := qt.New(t)
	calls := registerRecorders(t, map[string][]string{"a": {"b"}, "b": nil}, nil)
	p, err := LoadProcess(testRole, writeSettings(t, validProcess))
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

// Guards against dependency cycles that would hang or overflow the stack.
func TestModuleCycleIsAnError(t *testing.T) {
	registerRecorders(t, map[string][]string{"a": {"b"}, "b": {"a"}}, nil)
	_, err := LoadProcess(testRole, writeSettings(t, validProcess))
	qt.Assert(t, err, qt.ErrorMatches, `.*depends on itself`)
}

// Guards against settings of several modules that are reported one at a time.
func TestFindingsOfAllModulesTogether(t *testing.T) {
	registerRecorders(t, map[string][]string{"a": nil, "b": nil}, nil)
	_, err := LoadProcess(testRole, writeSettings(t, "[process]\nname = p\n[a]\nvalue = 9\n[b]\nvalue = x\n[c]\n"))
	qt.Assert(t, err, qt.ErrorMatches, `(?s).*fleet: required.*\[a\] value: 9 is above.*\[b\] value: "x" is not.*`)
}

// Guards against a limit that ends a shutdown before the notice has passed, so that each stop counts as unclean.
func TestDrainLimitExceedsNotice(t *testing.T) {
	registerRecorders(t, map[string][]string{"a": nil}, nil)
	_, err := LoadProcess(testRole, writeSettings(t, strings.Replace(validProcess, "drain_notice = 0s", "drain_limit = 1s", 1)))
	qt.Assert(t, err, qt.ErrorMatches, `.*drain_limit: 1s must be more than drain_notice, which is 2s`)
}

// Guards against a process that reports ready while it drains, and against connections that stay open then.
func TestNotReadyWhileDraining(t *testing.T) {
	c := qt.New(t)
	var p *Process
	status := 0
	closing := false
	registerRecorders(t, map[string][]string{"a": nil}, func(r *recorder) {
		r.drained = func() {
			status = probe(p.adminRouter(), "/readyz").status
			closing = probe(p.closeWhileDraining(http.NotFoundHandler()), "/").header.Get("Connection") == "close"
		}
	})
	p, err := LoadProcess(testRole, writeSettings(t, validProcess))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(p.Run(ctx), qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(closing, qt.IsTrue)
}

// Guards against a process that reports ready although a module is not.
func TestModuleDelaysReadiness(t *testing.T) {
	c := qt.New(t)
	var module *recorder
	registerRecorders(t, map[string][]string{"a": nil}, func(r *recorder) { module = r })
	p, err := LoadProcess(testRole, writeSettings(t, validProcess))
	c.Assert(err, qt.IsNil)
	c.Assert(p.provision(), qt.IsNil)
	defer p.telemetry.close()
	p.context.Log = hclog.NewNullLogger()
	c.Assert(probe(p.adminRouter(), "/readyz").status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("before the start"))
	p.started.Store(true)
	c.Assert(probe(p.adminRouter(), "/readyz").status, qt.Equals, http.StatusOK)
	module.notReady = errors.New("no head yet")
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

// Guards against peers that are sent to the address on which a process listens although it is reached at another one.
func TestAdvertisedAddress(t *testing.T) {
	c := qt.New(t)
	registerRecorders(t, map[string][]string{"a": nil}, nil)
	p, err := LoadProcess(testRole, writeSettings(t, validProcess))
	c.Assert(err, qt.IsNil)
	c.Assert(p.context.Process.Address().String(), qt.Equals, "127.0.0.1:0")
	p, err = LoadProcess(testRole, writeSettings(t, validProcess+"advertise = 10.40.1.5:7800\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(p.context.Process.Address().String(), qt.Equals, "10.40.1.5:7800")
	c.Assert(p.context.Process.Listen.String(), qt.Equals, "127.0.0.1:0")
}
