package owner

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics holds the metrics of an owner.
type metrics struct {
	commits, changes, orders, rejected, lapsed, lapsedUnconfirmed, departed, ended, quarantined, crashed, givenUp, superseded tally.Counter
	droppedCheckpoints                                                                                                        tally.Counter
	commitTime                                                                                                                tally.Histogram
	jobs, assigned, tasksHeld, tasksMax, headroomPairs                                                                        tally.Gauge
	scope                                                                                                                     tally.Scope
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		commits: scope.Counter("owner_commits"), changes: scope.Counter("owner_changes"),
		orders: scope.Counter("owner_orders"), rejected: scope.Counter("owner_orders_rejected"),
		lapsed: scope.Counter("owner_lapsed_executors"), lapsedUnconfirmed: scope.Counter("owner_lapsed_unconfirmed_runs"), departed: scope.Counter("owner_departed_executors"),
		ended: scope.Counter("owner_ended_executors"), quarantined: scope.Counter("owner_quarantined_executors"),
		crashed: scope.Counter("owner_crashed_executors"), givenUp: scope.Counter("owner_given_up_jobs"),
		superseded: scope.Counter("owner_superseded_runs"), droppedCheckpoints: scope.Counter("owner_dropped_checkpoints"),
		commitTime: scope.Histogram("owner_commit_seconds", tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 12)),
		jobs:       scope.Gauge("owner_jobs_active"), assigned: scope.Gauge("owner_tasks_assigned"),
		tasksHeld: scope.Gauge("owner_tasks_held"), tasksMax: scope.Gauge("owner_tasks_held_max"),
		headroomPairs: scope.Gauge("owner_headroom_pairs"), scope: scope,
	}
}
