package shard

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker"
)

// maxConcurrentQueries bounds the workers that an owner asks at the same time. The rest are asked in the next steps.
const maxConcurrentQueries = 64

// queryInterval is the time between two inquiries of a worker.
const queryInterval = time.Second

// WorkerQuerier asks workers for their tasks without their agents.
type WorkerQuerier interface {
	// Tasks returns all tasks that a worker knows. An error means that nothing is known of them.
	Tasks(ctx context.Context, w structs.Worker) ([]worker.TaskStatus, error)
}

// DirectQuerier reaches workers at the task addresses of the inventory.
type DirectQuerier struct{}

// Tasks implements Inquirer. The connection isn't kept, since a worker is asked only while its agent is silent.
func (DirectQuerier) Tasks(ctx context.Context, w structs.Worker) ([]worker.TaskStatus, error) {
	address, err := netip.ParseAddrPort(w.TaskAddress)
	if err != nil {
		return nil, eris.Wrapf(err, "task address of worker %s", w.Name)
	}
	client := worker.NewClient(address, 0)
	defer client.Close()
	return client.Status(ctx)
}

// queryWorkers asks the workers of attempts that no agent has reported for a lease. The answers arrive in the background, so that a host
// that doesn't respond holds no commit up.
func (o *Owner) queryWorkers(ctx context.Context, t *term) {
	for _, w := range o.workersDueForQuery(t) {
		o.background(func() { o.queryWorker(ctx, t, w) })
	}
}

// workersDueForQuery returns the workers to ask now and marks them as asked.
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
	asked := o.clock.Now()
	statuses, err := o.querier.Tasks(ctx, w)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.querying, w.Name)
	if err != nil || t.ended {
		return
	}
	now := o.clock.Now()
	t.machine.ApplyWorkerStatus(w.Name, statuses, asked, now, now)
}
