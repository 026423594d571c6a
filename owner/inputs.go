package owner

import (
	"context"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// followInputs sends the jobs and cancellations that gateways have stored to the loop.
func (t *term) followInputs(ctx context.Context, inputs chan<- func(), records map[string]*workflow.JobRecord) {
	send := func(f func()) {
		select {
		case inputs <- f:
		case <-ctx.Done():
		}
	}
	first := true
	follower := &kv.Follower{
		Store: t.store, Prefix: InputPrefix, WatchTimeout: inputWatchTimeout, Log: t.log,
		OnReset: func(items []kv.Item) {
			send(func() {
				for _, item := range items {
					t.applyInput(item, records, false)
				}
				if first {
					first = false
					close(t.loaded)
					t.log.Info("jobs loaded", "epoch", t.lease.Record.Epoch, "inputs", len(items), "records", len(records))
				}
			})
		},
		OnChange: func(e kv.Event) {
			if !e.Deleted {
				send(func() { t.applyInput(e.Item, records, true) })
			}
		},
		OnFresh: func(sentAt time.Time) { send(func() { t.deletedJobs.expire(sentAt) }) },
	}
	follower.Run(ctx)
}

// applyInput adds one job or cancellation to the engine. A live input has just been stored, so its age is taken as zero instead
// of being computed from the wall clocks of the gateway and this host, which may differ by seconds.
func (t *term) applyInput(item kv.Item, records map[string]*workflow.JobRecord, live bool) {
	now, wall := t.clock.Now(), time.Now()
	if id, ok := strings.CutPrefix(item.Key, CancelPrefix); ok {
		if t.deletedJobs.precedesDeletion(id, item.Revision) {
			return
		}
		if t.engine.Cancel(id, now, wall) {
			t.log.Debug("job cancelled", "job", id, "revision", item.Revision)
		}
		return
	}
	id, ok := strings.CutPrefix(item.Key, JobPrefix)
	if !ok || workflow.IsTombstone(item.Value) {
		return
	}
	if t.deletedJobs.precedesDeletion(id, item.Revision) {
		t.log.Info("input of a deleted job ignored", "job", id, "revision", item.Revision)
		return
	}
	record, recorded := records[id]
	if recorded && record == nil {
		t.engine.AddHeld(id)
		delete(records, id)
		return
	}
	if record != nil && record.Phase.Final() && len(record.Tasks) == 0 {
		t.engine.AddEnded(id, record)
		delete(records, id)
		return
	}
	spec, err := decodeJob(id, item.Value)
	if err != nil {
		t.log.Error("job can't be read", "key", item.Key, "revision", item.Revision, "error", err)
		return
	}
	if live {
		wall = time.UnixMilli(spec.AcceptedUnixMillis)
	}
	if t.engine.Add(spec, record, now, wall) {
		t.log.Info("job known", "job", id, "queue", spec.Queue.Name, "steps", len(spec.Steps), "revision", item.Revision,
			"recorded", recorded, "forgotten", t.engine.WasForgotten(id), "live", live, "age_ms", wall.UnixMilli()-spec.AcceptedUnixMillis,
			"chain_ms", t.engine.CriticalPath(id).Milliseconds(), "objective_ms", t.engine.Objective(id).Milliseconds(),
			"first_step", spec.Steps[0])
		delete(records, id)
	}
}

// decodeJob decodes and validates a stored job. The store has other writers too, so a stored job is checked like one from a
// client: a job without steps would crash this owner and each of its successors.
func decodeJob(id string, value []byte) (workflow.Job, error) {
	var spec workflow.Job
	if err := rpc.Decode(value, &spec); err != nil {
		return spec, err
	}
	if spec.ID != id {
		return spec, eris.Errorf("job ID in the key is %q, but in the value %q", id, spec.ID)
	}
	return spec, spec.Validate().Err()
}
