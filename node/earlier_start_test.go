package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against an executor that is never used again, since the time of day of its host was set back while it was restarted.
func TestExecutorThatRestartsWithEarlierTimeIsUsed(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.applyLists(testIncarnation, &RunLists{StartedUnixMillis: 1000, EndsComplete: true}, 0)
	for sequence := range int64(4) {
		n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 900}, sequence+1, 500*sequence)
		n.applyLists(testIncarnation, &RunLists{StartedUnixMillis: 900, EndsComplete: true}, 0)
	}
	c.Assert(n.current.StartedUnixMillis, qt.Equals, int64(900))
}
