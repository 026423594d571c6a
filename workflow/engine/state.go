// Package engine schedules the tasks of jobs on executors. It is a state machine that does no I/O: the owner passes in
// events with the time, and carries out the engine's decisions once they are stored.
//
// Two times are passed in. now is the time on the owner's clock, which goes on while the host is suspended; the engine measures
// all durations by it. wall is the time of day, for what is stored or set as such: when jobs were accepted, are due and ended.
package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler/interference"
	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// Settings holds the engine's time limits and cost factors.
type Settings struct {
	// LeaseDuration is how long an executor may keep running its tasks after a report of its node.
	LeaseDuration time.Duration
	// LeaseExpiry is the time after the last lease grant at which no task of the executor can still be running. It
	// exceeds LeaseDuration by the executor's clock drift and the time that it takes to stop.
	LeaseExpiry time.Duration
	// RemoteSlowdown is how many times longer a task takes on another rack than that of its data.
	RemoteSlowdown float64
	// TakeoverSlack is how long a former owner may still grant leases after the current one has taken over.
	TakeoverSlack time.Duration
	// Epoch is the epoch of the owner.
	Epoch int64
	// Retention is how long the state of a finished job stays readable.
	Retention time.Duration
}

// Engine holds all jobs and executors. It is not safe for concurrent use.
type Engine struct {
	settings  Settings
	config    *workflow.Config
	evacuated map[string]bool
	// operatorStateLoaded is set once the failure domains that are out of service are known.
	operatorStateLoaded bool
	jobs                map[string]*job
	// pendingCancellations holds the IDs of cancelled jobs that have not been added yet.
	pendingCancellations map[string]bool
	// activeJobs holds the unfinished jobs.
	activeJobs map[string]*job
	// completing holds the jobs whose tasks are all done while a start of one of them may still be sent.
	completing map[*job]struct{}
	nodes      map[string]*node
	// sortedNodes holds the same nodes sorted by name.
	sortedNodes []*node
	// assignedTasks holds the tasks with a run, by executor incarnation and sorted by name.
	assignedTasks map[string][]*task
	// stopping holds the tasks of which the run is to be stopped.
	stopping map[*task]struct{}
	// unreportedExpiry is when the leases of executor incarnations that no node has reported have expired.
	unreportedExpiry time.Time
	// unreportedSource tells where unreportedExpiry comes from.
	unreportedSource LeaseSource
	// lapsedAt holds when the leases of executor incarnations with tasks have recently expired, or such an incarnation has ended,
	// unless they have been renewed since.
	lapsedAt map[string]time.Time
	// inheritedLeases holds when the leases of executor incarnations have expired, as the former owner has stored it.
	inheritedLeases map[string]time.Time
	// loadedAt is when the records were read.
	loadedAt time.Time
	// discoveryDeadline is when all executors have had time to announce themselves to a new owner.
	discoveryDeadline time.Time
	// hasRestoredRuns is set if restored records named hosts of running tasks; unreportedHosts holds those of these
	// hosts that have not reported an executor yet.
	hasRestoredRuns bool
	unreportedHosts map[string]bool
	dirtyJobs       map[*job]struct{}
	outbox          map[string]*outbox
	// needsPlanning is set when the next Plan may find tasks to start.
	needsPlanning bool
	// interference estimates how much best-effort tasks slow down serving tasks.
	interference *interference.Model
	// quarantine tracks executors whose tasks fail, by node name.
	quarantine *quarantine.Model
	// durations holds the model of task durations of each queue, and meanWork the mean work of its jobs in core seconds.
	durations map[string]*durationModel
	meanWork  map[string]float64
	// crashes tracks the tasks under which executors have crashed.
	crashes crashState
	// pressure follows the backlog of best-effort work.
	pressure pressure
	// departures holds the executors that have left with tasks and that the owner has not taken yet.
	departures []Departure
	// waits holds the reasons of waiting jobs that the owner has not taken yet.
	waits []Wait
	// idle holds the jobs without a run that the owner has not taken yet; idleSearchedAt is when such jobs were last looked for.
	idle           []Idle
	idleSearchedAt time.Time
	// forgotten holds the jobs that were last removed.
	forgotten forgottenJobs
	// contradictions holds the contradictions between executors' lists and this owner's state that the owner has not taken yet.
	contradictions contradictions
	// superseded holds the superseded runs, and the ends of such runs, that the owner has not taken yet.
	superseded Superseded
	// misplaced holds the misplaced runs that the owner has not taken yet.
	misplaced misplacedRuns
	// formerPools holds the pools of queues by former configurations, the newest last.
	formerPools []queuePool
	// listedRuns and groupCounts are reused for each report.
	listedRuns  []listedRun
	groupCounts []groupCount
	// waitsToExplain is how many more jobs may be explained before the next Tick.
	waitsToExplain int
}

