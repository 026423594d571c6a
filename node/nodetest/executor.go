// Package nodetest has an executor in memory with the faults of the platform's executors, for tests.
package nodetest

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/node"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

var errSilent = errors.New("nodetest: no answer")

// Observer sees what executors do, as an oracle does.
type Observer interface {
	// Started is called when a run begins, Ended when it has ended, and Acknowledged when its end is.
	Started(executor, task string, run int, spec string)
	Ended(executor, task string, run int, how workflow.EndReason)
	Acknowledged(executor, task string, run int, how workflow.EndReason, lapsed bool)
}

type run struct {
	number   int
	ends     time.Time
	saved    string
	stopping bool
}

type ended struct {
	workflow.RunEnd
	// lapsed tells that the lease ran out after the end.
	lapsed bool
}

// Executor runs tasks for a fixed time. It implements node.Executor.
type Executor struct {
	observer Observer
	duration time.Duration

	mu       sync.Mutex
	describe workflow.Executor
	down     bool
	fence    int64
	deadline time.Time
	born     time.Time
	runs     map[string]*run
	highest  map[string]int
	ends     []ended
	next     int64
	silent   bool
	late     float64
	random   *rand.Rand
	failing  bool
}

// New returns an executor whose tasks take a fixed time.
func New(name string, capacity structs.Resources, duration time.Duration, observer Observer) *Executor {
	x := &Executor{
		observer: observer, duration: duration, random: rand.New(rand.NewPCG(uint64(len(name)), 7)),
		describe: workflow.Executor{ID: "i-" + name, Pool: "pool", FailureDomain: "domain", Capacity: capacity},
	}
	x.Restart()
	return x
}

// Restart ends everything and begins another incarnation under the same ID.
func (x *Executor) Restart() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for task, r := range x.runs {
		x.observer.Ended(x.describe.IncarnationID(), task, r.number, workflow.EndLapsed)
	}
	x.born = time.Now()
	x.describe.StartedUnixMillis = x.born.UnixMilli()
	x.fence, x.next, x.ends = 0, 0, nil
	x.runs, x.highest = map[string]*run{}, map[string]int{}
	x.deadline = time.Time{}
	x.down = false
}

// Crash ends everything; calls get no answer until Restart.
func (x *Executor) Crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for task, r := range x.runs {
		x.observer.Ended(x.describe.IncarnationID(), task, r.number, workflow.EndLapsed)
	}
	x.runs, x.down = map[string]*run{}, true
}

// SetSilent lets calls wait without an answer and without an effect.
func (x *Executor) SetSilent(silent bool) { x.set(func() { x.silent = silent }) }

// SetLate gives a share of the orders no answer; they are carried out seconds later.
func (x *Executor) SetLate(share float64) { x.set(func() { x.late = share }) }

// SetFailing lets all runs that end fail.
func (x *Executor) SetFailing(failing bool) { x.set(func() { x.failing = failing }) }

// SetDuration lets the tasks that start from now on take a time.
func (x *Executor) SetDuration(duration time.Duration) { x.set(func() { x.duration = duration }) }

// SetDraining announces the end of the executor.
func (x *Executor) SetDraining(draining bool) { x.set(func() { x.describe.Draining = draining }) }

func (x *Executor) set(change func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	change()
}

// Describe returns the announcement of the executor, and false while it is down.
func (x *Executor) Describe() (workflow.Executor, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.describe, !x.down && !x.silent
}

// advance ends the runs whose time has come.
func (x *Executor) advance() {
	now := time.Now()
	if !x.deadline.IsZero() && now.After(x.deadline) {
		for i := range x.ends {
			x.ends[i].lapsed = true
		}
	}
	for _, task := range slices.Sorted(maps.Keys(x.runs)) {
		r := x.runs[task]
		how := workflow.EndDone
		switch {
		case now.After(x.deadline) && !r.ends.Before(x.deadline):
			how = workflow.EndLapsed
		case r.stopping && now.Before(r.ends):
			how = workflow.EndStopped
		case now.Before(r.ends):
			continue
		case x.failing:
			how = workflow.EndFailed
		}
		x.finish(task, r, how)
	}
}

func (x *Executor) finish(task string, r *run, how workflow.EndReason) {
	delete(x.runs, task)
	x.next++
	x.ends = append(x.ends, ended{RunEnd: workflow.RunEnd{Number: x.next, Task: task, Run: r.number, How: how, Saved: r.saved}})
	x.observer.Ended(x.describe.IncarnationID(), task, r.number, how)
}

