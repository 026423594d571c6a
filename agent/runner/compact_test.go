package runner

import (
	"math/rand/v2"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Guards against an owner that acts on a state which the agent has left: whatever is lost on the way, a heartbeat that
// leaves its state out builds on one that was answered, directly before, with the same state.
func TestCompactHeartbeatsBuildOnAnsweredOnes(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(7, 11))
	var compact compactor
	full := structs.Heartbeat{Worker: structs.Worker{Name: "w", Rack: "r"}, Incarnation: "i", Epoch: 1}
	answered := map[int64]structs.Heartbeat{}
	left := 0
	for range 5000 {
		full.Sequence++
		full.Running = append([]structs.AllocationState(nil), full.Running...)
		switch random.IntN(12) {
		case 0:
			id := strconv.FormatInt(full.Sequence, 10)
			full.Running = append(full.Running, structs.AllocationState{Allocation: structs.Allocation{ID: id}})
		case 1:
			full.Running = full.Running[min(1, len(full.Running)):]
		case 2:
			if len(full.Running) > 0 {
				full.Running[0].State = structs.TaskState(strconv.Itoa(random.IntN(3)))
			}
		case 3:
			full.Epoch++
		}
		wire := compact.compact(full)
		compact.failed()
		if wire.Base != 0 {
			left++
			base, ok := answered[wire.Base]
			c.Assert(ok && wire.Base == full.Sequence-1, qt.IsTrue)
			c.Assert(append([]structs.AllocationState{}, base.Running...), qt.DeepEquals, append([]structs.AllocationState{}, full.Running...))
			c.Assert(base.Epoch, qt.Equals, full.Epoch)
		}
		if random.IntN(10) > 0 {
			compact.answered(full, full.Epoch)
			answered[full.Sequence] = full
		}
	}
	c.Assert(left > 1000, qt.IsTrue, qt.Commentf("%d of 5000 heartbeats were compact", left))
}
