package limit

import (
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
)

// Admission makes a Queue usable by concurrent requests.
type Admission struct {
	clock clock.Clock

	mu      sync.Mutex
	queue   *Queue
	tickets map[string]*Ticket
}

// Ticket is the place of one request in an Admission.
type Ticket struct {
	admission *Admission
	id        string
	ready     chan struct{}
	// refusal is set before ready is closed.
	refusal *Refusal
}

// NewAdmission returns an empty admission.
func NewAdmission(limits QueueLimits, clock clock.Clock) *Admission {
	return &Admission{clock: clock, queue: NewQueue(limits), tickets: map[string]*Ticket{}}
}

// Enter offers a request. The ticket is decided at once or later; see Ticket.Ready.
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

// Tick refuses waiting requests that can no longer finish in time. It is called while requests wait.
func (a *Admission) Tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queue.waiting) > 0 {
		a.apply(a.queue.Tick(a.clock.Now()))
	}
}

// Close refuses all later requests; waiting and running ones are kept.
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

func (a *Admission) apply(c Decisions) {
	for _, id := range c.Start {
		close(a.tickets[id].ready)
	}
	for i := range c.Refuse {
		t := a.tickets[c.Refuse[i].ID]
		delete(a.tickets, t.id)
		t.refusal = &c.Refuse[i]
		close(t.ready)
	}
}

// Ready is closed when the request was given a slot or was refused.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Refusal returns nil for a request that has a slot. It is called after Ready is closed.
func (t *Ticket) Refusal() *Refusal { return t.refusal }

// Cancel gives the place back. It tells whether the request was still waiting; otherwise its slot, if it has one, must be
// returned with Done.
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

// Done returns the slot of a request that took the given time in the upstream; a negative time isn't observed.
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
