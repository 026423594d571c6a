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

// simulatedFleet is a small fleet that carries out plans, with random events between them.
type simulatedFleet struct {
	s              scheduler.Snapshot
	now            time.Time
	jobs           int
	lastAllocation int
	// done holds the finished tasks.
	done map[structs.TaskID]bool
	// unusable holds the replacements that were evicted before they were ready.
	unusable map[string]bool
	// replicas counts the placed replicas by service.
	replicas map[string]int
	// planner is kept between plans, to check that reused memory doesn't affect a plan.
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
		f.s.Quarantine = fixedAdmissions{"w4": quarantine.AdmitProbe, "w5": quarantine.AdmitNone}
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

// allocations yields each allocation.
func (f *simulatedFleet) allocations(yield func(*scheduler.RunningTask) bool) {
	for i := range f.s.Workers {
		for k := range f.s.Workers[i].Running {
			if !yield(&f.s.Workers[i].Running[k]) {
				return
			}
		}
	}
}

// finishEvictions ends some of the evicting allocations. Batch tasks become pending again with their work done.
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
	for a := range f.allocations {
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

// planAndCheck plans, checks the decisions and carries them out. The snapshot also lists pending tasks twice, and
// tasks that already run as pending, since a snapshot can be built while a start is in progress.
func (f *simulatedFleet) planAndCheck(t *rapid.T) {
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
	f.applyPlacements(t, d)
	f.checkWaiting(t, d)
	for _, e := range d.Evict {
		f.allocation(e.AllocationID).State = structs.TaskEvicting
	}
}

// replaySnapshot returns the snapshot after a recording and a round trip through JSON.
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

// applyPlacements carries out placements and checks each against the rules that hold with any plug-ins.
func (f *simulatedFleet) applyPlacements(t *rapid.T, d scheduler.Decisions) {
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
				t.Fatalf("%v was placed twice or never submitted", p.Task)
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
			t.Fatalf("%s has a capacity of %v and was assigned %v", w.Name, w.Capacity, used(w))
		}
		if f.s.Interference != nil && (runsClass(w, structs.KindService, "c0") && runsClass(w, structs.KindBatch, "c1") || w.Name == "w5") {
			t.Fatalf("%v placed on %s against interference or quarantine", p.Task, w.Name)
		}
	}
	f.checkTotals(t)
}

func runsClass(w *scheduler.WorkerView, kind structs.JobKind, class string) bool {
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
	for a := range f.allocations {
		if a.AllocationID == id {
			return a
		}
	}
	return nil
}

// replacementReady reports whether a replacement of the allocation is ready.
func (f *simulatedFleet) replacementReady(id string) (ready bool) {
	for a := range f.allocations {
		ready = ready || a.Replaces == id && a.Ready
	}
	return ready
}

func (f *simulatedFleet) runs(id structs.TaskID) (found bool) {
	for a := range f.allocations {
		found = found || a.Job.ID == id.JobID && a.Index == id.Index
	}
	return found
}

// isCounted reports whether an allocation counts towards quotas and replicas. Temporary overlaps of an evacuation
// don't: a replacement beside the replica that it replaces, and a replacement that is evicted before it is ready.
func (f *simulatedFleet) isCounted(a *scheduler.RunningTask) bool {
	return !f.unusable[a.AllocationID] && (a.Replaces == "" || f.allocation(a.Replaces) == nil)
}

// checkTotals checks that quotas hold and that evacuations keep the number of replicas: each placed replica, or its
// replacement, exists once.
func (f *simulatedFleet) checkTotals(t *rapid.T) {
	var sum structs.Resources
	replicas := map[string]int{}
	for a := range f.allocations {
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
		evacuating := w.Draining || f.s.Rules.IsOut(w.FailureDomain)
		switch {
		case a == nil || a.Evicting() || seen[e.AllocationID]:
			t.Fatalf("eviction of %s, which does not run or is evicted already", e.AllocationID)
		case e.Reason == scheduler.EvictUnreadyReplacement:
			if a.Ready || !evacuating || a.Replaces == "" || f.allocation(a.Replaces) == nil {
				t.Fatalf("eviction of replica %s, which is not an unready replacement on an evacuated worker", e.AllocationID)
			}
			f.unusable[e.AllocationID] = true
		case a.Job.Kind == structs.KindService && (e.Reason != scheduler.EvictReplaced || !f.replacementReady(e.AllocationID)):
			t.Fatalf("eviction of replica %s for %q without a ready replacement", e.AllocationID, e.Reason)
		case e.Reason == scheduler.EvictPreempted && a.Job.Urgent:
			t.Fatalf("preemption of urgent task %s", e.AllocationID)
		case e.Reason == scheduler.EvictEvacuated && !evacuating:
			t.Fatalf("evacuation of %s from %s, which is in service", e.AllocationID, e.Worker)
		}
		seen[e.AllocationID] = true
	}
}

// checkWaiting checks that no task waits although a worker has capacity for it, which would mean that another job
// blocks it. Capacity may be held for preempting and evacuated tasks, so the check applies to plans without those
// only.
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
	unschedulable := map[string]bool{}
	for _, v := range d.Unschedulable {
		unschedulable[v.JobID] = true
	}
	for i := range f.s.Pending {
		if task := &f.s.Pending[i]; task.MayPreempt() && !unschedulable[task.Job.ID] {
			return
		}
	}
	for i := range f.s.Pending {
		job := f.s.Pending[i].Job
		if unschedulable[job.ID] || job.Team == "t0" {
			continue
		}
		for k := range f.s.Workers {
			w := &f.s.Workers[k]
			con := job.Constraints.FailureDomains
			if w.Reported && job.Resources.Add(used(w)).Fits(w.Capacity) && !f.s.Rules.RacksWithoutBatch[w.Rack] &&
				(len(con) == 0 || con[0] == w.FailureDomain) {
				t.Fatalf("%s waits although %s has capacity for it", job.ID, w.Name)
			}
		}
	}
}

// Guards against overcommitted workers, placements in failure domains that are out of service, tasks that run twice,
// exceeded quotas, services that stop early, jobs that block others, and plans that depend on more than their
// snapshot.
func TestPlanAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":  f.submit,
			"plan":    f.planAndCheck,
			"replan":  f.planAndCheck,
			"evicted": f.finishEvictions,
			"finish":  f.finishTasks,
			"disturb": f.injectFault,
		})
	})
}
