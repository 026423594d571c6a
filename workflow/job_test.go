package workflow_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against jobs that are accepted because their number of tasks wraps around, and that exhaust the memory of each owner
// (review/2: LOST).
func TestJobWithOverflowingTaskCountIsRejected(t *testing.T) {
	for _, test := range []struct {
		counts      []int
		occurrences int
		valid       bool
	}{
		{[]int{1 << 62}, 4, false},
		{[]int{1 << 62}, 3, false},
		{[]int{math.MaxInt}, 0, false},
		{[]int{workflow.MaxTasks, math.MaxInt}, 0, false},
		{[]int{1 << 62, 1 << 62, 1 << 62, 1 << 62}, 0, false},
		{[]int{1}, math.MaxInt, false},
		{[]int{workflow.MaxTasks}, 0, true},
		{[]int{workflow.MaxTasks - 1, 1}, 1, true},
		{[]int{workflow.MaxTasks, 1}, 0, false},
		{[]int{1250}, 4, true},
		{[]int{1251}, 4, false},
		{[]int{1, 1}, workflow.MaxTasks / 2, true},
		{[]int{1, 1}, workflow.MaxTasks/2 + 1, false},
	} {
		job := workflow.Job{ID: "5c0e7a21d94b36f8", Occurrences: test.occurrences}
		for _, count := range test.counts {
			job.Steps = append(job.Steps, workflow.Step{Count: count})
		}
		qt.Check(t, job.Validate().Err() == nil, qt.Equals, test.valid, qt.Commentf("%v x %d", test.counts, test.occurrences))
	}
}
