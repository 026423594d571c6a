// Package workflows_test runs gateways, nodes and owners in one process and in virtual time, with simulated executors and
// a store and a network with injected faults. It checks the guarantees of jobs by what the executors observe.
package workflows_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/gateway"
	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/node"
	"github.com/quetzalshed/quetzalshed/node/nodetest"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/rpc/rpctest"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// taskTime is the run time of each task.
	taskTime = 800 * time.Millisecond
	// announceInterval is how often executors announce themselves.
	announceInterval = 1500 * time.Millisecond
	// networkDelay is the delay of a call between hosts in each direction.
	networkDelay = 3 * time.Millisecond
	// storeDelay is the duration of a call to the store.
	storeDelay = 4 * time.Millisecond
	// maxFetchTime is how long a response to a fetch may take: executors discard later ones.
	maxFetchTime = time.Second
)

// logFleet makes the nodes and owners of a fleet write their logs, in virtual time.
var logFleet = flag.Bool("fleet.log", false, "write the logs of nodes and owners to standard error")

var testQueue = workflow.Queue{Name: "checks", Pool: "pool", MaxAttempts: 3, Stretch: 1.5, ObjectiveMillis: 250}

// host simulates a host with an executor and a node process.
type host struct {
	fleet         *fleet
	name          string
	node          *node.Node
	executor      *nodetest.Executor
	store         *kvtest.Client
	cancel        context.CancelFunc
	candidateDone chan struct{}
	stopCandidacy context.CancelFunc
	locator       *ownership.Locator
	suspension    *suspension
	// mute is set while the executor's announcements are lost.
	mute atomic.Bool
	// losesAnswers is set while the executor that fetches its orders gets no answers.
	losesAnswers atomic.Bool
	// fencingToken is the highest fencing token that the executor has fetched. A process that was killed while its host was suspended
	// may still pass one on beside the next process.
	fencingToken atomic.Int64
}

// fleet holds a set of hosts, the store and one gateway.
type fleet struct {
	*qt.C
	ctx        context.Context
	startedAt  time.Time
	store      *kvtest.Store
	network    *rpctest.Network
	checker    *invariantChecker
	operators  *operators
	hosts      []*host
	gateway    *gateway.Gateway
	entryStore *kvtest.Client
	jobs       int
	log        hclog.Logger
	// fetchOrders is set if executors fetch their orders with their heartbeats instead of taking calls.
	fetchOrders bool
	// retention is how long owners keep finished jobs; 0 for their default.
	retention time.Duration
	// memoryMB is the memory of the hosts of processes that are started from now on, which limits the tasks of an owner; 0 for no limit.
	memoryMB int64
	// stopTime is how long executors take to stop a run, as nodes and owners know from their settings.
	stopTime time.Duration
}

func newFleetOf(t testing.TB, ctx context.Context, hosts int, fetching bool) *fleet {
	return newRetainingFleet(t, ctx, hosts, fetching, 0)
}

// newRetainingFleet returns a fleet whose owners keep finished jobs for a given time.
func newRetainingFleet(t testing.TB, ctx context.Context, hosts int, fetching bool, retention time.Duration) *fleet {
	return (&fleet{fetchOrders: fetching, retention: retention}).setUp(t, ctx, hosts)
}

// newFleetWithMemory returns a fleet whose hosts have a given memory.
func newFleetWithMemory(t testing.TB, ctx context.Context, hosts int, memoryMB int64) *fleet {
	return (&fleet{memoryMB: memoryMB}).setUp(t, ctx, hosts)
}

// newFleetWithStopTime returns a fleet whose executors take a given time to stop a run.
func newFleetWithStopTime(t testing.TB, ctx context.Context, hosts int, stopTime time.Duration) *fleet {
	return (&fleet{stopTime: stopTime}).setUp(t, ctx, hosts)
}

// setUp starts a fleet with the options that are set.
func (f *fleet) setUp(t testing.TB, ctx context.Context, hosts int) *fleet {
	*f = fleet{
		C: qt.New(t), ctx: ctx, fetchOrders: f.fetchOrders, retention: f.retention, memoryMB: f.memoryMB, stopTime: f.stopTime, startedAt: time.Now(),
		store: kvtest.New(), network: rpctest.New(), checker: newInvariantChecker(), log: hclog.NewNullLogger(),
	}
	f.operators = newOperators(f.checker)
	if *logFleet {
		f.log = hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: os.Stderr, TimeFormat: "05.000"})
	}
	f.network.Delay = networkDelay
	for i := range hosts {
		name := fmt.Sprintf("host-%d", i)
		h := &host{fleet: f, name: name, store: f.newStoreClient(uint64(i)), suspension: newSuspension()}
		h.executor = nodetest.New(name, structs.Resources{MilliCores: 4000, MemoryMB: 8000}, taskTime, f.checker)
		h.executor.SetStopTime(f.stopTime)
		f.hosts = append(f.hosts, h)
		h.start()
	}
	f.entryStore = f.newStoreClient(100)
	f.gateway = f.newGateway("entry", f.entryStore)
	return f
}

