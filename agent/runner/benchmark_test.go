package runner

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/store/storetest"
)

// Guards against store calls that grow with the number of tasks or workers: a job costs a key of its own, and a share
// of the records that several jobs use together.
func TestStoreCallsPerJob(t *testing.T) {
	assert := qt.New(t)
	c := newCheckedCluster(t, 6)
	puts := func() int64 { return c.store.Counters().Calls(store.OpPut) }
	deletes := func() int64 { return c.store.Counters().Calls(store.OpDelete) }
	beforePuts, beforeDeletes := puts(), deletes()
	c.submit(t, `{"id":"a","team":"t","kind":"batch","tasks":20,"resources":{"milli_cores":1000,"memory_mb":100},"command":"run=10s"}`)
	assert.Assert(puts()-beforePuts, qt.Equals, int64(1), qt.Commentf("acceptance"))
	assert.Assert(c.run(5*time.Second, func() bool { return len(c.nodesRunning("a")) == 20 }), qt.IsTrue)
	assert.Assert(puts()-beforePuts, qt.Equals, int64(2), qt.Commentf("acceptance and start of 20 tasks share a record"))
	assert.Assert(deletes()-beforeDeletes, qt.Equals, int64(1), qt.Commentf("the key of the job"))
	beforePuts = puts()
	assert.Assert(c.run(20*time.Second, func() bool { return c.jobDone("a") }), qt.IsTrue)
	c.run(2*time.Second, func() bool { return false })
	// The heartbeats of 6 workers arrive within one second, so results fall into at most five commit intervals.
	assert.Assert(puts()-beforePuts <= 5, qt.IsTrue, qt.Commentf("%d records for the results", puts()-beforePuts))
}

// BenchmarkControlTraffic reports the store calls and control traffic for different numbers of workers and task starts.
// The polling of the configuration head (two reads per second by the owner and by each entry) is not included.
func BenchmarkControlTraffic(b *testing.B) {
	const seconds = 60
	for _, workers := range []int{11, 63} {
		for _, starts := range []int{0, 10, 40} {
			b.Run(fmt.Sprintf("workers=%d/starts=%d", workers, starts), func(b *testing.B) {
				for b.Loop() {
					c := newCluster(workers)
					c.run(10*time.Second, func() bool { return false })
					reads, writes := c.store.Counters().Reads(), c.store.Counters().Writes()
					c.countBytes = true
					for second := range seconds {
						if starts > 0 {
							c.submit(b, fmt.Sprintf(`{"id":"j%d","team":"t","kind":"batch","tasks":%d,
								"resources":{"milli_cores":400,"memory_mb":50},"command":"run=2s"}`, second, starts))
						}
						c.run(time.Second, func() bool { return false })
					}
					started := 0
					for _, n := range c.nodes {
						started += len(n.worker.Starts())
					}
					b.ReportMetric(float64(c.store.Counters().Reads()-reads)/seconds, "store-reads/s")
					b.ReportMetric(float64(c.store.Counters().Writes()-writes)/seconds, "store-writes/s")
					b.ReportMetric(float64(c.messageBytes)/seconds/float64(workers), "B/s/worker")
					b.ReportMetric(float64(c.messageBytes)/seconds, "B/s-at-owner")
					b.ReportMetric(float64(started)/seconds, "starts/s")
				}
			})
		}
	}
}

// BenchmarkOwnerFailure measures the failure of the agent that owns the shard, alone or with its host. It reports for
// how many heartbeats (of 1 s) tasks on other hosts don't run, when the first new task starts, and when the tasks that
// ran on the owner's host have resumed.
func BenchmarkOwnerFailure(b *testing.B) {
	for _, host := range []bool{false, true} {
		for _, workers := range []int{11, 63} {
			b.Run(fmt.Sprintf("host=%t/workers=%d", host, workers), func(b *testing.B) {
				for b.Loop() {
					measureOwnerFailure(b, workers, host)
				}
			})
		}
	}
}

