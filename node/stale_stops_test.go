package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/clock/clocktest"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// staleStopTimes are stop times of settings, and one beyond them.
var staleStopTimes = []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond}

// stopExecutor records the stops that it gets. answers says how long it takes to accept the stop of a run, and false if it doesn't answer.
type stopExecutor struct {
	Executor
	answers func(task string) (delay time.Duration, answered bool)

	mu             sync.Mutex
	sent, accepted map[string][]time.Time
}

func newStopExecutor(answers func(task string) (time.Duration, bool)) *stopExecutor {
	return &stopExecutor{answers: answers, sent: map[string][]time.Time{}, accepted: map[string][]time.Time{}}
}

func acceptAtOnce(string) (time.Duration, bool) { return 0, true }

func (x *stopExecutor) Stop(ctx context.Context, _, task string, _ int, _ int64) error {
	x.mu.Lock()
	x.sent[task] = append(x.sent[task], time.Now())
	x.mu.Unlock()
	delay, answered := x.answers(task)
	if !answered {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.accepted[task] = append(x.accepted[task], time.Now())
	return nil
}

// firstSent returns when the first stop of a run was sent; zero if none was.
func (x *stopExecutor) firstSent(task string) time.Time { return x.first(x.sent, task) }

// firstAccepted returns when the first stop of a run was accepted; zero if none was.
func (x *stopExecutor) firstAccepted(task string) time.Time { return x.first(x.accepted, task) }

func (x *stopExecutor) first(times map[string][]time.Time, task string) time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(times[task]) == 0 {
		return time.Time{}
	}
	return times[task][0]
}

// copies returns the number of stops that were sent.
func (x *stopExecutor) copies(task string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.sent[task])
}

// staleFixture is a node that was granted its last lease at grantedAt, and whose executor may hold a stale lease for 10.2 s.
type staleFixture struct {
	*qt.C
	*Node
	host      *clocktest.Host
	grantedAt time.Time
	running   []workflow.RunState
}

// runWithStaleRuns runs a test against a node whose executor has just listed a number of runs under a stale lease.
func runWithStaleRuns(t *testing.T, stopTime time.Duration, x Executor, runs int, test func(f *staleFixture)) {
	synctest.Test(t, func(t *testing.T) {
		host := clocktest.NewHost()
		f := &staleFixture{C: qt.New(t), Node: newLeasedNode(host), host: host, grantedAt: time.Now()}
		f.SetStopTime(stopTime)
		f.executor = x
		for i := range runs {
			f.running = append(f.running, workflow.RunState{Task: staleTask(i), Run: 1})
		}
		f.sendDeadline(6 * time.Second)
		f.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 4000}, 1, nextClockMillis)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		go f.staleStopLoop(ctx)
		f.list()
		test(f)
	})
}

func staleTask(i int) string { return fmt.Sprintf("%016x.0.0.0", i+1) }

// list makes the executor list its runs.
func (f *staleFixture) list() {
	hold := holdCall{incarnation: nextIncarnation, epoch: f.epoch}
	lists := &RunLists{ClockMillis: nextClockMillis, StartedUnixMillis: 4000, Running: f.running, EndsComplete: true}
	f.boundStaleLease(&hold, lists)
	f.applyLists(nextIncarnation, lists, f.executedOrders)
}

func (f *staleFixture) setStaleLeaseEnd(end time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.staleLease.end = end
}

// grant applies a reply of the owner, which renews the lease.
func (f *staleFixture) grant() {
	f.applyReply(f.nextReport(1), &workflow.ReportReply{Epoch: 1, LeaseMillis: testLeaseMillis}, f.clock.Now())
}

// restartsAt returns the earliest time at which an owner that is cut off may start the tasks elsewhere.
func (f *staleFixture) restartsAt() time.Time {
	return f.grantedAt.Add(owner.ExecutorLeaseDuration + owner.LeaseExpiryMargin)
}

