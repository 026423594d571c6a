package scheduler

import (
	"github.com/quetzalshed/quetzalshed/scheduler/quota"
	"github.com/quetzalshed/quetzalshed/structs"
)

// jobState is the state of a job in a cycle.
type jobState struct {
	job     *structs.Job
	classID int
	account *quota.Account
	// runningIndices holds the indices of the running tasks, and domainCounts their number by failure domain. Both are
	// valid once counted is set.
	runningIndices map[int]bool
	domainCounts   map[string]int
	counted        bool
	spread         spreadState
	// checked is set once the job has been tested, unschedulable if it can never run.
	checked       bool
	unschedulable bool
}

func (c *Cycle) stateOf(job *structs.Job) *jobState {
	if s := c.jobs[job.ID]; s != nil {
		return s
	}
	s := &jobState{job: job, classID: c.classID(job.Class), account: c.teamAccount(job.Team)}
	c.jobs[job.ID] = s
	return s
}

// maxJobsScannedSeparately is the number of jobs in the cycle up to which the tasks of each job are counted in a scan
// of their own, which compares one ID for each running task. With more jobs, a single scan that looks up the job of
// each running task is cheaper.
const maxJobsScannedSeparately = 4

// countJobTasks counts the running tasks of a job, once in a cycle for each job that is about to be placed.
func (c *Cycle) countJobTasks(j *jobState) {
	if j.counted {
		return
	}
	countAll := len(c.jobs) > maxJobsScannedSeparately && !c.jobsCounted
	for i := range c.workers {
		w := &c.workers[i]
		for k := range w.Running {
			t := &w.Running[k]
			if countAll {
				if other := c.jobs[t.Job.ID]; other != nil && !other.counted {
					other.addTask(t.Index, w.FailureDomain)
				}
			} else if t.Job == j.job || t.Job.ID == j.job.ID {
				j.addTask(t.Index, w.FailureDomain)
			}
		}
	}
	j.counted = true
	if countAll {
		c.jobsCounted = true
		for _, other := range c.jobs {
			other.counted = true
		}
	}
}

// addTask counts one task of the job.
func (j *jobState) addTask(index int, domain string) {
	if j.runningIndices == nil {
		j.runningIndices, j.domainCounts = map[int]bool{}, map[string]int{}
	}
	j.runningIndices[index] = true
	j.domainCounts[domain]++
	j.spread.task = nil
}

// DomainTasks returns how many tasks of the task's job run in the worker's failure domain, and how many run in all.
func (c *Cycle) DomainTasks(task *PendingTask, w *WorkerView) (here, all int) {
	c.countJobTasks(task.state)
	for _, n := range task.state.domainCounts {
		all += n
	}
	return task.state.domainCounts[w.FailureDomain], all
}

// JobTasks returns the number of tasks of the task's job on the worker.
func (c *Cycle) JobTasks(task *PendingTask, w *WorkerView) int {
	n := 0
	for i := range w.Running {
		if w.Running[i].Job.ID == task.Job.ID {
			n++
		}
	}
	for _, other := range w.cycle.placed {
		if other.Job.ID == task.Job.ID {
			n++
		}
	}
	return n
}
