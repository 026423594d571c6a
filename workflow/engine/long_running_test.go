package engine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// stopsBesideService returns how many stops are ordered in five seconds for long-running best-effort tasks with checkpoints, of which one
// may be away at a time. They run beside a serving task with the given latency, of a target of 50 ms, and use the given CPU of the half
// core that each requests, while another executor is idle.
func stopsBesideService(t *testing.T, latencyMillis, milliCores float64) (stops int) {
	h, x := newHarness(t), executor("a", 1)
	running := h.startService(x, 10)
	fill := bestEffortStep(2)
	fill.Checkpoints, fill.LongRunning, fill.MaxUnavailable = true, true, 1
	fill.Need.MilliCores, fill.EstimateMillis = 500, 4000
	h.engine.Add(h.job(fill), nil, h.now, h.now)
	h.report("a", x, running, nil)
	running = append(running, h.accept("a", h.plan()["a"])...)
	h.Assert(running, qt.HasLen, 3)
	running[0].Usage = latencyMillis
	for i := range running[1:] {
		running[i+1].Usage, running[i+1].Percent = milliCores, 20
	}
	for range 50 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.report("a", x, running, nil)
		h.report("b", executor("b", 1), nil, nil)
		stops += len(h.plan()["a"].Stops)
	}
	return stops
}

// Guards against tasks that are stopped although other tasks of their step are away (AVAIL): long-running ones that disturb a serving task
// or get little CPU.
func TestLongRunningBestEffortTasksAreNotStopped(t *testing.T) {
	c := qt.New(t)
	c.Assert(stopsBesideService(t, 49, 500), qt.Equals, 0, qt.Commentf("the serving task is near its target"))
	c.Assert(stopsBesideService(t, 10, 50), qt.Equals, 0, qt.Commentf("the tasks get little CPU"))
}

// startLongRunning starts a job of one long-running step on executor "a" once the owner may know of all executors.
func (h *harness) startLongRunning(s workflow.Step) (job workflow.Job, running []workflow.RunState) {
	h.report("a", executor("a", 1), nil, nil)
	h.now = h.now.Add(10 * time.Second)
	s.LongRunning = true
	return h.startJob(executor("a", 1), s)
}

// endLongRunning starts a job of one long-running step on executor "a", and reports the given end of each of its runs.
func endLongRunning(h *harness, s workflow.Step, how workflow.EndReason) (job workflow.Job, ack int64) {
	job, running := h.startLongRunning(s)
	h.now = h.now.Add(5 * time.Second)
	h.report("a", executor("a", 1), running, nil)
	var ends []workflow.RunEnd
	for i, run := range running {
		ends = append(ends, workflow.RunEnd{Number: int64(i + 1), Task: run.Task, Run: run.Run, How: how})
	}
	return job, h.report("a", executor("a", 1), nil, ends)
}

// Guards against tasks that are to last and are given up after an end (LOST): an end "done" made the job completed, though nobody had
// cancelled it. The end is acknowledged, also if the task starts again before.
func TestLongRunningTasksStartAgainHoweverTheyEnd(t *testing.T) {
	for _, how := range []workflow.EndReason{
		workflow.EndDone, workflow.EndFailed, workflow.EndStopped, workflow.EndLapsed, workflow.EndBroken, workflow.EndAlone,
	} {
		for _, isGang := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, gang %v", how, isGang), func(t *testing.T) {
				h := newHarness(t)
				s := step(2)
				s.Gang = isGang
				job, ack := endLongRunning(h, s, how)
				h.Assert(ack, qt.Equals, int64(2))
				starts := h.plan()["a"].Starts
				h.Assert(starts, qt.HasLen, 2)
				h.Assert(starts[0].Run, qt.Equals, 2)
				h.Assert(h.phase(job.ID), qt.Equals, workflow.Running)
				_, counts := h.engine.TakeContradictions()
				h.Assert(counts, qt.HasLen, 0)
			})
		}
	}
}

