package gateway

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// State returns the phase of a job. Errors match ErrNotFound or ErrUnavailable.
func (g *Gateway) State(ctx context.Context, id string) (workflow.Phase, error) {
	started := time.Now()
	defer func() { g.metrics.stateTime.RecordDuration(time.Since(started)) }()
	g.metrics.states.Inc(1)
	if phase, ok := g.phases.find(id); ok {
		return phase, nil
	}
	phase, err := g.queryPhase(ctx, id)
	if err != nil {
		g.metrics.fallbacks.Inc(1)
		phase, err = g.readStoredPhase(ctx, id)
	}
	if err == nil && phase.Final() {
		g.phases.add(id, phase)
	}
	return phase, err
}

// queryPhase returns the phase of a job according to the owner.
func (g *Gateway) queryPhase(ctx context.Context, id string) (workflow.Phase, error) {
	var status workflow.JobStatus
	if err := g.queryOwner(ctx, owner.JobPath+id, &status); err != nil {
		return "", err
	}
	return status.Phase, nil
}

// readStoredPhase returns the phase of a job according to the store. The owner may not have seen a job yet that was just
// accepted.
func (g *Gateway) readStoredPhase(ctx context.Context, id string) (workflow.Phase, error) {
	if !g.store.Healthy() {
		return "", eris.Wrap(ErrUnavailable, "neither the owner nor the store answers")
	}
	job, found, _, err := g.store.Get(ctx, owner.JobPrefix+id)
	if err != nil {
		return "", eris.Wrap(ErrUnavailable, err.Error())
	}
	if !found || workflow.IsTombstone(job.Value) {
		return "", ErrNotFound
	}
	item, found, _, err := g.store.Get(ctx, owner.StatePrefix+id)
	if err != nil {
		return "", eris.Wrap(ErrUnavailable, err.Error())
	}
	if !found {
		return workflow.Pending, nil
	}
	var record workflow.JobRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		g.log.Error("invalid job record", "job", id, "revision", item.Revision, "error", err)
		return "", eris.Wrap(ErrUnavailable, err.Error())
	}
	return record.Phase, nil
}

// Waiting returns the number of jobs of a queue that have not started any task.
func (g *Gateway) Waiting(ctx context.Context, queue string) (int, error) {
	var status workflow.QueueStatus
	if err := g.queryOwner(ctx, owner.QueuePath+url.PathEscape(queue), &status); err != nil {
		return 0, eris.Wrap(ErrUnavailable, err.Error())
	}
	return status.Waiting, nil
}
