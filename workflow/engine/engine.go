// Package engine schedules the tasks of jobs on executors. It is a state machine that does no I/O: the owner passes in
// events with the time, and carries out the engine's decisions once they are stored.
//
// Two times are passed in. now is the time on the owner's clock, which goes on while the host is suspended; the engine measures
// all durations by it. wall is the time of day, for what is stored or set as such: when jobs were accepted, are due and ended.
package engine

import (
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/colocation"
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
	// StaleLeaseExpiry is the time after the first answer of an executor incarnation to a call with its own fencing token at which none
	// of its tasks can still be running by a stale lease.
	StaleLeaseExpiry time.Duration
	// StopMargin is how long after the end of its lease an executor may take to stop its tasks.
	StopMargin time.Duration
	// UnlistedMargin is added to the lease of an executor for runs that it has not listed: another incarnation may have started them under a
	// lease that nobody has reported, so that the node on its host has to stop them.
	UnlistedMargin time.Duration
	// FirstOwner is set if nobody has owned the jobs before.
	FirstOwner bool
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
	// tasksWithRun holds the tasks with a run, done ones included, by executor incarnation and sorted by name.
	tasksWithRun map[string][]*task
	// stopping holds the tasks of which the run is to be stopped.
	stopping map[*task]struct{}
	// unreportedExpiry is when the leases of executor incarnations that no node has reported have expired.
	unreportedExpiry time.Time
	// unreportedSource tells where unreportedExpiry comes from.
	unreportedSource LeaseSource
	// lapsedAt holds when the leases of executor incarnations with runs have recently expired, or such an incarnation has ended,
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
	// colocation estimates how much headroom best-effort images take from serving images.
	colocation *colocation.Model
	// shares is the buffer of bestEffortShares.
	shares []colocation.Share
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
	// heldTasks is the footprint of all jobs, as package admission counts.
	heldTasks int
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
		tasksWithRun:         map[string][]*task{},
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

		colocation: colocation.NewModel(),
		quarantine: newQuarantine(),
		crashes:    newCrashState(),
		durations:  map[string]*durationModel{},
		meanWork:   map[string]float64{},
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

// markDirty marks a job whose record has changed and has to be stored.
func (e *Engine) markDirty(j *job) { e.dirtyJobs[j] = struct{}{} }
