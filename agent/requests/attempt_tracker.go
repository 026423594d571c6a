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
func (l *attemptTracker) arrive(a *attempt) (known state, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.table.state(a.id); s != neverSeen {
		return s, false
	}
	to, err := l.table.apply(a.id, arrive)
	if err != nil {
		return to, false
	}
	l.live[a.id] = a
	return to, true
}

// reject records that an attempt was refused before it was queued, and returns its state. An attempt that is already
// known keeps its state, so that an invalid or duplicate message with its ID can't change it.
func (l *attemptTracker) reject(id string) state {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.table.state(id); s != neverSeen {
		return s
	}
	to, _ := l.table.apply(id, refuse)
	return to
}

// apply applies an event to an attempt and returns its new state.
func (l *attemptTracker) apply(id string, e event) (state, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	to, err := l.table.apply(id, e)
	if err == nil {
		l.removeIfTerminal(id, to)
	}
	return to, err
}

// finish stores the response of a running attempt.
func (l *attemptTracker) finish(id string, r *response) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.inFlightBytes = l.inFlightBytes()
	err := l.table.finish(id, r, l.clock.Now())
	if err == nil {
		l.removeIfTerminal(id, finished)
	}
	return err
}

// removeIfTerminal removes an attempt from live if its new state is terminal. If it was cancelled, this also ends its
// wait for a slot.
func (l *attemptTracker) removeIfTerminal(id string, to state) {
	a, ok := l.live[id]
	if !ok || !to.terminal() {
		return
	}
	delete(l.live, id)
	if to == cancelled {
		close(a.cancelled)
	}
	l.lastEnd = l.clock.Now()
	close(l.changed)
	l.changed = make(chan struct{})
}

// lookup returns the state of an attempt, its retained response if there is one, and the attempt itself while it is
// queued or running.
func (l *attemptTracker) lookup(id string) (state, *response, *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.expire(l.clock.Now())
	s := l.table.state(id)
	if l.table.possiblyForgotten(id, s) {
		s = forgotten
	}
	return s, l.table.response(id), l.live[id]
}

// expire drops retained responses that are too old, and the oldest ones if responses in flight need their memory.
func (l *attemptTracker) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.inFlightBytes = l.inFlightBytes()
	l.table.expire(l.clock.Now())
}

// activity returns the number of live attempts, the time at which the last one ended, and a channel that is closed when
// the next one ends.
func (l *attemptTracker) activity() (live int, lastEnd time.Time, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.live), l.lastEnd, l.changed
}

// sizes returns the number of records, the number of retained responses and the size of these in bytes.
func (l *attemptTracker) sizes() (records, responses int, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.table.records), l.table.retained.len(), l.table.retainedBytes
}
