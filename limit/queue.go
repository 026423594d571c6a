// Package limit bounds the work that a process accepts: the admission queue of an upstream, limits on requests in flight and
// on their memory, rate limits and the retry budget.
package limit

import (
	"slices"
	"time"
)

// Reason says why a request was refused. A refused request has not run.
type Reason string

// Reasons for refusing a request.
const (
	// ReasonQueueFull means that the queue is full of requests that come first by rank, deadline or arrival.
	ReasonQueueFull Reason = "queue_full"
	// ReasonTooLate means that, at the observed service times, the request can't finish before its deadline.
	ReasonTooLate Reason = "too_late"
	// ReasonDuplicate means that a request with the same ID is already waiting or running.
	ReasonDuplicate Reason = "duplicate"
	// ReasonClosed means that the queue admits no more requests because its upstream is leaving.
	ReasonClosed Reason = "closed"
)

// Bounds and default of Refusal.RetryAfter.
const (
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter keeps callers from waiting for long because of one slow period.
	maxRetryAfter = 30 * time.Second
	// defaultRetryAfter is used when there is no recent service time to compute a delay from.
	defaultRetryAfter = time.Second
)

// QueueLimits bounds a queue.
type QueueLimits struct {
	// Slots is the maximum number of requests that run at the same time.
	Slots int
	// MaxWaiting is the maximum number of requests that wait for a slot.
	MaxWaiting int
}

// Request holds the properties of a request that determine its position in the queue.
type Request struct {
	ID string
	// Rank is the priority of the request and takes precedence over the deadline; 0 is the most important.
	Rank     int
	Deadline time.Time
}

// Refusal reports that a request won't run, why, and after which delay a retry is likely to be admitted.
type Refusal struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration
}

// Decisions lists the requests that one call started or refused, in order. Unless it is cancelled, each request appears in
// exactly one Decisions.
type Decisions struct {
	Start  []string
	Refuse []Refusal
}

// Load counts the requests in a queue.
type Load struct {
	Running, Queued, Slots int
}

// Queue decides which requests run in the slots of one upstream. It is a pure state machine that reads no clock and does no
// I/O, and it isn't safe for concurrent use. Waiting requests are ordered by rank, then deadline, then arrival.
type Queue struct {
	limits  QueueLimits
	waiting []queueEntry
	running map[string]time.Time
	times   serviceTimes
	arrival uint64
	closed  bool
}

type queueEntry struct {
	Request
	arrival uint64
}

func (e queueEntry) compare(other queueEntry) int {
	switch {
	case e.Rank != other.Rank:
		return e.Rank - other.Rank
	case !e.Deadline.Equal(other.Deadline):
		return e.Deadline.Compare(other.Deadline)
	case e.arrival < other.arrival:
		return -1
	}
	return 1
}

// NewQueue returns an empty queue. It has at least 1 slot, and a negative MaxWaiting counts as 0.
func NewQueue(limits QueueLimits) *Queue {
	limits.Slots, limits.MaxWaiting = max(limits.Slots, 1), max(limits.MaxWaiting, 0)
	return &Queue{limits: limits, running: map[string]time.Time{}}
}

// Load returns the current counts.
func (q *Queue) Load() Load {
	return Load{Running: len(q.running), Queued: len(q.waiting), Slots: q.limits.Slots}
}

// Offer submits a request, which starts, waits or is refused. If the queue is full, a less important waiting request is
// refused instead.
func (q *Queue) Offer(r Request, now time.Time) Decisions {
	switch {
	case q.closed:
		return Decisions{Refuse: []Refusal{{ID: r.ID, Reason: ReasonClosed, RetryAfter: minRetryAfter}}}
	case q.contains(r.ID):
		return Decisions{Refuse: []Refusal{{ID: r.ID, Reason: ReasonDuplicate}}}
	}
	q.arrival++
	entry := queueEntry{Request: r, arrival: q.arrival}
	at, _ := slices.BinarySearchFunc(q.waiting, entry, queueEntry.compare)
	if finish := q.estimate(at, now); finish.After(r.Deadline) || !now.Before(r.Deadline) {
		return Decisions{Refuse: []Refusal{q.newRefusal(r, ReasonTooLate, finish, now)}}
	}
	q.waiting = slices.Insert(q.waiting, at, entry)
	return q.schedule(now)
}

