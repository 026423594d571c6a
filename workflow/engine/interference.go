package engine

import (
	"math"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler/interference"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// sampleInterval is the minimum time between latency samples of an executor; the latencies of its serving tasks
	// change about as often.
	sampleInterval = 450 * time.Millisecond
	// shareResolution is the step to which CPU shares of images are rounded, since their measurements are imprecise.
	shareResolution = 0.01
	// baselineSample is the sample of an undisturbed serving task. With lost headroom, the sample is baselineSample
	// times one plus the loss.
	baselineSample = 100.0
	// evictionThreshold is the fraction of a serving task's latency target from which best-effort tasks are evicted.
	evictionThreshold = 0.85
	// sampleLag is the time until a started task shows in the latencies.
	sampleLag = 1200 * time.Millisecond
	// evictionInterval is the minimum time between two evictions from one executor.
	evictionInterval = time.Second
	// defaultHeadroom is the assumed headroom of an undisturbed serving task.
	defaultHeadroom = 2.5
)

// newInterference returns the model of the headroom that best-effort tasks take from serving tasks. Samples are fresh
// when they arrive, so there is no settling time. The limit is infinite, so that no pair of images is blocked: at the
// end of a block the pair would count as unknown. Placement uses the estimates instead.
func newInterference() *interference.Model {
	return interference.New(interference.Config{
		HalfLife: 30 * time.Second, MinSamples: 1, SettleTime: time.Nanosecond, Limit: math.Inf(1),
	})
}

// sampleLatencies passes the CPU shares and latencies that an executor last listed to the interference model.
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
	tasks := e.tasksWithRun[n.executorIncarnation]
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
			lostHeadroom := max(t.headroomAt(base)-t.headroomAt(t.usage), 0)
			e.interference.Observe(n.name, t.step.Image, baselineSample*(1+lostHeadroom), 0, now)
		}
	}
}

// headroomAt returns a serving task's latency target divided by a latency. The latency of a queue is the inverse of the
// capacity that its load leaves, so headroom falls in proportion to the disturbance, while latency grows without bound.
func (t *task) headroomAt(millis float64) float64 {
	return float64(t.step.TargetMillis) / max(millis, 1)
}

// lowestLatency is the lowest latency of a group's tasks; millis is 0 if unknown.
type lowestLatency struct {
	millis float64
	// node runs one of the tasks with a known latency; spread is set if another such task runs on a different node.
	node   *node
	spread bool
}

// lowestLatencyAt returns the lowest latency of the group's tasks. The result is cached for calls with the same time.
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

// baselineLatency returns the latency that a serving task would have without best-effort tasks: the lowest among the
// tasks of its step, which share its load. ok is false if all of them are on the same executor.
func (t *task) baselineLatency(n *node, now time.Time) (millis float64, ok bool) {
	q := t.group.lowestLatencyAt(now)
	if q.node == nil {
		return max(t.usage, 1), false
	}
	return max(min(t.usage, q.millis), 1), q.spread || q.node != n
}

// headroomLoss returns the headroom that an image, at full use of an executor, takes from a serving task of another
// image.
func (e *Engine) headroomLoss(serving, image string) float64 {
	estimate := e.interference.Estimate(serving, image)
	if !estimate.Known {
		return max(workflow.DefaultHeadroomLoss, estimate.Slowdown-1)
	}
	return estimate.Slowdown - 1
}

// maxHeadroomLoss returns the largest headroom loss that an image, at full use of the executor, causes to any serving
// task of a node.
func (e *Engine) maxHeadroomLoss(n *node, image string) float64 {
	maxLoss := 0.0
	for _, serving := range n.servingImages {
		maxLoss = max(maxLoss, e.headroomLoss(serving.image, image))
	}
	return maxLoss
}

// HeadroomLosses returns the known headroom losses on a node's executor: by serving image, then by best-effort image.
func (e *Engine) HeadroomLosses(node string) map[string]map[string]float64 {
	n := e.nodes[node]
	if n == nil || !n.known || n.servingCount == 0 || n.bestEffortDemand == 0 {
		return nil
	}
	known := map[string]map[string]float64{}
	for _, serving := range e.tasksWithRun[n.executorIncarnation] {
		if serving.step.TargetMillis == 0 || known[serving.step.Image] != nil {
			continue
		}
		row := map[string]float64{}
		known[serving.step.Image] = row
		for _, t := range e.tasksWithRun[n.executorIncarnation] {
			if estimate := e.interference.Estimate(serving.step.Image, t.step.Image); t.step.BestEffort && estimate.Known {
				row[t.step.Image] = estimate.Slowdown - 1
			}
		}
	}
	return known
}

