// Package guarantees_test tests the guarantees of docs/design.md across packages. Entries and agents run as separate
// processes of this test binary; the store, the workers and the upstreams are stand-ins within the test. Each process has
// its own faultnet forwarders for its connections to the store and for those of peers and requests to it.
package guarantees_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
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
	_ "github.com/quetzalshed/quetzalshed/agent/runner"
	"github.com/quetzalshed/quetzalshed/clock"
	_ "github.com/quetzalshed/quetzalshed/config/configmodule"
	_ "github.com/quetzalshed/quetzalshed/entry/jobs"
	_ "github.com/quetzalshed/quetzalshed/entry/operators"
	_ "github.com/quetzalshed/quetzalshed/entry/requests"
	_ "github.com/quetzalshed/quetzalshed/gossip"
	"github.com/quetzalshed/quetzalshed/kernel"
	_ "github.com/quetzalshed/quetzalshed/scheduler/plugins"
	_ "github.com/quetzalshed/quetzalshed/shard"
	_ "github.com/quetzalshed/quetzalshed/store/storemodule"
	"github.com/quetzalshed/quetzalshed/store/storetest"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/faultnet"
	"github.com/quetzalshed/quetzalshed/test/loopback"
	"github.com/quetzalshed/quetzalshed/test/processtest"
	"github.com/quetzalshed/quetzalshed/worker/workertest"
)

func TestMain(m *testing.M) { os.Exit(processtest.Main(m)) }

// process is an entry or an agent that runs as a separate process.
type process struct {
	c             *qt.C
	role          kernel.Role
	name          string
	listen, admin string
	settings      string
	cmd           *exec.Cmd
	// pid is the process ID of cmd, or 0 while the process doesn't run.
	pid atomic.Int64
	// storeLink forwards to the store. peerLink forwards from all other processes to this one; its address is advertised.
	storeLink, peerLink *faultnet.Forwarder
}

// host is a worker with an upstream and an agent.
type host struct {
	*process
	domain string
	// requestLink forwards requests to the agent.
	requestLink *faultnet.Forwarder
	worker      *workertest.Worker
	// workerAddress is the address of the worker's API for the agent. workerLink forwards to it from all other processes.
	workerAddress string
	workerLink    *faultnet.Forwarder
	upstream      *upstreamtest.Server
	registrar     *upstreamtest.Registrar
	// unregister stops renewing the upstream's registration and returns once no renewal is under way.
	unregister func()
}

type fleet struct {
	c       *qt.C
	store   *storetest.Store
	entries []*process
	hosts   []*host
	mu      sync.Mutex
	// processes holds entries and agents; mu guards it, since connections arrive while further processes are added.
	processes []*process
	// partitionable is set if forwarders identify the source of each connection between processes, which takes milliseconds.
	partitionable bool
}

const workerMilliCores = 4000 // thousandths of a core of each worker

// newFleet starts two entries and a number of hosts, each in its own failure domain, and waits until requests are answered.
func newFleet(t *testing.T, hosts int) *fleet {
	return startFleet(t, hosts, 2*time.Second, 3*time.Second, false)
}

// newPartitionableFleet is like newFleet, with a given task lease and owner validity and with hosts that can be isolated.
func newPartitionableFleet(t *testing.T, hosts int, taskLease, ownerValidity time.Duration) *fleet {
	return startFleet(t, hosts, taskLease, ownerValidity, true)
}

