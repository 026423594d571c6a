package announcer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	_ "github.com/quetzalshed/quetzalshed/agent/announcer"
	_ "github.com/quetzalshed/quetzalshed/agent/requests"
	"github.com/quetzalshed/quetzalshed/agent/requests/upstreamtest"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/structs"
)

// domainOut sets whether the config module of the tests reports the failure domain "patan" as out of service.
var domainOut atomic.Bool

type configModule struct{}

func (configModule) Settings() any                   { return nil }
func (configModule) Provision(*kernel.Context) error { return nil }
func (configModule) Start(context.Context) error     { return nil }
func (configModule) Stop(context.Context) error      { return nil }
func (configModule) DomainOut(name string) bool      { return name == "patan" && domainOut.Load() }

func init() {
	kernel.RegisterModule(kernel.ModuleInfo{
		Name: "config", Roles: []kernel.Role{kernel.RoleAgent}, New: func() kernel.Module { return configModule{} },
	})
}

// entry records the announcements that it receives and requests the next one after 10 s.
type entry struct {
	*httptest.Server
	mu   sync.Mutex
	seen []structs.Announcement
}

func newEntry(c *qt.C) *entry {
	e := &entry{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a structs.Announcement
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.mu.Lock()
		e.seen = append(e.seen, a)
		e.mu.Unlock()
		kernel.WriteJSON(w, http.StatusOK, structs.AnnounceReply{NextAfterMillis: 10_000})
	}))
	c.Cleanup(e.Close)
	return e
}

func (e *entry) all() []structs.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]structs.Announcement(nil), e.seen...)
}

func (e *entry) last() (a structs.Announcement) {
	if all := e.all(); len(all) > 0 {
		a = all[len(all)-1]
	}
	return a
}

// eventually waits for up to about 6 s, which is less than the interval of 10 s that the entries of these tests request.
func eventually(c *qt.C, what string, condition func() bool) {
	for range 1200 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatalf("timed out waiting until %s", what)
}

func freeAddress(c *qt.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	return l.Addr().String()
}

// startAgent runs an agent until stop is called; done then receives the result of its run.
func startAgent(c *qt.C, entries ...string) (address string, stop func(), done <-chan error) {
	address = freeAddress(c)
	path := filepath.Join(c.TempDir(), "agent.ini")
	text := fmt.Sprintf("[process]\nname = a1\nfleet = test\nfailure_domain = patan\nlog_level = error\nlisten = %s\n"+
		"admin_listen = %s\n[agent.requests]\nlinger = 50ms\nleave_grace = 50ms\n[agent.announcer]\nentries = %s\n"+
		"timeout = 200ms\n", address, freeAddress(c), strings.Join(entries, ", "))
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	process, err := kernel.LoadProcess(kernel.RoleAgent, path)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	result := make(chan error, 1)
	go func() { result <- process.Run(ctx) }()
	return address, cancel, result
}