// call admits a call, or lets it be carried out later without an answer. Whether that happens is decided once, when the
// call arrives.
func (x *Executor) call(ctx context.Context, life string, arrives bool, order func(answered bool) error) error {
	x.mu.Lock()
	if x.down || x.silent {
		x.mu.Unlock()
		<-ctx.Done()
		return errSilent
	}
	if id, _, _ := strings.Cut(life, "@"); id != x.describe.ID {
		x.mu.Unlock()
		return node.ErrAnotherLife
	}
	if arrives && x.random.Float64() < x.late {
		time.AfterFunc(2*time.Second+time.Duration(x.random.Int64N(int64(8*time.Second))), func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if !x.down {
				x.advance()
				_ = order(false)
			}
		})
		x.mu.Unlock()
		<-ctx.Done()
		return errSilent
	}
	defer x.mu.Unlock()
	x.advance()
	return order(true)
}

// Start implements node.Executor.
func (x *Executor) Start(ctx context.Context, life string, s node.Start) error {
	return x.call(ctx, life, true, func(bool) error {
		deadline := x.born.Add(time.Duration(s.DeadlineMillis) * time.Millisecond)
		switch {
		case s.Fence < x.fence:
			return &node.RejectedError{Reason: "fence"}
		case x.runs[s.Task] != nil && x.runs[s.Task].number == s.Run:
			return nil
		case x.highest[s.Task] >= s.Run || x.runs[s.Task] != nil:
			return &node.RejectedError{Reason: "old"}
		case time.Now().After(deadline):
			return &node.RejectedError{Reason: "late"}
		}
		x.fence = s.Fence
		if deadline.After(x.deadline) {
			x.deadline = deadline
		}
		x.runs[s.Task] = &run{number: s.Run, ends: time.Now().Add(x.duration), saved: s.Saved}
		x.highest[s.Task] = s.Run
		x.wakeAt(time.Now().Add(x.duration))
		x.wakeAt(x.deadline)
		x.observer.Started(x.describe.IncarnationID(), s.Task, s.Run, s.Spec)
		return nil
	})
}

// Stop implements node.Executor.
func (x *Executor) Stop(ctx context.Context, life, task string, number int, fence int64) error {
	return x.call(ctx, life, true, func(bool) error {
		if fence < x.fence {
			return &node.RejectedError{Reason: "fence"}
		}
		x.fence = fence
		x.highest[task] = max(x.highest[task], number)
		if r := x.runs[task]; r != nil && r.number <= number {
			r.stopping = true
			x.advance()
		}
		return nil
	})
}

// Pace implements node.Executor. It has no effect.
func (x *Executor) Pace(ctx context.Context, life, _ string, _, _ int, _ int64) error {
	return x.call(ctx, life, true, func(bool) error { return nil })
}

// holdStep is how often a waiting hold looks for ends.
const holdStep = 20 * time.Millisecond

// Hold implements node.Executor.
func (x *Executor) Hold(ctx context.Context, life string, fence, ack, deadlineMillis int64, wait time.Duration) (*node.Lists, error) {
	until := time.Now().Add(wait)
	for first := true; ; first = false {
		var lists *node.Lists
		err := x.call(ctx, life, first, func(answered bool) error {
			if fence < x.fence {
				return &node.RejectedError{Reason: "fence"}
			}
			x.fence = fence
			if first {
				x.extend(deadlineMillis)
				x.acknowledge(ack)
			}
			if answered {
				lists = x.lists()
			}
			return nil
		})
		if err != nil || len(lists.Ended) > 0 || !time.Now().Before(until) {
			return lists, err
		}
		select {
		case <-ctx.Done():
			return nil, errSilent
		case <-time.After(holdStep):
		}
	}
}

func (x *Executor) extend(deadlineMillis int64) {
	deadline := x.born.Add(time.Duration(deadlineMillis) * time.Millisecond)
	if deadlineMillis > 0 && deadline.After(x.deadline) {
		x.deadline = deadline
		x.wakeAt(deadline)
	}
}

// wakeAt ends the runs whose time has come by then.
func (x *Executor) wakeAt(t time.Time) {
	time.AfterFunc(time.Until(t)+time.Millisecond, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.advance()
	})
}

func (x *Executor) acknowledge(ack int64) {
	for len(x.ends) > 0 && x.ends[0].Number <= ack {
		e := x.ends[0]
		x.ends = x.ends[1:]
		x.observer.Acknowledged(x.describe.IncarnationID(), e.Task, e.Run, e.How, e.lapsed)
	}
}

func (x *Executor) lists() *node.Lists {
	lists := &node.Lists{ClockMillis: time.Since(x.born).Milliseconds(), BornUnixMillis: x.describe.StartedUnixMillis}
	for _, task := range slices.Sorted(maps.Keys(x.runs)) {
		lists.Running = append(lists.Running, workflow.RunState{Task: task, Run: x.runs[task].number, Saved: x.runs[task].saved})
	}
	for _, e := range x.ends {
		lists.Ended = append(lists.Ended, e.RunEnd)
	}
	return lists
}
