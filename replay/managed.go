package replay

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/routing"
	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/scheduler/guard"
	"github.com/quetzalshed/quetzalshed/scheduler/interference"
	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/scheduler/sizing"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Parameters of the managed policy that the processes take from their settings.
const (
	queueLength = 32
	// leaseEnd is how long the tasks of a lost host wait until their leases have certainly ended.
	leaseEnd = 5 * time.Second
	// startFreshness is how long starts go on after the store was last read.
	startFreshness = 3 * time.Second
	suspectFor     = 2 * time.Second
	announceBytes  = 300
)

// managed applies the decision packages.
type managed struct {
	e      *engine
	tables []*routing.Table
	// incarnations counts the restarts of each host's agent.
	incarnations []int
	sequence     int64
	guards       []guard.State
	planner      scheduler.Planner
	sizes        *sizing.Model
	interference *interference.Model
	quarantine   *quarantine.Model
	retry        quarantine.RetryPolicy
	failures     map[*task]int
	verdicts     map[string]bool
}

// chosen is what a managed request remembers of its present attempt.
type chosen struct {
	ticket *routing.RequestTracker
	id     routing.AgentID
	tried  []routing.AgentID
}

func newManaged(e *engine) policy {
	m := &managed{
		e: e, incarnations: make([]int, len(e.hosts)), guards: make([]guard.State, len(e.hosts)),
		sizes: sizing.New(sizing.Config{}), interference: interference.New(interference.Config{Limit: e.trace.Rules.MaxSlowdown}),
		quarantine: quarantine.New(quarantine.Config{}), failures: map[*task]int{}, verdicts: map[string]bool{},
	}
	m.quarantine.SetFleetSize(len(e.hosts))
	for _, s := range e.trace.Services {
		m.interference.SetObjective(s.Name, s.ObjectiveMillis)
	}
	for _, domain := range e.trace.EntryDomains {
		m.tables = append(m.tables, routing.NewTable(routing.Options{
			Domain: domain, Clock: e.line.clock, Pacing: routing.AnnouncePacing{BytesPerSecond: 12_000, Min: time.Second, Max: 30 * time.Second},
			RemoteDelay: 2 * millis(e.trace.Network.DomainOneWayMillis), FailurePenalty: time.Second,
			DefaultServiceTime: 20 * time.Millisecond, IntN: rand.New(rand.NewPCG(e.trace.Seed, 0)).IntN,
		}))
	}
	e.line.after(0, m.announceAll)
	e.line.every(reportEvery, m.announceAll)
	return m
}

func (m *managed) newAdmission(slots int) admission {
	return limit.NewQueue(limit.QueueLimits{Slots: slots, MaxWaiting: queueLength})
}

func (m *managed) announceAll() {
	for _, h := range m.e.hosts {
		if h.up {
			m.announce(h)
		}
	}
}

func (m *managed) announce(h *host) {
	m.sequence++
	a := structs.Announcement{
		Agent: h.worker.Name, Incarnation: strconv.Itoa(m.incarnations[h.index]), Sequence: m.sequence,
		StartedUnixNano: int64(m.incarnations[h.index]) + 1, Address: h.worker.Address, FailureDomain: h.worker.FailureDomain,
	}
	for _, u := range h.upstreams {
		service, load := m.e.trace.Services[u.service], u.queue.Load()
		a.Upstreams = append(a.Upstreams, structs.Upstream{
			Service: service.Name, Slots: service.Slots, Connections: service.Connections,
			Running: load.Running, Queued: load.Queued, Leaving: u.leaving,
		})
	}
	for _, table := range m.tables {
		_, _ = table.Apply(&a, announceBytes)
	}
}

func (m *managed) choose(r *request) (*host, bool) {
	state, _ := r.state.(*chosen)
	if state == nil {
		state = &chosen{}
		r.state = state
	}
	table := m.tables[r.entry]
	candidate, verdict := table.Choose(m.e.trace.Services[r.service].Name, state.tried)
	if verdict != routing.Chosen {
		return nil, false
	}
	state.ticket, state.id = table.Begin(candidate), candidate.ID()
	return m.e.hosts[m.e.trace.worker(candidate.Agent)], true
}

func (m *managed) settled(r *request, end attemptEnd) {
	state := r.state.(*chosen)
	load := routing.Load{Running: r.load.Running, Queued: r.load.Queued, Slots: r.load.Slots}
	switch end {
	case endAnswered:
		state.ticket.Done(routing.Observation{Answered: true, Latency: m.e.line.now().Sub(r.sent), Load: &load})
	case endRefused:
		state.ticket.Done(routing.Observation{Load: &load})
		state.tried = append(state.tried, state.id)
	case endSilent:
		state.ticket.Done(routing.Observation{})
		m.tables[r.entry].Suspect(state.id, suspectFor)
		state.tried = append(state.tried, state.id)
	}
}

