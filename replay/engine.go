package replay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Durations used by the simulation.
const (
	progressInterval = 100 * time.Millisecond
	reportInterval   = time.Second
	startDelay       = 200 * time.Millisecond
	// checkpointDuration is how long an evicted task takes to write its checkpoint.
	checkpointDuration = time.Second
	// maintenanceRecovery is how long after its return a failure domain still counts as under maintenance, since work
	// has to be placed there again.
	maintenanceRecovery = 30 * time.Second
	// failingTaskDuration is how long a task runs before it fails on a worker that fails all tasks.
	failingTaskDuration = 2 * time.Second
)

// startTime is the virtual time at which every replay begins.
var startTime = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// policy makes the routing, admission and scheduling decisions that are compared.
type policy interface {
	// newAdmissionQueue returns the request queue of one upstream.
	newAdmissionQueue(slots int) admissionQueue
	// choose selects the host for a request, or returns false if the request is to fail.
	choose(r *request) (*host, bool)
	// attemptEnded reports the end of an attempt.
	attemptEnded(r *request, end attemptEnd)
	// tick schedules batch tasks. It is called once a second.
	tick()
	// domainChanged reports that an operator has taken a failure domain out of service or returned it.
	domainChanged(domain string, out bool)
	// hostLost reports that a host has failed, with the tasks that ran on it.
	hostLost(h *host, tasks []*task)
	// taskEnded reports that a task has finished or failed.
	taskEnded(t *task, h *host, failed bool)
}

// engine simulates one run of a trace under a policy.
type engine struct {
	trace      *Trace
	timeline   *timeline
	hosts      []*host
	jobs       []*job
	policy     policy
	stats      *stats
	arrivals   []*arrivals
	outSince   map[string]time.Time
	returnedAt map[string]time.Time
	// storeDownSince is zero while the store answers.
	storeDownSince   time.Time
	maintenanceUntil time.Time
	maintenance      bool
	requests         uint64
}

func newEngine(t *Trace, newPolicy func(*engine) policy) *engine {
	e := &engine{
		trace: t, timeline: &timeline{clock: clock.NewManual(startTime)}, stats: newStats(t),
		outSince: map[string]time.Time{}, returnedAt: map[string]time.Time{},
	}
	for i, w := range t.Workers {
		e.hosts = append(e.hosts, &host{index: i, worker: w, up: true, batchShare: 1, serviceTimes: make([][windowIntervals][]float64, len(t.Services))})
	}
	e.policy = newPolicy(e)
	for _, h := range e.hosts {
		e.resetUpstreams(h)
	}
	for i := range t.Services {
		e.arrivals = append(e.arrivals, &arrivals{service: i, rng: rand.New(rand.NewPCG(t.Seed, uint64(i)+1))})
	}
	return e
}

func (e *engine) resetUpstreams(h *host) {
	h.upstreams = nil
	for i, s := range e.trace.Services {
		h.upstreams = append(h.upstreams, &upstream{
			service: i, queue: e.policy.newAdmissionQueue(s.Slots), running: map[string]*request{}, waiting: map[string]*request{},
		})
	}
}

// run replays the whole trace and returns the measurements.
func (e *engine) run() *stats {
	for _, event := range e.trace.Events {
		e.timeline.after(seconds(event.AtSeconds), func() { e.apply(event) })
	}
	e.timeline.every(progressInterval, e.advanceTasks)
	e.timeline.every(reportInterval, func() {
		for _, h := range e.hosts {
			h.recordReport(e.timeline.now())
		}
		e.policy.tick()
		e.stats.checkCapacity(e)
	})
	e.timeline.runUntil(startTime.Add(seconds(e.trace.Seconds)))
	return e.stats
}

func (e *engine) apply(event Event) {
	switch event.Kind {
	case EventLoad:
		e.setLoad(e.trace.serviceIndex(event.Service), event.PerSecond)
	case EventJob:
		e.submit(event)
	case EventCancel:
		e.cancel(event.Job)
	case EventDomainOut:
		e.maintenance, e.maintenanceUntil = true, time.Time{}
		e.outSince[event.Domain] = e.timeline.now()
		e.policy.domainChanged(event.Domain, true)
	case EventDomainIn:
		e.maintenanceUntil = e.timeline.now().Add(maintenanceRecovery)
		delete(e.outSince, event.Domain)
		e.returnedAt[event.Domain] = e.timeline.now()
		e.eachHost(event.Domain, e.powerOn)
		e.policy.domainChanged(event.Domain, false)
	case EventPowerOff:
		e.eachHost(event.Domain, e.powerOff)
	case EventWorkerOff:
		e.powerOff(e.hosts[e.trace.workerIndex(event.Worker)])
	case EventWorkerOn:
		e.powerOn(e.hosts[e.trace.workerIndex(event.Worker)])
	case EventWorkerFailsTasks:
		e.hosts[e.trace.workerIndex(event.Worker)].failsAllTasks = true
	case EventStoreDown:
		e.storeDownSince = e.timeline.now()
	case EventStoreUp:
		e.storeDownSince = time.Time{}
	}
}

func (e *engine) eachHost(domain string, do func(*host)) {
	for _, h := range e.hosts {
		if h.worker.FailureDomain == domain {
			do(h)
		}
	}
}

func (e *engine) powerOn(h *host) {
	if h.up {
		return
	}
	h.up, h.batchShare = true, 1
	e.resetUpstreams(h)
}

// powerOff drops all requests and tasks of a host. Tasks lose the work since their last checkpoint.
func (e *engine) powerOff(h *host) {
	if !h.up {
		return
	}
	h.up = false
	h.reports = nil
	tasks := slices.Clone(h.tasks)
	for _, t := range tasks {
		h.remove(t)
		e.stats.discardUnsavedWork(e, t)
	}
	for _, u := range h.upstreams {
		e.dropRequests(u)
	}
	e.policy.hostLost(h, tasks)
}

func (e *engine) inMaintenance() bool {
	return e.maintenance && (e.maintenanceUntil.IsZero() || e.timeline.now().Before(e.maintenanceUntil))
}

func (e *engine) advanceTasks() {
	for _, h := range e.hosts {
		finished, work := h.advanceTasks(progressInterval)
		e.stats.addWork(e, work)
		for _, t := range finished {
			t.state = structs.TaskFinished
			h.remove(t)
			e.stats.finished++
			e.policy.taskEnded(t, h, false)
		}
	}
}