func post(address, incarnation, id string, delayMillis int) (outcome string, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/requests/"+id, http.NoBody)
	if err != nil {
		return "", err
	}
	for name, value := range map[string]string{
		structs.HeaderMethod: "GET", structs.HeaderPath: "/", structs.HeaderService: "price",
		structs.HeaderAgentIncarnation: incarnation, structs.HeaderBudgetMillis: "5000",
		structs.HeaderForwardPrefix + upstreamtest.HeaderDelayMS: fmt.Sprint(delayMillis),
	} {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Header.Get(structs.HeaderOutcome), err
}

// Changes must be announced immediately instead of at the next interval, a drain must be announced before requests are
// refused, and an entry that doesn't respond must not delay the announcements to others.
func TestChangesAreAnnouncedAtOnce(t *testing.T) {
	c := qt.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer silent.Close()
	entries := []*entry{newEntry(c), newEntry(c)}
	address, stop, done := startAgent(c, entries[0].Listener.Addr().String(), silent.Addr().String(),
		entries[1].Listener.Addr().String())
	everywhere := func(what string, condition func(structs.Announcement) bool) {
		for _, e := range entries {
			eventually(c, what, func() bool { return condition(e.last()) })
		}
	}
	everywhere("the agent is announced", func(a structs.Announcement) bool { return a.Agent == "a1" && a.Address == address })
	upstream, err := upstreamtest.Listen("127.0.0.1:0", upstreamtest.Behaviour{}, 1)
	c.Assert(err, qt.IsNil)
	defer upstream.Close()
	registrar := &upstreamtest.Registrar{Agent: address, Registration: structs.UpstreamRegistration{
		Service: "price", Address: upstream.Address(), Slots: 8, Connections: 64,
	}}
	_, err = registrar.Register(context.Background())
	c.Assert(err, qt.IsNil)
	leaving := func(want bool) func(structs.Announcement) bool {
		return func(a structs.Announcement) bool { return len(a.Upstreams) == 1 && a.Upstreams[0].Leaving == want }
	}
	everywhere("the upstream is announced", leaving(false))
	domainOut.Store(true)
	everywhere("the upstream leaves with its domain", leaving(true))
	domainOut.Store(false)
	everywhere("the upstream returns with its domain", leaving(false))

	incarnation := entries[0].last().Incarnation
	outcomes := make(chan string, 1)
	go func() {
		outcome, err := post(address, incarnation, structs.AttemptID("e", 1), 1500)
		if err != nil {
			outcome = err.Error()
		}
		outcomes <- outcome
	}()
	eventually(c, "the request runs", func() bool { return upstream.Counts().Running == 1 })
	stop()
	everywhere("the agent leaves", func(a structs.Announcement) bool { return a.Leaving })
	c.Assert(upstream.Counts().Running, qt.Equals, 1)
	eventually(c, "the agent refuses new requests", func() bool {
		outcome, err := post(address, incarnation, structs.AttemptID("e", uint64(time.Now().UnixNano())), 0)
		return err == nil && outcome == string(structs.OutcomeNotRun)
	})
	c.Assert(<-outcomes, qt.Equals, string(structs.OutcomeAnswered))
	c.Assert(<-done, qt.IsNil)
	for _, e := range entries {
		sequence := int64(0)
		for _, a := range e.all() {
			c.Assert(a.Sequence > sequence, qt.IsTrue)
			c.Assert(a.Incarnation, qt.Equals, incarnation)
			c.Assert(a.Fleet, qt.Equals, "test")
			sequence = a.Sequence
		}
	}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkIdleAgent reports the CPU time per second of an idle agent that sends announcements to 3 entries once per
// second and has one upstream that renews its registration. The entries and the upstream run in the same process and are
// included. Run it with -benchtime=1x, since the kernel can't run twice in one process.
func BenchmarkIdleAgent(b *testing.B) {
	const window = 10 * time.Second
	c := qt.New(b)
	var addresses []string
	for range 3 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			kernel.WriteJSON(w, http.StatusOK, structs.AnnounceReply{NextAfterMillis: 1000})
		}))
		defer server.Close()
		addresses = append(addresses, server.Listener.Addr().String())
	}
	address, stop, done := startAgent(c, addresses...)
	upstream, err := upstreamtest.Listen("127.0.0.1:0", upstreamtest.Behaviour{}, 1)
	c.Assert(err, qt.IsNil)
	defer upstream.Close()
	registrar := &upstreamtest.Registrar{Agent: address, Registration: structs.UpstreamRegistration{
		Service: "price", Address: upstream.Address(), Slots: 8, Connections: 64,
	}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go registrar.Run(ctx)
	time.Sleep(time.Second)
	before := processorTime()
	time.Sleep(window)
	b.ReportMetric(float64((processorTime()-before).Microseconds())/window.Seconds(), "cpu-us/s")
	stop()
	c.Assert(<-done, qt.IsNil)
}
