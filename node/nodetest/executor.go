// Package nodetest provides an in-memory executor for tests that simulates the faults of the platform's executors.
package nodetest

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

var (
	errNoAnswer = errors.New("nodetest: no answer")
	errBroken   = errors.New("nodetest: connection broken")
)

// Observer is notified of everything that executors do, so that a test can check it.
type Observer interface {
	// Started is called when a run starts, with what the executor announces, Ended when it has ended, and Acknowledged when its end
	// is acknowledged. lapsed is true if the lease expired between the end and the acknowledgement.
	Started(executor workflow.Executor, task string, run int, spec string)
	Ended(executor, task string, run int, how workflow.EndReason)
	Acknowledged(executor, task string, run int, how workflow.EndReason, lapsed bool)
}

type run struct {
	number     int
	endsAt     time.Time
	checkpoint string
	// stopsAt is when a stop will have ended the run; zero if it isn't being stopped.
	stopsAt time.Time
}

// end returns when and how the run ends unless its lease expires before: by itself or by a stop.
func (r *run) end() (time.Time, workflow.EndReason) {
	if !r.stopsAt.IsZero() && r.stopsAt.Before(r.endsAt) {
		return r.stopsAt, workflow.EndStopped
	}
	return r.endsAt, workflow.EndDone
}

type endedRun struct {
	workflow.RunEnd
	// lapsed is true if the lease expired after the end of the run.
	lapsed bool
}

// Executor simulates an executor whose tasks take a fixed time. It implements node.Executor.
type Executor struct {
	observer Observer
	duration time.Duration

	mu sync.Mutex
	// stopTime is how long a stop takes.
	stopTime time.Duration
	// answerDelay is how long the answers to calls take, which are carried out at once.
	answerDelay time.Duration
	description workflow.Executor
	down        bool
	fence       int64
	deadline    time.Time
	born        time.Time
	// clockStart is the reading of the clock at which the incarnation has started, and clockRate the speed of the clock.
	clockStart time.Duration
	clockRate  float64
	// nextClockStart and nextClockRate are those of the next incarnation.
	nextClockStart time.Duration
	nextClockRate  float64
	// startOffset is added to the start times of the next incarnations.
	startOffset time.Duration
	// staleCalls are the calls that are carried out by the next incarnation, and restarted is closed when that starts.
	staleCalls StaleCalls
	restarted  chan struct{}
	// renewalCrash is set if the executor crashes when a renewal arrives, and staleRenewal is a renewal that has met such a crash.
	renewalCrash *renewalCrash
	staleRenewal *staleRenewal
	runs         map[string]*run
	highestRun   map[string]int
	ended        []endedRun
	lastNumber   int64
	unresponsive bool
	// refusing is set while no process listens at the executor's address, so that connections are refused.
	refusing bool
	faults   CallFaults
	// delayedCalls is the number of delayed calls that have not been carried out.
	delayedCalls int
	// startsUntilStop carry out the starts that are delayed until the next stop.
	startsUntilStop []func()
	random          *rand.Rand
	durations       func(task string) time.Duration
	// reservations returns what a task reserves. It is set if the executor rejects starts beyond its capacity.
	reservations func(task string) structs.Resources
	failing      bool
	// crashes decides whether a run crashes the executor, and lives counts the IDs that it has had.
	crashes func(task string) bool
	lives   int
	keepsID bool
	// endsPerResponse is the largest number of ends in one response.
	endsPerResponse int
}

// DefaultEndsPerResponse is the largest number of ends that the platform's executors list in one response.
const DefaultEndsPerResponse = 500

const (
	// crashDelay is the time after its start at which a run crashes the executor, and crashDowntime the time until the
	// executor is back.
	crashDelay    = 10 * time.Millisecond
	crashDowntime = 3 * time.Second
	// maxLease is the longest lease by the executor's clock. Longer ones are shortened to it.
	maxLease = 10 * time.Second
)

// New returns an executor whose tasks take the given duration.
func New(name string, capacity structs.Resources, duration time.Duration, observer Observer) *Executor {
	x := &Executor{
		observer: observer, duration: duration, nextClockRate: 1, restarted: make(chan struct{}), random: rand.New(rand.NewPCG(uint64(len(name)), 7)), endsPerResponse: DefaultEndsPerResponse,
		description: workflow.Executor{ID: "i-" + name, Pool: "pool", FailureDomain: "domain", Capacity: capacity},
	}
	x.Restart()
	return x
}