func startFleet(t *testing.T, hosts int, taskLease, ownerValidity time.Duration, partitionable bool) *fleet {
	c := qt.New(t)
	f := &fleet{c: c, store: storetest.New(clock.System{}), partitionable: partitionable}
	server := httptest.NewServer(f.store.Handler())
	t.Cleanup(server.Close)
	storeAddress := server.Listener.Addr().String()
	var peers []string
	for i := range 2 {
		p := f.newProcess(kernel.RoleEntry, fmt.Sprint("entry-", i), storeAddress)
		f.entries = append(f.entries, p)
		peers = append(peers, p.peerLink.Address())
	}
	for i, p := range f.entries {
		p.configure(fmt.Sprint("d", i), strings.Join(peers, ", "), "[entry.requests]\ndrain_grace = 500ms\n")
		p.start()
	}
	inventory := "worker,address,agent_address,failure_domain,rack,cores,memory_mb,accelerators,accelerator_kind\n"
	for i := range hosts {
		h := f.newHost(fmt.Sprint("d", i), i, storeAddress, strings.Join(peers, ", "))
		f.hosts = append(f.hosts, h)
		inventory += fmt.Sprintf("%s,%s,%s,%s,r%d,4,8000,0,\n", h.name, h.workerLink.Address(), h.peerLink.Address(), h.domain, i)
	}
	for i, p := range f.entries {
		f.eventually(fmt.Sprint("entry ", i, " listens"), func() bool { return p.respondsOK("/v1/config") })
	}
	// An agent keeps the periods of the first revision that it sees, so the rules are set before the inventory.
	f.changeConfig(0, http.MethodPut, "/v1/config/rules?base=0", fmt.Sprintf(
		"[cluster]\ntask_lease = %v\nowner_validity = %v\n[team t]\ncores = 1000\nmemory_mb = 1000000\n", taskLease, ownerValidity))
	f.changeConfig(0, http.MethodPut, "/v1/config/inventory?base=1&format=csv", inventory)
	for i := range f.entries {
		f.eventually("each entry answers", func() bool { return f.answersRequests(i) })
	}
	return f
}

// answersRequests returns whether a request through an entry is answered. The request is idempotent, so that repeating it
// neither uses up the entry's rate limit for at-most-once records nor finds a record whose response is no longer retained.
func (f *fleet) answersRequests(entry int) bool {
	got := f.call(entry, "warm", "warm", map[string]string{structs.HeaderIdempotent: "true"})
	return got.outcome == structs.OutcomeAnswered
}

func (f *fleet) newProcess(role kernel.Role, name, storeAddress string) *process {
	p := &process{c: f.c, role: role, name: name, listen: loopback.Address(), admin: loopback.Address()}
	p.storeLink = f.newForwarder(storeAddress)
	p.peerLink = f.newPartitionableForwarder(p.listen)
	p.settings = filepath.Join(f.c.TB.(*testing.T).TempDir(), name+".ini")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return p
}

func (f *fleet) newForwarder(target string) *faultnet.Forwarder {
	forwarder, err := faultnet.Listen(target)
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(forwarder.Close)
	return forwarder
}

// newPartitionableForwarder returns a forwarder that can partition connections by source if the fleet is partitionable.
func (f *fleet) newPartitionableForwarder(target string) *faultnet.Forwarder {
	forwarder := f.newForwarder(target)
	if f.partitionable {
		forwarder.SetIdentify(f.processOf)
	}
	return forwarder
}

func (f *fleet) newHost(domain string, i int, storeAddress, peers string) *host {
	h := &host{process: f.newProcess(kernel.RoleAgent, fmt.Sprint("w", i), storeAddress), domain: domain}
	h.requestLink = f.newPartitionableForwarder(h.listen)
	h.worker = workertest.New(clock.System{}, structs.Resources{MilliCores: workerMilliCores, MemoryMB: 8000})
	server := httptest.NewServer(h.worker.Handler())
	f.c.Cleanup(server.Close)
	h.workerAddress = server.Listener.Addr().String()
	h.workerLink = f.newPartitionableForwarder(h.workerAddress)
	h.configure(domain, peers, fmt.Sprintf(`[agent.announcer]
entries = %s
address = %s
[agent.runner]
worker_address = %s
rack = r%d
milli_cores = %d
memory_mb = 8000
[agent.requests]
linger = 300ms
`, peers, h.requestLink.Address(), h.workerAddress, i, workerMilliCores))
	h.start()
	var err error
	h.upstream, err = upstreamtest.Listen("127.0.0.1:0", upstreamtest.Behaviour{}, uint64(i)+1)
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(h.upstream.Close)
	h.registrar = &upstreamtest.Registrar{Agent: h.listen, Registration: structs.UpstreamRegistration{
		Service: "price", Address: h.upstream.Address(), Slots: 8, Connections: 64,
	}}
	f.register(h)
	return h
}

// register registers the upstream of a host and renews the registration until h.unregister is called or the test ends.
func (f *fleet) register(h *host) {
	f.c.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	h.unregister = func() {
		cancel()
		<-ended
	}
	f.c.Cleanup(h.unregister)
	go func() {
		defer close(ended)
		h.registrar.Run(ctx)
	}()
	f.eventually("the upstream is registered", func() bool {
		_, err := h.registrar.Register(ctx)
		return err == nil
	})
}

