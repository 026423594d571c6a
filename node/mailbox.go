package node

import (
	"context"
	"sync"
	"time"
)

const (
	// fetchInterval is how soon the executor is asked to come back. Orders wait for half of it at the mean.
	fetchInterval = 250 * time.Millisecond
	// maxResponseDelay is how long an answer may be on its way: executors drop later ones. The lease counts from its arrival, so
	// that it is shorter by this.
	maxResponseDelay = time.Second
)

// Commands is what an executor gets when it fetches its orders.
type Commands struct {
	// HoldMillis is how long the runs go on from the arrival of the answer; 0 leaves their lease as it is.
	HoldMillis int64
	Ack, Fence int64
	Starts     []Start
	Stops      []Stop
	// FetchAgain is when the executor should come back.
	FetchAgain time.Duration
}

// Stop is the order to end a run.
type Stop struct {
	Task  string
	Run   int
	Fence int64
}

// Mailbox keeps orders until the executor fetches them with its heartbeat, where it takes no calls. It implements Executor: an
// order has been accepted once it was handed out, and the executor's later lists tell what became of it.
type Mailbox struct {
	mu sync.Mutex
	// life is the incarnation that fetched last, lists what it said then.
	life    string
	lists   *RunLists
	fetched chan struct{}
	pending    Commands
	// deadline is when the runs end, on the executor's clock in milliseconds.
	deadline int64
	orders   []*queuedOrder
}

// queuedOrder is an order that waits. Exactly one of start and stop is set.
type queuedOrder struct {
	life  string
	start *Start
	stop  *Stop
	done  chan error
}

func (m *queuedOrder) fence() int64 {
	if m.start != nil {
		return m.start.Fence
	}
	return m.stop.Fence
}

// NewMailbox returns an empty mailbox.
func NewMailbox() *Mailbox { return &Mailbox{fetched: make(chan struct{})} }

// Fetch takes over what an incarnation says of its runs, and returns what waits for it.
func (m *Mailbox) Fetch(life string, lists *RunLists) Commands {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life != life {
		// Acknowledgements and leases of a former incarnation say nothing to this one.
		m.pending, m.deadline = Commands{}, 0
	}
	m.life, m.lists = life, lists
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
		commands.HoldMillis = left
	}
	m.pending.Fence = commands.Fence
	return commands
}

// addTo adds an order to an answer, unless it was meant for another incarnation or comes from a former owner.
func (m *Mailbox) addTo(o *queuedOrder, commands *Commands) error {
	switch {
	case o.life != m.life:
		return ErrOtherIncarnation
	case o.fence() < commands.Fence:
		return &RejectedError{Reason: "fence"}
	case o.start != nil:
		commands.Starts = append(commands.Starts, *o.start)
		m.deadline = max(m.deadline, o.start.DeadlineMillis)
	default:
		commands.Stops = append(commands.Stops, *o.stop)
	}
	return nil
}

// Start implements Executor.
func (m *Mailbox) Start(ctx context.Context, life string, s Start) error {
	return m.enqueue(ctx, &queuedOrder{life: life, start: &s})
}

// Stop implements Executor.
func (m *Mailbox) Stop(ctx context.Context, life, task string, run int, fence int64) error {
	return m.enqueue(ctx, &queuedOrder{life: life, stop: &Stop{Task: task, Run: run, Fence: fence}})
}

// SetPace implements Executor. Executors that fetch their orders know no pace.
func (m *Mailbox) SetPace(context.Context, string, string, int, int, int64) error {
	return &RejectedError{Reason: "unsupported"}
}

// enqueue waits until an order is handed out. One that has waited too long is taken back and certainly had no effect.
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

// Hold implements Executor: the lists are those of the next fetch.
func (m *Mailbox) Hold(ctx context.Context, life string, fence, ack, deadlineMillis int64, _ time.Duration) (*RunLists, error) {
	m.mu.Lock()
	if m.life == life && fence >= m.pending.Fence {
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
	if m.life != life {
		return nil, ErrOtherIncarnation
	}
	return m.lists, nil
}