// outbox collects the orders for a node until the records behind them are stored.
type outbox struct {
	starts []plannedStart
	stops  []workflow.StopOrder
}

// plannedStart is a start with what it was based on when it was decided.
type plannedStart struct {
	task  *task
	basis StartBasis
}

// New returns an engine without jobs. Executor incarnations that no node reports are taken as ended after
// settings.LeaseExpiry and TakeoverSlack.
func New(settings Settings, now time.Time) *Engine {
	return &Engine{
		settings:             settings,
		config:               &workflow.Config{},
		evacuated:            map[string]bool{},
		jobs:                 map[string]*job{},
		pendingCancellations: map[string]bool{},
		activeJobs:           map[string]*job{},
		completing:           map[*job]struct{}{},
		nodes:                map[string]*node{},
		assignedTasks:        map[string][]*task{},
		stopping:             map[*task]struct{}{},
		unreportedExpiry:     now.Add(settings.LeaseExpiry + settings.TakeoverSlack),
		unreportedSource:     LeaseOfTakeover,
		inheritedLeases:      map[string]time.Time{},
		lapsedAt:             map[string]time.Time{},
		loadedAt:             now,
		discoveryDeadline:    now.Add(discoveryTimeout),
		unreportedHosts:      map[string]bool{},
		dirtyJobs:            map[*job]struct{}{},
		outbox:               map[string]*outbox{},

		interference: newInterference(),
		quarantine:   newQuarantine(),
		crashes:      newCrashState(),
		durations:    map[string]*durationModel{},
		meanWork:     map[string]float64{},
	}
}

// Configure replaces the configuration and returns true, unless the version is older than the one in force.
func (e *Engine) Configure(config *workflow.Config) bool {
	if config.Version < e.config.Version {
		return false
	}
	e.keepFormerPools(config)
	e.config = config
	e.needsPlanning = true
	return true
}

// ConfigVersion returns the version in force; 0 before the first.
func (e *Engine) ConfigVersion() int64 { return e.config.Version }

// SetEvacuated replaces the set of failure domains in which no task is started. No task starts before the first call.
func (e *Engine) SetEvacuated(domains []string) {
	e.operatorStateLoaded = true
	clear(e.evacuated)
	for _, domain := range domains {
		e.evacuated[domain] = true
	}
	e.needsPlanning = true
}

// Tick advances the time-dependent state: it makes the next Plan look for tasks to start, since backoffs may have
// expired, and requests stops of runs that disturb serving tasks or make too little progress.
func (e *Engine) Tick(now time.Time) {
	e.needsPlanning = true
	e.waitsToExplain = maxWaitsExplained
	e.interference.Advance(now)
	e.quarantine.Advance(now)
	e.quarantine.SetFleetSize(len(e.nodes))
	e.evictBestEffort(now)
	e.restartSlowRuns(now)
}

// queueOf returns the queue of a job as configured now, or as it was on acceptance if it has been removed since.
func (e *Engine) queueOf(j *job) *workflow.Queue {
	if q := e.config.Queue(j.Queue.Name); q != nil {
		return q
	}
	return &j.Queue
}

