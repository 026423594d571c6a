package node

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/clock/clocktest"
	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

func newNode() *Node { return newNodeOn(clocktest.NewHost()) }

// newNodeOn returns a node on a host with the given clocks.
func newNodeOn(host *clocktest.Host) *Node {
	log := hclog.NewNullLogger()
	locator := ownership.NewLocator(kvtest.New().Client(1), log)
	n := New("n", "a", nil, locator, rpc.NewClient(), host, log, tally.NoopScope)
	n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 1000}, 1, 500)
	return n
}

// Guards against starts that were delayed by a network partition: when they arrive, their tasks may already run elsewhere.
func TestOrdersBasedOnOldReportsAreRejected(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	now := time.Now()
	orders := &workflow.Orders{Epoch: 1, Incarnation: n.incarnation, ReportNumber: 1, LeaseMillis: 6000, ExecutorIncarnation: "i-1@1000"}
	n.reportSentAt[1] = now.Add(-time.Second)
	_, reason := n.checkStart(orders, now)
	c.Assert(reason, qt.Equals, "")
	n.leaseEnd = now.Add(time.Minute)
	n.reportSentAt[1] = now.Add(-owner.ExecutorLeaseDuration)
	_, reason = n.checkStart(orders, now)
	c.Assert(reason, qt.Equals, "basis")
}

// Guards against starts beyond the capacity of an executor: the owner decided on them before the capacity had shrunk.
func TestOrdersBeforeCapacityShrankAreRejected(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	announce := func(sequence, milliCores int64) {
		n.Announce(workflow.Executor{
			ID: "i-1", StartedUnixMillis: 1000, Capacity: structs.Resources{MilliCores: milliCores, MemoryMB: 100},
		}, sequence, 500)
	}
	reason := func(report *workflow.Report) string {
		_, reason := n.checkStart(&workflow.Orders{
			Epoch: 1, Incarnation: n.incarnation, ReportNumber: report.Number, LeaseMillis: 6000, ExecutorIncarnation: "i-1@1000",
		}, time.Now())
		return reason
	}
	announce(2, 4000)
	before := n.nextReport(1)
	c.Assert(reason(before), qt.Equals, "")
	announce(3, 2000)
	c.Assert(reason(before), qt.Equals, "room")
	after := n.nextReport(1)
	c.Assert(after.Executor.Capacity.MilliCores, qt.Equals, int64(2000))
	c.Assert(reason(after), qt.Equals, "")
	announce(4, 4000)
	c.Assert(reason(after), qt.Equals, "", qt.Commentf("more room takes nothing away"))
}

// Guards against a capacity that the owner hears of only with the next regular report.
func TestChangedCapacityIsReportedAtOnce(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	for i, milliCores := range []int64{4000, 2000, 4000} {
		for len(n.wakeReport) > 0 {
			<-n.wakeReport
		}
		n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 1000, Capacity: structs.Resources{MilliCores: milliCores}}, int64(i+2), 500)
		c.Assert(n.wakeReport, qt.HasLen, 1)
	}
}

// Guards against a delayed call to a former incarnation that is executed by the next incarnation under the same ID.
func TestFenceIncreasesWithIncarnation(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	former := n.fence(7)
	n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 4000}, 1, 0)
	c.Assert(n.fence(7) > former, qt.IsTrue)
	c.Assert(n.fence(8) > n.fence(7), qt.IsTrue)
}

// Guards against a next incarnation whose fencing tokens are not above those of the former one: both have started within a moment, or the
// time of day was set back in between. It then carries out stale calls, or rejects those of its own.
func TestFenceIncreasesWhereStartTimesDoNot(t *testing.T) {
	for _, started := range []int64{1000 + incarnationStep/2, 500} {
		c := qt.New(t)
		n := newNode()
		n.nextReport(7)
		n.applyLists(testIncarnation, &RunLists{StartedUnixMillis: 1000}, 0)
		former := n.fence(7)
		n.applyLists(testIncarnation, &RunLists{StartedUnixMillis: started}, 0)
		n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: started}, 1, 0)
		c.Assert(n.fence(7) > former, qt.IsTrue)
		c.Assert(n.fence(8) > n.fence(7), qt.IsTrue)
	}
}

// Guards against an executor that rejects all calls of a new process of its node until the owner changes: the former process had raised
// its token.
func TestRejectedFenceIsRaised(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.nextReport(7)
	seen := n.fence(7) + 100_000
	rejections := 0
	for ; n.fence(7) < seen; rejections++ {
		n.handleHoldError(testIncarnation, &RejectedError{Reason: reasonFence}, false)
	}
	c.Assert(rejections < 20, qt.IsTrue, qt.Commentf("%d rejections", rejections))
	for range incarnationBits {
		n.handleHoldError(testIncarnation, &RejectedError{Reason: reasonFence}, false)
	}
	c.Assert(n.fence(7) < n.fence(8), qt.IsTrue, qt.Commentf("the epoch goes before the incarnation"))
}

