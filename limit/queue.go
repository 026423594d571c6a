// Package limit bounds the work that a process accepts: the admission queue of an upstream, rate limits and the retry
// budget.
package limit

import (
	"slices"
	"time"
)

// Reason says why a request was refused. Refused requests have not been run.
type Reason string

// The reasons for which the queue refuses a request.
const (
	// ReasonQueueFull means that more important or more urgent requests fill the queue.
	ReasonQueueFull Reason = "queue_full"
	// ReasonTooLate means that the request can't finish before its deadline at the observed service time.
	ReasonTooLate Reason = "too_late"
	// ReasonDuplicate means that a request with the same ID waits or runs.
	ReasonDuplicate Reason = "duplicate"
	// ReasonClosed means that the queue admits nothing more, since its upstream leaves.
	ReasonClosed Reason = "closed"
)

// Bounds of the computed time after which a retry is worthwhile.
const (
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter keeps one slow period from sending callers away for long.
	maxRetryAfter = 30 * time.Second
	// defaultRetryAfter is used while no service time has been observed.
	defaultRetryAfter = time.Second
)

// QueueLimits bounds a queue.
type QueueLimits struct {
	// Slots is the number of requests that run at the same time.
	Slots int
	// MaxWaiting is the number of requests that wait for a slot.
	MaxWaiting int
}

// Request is what the queue knows of one request.
type Request struct {
	ID string
	// Rank orders requests before their deadlines do; 0 is the most important.
	Rank     int
	Deadline time.Time
}

// Refusal tells that a request won't run, and after which time a new attempt has a chance.
type Refusal struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration
}

// Decisions lists what a step of the queue decided, in order. A waiting request appears in one Decisions exactly once.
type Decisions struct {
	Start  []string
	Refuse []Refusal
}

// Load counts the requests in a queue.
type Load struct {
	Running, Queued, Slots int
}

// Queue decides which requests run in the slots of one upstream. It is a plain state machine: it reads no clock, does no
// I/O, and isn't safe for concurrent use. Waiting requests are ordered by rank, deadline and arrival.
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

func (w queueEntry) compare(o queueEntry) int {
	switch {
	case w.Rank != o.Rank:
		return w.Rank - o.Rank
	case !w.Deadline.Equal(o.Deadline):
		return w.Deadline.Compare(o.Deadline)
	case w.arrival < o.arrival:
		return -1
	}
	return 1
}

// NewQueue returns an empty queue. Limits below 1 slot or 0 waiting requests are raised to these values.
func NewQueue(limits QueueLimits) *Queue {
	limits.Slots, limits.MaxWaiting = max(limits.Slots, 1), max(limits.MaxWaiting, 0)
	return &Queue{limits: limits, running: map[string]time.Time{}}
}

// Load returns the current counts.
func (q *Queue) Load() Load {
	return Load{Running: len(q.running), Queued: len(q.waiting), Slots: q.limits.Slots}
}

// Offer adds a request. It starts, is refused, or waits; a more important request may displace a waiting one.
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

// Finish frees the slot of a running request that took the given time in the upstream. A negative time isn't observed;
// it's used for requests that got no answer.
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

// Cancel removes a waiting request and tells whether it was waiting. A running request is left alone.
func (q *Queue) Cancel(id string) bool {
	at := slices.IndexFunc(q.waiting, func(w queueEntry) bool { return w.ID == id })
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// Tick refuses waiting requests that can no longer finish in time.
func (q *Queue) Tick(now time.Time) Decisions { return q.schedule(now) }

// Close refuses all later offers. Requests that wait or run are kept.
func (q *Queue) Close() { q.closed = true }

func (q *Queue) contains(id string) bool {
	if _, ok := q.running[id]; ok {
		return true
	}
	return slices.ContainsFunc(q.waiting, func(w queueEntry) bool { return w.ID == id })
}

func (q *Queue) schedule(now time.Time) Decisions {
	var c Decisions
	q.refuseLate(&c, now)
	for len(q.waiting) > 0 && len(q.running) < q.limits.Slots {
		next := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		q.running[next.ID] = now
		c.Start = append(c.Start, next.ID)
	}
	for len(q.waiting) > q.limits.MaxWaiting {
		last := q.waiting[len(q.waiting)-1]
		finish := q.estimate(len(q.waiting)-1, now)
		q.waiting = q.waiting[:len(q.waiting)-1]
		c.Refuse = append(c.Refuse, q.newRefusal(last.Request, ReasonQueueFull, finish, now))
	}
	return c
}

// refuseLate refuses waiting requests that can't finish even when everything ahead of them is as fast as the fastest tenth
// of the observed requests. Accepted requests get this lower bar so that noise in the estimate doesn't refuse them.
func (q *Queue) refuseLate(c *Decisions, now time.Time) {
	if len(q.waiting) == 0 {
		return
	}
	s := q.times.summary(now)
	free := q.slotFreeTimes(now, func(age time.Duration) time.Duration {
		// A request far past the usual time is expected to run for as long again, so that a stalled upstream is noticed.
		return max(s.low-age, age-s.high, 0)
	})
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		slot := earliestIndex(free)
		finish := free[slot].Add(s.low)
		if finish.After(w.Deadline) || !now.Before(w.Deadline) {
			c.Refuse = append(c.Refuse, q.newRefusal(w.Request, ReasonTooLate, finish, now))
			continue
		}
		free[slot] = finish
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// estimate returns when a request in the given waiting place is expected to finish. A request that starts at once is
// given the low service time, since an unused slot costs nothing to try.
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

// slotFreeTimes returns for each slot when it becomes free, given the remaining time of a request of some age.
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

// newRefusal computes the time after which the same request, with the same budget, would be expected to finish in time.
func (q *Queue) newRefusal(r Request, reason Reason, finish, now time.Time) Refusal {
	s := q.times.summary(now)
	after := defaultRetryAfter
	if s.count > 0 {
		after = max(finish.Sub(r.Deadline), s.mean/time.Duration(q.limits.Slots), minRetryAfter)
	}
	return Refusal{ID: r.ID, Reason: reason, RetryAfter: min(after, maxRetryAfter)}
}