// Add adds a job with its stored record, which is nil for a new job. It returns false if the job is already known.
func (e *Engine) Add(spec workflow.Job, record *workflow.JobRecord, now, wall time.Time) bool {
	if _, known := e.jobs[spec.ID]; known {
		return false
	}
	age := max(wall.Sub(time.UnixMilli(spec.AcceptedUnixMillis)), 0)
	j := &job{
		Job: spec, phase: workflow.Pending, storedPhase: workflow.Pending, acceptedAt: now.Add(-age), knownAt: now,
		recorded: record != nil, forgotten: e.WasForgotten(spec.ID),
	}
	j.buildTasks()
	e.jobs[spec.ID] = j
	e.activeJobs[spec.ID] = j
	if record != nil {
		e.restore(j, record, now)
	}
	if j.phase.Final() {
		delete(e.activeJobs, j.ID)
	}
	e.observeWork(j)
	if e.pendingCancellations[j.ID] {
		delete(e.pendingCancellations, j.ID)
		e.Cancel(j.ID, now, wall)
	}
	e.needsPlanning = true
	return true
}

// AddEnded adds a finished job that has no runs left, from its record alone.
func (e *Engine) AddEnded(id string, record *workflow.JobRecord) {
	if _, known := e.jobs[id]; known {
		return
	}
	e.jobs[id] = &job{
		Job: workflow.Job{ID: id}, phase: record.Phase, storedPhase: record.Phase, endedUnixMillis: record.EndedUnixMillis,
		endKnownAt: e.loadedAt, cancelled: record.Phase == workflow.Cancelled,
	}
	delete(e.pendingCancellations, id)
}

// AddHeld adds a job of which it isn't known what has run. Nothing of it is started, and clients see it as running until it is
// cancelled.
func (e *Engine) AddHeld(id string) {
	if _, known := e.jobs[id]; known {
		return
	}
	e.jobs[id] = &job{Job: workflow.Job{ID: id}, phase: workflow.Running, storedPhase: workflow.Running}
	if e.pendingCancellations[id] {
		delete(e.pendingCancellations, id)
		e.Cancel(id, e.loadedAt, e.loadedAt)
	}
}

// awaitHost records that a host had a running task under the former owner.
func (e *Engine) awaitHost(host string) {
	e.hasRestoredRuns = true
	if n := e.nodes[host]; n == nil || !n.known {
		e.unreportedHosts[host] = true
	}
}

// executorsDiscovered reports whether the executors are known over which long-running tasks have to be spread: all hosts
// with running tasks have reported, or the discovery deadline has passed.
func (e *Engine) executorsDiscovered(now time.Time) bool {
	return e.hasRestoredRuns && len(e.unreportedHosts) == 0 || !now.Before(e.discoveryDeadline)
}

// taskByName returns the task with the given name, or nil.
func (e *Engine) taskByName(name string) *task {
	id, ok := workflow.ParseTaskID(name)
	if !ok {
		return nil
	}
	j := e.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.findTask(id)
}