// Restart ends all runs and starts a new incarnation under the same ID.
func (x *Executor) Restart() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for task, r := range x.runs {
		x.observer.Ended(x.description.IncarnationID(), task, r.number, workflow.EndLapsed)
	}
	x.born = time.Now()
	x.description.StartedUnixMillis = x.born.Add(x.startOffset).UnixMilli()
	x.fence, x.lastNumber, x.ended = 0, 0, nil
	x.runs, x.highestRun = map[string]*run{}, map[string]int{}
	x.deadline, x.clockStart, x.clockRate = time.Time{}, x.nextClockStart, x.nextClockRate
	x.down, x.refusing = false, false
	x.carryOutStaleRenewal()
	close(x.restarted)
	x.restarted = make(chan struct{})
}

// SetClock sets the reading of the clock at which the next incarnations start, and the speed of their clocks.
func (x *Executor) SetClock(start time.Duration, rate float64) {
	x.update(func() { x.nextClockStart, x.nextClockRate = start, rate })
}

// SetTimeOfDay sets by how much the time of day differs from now on, as in the start times of the next incarnations.
func (x *Executor) SetTimeOfDay(offset time.Duration) { x.update(func() { x.startOffset = offset }) }

// SetStaleCalls sets which calls that meet the executor while it is down are carried out by its next incarnation.
func (x *Executor) SetStaleCalls(calls StaleCalls) { x.update(func() { x.staleCalls = calls }) }

// Leave ends all runs and the executor's process, as after a planned drain or a crash. Connections are refused until Restart.
func (x *Executor) Leave() {
	x.Crash()
	x.SetRefusing(true)
}

// SetRefusing sets whether connections are refused. Runs go on.
func (x *Executor) SetRefusing(refusing bool) { x.update(func() { x.refusing = refusing }) }

// Crash ends all runs, as a loss of the executor's host does. Calls get no response until Restart.
func (x *Executor) Crash() { x.update(x.crash) }

// crash is Crash by a caller that holds mu.
func (x *Executor) crash() {
	for task, r := range x.runs {
		x.observer.Ended(x.description.IncarnationID(), task, r.number, workflow.EndLapsed)
	}
	x.runs, x.down = map[string]*run{}, true
}

// SetCrashing sets which tasks crash the executor shortly after their start. It then refuses connections and comes back under
// another ID, unless SetKeepsID was called.
func (x *Executor) SetCrashing(crashes func(task string) bool) {
	x.update(func() { x.crashes = crashes })
}

// SetKeepsID makes the executor come back under its ID after a crash.
func (x *Executor) SetKeepsID() { x.update(func() { x.keepsID = true }) }

// crashUnderRun crashes an incarnation of the executor, unless it has ended before.
func (x *Executor) crashUnderRun(incarnation string) {
	if description, up := x.Describe(); !up || description.IncarnationID() != incarnation {
		return
	}
	x.Leave()
	time.AfterFunc(crashDowntime, func() {
		x.update(func() {
			if !x.keepsID {
				x.changeID()
			}
		})
		x.Restart()
	})
}

// Replace ends all runs and starts another executor at the same address, which announces itself under another ID and with the given
// change.
func (x *Executor) Replace(change func(*workflow.Executor)) {
	x.Crash()
	x.update(func() {
		x.changeID()
		change(&x.description)
	})
	x.Restart()
}

// changeID gives the executor an ID that it has not had.
func (x *Executor) changeID() {
	x.lives++
	name, _, _ := strings.Cut(x.description.ID, "/")
	x.description.ID = name + "/" + strconv.Itoa(x.lives)
}

// SetUnresponsive sets whether calls get no response and have no effect.
func (x *Executor) SetUnresponsive(unresponsive bool) {
	x.update(func() { x.unresponsive = unresponsive })
}

// CallFaults are the shares of calls that fail in each way. A call fails in at most one of them.
type CallFaults struct {
	// Rejected calls have no effect and are answered as by an unhealthy executor.
	Rejected float64
	// AnswerLost calls take effect at once and get no response.
	AnswerLost float64
	// Delayed calls get no response and take effect between MinDelay, or 2 s if that is 0, and MaxDelay later.
	Delayed            float64
	MinDelay, MaxDelay time.Duration
	// OrdersOnly is set if all calls but starts and stops are free of faults, AcknowledgementsOnly if all but hold calls that
	// acknowledge ends are.
	OrdersOnly, AcknowledgementsOnly bool
	// StartsUntilStop is set if delayed starts take effect just before the next stop instead.
	StartsUntilStop bool
}

const (
	// minCallDelay and defaultMaxCallDelay limit how much later delayed calls take effect.
	minCallDelay        = 2 * time.Second
	defaultMaxCallDelay = 10 * time.Second
)

