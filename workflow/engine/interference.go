package engine

import (
	"math"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler/interference"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// sampleInterval is how often the latencies of an executor's serving tasks change.
	sampleInterval = 450 * time.Millisecond
	// shareResolution rounds the processor shares of images, whose measurements are rough.
	shareResolution = 0.01
	// defaultLoss is the headroom that an image for a whole executor is assumed to take until it is known. It admits about
	// one task at a time beside a serving one.
	defaultLoss = 4.0
	// baselineSample is an undisturbed sample; the headroom that a serving task has lost is added to 1.
	baselineSample = 100.0
	// admissionThreshold is the part of the bound of a serving task's latency up to which filling tasks are placed beside it.
	admissionThreshold = 0.75
	// evictionThreshold is the part of that bound from which filling tasks are moved away.
	evictionThreshold = 0.85
	// sampleLag is how long a started task doesn't show in the latencies.
	sampleLag = 1200 * time.Millisecond
	// evictionInterval is the least time between two tasks that are moved away from one executor.
	evictionInterval = time.Second
	// lightLoss is below what an image takes that is better placed beside serving tasks, so that the executors without
	// any are left to others.
	lightLoss = 1.0
	// defaultHeadroom is assumed of an undisturbed serving task.
	defaultHeadroom = 2.5
)

// newInterference returns the model of the headroom that filling tasks take from serving ones. Samples are fresh when they
// arrive, so nothing has to settle. No pair of images is blocked, since a block ends with the pair unknown: placement goes
// by the estimates.
func newInterference() *interference.Model {
	return interference.New(interference.Config{
		HalfLife: 30 * time.Second, MinSamples: 1, Settle: time.Nanosecond, Limit: math.Inf(1),
	})
}

// sampleLatencies teaches the model what the rows of a report show.
func (e *Engine) sampleLatencies(n *node, now time.Time) {
	if now.Sub(n.sampledAt) < sampleInterval {
		return
	}
	n.sampledAt = now
	capacity := float64(n.executor.Capacity.MilliCores)
	if n.servingCount == 0 || capacity == 0 {
		return
	}
	shares := map[string]float64{}
	tasks := e.assignedTasks[n.executorIncarnation]
	for _, t := range tasks {
		if t.step.BestEffort && t.listed {
			shares[t.step.Image] += t.usage / capacity
		}
	}
	var loads []interference.Load
	for image, share := range shares {
		if share = math.Round(share/shareResolution) * shareResolution; share > 0 {
			loads = append(loads, interference.Load{Class: image, Share: share})
		}
	}
	e.interference.SetLoads(n.name, loads, now.Add(-time.Millisecond))
	for _, t := range tasks {
		if t.step.TargetMillis == 0 || !t.listed || t.usage == 0 || now.Sub(t.startedAt) < sampleLag {
			continue
		}
		if base, ok := t.baselineLatency(n, now); ok || len(loads) == 0 {
			lost := max(t.headroomAt(base)-t.headroomAt(t.usage), 0)
			e.interference.Observe(n.name, t.step.Image, baselineSample*(1+lost), 0, now)
		}
	}
}

// headroomAt returns the bound of a serving task's latency by a latency. A queue's latency is the inverse of the capacity
// that its load leaves, so that headroom falls in proportion to what disturbs the task, while latency grows without bound.
func (t *task) headroomAt(millis float64) float64 {
	return float64(t.step.TargetMillis) / max(millis, 1)
}

// lowestLatency is the lowest latency of the tasks of a group; millis is 0 while none is known.
type lowestLatency struct {
	millis float64
	// node is where one of the tasks runs that have a latency, spread tells that another runs elsewhere.
	node   *node
	spread bool
}

// lowestLatencyAt returns the lowest latency of the group's tasks. It is kept for calls at the same time.
func (g *group) lowestLatencyAt(now time.Time) lowestLatency {
	if g.lowestAt.Equal(now) {
		return g.lowest
	}
	q := lowestLatency{}
	for _, t := range g.tasks {
		if t.node == nil || !t.listed || t.usage == 0 {
			continue
		}
		if q.node == nil {
			q.millis, q.node = t.usage, t.node
		}
		q.spread = q.spread || t.node != q.node
		q.millis = min(q.millis, t.usage)
	}
	g.lowest, g.lowestAt = q, now
	return q
}

// baselineLatency returns the latency that a serving task would have without filling tasks: the lowest among the tasks of
// its step, which share its load. It returns false if all of them are on the same executor.
func (t *task) baselineLatency(n *node, now time.Time) (millis float64, ok bool) {
	q := t.group.lowestLatencyAt(now)
	if q.node == nil {
		return max(t.usage, 1), false
	}
	return max(min(t.usage, q.millis), 1), q.spread || q.node != n
}

// headroomLoss returns the headroom that an executor full of an image takes from a serving task of another one.
func (e *Engine) headroomLoss(serving, image string) float64 {
	estimate := e.interference.Estimate(serving, image)
	if !estimate.Known {
		return max(defaultLoss, estimate.Slowdown-1)
	}
	return estimate.Slowdown - 1
}

// maxHeadroomLoss returns the most headroom that a full executor of an image would take from the serving tasks of a node.
func (e *Engine) maxHeadroomLoss(n *node, image string) float64 {
	most := 0.0
	for _, serving := range n.servingImages {
		most = max(most, e.headroomLoss(serving.image, image))
	}
	return most
}

