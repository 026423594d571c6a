package guard_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/scheduler/guard"
	"github.com/quetzalshed/quetzalshed/structs"
)

var start = time.Date(2026, 5, 4, 10, 0, 0, 0, time.UTC)

func service(latency float64, age time.Duration) []guard.ServiceLatency {
	return []guard.ServiceLatency{{AllocationID: "s", LatencyMillis: latency, ObjectiveMillis: 100, Age: age}}
}

// runGuard calls Decide once per second with the same input, and returns the last state and action and all evicted tasks.
func runGuard(state guard.State, in guard.Input, from time.Time, seconds int) (guard.State, guard.Action, []string) {
	var action guard.Action
	var evicted []string
	for second := range seconds {
		state, action = guard.Decide(guard.Rules{}, state, in, from.Add(time.Duration(second)*time.Second))
		evicted = append(evicted, action.Evict...)
	}
	return state, action, evicted
}

func batch(ids ...string) []guard.BatchTask {
	var list []guard.BatchTask
	for i, id := range ids {
		list = append(list, guard.BatchTask{AllocationID: id, WorkDone: time.Duration(i) * time.Minute})
	}
	return list
}

// Each step must wait for measurements of the one before. Tasks must be evicted only after throttling to the lowest share,
// one at a time and the cheapest first.
func TestThrottleThenEvict(t *testing.T) {
	c := qt.New(t)
	var state guard.State
	var action guard.Action
	var history []float64
	var evicted []string
	tasks := batch("new", "old", "oldest")
	tasks[0].Urgent, tasks[2].Priority = true, -1
	for second := range 14 {
		in := guard.Input{Services: service(95, time.Second), Batch: tasks}
		state, action = guard.Decide(guard.Rules{}, state, in, start.Add(time.Duration(second)*time.Second))
		history, evicted = append(history, action.Share), append(evicted, action.Evict...)
		tasks = slices.DeleteFunc(tasks, func(b guard.BatchTask) bool { return slices.Contains(action.Evict, b.AllocationID) })
	}
	c.Assert(history, qt.DeepEquals, []float64{0.55, 0.55, 0.55, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1})
	c.Assert(evicted, qt.DeepEquals, []string{"oldest", "old"}, qt.Commentf("lowest priority first, one every 4 s, urgent last"))
}

// No task must be evicted while the latency is below EvictAt.
func TestNoEvictionBelowThreshold(t *testing.T) {
	c := qt.New(t)
	state, _, evicted := runGuard(guard.State{}, guard.Input{Services: service(85, time.Second), Batch: batch("a")}, start, 100)
	c.Assert(state.Level, qt.Equals, 6)
	c.Assert(evicted, qt.HasLen, 0)
}

// A missed objective must lead directly to the lowest share, and no task must be evicted while an eviction is in progress.
func TestMissedObjective(t *testing.T) {
	c := qt.New(t)
	in := guard.Input{Services: service(130, 0), Batch: batch("a", "b")}
	state, action := guard.Decide(guard.Rules{}, guard.State{}, in, start)
	c.Assert(action.Share, qt.Equals, 0.1)
	c.Assert(action.Reason, qt.Equals, guard.ReasonObjectiveMissed)
	in.Batch[1].Evicting = true
	_, action = guard.Decide(guard.Rules{}, state, in, start.Add(time.Minute))
	c.Assert(action.Evict, qt.HasLen, 0)
	in.Batch[1].Evicting = false
	_, action = guard.Decide(guard.Rules{}, state, in, start.Add(time.Minute))
	c.Assert(action.Evict, qt.DeepEquals, []string{"a"})
}

