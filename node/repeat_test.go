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
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/clock/clocktest"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// errSilent stands for a copy of a call that gets no answer.
var errSilent = errors.New("no answer")

// repeatWith repeats an order whose copies are answered as given, in the order in which they are sent. Copies beyond these get no
// answer. It returns the time that the order took, the number of copies and the result.
func repeatWith(t *testing.T, answers ...error) (took time.Duration, copies int, err error) {
	var sent atomic.Int64
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		err = newNode().repeatOrder(t.Context(), func(ctx context.Context) error {
			i := int(sent.Add(1)) - 1
			if i >= len(answers) || errors.Is(answers[i], errSilent) {
				<-ctx.Done()
				return ctx.Err()
			}
			return answers[i]
		})
		took = time.Since(began)
	})
	return took, int(sent.Load()), err
}

// Guards against a task that runs twice because a copy of its start is carried out late after another copy was rejected, and
// against results that are reported as unknown although they are certain.
func TestRepeatedCallIsConclusiveOnlyForAllCopies(t *testing.T) {
	room, old, broken := &RejectedError{Reason: "room"}, &RejectedError{Reason: "old"}, errors.New("EOF")
	for _, test := range []struct {
		name    string
		answers []error
		result  error
		// rejected is set if the order certainly has no effect.
		rejected bool
		took     time.Duration
		copies   int
	}{
		{"answered at once", []error{nil}, nil, false, 0, 1},
		{"rejected at once", []error{room}, room, true, 0, 1},
		{"second copy answered", []error{errSilent, nil}, nil, false, repeatInterval, 2},
		{"second copy rejected for its own time", []error{errSilent, room}, errInconclusive, false, orderTimeout, 2},
		{"second copy not delivered", []error{errSilent, ErrRefused}, errInconclusive, false, orderTimeout, 2},
		{"second copy rejected since the run has ended", []error{errSilent, old}, errInconclusive, false, orderTimeout, 2},
		{"connection broken, second copy answered", []error{broken, nil}, nil, false, repeatInterval, 2},
		{"connection broken, second copy not delivered", []error{broken, ErrRefused}, errInconclusive, false, repeatInterval, 2},
		{"second connection broken, third copy answered", []error{errSilent, broken, nil}, nil, false, 2 * repeatInterval, 3},
		{"no answer", nil, errInconclusive, false, orderTimeout, maxCopies},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			took, copies, err := repeatWith(t, test.answers...)
			c.Check(errors.Is(err, test.result), qt.IsTrue, qt.Commentf("%v", err))
			_, rejected := rejectionReason(err)
			c.Check(rejected, qt.Equals, test.rejected)
			c.Check(took, qt.Equals, test.took)
			c.Check(copies, qt.Equals, test.copies)
		})
	}
}

// holdRecorder records the hold calls that an executor gets. It answers none.
type holdRecorder struct {
	Executor
	mu    sync.Mutex
	calls []holdCall
}

func (r *holdRecorder) Hold(ctx context.Context, _ string, _, ack, deadline int64, wait time.Duration) (*RunLists, error) {
	r.mu.Lock()
	r.calls = append(r.calls, holdCall{ack: ack, deadline: deadline, wait: wait})
	r.mu.Unlock()
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against ends that are lost, and against runs that outlive the lease that the owner knows, because a repeated renewal is
// carried out late by the next incarnation under the executor's ID.
func TestRepeatedHoldCarriesOnlyWhatIsNeeded(t *testing.T) {
	for _, urgent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			recorder := &holdRecorder{}
			n := newNode()
			n.executor = recorder
			h := holdCall{incarnation: "i-1@1000", ack: 5, deadline: 9000, wait: holdWait}
			if !urgent {
				h.renewedUntil = time.Now().Add(owner.ExecutorLeaseDuration)
			}
			ctx, cancel := context.WithTimeout(t.Context(), holdWait+holdResponseMargin)
			defer cancel()
			_, err := repeat(ctx, repetition{patience: h.wait, copies: maxCopies}, func(ctx context.Context, first bool) (holdAnswer, error) { return n.sendHold(ctx, &h, first) })
			c.Assert(errors.Is(err, errInconclusive), qt.IsTrue)
			synctest.Wait()
			c.Assert(recorder.calls, qt.HasLen, maxCopies)
			c.Check(recorder.calls[0].ack, qt.Equals, int64(5))
			c.Check(recorder.calls[0].deadline, qt.Equals, int64(9000))
			for _, call := range recorder.calls[1:] {
				c.Check(call.ack, qt.Equals, int64(0))
				c.Check(call.deadline > 0, qt.Equals, urgent)
				c.Check(call.wait, qt.Equals, time.Duration(0))
			}
		})
	}
}

