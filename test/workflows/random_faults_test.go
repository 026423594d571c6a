package workflows_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/gateway"
	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/node/nodetest"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// defaultChecks is the number of random histories unless -rapid.checks is given.
const defaultChecks = "60"

// TestMain sets the seed and the number of histories unless they are given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	if f := flag.Lookup("rapid.checks"); f != nil && f.Value.String() == f.DefValue {
		_ = f.Value.Set(defaultChecks)
	}
	os.Exit(m.Run())
}

// setDefaultChecks changes the number of histories of a test that takes long, unless it is given.
func setDefaultChecks(t *testing.T, checks string) {
	f := flag.Lookup("rapid.checks")
	if f.Value.String() != defaultChecks {
		return
	}
	_ = f.Value.Set(checks)
	t.Cleanup(func() { _ = f.Value.Set(defaultChecks) })
}

// action is one step of a random history.
type action struct {
	kind   string
	host   int
	counts []int
	pause  time.Duration
	// constraints are those of what the action submits or starts; nil in histories without constraints.
	constraints *constraints
}

var actionKinds = []string{
	"submit", "submit", "submit", "cancel", "kill", "start", "withdraw", "crash", "restart", "silence", "respond", "late",
	"on-time", "refuse", "store-hangs", "lose", "delay", "heal", "compact", "remove-owner-key", "cut", "reconnect",
}

// departureActionKinds also contain executors that leave, and announcements of such an end that are wrong or late.
var departureActionKinds = append([]string{"leave", "leave", "false-leave", "stop"}, actionKinds...)

// crashActionKinds also contain executors that end without an announcement or refuse connections for a moment, and restarts of
// processes beside them.
var crashActionKinds = append([]string{
	"die", "die", "die", "refuse-shortly", "kill", "start", "start", "restart", "late",
}, departureActionKinds...)

// leaseActionKinds are the faults that make leases expire or change the owner. Restarts of executors are left to actionKinds: a
// start that reaches the next incarnation keeps a deadline of the former one's clock, which is an open fault (docs/PROOFS.md).
var leaseActionKinds = []string{
	"submit", "kill", "kill", "start", "start", "withdraw", "withdraw", "silence", "silence", "respond", "cut", "cut",
	"reconnect", "refuse", "store-hangs", "lose", "heal", "remove-owner-key", "end-leases", "end-leases",
}

// longActionKinds also contain reads of all inputs that are answered late, calls between processes that are carried out late, and
// announcements of foreign executors. Histories of them go on beyond the retention of finished jobs.
var longActionKinds = append([]string{
	"read-late", "read-late", "compact", "compact", "calls-late", "calls-in-time", "foreign",
}, leaseActionKinds...)

// maxCallLateness is how much later a call between processes may be carried out.
const maxCallLateness = 4 * time.Second

// manyEndsActionKinds are faults under which ends wait for their acknowledgement. Restarts of executors are left to actionKinds: a start
// that reaches the next incarnation may run after its task is done, which is an open fault (docs/PROOFS.md).
var manyEndsActionKinds = []string{
	"submit", "submit", "submit", "submit", "cancel", "kill", "start", "start", "withdraw", "silence", "respond", "late", "on-time",
	"refuse", "store-hangs", "lose", "delay", "delay", "heal", "compact", "remove-owner-key", "end-leases", "cut", "reconnect",
}

// limitActionKinds are the faults under which runs are superseded: leases of executors that are silent lapse, orders are carried out late,
// and the owner changes. Restarts of executors are left to actionKinds, as above.
var limitActionKinds = []string{
	"submit", "submit", "submit", "submit", "lapse", "lapse", "lapse", "late", "late", "on-time", "kill", "start", "start", "withdraw",
	"cut", "reconnect", "reconnect", "remove-owner-key", "end-leases", "heal",
}

// suspensionActionKinds are hosts that are suspended, and the faults that make leases expire or change the owner.
var suspensionActionKinds = []string{
	"submit", "suspend", "suspend", "suspend", "suspend-twice", "suspend-twice", "suspend-twice", "cut", "cut", "cut", "reconnect",
	"reconnect", "kill", "start", "start", "withdraw", "silence", "respond", "refuse", "store-hangs", "lose", "heal", "heal",
	"remove-owner-key", "end-leases",
}