// A rising latency must be extrapolated over the measurement lag, so that throttling starts before the objective is missed.
func TestRisingLatencyIsExtrapolated(t *testing.T) {
	c := qt.New(t)
	var state guard.State
	var action guard.Action
	for second, latency := range []float64{50, 56, 62, 68} {
		c.Assert(action.Reason, qt.Not(qt.Equals), guard.ReasonLatency)
		in := guard.Input{Services: service(latency, 2*time.Second), Batch: batch("a")}
		state, action = guard.Decide(guard.Rules{}, state, in, start.Add(time.Duration(second)*time.Second))
	}
	c.Assert(action.Share, qt.Equals, 0.85, qt.Commentf("68 ms after three rises, 2 s ago"))
	_, action = guard.Decide(guard.Rules{}, guard.State{}, guard.Input{Services: service(68, 2*time.Second), Batch: batch("a")}, start)
	c.Assert(action.Share, qt.Equals, 1.0, qt.Commentf("no trend is known yet"))
	state, _ = guard.Decide(guard.Rules{}, guard.State{}, guard.Input{Services: service(10, 8*time.Second), Batch: batch("a")}, start)
	_, action = guard.Decide(guard.Rules{}, state, guard.Input{Services: service(30, 8*time.Second), Batch: batch("a")}, start.Add(time.Second))
	c.Assert(action.Share, qt.Equals, 1.0, qt.Commentf("the extrapolation of a low latency is capped"))
}

// Noise in a tail latency measured from few requests must not cause throttling. Without smoothing, its trend extrapolated
// over the lag reached the threshold.
func TestAlternatingLatencyDoesNotThrottle(t *testing.T) {
	c := qt.New(t)
	var state guard.State
	var action guard.Action
	for second := range 60 {
		latency := 50 + 8*float64(second%2)
		in := guard.Input{Services: service(latency, 4*time.Second), Batch: batch("a")}
		state, action = guard.Decide(guard.Rules{}, state, in, start.Add(time.Duration(second)*time.Second))
		c.Assert(action.Share, qt.Equals, 1.0)
	}
}

// The trend of a noisy tail latency, extrapolated over the lag, must not cause throttling beside a steady service. The
// measurements cover 5 s each, like those of the agent.
func TestNoisyTailDoesNotThrottle(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 5))
		var window [5]float64
		for i := range window {
			window[i] = 60
		}
		var state guard.State
		changes := 0
		for second := range 600 {
			window[second%len(window)] = 60 + 16*(2*random.Float64()-1)
			sum := 0.0
			for _, latency := range window {
				sum += latency
			}
			in := guard.Input{Services: service(sum/float64(len(window)), 4*time.Second), Batch: batch("a")}
			before := state.Level
			if state, _ = guard.Decide(guard.Rules{}, state, in, start.Add(time.Duration(second)*time.Second)); state.Level > before {
				changes++
			}
		}
		qt.Assert(t, changes <= 1, qt.IsTrue, qt.Commentf("seed %d: throttled %d times", seed, changes))
	}
}

// Batch tasks must not starve beside a service whose latency is above ResumeAt even without them.
func TestStepUpNearFloor(t *testing.T) {
	c := qt.New(t)
	state := guard.State{Level: 6, LastLevelChange: start}
	var action guard.Action
	for second := range 120 {
		in := guard.Input{Services: service(60, time.Second), Batch: batch("a")}
		state, action = guard.Decide(guard.Rules{}, state, in, start.Add(time.Duration(second)*time.Second))
	}
	c.Assert(action.Share, qt.Equals, 1.0)
}

// Between ResumeAt and ThrottleAt, batch tasks must not stay throttled if the service hardly benefits from it, and no step
// up must take the service to ThrottleAt.
func TestStepUpWhenThrottlingGainsLittle(t *testing.T) {
	c := qt.New(t)
	finalShare := func(base, slowdown float64) float64 {
		state := guard.State{Level: 6, LastLevelChange: start}
		action := guard.Action{Share: 0.1}
		for second := range 300 {
			in := guard.Input{Services: service(base+slowdown*action.Share, time.Second), Batch: batch("a")}
			state, action = guard.Decide(guard.Rules{}, state, in, start.Add(time.Duration(second)*time.Second))
			c.Assert(action.Reason, qt.Not(qt.Equals), guard.ReasonLatency)
		}
		return action.Share
	}
	c.Assert(finalShare(50, 20), qt.Equals, 1.0)
	c.Assert(finalShare(40, 60), qt.Equals, 0.4, qt.Commentf("73 ms are expected at the next share"))
}

