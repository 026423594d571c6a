package scheduler_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/scheduler/quota"
	"github.com/quetzalshed/quetzalshed/structs"
)

// simulatedFleet is a small simulatedFleet that carries out what plans decide, with random events between plans.
type simulatedFleet struct {
	s              scheduler.Snapshot
	now            time.Time
	jobs           int
	lastAllocation int
	// done holds the tasks that finished.
	done map[structs.TaskID]bool
	// unusable holds the replacements that had to leave before they were ready.
	unusable map[string]bool
	// replicas counts the placed replicas by service.
	replicas map[string]int
	// planner shows that reused memory does not show in a plan.
	planner scheduler.Planner
}

func newFleet(t *rapid.T) *simulatedFleet {
	limit := structs.Resources{MilliCores: 14, MemoryMB: quota.Unlimited, Accelerators: 2}
	f := &simulatedFleet{now: now, done: map[structs.TaskID]bool{}, replicas: map[string]int{}, unusable: map[string]bool{}}
	f.s.Quotas.Teams = map[string]structs.Resources{"t0": limit}
	f.s.Rules = scheduler.Rules{
		Out: map[string]time.Time{}, Returned: map[string]time.Time{}, RacksWithoutBatch: map[string]bool{"r5": true},
		EvacuationGrace: 3 * time.Second, ReturnRamp: time.Second,
	}
	if rapid.Bool().Draw(t, "learned") {
		f.s.Interference = fixedEstimates{{"c0", "c1"}: {Slowdown: 3, Known: true, Blocked: true}, {"c1", "c2"}: {Slowdown: 1}}
		f.s.Quarantine = fixedAdmissions{"w4": quarantine.Probe, "w5": quarantine.Closed}
	}
	for i := range 6 {
		f.s.Workers = append(f.s.Workers, scheduler.WorkerView{Reported: true, Worker: structs.Worker{
			Name: fmt.Sprintf("w%d", i), FailureDomain: fmt.Sprintf("d%d", i%3), Rack: fmt.Sprintf("r%d", i),
			Capacity: structs.Resources{MilliCores: int64(6 + i), MemoryMB: int64(12 - i), Accelerators: int64(i % 2 * 2)},
		}})
	}
	return f
}

func (f *simulatedFleet) submit(t *rapid.T) {
	f.jobs++
	job := &structs.Job{
		ID: fmt.Sprintf("j%03d", f.jobs), Team: fmt.Sprintf("t%d", rapid.IntRange(0, 2).Draw(t, "team")), Kind: structs.KindBatch,
		Class: fmt.Sprintf("c%d", rapid.IntRange(0, 2).Draw(t, "class")), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		Urgent: rapid.IntRange(0, 4).Draw(t, "urgent") == 0, Tasks: rapid.IntRange(1, 4).Draw(t, "tasks"), Accepted: f.now,
		Resources: structs.Resources{
			MilliCores: rapid.Int64Range(1, 13).Draw(t, "cores"), MemoryMB: rapid.Int64Range(0, 8).Draw(t, "memory"),
			Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators"),
		},
	}
	if rapid.IntRange(0, 2).Draw(t, "service") == 0 {
		job.Kind = structs.KindService
	}
	if rapid.IntRange(0, 3).Draw(t, "constrained") == 0 {
		job.Constraints.FailureDomains = []string{fmt.Sprintf("d%d", rapid.IntRange(0, 3).Draw(t, "domain"))}
	}
	for i := range job.Tasks {
		f.s.Pending = append(f.s.Pending, scheduler.PendingTask{Job: job, Index: i})
	}
}

// remove removes the allocations for which gone returns true.
func (f *simulatedFleet) remove(gone func(a *scheduler.RunningTask) bool) {
	for i := range f.s.Workers {
		w := &f.s.Workers[i]
		w.Running = slices.DeleteFunc(w.Running, func(a scheduler.RunningTask) bool { return gone(&a) })
	}
}

