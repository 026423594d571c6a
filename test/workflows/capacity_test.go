package workflows_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// capacityBound is the time after a change of an executor's capacity from which starts must respect it: 3 s and one heartbeat.
const capacityBound = 3*time.Second + announceInterval

// setCapacity sets the capacity of a host's executor in cores.
func (h *host) setCapacity(cores int64) {
	description, _ := h.executor.Describe()
	h.fleet.checker.recordCapacityChange(description.ID)
	h.executor.SetCapacity(structs.Resources{MilliCores: cores * 1000, MemoryMB: 8000})
}

// mostRunning returns the largest number of runs that an executor has within a time.
func (f *fleet) mostRunning(h *host, within time.Duration) int {
	most := 0
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		description, _ := h.executor.Describe()
		most = max(most, f.checker.runningOn(description.IncarnationID()))
	}
	return most
}

// Guards against starts beyond the capacity of an executor that has shrunk, and against room that is never used again.
func TestStartsFollowCapacity(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		var ids []string
		for range 40 {
			ids = append(ids, f.submit(20))
		}
		h := f.hosts[0]
		f.Assert(f.mostRunning(h, 2*time.Second), qt.Equals, 4)
		h.setCapacity(2)
		time.Sleep(capacityBound + taskTime)
		f.Assert(f.mostRunning(h, 4*time.Second) <= 2, qt.IsTrue)
		h.setCapacity(0)
		time.Sleep(capacityBound + taskTime)
		f.Assert(f.mostRunning(h, 4*time.Second), qt.Equals, 0)
		h.setCapacity(4)
		time.Sleep(capacityBound)
		f.Assert(f.mostRunning(h, 4*time.Second), qt.Equals, 4)
		f.waitCompleted(90*time.Second, ids...)
	})
}

// Guards against starts beyond a capacity that shrank while the store was slow: the starts were decided on before.
func TestStartsFollowCapacityWhileStoreIsSlow(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		var ids []string
		for range 12 {
			ids = append(ids, f.submit(20))
		}
		f.setStoreFaults(kvtest.Faults{Delay: 700 * time.Millisecond})
		h := f.hosts[0]
		h.setCapacity(2)
		time.Sleep(capacityBound + taskTime)
		f.Assert(f.mostRunning(h, 4*time.Second) <= 2, qt.IsTrue)
		f.setStoreFaults(kvtest.Faults{Delay: storeDelay})
		f.waitCompleted(90*time.Second, ids...)
	})
}

// Guards against a job that is lost because its tasks fit no executor for a time.
func TestTasksWaitForCapacity(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		for _, h := range f.hosts {
			h.setCapacity(0)
		}
		time.Sleep(capacityBound)
		id := f.submit(4)
		time.Sleep(10 * time.Second)
		f.Assert(f.phase(id), qt.Equals, workflow.Pending)
		f.hosts[1].setCapacity(1)
		f.waitCompleted(20*time.Second, id)
	})
}
