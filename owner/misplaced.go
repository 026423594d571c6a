package owner

import (
	"time"

	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// maxMisplacedLines is how many lines on misplaced runs are logged in a limitInterval.
const maxMisplacedLines = 8

// logMisplaced counts the runs that executors list and that may not run there, and logs them up to a limit.
func (t *term) logMisplaced(now time.Time) {
	described, counts := t.engine.TakeMisplaced()
	t.misplacedLines.suppressed -= len(described)
	for kind, count := range counts {
		t.misplacedLines.suppressed += count
		t.metrics.scope.Tagged(map[string]string{"kind": string(kind)}).Counter("owner_misplaced_runs").Inc(int64(count))
	}
	for i := range described {
		if !t.misplacedLines.allow(now, maxMisplacedLines) {
			continue
		}
		m := &described[i]
		fields := []any{
			"kind", m.Kind, "task", m.Task, "run", m.Run, "executor", m.Executor, "node", m.Node, "list_age_ms", ageMillis(m.ListAge),
			"ordered_ms", ageMillis(m.SinceStart), "counted", m.Counted, "superseded", m.Superseded, "config", m.ConfigVersion,
			"epoch", t.lease.Record.Epoch, "suppressed", t.misplacedLines.takeSuppressed(),
		}
		t.log.Warn("an executor runs a task that may not run there", append(fields, misplacedFields(m)...)...)
	}
}

// misplacedFields returns the log fields that tell why a run may not run on its executor.
func misplacedFields(m *engine.MisplacedRun) []any {
	switch m.Kind {
	case engine.MisplacedLimit:
		return []any{"limit", m.Limit, "listed", m.Listed, "listed_tasks", m.ListedTasks}
	case engine.MisplacedLabel:
		return []any{"label", m.Label, "executor_labels", loggedLabels(m.ExecutorLabels)}
	case engine.MisplacedPool:
		return []any{"queue", m.Queue, "pool", m.Pool, "job_pool", m.JobPool, "executor_pool", m.ExecutorPool}
	}
	return []any{"reserved", m.Reserved, "capacity", m.Capacity}
}