// expectedHeadroom returns the expected headroom of a serving task: its current headroom less the losses by tasks
// started within sampleLag, but at most its headroom if all best-effort tasks on the executor used their full requests.
func (e *Engine) expectedHeadroom(n *node, serving *task, now time.Time) float64 {
	current := defaultHeadroom
	if serving.listed && serving.usage > 0 {
		current = serving.headroomAt(serving.usage)
	}
	baseline, known := serving.baselineLatency(n, now)
	atFullDemand := serving.headroomAt(baseline)
	for _, t := range e.tasksWithRun[n.executorIncarnation] {
		if !t.step.BestEffort {
			continue
		}
		loss := e.headroomLoss(serving.step.Image, t.step.Image) * cpuShare(t.step, n)
		atFullDemand -= loss
		if now.Sub(t.startedAt) < sampleLag {
			current -= loss
		}
	}
	if known {
		current = min(current, atFullDemand)
	}
	return current
}

func cpuShare(step *workflow.Step, n *node) float64 {
	return float64(step.Need.MilliCores) / float64(max(n.executor.Capacity.MilliCores, 1))
}

// canAdmitBestEffort reports whether all serving tasks of an executor keep enough headroom if a best-effort task is
// added.
func (e *Engine) canAdmitBestEffort(n *node, step *workflow.Step, now time.Time) bool {
	if n.servingCount == 0 {
		return true
	}
	for _, serving := range e.leastHeadrooms(n, now) {
		if serving.headroom-e.headroomLoss(serving.image, step.Image)*cpuShare(step, n) < 1/e.pressure.threshold() {
			return false
		}
	}
	return true
}

// imageHeadroom is the lowest headroom of the serving tasks of an image on one executor.
type imageHeadroom struct {
	image    string
	headroom float64
}

// leastHeadrooms returns the lowest headroom of each serving image on an executor. The result is cached for calls with
// the same time until the tasks on the executor change.
func (e *Engine) leastHeadrooms(n *node, now time.Time) []imageHeadroom {
	if n.headroomsAt.Equal(now) {
		return n.headrooms
	}
	n.headrooms, n.headroomsAt = n.headrooms[:0], now
	for _, t := range e.tasksWithRun[n.executorIncarnation] {
		if t.step.TargetMillis == 0 {
			continue
		}
		headroom := e.expectedHeadroom(n, t, now)
		i := slices.IndexFunc(n.headrooms, func(h imageHeadroom) bool { return h.image == t.step.Image })
		if i < 0 {
			n.headrooms = append(n.headrooms, imageHeadroom{t.step.Image, headroom})
			continue
		}
		n.headrooms[i].headroom = min(n.headrooms[i].headroom, headroom)
	}
	return n.headrooms
}

// evictBestEffort stops the most disturbing best-effort task on each executor where a serving task is near its latency
// target. The task must have checkpoints and, unless the executor can't pace, another executor with room for it.
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
	for _, t := range e.tasksWithRun[n.executorIncarnation] {
		if t.step.TargetMillis > 0 && t.usage >= evictionThreshold*float64(t.step.TargetMillis) {
			return true
		}
	}
	return false
}

// mostDisturbing returns the best-effort task with checkpoints that takes the most headroom on an executor, or nil.
func (e *Engine) mostDisturbing(n *node) *task {
	var worst *task
	maxLoss := 0.0
	for _, t := range e.tasksWithRun[n.executorIncarnation] {
		if !t.step.BestEffort || !t.step.Checkpoints || t.stopRequested || !t.listed {
			continue
		}
		if loss := e.maxHeadroomLoss(n, t.step.Image) * cpuShare(t.step, n); loss > maxLoss {
			worst, maxLoss = t, loss
		}
	}
	return worst
}

// alternativeNode returns another node whose executor would admit a task now, or nil.
func (e *Engine) alternativeNode(t *task, from *node, now time.Time) *node {
	p := &placementRequest{engine: e, queue: e.queueOf(t.job), task: t, now: now}
	for _, n := range e.sortedNodes {
		if n != from && n.known && p.admits(n) && p.admitsTask(t, n) {
			return n
		}
	}
	return nil
}
