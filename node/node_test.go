package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

func newNode() *Node {
	log := hclog.NewNullLogger()
	locator := ownership.NewLocator(kvtest.New().Client(1), log)
	n := New("n", "a", nil, locator, rpc.NewClient(), log, tally.NoopScope)
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
	before := n.nextReport()
	c.Assert(reason(before), qt.Equals, "")
	announce(3, 2000)
	c.Assert(reason(before), qt.Equals, "room")
	after := n.nextReport()
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

// Guards against acknowledging ends of the next incarnation under the same ID that were never reported.
func TestOnlyListedEndsAreAcknowledged(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	list := func(numbers ...int64) {
		lists := &RunLists{StartedUnixMillis: 1000}
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
	n.recordFailedCall("i-1@1000", false)
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
	now := time.Now()
	n.leaseEnd = now.Add(time.Minute)
	lists := func() *RunLists { return &RunLists{ClockMillis: 600, StartedUnixMillis: 1000} }
	c.Assert(n.applyLists("i-1@1000", lists(), 0), qt.Equals, reportAtOnce)
	c.Assert(n.applyLists("i-1@1000", lists(), 0), qt.Equals, nothingNew)
	n.noteUnknownStart(n.countOrder())
	_, _, _, _, wait, covers := n.nextHold()
	c.Assert(wait, qt.Equals, shortHoldWait)
	c.Assert(n.applyLists("i-1@1000", lists(), 0), qt.Equals, nothingNew, qt.Commentf("lists that don't cover the start"))
	c.Assert(n.applyLists("i-1@1000", lists(), covers), qt.Equals, reportAtOnce)
	_, _, _, _, wait, _ = n.nextHold()
	c.Assert(wait, qt.Equals, holdWait)
}