// newGateway starts a gateway that reaches the store through a client.
func (f *fleet) newGateway(address string, store *kvtest.Client) *gateway.Gateway {
	return f.newGatewayOver(f.network.Transport(address), store)
}

// newGatewayOver starts a gateway whose calls to other processes go over a transport.
func (f *fleet) newGatewayOver(transport http.RoundTripper, store *kvtest.Client) *gateway.Gateway {
	return f.newGatewayOn(transport, kv.NewMonitor(store))
}

// newGatewayOn starts a gateway that uses a monitored store.
func (f *fleet) newGatewayOn(transport http.RoundTripper, monitor *kv.Monitor) *gateway.Gateway {
	locator := ownership.NewLocator(monitor, hclog.NewNullLogger())
	g := gateway.New(monitor, locator, rpc.NewClientWithTransport(transport), hclog.NewNullLogger(), tally.NoopScope)
	go locator.Run(f.ctx)
	go g.Run(f.ctx, f.operators)
	return g
}

func (f *fleet) newStoreClient(seed uint64) *kvtest.Client {
	client := f.store.Client(seed)
	client.SetFaults(kvtest.Faults{Delay: storeDelay})
	return client
}

// setStoreFaults sets the faults of the store for all processes.
func (f *fleet) setStoreFaults(faults kvtest.Faults) {
	for _, h := range f.hosts {
		h.store.SetFaults(faults)
	}
	f.entryStore.SetFaults(faults)
}

// start starts the node process of a host.
func (h *host) start() {
	f := h.fleet
	ctx, cancel := context.WithCancel(f.ctx)
	log := f.log.Named(h.name)
	monitor := kv.NewMonitor(suspendableStore{h.store, h.suspension})
	h.locator = ownership.NewLocator(monitor, log)
	client := rpc.NewClientWithTransport(suspendableTransport{f.network.Transport(h.name), h.suspension})
	var executor node.Executor = suspendableExecutor{h.executor, h.suspension}
	var mailbox *node.Mailbox
	if f.fetchOrders {
		mailbox = node.NewMailbox()
		executor = mailbox
	}
	n := node.New(h.name, h.name, executor, h.locator, client, h.suspension.clocks, log, tally.NoopScope)
	n.SetStopTime(f.stopTime)
	candidate := &owner.Candidate{
		Node: h.name, Address: h.name, Store: monitor, Locator: h.locator, Operators: f.operators, RPC: client,
		Host: h.suspension.clocks, Log: log, Scope: tally.NoopScope, Retention: f.retention, MemoryMB: f.memoryMB, StopTime: f.stopTime,
	}
	router := mux.NewRouter()
	n.Register(router)
	candidate.Register(router)
	owner.RegisterAnnounce(router, h.locator)
	f.network.Handle(h.name, h.suspension.handler(router))
	candidacy, withdraw := context.WithCancel(ctx)
	h.cancel, h.stopCandidacy, h.candidateDone = cancel, withdraw, make(chan struct{})
	h.node = n
	go h.locator.Run(ctx)
	go n.Run(ctx)
	go ownership.Register(ctx, monitor, h.name, h.name, log)
	ended := h.candidateDone
	go func() {
		candidate.Run(candidacy)
		close(ended)
	}()
	go h.announce(ctx, n, mailbox)
}

