package engine

import (
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// A task may crash each executor that starts it. Which of an executor's tasks was the cause can't be seen, so the tasks that had
// begun shortly before a crash become suspects. Suspects of one job start together on one executor, apart from other suspects,
// and nothing else but long-running tasks starts there until they have survived. The next crashes then show the job that causes
// them, which is given up. Suspects of one crash that wait for an executor too long start beside those of other jobs.

const (
	// youngAge is the age of a run up to which a crash of its executor makes its task a suspect. An executor lists its runs at
	// least once a second, so the age is known to a second if the time of the crash isn't known.
	youngAge = 1500 * time.Millisecond
	// minSurvival is how long a run has to last for its task to be cleared, unless an executor has crashed under an older run
	// of the task: then it has to last survivalFactor times as long as that.
	minSurvival    = 500 * time.Millisecond
	survivalFactor = 2
	// maxProbe is how long at most nothing else starts on an executor that a suspect has started on.
	maxProbe = 4 * time.Second
	// quietTime is how long an executor must have been without starts of other jobs before a suspect starts there.
	quietTime = 300 * time.Millisecond
	// maxProbeWait is how long a suspect waits for an executor of its own, unless it is one for the second time.
	maxProbeWait = 1500 * time.Millisecond
	// maxIsolationWait is how long a suspect waits at most for an executor on which it can be told from other causes. A job may
	// have nothing running for 3 s if there is room for it.
	maxIsolationWait = 2 * time.Second
	// suddenCrashAge is the age of a run up to which a crash is taken to follow from its start, since executors rarely crash
	// for another reason within so short a time.
	suddenCrashAge = 400 * time.Millisecond
	// maxCrashAge is the age of a run from which a crash counts for its task as if the run had ended otherwise: most tasks that
	// have run for so long are not the cause.
	maxCrashAge = 5 * time.Second
	// A job is given up after suddenSuspicions crashes with a task as suspect if the last one left no other job in question and
	// followed from the start, and after loneCrashes if it left no other job in question. In any case it is given up after
	// repeatedCrashes if the task was a suspect more than once, and after maxCrashes.
	suddenSuspicions = 2
	loneCrashes      = 3
	repeatedCrashes  = 4
	maxCrashes       = 5
	// maxUnsuspectedCrashes is the number of crashes under a task from which it is a suspect although each could be ascribed to
	// others.
	maxUnsuspectedCrashes = 3
	// crashAvoidance is how long a suspect is not started on the host on which an executor has crashed under it, so that a host
	// that fails repeatedly does not convict it.
	crashAvoidance = 5 * time.Second
	// hostRestartTime is the time between the starts of a node's process and of its executor up to which the whole host may have
	// restarted.
	hostRestartTime = 5 * time.Second
	// maxProbedShare is the fraction of the executors on which suspects may start at the same time.
	maxProbedShare = 0.5
	// suspectTaskWeight and suspectServingWeight are how much suspects prefer executors with one task, or one serving task,
	// less: all of them end if the executor crashes.
	suspectTaskWeight    = 0.05
	suspectServingWeight = 0.5
)

// crashState is what is known of crashes of executors under their tasks.
type crashState struct {
	// suspects holds the tasks that may have crashed an executor and have not survived since.
	suspects map[*task]struct{}
	// probedJobs holds the jobs with suspects that run and have not survived yet, with their executors. probedNodes is the number
	// of these executors that are up, of upNodes.
	probedJobs           map[*job]*node
	probedNodes, upNodes int
	// convicted holds the tasks whose jobs the next Plan gives up.
	convicted []*task
	crashes   []Crash
	givenUp   []CrashingTask
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

// crashedRun is a run that an executor had when it crashed.
type crashedRun struct {
	task *task
	// age is the age of the run at the crash, or at the executor's last sign of life if the time of the crash is unknown. It is
	// unknown if the run began under a former owner and its executor never reported to this one.
	age   time.Duration
	known bool
	// timed is set if the time of the crash is known.
	timed bool
}

// isSudden reports whether the crash followed from the start of the run.
func (r *crashedRun) isSudden() bool { return r.known && r.timed && r.age < suddenCrashAge }

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

func (t *task) isSuspect() bool { return t.crashes.suspicions > 0 }

// crashedRuns returns the unfinished runs on an incarnation with their ages.
func (e *Engine) crashedRuns(n *node, incarnation string) []crashedRun {
	tasks := e.assignedTasks[incarnation]
	alive, timed := time.Time{}, false
	if n.known && n.executorIncarnation == incarnation {
		alive, timed = n.aliveAt, !n.brokenAt.IsZero()
		if timed {
			alive = n.brokenAt
		}
	}
	for _, t := range tasks {
		if !t.startPending && t.startedAt.After(alive) {
			alive = t.startedAt
		}
	}
	runs := make([]crashedRun, 0, len(tasks))
	for _, t := range tasks {
		begun := t.begunAt()
		if begun.IsZero() {
			runs = append(runs, crashedRun{task: t})
			continue
		}
		runs = append(runs, crashedRun{task: t, age: max(alive.Sub(begun), 0), known: true, timed: timed})
	}
	return runs
}

// brokenAt returns when a connection to the executor of a report was first broken; zero if none was.
func brokenAt(r *workflow.Report, now time.Time) time.Time {
	if r.BrokenMillis == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(r.BrokenMillis) * time.Millisecond)
}

// begunAt returns when the run of an assigned task began, as far as this owner knows; zero if it doesn't.
func (t *task) begunAt() time.Time {
	if !t.startedAt.IsZero() {
		return t.startedAt
	}
	return t.crashes.listedSince
}

// isYoung reports whether a run had begun shortly before the crash. A long-running task of unknown age has most likely run for
// long.
func (r *crashedRun) isYoung() bool {
	if !r.known {
		return !r.task.step.LongRunning
	}
	return r.age < youngAge
}

// recordReplacement records that an executor has been replaced by another incarnation.
func (e *Engine) recordReplacement(n *node, former string, executor *workflow.Executor, now time.Time) {
	nodeStarted := time.Duration(n.incarnation)
	executorStarted := time.Duration(executor.StartedUnixMillis) * time.Millisecond
	e.recordEnd(n, former, e.crashedRuns(n, former), nodeStarted > executorStarted-hostRestartTime, now)
}

// recordEnd records once that an executor has ended with the given runs. That is a crash unless it was to shut down, or the whole
// host may have restarted and no executor has crashed under any of its tasks before.
func (e *Engine) recordEnd(n *node, former string, runs []crashedRun, mayHaveRestarted bool, now time.Time) {
	if n.recordedEnd == former {
		return
	}
	n.recordedEnd = former
	if n.known && n.executorIncarnation == former {
		runs = append(runs, n.lapsedRuns...)
		n.lapsedRuns = nil
		if n.executor.Draining {
			return
		}
	}
	if mayHaveRestarted && !slices.ContainsFunc(runs, crashedRun.hasCrashed) {
		e.recordHostRestart(runs)
		return
	}
	e.recordCrash(n, former, runs, now)
}

// recordHostRestart counts the end of an executor that may have crashed by itself: its node's process has restarted, too. It makes
// no task a suspect.
func (e *Engine) recordHostRestart(runs []crashedRun) {
	for _, r := range withoutEnded(runs) {
		r.task.crashes.total++
		e.markDirty(r.task.job)
	}
}

// hasCrashed reports whether an executor has crashed under the task before.
func (r crashedRun) hasCrashed() bool { return r.task.crashes.total > 0 }

// recordLapse records that the lease of an executor has expired. It has crashed if its node still reports. Otherwise the host may
// be cut off, and the next incarnation shows whether the executor has crashed.
func (e *Engine) recordLapse(n *node, now time.Time) {
	if n.executor.Draining || n.recordedEnd == n.executorIncarnation {
		return
	}
	runs := e.crashedRuns(n, n.executorIncarnation)
	if now.Sub(n.reportedAt) < reportTimeout {
		e.recordCrash(n, n.executorIncarnation, runs, now)
		return
	}
	n.lapsedRuns = append(n.lapsedRuns, runs...)
}

// isOfConvictedJob reports whether the run belongs to a job that is given up because a task of it crashes executors.
func (r crashedRun) isOfConvictedJob() bool { return r.task.job.convicted && r.task.isSuspect() }

// recordCrash records the crash of an executor and decides which of its tasks are suspects and which are convicted.
func (e *Engine) recordCrash(n *node, incarnation string, runs []crashedRun, now time.Time) {
	isExplained := slices.ContainsFunc(runs, crashedRun.isOfConvictedJob)
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
		if r.isConvicted(alone && isSuspect, isExplained) {
			e.crashes.convicted = append(e.crashes.convicted, t)
			t.job.convicted = true
		}
	}
	crash := Crash{Node: n.name, Executor: incarnation, Runs: len(runs)}
	for _, r := range suspects {
		crash.Suspects = append(crash.Suspects, r.task.crashing())
	}
	e.crashes.crashes = append(e.crashes.crashes, crash)
	e.needsPlanning = true
}

