package limit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/poll"
)

var testStart = time.Unix(1_700_000_000, 0)

// Guards against a budget that accumulates tokens without limit, or that allows more than its share in a retry storm.
func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget(0.1, 3)
	taken := 0
	for i := range 10_000 {
		now := testStart.Add(time.Duration(i) * time.Millisecond)
		b.CreditRequest(now)
		for b.Take(now) {
			taken++
		}
	}
	// 10% of 10,000 requests, 3 tokens per second for 10 s, and the 3 initial tokens.
	qt.Assert(t, taken >= 1030 && taken <= 1034, qt.IsTrue, qt.Commentf("%d", taken))
	late := testStart.Add(24 * time.Hour)
	burst := 0
	for b.Available(late) && b.Take(late) {
		burst++
	}
	qt.Assert(t, burst, qt.Equals, 30)
	qt.Assert(t, b.Take(testStart), qt.IsFalse, qt.Commentf("an earlier time must not add tokens"))
}

// Guards against rejections that don't report when a token is available, or that take a token.
func TestRateLimiter(t *testing.T) {
	r := NewRateLimiter(10, 2)
	for range 2 {
		ok, _ := r.Allow(testStart)
		qt.Assert(t, ok, qt.IsTrue)
	}
	for range 3 {
		ok, after := r.Allow(testStart)
		qt.Assert(t, ok, qt.IsFalse)
		qt.Assert(t, after, qt.Equals, 100*time.Millisecond)
	}
	ok, _ := r.Allow(testStart.Add(100 * time.Millisecond))
	qt.Assert(t, ok, qt.IsTrue)
}

func farDeadline() time.Time { return time.Now().Add(time.Hour) }

// newReservation returns a reservation for a request without a body.
func newReservation(priority structs.Priority, deadline time.Time) *Reservation {
	return NewMemoryBudget(1<<20).NewReservation(priority, deadline, 0)
}

func waitForWaitingRequests(t *testing.T, l *InFlight, n int) {
	t.Helper()
	poll.Until(t, fmt.Sprint(n, " requests wait"), func() bool {
		_, waiting := l.Counts()
		return waiting == n
	})
}

// Guards against admission in another order than by priority and then by deadline.
func TestInFlightOrder(t *testing.T) {
	l := NewInFlight(1, 8, time.Minute)
	release, err := l.Acquire(t.Context(), newReservation(structs.PriorityLow, farDeadline()))
	qt.Assert(t, err, qt.IsNil)
	order := make(chan string, 4)
	var requests sync.WaitGroup
	add := func(name string, priority structs.Priority, deadline time.Time) {
		_, waiting := l.Counts()
		requests.Go(func() {
			next, err := l.Acquire(t.Context(), newReservation(priority, deadline))
			if err != nil {
				order <- err.Error()
				return
			}
			order <- name
			next()
		})
		waitForWaitingRequests(t, l, waiting+1)
	}
	deadline := farDeadline()
	add("low", structs.PriorityLow, deadline.Add(-time.Minute))
	add("normal, later", structs.PriorityNormal, deadline)
	add("normal, sooner", structs.PriorityNormal, deadline.Add(-time.Minute))
	add("critical", structs.PriorityCritical, deadline)
	release()
	for _, want := range []string{"critical", "normal, sooner", "normal, later", "low"} {
		qt.Assert(t, <-order, qt.Equals, want)
	}
	// The last request sends its name before it is released.
	requests.Wait()
	running, waiting := l.Counts()
	qt.Assert(t, running+waiting, qt.Equals, 0)
}

// Guards against a full queue that blocks important requests, and against rejections that are delayed.
func TestInFlightFullQueue(t *testing.T) {
	l := NewInFlight(1, 1, time.Minute)
	release, err := l.Acquire(t.Context(), newReservation(structs.PriorityLow, farDeadline()))
	qt.Assert(t, err, qt.IsNil)
	evicted, admitted := make(chan error, 1), make(chan error, 1)
	go func() {
		_, err := l.Acquire(t.Context(), newReservation(structs.PriorityNormal, farDeadline()))
		evicted <- err
	}()
	waitForWaitingRequests(t, l, 1)
	_, err = l.Acquire(t.Context(), newReservation(structs.PriorityLow, farDeadline()))
	var rejection *RejectedError
	qt.Assert(t, errors.As(err, &rejection), qt.IsTrue)
	qt.Assert(t, rejection.RetryAfter > 0, qt.IsTrue)
	go func() {
		next, err := l.Acquire(t.Context(), newReservation(structs.PriorityCritical, farDeadline()))
		admitted <- err
		next()
	}()
	qt.Assert(t, <-evicted, qt.ErrorMatches, ".*a more important request.*")
	release()
	qt.Assert(t, <-admitted, qt.IsNil)
}

// Guards against waiting when admission can't come before the deadline, and against capacity that is lost when a waiting
// request is cancelled.
func TestInFlightDeadlineAndCancel(t *testing.T) {
	l := NewInFlight(1, 8, time.Minute)
	release, err := l.Acquire(t.Context(), newReservation(structs.PriorityNormal, farDeadline()))
	qt.Assert(t, err, qt.IsNil)
	_, err = l.Acquire(t.Context(), newReservation(structs.PriorityNormal, time.Now().Add(initialHoldTime/2)))
	qt.Assert(t, err, qt.ErrorMatches, ".*the wait would be too long")
	ctx, cancel := context.WithCancel(t.Context())
	gone := make(chan error, 1)
	go func() {
		_, err := l.Acquire(ctx, newReservation(structs.PriorityNormal, farDeadline()))
		gone <- err
	}()
	waitForWaitingRequests(t, l, 1)
	cancel()
	qt.Assert(t, <-gone, qt.ErrorMatches, ".*the caller went away")
	release()
	release()
	running, waiting := l.Counts()
	qt.Assert(t, running+waiting, qt.Equals, 0)
}

// Guards against estimates that decrease with a longer queue or a smaller limit.
func TestEstimateWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ahead, limit := rapid.IntRange(0, 1000).Draw(t, "ahead"), rapid.IntRange(1, 1000).Draw(t, "limit")
		hold := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "hold"))
		if EstimateWait(ahead+1, limit, hold) < EstimateWait(ahead, limit, hold) ||
			EstimateWait(ahead, limit, hold) < EstimateWait(ahead, limit+1, hold) {
			t.Fatal("the estimate is not monotonic")
		}
	})
}
