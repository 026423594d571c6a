package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// reportEnd sends a report of node "a" that its executor has ended, with the executor's last lists.
func (h *harness) reportEnd(x *workflow.Executor, running []workflow.RunState, ended []workflow.RunEnd) {
	h.sendEnd(&workflow.Report{
		Incarnation: 1, Executor: x, Listed: true, EndsComplete: true, Running: running, Ended: ended, ListAgeMillis: 300, BrokenMillis: 300,
		ExecutorEnd: &workflow.ExecutorEnd{CoveredSequence: 1 << 40}, LeaseBound: &workflow.LeaseBound{Epoch: h.epoch, LeftMillis: 6000},
	})
}

// reportEndByNewProcess sends a report of a new process of node "a", which knows only that no executor runs on the host.
func (h *harness) reportEndByNewProcess() {
	h.sendEnd(&workflow.Report{
		Incarnation: 2, ExecutorEnd: &workflow.ExecutorEnd{}, LeaseBound: &workflow.LeaseBound{Epoch: h.epoch, LeftMillis: 6000},
	})
}

func (h *harness) sendEnd(r *workflow.Report) {
	_, granted := h.send("a", r)
	h.Assert(granted, qt.IsFalse)
}

// startOnA starts the tasks of a new job on node "a" and returns the job and its runs.
func (h *harness) startOnA(tasks int) (job workflow.Job, running []workflow.RunState) {
	job, running = h.startJob(executor("a", 1), step(tasks))
	h.now = h.now.Add(2 * time.Second)
	return job, running
}

// startsOnB returns the starts that are ordered once node "b" reports.
func (h *harness) startsOnB() []workflow.StartOrder {
	h.report("b", executor("b", 1), nil, nil)
	orders := h.plan()
	h.Assert(orders["a"].Starts, qt.HasLen, 0)
	return orders["b"].Starts
}

// startsAfterLease returns the starts that are ordered on node "b" once the lease of the executor of node "a" has expired.
func (h *harness) startsAfterLease() []workflow.StartOrder {
	h.Assert(h.startsOnB(), qt.HasLen, 0, qt.Commentf("the runs may go on until the lease has expired"))
	h.now = h.now.Add(leaseExpiry)
	h.engine.ExpireLeases(h.now)
	return h.startsOnB()
}

// Guards against a second run of a task while its executor runs it but refuses connections, and against tasks that wait for longer than
// the lease of such an executor, also if a new process of its node doesn't know the executor.
func TestTasksOfRefusingExecutorRestartAfterItsLease(t *testing.T) {
	for _, newProcess := range []bool{false, true} {
		h := newHarness(t)
		h.startOnA(2)
		for range 2 {
			if newProcess {
				h.reportEndByNewProcess()
			} else {
				h.reportEnd(executor("a", 1), nil, nil)
			}
		}
		h.Assert(h.engine.TakeDepartures(), qt.DeepEquals, []engine.Departure{{Node: "a", Incarnation: "i-a@1", Held: true, Tasks: 2}})
		starts := h.startsAfterLease()
		h.Assert(starts, qt.HasLen, 2)
		h.Assert(starts[0].Run, qt.Equals, 2)
	}
}

// Guards against runs that are stopped or started elsewhere although their executor, which had refused connections, lists them again.
func TestRunsOfExecutorThatListsThemAgainGoOn(t *testing.T) {
	h := newHarness(t)
	_, running := h.startOnA(2)
	h.reportEnd(executor("a", 1), running, nil)
	h.Assert(h.startsOnB(), qt.HasLen, 0)
	h.now = h.now.Add(leaseExpiry / 2)
	h.report("a", executor("a", 1), running, nil)
	h.now = h.now.Add(leaseExpiry / 2)
	h.Assert(h.engine.ExpireLeases(h.now), qt.HasLen, 0)
	h.report("b", executor("b", 1), nil, nil)
	h.Assert(h.plan(), qt.HasLen, 0)
}

