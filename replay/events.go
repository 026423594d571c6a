package replay

import (
	"container/heap"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
)

// timeline runs functions in the order of their virtual times; equal times keep the order of their scheduling.
type timeline struct {
	clock *clock.Manual
	queue timedQueue
	next  uint64
}

type timed struct {
	at    time.Time
	order uint64
	run   func()
}

type timedQueue []timed

func (q timedQueue) Len() int { return len(q) }
func (q timedQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q timedQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timedQueue) Push(x any)   { *q = append(*q, x.(timed)) }
func (q *timedQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = timed{}
	*q = (*q)[:len(*q)-1]
	return last
}

func (t *timeline) now() time.Time { return t.clock.Now() }

func (t *timeline) after(d time.Duration, run func()) {
	t.next++
	heap.Push(&t.queue, timed{at: t.now().Add(max(d, 0)), order: t.next, run: run})
}

// every runs a function at a fixed interval, the first time after one interval.
func (t *timeline) every(interval time.Duration, run func()) {
	t.after(interval, func() {
		run()
		t.every(interval, run)
	})
}

// runUntil runs everything that is due by end.
func (t *timeline) runUntil(end time.Time) {
	for t.queue.Len() > 0 && !t.queue[0].at.After(end) {
		item := heap.Pop(&t.queue).(timed)
		t.clock.Advance(item.at.Sub(t.now()))
		item.run()
	}
	t.clock.Advance(end.Sub(t.now()))
}
