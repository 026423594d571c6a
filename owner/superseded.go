package owner

import "time"

// maxSupersededLines is how many lines on superseded runs, and how many on their ends, are logged in a limitInterval.
const maxSupersededLines = 128

// logSuperseded counts the runs whose tasks other runs have finished, and the ends of such runs, and logs them up to a limit.
func (t *term) logSuperseded(now time.Time) {
	s := t.engine.TakeSuperseded()
	t.metrics.superseded.Inc(int64(s.RunCount))
	t.supersededLines.suppressed += s.RunCount - len(s.Runs)
	for i := range s.Runs {
		if !t.supersededLines.allow(now, maxSupersededLines) {
			continue
		}
		r := &s.Runs[i]
		t.log.Info("run superseded", "task", r.Task, "run", r.Run, "executor", r.Executor, "node", r.Node, "listed", r.Listed,
			"done_run", r.DoneRun, "done_executor", r.DoneExecutor, "epoch", t.lease.Record.Epoch, "suppressed", t.supersededLines.takeSuppressed())
	}
	t.supersededEndLines.suppressed -= len(s.Ends)
	for cause, count := range s.EndCounts {
		t.supersededEndLines.suppressed += count
		t.metrics.scope.Tagged(map[string]string{"cause": string(cause)}).Counter("owner_superseded_ends").Inc(int64(count))
	}
	for i := range s.Ends {
		if !t.supersededEndLines.allow(now, maxSupersededLines) {
			continue
		}
		r := &s.Ends[i]
		t.log.Info("superseded run ended", "task", r.Task, "run", r.Run, "executor", r.Executor, "node", r.Node, "cause", r.Cause,
			"held_ms", r.Held.Milliseconds(), "restored", r.Restored, "epoch", t.lease.Record.Epoch, "suppressed", t.supersededEndLines.takeSuppressed())
	}
}