// Guards against a crash that is counted for a draining executor because the announcement of its end was lost.
func TestEndOfDrainingExecutorIsNoCrash(t *testing.T) {
	h := newHarness(t)
	h.startOnA(1)
	draining := executor("a", 1)
	draining.Draining = true
	h.reportEnd(draining, nil, nil)
	h.Assert(h.startsOnB(), qt.HasLen, 1)
	h.Assert(h.engine.TakeDepartures(), qt.DeepEquals, []engine.Departure{{Node: "a", Incarnation: "i-a@1", Tasks: 1}})
	crashes, _ := h.engine.TakeCrashes()
	h.Assert(crashes, qt.HasLen, 0)
}

// Guards against a second run of a task, or a start in its place (ROUTE, LIMIT), while its executor keeps running but refuses
// connections: the end that was announced for its ID may be that of a former incarnation.
func TestRefusingExecutorThatDoesNotDrainKeepsItsRuns(t *testing.T) {
	h := newHarness(t)
	h.startOnA(1)
	leaving := executor("a", 1)
	leaving.EndAnnounced = true
	h.reportEnd(leaving, nil, nil)
	h.Assert(h.startsAfterLease(), qt.HasLen, 1)
	h.Assert(h.engine.TakeDepartures(), qt.DeepEquals, []engine.Departure{{Node: "a", Incarnation: "i-a@1", Held: true, Tasks: 1}})
	crashes, _ := h.engine.TakeCrashes()
	h.Assert(crashes, qt.HasLen, 0)
}

// Guards against starts on an executor that may end, and against one that is never used again because the end of a former incarnation
// was announced late.
func TestExecutorIsUsedAgainAfterFalseAnnouncementOfItsEnd(t *testing.T) {
	h := newHarness(t)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	leaving := executor("a", 1)
	leaving.EndAnnounced = true
	h.report("a", leaving, nil, nil)
	h.Assert(h.plan()["a"].Starts, qt.HasLen, 0)
	h.report("a", executor("a", 1), nil, nil)
	h.Assert(h.plan()["a"].Starts, qt.HasLen, 1)
}

// Guards against tasks that wait for longer than the lease that the node reports, because the owner has changed after the crash.
func TestTasksOfCrashedExecutorRestartAfterTakeover(t *testing.T) {
	for _, newProcess := range []bool{false, true} {
		h := newHarness(t)
		job, record, running := h.assigned(executor("a", 1))
		h.epoch = 2
		h.takeOver(job, record)
		if newProcess {
			h.reportEndByNewProcess()
		} else {
			h.reportEnd(executor("a", 1), running, nil)
		}
		h.Assert(h.startsAfterLease(), qt.HasLen, 2)
	}
}

// Guards against a crash that doesn't count for a task whose run the executor had accepted but not listed yet, and against one that the
// next owner counts for a task whose run is not known to have begun.
func TestAcceptedStartsAreKnownAfterTakeover(t *testing.T) {
	h := newHarness(t)
	job := h.job(step(2))
	h.engine.Add(job, nil, h.now, h.now)
	h.report("a", executor("a", 1), nil, nil)
	h.engine.Plan(h.now, h.now)
	record := h.engine.TakeDirty()[0].Record
	starts := h.engine.TakeOrders()[0].Orders.Starts
	h.epoch = 2
	h.takeOver(job, record)
	h.sendEnd(&workflow.Report{
		Incarnation: 1, Executor: executor("a", 1), Listed: true, EndsComplete: true, LeaseBound: &workflow.LeaseBound{Epoch: 2},
		ExecutorEnd: &workflow.ExecutorEnd{CoveredSequence: 1, Started: []workflow.RunState{{Task: starts[0].Task, Run: 1}, {Task: starts[1].Task, Run: 0}}},
	})
	h.Assert(h.startsAfterLease(), qt.HasLen, 2)
	crashes, _ := h.engine.TakeCrashes()
	h.Assert(crashes, qt.HasLen, 1)
	h.Assert(crashes[0].Runs, qt.Equals, 1)
}

