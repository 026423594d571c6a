package shard

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker"
)

// maxInquiries bounds the workers that an owner asks at the same time. The rest are asked in the next steps.
const maxInquiries = 64

// inquireEvery is the time between two inquiries of a worker.
const inquireEvery = time.Second

// Inquirer asks workers for their tasks without their agents.
type Inquirer interface {
	// Tasks returns all tasks that a worker knows. An error means that nothing is known of them.
	Tasks(ctx context.Context, w structs.Worker) ([]worker.TaskStatus, error)
}

// WorkerInquirer reaches workers at the task addresses of the inventory.
type WorkerInquirer struct{}

// Tasks implements Inquirer. The connection isn't kept, since a worker is asked only while its agent is silent.
func (WorkerInquirer) Tasks(ctx context.Context, w structs.Worker) ([]worker.TaskStatus, error) {
	address, err := netip.ParseAddrPort(w.TaskAddress)
	if err != nil {
		return nil, eris.Wrapf(err, "task address of worker %s", w.Name)
	}
	client := worker.NewClient(address, 0)
	defer client.Close()
	return client.Status(ctx)
}

// inquire asks the workers of attempts that no agent has reported for a lease. The answers arrive in the background, so that a host
// that doesn't respond holds no commit up.
func (o *Owner) inquire(ctx context.Context, t *term) {
	for _, w := range o.dueInquiries(t) {
		o.background(func() { o.ask(ctx, t, w) })
	}
}

// dueInquiries returns the workers to ask now and marks them as asked.
func (o *Owner) dueInquiries(t *term) []structs.Worker {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	if t.ended || !t.valid(now, o.config.Lifecycle.OwnerValidity) {
		return nil
	}
	var due []structs.Worker
	for _, name := range t.machine.Inquiries(now) {
		if now.Sub(o.asked[name]) < inquireEvery || len(o.asking) >= maxInquiries || o.asking[name] {
			continue
		}
		w, listed := o.settled.Worker(name)
		if !listed {
			w.Name = name
		}
		o.asked[name], o.asking[name] = now, true
		due = append(due, w)
	}
	return due
}

func (o *Owner) ask(ctx context.Context, t *term, w structs.Worker) {
	asked := o.clock.Now()
	statuses, err := o.inquirer.Tasks(ctx, w)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.asking, w.Name)
	if err != nil || t.ended {
		return
	}
	now := o.clock.Now()
	t.machine.Answer(w.Name, statuses, asked, now, now)
}
