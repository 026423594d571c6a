package sharing_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/node/sharing"
)

// Guards against slowing down all best-effort tasks alike when the load of a serving task rises: the one that disturbs it most
// gives way first, and the work of the others goes on.
func TestMostDisturbingTaskIsPacedMost(t *testing.T) {
	c := qt.New(t)
	tasks := []sharing.Disturbance{{Loss: 0.2, MilliCores: 4000}, {Loss: 2, MilliCores: 4000}, {Loss: 6, MilliCores: 4000}}
	c.Assert(sharing.Paces(50, tasks), qt.DeepEquals, []int{100, 100, 33})
	c.Assert(sharing.Paces(25, tasks), qt.DeepEquals, []int{100, 50, 16})
	c.Assert(sharing.Paces(0, tasks), qt.DeepEquals, []int{100, 0, 0})
	c.Assert(sharing.Paces(sharing.FullPace, tasks), qt.DeepEquals, []int{100, 100, 100})
}

// Guards against paces that together disturb more than the level allows, that slow down a task more than one that disturbs
// more, or that leave much of what is allowed unused.
func TestPacesKeepTheLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		level := rapid.IntRange(0, 100).Draw(t, "level")
		var tasks []sharing.Disturbance
		for range rapid.IntRange(1, 12).Draw(t, "tasks") {
			tasks = append(tasks, sharing.Disturbance{
				Loss: rapid.Float64Range(0, 20).Draw(t, "loss"), MilliCores: rapid.Int64Range(0, 8000).Draw(t, "cpu"),
			})
		}
		paces := sharing.Paces(level, tasks)
		allowed, used := 0.0, 0.0
		for i, task := range tasks {
			if task.Loss < sharing.NegligibleLoss {
				if paces[i] != sharing.FullPace {
					t.Fatalf("task %d disturbs little and is paced to %d", i, paces[i])
				}
				continue
			}
			full := task.Loss * float64(max(task.MilliCores, 1))
			allowed += full * float64(level)
			used += full * float64(paces[i])
			for k, other := range tasks {
				if other.Loss >= task.Loss && paces[k] > paces[i] {
					t.Fatalf("task %d with loss %v has pace %d, task %d with loss %v has %d", i, task.Loss, paces[i], k, other.Loss, paces[k])
				}
			}
		}
		if used > allowed*1.0001 {
			t.Fatalf("paces %v disturb %v, allowed is %v", paces, used, allowed)
		}
	})
}
