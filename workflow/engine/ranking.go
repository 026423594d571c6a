package engine

import (
	"slices"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// ranking holds the executors that may run the tasks of a group, with their scores. Tasks of a group differ only in the
// executors that they keep away from, so that the other filters and scores are computed once for all of them.
type ranking struct {
	request *placementRequest
	entries []rankedNode
}

type rankedNode struct {
	node  *node
	score float64
}

// rankExecutors returns the executors that may run the tasks of a group, in the order of their names.
func (e *Engine) rankExecutors(request *placementRequest) *ranking {
	r := &ranking{request: request}
	for _, n := range e.sortedNodes {
		if n.known && request.admits(n) {
			r.entries = append(r.entries, rankedNode{n, request.score(n)})
		}
	}
	return r
}

// best returns the executor with the best score for a task, the first by name among equal ones, or nil.
func (r *ranking) best(t *task) *node {
	var best *node
	var most float64
	for i := range r.entries {
		entry := &r.entries[i]
		score := entry.score
		// Only tasks that last have a score of their own, so that others can't gain on a better executor.
		if best != nil && score <= most && !t.step.LongRunning {
			continue
		}
		if !r.request.admitsTask(t, entry.node) {
			continue
		}
		score += r.request.taskScore(t, entry.node)
		if best == nil || score > most {
			best, most = entry.node, score
		}
	}
	return best
}

// update judges an executor again after a task was placed on it.
func (r *ranking) update(n *node) {
	i := slices.IndexFunc(r.entries, func(entry rankedNode) bool { return entry.node == n })
	if i < 0 {
		return
	}
	if !r.request.admits(n) {
		r.entries = slices.Delete(r.entries, i, i+1)
		return
	}
	r.entries[i].score = r.request.score(n)
}

// shape is what decides whether a task fits anywhere.
type shape struct {
	pool, label, image      string
	need                    structs.Resources
	bestEffort, longRunning bool
}

func shapeOf(q *workflow.Queue, s *workflow.Step) shape {
	found := shape{pool: q.Pool, label: s.Label, need: s.Need, bestEffort: s.BestEffort, longRunning: s.LongRunning}
	if s.BestEffort {
		// What fills is also bounded by what its image takes from others.
		found.image = s.Image
	}
	return found
}

// unplaceableShapes are the shapes that found no executor in a plan. Tasks that need as much or more aren't tried again.
type unplaceableShapes struct{ shapes []shape }

func (f *unplaceableShapes) covers(s shape) bool {
	return slices.ContainsFunc(f.shapes, func(tried shape) bool {
		need := tried.need
		tried.need = s.need
		return tried == s && need.Fits(s.need)
	})
}

// add notes a shape; those that need more are dropped, since it covers them.
func (f *unplaceableShapes) add(s shape) {
	f.shapes = slices.DeleteFunc(f.shapes, func(tried shape) bool {
		need := tried.need
		tried.need = s.need
		return tried == s && s.need.Fits(need)
	})
	f.shapes = append(f.shapes, s)
}
