package nodetest

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/quetzalshed/quetzalshed/node"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// callKind tells calls apart, and the repetitions by which a hold call waits.
type callKind int

const (
	startCall callKind = iota
	stopCall
	paceCall
	holdCall
	// acknowledgingCall is a hold call that acknowledges ends.
	acknowledgingCall
	waitingCall
)

// isOrder reports whether a call is a start or a stop.
func (k callKind) isOrder() bool { return k == startCall || k == stopCall }

// StaleCalls tells which calls that meet an executor while it is down are carried out by its next incarnation, as if their connections
// were established once the host is back. The others get no answer.
type StaleCalls struct {
	Starts, Stops, Holds bool
	// WaitingHolds are hold calls that wait for an end when the executor crashes. They are carried out once more.
	WaitingHolds bool
	// WaitingHoldsBreak is set if such calls fail at once instead, as with a connection that breaks.
	WaitingHoldsBreak bool
}

func (s StaleCalls) contain(kind callKind) bool {
	switch kind {
	case startCall:
		return s.Starts
	case stopCall:
		return s.Stops
	case holdCall, acknowledgingCall:
		return s.Holds
	case waitingCall:
		return s.WaitingHolds
	}
	return false
}

// renewalCrash is a crash at the arrival of a renewal: a hold call with a deadline.
type renewalCrash struct {
	// answered is set if the answer of the next incarnation reaches the caller.
	answered bool
	crashed  chan struct{}
}

// staleRenewal is a renewal that is carried out by the next incarnation under the executor's ID.
type staleRenewal struct {
	id                         string
	fence, ack, deadlineMillis int64
	// lists receives the answer. It is closed without one if another ID is in use.
	lists chan *node.RunLists
}

// CrashAtRenewal crashes the executor when the next hold call with a deadline arrives, and closes the returned channel then. The next
// incarnation under its ID carries out that call before any other, however long the executor is down; its answer arrives if answered is
// set.
func (x *Executor) CrashAtRenewal(answered bool) (crashed <-chan struct{}) {
	crash := &renewalCrash{answered: answered, crashed: make(chan struct{})}
	x.update(func() { x.renewalCrash = crash })
	return crash.crashed
}

// crashUnder crashes the executor if a renewal that arrives is to do so, and returns nil otherwise.
func (x *Executor) crashUnder(incarnation string, renewal staleRenewal) *renewalCrash {
	x.mu.Lock()
	defer x.mu.Unlock()
	crash := x.renewalCrash
	id, _, _ := strings.Cut(incarnation, "@")
	if crash == nil || x.down || x.unresponsive || x.refusing || id != x.description.ID {
		return nil
	}
	x.advance()
	x.crash()
	renewal.id = id
	x.renewalCrash, x.staleRenewal = nil, &renewal
	close(crash.crashed)
	return crash
}

// carryOutStaleRenewal carries out the renewal that has met a crash. The caller holds mu.
func (x *Executor) carryOutStaleRenewal() {
	renewal := x.staleRenewal
	if renewal == nil {
		return
	}
	x.staleRenewal = nil
	defer close(renewal.lists)
	if renewal.id != x.description.ID {
		return
	}
	x.fence = renewal.fence
	x.extend(renewal.deadlineMillis)
	x.acknowledge(renewal.ack)
	renewal.lists <- x.lists()
}

// awaitStaleAnswer returns the answer to a renewal that has met a crash.
func awaitStaleAnswer(ctx context.Context, crash *renewalCrash, renewal staleRenewal) (*node.RunLists, error) {
	if crash.answered {
		select {
		case lists, sameID := <-renewal.lists:
			if !sameID {
				return nil, node.ErrOtherIncarnation
			}
			return lists, nil
		case <-ctx.Done():
		}
	}
	<-ctx.Done()
	return nil, errNoAnswer
}

// awaitRestart waits until the executor is up, and returns false if a call of a kind isn't carried out then. The caller holds mu.
func (x *Executor) awaitRestart(ctx context.Context, kind callKind) bool {
	for x.down {
		if !x.staleCalls.contain(kind) {
			return false
		}
		restarted := x.restarted
		x.mu.Unlock()
		select {
		case <-restarted:
		case <-ctx.Done():
		}
		x.mu.Lock()
		if ctx.Err() != nil {
			return false
		}
	}
	return !x.unresponsive
}

