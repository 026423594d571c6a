// Package engine decides which tasks of jobs run where. It is a state machine without input or output: the owner feeds
// it what it learns, with a reading of a monotonic clock, and carries out what it decides once that is stored.
package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler/interference"
	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// Settings are the bounds that the engine keeps.
type Settings struct {
	// LeaseDuration is how long an executor may keep its tasks after a report of its node.
	LeaseDuration time.Duration
	// LeaseExpiry is the time after the last grant at which no task of the executor runs any more. It exceeds Grant by the
	// drift of the executor's clock and the time that it takes to stop.
	LeaseExpiry time.Duration
	// RemoteSlowdown is how many times longer a task takes away from its data.
	RemoteSlowdown float64
	// TakeoverSlack is how long a former owner may give grants after the present one has taken over.
	TakeoverSlack time.Duration
	// Retention is how long the state of a finished job can be read.
	Retention time.Duration
}

// Engine holds all jobs and executors. It is not safe for concurrent use.
type Engine struct {
	settings  Settings
	config    *workflow.Config
	evacuated map[string]bool
	// operatorStateLoaded tells that the failure domains out of service are known.
	operatorStateLoaded bool
	jobs                map[string]*job
	// pendingCancellations holds the cancellations of jobs that aren't known yet.
	pendingCancellations map[string]bool
	// activeJobs holds the jobs that have not ended.
	activeJobs map[string]*job
	nodes      map[string]*node
	// sortedNodes holds the same nodes in the order of their names, lives the node of each reported incarnation.
	sortedNodes       []*node
	nodeByIncarnation map[string]*node
	// assignedTasks holds the tasks that may run, by the incarnation that they are assignedTasks to, in the order of their names.
	assignedTasks map[string][]*task
	// stopping holds the assigned tasks that are to end.
	stopping map[*task]struct{}
	// unreportedExpiry is when tasks of incarnations that no node has reported have ended at the latest.
	unreportedExpiry time.Time
	// discoveryDeadline is when all executors have had the time to announce themselves.
	discoveryDeadline time.Time
	// hasRestoredRuns tells that records named hosts of running tasks; missing holds those that haven't reported an executor yet.
	hasRestoredRuns bool
	unreportedHosts map[string]bool
	dirtyJobs       map[*job]struct{}
	outbox          map[string]*outbox
	// needsPlanning tells that the next Plan may find something to start.
	needsPlanning bool
	// interference knows how much filling tasks slow serving ones down.
	interference *interference.Model
	// quarantine knows the executors that fail what they run, by the names of their nodes.
	quarantine *quarantine.Model
}

// outbox collects the orders for a node until they may be sent.
type outbox struct {
	starts []*task
	stops  []workflow.StopOrder
}

// job is the state of one job.
type job struct {
	workflow.Job
	phase workflow.Phase
	// storedPhase is the phase that is stored, and that clients are told.
	storedPhase     workflow.Phase
	tasks           []*task
	groups          []group
	endedUnixMillis int64
	// acceptedAt is when the job was accepted, on the owner's clock.
	acceptedAt time.Time
	// criticalPath is the longest sum of estimates along dependent steps, for the whole job.
	criticalPath time.Duration
	// remainingPath is the same for what has not finished yet.
	remainingPath time.Duration
	cancelled     bool
	// idleSince is when a plan first found the job ready with nothing running; zero while something runs.
	idleSince time.Time
}

// group is the tasks of one step in one occurrence.
type group struct {
	occurrence, step int
	tasks            []*task
	done             int
	// lowest is what the latencies of the group's tasks showed at quietAt.
	lowest   lowestLatency
	lowestAt time.Time
}

// task is the state of one task.
type task struct {
	job   *job
	step  *workflow.Step
	group *group
	id    workflow.TaskID
	name  string

	phase               workflow.TaskPhase
	run                 int
	executorIncarnation string
	// host is the name of the node of that incarnation, also while the node is unknown.
	host     string
	node     *node
	failures int
	saved    string

	// startPending tells that a start has been decided and its result isn't known yet.
	startPending bool
	// startedSequence is the node's sequence when the executor accepted the start, with the node's incarnation.
	startedSequence    int64
	startedIncarnation int64
	// listed tells that the executor has listed the run.
	listed bool
	// stopRequested tells that the run is to end; stopSent is when it was last ordered.
	stopRequested bool
	stopReason    string
	stopOrderedAt time.Time
	// stoppedSequence is the node's sequence when the executor accepted the stop; 0 before.
	stoppedSequence    int64
	stoppedIncarnation int64

	startedAt time.Time
	// duration is how long the run duration that finished the task; 0 while it isn't known.
	duration time.Duration
	percent  float64
	// progressedAt is when the progress last changed.
	progressedAt time.Time
	usage        float64
	// failedHosts lists hosts on which the task has failed.
	failedHosts []string
	// avoidedHost is a host that the next start keeps away from until shunnedUntil.
	avoidedHost  string
	avoidedUntil time.Time
	// notBefore delays the next start after a rejected one.
	notBefore time.Time
}

