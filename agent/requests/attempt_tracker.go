package requests

import (
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
)

// attemptTracker makes an attemptTable safe for concurrent use and keeps the attempts that are queued or running.
type attemptTracker struct {
	clock clock.Clock

	// inFlightBytes returns the total size of the responses that are being read or written.
	inFlightBytes func() int64

	mu    sync.Mutex
	table *attemptTable
	// live holds the attempts that are queued or running.
	live map[string]*attempt
	// changed is closed and replaced whenever an attempt is removed from live.
	changed chan struct{}
	// lastEnd is the time at which an attempt was last removed from live.
	lastEnd time.Time
}

func newAttemptTracker(limits tableLimits, clock clock.Clock) *attemptTracker {
	none := func() int64 { return 0 }
	return &attemptTracker{clock: clock, inFlightBytes: none, table: newAttemptTable(limits), live: map[string]*attempt{}, changed: make(chan struct{})}
}

// arrive adds an attempt whose request was read completely. If the attempt is already known, it isn't changed, and its
// state is returned with ok set to false.
func (t *attemptTracker) arrive(a *attempt) (known state, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.table.state(a.id); s != neverSeen {
		return s, false
	}
	to, err := t.table.apply(a.id, arrive)
	if err != nil {
		return to, false
	}
	t.live[a.id] = a
	return to, true
}

// reject records that an attempt was refused before it was queued, and returns its state. An attempt that is already
// known keeps its state, so that an invalid or duplicate message with its ID can't change it.
func (t *attemptTracker) reject(id string) state {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.table.state(id); s != neverSeen {
		return s
	}
	to, _ := t.table.apply(id, refuse)
	return to
}

// apply applies an event to an attempt and returns its new state.
func (t *attemptTracker) apply(id string, e event) (state, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	to, err := t.table.apply(id, e)
	if err == nil {
		t.removeIfTerminal(id, to)
	}
	return to, err
}

// finish stores the response of a running attempt.
func (t *attemptTracker) finish(id string, r *response) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.inFlightBytes = t.inFlightBytes()
	err := t.table.finish(id, r, t.clock.Now())
	if err == nil {
		t.removeIfTerminal(id, finished)
	}
	return err
}

// removeIfTerminal removes an attempt from live if its new state is terminal. If it was cancelled, this also ends its
// wait for a slot.
func (t *attemptTracker) removeIfTerminal(id string, to state) {
	a, ok := t.live[id]
	if !ok || !to.terminal() {
		return
	}
	delete(t.live, id)
	if to == cancelled {
		close(a.cancelled)
	}
	t.lastEnd = t.clock.Now()
	close(t.changed)
	t.changed = make(chan struct{})
}

// lookup returns the state of an attempt, its retained response if there is one, and the attempt itself while it is
// queued or running.
func (t *attemptTracker) lookup(id string) (state, *response, *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.expire(t.clock.Now())
	s := t.table.state(id)
	if t.table.possiblyForgotten(id, s) {
		s = forgotten
	}
	return s, t.table.response(id), t.live[id]
}

// expire drops retained responses that are too old, and the oldest ones if responses in flight need their memory.
func (t *attemptTracker) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.inFlightBytes = t.inFlightBytes()
	t.table.expire(t.clock.Now())
}

// activity returns the number of live attempts, the time at which the last one ended, and a channel that is closed when
// the next one ends.
func (t *attemptTracker) activity() (live int, lastEnd time.Time, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.live), t.lastEnd, t.changed
}

// sizes returns the number of records, the number of retained responses and the size of these in bytes.
func (t *attemptTracker) sizes() (records, responses int, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.table.records), t.table.retained.len(), t.table.retainedBytes
}
