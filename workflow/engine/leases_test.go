package engine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// Guards against a lease that the owner does not count: a node without lists got one, and the tasks were started elsewhere
// before it had expired.
func TestReportsWithoutListsRenewNoLease(t *testing.T) {
	h := newHarness(t)
	h.report("a", executor("a", 1), nil, nil)
	for range 8 {
		h.now = h.now.Add(900 * time.Millisecond)
		_, granted := h.send("a", &workflow.Report{Incarnation: 2, Executor: executor("a", 1)})
		h.Assert(granted, qt.IsFalse)
	}
}

// takeOver replaces the engine by that of a new owner, which has read the record of the job.
func (h *harness) takeOver(job workflow.Job, record workflow.JobRecord) {
	h.engine = h.newEngine()
	h.engine.Add(job, &record, h.now, h.now)
}

// assigned adds a job with two tasks that run on an executor, and returns it with its record.
func (h *harness) assigned(x *workflow.Executor) (workflow.Job, workflow.JobRecord, []workflow.RunState) {
	job := h.job(step(2))
	h.engine.Add(job, nil, h.now, h.now)
	h.report("a", x, nil, nil)
	h.engine.Plan(h.now, h.now)
	record := h.engine.TakeDirty()[0].Record
	var running []workflow.RunState
	for _, d := range h.engine.TakeOrders() {
		running = append(running, h.accept(d.Node, d.Orders)...)
	}
	h.Assert(running, qt.HasLen, 2)
	return job, record, running
}

// lapsesAfter advances the clock until tasks lapse, and returns after how long they did and where their lease was known from.
func (h *harness) lapsesAfter() (time.Duration, engine.LeaseSource) {
	for began := h.now; h.now.Sub(began) < 20*time.Second; h.now = h.now.Add(10 * time.Millisecond) {
		if lapsed := h.engine.ExpireLeases(h.now); len(lapsed) > 0 {
			h.Assert(lapsed, qt.HasLen, 1)
			h.Assert(lapsed[0].Tasks, qt.Equals, 2)
			return h.now.Sub(began), lapsed[0].Source
		}
	}
	h.Fatal("no tasks have lapsed")
	return 0, ""
}

// Guards against tasks of a silent executor that a new owner holds as if their lease had been renewed at its takeover,
// although the executor's node knows when it expires; and against tasks that lapse too early on a node's word.
func TestNodeLimitsLeaseAfterTakeover(t *testing.T) {
	const epoch = 7
	silent := func(x *workflow.Executor, bound *workflow.LeaseBound) *workflow.Report {
		return &workflow.Report{Executor: x, Listed: x != nil, ListAgeMillis: 4000, LeaseBound: bound}
	}
	for name, test := range map[string]struct {
		report *workflow.Report
		after  time.Duration
		source engine.LeaseSource
	}{
		"executor known":       {silent(executor("a", 1), &workflow.LeaseBound{Epoch: epoch, LeftMillis: 2000}), 2560 * time.Millisecond, engine.LeaseOfNode},
		"executor unknown":     {silent(nil, &workflow.LeaseBound{Epoch: epoch, LeftMillis: 2000}), 2560 * time.Millisecond, engine.LeaseOfNode},
		"lease ended":          {silent(executor("a", 1), &workflow.LeaseBound{Epoch: epoch, LeftMillis: -9000}), 0, engine.LeaseOfNode},
		"next incarnation":     {silent(executor("a", 2), &workflow.LeaseBound{Epoch: epoch, LeftMillis: 2000}), 2560 * time.Millisecond, engine.LeaseOfNode},
		"lower epoch":          {silent(executor("a", 1), &workflow.LeaseBound{Epoch: epoch - 1, LeftMillis: 2000}), 8660 * time.Millisecond, engine.LeaseOfTakeover},
		"unknown to the node":  {silent(executor("a", 1), nil), 8660 * time.Millisecond, engine.LeaseOfTakeover},
		"longer than possible": {silent(executor("a", 1), &workflow.LeaseBound{Epoch: epoch, LeftMillis: 60000}), 8660 * time.Millisecond, engine.LeaseOfTakeover},
		"renewed": {
			&workflow.Report{Executor: executor("a", 1), Listed: true, EndsComplete: true, LeaseBound: &workflow.LeaseBound{Epoch: epoch, LeftMillis: 2000}},
			7060 * time.Millisecond, engine.LeaseOfOwner,
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.epoch = epoch
			job, record, running := h.assigned(executor("a", 1))
			h.takeOver(job, record)
			r := *test.report
			r.Node, r.Address, r.Incarnation, r.Number = "a", "a", 1, 5
			if r.ListAgeMillis == 0 {
				// The task is listed, so that it stays assigned.
				r.Running = running
			}
			h.engine.HandleReport(&r, h.now, h.now)
			after, source := h.lapsesAfter()
			h.Assert(after, qt.Equals, test.after)
			h.Assert(source, qt.Equals, test.source)
		})
	}
}

// Guards against tasks that lapse by what a node reported before the owner renewed its lease.
func TestNodeDoesNotLimitRenewedLease(t *testing.T) {
	h := newHarness(t)
	_, running := h.startJob(executor("a", 1), step(2))
	h.report("a", executor("a", 1), running, nil)
	h.send("a", &workflow.Report{
		Incarnation: 1, Executor: executor("a", 1), Listed: true, EndsComplete: true, ListAgeMillis: 2000,
		Running: running, LeaseBound: &workflow.LeaseBound{LeftMillis: 100},
	})
	after, source := h.lapsesAfter()
	h.Assert(after, qt.Equals, 7060*time.Millisecond)
	h.Assert(source, qt.Equals, engine.LeaseOfOwner)
}

