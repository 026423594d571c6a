package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// Cancel cancels a job: the owner changes its record, or, if the owner can't be reached, the gateway stores a cancellation key
// that the owner reads. A job that is not stored gets a tombstone, so that no submission of it that was sent before takes effect later.
// Errors match ErrNotFound, ErrUnavailable or ErrUnknown.
func (g *Gateway) Cancel(ctx context.Context, id string) error {
	byOwner, cancel := context.WithTimeout(ctx, firstPathTimeout)
	err := g.relayToOwner(byOwner, owner.CancelPath+id, struct{}{})
	cancel()
	if err == nil {
		g.recordCancellation(id, "owner")
		return nil
	}
	return g.cancelByKey(ctx, id, errors.Is(err, ErrUnknown))
}

// cancelByKey stores the cancellation key of a job. While an attempt to cancel the job may have taken effect, which unknown
// says of those before, it tries again until ctx ends, since it must not report that nothing was changed.
func (g *Gateway) cancelByKey(ctx context.Context, id string, unknown bool) error {
	for {
		err := g.storeCancellation(ctx, id)
		if err == nil {
			g.recordCancellation(id, "key")
			return nil
		}
		if errors.Is(err, ErrNotFound) {
			return err
		}
		if errors.Is(err, errJobStored) {
			// It was stored after it had been looked up.
			continue
		}
		unknown = unknown || errors.Is(err, kv.ErrUnknown) || errors.Is(err, ErrUnknown)
		if !unknown {
			g.log.Info("cancellation rejected", "job", id, "error", err)
			return eris.Wrap(ErrUnavailable, err.Error())
		}
		select {
		case <-ctx.Done():
			g.log.Info("cancellation without a result", "job", id, "error", err)
			return eris.Wrap(ErrUnknown, err.Error())
		case <-time.After(retryDelay):
		}
	}
}

// recordCancellation counts and logs a stored cancellation. by says how it is stored, as a change by the owner or as a key.
func (g *Gateway) recordCancellation(id, by string) {
	g.metrics.cancelled.Inc(1)
	g.log.Info("cancellation stored", "job", id, "by", by)
}

// storeCancellation stores the cancellation key of a job, or returns ErrNotFound once the job certainly isn't stored and won't be by a
// submission that was sent before. It returns errJobStored if the job was stored meanwhile.
func (g *Gateway) storeCancellation(ctx context.Context, id string) error {
	item, found, _, err := g.store.Get(ctx, owner.JobPrefix+id)
	if err != nil {
		return err
	}
	switch {
	case !found:
		err = g.tombstones.create(ctx, id)
	case workflow.IsTombstone(item.Value):
		err = g.tombstones.renew(ctx, item)
	default:
		return g.storeCancellationKey(ctx, id, item)
	}
	if err != nil {
		return err
	}
	g.metrics.tombstones.Inc(1)
	return ErrNotFound
}

// storeCancellationKey stores the cancellation key of a job unless the job has changed since it was read.
func (g *Gateway) storeCancellationKey(ctx context.Context, id string, job kv.Item) error {
	_, err := g.store.Commit(ctx, kv.Transaction{
		Conditions: []kv.Condition{{Key: job.Key, Revision: job.Revision}},
		Puts:       []kv.Put{{Key: owner.CancelPrefix + id, Value: []byte("{}")}},
	})
	return err
}