// countCrash counts the crash for the task of a run. An age that differs much from those at earlier crashes shows that the task was
// not the cause of all of them, so that counting begins anew.
func (e *Engine) countCrash(r *crashedRun) {
	c := &r.task.crashes
	if r.known && (r.age >= maxCrashAge || c.age > 0 && !similarAges(min(c.minAge, r.age), max(c.age, r.age))) {
		*c = taskCrashes{listedSince: c.listedSince}
		delete(e.crashes.suspects, r.task)
	}
	if !r.mayBeCause() {
		return
	}
	c.total++
	if r.known {
		if c.age == 0 || r.age < c.minAge {
			c.minAge = r.age
		}
		c.age = max(c.age, r.age, 1)
	}
}

// similarAges reports whether a task may have caused crashes at both ages, given how exactly ages are known.
func similarAges(youngest, oldest time.Duration) bool {
	return oldest <= survivalFactor*youngest+youngAge
}

// mayBeCause reports whether the task of a run counts as a possible cause of the crash.
func (r *crashedRun) mayBeCause() bool {
	if !r.known {
		return !r.task.step.LongRunning
	}
	return r.age < maxCrashAge
}

// withoutEnded removes the runs of tasks that are done and of jobs that have ended.
func withoutEnded(runs []crashedRun) []crashedRun {
	return slices.DeleteFunc(runs, func(r crashedRun) bool { return r.task.phase == workflow.TaskDone || r.task.job.phase.Final() })
}

