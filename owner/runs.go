package owner

import (
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

const (
	// limitInterval is the time over which the lines of a kind are limited.
	limitInterval = time.Second
	// maxContradictionLines is how many lines on contradictions are logged in a limitInterval.
	maxContradictionLines = 8
	// maxLoggedLabels limits the labels of an executor in a line. Executors announce two: their kind and their rack.
	maxLoggedLabels = 8
)

// lineLimit limits the number of log lines of a kind in a limitInterval.
type lineLimit struct {
	since      time.Time
	lines      int
	suppressed int
}

// allow reports whether another line may be logged if maxLines are allowed in each interval, and counts it.
func (l *lineLimit) allow(now time.Time, maxLines int) bool {
	if now.Sub(l.since) >= limitInterval {
		l.since, l.lines = now, 0
	}
	if l.lines == maxLines {
		l.suppressed++
		return false
	}
	l.lines++
	return true
}

// takeSuppressed returns the number of lines that were not logged since the last call.
func (l *lineLimit) takeSuppressed() int {
	suppressed := l.suppressed
	l.suppressed = 0
	return suppressed
}

// logStarts logs the starts of a delivery with what they were based on, and counts those that are not the first.
func (t *term) logStarts(d *engine.NodeOrders) {
	for i := range d.Orders.Starts {
		s, basis := &d.Orders.Starts[i], engine.StartBasis{}
		if i < len(d.Bases) {
			basis = d.Bases[i]
		}
		fields := []any{
			"task", s.Task, "run", s.Run, "executor", d.Orders.ExecutorIncarnation, "node", d.Node, "epoch", d.Orders.Epoch, "basis", d.Orders.ReportNumber,
			"job_recorded", basis.JobRecorded, "job_known_ms", basis.JobKnown.Milliseconds(),
		}
		fields = append(fields, admissionFields(&basis.Admission)...)
		if basis.JobForgotten {
			fields = append(fields, "job_forgotten", true)
		}
		if basis.Former != nil {
			t.metrics.scope.Tagged(map[string]string{"cause": string(basis.Former.Cause)}).Counter("owner_restarts").Inc(1)
			fields = append(fields, formerRunFields(basis.Former, basis.SinceFormer)...)
			fields = append(fields, "rejected_starts", basis.RejectedStarts)
		}
		t.log.Info("start ordered", fields...)
	}
}

// admissionFields returns the log fields on what allowed a start. Most steps have neither a label nor a limit, and short lines.
func admissionFields(a *engine.Admission) []any {
	fields := []any{"config", a.ConfigVersion, "queue", a.Queue, "pool", a.Pool}
	if a.QueueRemoved {
		fields = append(fields, "queue_removed", true)
	}
	if a.ExecutorPool != a.Pool {
		fields = append(fields, "executor_pool", a.ExecutorPool)
	}
	if a.Label != "" || a.Limit > 0 {
		fields = append(fields, "label", a.Label, "executor_labels", loggedLabels(a.ExecutorLabels), "limit", a.Limit, "counted", a.Counted)
	}
	return fields
}

// loggedLabels returns those labels of an executor that a line names.
func loggedLabels(labels []string) []string { return labels[:min(len(labels), maxLoggedLabels)] }

// formerRunFields returns the log fields on a run that was taken for ended a time ago.
func formerRunFields(f *engine.FormerRun, ago time.Duration) []any {
	fields := []any{
		"former_run", f.Run, "former_executor", f.Executor, "former_end", f.Cause, "former_end_seen", f.Cause.Seen(), "former_ended_ms", ago.Milliseconds(),
		"former_list_age_ms", ageMillis(f.ListAge), "former_started", f.Started, "former_listed", f.Listed, "restored", f.Restored,
	}
	if f.LeaseSource != "" {
		fields = append(fields, "former_lease_known_from", f.LeaseSource)
	}
	if f.Reassigned {
		fields = append(fields, "former_reassigned", true)
	}
	if f.StopReason != "" {
		fields = append(fields, "former_stop", f.StopReason)
	}
	return fields
}

// ageMillis returns an age in milliseconds, or -1 if it is not known.
func ageMillis(age time.Duration) int64 {
	if age == engine.UnknownAge {
		return -1
	}
	return age.Milliseconds()
}

// phaseName returns the name of the phase of the task of a contradiction, for the log.
func phaseName(c *engine.Contradiction) string {
	switch {
	case !c.TaskKnown:
		return "unknown"
	case c.Phase == workflow.TaskAssigned:
		return "assigned"
	case c.Phase == workflow.TaskDone:
		return "done"
	}
	return "waiting"
}

// logContradictions counts the contradictions between what executors list and what the owner knows, and logs them up to a limit.
func (t *term) logContradictions(now time.Time) {
	described, counts := t.engine.TakeContradictions()
	total := 0
	for kind, count := range counts {
		total += count
		t.metrics.scope.Tagged(map[string]string{"kind": string(kind)}).Counter("owner_contradictions").Inc(int64(count))
	}
	t.contradictionLines.suppressed += total - len(described)
	for i := range described {
		if !t.contradictionLines.allow(now, maxContradictionLines) {
			continue
		}
		c := &described[i]
		fields := []any{
			"kind", c.Kind, "task", c.Task, "run", c.Run, "executor", c.Executor, "node", c.Node, "list_age_ms", ageMillis(c.ListAge),
			"phase", phaseName(c), "current_run", c.CurrentRun, "current_executor", c.CurrentExecutor, "epoch", t.lease.Record.Epoch,
			"suppressed", t.contradictionLines.takeSuppressed(),
		}
		if c.Taken != nil {
			fields = append(fields, formerRunFields(c.Taken, c.SinceTaken)...)
		}
		t.log.Warn("an executor's list contradicts the owner's state", fields...)
	}
}
