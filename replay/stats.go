package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/quetzalshed/quetzalshed/structs"
)

// startGrace is the time after which no task may start in a failure domain that was taken out of service.
const startGrace = 5 * time.Second

// stats holds the measurements of one run.
type stats struct {
	services  []*serviceStats
	finished  int
	failed    int
	cancelled int
	evictions int
	// work is the batch work that was completed and not lost again, lostWork the work that has to be repeated, and
	// maintenanceWork the part of work done while a failure domain was under maintenance, all in core seconds.
	work, lostWork, maintenanceWork float64
	starts                          int
	// lateStarts counts starts in a failure domain that had been out of service for longer than startGrace.
	lateStarts int
	// overcommittedSeconds counts the seconds in which reservations on a worker exceeded its capacity.
	overcommittedSeconds int
	unschedulableJobs    int
	// cpuTime is recorded only under managedPolicy, and not while the store is down.
	cpuTime cpuTimeByUse
}

// serviceStats holds the measurements of one service.
type serviceStats struct {
	requests, answered, missed int
	latency                    *hdrhistogram.Histogram
}

func newStats(t *Trace) *stats {
	s := &stats{cpuTime: cpuTimeByUse{}}
	const maxMicros, digits = 120_000_000, 3
	for range t.Services {
		s.services = append(s.services, &serviceStats{latency: hdrhistogram.New(1, maxMicros, digits)})
	}
	return s
}

// record counts a final result. Refused requests and those answered after their deadline are missed.
func (s *serviceStats) record(latency time.Duration, ok bool) {
	if !ok {
		s.missed++
		return
	}
	s.answered++
	_ = s.latency.RecordValue(latency.Microseconds())
}

func (s *serviceStats) percentileMillis(p float64) float64 {
	return float64(s.latency.ValueAtQuantile(p)) / 1000
}

func (s *stats) addWork(e *engine, coreSeconds float64) {
	s.work += coreSeconds
	if e.inMaintenance() {
		s.maintenanceWork += coreSeconds
	}
}

// discardUnsavedWork subtracts the work that a task did after its last checkpoint.
func (s *stats) discardUnsavedWork(e *engine, t *task) {
	lost := (t.completed - t.checkpointed).Seconds() * float64(t.class.Actual.MilliCores) / 1000
	t.completed = t.checkpointed
	s.lostWork += lost
	s.addWork(e, -lost)
}

func (s *stats) countStart(e *engine, h *host) {
	s.starts++
	if since, out := e.outSince[h.worker.FailureDomain]; out && e.timeline.now().Sub(since) > startGrace {
		s.lateStarts++
	}
}

func (s *stats) checkCapacity(e *engine) {
	for _, h := range e.hosts {
		var sum structs.Resources
		for _, t := range h.tasks {
			sum = sum.Add(t.reservation)
		}
		for _, service := range e.trace.Services {
			sum = sum.Add(service.Reservation)
		}
		if !sum.Fits(h.worker.Capacity) {
			s.overcommittedSeconds++
		}
	}
}