// all yields each allocation.
func (f *simulatedFleet) all(yield func(*scheduler.RunningTask) bool) {
	for i := range f.s.Workers {
		for k := range f.s.Workers[i].Running {
			if !yield(&f.s.Workers[i].Running[k]) {
				return
			}
		}
	}
}

// finishEvictions ends evicting allocations. Batch resumes from its checkpoint; a replaced replica is gone.
func (f *simulatedFleet) finishEvictions(t *rapid.T) {
	f.remove(func(a *scheduler.RunningTask) bool {
		gone := a.Evicting() && !rapid.Bool().Draw(t, "slow")
		if gone && a.Job.Kind == structs.KindBatch {
			f.s.Pending = append(f.s.Pending, scheduler.PendingTask{Job: a.Job, Index: a.Index, Attempt: a.Attempt + 1, WorkDone: a.WorkDone})
		}
		return gone
	})
}

func (f *simulatedFleet) finishTasks(t *rapid.T) {
	for a := range f.all {
		a.WorkDone, a.Ready = a.WorkDone+time.Second, true
	}
	f.remove(func(a *scheduler.RunningTask) bool {
		gone := a.Job.Kind == structs.KindBatch && !a.Evicting() && rapid.IntRange(0, 3).Draw(t, "finish") == 0
		f.done[structs.TaskID{JobID: a.Job.ID, Index: a.Index}] = gone
		return gone
	})
}

func (f *simulatedFleet) injectFault(t *rapid.T) {
	w := &f.s.Workers[rapid.IntRange(0, 5).Draw(t, "worker")]
	switch rapid.IntRange(0, 3).Draw(t, "disturbance") {
	case 0:
		w.Reported = !w.Reported
	case 1:
		w.Draining, w.DrainingSince = !w.Draining, f.now
	default:
		if f.s.Rules.IsOut(w.FailureDomain) {
			delete(f.s.Rules.Out, w.FailureDomain)
			f.s.Rules.Returned[w.FailureDomain] = f.now
		} else {
			f.s.Rules.Out[w.FailureDomain] = f.now
		}
	}
}

// plan takes decisions, checks them, and carries them out. The snapshot also lists tasks twice and tasks that run, as
// when a start and a hint cross.
func (f *simulatedFleet) plan(t *rapid.T) {
	f.now = f.now.Add(time.Second)
	s := f.s
	s.Pending = append(slices.Clone(s.Pending), s.Pending...)
	for i := range s.Workers {
		for _, a := range s.Workers[i].Running {
			s.Pending = append(s.Pending, scheduler.PendingTask{Job: a.Job, Index: a.Index})
		}
	}
	before := f.replaySnapshot(t, s)
	d := scheduler.Plan(s, f.now)
	if after := f.replaySnapshot(t, s); !reflect.DeepEqual(before, after) {
		t.Fatalf("the plan changed its snapshot")
	}
	slices.Reverse(before.Workers)
	before.Pending = rapid.Permutation(before.Pending).Draw(t, "order")
	again := f.planner.Plan(before, f.now)
	if !reflect.DeepEqual(d.Place, again.Place) || !reflect.DeepEqual(d.Evict, again.Evict) {
		t.Fatalf("the replayed plan differs, or depends on the order of its input:\n%+v\n%+v", d, again)
	}
	f.checkEvictions(t, d)
	f.place(t, d)
	f.checkWaiting(t, d)
	for _, e := range d.Evict {
		f.allocation(e.AllocationID).State = structs.TaskEvicting
	}
}

// replaySnapshot returns the snapshot after a recording that went through JSON.
func (f *simulatedFleet) replaySnapshot(t *rapid.T, s scheduler.Snapshot) scheduler.Snapshot {
	var read scheduler.Recording
	text, err := json.Marshal(scheduler.Record(s, f.now))
	if err == nil {
		err = json.Unmarshal(text, &read)
	}
	replayed, replayErr := read.Snapshot()
	if err != nil || replayErr != nil || len(s.Pending) > 0 && !reflect.DeepEqual(replayed.Pending, s.Pending) {
		t.Fatalf("replay: %v, %v, pending %+v, want %+v", err, replayErr, replayed.Pending, s.Pending)
	}
	return replayed
}