// node is a host with its executor.
type node struct {
	name        string
	address     string
	incarnation int64
	number      int64
	executor    workflow.Executor
	known       bool
	// executorIncarnation is the name of the executor's incarnation.
	executorIncarnation string
	// leaseExpires is when everything on the executor has ended unless a further grant is given.
	leaseExpires time.Time
	// leaseGranted tells that the last report earned a grant.
	leaseGranted bool
	// reportedAt is when the last report arrived, listedAt when the executor gave the last lists.
	reportedAt, listedAt time.Time
	ackedEnd             int64
	// reserved is what assigned tasks reserve; filling is the processor time that filling tasks ask for.
	reserved         structs.Resources
	bestEffortDemand int64
	// servingCount counts the servingCount tasks, reservedServing is the processor time that they reserve.
	servingCount    int
	servingReserved int64
	// servingImages counts the serving tasks by image.
	servingImages imageCounts
	// headrooms is the least headroom of the serving tasks of each image, as of headroomsAt.
	headrooms   []imageHeadroom
	headroomsAt time.Time
	// orphanedRuns lists runs that the executor has and that no task is assigned to.
	orphanedRuns []workflow.RunState
	// sampledAt is when latencies were last taken from a report, bestEffortEvictedAt when a filling task was last moved away.
	sampledAt, bestEffortEvictedAt time.Time
	// slowness is the mean share of its estimate that a task takes, as of speedAt; 0 while nothing is known.
	slowness   float64
	slownessAt time.Time
	// noStartsUntil keeps starts away after the executor has rejected one.
	noStartsUntil time.Time
	// orphanStopsAt is when stops of foreign runs were last ordered.
	orphanStopsAt time.Time
}

// New returns an engine without jobs. Incarnations of executors that no node reports count as ended after Lapse.
func New(settings Settings, now time.Time) *Engine {
	return &Engine{
		settings:             settings,
		config:               &workflow.Config{},
		evacuated:            map[string]bool{},
		jobs:                 map[string]*job{},
		pendingCancellations: map[string]bool{},
		activeJobs:           map[string]*job{},
		nodes:                map[string]*node{},
		nodeByIncarnation:    map[string]*node{},
		assignedTasks:        map[string][]*task{},
		stopping:             map[*task]struct{}{},
		unreportedExpiry:     now.Add(settings.LeaseExpiry + settings.TakeoverSlack),
		discoveryDeadline:    now.Add(discoveryTimeout),
		unreportedHosts:      map[string]bool{},
		dirtyJobs:            map[*job]struct{}{},
		outbox:               map[string]*outbox{},

		interference: newInterference(),
		quarantine:   newQuarantine(),
	}
}

// Configure replaces the configuration. Older versions are ignored.
func (e *Engine) Configure(config *workflow.Config) bool {
	if config.Version < e.config.Version {
		return false
	}
	e.config = config
	e.needsPlanning = true
	return true
}

// ConfigVersion returns the version in force; 0 before the first.
func (e *Engine) ConfigVersion() int64 { return e.config.Version }

// SetEvacuated replaces the failure domains that get no starts. Nothing starts before the first call.
func (e *Engine) SetEvacuated(domains []string) {
	e.operatorStateLoaded = true
	clear(e.evacuated)
	for _, domain := range domains {
		e.evacuated[domain] = true
	}
	e.needsPlanning = true
}

// Tick makes the next Plan look for tasks to start, since delays may have passed.
func (e *Engine) Tick(now time.Time) {
	e.needsPlanning = true
	e.interference.Advance(now)
	e.quarantine.Advance(now)
	e.quarantine.SetFleet(len(e.nodes))
	e.evictBestEffort(now)
	e.restartSlowRuns(now)
}

// queueOf returns the queue of a job as it is configured now, or as it was when the job was accepted.
func (e *Engine) queueOf(j *job) *workflow.Queue {
	if q := e.config.Queue(j.Queue.Name); q != nil {
		return q
	}
	return &j.Queue
}