// handOver replaces the engine by that of a new owner, which reads after some time what the former one has left.
func (h *harness) handOver(pause time.Duration, job workflow.Job, record workflow.JobRecord) {
	leases := h.engine.FinalLeases(h.now)
	h.now = h.now.Add(pause)
	h.takeOver(job, record)
	h.engine.InheritLeases(&leases, h.now)
}

// Guards against tasks of a lost host that a new owner holds as if their lease had been renewed at its takeover, and against
// tasks that lapse before the lease has expired, after one hand-over or two.
func TestLeasesAreInherited(t *testing.T) {
	h := newHarness(t)
	x := executor("a", 1)
	job, record, running := h.assigned(x)
	h.now = h.now.Add(2 * time.Second)
	h.report("a", x, running, nil)
	renewedAt := h.now
	h.now = h.now.Add(3 * time.Second)
	h.handOver(100*time.Millisecond, job, record)
	h.now = h.now.Add(time.Second)
	h.handOver(100*time.Millisecond, job, record)
	_, source := h.lapsesAfter()
	h.Assert(source, qt.Equals, engine.LeaseOfFormerOwner)
	after := h.now.Sub(renewedAt)
	h.Assert(after >= 7060*time.Millisecond && after < 7300*time.Millisecond, qt.IsTrue, qt.Commentf("lapsed %v after the renewal", after))
}

// Guards against tasks that are held for another lease because their executor's had expired right before a hand-over and this was
// not stored any more.
func TestLapseThatIsNotStoredIsInherited(t *testing.T) {
	h := newHarness(t)
	job, record, _ := h.assigned(executor("a", 1))
	h.now = h.now.Add(7100 * time.Millisecond)
	h.Assert(h.engine.ExpireLeases(h.now), qt.HasLen, 1)
	h.handOver(100*time.Millisecond, job, record)
	h.now = h.now.Add(100 * time.Millisecond)
	lapsed := h.engine.ExpireLeases(h.now)
	h.Assert(lapsed, qt.HasLen, 1)
	h.Assert(lapsed[0].Source, qt.Equals, engine.LeaseOfFormerOwner)
}

// Guards against tasks that lapse by an inherited lease although the owner has renewed it, or on another incarnation of the
// executor, for which it was not meant.
func TestInheritedLeaseIsRenewed(t *testing.T) {
	h := newHarness(t)
	x := executor("a", 1)
	job, record, running := h.assigned(x)
	h.now = h.now.Add(4 * time.Second)
	h.handOver(0, job, record)
	h.report("a", x, running, nil)
	after, source := h.lapsesAfter()
	h.Assert(source, qt.Equals, engine.LeaseOfOwner)
	h.Assert(after, qt.Equals, 7060*time.Millisecond)
	h = newHarness(t)
	job, record, _ = h.assigned(x)
	h.now = h.now.Add(4 * time.Second)
	h.handOver(0, job, record)
	h.engine.HandleReport(&workflow.Report{Node: "a", Address: "a", Incarnation: 2, Number: 1, Executor: executor("a", 2)}, h.now, h.now)
	after, source = h.lapsesAfter()
	h.Assert(source, qt.Equals, engine.LeaseOfFormerOwner)
	h.Assert(after >= 7060*time.Millisecond, qt.IsTrue, qt.Commentf("%v", after))
}

// Guards against a successor that counts leases as expired which an owner before its predecessor may have renewed: the
// predecessor handed over right after its own takeover.
func TestShortTermInheritsTakeoverBound(t *testing.T) {
	h := newHarness(t)
	job, record, _ := h.assigned(executor("a", 1))
	h.takeOver(job, record)
	tookOverAt := h.now
	h.now = h.now.Add(300 * time.Millisecond)
	h.handOver(100*time.Millisecond, job, record)
	h.lapsesAfter()
	after := h.now.Sub(tookOverAt)
	h.Assert(after >= 8660*time.Millisecond && after < 8900*time.Millisecond, qt.IsTrue, qt.Commentf("%v", after))
}

// Guards against a record of leases that grows with the number of hosts without limit.
func TestInheritedLeasesAreBounded(t *testing.T) {
	h := newHarness(t)
	for i := range workflow.MaxExecutorLeases + 10 {
		job := h.job(step(1))
		h.engine.Add(job, &workflow.JobRecord{Phase: workflow.Running, Tasks: []workflow.TaskRecord{
			{Phase: workflow.TaskAssigned, Run: 1, Life: fmt.Sprintf("i-%d@1", i), Node: fmt.Sprint(i)},
		}}, h.now, h.now)
	}
	h.Assert(h.engine.FinalLeases(h.now).Executors, qt.HasLen, workflow.MaxExecutorLeases)
}

// Guards against a lapse within reach of a stale lease whose line doesn't tell that the executor had just restarted under its ID.
func TestLapseTellsHowLongIncarnationIsKnown(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		h := newHarness(t)
		if restarted {
			h.report("a", executor("a", 1), nil, nil)
			h.now = h.now.Add(time.Minute)
		}
		h.assigned(executor("a", 2))
		known := h.now
		var lapsed []engine.Lapse
		for len(lapsed) == 0 && h.now.Sub(known) < time.Minute {
			h.now = h.now.Add(10 * time.Millisecond)
			lapsed = h.engine.ExpireLeases(h.now)
		}
		h.Assert(lapsed, qt.HasLen, 1)
		h.Assert(lapsed[0].SameID, qt.Equals, restarted)
		h.Assert(lapsed[0].Known, qt.Equals, h.now.Sub(known))
	}
}
