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
	// Memory tells that the body didn't fit beside those of other requests.
	Memory bool
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
	hold    time.Duration
	arrival uint64
}

// initialHold is the assumed time that a request stays in flight until some were observed.
const initialHold = 20 * time.Millisecond

// NewInFlight returns a limit of running requests, with a queue of at most maxWaiting requests that wait for up to
// maxWait each.
func NewInFlight(limit, maxWaiting int, maxWait time.Duration) *InFlight {
	return &InFlight{limit: limit, maxWaiting: maxWaiting, maxWait: maxWait, hold: initialHold}
}

type inFlightWaiter struct {
	rank     int
	deadline time.Time
	arrival  uint64
	index    int
	// verdict receives nil for admission and otherwise the rejection, exactly once.
	verdict chan error
	share   *Share
	// response is the size of the response that waits for room; requests that wait for a place have none.
	response int64
}

// before orders by importance, then by deadline, then by arrival.
func (w *inFlightWaiter) before(o *inFlightWaiter) bool {
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
func (l *InFlight) Acquire(ctx context.Context, share *Share) (release func(), err error) {
	defer func() {
		if err != nil {
			share.Release()
		}
	}()
	start := time.Now()
	l.mu.Lock()
	l.arrival++
	w := &inFlightWaiter{
		rank: share.rank, deadline: share.deadline, arrival: l.arrival, verdict: make(chan error, 1), share: share,
	}
	if !l.holdBody(w) {
		err := &RejectedError{Reason: "the bodies of other requests leave no room at the entry", RetryAfter: l.hold, Memory: true}
		l.mu.Unlock()
		return nil, err
	}
	if l.running < l.limit && len(l.waiting) == 0 {
		l.running++
		l.mu.Unlock()
		return l.releaser(), nil
	}
	if err := l.enqueue(w, start); err != nil {
		l.mu.Unlock()
		return nil, err
	}
	l.mu.Unlock()
	timer := time.NewTimer(min(l.maxWait, w.deadline.Sub(start)))
	defer timer.Stop()
	select {
	case err = <-w.verdict:
	case <-timer.C:
		err = l.abandon(w, "the wait for a place at the entry took too long")
	case <-ctx.Done():
		err = l.abandon(w, "the caller went away")
	}
	if err != nil {
		return nil, err
	}
	return l.releaser(), nil
}

// enqueue adds a inFlightWaiter, or returns its rejection. When the queue is full the least important request is rejected.
func (l *InFlight) enqueue(w *inFlightWaiter, now time.Time) error {
	ahead := 0
	for _, other := range l.waiting {
		if other.before(w) {
			ahead++
		}
	}
	estimate := EstimateWait(ahead, l.limit, l.hold)
	if estimate > l.maxWait || now.Add(estimate).After(w.deadline) {
		return l.rejection("the entry is at its limit and the wait would be too long")
	}
	if len(l.waiting) >= l.maxWaiting {
		last := l.waiting.last()
		if last == nil || !w.before(last) {
			return l.rejection("the queue of the entry is full")
		}
		l.displace(last, l.rejection("a more important request took the place in the queue of the entry"))
	}
	heap.Push(&l.waiting, w)
	return nil
}

// displace takes a waiting request out of the queue.
func (l *InFlight) displace(w *inFlightWaiter, cause *RejectedError) {
	heap.Remove(&l.waiting, w.index)
	w.share.Release()
	w.verdict <- cause
}

// holdBody holds the bytes of a request's body. When they don't fit beside the others, waiting requests that are less
// important are rejected, the last first, if that makes room.
func (l *InFlight) holdBody(w *inFlightWaiter) bool {
	if w.share.HoldBody() {
		return true
	}
	var later []*Share
	for _, other := range l.waiting {
		if w.before(other) {
			later = append(later, other.share)
		}
	}
	if len(later) == 0 || !w.share.canHold(later) {
		return false
	}
	for range later {
		cause := l.rejection("a more important request took the room for the body at the entry")
		cause.Memory = true
		l.displace(l.waiting.last(), cause)
		if w.share.HoldBody() {
			return true
		}
	}
	return false
}

// EstimateWait returns how long a request waits behind others when limit requests at once hold a place for hold each.
func EstimateWait(ahead, limit int, hold time.Duration) time.Duration {
	return time.Duration(float64(hold) * float64(ahead+1) / float64(max(limit, 1)))
}

func (l *InFlight) rejection(reason string) *RejectedError {
	return &RejectedError{Reason: reason, RetryAfter: EstimateWait(len(l.waiting), l.limit, l.hold)}
}

// abandon takes a inFlightWaiter out of the queue. If its verdict was given meanwhile, that verdict holds.
func (l *InFlight) abandon(w *inFlightWaiter, reason string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.index < 0 {
		return <-w.verdict
	}
	heap.Remove(&l.waiting, w.index)
	return l.rejection(reason)
}

func (l *InFlight) releaser() func() {
	start := time.Now()
	var once sync.Once
	return func() { once.Do(func() { l.release(time.Since(start)) }) }
}

func (l *InFlight) release(held time.Duration) {
	const smoothing = 0.1
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold += time.Duration(smoothing * float64(held-l.hold))
	if len(l.waiting) > 0 {
		next := heap.Pop(&l.waiting).(*inFlightWaiter)
		next.verdict <- nil
		return
	}
	l.running--
}

// Running returns the number of requests in flight and waiting.
func (l *InFlight) Running() (running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, len(l.waiting)
}

type waitQueue []*inFlightWaiter

func (q waitQueue) Len() int           { return len(q) }
func (q waitQueue) Less(i, j int) bool { return q[i].before(q[j]) }
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push adds a inFlightWaiter; it is called by package heap.
func (q *waitQueue) Push(x any) {
	w := x.(*inFlightWaiter)
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

func (q waitQueue) last() *inFlightWaiter {
	var last *inFlightWaiter
	for _, w := range q {
		if last == nil || last.before(w) {
			last = w
		}
	}
	return last
}
