package requests

import (
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// tableLimits limits the size of an attemptTable.
type tableLimits struct {
	// Records is the maximum number of records of attempts.
	Records int
	// Responses is the maximum number of retained responses. ResponseBytes limits the total size of the retained responses
	// and those in flight.
	Responses     int
	ResponseBytes int64
	// ResponseAge is how long a response is retained.
	ResponseAge time.Duration
	// Watermarks is the maximum number of entry incarnations for which the highest dropped sequence is kept. Once it is
	// reached, attempts of further incarnations count as forgotten and don't run. 16384 is enough for 12 entries that
	// restart daily for more than three years while the agent isn't restarted.
	Watermarks int
}

// defaultTableLimits are the limits from the design documentation. 65536 records take about 13 MB and cover 65 s at 1000
// attempts per second, which is longer than the longest budget of a request.
var defaultTableLimits = tableLimits{
	Records: 1 << 16, Responses: 1024, ResponseBytes: 32 << 20, ResponseAge: time.Minute, Watermarks: 16384,
}

// record holds the state of one attempt and its retained response, if any.
type record struct {
	id       string
	state    state
	response *response
	// finishedAt is the time at which the response was stored.
	finishedAt time.Time
}

// attemptTable records the states of attempts and retains their responses. It is a pure state machine: it reads no clock,
// does no I/O, and isn't safe for concurrent use.
//
// When a limit is reached, it drops the oldest response, which makes the outcome of that attempt unknown, or the oldest
// record of a terminal attempt, which makes the attempt forgotten. Queued and running attempts are never dropped;
// admission limits their number. For each entry incarnation the table keeps a watermark, the highest sequence whose
// record it has dropped. An attempt at or below the watermark that has no record is forgotten rather than never seen, so
// it neither runs nor is reported as not run.
//
// Attempt IDs without a sequence have no watermark. Once the record of such an attempt was dropped, attempts that have
// neither a sequence nor a record are still accepted, but no longer reported as not run.
type attemptTable struct {
	limits        tableLimits
	records       map[string]*record
	terminal      fifo[*record]
	retained      fifo[*record]
	retainedBytes int64
	// inFlightBytes is the total size of the responses that are being read or written. It reduces the memory for retained
	// responses within limits.ResponseBytes.
	inFlightBytes int64
	watermarks    map[string]uint64
	// unorderedDropped is true once the record of an attempt without a sequence was dropped.
	unorderedDropped bool
}

func newAttemptTable(limits tableLimits) *attemptTable {
	return &attemptTable{limits: limits, records: map[string]*record{}, watermarks: map[string]uint64{}}
}

// state returns the state of an attempt.
func (t *attemptTable) state(id string) state {
	if r, ok := t.records[id]; ok {
		return r.state
	}
	incarnation, sequence, ordered, _ := structs.ParseAttemptID(id)
	if !ordered {
		return neverSeen
	}
	watermark, known := t.watermarks[incarnation]
	if (known && sequence <= watermark) || (!known && len(t.watermarks) >= t.limits.Watermarks) {
		return forgotten
	}
	return neverSeen
}

// apply applies an event to an attempt and returns its new state. An event that isn't allowed in the current state
// returns an error and changes nothing.
func (t *attemptTable) apply(id string, e event) (state, error) {
	from := t.state(id)
	if e == resolve && t.possiblyForgotten(id, from) {
		return forgotten, nil
	}
	to, err := from.next(e)
	if err != nil || to == from {
		return from, err
	}
	r, ok := t.records[id]
	if !ok {
		r = &record{id: id}
		t.records[id] = r
	}
	r.state = to
	if to.terminal() && !from.terminal() {
		t.terminal.push(r)
	}
	t.dropRecords()
	return to, nil
}

// finish stores the response of a running attempt.
func (t *attemptTable) finish(id string, resp *response, now time.Time) error {
	if _, err := t.apply(id, answer); err != nil {
		return err
	}
	r, ok := t.records[id]
	if !ok {
		return nil
	}
	r.response, r.finishedAt = resp, now
	t.retainedBytes += resp.size()
	t.retained.push(r)
	t.expire(now)
	return nil
}

// response returns the retained response of an attempt, or nil.
func (t *attemptTable) response(id string) *response {
	if r, ok := t.records[id]; ok {
		return r.response
	}
	return nil
}

// expire drops responses that are too old or exceed the limits, oldest first.
func (t *attemptTable) expire(now time.Time) {
	for t.retained.len() > 0 {
		oldest := t.retained.front()
		over := t.retained.len() > t.limits.Responses || t.retainedBytes > t.limits.ResponseBytes-t.inFlightBytes
		if !over && now.Sub(oldest.finishedAt) < t.limits.ResponseAge {
			return
		}
		t.evictOldest()
	}
}

func (t *attemptTable) evictOldest() {
	r := t.retained.pop()
	t.retainedBytes -= r.response.size()
	r.response = nil
	r.state, _ = r.state.next(evict)
}

func (t *attemptTable) dropRecords() {
	for len(t.records) > t.limits.Records && t.terminal.len() > 0 {
		oldest := t.terminal.pop()
		for oldest.state == finished && oldest.response != nil {
			t.evictOldest()
		}
		delete(t.records, oldest.id)
		t.raiseWatermark(oldest.id)
	}
}

func (t *attemptTable) raiseWatermark(id string) {
	incarnation, sequence, ordered, _ := structs.ParseAttemptID(id)
	if !ordered {
		t.unorderedDropped = true
		return
	}
	watermark, known := t.watermarks[incarnation]
	if !known && len(t.watermarks) >= t.limits.Watermarks {
		return
	}
	t.watermarks[incarnation] = max(watermark, sequence)
}

// possiblyForgotten reports whether an attempt without a record may have had one. This concerns only attempts without a
// sequence, which no watermark covers.
func (t *attemptTable) possiblyForgotten(id string, s state) bool {
	if s != neverSeen || !t.unorderedDropped {
		return false
	}
	_, _, ordered, _ := structs.ParseAttemptID(id)
	return !ordered
}

// fifo is a first-in, first-out queue that reuses its backing array.
type fifo[T any] struct {
	items []T
	head  int
}

func (f *fifo[T]) len() int { return len(f.items) - f.head }

func (f *fifo[T]) front() T { return f.items[f.head] }

func (f *fifo[T]) push(item T) {
	if f.head > len(f.items)/2 {
		n := copy(f.items, f.items[f.head:])
		clear(f.items[n:])
		f.items, f.head = f.items[:n], 0
	}
	f.items = append(f.items, item)
}

func (f *fifo[T]) pop() T {
	var zero T
	item := f.items[f.head]
	f.items[f.head] = zero
	f.head++
	return item
}
