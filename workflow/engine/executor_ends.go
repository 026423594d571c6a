package engine

import (
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// hostRestartTime is the time between the starts of a node's process and of its executor up to which the whole host may have
// restarted.
const hostRestartTime = 5 * time.Second

// brokenAt returns when a connection to the executor of a report was first broken; zero if none was.
func brokenAt(r *workflow.Report, now time.Time) time.Time {
	if r.BrokenMillis == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(r.BrokenMillis) * time.Millisecond)
}

// recordReplacement records that an executor has been replaced by another incarnation.
func (e *Engine) recordReplacement(n *node, former string, executor *workflow.Executor, now time.Time) {
	nodeStarted := time.Duration(n.incarnation)
	executorStarted := time.Duration(executor.StartedUnixMillis) * time.Millisecond
	e.recordEnd(n, former, e.crashedRuns(n, former), nodeStarted > executorStarted-hostRestartTime, now)
}

// recordEnd records once that an executor has ended with the given runs. That is a crash unless it was to shut down, or the whole
// host may have restarted and no executor has crashed under any of its tasks before.
func (e *Engine) recordEnd(n *node, former string, runs []crashedRun, mayHaveRestarted bool, now time.Time) {
	if n.recordedEnd == former {
		return
	}
	n.recordedEnd = former
	if n.known && n.executorIncarnation == former {
		runs = append(runs, n.lapsedRuns...)
		n.lapsedRuns = nil
		if n.executor.MayEnd() {
			return
		}
	}
	if mayHaveRestarted && !slices.ContainsFunc(runs, crashedRun.hasCrashed) {
		e.recordHostRestart(runs)
		return
	}
	e.recordCrash(n, former, runs, now)
}

// recordHostRestart counts the end of an executor whose node's process has restarted as well, so that the whole host may have restarted
// or the executor may have crashed by itself. It makes no task a suspect.
func (e *Engine) recordHostRestart(runs []crashedRun) {
	for _, r := range withoutEnded(runs) {
		r.task.crashes.total++
		e.markDirty(r.task.job)
	}
}

// recordLapse records that the lease of an executor has expired. It has crashed if its node still reports, unless it lists its runs
// again. Otherwise the host may be cut off, and the next incarnation shows whether the executor has crashed.
func (e *Engine) recordLapse(n *node, now time.Time) {
	if n.executor.MayEnd() || n.recordedEnd == n.executorIncarnation {
		return
	}
	runs := e.crashedRuns(n, n.executorIncarnation)
	if now.Sub(n.reportedAt) < reportTimeout {
		n.presumed = presumeCrash(n, runs, now)
		e.recordCrash(n, n.executorIncarnation, runs, now)
		n.presumed.noteCounts()
		return
	}
	n.lapsedRuns = append(n.lapsedRuns, runs...)
}