// place carries out placements and checks each against the rules that hold whatever plug-ins do.
func (f *simulatedFleet) place(t *rapid.T, d scheduler.Decisions) {
	for _, p := range d.Place {
		w := f.worker(p.Worker)
		if !w.Reported || w.Draining || f.s.Rules.IsOut(w.FailureDomain) {
			t.Fatalf("%v placed on %s, which takes no tasks", p.Task, w.Name)
		}
		replaces := p.Replaces
		var task scheduler.PendingTask
		if replaces != "" {
			old := f.allocation(replaces)
			task = scheduler.PendingTask{Job: old.Job, Index: 100 + f.lastAllocation}
		} else {
			i := slices.IndexFunc(f.s.Pending, func(o scheduler.PendingTask) bool { return o.ID() == p.Task })
			if i < 0 {
				t.Fatalf("%v placed twice, or never submitted", p.Task)
			}
			task = f.s.Pending[i]
			f.s.Pending = slices.Delete(f.s.Pending, i, i+1)
			if task.Job.Kind == structs.KindService {
				f.replicas[task.Job.ID]++
			}
			if f.done[p.Task] || f.runs(p.Task) {
				t.Fatalf("%v placed while it runs or after it finished", p.Task)
			}
		}
		f.lastAllocation++
		w.Running = append(w.Running, scheduler.RunningTask{
			AllocationID: fmt.Sprintf("a%d", f.lastAllocation), Job: task.Job, Index: task.Index, Resources: p.Resources,
			State: structs.TaskRunning, Replaces: replaces, WorkDone: task.WorkDone,
		})
		if !used(w).Fits(w.Capacity) {
			t.Fatalf("%s holds %v and was assigned %v", w.Name, w.Capacity, used(w))
		}
		if f.s.Interference != nil && (has(w, structs.KindService, "c0") && has(w, structs.KindBatch, "c1") || w.Name == "w5") {
			t.Fatalf("%v placed on %s against interference or quarantine", p.Task, w.Name)
		}
	}
	f.checkTotals(t)
}

func has(w *scheduler.WorkerView, kind structs.JobKind, class string) bool {
	return slices.ContainsFunc(w.Running, func(t scheduler.RunningTask) bool { return t.Job.Kind == kind && t.Job.Class == class })
}

func used(w *scheduler.WorkerView) (sum structs.Resources) {
	for i := range w.Running {
		sum = sum.Add(w.Running[i].Resources)
	}
	return sum
}

func (f *simulatedFleet) worker(name string) *scheduler.WorkerView {
	return &f.s.Workers[slices.IndexFunc(f.s.Workers, func(w scheduler.WorkerView) bool { return w.Name == name })]
}

func (f *simulatedFleet) allocation(id string) *scheduler.RunningTask {
	for a := range f.all {
		if a.AllocationID == id {
			return a
		}
	}
	return nil
}

// replaced tells whether a replacement of the allocation is ready.
func (f *simulatedFleet) replaced(id string) (ready bool) {
	for a := range f.all {
		ready = ready || a.Replaces == id && a.Ready
	}
	return ready
}

func (f *simulatedFleet) runs(id structs.TaskID) (found bool) {
	for a := range f.all {
		found = found || a.Job.ID == id.JobID && a.Index == id.Index
	}
	return found
}

// isCounted tells whether an allocation is more than an overlap of an evacuation: a replacement beside the replica that it
// replaces, or one that is stopped since it had to leave as well.
func (f *simulatedFleet) isCounted(a *scheduler.RunningTask) bool {
	return !f.unusable[a.AllocationID] && (a.Replaces == "" || f.allocation(a.Replaces) == nil)
}

