package workflows_test

import (
	"fmt"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// oracle watches what executors do and notes each broken promise.
type oracle struct {
	mu         sync.Mutex
	running    map[string]string
	done       map[string]bool
	acked      map[string]string
	jobs       map[string]workflow.Job
	refused    map[string]bool
	starts     map[string]int
	violations []string
}

func newOracle() *oracle {
	return &oracle{
		running: map[string]string{}, done: map[string]bool{}, acked: map[string]string{},
		jobs: map[string]workflow.Job{}, starts: map[string]int{}, refused: map[string]bool{},
	}
}

func (o *oracle) violate(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

func (o *oracle) submitted(job workflow.Job) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.jobs[job.ID] = job
}

// rejected notes that a client was told that a job does not run.
func (o *oracle) rejected(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refused[id] = true
}

// Started implements nodetest.Observer.
func (o *oracle) Started(executor, task string, run int, spec string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts[task]++
	if other, twice := o.running[task]; twice {
		o.violate("%s run %d started on %s while it runs on %s", task, run, executor, other)
	}
	if how, acked := o.acked[task]; acked {
		o.violate("%s run %d started on %s after its end was acknowledged: %s", task, run, executor, how)
	}
	o.running[task] = executor
	id, _ := workflow.ParseTaskID(task)
	if o.refused[id.Job] {
		o.violate("%s started although its job was rejected", task)
	}
	job, known := o.jobs[id.Job]
	if !known || job.Spec != spec {
		o.violate("%s started with a specification that nobody submitted", task)
		return
	}
	for _, after := range job.Steps[id.Step].After {
		for i := range job.Steps[after].Count {
			before := workflow.TaskID{Job: id.Job, Step: after, Index: i}.String()
			if !o.done[before] {
				o.violate("%s started before %s was done", task, before)
			}
		}
	}
}

// Ended implements nodetest.Observer.
func (o *oracle) Ended(executor, task string, _ int, how workflow.EndReason) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running[task] == executor {
		delete(o.running, task)
	}
	if how == workflow.EndDone {
		o.done[task] = true
	}
}

// Acknowledged implements nodetest.Observer.
func (o *oracle) Acknowledged(executor, task string, run int, how workflow.EndReason, lapsed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if how == workflow.EndDone && !lapsed {
		o.acked[task] = fmt.Sprintf("run %d on %s at %v", run, executor, time.Now())
	}
}

func (o *oracle) broken() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.violations
}

func (o *oracle) startCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	total := 0
	for _, n := range o.starts {
		total += n
	}
	return total
}