// Guards against a run that ends after its next one has started (TWICE, issue 43): the node began to stop it when the granted lease had
// ended, however long a stop takes. It does so too where the executor has left the last hold call unanswered.
func TestStaleRunIsStoppedBeforeItsTaskMayRunElsewhere(t *testing.T) {
	for _, stopTime := range staleStopTimes {
		for _, holdFails := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, hold call fails: %v", stopTime, holdFails), func(t *testing.T) {
				x := newStopExecutor(acceptAtOnce)
				runWithStaleRuns(t, stopTime, x, 1, func(f *staleFixture) {
					if holdFails {
						f.handleHoldError(nextIncarnation, errors.New("no answer"), false)
					}
					time.Sleep(time.Until(f.restartsAt()))
					sent := x.firstSent(staleTask(0))
					f.Assert(sent.IsZero(), qt.IsFalse)
					left := f.restartsAt().Sub(sent) - stopTime
					f.Check(left >= owner.OrdersTimeout, qt.IsTrue, qt.Commentf("%v left for calls without an answer", left))
					f.Check(left <= owner.OrdersTimeout+owner.LeaseExpiryMargin, qt.IsTrue, qt.Commentf("%v left for calls without an answer", left))
				})
			})
		}
	}
}

// Guards against a run that ends after its next one has started: the owner that counts the stale lease was killed, and the next one counts
// the granted lease from its takeover. Guards as well against a run that is stopped as early as if no owner knew of the stale lease.
func TestRunUnderCountedStaleLeaseIsStoppedBeforeNextOwnerMayRunIt(t *testing.T) {
	for _, stopTime := range staleStopTimes {
		t.Run(stopTime.String(), func(t *testing.T) {
			x := newStopExecutor(acceptAtOnce)
			runWithStaleRuns(t, stopTime, x, 1, func(f *staleFixture) {
				f.grant()
				restartsAt := f.restartsAt().Add(owner.TakeoverSlack)
				time.Sleep(time.Until(restartsAt))
				sent := x.firstSent(staleTask(0))
				f.Assert(sent.IsZero(), qt.IsFalse)
				left := restartsAt.Sub(sent) - stopTime
				f.Check(left >= owner.OrdersTimeout, qt.IsTrue, qt.Commentf("%v left for calls without an answer", left))
				f.Check(left <= owner.OrdersTimeout+owner.LeaseExpiryMargin, qt.IsTrue, qt.Commentf("%v left for calls without an answer", left))
			})
		})
	}
}

// Guards against a stale lease that counts as known to an owner that doesn't wait for its end: it has not renewed the lease, or its reply
// is to a report from before the lease was known.
func TestOwnerCountsOnlyStaleLeaseThatItWasToldOf(t *testing.T) {
	runWithStaleRuns(t, 900*time.Millisecond, newStopExecutor(acceptAtOnce), 1, func(f *staleFixture) {
		f.applyReply(f.nextReport(1), &workflow.ReportReply{Epoch: 1}, f.clock.Now())
		f.Check(f.staleLease.counted, qt.IsFalse)
		report, sent := f.nextReport(1), f.clock.Now()
		f.setStaleLeaseEnd(f.staleLease.end.Add(time.Second))
		f.applyReply(report, &workflow.ReportReply{Epoch: 1, LeaseMillis: testLeaseMillis}, sent)
		f.Check(f.staleLease.counted, qt.IsFalse)
		f.grant()
		f.Check(f.staleLease.counted, qt.IsTrue)
	})
}

// Guards against a run that isn't stopped since stops of other runs on the executor get no answer, or take their time one after the other.
func TestStaleRunsAreStoppedTogether(t *testing.T) {
	const runs, unanswered = 30, 12
	x := newStopExecutor(func(task string) (time.Duration, bool) { return 100 * time.Millisecond, task >= staleTask(unanswered) })
	runWithStaleRuns(t, 900*time.Millisecond, x, runs, func(f *staleFixture) {
		time.Sleep(time.Until(f.restartsAt()) - 900*time.Millisecond)
		for i := unanswered; i < runs; i++ {
			f.Check(x.firstAccepted(staleTask(i)).IsZero(), qt.IsFalse, qt.Commentf("run %d goes on", i))
		}
		f.Check(x.copies(staleTask(0)) > maxCopies, qt.IsTrue, qt.Commentf("%d copies", x.copies(staleTask(0))))
	})
}

