package limit

import (
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
)

// Admission wraps a Queue for concurrent use. Each request gets a Ticket that reports the queue's decision.
type Admission struct {
	clock clock.Clock

	mu      sync.Mutex
	queue   *Queue
	tickets map[string]*Ticket
}

// Ticket tracks one request in an Admission until it is cancelled, refused or done.
type Ticket struct {
	admission *Admission
	id        string
	ready     chan struct{}
	// refusal is set before ready is closed.
	refusal *Refusal
}

// NewAdmission returns an Admission with an empty queue.
func NewAdmission(limits QueueLimits, clock clock.Clock) *Admission {
	return &Admission{clock: clock, queue: NewQueue(limits), tickets: map[string]*Ticket{}}
}

// Enter submits a request. The decision may come later; wait for it with Ticket.Ready.
func (a *Admission) Enter(r Request) *Ticket {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &Ticket{admission: a, id: r.ID, ready: make(chan struct{})}
	if a.queue.contains(r.ID) {
		t.refusal = &Refusal{ID: r.ID, Reason: ReasonDuplicate}
		close(t.ready)
		return t
	}
	a.tickets[r.ID] = t
	a.apply(a.queue.Offer(r, a.clock.Now()))
	return t
}

// Tick refuses waiting requests that can no longer finish before their deadlines. Call it periodically while requests wait.
func (a *Admission) Tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queue.waiting) > 0 {
		a.apply(a.queue.Tick(a.clock.Now()))
	}
}

// Close refuses all later requests. Waiting and running requests are kept.
func (a *Admission) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Close()
}

// Load returns the current counts.
func (a *Admission) Load() Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Load()
}

func (a *Admission) apply(d Decisions) {
	for _, id := range d.Start {
		close(a.tickets[id].ready)
	}
	for i := range d.Refuse {
		t := a.tickets[d.Refuse[i].ID]
		delete(a.tickets, t.id)
		t.refusal = &d.Refuse[i]
		close(t.ready)
	}
}

// Ready returns a channel that is closed once the request has a slot or has been refused.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Refusal returns why the request was refused, or nil if it has a slot. Call it only after Ready is closed.
func (t *Ticket) Refusal() *Refusal { return t.refusal }

// Cancel removes the request from the queue and reports whether it was still waiting. If it wasn't, its slot, if it has
// one, must be freed with Done.
func (t *Ticket) Cancel() bool {
	a := t.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tickets[t.id] != t || !a.queue.Cancel(t.id) {
		return false
	}
	delete(a.tickets, t.id)
	return true
}

// Done frees the slot of a request that the upstream processed for the given time. A negative time isn't counted as an
// observed service time.
func (t *Ticket) Done(took time.Duration) {
	a := t.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tickets[t.id] != t {
		return
	}
	delete(a.tickets, t.id)
	a.apply(a.queue.Finish(t.id, took, a.clock.Now()))
}
