package engine_test

import (
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
		h.reports["a"]++
		_, granted := h.engine.HandleReport(&workflow.Report{
			Node: "a", Address: "a", Incarnation: 2, Number: h.reports["a"], Executor: executor("a", 1),
		}, h.now, h.now)
		h.Assert(granted, qt.IsFalse)
	}
}

// takeOver replaces the engine by that of a new owner, which has read the records of all jobs.
func (h *harness) takeOver(jobs ...workflow.Job) {
	h.engine.Plan(h.now, h.now)
	records := map[string]workflow.JobRecord{}
	for _, change := range h.engine.TakeDirty() {
		records[change.Job] = change.Record
	}
	h.engine = h.newEngine()
	for _, job := range jobs {
		record := records[job.ID]
		h.engine.Add(job, &record, h.now, h.now)
	}
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
			&workflow.Report{Executor: executor("a", 1), Listed: true, LeaseBound: &workflow.LeaseBound{Epoch: epoch, LeftMillis: 2000}},
			7060 * time.Millisecond, engine.LeaseOfOwner,
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.epoch = epoch
			job := h.job(step(2))
			h.engine.Add(job, nil, h.now, h.now)
			h.report("a", executor("a", 1), nil, nil)
			h.takeOver(job)
			r := *test.report
			r.Node, r.Address, r.Incarnation, r.Number = "a", "a", 1, 5
			if r.ListAgeMillis == 0 {
				// The task is listed, so that it stays assigned.
				r.Running = []workflow.RunState{{Task: job.ID + ".0.0.0", Run: 1}, {Task: job.ID + ".0.0.1", Run: 1}}
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
	job := h.job(step(2))
	h.engine.Add(job, nil, h.now, h.now)
	h.report("a", executor("a", 1), nil, nil)
	running := h.accept("a", h.plan()["a"])
	h.report("a", executor("a", 1), running, nil)
	h.reports["a"]++
	h.engine.HandleReport(&workflow.Report{
		Node: "a", Address: "a", Incarnation: 1, Number: h.reports["a"], Executor: executor("a", 1), Listed: true, ListAgeMillis: 2000,
		Running: running, LeaseBound: &workflow.LeaseBound{LeftMillis: 100},
	}, h.now, h.now)
	after, source := h.lapsesAfter()
	h.Assert(after, qt.Equals, 7060*time.Millisecond)
	h.Assert(source, qt.Equals, engine.LeaseOfOwner)
}
