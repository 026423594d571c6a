package node

import (
	"strings"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// noteStaleAnswer logs and counts a hold call that another incarnation of the executor has answered than the one for which it was meant.
// If its deadline is above the reading of the clock in the answer, the incarnation that answered may hold a lease of the difference, as
// far as it grants one.
func (n *Node) noteStaleAnswer(hold *holdCall, answer *holdAnswer) {
	started := workflow.FormatIncarnationID("", answer.lists.StartedUnixMillis)
	if answer.lists.StartedUnixMillis == 0 || strings.HasSuffix(hold.incarnation, started) {
		return
	}
	deadline := int64(0)
	if answer.renewed {
		deadline = hold.deadline
	}
	id, _, _ := strings.Cut(hold.incarnation, "@")
	n.metrics.staleAnswers.Inc(1)
	n.log.Info("another incarnation of the executor responds", "executor", hold.incarnation, "responding", id+started, "deadline_ms", deadline,
		"clock_ms", answer.lists.ClockMillis, "lease_ms", max(deadline-answer.lists.ClockMillis, 0), "ack", answer.ack)
}

// logFirstAnswer logs the first lists of an incarnation. Runs in them were ordered by a former process of the node, or are starts that
// were meant for a former incarnation.
func (n *Node) logFirstAnswer(incarnation string, lists *RunLists) {
	n.log.Info("executor responds for the first time", "executor", incarnation, "clock_ms", lists.ClockMillis, "running", len(lists.Running),
		"ended", len(lists.Ended))
}
