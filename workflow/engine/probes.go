package engine

import (
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// maxProbe is the maximum time for which nothing else starts on an executor after a suspect has started there.
	maxProbe = 4 * time.Second
	// quietTime is how long an executor must have been without starts of other jobs before a suspect starts there.
	quietTime = 300 * time.Millisecond
	// maxProbeWait is how long a suspect of one crash waits for an executor without other suspects.
	maxProbeWait = 1500 * time.Millisecond
	// maxIsolationWait is the maximum time for which a suspect waits for an executor on which a crash would show whether it is the
	// cause. A job may have nothing running for 3 s while there is room for it.
	maxIsolationWait = 2 * time.Second
	// maxProbedShare is the fraction of the executors on which suspects may start at the same time.
	maxProbedShare = 0.5
	// suspectTaskWeight and suspectServingWeight lower the score of an executor for a suspect by each task, or each serving task, on
	// it: all of them end if the executor crashes.
	suspectTaskWeight    = 0.05
	suspectServingWeight = 0.5
)

// isProbe reports whether a suspect runs, or may run, and has not lasted long enough for other tasks to start beside it.
func (t *task) isProbe() bool {
	switch {
	case t.node == nil || !t.node.endReportedAt.IsZero():
		return false
	case t.startPending || t.begunAt().IsZero() || !t.node.brokenAt.IsZero():
		return true
	case t.node.reportedAt.Sub(t.node.aliveAt) > maxLeaseListAge:
		// The executor has stopped responding.
		return true
	}
	return t.node.reportedAt.Sub(t.begunAt()) < min(t.requiredSurvival(), maxProbe)
}

// indexProbes updates which executors and jobs have suspects that have not survived yet.
func (e *Engine) indexProbes() {
	e.crashes.probedNodes, e.crashes.upNodes = 0, 0
	clear(e.crashes.probedJobs)
	for _, n := range e.sortedNodes {
		n.probes, n.repeatedProbes = 0, false
		if n.known && n.brokenAt.IsZero() {
			e.crashes.upNodes++
		}
	}
	for t := range e.crashes.suspects {
		switch {
		case t.phase == workflow.TaskDone || t.job.phase.Final():
			delete(e.crashes.suspects, t)
		case t.isProbe():
			e.addProbe(t)
		}
	}
}

// addProbe records that a suspect runs on its executor.
func (e *Engine) addProbe(t *task) {
	n := t.node
	if other := e.crashes.probedJobs[t.job]; other == nil || n.name < other.name {
		e.crashes.probedJobs[t.job] = n
	}
	if n.probes == 0 && n.brokenAt.IsZero() {
		e.crashes.probedNodes++
	}
	n.probes++
	n.repeatedProbes = n.repeatedProbes || t.crashes.suspicions > 1
}

// startSuspects starts suspects before all other tasks, since those would leave no executor free for them.
func (e *Engine) startSuspects(jobs []candidate, now, wall time.Time) {
	if len(e.crashes.suspects) == 0 {
		return
	}
	for _, c := range jobs {
		for i := range c.job.groups {
			g := &c.job.groups[i]
			if c.job.Steps[g.step].Gang || !slices.ContainsFunc(g.tasks, (*task).isSuspect) || !e.groupReady(c.job, g, wall) {
				continue
			}
			r := e.rankExecutors(&placementRequest{engine: e, queue: c.queue, task: g.tasks[0], now: now})
			for _, t := range g.tasks {
				if !t.isSuspect() || !t.canStart(now) {
					continue
				}
				if n := r.best(t); n != nil {
					e.assign(t, n, t.run+1, now)
					r.update(n)
				}
			}
		}
	}
}

func init() {
	registerTaskFilter("probed", func(p *placementRequest, t *task, n *node) bool {
		return t.isSuspect() || t.step.LongRunning || n.probes == 0 || p.engine.crashes.probedJobs[t.job] == n
	})
	registerTaskFilter("job probed", func(p *placementRequest, t *task, n *node) bool {
		probed := p.engine.crashes.probedJobs[t.job]
		return !t.awaitsIsolation(p.now) || probed == nil || t.step.Gang || probed == n
	})
	registerProbeFilter("probe shared", func(p *placementRequest, t *task, n *node) bool {
		return n.probes == 0 || !n.repeatedProbes && t.crashes.suspicions == 1 && p.now.Sub(t.crashes.suspectSince) >= maxProbeWait
	})
	registerProbeFilter("probe limit", func(p *placementRequest, _ *task, n *node) bool {
		crashes := &p.engine.crashes
		return n.probes > 0 || crashes.probedNodes < max(int(maxProbedShare*float64(crashes.upNodes)), 1)
	})
	registerProbeFilter("not quiet", func(p *placementRequest, t *task, n *node) bool {
		return n.probes > 0 || p.engine.isQuiet(n, t.job, p.now)
	})
}

// registerProbeFilter registers a filter on the executors on which a suspect may start while no other suspect of its job is being
// probed.
func registerProbeFilter(name string, admits func(p *placementRequest, t *task, n *node) bool) {
	registerTaskFilter(name, func(p *placementRequest, t *task, n *node) bool {
		return !t.awaitsIsolation(p.now) || p.engine.crashes.probedJobs[t.job] != nil && !t.step.Gang || admits(p, t, n)
	})
}

// awaitsIsolation reports whether a suspect starts only on an executor on which a crash would show whether it is the cause.
func (t *task) awaitsIsolation(now time.Time) bool {
	return t.isSuspect() && now.Sub(t.crashes.suspectSince) < maxIsolationWait
}

// isQuiet reports whether an executor has had no starts of other jobs for quietTime.
func (e *Engine) isQuiet(n *node, j *job, now time.Time) bool {
	return !slices.ContainsFunc(e.tasksWithRun[n.executorIncarnation], func(other *task) bool {
		return other.job != j && (other.startPending || now.Sub(other.startedAt) < quietTime)
	})
}

// suspectScore returns how well an executor suits a suspect apart from the scores of its group.
func (e *Engine) suspectScore(n *node) float64 {
	return -suspectTaskWeight*float64(len(e.tasksWithRun[n.executorIncarnation])) - suspectServingWeight*float64(n.servingCount)
}
