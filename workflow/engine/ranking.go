package engine

import (
	"slices"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// ranking holds the executors that may run the tasks of a group, with their scores. Tasks of a group differ only in the
// executors that they avoid, so that the group's filters and scores are computed once for all of them.
type ranking struct {
	request *placementRequest
	entries []rankedNode
}

type rankedNode struct {
	node  *node
	score float64
}

// rankExecutors returns the executors that may run the tasks of a group, sorted by name.
func (e *Engine) rankExecutors(request *placementRequest) *ranking {
	r := &ranking{request: request}
	for _, n := range e.sortedNodes {
		if n.known && request.admits(n) {
			r.entries = append(r.entries, rankedNode{n, request.score(n)})
		}
	}
	return r
}

// best returns the executor with the highest score for a task, the first by name on a tie, or nil.
func (r *ranking) best(t *task) *node {
	var best *node
	var bestScore float64
	for i := range r.entries {
		entry := &r.entries[i]
		score := entry.score
		// Only long-running tasks and suspects have a score of their own. For others, an executor with a lower or equal group score
		// can't win.
		if best != nil && score <= bestScore && !t.step.LongRunning && !t.isSuspect() {
			continue
		}
		if !r.request.admitsTask(t, entry.node) {
			continue
		}
		score += r.request.taskScore(t, entry.node)
		if best == nil || score > bestScore {
			best, bestScore = entry.node, score
		}
	}
	return best
}

// update filters and scores an executor again after a task was placed on it.
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

// shape holds the properties of a task that decide whether any executor can run it.
type shape struct {
	pool, label, image      string
	need                    structs.Resources
	bestEffort, longRunning bool
}

func shapeOf(q *workflow.Queue, s *workflow.Step) shape {
	found := shape{pool: q.Pool, label: s.Label, need: s.Need, bestEffort: s.BestEffort, longRunning: s.LongRunning}
	if s.BestEffort {
		// For best-effort tasks, the interference of the image counts too.
		found.image = s.Image
	}
	return found
}

// unplaceableShapes holds the shapes for which a plan found no executor. Tasks that need as much or more are not tried
// again in that plan.
type unplaceableShapes struct{ shapes []shape }

func (f *unplaceableShapes) covers(s shape) bool {
	return slices.ContainsFunc(f.shapes, func(tried shape) bool {
		need := tried.need
		tried.need = s.need
		return tried == s && need.Fits(s.need)
	})
}

// add adds a shape and drops those that need more, since the new one covers them.
func (f *unplaceableShapes) add(s shape) {
	f.shapes = slices.DeleteFunc(f.shapes, func(tried shape) bool {
		need := tried.need
		tried.need = s.need
		return tried == s && s.need.Fits(need)
	})
	f.shapes = append(f.shapes, s)
}
