package engine

import (
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// task is the state of one task.
type task struct {
	job   *job
	step  *workflow.Step
	group *group
	id    workflow.TaskID
	name  string

	phase workflow.TaskPhase
	run   int
	// executorIncarnation is the executor incarnation that may have the newest run; empty if the task has no run. A task that is
	// done has one if another run has finished it, or another member of its gang, until the end of its own run is proved.
	executorIncarnation string
	// host is the node name of the executor incarnation. It is set even before the node has reported.
	host string
	node *node
	// failures is the number of failed runs that count for the task, and failedRun the last one that counts for it as the member of a gang.
	failures, failedRun int
	// saved is the newest checkpoint, and savedAt is when this owner learned of it; zero if it is from the job's record.
	saved   string
	savedAt time.Time

	// startPending is set while the result of a start order is outstanding.
	startPending bool
	// startedSequence and startedIncarnation are the node's order sequence and incarnation of the start's result.
	startedSequence    int64
	startedIncarnation int64
	// started is set once the executor has confirmed or listed the start of the run.
	started bool
	// listed is set once the executor has listed the run as running.
	listed bool
	// stopRequested is set if the run is to be stopped; stopOrderedAt is when the stop was last ordered.
	stopRequested bool
	stopReason    string
	stopOrderedAt time.Time
	// stoppedSequence is the node's order sequence when the executor accepted the stop; 0 before.
	stoppedSequence    int64
	stoppedIncarnation int64
	// supersededAt is when the run was superseded, or when this owner read of that; zero if it is not.
	supersededAt time.Time

	startedAt time.Time
	// duration is how long the successful run took; 0 if unknown.
	duration time.Duration
	percent  float64
	// progressedAt is when the percentage or the checkpoint last changed.
	progressedAt time.Time
	usage        float64
	// failedHosts lists the hosts on which the task has failed.
	failedHosts []string
	// avoidedHost is a host on which the task is not started before avoidedUntil.
	avoidedHost  string
	avoidedUntil time.Time
	// waitingSince is when Plan first found a long-running task ready to run again since its last run.
	waitingSince time.Time
	// notBefore is the earliest time of the next start after a rejected one, or after early ends of a long-running task.
	notBefore time.Time
	// earlyEnds is how many runs of a long-running task in a row have ended soon after their start.
	earlyEnds int
	crashes   taskCrashes
	// restored is set if the current run, or the end of the task, is known from the record of the job.
	restored bool
	// reassigned is set if the current run was ordered to a former incarnation of its executor.
	reassigned bool
	// reassignedBefore is set if a former owner has moved the current run to that incarnation.
	reassignedBefore bool
	// former is the last run that has ceased to count, apart from those with rejected starts and the one that has finished the
	// task; nil if there is none. rejected is the last run since then whose start was rejected, rejectedStarts their number.
	former         *endedRun
	rejected       *endedRun
	rejectedStarts int
	// doneRun and doneExecutor are the run that has finished the task; 0 and empty if they are not known.
	doneRun      int
	doneExecutor string
}

// confirmStart notes that the executor has confirmed or listed the start of the run that the task has.
func (t *task) confirmStart() { t.started, t.job.begun = true, true }

// hasRun reports whether a run of the task may exist or begin.
func (t *task) hasRun() bool { return t.phase == workflow.TaskAssigned || t.executorIncarnation != "" }