const (
	randomTestHosts = 3
	// maxWakeTime is how long a host that is suspended twice is up in between.
	maxWakeTime = 200 * time.Millisecond
	// watchedShare is the inverse of the share of histories after which standstills are looked for.
	watchedShare = 5
)

func drawActions(t *rapid.T, kinds []string) []action {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			host:   rapid.IntRange(0, randomTestHosts).Draw(t, "host"),
			counts: rapid.SliceOfN(rapid.IntRange(1, 6), 1, 3).Draw(t, "counts"),
			pause:  time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond,
		}
	}), 5, 25).Draw(t, "actions")
}

// history applies a series of actions to a fleet.
type history struct {
	*fleet
	stopped map[int]bool
	// misreported holds the hosts whose executor was announced to end and did not.
	misreported map[int]bool
	accepted    []string
	cancelled   map[string]bool
	// crashes counts the executors that have ended visibly without an announcement. A job may be given up after two.
	crashes int
	// constrained is set if jobs and executors have the constraints of the actions.
	constrained bool
	// manySmall is set if jobs have manySmallFactor times as many tasks, which need as much less.
	manySmall bool
	// limited is set if an executor may run only one or two tasks of a step.
	limited bool
}

// manySmallFactor lets enough tasks run on an executor that it has more ends than it lists at a time.
const manySmallFactor = 5

func (h *history) apply(a action) {
	if a.host == randomTestHosts {
		h.applyToEntry(a)
		return
	}
	host := h.hosts[a.host]
	switch a.kind {
	case "kill":
		if !h.stopped[a.host] {
			host.kill()
			h.stopped[a.host] = true
		}
	case "stop":
		if !h.stopped[a.host] {
			host.stop()
			h.stopped[a.host] = true
		}
	case "start":
		h.startIfStopped(a.host)
	case "leave":
		host.depart()
	case "false-leave":
		description, _ := host.executor.Describe()
		host.node.Leave(description.ID)
		h.misreported[a.host] = true
	case "withdraw":
		if !h.stopped[a.host] {
			host.stopCandidacy()
			<-host.candidateDone
			host.kill()
			h.stopped[a.host] = true
		}
	case "crash":
		host.executor.Crash()
	case "die":
		h.crashes++
		host.executor.Leave()
	case "refuse-shortly":
		host.executor.SetRefusing(true)
		time.Sleep(a.pause)
		if _, up := host.executor.Describe(); up {
			host.executor.SetRefusing(false)
		}
	case "restart":
		host.executor.Restart()
	case "silence", "respond":
		host.executor.SetUnresponsive(a.kind == "silence")
	case "lapse":
		host.executor.SetUnresponsive(true)
		time.AfterFunc(owner.ExecutorLeaseDuration+a.pause, func() { host.executor.SetUnresponsive(false) })
	case "late":
		host.executor.SetDelayedShare(0.3)
	case "on-time":
		host.executor.SetDelayedShare(0)
	case "replace":
		h.crashes++
		h.replaceExecutor(a.host, a.constraints.executor)
	case "calls-late":
		h.network.SetLate(0.3, maxCallLateness)
	case "calls-in-time":
		h.network.SetLate(0, 0)
	case "foreign":
		if !h.stopped[a.host] {
			host.announceForeign(int64(time.Since(h.startedAt)))
		}
	case "suspend":
		host.suspension.suspend(time.Second + 3*a.pause)
	case "suspend-twice":
		host.suspension.suspend(time.Second + a.pause)
		time.AfterFunc(time.Second+a.pause+a.pause%maxWakeTime, func() { host.suspension.suspend(time.Second + 3*a.pause) })
	case "cut", "reconnect":
		h.network.SetPartitioned(host.name, a.kind == "cut")
	default:
		h.applyToStore(a, host.store)
	}
}

func (h *history) applyToEntry(a action) {
	switch a.kind {
	case "cut", "reconnect":
		h.network.SetPartitioned("entry", a.kind == "cut")
	default:
		h.applyToStore(a, h.entryStore)
	}
}

