package owner

import (
	"math"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

const (
	// unreportedLogDelay is the time after a takeover from which executors that have not reported are logged.
	unreportedLogDelay = 2 * time.Second
	// maxLoggedSuspects bounds the length of a log line.
	maxLoggedSuspects = 10
)

// logUnreported logs once after the takeover for how long tasks are held because their executors have not reported.
func (t *term) logUnreported(now time.Time) {
	if t.unreportedLogAt.IsZero() || now.Before(t.unreportedLogAt) {
		return
	}
	t.unreportedLogAt = time.Time{}
	if executors, tasks, longest := t.engine.Unreported(now); executors > 0 {
		t.log.Info("executors have not reported, their tasks are held", "executors", executors, "tasks", tasks, "longest_ms", longest.Milliseconds(), "epoch", t.lease.Record.Epoch)
	}
}

// logQuarantine logs which executors entered or left quarantine.
func (t *term) logQuarantine(now time.Time) {
	quarantined := t.engine.Quarantined(now)
	for _, node := range quarantined {
		if !slices.Contains(t.quarantined, node) {
			t.metrics.quarantined.Inc(1)
			t.log.Info("executor fails its tasks, it gets one at a time after a pause", "node", node, "epoch", t.lease.Record.Epoch)
		}
	}
	for _, node := range t.quarantined {
		if !slices.Contains(quarantined, node) {
			t.log.Info("executor gets tasks again", "node", node, "epoch", t.lease.Record.Epoch)
		}
	}
	t.quarantined = quarantined
}

// logLapses logs and counts the executors whose leases have expired, and the runs among theirs whose starts are not confirmed.
func (t *term) logLapses(lapses []engine.Lapse) {
	for i := range lapses {
		l := &lapses[i]
		t.metrics.lapsed.Inc(1)
		t.metrics.lapsedUnconfirmed.Inc(int64(l.Unconfirmed))
		t.log.Info("tasks of an executor have lapsed", "executor", l.Incarnation, "tasks", l.Tasks, "unconfirmed", l.Unconfirmed, "moved", l.Moved,
			"lease_known_from", l.Source, "stale_lease", l.StaleLease, "epoch", t.lease.Record.Epoch, "executor_known_ms", ageMillis(l.Known), "same_id", l.SameID)
	}
}

// logDepartures logs and counts the executors with tasks that have left, or that take no connections.
func (t *term) logDepartures() {
	for _, d := range t.engine.TakeDepartures() {
		if d.Held {
			t.metrics.ended.Inc(1)
			t.log.Info("executor takes no connections, its tasks are held until its lease has expired", "executor", d.Incarnation, "node", d.Node, "tasks", d.Tasks, "epoch", t.lease.Record.Epoch)
			continue
		}
		t.metrics.departed.Inc(1)
		t.log.Info("tasks of an executor that has left are unassigned", "executor", d.Incarnation, "node", d.Node, "tasks", d.Tasks, "epoch", t.lease.Record.Epoch)
	}
}

// logCrashes logs and counts the crashes of executors that had tasks, and the jobs that were given up because of them.
func (t *term) logCrashes() {
	crashes, givenUp := t.engine.TakeCrashes()
	for _, c := range crashes {
		t.metrics.crashed.Inc(1)
		logged := c.Suspects[:min(len(c.Suspects), maxLoggedSuspects)]
		t.log.Warn("executor has crashed", "executor", c.Executor, "node", c.Node, "runs", c.Runs, "suspect_count", len(c.Suspects), "suspects", logged, "epoch", t.lease.Record.Epoch)
	}
	for _, c := range givenUp {
		t.metrics.givenUp.Inc(1)
		t.log.Warn("job given up, its task crashes executors", "task", c.Task, "crashes", c.Crashes, "suspicions", c.Suspicions, "epoch", t.lease.Record.Epoch)
	}
}

// logWaits logs and counts why ready tasks do not start.
func (t *term) logWaits() {
	for _, w := range t.engine.TakeWaits() {
		t.metrics.scope.Tagged(map[string]string{"reason": w.Reason}).Counter("owner_waits").Inc(1)
		t.log.Info("job waits", "job", w.Job, "task", w.Task, "reason", w.Reason, "rejections", w.Rejections, "age_ms", w.Age.Milliseconds(), "epoch", t.lease.Record.Epoch)
	}
}

// logHeadroomChanges logs what has been learned of the headroom that best-effort images take.
func (t *term) logHeadroomChanges() {
	for _, c := range t.engine.TakeHeadroomChanges() {
		t.log.Info("headroom loss learned", "serving", c.Serving, "best_effort", c.BestEffort, "loss", roundTenth(c.Loss),
			"deviation", roundTenth(c.Deviation), "former_loss", roundTenth(c.Former), "epoch", t.lease.Record.Epoch)
	}
}

func roundTenth(x float64) float64 { return math.Round(x*10) / 10 }

// logIdle logs the jobs that have had no run for some seconds although a task was ready.
func (t *term) logIdle() {
	for _, i := range t.engine.TakeIdle() {
		t.metrics.scope.Tagged(map[string]string{"state": string(i.State)}).Counter("owner_idle_jobs").Inc(1)
		t.log.Info("job has no run", "job", i.Job, "task", i.Task, "state", i.State, "duration_ms", i.Duration.Milliseconds(),
			"reserved", math.Round(i.Reserved*100)/100, "admitting", i.Admitting, "rejections", i.Rejections, "node", i.Node,
			"report_age_ms", i.ReportAge.Milliseconds(), "list_age_ms", i.ListAge.Milliseconds(), "epoch", t.lease.Record.Epoch)
	}
}