// HeadroomLosses returns the headroom that the images that fill the executor of a node take, as far as it is known, by the images
// that serve there.
func (e *Engine) HeadroomLosses(node string) map[string]map[string]float64 {
	n := e.nodes[node]
	if n == nil || !n.known || n.servingCount == 0 || n.bestEffortDemand == 0 {
		return nil
	}
	known := map[string]map[string]float64{}
	for _, serving := range e.assignedTasks[n.executorIncarnation] {
		if serving.step.TargetMillis == 0 || known[serving.step.Image] != nil {
			continue
		}
		row := map[string]float64{}
		known[serving.step.Image] = row
		for _, t := range e.assignedTasks[n.executorIncarnation] {
			if estimate := e.interference.Estimate(serving.step.Image, t.step.Image); t.step.BestEffort && estimate.Known {
				row[t.step.Image] = estimate.Slowdown - 1
			}
		}
	}
	return known
}

// expectedHeadroom returns what is expected of a serving task: what it has, less what the tasks take that started just now, and at
// most what it would have if all filling tasks beside it worked at full pace.
func (e *Engine) expectedHeadroom(n *node, serving *task, now time.Time) float64 {
	left := defaultHeadroom
	if serving.listed && serving.usage > 0 {
		left = serving.headroomAt(serving.usage)
	}
	base, known := serving.baselineLatency(n, now)
	full := serving.headroomAt(base)
	for _, t := range e.assignedTasks[n.executorIncarnation] {
		if !t.step.BestEffort {
			continue
		}
		takes := e.headroomLoss(serving.step.Image, t.step.Image) * cpuShare(t.step, n)
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

func cpuShare(step *workflow.Step, n *node) float64 {
	return float64(step.Need.MilliCores) / float64(max(n.executor.Capacity.MilliCores, 1))
}

// canAdmitBestEffort tells whether the serving tasks of an executor bear a further filling one.
func (e *Engine) canAdmitBestEffort(n *node, step *workflow.Step, now time.Time) bool {
	if n.servingCount == 0 {
		return true
	}
	for _, serving := range e.leastHeadrooms(n, now) {
		if serving.headroom-e.headroomLoss(serving.image, step.Image)*cpuShare(step, n) < 1/admissionThreshold {
			return false
		}
	}
	return true
}

// imageHeadroom is the least headroom of the serving tasks of an image on one executor.
type imageHeadroom struct {
	image    string
	headroom float64
}

// leastHeadrooms returns the headroom of each serving image on an executor. It is kept for calls at the same time, until the
// tasks there change.
func (e *Engine) leastHeadrooms(n *node, now time.Time) []imageHeadroom {
	if n.headroomsAt.Equal(now) {
		return n.headrooms
	}
	n.headrooms, n.headroomsAt = n.headrooms[:0], now
	for _, t := range e.assignedTasks[n.executorIncarnation] {
		if t.step.TargetMillis == 0 {
			continue
		}
		left := e.expectedHeadroom(n, t, now)
		i := slices.IndexFunc(n.headrooms, func(h imageHeadroom) bool { return h.image == t.step.Image })
		if i < 0 {
			n.headrooms = append(n.headrooms, imageHeadroom{t.step.Image, left})
			continue
		}
		n.headrooms[i].headroom = min(n.headrooms[i].headroom, left)
	}
	return n.headrooms
}

// evictBestEffort stops the filling task that disturbs a serving one most, where it keeps its progress and another executor has
// room for it.
func (e *Engine) evictBestEffort(now time.Time) {
	for _, n := range e.sortedNodes {
		if !n.known || n.servingCount == 0 || n.bestEffortDemand == 0 || now.Sub(n.bestEffortEvictedAt) < evictionInterval || !e.isDisturbed(n) {
			continue
		}
		worst := e.mostDisturbing(n)
		if worst == nil || !n.executor.Unpaced && e.alternativeNode(worst, n, now) == nil {
			continue
		}
		n.bestEffortEvictedAt = now
		e.requestStop(worst, "it slows a serving task down")
	}
}

func (e *Engine) isDisturbed(n *node) bool {
	for _, t := range e.assignedTasks[n.executorIncarnation] {
		if t.step.TargetMillis > 0 && t.usage >= evictionThreshold*float64(t.step.TargetMillis) {
			return true
		}
	}
	return false
}

// mostDisturbing returns the filling task with checkpoints that adds most to the latencies on an executor.
func (e *Engine) mostDisturbing(n *node) *task {
	var worst *task
	most := 0.0
	for _, t := range e.assignedTasks[n.executorIncarnation] {
		if !t.step.BestEffort || !t.step.Checkpoints || t.stopRequested || !t.listed {
			continue
		}
		if adds := e.maxHeadroomLoss(n, t.step.Image) * cpuShare(t.step, n); adds > most {
			worst, most = t, adds
		}
	}
	return worst
}

// alternativeNode returns another executor that would take a task now, or nil.
func (e *Engine) alternativeNode(t *task, from *node, now time.Time) *node {
	p := &placementRequest{engine: e, queue: e.queueOf(t.job), task: t, now: now}
	for _, n := range e.sortedNodes {
		if n != from && n.known && p.admits(n) && p.admitsTask(t, n) {
			return n
		}
	}
	return nil
}
