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
	// RetryAfter is the delay after which a retry is likely to be admitted.
	RetryAfter time.Duration
	// MemoryExceeded reports that the body didn't fit into the memory budget.
	MemoryExceeded bool
}

// Error returns the reason.
func (e *RejectedError) Error() string { return fmt.Sprintf("not admitted: %s", e.Reason) }

// InFlight bounds the requests that an entry processes at once. Requests beyond the limit wait in a bounded queue, ordered
// by priority and then by deadline. It is safe for concurrent use.
type InFlight struct {
	limit, maxWaiting int
	maxWait           time.Duration

	mu       sync.Mutex
	running  int
	waiting  waitQueue
	holdTime time.Duration
	arrivals uint64
}

// initialHoldTime is how long a request is assumed to stay in flight until some have been observed.
const initialHoldTime = 20 * time.Millisecond

// NewInFlight returns a limiter of limit running requests, with a queue of at most maxWaiting requests that each wait for
// up to maxWait.
func NewInFlight(limit, maxWaiting int, maxWait time.Duration) *InFlight {
	return &InFlight{limit: limit, maxWaiting: maxWaiting, maxWait: maxWait, holdTime: initialHoldTime}
}

type waiter struct {
	rank     int
	deadline time.Time
	arrival  uint64
	index    int
	// result receives exactly one value: nil on admission, otherwise the reason why the request doesn't wait any more.
	result      chan error
	reservation *Reservation
	// responseSize is the size of the response that waits for memory, or 0 for a request that waits for admission.
	responseSize int64
}

// before orders waiters by rank, then by deadline, then by arrival.
func (w *waiter) before(other *waiter) bool {
	if w.rank != other.rank {
		return w.rank < other.rank
	}
	if !w.deadline.Equal(other.deadline) {
		return w.deadline.Before(other.deadline)
	}
	return w.arrival < other.arrival
}

// Acquire waits for admission. It holds memory for the request's body right away; a request whose body doesn't fit is
// rejected at once, unless evicting less important waiting requests frees enough memory. The caller must call the returned
// function to end the request, and release the reservation separately. A rejection is a *RejectedError, is returned as
// soon as it is certain, and releases the reservation.
func (l *InFlight) Acquire(ctx context.Context, reservation *Reservation) (release func(), err error) {
	defer func() {
		if err != nil {
			reservation.Release()
		}
	}()
	start := time.Now()
	l.mu.Lock()
	w := l.newWaiter(reservation)
	if !l.holdBody(w) {
		err := l.memoryRejection()
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

// Check returns the rejection that Acquire would return now, or nil. It holds nothing, so that a request that can't be admitted is
// rejected before its body is read.
func (l *InFlight) Check(reservation *Reservation) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.newWaiter(reservation)
	if !reservation.fitsWithout(l.lessImportant(w)) {
		return l.memoryRejection()
	}
	if l.running < l.limit && len(l.waiting) == 0 {
		return nil
	}
	if rejection, _ := l.checkQueue(w, time.Now()); rejection != nil {
		return rejection
	}
	return nil
}

// newWaiter returns a waiter for a request that arrives now. The caller holds mu.
func (l *InFlight) newWaiter(reservation *Reservation) *waiter {
	l.arrivals++
	return &waiter{
		rank: reservation.rank, deadline: reservation.deadline, arrival: l.arrivals, result: make(chan error, 1), reservation: reservation,
	}
}

func (l *InFlight) memoryRejection() *RejectedError {
	return &RejectedError{Reason: "the bodies of other requests leave no room at the entry", RetryAfter: l.holdTime, MemoryExceeded: true}
}

// enqueue adds w to the queue or returns its rejection. When the queue is full, the least important request is rejected.
func (l *InFlight) enqueue(w *waiter, now time.Time) error {
	rejection, displaced := l.checkQueue(w, now)
	if rejection != nil {
		return rejection
	}
	if displaced != nil {
		l.evict(displaced, l.rejection("a more important request took the place in the queue of the entry"))
	}
	heap.Push(&l.waiting, w)
	return nil
}

// checkQueue returns the rejection of w if it can't wait in the queue, or else the waiting request whose place it takes, if any.
func (l *InFlight) checkQueue(w *waiter, now time.Time) (rejection *RejectedError, displaced *waiter) {
	ahead := 0
	for _, other := range l.waiting {
		if other.before(w) {
			ahead++
		}
	}
	estimate := EstimateWait(ahead, l.limit, l.holdTime)
	if estimate > l.maxWait || now.Add(estimate).After(w.deadline) {
		return l.rejection("the entry is at its limit and the wait would be too long"), nil
	}
	if len(l.waiting) < l.maxWaiting {
		return nil, nil
	}
	last := l.waiting.leastImportant()
	if last == nil || !w.before(last) {
		return l.rejection("the queue of the entry is full"), nil
	}
	return nil, last
}

// evict removes a waiting request from the queue and rejects it with the given cause.
func (l *InFlight) evict(w *waiter, cause *RejectedError) {
	heap.Remove(&l.waiting, w.index)
	w.reservation.Release()
	w.result <- cause
}

// holdBody holds memory for the request's body. If the body doesn't fit, less important waiting requests are evicted,
// least important first, provided that this frees enough memory.
func (l *InFlight) holdBody(w *waiter) bool {
	if w.reservation.HoldBody() {
		return true
	}
	later := l.lessImportant(w)
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

// lessImportant returns the reservations of the waiting requests that are less important than w. The caller holds mu.
func (l *InFlight) lessImportant(w *waiter) []*Reservation {
	var later []*Reservation
	for _, other := range l.waiting {
		if w.before(other) {
			later = append(later, other.reservation)
		}
	}
	return later
}

// EstimateWait returns how long a request waits behind ahead others if limit requests run at once and each runs for
// holdTime.
func EstimateWait(ahead, limit int, holdTime time.Duration) time.Duration {
	return time.Duration(float64(holdTime) * float64(ahead+1) / float64(max(limit, 1)))
}

func (l *InFlight) rejection(reason string) *RejectedError {
	return &RejectedError{Reason: reason, RetryAfter: EstimateWait(len(l.waiting), l.limit, l.holdTime)}
}

// abandon removes w from the queue and returns a rejection. If the result of w was decided in the meantime, it returns
// that result instead.
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

// Counts returns the numbers of running and waiting requests.
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

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
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
