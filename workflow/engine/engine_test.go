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

// harness drives an engine with a simulated clock.
type harness struct {
	*qt.C
	engine *engine.Engine
	now    time.Time
	// reports is the number of reports sent by each node.
	reports map[string]int64
	jobs    int
	// epoch is that of the next engine, and unlistedMargin one of its settings.
	epoch          int64
	unlistedMargin time.Duration
}

// leaseExpiry is the time after the last renewal at which the lease of an executor has certainly expired.
const leaseExpiry = 7060 * time.Millisecond

func newHarness(t *testing.T) *harness {
	h := &harness{C: qt.New(t), now: time.Unix(1000, 0), reports: map[string]int64{}}
	h.engine = h.newEngine()
	return h
}

// newEngineWithoutOperatorState returns an engine that has received neither configuration nor evacuated failure
// domains.
func newEngineWithoutOperatorState(h *harness) *engine.Engine {
	return engine.New(h.settings(), h.now)
}

func (h *harness) settings() engine.Settings {
	return engine.Settings{
		LeaseDuration: 6500 * time.Millisecond, LeaseExpiry: leaseExpiry, TakeoverSlack: 1600 * time.Millisecond, RemoteSlowdown: 1.5,
		Retention: 130 * time.Second, Epoch: h.epoch, UnlistedMargin: h.unlistedMargin,
	}
}

func (h *harness) newEngine() *engine.Engine { return configured(newEngineWithoutOperatorState(h)) }

// newFirstEngine returns the engine of an owner that nobody has preceded.
func (h *harness) newFirstEngine() *engine.Engine {
	settings := h.settings()
	settings.FirstOwner = true
	return configured(engine.New(settings, h.now))
}

func configured(e *engine.Engine) *engine.Engine {
	e.Configure(&workflow.Config{Version: 1, Queues: []workflow.Queue{queue}, Pools: []workflow.Pool{{Name: "pool"}}})
	e.SetEvacuated(nil)
	return e
}

var queue = workflow.Queue{Name: "checks", Pool: "pool", MaxAttempts: 2, Stretch: 1.5, ObjectiveMillis: 250}

// job returns a job whose steps each depend on the one before.
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

// servingStep returns a step of long-running tasks with a latency target.
func servingStep(count int, targetMillis int64) workflow.Step {
	s := step(count)
	s.LongRunning, s.TargetMillis, s.Image = true, targetMillis, "serving"
	return s
}

// bestEffortStep returns a step of best-effort tasks.
func bestEffortStep(count int) workflow.Step {
	s := step(count)
	s.BestEffort, s.Image = true, "filling"
	return s
}

// executor returns an executor with four cores on a node.
func executor(node string, born int64) *workflow.Executor {
	return &workflow.Executor{
		ID: "i-" + node, StartedUnixMillis: born, Pool: "pool", FailureDomain: "domain-" + node,
		Capacity: structs.Resources{MilliCores: 4000, MemoryMB: 8000},
	}
}

// send sends a report of a node with the next number.
func (h *harness) send(node string, r *workflow.Report) (ack int64, granted bool) {
	h.reports[node]++
	r.Node, r.Address, r.Number = node, node, h.reports[node]
	return h.engine.HandleReport(r, h.now, h.now)
}

// report sends a report that covers all orders sent so far.
func (h *harness) report(node string, x *workflow.Executor, running []workflow.RunState, ended []workflow.RunEnd) int64 {
	ack, _ := h.send(node, &workflow.Report{
		Incarnation: 1, Executor: x, Listed: true, EndsComplete: true,
		Running: running, Ended: ended, CoveredSequence: 1 << 40,
	})
	return ack
}

// plan runs a planning cycle, marks all records as stored and returns the orders by node.
func (h *harness) plan() map[string]workflow.Orders {
	h.engine.Tick(h.now)
	h.engine.Plan(h.now, h.now)
	h.engine.MarkStored(h.engine.TakeDirty())
	orders := map[string]workflow.Orders{}
	for _, d := range h.engine.TakeOrders() {
		orders[d.Node] = d.Orders
	}
	return orders
}

// accept confirms all starts and stops of a node and returns the started runs.
func (h *harness) accept(node string, orders workflow.Orders) (running []workflow.RunState) {
	for _, s := range orders.Starts {
		h.answer(node, s, workflow.OutcomeDone)
		running = append(running, workflow.RunState{Task: s.Task, Run: s.Run})
	}
	for _, s := range orders.Stops {
		h.engine.HandleOrderResult(node, 1, &workflow.OrderResult{Task: s.Task, Run: s.Run, Stop: true, Outcome: workflow.OutcomeDone, Sequence: 1}, h.now)
	}
	return running
}

// startJob reports an executor on node "a" and starts the tasks of a new job with one step on it. It returns the job and its runs.
func (h *harness) startJob(x *workflow.Executor, step workflow.Step) (job workflow.Job, running []workflow.RunState) {
	job = h.job(step)
	h.engine.Add(job, nil, h.now, h.now)
	h.report("a", x, nil, nil)
	running = h.accept("a", h.plan()["a"])
	h.Assert(running, qt.HasLen, step.Count)
	return job, running
}

