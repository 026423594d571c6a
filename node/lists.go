package node

import (
	"maps"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// listsResult is the outcome of applying the lists of an executor.
type listsResult int

const (
	// nothingNew means that the lists contain nothing to report before the next regular report.
	nothingNew listsResult = iota
	// reportAtOnce means that the lists are the first ones of an incarnation, contain ends that are not acknowledged, or
	// resolve a start without a response.
	reportAtOnce
	// otherIncarnation means that the lists are not from the incarnation that was called.
	otherIncarnation
)

// applyLists stores the lists that the given incarnation returned. They cover the orders executed up to number covers.
func (n *Node) applyLists(incarnation string, lists *RunLists, covers int64) listsResult {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil || n.current.IncarnationID() != incarnation {
		return otherIncarnation
	}
	if lists.StartedUnixMillis != 0 && lists.StartedUnixMillis != n.current.StartedUnixMillis {
		n.noteOtherIncarnation(lists.StartedUnixMillis)
		return otherIncarnation
	}
	first := n.lists == nil
	if n.firstID == "" {
		n.firstID = n.current.ID
	}
	if first {
		n.logFirstAnswer(incarnation, lists)
	}
	previous := n.lists
	resolved := n.lastUnknownStart > n.listsCover && n.lastUnknownStart <= covers
	now := n.clock.Now()
	n.noteResponse(now)
	n.lists, n.listsCover, n.listedAt, n.confirmed = lists, covers, now, true
	maps.DeleteFunc(n.unlistedStarts, func(sequence int64, _ workflow.RunState) bool { return sequence <= covers })
	n.brokenAt, n.end = time.Time{}, executorEnd{}
	n.clockMillis, n.clockAt = lists.ClockMillis, n.listedAt
	n.logEnds(incarnation, previous, lists)
	n.logRunsBeyondCount(incarnation, lists)
	if !lists.EndsComplete && (previous == nil || previous.EndsComplete) {
		n.log.Info("executor may have more ends than it lists", "executor", incarnation, "listed", len(lists.Ended), "acknowledged", n.ack)
	}
	n.pruneTraits(lists)
	if first || resolved || len(lists.Ended) > 0 && lists.Ended[len(lists.Ended)-1].Number > n.ack {
		return reportAtOnce
	}
	return nothingNew
}

// noteOtherIncarnation forgets the current incarnation if another one that has answered is a later one. An earlier start after the current
// incarnation has responded is that of a later one: the time of day was set back. The caller holds mu.
func (n *Node) noteOtherIncarnation(startedUnixMillis int64) {
	if startedUnixMillis > n.current.StartedUnixMillis || n.lists != nil {
		n.forgetIncarnation()
	}
}

// logEnds logs the ends that the previous lists did not contain.
func (n *Node) logEnds(incarnation string, previous, lists *RunLists) {
	var last int64
	if previous != nil && len(previous.Ended) > 0 {
		last = previous.Ended[len(previous.Ended)-1].Number
	}
	last = max(last, n.ack)
	for i := range lists.Ended {
		if end := &lists.Ended[i]; end.Number > last {
			n.metrics.ends.Inc(1)
			fields := []any{"task", end.Task, "run", end.Run, "how", end.How, "executor", incarnation, "number", end.Number}
			n.log.Info("run ended", append(fields, n.stopFields(incarnation, end)...)...)
		}
	}
}
