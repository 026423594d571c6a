// Package guarantees_test tests the guarantees of docs/design.md across packages. Entries and agents run as separate
// processes of this test binary; the store, the workers and the upstreams are stand-ins within the test. Each process has
// its own faultnet forwarders for its connections to the store and for those of peers and requests to it.
package guarantees_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
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
	f.setUpConfig("rules", "/v1/config/rules?base=0", fmt.Sprintf(
		"[cluster]\ntask_lease = %v\nowner_validity = %v\n[team t]\ncores = 1000\nmemory_mb = 1000000\n", taskLease, ownerValidity))
	f.setUpConfig("inventory", "/v1/config/inventory?base=1&format=csv", inventory)
	for i := range f.entries {
		f.eventually("each entry answers", func() bool { return f.answersRequests(i) })
	}
	return f
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
