package engine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

const (
	// planInterval is how often the simulated owner plans, reportInterval how often each node reports if no run has
	// ended.
	planInterval   = 20 * time.Millisecond
	reportInterval = 900 * time.Millisecond
	// tickInterval is how often the simulated owner calls Tick.
	tickInterval = 100 * time.Millisecond
	// minRunDuration and maxRunDuration limit how long a run takes, whatever its estimate says.
	minRunDuration = 200 * time.Millisecond
	maxRunDuration = 2 * time.Second
)

// simulation drives an engine with simulated executors in steps of planInterval. Its load is drawn from a seed: serving
// jobs at the start, then best-effort jobs and short jobs of one or two steps.
type simulation struct {
	engine *engine.Engine
	now    time.Time
	began  time.Time
	random *rand.Rand
	nodes  []*simulatedNode
	byName map[string]*simulatedNode
	jobs   int
	starts int
	// submitted is when each job was submitted, and ended how long each completed job took.
	submitted map[string]time.Time
	objective map[string]time.Duration
	ended     map[string]time.Duration
	// jobSteps and jobTasks are the numbers of steps and tasks of each job, and longest is the longest run of each step.
	jobSteps, jobTasks map[string]int
	longest            map[stepKey]time.Duration
}

// simulatedNode is a node with its executor.
type simulatedNode struct {
	name      string
	executor  *workflow.Executor
	number    int64
	reportDue time.Time
	running   []*simulatedRun
	ended     []workflow.RunEnd
	ends      int64
}

type simulatedRun struct {
	state    workflow.RunState
	traits   workflow.RunTraits
	began    time.Time
	duration time.Duration
	forever  bool
}

func newSimulation(executors int, seed uint64) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*simulatedNode{},
		submitted: map[string]time.Time{}, objective: map[string]time.Duration{}, ended: map[string]time.Duration{},
		jobSteps: map[string]int{}, jobTasks: map[string]int{}, longest: map[stepKey]time.Duration{},
	}
	s.began = s.now
	s.engine = engine.New(engine.Settings{
		LeaseDuration: 6500 * time.Millisecond, LeaseExpiry: 7060 * time.Millisecond, TakeoverSlack: 1600 * time.Millisecond, RemoteSlowdown: 1.5,
		Retention: 130 * time.Second,
	}, s.now)
	s.engine.Configure(&workflow.Config{Version: 1, Queues: []workflow.Queue{queue}, Pools: []workflow.Pool{{Name: "pool"}}})
	s.engine.SetEvacuated(nil)
	for i := range executors {
		n := &simulatedNode{name: fmt.Sprintf("host-%d", i), reportDue: s.now.Add(time.Duration(s.random.Int64N(int64(reportInterval))))}
		n.executor = &workflow.Executor{
			ID: "i-" + n.name, StartedUnixMillis: 1, Pool: "pool", FailureDomain: fmt.Sprintf("domain-%d", i%5),
			Capacity: structs.Resources{MilliCores: 16000, MemoryMB: 64000}, Labels: []string{"a", fmt.Sprintf("r%d", i/8)},
		}
		s.nodes = append(s.nodes, n)
		s.byName[n.name] = n
	}
	s.run(2 * time.Second)
	return s
}

func (s *simulation) submit(steps ...workflow.Step) string {
	s.jobs++
	for i := range steps {
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	job := workflow.Job{ID: fmt.Sprintf("%016x", s.jobs), Steps: steps, Queue: queue, AcceptedUnixMillis: s.now.UnixMilli()}
	s.engine.Add(job, nil, s.now, s.now)
	s.submitted[job.ID], s.jobSteps[job.ID] = s.now, len(steps)
	for i := range steps {
		s.jobTasks[job.ID] += steps[i].Count
	}
	s.objective[job.ID] = s.engine.Objective(job.ID)
	return job.ID
}

// submitServing submits jobs of serving tasks that reserve a share of all CPU.
func (s *simulation) submitServing(share float64) {
	for reserved := 0.0; reserved < share*16*float64(len(s.nodes)); reserved += 24 * 2.5 {
		count := min(24, len(s.nodes))
		s.submit(workflow.Step{
			Count: count, Need: structs.Resources{MilliCores: 2500, MemoryMB: 6000}, LongRunning: true, TargetMillis: 50,
			Image: fmt.Sprintf("serving-%d", s.random.IntN(4)), PerExecutor: 2,
		})
	}
}

// submitShort submits a job of short tasks with one or two steps.
func (s *simulation) submitShort() string {
	step := workflow.Step{
		Count: 8 + s.random.IntN(3), Need: structs.Resources{MilliCores: int64(300 + 50*s.random.IntN(20)), MemoryMB: 1500},
		EstimateMillis: int64(100 + s.random.IntN(1500)),
	}
	if s.random.IntN(10) < 6 {
		return s.submit(step, step)
	}
	return s.submit(step)
}

// submitBestEffort submits a job of best-effort tasks.
func (s *simulation) submitBestEffort() string {
	step := workflow.Step{
		Count: 20 + s.random.IntN(60), Need: structs.Resources{MilliCores: int64(1000 + 50*s.random.IntN(30)), MemoryMB: 2500},
		EstimateMillis: int64(1000 + s.random.IntN(3000)), BestEffort: true, Checkpoints: true,
		Image: fmt.Sprintf("filling-%d", s.random.IntN(12)),
	}
	return s.submit(step)
}

// submitArrivals submits the jobs of one step at a multiple of the usual load, which is 11 short and 2.7 best-effort
// jobs a second for 160 executors.
func (s *simulation) submitArrivals(load float64) {
	share := load * float64(len(s.nodes)) / 160 * planInterval.Seconds()
	for rate := 11 * share; s.random.Float64() < rate; rate-- {
		s.submitShort()
	}
	for rate := 2.7 * share; s.random.Float64() < rate; rate-- {
		s.submitBestEffort()
	}
}

// run advances the simulation without arrivals.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// load advances the simulation under a multiple of the usual load.
func (s *simulation) load(d time.Duration, multiple float64) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.submitArrivals(multiple)
		s.step()
	}
}

