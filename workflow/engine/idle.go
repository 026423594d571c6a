package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// minIdleExplained is how long a job must have been without a run before that is explained, and idleExplainInterval the time
	// between two searches for such jobs.
	minIdleExplained    = 2 * time.Second
	idleExplainInterval = time.Second
	// maxIdleExplained bounds the jobs that one search explains, since each may be logged.
	maxIdleExplained = 8
)

// IdleState tells what the first ready task of an idle job waits for.
type IdleState string

// States of the first ready task of an idle job.
const (
	// IdleWaiting means that the task has no executor.
	IdleWaiting IdleState = "waiting"
	// IdleBackoff means that the task may not start yet, since its last start was rejected.
	IdleBackoff IdleState = "backoff"
	// IdleStartPending means that the result of the start order is outstanding.
	IdleStartPending IdleState = "start pending"
	// IdleNotListed means that the executor has not listed the run yet.
	IdleNotListed IdleState = "not listed"
	// IdleStopping means that the run is to be stopped, and that this is not confirmed.
	IdleStopping IdleState = "stopping"
)

// Idle describes a job with a ready task of which no executor has listed a run for minIdleExplained.
type Idle struct {
	Job, Task string
	State     IdleState
	// Duration is how long no run of the job has been listed.
	Duration time.Duration
	// Reserved is the fraction of the CPU of the job's pool that is reserved.
	Reserved float64
	// Rejections is the number of executors that each filter rejects for a waiting task, apart from the filters that are skipped
	// for jobs without a run; Admitting is the number of executors that none rejects.
	Rejections map[string]int
	Admitting  int
	// Node is the host of an assigned task; ReportAge and ListAge are the ages of its last report and of the executor's last
	// lists.
	Node               string
	ReportAge, ListAge time.Duration
}

// TakeIdle returns the idle jobs that were found since the last call, each once for each change of its state.
func (e *Engine) TakeIdle() []Idle {
	idle := e.idle
	e.idle = nil
	return idle
}

// explainIdle looks for jobs that have had no run for minIdleExplained although a task could run.
func (e *Engine) explainIdle(now, wall time.Time) {
	if now.Sub(e.idleSearchedAt) < idleExplainInterval {
		return
	}
	e.idleSearchedAt = now
	explained := 0
	for _, j := range e.activeJobs {
		t := e.firstUnfinished(j, wall)
		switch {
		case t == nil || j.hasListedRun():
			j.noRunSince, j.idleState = time.Time{}, ""
			continue
		case j.noRunSince.IsZero():
			j.noRunSince = now
		}
		if now.Sub(j.noRunSince) < minIdleExplained || explained == maxIdleExplained {
			continue
		}
		found := e.explainIdleJob(j, t, now)
		if found.State == j.idleState {
			continue
		}
		j.idleState = found.State
		explained++
		e.idle = append(e.idle, found)
	}
	slices.SortFunc(e.idle, func(a, b Idle) int { return cmp.Compare(a.Job, b.Job) })
}

// firstUnfinished returns the first task of a job that is ready and not done, or nil.
func (e *Engine) firstUnfinished(j *job, wall time.Time) *task {
	for i := range j.groups {
		g := &j.groups[i]
		if !e.groupReady(j, g, wall) {
			continue
		}
		for _, t := range g.tasks {
			if t.phase != workflow.TaskDone {
				return t
			}
		}
	}
	return nil
}

func (e *Engine) explainIdleJob(j *job, t *task, now time.Time) Idle {
	found := Idle{Job: j.ID, Task: t.name, State: t.idleState(now), Duration: now.Sub(j.noRunSince), Reserved: e.reservedFraction(e.queueOf(j).Pool), Node: t.host}
	if n := e.nodes[t.host]; n != nil {
		found.ReportAge, found.ListAge = now.Sub(n.reportedAt), now.Sub(n.listedAt)
	}
	if t.phase != workflow.TaskWaiting {
		return found
	}
	p := &placementRequest{engine: e, queue: e.queueOf(j), task: t, now: now, relaxed: true}
	found.Rejections = map[string]int{}
	for _, n := range e.sortedNodes {
		if !n.known {
			continue
		}
		if name := p.firstRejection(t, n); name != "" {
			found.Rejections[name]++
		} else {
			found.Admitting++
		}
	}
	return found
}

func (t *task) idleState(now time.Time) IdleState {
	switch {
	case t.phase == workflow.TaskWaiting && t.canStart(now):
		return IdleWaiting
	case t.phase == workflow.TaskWaiting:
		return IdleBackoff
	case t.startPending:
		return IdleStartPending
	case t.stopRequested:
		return IdleStopping
	}
	return IdleNotListed
}
