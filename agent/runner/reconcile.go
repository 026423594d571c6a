package runner

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Reconcile makes the worker match the lease table. Tasks that must not run any more are ended first.
func (r *Runner) Reconcile(ctx context.Context) error {
	r.reconcileMu.Lock()
	defer r.reconcileMu.Unlock()
	r.mu.Lock()
	endedBefore := r.leases.endedCount
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.signalNewResults(endedBefore)
	}()
	// Leases are enforced before the status is read, since that call can take long.
	r.execute(ctx, r.dueOperations(opSuspend, opStop, opAbandon))
	statuses, err := r.worker.Status(ctx)
	if err != nil {
		return eris.Wrap(err, "reading the worker's status")
	}
	r.mu.Lock()
	now := r.clock.Now()
	var remove []operation
	if r.recovered {
		remove = r.leases.applyStatuses(statuses, now)
	} else {
		r.leases.recoverTasks(statuses, decodeAllocation, now)
		r.recovered = true
	}
	r.mu.Unlock()
	r.execute(ctx, remove)
	r.applyGuard(ctx)
	r.execute(ctx, r.dueOperations())
	return nil
}

// dueOperations returns the operations that are due, limited to the given kinds if there are any.
func (r *Runner) dueOperations(kinds ...operationKind) []operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.leases.dueOperations(r.clock.Now())
	if len(kinds) == 0 {
		return all
	}
	var chosen []operation
	for _, op := range all {
		for _, kind := range kinds {
			if op.kind == kind {
				chosen = append(chosen, op)
			}
		}
	}
	return chosen
}

func decodeAllocation(text string) (structs.Allocation, bool) {
	var alloc structs.Allocation
	err := json.Unmarshal([]byte(text), &alloc)
	return alloc, err == nil
}

func (r *Runner) requestReconcile() {
	select {
	case r.reconcileDue <- struct{}{}:
	default:
	}
}