// Guards against the same over a change of the owner: between the end and the next start, and with a record of a former version, which took
// such a task for done.
func TestLongRunningTasksStartAgainUnderNextOwner(t *testing.T) {
	for _, isFormerVersion := range []bool{false, true} {
		h := newHarness(t)
		job, _ := endLongRunning(h, step(2), workflow.EndDone)
		record := h.engine.TakeDirty()[0].Record
		h.Assert(record.Phase, qt.Equals, workflow.Running)
		if isFormerVersion {
			record.Tasks[0].Phase = workflow.TaskDone
		}
		h.engine = h.newEngine()
		h.now = h.now.Add(10 * time.Second)
		h.engine.Add(job, &record, h.now, h.now)
		h.report("a", executor("a", 1), nil, []workflow.RunEnd{{Number: 1, Task: job.ID + ".0.0.0", Run: 1, How: workflow.EndDone}})
		h.Assert(h.plan()["a"].Starts, qt.HasLen, 2)
		h.Assert(h.phase(job.ID), qt.Equals, workflow.Running)
	}
}

// Guards against a gang that is to last and isn't started again because only one of its members lists the common end.
func TestLongRunningGangStartsAgainAfterOneListedEnd(t *testing.T) {
	h := newHarness(t)
	s := step(2)
	s.Gang = true
	_, running := h.startLongRunning(s)
	h.now = h.now.Add(5 * time.Second)
	ends := []workflow.RunEnd{{Number: 1, Task: running[0].Task, Run: 1, How: workflow.EndDone}}
	for range 10 {
		h.report("a", executor("a", 1), nil, ends)
		orders := h.plan()["a"]
		if len(orders.Starts) == 2 {
			return
		}
		h.accept("a", orders)
		h.now = h.now.Add(100 * time.Millisecond)
	}
	h.Fatal("the gang has not started again within a second")
}

// Guards against a late end of a former run that ends the present one.
func TestEndOfFormerRunOfLongRunningTaskIsIgnored(t *testing.T) {
	h := newHarness(t)
	_, _ = endLongRunning(h, step(1), workflow.EndDone)
	running := h.accept("a", h.plan()["a"])
	h.Assert(running, qt.HasLen, 1)
	h.report("a", executor("a", 1), running, []workflow.RunEnd{{Number: 1, Task: running[0].Task, Run: 1, How: workflow.EndDone}})
	h.Assert(h.plan()["a"].Starts, qt.HasLen, 0)
	h.Assert(h.engine.Counts().Assigned, qt.Equals, 1)
}

// Guards against a task that ends as soon as it has started, again and again: it must neither keep the owner and the store busy nor wait
// beyond the time in which a long-running task has to run again.
func TestEarlyEndsOfLongRunningTaskArePaced(t *testing.T) {
	for _, how := range []workflow.EndReason{workflow.EndDone, workflow.EndFailed} {
		h := newHarness(t)
		s := step(1)
		_, running := h.startLongRunning(s)
		const watched, step, longestPause = 60 * time.Second, 100 * time.Millisecond, 2 * time.Second
		starts, endedAt := 1, h.now
		ends := []workflow.RunEnd{{Number: 1, Task: running[0].Task, Run: 1, How: how}}
		for until := h.now.Add(watched); h.now.Before(until); h.now = h.now.Add(step) {
			h.report("a", executor("a", 1), nil, ends)
			ends = nil
			for _, run := range h.accept("a", h.plan()["a"]) {
				starts++
				h.Assert(h.now.Sub(endedAt) <= longestPause, qt.IsTrue)
				endedAt = h.now
				ends = append(ends, workflow.RunEnd{Number: int64(starts), Task: run.Task, Run: run.Run, How: how})
			}
		}
		h.Assert(starts >= int(watched/longestPause) && starts <= 2*int(watched/time.Second), qt.IsTrue, qt.Commentf("%d starts", starts))
	}
}
