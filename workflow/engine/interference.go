package engine

import (
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/colocation"
)

const (
	// sampleInterval is the minimum time between latency samples of an executor; the latencies of its serving tasks
	// change about as often.
	sampleInterval = 450 * time.Millisecond
	// maxSampleAge is the age up to which the sample of another executor is compared with a current one: the load of serving
	// tasks changes within seconds, and one report may be late.
	maxSampleAge = 2 * sampleInterval
	// evictionThreshold is the fraction of a serving task's latency target from which best-effort tasks are evicted.
	evictionThreshold = 0.85
	// sampleLag is the time until a started task shows in the latencies.
	sampleLag = 1200 * time.Millisecond
	// evictionInterval is the minimum time between two evictions from one executor.
	evictionInterval = time.Second
	// defaultHeadroom is the assumed headroom of an undisturbed serving task.
	defaultHeadroom = 2.5
)

// sampleLatencies passes the CPU shares and latencies that an executor last listed to the colocation model.
func (e *Engine) sampleLatencies(n *node, now time.Time) {
	if now.Sub(n.sampledAt) < sampleInterval {
		return
	}
	n.sampledAt = now
	if n.servingCount == 0 || n.executor.Capacity.MilliCores == 0 {
		return
	}
	n.exposure.Observe(e.bestEffortShares(n), now)
	shares := n.exposure.Shares()
	if len(shares) == 0 {
		return
	}
	for _, t := range e.tasksWithRun[n.executorIncarnation] {
		if t.step.TargetMillis == 0 || !t.listed || t.usage == 0 || now.Sub(t.startedAt) < sampleLag {
			continue
		}
		if headroom, variance, ok := e.undisturbedHeadroom(t, now); ok {
			lost := headroom - t.headroomAt(t.usage)
			e.colocation.Observe(colocation.Observation{Serving: t.step.Image, Shares: shares, Lost: lost, BaseVariance: variance}, now)
		}
	}
}

// bestEffortShares returns the CPU shares of the best-effort tasks that an executor last listed. They are valid until the
// next call.
func (e *Engine) bestEffortShares(n *node) []colocation.Share {
	capacity := float64(n.executor.Capacity.MilliCores)
	e.shares = e.shares[:0]
	for _, t := range e.tasksWithRun[n.executorIncarnation] {
		if t.step.BestEffort && t.listed {
			e.shares = append(e.shares, colocation.Share{Image: t.step.Image, CPU: t.usage / capacity})
		}
	}
	return e.shares
}

// undisturbedHeadroom returns the headroom that a serving task would have without best-effort tasks, and its variance, from
// those tasks of its group on other executors that were sampled recently. ok is false if there are none.
func (e *Engine) undisturbedHeadroom(t *task, now time.Time) (headroom, variance float64, ok bool) {
	var baseline colocation.Baseline
	for _, peer := range t.group.tasks {
		n := peer.node
		if n == nil || n == t.node || !peer.listed || peer.usage == 0 || now.Sub(n.exposure.At()) > maxSampleAge {
			continue
		}
		lost, lostVariance := e.colocation.Expected(t.step.Image, n.exposure.Shares())
		baseline.Add(peer.headroomAt(peer.usage), lost, lostVariance)
	}
	return baseline.Headroom()
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
	return e.colocation.Estimate(serving, image).Loss
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
			if estimate := e.colocation.Estimate(serving.step.Image, t.step.Image); t.step.BestEffort && estimate.Known {
				row[t.step.Image] = estimate.Loss
			}
		}
	}
	return known
}

// TakeHeadroomChanges returns the headroom losses that have become known, or have changed by much, since the last call.
func (e *Engine) TakeHeadroomChanges() []colocation.Change { return e.colocation.TakeChanges() }

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

// isMovable reports whether a run may be stopped so that its task continues from a checkpoint on another executor. Tasks of long-running
// steps are stopped only when their job ends, since only so many of them may be away at a time.
func (t *task) isMovable() bool {
	return t.step.BestEffort && t.step.Checkpoints && !t.step.LongRunning
}

// mostDisturbing returns the movable task that takes the most headroom on an executor, or nil.
func (e *Engine) mostDisturbing(n *node) *task {
	var worst *task
	maxLoss := 0.0
	for _, t := range e.tasksWithRun[n.executorIncarnation] {
		if !t.isMovable() || t.stopRequested || !t.listed {
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
