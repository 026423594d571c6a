package engine

import "time"

const (
	// minSurvival is how long a run has to last for its task to be cleared, unless an executor has crashed under an older run
	// of the task: then it has to last survivalFactor times as long as that.
	minSurvival    = 500 * time.Millisecond
	survivalFactor = 2
)

func (t *task) isSuspect() bool { return t.crashes.suspicions > 0 }

// suspectsOf returns the runs that may have caused a crash, by the first of these rules that applies to any run: the crash followed
// from its start and its task was a suspect before; the crash followed from its start; its task was a suspect before and it wasn't old;
// it had begun shortly before; it wasn't old.
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

// countCrash counts the crash for the task of a run. If the age of the run differs much from the ages at earlier crashes, the task was
// not the cause of all of them, so the count restarts.
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

// recordAlive clears the tasks whose runs have lasted longer than those that ended with a crash. The executor listed its runs at
// n.listedAt.
func (e *Engine) recordAlive(n *node) {
	e.withdrawCrash(n)
	n.aliveAt, n.lapsedRuns = n.listedAt, nil
	for _, t := range e.tasksWithRun[n.executorIncarnation] {
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
