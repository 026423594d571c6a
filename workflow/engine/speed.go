package engine

import (
	"math"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// normalSlowness is the slowness of a healthy executor.
	normalSlowness = 1.0
	// slowThreshold is the slowness above which an executor is avoided.
	slowThreshold = 2.5
	// maxSlowness bounds the slowness, so that an executor is used again soon after it has recovered.
	maxSlowness = 6.0
	// slownessSampleWeight is the weight of one finished run in an executor's moving average.
	slownessSampleWeight = 0.3
	// slownessHalfLife is the time in which the excess slowness of an executor halves. It has to decay with time, since
	// only tasks on the executor can show that it has recovered.
	slownessHalfLife = 3 * time.Second
	// minPeers is how many other tasks of a group are required to estimate the duration of its tasks, and minPercent
	// the progress from which a run counts.
	minPeers   = 3
	minPercent = 5
	// minElapsed is the minimum age of a run before its progress is evaluated.
	minElapsed = 500 * time.Millisecond
	// stallTimeout is how long a run may go without progress beyond the expected duration of its task.
	stallTimeout = 1200 * time.Millisecond
	// restartCost is the time that a restart on another executor costs in addition to the lost progress.
	restartCost = time.Second
	// starvedUsage is the fraction of its CPU request below which a best-effort task is moved, and minRemainingTime the
	// time that it must still need at full speed.
	starvedUsage     = 0.35
	minRemainingTime = 600 * time.Millisecond
	// minRestartGain is how much time a restart must save, in multiples of the task's typical duration.
	minRestartGain = 2.0
)

// indicatesSpeed reports whether the duration of a task shows the speed of its executor. That of a best-effort task
// depends on the CPU that others leave.
func (t *task) indicatesSpeed() bool {
	return !t.step.BestEffort && !t.step.LongRunning && !t.step.Gang && t.step.EstimateMillis > 0
}

func (t *task) estimate() time.Duration {
	return time.Duration(t.step.EstimateMillis) * time.Millisecond
}

// projectedDuration returns the total duration of a task's current run as projected from its progress; 0 if unknown.
func (t *task) projectedDuration() time.Duration {
	if t.phase != workflow.TaskAssigned || !t.listed || t.percent < minPercent || t.node == nil || t.startedAt.IsZero() {
		return 0
	}
	return time.Duration(float64(t.node.listedAt.Sub(t.startedAt)) * 100 / t.percent)
}

// typicalDuration returns the median duration of the tasks of a group except one, with projections for those that are
// still running. It returns 0 if too few durations are known. Estimates are not used, since they are sometimes off by a
// factor of ten, which says nothing about the executor.
func (g *group) typicalDuration(except *task) time.Duration {
	var durations []time.Duration
	for _, t := range g.tasks {
		d := t.duration
		if d == 0 {
			d = t.projectedDuration()
		}
		if t != except && d > 0 {
			durations = append(durations, d)
		}
	}
	if len(durations) < minPeers {
		return 0
	}
	slices.Sort(durations)
	return durations[len(durations)/2]
}

// medianDuration returns the median duration of the finished tasks of a group; 0 if none is known.
func (g *group) medianDuration() time.Duration {
	if g.medianOf == g.done {
		return g.median
	}
	var durations []time.Duration
	for _, t := range g.tasks {
		if t.duration > 0 {
			durations = append(durations, t.duration)
		}
	}
	g.medianOf, g.median = g.done, 0
	if len(durations) > 0 {
		slices.Sort(durations)
		g.median = durations[len(durations)/2]
	}
	return g.median
}

// recordDuration records the duration of a finished first run and updates the executor's slowness with it, compared with
// other tasks of its group.
func (n *node) recordDuration(t *task) {
	if t.startedAt.IsZero() || t.run > 1 || t.step.LongRunning {
		return
	}
	t.duration = n.listedAt.Sub(t.startedAt)
	if !t.indicatesSpeed() || t.saved != "" {
		return
	}
	usual := t.group.typicalDuration(t)
	if usual == 0 {
		return
	}
	n.decaySlowness(n.listedAt)
	n.slowness += slownessSampleWeight * (min(float64(t.duration)/float64(usual), maxSlowness) - n.slowness)
}