// Guards against a stop that is taken for done though nothing shows it: it got no answer, or the executor lists the run for longer than a
// stop takes. A run whose stop is accepted isn't stopped over and over.
func TestStaleStopIsRepeatedUntilItHasEffect(t *testing.T) {
	var answers atomic.Bool
	x := newStopExecutor(func(string) (time.Duration, bool) { return 0, answers.Load() })
	const stopTime = 900 * time.Millisecond
	runWithStaleRuns(t, stopTime, x, 1, func(f *staleFixture) {
		task := staleTask(0)
		due := f.restartsAt().Add(-stopTime - staleStopAllowance)
		time.Sleep(time.Until(due) + 1800*time.Millisecond)
		answers.Store(true)
		time.Sleep(repeatInterval + staleStopInterval)
		accepted := x.firstAccepted(task)
		f.Assert(accepted.IsZero(), qt.IsFalse, qt.Commentf("%d copies", x.copies(task)))
		copies := x.copies(task)
		time.Sleep(stopTime / 2)
		f.list()
		time.Sleep(stopTime / 4)
		f.Check(x.copies(task), qt.Equals, copies, qt.Commentf("stopped again before the stop has taken its time"))
		time.Sleep(stopTime)
		f.list()
		time.Sleep(2 * staleStopInterval)
		f.Check(x.copies(task), qt.Equals, copies+1, qt.Commentf("the executor lists the run beyond the stop time"))
		f.running = nil
		f.list()
		copies = x.copies(task)
		time.Sleep(5 * time.Second)
		f.Check(x.copies(task), qt.Equals, copies, qt.Commentf("the run has ended"))
	})
}

// Guards against an accepted start that isn't stopped: the executor has not listed its run before it ceased to answer hold calls.
func TestAcceptedStartUnderStaleLeaseIsStopped(t *testing.T) {
	x := newStopExecutor(acceptAtOnce)
	runWithStaleRuns(t, 900*time.Millisecond, x, 0, func(f *staleFixture) {
		start := workflow.StartOrder{RunTraits: workflow.RunTraits{Task: staleTask(0)}, Run: 1}
		f.countStart(nextIncarnation, &start, true)
		time.Sleep(time.Until(f.restartsAt()) - 900*time.Millisecond)
		f.Check(x.firstSent(staleTask(0)).IsZero(), qt.IsFalse)
	})
}

// Guards against stops of runs whose task can't run elsewhere: there is no stale lease, or the owner has renewed the granted one in time.
// A renewal that comes after the stops have begun ends them.
func TestRunsUnderGrantedLeaseAreNotStopped(t *testing.T) {
	const stopTime = 900 * time.Millisecond
	task := staleTask(0)
	t.Run("no stale lease", func(t *testing.T) {
		x := newStopExecutor(acceptAtOnce)
		runWithStaleRuns(t, stopTime, x, 1, func(f *staleFixture) {
			f.setStaleLeaseEnd(time.Time{})
			time.Sleep(20 * time.Second)
			f.Check(x.copies(task), qt.Equals, 0)
		})
	})
	t.Run("renewed in time", func(t *testing.T) {
		x := newStopExecutor(acceptAtOnce)
		runWithStaleRuns(t, stopTime, x, 1, func(f *staleFixture) {
			for range 3 {
				time.Sleep(3500 * time.Millisecond)
				f.grant()
			}
			time.Sleep(20 * time.Second)
			f.Check(x.copies(task), qt.Equals, 0)
		})
	})
	t.Run("renewed for as long as the stale lease lasts", func(t *testing.T) {
		x := newStopExecutor(acceptAtOnce)
		runWithStaleRuns(t, stopTime, x, 1, func(f *staleFixture) {
			time.Sleep(time.Second)
			f.grant()
			time.Sleep(time.Until(f.staleLease.end) + stopTime - owner.ExecutorLeaseDuration - owner.LeaseExpiryMargin)
			f.grant()
			time.Sleep(20 * time.Second)
			f.Check(x.copies(task), qt.Equals, 0)
		})
	})
	t.Run("renewed after the first copies", func(t *testing.T) {
		x := newStopExecutor(func(string) (time.Duration, bool) { return 0, false })
		runWithStaleRuns(t, stopTime, x, 1, func(f *staleFixture) {
			time.Sleep(time.Until(f.restartsAt()) - stopTime - staleStopAllowance + repeatInterval)
			f.Assert(x.copies(task) > 0, qt.IsTrue)
			f.grant()
			copies := x.copies(task)
			time.Sleep(3 * time.Second)
			f.Check(x.copies(task), qt.Equals, copies)
		})
	})
}

