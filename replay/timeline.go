package replay

import (
	"container/heap"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
)

// timeline runs functions in the order of their virtual times. Functions due at the same time run in the order in which
// they were scheduled.
type timeline struct {
	clock        *clock.Manual
	queue        eventQueue
	nextSequence uint64
}

type scheduledEvent struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = scheduledEvent{}
	*q = (*q)[:len(*q)-1]
	return last
}

func (t *timeline) now() time.Time { return t.clock.Now() }

func (t *timeline) after(d time.Duration, run func()) {
	t.nextSequence++
	heap.Push(&t.queue, scheduledEvent{at: t.now().Add(max(d, 0)), sequence: t.nextSequence, run: run})
}

// every runs a function periodically, for the first time after one interval.
func (t *timeline) every(interval time.Duration, run func()) {
	t.after(interval, func() {
		run()
		t.every(interval, run)
	})
}

// runUntil runs all functions that are due by end and advances the clock to it.
func (t *timeline) runUntil(end time.Time) {
	for t.queue.Len() > 0 && !t.queue[0].at.After(end) {
		item := heap.Pop(&t.queue).(scheduledEvent)
		t.clock.Advance(item.at.Sub(t.now()))
		item.run()
	}
	t.clock.Advance(end.Sub(t.now()))
}
