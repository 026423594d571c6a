package engine

import (
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// placementRequest is one question for executors.
type placementRequest struct {
	engine *Engine
	queue  *workflow.Queue
	// task stands for all tasks of its group.
	task *task
	now  time.Time
	// relaxed admits a filling task wherever it has room, whatever it disturbs.
	relaxed bool
}

// Filter tells whether an executor may run the tasks of a group.
type Filter struct {
	Name   string
	Admits func(p *placementRequest, n *node) bool
}

// TaskFilter tells whether an executor may run one task, by what has become of it before.
type TaskFilter struct {
	Name   string
	Admits func(p *placementRequest, t *task, n *node) bool
}

// Score tells how well an executor suits the tasks of a group; more is better, and 1 is the weight of a whole executor.
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
	filters = append(filters, Filter{name, admits})
}

func registerTaskFilter(name string, admits func(p *placementRequest, t *task, n *node) bool) {
	taskFilters = append(taskFilters, TaskFilter{name, admits})
}

func registerScore(name string, value func(p *placementRequest, n *node) float64) {
	scores = append(scores, Score{name, value})
}

// admits tells whether an executor may run the group's tasks, but for what each of them has met before.
func (p *placementRequest) admits(n *node) bool {
	for i := range filters {
		if !filters[i].Admits(p, n) {
			return false
		}
	}
	return true
}

// admitsTask tells whether an executor may run one task of the group.
func (p *placementRequest) admitsTask(t *task, n *node) bool {
	for i := range taskFilters {
		if !taskFilters[i].Admits(p, t, n) {
			return false
		}
	}
	return true
}

// taskScore returns what a task prefers beside the scores of its group.
func (p *placementRequest) taskScore(t *task, n *node) float64 {
	if t.step.LongRunning && p.engine.quarantine.Admits(n.name, p.now) == quarantine.Open && slices.Contains(t.failedHosts, n.name) {
		return -failedHostPenalty
	}
	return 0
}

func (p *placementRequest) score(n *node) float64 {
	total := 0.0
	for i := range scores {
		total += scores[i].Value(p, n)
	}
	return total
}

const (
	// reportTimeout is how long an executor may go without a report before it gets no more starts.
	reportTimeout = 2 * time.Second
	// lateReportAge is the age from which a report is late, and lateWeight how much starts prefer executors whose reports aren't:
	// when a failure domain is lost, its hosts can't be told from others for up to a second after their last reports.
	lateReportAge     = 1300 * time.Millisecond
	lateReportPenalty = 3
	// discoveryTimeout is how long a new owner waits for executors at most before it places tasks that last. All executors announce
	// themselves within it, and where these tasks are decides for long which executors are free of them.
	discoveryTimeout = 1700 * time.Millisecond
	// minBestEffortShare is the part of a filling task's wish that must be free for it to start.
	minBestEffortShare = 0.5
	// sameImageWeight is how much room a serving task gives up to be among others of its image.
	sameImageWeight = 0.5
	// failedHostPenalty is how much a task that lasts prefers executors on which it has not failed.
	failedHostPenalty = 0.5
	// quarantinePenalty keeps them off executors that fail what they run wherever there is room elsewhere.
	quarantinePenalty = 4
	// servingUtilization is the part of its reservation that a serving task is expected to use.
	servingUtilization = 0.6
)

func init() {
	registerFilter("pool", func(p *placementRequest, n *node) bool { return n.executor.Pool == p.queue.Pool })
	registerFilter("present", func(p *placementRequest, n *node) bool {
		return !n.executor.Draining && p.now.Sub(n.reportedAt) < reportTimeout && p.now.Sub(n.listedAt) < maxListAge && !p.now.Before(n.noStartsUntil)
	})
	registerFilter("evacuated", func(p *placementRequest, n *node) bool { return !p.engine.evacuated[n.executor.FailureDomain] })
	registerFilter("label", func(p *placementRequest, n *node) bool {
		return p.task.step.Label == "" || n.executor.HasLabel(p.task.step.Label)
	})
	registerFilter("room", func(p *placementRequest, n *node) bool {
		return n.reserved.Add(p.task.step.Reserved()).Fits(n.executor.Capacity) && len(n.orphanedRuns) == 0
	})
	registerFilter("leftover", func(p *placementRequest, n *node) bool {
		if !p.task.step.BestEffort || p.relaxed {
			return true
		}
		return float64(n.spareMilliCores()) >= minBestEffortShare*float64(p.task.step.Need.MilliCores)
	})
	registerFilter("interference", func(p *placementRequest, n *node) bool {
		return !p.task.step.BestEffort || p.relaxed || p.engine.canAdmitBestEffort(n, p.task.step, p.now)
	})
	registerFilter("unpaced", func(p *placementRequest, n *node) bool {
		// Nothing but a stop protects serving tasks there from what fills beside them.
		return !n.executor.Unpaced || !p.task.step.BestEffort || p.relaxed || n.servingCount == 0 ||
			p.engine.maxHeadroomLoss(n, p.task.step.Image) < lightLoss
	})
	registerFilter("gathering", func(p *placementRequest, n *node) bool {
		return !p.task.step.LongRunning || p.engine.executorsDiscovered(p.now)
	})
	registerFilter("spread", func(p *placementRequest, n *node) bool {
		limit := p.task.step.PerExecutor
		return limit == 0 || n.countTasks(p.task.group) < limit
	})
	registerTaskFilter("failed", func(p *placementRequest, t *task, n *node) bool {
		// Tasks that last fail at any time, without a fault of the executor, and have no limit of attempts to save.
		return len(t.failedHosts) == 0 || p.relaxed || t.step.LongRunning || !slices.Contains(t.failedHosts, n.name) || len(t.failedHosts) >= len(p.engine.nodes)
	})
	registerFilter("quarantined", func(p *placementRequest, n *node) bool {
		return p.relaxed || p.task.step.LongRunning || p.engine.quarantine.Admits(n.name, p.now) != quarantine.Closed
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
	registerScore("quarantined", func(p *placementRequest, n *node) float64 {
		if p.task.step.LongRunning && p.engine.quarantine.Admits(n.name, p.now) != quarantine.Open {
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
			// Serving tasks fill one executor after the other, so that others stay free of them.
			return float64(n.reserved.MilliCores)/capacity - 1
		}
		return float64(n.spareMilliCores()) / capacity
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
			if p.engine.maxHeadroomLoss(n, p.task.step.Image) < lightLoss {
				return 1
			}
			return -1
		case p.task.step.TargetMillis > 0 && n.servingCount == 0:
			return -1
		case p.task.step.TargetMillis > 0:
			// Executors with few serving images are open to more filling ones.
			return sameImageWeight * float64(n.servingImages.count(p.task.step.Image)) / float64(n.servingCount)
		}
		return 0
	})
}

// spareMilliCores returns the processor time that filling tasks may still take, in thousandths of a core. Serving tasks use
// less than they reserve.
func (n *node) spareMilliCores() int64 {
	idle := int64(float64(n.servingReserved) * (1 - servingUtilization))
	return n.executor.Capacity.MilliCores - n.reserved.MilliCores - n.bestEffortDemand + idle
}

// countTasks returns how many tasks of a group are assigned to the node.
func (n *node) countTasks(g *group) int {
	count := 0
	for _, t := range g.tasks {
		if t.node == n {
			count++
		}
	}
	return count
}