// recordSlowRun raises the executor's slowness if an unfinished run has already taken longer than it implies.
func (n *node) recordSlowRun(t *task, usual time.Duration) {
	if usual == 0 {
		return
	}
	n.decaySlowness(n.listedAt)
	n.slowness = max(n.slowness, min(float64(n.listedAt.Sub(t.startedAt))/float64(usual), maxSlowness))
}

// decaySlowness decays the excess slowness of an executor up to the given time.
func (n *node) decaySlowness(now time.Time) {
	if n.slowness == 0 {
		n.slowness, n.slownessAt = normalSlowness, now
	}
	age := now.Sub(n.slownessAt)
	if age <= 0 {
		return
	}
	if n.slowness > normalSlowness {
		n.slowness = normalSlowness + (n.slowness-normalSlowness)*decayFactor(age, slownessHalfLife)
	}
	n.slownessAt = now
}

// isSlow reports whether starts should prefer other executors.
func (n *node) isSlow(now time.Time) bool {
	n.decaySlowness(now)
	return n.slowness > slowThreshold
}

// restartSlowRuns stops runs that make no progress, or that would finish sooner if restarted on another executor.
func (e *Engine) restartSlowRuns(now time.Time) {
	for _, n := range e.sortedNodes {
		if !n.known || now.Sub(n.listedAt) > maxListAge {
			continue
		}
		for _, t := range e.tasksWithRun[n.executorIncarnation] {
			switch {
			case !t.listed || t.stopRequested:
			case t.indicatesSpeed():
				e.restartIfSlow(t, n, now)
			case t.isMovable():
				e.moveIfStarved(t, n, now)
			}
		}
	}
}

func (e *Engine) restartIfSlow(t *task, n *node, now time.Time) {
	// The age is taken at the time of the executor's lists: a late report says nothing about the time after them.
	elapsed := n.listedAt.Sub(t.startedAt)
	if t.startedAt.IsZero() || elapsed < max(minElapsed, t.estimate()) {
		return
	}
	usual := t.group.typicalDuration(t)
	n.recordSlowRun(t, usual)
	if usual == 0 && n.isSlow(now) {
		usual = time.Duration(float64(t.projectedDuration()) / n.slowness)
	}
	stuck := n.listedAt.Sub(t.progressedAt) > max(t.estimate(), usual)+stallTimeout
	slow := usual > 0 && t.projectedDuration()-elapsed > time.Duration(minRestartGain*float64(usual))+restartCost
	if !stuck && !slow {
		return
	}
	other := e.alternativeNode(t, n, now)
	if other == nil || other.isSlow(now) {
		return
	}
	e.requestStop(t, "it stands still or is slow")
	t.avoidNode(n, now)
}

// moveIfStarved moves a best-effort task with checkpoints that gets little CPU, if another executor has more for it:
// the last task of a step determines when its job ends.
func (e *Engine) moveIfStarved(t *task, n *node, now time.Time) {
	if n.listedAt.Sub(t.startedAt) < sampleLag || t.usage >= starvedUsage*float64(t.step.Need.MilliCores) {
		return
	}
	remaining := time.Duration((100 - t.percent) / 100 * float64(t.estimate()))
	if remaining < minRemainingTime {
		return
	}
	if e.alternativeNode(t, n, now) == nil {
		return
	}
	e.requestStop(t, "it gets little of its executor")
	t.avoidNode(n, now)
}

// avoidNode prevents starts of a task on a node for twice the slowness half-life.
func (t *task) avoidNode(n *node, now time.Time) {
	t.avoidedHost, t.avoidedUntil = n.name, now.Add(2*slownessHalfLife)
}

// decayFactor returns the factor by which a value has decayed at an age.
func decayFactor(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
