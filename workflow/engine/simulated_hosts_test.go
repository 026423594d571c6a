package engine_test

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// leaseDuration is the lease that the engines of tests grant.
	leaseDuration = 6500 * time.Millisecond
	// shortestLeaseLeft is what must be left of a lease for a node to pass a start on.
	shortestLeaseLeft = time.Second
)

// lateStart is a start without an answer that an executor may still carry out.
type lateStart struct {
	executorID string
	workflow.RunState
	fence    int64
	deadline time.Time
}

// faultyHost simulates a node with its executor. It differs from both in one point: a late start reaches the next incarnation of an
// executor under its ID only if the former one would still have accepted it, and keeps its deadline. On the platform it reaches it in
// any case, which is an open fault (docs/PROOFS.md).
type faultyHost struct {
	name string
	// executor is the one that runs, and known the one that the node knows.
	executor, known workflow.Executor
	silent          bool

	// process, sequence and number are the incarnation of the node's process and its counts of orders and reports.
	process, sequence, number int64
	epoch                     int64
	sentAt                    map[int64]time.Time
	// lists are the last lists of the executor, from listedAt; nil if the node has none of the known one.
	lists    *workflow.Report
	listedAt time.Time

	fence    int64
	leaseEnd time.Time
	running  map[string]int
	highest  map[string]int
	ended    []workflow.RunEnd
	ends     int64
	late     []lateStart
}

// restart ends all runs and starts the next incarnation of the executor.
func (h *faultyHost) restart(next workflow.Executor, now time.Time) {
	h.late = slices.DeleteFunc(h.late, func(l lateStart) bool { return l.executorID != next.ID || !h.canStart(l, now) })
	h.executor = next
	h.fence, h.leaseEnd, h.ends, h.ended = 0, time.Time{}, 0, nil
	h.running, h.highest = map[string]int{}, map[string]int{}
}

// restartNode starts the next process of the node.
func (h *faultyHost) restartNode() {
	h.process++
	h.sequence, h.number, h.epoch, h.lists = 0, 0, 0, nil
	h.sentAt = map[int64]time.Time{}
}

// endRun ends a run.
func (h *faultyHost) endRun(task string, how workflow.EndReason) {
	h.ends++
	h.ended = append(h.ended, workflow.RunEnd{Number: h.ends, Task: task, Run: h.running[task], How: how})
	delete(h.running, task)
}

// advance ends all runs if the lease has expired.
func (h *faultyHost) advance(now time.Time) {
	if !now.After(h.leaseEnd) {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(h.running)) {
		h.endRun(task, workflow.EndLapsed)
	}
}

// list makes the node fetch the lists of the executor, which also makes the executor known to it.
func (h *faultyHost) list(now time.Time) {
	if h.silent {
		return
	}
	h.known, h.listedAt = h.executor, now
	h.lists = &workflow.Report{Listed: true, EndsComplete: true, CoveredSequence: h.sequence, Ended: slices.Clone(h.ended)}
	for _, task := range slices.Sorted(maps.Keys(h.running)) {
		h.lists.Running = append(h.lists.Running, workflow.RunState{Task: task, Run: h.running[task]})
	}
}

// announce makes the node learn of an executor from an announcement alone. The executor may differ from the one that runs.
func (h *faultyHost) announce(x workflow.Executor) { h.known, h.lists = x, nil }

// report returns the next report of the node, with the last lists.
func (h *faultyHost) report(now time.Time) *workflow.Report {
	h.number++
	h.sentAt[h.number] = now
	r := &workflow.Report{}
	if h.lists != nil {
		*r = *h.lists
		r.ListAgeMillis = now.Sub(h.listedAt).Milliseconds()
	}
	known := h.known
	r.Node, r.Address, r.Incarnation, r.Number, r.Executor = h.name, h.name, h.process, h.number, &known
	return r
}

// renew extends the lease as granted on a report.
func (h *faultyHost) renew(report int64) {
	if end := h.sentAt[report].Add(leaseDuration); end.After(h.leaseEnd) {
		h.leaseEnd = end
	}
}

// acknowledge forgets ends of an executor incarnation.
func (h *faultyHost) acknowledge(incarnation string, ack int64) {
	if h.executor.IncarnationID() == incarnation {
		h.ended = slices.DeleteFunc(h.ended, func(e workflow.RunEnd) bool { return e.Number <= ack })
	}
}

// admits reports whether the node would pass a start of some orders on.
func (h *faultyHost) admits(o *workflow.Orders, now time.Time) bool {
	sentAt, known := h.sentAt[o.ReportNumber]
	return o.Epoch >= h.epoch && h.known.IncarnationID() == o.ExecutorIncarnation && o.Incarnation == h.process && known &&
		now.Sub(sentAt) < leaseDuration
}

// startOf returns a start of some orders as the node passes it on, and false if it rejects it.
func (h *faultyHost) startOf(o *workflow.Orders, s *workflow.StartOrder, now time.Time) (lateStart, bool) {
	if !h.admits(o, now) {
		return lateStart{}, false
	}
	deadline := h.leaseEnd
	if end := h.sentAt[o.ReportNumber].Add(leaseDuration); o.LeaseMillis > 0 && end.After(deadline) {
		deadline = end
	}
	id, _, _ := strings.Cut(o.ExecutorIncarnation, "@")
	start := lateStart{executorID: id, RunState: workflow.RunState{Task: s.Task, Run: s.Run}, fence: o.Epoch, deadline: deadline}
	return start, deadline.Sub(now) >= shortestLeaseLeft
}

// canStart reports whether the executor would accept a start now, or once another run of the task has ended.
func (h *faultyHost) canStart(s lateStart, now time.Time) bool {
	return s.executorID == h.executor.ID && s.fence >= h.fence && s.Run > h.highest[s.Task] && !now.After(s.deadline)
}

// start makes the executor carry out a start. It reports whether it accepts it.
func (h *faultyHost) start(s lateStart, now time.Time) bool {
	if h.running[s.Task] > 0 || !h.canStart(s, now) {
		return false
	}
	h.fence = s.fence
	if s.deadline.After(h.leaseEnd) {
		h.leaseEnd = s.deadline
	}
	h.running[s.Task], h.highest[s.Task] = s.Run, s.Run
	return true
}

// stop makes the executor carry out a stop. It reports whether it accepts it.
func (h *faultyHost) stop(s workflow.StopOrder, fence int64) bool {
	if fence < h.fence {
		return false
	}
	h.fence = fence
	h.highest[s.Task] = max(h.highest[s.Task], s.Run)
	return true
}

// mayRun returns the runs that the executor has or may still get by late starts, by task and run.
func (h *faultyHost) mayRun(now time.Time) map[workflow.RunState]bool {
	runs := map[workflow.RunState]bool{}
	for task, run := range h.running {
		runs[workflow.RunState{Task: task, Run: run}] = true
	}
	for _, s := range h.late {
		if h.canStart(s, now) {
			runs[s.RunState] = true
		}
	}
	return runs
}
