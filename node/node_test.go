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
	"github.com/quetzalshed/quetzalshed/workflow"
)

func newNode() *Node {
	log := hclog.NewNullLogger()
	locator := ownership.NewLocator(kvtest.New().Client(1), log)
	n := New("n", "a", nil, locator, rpc.NewClient(), log, tally.NoopScope)
	n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 1000}, 1, 500)
	return n
}

// Guards against starts in orders that a partition held back: their tasks may run elsewhere by the time that they arrive.
func TestOrdersOnAnOldReportStartNothing(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	now := time.Now()
	orders := &workflow.Orders{Epoch: 1, Incarnation: n.incarnation, ReportNumber: 1, GrantMillis: 6000, ExecutorIncarnation: "i-1@1000"}
	n.sent[1] = now.Add(-time.Second)
	_, reason := n.admit(orders, now)
	c.Assert(reason, qt.Equals, "")
	n.grantEnd = now.Add(time.Minute)
	n.sent[1] = now.Add(-owner.Grant)
	_, reason = n.admit(orders, now)
	c.Assert(reason, qt.Equals, "basis")
}

// Guards against a call to a former incarnation that is carried out late by the next one under the same ID.
func TestFenceRisesWithTheIncarnation(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	former := n.fence(7)
	n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 4000}, 1, 0)
	c.Assert(n.fence(7) > former, qt.IsTrue)
	c.Assert(n.fence(8) > n.fence(7), qt.IsTrue)
}

// Guards against a number that acknowledges ends of the next incarnation under the same ID, which nobody has seen.
func TestOnlyListedEndsAreAcknowledged(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	list := func(numbers ...int64) {
		lists := &Lists{BornUnixMillis: 1000}
		for _, number := range numbers {
			lists.Ended = append(lists.Ended, workflow.RunEnd{Number: number})
		}
		n.listed("i-1@1000", lists, 0)
	}
	n.ack = 3
	c.Assert(n.dueAck(), qt.Equals, int64(0))
	list(4)
	c.Assert(n.dueAck(), qt.Equals, int64(0))
	list(2, 3, 4)
	c.Assert(n.dueAck(), qt.Equals, int64(3))
	n.unconfirm()
	c.Assert(n.dueAck(), qt.Equals, int64(0), qt.Commentf("a call without an answer: the next may reach another incarnation"))
	list(2, 3, 4)
	n.listedAt = n.listedAt.Add(-2 * ackWindow)
	c.Assert(n.dueAck(), qt.Equals, int64(0), qt.Commentf("listed long ago"))
}

// Guards against a start without an answer that stays undecided for as long as the executor waits for ends before it lists
// its runs: the task can't start elsewhere until then.
func TestStartWithoutAnAnswerIsLookedUpAtOnce(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	now := time.Now()
	n.grantEnd = now.Add(time.Minute)
	lists := func() *Lists { return &Lists{ClockMillis: 600, BornUnixMillis: 1000} }
	c.Assert(n.listed("i-1@1000", lists(), 0), qt.Equals, news)
	c.Assert(n.listed("i-1@1000", lists(), 0), qt.Equals, noNews)
	n.doubt(n.operation())
	_, _, _, _, wait, covers := n.nextHold()
	c.Assert(wait, qt.Equals, endingWait)
	c.Assert(n.listed("i-1@1000", lists(), 0), qt.Equals, noNews, qt.Commentf("lists from before the start"))
	c.Assert(n.listed("i-1@1000", lists(), covers), qt.Equals, news)
	_, _, _, _, wait, _ = n.nextHold()
	c.Assert(wait, qt.Equals, holdWait)
}
