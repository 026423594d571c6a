package requests

import (
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
)

// attemptTracker is the table of attempts, shared by concurrent requests.
type attemptTracker struct {
	clock clock.Clock

	// inFlightBytes returns the bytes of the responses that are read or written at present.
	inFlightBytes func() int64

	mu    sync.Mutex
	table *attemptTable
	// live holds the attempts that wait or run.
	live map[string]*attempt
	// changed is closed and replaced when an attempt stops being live.
	changed chan struct{}
	// lastEnd is when an attempt last stopped being live.
	lastEnd time.Time
}

func newAttemptTracker(limits tableLimits, clock clock.Clock) *attemptTracker {
	none := func() int64 { return 0 }
	return &attemptTracker{clock: clock, inFlightBytes: none, table: newAttemptTable(limits), live: map[string]*attempt{}, changed: make(chan struct{})}
}

// arrive registers an attempt whose request was read whole. An attempt that is known stays as it is, and its state is
// returned with ok false.
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

// reject records that an attempt was refused before it was queued, and returns its state. An attempt that is known keeps
// its state, so that a wrong or repeated message doesn't change the attempt whose ID it names.
func (l *attemptTracker) reject(id string) state {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.table.state(id); s != neverSeen {
		return s
	}
	to, _ := l.table.apply(id, refuse)
	return to
}

// apply moves an attempt on.
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

// removeIfTerminal takes an attempt that has ended out of the live ones. A cancelled attempt is told to stop waiting.
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

// lookup returns the state of an attempt, its retained response, and the attempt itself while it waits or runs.
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

// expire drops responses that are too old, or that passing responses leave no room for.
func (l *attemptTracker) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.inFlightBytes = l.inFlightBytes()
	l.table.expire(l.clock.Now())
}

// activity returns the number of live attempts, when the last one ended, and a channel that is closed at the next end.
func (l *attemptTracker) activity() (live int, lastEnd time.Time, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.live), l.lastEnd, l.changed
}

// sizes returns the number of records, of retained responses and their bytes.
func (l *attemptTracker) sizes() (records, responses int, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.table.records), l.table.retained.len(), l.table.retainedBytes
}
