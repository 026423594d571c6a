package replay

import (
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler"
	// Registers the filters and scores that production uses.
	_ "github.com/quetzalshed/quetzalshed/scheduler/plugins"
	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/structs"
)

// maxPendingTasks limits the pending tasks in one snapshot.
const maxPendingTasks = 512

func (m *managedPolicy) plan(now time.Time) {
	tasks := map[structs.TaskID]*task{}
	running := map[string]*task{}
	snapshot := scheduler.Snapshot{
		Rules: scheduler.Rules{
			Out: m.engine.outSince, Returned: m.engine.returnedAt, InterferenceLimit: m.engine.trace.Rules.MaxSlowdown,
			ExplorationTasks: m.engine.trace.Rules.ExplorationTasks,
		},
		Interference: m.interference, Quarantine: m.quarantine,
	}
	for _, h := range m.engine.hosts {
		if h.up {
			snapshot.Workers = append(snapshot.Workers, m.workerView(h, running))
		}
	}
	m.engine.eachPending(func(t *task) bool {
		if m.unschedulable[t.job.spec.ID] {
			return true
		}
		pending := scheduler.PendingTask{
			Job: &t.job.spec, Index: t.index, Attempt: t.attempt + 1, WorkDone: t.checkpointed,
			Resources: m.sizing.Reservation(t.class.Name, t.class.Declared, t.peakUsage, now),
		}
		tasks[pending.ID()] = t
		snapshot.Pending = append(snapshot.Pending, pending)
		return len(snapshot.Pending) < maxPendingTasks
	})
	plan := m.planner.Plan(snapshot, now)
	rejections := m.planner.Rejections()
	m.applyDecisions(plan, tasks, running)
	for _, h := range m.engine.hosts {
		m.engine.stats.cpuTime.add(m.engine, h, rejections[h.worker.Name])
	}
}

func (m *managedPolicy) applyDecisions(d scheduler.Decisions, tasks map[structs.TaskID]*task, running map[string]*task) {
	for _, p := range d.Place {
		if t := tasks[p.Task]; t != nil {
			if now := m.engine.timeline.now(); m.quarantine.Admits(p.Worker, now) == quarantine.AdmitProbe {
				m.quarantine.RecordProbeStart(p.Worker, now)
			}
			m.engine.place(t, m.engine.hosts[m.engine.trace.workerIndex(p.Worker)], p.Resources)
		}
	}
	for _, ev := range d.Evict {
		if t := running[ev.AllocationID]; t != nil {
			m.engine.evict(t)
		}
	}
	for _, v := range d.Unschedulable {
		if !m.unschedulable[v.JobID] {
			m.unschedulable[v.JobID] = true
			m.engine.stats.unschedulableJobs++
		}
	}
}

// workerView describes a host to the scheduler. It leaves out the upstreams of a failure domain that is out of service: they
// drain by themselves and need no replacement.
func (m *managedPolicy) workerView(h *host, running map[string]*task) scheduler.WorkerView {
	view := scheduler.WorkerView{Worker: h.worker, Reported: true}
	if _, out := m.engine.outSince[h.worker.FailureDomain]; !out {
		for i := range m.engine.trace.Services {
			s := &m.engine.trace.Services[i]
			view.Running = append(view.Running, scheduler.RunningTask{
				AllocationID: s.Name + "@" + h.worker.Name, Index: h.index, Resources: s.Reservation,
				Job:   &structs.Job{ID: s.Name, Name: s.Name, Kind: structs.KindService, Class: s.Name, Tasks: len(m.engine.hosts), Resources: s.Reservation},
				State: structs.TaskRunning, Ready: true,
			})
		}
	}
	for _, t := range h.tasks {
		id := allocationID(t)
		running[id] = t
		view.Running = append(view.Running, scheduler.RunningTask{
			AllocationID: id, Job: &t.job.spec, Index: t.index, Attempt: t.attempt, Resources: t.reservation,
			State: t.state, WorkDone: t.completed - t.checkpointed,
		})
	}
	return view
}
