package workflows_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/gateway"
	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/node/nodetest"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/workflow"
)

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
	case "restart-shortly", "restart-and-silence", "restart-and-cut":
		h.restartShortly(host, a)
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
	case "lose-answers", "get-answers":
		host.losesAnswers.Store(a.kind == "lose-answers")
	case "cut", "reconnect":
		h.network.SetPartitioned(host.name, a.kind == "cut")
	default:
		h.applyToStore(a, host.store)
	}
}

// restartShortly restarts an executor under its ID. In the other kinds it submits a job, of which the executor with the most room gets
// tasks, and cuts off the executor from its node, or both from all others, soon after.
func (h *history) restartShortly(host *host, a action) {
	h.crashes++
	host.executor.Crash()
	time.Sleep(executorDownTime)
	host.executor.Restart()
	if description, up := host.executor.Describe(); up {
		host.node.Announce(description, 0, 0)
	}
	if a.kind == "restart-shortly" {
		return
	}
	time.Sleep(grantTime)
	h.submitOnce(a)
	time.Sleep(a.pause % maxPauseBeforeCut)
	if a.kind == "restart-and-cut" {
		h.network.SetPartitioned(host.name, true)
		return
	}
	host.executor.SetUnresponsive(true)
}

// maxPauseBeforeCut is how long after the start of tasks on the next incarnation that is cut off.
const maxPauseBeforeCut = time.Second

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

// setStaleCalls sets which calls the next incarnations of the executors carry out for the former ones.
func (h *history) setStaleCalls(calls nodetest.StaleCalls) {
	for _, host := range h.hosts {
		host.executor.SetStaleCalls(calls)
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
		host.losesAnswers.Store(false)
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
