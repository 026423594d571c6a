package engine

import (
	"math"
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler/interference"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// sampleInterval is how often the latencies of an executor's serving tasks change.
	sampleInterval = 450 * time.Millisecond
	// shareStep rounds the processor shares of images, whose measurements are rough.
	shareStep = 0.01
	// unknownLoss is the headroom that an image for a whole executor is assumed to take until it is known. It admits about
	// one task at a time beside a serving one.
	unknownLoss = 4.0
	// normalSample is an undisturbed sample; the headroom that a serving task has lost is added to 1.
	normalSample = 100.0
	// bearable is the part of the bound of a serving task's latency up to which filling tasks are placed beside it.
	bearable = 0.75
	// disturbed is the part of that bound from which filling tasks are moved away.
	disturbed = 0.85
	// sampleLag is how long a started task doesn't show in the latencies.
	sampleLag = 1200 * time.Millisecond
	// moveInterval is the least time between two tasks that are moved away from one executor.
	moveInterval = time.Second
	// lightLoss is below what an image takes that is better placed beside serving tasks, so that the executors without
	// any are left to others.
	lightLoss = 1.0
	// usualHeadroom is assumed of an undisturbed serving task.
	usualHeadroom = 2.5
)

// newInterference returns the model of the headroom that filling tasks take from serving ones. Samples are fresh when they
// arrive, so nothing has to settle. No pair of images is blocked, since a block ends with the pair unknown: placement goes
// by the estimates.
func newInterference() *interference.Model {
	return interference.New(interference.Config{
		HalfLife: 30 * time.Second, MinSamples: 1, Settle: time.Nanosecond, Limit: math.Inf(1),
	})
}

// sample teaches the model what the rows of a report show.
func (e *Engine) sample(n *node, now time.Time) {
	if now.Sub(n.sampled) < sampleInterval {
		return
	}
	n.sampled = now
	capacity := float64(n.executor.Capacity.MilliCores)
	if n.serving == 0 || capacity == 0 {
		return
	}
	shares := map[string]float64{}
	tasks := e.assignedTo(n.executor.Life())
	for _, t := range tasks {
		if t.step.Fills && t.listed {
			shares[t.step.Image] += t.usage / capacity
		}
	}
	var loads []interference.Load
	for image, share := range shares {
		if share = math.Round(share/shareStep) * shareStep; share > 0 {
			loads = append(loads, interference.Load{Class: image, Share: share})
		}
	}
	e.interference.SetLoads(n.name, loads, now.Add(-time.Millisecond))
	for _, t := range tasks {
		if t.step.TargetMillis == 0 || !t.listed || t.usage == 0 || now.Sub(t.startedAt) < sampleLag {
			continue
		}
		if base, ok := t.undisturbed(n); ok || len(loads) == 0 {
			lost := max(t.headroomAt(base)-t.headroomAt(t.usage), 0)
			e.interference.Observe(n.name, t.step.Image, normalSample*(1+lost), 0, now)
		}
	}
}

// headroomAt returns the bound of a serving task's latency by a latency. A queue's latency is the inverse of the capacity
// that its load leaves, so that headroom falls in proportion to what disturbs the task, while latency grows without bound.
func (t *task) headroomAt(millis float64) float64 {
	return float64(t.step.TargetMillis) / max(millis, 1)
}

// undisturbed returns the latency that a serving task would have without filling tasks: the lowest among the tasks of
// its step, which share its load. It returns false if all of them are on the same executor.
func (t *task) undisturbed(n *node) (millis float64, ok bool) {
	millis = t.usage
	for _, other := range t.group.tasks {
		if other.node == nil || !other.listed || other.usage == 0 {
			continue
		}
		ok = ok || other.node != n
		millis = min(millis, other.usage)
	}
	return max(millis, 1), ok
}

// loss returns the headroom that an executor full of an image takes from a serving task.
func (e *Engine) loss(serving *task, image string) float64 {
	estimate := e.interference.Estimate(serving.step.Image, image)
	if !estimate.Known {
		return max(unknownLoss, estimate.Slowdown-1)
	}
	return estimate.Slowdown - 1
}