// Finish frees the slot of a running request that the upstream processed for the given time. For a request without a
// response, pass a negative time, which isn't counted as an observed service time.
func (q *Queue) Finish(id string, took time.Duration, now time.Time) Decisions {
	if _, ok := q.running[id]; !ok {
		return Decisions{}
	}
	delete(q.running, id)
	if took >= 0 {
		q.times.observe(took, now)
	}
	return q.schedule(now)
}

// Cancel removes a waiting request and reports whether it was waiting. It doesn't affect a running request.
func (q *Queue) Cancel(id string) bool {
	at := slices.IndexFunc(q.waiting, func(w queueEntry) bool { return w.ID == id })
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// Tick refuses waiting requests that can no longer finish before their deadlines.
func (q *Queue) Tick(now time.Time) Decisions { return q.schedule(now) }

// Close refuses all later requests. Waiting and running requests are kept.
func (q *Queue) Close() { q.closed = true }

func (q *Queue) contains(id string) bool {
	if _, ok := q.running[id]; ok {
		return true
	}
	return slices.ContainsFunc(q.waiting, func(w queueEntry) bool { return w.ID == id })
}

func (q *Queue) schedule(now time.Time) Decisions {
	var d Decisions
	q.refuseLate(&d, now)
	for len(q.waiting) > 0 && len(q.running) < q.limits.Slots {
		next := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		q.running[next.ID] = now
		d.Start = append(d.Start, next.ID)
	}
	for len(q.waiting) > q.limits.MaxWaiting {
		last := q.waiting[len(q.waiting)-1]
		finish := q.estimate(len(q.waiting)-1, now)
		q.waiting = q.waiting[:len(q.waiting)-1]
		d.Refuse = append(d.Refuse, q.newRefusal(last.Request, ReasonQueueFull, finish, now))
	}
	return d
}

// refuseLate refuses waiting requests that would miss their deadlines even if they and everything ahead of them took only
// the 10th percentile of the observed service times. Offer uses the mean for most new requests; the more optimistic
// estimate keeps noise from refusing requests that were already accepted.
func (q *Queue) refuseLate(d *Decisions, now time.Time) {
	if len(q.waiting) == 0 {
		return
	}
	s := q.times.summary(now)
	free := q.slotFreeTimes(now, func(age time.Duration) time.Duration {
		// Past the 90th percentile, the longer a request has run, the longer it is expected to keep running, so that a
		// stalled upstream is noticed.
		return max(s.low-age, age-s.high, 0)
	})
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		slot := earliestIndex(free)
		finish := free[slot].Add(s.low)
		if finish.After(w.Deadline) || !now.Before(w.Deadline) {
			d.Refuse = append(d.Refuse, q.newRefusal(w.Request, ReasonTooLate, finish, now))
			continue
		}
		free[slot] = finish
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// estimate returns when a request at the given position of the queue is expected to finish. A request that can start at
// once is assumed to take the 10th percentile of the service times, since using a free slot costs nothing.
func (q *Queue) estimate(position int, now time.Time) time.Time {
	s := q.times.summary(now)
	if position == 0 && len(q.running) < q.limits.Slots {
		return now.Add(s.low)
	}
	free := q.slotFreeTimes(now, func(age time.Duration) time.Duration {
		if age < s.mean {
			return s.mean - age
		}
		return age
	})
	for range position {
		slot := earliestIndex(free)
		free[slot] = free[slot].Add(s.mean)
	}
	return free[earliestIndex(free)].Add(s.mean)
}

// slotFreeTimes returns when each slot becomes free. remaining estimates how much longer a request runs, given how long it
// has run so far.
func (q *Queue) slotFreeTimes(now time.Time, remaining func(age time.Duration) time.Duration) []time.Time {
	free := make([]time.Time, q.limits.Slots)
	i := 0
	for _, started := range q.running {
		free[i] = now.Add(remaining(now.Sub(started)))
		i++
	}
	for ; i < len(free); i++ {
		free[i] = now
	}
	return free
}

func earliestIndex(free []time.Time) int {
	best := 0
	for i := range free {
		if free[i].Before(free[best]) {
			best = i
		}
	}
	return best
}

// newRefusal returns a refusal whose RetryAfter is the delay after which the same request, with as much time until its
// deadline, is expected to finish in time.
func (q *Queue) newRefusal(r Request, reason Reason, finish, now time.Time) Refusal {
	s := q.times.summary(now)
	after := defaultRetryAfter
	if s.count > 0 {
		after = max(finish.Sub(r.Deadline), s.mean/time.Duration(q.limits.Slots), minRetryAfter)
	}
	return Refusal{ID: r.ID, Reason: reason, RetryAfter: min(after, maxRetryAfter)}
}
