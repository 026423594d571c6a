package replay

import (
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler"
	// The plug-ins register the filters and scores that production uses.
	_ "github.com/quetzalshed/quetzalshed/scheduler/plugins"
	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/structs"
)

// maxPending bounds the pending tasks of one snapshot.
const maxPending = 512

func (m *managed) plan(now time.Time) {
	tasks := map[structs.TaskID]*task{}
	running := map[string]*task{}
	snapshot := scheduler.Snapshot{
		Rules: scheduler.Rules{
			Out: m.e.out, Returned: m.e.returned, InterferenceLimit: m.e.trace.Rules.MaxSlowdown,
			ExplorationTasks: m.e.trace.Rules.ExplorationTasks,
		},
		Interference: m.interference, Quarantine: m.quarantine,
	}
	for _, h := range m.e.hosts {
		if h.up {
			snapshot.Workers = append(snapshot.Workers, m.view(h, running))
		}
	}
	m.e.eachPending(func(t *task) bool {
		if m.verdicts[t.job.spec.ID] {
			return true
		}
		pending := scheduler.PendingTask{
			Job: &t.job.spec, Index: t.index, Attempt: t.attempt + 1, WorkDone: t.saved,
			Resources: m.sizes.Reservation(t.class.Name, t.class.Declared, t.peak, now),
		}
		tasks[pending.ID()] = t
		snapshot.Pending = append(snapshot.Pending, pending)
		return len(snapshot.Pending) < maxPending
	})
	plan := m.planner.Plan(snapshot, now)
	refusals := m.planner.Rejections()
	m.apply(plan, tasks, running)
	for _, h := range m.e.hosts {
		m.e.stats.shares.add(m.e, h, refusals[h.worker.Name])
	}
}

func (m *managed) apply(d scheduler.Decisions, tasks map[structs.TaskID]*task, running map[string]*task) {
	for _, p := range d.Place {
		if t := tasks[p.Task]; t != nil {
			if now := m.e.line.now(); m.quarantine.Admits(p.Worker, now) == quarantine.AdmitProbe {
				m.quarantine.RecordProbeStart(p.Worker, now)
			}
			m.e.place(t, m.e.hosts[m.e.trace.worker(p.Worker)], p.Resources)
		}
	}
	for _, ev := range d.Evict {
		if t := running[ev.AllocationID]; t != nil {
			m.e.evict(t)
		}
	}
	for _, v := range d.Unschedulable {
		if !m.verdicts[v.JobID] {
			m.verdicts[v.JobID] = true
			m.e.stats.verdicts++
		}
	}
}

// view describes a host to the scheduler. Upstreams of a domain that is out drain by themselves and need no replacement.
func (m *managed) view(h *host, running map[string]*task) scheduler.WorkerView {
	view := scheduler.WorkerView{Worker: h.worker, Reported: true}
	if _, out := m.e.out[h.worker.FailureDomain]; !out {
		for i := range m.e.trace.Services {
			s := &m.e.trace.Services[i]
			view.Running = append(view.Running, scheduler.RunningTask{
				AllocationID: s.Name + "@" + h.worker.Name, Index: h.index, Resources: s.Reservation,
				Job:   &structs.Job{ID: s.Name, Name: s.Name, Kind: structs.KindService, Class: s.Name, Tasks: len(m.e.hosts), Resources: s.Reservation},
				State: structs.TaskRunning, Ready: true,
			})
		}
	}
	for _, t := range h.tasks {
		id := allocationID(t)
		running[id] = t
		view.Running = append(view.Running, scheduler.RunningTask{
			AllocationID: id, Job: &t.job.spec, Index: t.index, Attempt: t.attempt, Resources: t.reservation,
			State: t.state, WorkDone: t.done - t.saved,
		})
	}
	return view
}
