package engine

import "time"

// presumedCrash is the crash of an executor that is only presumed, because its lease has expired while its node reports: the executor
// may have given no answers for another reason.
type presumedCrash struct {
	incarnation string
	// at is when the lease had expired.
	at     time.Time
	counts []presumedCount
}

// presumedCount holds the crashes of a task before and after the presumed one was counted.
type presumedCount struct {
	task          *task
	before, after taskCrashes
}

// presumeCrash returns a presumed crash with the counts of its tasks before it is counted.
func presumeCrash(n *node, runs []crashedRun, now time.Time) presumedCrash {
	p := presumedCrash{incarnation: n.executorIncarnation, at: now}
	for _, r := range runs {
		p.counts = append(p.counts, presumedCount{task: r.task, before: r.task.crashes})
	}
	return p
}

// noteCounts records the counts after the presumed crash was counted.
func (p *presumedCrash) noteCounts() {
	for i := range p.counts {
		p.counts[i].after = p.counts[i].task.crashes
	}
}

// withdrawCrash withdraws the presumed crash of an executor that has listed its runs again, at n.listedAt. Its node may repeat older
// lists until then. Tasks whose crashes have changed since the crash was presumed keep them.
func (e *Engine) withdrawCrash(n *node) {
	presumed := n.presumed
	if presumed.incarnation != n.executorIncarnation || !n.listedAt.After(presumed.at) {
		return
	}
	n.presumed = presumedCrash{}
	for _, c := range presumed.counts {
		t := c.task
		if t.job.phase.Final() || !t.crashes.sameCounts(&c.after) {
			continue
		}
		listedSince := t.crashes.listedSince
		t.crashes = c.before
		t.crashes.listedSince = listedSince
		if !t.isSuspect() {
			delete(e.crashes.suspects, t)
		}
		e.markDirty(t.job)
		e.needsPlanning = true
	}
}

// sameCounts reports whether no crash has been counted or withdrawn between two states.
func (c *taskCrashes) sameCounts(other *taskCrashes) bool {
	return c.total == other.total && c.suspicions == other.suspicions && c.suspectSince.Equal(other.suspectSince)
}