func (p *process) configure(domain, peers, more string) {
	text := fmt.Sprintf(`[process]
name = %s
fleet = test
failure_domain = %s
listen = %s
advertise = %s
admin_listen = %s
drain_notice = 1s
drain_limit = 20s
log_level = error
[store]
address = %s
[config]
poll_interval = 100ms
[gossip]
peers = %s
interval = 100ms
%s`, p.name, domain, p.listen, p.peerLink.Address(), p.admin, p.storeLink.Address(), peers, more)
	p.c.Assert(os.WriteFile(p.settings, []byte(text), 0o600), qt.IsNil)
}

// start runs the process until it is killed or stopped, or the test ends.
func (p *process) start() {
	cmd := processtest.Command(p.role, p.settings)
	p.c.Assert(cmd.Start(), qt.IsNil)
	p.cmd = cmd
	p.pid.Store(int64(cmd.Process.Pid))
	p.c.Cleanup(func() {
		if p.cmd == cmd {
			p.kill()
		}
	})
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	p.pid.Store(0)
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

func (p *process) signal(s syscall.Signal) { p.c.Assert(p.cmd.Process.Signal(s), qt.IsNil) }

// pause suspends the process until resume.
func (p *process) pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// stop shuts the process down gracefully and returns its exit error.
func (p *process) stop() error {
	cmd := p.cmd
	p.cmd = nil
	p.c.Assert(cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	defer p.pid.Store(0)
	return cmd.Wait()
}

// cutStore resets and refuses the connections to the store until restoreStore.
func (p *process) cutStore() {
	p.storeLink.SetRefuse(true)
	p.storeLink.Cut()
}
func (p *process) restoreStore() { p.storeLink.SetRefuse(false) }

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}

func (p *process) respondsOK(path string) bool {
	response, err := client.Get("http://" + p.listen + path)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (p *process) ready() bool {
	response, err := client.Get("http://" + p.admin + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// configHead returns the configuration head that an entry holds.
func (p *process) configHead() (revision int64, out map[string]bool, ok bool) {
	response, err := client.Get("http://" + p.listen + "/v1/config")
	if err != nil {
		return 0, nil, false
	}
	defer func() { _ = response.Body.Close() }()
	var status struct {
		Head struct {
			Revision int64 `json:"revision"`
			Domains  map[string]struct {
				Out bool `json:"out"`
			} `json:"domains"`
		} `json:"head"`
	}
	if json.NewDecoder(response.Body).Decode(&status) != nil {
		return 0, nil, false
	}
	out = map[string]bool{}
	for name, domain := range status.Head.Domains {
		out[name] = domain.Out
	}
	return status.Head.Revision, out, true
}

// eventually waits for a condition that depends on other processes.
func (f *fleet) eventually(what string, condition func() bool) {
	f.c.Helper()
	// The limit only keeps a failing test from hanging.
	for range 9000 {
		if condition() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.c.Fatalf("timed out waiting until %s", what)
}

// changeConfig changes the configuration through an entry.
func (f *fleet) changeConfig(entry int, method, path, body string) {
	f.c.Helper()
	request, err := http.NewRequest(method, "http://"+f.entries[entry].listen+path, strings.NewReader(body))
	f.c.Assert(err, qt.IsNil)
	response, err := client.Do(request)
	f.c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	f.c.Assert(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
}

// callResult is the response that a caller got.
type callResult struct {
	outcome structs.Outcome
	status  int
	reason  string
	body    string
	// err is set when the connection ended before the complete response.
	err error
}

// call sends a request with an idempotency key through an entry. header holds further headers.
func (f *fleet) call(entry int, key, body string, header map[string]string) callResult {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.entries[entry].listen+"/s/price/check", bytes.NewReader([]byte(body)))
	if err != nil {
		return callResult{err: err}
	}
	request.Header.Set(structs.HeaderIdempotencyKey, key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return callResult{
		outcome: structs.Outcome(response.Header.Get(structs.HeaderOutcome)), status: response.StatusCode,
		reason: response.Header.Get(structs.HeaderReason), body: string(text), err: err,
	}
}

// executions counts the executions of each key on all upstreams.
func (f *fleet) executions() map[string]int {
	sum := map[string]int{}
	for _, h := range f.hosts {
		for key, n := range h.upstream.Counts().Executions {
			sum[key] += n
		}
	}
	return sum
}
