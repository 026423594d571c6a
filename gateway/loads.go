package gateway

import (
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow/admission"
)

const (
	// activeWindow is how long after a submission the gateway asks for summaries of its queue.
	activeWindow = 10 * time.Second
	// noSummaryPause is how long the gateway doesn't ask an owner that has answered without a summary, since its version has none.
	noSummaryPause = 30 * time.Second
	// maxActiveQueues bounds the queues of which summaries are kept. Beyond it, all are dropped and queried again.
	maxActiveQueues = 256
	// summaryResolution is the unit of ages in summaries, by which they may be too low.
	summaryResolution = time.Millisecond
)

// receivedSummary is a summary with the times between which it was taken, on the clock of the gateway.
type receivedSummary struct {
	admission.Summary
	takenAfter, takenBefore time.Time
}

// age returns the age of the summary. It counts by the wall clock too, which goes on while the host is suspended.
func (s *receivedSummary) age(now time.Time) time.Duration {
	return max(now.Sub(s.takenAfter), now.Round(0).Sub(s.takenAfter.Round(0)))
}

// loads holds the newest summaries of the owner's load.
type loads struct {
	mu sync.Mutex
	// newest is the newest summary of any queue, nil before the first.
	newest *receivedSummary
	queues map[string]*activeQueue
	// pausedUntil is when an owner without summaries may be queried again.
	pausedUntil time.Time
}

// activeQueue is a queue that jobs were submitted to within activeWindow.
type activeQueue struct {
	// activeAt is when a job was last submitted, or a summary was last queried for a submission.
	activeAt, queriedAt time.Time
	// summary is the newest one with the load of the queue, nil before the first.
	summary *receivedSummary
	// queryDone is closed once the query in progress has ended; nil if there is none.
	queryDone chan struct{}
}

func newLoads() *loads { return &loads{queues: map[string]*activeQueue{}} }

// markActive records that a job was submitted to a queue.
func (l *loads) markActive(queue string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue(queue).activeAt = now
}

// queue returns the state of a queue. The caller holds the lock.
func (l *loads) queue(name string) *activeQueue {
	q := l.queues[name]
	if q == nil {
		if len(l.queues) >= maxActiveQueues {
			clear(l.queues)
		}
		q = &activeQueue{}
		l.queues[name] = q
	}
	return q
}

// nextQueue returns the active queue with the oldest summary. It returns false if no jobs have been submitted for a while.
func (l *loads) nextQueue(now time.Time) (name string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var oldest time.Time
	for candidate, q := range l.queues {
		if now.Sub(q.activeAt) > activeWindow {
			delete(l.queues, candidate)
			continue
		}
		taken := time.Time{}
		if q.summary != nil {
			taken = q.summary.takenAfter
		}
		if !ok || taken.Before(oldest) || taken.Equal(oldest) && candidate < name {
			name, oldest, ok = candidate, taken, true
		}
	}
	return name, ok
}

// receive stores a summary unless a newer one is known.
func (l *loads) receive(s admission.Summary, sentAt, receivedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &receivedSummary{Summary: s, takenAfter: sentAt.Add(-s.Age - summaryResolution), takenBefore: receivedAt.Add(-s.Age)}
	if l.newest == nil || !l.newest.NewerThan(&s) {
		l.newest = r
	}
	if !s.HasLoad {
		return
	}
	if q := l.queues[s.Queue]; q != nil && (q.summary == nil || !q.summary.NewerThan(&s)) {
		q.summary = r
	}
}

// recordNoSummary records that an owner has answered without a summary.
func (l *loads) recordNoSummary(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pausedUntil = now.Add(noSummaryPause)
}

// current returns the newest summary with the load of a queue and the newest of any queue, nil if there are none. Summaries of owners
// before the given epoch are left out.
func (l *loads) current(queue string, epoch int64) (load, newest *receivedSummary) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.queues[queue]; q != nil && q.summary != nil && q.summary.Epoch >= epoch {
		load = q.summary
	}
	if l.newest != nil && l.newest.Epoch >= epoch {
		newest = l.newest
	}
	return load, newest
}

// beginQuery returns a channel that is closed when the query for a queue's summary in progress has ended, or nil if the gateway must not
// ask: it has asked within the given pause, or the owner has no summaries. isFirst is set if the caller has to make the query and then
// call endQuery.
func (l *loads) beginQuery(queue string, pause time.Duration, now time.Time) (queryDone chan struct{}, isFirst bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queue(queue)
	if q.queryDone != nil {
		return q.queryDone, false
	}
	if now.Sub(q.queriedAt) < pause || now.Before(l.pausedUntil) {
		return nil, false
	}
	q.activeAt, q.queriedAt, q.queryDone = now, now, make(chan struct{})
	return q.queryDone, true
}

// endQuery ends the query that began with the given channel.
func (l *loads) endQuery(queue string, queryDone chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.queues[queue]; q != nil && q.queryDone == queryDone {
		q.queryDone = nil
	}
	close(queryDone)
}