func (h *history) applyToStore(a action, client *kvtest.Client) {
	switch a.kind {
	case "submit":
		h.submitOnce(a)
	case "cancel":
		h.cancel()
	case "refuse":
		client.SetFaults(kvtest.Faults{Unavailable: true})
	case "store-hangs":
		client.SetFaults(kvtest.Faults{Unresponsive: true})
	case "lose":
		client.SetFaults(kvtest.Faults{Delay: storeDelay, ResponseLoss: 0.3, CommitDelay: a.pause})
	case "delay":
		client.SetFaults(kvtest.Faults{Delay: slowStoreDelay})
	case "heal":
		client.SetFaults(kvtest.Faults{Delay: storeDelay})
	case "read-late":
		client.SetFaults(kvtest.Faults{Delay: storeDelay, ListDelay: shortRetention})
	case "configure":
		h.operators.configure(configuredQueues[a.host]...)
	case "compact":
		h.store.Compact()
	case "remove-owner-key":
		h.store.DeletePrefix(ownership.OwnerKey)
	case "end-leases":
		h.store.EndLeases()
	}
}

// submitOnce submits a job without repeating the call. Only a definite rejection is recorded as such, and only a successful
// call counts as accepted.
func (h *history) submitOnce(a action) {
	job := h.newJob(a.counts...)
	for i := range job.Steps {
		if a.constraints != nil {
			a.constraints.steps[i].apply(&job.Steps[i])
		}
		if h.manySmall {
			job.Steps[i].Count *= manySmallFactor
			job.Steps[i].Need.MilliCores /= manySmallFactor
		}
		if h.limited {
			job.Steps[i].PerExecutor = 1 + (h.jobs+i)%maxRandomLimit
			job.Steps[i].Count *= limitedFactor
		}
	}
	ctx, cancel := context.WithTimeout(h.ctx, 3*time.Second)
	defer cancel()
	err := h.gateway.Submit(ctx, &job)
	if errors.Is(err, gateway.ErrUnavailable) {
		h.checker.recordRejected(job.ID)
		return
	}
	if err == nil {
		h.accepted = append(h.accepted, job.ID)
	}
}

func (h *history) cancel() {
	if len(h.accepted) == 0 {
		return
	}
	id := h.accepted[len(h.accepted)-1]
	ctx, cancel := context.WithTimeout(h.ctx, 3*time.Second)
	defer cancel()
	// A cancellation that returns an error may still take effect.
	h.cancelled[id] = true
	_ = h.gateway.Cancel(ctx, id)
}

// setTaskTime sets how long the runs take that start from now on.
func (h *history) setTaskTime(d time.Duration) {
	for _, host := range h.hosts {
		host.executor.SetDuration(d)
	}
}

// limitEnds sets how many ends the executors list at a time.
func (h *history) limitEnds(endsPerResponse int) {
	for _, host := range h.hosts {
		host.executor.SetEndsPerResponse(endsPerResponse)
	}
}

func (h *history) startIfStopped(i int) {
	if h.stopped[i] {
		h.hosts[i].start()
		delete(h.stopped, i)
	}
}

// clearFaults removes all faults and restarts what was stopped.
func (h *history) clearFaults() {
	for i, host := range h.hosts {
		host.suspension.end()
		host.store.SetFaults(kvtest.Faults{Delay: storeDelay})
		h.network.SetPartitioned(host.name, false)
		host.executor.SetUnresponsive(false)
		host.executor.SetDelayedShare(0)
		if _, up := host.executor.Describe(); !up || h.misreported[i] {
			host.executor.Restart()
		}
		h.startIfStopped(i)
	}
	if h.constrained {
		h.operators.configure(testQueue)
	}
	h.network.SetPartitioned("entry", false)
	h.network.SetLate(0, 0)
	h.entryStore.SetFaults(kvtest.Faults{Delay: storeDelay})
}

// submitLasting submits jobs that last until all jobs are judged, so that some still run then.
func (h *history) submitLasting() {
	for _, width := range []int{1, 2} {
		counts := make([]int, int((finishTime+time.Second)/taskTime))
		for i := range counts {
			counts[i] = width
		}
		h.accepted = append(h.accepted, h.submit(counts...))
	}
}

// watchAfterFaults looks for standstills from when all jobs have to run. It returns the first one, or "".
func (h *history) watchAfterFaults() string {
	jobs := slices.DeleteFunc(slices.Clone(h.accepted), func(id string) bool { return h.cancelled[id] })
	time.Sleep(finishTime - maxIdle)
	return newStandstillOracle(h.fleet, jobs).watch(maxIdle + time.Second)
}

