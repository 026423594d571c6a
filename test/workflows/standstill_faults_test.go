package workflows_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/node/nodetest"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// standstillHosts is the number of hosts, and maxFaultyHosts how many of them have the faults that stay in force.
	standstillHosts = 6
	maxFaultyHosts  = 2
	// judgedTime is how long jobs are looked at once they have to run.
	judgedTime = 10 * time.Second
	// lastingSteps is the number of steps, one after the other, of the jobs that last until the end.
	lastingSteps = 36
	// denseTaskTime and denseMilliCores are the run time and the CPU of the tasks of dense jobs.
	denseTaskTime   = 400 * time.Millisecond
	denseMilliCores = 250
	// lastingFaultChecks is the number of histories with lasting faults of each kind unless -rapid.checks is given.
	lastingFaultChecks = "12"
	// lateness is the maximum delay of orders that are carried out late.
	lateness = 12 * time.Second
)

// jobPlan is a job of a history with lasting faults.
type jobPlan struct {
	// kind is "short", "lasting", "best effort", "serving", "long running" or "deadly".
	kind  string
	width int
	// deadlyStep is the step from which the tasks of a deadly job crash executors, and deadlyTasks the number of these tasks.
	deadlyStep, deadlyTasks int
	pause                   time.Duration
	// dense is set if the steps have several short tasks that need little, so that tasks start on all executors all the time.
	dense bool
}

// lastingFaults describes the faults that stay in force at the end of a history.
type lastingFaults struct {
	calls nodetest.CallFaults
	// lost is set if the faulty hosts and their executors are lost for good.
	lost bool
	// deadly is set if some jobs have tasks that crash executors.
	deadly bool
}

func drawJobPlans(t *rapid.T, deadly bool) []jobPlan {
	kinds := []string{"short", "short", "short", "best effort", "serving", "long running"}
	if deadly {
		kinds = append(kinds, "deadly", "deadly")
	}
	plans := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) jobPlan {
		return jobPlan{
			kind:        rapid.SampledFrom(kinds).Draw(t, "kind"),
			width:       rapid.IntRange(1, 3).Draw(t, "width"),
			deadlyStep:  rapid.IntRange(0, 22).Draw(t, "deadly step"),
			deadlyTasks: rapid.IntRange(1, 3).Draw(t, "deadly tasks"),
			pause:       time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond,
		}
	}), 2, 10).Draw(t, "jobs")
	if deadly && rapid.Bool().Draw(t, "dense") {
		for range rapid.IntRange(5, 8).Draw(t, "lasting") {
			plans = append(plans, jobPlan{kind: "lasting", width: rapid.IntRange(2, 5).Draw(t, "width"), dense: true})
		}
	} else {
		for range rapid.IntRange(2, 5).Draw(t, "lasting") {
			plans = append(plans, jobPlan{kind: "lasting", width: rapid.IntRange(1, 2).Draw(t, "width")})
		}
	}
	if deadly {
		plans = append(plans, jobPlan{kind: "deadly", width: 2, deadlyTasks: 1, deadlyStep: rapid.IntRange(0, 22).Draw(t, "deadly step")})
	}
	return plans
}

// maxLongRunning bounds the tasks that run until the end, so that they leave most of the capacity free.
const maxLongRunning = 4

// build returns the job of a plan.
func (p *jobPlan) build(f *fleet, longRunning *int) workflow.Job {
	need := structs.Resources{MilliCores: 1000, MemoryMB: 100}
	chain := func(steps int) workflow.Job {
		counts := make([]int, steps)
		for i := range counts {
			counts[i] = p.width
		}
		return f.newJob(counts...)
	}
	var job workflow.Job
	switch p.kind {
	case "lasting":
		if !p.dense {
			job = chain(lastingSteps)
			break
		}
		job = chain(lastingSteps * int(taskTime/denseTaskTime))
		for i := range job.Steps {
			job.Steps[i].Need.MilliCores, job.Steps[i].EstimateMillis = denseMilliCores, denseTaskTime.Milliseconds()
		}
	case "best effort":
		job = chain(lastingSteps)
		for i := range job.Steps {
			job.Steps[i].BestEffort, job.Steps[i].Image = true, "filling"
		}
	case "serving", "long running":
		job = f.newJob(min(p.width, maxLongRunning-*longRunning))
		*longRunning += job.Steps[0].Count
		job.Steps[0].LongRunning, job.Steps[0].PerExecutor, job.Steps[0].Need = true, 1, need
		if p.kind == "serving" {
			job.Steps[0].TargetMillis, job.Steps[0].Image = 50, "serving"
		}
	case "deadly":
		job = chain(p.deadlyStep + 2)
		job.Steps[p.deadlyStep].Count = max(job.Steps[p.deadlyStep].Count, p.deadlyTasks)
	default:
		job = chain(2)
	}
	f.checker.recordSubmitted(job)
	return job
}

// deadlyNames returns the tasks of the job that crash executors.
func (p *jobPlan) deadlyNames(id string) (names []string) {
	if p.kind != "deadly" {
		return nil
	}
	for i := range p.deadlyTasks {
		names = append(names, workflow.TaskID{Job: id, Step: p.deadlyStep, Index: i}.String())
	}
	return names
}

// longRunningTime is after how long the runs of some long-running tasks end done, after which they have to run again.
const longRunningTime = 6 * time.Second