// Guards against finished work that is repeated and checkpoints that are lost because they are only in the report of the executor's end.
func TestLastListsOfCrashedExecutorCount(t *testing.T) {
	h := newHarness(t)
	_, running := h.startOnA(2)
	running[0].Saved = "half"
	h.reportEnd(executor("a", 1), running[:1], []workflow.RunEnd{{Number: 1, Task: running[1].Task, Run: 1, How: workflow.EndDone}})
	starts := h.startsAfterLease()
	h.Assert(starts, qt.HasLen, 1)
	h.Assert(starts[0].Saved, qt.Equals, "half")
}

// Guards against a second run of a task whose start may still reach the next incarnation under the ID of a crashed executor.
func TestUnknownStartOutlastsCrash(t *testing.T) {
	h := newHarness(t)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	h.report("a", executor("a", 1), nil, nil)
	start := h.plan()["a"].Starts[0]
	h.reportEnd(executor("a", 1), nil, nil)
	h.Assert(h.startsOnB(), qt.HasLen, 0)
	h.answer("a", start, workflow.OutcomeUnknown)
	h.reportEnd(executor("a", 1), nil, nil)
	h.Assert(h.startsOnB(), qt.HasLen, 0)
	h.report("a", executor("a", 2), []workflow.RunState{{Task: start.Task, Run: 1}}, nil)
	h.Assert(h.startsOnB(), qt.HasLen, 0, qt.Commentf("it has reached the next incarnation"))
}

// Guards against a second run of a task that the executor has started after its end was reported in error: the result of the start
// arrives before the report.
func TestStartAfterReportedEndIsKept(t *testing.T) {
	h := newHarness(t)
	_, running := h.startJob(executor("a", 1), step(1))
	h.sendEnd(&workflow.Report{
		Incarnation: 1, Executor: executor("a", 1), Listed: true, EndsComplete: true, ExecutorEnd: &workflow.ExecutorEnd{CoveredSequence: 0}, LeaseBound: &workflow.LeaseBound{},
	})
	h.Assert(h.startsOnB(), qt.HasLen, 0)
	h.report("a", executor("a", 1), running, nil)
	h.Assert(h.startsOnB(), qt.HasLen, 0)
}

// Guards against a second run of a task because of a report that was meant for a former owner, or is older than the newest one: the
// incarnation that runs the task may have started since.
func TestOldReportOfEndIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.epoch = 2
	h.engine = h.newEngine()
	h.startOnA(1)
	h.epoch = 1
	h.reportEndByNewProcess()
	h.Assert(h.startsOnB(), qt.HasLen, 0)
	h.epoch, h.reports["a"] = 2, 0
	h.reportEnd(executor("a", 1), nil, nil)
	h.Assert(h.startsOnB(), qt.HasLen, 0)
}

// Guards against starts on an executor that has ended, and against an executor that gets no more starts although it runs.
func TestEndedExecutorGetsNoStartsUntilItListsRuns(t *testing.T) {
	for _, test := range []struct {
		name     string
		executor *workflow.Executor
		listAge  time.Duration
		starts   int
	}{
		{"listed before its end", executor("a", 1), 400 * time.Millisecond, 0},
		{"lists its runs again", executor("a", 1), 10 * time.Millisecond, 1},
		{"next incarnation", executor("a", 2), 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.reportEnd(executor("a", 1), nil, nil)
			h.engine.Add(h.job(step(1)), nil, h.now, h.now)
			h.now = h.now.Add(100 * time.Millisecond)
			h.send("a", &workflow.Report{
				Incarnation: 1, Executor: test.executor, Listed: true, EndsComplete: true,
				ListAgeMillis: test.listAge.Milliseconds(),
			})
			h.Assert(h.plan()["a"].Starts, qt.HasLen, test.starts)
		})
	}
}