// Guards against a start that is taken as unknown, so that it is stopped before the task starts elsewhere, although all copies
// of it were rejected, later than the first one was repeated.
func TestLateRejectionsOfAllCopiesAreConclusive(t *testing.T) {
	for _, answer := range []error{ErrNotDelivered, &RejectedError{Reason: workflow.ReasonRoom}} {
		for _, after := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond} {
			synctest.Test(t, func(t *testing.T) {
				err := newNode().repeatOrder(t.Context(), func(ctx context.Context) error {
					select {
					case <-time.After(after):
						return answer
					case <-ctx.Done():
						return ErrNotDelivered
					}
				})
				_, rejected := rejectionReason(err)
				qt.Check(t, rejected, qt.IsTrue, qt.Commentf("all copies answered %q after %v, or were not sent: %v", answer, after, err))
			})
		}
	}
}

// Guards against orders that an executor fetches more than once, and against one that it never fetches, which is withdrawn, being
// taken as unknown.
func TestOrdersInMailboxAreNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := NewMailbox()
		m.Fetch(firstIncarnation, &RunLists{})
		n := newNode()
		n = New(n.name, n.address, m, n.locator, n.rpc, clocktest.NewHost(), n.log, tally.NoopScope)
		order := func() error {
			return n.repeatOrder(t.Context(), func(ctx context.Context) error { return m.Start(ctx, firstIncarnation, Start{Task: "t", Run: 1}) })
		}
		_, rejected := rejectionReason(order())
		c.Assert(rejected, qt.IsTrue)
		done := make(chan error, 1)
		go func() { done <- order() }()
		time.Sleep(700 * time.Millisecond)
		c.Assert(m.Fetch(firstIncarnation, &RunLists{}).Starts, qt.HasLen, 1)
		c.Assert(<-done, qt.IsNil)
	})
}

// paceRecorder answers hold calls, which it records, and no pace calls.
type paceRecorder struct {
	Executor
	mu    sync.Mutex
	holds []time.Time
	lists *RunLists
}

func (r *paceRecorder) Hold(_ context.Context, _ string, _, _, _ int64, wait time.Duration) (*RunLists, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holds = append(r.holds, time.Now())
	time.Sleep(min(wait, 10*time.Millisecond))
	return r.lists, nil
}

func (r *paceRecorder) SetPace(ctx context.Context, _, _ string, _, _ int, _ int64) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against leases that lapse because their renewals wait for pace calls without an answer, one for each best-effort run.
func TestPaceCallsDoNotHoldRenewalsBack(t *testing.T) {
	for _, runs := range []int{1, 5, 9, 12} {
		synctest.Test(t, func(t *testing.T) {
			n := newNode()
			x := &paceRecorder{lists: &RunLists{ClockMillis: 1, EndsComplete: true, Running: []workflow.RunState{{Task: "s", Run: 1, Usage: 200}}}}
			n.traits["s"] = workflow.RunTraits{Task: "s", TargetMillis: 100, Image: "serving"}
			for i := range runs {
				name := fmt.Sprintf("b%d", i)
				x.lists.Running = append(x.lists.Running, workflow.RunState{Task: name, Run: 1})
				n.traits[name] = workflow.RunTraits{Task: name, Image: "filling", BestEffort: true, MilliCores: 500}
			}
			n.executor = x
			ctx, cancel := context.WithCancel(t.Context())
			go n.holdLoop(ctx)
			time.Sleep(20 * time.Second)
			cancel()
			time.Sleep(2 * time.Second)
			longest := time.Duration(0)
			for i := 1; i < len(x.holds); i++ {
				longest = max(longest, x.holds[i].Sub(x.holds[i-1]))
			}
			// Lists that are older than that renew no lease at the owner.
			qt.Check(t, longest < 1300*time.Millisecond, qt.IsTrue, qt.Commentf("%d best-effort runs: %v between two hold calls", runs, longest))
		})
	}
}