func measureOwnerFailure(b *testing.B, workers int, host bool) {
	const observed = 60 * time.Second
	c := newCluster(workers)
	c.run(10*time.Second, func() bool { return false })
	c.submit(b, fmt.Sprintf(`{"id":"a","team":"t","kind":"batch","tasks":%d,"resources":{"milli_cores":2000,"memory_mb":50},"command":"run=1h"}`, workers))
	c.run(10*time.Second, func() bool { return false })
	former := c.owner()
	ownersTasks := len(former.worker.Running())
	otherTasks := len(c.nodesRunning("a")) - ownersTasks
	former.killAgent()
	if host {
		former.worker.Reset()
		former.hostLost = true
	}
	killed := c.clock.Now()
	c.submitToStore("b")
	stalled := 0
	var first, takeover, resumed time.Duration
	for c.clock.Now().Sub(killed) < observed {
		c.step()
		since := c.clock.Now().Sub(killed)
		running := 0
		for _, n := range c.nodesRunning("a") {
			if n != former {
				running++
			}
		}
		stalled += max(0, otherTasks-running)
		if takeover == 0 && c.ownerOtherThan(former) != nil {
			takeover = since
		}
		if first == 0 && len(c.nodesRunning("b")) > 0 {
			first = since
		}
		if resumed == 0 && running >= otherTasks+ownersTasks {
			resumed = since
		}
	}
	b.ReportMetric(resumed.Seconds(), "own-work-s")
	b.ReportMetric(float64(stalled)*tick.Seconds()/float64(otherTasks), "stalled-heartbeats/task")
	b.ReportMetric(takeover.Seconds(), "takeover-s")
	b.ReportMetric(first.Seconds(), "first-start-s")
}

// BenchmarkStoreOutage reports the batch work lost in an outage of the store, as a percentage of the throughput before
// it, and the time after the outage until as many tasks run as before. Tasks of 20 s end during the outage and can't be
// replaced by new ones; tasks of 1 h run on until the validity of the owner ends.
func BenchmarkStoreOutage(b *testing.B) {
	for _, run := range []string{"20s", "1h"} {
		for _, validity := range []time.Duration{30 * time.Second, 120 * time.Second} {
			for _, outage := range []time.Duration{time.Minute, 10 * time.Minute} {
				b.Run(fmt.Sprintf("tasks=%s/validity=%s/outage=%s", run, validity, outage), func(b *testing.B) {
					for b.Loop() {
						measureStoreOutage(b, run, validity, outage)
					}
				})
			}
		}
	}
}

func measureStoreOutage(b *testing.B, run string, validity, outage time.Duration) {
	const workers = 11
	c := newCluster(workers)
	c.ownerValidity = validity
	for _, n := range c.nodes {
		n.startAgent()
	}
	c.run(10*time.Second, func() bool { return false })
	c.submit(b, fmt.Sprintf(`{"id":"a","team":"t","kind":"batch","tasks":4000,"resources":{"milli_cores":1000,"memory_mb":50},"command":"run=%s"}`, run))
	c.run(30*time.Second, func() bool { return false })
	busy := len(c.nodesRunning("a"))
	c.store.SetFaults(storetest.Faults{Down: true})
	idle, ticks := 0, 0
	for started := c.clock.Now(); c.clock.Now().Sub(started) < outage; ticks++ {
		c.step()
		idle += max(0, busy-len(c.nodesRunning("a")))
	}
	c.store.SetFaults(storetest.Faults{})
	healed := c.clock.Now()
	if !c.run(5*time.Minute, func() bool { return len(c.nodesRunning("a")) >= busy }) {
		b.Fatal("the workers don't reach the number of tasks that ran before the outage")
	}
	b.ReportMetric(100*float64(idle)/float64(ticks*busy), "%work-lost")
	b.ReportMetric(c.clock.Now().Sub(healed).Seconds(), "refilled-s")
}

// submitToStore stores a job while there may be no owner, and ignores errors.
func (c *cluster) submitToStore(id string) {
	_, _ = c.jobs.Submit(context.Background(), []byte(fmt.Sprintf(`{"id":%q,"team":"t","kind":"batch","tasks":1,
		"resources":{"milli_cores":500,"memory_mb":50},"command":"run=1h"}`, id)))
}
