package workflows_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/gateway"
	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// lateWrite is how late the store carries out a write without an answer: the latest that its users expect is 6 s.
	lateWrite = 6 * time.Second
	// clientPatience is how long a client waits for the answer to a submission before it leaves.
	clientPatience = 400 * time.Millisecond
)

// entry is a gateway with its connection to the store.
type entry struct {
	*fleet
	gateway *gateway.Gateway
	store   *kvtest.Client
}

// readInterval is how often gateways read from the store, as those do that follow the configuration there.
const readInterval = 500 * time.Millisecond

// addEntry adds a gateway to a fleet, which a restarted gateway is too.
func (f *fleet) addEntry(name string, seed uint64) *entry {
	store := f.newStoreClient(seed)
	monitor := kv.NewMonitor(store)
	go func() {
		for f.ctx.Err() == nil {
			_, _, _, _ = monitor.Get(f.ctx, "configuration")
			time.Sleep(readInterval)
		}
	}()
	e := &entry{f, f.newGatewayOn(f.network.Transport(name), monitor), store}
	time.Sleep(time.Second)
	return e
}

// submitLate submits a job whose write gets no answer and is carried out late, and whose client leaves.
func (e *entry) submitLate(job workflow.Job, late time.Duration) {
	faults := kvtest.Faults{Delay: storeDelay, ResponseLoss: 1, CommitDelay: late}
	e.store.SetFaults(faults)
	ctx, cancel := context.WithTimeout(e.ctx, clientPatience)
	defer cancel()
	e.Assert(e.gateway.Submit(ctx, &job), qt.ErrorIs, gateway.ErrUnknown)
	e.store.SetFaults(kvtest.Faults{Delay: storeDelay})
}

// assertNeverRuns asserts that no task of a job whose cancellation was answered with ErrNotFound has been started.
func (e *entry) assertNeverRuns(job workflow.Job) {
	e.Helper()
	_, err := e.gateway.State(e.ctx, job.ID)
	e.Assert(err, qt.ErrorIs, gateway.ErrNotFound)
	e.Assert(e.checker.foundViolations(), qt.HasLen, 0)
}

// cancelUnknown cancels a job that isn't stored.
func (e *entry) cancelUnknown(id string) {
	e.Helper()
	e.Assert(e.gateway.Cancel(e.ctx, id), qt.ErrorIs, gateway.ErrNotFound)
	e.checker.recordRejected(id)
}

// Guards against a job that runs although its cancellation was answered with "no such job" (UNASKED): the store carries out its submission
// seconds later. The gateway that cancels may be another one, or have been restarted, and the owner may not be reachable.
func TestLateSubmissionOfCancelledJobDoesNotRun(t *testing.T) {
	for name, cancelOf := range map[string]func(*fleet, *entry) *entry{
		"same gateway":    func(_ *fleet, e *entry) *entry { return e },
		"another gateway": func(f *fleet, _ *entry) *entry { return f.addEntry("entry-3", 103) },
		"without an owner": func(f *fleet, e *entry) *entry {
			for _, h := range f.hosts {
				h.kill()
			}
			time.AfterFunc(2*lateWrite, func() {
				for _, h := range f.hosts {
					h.start()
				}
			})
			return e
		},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, 3, func(f *fleet) {
				e, job := f.addEntry("entry-2", 102), f.newJob(2)
				e.submitLate(job, lateWrite)
				cancelOf(f, e).cancelUnknown(job.ID)
				time.Sleep(4 * lateWrite)
				e.assertNeverRuns(job)
			})
		})
	}
}

// Guards against the same with a submission that the owner stores for a gateway.
func TestLateRelayedSubmissionOfCancelledJobDoesNotRun(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		e, job := f.addEntry("entry-2", 102), f.newJob(2)
		e.store.SetFaults(kvtest.Faults{Unavailable: true})
		f.owner().store.SetFaults(kvtest.Faults{Delay: storeDelay, ResponseLoss: 1, CommitDelay: lateWrite})
		ctx, cancel := context.WithTimeout(f.ctx, clientPatience)
		defer cancel()
		f.Assert(e.gateway.Submit(ctx, &job), qt.ErrorIs, gateway.ErrUnknown)
		f.owner().store.SetFaults(kvtest.Faults{Delay: storeDelay})
		e.store.SetFaults(kvtest.Faults{Delay: storeDelay})
		time.Sleep(time.Second)
		e.cancelUnknown(job.ID)
		time.Sleep(2 * lateWrite)
		e.assertNeverRuns(job)
	})
}

// Guards against a repeated submission that is taken for accepted although the job was cancelled before it was stored, at a gateway that
// stores it itself or by the owner, and against an ID that can never be used again.
func TestCancelledJobIsNotAcceptedUntilTombstoneEnds(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		e, job := f.addEntry("entry-2", 102), f.newJob(1)
		e.cancelUnknown(job.ID)
		f.Assert(e.gateway.Submit(f.ctx, &job), qt.ErrorIs, gateway.ErrCancelled)
		e.store.SetFaults(kvtest.Faults{Unavailable: true})
		f.Assert(e.gateway.Submit(f.ctx, &job), qt.ErrorIs, gateway.ErrCancelled)
		e.store.SetFaults(kvtest.Faults{Delay: storeDelay})
		f.Assert(e.gateway.Refuse(f.ctx, job.ID, errors.New("refused")), qt.ErrorIs, gateway.ErrUnavailable)
		time.Sleep(2*gateway.TombstoneLife + time.Second)
		again := f.newJob(1)
		again.ID = job.ID
		f.checker.forgetRejection(again)
		f.Assert(f.gateway.Submit(f.ctx, &again), qt.IsNil)
		f.waitCompleted(10*time.Second, job.ID)
	})
}