// Add takes over a job with its record; nil for a new one. It returns false if the job is known.
func (e *Engine) Add(spec workflow.Job, record *workflow.JobRecord, now, wall time.Time) bool {
	if _, known := e.jobs[spec.ID]; known {
		return false
	}
	age := max(wall.Sub(time.UnixMilli(spec.AcceptedUnixMillis)), 0)
	j := &job{Job: spec, phase: workflow.Pending, storedPhase: workflow.Pending, acceptedAt: now.Add(-age)}
	j.buildTasks()
	e.jobs[spec.ID] = j
	e.activeJobs[spec.ID] = j
	if record != nil {
		e.restore(j, record)
	}
	if j.phase.Final() {
		delete(e.activeJobs, j.ID)
	}
	j.updateCriticalPaths()
	if e.pendingCancellations[j.ID] {
		delete(e.pendingCancellations, j.ID)
		e.Cancel(j.ID, wall)
	}
	e.needsPlanning = true
	return true
}

// AddEnded takes over a finished job of which nothing runs any more, by its record alone.
func (e *Engine) AddEnded(id string, record *workflow.JobRecord) {
	if _, known := e.jobs[id]; known {
		return
	}
	e.jobs[id] = &job{
		Job: workflow.Job{ID: id}, phase: record.Phase, storedPhase: record.Phase, endedUnixMillis: record.EndedUnixMillis,
		cancelled: record.Phase == workflow.Cancelled,
	}
	delete(e.pendingCancellations, id)
}

// awaitHost notes that a host had a running task under the former owner.
func (e *Engine) awaitHost(host string) {
	e.hasRestoredRuns = true
	if n := e.nodes[host]; n == nil || !n.known {
		e.unreportedHosts[host] = true
	}
}

// executorsDiscovered tells whether the executors are known among which tasks that last have to be spread: all hosts with running
// tasks have reported, or have had the time to.
func (e *Engine) executorsDiscovered(now time.Time) bool {
	return e.hasRestoredRuns && len(e.unreportedHosts) == 0 || !now.Before(e.discoveryDeadline)
}

// taskByName returns the taskByName with an ID, or nil.
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
func (e *Engine) restore(j *job, record *workflow.JobRecord) {
	j.phase = record.Phase
	j.storedPhase = record.Phase
	j.endedUnixMillis = record.EndedUnixMillis
	j.cancelled = record.Phase == workflow.Cancelled
	for _, r := range record.Tasks {
		t := j.findTask(workflow.TaskID{Job: j.ID, Occurrence: r.Occurrence, Step: r.Step, Index: r.Index})
		if t == nil {
			continue
		}
		t.run, t.failures, t.saved = r.Run, r.Failures, r.Saved
		t.phase = r.Phase
		switch r.Phase {
		case workflow.TaskDone:
			t.group.done++
		case workflow.TaskAssigned:
			t.executorIncarnation, t.host = r.Life, r.Node
			e.awaitHost(r.Node)
			e.track(t)
			if j.phase.Final() {
				e.requestStop(t, "its job has ended")
			}
		}
	}
}

// track files an assigned task under its incarnation.
func (e *Engine) track(t *task) {
	tasks := e.assignedTasks[t.executorIncarnation]
	if i, found := slices.BinarySearchFunc(tasks, t, compareTasks); !found {
		e.assignedTasks[t.executorIncarnation] = slices.Insert(tasks, i, t)
	}
}

func compareTasks(a, b *task) int { return cmp.Compare(a.name, b.name) }

// unassign returns an assigned task to waiting: no run of it exists any more, and none can begin.
func (e *Engine) unassign(t *task) {
	e.quarantine.ProbeEnded(t.host)
	e.untrack(t)
	delete(e.stopping, t)
	t.phase = workflow.TaskWaiting
	t.clearRun()
	e.markDirty(t.job)
	e.needsPlanning = true
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
	t.executorIncarnation, t.host, t.node = "", "", nil
	t.startPending, t.listed, t.stopRequested, t.stopReason = false, false, false, ""
	t.startedSequence, t.stoppedSequence = 0, 0
	t.startedIncarnation, t.stoppedIncarnation = 0, 0
	t.stopOrderedAt = time.Time{}
	t.percent, t.usage = 0, 0
}

// markDirty marks a job whose record has to be stored.
func (e *Engine) markDirty(j *job) { e.dirtyJobs[j] = struct{}{} }