// drawFault decides whether a call that arrives fails, and how: by at most one of rejected, lost and delayed.
func (x *Executor) drawFault(kind callKind) (rejected, lost, delayed bool) {
	if kind == waitingCall {
		return false, false, false
	}
	u := x.random.Float64()
	f := x.faults
	if f.OrdersOnly && !kind.isOrder() || f.AcknowledgementsOnly && kind != acknowledgingCall {
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
	if x.down && kind == waitingCall && x.staleCalls.WaitingHoldsBreak {
		x.mu.Unlock()
		return errBroken
	}
	if x.unresponsive || x.down && !x.awaitRestart(ctx, kind) {
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
		x.delay(kind, order)
		x.mu.Unlock()
		<-ctx.Done()
		return errNoAnswer
	}
	defer x.mu.Unlock()
	x.advance()
	return order(true)
}

// delay makes a call take effect later, if the executor is up under the same ID then. The caller holds mu.
func (x *Executor) delay(kind callKind, order func(responds bool) error) {
	x.delayedCalls++
	called := x.description.ID
	carryOut := func() {
		x.delayedCalls--
		if !x.down && x.description.ID == called {
			x.advance()
			_ = order(false)
		}
	}
	if kind == startCall && x.faults.StartsUntilStop {
		x.startsUntilStop = append(x.startsUntilStop, carryOut)
		return
	}
	minDelay := cmp.Or(x.faults.MinDelay, minCallDelay)
	delay := minDelay + time.Duration(x.random.Int64N(max(int64(x.faults.MaxDelay-minDelay), 1)))
	time.AfterFunc(delay, func() { x.update(carryOut) })
}

// carryOutStartsUntilStop carries out the starts that were delayed until the next stop. The caller holds mu.
func (x *Executor) carryOutStartsUntilStop() {
	for _, carryOut := range x.startsUntilStop {
		carryOut()
	}
	x.startsUntilStop = nil
}

// answer executes a call as handle does, and answers it with the executor's delay.
func (x *Executor) answer(ctx context.Context, incarnation string, kind callKind, order func(responds bool) error) error {
	err := x.handle(ctx, incarnation, kind, order)
	return cmp.Or(x.delayAnswer(ctx), err)
}

// delayAnswer waits for as long as answers take, and returns errNoAnswer if ctx ends before.
func (x *Executor) delayAnswer(ctx context.Context) error {
	x.mu.Lock()
	delay := x.answerDelay
	x.mu.Unlock()
	if delay == 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return errNoAnswer
	case <-time.After(delay):
		return nil
	}
}

