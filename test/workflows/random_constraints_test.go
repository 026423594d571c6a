package workflows_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// constraintActionKinds are the faults by which an owner misjudges what runs on an executor, executors that are replaced by others
// with another pool, other labels and another capacity, and changes of the configuration. Restarts under the same ID are left to
// actionKinds: a start that reaches the next incarnation may run after its end, which is an open fault (docs/PROOFS.md).
var constraintActionKinds = append([]string{
	"submit", "submit", "submit", "cancel", "replace", "replace", "late", "late", "on-time", "silence", "respond", "respond", "configure",
}, leaseActionKinds...)

// configuredQueues are the queues of the configurations: the pool of the queue changes, or the queue is dropped.
var configuredQueues = [randomTestHosts + 1][]workflow.Queue{{testQueue}, {queueOfPool(otherPool)}, nil, {testQueue}}

// queueOfPool returns the queue of the tests as sent to a pool.
func queueOfPool(pool string) workflow.Queue {
	q := testQueue
	q.Pool = pool
	return q
}

// constraints are the constraints of the steps of a job, and of an executor.
type constraints struct {
	steps    []stepConstraint
	executor executorTraits
}

// stepConstraint says where the tasks of a step may run.
type stepConstraint struct {
	limit      int
	label      string
	gang       bool
	milliCores int64
}

// executorTraits are the properties of an executor that decide on what it may run.
type executorTraits struct {
	pool       string
	labels     []string
	milliCores int64
	guarded    bool
}

const (
	// maxDrawnSteps is the largest number of steps of a job that drawActions draws.
	maxDrawnSteps = 3
	// gangSize is the number of members of a gang. The first two executors always have room for one.
	gangSize = 2
	// fullMilliCores is the capacity of the executors of a fleet.
	fullMilliCores = 4000
)

// drawConstraints draws the constraints of actions, and the traits of the first executors.
func drawConstraints(t *rapid.T, actions []action) []executorTraits {
	for i := range actions {
		c := &constraints{executor: drawExecutorTraits(t, actions[i].host)}
		for range maxDrawnSteps {
			c.steps = append(c.steps, drawStepConstraint(t))
		}
		actions[i].constraints = c
	}
	var executors []executorTraits
	for host := range randomTestHosts {
		executors = append(executors, drawExecutorTraits(t, host))
	}
	return executors
}

func drawStepConstraint(t *rapid.T) stepConstraint {
	return stepConstraint{
		limit:      rapid.SampledFrom([]int{1, 1, 1, 2, 2, 0}).Draw(t, "limit"),
		label:      rapid.SampledFrom([]string{"", "ssd", "gpu"}).Draw(t, "label"),
		gang:       rapid.IntRange(1, 4).Draw(t, "gang") == 1,
		milliCores: rapid.SampledFrom([]int64{1000, 1500, 3000}).Draw(t, "millicores"),
	}
}

// drawExecutorTraits draws the traits of an executor. Each task fits the first one, so that all jobs can end.
func drawExecutorTraits(t *rapid.T, host int) executorTraits {
	traits := executorTraits{pool: "pool", labels: []string{"ssd", "gpu"}, milliCores: fullMilliCores, guarded: rapid.Bool().Draw(t, "guarded")}
	if host == 0 {
		return traits
	}
	traits.labels = rapid.SampledFrom([][]string{nil, {"ssd"}, {"gpu"}, {"ssd", "gpu"}}).Draw(t, "labels")
	traits.milliCores = rapid.SampledFrom([]int64{fullMilliCores, 3000, 2000}).Draw(t, "capacity")
	if host > 1 {
		traits.pool = rapid.SampledFrom([]string{"pool", "pool", otherPool, "stray"}).Draw(t, "pool")
	}
	return traits
}

// apply sets the constraints of a step.
func (c *stepConstraint) apply(s *workflow.Step) {
	s.PerExecutor, s.Label, s.Need.MilliCores = c.limit, c.label, c.milliCores
	if !c.gang {
		return
	}
	s.Gang, s.Count, s.Need.MilliCores = true, gangSize, min(c.milliCores, fullMilliCores/gangSize)
	if c.label != "" && c.limit > 0 {
		// Only the first executor is sure to have the label.
		s.PerExecutor = gangSize
	}
}

// replaceExecutor replaces the executor of a host by another one.
func (h *history) replaceExecutor(host int, traits executorTraits) {
	x := h.hosts[host].executor
	x.SetGuarded(nil)
	if traits.guarded {
		x.SetGuarded(h.checker.reservation)
	}
	x.Replace(func(e *workflow.Executor) {
		e.Pool, e.Labels, e.Capacity.MilliCores = traits.pool, traits.labels, traits.milliCores
	})
}

// shorterThanLeaseTime is a run time within the lease of an executor that is cut off, so that its run ends done while the next one
// runs elsewhere.
const shorterThanLeaseTime = 5 * time.Second

// Guards against starts in a pool to which no configuration sends the queue, without the label of the step, beyond the limit of the
// step on an executor or beyond the capacity of one that doesn't reject them (incident ROUTE).
func TestRandomFaultsWithConstraints(t *testing.T) {
	checkRandomFaults(t, randomFaults{kinds: constraintActionKinds, taskTime: shorterThanLeaseTime, constrained: true})
}

// Guards against the same starts when executors fetch their orders.
func TestRandomFaultsWithConstraintsAndFetchedOrders(t *testing.T) {
	checkRandomFaults(t, randomFaults{kinds: constraintActionKinds, taskTime: shorterThanLeaseTime, constrained: true, fetching: true})
}
