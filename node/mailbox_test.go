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
	firstIncarnation  = "i-1@1000"
	secondIncarnation = "i-1@2000"
)

// startInBackground queues a start in a goroutine and returns the channel of its result.
func startInBackground(t *testing.T, m *Mailbox, incarnation string, s Start) <-chan error {
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), orderTimeout)
		defer cancel()
		result <- m.Start(ctx, incarnation, s)
	}()
	synctest.Wait()
	return result
}

// Guards against orders that are not delivered to the executor, or are delivered twice.
func TestMailboxDeliversOrdersOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := NewMailbox()
		m.Fetch(firstIncarnation, &RunLists{})
		started := startInBackground(t, m, firstIncarnation, Start{Task: "t", Run: 1, Fence: 5})
		commands := m.Fetch(firstIncarnation, &RunLists{})
		c.Assert(<-started, qt.IsNil)
		c.Assert(commands.Starts, qt.HasLen, 1)
		c.Assert(commands.Fence, qt.Equals, int64(5))
		c.Assert(m.Fetch(firstIncarnation, &RunLists{}).Starts, qt.HasLen, 0)
	})
}

// Guards against a start that is reported as not delivered but is still fetched later, when its task may run elsewhere.
func TestMailboxWithdrawsTimedOutOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := NewMailbox()
		m.Fetch(firstIncarnation, &RunLists{})
		started := startInBackground(t, m, firstIncarnation, Start{Task: "t", Run: 1})
		time.Sleep(orderTimeout)
		c.Assert(errors.Is(<-started, ErrNotDelivered), qt.IsTrue)
		c.Assert(m.Fetch(firstIncarnation, &RunLists{}).Starts, qt.HasLen, 0)
	})
}

// Guards against starts, leases and acknowledgements that are meant for one incarnation of an executor but reach its next
// incarnation under the same ID.
func TestMailboxSeparatesIncarnations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := NewMailbox()
		m.Fetch(firstIncarnation, &RunLists{ClockMillis: 1000})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go func() { _, _ = m.Hold(ctx, firstIncarnation, 5, 7, 9000, 0) }()
		started := startInBackground(t, m, firstIncarnation, Start{Task: "t", Run: 1, Fence: 5, DeadlineMillis: 9000})
		commands := m.Fetch(secondIncarnation, &RunLists{ClockMillis: 0})
		c.Assert(errors.Is(<-started, ErrOtherIncarnation), qt.IsTrue)
		c.Assert(commands.Starts, qt.HasLen, 0)
		c.Assert(commands.Ack, qt.Equals, int64(0))
		c.Assert(commands.LeaseMillis, qt.Equals, int64(0))
	})
}

// Guards against a lease that lasts longer than the owner granted because it counts from the arrival of the response.
func TestMailboxShortensLeasesByResponseDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := NewMailbox()
		m.Fetch(firstIncarnation, &RunLists{ClockMillis: 1000})
		done := make(chan *RunLists, 1)
		go func() {
			lists, _ := m.Hold(t.Context(), firstIncarnation, 5, 7, 7000, 0)
			done <- lists
		}()
		synctest.Wait()
		commands := m.Fetch(firstIncarnation, &RunLists{ClockMillis: 1500, Running: []workflow.RunState{{Task: "t"}}})
		c.Assert(commands.LeaseMillis, qt.Equals, int64(7000-1500)-maxResponseDelay.Milliseconds())
		c.Assert(commands.Ack, qt.Equals, int64(7))
		c.Assert((<-done).Running, qt.HasLen, 1)
		c.Assert(m.Fetch(firstIncarnation, &RunLists{ClockMillis: 6500}).LeaseMillis, qt.Equals, int64(0))
	})
}

// Guards against orders of a former owner that are delivered together with those of the current owner, or after them.
func TestMailboxRejectsLowerFences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := NewMailbox()
		m.Fetch(firstIncarnation, &RunLists{})
		former := startInBackground(t, m, firstIncarnation, Start{Task: "t", Run: 1, Fence: 5})
		current := startInBackground(t, m, firstIncarnation, Start{Task: "u", Run: 1, Fence: 6})
		commands := m.Fetch(firstIncarnation, &RunLists{})
		var rejected *RejectedError
		c.Assert(errors.As(<-former, &rejected), qt.IsTrue)
		c.Assert(<-current, qt.IsNil)
		c.Assert(commands.Starts, qt.HasLen, 1)
		late := startInBackground(t, m, firstIncarnation, Start{Task: "t", Run: 1, Fence: 5})
		c.Assert(m.Fetch(firstIncarnation, &RunLists{}).Starts, qt.HasLen, 0)
		c.Assert(errors.As(<-late, &rejected), qt.IsTrue)
	})
}

// Guards against a start that is handed out after its lease has ended, together with a newer lease: its task may run elsewhere.
// The time limit of the order stands still while the host is suspended.
func TestMailboxRejectsStartsAfterTheirDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := NewMailbox()
		m.Fetch(firstIncarnation, &RunLists{ClockMillis: 1000})
		late := startInBackground(t, m, firstIncarnation, Start{Task: "t", Run: 1, Fence: 5, DeadlineMillis: 7000})
		inTime := startInBackground(t, m, firstIncarnation, Start{Task: "u", Run: 1, Fence: 5, DeadlineMillis: 15000})
		commands := m.Fetch(firstIncarnation, &RunLists{ClockMillis: 9000})
		c.Check(commands.Starts, qt.HasLen, 1)
		c.Check(commands.LeaseMillis, qt.Equals, int64(15000-9000)-maxResponseDelay.Milliseconds())
		var rejected *RejectedError
		c.Check(errors.As(<-late, &rejected), qt.IsTrue)
		c.Check(<-inTime, qt.IsNil)
	})
}
