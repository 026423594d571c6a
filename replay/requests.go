package replay

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/quetzalshed/quetzalshed/limit"
)

const (
	localOneWay = 200 * time.Microsecond
	// silenceTimeout is how long an entry waits for data on a connection before it gives up an attempt.
	silenceTimeout = 1500 * time.Millisecond
	maxAttempts    = 4
)

// attemptEnd is the result of one attempt as the entry sees it.
type attemptEnd int

const (
	endAnswered attemptEnd = iota
	endRefused
	endTimedOut
)

// request is a simulated request of a caller.
type request struct {
	id        string
	service   int
	entry     int
	arrivedAt time.Time
	deadline  time.Time
	// work is the service time without interference.
	work     time.Duration
	rng      *rand.Rand
	tried    []*host
	sentAt   time.Time
	lastLoad limit.Load
	ended    bool
	// attempts counts the attempts; events of earlier attempts are ignored.
	attempts    int
	policyState any
}

// arrivals generates the requests of one service as a Poisson process. It has its own random generator, so that all
// policies see the same requests.
type arrivals struct {
	service    int
	perSecond  float64
	generation int
	rng        *rand.Rand
}

func (e *engine) setLoad(service int, perSecond float64) {
	a := e.arrivals[service]
	a.perSecond = perSecond
	a.generation++
	e.scheduleArrival(a, a.generation)
}

func (e *engine) scheduleArrival(a *arrivals, generation int) {
	if a.perSecond <= 0 {
		return
	}
	e.timeline.after(seconds(a.rng.ExpFloat64()/a.perSecond), func() {
		if a.generation != generation {
			return
		}
		e.arrive(a)
		e.scheduleArrival(a, generation)
	})
}

func (e *engine) arrive(a *arrivals) {
	e.requests++
	service := &e.trace.Services[a.service]
	work := service.MedianMillis * math.Exp(service.Sigma*a.rng.NormFloat64())
	r := &request{
		id: strconv.FormatUint(e.requests, 10), service: a.service, arrivedAt: e.timeline.now(), work: millis(work),
		entry: int(e.requests) % len(e.trace.EntryDomains), deadline: e.timeline.now().Add(millis(service.DeadlineMillis)),
		rng: rand.New(rand.NewPCG(e.trace.Seed^0x9e37, e.requests)),
	}
	e.stats.services[a.service].requests++
	e.timeline.after(e.drawDelay(r, e.trace.Network.CallerOneWayMillis, false), func() { e.dispatch(r) })
}

// drawDelay draws a random delay for one message.
func (e *engine) drawDelay(r *request, oneWayMillis float64, lossy bool) time.Duration {
	n := e.trace.Network
	d := oneWayMillis * math.Max(0.5, 1+n.JitterFraction*r.rng.NormFloat64())
	if lossy && r.rng.Float64() < n.LossFraction {
		d += n.RetransmitMillis
	}
	return millis(d)
}

func (e *engine) networkDelay(r *request, h *host) time.Duration {
	if h.worker.FailureDomain == e.trace.EntryDomains[r.entry] {
		return localOneWay
	}
	return e.drawDelay(r, e.trace.Network.DomainOneWayMillis, true)
}

// dispatch sends a request to the host that the policy selects.
func (e *engine) dispatch(r *request) {
	if r.ended {
		return
	}
	if !e.timeline.now().Before(r.deadline) || r.attempts >= maxAttempts {
		e.respond(r, false)
		return
	}
	h, ok := e.policy.choose(r)
	if !ok {
		e.respond(r, false)
		return
	}
	r.attempts++
	r.sentAt = e.timeline.now()
	attempt := r.attempts
	e.timeline.after(e.networkDelay(r, h), func() { e.receive(r, h, attempt) })
}

func (e *engine) receive(r *request, h *host, attempt int) {
	if !h.up {
		e.timeOutAttempt(r, h, attempt)
		return
	}
	u := h.upstreams[r.service]
	if u.leaving {
		e.refuseAttempt(r, h, u, attempt)
		return
	}
	u.waiting[r.id] = r
	e.applyQueueChanges(h, u, u.queue.Offer(limit.Request{ID: r.id, Deadline: r.deadline}, e.timeline.now()))
}

func (e *engine) applyQueueChanges(h *host, u *upstream, changes limit.Decisions) {
	for _, id := range changes.Start {
		r := u.waiting[id]
		delete(u.waiting, id)
		u.running[id] = r
		e.serve(h, u, r)
	}
	for _, refusal := range changes.Refuse {
		if r := u.waiting[refusal.ID]; r != nil {
			delete(u.waiting, refusal.ID)
			e.refuseAttempt(r, h, u, r.attempts)
		}
	}
}

// serve occupies a slot for the service time under the present load of the host.
func (e *engine) serve(h *host, u *upstream, r *request) {
	took := time.Duration(float64(r.work) * h.slowdown(e.trace.Services[r.service].Name))
	attempt := r.attempts
	e.timeline.after(took, func() {
		if u.running[r.id] != r || r.attempts != attempt {
			return
		}
		delete(u.running, r.id)
		h.serviceTimes[r.service][0] = append(h.serviceTimes[r.service][0], took.Seconds()*1000)
		e.applyQueueChanges(h, u, u.queue.Finish(r.id, took, e.timeline.now()))
		load := u.queue.Load()
		e.timeline.after(e.networkDelay(r, h), func() { e.answerAttempt(r, h, load, attempt) })
	})
}

func (e *engine) answerAttempt(r *request, h *host, load limit.Load, attempt int) {
	if r.ended || r.attempts != attempt {
		return
	}
	r.lastLoad = load
	e.policy.attemptEnded(r, endAnswered)
	e.respond(r, true)
}

func (e *engine) refuseAttempt(r *request, h *host, u *upstream, attempt int) {
	load := u.queue.Load()
	e.timeline.after(e.networkDelay(r, h), func() {
		if r.ended || r.attempts != attempt {
			return
		}
		r.lastLoad = load
		r.tried = append(r.tried, h)
		e.policy.attemptEnded(r, endRefused)
		e.dispatch(r)
	})
}

// timeOutAttempt ends an attempt at a host that no longer answers.
func (e *engine) timeOutAttempt(r *request, h *host, attempt int) {
	e.timeline.after(silenceTimeout, func() {
		if r.ended || r.attempts != attempt {
			return
		}
		r.tried = append(r.tried, h)
		e.policy.attemptEnded(r, endTimedOut)
		e.dispatch(r)
	})
}

// dropRequests drops the requests of an upstream whose host has failed.
func (e *engine) dropRequests(u *upstream) {
	for _, requests := range []map[string]*request{u.running, u.waiting} {
		// The order decides ties, so the IDs are sorted to make replays deterministic.
		for _, id := range slices.Sorted(maps.Keys(requests)) {
			r := requests[id]
			delete(requests, id)
			e.timeOutAttempt(r, nil, r.attempts)
		}
	}
}

// respond returns the final result to the caller.
func (e *engine) respond(r *request, ok bool) {
	r.ended = true
	latency := e.timeline.now().Sub(r.arrivedAt) + e.drawDelay(r, e.trace.Network.CallerOneWayMillis, false)
	e.stats.services[r.service].record(latency, ok && latency <= r.deadline.Sub(r.arrivedAt))
}
