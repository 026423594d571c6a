package workflows_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// maxIdle is how long a job may have no run although one of its tasks could run, at the end of a history.
	maxIdle = 3 * time.Second
	// restartTime is the time that a long-running task has for its restart before maxIdle counts.
	restartTime = 6 * time.Second
	// finishTime is the time after the end of the traffic at which jobs are judged.
	finishTime = 14 * time.Second
	// idleSampleInterval is how often the executors are looked at.
	idleSampleInterval = 20 * time.Millisecond
	// requiredRoom is how many times a task must fit on an executor, and maxUsedShare the share of all CPU in use from which no
	// task has to start.
	requiredRoom = 2
	maxUsedShare = 0.5
)

// standstillOracle finds jobs that stand still although they could run. It judges by what the executors observe alone.
type standstillOracle struct {
	*fleet
	// jobs holds the IDs of the accepted jobs that haven't been cancelled.
	jobs []string
	// mayFail holds the jobs that may be given up, since a task of theirs crashes executors.
	mayFail map[string]bool
	// idleSince is when a job, or a long-running task, was first found not to run although it could.
	idleSince map[string]time.Time
	longest   map[string]time.Duration
}

func newStandstillOracle(f *fleet, jobs []string) *standstillOracle {
	return &standstillOracle{
		fleet: f, jobs: slices.Clone(jobs), mayFail: map[string]bool{}, idleSince: map[string]time.Time{}, longest: map[string]time.Duration{},
	}
}

// executorUse is what runs on an executor.
type executorUse struct {
	capacity, reserved structs.Resources
	tasks              []string
	// usable is set if the executor answers its node, which runs and reaches the others.
	usable bool
}

// executorsUp returns the executors that are up, by incarnation. It must not be called with the checker's lock held, which the
// executors take while they hold their own.
func (o *standstillOracle) executorsUp() map[string]*executorUse {
	found := map[string]*executorUse{}
	for _, h := range o.hosts {
		description, up := h.executor.Describe()
		if !up {
			continue
		}
		found[description.IncarnationID()] = &executorUse{
			capacity: description.Capacity, usable: h.executor.Answers() && !description.Draining && o.network.Reaches(h.name),
		}
	}
	return found
}

// addRuns adds the runs of the executors to their use.
func (o *standstillOracle) addRuns(usage map[string]*executorUse) {
	for task, executor := range o.checker.running {
		if u := usage[executor]; u != nil {
			u.reserved = u.reserved.Add(o.step(task).Reserved())
			u.tasks = append(u.tasks, task)
		}
	}
}

func (o *standstillOracle) step(task string) *workflow.Step {
	id, _ := workflow.ParseTaskID(task)
	return &o.checker.jobs[id.Job].Steps[id.Step]
}

func usedShare(usage map[string]*executorUse) float64 {
	var used, capacity int64
	for _, u := range usage {
		used += u.reserved.MilliCores
		capacity += u.capacity.MilliCores
	}
	return float64(used) / float64(max(capacity, 1))
}

// fits reports whether an executor has room for a task requiredRoom times.
func (u *executorUse) fits(task string, s *workflow.Step) bool {
	if !u.usable {
		return false
	}
	if s.PerExecutor > 0 {
		group := task[:strings.LastIndex(task, ".")+1]
		count := 0
		for _, other := range u.tasks {
			if strings.HasPrefix(other, group) {
				count++
			}
		}
		if count >= s.PerExecutor {
			return false
		}
	}
	needed := u.reserved
	for range requiredRoom {
		needed = needed.Add(s.Reserved())
	}
	return needed.Fits(u.capacity)
}

// isDone reports whether a task has finished: its end was acknowledged, or is still listed by its executor.
func (o *standstillOracle) isDone(task string, usage map[string]*executorUse) bool {
	return o.checker.taken[task] || o.checker.doneOn[task] != "" && usage[o.checker.doneOn[task]] != nil
}

