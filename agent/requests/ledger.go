package requests

import (
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
)

// ledger is the table of attempts, shared by concurrent requests.
type ledger struct {
	clock clock.Clock

	// passing returns the bytes of the responses that are read or written at present.
	passing func() int64

	mu    sync.Mutex
	table *table
	// live holds the attempts that wait or run.
	live map[string]*attempt
	// changed is closed and replaced when an attempt stops being live.
	changed chan struct{}
	// lastEnd is when an attempt last stopped being live.
	lastEnd time.Time
}

func newLedger(limits tableLimits, clock clock.Clock) *ledger {
	none := func() int64 { return 0 }
	return &ledger{clock: clock, passing: none, table: newTable(limits), live: map[string]*attempt{}, changed: make(chan struct{})}
}

// arrive registers an attempt whose request was read whole. An attempt that is known stays as it is, and its state is
// returned with ok false.
func (l *ledger) arrive(a *attempt) (known state, ok bool) {
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
func (l *ledger) reject(id string) state {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.table.state(id); s != neverSeen {
		return s
	}
	to, _ := l.table.apply(id, refuse)
	return to
}

// apply moves an attempt on.
func (l *ledger) apply(id string, e event) (state, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	to, err := l.table.apply(id, e)
	if err == nil {
		l.settle(id, to)
	}
	return to, err
}

// finish stores the response of a running attempt.
func (l *ledger) finish(id string, r *response) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.passing = l.passing()
	err := l.table.finish(id, r, l.clock.Now())
	if err == nil {
		l.settle(id, finished)
	}
	return err
}

// settle takes an attempt that has ended out of the live ones. A cancelled attempt is told to stop waiting.
func (l *ledger) settle(id string, to state) {
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

// look returns the state of an attempt, its retained response, and the attempt itself while it waits or runs.
func (l *ledger) look(id string) (state, *response, *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.expire(l.clock.Now())
	s := l.table.state(id)
	if l.table.doubtful(id, s) {
		s = forgotten
	}
	return s, l.table.answer(id), l.live[id]
}

// expire drops responses that are too old, or that passing responses leave no room for.
func (l *ledger) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.passing = l.passing()
	l.table.expire(l.clock.Now())
}

// activity returns the number of live attempts, when the last one ended, and a channel that is closed at the next end.
func (l *ledger) activity() (live int, lastEnd time.Time, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.live), l.lastEnd, l.changed
}

// sizes returns the number of records, of retained responses and their bytes.
func (l *ledger) sizes() (records, answers int, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.table.records), l.table.retained.len(), l.table.bytes
}
