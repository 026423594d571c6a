package engine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// harness feeds an engine and keeps the time.
type harness struct {
	*qt.C
	engine *engine.Engine
	now    time.Time
	// reports counts the reports of each node.
	reports map[string]int64
	jobs    int
}

func newHarness(t *testing.T) *harness {
	h := &harness{C: qt.New(t), now: time.Unix(1000, 0), reports: map[string]int64{}}
	h.engine = h.successor()
	return h
}

func (h *harness) successor() *engine.Engine {
	e := engine.New(engine.Settings{
		Grant: 6 * time.Second, Lapse: 6500 * time.Millisecond, TakeoverSlack: 2 * time.Second, FarFactor: 1.5,
		Retention: 130 * time.Second,
	}, h.now)
	e.Configure(&workflow.Config{Version: 1, Queues: []workflow.Queue{queue}, Pools: []workflow.Pool{{Name: "pool"}}})
	return e
}

var queue = workflow.Queue{Name: "checks", Pool: "pool", MaxAttempts: 2, Stretch: 1.5, ObjectiveMillis: 250}

// job returns a job with steps that follow each other.
func (h *harness) job(steps ...workflow.Step) workflow.Job {
	h.jobs++
	for i := range steps {
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	return workflow.Job{
		ID: fmt.Sprintf("%016x", h.jobs), Steps: steps, Queue: queue, AcceptedUnixMillis: h.now.UnixMilli(),
	}
}

func step(count int) workflow.Step {
	return workflow.Step{Count: count, Need: structs.Resources{MilliCores: 1000, MemoryMB: 100}, EstimateMillis: 800}
}

// executor returns an executor of a node with four cores.
func executor(node string, born int64) *workflow.Executor {
	return &workflow.Executor{
		ID: "i-" + node, BornUnixMillis: born, Pool: "pool", FailureDomain: "domain-" + node,
		Capacity: structs.Resources{MilliCores: 4000, MemoryMB: 8000},
	}
}

// report sends a report that covers all orders.
func (h *harness) report(node string, x *workflow.Executor, running []workflow.RunState, ended []workflow.RunEnd) int64 {
	h.reports[node]++
	ack, _ := h.engine.Report(&workflow.Report{
		Node: node, Address: node, Incarnation: 1, Number: h.reports[node], Executor: x, Listed: true,
		Running: running, Ended: ended, Covers: 1 << 40,
	}, h.now, h.now)
	return ack
}

// plan returns the orders for a node, and stores everything.
func (h *harness) plan() map[string]workflow.Orders {
	h.engine.Wake(h.now)
	h.engine.Plan(h.now, h.now)
	h.engine.Stored(h.engine.TakeDirty())
	orders := map[string]workflow.Orders{}
	for _, d := range h.engine.TakeOrders() {
		orders[d.Node] = d.Orders
	}
	return orders
}

// accept answers all starts and stops of a node with success.
func (h *harness) accept(node string, orders workflow.Orders) (running []workflow.RunState) {
	for _, s := range orders.Starts {
		h.engine.Result(node, 1, &workflow.OrderResult{Task: s.Task, Run: s.Run, Outcome: workflow.OutcomeDone, Sequence: 1}, h.now)
		running = append(running, workflow.RunState{Task: s.Task, Run: s.Run})
	}
	for _, s := range orders.Stops {
		h.engine.Result(node, 1, &workflow.OrderResult{Task: s.Task, Run: s.Run, Stop: true, Outcome: workflow.OutcomeDone, Sequence: 1}, h.now)
	}
	return running
}

func (h *harness) phase(id string) workflow.Phase {
	phase, _ := h.engine.Phase(id)
	return phase
}

// Guards against an owner that starts a cancelled job: a new owner reads cancellations before jobs, since their keys
// come first (found on vaidlusmaja, day trouble-1).
func TestCancellationBeforeItsJob(t *testing.T) {
	h := newHarness(t)
	job := h.job(step(1))
	h.engine.Cancel(job.ID, h.now)
	h.engine.Add(job, nil, h.now, h.now)
	h.report("a", executor("a", 1), nil, nil)
	h.Assert(h.plan(), qt.HasLen, 0)
	h.Assert(h.phase(job.ID), qt.Equals, workflow.Cancelled)
}

// Guards against tasks that stay assigned to an executor that is gone while its node lives and repeats the last lists
// (found by hunt on vaidlusmaja, mix 725681597518: LOST).
func TestSilentExecutorBesideLivingNode(t *testing.T) {
	h := newHarness(t)
	job := h.job(step(1))
	h.engine.Add(job, nil, h.now, h.now)
	h.report("a", executor("a", 1), nil, nil)
	running := h.accept("a", h.plan()["a"])
	h.Assert(running, qt.HasLen, 1)
	silentSince := h.now
	for range 12 {
		h.now = h.now.Add(time.Second)
		h.reports["a"]++
		h.engine.Report(&workflow.Report{
			Node: "a", Address: "a", Incarnation: 1, Number: h.reports["a"], Executor: executor("a", 1), Listed: true,
			Running: running, Covers: 1 << 40, AgeMillis: h.now.Sub(silentSince).Milliseconds(),
		}, h.now, h.now)
		h.engine.Expire(h.now)
	}
	h.report("b", executor("b", 1), nil, nil)
	orders := h.plan()
	h.Assert(orders["b"].Starts, qt.HasLen, 1)
	h.Assert(orders["b"].Starts[0].Run, qt.Equals, 2)
}