// minCrashesOfFailedJob is the number of executors that must have crashed before a job may be given up.
const minCrashesOfFailedJob = 2

// awaitCompletion waits until all accepted jobs have ended. It returns a description of the first failure, or "".
func (h *history) awaitCompletion() string {
	deadline := time.Now().Add(2 * time.Minute)
	for _, id := range h.accepted {
		for {
			ctx, cancel := context.WithTimeout(h.ctx, 3*time.Second)
			phase, err := h.gateway.State(ctx, id)
			cancel()
			if errors.Is(err, gateway.ErrNotFound) && h.retention > 0 && (h.checker.isDone(id) || h.cancelled[id]) {
				break
			}
			if errors.Is(err, gateway.ErrNotFound) {
				return fmt.Sprintf("accepted job %s is not known", id)
			}
			if phase == workflow.Completed || phase == workflow.Cancelled && h.cancelled[id] || phase == workflow.Failed && h.crashes >= minCrashesOfFailedJob {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Sprintf("job %s is still %s, %v", id, phase, err)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	if broken := h.checker.foundViolations(); len(broken) > 0 {
		return fmt.Sprint(broken)
	}
	return ""
}

// Guards against violated guarantees under random series of faults: two concurrent runs of a task, a start before the
// steps that it depends on, a start after an acknowledged end, a start of a rejected job, and an accepted job that is lost,
// never ends, or stands still after the faults.
func TestRandomFaults(t *testing.T) {
	checkRandomFaults(t, randomFaults{kinds: actionKinds, taskTime: taskTime})
}

// Guards against the same violations when executors also leave as planned, announce their end falsely, and come back under
// their ID.
func TestRandomFaultsWithDepartures(t *testing.T) {
	checkRandomFaults(t, randomFaults{kinds: departureActionKinds, taskTime: taskTime})
}

// Guards against the same violations when executors also crash so that their hosts refuse connections.
func TestRandomFaultsWithRefusedConnections(t *testing.T) {
	checkRandomFaults(t, randomFaults{kinds: crashActionKinds, taskTime: taskTime})
}

// Guards against the same violations when executors take no calls and fetch their orders with their heartbeats.
func TestRandomFaultsWithFetchedOrders(t *testing.T) {
	checkRandomFaults(t, randomFaults{kinds: actionKinds, taskTime: taskTime, fetching: true})
}

const (
	// mediumTaskTime lets runs end while their executor is silent, and be started again elsewhere before they are listed.
	mediumTaskTime = 3 * time.Second
	// maxRandomLimit is the largest limit of a step on an executor.
	maxRandomLimit = 2
	// limitedFactor lets tasks of a step wait for a place while others run.
	limitedFactor = 4
)

// longTaskTime exceeds the leases of executors, so that a run that is still going on when its task is started elsewhere is seen.
const longTaskTime = 12 * time.Second

// Guards against tasks that are started elsewhere before the lease of a silent executor has expired, across changes of the owner.
func TestRandomLeaseFaults(t *testing.T) {
	checkRandomFaults(t, randomFaults{kinds: leaseActionKinds, taskTime: longTaskTime})
}

// Guards against the same when executors fetch their orders.
func TestRandomLeaseFaultsWithFetchedOrders(t *testing.T) {
	checkRandomFaults(t, randomFaults{kinds: leaseActionKinds, taskTime: longTaskTime, fetching: true})
}

// Guards against the same violations, and against jobs that run again once they were deleted, in histories that go on beyond the
// retention, with late reads, late calls between processes and announcements of foreign executors.
func TestRandomFaultsBeyondRetention(t *testing.T) {
	checkRandomFaults(t, randomFaults{kinds: longActionKinds, taskTime: taskTime, retention: shortRetention})
}

// Guards against tasks that are done and are started again because their executor has more ends than it lists at a time, and against
// jobs that stand still until it lists them.
func TestRandomFaultsWithManyEnds(t *testing.T) {
	checkRandomFaults(t, randomFaults{kinds: manyEndsActionKinds, taskTime: taskTime, manyEnds: true})
}

// Guards against the same when executors fetch their orders.
func TestRandomFaultsWithManyEndsAndFetchedOrders(t *testing.T) {
	checkRandomFaults(t, randomFaults{kinds: manyEndsActionKinds, taskTime: taskTime, manyEnds: true, fetching: true})
}

// Guards against tasks that run twice after the host of a node or of the owner was suspended, and its monotonic clock stood still.
func TestRandomSuspensions(t *testing.T) {
	checkRandomFaults(t, randomFaults{kinds: suspensionActionKinds, taskTime: longTaskTime})
}

// Guards against the same when executors fetch their orders.
func TestRandomSuspensionsWithFetchedOrders(t *testing.T) {
	checkRandomFaults(t, randomFaults{kinds: suspensionActionKinds, taskTime: longTaskTime, fetching: true})
}

// Guards against the same with tasks that end while their hosts are suspended.
func TestRandomSuspensionsWithShortTasks(t *testing.T) {
	checkRandomFaults(t, randomFaults{kinds: suspensionActionKinds, taskTime: taskTime})
}

// Guards against tasks that are started elsewhere before the lease of a silent executor has expired, under late calls between
// processes and announcements of foreign executors.
func TestRandomLeaseFaultsWithLateCalls(t *testing.T) {
	checkRandomFaults(t, randomFaults{kinds: longActionKinds, taskTime: longTaskTime, retention: shortRetention})
}

// Guards against starts beyond the limit of a step on an executor, or beyond its room, beside runs that have not ended (ROUTE, LIMIT).
func TestRandomFaultsKeepLimits(t *testing.T) {
	checkRandomFaults(t, randomFaults{kinds: limitActionKinds, taskTime: mediumTaskTime, limited: true})
}

// Guards against the same when executors fetch their orders.
func TestRandomFaultsKeepLimitsWithFetchedOrders(t *testing.T) {
	checkRandomFaults(t, randomFaults{kinds: limitActionKinds, taskTime: mediumTaskTime, limited: true, fetching: true})
}

// randomFaults describes the histories of a test.
type randomFaults struct {
	kinds    []string
	taskTime time.Duration
	// fetching is set if executors fetch their orders.
	fetching bool
	// retention is how long owners keep finished jobs; 0 for their default.
	retention time.Duration
	// constrained is set if jobs, executors and configurations differ in what may run where.
	constrained bool
	// manyEnds is set if jobs have many small tasks, executors list few ends at a time, and the store is slow.
	manyEnds bool
	// limited is set if an executor may run only one or two tasks of a step.
	limited bool
}

// maxRandomEndsPerResponse limits how many ends executors list at a time in histories with many ends.
const maxRandomEndsPerResponse = 6

func checkRandomFaults(t *testing.T, faults randomFaults) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := drawActions(rt, faults.kinds)
		// Looking for standstills takes several times as long as the rest of a history.
		watched := rapid.IntRange(1, watchedShare).Draw(rt, "watched") == watchedShare
		endsPerResponse := 0
		if faults.manyEnds {
			endsPerResponse = rapid.IntRange(1, maxRandomEndsPerResponse).Draw(rt, "ends per response")
		}
		var executors []executorTraits
		if faults.constrained {
			// The oracle of standstills doesn't know where a task may run.
			watched = false
			executors = drawConstraints(rt, actions)
		}
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer time.Sleep(callDrainTime)
			defer cancel()
			h := &history{
				fleet:   newRetainingFleet(t, ctx, randomTestHosts, faults.fetching, faults.retention),
				stopped: map[int]bool{}, misreported: map[int]bool{}, cancelled: map[string]bool{}, constrained: faults.constrained,
			}
			for i, traits := range executors {
				h.replaceExecutor(i, traits)
			}
			h.setTaskTime(faults.taskTime)
			h.limited = faults.limited
			if faults.manyEnds {
				h.manySmall = true
				h.limitEnds(endsPerResponse)
				h.setStoreFaults(kvtest.Faults{Delay: slowStoreDelay})
			}
			time.Sleep(startupTime)
			if faults.taskTime == longTaskTime {
				h.submitOnce(action{counts: []int{8}})
			}
			for _, a := range actions {
				h.apply(a)
				time.Sleep(a.pause)
			}
			h.clearFaults()
			h.setTaskTime(taskTime)
			if watched {
				// With few ends at a time, executors that fetch their orders would take seconds to list those of a step.
				h.limitEnds(nodetest.DefaultEndsPerResponse)
				h.submitLasting()
				failure = h.watchAfterFaults()
			}
			if failure == "" {
				failure = h.awaitCompletion()
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}
