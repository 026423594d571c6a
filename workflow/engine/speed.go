package engine

import (
	"math"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// usualSpeed is the share of its estimate that a task takes on a sound executor.
	usualSpeed = 1.0
	// slowFrom is the share of estimates from which an executor is avoided.
	slowFrom = 2.5
	// slowest bounds what is remembered, so that an executor that has recovered is used again soon.
	slowest = 6.0
	// speedWeight is the weight of one end in the mean of an executor.
	speedWeight = 0.3
	// speedHalfLife is the time in which a slow executor is forgiven half of it, since only tasks on it can show that it
	// has recovered.
	speedHalfLife = 3 * time.Second
	// leastPeers is how many other tasks of a group have to tell how long its tasks take, and leastPercent the progress from
	// which a run tells.
	leastPeers   = 3
	leastPercent = 5
	// leastRun is the shortest time from which the progress of a run is judged.
	leastRun = 500 * time.Millisecond
	// stuckAfter is how long a run may make no progress, beyond the estimate of its task.
	stuckAfter = 1200 * time.Millisecond
	// restartCost is what a run that is started again elsewhere loses, beside its progress.
	restartCost = time.Second
	// strandedUse is the part of its wish below which a filling task is moved, and leastMove what it must have left to do at
	// full pace.
	strandedUse = 0.35
	leastMove   = 600 * time.Millisecond
	// restartGain is how much of the estimate a restart must save.
	restartGain = 2.0
)

// judges tells whether the duration of a task shows the speed of its executor: filling tasks depend on what others leave.
func (t *task) judges() bool {
	return !t.step.Fills && !t.step.LongRunning && !t.step.Gang && t.step.EstimateMillis > 0
}

func (t *task) estimate() time.Duration {
	return time.Duration(t.step.EstimateMillis) * time.Millisecond
}

// projected returns how long the present run of a task takes in all, going by its progress; 0 while that isn't known.
func (t *task) projected() time.Duration {
	if t.phase != workflow.TaskAssigned || !t.listed || t.percent < leastPercent || t.node == nil || t.startedAt.IsZero() {
		return 0
	}
	return time.Duration(float64(t.node.listedAt.Sub(t.startedAt)) * 100 / t.percent)
}

// usual returns how long the tasks of a group take, as the median of those that have finished and the projections of those
// that run, without one of them. It returns 0 while too few are known. Estimates are off by a factor of ten at times, which
// says nothing of the executor.
func (g *group) usual(except *task) time.Duration {
	var durations []time.Duration
	for _, t := range g.tasks {
		d := t.duration
		if d == 0 {
			d = t.projected()
		}
		if t != except && d > 0 {
			durations = append(durations, d)
		}
	}
	if len(durations) < leastPeers {
		return 0
	}
	slices.Sort(durations)
	return durations[len(durations)/2]
}

// learnSpeed takes over how long a run took, compared with the other tasks of its group.
func (n *node) learnSpeed(t *task) {
	if !t.judges() || t.startedAt.IsZero() || t.saved != "" {
		return
	}
	t.duration = n.listedAt.Sub(t.startedAt)
	usual := t.group.usual(t)
	if usual == 0 {
		return
	}
	n.forgive(n.listedAt)
	n.slowness += speedWeight * (min(float64(t.duration)/float64(usual), slowest) - n.slowness)
}

// suspect takes over that a run has already taken longer than the executor is known for.
func (n *node) suspect(t *task, usual time.Duration) {
	if usual == 0 {
		return
	}
	n.forgive(n.listedAt)
	n.slowness = max(n.slowness, min(float64(n.listedAt.Sub(t.startedAt))/float64(usual), slowest))
}

// forgive lets the slowness of an executor fade.
func (n *node) forgive(now time.Time) {
	if n.slowness == 0 {
		n.slowness, n.slownessAt = usualSpeed, now
	}
	age := now.Sub(n.slownessAt)
	if age <= 0 {
		return
	}
	if n.slowness > usualSpeed {
		n.slowness = usualSpeed + (n.slowness-usualSpeed)*halved(age, speedHalfLife)
	}
	n.slownessAt = now
}

// isSlow tells whether starts go elsewhere if they can.
func (n *node) isSlow(now time.Time) bool {
	n.forgive(now)
	return n.slowness > slowFrom
}

// rescue stops runs that stand still, or that would end sooner if they began again on another executor.
func (e *Engine) rescue(now time.Time) {
	for _, n := range e.sortedNodes {
		if !n.known || now.Sub(n.listedAt) > staleLists {
			continue
		}
		for _, t := range e.assignedTasks[n.executorIncarnation] {
			switch {
			case !t.listed || t.stopRequested:
			case t.judges():
				e.rescueTask(t, n, now)
			case t.step.Fills && t.step.Checkpoints:
				e.rescueFilling(t, n, now)
			}
		}
	}
}

func (e *Engine) rescueTask(t *task, n *node, now time.Time) {
	// Reports that come late say nothing of the time since the executor made its lists.
	elapsed := n.listedAt.Sub(t.startedAt)
	if t.startedAt.IsZero() || elapsed < max(leastRun, t.estimate()) {
		return
	}
	usual := t.group.usual(t)
	n.suspect(t, usual)
	if usual == 0 && n.isSlow(now) {
		usual = time.Duration(float64(t.projected()) / n.slowness)
	}
	stuck := n.listedAt.Sub(t.progressedAt) > max(t.estimate(), usual)+stuckAfter
	slow := usual > 0 && t.projected()-elapsed > time.Duration(restartGain*float64(usual))+restartCost
	if !stuck && !slow {
		return
	}
	other := e.elsewhere(t, n, now)
	if other == nil || other.isSlow(now) {
		return
	}
	e.stop(t, "it stands still or is slow")
	t.avoidFor(n, now)
}

// rescueFilling moves a filling task with checkpoints that gets little of its executor, if another one has more for it: the
// last task of a step decides when its job ends.
func (e *Engine) rescueFilling(t *task, n *node, now time.Time) {
	if n.listedAt.Sub(t.startedAt) < sampleLag || t.usage >= strandedUse*float64(t.step.Need.MilliCores) {
		return
	}
	left := time.Duration((100 - t.percent) / 100 * float64(t.estimate()))
	if left < leastMove {
		return
	}
	if e.elsewhere(t, n, now) == nil {
		return
	}
	e.stop(t, "it gets little of its executor")
	t.avoidFor(n, now)
}

// avoidFor keeps the next start of a task away from an executor for a while.
func (t *task) avoidFor(n *node, now time.Time) {
	t.avoidedHost, t.avoidedUntil = n.name, now.Add(2*speedHalfLife)
}

// halved returns what is left of 1 after an age, given the time in which it halves.
func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
