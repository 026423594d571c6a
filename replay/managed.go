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

// Parameters that real processes read from their settings.
const (
	maxWaitingRequests = 32
	// leaseExpiryDelay is how long the tasks of a failed host wait, so that their leases have certainly expired.
	leaseExpiryDelay = 5 * time.Second
	// startFreshness is how long tasks may be started after the last successful read of the store.
	startFreshness    = 3 * time.Second
	suspectFor        = 2 * time.Second
	announcementBytes = 300
)

// managedPolicy applies the routing, admission and scheduling packages that the processes use.
type managedPolicy struct {
	engine *engine
	tables []*routing.Table
	// incarnations counts the restarts of each host's agent.
	incarnations  []int
	sequence      int64
	guardStates   []guard.State
	planner       scheduler.Planner
	sizing        *sizing.Model
	interference  *interference.Model
	quarantine    *quarantine.Model
	retryPolicy   quarantine.RetryPolicy
	failures      map[*task]int
	unschedulable map[string]bool
}

// attemptState holds the present attempt of a request and the upstreams that were tried before.
type attemptState struct {
	ticket *routing.RequestTracker
	id     routing.AgentID
	tried  []routing.AgentID
}

func newManagedPolicy(e *engine) policy {
	m := &managedPolicy{
		engine: e, incarnations: make([]int, len(e.hosts)), guardStates: make([]guard.State, len(e.hosts)),
		sizing: sizing.New(sizing.Config{}), interference: interference.New(interference.Config{Limit: e.trace.Rules.MaxSlowdown}),
		quarantine: quarantine.New(quarantine.Config{}), failures: map[*task]int{}, unschedulable: map[string]bool{},
	}
	m.quarantine.SetFleetSize(len(e.hosts))
	for _, s := range e.trace.Services {
		m.interference.SetObjective(s.Name, s.ObjectiveMillis)
	}
	for _, domain := range e.trace.EntryDomains {
		m.tables = append(m.tables, routing.NewTable(routing.Options{
			Domain: domain, Clock: e.timeline.clock, Pacing: routing.AnnouncePacing{BytesPerSecond: 12_000, Min: time.Second, Max: 30 * time.Second},
			RemoteDelay: 2 * millis(e.trace.Network.DomainOneWayMillis), FailurePenalty: time.Second,
			DefaultServiceTime: 20 * time.Millisecond, IntN: rand.New(rand.NewPCG(e.trace.Seed, 0)).IntN,
		}))
	}
	e.timeline.after(0, m.announceAll)
	e.timeline.every(reportInterval, m.announceAll)
	return m
}

func (m *managedPolicy) newAdmissionQueue(slots int) admissionQueue {
	return limit.NewQueue(limit.QueueLimits{Slots: slots, MaxWaiting: maxWaitingRequests})
}

func (m *managedPolicy) announceAll() {
	for _, h := range m.engine.hosts {
		if h.up {
			m.announce(h)
		}
	}
}

func (m *managedPolicy) announce(h *host) {
	m.sequence++
	a := structs.Announcement{
		Agent: h.worker.Name, Incarnation: strconv.Itoa(m.incarnations[h.index]), Sequence: m.sequence,
		StartedUnixNano: int64(m.incarnations[h.index]) + 1, Address: h.worker.Address, FailureDomain: h.worker.FailureDomain,
	}
	for _, u := range h.upstreams {
		service, load := m.engine.trace.Services[u.service], u.queue.Load()
		a.Upstreams = append(a.Upstreams, structs.Upstream{
			Service: service.Name, Slots: service.Slots, Connections: service.Connections,
			Running: load.Running, Queued: load.Queued, Leaving: u.leaving,
		})
	}
	for _, table := range m.tables {
		_, _ = table.Apply(&a, announcementBytes)
	}
}

func (m *managedPolicy) choose(r *request) (*host, bool) {
	state, _ := r.policyState.(*attemptState)
	if state == nil {
		state = &attemptState{}
		r.policyState = state
	}
	table := m.tables[r.entry]
	candidate, verdict := table.Choose(m.engine.trace.Services[r.service].Name, state.tried)
	if verdict != routing.Chosen {
		return nil, false
	}
	state.ticket, state.id = table.Begin(candidate), candidate.ID()
	return m.engine.hosts[m.engine.trace.workerIndex(candidate.Agent)], true
}

func (m *managedPolicy) attemptEnded(r *request, end attemptEnd) {
	state := r.policyState.(*attemptState)
	load := routing.Load{Running: r.lastLoad.Running, Queued: r.lastLoad.Queued, Slots: r.lastLoad.Slots}
	switch end {
	case endAnswered:
		state.ticket.Done(routing.Observation{Answered: true, Latency: m.engine.timeline.now().Sub(r.sentAt), Load: &load})
	case endRefused:
		state.ticket.Done(routing.Observation{Load: &load})
		state.tried = append(state.tried, state.id)
	case endTimedOut:
		state.ticket.Done(routing.Observation{})
		m.tables[r.entry].Suspect(state.id, suspectFor)
		state.tried = append(state.tried, state.id)
	}
}

