package replay

import (
	"time"

	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/structs"
)

// baselineRequeueDelay is how long the baseline takes to detect a failed host.
const baselineRequeueDelay = 10 * time.Second

// baselinePolicy is the policy for comparison: first fit by declared resources, round robin over the hosts that are up,
// unbounded queues without deadlines, no guard, no checkpoints, and no interference model.
type baselinePolicy struct {
	engine   *engine
	nextHost int
}

func newBaselinePolicy(e *engine) policy { return &baselinePolicy{engine: e} }

func (p *baselinePolicy) newAdmissionQueue(slots int) admissionQueue {
	return &unboundedQueue{slots: slots, running: map[string]bool{}}
}

func (p *baselinePolicy) choose(*request) (*host, bool) {
	for range p.engine.hosts {
		h := p.engine.hosts[p.nextHost%len(p.engine.hosts)]
		p.nextHost++
		if h.up {
			return h, true
		}
	}
	return nil, false
}

func (p *baselinePolicy) attemptEnded(*request, attemptEnd) {}

func (p *baselinePolicy) tick() {
	p.engine.eachPending(func(t *task) bool {
		for _, h := range p.engine.hosts {
			if _, out := p.engine.outSince[h.worker.FailureDomain]; out || !h.up {
				continue
			}
			if t.class.Declared.Fits(p.free(h)) {
				p.engine.place(t, h, t.class.Declared)
				break
			}
		}
		return true
	})
}

func (p *baselinePolicy) free(h *host) structs.Resources {
	free := h.worker.Capacity
	for _, s := range p.engine.trace.Services {
		free = free.Sub(s.Reservation)
	}
	for _, t := range h.tasks {
		free = free.Sub(t.reservation)
	}
	return free
}

func (p *baselinePolicy) domainChanged(string, bool) {}
func (p *baselinePolicy) hostLost(_ *host, tasks []*task) {
	p.engine.requeue(tasks, baselineRequeueDelay)
}
func (p *baselinePolicy) taskEnded(_ *task, _ *host, _ bool) {}

// unboundedQueue is a FIFO queue without a limit and without deadlines.
type unboundedQueue struct {
	slots   int
	running map[string]bool
	waiting []string
}

func (f *unboundedQueue) Offer(r limit.Request, _ time.Time) limit.Decisions {
	f.waiting = append(f.waiting, r.ID)
	return f.startWaiting()
}

func (f *unboundedQueue) Finish(id string, _ time.Duration, _ time.Time) limit.Decisions {
	delete(f.running, id)
	return f.startWaiting()
}

func (f *unboundedQueue) Tick(time.Time) limit.Decisions { return limit.Decisions{} }

func (f *unboundedQueue) Load() limit.Load {
	return limit.Load{Running: len(f.running), Queued: len(f.waiting), Slots: f.slots}
}

func (f *unboundedQueue) startWaiting() limit.Decisions {
	var c limit.Decisions
	for len(f.waiting) > 0 && len(f.running) < f.slots {
		f.running[f.waiting[0]] = true
		c.Start = append(c.Start, f.waiting[0])
		f.waiting = f.waiting[1:]
	}
	return c
}
