package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/quetzalshed/quetzalshed/structs"
)

// startGrace is the time after which no task may start in a failure domain that is out.
const startGrace = 5 * time.Second

// stats is what one replay measured.
type stats struct {
	services  []*serviceStats
	finished  int
	failed    int
	cancelled int
	evictions int
	// work and lostWork are in core seconds of useful batch work; lost work has to be done again.
	work, lostWork, moveWork float64
	starts                   int
	// lateStarts counts starts in a failure domain that had been out for longer than startGrace.
	lateStarts int
	// overcommits counts seconds in which reservations on a worker exceeded its capacity.
	overcommits int
	verdicts    int
	// shares is kept under quetzalshed's decisions only, and not while the store is down.
	shares shares
}

// serviceStats is what one replay measured of one service.
type serviceStats struct {
	requests, answered, missed int
	latency                    *hdrhistogram.Histogram
}

func newStats(t *Trace) *stats {
	s := &stats{shares: shares{}}
	const maxMicros, digits = 120_000_000, 3
	for range t.Services {
		s.services = append(s.services, &serviceStats{latency: hdrhistogram.New(1, maxMicros, digits)})
	}
	return s
}

// record counts a final answer. A missed request was refused or answered after its deadline.
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
	if e.inMove() {
		s.moveWork += coreSeconds
	}
}

// lose takes back the work of a task beyond its checkpoint.
func (s *stats) lose(e *engine, t *task) {
	lost := (t.done - t.saved).Seconds() * float64(t.class.Actual.MilliCores) / 1000
	t.done = t.saved
	s.lostWork += lost
	s.addWork(e, -lost)
}

func (s *stats) countStart(e *engine, h *host) {
	s.starts++
	if since, out := e.out[h.worker.FailureDomain]; out && e.line.now().Sub(since) > startGrace {
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
			s.overcommits++
		}
	}
}