func (m *managedPolicy) domainChanged(domain string, out bool) {
	m.engine.eachHost(domain, func(h *host) {
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

func (m *managedPolicy) hostLost(h *host, tasks []*task) {
	m.incarnations[h.index]++
	m.guardStates[h.index] = guard.State{}
	m.interference.ForgetWorker(h.worker.Name)
	m.engine.requeue(tasks, leaseExpiryDelay)
}

func (m *managedPolicy) taskEnded(t *task, h *host, failed bool) {
	now := m.engine.timeline.now()
	if !failed {
		m.quarantine.RecordSuccess(t.job.spec.ID, h.worker.Name, now)
		return
	}
	m.quarantine.RecordFailure(t.job.spec.ID, h.worker.Name, now)
	m.failures[t]++
	wait, again := m.retryPolicy.NextDelay(structs.TaskID{JobID: t.job.spec.ID, Index: t.index}, m.failures[t], 0)
	if !again || m.quarantine.JobFaultReason(t.job.spec.ID) != "" {
		t.state = structs.TaskFailed
		return
	}
	t.notBefore = now.Add(wait)
}

func (m *managedPolicy) tick() {
	now := m.engine.timeline.now()
	for _, h := range m.engine.hosts {
		if !h.up {
			continue
		}
		m.processReports(h, now)
		for _, u := range h.upstreams {
			m.engine.applyQueueChanges(h, u, u.queue.Tick(now))
		}
	}
	m.interference.Advance(now)
	m.quarantine.Advance(now)
	if since := m.engine.storeDownSince; !since.IsZero() && now.Sub(since) > startFreshness {
		m.suspendBatchAfterValidity(now.Sub(since))
		return
	}
	m.plan(now)
}

// suspendBatchAfterValidity stops batch tasks once the store has been down for longer than the owner validity, after which
// leases are no longer renewed.
func (m *managedPolicy) suspendBatchAfterValidity(down time.Duration) {
	if down <= seconds(m.engine.trace.OwnerValiditySeconds) {
		return
	}
	for _, h := range m.engine.hosts {
		h.batchShare = 0
	}
}

// processReports passes the reports that have arrived from a host to the models and the guard.
func (m *managedPolicy) processReports(h *host, now time.Time) {
	m.interference.SetLoads(h.worker.Name, batchLoads(h), now)
	reports := h.takeReports(seconds(m.engine.trace.UsageLagSeconds), now)
	for _, r := range reports {
		age := now.Sub(r.at)
		for service, latency := range r.latency {
			if latency > 0 {
				m.interference.Observe(h.worker.Name, m.engine.trace.Services[service].Name, latency, age, now)
			}
		}
		for _, u := range r.tasks {
			m.sizing.Observe(u.task.class.Name, u.used, u.task.reservation, age, now)
			u.task.peakUsage = structs.Resources{
				MilliCores: max(u.task.peakUsage.MilliCores, u.used.MilliCores),
				MemoryMB:   max(u.task.peakUsage.MemoryMB, u.used.MemoryMB),
			}
		}
	}
	if len(reports) > 0 {
		m.applyGuard(h, reports[len(reports)-1], now)
	}
}

func batchLoads(h *host) []interference.Load {
	var loads []interference.Load
	at := map[string]int{}
	for _, t := range h.tasks {
		share := h.batchShare * float64(t.reservation.MilliCores) / float64(h.worker.Capacity.MilliCores)
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

func (m *managedPolicy) applyGuard(h *host, r hostReport, now time.Time) {
	input := guard.Input{Capacity: h.worker.Capacity, Used: r.used}
	for service, latency := range r.latency {
		s := m.engine.trace.Services[service]
		input.Services = append(input.Services, guard.ServiceLatency{
			AllocationID: s.Name + "@" + h.worker.Name, LatencyMillis: latency, ObjectiveMillis: s.ObjectiveMillis, Age: now.Sub(r.at),
		})
	}
	byID := map[string]*task{}
	for _, t := range h.tasks {
		id := allocationID(t)
		byID[id] = t
		input.Batch = append(input.Batch, guard.BatchTask{
			AllocationID: id, Priority: t.job.spec.Priority, Urgent: t.job.spec.Urgent, WorkDone: t.completed,
			Reserved: t.reservation, Used: t.peakUsage, Evicting: t.state == structs.TaskEvicting,
		})
	}
	rules := m.engine.trace.Rules
	state, action := guard.Decide(guard.Rules{
		ThrottleAt: rules.ThrottleAt, ResumeAt: rules.ResumeAt, EvictAt: rules.EvictAt, EvictAfter: seconds(rules.EvictAfterSeconds),
	}, m.guardStates[h.index], input, now)
	m.guardStates[h.index] = state
	h.batchShare = action.Share
	for _, id := range action.Evict {
		if t := byID[id]; t != nil {
			m.engine.evict(t)
		}
	}
}

func allocationID(t *task) string {
	return t.job.spec.ID + "/" + strconv.Itoa(t.index) + "/" + strconv.Itoa(t.attempt)
}
