package owner

import (
	"context"
	"errors"
	"time"
)

// loop applies inputs and events, plans tasks and stores the changes until the term ends. It always returns an error.
func (t *term) loop(ctx context.Context, inputs <-chan func()) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	flush := time.NewTimer(0)
	defer flush.Stop()
	for {
		select {
		case <-ctx.Done():
			return termError(ctx)
		case f := <-inputs:
			f()
		case e := <-t.events:
			t.apply(e)
		case err := <-t.commitDone:
			if err := t.finishCommit(err); err != nil {
				return err
			}
		case <-ticker.C:
			t.tick()
		case <-flush.C:
		}
		t.applyPending(inputs)
		if ctx.Err() != nil {
			// A pause of the host may leave events waiting beside the end of the term. None of them may release a batch any more.
			return termError(ctx)
		}
		if t.committing == nil {
			if wait := flushInterval - time.Since(t.lastFlush); wait > 0 {
				flush.Reset(wait)
			} else {
				t.flush(ctx)
			}
		}
	}
}

// termError returns why a term whose context has ended is over: errOwnershipLost, or errTermEnded for any other reason. It is never nil,
// so that a write that the end of the term has cut off can't be taken for a stored one.
func termError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), errOwnershipLost) {
		return errOwnershipLost
	}
	return errTermEnded
}

// applyPending applies all inputs and events that are already queued, so that they share one write.
func (t *term) applyPending(inputs <-chan func()) {
	for {
		select {
		case f := <-inputs:
			f()
		case e := <-t.events:
			t.apply(e)
		default:
			return
		}
	}
}

// apply applies an event, and keeps the function that it returns until the changes are stored.
func (t *term) apply(e event) {
	if after := e(t.clock.Now(), time.Now()); after != nil {
		t.afterCommit = append(t.afterCommit, after)
	}
}

// tick checks for timeouts, logs and counts what they changed, and collects expired jobs.
func (t *term) tick() {
	now := t.clock.Now()
	t.engine.Tick(now)
	t.logLapses(t.engine.ExpireLeases(now))
	t.logUnreported(now)
	t.logQuarantine(now)
	t.logCrashes()
	t.logSuperseded(now)
	t.logHeadroomChanges()
	counts := t.engine.Counts()
	t.metrics.jobs.Update(float64(counts.Active))
	t.metrics.assigned.Update(float64(counts.Assigned))
	t.metrics.tasksHeld.Update(float64(t.engine.HeldTasks()))
	t.metrics.tasksMax.Update(float64(t.maxTasks))
	t.metrics.headroomPairs.Update(float64(counts.HeadroomPairs))
	if now.Sub(t.lastCollection) > collectInterval {
		t.lastCollection = now
		t.deletions = t.engine.ExpiredJobs(t.clock.Now(), t.collectLimit())
		if t.maxTasks > 0 {
			t.engine.ReleaseEnded(now)
		}
	}
}

// collectLimit returns how many jobs may be deleted now. They are deleted faster while those that are held leave little room for others.
func (t *term) collectLimit() int {
	if t.maxTasks > 0 && t.engine.HeldTasks() > t.maxTasks/2 {
		return fastCollectLimit
	}
	return collectLimit
}
