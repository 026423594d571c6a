package replay

import (
	"strconv"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

func (e *engine) submit(event Event) {
	class := e.trace.class(event.Class)
	id := event.Job
	if id == "" {
		id = "job-" + strconv.Itoa(len(e.jobs))
	}
	j := &job{spec: structs.Job{
		ID: id, Team: event.Team, Name: id, Kind: structs.KindBatch, Priority: event.Priority, Urgent: event.Urgent,
		Tasks: event.Tasks, Resources: class.Declared, Class: class.Name, ExpectedSeconds: class.DeclaredSeconds,
		Accepted: e.timeline.now(),
	}}
	for i := range event.Tasks {
		j.tasks = append(j.tasks, &task{job: j, index: i, class: class, state: structs.TaskPending})
	}
	e.jobs = append(e.jobs, j)
}

func (e *engine) cancel(id string) {
	for _, j := range e.jobs {
		if j.spec.ID != id {
			continue
		}
		for _, t := range j.tasks {
			if t.state.Terminal() {
				continue
			}
			if t.host != nil {
				t.host.remove(t)
			}
			t.state = structs.TaskCancelled
			e.stats.cancelled++
		}
	}
}

// place starts a task on a host. The reservation takes effect at once, and the task runs after startDelay.
func (e *engine) place(t *task, h *host, reservation structs.Resources) {
	t.host, t.state, t.reservation = h, structs.TaskStarting, reservation
	t.attempt++
	attempt := t.attempt
	h.tasks = append(h.tasks, t)
	e.stats.countStart(e, h)
	e.timeline.after(startDelay, func() {
		if t.attempt != attempt || t.state != structs.TaskStarting || !h.up {
			return
		}
		t.state, t.completed = structs.TaskRunning, t.checkpointed
		if h.failsAllTasks {
			e.timeline.after(failingTaskDuration, func() { e.fail(t, attempt) })
		}
	})
}

func (e *engine) fail(t *task, attempt int) {
	if t.attempt != attempt || t.state != structs.TaskRunning {
		return
	}
	h := t.host
	h.remove(t)
	e.stats.discardUnsavedWork(e, t)
	t.state = structs.TaskPending
	e.stats.failed++
	e.policy.taskEnded(t, h, true)
}

// evict checkpoints a task and makes it pending again.
func (e *engine) evict(t *task) {
	if t.state != structs.TaskRunning && t.state != structs.TaskStarting {
		return
	}
	attempt := t.attempt
	e.stats.evictions++
	if t.state == structs.TaskStarting {
		t.completed = t.checkpointed
	}
	t.state = structs.TaskEvicting
	e.timeline.after(checkpointDuration, func() {
		if t.attempt != attempt || t.state != structs.TaskEvicting {
			return
		}
		t.checkpointed = t.completed
		t.host.remove(t)
		t.state = structs.TaskPending
	})
}

// requeue makes the tasks of a failed host pending again after a delay.
func (e *engine) requeue(tasks []*task, delay time.Duration) {
	for _, t := range tasks {
		attempt := t.attempt
		t.state = structs.TaskSuspended
		e.timeline.after(delay, func() {
			if t.attempt == attempt && t.state == structs.TaskSuspended {
				t.state = structs.TaskPending
			}
		})
	}
}

func (e *engine) eachPending(do func(*task) bool) {
	for _, j := range e.jobs {
		for _, t := range j.tasks {
			if t.state == structs.TaskPending && !e.timeline.now().Before(t.notBefore) && !do(t) {
				return
			}
		}
	}
}
