package engine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// orderedJob adds a job of one step to an engine and marks some of its tasks as done after a second each.
func orderedJob(e *Engine, number, tasks, done int, estimate time.Duration, now time.Time) *job {
	id := fmt.Sprintf("%016x", number)
	e.Add(workflow.Job{
		ID: id, Queue: rankingQueue, AcceptedUnixMillis: now.UnixMilli(),
		Steps: []workflow.Step{{Count: tasks, Need: structs.Resources{MilliCores: 1000}, EstimateMillis: estimate.Milliseconds()}},
	}, nil, now, now)
	j := e.jobs[id]
	for _, t := range j.tasks[:done] {
		t.run, t.duration = 1, time.Second
		e.completeTask(t, t.run, t.executorIncarnation, now, now)
	}
	return j
}

// newConfiguredEngine returns an engine with one queue and one pool.
func newConfiguredEngine(now time.Time) *Engine {
	e := New(Settings{LeaseDuration: 6500 * time.Millisecond, LeaseExpiry: 7060 * time.Millisecond, RemoteSlowdown: 1.5}, now)
	e.Configure(&workflow.Config{Version: 1, Queues: []workflow.Queue{rankingQueue}, Pools: []workflow.Pool{{Name: "pool"}}})
	e.SetEvacuated(nil)
	return e
}

// reportExecutor sends a report with the given number of an executor of node "a" that runs nothing.
func reportExecutor(e *Engine, number, milliCores int64, now time.Time) {
	e.HandleReport(&workflow.Report{Node: "a", Address: "a", Incarnation: 1, Number: number, Listed: true, EndsComplete: true, Executor: &workflow.Executor{
		ID: "i-a", StartedUnixMillis: 1, Pool: "pool", FailureDomain: "domain", Capacity: structs.Resources{MilliCores: milliCores, MemoryMB: 8000},
	}}, now, now)
}

// Guards against jobs whose last task waits behind the first tasks of others in a burst: such a job is late by then, and the work done
// for it is wasted.
func TestLateJobWithLittleLeftGoesBeforeAFreshOne(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	e := newConfiguredEngine(now)
	begun := orderedJob(e, 1, 16, 15, time.Second, now)
	now = now.Add(2500 * time.Millisecond)
	fresh := orderedJob(e, 2, 16, 0, time.Second, now)
	c.Assert(e.rank(begun, now).overdue, qt.IsFalse)
	c.Assert(compareCandidates(e.rank(begun, now), e.rank(fresh, now)) < 0, qt.IsTrue)
}

// Guards against large jobs that never start while small ones arrive: a large one is worth as much for each core second, up
// to the share of a job's value that does not depend on its size.
func TestLargeJobIsWorthNearlyAsMuchForEachCoreSecond(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	e := newConfiguredEngine(now)
	for number := range 40 {
		orderedJob(e, number, 8, 0, time.Second, now)
	}
	small := e.rank(orderedJob(e, 100, 4, 0, time.Second, now), now)
	large := e.rank(orderedJob(e, 101, 32, 0, time.Second, now), now)
	c.Assert(small.density > large.density, qt.IsTrue)
	c.Assert(small.density < 2*large.density, qt.IsTrue)
}

// Guards against jobs that are given up since their estimates are far too low: the model of the queue says how long such
// tasks run.
func TestLearnedDurationsReplaceWrongEstimates(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	e := newConfiguredEngine(now)
	random := rand.New(rand.NewPCG(1, 1))
	for number := range 60 {
		estimate := time.Duration(math.Exp(random.NormFloat64()) * float64(time.Second))
		orderedJob(e, number, 4, 4, estimate, now)
	}
	model := e.durationsOf(rankingQueue.Name)
	for _, estimate := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second} {
		predicted := model.predict(estimate)
		c.Assert(predicted > 700*time.Millisecond && predicted < 1400*time.Millisecond, qt.IsTrue, qt.Commentf("%v: %v", estimate, predicted))
	}
	c.Assert(model.deviation() < defaultDurationDeviation, qt.IsTrue)
	understated := orderedJob(e, 100, 4, 0, 100*time.Millisecond, now)
	c.Assert(e.rank(understated, now.Add(1200*time.Millisecond)).overdue, qt.IsFalse)
}

// Guards against values outside 0 to 1, and against a job whose value rises while it waits.
func TestExpectedValueFallsWithAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seconds := func(name string, most float64) time.Duration {
			return time.Duration(rapid.Float64Range(0, most).Draw(t, name) * float64(time.Second))
		}
		o := outlook{
			path: seconds("path", 20), deviation: rapid.Float64Range(0.05, 2).Draw(t, "deviation"),
			stretch: rapid.Float64Range(0.2, 4).Draw(t, "stretch"), allowance: seconds("allowance", 3),
		}
		o.remainingPath = time.Duration(rapid.Float64Range(0, 1).Draw(t, "remaining") * float64(o.path))
		before := 1.0
		for age := time.Duration(0); age < time.Minute; age += 500 * time.Millisecond {
			value := o.expectedValue(age)
			if math.IsNaN(value) || value < 0 || value > before+1e-9 {
				t.Fatalf("value %v at age %v, %v before", value, age, before)
			}
			before = value
		}
	})
}

// Guards against one job with an absurd request that makes all others of its queue count as equally small.
func TestAbsurdRequestDoesNotChangeMeanWork(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	e := newConfiguredEngine(now)
	for number := range 40 {
		orderedJob(e, number, 8, 0, time.Second, now)
	}
	before := e.meanWork[rankingQueue.Name]
	e.Add(workflow.Job{
		ID: fmt.Sprintf("%016x", 1000), Queue: rankingQueue, AcceptedUnixMillis: now.UnixMilli(),
		Steps: []workflow.Step{{Count: 5000, Need: structs.Resources{MilliCores: math.MaxInt64}, EstimateMillis: math.MaxInt64 / 1_000_000}},
	}, nil, now, now)
	after := e.meanWork[rankingQueue.Name]
	c.Assert(after < 10*before, qt.IsTrue, qt.Commentf("%v, before %v", after, before))
}

// Guards against an owner whose memory grows with each queue that a configuration ever had.
func TestLearnedQueuesAreBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	e := newConfiguredEngine(now)
	for number := range maxLearnedQueues + 10 {
		e.Add(workflow.Job{
			ID: fmt.Sprintf("%016x", number), AcceptedUnixMillis: now.UnixMilli(),
			Queue: workflow.Queue{Name: fmt.Sprintf("queue-%d", number), Pool: "pool", Stretch: 1.5},
			Steps: []workflow.Step{{Count: 1, Need: structs.Resources{MilliCores: 1000}, EstimateMillis: 500}},
		}, nil, now, now)
	}
	c.Assert(len(e.durations), qt.Equals, 10)
	c.Assert(len(e.meanWork), qt.Equals, 10)
}

// Guards against an order that depends on the order of the input.
func TestOrderOfJobsIsTotal(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	e := newConfiguredEngine(now)
	var found []candidate
	for number := range 30 {
		j := orderedJob(e, number, 1+number%5, number%2*(number%5), time.Duration(1+number%3)*time.Second, now)
		found = append(found, e.rank(j, now.Add(time.Duration(number)*time.Second)))
	}
	slices.SortFunc(found, compareCandidates)
	again := slices.Clone(found)
	slices.Reverse(again)
	slices.SortFunc(again, compareCandidates)
	c.Assert(slices.EqualFunc(found, again, func(a, b candidate) bool { return a.job == b.job }), qt.IsTrue)
}