// restore sets the state of a job from its record.
func (e *Engine) restore(j *job, record *workflow.JobRecord, now time.Time) {
	j.phase = record.Phase
	j.storedPhase = record.Phase
	j.endedUnixMillis, j.endKnownAt = record.EndedUnixMillis, e.loadedAt
	j.cancelled = record.Phase == workflow.Cancelled
	j.begun = record.Begun
	for _, r := range record.Tasks {
		t := j.findTask(workflow.TaskID{Job: j.ID, Occurrence: r.Occurrence, Step: r.Step, Index: r.Index})
		if t == nil {
			continue
		}
		t.run, t.failures, t.saved = r.Run, r.Failures, r.Saved
		t.crashes.total, t.crashes.suspicions = r.Crashes, r.Suspicions
		if t.isSuspect() {
			t.crashes.suspectSince = now
			e.crashes.suspects[t] = struct{}{}
		}
		t.phase, t.restored = r.Phase, true
		// Records of former versions don't tell whether the job has begun.
		j.begun = j.begun || r.Phase == workflow.TaskDone || r.Failures > 0 || r.Saved != ""
		switch r.Phase {
		case workflow.TaskDone:
			t.group.done++
			t.doneRun = r.Run
			if r.Life != "" {
				// Which run has finished the task isn't recorded.
				t.doneRun = 0
				e.restoreRun(t, &r)
				e.requestStop(t, stopOfDone)
				t.supersededAt = now
			}
		case workflow.TaskWaiting:
			t.keepFormerRun(RestoredAsWaiting, now)
		case workflow.TaskAssigned:
			e.restoreRun(t, &r)
			if j.phase.Final() {
				e.requestStop(t, "its job has ended")
			}
		}
	}
	if j.isComplete() && !j.phase.Final() {
		e.completing[j] = struct{}{}
	}
}

// restoreRun takes the run of a task over from the record of its job. Its executor may have reported already.
func (e *Engine) restoreRun(t *task, r *workflow.TaskRecord) {
	t.executorIncarnation, t.host = r.Life, r.Node
	e.awaitHost(r.Node)
	e.track(t)
	if n := e.nodes[r.Node]; n != nil && n.runsIncarnation(r.Life) {
		n.addTask(t)
	}
}

// track adds a task to the list of the executor incarnation that has its run.
func (e *Engine) track(t *task) {
	tasks := e.assignedTasks[t.executorIncarnation]
	if i, found := slices.BinarySearchFunc(tasks, t, compareTasks); !found {
		e.assignedTasks[t.executorIncarnation] = slices.Insert(tasks, i, t)
	}
}

func compareTasks(a, b *task) int { return cmp.Compare(a.name, b.name) }

// releaseRun lets go of the run of a task, whose place on its executor becomes free. An assigned task waits again. The caller has
// made sure that the run has ended and can't begin any more, and gives the cause.
func (e *Engine) releaseRun(t *task, cause EndCause, now time.Time) {
	t.keepFormerRun(cause, now)
	e.recordSupersededEnd(t, cause, now)
	e.quarantine.RecordProbeAbort(t.host)
	e.removeRun(t)
	if t.phase == workflow.TaskAssigned {
		t.phase = workflow.TaskWaiting
	}
	e.markDirty(t.job)
	e.needsPlanning = true
}

// removeRun removes the run of a task from its executor.
func (e *Engine) removeRun(t *task) {
	e.untrack(t)
	delete(e.stopping, t)
	t.clearRun()
}

func (e *Engine) untrack(t *task) {
	tasks := e.assignedTasks[t.executorIncarnation]
	if i, found := slices.BinarySearchFunc(tasks, t, compareTasks); found {
		if tasks = slices.Delete(tasks, i, i+1); len(tasks) == 0 {
			delete(e.assignedTasks, t.executorIncarnation)
		} else {
			e.assignedTasks[t.executorIncarnation] = tasks
		}
	}
	if t.node != nil {
		t.node.removeTask(t)
	}
}

func (t *task) clearRun() {
	if t.started {
		t.waitingSince = time.Time{}
	}
	t.executorIncarnation, t.host, t.node = "", "", nil
	t.startPending, t.started, t.listed, t.stopRequested, t.stopReason = false, false, false, false, ""
	t.startedSequence, t.stoppedSequence = 0, 0
	t.restored, t.reassigned = false, false
	t.startedIncarnation, t.stoppedIncarnation = 0, 0
	t.stopOrderedAt, t.supersededAt = time.Time{}, time.Time{}
	t.percent, t.usage = 0, 0
	t.crashes.listedSince = time.Time{}
}

// markDirty marks a job whose record has changed and has to be stored.
func (e *Engine) markDirty(j *job) { e.dirtyJobs[j] = struct{}{} }
