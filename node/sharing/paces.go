package sharing

import (
	"cmp"
	"slices"
)

// UnknownLoss is the assumed loss of headroom by an image that is not known yet.
const UnknownLoss = 4.0

// Disturbance is what a best-effort task takes from serving tasks on its executor.
type Disturbance struct {
	// Loss is the loss of latency headroom that an executor full of tasks of its image causes.
	Loss float64
	// MilliCores is the CPU that the task requests.
	MilliCores int64
}

func (d Disturbance) atFullPace() float64 { return d.Loss * float64(max(d.MilliCores, 1)) }

// spread returns a pace in percent for each task, so that all of them together disturb as much as if each had the pace of
// the level. Tasks that disturb little for each core keep their full pace, and the others disturb equally for each core:
// this takes the least work from best-effort tasks while serving tasks are near their targets.
func spread(level int, tasks []Disturbance) []int {
	paces := make([]int, len(tasks))
	order := make([]int, len(tasks))
	total := 0.0
	for i := range tasks {
		paces[i], order[i] = FullPace, i
		if tasks[i].Loss < NegligibleLoss {
			continue
		}
		total += tasks[i].atFullPace()
	}
	if level >= FullPace || total == 0 {
		return paces
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(tasks[a].Loss, tasks[b].Loss) })
	budget := total * float64(level) / FullPace
	cores := 0.0
	for _, i := range order {
		if tasks[i].Loss >= NegligibleLoss {
			cores += float64(max(tasks[i].MilliCores, 1))
		}
	}
	for _, i := range order {
		t := tasks[i]
		if t.Loss < NegligibleLoss {
			continue
		}
		taskCores := float64(max(t.MilliCores, 1))
		share := min(budget/cores/t.Loss, 1)
		budget -= share * t.atFullPace()
		cores -= taskCores
		if paces[i] = int(share * FullPace); paces[i] < minPace {
			paces[i] = 0
		}
	}
	return paces
}