// isConvicted reports whether the crashes are enough to give the job of a task up. alone is set if the last one left no other job in
// question; isExplained is set if it is explained by a job that is given up already.
func (r *crashedRun) isConvicted(alone, isExplained bool) bool {
	c := &r.task.crashes
	switch {
	case isExplained:
	case alone && r.isSudden() && c.suspicions >= suddenSuspicions, alone && c.total >= loneCrashes:
		return true
	case c.total >= repeatedCrashes && c.suspicions > 1:
		return true
	}
	return c.total >= maxCrashes
}

// suspectsOf returns the runs that may have caused a crash: those from whose start it followed, first those of suspects of an
// earlier one; or else those of such suspects, or else those that had begun shortly before, or else all but the old ones.
func suspectsOf(runs []crashedRun) []crashedRun {
	for _, suspected := range []func(r *crashedRun) bool{
		func(r *crashedRun) bool { return r.task.isSuspect() && r.isSudden() },
		(*crashedRun).isSudden,
		func(r *crashedRun) bool { return r.task.isSuspect() && r.mayBeCause() },
		(*crashedRun).isYoung,
		(*crashedRun).mayBeCause,
	} {
		var found []crashedRun
		for i := range runs {
			if suspected(&runs[i]) {
				found = append(found, runs[i])
			}
		}
		if len(found) > 0 {
			return found
		}
	}
	return nil
}

// recordAlive clears the tasks whose runs have lasted longer than those that ended with a crash. The executor listed its runs at
// n.listedAt.
func (e *Engine) recordAlive(n *node) {
	n.aliveAt, n.lapsedRuns = n.listedAt, nil
	for _, t := range e.assignedTasks[n.executorIncarnation] {
		if !t.listed {
			continue
		}
		if t.crashes.listedSince.IsZero() {
			t.crashes.listedSince = n.listedAt
		}
		if t.crashes.total > 0 && n.listedAt.Sub(t.begunAt()) >= t.requiredSurvival() {
			t.crashes = taskCrashes{listedSince: t.crashes.listedSince}
			delete(e.crashes.suspects, t)
			e.markDirty(t.job)
			e.needsPlanning = true
		}
	}
}

// requiredSurvival returns how long a run must last for its task to be cleared.
func (t *task) requiredSurvival() time.Duration {
	return max(minSurvival, survivalFactor*t.crashes.age)
}

// giveUpCrashing fails the jobs of the convicted tasks, apart from those that an earlier run has finished in the meantime.
func (e *Engine) giveUpCrashing(now, wall time.Time) {
	for _, t := range e.crashes.convicted {
		switch {
		case t.job.phase.Final():
		case t.phase == workflow.TaskDone:
			t.job.convicted = false
		default:
			e.crashes.givenUp = append(e.crashes.givenUp, t.crashing())
			e.finish(t.job, workflow.Failed, now, wall)
		}
	}
	e.crashes.convicted = nil
}
