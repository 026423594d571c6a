package node

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/clock/clocktest"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const testLeaseMillis = int64(owner.ExecutorLeaseDuration / time.Millisecond)

// suspend suspends a host for a time.
func suspend(host *clocktest.Host, d time.Duration) {
	host.Suspend()
	time.Sleep(d)
	host.Resume()
}

// executorClock is the clock of an executor, which goes on while the host is suspended.
type executorClock time.Time

func (c executorClock) millis() int64 { return time.Since(time.Time(c)).Milliseconds() }

// Guards against a lease that a node renews for time that is over: its host was suspended, and the owner has taken the tasks for
// lost or is about to.
func TestLeaseIsNotRenewedAfterItExpiredDuringSuspension(t *testing.T) {
	for _, suspended := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			host, started := clocktest.NewHost(), executorClock(time.Now())
			n := newNodeOn(host)
			time.Sleep(time.Second)
			report, sent := n.nextReport(1), n.clock.Now()
			limit := started.millis() + testLeaseMillis
			n.applyReply(report, &workflow.ReportReply{Epoch: 1, LeaseMillis: testLeaseMillis}, sent)
			suspend(host, suspended)
			n.applyLists(testIncarnation, &RunLists{ClockMillis: started.millis(), StartedUnixMillis: 1000}, 0)
			deadline := n.nextHold().deadline
			c.Assert(deadline <= limit, qt.IsTrue, qt.Commentf("suspended for %v: the lease ends at %d ms, renewed until %d ms", suspended, limit, deadline))
		})
	}
}

// Guards against a lease that counts from when the reply was processed: the host was suspended between the report and its reply.
func TestLeaseCountsFromReportAcrossSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		host, started := clocktest.NewHost(), executorClock(time.Now())
		n := newNodeOn(host)
		report, sent := n.nextReport(1), n.clock.Now()
		limit := started.millis() + testLeaseMillis
		suspend(host, 4*time.Second)
		n.applyReply(report, &workflow.ReportReply{Epoch: 1, LeaseMillis: testLeaseMillis}, sent)
		n.applyLists(testIncarnation, &RunLists{ClockMillis: started.millis(), StartedUnixMillis: 1000}, 0)
		deadline := n.nextHold().deadline
		c.Assert(deadline <= limit, qt.IsTrue, qt.Commentf("the lease ends at %d ms, renewed until %d ms", limit, deadline))
	})
}

// Guards against a start that is based on a report from before a suspension: its task may run elsewhere by now.
func TestStartBasedOnReportBeforeSuspensionIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		host := clocktest.NewHost()
		n := newNodeOn(host)
		report := n.nextReport(1)
		suspend(host, 7*time.Second)
		_, reason := n.checkStart(&workflow.Orders{
			Epoch: 1, Incarnation: n.incarnation, ReportNumber: report.Number, LeaseMillis: testLeaseMillis, ExecutorIncarnation: testIncarnation,
		}, n.clock.Now())
		c.Assert(reason, qt.Equals, "basis")
	})
}

// Guards against lists that look young after a suspension: they don't show that the executor is alive, and its ends may no longer
// be acknowledged.
func TestListsAgeDuringSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		host := clocktest.NewHost()
		n := newNodeOn(host)
		n.applyLists(testIncarnation, &RunLists{ClockMillis: 600, StartedUnixMillis: 1000, Ended: []workflow.RunEnd{{Number: 1}}}, 0)
		n.ack = 1
		suspend(host, 3*time.Second)
		c.Check(n.pendingAck(), qt.Equals, int64(0))
		c.Check(n.nextReport(1).ListAgeMillis, qt.Equals, int64(3000))
	})
}

// slowExecutor answers the first hold call after the host was suspended, and no other call.
type slowExecutor struct {
	Executor
	host     *clocktest.Host
	answered bool
}

func (x *slowExecutor) Hold(ctx context.Context, _ string, _, _, _ int64, _ time.Duration) (*RunLists, error) {
	if x.answered {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	x.answered = true
	suspend(x.host, 4*time.Second)
	return &RunLists{ClockMillis: 600, StartedUnixMillis: 1000, Ended: []workflow.RunEnd{{Number: 1}}}, nil
}

// Guards against lists that look young because their age counts from when the response was processed: the host was suspended
// since the executor sent it.
func TestListsProcessedAfterSuspensionDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		host := clocktest.NewHost()
		n := newNodeOn(host)
		n.executor, n.copies = &slowExecutor{host: host}, 1
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		go n.holdLoop(ctx)
		time.Sleep(4*time.Second + holdRetryDelay/2)
		report := n.nextReport(1)
		c.Check(report.Listed, qt.IsFalse, qt.Commentf("lists are reported as %d ms old", report.ListAgeMillis))
	})
}

// startRecorder counts the starts that reach an executor.
type startRecorder struct {
	Executor
	starts int
}

func (r *startRecorder) Start(context.Context, string, Start) error {
	r.starts++
	return nil
}

// Guards against a start that is sent after a suspension although it was checked before: its task may run elsewhere by now.
func TestStartIsCheckedAgainWhenItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		host, recorder := clocktest.NewHost(), &startRecorder{}
		n := newNodeOn(host)
		n.executor = recorder
		orders := &workflow.Orders{
			Epoch: 1, Incarnation: n.incarnation, ReportNumber: n.nextReport(1).Number, LeaseMillis: testLeaseMillis, ExecutorIncarnation: testIncarnation,
		}
		_, reason := n.checkStart(orders, n.clock.Now())
		c.Assert(reason, qt.Equals, "")
		c.Assert(n.sendStart(t.Context(), orders, Start{}), qt.IsNil)
		suspend(host, 7*time.Second)
		var rejected *RejectedError
		c.Check(errors.As(n.sendStart(t.Context(), orders, Start{}), &rejected), qt.IsTrue)
		c.Check(recorder.starts, qt.Equals, 1)
	})
}