// heaviness returns the most headroom that a full executor of an image would take from the serving tasks of a node.
func (e *Engine) heaviness(n *node, image string) float64 {
	most := 0.0
	for t := range e.assigned[n.executor.Life()] {
		if t.step.TargetMillis > 0 {
			most = max(most, e.loss(t, image))
		}
	}
	return most
}

// Losses returns the headroom that the images that fill the executor of a node take, as far as it is known, by the images
// that serve there.
func (e *Engine) Losses(node string) map[string]map[string]float64 {
	n := e.nodes[node]
	if n == nil || !n.known || n.serving == 0 || n.filling == 0 {
		return nil
	}
	known := map[string]map[string]float64{}
	for serving := range e.assigned[n.executor.Life()] {
		if serving.step.TargetMillis == 0 || known[serving.step.Image] != nil {
			continue
		}
		row := map[string]float64{}
		known[serving.step.Image] = row
		for t := range e.assigned[n.executor.Life()] {
			if estimate := e.interference.Estimate(serving.step.Image, t.step.Image); t.step.Fills && estimate.Known {
				row[t.step.Image] = estimate.Slowdown - 1
			}
		}
	}
	return known
}

// headroom returns what is expected of a serving task: what it has, less what the tasks take that started just now, and at
// most what it would have if all filling tasks beside it worked at full pace.
func (e *Engine) headroom(n *node, serving *task, now time.Time) float64 {
	left := usualHeadroom
	if serving.listed && serving.usage > 0 {
		left = serving.headroomAt(serving.usage)
	}
	base, known := serving.undisturbed(n)
	full := serving.headroomAt(base)
	for t := range e.assigned[n.executor.Life()] {
		if !t.step.Fills {
			continue
		}
		takes := e.loss(serving, t.step.Image) * share(t.step, n)
		full -= takes
		if now.Sub(t.startedAt) < sampleLag {
			left -= takes
		}
	}
	if known {
		left = min(left, full)
	}
	return left
}

func share(step *workflow.Step, n *node) float64 {
	return float64(step.Need.MilliCores) / float64(max(n.executor.Capacity.MilliCores, 1))
}

// bears tells whether the serving tasks of an executor bear a further filling one.
func (e *Engine) bears(n *node, step *workflow.Step, now time.Time) bool {
	if n.serving == 0 {
		return true
	}
	for t := range e.assigned[n.executor.Life()] {
		if t.step.TargetMillis == 0 {
			continue
		}
		if e.headroom(n, t, now)-e.loss(t, step.Image)*share(step, n) < 1/bearable {
			return false
		}
	}
	return true
}

// relieve stops the filling task that disturbs a serving one most, where it keeps its progress and another executor has
// room for it.
func (e *Engine) relieve(now time.Time) {
	for _, n := range e.nodes {
		if !n.known || n.serving == 0 || n.filling == 0 || now.Sub(n.relieved) < moveInterval || !e.isDisturbed(n) {
			continue
		}
		worst := e.heaviest(n)
		if worst == nil || e.elsewhere(worst, n, now) == nil {
			continue
		}
		n.relieved = now
		worst.stop("it slows a serving task down")
	}
}

func (e *Engine) isDisturbed(n *node) bool {
	for t := range e.assigned[n.executor.Life()] {
		if t.step.TargetMillis > 0 && t.usage >= disturbed*float64(t.step.TargetMillis) {
			return true
		}
	}
	return false
}

// heaviest returns the filling task with checkpoints that adds most to the latencies on an executor.
func (e *Engine) heaviest(n *node) *task {
	var worst *task
	most := 0.0
	for _, t := range e.assignedTo(n.executor.Life()) {
		if !t.step.Fills || !t.step.Checkpoints || t.stopWanted || !t.listed {
			continue
		}
		if adds := e.heaviness(n, t.step.Image) * share(t.step, n); adds > most {
			worst, most = t, adds
		}
	}
	return worst
}

// elsewhere returns another executor that would take a task now, or nil.
func (e *Engine) elsewhere(t *task, from *node, now time.Time) *node {
	p := &placement{engine: e, queue: e.queueOf(t.job), task: t, now: now}
	for _, n := range e.nodes {
		if n != from && n.known && p.admits(n) {
			return n
		}
	}
	return nil
}
