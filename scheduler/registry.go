package scheduler

import (
	"cmp"
	"slices"
)

// Reason says why a filter rejects a worker. The empty reason means that the worker is accepted. Reasons are
// constants, since filters run for each pair of task and worker and must be cheap.
type Reason string

// Filter rejects workers that a task can't run on. The result may depend on the worker, the rules and the task. It may
// depend on other workers only through the counters that Cycle supplies for the task's own job or class.
type Filter interface {
	Name() string
	Filter(ctx *Cycle, task *PendingTask, w *WorkerView) Reason
}

// Score rates a worker that passed all filters. Higher is better; the usual range is 0 to 1. The result may depend on
// the same inputs as that of a Filter.
type Score interface {
	Name() string
	Score(ctx *Cycle, task *PendingTask, w *WorkerView) float64
}

type weightedScore struct {
	plugin Score
	weight float64
}

var (
	filters []Filter
	scores  []weightedScore
)

// RegisterFilter adds a filter. It must be called from init and panics on a duplicate name. Filters run in the order
// of their names, so that plans don't depend on the order of imports.
func RegisterFilter(f Filter) {
	for _, other := range filters {
		if other.Name() == f.Name() {
			panic("scheduler: filter " + f.Name() + " is registered twice")
		}
	}
	filters = append(filters, f)
	slices.SortFunc(filters, func(a, b Filter) int { return cmp.Compare(a.Name(), b.Name()) })
}

// RegisterScore adds a score with its default weight. It must be called from init and panics on a duplicate name.
func RegisterScore(s Score, weight float64) {
	for _, other := range scores {
		if other.plugin.Name() == s.Name() {
			panic("scheduler: score " + s.Name() + " is registered twice")
		}
	}
	scores = append(scores, weightedScore{s, weight})
	slices.SortFunc(scores, func(a, b weightedScore) int { return cmp.Compare(a.plugin.Name(), b.plugin.Name()) })
}
