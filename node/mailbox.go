package node

import (
	"context"
	"sync"
	"time"
)

const (
	// fetchInterval is the time after which the executor should fetch again. Orders wait for half of it on average.
	fetchInterval = 250 * time.Millisecond
	// maxResponseDelay is how long a response to a fetch may take to arrive: executors discard later ones. The lease in the
	// response counts from its arrival and is therefore shortened by this time.
	maxResponseDelay = time.Second
)

// Commands is the response to an executor that fetches its orders.
type Commands struct {
	// LeaseMillis is the lease of the runs, counted from the arrival of the response; 0 leaves the lease unchanged.
	LeaseMillis int64
	Ack, Fence  int64
	Starts      []Start
	Stops       []Stop
	// FetchAgain is the time after which the executor should fetch again.
	FetchAgain time.Duration
}

// Stop is the order to end a run.
type Stop struct {
	Task  string
	Run   int
	Fence int64
}

// Mailbox queues orders for an executor that takes no calls and fetches its orders with its heartbeats. It implements Executor:
// an order counts as accepted once it was fetched, and the executor's later lists show its effect.
type Mailbox struct {
	mu sync.Mutex
	// incarnation is the one that fetched last, and lists is what it sent then.
	incarnation string
	lists       *RunLists
	fetched     chan struct{}
	pending     Commands
	// deadline is the end of the lease of the runs, in milliseconds of the executor's clock.
	deadline int64
	orders   []*queuedOrder
}

// queuedOrder is an order that waits to be fetched. Exactly one of start and stop is set.
type queuedOrder struct {
	incarnation string
	start       *Start
	stop        *Stop
	done        chan error
}

func (o *queuedOrder) fence() int64 {
	if o.start != nil {
		return o.start.Fence
	}
	return o.stop.Fence
}

// NewMailbox returns an empty mailbox.
func NewMailbox() *Mailbox { return &Mailbox{fetched: make(chan struct{})} }

// Fetch stores the lists that an incarnation sent and returns the commands that wait for it.
func (m *Mailbox) Fetch(incarnation string, lists *RunLists) Commands {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.incarnation != incarnation {
		// Acknowledgements and leases of a former incarnation do not apply to this one.
		m.pending, m.deadline = Commands{}, 0
	}
	m.incarnation, m.lists = incarnation, lists
	close(m.fetched)
	m.fetched = make(chan struct{})
	commands := Commands{Ack: m.pending.Ack, Fence: m.pending.Fence, FetchAgain: fetchInterval}
	for _, o := range m.orders {
		commands.Fence = max(commands.Fence, o.fence())
	}
	for _, o := range m.orders {
		o.done <- m.addTo(o, &commands)
	}
	m.orders = nil
	if left := m.deadline - lists.ClockMillis - maxResponseDelay.Milliseconds(); left > 0 {
		commands.LeaseMillis = left
	}
	m.pending.Fence = commands.Fence
	return commands
}

// addTo adds an order to commands. It returns an error if the order is for another incarnation or from a former owner, or if it is a
// start that is forbidden by now.
func (m *Mailbox) addTo(o *queuedOrder, commands *Commands) error {
	switch {
	case o.incarnation != m.incarnation:
		return ErrOtherIncarnation
	case o.fence() < commands.Fence:
		return &RejectedError{Reason: reasonFence}
	case o.stop != nil:
		commands.Stops = append(commands.Stops, *o.stop)
		return nil
	}
	if reason := m.refusal(o.start); reason != "" {
		return &RejectedError{Reason: reason}
	}
	commands.Starts = append(commands.Starts, *o.start)
	m.deadline = max(m.deadline, o.start.DeadlineMillis)
	return nil
}

// refusal returns the reason for which a start that was queued may not be handed out; empty if there is none. Its lease may have ended,
// since the time limit of the order stands still while this host is suspended, and the executor may have changed.
func (m *Mailbox) refusal(s *Start) string {
	switch {
	case s.DeadlineMillis < m.lists.ClockMillis:
		return "late"
	case s.Refusal == nil:
		return ""
	}
	return s.Refusal()
}

// Start implements Executor.
func (m *Mailbox) Start(ctx context.Context, incarnation string, s Start) error {
	return m.enqueue(ctx, &queuedOrder{incarnation: incarnation, start: &s})
}

// Stop implements Executor.
func (m *Mailbox) Stop(ctx context.Context, incarnation, task string, run int, fence int64) error {
	return m.enqueue(ctx, &queuedOrder{incarnation: incarnation, stop: &Stop{Task: task, Run: run, Fence: fence}})
}

// SetPace implements Executor. Executors that fetch their orders do not support pacing.
func (m *Mailbox) SetPace(context.Context, string, string, int, int, int64) error {
	return &RejectedError{Reason: "unsupported"}
}

// enqueue queues an order and waits until it is fetched. If ctx ends first, the order is withdrawn and certainly had no effect.
func (m *Mailbox) enqueue(ctx context.Context, o *queuedOrder) error {
	o.done = make(chan error, 1)
	m.mu.Lock()
	m.orders = append(m.orders, o)
	m.mu.Unlock()
	select {
	case err := <-o.done:
		return err
	case <-ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case err := <-o.done:
		return err
	default:
	}
	for i := range m.orders {
		if m.orders[i] == o {
			m.orders = append(m.orders[:i], m.orders[i+1:]...)
			break
		}
	}
	return ErrNotDelivered
}

// Connect implements Executor. Executors that fetch their orders can't be called.
func (m *Mailbox) Connect(context.Context) error { return ErrNotDelivered }

// Hold implements Executor. It returns the lists of the next fetch.
func (m *Mailbox) Hold(ctx context.Context, incarnation string, fence, ack, deadlineMillis int64, _ time.Duration) (*RunLists, error) {
	m.mu.Lock()
	if m.incarnation == incarnation && fence >= m.pending.Fence {
		m.pending.Fence = fence
		m.pending.Ack = max(m.pending.Ack, ack)
		m.deadline = max(m.deadline, deadlineMillis)
	}
	fetched := m.fetched
	m.mu.Unlock()
	select {
	case <-fetched:
	case <-ctx.Done():
		return nil, ErrNotDelivered
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.incarnation != incarnation {
		return nil, ErrOtherIncarnation
	}
	return m.lists, nil
}
