package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/scheduler/quota"
	"github.com/quetzalshed/quetzalshed/structs"
)

// benchFleet returns a fleet with about 9.5 running tasks on each worker, 30% of them services, as in the scale that
// the design expects after two years.
func benchFleet(workers int) scheduler.Snapshot {
	random := rand.New(rand.NewPCG(1, uint64(workers)))
	s := scheduler.Snapshot{Interference: fixedEstimates{}, Quotas: quota.Limits{Teams: map[string]structs.Resources{}}}
	jobs := make([]*structs.Job, max(workers*3, 30))
	for i := range jobs {
		kind := structs.KindBatch
		if i%10 < 3 {
			kind = structs.KindService
		}
		jobs[i] = newJob(fmt.Sprintf("job-%05d", i), kind, 1000)
		jobs[i].Class, jobs[i].Team = fmt.Sprintf("class-%02d", i%40), fmt.Sprintf("team-%03d", i%120)
		s.Quotas.Teams[jobs[i].Team] = structs.Resources{MilliCores: 1 << 40, MemoryMB: 1 << 40, Accelerators: -1}
	}
	for i := range workers {
		w := newWorker(fmt.Sprintf("worker-%05d", i), fmt.Sprintf("domain-%02d", i%18))
		w.Rack = fmt.Sprintf("rack-%04d", i/3)
		for k := range 9 + i%2 {
			w.Running = append(w.Running, running(jobs[random.IntN(len(jobs))], i*100+k, time.Minute))
		}
		s.Workers = append(s.Workers, w)
	}
	return s
}

// addPending adds n pending batch tasks, in jobs of the given number of tasks.
func addPending(s *scheduler.Snapshot, n, tasks int) {
	for i := 0; i < n; i += tasks {
		job := newJob(fmt.Sprintf("new-%05d", i), structs.KindBatch, 500)
		job.Class, job.Team = fmt.Sprintf("class-%02d", i/tasks%40), fmt.Sprintf("team-%03d", i/tasks%120)
		s.Pending = append(s.Pending, pending(job, min(tasks, n-i))...)
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{11, 63, 340, 3400} {
		for _, tasks := range []int{1, 8, 40} {
			b.Run(fmt.Sprintf("workers=%d/pending=%d", workers, tasks), func(b *testing.B) {
				s := benchFleet(workers)
				addPending(&s, tasks, 4)
				var planner scheduler.Planner
				b.ReportAllocs()
				for b.Loop() {
					if got := len(planner.Plan(s, now).Place); got != tasks {
						b.Fatalf("%d of %d tasks placed", got, tasks)
					}
				}
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*tasks), "us/decision")
			})
		}
	}
}

// BenchmarkFullShard plans for a full shard: with a long queue of jobs that have to wait, and with a service that must
// preempt.
func BenchmarkFullShard(b *testing.B) {
	backlog, service := benchFleet(63), benchFleet(63)
	addPending(&backlog, 5000, 4)
	for i := range backlog.Pending {
		backlog.Pending[i].Job.Resources.MilliCores = 15000
	}
	service.Pending = pending(newJob("s", structs.KindService, 9000), 1)
	for name, s := range map[string]scheduler.Snapshot{"backlog=5000": backlog, "preemption": service} {
		b.Run(name, func(b *testing.B) {
			var planner scheduler.Planner
			for b.Loop() {
				planner.Plan(s, now)
			}
		})
	}
}
