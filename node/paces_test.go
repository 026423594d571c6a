package node

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/node/sharing"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against best-effort tasks that stay slow without need: a former process of the node, or a call that reached the next
// incarnation of the executor, has paced them.
func TestUnknownPacesAreSet(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	run := workflow.RunState{Task: "0000000000000001.0.0.0", Run: 1}
	n.lists = &RunLists{Running: []workflow.RunState{run}}
	n.traits[run.Task] = workflow.RunTraits{Task: run.Task, BestEffort: true}
	incarnation, _, changes := n.nextPaceChanges(time.Now())
	c.Assert(incarnation, qt.Equals, n.current.IncarnationID())
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(changes[0].percent, qt.Equals, sharing.FullPace)
	n.paces[run.Task] = changes[0].percent
	_, _, changes = n.nextPaceChanges(time.Now())
	c.Assert(changes, qt.HasLen, 0)
}

// replacedExecutor is an executor of which the next incarnation is announced while it answers a call.
type replacedExecutor struct {
	Executor
	announce func()
}

func (x replacedExecutor) SetPace(context.Context, string, string, int, int, int64) error {
	x.announce()
	return nil
}

// Guards against a pace that counts as set on the next incarnation of an executor, which runs the task at its full pace.
func TestPaceOfFormerIncarnationIsUnknown(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.executor = replacedExecutor{announce: func() { n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 2000}, 2, 500) }}
	run := workflow.RunState{Task: "0000000000000001.0.0.0", Run: 1}
	n.setPace(t.Context(), n.current.IncarnationID(), 1, paceChange{run, 30})
	c.Assert(n.current.StartedUnixMillis, qt.Equals, int64(2000))
	_, known := n.paces[run.Task]
	c.Assert(known, qt.IsFalse)
}
