package shard

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker"
)

// maxConcurrentQueries bounds the workers that an owner queries at the same time. The others are queried in later
// steps.
const maxConcurrentQueries = 64

// queryInterval is the minimum time between two queries of the same worker.
const queryInterval = time.Second

// WorkerQuerier reads the task states of workers without going through their agents.
type WorkerQuerier interface {
	// Tasks returns all tasks that a worker knows. After an error their state is unknown.
	Tasks(ctx context.Context, w structs.Worker) ([]worker.TaskStatus, error)
}

// DirectQuerier connects to the task addresses that the inventory lists for workers.
type DirectQuerier struct{}

// Tasks implements WorkerQuerier. The connection isn't reused, since a worker is queried only while its agent is
// silent.
func (DirectQuerier) Tasks(ctx context.Context, w structs.Worker) ([]worker.TaskStatus, error) {
	address, err := netip.ParseAddrPort(w.TaskAddress)
	if err != nil {
		return nil, eris.Wrapf(err, "parsing the task address of worker %s", w.Name)
	}
	client := worker.NewClient(address, 0)
	defer client.Close()
	return client.Status(ctx)
}

// queryWorkers queries the workers of attempts that no agent has reported for a lease. The queries run in the
// background, so that an unresponsive host doesn't delay commits.
func (o *Owner) queryWorkers(ctx context.Context, t *term) {
	for _, w := range o.workersDueForQuery(t) {
		o.background(func() { o.queryWorker(ctx, t, w) })
	}
}

// workersDueForQuery returns the workers to query now and marks them as being queried.
func (o *Owner) workersDueForQuery(t *term) []structs.Worker {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	if t.ended || !t.valid(now, o.config.Lifecycle.OwnerValidity) {
		return nil
	}
	var due []structs.Worker
	for _, name := range t.machine.WorkersToQuery(now) {
		if now.Sub(o.lastQuery[name]) < queryInterval || len(o.querying) >= maxConcurrentQueries || o.querying[name] {
			continue
		}
		w, listed := o.fleet.Worker(name)
		if !listed {
			w.Name = name
		}
		o.lastQuery[name], o.querying[name] = now, true
		due = append(due, w)
	}
	return due
}

func (o *Owner) queryWorker(ctx context.Context, t *term, w structs.Worker) {
	queriedAt := o.clock.Now()
	statuses, err := o.querier.Tasks(ctx, w)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.querying, w.Name)
	if err != nil || t.ended {
		return
	}
	now := o.clock.Now()
	t.machine.ApplyWorkerStatus(w.Name, statuses, queriedAt, now, now)
}