// readyTasks returns the unfinished tasks of a job whose turn has come.
func (o *standstillOracle) readyTasks(job *workflow.Job, usage map[string]*executorUse) (ready []string) {
	finished := make([]bool, len(job.Steps))
	for i := range job.Steps {
		step := &job.Steps[i]
		finished[i] = true
		due := !slices.ContainsFunc(step.After, func(before int) bool { return !finished[before] })
		for index := range step.Count {
			task := workflow.TaskID{Job: job.ID, Step: i, Index: index}.String()
			if o.isDone(task, usage) {
				continue
			}
			finished[i] = false
			if due {
				ready = append(ready, task)
			}
		}
	}
	return ready
}

// sample looks at all jobs once and returns the standstills that have lasted too long.
func (o *standstillOracle) sample() (found []standstill) {
	usage, now := o.executorsUp(), time.Now()
	o.checker.mu.Lock()
	defer o.checker.mu.Unlock()
	o.addRuns(usage)
	hasRoom := usedShare(usage) < maxUsedShare
	for _, id := range o.jobs {
		job := o.checker.jobs[id]
		runs := false
		var couldRun []string
		for _, task := range o.readyTasks(&job, usage) {
			if o.checker.running[task] != "" {
				runs = true
				continue
			}
			if hasRoom && o.fitsAnywhere(task, usage) {
				couldRun = append(couldRun, task)
			}
		}
		for _, task := range couldRun {
			if at, ran := o.checker.changedAt[task]; ran && o.step(task).LongRunning {
				found = append(found, o.observe(task, task, true, at, now, maxIdle+restartTime, usage)...)
			}
		}
		for task := range o.idleSince {
			if task != id && strings.HasPrefix(task, id) && !slices.Contains(couldRun, task) {
				delete(o.idleSince, task)
			}
		}
		first := ""
		if len(couldRun) > 0 {
			first = couldRun[0]
		}
		found = append(found, o.observe(id, first, !runs && first != "", o.checker.changedAt[id], now, maxIdle, usage)...)
	}
	return found
}

func (o *standstillOracle) fitsAnywhere(task string, usage map[string]*executorUse) bool {
	for _, u := range usage {
		if u.fits(task, o.step(task)) {
			return true
		}
	}
	return false
}

// standstill is a job, or a long-running task, that has had no run for too long.
type standstill struct {
	job, task, trace string
}

// observe records whether a job or a task stands still, and returns the standstill if it has lasted for limit.
func (o *standstillOracle) observe(key, task string, idle bool, lastRun, now time.Time, limit time.Duration, usage map[string]*executorUse) []standstill {
	if !idle {
		delete(o.idleSince, key)
		return nil
	}
	since, known := o.idleSince[key]
	if !known {
		since = now
	}
	if lastRun.After(since) {
		since = lastRun
	}
	o.idleSince[key] = since
	o.longest[key] = max(o.longest[key], now.Sub(since))
	if now.Sub(since) < limit {
		return nil
	}
	id, _ := workflow.ParseTaskID(task)
	return []standstill{{id.Job, task, fmt.Sprintf("%s could run and doesn't since %s, now %s, %d starts, %.0f%% of all CPU in use: %s", task,
		since.Format("05.000"), now.Format("05.000"), o.checker.startsByTask[task], 100*usedShare(usage), describeUsage(usage))}}
}

func describeUsage(usage map[string]*executorUse) string {
	var b strings.Builder
	for _, incarnation := range slices.Sorted(maps.Keys(usage)) {
		u := usage[incarnation]
		slices.Sort(u.tasks)
		fmt.Fprintf(&b, "\n%s usable=%v %v", incarnation, u.usable, u.tasks)
	}
	return b.String()
}

// watch looks for standstills for a time and returns the first one, or "".
func (o *standstillOracle) watch(duration time.Duration) string {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(idleSampleInterval) {
		for _, s := range o.sample() {
			phase := o.phase(s.job)
			if phase == workflow.Completed || phase == workflow.Failed && o.mayFail[s.job] {
				o.jobs = slices.DeleteFunc(o.jobs, func(id string) bool { return id == s.job })
				continue
			}
			return fmt.Sprintf("job is %s: %s", phase, s.trace)
		}
	}
	return ""
}
