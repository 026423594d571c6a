package workflows_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// otherPool is a pool to which only some configurations send the queue of the tests.
const otherPool = "other"

// placementOracle checks where runs start: in a pool to which some configuration sends their queue, on an executor with the label of
// their step, and within the limit of the step and the capacity of the executor. A run counts until it has ended on its executor.
type placementOracle struct {
	// runs holds the tasks that run on each executor incarnation.
	runs map[string]map[string]bool
	// pools holds the pools to which any configuration so far sends each queue.
	pools map[string]map[string]bool
	// changingUntil holds, by ID, until when starts may exceed the capacity of an executor that was changed.
	changingUntil map[string]time.Time
}

func newPlacementOracle() *placementOracle {
	return &placementOracle{
		runs: map[string]map[string]bool{}, pools: map[string]map[string]bool{}, changingUntil: map[string]time.Time{},
	}
}

// recordConfigured records the queues of a configuration.
func (o *invariantChecker) recordConfigured(queues []workflow.Queue) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, q := range queues {
		if o.placement.pools[q.Name] == nil {
			o.placement.pools[q.Name] = map[string]bool{}
		}
		o.placement.pools[q.Name][q.Pool] = true
	}
}

// recordCapacityChange records that an executor changes its capacity. Starts that were decided on before may exceed it.
func (o *invariantChecker) recordCapacityChange(executorID string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.placement.changingUntil[executorID] = time.Now().Add(capacityBound)
}

// started records the start of a task of a known job, and returns in which ways it breaks the constraints of its placement.
func (p *placementOracle) started(x workflow.Executor, task string, jobs map[string]workflow.Job) (violations []string) {
	incarnation := x.IncarnationID()
	if p.runs[incarnation] == nil {
		p.runs[incarnation] = map[string]bool{}
	}
	p.runs[incarnation][task] = true
	id, _ := workflow.ParseTaskID(task)
	job := jobs[id.Job]
	step := &job.Steps[id.Step]
	if !p.pools[job.Queue.Name][x.Pool] {
		violations = append(violations, fmt.Sprintf("of pool %q, to which no configuration sends its queue", x.Pool))
	}
	if step.Label != "" && !x.HasLabel(step.Label) {
		violations = append(violations, fmt.Sprintf("without the label %q", step.Label))
	}
	ofStep, reserved := p.usage(incarnation, id, jobs)
	if step.PerExecutor > 0 && ofStep > step.PerExecutor {
		violations = append(violations, fmt.Sprintf("as number %d of its step, %d are allowed", ofStep, step.PerExecutor))
	}
	if time.Now().After(p.changingUntil[x.ID]) && !reserved.Fits(x.Capacity) {
		violations = append(violations, fmt.Sprintf("beyond its capacity: %+v of %+v", reserved, x.Capacity))
	}
	return violations
}

// usage returns how many runs of the step and the occurrence of a task an executor has, and what all its runs reserve.
func (p *placementOracle) usage(incarnation string, id workflow.TaskID, jobs map[string]workflow.Job) (ofStep int, reserved structs.Resources) {
	for task := range p.runs[incarnation] {
		other, _ := workflow.ParseTaskID(task)
		if other.Job == id.Job && other.Occurrence == id.Occurrence && other.Step == id.Step {
			ofStep++
		}
		job := jobs[other.Job]
		reserved = reserved.Add(job.Steps[other.Step].Reserved())
	}
	return ofStep, reserved
}

// ended records the end of a run.
func (p *placementOracle) ended(incarnation, task string) { delete(p.runs[incarnation], task) }

// reservation returns what a task of a submitted job reserves.
func (o *invariantChecker) reservation(task string) structs.Resources {
	o.mu.Lock()
	defer o.mu.Unlock()
	id, _ := workflow.ParseTaskID(task)
	if job, known := o.jobs[id.Job]; known {
		return job.Steps[id.Step].Reserved()
	}
	return structs.Resources{}
}

// Guards against an oracle that misses starts that break a constraint, or reports others.
func TestPlacementOracle(t *testing.T) {
	job := workflow.Job{ID: "0000000000000001", Queue: testQueue, Steps: []workflow.Step{{
		Count: 9, PerExecutor: 2, Label: "ssd", Need: structs.Resources{MilliCores: 1000},
	}}}
	suitable := workflow.Executor{ID: "i-a", Pool: testQueue.Pool, Labels: []string{"ssd"}, Capacity: structs.Resources{MilliCores: 4000}}
	unlabelled, ofOtherPool, small := suitable, suitable, suitable
	unlabelled.Labels, ofOtherPool.Pool, small.Capacity.MilliCores = []string{"gpu"}, otherPool, 1500
	for _, test := range []struct {
		name     string
		executor workflow.Executor
		// violations is the number of violations by the first, the second and the third start.
		violations [3]int
	}{
		{"suitable", suitable, [3]int{0, 0, 1}},
		{"without the label", unlabelled, [3]int{1, 1, 2}},
		{"in another pool", ofOtherPool, [3]int{1, 1, 2}},
		{"small", small, [3]int{0, 1, 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			checker := newInvariantChecker()
			checker.recordSubmitted(job)
			checker.recordConfigured([]workflow.Queue{testQueue})
			start := func(index int) int {
				before := len(checker.foundViolations())
				checker.Started(test.executor, workflow.TaskID{Job: job.ID, Index: index}.String(), 1, job.Spec)
				return len(checker.foundViolations()) - before
			}
			for i, violations := range test.violations {
				qt.Check(t, start(i), qt.Equals, violations)
			}
			for i := range test.violations {
				checker.Ended(test.executor.IncarnationID(), workflow.TaskID{Job: job.ID, Index: i}.String(), 1, workflow.EndStopped)
			}
			qt.Check(t, start(len(test.violations)), qt.Equals, test.violations[0])
		})
	}
}