// Guards against acknowledging ends of the next incarnation under the same ID that were never reported.
func TestOnlyListedEndsAreAcknowledged(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	list := func(numbers ...int64) {
		lists := &RunLists{StartedUnixMillis: 1000, EndsComplete: true}
		for _, number := range numbers {
			lists.Ended = append(lists.Ended, workflow.RunEnd{Number: number})
		}
		n.applyLists("i-1@1000", lists, 0)
	}
	n.ack = 3
	c.Assert(n.pendingAck(), qt.Equals, int64(0))
	list(4)
	c.Assert(n.pendingAck(), qt.Equals, int64(0))
	list(2, 3, 4)
	c.Assert(n.pendingAck(), qt.Equals, int64(3))
	n.handleHoldError("i-1@1000", errors.New("no response"), false)
	c.Assert(n.pendingAck(), qt.Equals, int64(0), qt.Commentf("after a call without a response, the next call may reach another incarnation"))
	list(2, 3, 4)
	n.listedAt = n.listedAt.Add(-2 * ackWindow)
	c.Assert(n.pendingAck(), qt.Equals, int64(0), qt.Commentf("listed before the window for acknowledgements"))
}

// Guards against a start without a response that stays unresolved for the full wait of a hold call. The task can't start
// elsewhere until the executor has listed its runs.
func TestUnknownStartIsResolvedAtOnce(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.probe.rejected = true
	now := time.Now()
	n.leaseEnd = now.Add(time.Minute)
	lists := func() *RunLists { return &RunLists{ClockMillis: 600, StartedUnixMillis: 1000, EndsComplete: true} }
	c.Assert(n.applyLists("i-1@1000", lists(), 0), qt.Equals, reportAtOnce)
	c.Assert(n.applyLists("i-1@1000", lists(), 0), qt.Equals, nothingNew)
	n.noteUnknownStart(n.countOrder(false))
	c.Assert(waitAfterRenewal(n), qt.Equals, shortHoldWait)
	hold := n.nextHold()
	c.Assert(n.applyLists("i-1@1000", lists(), 0), qt.Equals, nothingNew, qt.Commentf("lists that don't cover the start"))
	c.Assert(n.applyLists("i-1@1000", lists(), hold.covers), qt.Equals, reportAtOnce)
	hold = n.nextHold()
	c.Assert(hold.wait, qt.Equals, holdWait)
}

// Guards against a lease that is renewed beyond what the node has reported to a new owner: by a reply or orders of the former
// owner that arrive afterwards.
func TestReportedLeaseIsNotRenewedByFormerOwner(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	// The process has been running for long.
	n.leaseBound = time.Now()
	first := n.nextReport(1)
	sent := n.reportSentAt[first.Number]
	n.applyReply(first, &workflow.ReportReply{Epoch: 1, LeaseMillis: 6500}, sent)
	end := n.leaseEnd
	c.Assert(end.Equal(sent.Add(6500*time.Millisecond)), qt.IsTrue)
	late := n.nextReport(1)
	report := n.nextReport(2)
	c.Assert(report.LeaseBound.Epoch, qt.Equals, int64(2))
	left := time.Duration(report.LeaseBound.LeftMillis) * time.Millisecond
	c.Assert(left > 6*time.Second && left <= 6500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", left))
	n.applyReply(late, &workflow.ReportReply{Epoch: 1, LeaseMillis: 9500}, time.Now())
	_, reason := n.checkStart(&workflow.Orders{
		Epoch: 1, Incarnation: n.incarnation, ReportNumber: late.Number, LeaseMillis: 9500, ExecutorIncarnation: "i-1@1000",
	}, time.Now())
	c.Assert(reason, qt.Equals, "epoch")
	c.Assert(n.leaseEnd.Equal(end), qt.IsTrue)
}

// Guards against a node that forgets leases: those that a former process of its host has passed on, and those of a former
// incarnation of the executor, which calls under way may still give to the next one.
func TestNodeReportsLeasesOfFormerProcessAndIncarnation(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	c.Assert(n.nextReport(1).LeaseBound.LeftMillis > 6400, qt.IsTrue)
	n.leaseBound = time.Now().Add(-time.Minute)
	report := n.nextReport(1)
	c.Assert(report.LeaseBound.LeftMillis < 0, qt.IsTrue)
	n.applyReply(report, &workflow.ReportReply{Epoch: 1, LeaseMillis: 5000}, time.Now())
	n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 4000}, 1, 0)
	c.Assert(n.nextReport(1).LeaseBound.LeftMillis > 4900, qt.IsTrue)
}

// Guards against owners that take lists for complete while the executor has more ends, and against calls that hold back the
// acknowledgement after which it lists them.
func TestFurtherEndsAreReportedAndFetched(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.probe.rejected = true
	n.leaseEnd = time.Now().Add(time.Minute)
	ends := []workflow.RunEnd{{Number: 1}, {Number: 2}}
	n.applyLists("i-1@1000", &RunLists{StartedUnixMillis: 1000, Ended: ends}, 0)
	c.Assert(n.nextReport(1).EndsComplete, qt.IsFalse)
	c.Assert(waitAfterRenewal(n), qt.Equals, shortHoldWait)
	n.ack = 2
	c.Assert(n.nextReport(1).EndsComplete, qt.IsFalse, qt.Commentf("the ends that follow are not listed yet"))
	n.applyLists("i-1@1000", &RunLists{StartedUnixMillis: 1000, EndsComplete: true}, 0)
	c.Assert(n.nextReport(1).EndsComplete, qt.IsTrue)
	c.Assert(n.nextHold().wait, qt.Equals, holdWait)
}
