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
	// silence is how long an entry waits for a sign of life inside a connection.
	silence     = 1500 * time.Millisecond
	maxAttempts = 4
)

// attemptEnd tells how one send of a request ended, as far as the entry can tell.
type attemptEnd int

const (
	endAnswered attemptEnd = iota
	endRefused
	endSilent
)

// request is one caller's request.
type request struct {
	id       string
	service  int
	entry    int
	arrived  time.Time
	deadline time.Time
	// work is the time that the request holds a slot when nothing disturbs it.
	work  time.Duration
	rng   *rand.Rand
	tried []*host
	sent  time.Time
	load  limit.Load
	ended bool
	// attempts counts sends; events of earlier sends are ignored.
	attempts int
	state    any
}

// arrivals is the Poisson process of one service. It has a generator of its own, so that all policies see the same
// requests.
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
	e.line.after(seconds(a.rng.ExpFloat64()/a.perSecond), func() {
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
		id: strconv.FormatUint(e.requests, 10), service: a.service, arrived: e.line.now(), work: millis(work),
		entry: int(e.requests) % len(e.trace.EntryDomains), deadline: e.line.now().Add(millis(service.DeadlineMillis)),
		rng: rand.New(rand.NewPCG(e.trace.Seed^0x9e37, e.requests)),
	}
	e.stats.services[a.service].requests++
	e.line.after(e.delay(r, e.trace.Network.CallerOneWayMillis, false), func() { e.dispatch(r) })
}

// delay draws the time of one message.
func (e *engine) delay(r *request, oneWayMillis float64, lossy bool) time.Duration {
	n := e.trace.Network
	d := oneWayMillis * math.Max(0.5, 1+n.JitterFraction*r.rng.NormFloat64())
	if lossy && r.rng.Float64() < n.LossFraction {
		d += n.RetransmitMillis
	}
	return millis(d)
}

func (e *engine) hop(r *request, h *host) time.Duration {
	if h.worker.FailureDomain == e.trace.EntryDomains[r.entry] {
		return localOneWay
	}
	return e.delay(r, e.trace.Network.DomainOneWayMillis, true)
}

// dispatch sends a request to the host that the policy chooses.
func (e *engine) dispatch(r *request) {
	if r.ended {
		return
	}
	if !e.line.now().Before(r.deadline) || r.attempts >= maxAttempts {
		e.respond(r, false)
		return
	}
	h, ok := e.policy.choose(r)
	if !ok {
		e.respond(r, false)
		return
	}
	r.attempts++
	r.sent = e.line.now()
	attempt := r.attempts
	e.line.after(e.hop(r, h), func() { e.receive(r, h, attempt) })
}

func (e *engine) receive(r *request, h *host, attempt int) {
	if !h.up {
		e.silent(r, h, attempt)
		return
	}
	u := h.upstreams[r.service]
	if u.leaving {
		e.refused(r, h, u, attempt)
		return
	}
	u.waiting[r.id] = r
	e.settle(h, u, u.queue.Offer(limit.Request{ID: r.id, Deadline: r.deadline}, e.line.now()))
}

func (e *engine) settle(h *host, u *upstream, changes limit.Decisions) {
	for _, id := range changes.Start {
		r := u.waiting[id]
		delete(u.waiting, id)
		u.running[id] = r
		e.serve(h, u, r)
	}
	for _, refusal := range changes.Refuse {
		if r := u.waiting[refusal.ID]; r != nil {
			delete(u.waiting, refusal.ID)
			e.refused(r, h, u, r.attempts)
		}
	}
}

// serve holds a slot for the time that the request takes beside what runs on the host now.
func (e *engine) serve(h *host, u *upstream, r *request) {
	took := time.Duration(float64(r.work) * h.slowdown(e.trace.Services[r.service].Name))
	attempt := r.attempts
	e.line.after(took, func() {
		if u.running[r.id] != r || r.attempts != attempt {
			return
		}
		delete(u.running, r.id)
		h.window[r.service][0] = append(h.window[r.service][0], took.Seconds()*1000)
		e.settle(h, u, u.queue.Finish(r.id, took, e.line.now()))
		load := u.queue.Load()
		e.line.after(e.hop(r, h), func() { e.answered(r, h, load, attempt) })
	})
}

func (e *engine) answered(r *request, h *host, load limit.Load, attempt int) {
	if r.ended || r.attempts != attempt {
		return
	}
	r.load = load
	e.policy.settled(r, endAnswered)
	e.respond(r, true)
}

func (e *engine) refused(r *request, h *host, u *upstream, attempt int) {
	load := u.queue.Load()
	e.line.after(e.hop(r, h), func() {
		if r.ended || r.attempts != attempt {
			return
		}
		r.load = load
		r.tried = append(r.tried, h)
		e.policy.settled(r, endRefused)
		e.dispatch(r)
	})
}

// silent ends an attempt whose host no longer answers.
func (e *engine) silent(r *request, h *host, attempt int) {
	e.line.after(silence, func() {
		if r.ended || r.attempts != attempt {
			return
		}
		r.tried = append(r.tried, h)
		e.policy.settled(r, endSilent)
		e.dispatch(r)
	})
}

// dropRequests loses the requests of an upstream whose host has failed.
func (e *engine) dropRequests(u *upstream) {
	for _, lost := range []map[string]*request{u.running, u.waiting} {
		// Sorted, since the order decides about ties and a replay must give the same result each time.
		for _, id := range slices.Sorted(maps.Keys(lost)) {
			r := lost[id]
			delete(lost, id)
			e.silent(r, nil, r.attempts)
		}
	}
}

// respond sends the final answer to the caller.
func (e *engine) respond(r *request, ok bool) {
	r.ended = true
	latency := e.line.now().Sub(r.arrived) + e.delay(r, e.trace.Network.CallerOneWayMillis, false)
	e.stats.services[r.service].record(latency, ok && latency <= r.deadline.Sub(r.arrived))
}
