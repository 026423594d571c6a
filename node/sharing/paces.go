package sharing

import (
	"cmp"
	"slices"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Disturbance is what a best-effort task takes from serving tasks on its executor.
type Disturbance struct {
	// Loss is the loss of latency headroom that an executor full of tasks of its image causes.
	Loss float64
	// MilliCores is the CPU that the task requests.
	MilliCores int64
}

func (d Disturbance) cores() float64 { return float64(max(d.MilliCores, 1)) }

// uniform returns the same pace for a number of tasks.
func uniform(level, tasks int) []int {
	return slices.Repeat([]int{level}, tasks)
}

// spread returns a pace in percent for each task, so that all of them together disturb as much as if each had the pace of
// the level. Light tasks keep their full pace unless the level is 0, and the others disturb equally for each core: this
// takes the least work from best-effort tasks while serving tasks are near their targets.
func spread(level int, tasks []Disturbance) []int {
	if level == 0 || level >= FullPace {
		return uniform(level, len(tasks))
	}
	paces := uniform(FullPace, len(tasks))
	disturbing := disturbingTasks(tasks)
	budget, cores := 0.0, 0.0
	for _, i := range disturbing {
		budget += tasks[i].Loss * tasks[i].cores() * float64(level) / FullPace
		cores += tasks[i].cores()
	}
	for _, i := range disturbing {
		t := tasks[i]
		pace := min(budget/cores/t.Loss, 1)
		budget -= pace * t.Loss * t.cores()
		cores -= t.cores()
		if paces[i] = int(pace * FullPace); paces[i] < minPace {
			paces[i] = 0
		}
	}
	return paces
}

// disturbingTasks returns the indexes of the tasks that are not light, those that disturb least for each core first.
func disturbingTasks(tasks []Disturbance) []int {
	var found []int
	for i := range tasks {
		if tasks[i].Loss >= workflow.LightHeadroomLoss {
			found = append(found, i)
		}
	}
	slices.SortStableFunc(found, func(a, b int) int { return cmp.Compare(tasks[a].Loss, tasks[b].Loss) })
	return found
}