// Guards against a crash that is counted twice, as the end of the executor and again as its replacement or the end of its lease, and
// against suspects of a crash when the whole host has restarted.
func TestReportedCrashCountsOnce(t *testing.T) {
	for _, test := range []struct {
		name             string
		newProcess       bool
		total, suspicion int
		crashes          int
	}{{"the executor", false, 1, 1, 1}, {"the host", true, 1, 0, 0}} {
		for _, replaced := range []bool{true, false} {
			t.Run(test.name, func(t *testing.T) {
				h := newHarness(t)
				job := h.job(step(2))
				h.engine.Add(job, nil, h.now, h.now)
				h.report("a", executor("a", 1_000_000), nil, nil)
				orders := h.plan()["a"]
				// The result of the second start stays unknown, so that its task outlasts the reported end.
				h.accept("a", workflow.Orders{Starts: orders.Starts[:1]})
				h.engine.HandleOrderResult("a", 1, &workflow.OrderResult{Task: orders.Starts[1].Task, Run: 1, Outcome: workflow.OutcomeUnknown, Sequence: 2}, h.now)
				h.now = h.now.Add(300 * time.Millisecond)
				for range 3 {
					h.now = h.now.Add(time.Millisecond)
					if test.newProcess {
						h.reportEndByNewProcess()
					} else {
						h.reportEnd(executor("a", 1_000_000), nil, nil)
					}
				}
				if replaced {
					// The successor has listed its runs, which shows the end of the former one. It gets no starts, since it drains.
					successor := executor("a2", 1_003_000)
					successor.Draining = true
					h.sendEnd(&workflow.Report{Incarnation: 2, Executor: successor, Listed: true, ListAgeMillis: 2000, EndsComplete: true})
				} else {
					h.now = h.now.Add(8 * time.Second)
					h.reportEnd(executor("a", 1_000_000), nil, nil)
					h.Assert(h.engine.ExpireLeases(h.now), qt.HasLen, 1)
				}
				crashes, _ := h.engine.TakeCrashes()
				h.Assert(crashes, qt.HasLen, test.crashes)
				h.engine.Plan(h.now, h.now)
				record := h.engine.TakeDirty()[0].Record
				h.Assert(record.Tasks, qt.HasLen, 2)
				for _, task := range record.Tasks {
					h.Assert(task.Phase, qt.Equals, workflow.TaskWaiting)
					h.Assert(task.Crashes, qt.Equals, test.total)
					h.Assert(task.Suspicions, qt.Equals, test.suspicion)
				}
			})
		}
	}
}

// Guards against suspects that wait for longer than the lease of the ended executor because all suspects of a job have to start on one
// executor, and one of them has an unconfirmed start on the ended one.
func TestUnconfirmedStartHoldsNoOtherSuspectBack(t *testing.T) {
	h := newHarness(t)
	h.engine.Add(h.job(step(3)), nil, h.now, h.now)
	h.report("a", executor("a", 1), nil, nil)
	orders := h.plan()["a"]
	h.accept("a", workflow.Orders{Starts: orders.Starts[:2]})
	h.engine.HandleOrderResult("a", 1, &workflow.OrderResult{Task: orders.Starts[2].Task, Run: 1, Outcome: workflow.OutcomeUnknown, Sequence: 2}, h.now)
	h.now = h.now.Add(310 * time.Millisecond)
	h.reportEnd(executor("a", 1), nil, nil)
	crashes, _ := h.engine.TakeCrashes()
	h.Assert(crashes, qt.HasLen, 1)
	h.Assert(crashes[0].Suspects, qt.HasLen, 3)
	h.Assert(h.startsAfterLease(), qt.HasLen, 3)
}

