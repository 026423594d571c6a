package limit

import (
	"container/heap"
	"context"
	"fmt"
	"sync"
	"time"
)

// RejectedError reports that a request was not admitted, and so was not run.
type RejectedError struct {
	Reason string
	// RetryAfter is when another try is likely to be admitted.
	RetryAfter time.Duration
	// MemoryExceeded tells that the body didn't fit beside those of other requests.
	MemoryExceeded bool
}

// Error returns the reason.
func (e *RejectedError) Error() string { return fmt.Sprintf("not admitted: %s", e.Reason) }

// InFlight bounds the requests that an entry works on at once. Requests beyond the limit wait in a bounded queue, by
// priority and then by deadline. It is safe for concurrent use.
type InFlight struct {
	limit, maxWaiting int
	maxWait           time.Duration

	mu      sync.Mutex
	running int
	waiting waitQueue
	holdTime    time.Duration
	arrivals uint64
}

// initialHoldTime is the assumed time that a request stays in flight until some were observed.
const initialHoldTime = 20 * time.Millisecond

// NewInFlight returns a limit of running requests, with a queue of at most maxWaiting requests that wait for up to
// maxWait each.
func NewInFlight(limit, maxWaiting int, maxWait time.Duration) *InFlight {
	return &InFlight{limit: limit, maxWaiting: maxWaiting, maxWait: maxWait, holdTime: initialHoldTime}
}

type waiter struct {
	rank     int
	deadline time.Time
	arrival  uint64
	index    int
	// result receives nil for admission and otherwise the rejection, exactly once.
	result chan error
	reservation   *Reservation
	// responseSize is the size of the responseSize that waits for room; requests that wait for a place have none.
	responseSize int64
}

// before orders by importance, then by deadline, then by arrival.
func (w *waiter) before(o *waiter) bool {
	if w.rank != o.rank {
		return w.rank < o.rank
	}
	if !w.deadline.Equal(o.deadline) {
		return w.deadline.Before(o.deadline)
	}
	return w.arrival < o.arrival
}

// Acquire waits for admission. The bytes of the request's body are held from now on; a body that doesn't fit is rejected
// at once, unless less important requests that wait make room. The returned function ends the request's place and must be
// called once; the share is released on its own. A rejection is a *RejectedError and is returned as soon as it is certain.
// It releases the share.
func (l *InFlight) Acquire(ctx context.Context, reservation *Reservation) (release func(), err error) {
	defer func() {
		if err != nil {
			reservation.Release()
		}
	}()
	start := time.Now()
	l.mu.Lock()
	l.arrivals++
	w := &waiter{
		rank: reservation.rank, deadline: reservation.deadline, arrival: l.arrivals, result: make(chan error, 1), reservation: reservation,
	}
	if !l.holdBody(w) {
		err := &RejectedError{Reason: "the bodies of other requests leave no room at the entry", RetryAfter: l.holdTime, MemoryExceeded: true}
		l.mu.Unlock()
		return nil, err
	}
	if l.running < l.limit && len(l.waiting) == 0 {
		l.running++
		l.mu.Unlock()
		return l.newRelease(), nil
	}
	if err := l.enqueue(w, start); err != nil {
		l.mu.Unlock()
		return nil, err
	}
	l.mu.Unlock()
	timer := time.NewTimer(min(l.maxWait, w.deadline.Sub(start)))
	defer timer.Stop()
	select {
	case err = <-w.result:
	case <-timer.C:
		err = l.abandon(w, "the wait for a place at the entry took too long")
	case <-ctx.Done():
		err = l.abandon(w, "the caller went away")
	}
	if err != nil {
		return nil, err
	}
	return l.newRelease(), nil
}

// enqueue adds a inFlightWaiter, or returns its rejection. When the queue is full the least important request is rejected.
func (l *InFlight) enqueue(w *waiter, now time.Time) error {
	ahead := 0
	for _, other := range l.waiting {
		if other.before(w) {
			ahead++
		}
	}
	estimate := EstimateWait(ahead, l.limit, l.holdTime)
	if estimate > l.maxWait || now.Add(estimate).After(w.deadline) {
		return l.rejection("the entry is at its limit and the wait would be too long")
	}
	if len(l.waiting) >= l.maxWaiting {
		last := l.waiting.leastImportant()
		if last == nil || !w.before(last) {
			return l.rejection("the queue of the entry is full")
		}
		l.evict(last, l.rejection("a more important request took the place in the queue of the entry"))
	}
	heap.Push(&l.waiting, w)
	return nil
}

// evict takes a waiting request out of the queue.
func (l *InFlight) evict(w *waiter, cause *RejectedError) {
	heap.Remove(&l.waiting, w.index)
	w.reservation.Release()
	w.result <- cause
}

// holdBody holds the bytes of a request's body. When they don't fit beside the others, waiting requests that are less
// important are rejected, the last first, if that makes room.
func (l *InFlight) holdBody(w *waiter) bool {
	if w.reservation.HoldBody() {
		return true
	}
	var later []*Reservation
	for _, other := range l.waiting {
		if w.before(other) {
			later = append(later, other.reservation)
		}
	}
	if len(later) == 0 || !w.reservation.fitsWithout(later) {
		return false
	}
	for range later {
		cause := l.rejection("a more important request took the room for the body at the entry")
		cause.MemoryExceeded = true
		l.evict(l.waiting.leastImportant(), cause)
		if w.reservation.HoldBody() {
			return true
		}
	}
	return false
}

// EstimateWait returns how long a request waits behind others when limit requests at once hold a place for hold each.
func EstimateWait(ahead, limit int, holdTime time.Duration) time.Duration {
	return time.Duration(float64(holdTime) * float64(ahead+1) / float64(max(limit, 1)))
}

func (l *InFlight) rejection(reason string) *RejectedError {
	return &RejectedError{Reason: reason, RetryAfter: EstimateWait(len(l.waiting), l.limit, l.holdTime)}
}

// abandon takes a inFlightWaiter out of the queue. If its verdict was given meanwhile, that verdict holds.
func (l *InFlight) abandon(w *waiter, reason string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.index < 0 {
		return <-w.result
	}
	heap.Remove(&l.waiting, w.index)
	return l.rejection(reason)
}

func (l *InFlight) newRelease() func() {
	start := time.Now()
	var once sync.Once
	return func() { once.Do(func() { l.release(time.Since(start)) }) }
}

func (l *InFlight) release(held time.Duration) {
	const smoothing = 0.1
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdTime += time.Duration(smoothing * float64(held-l.holdTime))
	if len(l.waiting) > 0 {
		next := heap.Pop(&l.waiting).(*waiter)
		next.result <- nil
		return
	}
	l.running--
}

// Counts returns the number of requests in flight and waiting.
func (l *InFlight) Counts() (running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, len(l.waiting)
}

type waitQueue []*waiter

func (q waitQueue) Len() int           { return len(q) }
func (q waitQueue) Less(i, j int) bool { return q[i].before(q[j]) }
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push adds a inFlightWaiter; it is called by package heap.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop removes the last inFlightWaiter; it is called by package heap.
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

func (q waitQueue) leastImportant() *waiter {
	var last *waiter
	for _, w := range q {
		if last == nil || last.before(w) {
			last = w
		}
	}
	return last
}
