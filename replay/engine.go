package replay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Intervals of the replay.
const (
	progressStep = 100 * time.Millisecond
	reportEvery  = time.Second
	startDelay   = 200 * time.Millisecond
	// checkpointTime is how long a task takes to save its state before it leaves a worker.
	checkpointTime = time.Second
	// moveTail is how long after its return a failure domain's move still counts, since work has to come back.
	moveTail = 30 * time.Second
	// failingTaskTime is how long a task runs on a worker that fails everything.
	failingTaskTime = 2 * time.Second
)

// start is the virtual time at which every replay begins.
var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// policy is the set of decisions under test.
type policy interface {
	// newAdmission returns the queue of one upstream.
	newAdmission(slots int) admission
	// choose returns the host for a request, or false when it is given up on.
	choose(r *request) (*host, bool)
	// settled tells how an attempt ended.
	settled(r *request, end attemptEnd)
	// tick decides about batch work; it runs once a second.
	tick()
	// domainChanged tells that an operator has taken a failure domain out or brought it back.
	domainChanged(domain string, out bool)
	// lost tells that a host has gone with the tasks that ran on it.
	lost(h *host, tasks []*task)
	// ended tells that a task finished or failed.
	ended(t *task, h *host, failed bool)
}

// engine holds the state of one replay.
type engine struct {
	trace    *Trace
	line     *timeline
	hosts    []*host
	jobs     []*job
	policy   policy
	stats    *stats
	arrivals []*arrivals
	out      map[string]time.Time
	returned map[string]time.Time
	// storeDownSince is zero while the store answers.
	storeDownSince time.Time
	movingUntil    time.Time
	moving         bool
	requests       uint64
}

func newEngine(t *Trace, build func(*engine) policy) *engine {
	e := &engine{
		trace: t, line: &timeline{clock: clock.NewManual(start)}, stats: newStats(t),
		out: map[string]time.Time{}, returned: map[string]time.Time{},
	}
	for i, w := range t.Workers {
		e.hosts = append(e.hosts, &host{index: i, worker: w, up: true, share: 1, window: make([][windowIntervals][]float64, len(t.Services))})
	}
	e.policy = build(e)
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
			service: i, queue: e.policy.newAdmission(s.Slots), running: map[string]*request{}, waiting: map[string]*request{},
		})
	}
}

// run replays the whole trace and returns what was measured.
func (e *engine) run() *stats {
	for _, event := range e.trace.Events {
		e.line.after(seconds(event.AtSeconds), func() { e.apply(event) })
	}
	e.line.every(progressStep, e.progress)
	e.line.every(reportEvery, func() {
		for _, h := range e.hosts {
			h.measure(e.line.now())
		}
		e.policy.tick()
		e.stats.checkCapacity(e)
	})
	e.line.runUntil(start.Add(seconds(e.trace.Seconds)))
	return e.stats
}

func (e *engine) apply(event Event) {
	switch event.Kind {
	case EventLoad:
		e.setLoad(e.trace.service(event.Service), event.PerSecond)
	case EventJob:
		e.submit(event)
	case EventCancel:
		e.cancel(event.Job)
	case EventDomainOut:
		e.moving, e.movingUntil = true, time.Time{}
		e.out[event.Domain] = e.line.now()
		e.policy.domainChanged(event.Domain, true)
	case EventDomainIn:
		e.movingUntil = e.line.now().Add(moveTail)
		delete(e.out, event.Domain)
		e.returned[event.Domain] = e.line.now()
		e.eachHost(event.Domain, e.powerOn)
		e.policy.domainChanged(event.Domain, false)
	case EventPowerOff:
		e.eachHost(event.Domain, e.powerOff)
	case EventWorkerOff:
		e.powerOff(e.hosts[e.trace.worker(event.Worker)])
	case EventWorkerOn:
		e.powerOn(e.hosts[e.trace.worker(event.Worker)])
	case EventFailAll:
		e.hosts[e.trace.worker(event.Worker)].failsAll = true
	case EventStoreDown:
		e.storeDownSince = e.line.now()
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
	h.up, h.share = true, 1
	e.resetUpstreams(h)
}

// powerOff loses everything that runs on a host. Tasks fall back to what their checkpoints hold.
func (e *engine) powerOff(h *host) {
	if !h.up {
		return
	}
	h.up = false
	h.reports = nil
	tasks := slices.Clone(h.tasks)
	for _, t := range tasks {
		h.remove(t)
		e.stats.lose(e, t)
	}
	for _, u := range h.upstreams {
		e.dropRequests(u)
	}
	e.policy.lost(h, tasks)
}

func (e *engine) inMove() bool {
	return e.moving && (e.movingUntil.IsZero() || e.line.now().Before(e.movingUntil))
}

func (e *engine) progress() {
	for _, h := range e.hosts {
		finished, work := h.progress(progressStep)
		e.stats.addWork(e, work)
		for _, t := range finished {
			t.state = structs.TaskFinished
			h.remove(t)
			e.stats.finished++
			e.policy.ended(t, h, false)
		}
	}
}
