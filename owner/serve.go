package owner

import (
	"context"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// reportReplyTimeout is how long the reply to a report may wait for a write. The renewed lease must reach the node even
// while the store is slow.
const reportReplyTimeout = 300 * time.Millisecond

// cancelTimeout is how long a cancellation waits to be stored. After that, the gateway stores it under a separate key.
const cancelTimeout = 600 * time.Millisecond

// applyAndWait applies an event in the loop of the term and waits for a limited time until its changes are stored. Variables
// that apply sets may be read only if isApplied is true.
func (t *term) applyAndWait(ctx context.Context, wait time.Duration, apply func(now, wall time.Time)) (isApplied, isStored bool) {
	applied, stored := make(chan struct{}), make(chan struct{})
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case t.events <- func(now, wall time.Time) func() {
		apply(now, wall)
		close(applied)
		return func() { close(stored) }
	}:
	case <-timer.C:
		return false, false
	case <-ctx.Done():
		return false, false
	}
	select {
	case <-applied:
	case <-timer.C:
		return false, false
	case <-ctx.Done():
		return false, false
	}
	select {
	case <-stored:
		return true, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return true, false
}

// cancel cancels a job and waits until the cancellation is stored.
func (t *term) cancel(ctx context.Context, id string) (found, stored bool) {
	applied, stored := t.applyAndWait(ctx, cancelTimeout, func(now, wall time.Time) {
		if _, found = t.engine.Phase(id); found {
			t.engine.Cancel(id, now, wall)
		}
	})
	if !applied {
		return true, false
	}
	return found, stored
}

// report handles the report of a node. It returns false if the engine did not process the report in time, or if it says that
// an executor has left and this is not stored in time.
func (t *term) report(ctx context.Context, r *workflow.Report) (workflow.ReportReply, bool) {
	var traits []workflow.RunTraits
	var losses map[string]map[string]float64
	granted, noFormerLeases := false, false
	applied, stored := t.applyAndWait(ctx, reportReplyTimeout, func(now, wall time.Time) {
		var ack int64
		ack, granted = t.engine.HandleReport(r, now, wall)
		noFormerLeases = t.engine.IsFirstProcess(r.Node, r.Incarnation)
		t.logDepartures()
		t.logContradictions(now)
		t.logSuperseded(now)
		t.logMisplaced(now)
		losses = t.engine.HeadroomLosses(r.Node)
		if r.TraitsUnknown {
			traits = fittingTraits(t.engine.Traits(r.Node))
		}
		if ack > 0 {
			incarnation := r.Executor.IncarnationID()
			t.afterCommit = append(t.afterCommit, func() { t.acknowledge(incarnation, ack) })
		}
	})
	// A node may stop after a reply to the report that its executor has left.
	if !applied || r.Executor != nil && r.Executor.Left && !stored {
		return workflow.ReportReply{}, false
	}
	reply := workflow.ReportReply{Epoch: t.lease.Record.Epoch, Traits: traits, HeadroomLosses: losses, NoFormerLeases: noFormerLeases}
	if r.Executor != nil {
		reply.Ack = t.ackedNumber(r.Executor.IncarnationID())
	}
	if granted && t.lease.Valid() {
		reply.LeaseMillis = ExecutorLeaseDuration.Milliseconds()
	}
	return reply, true
}

func (t *term) acknowledge(incarnation string, number int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acked[incarnation] = max(t.acked[incarnation], number)
}

func (t *term) ackedNumber(incarnation string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acked[incarnation]
}

// query runs read in the loop of the term, where it may access the engine. Variables that read sets may be used only if query
// returns true.
func (t *term) query(ctx context.Context, read func()) bool {
	done := make(chan struct{})
	select {
	case t.events <- func(_, _ time.Time) func() {
		read()
		close(done)
		return nil
	}:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// knows reports whether a job is stored, as far as the owner has read the store.
func (t *term) knows(ctx context.Context, id string) (known bool) {
	return t.query(ctx, func() { _, known = t.engine.Phase(id) }) && known
}
