package requests

import (
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/agent/requests/upstreamtest"
	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Guards against bodies without a length that are cut, exceed their limit, or take other memory than their size.
func TestReadHeld(t *testing.T) {
	whole := strings.Repeat("0123456789abcdef", (structs.MaxAnswerBody+16)/16)
	for _, full := range []bool{false, true} {
		for _, size := range []int{0, 1, firstRead - 1, firstRead, firstRead + 1, structs.MaxAnswerBody, structs.MaxAnswerBody + 1} {
			for _, declared := range []bool{false, true} {
				memory := limit.NewMemoryBudget(2 * structs.MaxAnswerBody)
				if full {
					// The room of first reads is taken by others.
					qt.Assert(t, memory.NewReservation(structs.PriorityCritical, time.Time{}, structs.MaxAnswerBody).HoldBody(), qt.IsTrue)
				}
				before := memory.Used()
				share := memory.NewReservation(structs.PriorityNormal, time.Now().Add(time.Hour), firstRead)
				length := int64(-1)
				if declared {
					length = int64(size)
				}
				body, err := readHeld(t.Context(), responseMemory{share, newLedger(defaultTableLimits, clock.System{})}, io.MultiReader(strings.NewReader(whole[:size])), length)
				comment := qt.Commentf("size %d, declared %v, full %v", size, declared, full)
				if size > structs.MaxAnswerBody {
					qt.Assert(t, err, qt.Equals, errTooLarge, comment)
				} else {
					qt.Assert(t, err, qt.IsNil, comment)
					qt.Assert(t, string(body) == whole[:size], qt.IsTrue, comment)
					qt.Assert(t, memory.Used()-before, qt.Equals, int64(size), comment)
				}
				share.Release()
				qt.Assert(t, memory.Used(), qt.Equals, before, comment)
			}
		}
	}
}

func waitUntil(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for range 10_000 {
		if reached() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal(what)
}

// Guards against concurrent responses that take memory without a bound, and against one that is given up although it only
// has to wait.
func TestResponsesBeyondMemoryWait(t *testing.T) {
	a := newTestAgent(t, nil)
	other := a.responses.NewReservation(structs.PriorityNormal, time.Now().Add(time.Hour), 0)
	qt.Assert(t, other.Hold(t.Context(), structs.MaxAnswerBody+1), qt.IsNil)
	id := a.nextID()
	got := a.start(call{id: id, header: map[string]string{upstreamtest.HeaderSize: strconv.Itoa(structs.MaxAnswerBody)}})
	waitUntil(t, "the response doesn't wait", func() bool { return a.responses.Waiting() == 1 })
	a.inState(id, running)
	other.Release()
	reply := <-got
	qt.Assert(t, reply.outcome, qt.Equals, structs.OutcomeAnswered)
	qt.Assert(t, len(reply.body), qt.Equals, structs.MaxAnswerBody)
	waitUntil(t, "bytes remain held", func() bool { return a.responses.Used() == 0 })
}

// Guards against memory that is lost with an entry that has gone, or with an upstream that fails.
func TestEndedAttemptsHoldNoResponse(t *testing.T) {
	a := newTestAgent(t, nil)
	for _, fault := range []upstreamtest.Fault{upstreamtest.FaultTruncate, upstreamtest.FaultBreakAfter} {
		reply := a.mustSend(call{id: a.nextID(), body: "body", header: map[string]string{upstreamtest.HeaderFault: string(fault)}})
		qt.Assert(t, reply.outcome, qt.Equals, structs.OutcomeUnknown)
		waitUntil(t, "bytes remain held", func() bool { return a.responses.Used() == 0 })
	}
	other := a.responses.NewReservation(structs.PriorityNormal, time.Now().Add(time.Hour), 0)
	qt.Assert(t, other.Hold(t.Context(), 16<<20), qt.IsNil)
	// The entry is told that the outcome is unknown, and goes. The response arrives later and is retained.
	id := a.nextID()
	reply := a.mustSend(call{id: id, body: "body", budget: 100 * time.Millisecond})
	qt.Assert(t, reply.outcome, qt.Equals, structs.OutcomeUnknown)
	other.Release()
	a.inState(id, finished)
	waitUntil(t, "bytes remain held", func() bool { return a.responses.Used() == 0 })
}

// Guards against passing and retained responses that together take more than the bound of the latter, and against a
// response that makes way for itself.
func TestRetainedResponsesMakeWayForPassingOnes(t *testing.T) {
	a := newTestAgent(t, nil)
	header := map[string]string{upstreamtest.HeaderSize: strconv.Itoa(structs.MaxAnswerBody - 4096)}
	var ids []string
	for range 4 {
		ids = append(ids, a.nextID())
		qt.Assert(t, a.mustSend(call{id: ids[len(ids)-1], header: header}).outcome, qt.Equals, structs.OutcomeAnswered)
		waitUntil(t, "bytes remain held", func() bool { return a.responses.Used() == 0 })
		a.inState(ids[len(ids)-1], finished)
	}
	// While the fourth passed, the first made way.
	a.inState(ids[0], evicted)
	a.inState(ids[1], finished)
	other := a.responses.NewReservation(structs.PriorityNormal, time.Now().Add(time.Hour), 0)
	passing := responseMemory{other, a.ledger}
	qt.Assert(t, passing.Hold(t.Context(), 16<<20), qt.IsNil)
	_, retained, bytes := a.ledger.sizes()
	qt.Assert(t, retained, qt.Equals, 2)
	qt.Assert(t, bytes+a.responses.Used() <= defaultTableLimits.AnswerBytes, qt.IsTrue)
	a.inState(ids[1], evicted)
	a.inState(ids[3], finished)
}