// Guards against a promise that a tombstone of an earlier cancellation doesn't keep, since it ends soon.
func TestRepeatedCancellationExtendsTombstone(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		first, second := f.addEntry("entry-2", 102), f.addEntry("entry-3", 103)
		job := f.newJob(1)
		first.cancelUnknown(job.ID)
		time.Sleep(2*gateway.TombstoneLife - 4*time.Second)
		first.submitLate(job, lateWrite)
		second.cancelUnknown(job.ID)
		time.Sleep(2 * lateWrite)
		first.assertNeverRuns(job)
	})
}

// Guards against clients that fill the store with keys by cancelling jobs that don't exist, and against keys that stay.
func TestTombstonesAreBounded(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		e := f.addEntry("entry-2", 102)
		tombstones := func() int {
			items, _, err := f.store.Client(9).List(f.ctx, owner.JobPrefix)
			f.Assert(err, qt.IsNil)
			return len(items)
		}
		const seconds, perSecond = 20, 50
		refused, began := 0, time.Now()
		for i := range seconds * perSecond {
			if err := e.gateway.Cancel(f.ctx, fmt.Sprintf("%016x", 0xffff+i)); errors.Is(err, gateway.ErrUnavailable) {
				refused++
			}
			time.Sleep(time.Second / perSecond)
		}
		stored := tombstones()
		f.Assert(stored+refused, qt.Equals, seconds*perSecond)
		f.Assert(float64(stored) <= 51+10*time.Since(began).Seconds(), qt.IsTrue, qt.Commentf("%d tombstones", stored))
		time.Sleep(3 * gateway.TombstoneLife)
		f.Assert(tombstones(), qt.Equals, 0)
	})
}

// forgetRejection lets a job run that is submitted under the ID of a rejected one, and reports whether there was one.
func (o *invariantChecker) forgetRejection(job workflow.Job) (wasRejected bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	wasRejected = o.rejectedJobs[job.ID]
	delete(o.rejectedJobs, job.ID)
	o.jobs[job.ID] = job
	return wasRejected
}

// Guards against any order of late writes, repeated submissions and cancellations at several gateways in which a task starts after its job
// was cancelled, or was said not to exist.
func TestCancellationsHoldBesideLateWrites(t *testing.T) {
	setDefaultChecks(t, "40")
	rapid.Check(t, func(rt *rapid.T) {
		type step struct {
			action       string
			entry, job   int
			pause, delay time.Duration
		}
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				rapid.SampledFrom([]string{"submit", "late", "late", "late", "cancel", "cancel", "cancel"}).Draw(rt, "action"),
				rapid.IntRange(0, 1).Draw(rt, "entry"), rapid.IntRange(0, 1).Draw(rt, "job"),
				time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond,
				time.Duration(rapid.IntRange(0, 6000).Draw(rt, "late")) * time.Millisecond,
			}
		}), 3, 12).Draw(rt, "steps")
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer time.Sleep(callDrainTime)
			defer cancel()
			f := newFleetOf(t, ctx, 2, false)
			entries := []*entry{f.addEntry("entry-2", 102), f.addEntry("entry-3", 103)}
			jobs := []workflow.Job{f.newJob(1), f.newJob(1)}
			for _, s := range steps {
				e, job := entries[s.entry], jobs[s.job]
				call, done := context.WithTimeout(ctx, clientPatience)
				submit := func() {
					// A submission that is sent after the cancellation may run, unless it is rejected too.
					wasDenied := f.checker.forgetRejection(job)
					err := e.gateway.Submit(call, &job)
					if wasDenied && (errors.Is(err, gateway.ErrCancelled) || errors.Is(err, gateway.ErrUnavailable)) {
						f.checker.recordRejected(job.ID)
					}
				}
				switch s.action {
				case "late":
					e.store.SetFaults(kvtest.Faults{Delay: storeDelay, ResponseLoss: 1, CommitDelay: max(s.delay, time.Millisecond)})
					submit()
					e.store.SetFaults(kvtest.Faults{Delay: storeDelay})
				case "submit":
					submit()
				case "cancel":
					if err := e.gateway.Cancel(ctx, job.ID); err == nil || errors.Is(err, gateway.ErrNotFound) {
						time.Sleep(cancelTime)
						f.checker.recordRejected(job.ID)
					}
				}
				done()
				time.Sleep(s.pause)
			}
			time.Sleep(2 * lateWrite)
			violations = slices.DeleteFunc(f.checker.foundViolations(), func(v string) bool { return !strings.Contains(v, "was rejected") })
		})
		if len(violations) > 0 {
			rt.Fatalf("%v after %+v", violations, steps)
		}
	})
}

// cancelTime is how long after a cancellation its job may still start a task: an order may be on its way.
const cancelTime = time.Second