// Guards against a node that stops the runs of an incarnation on its first answer, since the executor was away for so long that the granted
// lease is near its end, although the owner is in touch and renews it.
func TestFirstReportRenewsLeaseBeforeRunsAreStopped(t *testing.T) {
	x := newStopExecutor(acceptAtOnce)
	runWithStaleRuns(t, 900*time.Millisecond, x, 1, func(f *staleFixture) {
		f.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 8000}, 1, nextClockMillis)
		time.Sleep(5 * time.Second)
		f.boundStaleLease(&holdCall{incarnation: "i-1@8000", epoch: 1}, &RunLists{ClockMillis: nextClockMillis, StartedUnixMillis: 8000})
		f.applyLists("i-1@8000", &RunLists{ClockMillis: nextClockMillis, StartedUnixMillis: 8000, Running: f.running}, 0)
		f.Assert(f.hasStaleLease(), qt.IsTrue)
		time.Sleep(staleReportTime - staleStopInterval)
		f.Check(x.copies(staleTask(0)), qt.Equals, 0)
		f.grant()
		time.Sleep(time.Second)
		f.Check(x.copies(staleTask(0)), qt.Equals, 0)
	})
}

// Guards against a node that waits for the reply to its first report of an incarnation when no time is left for that.
func TestLateFirstAnswerStopsRunsAtOnce(t *testing.T) {
	x := newStopExecutor(acceptAtOnce)
	runWithStaleRuns(t, 900*time.Millisecond, x, 1, func(f *staleFixture) {
		f.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 8000}, 1, nextClockMillis)
		time.Sleep(time.Until(f.grantedAt.Add(owner.ExecutorLeaseDuration)))
		f.boundStaleLease(&holdCall{incarnation: "i-1@8000", epoch: 1}, &RunLists{ClockMillis: nextClockMillis, StartedUnixMillis: 8000})
		f.applyLists("i-1@8000", &RunLists{ClockMillis: nextClockMillis, StartedUnixMillis: 8000, Running: f.running}, 0)
		time.Sleep(staleStopInterval)
		f.Check(x.copies(staleTask(0)), qt.Equals, 1)
	})
}

// Guards against a node that counts the granted lease as longer than it is, since its host was suspended: an owner goes on counting.
func TestStaleRunIsStoppedAfterSuspension(t *testing.T) {
	x := newStopExecutor(acceptAtOnce)
	runWithStaleRuns(t, 900*time.Millisecond, x, 1, func(f *staleFixture) {
		suspend(f.host, 3500*time.Millisecond)
		time.Sleep(time.Second)
		f.Check(x.copies(staleTask(0)), qt.Equals, 1)
	})
}

// Guards against a new process of the node that stops the runs of an executor that has not restarted, while the owner is out of touch for a
// moment: it knows nothing of its former process's calls. Guards as well against one that stops the runs of an executor that has just
// restarted too late.
func TestNewProcessStopsRunsOfYoungIncarnationsEarly(t *testing.T) {
	const stopTime = 900 * time.Millisecond
	for name, test := range map[string]struct{ age, left time.Duration }{
		"young": {time.Second, owner.OrdersTimeout + stopTime},
		"old":   {2 * time.Minute, owner.LeaseExpiryMargin},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				x, startedAt := newStopExecutor(acceptAtOnce), time.Now()
				started := startedAt.Add(-test.age).UnixMilli()
				n := newNode()
				n.executor, n.epoch = x, 7
				n.SetStopTime(stopTime)
				n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: started}, 2, 0)
				incarnation := n.current.IncarnationID()
				lists := &RunLists{ClockMillis: nextClockMillis, StartedUnixMillis: started, Running: []workflow.RunState{{Task: staleTask(0), Run: 1}}}
				n.boundStaleLease(&holdCall{incarnation: incarnation, epoch: 7}, lists)
				n.applyLists(incarnation, lists, 0)
				c.Assert(n.staleLease.ofFormerProcess, qt.IsTrue)
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				go n.staleStopLoop(ctx)
				restartsAt := startedAt.Add(owner.ExecutorLeaseDuration + owner.LeaseExpiryMargin)
				time.Sleep(time.Until(restartsAt))
				sent := x.firstSent(staleTask(0))
				c.Assert(sent.IsZero(), qt.IsFalse)
				left := restartsAt.Sub(sent)
				c.Check(left > test.left-2*staleStopInterval && left < test.left+owner.LeaseExpiryMargin, qt.IsTrue, qt.Commentf("%v left", left))
			})
		})
	}
}
