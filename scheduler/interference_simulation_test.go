package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/scheduler/interference"
	"github.com/quetzalshed/quetzalshed/structs"
)

// slowdowns holds the true relative slowdown of a service class by a worker that is full of a batch class. The model
// sees it only through measurements.
var slowdowns = map[[2]string]float64{
	{"price", "render"}: 3, {"price", "index"}: 0.4, {"price", "pack"}: 0.1,
	{"motion", "render"}: 0.2, {"motion", "index"}: 2.5, {"motion", "pack"}: 0.1,
	{"search", "render"}: 0.3, {"search", "index"}: 0.3, {"search", "pack"}: 0.2,
}

// simulation runs a synthetic workload in virtual time: 11 workers with two service replicas each, and batch jobs of
// three classes. Latency measurements arrive with a lag of 5 s. Nothing throttles or evicts batch tasks.
type simulation struct {
	random              *rand.Rand
	planner             scheduler.Planner
	model               *interference.Model
	snapshot            scheduler.Snapshot
	ends                map[string]time.Time
	jobs                int
	pendingMeasurements []measurement
	// latencies holds the slowdown of each replica in each second.
	latencies []float64
	finished  time.Duration
}

// measurement is a latency sample that has not reached the model yet.
type measurement struct {
	worker, service string
	millis          float64
	at              time.Time
}

func newSimulation(seed uint64, aware bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 4)), model: interference.New(interference.Config{}), ends: map[string]time.Time{}}
	if aware {
		s.snapshot.Interference = s.model
	}
	classes := []string{"price", "motion", "search"}
	for i := range 11 {
		w := newWorker(fmt.Sprintf("w%02d", i), fmt.Sprintf("d%d", i%3))
		for k := range 2 {
			service := newJob(fmt.Sprintf("s%d", (i+k)%3), structs.KindService, 3000)
			service.Class = classes[(i+k*(1+i%2))%3]
			w.Running = append(w.Running, running(service, i*2+k, 0))
		}
		s.snapshot.Workers = append(s.snapshot.Workers, w)
	}
	return s
}

func (s *simulation) step(now time.Time) {
	workers := map[string]*scheduler.WorkerView{}
	for i := range s.snapshot.Workers {
		w := &s.snapshot.Workers[i]
		workers[w.Name] = w
		w.Running = slices.DeleteFunc(w.Running, func(t scheduler.RunningTask) bool {
			end, ok := s.ends[t.AllocationID]
			if ok = ok && !end.After(now); ok {
				s.finished += t.WorkDone
			}
			return ok
		})
	}
	if s.random.Float64() < 0.5 {
		s.jobs++
		job := newJob(fmt.Sprintf("b%05d", s.jobs), structs.KindBatch, int64(1000*(1+s.random.IntN(3))))
		job.Class = []string{"render", "index", "pack"}[s.random.IntN(3)]
		job.ExpectedSeconds = 30 + s.random.ExpFloat64()*60
		s.snapshot.Pending = append(s.snapshot.Pending, scheduler.PendingTask{Job: job})
	}
	for _, p := range s.planner.Plan(s.snapshot, now).Place {
		i := slices.IndexFunc(s.snapshot.Pending, func(t scheduler.PendingTask) bool { return t.ID() == p.Task })
		length := time.Duration(s.snapshot.Pending[i].Job.ExpectedSeconds * float64(time.Second))
		task := running(s.snapshot.Pending[i].Job, 0, length)
		s.ends[task.AllocationID] = now.Add(length)
		s.snapshot.Pending = slices.Delete(s.snapshot.Pending, i, i+1)
		workers[p.Worker].Running = append(workers[p.Worker].Running, task)
	}
	for i := range s.snapshot.Workers {
		s.measure(&s.snapshot.Workers[i], now)
	}
	for len(s.pendingMeasurements) > 0 && now.Sub(s.pendingMeasurements[0].at) >= 5*time.Second {
		m := s.pendingMeasurements[0]
		s.model.Observe(m.worker, m.service, m.millis, now.Sub(m.at), now)
		s.pendingMeasurements = s.pendingMeasurements[1:]
	}
	s.model.Advance(now)
}

// measure records the slowdown of the worker's replicas and queues a latency sample of each for the model.
func (s *simulation) measure(w *scheduler.WorkerView, now time.Time) {
	loads := w.BatchLoads()
	s.model.SetLoads(w.Name, loads, now)
	for i := range w.Running {
		t := &w.Running[i]
		if t.Job.Kind != structs.KindService {
			continue
		}
		factor := 1.0
		for _, load := range loads {
			factor += slowdowns[[2]string{t.Job.Class, load.Class}] * load.Share
		}
		s.latencies = append(s.latencies, factor)
		s.pendingMeasurements = append(s.pendingMeasurements, measurement{w.Name, t.Job.Class, 20 * factor * (0.95 + 0.1*s.random.Float64()), now})
	}
}

// run simulates an hour. It returns the fraction of replica seconds above the interference limit, the 99th percentile
// of the slowdown, and the hours of finished batch work.
func (s *simulation) run() (slow, p99, finished float64) {
	for second := range 3600 {
		s.step(now.Add(time.Duration(second) * time.Second))
	}
	slices.Sort(s.latencies)
	above, _ := slices.BinarySearch(s.latencies, scheduler.DefaultInterferenceLimit)
	n := len(s.latencies)
	return 1 - float64(above)/float64(n), s.latencies[n*99/100], s.finished.Hours()
}

// Checks that placement with the interference model halves the time that services are slowed down too much, and costs
// at most 5% of the batch work.
func TestInterferenceAwarePlacement(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(3) {
		slow, _, finished := newSimulation(seed, true).run()
		slowIgnoring, _, finishedIgnoring := newSimulation(seed, false).run()
		c.Assert(slow < slowIgnoring/2, qt.IsTrue, qt.Commentf("seed %d: %.4f against %.4f", seed, slow, slowIgnoring))
		c.Assert(finished > 0.95*finishedIgnoring, qt.IsTrue, qt.Commentf("seed %d: %.1f h against %.1f h", seed, finished, finishedIgnoring))
	}
}

func BenchmarkInterferenceAwarePlacement(b *testing.B) {
	for b.Loop() {
		for _, aware := range []bool{true, false} {
			slow, p99, finished := newSimulation(1, aware).run()
			b.ReportMetric(100*slow, fmt.Sprintf("%%slow/aware=%v", aware))
			b.ReportMetric(p99, fmt.Sprintf("p99-slowdown/aware=%v", aware))
			b.ReportMetric(finished, fmt.Sprintf("batch-hours/aware=%v", aware))
		}
	}
}
