package node

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	firstLife  = "i-1@1000"
	secondLife = "i-1@2000"
)

// startLater posts a start in the background and returns its result.
func startLater(t *testing.T, m *Mailbox, life string, s Start) <-chan error {
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), orderTimeout)
		defer cancel()
		result <- m.Start(ctx, life, s)
	}()
	synctest.Wait()
	return result
}

// Guards against an executor that doesn't get its orders, or gets them twice.
func TestMailboxHandsOrdersOutOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := NewMailbox()
		m.Fetch(firstLife, &Lists{})
		started := startLater(t, m, firstLife, Start{Task: "t", Run: 1, Fence: 5})
		commands := m.Fetch(firstLife, &Lists{})
		c.Assert(<-started, qt.IsNil)
		c.Assert(commands.Starts, qt.HasLen, 1)
		c.Assert(commands.Fence, qt.Equals, int64(5))
		c.Assert(m.Fetch(firstLife, &Lists{}).Starts, qt.HasLen, 0)
	})
}

// Guards against a start that is reported as not carried out and is handed out later, when its task may run elsewhere.
func TestMailboxTakesOrdersBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := NewMailbox()
		m.Fetch(firstLife, &Lists{})
		started := startLater(t, m, firstLife, Start{Task: "t", Run: 1})
		time.Sleep(orderTimeout)
		c.Assert(errors.Is(<-started, ErrNotReached), qt.IsTrue)
		c.Assert(m.Fetch(firstLife, &Lists{}).Starts, qt.HasLen, 0)
	})
}

// Guards against starts, leases and acknowledgements that reach the next incarnation of an executor under the same ID.
func TestMailboxKeepsIncarnationsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := NewMailbox()
		m.Fetch(firstLife, &Lists{ClockMillis: 1000})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go func() { _, _ = m.Hold(ctx, firstLife, 5, 7, 9000, 0) }()
		started := startLater(t, m, firstLife, Start{Task: "t", Run: 1, Fence: 5, DeadlineMillis: 9000})
		commands := m.Fetch(secondLife, &Lists{ClockMillis: 0})
		c.Assert(errors.Is(<-started, ErrAnotherLife), qt.IsTrue)
		c.Assert(commands.Starts, qt.HasLen, 0)
		c.Assert(commands.Ack, qt.Equals, int64(0))
		c.Assert(commands.HoldMillis, qt.Equals, int64(0))
	})
}

// Guards against a lease that lasts longer than the owner allows, since it counts from the arrival of the answer.
func TestMailboxShortensLeasesByTheWayOfTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := NewMailbox()
		m.Fetch(firstLife, &Lists{ClockMillis: 1000})
		done := make(chan *Lists, 1)
		go func() {
			lists, _ := m.Hold(t.Context(), firstLife, 5, 7, 7000, 0)
			done <- lists
		}()
		synctest.Wait()
		commands := m.Fetch(firstLife, &Lists{ClockMillis: 1500, Running: []workflow.RunState{{Task: "t"}}})
		c.Assert(commands.HoldMillis, qt.Equals, int64(7000-1500)-answerTime.Milliseconds())
		c.Assert(commands.Ack, qt.Equals, int64(7))
		c.Assert((<-done).Running, qt.HasLen, 1)
		c.Assert(m.Fetch(firstLife, &Lists{ClockMillis: 6500}).HoldMillis, qt.Equals, int64(0))
	})
}

// Guards against the orders of a former owner that wait beside those of the present one.
func TestMailboxRefusesLowerFences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := NewMailbox()
		m.Fetch(firstLife, &Lists{})
		former := startLater(t, m, firstLife, Start{Task: "t", Run: 1, Fence: 5})
		present := startLater(t, m, firstLife, Start{Task: "u", Run: 1, Fence: 6})
		commands := m.Fetch(firstLife, &Lists{})
		var rejected *RejectedError
		c.Assert(errors.As(<-former, &rejected), qt.IsTrue)
		c.Assert(<-present, qt.IsNil)
		c.Assert(commands.Starts, qt.HasLen, 1)
		late := startLater(t, m, firstLife, Start{Task: "t", Run: 1, Fence: 5})
		c.Assert(m.Fetch(firstLife, &Lists{}).Starts, qt.HasLen, 0)
		c.Assert(errors.As(<-late, &rejected), qt.IsTrue)
	})
}
