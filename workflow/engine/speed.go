package engine

import (
	"math"
	"time"
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
	// leastRun is the shortest time from which the progress of a run is judged.
	leastRun = 500 * time.Millisecond
	// stuckAfter is how long a run may make no progress, beyond the estimate of its task.
	stuckAfter = 1200 * time.Millisecond
	// restartCost is what a run that is started again elsewhere loses, beside its progress.
	restartCost = time.Second
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

// learnSpeed takes over how long a run took.
func (n *node) learnSpeed(t *task, now time.Time) {
	if !t.judges() || t.startedAt.IsZero() || t.saved != "" {
		return
	}
	n.forgive(now)
	took := float64(now.Sub(t.startedAt)) / float64(t.estimate())
	n.slowness += speedWeight * (min(took, slowest) - n.slowness)
}

// suspect takes over that a run has already taken longer than the executor is known for.
func (n *node) suspect(t *task, now time.Time) {
	if !t.judges() || t.startedAt.IsZero() || !t.listed {
		return
	}
	n.forgive(now)
	n.slowness = max(n.slowness, min(float64(n.answered.Sub(t.startedAt))/float64(t.estimate()), slowest))
}

// forgive lets the slowness of an executor fade.
func (n *node) forgive(now time.Time) {
	if n.slowness == 0 {
		n.slowness, n.speedAt = usualSpeed, now
	}
	if age := now.Sub(n.speedAt); n.slowness > usualSpeed && age > 0 {
		n.slowness = usualSpeed + (n.slowness-usualSpeed)*halved(age, speedHalfLife)
	}
	n.speedAt = now
}

// isSlow tells whether starts go elsewhere if they can.
func (n *node) isSlow(now time.Time) bool {
	n.forgive(now)
	return n.slowness > slowFrom
}

// rescue stops runs that stand still, or that would end sooner if they began again on another executor.
func (e *Engine) rescue(now time.Time) {
	for _, n := range e.fleet {
		if !n.known || now.Sub(n.answered) > staleLists {
			continue
		}
		for _, t := range e.assigned[n.life] {
			if t.listed && !t.stopWanted && t.judges() {
				n.suspect(t, now)
				e.rescueTask(t, n, now)
			}
		}
	}
}

func (e *Engine) rescueTask(t *task, n *node, now time.Time) {
	// Reports that come late say nothing of the time since the executor made its lists.
	elapsed := n.answered.Sub(t.startedAt)
	if t.startedAt.IsZero() || elapsed < max(leastRun, t.estimate()) {
		return
	}
	stuck := n.answered.Sub(t.movedAt) > t.estimate()+stuckAfter
	slow := false
	if t.percent > 0 {
		left := time.Duration(float64(elapsed) * (100 - t.percent) / t.percent)
		slow = left > time.Duration(restartGain*float64(t.estimate()))+restartCost
	}
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

// avoidFor keeps the next start of a task away from an executor for a while.
func (t *task) avoidFor(n *node, now time.Time) {
	t.shunned, t.shunnedUntil = n.name, now.Add(2*speedHalfLife)
}

// halved returns what is left of 1 after an age, given the time in which it halves.
func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