// Start implements node.Executor.
func (x *Executor) Start(ctx context.Context, incarnation string, s node.Start) error {
	return x.answer(ctx, incarnation, startCall, func(responds bool) error {
		if responds && s.Answered != nil {
			s.Answered(x.clockMillis())
		}
		if s.Fence < x.fence {
			return &node.RejectedError{Reason: "fence"}
		}
		x.fence = s.Fence
		x.extend(s.DeadlineMillis)
		switch {
		case x.runs[s.Task] != nil && x.runs[s.Task].number == s.Run:
			return nil
		case x.highestRun[s.Task] >= s.Run || x.runs[s.Task] != nil:
			return &node.RejectedError{Reason: "old"}
		case time.Now().After(x.timeAt(s.DeadlineMillis)):
			return &node.RejectedError{Reason: "late"}
		case !x.hasRoom(s.Task):
			return &node.RejectedError{Reason: workflow.ReasonRoom}
		}
		endsAt := time.Now().Add(x.durationOf(s.Task))
		x.runs[s.Task] = &run{number: s.Run, endsAt: endsAt, checkpoint: s.Checkpoint}
		x.highestRun[s.Task] = s.Run
		x.advanceAt(endsAt)
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
	return x.answer(ctx, incarnation, stopCall, func(bool) error {
		x.carryOutStartsUntilStop()
		if fence < x.fence {
			return &node.RejectedError{Reason: "fence"}
		}
		x.fence = fence
		x.highestRun[task] = max(x.highestRun[task], number)
		if r := x.runs[task]; r != nil && r.number <= number {
			x.stop(r)
		}
		return nil
	})
}

// stop begins to stop a run, unless it is being stopped already.
func (x *Executor) stop(r *run) {
	if !r.stopsAt.IsZero() {
		return
	}
	r.stopsAt = time.Now().Add(x.stopTime)
	x.advance()
	x.advanceAt(r.stopsAt)
}

// SetPace implements node.Executor. It has no effect but that of its fencing token.
func (x *Executor) SetPace(ctx context.Context, incarnation, _ string, _, _ int, fence int64) error {
	return x.answer(ctx, incarnation, paceCall, func(bool) error {
		if fence < x.fence {
			return &node.RejectedError{Reason: "fence"}
		}
		x.fence = fence
		return nil
	})
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
	if deadlineMillis > 0 {
		renewal := staleRenewal{fence: fence, ack: ack, deadlineMillis: deadlineMillis, lists: make(chan *node.RunLists, 1)}
		if crash := x.crashUnder(incarnation, renewal); crash != nil {
			return awaitStaleAnswer(ctx, crash, renewal)
		}
	}
	until := time.Now().Add(wait)
	// carriedOutBy is the start time of the incarnation that has carried out the call.
	carriedOutBy := time.Time{}
	kind := holdCall
	if ack > 0 {
		kind = acknowledgingCall
	}
	for ; ; kind = waitingCall {
		var lists *node.RunLists
		err := x.handle(ctx, incarnation, kind, func(responds bool) error {
			if fence < x.fence {
				return &node.RejectedError{Reason: "fence"}
			}
			x.fence = fence
			if carriedOutBy.IsZero() || x.staleCalls.WaitingHolds && !carriedOutBy.Equal(x.born) {
				x.extend(deadlineMillis)
				x.acknowledge(ack)
				carriedOutBy = x.born
			}
			if responds {
				lists = x.lists()
			}
			return nil
		})
		if err != nil || len(lists.Ended) > 0 || !time.Now().Before(until) {
			if late := x.delayAnswer(ctx); late != nil {
				return nil, late
			}
			return lists, err
		}
		select {
		case <-ctx.Done():
			return nil, errNoAnswer
		case <-time.After(holdPollInterval):
		}
	}
}

// extend moves the end of the lease to a reading of the executor's clock, at most maxLease from now, unless it ends later already.
func (x *Executor) extend(deadlineMillis int64) {
	if deadlineMillis <= 0 {
		return
	}
	deadline := x.timeAt(min(deadlineMillis, x.clockMillis()+maxLease.Milliseconds()))
	if deadline.After(x.deadline) {
		x.deadline = deadline
		x.advanceAt(deadline)
	}
}

// clockMillis returns the reading of the executor's clock.
func (x *Executor) clockMillis() int64 {
	return x.clockStart.Milliseconds() + int64(float64(time.Since(x.born).Milliseconds())*x.clockRate)
}

// timeAt returns when the executor's clock shows the given reading.
func (x *Executor) timeAt(clockMillis int64) time.Time {
	sinceStart := time.Duration(clockMillis)*time.Millisecond - x.clockStart
	return x.born.Add(time.Duration(float64(sinceStart) / x.clockRate))
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
	lists := &node.RunLists{ClockMillis: x.clockMillis(), StartedUnixMillis: x.description.StartedUnixMillis}
	for _, task := range slices.Sorted(maps.Keys(x.runs)) {
		lists.Running = append(lists.Running, workflow.RunState{Task: task, Run: x.runs[task].number, Saved: x.runs[task].checkpoint})
	}
	for _, e := range x.ended[:min(len(x.ended), x.endsPerResponse)] {
		lists.Ended = append(lists.Ended, e.RunEnd)
	}
	lists.EndsComplete = len(lists.Ended) < x.endsPerResponse
	return lists
}