// announce sends the executor's announcements until ctx ends.
func (h *host) announce(ctx context.Context, n *node.Node, mailbox *node.Mailbox) {
	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		pause := announceInterval
		if description, up := h.executor.Describe(); up && !h.mute.Load() {
			description.Unpaced = mailbox != nil
			h.suspension.await()
			n.Announce(description, sequence, 0)
			if mailbox != nil {
				pause = h.fetchAndExecute(ctx, description.IncarnationID(), mailbox)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// fetchAndExecute fetches the executor's orders, executes them, and returns the delay until the next fetch. An executor that
// does not respond fetches nothing.
func (h *host) fetchAndExecute(ctx context.Context, incarnation string, mailbox *node.Mailbox) time.Duration {
	call, cancel := context.WithTimeout(ctx, announceInterval)
	defer cancel()
	lists, err := h.executor.Hold(call, incarnation, h.fencingToken.Load(), 0, 0, 0)
	if err != nil {
		return announceInterval
	}
	sentAt := time.Now()
	h.suspension.await()
	commands := mailbox.Fetch(incarnation, lists)
	h.suspension.await()
	if h.losesAnswers.Load() {
		return announceInterval
	}
	if time.Since(sentAt) > maxFetchTime {
		return commands.FetchAgain
	}
	h.raiseFence(commands.Fence)
	deadline := int64(0)
	if commands.LeaseMillis > 0 {
		deadline = lists.ClockMillis + commands.LeaseMillis
	}
	_, _ = h.executor.Hold(call, incarnation, commands.Fence, commands.Ack, deadline, 0)
	for _, s := range commands.Stops {
		_ = h.executor.Stop(call, incarnation, s.Task, s.Run, s.Fence)
	}
	for _, s := range commands.Starts {
		s.DeadlineMillis = deadline
		_ = h.executor.Start(call, incarnation, s)
	}
	return commands.FetchAgain
}

// raiseFence records a fencing token that the executor has fetched.
func (h *host) raiseFence(fence int64) {
	for known := h.fencingToken.Load(); fence > known && !h.fencingToken.CompareAndSwap(known, fence); known = h.fencingToken.Load() {
	}
}

// kill ends the node process without handing over the ownership.
func (h *host) kill() {
	h.store.SetFaults(kvtest.Faults{Unavailable: true})
	h.fleet.network.Handle(h.name, nil)
	h.cancel()
	<-h.candidateDone
	h.store.SetFaults(kvtest.Faults{Delay: storeDelay})
}

// owner returns the host that holds the ownership according to the hosts' own state, or nil. The state of a process that was killed
// may name a former owner.
func (f *fleet) owner() *host {
	var latest workflow.OwnerRecord
	for _, h := range f.hosts {
		if record, present := h.locator.Current(); present && record.Epoch > latest.Epoch {
			latest = record
		}
	}
	for _, h := range f.hosts {
		if h.name == latest.Node {
			return h
		}
	}
	return nil
}

// submit submits a job, repeatedly until it is accepted. Each step depends on the one before.
func (f *fleet) submit(counts ...int) string {
	job := f.newJob(counts...)
	f.submitUntilAccepted(job)
	return job.ID
}

func (f *fleet) submitUntilAccepted(job workflow.Job) {
	for {
		ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
		err := f.gateway.Submit(ctx, &job)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (f *fleet) newJob(counts ...int) workflow.Job {
	f.jobs++
	job := workflow.Job{ID: fmt.Sprintf("%016x", f.jobs), Queue: testQueue, AcceptedUnixMillis: time.Now().UnixMilli()}
	job.Spec = "spec of " + job.ID
	for i, count := range counts {
		step := workflow.Step{
			Count: count, Need: structs.Resources{MilliCores: 1000, MemoryMB: 100}, EstimateMillis: taskTime.Milliseconds(),
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	f.checker.recordSubmitted(job)
	return job
}

// phase returns the phase of a job, and repeats the query until it succeeds.
func (f *fleet) phase(id string) workflow.Phase {
	for {
		ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
		phase, err := f.gateway.State(ctx, id)
		cancel()
		if err == nil {
			return phase
		}
		if errors.Is(err, gateway.ErrNotFound) {
			f.Fatalf("job %s is not known", id)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// waitCompleted waits until all jobs have completed, and fails the test after a time limit.
func (f *fleet) waitCompleted(limit time.Duration, ids ...string) {
	f.Helper()
	deadline := time.Now().Add(limit)
	for _, id := range ids {
		for phase := f.phase(id); phase != workflow.Completed; phase = f.phase(id) {
			if phase.Final() || time.Now().After(deadline) {
				f.Fatalf("job %s is %s; violations: %v", id, phase, f.checker.foundViolations())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.Assert(f.checker.foundViolations(), qt.HasLen, 0)
}

// waitFor waits until a condition holds and returns the time that it waited.
func (f *fleet) waitFor(limit time.Duration, condition func() bool) time.Duration {
	f.Helper()
	begun := time.Now()
	for !condition() {
		if time.Since(begun) > limit {
			f.Fatalf("condition does not hold after %v", limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begun)
}
