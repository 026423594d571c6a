package engine

import (
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// placement is one question for executors.
type placement struct {
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
	Admits func(p *placement, n *node) bool
}

// TaskFilter tells whether an executor may run one task, by what has become of it before.
type TaskFilter struct {
	Name   string
	Admits func(p *placement, t *task, n *node) bool
}

// Score tells how well an executor suits the tasks of a group; more is better, and 1 is the weight of a whole executor.
type Score struct {
	Name  string
	Value func(p *placement, n *node) float64
}

var (
	filters     []Filter
	taskFilters []TaskFilter
	scores      []Score
)

func registerFilter(name string, admits func(p *placement, n *node) bool) {
	filters = append(filters, Filter{name, admits})
}

func registerTaskFilter(name string, admits func(p *placement, t *task, n *node) bool) {
	taskFilters = append(taskFilters, TaskFilter{name, admits})
}

func registerScore(name string, value func(p *placement, n *node) float64) {
	scores = append(scores, Score{name, value})
}

// admits tells whether an executor may run the group's tasks, but for what each of them has met before.
func (p *placement) admits(n *node) bool {
	for i := range filters {
		if !filters[i].Admits(p, n) {
			return false
		}
	}
	return true
}

// admitsTask tells whether an executor may run one task of the group.
func (p *placement) admitsTask(t *task, n *node) bool {
	for i := range taskFilters {
		if !taskFilters[i].Admits(p, t, n) {
			return false
		}
	}
	return true
}

// taskScore returns what a task prefers beside the scores of its group.
func (p *placement) taskScore(t *task, n *node) float64 {
	if t.step.LongRunning && p.engine.quarantine.Admits(n.name, p.now) == quarantine.Open && slices.Contains(t.failedHosts, n.name) {
		return -failedWeight
	}
	return 0
}

func (p *placement) score(n *node) float64 {
	total := 0.0
	for i := range scores {
		total += scores[i].Value(p, n)
	}
	return total
}

const (
	// silence is how long an executor may go without a report before it gets no more starts.
	silence = 2 * time.Second
	// lateReport is the age from which a report is late, and lateWeight how much starts prefer executors whose reports aren't:
	// when a failure domain is lost, its hosts can't be told from others for up to a second after their last reports.
	lateReport = 1300 * time.Millisecond
	lateWeight = 3
	// gatherTime is how long a new owner waits for executors at most before it places tasks that last. All executors announce
	// themselves within it, and where these tasks are decides for long which executors are free of them.
	gatherTime = 1700 * time.Millisecond
	// fillShare is the part of a filling task's wish that must be free for it to start.
	fillShare = 0.5
	// sameImageWeight is how much room a serving task gives up to be among others of its image.
	sameImageWeight = 0.5
	// failedWeight is how much a task that lasts prefers executors on which it has not failed.
	failedWeight = 0.5
	// quarantinedWeight keeps them off executors that fail what they run wherever there is room elsewhere.
	quarantinedWeight = 4
	// servingUse is the part of its reservation that a serving task is expected to use.
	servingUse = 0.6
)

func init() {
	registerFilter("pool", func(p *placement, n *node) bool { return n.executor.Pool == p.queue.Pool })
	registerFilter("present", func(p *placement, n *node) bool {
		return !n.executor.Draining && p.now.Sub(n.reportedAt) < silence && p.now.Sub(n.listedAt) < staleLists && !p.now.Before(n.noStartsUntil)
	})
	registerFilter("evacuated", func(p *placement, n *node) bool { return !p.engine.evacuated[n.executor.FailureDomain] })
	registerFilter("label", func(p *placement, n *node) bool {
		return p.task.step.Label == "" || n.executor.HasLabel(p.task.step.Label)
	})
	registerFilter("room", func(p *placement, n *node) bool {
		return n.reserved.Add(p.task.step.Reserved()).Fits(n.executor.Capacity) && len(n.orphanedRuns) == 0
	})
	registerFilter("leftover", func(p *placement, n *node) bool {
		if !p.task.step.Fills || p.relaxed {
			return true
		}
		return float64(n.leftover()) >= fillShare*float64(p.task.step.Need.MilliCores)
	})
	registerFilter("interference", func(p *placement, n *node) bool {
		return !p.task.step.Fills || p.relaxed || p.engine.bears(n, p.task.step, p.now)
	})
	registerFilter("unpaced", func(p *placement, n *node) bool {
		// Nothing but a stop protects serving tasks there from what fills beside them.
		return !n.executor.Unpaced || !p.task.step.Fills || p.relaxed || n.servingCount == 0 ||
			p.engine.heaviness(n, p.task.step.Image) < lightLoss
	})
	registerFilter("gathering", func(p *placement, n *node) bool {
		return !p.task.step.LongRunning || p.engine.executorsDiscovered(p.now)
	})
	registerFilter("spread", func(p *placement, n *node) bool {
		limit := p.task.step.PerExecutor
		return limit == 0 || n.count(p.task.group) < limit
	})
	registerTaskFilter("failed", func(p *placement, t *task, n *node) bool {
		// Tasks that last fail at any time, without a fault of the executor, and have no limit of attempts to save.
		return len(t.failedHosts) == 0 || p.relaxed || t.step.LongRunning || !slices.Contains(t.failedHosts, n.name) || len(t.failedHosts) >= len(p.engine.nodes)
	})
	registerFilter("quarantined", func(p *placement, n *node) bool {
		return p.relaxed || p.task.step.LongRunning || p.engine.quarantine.Admits(n.name, p.now) != quarantine.Closed
	})
	registerTaskFilter("shunned", func(p *placement, t *task, n *node) bool {
		return p.relaxed || t.avoidedHost != n.name || !p.now.Before(t.avoidedUntil)
	})
	registerScore("speed", func(p *placement, n *node) float64 {
		if p.task.step.LongRunning || !n.isSlow(p.now) {
			return 0
		}
		return -n.slowness
	})
	registerScore("reports", func(p *placement, n *node) float64 {
		if p.now.Sub(n.reportedAt) > lateReport {
			return -lateWeight
		}
		return 0
	})
	registerScore("quarantined", func(p *placement, n *node) float64 {
		if p.task.step.LongRunning && p.engine.quarantine.Admits(n.name, p.now) != quarantine.Open {
			return -quarantinedWeight
		}
		return 0
	})
	registerScore("free", func(p *placement, n *node) float64 {
		if n.executor.Capacity.MilliCores == 0 {
			return 0
		}
		capacity := float64(n.executor.Capacity.MilliCores)
		if p.task.step.TargetMillis > 0 {
			// Serving tasks fill one executor after the other, so that others stay free of them.
			return float64(n.reserved.MilliCores)/capacity - 1
		}
		return float64(n.leftover()) / capacity
	})
	registerScore("rack", func(p *placement, n *node) float64 {
		if p.task.step.Rack == "" || n.executor.HasLabel(p.task.step.Rack) {
			return 0
		}
		return 1/p.engine.settings.RemoteSlowdown - 1
	})
	registerScore("sharing", func(p *placement, n *node) float64 {
		switch {
		case p.task.step.Fills && n.servingCount > 0:
			if p.engine.heaviness(n, p.task.step.Image) < lightLoss {
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

// leftover returns the processor time that filling tasks may still take, in thousandths of a core. Serving tasks use
// less than they reserve.
func (n *node) leftover() int64 {
	idle := int64(float64(n.servingReserved) * (1 - servingUse))
	return n.executor.Capacity.MilliCores - n.reserved.MilliCores - n.bestEffortDemand + idle
}

// count returns how many tasks of a group are assigned to the node.
func (n *node) count(g *group) int {
	count := 0
	for _, t := range g.tasks {
		if t.node == n {
			count++
		}
	}
	return count
}