// SetCallFaults sets which calls fail from now on.
func (x *Executor) SetCallFaults(faults CallFaults) { x.update(func() { x.faults = faults }) }

// SetDelayedShare sets the share of calls that get no response and take effect seconds later.
func (x *Executor) SetDelayedShare(share float64) {
	if share == 0 {
		x.SetCallFaults(CallFaults{})
		return
	}
	x.SetCallFaults(CallFaults{Delayed: share, MaxDelay: defaultMaxCallDelay})
}

// DelayedCalls returns the number of delayed calls that have not been carried out.
func (x *Executor) DelayedCalls() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.delayedCalls
}

// SetStopTime sets how long each later stop takes. Until it has ended, a stopped run is listed as running, keeps its place, can still
// finish by itself, and lapses with the lease; the answer to the stop comes at once.
func (x *Executor) SetStopTime(d time.Duration) { x.update(func() { x.stopTime = d }) }

// SetAnswerDelay sets how long the answers to later calls take, which are carried out at once.
func (x *Executor) SetAnswerDelay(d time.Duration) { x.update(func() { x.answerDelay = d }) }

// SetFailing sets whether all runs that complete fail.
func (x *Executor) SetFailing(failing bool) { x.update(func() { x.failing = failing }) }

// SetDuration sets how long the runs take that start from now on.
func (x *Executor) SetDuration(duration time.Duration) { x.update(func() { x.duration = duration }) }

// SetDurations sets how long the runs of each task take that start from now on; 0 stands for the duration of all others.
func (x *Executor) SetDurations(durations func(task string) time.Duration) {
	x.update(func() { x.durations = durations })
}

// durationOf returns how long a run of a task takes.
func (x *Executor) durationOf(task string) time.Duration {
	if x.durations != nil {
		if d := x.durations(task); d > 0 {
			return d
		}
	}
	return x.duration
}

// SetGuarded makes the executor reject starts beyond its capacity, given what each task reserves. With nil it starts whatever it is
// ordered to start.
func (x *Executor) SetGuarded(reservations func(task string) structs.Resources) {
	x.update(func() { x.reservations = reservations })
}

// hasRoom reports whether a task fits beside the runs that the executor has.
func (x *Executor) hasRoom(task string) bool {
	if x.reservations == nil {
		return true
	}
	reserved := x.reservations(task)
	for other := range x.runs {
		reserved = reserved.Add(x.reservations(other))
	}
	return reserved.Fits(x.description.Capacity)
}

// SetCapacity sets the capacity that the executor announces.
func (x *Executor) SetCapacity(capacity structs.Resources) {
	x.update(func() { x.description.Capacity = capacity })
}

// SetEndsPerResponse sets the largest number of ends in one response. Further ends are listed once these are acknowledged.
func (x *Executor) SetEndsPerResponse(ends int) { x.update(func() { x.endsPerResponse = ends }) }

// SetDraining sets whether the executor announces that it is draining.
func (x *Executor) SetDraining(draining bool) { x.update(func() { x.description.Draining = draining }) }

func (x *Executor) update(change func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	change()
}

// Describe returns the announcement of the executor, and false while it is down or unresponsive.
func (x *Executor) Describe() (workflow.Executor, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.description, !x.down && !x.unresponsive
}

// Answers reports whether the executor is up and answers all calls.
func (x *Executor) Answers() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.down && !x.unresponsive && x.faults == (CallFaults{})
}

// advance ends the runs that are due, and marks the recorded ends as lapsed if the lease has expired.
func (x *Executor) advance() {
	now := time.Now()
	if !x.deadline.IsZero() && now.After(x.deadline) {
		for i := range x.ended {
			x.ended[i].lapsed = true
		}
	}
	for _, task := range slices.Sorted(maps.Keys(x.runs)) {
		r := x.runs[task]
		endsAt, how := r.end()
		switch {
		case now.After(x.deadline) && !endsAt.Before(x.deadline):
			how = workflow.EndLapsed
		case now.Before(endsAt):
			continue
		case how == workflow.EndDone && x.failing:
			how = workflow.EndFailed
		}
		x.finish(task, r, how)
	}
}

func (x *Executor) finish(task string, r *run, how workflow.EndReason) {
	delete(x.runs, task)
	x.lastNumber++
	x.ended = append(x.ended, endedRun{RunEnd: workflow.RunEnd{Number: x.lastNumber, Task: task, Run: r.number, How: how, Saved: r.checkpoint}})
	x.observer.Ended(x.description.IncarnationID(), task, r.number, how)
}
