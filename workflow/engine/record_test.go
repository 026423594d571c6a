package engine_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against records that grow with checkpoints that no task starts from any more, and against orders that are too long for their node.
func TestRecordsHaveOnlyCheckpointsThatTasksStartFrom(t *testing.T) {
	h := newHarness(t)
	_, running := h.startJob(executor("a", 1), step(3))
	for i := range running {
		running[i].Saved = "saved"
	}
	running[1].Saved = strings.Repeat("x", 1<<20)
	h.report("a", executor("a", 1), running[:2], []workflow.RunEnd{{Number: 1, Task: running[2].Task, Run: 1, How: workflow.EndDone, Saved: "saved"}})
	record := h.engine.TakeDirty()[0].Record
	h.Assert(record.Tasks, qt.HasLen, 3)
	h.Assert(record.Tasks[0].Saved, qt.Equals, "saved")
	h.Assert(record.Tasks[1].Saved, qt.Equals, "")
	h.Assert(record.Tasks[2].Saved, qt.Equals, "")
}
