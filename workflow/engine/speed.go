package engine

import (
	"math"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// normalSlowness is the share of its estimate that a task takes on a sound executor.
	normalSlowness = 1.0
	// slowThreshold is the share of estimates from which an executor is avoided.
	slowThreshold = 2.5
	// maxSlowness bounds what is remembered, so that an executor that has recovered is used again soon.
	maxSlowness = 6.0
	// slownessSampleWeight is the weight of one end in the mean of an executor.
	slownessSampleWeight = 0.3
	// slownessHalfLife is the time in which a slow executor is forgiven half of it, since only tasks on it can show that it
	// has recovered.
	slownessHalfLife = 3 * time.Second
	// minPeers is how many other tasks of a group have to tell how long its tasks take, and leastPercent the progress from
	// which a run tells.
	minPeers   = 3
	minPercent = 5
	// minElapsed is the shortest time from which the progress of a run is judged.
	minElapsed = 500 * time.Millisecond
	// stallTimeout is how long a run may make no progress, beyond the estimate of its task.
	stallTimeout = 1200 * time.Millisecond
	// restartCost is what a run that is started again elsewhere loses, beside its progress.
	restartCost = time.Second
	// starvedUsage is the part of its wish below which a filling task is moved, and leastMove what it must have left to do at
	// full pace.
	starvedUsage     = 0.35
	minRemainingTime = 600 * time.Millisecond
	// minRestartGain is how much of the estimate a restart must save.
	minRestartGain = 2.0
)

// indicatesSpeed tells whether the duration of a task shows the speed of its executor: filling tasks depend on what others leave.
func (t *task) indicatesSpeed() bool {
	return !t.step.BestEffort && !t.step.LongRunning && !t.step.Gang && t.step.EstimateMillis > 0
}

func (t *task) estimate() time.Duration {
	return time.Duration(t.step.EstimateMillis) * time.Millisecond
}

// projectedDuration returns how long the present run of a task takes in all, going by its progress; 0 while that isn't known.
func (t *task) projectedDuration() time.Duration {
	if t.phase != workflow.TaskAssigned || !t.listed || t.percent < minPercent || t.node == nil || t.startedAt.IsZero() {
		return 0
	}
	return time.Duration(float64(t.node.listedAt.Sub(t.startedAt)) * 100 / t.percent)
}

// typicalDuration returns how long the tasks of a group take, as the median of those that have finished and the projections of those
// that run, without one of them. It returns 0 while too few are known. Estimates are off by a factor of ten at times, which
// says nothing of the executor.
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

// recordDuration takes over how long a run took, compared with the other tasks of its group.
func (n *node) recordDuration(t *task) {
	if !t.indicatesSpeed() || t.startedAt.IsZero() || t.saved != "" {
		return
	}
	t.duration = n.listedAt.Sub(t.startedAt)
	usual := t.group.typicalDuration(t)
	if usual == 0 {
		return
	}
	n.decaySlowness(n.listedAt)
	n.slowness += slownessSampleWeight * (min(float64(t.duration)/float64(usual), maxSlowness) - n.slowness)
}

// recordSlowRun takes over that a run has already taken longer than the executor is known for.
func (n *node) recordSlowRun(t *task, usual time.Duration) {
	if usual == 0 {
		return
	}
	n.decaySlowness(n.listedAt)
	n.slowness = max(n.slowness, min(float64(n.listedAt.Sub(t.startedAt))/float64(usual), maxSlowness))
}

// decaySlowness lets the slowness of an executor fade.
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

// isSlow tells whether starts go elsewhere if they can.
func (n *node) isSlow(now time.Time) bool {
	n.decaySlowness(now)
	return n.slowness > slowThreshold
}

// restartSlowRuns stops runs that stand still, or that would end sooner if they began again on another executor.
func (e *Engine) restartSlowRuns(now time.Time) {
	for _, n := range e.sortedNodes {
		if !n.known || now.Sub(n.listedAt) > maxListAge {
			continue
		}
		for _, t := range e.assignedTasks[n.executorIncarnation] {
			switch {
			case !t.listed || t.stopRequested:
			case t.indicatesSpeed():
				e.restartIfSlow(t, n, now)
			case t.step.BestEffort && t.step.Checkpoints:
				e.moveIfStarved(t, n, now)
			}
		}
	}
}

func (e *Engine) restartIfSlow(t *task, n *node, now time.Time) {
	// Reports that come late say nothing of the time since the executor made its lists.
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

// moveIfStarved moves a filling task with checkpoints that gets little of its executor, if another one has more for it: the
// last task of a step decides when its job ends.
func (e *Engine) moveIfStarved(t *task, n *node, now time.Time) {
	if n.listedAt.Sub(t.startedAt) < sampleLag || t.usage >= starvedUsage*float64(t.step.Need.MilliCores) {
		return
	}
	left := time.Duration((100 - t.percent) / 100 * float64(t.estimate()))
	if left < minRemainingTime {
		return
	}
	if e.alternativeNode(t, n, now) == nil {
		return
	}
	e.requestStop(t, "it gets little of its executor")
	t.avoidNode(n, now)
}

// avoidNode keeps the next start of a task away from an executor for a while.
func (t *task) avoidNode(n *node, now time.Time) {
	t.avoidedHost, t.avoidedUntil = n.name, now.Add(2*slownessHalfLife)
}

// decayFactor returns what is left of 1 after an age, given the time in which it halves.
func decayFactor(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
