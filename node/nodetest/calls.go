package nodetest

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/quetzalshed/quetzalshed/node"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// callKind tells starts and stops from other calls, and from the repetitions by which a call waits.
type callKind int

const (
	orderCall callKind = iota
	otherCall
	waitingCall
)

// drawFault decides whether a call that arrives fails, and how: by at most one of rejected, lost and delayed.
func (x *Executor) drawFault(kind callKind) (rejected, lost, delayed bool) {
	if kind == waitingCall {
		return false, false, false
	}
	u := x.random.Float64()
	f := x.faults
	if f.OrdersOnly && kind != orderCall {
		return false, false, false
	}
	return u < f.Rejected, u >= f.Rejected && u < f.Rejected+f.AnswerLost,
		u >= f.Rejected+f.AnswerLost && u < f.Rejected+f.AnswerLost+f.Delayed
}

// handle executes a call, or fails it as its CallFaults say.
func (x *Executor) handle(ctx context.Context, incarnation string, kind callKind, order func(responds bool) error) error {
	x.mu.Lock()
	if x.refusing {
		x.mu.Unlock()
		return node.ErrRefused
	}
	if x.down || x.unresponsive {
		x.mu.Unlock()
		<-ctx.Done()
		return errNoAnswer
	}
	if id, _, _ := strings.Cut(incarnation, "@"); id != x.description.ID {
		x.mu.Unlock()
		return node.ErrOtherIncarnation
	}
	rejected, lost, delayed := x.drawFault(kind)
	switch {
	case rejected:
		x.mu.Unlock()
		return &node.RejectedError{Reason: "unhealthy"}
	case lost:
		x.advance()
		_ = order(false)
		x.mu.Unlock()
		<-ctx.Done()
		return errNoAnswer
	case delayed:
		x.delayedCalls++
		called := x.description.ID
		time.AfterFunc(minCallDelay+time.Duration(x.random.Int64N(int64(x.faults.MaxDelay-minCallDelay))), func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.delayedCalls--
			if !x.down && x.description.ID == called {
				x.advance()
				_ = order(false)
			}
		})
		x.mu.Unlock()
		<-ctx.Done()
		return errNoAnswer
	}
	defer x.mu.Unlock()
	x.advance()
	return order(true)
}

// Start implements node.Executor.
func (x *Executor) Start(ctx context.Context, incarnation string, s node.Start) error {
	return x.handle(ctx, incarnation, orderCall, func(bool) error {
		deadline := x.born.Add(time.Duration(s.DeadlineMillis) * time.Millisecond)
		switch {
		case s.Fence < x.fence:
			return &node.RejectedError{Reason: "fence"}
		case x.runs[s.Task] != nil && x.runs[s.Task].number == s.Run:
			return nil
		case x.highestRun[s.Task] >= s.Run || x.runs[s.Task] != nil:
			return &node.RejectedError{Reason: "old"}
		case time.Now().After(deadline):
			return &node.RejectedError{Reason: "late"}
		case !x.hasRoom(s.Task):
			return &node.RejectedError{Reason: workflow.ReasonRoom}
		}
		x.fence = s.Fence
		if deadline.After(x.deadline) {
			x.deadline = deadline
		}
		endsAt := time.Now().Add(x.durationOf(s.Task))
		x.runs[s.Task] = &run{number: s.Run, endsAt: endsAt, checkpoint: s.Checkpoint}
		x.highestRun[s.Task] = s.Run
		x.advanceAt(endsAt)
		x.advanceAt(x.deadline)
		x.observer.Started(x.description, s.Task, s.Run, s.Spec)
		if x.crashes != nil && x.crashes(s.Task) {
			lifetime := x.description.IncarnationID()
			time.AfterFunc(crashDelay, func() { x.crashUnderRun(lifetime) })
		}
		return nil
	})
}

// Stop implements node.Executor.
func (x *Executor) Stop(ctx context.Context, incarnation, task string, number int, fence int64) error {
	return x.handle(ctx, incarnation, orderCall, func(bool) error {
		if fence < x.fence {
			return &node.RejectedError{Reason: "fence"}
		}
		x.fence = fence
		x.highestRun[task] = max(x.highestRun[task], number)
		if r := x.runs[task]; r != nil && r.number <= number {
			r.stopping = true
			x.advance()
		}
		return nil
	})
}

// SetPace implements node.Executor. It has no effect.
func (x *Executor) SetPace(ctx context.Context, incarnation, _ string, _, _ int, _ int64) error {
	return x.handle(ctx, incarnation, otherCall, func(bool) error { return nil })
}

// Connect implements node.Executor.
func (x *Executor) Connect(ctx context.Context) error {
	x.mu.Lock()
	refusing, silent := x.refusing, x.down || x.unresponsive
	x.mu.Unlock()
	if refusing {
		return node.ErrRefused
	}
	if silent {
		<-ctx.Done()
		return errNoAnswer
	}
	return nil
}

// holdPollInterval is how often a waiting hold call checks for ended runs.
const holdPollInterval = 20 * time.Millisecond

// Hold implements node.Executor.
func (x *Executor) Hold(ctx context.Context, incarnation string, fence, ack, deadlineMillis int64, wait time.Duration) (*node.RunLists, error) {
	until := time.Now().Add(wait)
	for first := true; ; first = false {
		var lists *node.RunLists
		kind := otherCall
		if !first {
			kind = waitingCall
		}
		err := x.handle(ctx, incarnation, kind, func(responds bool) error {
			if fence < x.fence {
				return &node.RejectedError{Reason: "fence"}
			}
			x.fence = fence
			if first {
				x.extend(deadlineMillis)
				x.acknowledge(ack)
			}
			if responds {
				lists = x.lists()
			}
			return nil
		})
		if err != nil || len(lists.Ended) > 0 || !time.Now().Before(until) {
			return lists, err
		}
		select {
		case <-ctx.Done():
			return nil, errNoAnswer
		case <-time.After(holdPollInterval):
		}
	}
}

func (x *Executor) extend(deadlineMillis int64) {
	deadline := x.born.Add(time.Duration(deadlineMillis) * time.Millisecond)
	if deadlineMillis > 0 && deadline.After(x.deadline) {
		x.deadline = deadline
		x.advanceAt(deadline)
	}
}

// advanceAt schedules a call of advance just after t.
func (x *Executor) advanceAt(t time.Time) {
	time.AfterFunc(time.Until(t)+time.Millisecond, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.advance()
	})
}

func (x *Executor) acknowledge(ack int64) {
	for len(x.ended) > 0 && x.ended[0].Number <= ack {
		e := x.ended[0]
		x.ended = x.ended[1:]
		x.observer.Acknowledged(x.description.IncarnationID(), e.Task, e.Run, e.How, e.lapsed)
	}
}

func (x *Executor) lists() *node.RunLists {
	lists := &node.RunLists{ClockMillis: time.Since(x.born).Milliseconds(), StartedUnixMillis: x.description.StartedUnixMillis}
	for _, task := range slices.Sorted(maps.Keys(x.runs)) {
		lists.Running = append(lists.Running, workflow.RunState{Task: task, Run: x.runs[task].number, Saved: x.runs[task].checkpoint})
	}
	for _, e := range x.ended[:min(len(x.ended), x.endsPerResponse)] {
		lists.Ended = append(lists.Ended, e.RunEnd)
	}
	lists.EndsComplete = len(lists.Ended) < x.endsPerResponse
	return lists
}