// Guards against a job that is given up because several executors crash at once: its tasks, released from the first executor, are being
// started on another one that has crashed as well (LOST).
func TestStartAfterCrashIsNoCause(t *testing.T) {
	h := newHarness(t)
	job := h.job(step(2))
	h.engine.Add(job, nil, h.now, h.now)
	h.report("b", executor("b", 1), nil, nil)
	h.accept("b", h.plan()["b"])
	h.now = h.now.Add(300 * time.Millisecond)
	h.send("b", &workflow.Report{
		Incarnation: 1, Executor: executor("b", 1), Listed: true, EndsComplete: true,
		BrokenMillis: 290, ExecutorEnd: &workflow.ExecutorEnd{CoveredSequence: 1 << 40}, LeaseBound: &workflow.LeaseBound{},
	})
	h.now = h.now.Add(leaseExpiry)
	h.report("a", executor("a", 1), nil, nil)
	crashedAt := h.now.Add(10 * time.Millisecond)
	h.now = h.now.Add(300 * time.Millisecond)
	h.engine.ExpireLeases(h.now)
	starts := h.plan()["a"].Starts
	h.Assert(starts, qt.HasLen, 2)
	h.now = h.now.Add(50 * time.Millisecond)
	h.sendEnd(&workflow.Report{
		Incarnation: 1, Executor: executor("a", 1), Listed: true, EndsComplete: true, BrokenMillis: h.now.Sub(crashedAt).Milliseconds(),
		ExecutorEnd: &workflow.ExecutorEnd{}, LeaseBound: &workflow.LeaseBound{},
	})
	for _, s := range starts {
		h.engine.HandleOrderResult("a", 1, &workflow.OrderResult{Task: s.Task, Run: s.Run, Outcome: workflow.OutcomeRejected, Reason: "unreachable"}, h.now)
	}
	crashes, _ := h.engine.TakeCrashes()
	h.Assert(crashes, qt.HasLen, 1)
	h.plan()
	h.Assert(h.phase(job.ID), qt.Equals, workflow.Running)
}

// Guards against a job that is given up because its task was ordered on two executors in turn that had crashed before, as a new owner
// does until their nodes report the next incarnations (LOST).
func TestStartsOnCrashedExecutorsAreNoCrashes(t *testing.T) {
	h := newHarness(t)
	job := h.job(step(1))
	h.engine.Add(job, nil, h.now, h.now)
	nodes := []string{"a", "b"}
	for _, node := range nodes {
		h.send(node, &workflow.Report{
			Incarnation: 1, Executor: executor(node, 1), Listed: true, EndsComplete: true,
			ListAgeMillis: 900, BrokenMillis: 800, CoveredSequence: 1 << 40,
		})
	}
	for range nodes {
		orders := h.plan()
		h.Assert(orders, qt.HasLen, 1)
		h.now = h.now.Add(50 * time.Millisecond)
		for node := range orders {
			next := executor(node, 2)
			next.ID = "i-next-" + node
			h.report(node, next, nil, nil)
			next.Draining = true
			h.report(node, next, nil, nil)
		}
	}
	h.plan()
	crashes, givenUp := h.engine.TakeCrashes()
	h.Assert(crashes, qt.HasLen, 0)
	h.Assert(givenUp, qt.HasLen, 0)
	h.Assert(h.phase(job.ID), qt.Equals, workflow.Running)
}

// Guards against a job that is given up without cause: an executor crashes right after it has accepted the stop of a run that it had not
// listed and so never ran, and the crash counts for the run's task (found by TestRandomFaultsWithRefusedConnections, seed 5481, with stops
// that take 900 ms).
func TestCrashAfterStopOfUnlistedRunIsNotCounted(t *testing.T) {
	h := newHarness(t)
	_, running := h.startOnA(1)
	h.report("a", executor("a", 2), nil, nil)
	orders := h.plan()["a"]
	h.Assert(orders.Stops, qt.DeepEquals, []workflow.StopOrder{{Task: running[0].Task, Run: 1, Reason: "its executor doesn't list it"}})
	h.accept("a", orders)
	h.engine.TakeCrashes()
	h.now = h.now.Add(time.Second)
	h.reportEnd(executor("a", 2), nil, nil)
	crashes, _ := h.engine.TakeCrashes()
	h.Assert(crashes, qt.HasLen, 0)
}
