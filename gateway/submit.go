package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/intake"
	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/admission"
)

// Submit stores a job. Repeating it has no effect. Errors match ErrUnsupported, ErrTooLarge, ErrUnavailable, ErrCancelled or ErrUnknown; a
// job that is rejected for lack of capacity or memory gives a RejectedError.
func (g *Gateway) Submit(ctx context.Context, job *workflow.Job) error {
	started := time.Now()
	if job.Queue.RequiresTicket {
		// Executors of such a queue reject starts without a ticket, so the job would never run.
		g.metrics.unsupported.Inc(1)
		g.log.Info("job rejected", "job", job.ID, "queue", job.Queue.Name, "error", "its queue needs tickets of the advice service")
		return eris.Wrap(ErrUnsupported, "starts need tickets of the advice service")
	}
	value, err := json.Marshal(job)
	if err != nil {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	if len(value) > kv.DefaultMaxValueBytes {
		g.metrics.unsupported.Inc(1)
		return eris.Wrapf(ErrTooLarge, "it takes %d bytes, at most %d are stored", len(value), kv.DefaultMaxValueBytes)
	}
	request := admission.NewRequest(job)
	storingSince, err := g.admit(ctx, job, &request)
	if err != nil {
		return err
	}
	repeated, err := g.create(ctx, job.ID, value)
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrCancelled) {
		repeated, err = g.recallSubmission(job.ID, err)
	}
	took := time.Since(started)
	g.metrics.acceptTime.RecordDuration(took)
	g.recordSubmission(job, repeated, err, took)
	g.submitted.end(job.ID)
	mayBeNew := !repeated && !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrCancelled)
	g.recent.end(&job.Queue, &request, storingSince, time.Now(), mayBeNew)
	return err
}

// recordSubmission counts, logs and remembers the result of a submission.
func (g *Gateway) recordSubmission(job *workflow.Job, repeated bool, err error, took time.Duration) {
	log := g.log.With("job", job.ID, "queue", job.Queue.Name)
	switch {
	case errors.Is(err, ErrUnavailable), errors.Is(err, ErrCancelled):
		g.metrics.unavailable.Inc(1)
		log.Info("job rejected", "took_ms", took.Milliseconds(), "error", err)
	case err != nil:
		g.submitted.remember(job.ID, false)
		g.metrics.unknown.Inc(1)
		log.Info("job without a result", "took_ms", took.Milliseconds(), "error", err)
	default:
		g.submitted.remember(job.ID, true)
		counter := g.metrics.accepted
		if repeated {
			counter = g.metrics.repeated
		}
		counter.Inc(1)
		log.Info("job accepted", "repeated", repeated, "took_ms", took.Milliseconds(), "config", g.configVersion())
	}
}

// recallSubmission replaces a rejection by the result of an earlier submission of the same job, which the rejection would
// contradict: the client must not be told that a job was not accepted that runs, or may run later.
func (g *Gateway) recallSubmission(id string, rejection error) (repeated bool, err error) {
	switch accepted, known := g.submitted.find(id); {
	case !known:
		return false, rejection
	case accepted:
		return true, nil
	}
	return false, eris.Wrapf(ErrUnknown, "an earlier submission had no result: %v", rejection)
}

func (g *Gateway) configVersion() int64 {
	if c := g.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// create stores a job directly, or through the owner if that fails. repeated is true if the job was already stored.
func (g *Gateway) create(ctx context.Context, id string, value []byte) (repeated bool, err error) {
	direct, cancel := context.WithTimeout(ctx, firstPathTimeout)
	defer cancel()
	existing, err := g.writer.Create(direct, owner.JobPrefix+id, value)
	if err == nil {
		return existing != nil, cancelledBefore(existing)
	}
	uncertain := errors.Is(err, intake.ErrUnknown)
	relayErr := g.relayToOwner(ctx, owner.CreatePath+id, json.RawMessage(value))
	switch {
	case relayErr == nil:
		g.metrics.relayed.Inc(1)
		return false, nil
	case errors.Is(relayErr, ErrCancelled) && !uncertain:
		return false, relayErr
	case uncertain || errors.Is(relayErr, ErrUnknown):
		return false, eris.Wrapf(ErrUnknown, "%v; by the owner: %v", err, relayErr)
	}
	return false, eris.Wrapf(ErrUnavailable, "%v; by the owner: %v", err, relayErr)
}

// cancelledBefore returns ErrCancelled if a key that a submission has found shows that its job was cancelled before, and ErrUnknown if the
// job may be stored all the same once the tombstone is gone.
func cancelledBefore(existing *intake.Existing) error {
	switch {
	case existing == nil || !workflow.IsTombstone(existing.Value):
		return nil
	case existing.MayBeReplaced:
		return eris.Wrap(ErrUnknown, ErrCancelled.Error())
	}
	return ErrCancelled
}