// step advances the simulation by planInterval.
func (s *simulation) step() {
	s.now = s.now.Add(planInterval)
	for _, n := range s.nodes {
		s.progress(n)
		if len(n.ended) > 0 || !s.now.Before(n.reportDue) {
			s.report(n)
		}
	}
	if s.now.Sub(s.began)%tickInterval == 0 {
		s.engine.Tick(s.now)
		s.engine.ExpireLeases(s.now)
		for _, id := range s.engine.ExpiredJobs(s.now, 8) {
			s.engine.Forget(id)
		}
	}
	s.engine.Plan(s.now, s.now)
	changes := s.engine.TakeDirty()
	s.engine.MarkStored(changes)
	for i := range changes {
		if begun, known := s.submitted[changes[i].Job]; known && changes[i].Record.Phase == workflow.Completed {
			s.ended[changes[i].Job] = s.now.Sub(begun)
		}
	}
	for _, d := range s.engine.TakeOrders() {
		s.executeOrders(s.byName[d.Node], &d.Orders)
	}
}

// progress updates the runs of a node and ends those that are due. One in fifty fails.
func (s *simulation) progress(n *simulatedNode) {
	n.running = slices.DeleteFunc(n.running, func(r *simulatedRun) bool {
		elapsed := s.now.Sub(r.began)
		if r.forever {
			r.state.Percent = 100
			r.state.Usage = 12 + float64(len(n.running))
			return false
		}
		r.state.Percent = min(100*float64(elapsed)/float64(r.duration), 99)
		r.state.Usage = float64(r.traits.MilliCores)
		if elapsed < r.duration {
			return false
		}
		n.ends++
		s.recordRun(r)
		how := workflow.EndDone
		if s.random.IntN(50) == 0 {
			how = workflow.EndFailed
		}
		n.ended = append(n.ended, workflow.RunEnd{Number: n.ends, Task: r.state.Task, Run: r.state.Run, How: how})
		return true
	})
}

func (s *simulation) report(n *simulatedNode) {
	n.number++
	n.reportDue = s.now.Add(reportInterval)
	report := workflow.Report{
		Node: n.name, Address: n.name, Incarnation: 1, Number: n.number, Executor: n.executor, Listed: true, EndsComplete: true, Ended: n.ended,
		CoveredSequence: 1 << 40,
	}
	for _, r := range n.running {
		report.Running = append(report.Running, r.state)
	}
	s.engine.HandleReport(&report, s.now, s.now)
	n.ended = nil
}

func (s *simulation) executeOrders(n *simulatedNode, orders *workflow.Orders) {
	for _, o := range orders.Stops {
		n.running = slices.DeleteFunc(n.running, func(r *simulatedRun) bool {
			if r.state.Task != o.Task || r.state.Run != o.Run {
				return false
			}
			n.ends++
			n.ended = append(n.ended, workflow.RunEnd{Number: n.ends, Task: o.Task, Run: o.Run, How: workflow.EndStopped})
			return true
		})
		s.engine.HandleOrderResult(n.name, 1, &workflow.OrderResult{Task: o.Task, Run: o.Run, Stop: true, Outcome: workflow.OutcomeDone, Sequence: 1}, s.now)
	}
	for i := range orders.Starts {
		o := &orders.Starts[i]
		s.starts++
		n.running = append(n.running, &simulatedRun{
			state: workflow.RunState{Task: o.Task, Run: o.Run}, traits: o.RunTraits, began: s.now, forever: o.TargetMillis > 0,
			duration: minRunDuration + time.Duration(s.random.Int64N(int64(maxRunDuration-minRunDuration))),
		})
		s.engine.HandleOrderResult(n.name, 1, &workflow.OrderResult{Task: o.Task, Run: o.Run, Outcome: workflow.OutcomeDone, Sequence: 1}, s.now)
	}
}
