package runner

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/shard/heartbeat"
	"github.com/quetzalshed/quetzalshed/structs"
)

// SendHeartbeat sends one heartbeat to the owner and applies the reply.
func (r *Runner) SendHeartbeat(ctx context.Context) error {
	if err := r.verifyEpoch(ctx); err != nil {
		return err
	}
	r.mu.Lock()
	if !r.recovered {
		r.mu.Unlock()
		return eris.New("the status of the worker has not been read yet")
	}
	sent := r.clock.Now()
	hb := r.leases.Heartbeat(sent)
	if r.latencies != nil {
		hb.Services = r.latencies()
	}
	hb.HeadRevision = r.configuration.Revision()
	message := r.compactor.Compact(hb)
	r.mu.Unlock()
	reply, err := r.transport.Heartbeat(ctx, r.leases.shard, message)
	if err != nil {
		return err
	}
	heartbeat.ExpandReply(hb, &reply)
	r.mu.Lock()
	applied := reply.Sequence == hb.Sequence && r.leases.ApplyReply(reply, r.clock.Now())
	if applied {
		r.compactor.Acknowledge(hb, reply.Epoch)
	}
	r.mu.Unlock()
	if !applied {
		return eris.Wrapf(ErrOutdated, "reply of epoch %d", reply.Epoch)
	}
	r.configuration.Relay(reply, sent)
	r.requestReconcile()
	return nil
}

// verifyEpoch prevents a restarted agent from accepting an owner that an earlier process of it had already replaced by
// a later one. It reads the current epoch from the store, or fails until the validity of every such owner has expired.
func (r *Runner) verifyEpoch(ctx context.Context) error {
	r.mu.Lock()
	verified := r.epochVerified || r.clock.Now().Sub(r.createdAt) > r.leases.settings.OwnerValidity
	r.epochVerified = verified
	r.mu.Unlock()
	if verified {
		return nil
	}
	epoch, err := r.transport.Epoch(ctx, r.leases.shard)
	if err != nil {
		return eris.Wrap(err, "reading the owner's epoch")
	}
	if epoch == 0 {
		return ErrNoOwner
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leases.RaiseEpoch(epoch)
	r.epochVerified = true
	return nil
}

// HandleStartRequest accepts starts that the owner sends outside of a heartbeat reply.
func (r *Runner) HandleStartRequest(request structs.StartRequest) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leases.ApplyStartRequest(request, r.clock.Now()) {
		return ErrOutdated
	}
	r.requestReconcile()
	return nil
}

// signalNewResults signals on resultWaiting if more than endedBefore allocations have ended. r.mu must be held.
func (r *Runner) signalNewResults(endedBefore int64) {
	if r.leases.endedCount == endedBefore {
		return
	}
	select {
	case r.resultWaiting <- struct{}{}:
	default:
	}
}