// checkTotals tells whether quotas hold, and whether evacuations keep the number of replicas: one that was placed is
// there once, or is replaced by one.
func (f *simulatedFleet) checkTotals(t *rapid.T) {
	var sum structs.Resources
	replicas := map[string]int{}
	for a := range f.all {
		if f.isCounted(a) && a.Job.Team == "t0" {
			sum = sum.Add(a.Resources)
		}
		if f.isCounted(a) && a.Job.Kind == structs.KindService {
			replicas[a.Job.ID]++
		}
	}
	if limit := f.s.Quotas.Teams["t0"]; sum.MilliCores > limit.MilliCores || sum.Accelerators > limit.Accelerators {
		t.Fatalf("team t0 uses %v of %v", sum, limit)
	}
	if !reflect.DeepEqual(replicas, f.replicas) {
		t.Fatalf("replicas by service: %v, want %v", replicas, f.replicas)
	}
}

func (f *simulatedFleet) checkEvictions(t *rapid.T, d scheduler.Decisions) {
	seen := map[string]bool{}
	for _, e := range d.Evict {
		a, w := f.allocation(e.AllocationID), f.worker(e.Worker)
		leaving := w.Draining || f.s.Rules.IsOut(w.FailureDomain)
		switch {
		case a == nil || a.Evicting() || seen[e.AllocationID]:
			t.Fatalf("eviction of %s, which does not run or is evicted already", e.AllocationID)
		case e.Reason == scheduler.EvictUnreadyReplacement:
			if a.Ready || !leaving || a.Replaces == "" || f.allocation(a.Replaces) == nil {
				t.Fatalf("eviction of replica %s as useless", e.AllocationID)
			}
			f.unusable[e.AllocationID] = true
		case a.Job.Kind == structs.KindService && (e.Reason != scheduler.EvictReplaced || !f.replaced(e.AllocationID)):
			t.Fatalf("eviction of replica %s for %q without a ready replacement", e.AllocationID, e.Reason)
		case e.Reason == scheduler.EvictPreempted && a.Job.Urgent:
			t.Fatalf("preemption of urgent task %s", e.AllocationID)
		case e.Reason == scheduler.EvictEvacuated && !leaving:
			t.Fatalf("evacuation of %s from %s, which is in service", e.AllocationID, e.Worker)
		}
		seen[e.AllocationID] = true
	}
}

// checkWaiting tells whether a task waits although a worker has room, which means that another job blocks it. Room may
// be held for preempting and evacuated tasks, so the check needs a plan without those.
func (f *simulatedFleet) checkWaiting(t *rapid.T, d scheduler.Decisions) {
	if f.s.Interference != nil {
		return
	}
	for i := range f.s.Workers {
		w := &f.s.Workers[i]
		returned := f.s.Rules.Returned[w.FailureDomain]
		if w.Draining || f.s.Rules.IsOut(w.FailureDomain) || f.now.Sub(returned) < f.s.Rules.ReturnRamp {
			return
		}
	}
	verdicts := map[string]bool{}
	for _, v := range d.Unschedulable {
		verdicts[v.JobID] = true
	}
	for i := range f.s.Pending {
		if task := &f.s.Pending[i]; task.MayPreempt() && !verdicts[task.Job.ID] {
			return
		}
	}
	for i := range f.s.Pending {
		job := f.s.Pending[i].Job
		if verdicts[job.ID] || job.Team == "t0" {
			continue
		}
		for k := range f.s.Workers {
			w := &f.s.Workers[k]
			con := job.Constraints.FailureDomains
			if w.Reported && job.Resources.Add(used(w)).Fits(w.Capacity) && !f.s.Rules.RacksWithoutBatch[w.Rack] &&
				(len(con) == 0 || con[0] == w.FailureDomain) {
				t.Fatalf("%s waits, and %s has room for it", job.ID, w.Name)
			}
		}
	}
}

// Guards against overloaded workers, starts in out domains, tasks that run twice, quotas that are exceeded, services
// that stop early, jobs that block others, and plans that depend on more than their snapshot.
func TestPlanAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":  f.submit,
			"plan":    f.plan,
			"replan":  f.plan,
			"evicted": f.finishEvictions,
			"finish":  f.finishTasks,
			"disturb": f.injectFault,
		})
	})
}
