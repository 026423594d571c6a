package gateway

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// maxLookups limits how many refused submissions are looked up in the store at a time. Without a limit, clients that are refused
// could use up the calls that the store accepts.
const maxLookups = 8

// Refuse returns the result of a submission that is refused before it is read: nil if an earlier submission of the job was accepted,
// at whichever gateway. The error matches ErrUnavailable if the job is certainly not stored, and ErrUnknown otherwise.
func (g *Gateway) Refuse(ctx context.Context, id string, cause error) error {
	repeated, err := g.recallSubmission(id, eris.Wrap(ErrUnavailable, cause.Error()))
	if errors.Is(err, ErrUnavailable) {
		repeated, err = g.lookUpRefused(ctx, id, err)
	}
	switch {
	case repeated:
		g.metrics.repeated.Inc(1)
	case errors.Is(err, ErrUnavailable):
		g.metrics.unavailable.Inc(1)
	default:
		g.metrics.unknown.Inc(1)
	}
	return err
}

// lookUpRefused looks a job up in the store, since another gateway may have accepted it.
func (g *Gateway) lookUpRefused(ctx context.Context, id string, rejection error) (stored bool, err error) {
	select {
	case g.lookups <- struct{}{}:
		defer func() { <-g.lookups }()
	default:
		return false, eris.Wrapf(ErrUnknown, "too many refused jobs are looked up: %v", rejection)
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	item, found, _, err := g.store.Get(ctx, owner.JobPrefix+id)
	switch {
	case err != nil:
		return false, eris.Wrapf(ErrUnknown, "the job can't be looked up: %v; %v", err, rejection)
	case found && !workflow.IsTombstone(item.Value):
		return true, nil
	}
	return false, rejection
}
