package owner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// endingPlays is how often a test lets a term end beside a write and events: the loop takes cases that are ready in any order.
const endingPlays = 30

// runUntilPlannedStop runs the loop of a term whose store doesn't answer, and applies two events: the first changes the state, the second
// comes after the term has ended. It returns the error of the loop, and whether the callback of either event was called.
func runUntilPlannedStop(t *testing.T) (err error, released bool) {
	client := kvtest.New().Client(1)
	term := acquire(t, client)
	client.SetFaults(kvtest.Faults{Unresponsive: true})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error)
	// The loop is held while the term ends, as by a pause of the host, so that it finds the write, the event and the end waiting.
	hold := make(chan struct{})
	event := func(id string, wait <-chan struct{}) event {
		return func(now, wall time.Time) func() {
			term.engine.Add(workflow.Job{ID: id, Queue: workflow.Queue{Name: "q", Pool: "pool"}, Steps: []workflow.Step{{Count: 1}}}, nil, now, wall)
			term.engine.Cancel(id, now, wall)
			<-wait
			return func() { released = true }
		}
	}
	go func() { ended <- term.loop(ctx, make(chan func())) }()
	open := make(chan struct{})
	close(open)
	term.events <- event("00000000000000aa", open)
	time.Sleep(2 * flushInterval)
	term.events <- event("00000000000000bb", hold)
	time.Sleep(flushInterval)
	stop()
	synctest.Wait()
	term.events <- event("00000000000000cc", open)
	close(hold)
	return <-ended, released
}

// Guards against ends that are acknowledged, and starts that are sent, though the write that they wait for was cut off by a planned stop.
// The next owner doesn't read of them and starts the tasks again.
func TestPlannedStopReleasesNothingUnstored(t *testing.T) {
	for play := range endingPlays {
		synctest.Test(t, func(t *testing.T) {
			err, released := runUntilPlannedStop(t)
			qt.Assert(t, released, qt.IsFalse, qt.Commentf("play %d", play))
			qt.Assert(t, err, qt.ErrorIs, errTermEnded)
		})
	}
}

// Guards against the same at its source: a write that ends without an answer of the store must not look like a stored one, for whatever
// reason its context has ended.
func TestWriteCutOffIsAnError(t *testing.T) {
	for name, cause := range map[string]error{"planned stop": nil, "ownership lost": errOwnershipLost, "other": fmt.Errorf("other")} {
		for _, faults := range []kvtest.Faults{{Unresponsive: true}, {Unavailable: true}, {ResponseLoss: 1, CommitDelay: time.Hour}} {
			synctest.Test(t, func(t *testing.T) {
				client := kvtest.New().Client(1)
				term := acquire(t, client)
				client.SetFaults(faults)
				ctx, cancel := context.WithCancelCause(t.Context())
				time.AfterFunc(3*time.Second, func() { cancel(cause) })
				qt.Assert(t, term.write(ctx, kv.Transaction{}), qt.IsNotNil, qt.Commentf("%s, %+v", name, faults))
			})
		}
	}
}