// orderStart runs a planning cycle in which one start is ordered. It returns the order, the result of which is outstanding, and the
// stored record of the job.
func (h *harness) orderStart() (workflow.StartOrder, workflow.JobRecord) {
	h.engine.Tick(h.now)
	h.engine.Plan(h.now, h.now)
	changes := h.engine.TakeDirty()
	h.engine.MarkStored(changes)
	return h.engine.TakeOrders()[0].Orders.Starts[0], changes[0].Record
}

// answer passes in the result of a start.
func (h *harness) answer(node string, start workflow.StartOrder, outcome workflow.Outcome) {
	h.engine.HandleOrderResult(node, 1, &workflow.OrderResult{Task: start.Task, Run: start.Run, Outcome: outcome, Sequence: 1}, h.now)
}

func (h *harness) phase(id string) workflow.Phase {
	phase, _ := h.engine.Phase(id)
	return phase
}

// Guards against an owner that starts a cancelled job: a new owner reads cancellations before jobs, since their keys
// sort first.
func TestCancellationBeforeAdd(t *testing.T) {
	h := newHarness(t)
	job := h.job(step(1))
	h.engine.Cancel(job.ID, h.now, h.now)
	h.engine.Add(job, nil, h.now, h.now)
	h.report("a", executor("a", 1), nil, nil)
	h.Assert(h.plan(), qt.HasLen, 0)
	h.Assert(h.phase(job.ID), qt.Equals, workflow.Cancelled)
}

// Guards against tasks that stay assigned to an executor that has terminated while its node keeps running and repeats
// the last lists (LOST in `fleetbench hunt`, mix 725681597518).
func TestUnresponsiveExecutorLosesItsTasks(t *testing.T) {
	h := newHarness(t)
	_, running := h.startJob(executor("a", 1), step(1))
	silentSince := h.now
	for range 12 {
		h.now = h.now.Add(time.Second)
		h.send("a", &workflow.Report{
			Incarnation: 1, Executor: executor("a", 1), Listed: true, EndsComplete: true,
			Running: running, CoveredSequence: 1 << 40, ListAgeMillis: h.now.Sub(silentSince).Milliseconds(),
		})
		h.engine.ExpireLeases(h.now)
	}
	h.report("b", executor("b", 1), nil, nil)
	orders := h.plan()
	h.Assert(orders["b"].Starts, qt.HasLen, 1)
	h.Assert(orders["b"].Starts[0].Run, qt.Equals, 2)
}

// Guards against a second run of a task whose start reached the next incarnation of an executor with the same ID: a start after an
// acknowledged end.
func TestStartReachesTheNextIncarnation(t *testing.T) {
	h := newHarness(t)
	job, running := h.startJob(executor("a", 1), step(1))
	h.reportUnlisted("a", executor("a", 2))
	h.Assert(h.plan(), qt.HasLen, 0)
	h.report("a", executor("a", 2), nil, []workflow.RunEnd{{Number: 1, Task: running[0].Task, Run: 1, How: workflow.EndDone}})
	h.plan()
	h.Assert(h.phase(job.ID), qt.Equals, workflow.Completed)
}

// Guards against a job that never ends because the stop of its task was accepted by a process of the node that has since ended.
func TestStopAcceptedByFormerProcess(t *testing.T) {
	h := newHarness(t)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	x := executor("a", 1)
	h.report("a", x, nil, nil)
	start := h.plan()["a"].Starts[0]
	h.engine.HandleOrderResult("a", 1, &workflow.OrderResult{Task: start.Task, Run: 1, Outcome: workflow.OutcomeUnknown}, h.now)
	h.engine.HandleOrderResult("a", 1, &workflow.OrderResult{Task: start.Task, Run: 1, Stop: true, Outcome: workflow.OutcomeDone, Sequence: 9}, h.now)
	restarted := func() {
		h.now = h.now.Add(time.Second)
		h.send("a", &workflow.Report{Incarnation: 2, Executor: x, Listed: true, EndsComplete: true, CoveredSequence: 5})
	}
	restarted()
	stops := h.plan()["a"].Stops
	h.Assert(stops, qt.HasLen, 1)
	h.engine.HandleOrderResult("a", 2, &workflow.OrderResult{Task: start.Task, Run: 1, Stop: true, Outcome: workflow.OutcomeDone, Sequence: 4}, h.now)
	restarted()
	h.Assert(h.plan()["a"].Starts, qt.HasLen, 1)
}

// Guards against a task that waits for the lease of an executor to expire although, after a new owner has read the
// task's record, another executor ID reports from the same host.
func TestRestoredTaskOnReplacedExecutorRestarts(t *testing.T) {
	h := newHarness(t)
	job := h.job(step(1))
	h.engine.Add(job, nil, h.now, h.now)
	h.report("a", executor("a", 1), nil, nil)
	h.engine.Plan(h.now, h.now)
	record := h.engine.TakeDirty()[0].Record
	h.takeOver(job, record)
	x := executor("a", 5)
	x.ID = "i-other"
	h.report("a", x, nil, nil)
	h.Assert(h.plan()["a"].Starts, qt.HasLen, 1)
}
