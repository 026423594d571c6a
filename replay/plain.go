package replay

import (
	"time"

	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/structs"
)

// plainRequeueDelay is how long the baseline takes to notice a lost host.
const plainRequeueDelay = 10 * time.Second

// plain is the baseline: first fit by declared sizes, round robin over the hosts that are up, queues without bounds or
// deadlines, no guard, no checkpoints, and no regard to interference.
type plain struct {
	e    *engine
	next int
}

func newPlain(e *engine) policy { return &plain{e: e} }

func (p *plain) newAdmission(slots int) admission {
	return &fifo{slots: slots, running: map[string]bool{}}
}

func (p *plain) choose(*request) (*host, bool) {
	for range p.e.hosts {
		h := p.e.hosts[p.next%len(p.e.hosts)]
		p.next++
		if h.up {
			return h, true
		}
	}
	return nil, false
}

func (p *plain) settled(*request, attemptEnd) {}

func (p *plain) tick() {
	p.e.eachPending(func(t *task) bool {
		for _, h := range p.e.hosts {
			if _, out := p.e.out[h.worker.FailureDomain]; out || !h.up {
				continue
			}
			if t.class.Declared.Fits(p.free(h)) {
				p.e.place(t, h, t.class.Declared)
				break
			}
		}
		return true
	})
}

func (p *plain) free(h *host) structs.Resources {
	free := h.worker.Capacity
	for _, s := range p.e.trace.Services {
		free = free.Sub(s.Reservation)
	}
	for _, t := range h.tasks {
		free = free.Sub(t.reservation)
	}
	return free
}

func (p *plain) domainChanged(string, bool)     {}
func (p *plain) lost(_ *host, tasks []*task)    { p.e.requeue(tasks, plainRequeueDelay) }
func (p *plain) ended(_ *task, _ *host, _ bool) {}

// fifo is a queue without a bound or deadlines.
type fifo struct {
	slots   int
	running map[string]bool
	waiting []string
}

func (f *fifo) Offer(r limit.Request, _ time.Time) limit.Decisions {
	f.waiting = append(f.waiting, r.ID)
	return f.settle()
}

func (f *fifo) Finish(id string, _ time.Duration, _ time.Time) limit.Decisions {
	delete(f.running, id)
	return f.settle()
}

func (f *fifo) Tick(time.Time) limit.Decisions { return limit.Decisions{} }

func (f *fifo) Load() limit.Load {
	return limit.Load{Running: len(f.running), Queued: len(f.waiting), Slots: f.slots}
}

func (f *fifo) settle() limit.Decisions {
	var c limit.Decisions
	for len(f.waiting) > 0 && len(f.running) < f.slots {
		f.running[f.waiting[0]] = true
		c.Start = append(c.Start, f.waiting[0])
		f.waiting = f.waiting[1:]
	}
	return c
}
