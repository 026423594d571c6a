package engine

import (
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// placementRequest asks for executors that may run the tasks of a group.
type placementRequest struct {
	engine *Engine
	queue  *workflow.Queue
	// task represents all tasks of its group.
	task *task
	now  time.Time
	// relaxed admits a task wherever its reservation fits, skipping the filters on spare CPU, interference, quarantine
	// and earlier failures of the task.
	relaxed bool
}

// Filter decides whether an executor may run the tasks of a group.
type Filter struct {
	Name string
	// Static is set if the filter asks whether an executor is in service for such tasks at all, and not for its load or what
	// became of earlier tasks.
	Static bool
	Admits func(p *placementRequest, n *node) bool
}

// TaskFilter decides whether an executor may run one task, by that task's own history.
type TaskFilter struct {
	Name   string
	Admits func(p *placementRequest, t *task, n *node) bool
}

// Score rates how well an executor suits the tasks of a group; more is better, and 1 is the weight of a whole executor.
type Score struct {
	Name  string
	Value func(p *placementRequest, n *node) float64
}

var (
	filters     []Filter
	taskFilters []TaskFilter
	scores      []Score
)

func registerFilter(name string, admits func(p *placementRequest, n *node) bool) {
	filters = append(filters, Filter{Name: name, Admits: admits})
}

func registerStaticFilter(name string, admits func(p *placementRequest, n *node) bool) {
	filters = append(filters, Filter{Name: name, Static: true, Admits: admits})
}

func registerTaskFilter(name string, admits func(p *placementRequest, t *task, n *node) bool) {
	taskFilters = append(taskFilters, TaskFilter{name, admits})
}

func registerScore(name string, value func(p *placementRequest, n *node) float64) {
	scores = append(scores, Score{name, value})
}

// admits reports whether an executor may run the group's tasks, apart from the filters on single tasks.
func (p *placementRequest) admits(n *node) bool {
	for i := range filters {
		if !filters[i].Admits(p, n) {
			return false
		}
	}
	return true
}

// admitsTask reports whether the history of one task of the group allows it to run on an executor.
func (p *placementRequest) admitsTask(t *task, n *node) bool {
	for i := range taskFilters {
		if !taskFilters[i].Admits(p, t, n) {
			return false
		}
	}
	return true
}

// taskScore returns the score that depends on the history of a single task. It is added to the score of its group.
func (p *placementRequest) taskScore(t *task, n *node) float64 {
	score := 0.0
	if t.isSuspect() {
		score = p.engine.suspectScore(n)
	}
	if t.step.LongRunning && p.engine.quarantine.Admits(n.name, p.now) == quarantine.AdmitAll && slices.Contains(t.failedHosts, n.name) {
		score -= failedHostPenalty
	}
	return score
}

func (p *placementRequest) score(n *node) float64 {
	total := 0.0
	for i := range scores {
		total += scores[i].Value(p, n)
	}
	return total
}

const (
	// reportTimeout is how long an executor may go without a report before no more tasks are started on it.
	reportTimeout = 2 * time.Second
	// lateReportAge is the age from which a report is late, and lateReportPenalty how much starts prefer executors with
	// recent reports: after the loss of a failure domain, its hosts can't be told from others for up to a second after
	// their last reports.
	lateReportAge     = 1300 * time.Millisecond
	lateReportPenalty = 3
	// unansweredTime is how long starts prefer other executors than one that has left an order unanswered, by unansweredPenalty: the
	// task of an unanswered start can't run elsewhere until a stop of it was answered. The same holds for one whose connection
	// has broken, until it responds again: it may have crashed.
	unansweredTime    = 3 * time.Second
	unansweredPenalty = 1
	// discoveryTimeout is how long at most a new owner waits for executors before it places long-running tasks. All
	// executors announce themselves within this time, and the placement of these tasks decides for long which executors
	// are free of them.
	discoveryTimeout = 1700 * time.Millisecond
	// minBestEffortShare is the fraction of a best-effort task's CPU request that must be spare for it to start.
	minBestEffortShare = 0.5
	// besideServingWeight is how much light best-effort images prefer executors with serving tasks, and others avoid them: as much
	// as a whole executor of spare CPU.
	besideServingWeight = 1
	// sameImageWeight is how much a serving task prefers executors whose serving tasks are all of its image to free ones, and
	// sameGroupWeight how much more if all are of its group. The former exceeds the score for packing, which is up to 1.
	sameImageWeight = 2
	sameGroupWeight = 1
	// mixedImagesPenalty is how much a serving task avoids executors that run other images: as much as it gains where nearly all
	// tasks are of its image, so that it mixes images only where little changes by it or no executor is free.
	mixedImagesPenalty = 2
	// failedHostPenalty is how much a long-running task prefers executors on which it has not failed.
	failedHostPenalty = 0.5
	// quarantinePenalty keeps long-running tasks off quarantined executors unless no other has room.
	quarantinePenalty = 4
	// domainIndexWeight is what the position of an executor in its failure domain counts in scores.
	domainIndexWeight = 0.001
)

func init() {
	registerStaticFilter("pool", func(p *placementRequest, n *node) bool { return n.executor.Pool == p.queue.Pool })
	registerStaticFilter("present", func(p *placementRequest, n *node) bool {
		return !n.executor.MayEnd() && p.now.Sub(n.reportedAt) < reportTimeout && p.now.Sub(n.listedAt) < maxListAge && !p.now.Before(n.noStartsUntil)
	})
	registerStaticFilter("evacuated", func(p *placementRequest, n *node) bool { return !p.engine.evacuated[n.executor.FailureDomain] })
	registerStaticFilter("label", func(p *placementRequest, n *node) bool {
		return p.task.step.Label == "" || n.executor.HasLabel(p.task.step.Label)
	})
	registerFilter("orphans", func(p *placementRequest, n *node) bool { return len(n.orphanedRuns) == 0 })
	registerFilter("memory", func(p *placementRequest, n *node) bool {
		return n.reserved.MemoryMB+p.task.step.Need.MemoryMB <= n.executor.Capacity.MemoryMB
	})
	registerFilter("room", func(p *placementRequest, n *node) bool {
		return n.reserved.Add(p.task.step.Reserved()).Fits(n.executor.Capacity)
	})
	registerFilter("leftover", func(p *placementRequest, n *node) bool {
		if !p.task.step.BestEffort || p.relaxed {
			return true
		}
		return float64(n.spareMilliCores(p.engine.pressure.utilization())) >= minBestEffortShare*float64(p.task.step.Need.MilliCores)
	})
	registerFilter("interference", func(p *placementRequest, n *node) bool {
		return !p.task.step.BestEffort || p.relaxed || p.engine.canAdmitBestEffort(n, p.task.step, p.now)
	})
	registerFilter("unpaced", func(p *placementRequest, n *node) bool {
		// Such an executor can't throttle best-effort tasks, so that only a stop would protect its serving tasks.
		return !n.executor.Unpaced || !p.task.step.BestEffort || p.relaxed || n.servingCount == 0 ||
			p.engine.maxHeadroomLoss(n, p.task.step.Image) < workflow.LightHeadroomLoss
	})
	registerFilter("gathering", func(p *placementRequest, n *node) bool {
		return !p.task.step.LongRunning || p.engine.executorsDiscovered(p.now)
	})
	registerFilter("spread", func(p *placementRequest, n *node) bool {
		limit := p.task.step.PerExecutor
		return limit == 0 || n.countTasks(p.task.group) < limit
	})
	registerTaskFilter("failed", func(p *placementRequest, t *task, n *node) bool {
		// A long-running task may fail without a fault of the executor, and has no limit of attempts to use up.
		return len(t.failedHosts) == 0 || p.relaxed || t.step.LongRunning || !slices.Contains(t.failedHosts, n.name) || len(t.failedHosts) >= len(p.engine.nodes)
	})
	registerFilter("quarantined", func(p *placementRequest, n *node) bool {
		return p.relaxed || p.task.step.LongRunning || p.engine.quarantine.Admits(n.name, p.now) != quarantine.AdmitNone
	})
	registerTaskFilter("shunned", func(p *placementRequest, t *task, n *node) bool {
		return p.relaxed || t.avoidedHost != n.name || !p.now.Before(t.avoidedUntil)
	})
	registerScore("speed", func(p *placementRequest, n *node) float64 {
		if p.task.step.LongRunning || !n.isSlow(p.now) {
			return 0
		}
		return -n.slowness
	})
	registerScore("reports", func(p *placementRequest, n *node) float64 {
		if p.now.Sub(n.reportedAt) > lateReportAge {
			return -lateReportPenalty
		}
		return 0
	})
	registerScore("unanswered", func(p *placementRequest, n *node) float64 {
		isSilent := !n.unansweredAt.IsZero() && p.now.Sub(n.unansweredAt) < unansweredTime
		if isSilent || !n.brokenAt.IsZero() {
			return -unansweredPenalty
		}
		return 0
	})
	registerScore("quarantined", func(p *placementRequest, n *node) float64 {
		if p.task.step.LongRunning && p.engine.quarantine.Admits(n.name, p.now) != quarantine.AdmitAll {
			return -quarantinePenalty
		}
		return 0
	})
	registerScore("free", func(p *placementRequest, n *node) float64 {
		if n.executor.Capacity.MilliCores == 0 {
			return 0
		}
		capacity := float64(n.executor.Capacity.MilliCores)
		if p.task.step.TargetMillis > 0 {
			// Serving tasks are packed, so that other executors stay free of them.
			return float64(n.reserved.MilliCores)/capacity - 1
		}
		return float64(n.spareMilliCores(p.engine.pressure.utilization())) / capacity
	})
	registerScore("domains", func(p *placementRequest, n *node) float64 {
		if p.task.step.TargetMillis == 0 {
			return 0
		}
		// Of executors that are equal otherwise, serving tasks fill the first ones of each failure domain, so that those that
		// stay free of them don't leave together with one domain.
		return -domainIndexWeight * float64(n.domainIndex)
	})
	registerScore("rack", func(p *placementRequest, n *node) float64 {
		if p.task.step.Rack == "" || n.executor.HasLabel(p.task.step.Rack) {
			return 0
		}
		return 1/p.engine.settings.RemoteSlowdown - 1
	})
	registerScore("sharing", func(p *placementRequest, n *node) float64 {
		switch {
		case p.task.step.BestEffort && n.servingCount > 0:
			return p.engine.besideServingScore(p.task.step, n)
		case p.task.step.TargetMillis > 0:
			return p.servingScore(n)
		}
		return 0
	})
}

// besideServingScore rates an executor with serving tasks for a best-effort task: light images are placed there, so that other
// executors are left to heavier ones.
func (e *Engine) besideServingScore(step *workflow.Step, n *node) float64 {
	if e.maxHeadroomLoss(n, step.Image) < workflow.LightHeadroomLoss {
		return besideServingWeight
	}
	return -besideServingWeight
}

// servingScore rates an executor for a serving task by the serving tasks there. Those of its image come first, then executors
// without any, then those that mix images: a best-effort task is admitted only if each serving image there can bear it. Among
// tasks of its image, those of its group are preferred, since their loads peak together and leave headroom together.
func (p *placementRequest) servingScore(n *node) float64 {
	if n.servingCount == 0 {
		return 0
	}
	sameImage := n.servingImages.count(p.task.step.Image)
	score := sameImageWeight*float64(sameImage) + sameGroupWeight*float64(n.countTasks(p.task.group))
	score /= float64(n.servingCount)
	if sameImage < n.servingCount {
		score -= mixedImagesPenalty
	}
	return score
}

// spareMilliCores returns the CPU that is left for best-effort tasks, in millicores. It includes the part of the
// serving tasks' reservations that is expected to stay unused at a utilization of them.
func (n *node) spareMilliCores(utilization float64) int64 {
	idle := int64(float64(n.servingReserved) * (1 - utilization))
	return n.executor.Capacity.MilliCores - n.reserved.MilliCores - n.bestEffortDemand + idle
}

// countTasks returns how many tasks of a group have a run on the node.
func (n *node) countTasks(g *group) int {
	count := 0
	for _, t := range g.tasks {
		if t.node == n {
			count++
		}
	}
	return count
}
