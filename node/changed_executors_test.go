package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// rejection returns the reason for which a start is rejected that was decided on a report; empty if it is accepted.
func (n *Node) rejection(report *workflow.Report) string {
	_, reason := n.checkStart(&workflow.Orders{
		Epoch: 1, Incarnation: n.incarnation, ReportNumber: report.Number, LeaseMillis: testLeaseMillis, ExecutorIncarnation: testIncarnation,
	}, n.clock.Now())
	return reason
}

// Guards against a start on an executor without the label of its step or of another pool (ROUTE): the owner decided on it before it
// knew that these have changed.
func TestOrdersBeforeExecutorChangedAreRejected(t *testing.T) {
	described := workflow.Executor{
		ID: "i-1", StartedUnixMillis: 1000, Pool: "pool", Labels: []string{"large", "r1"}, Capacity: structs.Resources{MilliCores: 4000},
	}
	otherPool, otherLabels := described, described
	otherPool.Pool, otherLabels.Labels = "other", []string{"small", "r1"}
	for name, changed := range map[string]workflow.Executor{"pool": otherPool, "labels": otherLabels} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n := newNode()
			n.Announce(described, 2, 500)
			before := n.nextReport(1)
			n.Announce(described, 3, 500)
			c.Assert(n.rejection(before), qt.Equals, "")
			for len(n.wakeReport) > 0 {
				<-n.wakeReport
			}
			n.Announce(changed, 4, 500)
			c.Check(n.rejection(before), qt.Equals, reasonOutdated)
			c.Check(n.wakeReport, qt.HasLen, 1, qt.Commentf("the owner learns of it at once"))
			c.Check(n.rejection(n.nextReport(1)), qt.Equals, "")
		})
	}
}

// Guards against a start beyond the capacity of an executor that another announcement has displaced for a while: the owner decided
// on the start before the capacity had shrunk.
func TestOrdersBeforeExecutorReturnedAreRejected(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	announce := func(id string, sequence, milliCores int64) {
		n.Announce(workflow.Executor{ID: id, StartedUnixMillis: 1000, Capacity: structs.Resources{MilliCores: milliCores}}, sequence, 500)
	}
	announce("i-1", 2, 4000)
	before := n.nextReport(1)
	announce("i-1", 3, 2000)
	announce("i-other", 1, 4000)
	announce("i-1", 4, 2000)
	c.Assert(n.current.ID, qt.Equals, "i-1")
	c.Check(n.rejection(before), qt.Equals, reasonOutdated)
	n.applyReply(n.nextReport(1), &workflow.ReportReply{Epoch: 1, LeaseMillis: testLeaseMillis}, time.Now())
	c.Check(n.rejection(n.nextReport(1)), qt.Equals, "")
}