func (m *managed) domainChanged(domain string, out bool) {
	m.e.eachHost(domain, func(h *host) {
		for _, u := range h.upstreams {
			u.leaving = out
		}
		if !out {
			m.incarnations[h.index]++
		}
		if h.up {
			m.announce(h)
		}
	})
}

func (m *managed) lost(h *host, tasks []*task) {
	m.incarnations[h.index]++
	m.guards[h.index] = guard.State{}
	m.interference.ForgetWorker(h.worker.Name)
	m.e.requeue(tasks, leaseEnd)
}

func (m *managed) ended(t *task, h *host, failed bool) {
	now := m.e.line.now()
	if !failed {
		m.quarantine.RecordSuccess(t.job.spec.ID, h.worker.Name, now)
		return
	}
	m.quarantine.RecordFailure(t.job.spec.ID, h.worker.Name, now)
	m.failures[t]++
	wait, again := m.retry.NextDelay(structs.TaskID{JobID: t.job.spec.ID, Index: t.index}, m.failures[t], 0)
	if !again || m.quarantine.JobFaultReason(t.job.spec.ID) != "" {
		t.state = structs.TaskFailed
		return
	}
	t.notBefore = now.Add(wait)
}

func (m *managed) tick() {
	now := m.e.line.now()
	for _, h := range m.e.hosts {
		if !h.up {
			continue
		}
		m.learn(h, now)
		for _, u := range h.upstreams {
			m.e.settle(h, u, u.queue.Tick(now))
		}
	}
	m.interference.Advance(now)
	m.quarantine.Advance(now)
	if since := m.e.storeDownSince; !since.IsZero() && now.Sub(since) > startFreshness {
		m.suspendAfterValidity(now.Sub(since))
		return
	}
	m.plan(now)
}

// suspendAfterValidity stops batch once the owner may no longer renew leases.
func (m *managed) suspendAfterValidity(down time.Duration) {
	if down <= seconds(m.e.trace.OwnerValiditySeconds) {
		return
	}
	for _, h := range m.e.hosts {
		h.share = 0
	}
}

// learn feeds the reports that have arrived from a host to the models and to the guard.
func (m *managed) learn(h *host, now time.Time) {
	m.interference.SetLoads(h.worker.Name, batchLoads(h), now)
	reports := h.arrived(seconds(m.e.trace.UsageLagSeconds), now)
	for _, r := range reports {
		age := now.Sub(r.at)
		for service, latency := range r.latency {
			if latency > 0 {
				m.interference.Observe(h.worker.Name, m.e.trace.Services[service].Name, latency, age, now)
			}
		}
		for _, u := range r.tasks {
			m.sizes.Observe(u.task.class.Name, u.used, u.task.reservation, age, now)
			u.task.peak = structs.Resources{
				MilliCores: max(u.task.peak.MilliCores, u.used.MilliCores),
				MemoryMB:   max(u.task.peak.MemoryMB, u.used.MemoryMB),
			}
		}
	}
	if len(reports) > 0 {
		m.guard(h, reports[len(reports)-1], now)
	}
}

func batchLoads(h *host) []interference.Load {
	var loads []interference.Load
	at := map[string]int{}
	for _, t := range h.tasks {
		share := h.share * float64(t.reservation.MilliCores) / float64(h.worker.Capacity.MilliCores)
		i, known := at[t.class.Name]
		if !known {
			i = len(loads)
			at[t.class.Name] = i
			loads = append(loads, interference.Load{Class: t.class.Name})
		}
		loads[i].Share += share
	}
	return loads
}

func (m *managed) guard(h *host, r report, now time.Time) {
	input := guard.Input{Capacity: h.worker.Capacity, Used: r.used}
	for service, latency := range r.latency {
		s := m.e.trace.Services[service]
		input.Services = append(input.Services, guard.ServiceLatency{
			AllocationID: s.Name + "@" + h.worker.Name, LatencyMillis: latency, ObjectiveMillis: s.ObjectiveMillis, Age: now.Sub(r.at),
		})
	}
	byID := map[string]*task{}
	for _, t := range h.tasks {
		id := allocationID(t)
		byID[id] = t
		input.Batch = append(input.Batch, guard.BatchTask{
			AllocationID: id, Priority: t.job.spec.Priority, Urgent: t.job.spec.Urgent, WorkDone: t.done,
			Reserved: t.reservation, Used: t.peak, Evicting: t.state == structs.TaskEvicting,
		})
	}
	rules := m.e.trace.Rules
	state, action := guard.Decide(guard.Rules{
		ThrottleAt: rules.ThrottleAt, ResumeAt: rules.ResumeAt, EvictAt: rules.EvictAt, EvictAfter: seconds(rules.EvictAfterSeconds),
	}, m.guards[h.index], input, now)
	m.guards[h.index] = state
	h.share = action.Share
	for _, id := range action.Evict {
		if t := byID[id]; t != nil {
			m.e.evict(t)
		}
	}
}

func allocationID(t *task) string {
	return t.job.spec.ID + "/" + strconv.Itoa(t.index) + "/" + strconv.Itoa(t.attempt)
}
