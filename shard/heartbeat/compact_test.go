package heartbeat_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/shard/heartbeat"
	"github.com/quetzalshed/quetzalshed/structs"
)

// mutate applies a random change to the state of an agent.
func mutate(random *rand.Rand, hb *structs.Heartbeat) {
	running := slices.Clone(hb.Running)
	switch random.IntN(8) {
	case 0:
		id := strconv.FormatInt(hb.Sequence, 10)
		running = append(running, structs.AllocationState{Allocation: structs.Allocation{ID: id, Class: "c"}})
	case 1:
		if len(running) > 0 {
			running = slices.Delete(running, 0, 1)
		}
	case 2:
		if len(running) > 0 {
			running[random.IntN(len(running))].State = structs.TaskState(strconv.Itoa(random.IntN(3)))
		}
	case 3:
		if random.IntN(10) == 0 {
			hb.Incarnation += "x"
		}
	}
	slices.SortFunc(running, func(a, b structs.AllocationState) int { return cmp.Compare(a.Allocation.ID, b.Allocation.ID) })
	hb.Running = running
}

// Guards against an owner that acts on an outdated state of the agent. Whichever requests and replies are lost, a
// heartbeat that the owner accepts must expand to the agent's current state, or be rejected.
func TestExpandRestoresOmittedFields(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(7, 11))
	var compactor heartbeat.Compactor
	var base *heartbeat.Base
	full := structs.Heartbeat{Worker: structs.Worker{Name: "w", Rack: "r"}, Incarnation: "i", Epoch: 1}
	compact, rejected := 0, 0
	for range 5000 {
		full.Sequence++
		mutate(random, &full)
		wire := compactor.Compact(full)
		if random.IntN(12) == 0 {
			continue // The request is lost.
		}
		if wire.Base != 0 {
			compact++
		}
		if err := heartbeat.Expand(base, &wire); err != nil {
			rejected++
			continue
		}
		c.Assert(wire.Worker, qt.Equals, full.Worker)
		c.Assert(len(wire.Running), qt.Equals, len(full.Running))
		for i := range full.Running {
			c.Assert(wire.Running[i], qt.Equals, full.Running[i])
		}
		base = &heartbeat.Base{
			Incarnation: wire.Incarnation, Sequence: wire.Sequence, Worker: wire.Worker, Running: map[string]structs.AllocationState{},
		}
		for _, running := range wire.Running {
			base.Running[running.Allocation.ID] = running
		}
		if random.IntN(12) > 0 {
			compactor.Acknowledge(full, full.Epoch)
		}
	}
	c.Assert(compact > 2000, qt.IsTrue, qt.Commentf("%d of 5000 heartbeats were compact, %d rejected", compact, rejected))
}

// Guards against heartbeats that are relative to one of an earlier epoch, which the new owner doesn't have.
func TestFirstHeartbeatOfEpochIsComplete(t *testing.T) {
	c := qt.New(t)
	var compactor heartbeat.Compactor
	hb := structs.Heartbeat{Sequence: 1, Epoch: 1}
	compactor.Compact(hb)
	compactor.Acknowledge(hb, 2)
	hb = structs.Heartbeat{Sequence: 2, Epoch: 2}
	c.Assert(compactor.Compact(hb).Base, qt.Equals, int64(0))
	c.Assert(heartbeat.Expand(nil, &structs.Heartbeat{Base: 1}), qt.ErrorIs, heartbeat.ErrIncomplete)
}
