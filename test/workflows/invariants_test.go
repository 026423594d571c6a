package workflows_test

import (
	"cmp"
	"fmt"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// invariantChecker observes the executors and records each violated guarantee.
type invariantChecker struct {
	mu           sync.Mutex
	running      map[string]string
	completed    map[string]bool
	acknowledged map[string]string
	jobs         map[string]workflow.Job
	rejectedJobs map[string]bool
	startsByTask map[string]int
	violations   []string
	// changedAt is when a run of each task, and of each job, last started or ended.
	changedAt map[string]time.Time
	// doneOn holds the executor that finished each task last, and taken the tasks whose end was acknowledged.
	doneOn map[string]string
	taken  map[string]bool
	// openEnds holds the runs of each task that have ended done and are not acknowledged.
	openEnds  map[string][]*openEnd
	placement *placementOracle
}

// openEnd is the end of a run that is not acknowledged.
type openEnd struct {
	executor string
	run      int
	// restart describes the first start of the task after this end; empty if there is none.
	restart string
}

func newInvariantChecker() *invariantChecker {
	return &invariantChecker{
		running: map[string]string{}, completed: map[string]bool{}, acknowledged: map[string]string{},
		jobs: map[string]workflow.Job{}, startsByTask: map[string]int{}, rejectedJobs: map[string]bool{},
		changedAt: map[string]time.Time{}, doneOn: map[string]string{}, taken: map[string]bool{},
		openEnds: map[string][]*openEnd{}, placement: newPlacementOracle(),
	}
}

func (o *invariantChecker) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

func (o *invariantChecker) recordSubmitted(job workflow.Job) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.jobs[job.ID] = job
}

// recordRejected records that a client was told that its job does not run.
func (o *invariantChecker) recordRejected(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rejectedJobs[id] = true
}

func (o *invariantChecker) recordChange(task string) {
	id, _ := workflow.ParseTaskID(task)
	o.changedAt[task], o.changedAt[id.Job] = time.Now(), time.Now()
}

// Started implements nodetest.Observer.
func (o *invariantChecker) Started(x workflow.Executor, task string, run int, spec string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	executor := x.IncarnationID()
	o.startsByTask[task]++
	o.recordChange(task)
	if other, twice := o.running[task]; twice {
		o.addViolation("%s run %d started on %s while it runs on %s", task, run, executor, other)
	}
	if how, acked := o.acknowledged[task]; acked {
		o.addViolation("%s run %d started on %s after its end was acknowledged: %s", task, run, executor, how)
	}
	for _, end := range o.openEnds[task] {
		end.restart = cmp.Or(end.restart, fmt.Sprintf("run %d started on %s at %v", run, executor, time.Now()))
	}
	o.running[task] = executor
	id, _ := workflow.ParseTaskID(task)
	if o.rejectedJobs[id.Job] {
		o.addViolation("%s started although its job was rejected", task)
	}
	job, known := o.jobs[id.Job]
	if !known || job.Spec != spec {
		o.addViolation("%s started with a specification that nobody submitted", task)
		return
	}
	for _, after := range job.Steps[id.Step].After {
		if before := o.unfinished(job, after); before != "" {
			o.addViolation("%s started before %s was done", task, before)
		}
	}
	for _, violation := range o.placement.started(x, task, o.jobs) {
		o.addViolation("%s run %d started on %s %s", task, run, executor, violation)
	}
}

// unfinished returns a task of a step that has not been done, or "". One done member of a gang stands for all of them.
func (o *invariantChecker) unfinished(job workflow.Job, step int) string {
	missing := ""
	for i := range job.Steps[step].Count {
		task := workflow.TaskID{Job: job.ID, Step: step, Index: i}.String()
		switch {
		case !o.completed[task]:
			missing = task
		case job.Steps[step].Gang:
			return ""
		}
	}
	return missing
}

// Ended implements nodetest.Observer.
func (o *invariantChecker) Ended(executor, task string, run int, how workflow.EndReason) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recordChange(task)
	o.placement.ended(executor, task)
	if o.running[task] == executor {
		delete(o.running, task)
	}
	if how == workflow.EndDone && !o.mustRestart(task) {
		o.completed[task] = true
		o.doneOn[task] = executor
		o.openEnds[task] = append(o.openEnds[task], &openEnd{executor: executor, run: run})
	}
}

// Acknowledged implements nodetest.Observer.
func (o *invariantChecker) Acknowledged(executor, task string, run int, how workflow.EndReason, lapsed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if how == workflow.EndDone && !o.mustRestart(task) {
		o.taken[task] = true
	}
	if how == workflow.EndDone && !lapsed && !o.mustRestart(task) {
		o.acknowledged[task] = fmt.Sprintf("run %d on %s at %v", run, executor, time.Now())
		o.checkRestart(executor, task, run)
	}
}

// mustRestart reports whether a task is long-running, so that it runs again however its run has ended.
func (o *invariantChecker) mustRestart(task string) bool {
	id, _ := workflow.ParseTaskID(task)
	job, known := o.jobs[id.Job]
	return known && job.Steps[id.Step].LongRunning
}

// checkRestart records a violation if a task was started again between the end of a run and its acknowledgement.
func (o *invariantChecker) checkRestart(executor, task string, run int) {
	for _, end := range o.openEnds[task] {
		if end.executor == executor && end.run == run && end.restart != "" {
			o.addViolation("%s %s after run %d was done on %s, which was acknowledged later", task, end.restart, run, executor)
		}
	}
}

// isDone reports whether all tasks of a job have been done, or it was not submitted.
func (o *invariantChecker) isDone(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for step := range o.jobs[id].Steps {
		if o.unfinished(o.jobs[id], step) != "" {
			return false
		}
	}
	return true
}

func (o *invariantChecker) foundViolations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.violations
}

func (o *invariantChecker) startCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	total := 0
	for _, n := range o.startsByTask {
		total += n
	}
	return total
}

// starts returns how often a task has been started.
func (o *invariantChecker) starts(task string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.startsByTask[task]
}

// runningOn returns how many runs an executor has.
func (o *invariantChecker) runningOn(executor string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := 0
	for _, on := range o.running {
		if on == executor {
			count++
		}
	}
	return count
}

// tasksOn returns the tasks that run on an executor.
func (o *invariantChecker) tasksOn(executor string) (tasks []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for task, on := range o.running {
		if on == executor {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// runElsewhere reports whether all of the tasks run, on other executors than the given one.
func (o *invariantChecker) runElsewhere(executor string, tasks []string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, task := range tasks {
		if on := o.running[task]; on == "" || on == executor {
			return false
		}
	}
	return true
}

// runningCount returns how many tasks are running.
func (o *invariantChecker) runningCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.running)
}
