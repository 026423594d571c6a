package engine

import (
	"slices"
	"time"
)

// A task may crash each executor that starts it. Which of an executor's tasks was the cause can't be seen, so the tasks that had
// begun shortly before a crash become suspects. Suspects of one job start together on one executor, apart from other suspects,
// and nothing else but long-running tasks starts there until they have survived. The next crashes then show the job that causes
// them, which is given up. Suspects of one crash that wait for an executor too long start beside those of other jobs.

const (
	// maxUnsuspectedCrashes is the number of crashes under a task from which it is a suspect although each could be ascribed to
	// others.
	maxUnsuspectedCrashes = 3
	// crashAvoidance is how long a suspect is not started on the host on which an executor has crashed under it, so that a host
	// that fails repeatedly does not make its job given up.
	crashAvoidance = 5 * time.Second
)

// crashState is what is known of crashes of executors under their tasks.
type crashState struct {
	// suspects holds the tasks that may have crashed an executor and have not survived since.
	suspects map[*task]struct{}
	// probedJobs holds the jobs with suspects that run and have not survived yet, with their executors. probedNodes is the number
	// of these executors that are up, of upNodes.
	probedJobs           map[*job]*node
	probedNodes, upNodes int
	// crashing holds the tasks that crash executors and whose jobs the next Plan gives up.
	crashing []*task
	crashes  []Crash
	givenUp  []CrashingTask
}

func newCrashState() crashState {
	return crashState{suspects: map[*task]struct{}{}, probedJobs: map[*job]*node{}}
}

// taskCrashes is what is known of crashes of executors under one task.
type taskCrashes struct {
	// total is the number of runs in a row that ended with a crash of their executors at similar ages, and suspicions the number
	// of those in which the task was a suspect. Both are stored.
	total, suspicions int
	// age and minAge are the largest and the smallest known age of such a run; age is 0 if none is known.
	age, minAge time.Duration
	// listedSince is when the current run was first listed to this owner.
	listedSince time.Time
	// suspectSince is when the task last became a suspect of a crash, or when this owner learned that it is one.
	suspectSince time.Time
}

// Crash is the crash of an executor that had tasks.
type Crash struct {
	Node, Executor string
	// Runs is the number of the executor's runs; Suspects holds the tasks that may have caused the crash.
	Runs     int
	Suspects []CrashingTask
}

// CrashingTask is a task that may crash, or that crashes, the executors that start it.
type CrashingTask struct {
	Task string `json:"task"`
	// Crashes is the number of executors that have crashed under the task, Suspicions the number of those with the task as a
	// suspect.
	Crashes    int `json:"crashes"`
	Suspicions int `json:"suspicions"`
}

// TakeCrashes returns the crashes of executors, and the tasks whose jobs were given up for crashing them, since the last call.
func (e *Engine) TakeCrashes() ([]Crash, []CrashingTask) {
	crashes, givenUp := e.crashes.crashes, e.crashes.givenUp
	e.crashes.crashes, e.crashes.givenUp = nil, nil
	return crashes, givenUp
}

func (t *task) crashing() CrashingTask {
	return CrashingTask{Task: t.name, Crashes: t.crashes.total, Suspicions: t.crashes.suspicions}
}

// recordCrash records the crash of an executor and decides which of its tasks are suspects, and which jobs are to be given up.
func (e *Engine) recordCrash(n *node, incarnation string, runs []crashedRun, now time.Time) {
	isExplained := slices.ContainsFunc(runs, crashedRun.isOfCrashingJob)
	runs = withoutEnded(runs)
	if len(runs) == 0 {
		return
	}
	for i := range runs {
		e.countCrash(&runs[i])
	}
	var suspects []crashedRun
	if !isExplained {
		suspects = suspectsOf(runs)
	}
	alone := !slices.ContainsFunc(suspects, func(r crashedRun) bool { return r.task.job != suspects[0].task.job })
	for _, r := range suspects {
		r.task.crashes.suspicions++
	}
	for i := range runs {
		r := &runs[i]
		t := r.task
		e.markDirty(t.job)
		if t.crashes.total == 0 {
			continue
		}
		if t.crashes.total >= maxUnsuspectedCrashes && !isExplained {
			t.crashes.suspicions = max(t.crashes.suspicions, 1)
		}
		if !t.isSuspect() {
			continue
		}
		e.crashes.suspects[t] = struct{}{}
		t.crashes.suspectSince = now
		t.avoidedHost, t.avoidedUntil = n.name, now.Add(crashAvoidance)
		isSuspect := slices.ContainsFunc(suspects, func(s crashedRun) bool { return s.task == t })
		if r.exceedsCrashLimits(alone && isSuspect, isExplained) {
			e.crashes.crashing = append(e.crashes.crashing, t)
			t.job.crashing = true
		}
	}
	crash := Crash{Node: n.name, Executor: incarnation, Runs: len(runs)}
	for _, r := range suspects {
		crash.Suspects = append(crash.Suspects, r.task.crashing())
	}
	e.crashes.crashes = append(e.crashes.crashes, crash)
	e.needsPlanning = true
}
