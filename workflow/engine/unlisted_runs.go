package engine

import "time"

// The answer to a start doesn't name the incarnation that has carried it out. So a run that its executor has not listed may have been started
// by the next incarnation, under a stale lease that this owner hasn't heard of if both it and its node were cut off. The node stops the run
// in time, unless it is of a former version or was paused: it then begins when the granted lease has ended, and a stop takes the time in the
// settings.

// runLeaseOf is leaseOf for the run of one of the tasks.
func (e *Engine) runLeaseOf(incarnation string, tasks []*task, t *task) (time.Time, LeaseSource) {
	expires, source := e.leaseOf(incarnation, tasks)
	if t.listed || !e.needsUnlistedMargin(incarnation, t, source) {
		return expires, source
	}
	granted, _ := e.grantedLeaseOf(incarnation, tasks)
	return latest(expires, granted.Add(e.settings.UnlistedMargin)), source
}

// needsUnlistedMargin reports whether the run of a task that is not listed may outlast the lease that is counted for its executor.
func (e *Engine) needsUnlistedMargin(incarnation string, t *task, source LeaseSource) bool {
	switch source {
	case LeaseOfNode:
		// The node knows the leases of all incarnations.
		return false
	case LeaseOfFormerOwner:
		if _, inherited := e.inheritedLeases[incarnation]; inherited {
			// The former owner has counted the margin.
			return false
		}
	}
	// A new owner doesn't know which runs were listed before its takeover, so most runs on executors that it doesn't reach would wait.
	// Long-running tasks would count as lost then. For those it relies on nodes that stop the run in time.
	return !t.restored || !t.step.LongRunning
}

// lastLeaseOf returns when the leases of all runs of the given tasks on an incarnation have expired.
func (e *Engine) lastLeaseOf(incarnation string, tasks []*task) (last time.Time) {
	for _, t := range tasks {
		expires, _ := e.runLeaseOf(incarnation, tasks, t)
		last = latest(last, expires)
	}
	return last
}