// Old measurements must not lead to a step up, and throttling must end while a service has no requests.
func TestNoStepUpOnOldMeasurements(t *testing.T) {
	c := qt.New(t)
	services := append(service(80, time.Second), guard.ServiceLatency{AllocationID: "t", ObjectiveMillis: 100, Age: time.Minute})
	_, throttled := guard.Decide(guard.Rules{}, guard.State{}, guard.Input{Services: services, Batch: batch("a")}, start)
	c.Assert(throttled.Share, qt.Equals, 0.85, qt.Commentf("a slow service counts although another has no recent measurement"))
	state, action, _ := runGuard(guard.State{Level: 5, LastLevelChange: start}, guard.Input{Services: service(10, time.Minute)}, start, 60)
	c.Assert(action, qt.DeepEquals, guard.Action{Share: 0.25, Reason: guard.ReasonUnknown})
	state, _, _ = runGuard(state, guard.Input{Services: service(0, time.Second)}, start.Add(time.Minute), 60)
	c.Assert(state.Level, qt.Equals, 0)
}

// Memory shortage must lead to an eviction, not to throttling, and the task above its reservation must be evicted.
func TestMemoryEviction(t *testing.T) {
	c := qt.New(t)
	in := guard.Input{
		Services: service(10, 0), Capacity: structs.Resources{MemoryMB: 1000}, Used: structs.Resources{MemoryMB: 950},
		Batch: []guard.BatchTask{
			{AllocationID: "large", Reserved: structs.Resources{MemoryMB: 600}, Used: structs.Resources{MemoryMB: 590}},
			{AllocationID: "over", Reserved: structs.Resources{MemoryMB: 100}, Used: structs.Resources{MemoryMB: 200}},
		},
	}
	_, action := guard.Decide(guard.Rules{}, guard.State{}, in, start)
	c.Assert(action, qt.DeepEquals, guard.Action{Share: 1, Evict: []string{"over"}, Reason: guard.ReasonMemory})
	in.Used.MemoryMB = 930
	_, action = guard.Decide(guard.Rules{}, guard.State{}, in, start)
	c.Assert(action.Evict, qt.HasLen, 0)
}

// simulate runs the guard on a worker with lagged measurements, whose service slows down in proportion to the share of
// batch tasks. It returns for how many seconds the objective was missed, and how often the share changed.
func simulate(seconds int, base float64, slowdown func(second int) float64) (missed, changes int) {
	const lagSeconds = 3
	var state guard.State
	share := 1.0
	measured := make([]float64, lagSeconds)
	for second := range seconds {
		now := start.Add(time.Duration(second) * time.Second)
		latency := base * (1 + slowdown(second)*share)
		if latency > 100 {
			missed++
		}
		measured = append(measured, latency)
		in := guard.Input{Services: service(measured[second], lagSeconds*time.Second), Batch: batch("a")}
		var action guard.Action
		if state, action = guard.Decide(guard.Rules{}, state, in, now); action.Share != share {
			share, changes = action.Share, changes+1
		}
	}
	return missed, changes
}

// If a service doesn't tolerate batch tasks at their full share, the share must not oscillate.
func TestNoOscillation(t *testing.T) {
	c := qt.New(t)
	missed, changes := simulate(1200, 32, func(int) float64 { return 1.4 })
	c.Assert(missed, qt.Equals, 0)
	c.Assert(changes <= 40, qt.IsTrue, qt.Commentf("%d changes in 20 minutes", changes))
}

// A burst must not keep the service slow, nor keep batch tasks throttled after it has ended.
func TestLatencyBurst(t *testing.T) {
	c := qt.New(t)
	missed, _ := simulate(300, 50, func(second int) float64 {
		if second >= 100 && second < 140 {
			return 2
		}
		return 0.1
	})
	c.Assert(missed <= 4, qt.IsTrue, qt.Commentf("missed for %d s: the lag and one step", missed))
	state, _, _ := runGuard(guard.State{}, guard.Input{Services: service(130, 0), Batch: batch("a")}, start, 10)
	state, _, _ = runGuard(state, guard.Input{Services: service(20, 0), Batch: batch("a")}, start.Add(10*time.Second), 90)
	c.Assert(state.Level, qt.Equals, 0)
}