// setDurations makes the runs of every other long-running task last until they are stopped, and those of ordinary tasks as long as
// estimated.
func (f *fleet) setDurations() {
	for _, h := range f.hosts {
		h.executor.SetDurations(func(task string) time.Duration {
			f.checker.mu.Lock()
			defer f.checker.mu.Unlock()
			id, _ := workflow.ParseTaskID(task)
			step := &f.checker.jobs[id.Job].Steps[id.Step]
			switch {
			case step.LongRunning && id.Index%2 == 1:
				return longRunningTime
			case step.LongRunning:
				return time.Hour
			}
			return time.Duration(step.EstimateMillis) * time.Millisecond
		})
	}
}

// setDeadly makes executors crash shortly after they have started one of the tasks.
func (f *fleet) setDeadly(tasks []string) {
	for _, h := range f.hosts {
		h.executor.SetCrashing(func(task string) bool { return slices.Contains(tasks, task) })
	}
}

// apply puts the faults in force on a host.
func (l *lastingFaults) apply(h *host) {
	if l.lost {
		h.kill()
		h.executor.Crash()
		return
	}
	h.executor.SetCallFaults(l.calls)
}

// checkLastingFaults checks that no job stands still at the end of random histories whose faults stay in force.
func checkLastingFaults(t *testing.T, draw func(t *rapid.T) lastingFaults) {
	setDefaultChecks(t, lastingFaultChecks)
	rapid.Check(t, func(rt *rapid.T) {
		faults := draw(rt)
		plans := drawJobPlans(rt, faults.deadly)
		hosts := rapid.Permutation([]int{0, 1, 2, 3, 4, 5}).Draw(rt, "hosts")[:rapid.IntRange(1, maxFaultyHosts).Draw(rt, "faulty")]
		after := rapid.IntRange(0, len(plans)).Draw(rt, "jobs before faults")
		stopTime := drawStopTime(rt)
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer time.Sleep(callDrainTime)
			defer cancel()
			f := newFleetWithStopTime(t, ctx, standstillHosts, stopTime)
			f.setDurations()
			time.Sleep(startupTime)
			failure = f.runLastingFaults(&faults, plans, hosts, after)
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// runLastingFaults submits jobs, puts faults in force after some of them, and returns the first standstill, job that has failed
// without cause, or violation.
func (f *fleet) runLastingFaults(faults *lastingFaults, plans []jobPlan, hosts []int, after int) string {
	var ids, deadly []string
	mayFail := map[string]bool{}
	longRunning := 0
	for i := range plans {
		if i == after {
			for _, faulty := range hosts {
				faults.apply(f.hosts[faulty])
			}
		}
		if longRunning == maxLongRunning && (plans[i].kind == "serving" || plans[i].kind == "long running") {
			continue
		}
		job := plans[i].build(f, &longRunning)
		if names := plans[i].deadlyNames(job.ID); len(names) > 0 {
			deadly, mayFail[job.ID] = append(deadly, names...), true
			f.setDeadly(slices.Clone(deadly))
		}
		f.submitUntilAccepted(job)
		ids = append(ids, job.ID)
		time.Sleep(plans[i].pause)
	}
	if after == len(plans) {
		for _, faulty := range hosts {
			faults.apply(f.hosts[faulty])
		}
	}
	time.Sleep(finishTime - maxIdle)
	o := newStandstillOracle(f, ids)
	o.mayFail = mayFail
	if failure := o.watch(judgedTime); failure != "" {
		return failure
	}
	for _, id := range ids {
		if phase := f.phase(id); phase == workflow.Failed && !mayFail[id] {
			return fmt.Sprintf("job %s has failed without cause", id)
		}
	}
	if broken := f.checker.foundViolations(); len(broken) > 0 {
		return broken[0]
	}
	return ""
}

// Guards against jobs that stand still at the end because their tasks are sent again and again to executors that reject all calls.
func TestNoJobStandsStillWithRejectingExecutors(t *testing.T) {
	checkLastingFaults(t, func(t *rapid.T) lastingFaults {
		share := rapid.SampledFrom([]float64{0.2, 0.5, 0.9, 1}).Draw(t, "rejected")
		return lastingFaults{calls: nodetest.CallFaults{Rejected: share, OrdersOnly: rapid.Bool().Draw(t, "orders only")}}
	})
}

// Guards against jobs that stand still at the end because the results of their starts and stops stay unknown.
func TestNoJobStandsStillWithLostAnswers(t *testing.T) {
	checkLastingFaults(t, func(t *rapid.T) lastingFaults {
		share := rapid.SampledFrom([]float64{0.1, 0.3, 0.5, 0.9}).Draw(t, "lost")
		return lastingFaults{calls: nodetest.CallFaults{AnswerLost: share, OrdersOnly: true}}
	})
}

// Guards against jobs that stand still at the end because executors carry their starts and stops out late.
func TestNoJobStandsStillWithLateOrders(t *testing.T) {
	checkLastingFaults(t, func(t *rapid.T) lastingFaults {
		share := rapid.SampledFrom([]float64{0.1, 0.3, 0.5, 0.9}).Draw(t, "late")
		return lastingFaults{calls: nodetest.CallFaults{Delayed: share, MaxDelay: lateness, OrdersOnly: true}}
	})
}

// Guards against jobs that stand still at the end because tasks crash executors, and are held back or hold others back.
func TestNoJobStandsStillWithCrashingTasks(t *testing.T) {
	checkLastingFaults(t, func(*rapid.T) lastingFaults { return lastingFaults{deadly: true} })
}

// Guards against jobs that stand still at the end because hosts are lost for good.
func TestNoJobStandsStillWithLostHosts(t *testing.T) {
	checkLastingFaults(t, func(*rapid.T) lastingFaults { return lastingFaults{lost: true} })
}
