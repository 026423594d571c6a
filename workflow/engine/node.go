package engine

import (
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/colocation"
)

// imageCounts counts tasks by image. An executor has few images, so a list is faster than a map.
type imageCounts []imageCount

type imageCount struct {
	image string
	tasks int
}

func (c *imageCounts) add(image string, tasks int) {
	for i := range *c {
		if (*c)[i].image != image {
			continue
		}
		if (*c)[i].tasks += tasks; (*c)[i].tasks == 0 {
			*c = slices.Delete(*c, i, i+1)
		}
		return
	}
	*c = append(*c, imageCount{image, tasks})
}

func (c imageCounts) count(image string) int {
	for i := range c {
		if c[i].image == image {
			return c[i].tasks
		}
	}
	return 0
}

// node is a host with its executor.
type node struct {
	name        string
	address     string
	incarnation int64
	number      int64
	executor    workflow.Executor
	known       bool
	// domainIndex is the position of the executor among those of its failure domain, by name of the node.
	domainIndex int
	// executorIncarnation identifies the executor's current incarnation.
	executorIncarnation string
	// replacedAt is when this owner first heard of that incarnation. replacedSameID is set if it took the place of another one with the
	// same ID.
	replacedAt     time.Time
	replacedSameID bool
	// leaseExpires is when all runs on the executor have ended, unless its lease is renewed.
	leaseExpires time.Time
	// leaseSource tells where leaseExpires comes from.
	leaseSource LeaseSource
	// leaseReport is the number of the last report that renewed the lease of the current incarnation; 0 if none of the node's process
	// did.
	leaseReport int64
	// hadLease is set once this owner has granted a lease to an executor of the host, and hadLeaseBefore if it had done so before the
	// present process of the host's node.
	hadLease, hadLeaseBefore bool
	// staleLease is the lease that the current incarnation may hold from calls for former ones.
	staleLease staleLease
	// reportedAt is when the last report arrived, listedAt when the current incarnation last listed its runs; zero if it hasn't.
	reportedAt, listedAt time.Time
	ackedEnd             int64
	// reserved is what tasks with a run reserve; bestEffortDemand is the CPU that best-effort tasks request, in
	// millicores.
	reserved         structs.Resources
	bestEffortDemand int64
	// servingCount is the number of serving tasks, servingReserved the CPU that they reserve, in millicores.
	servingCount    int
	servingReserved int64
	// servingImages counts the serving tasks by image.
	servingImages imageCounts
	// headrooms caches the lowest headroom of the serving tasks of each image as of headroomsAt.
	headrooms   []imageHeadroom
	headroomsAt time.Time
	// orphanedRuns lists the runs on the executor that no task has.
	orphanedRuns []workflow.RunState
	// sampledAt is when latencies were last sampled, bestEffortEvictedAt when a best-effort task was last evicted.
	sampledAt, bestEffortEvictedAt time.Time
	// exposure holds the CPU shares of best-effort images that show in the latencies of the serving tasks.
	exposure colocation.Exposure
	// slowness is a moving average of task durations relative to the typical durations of their groups, as of
	// slownessAt; 0 if unknown.
	slowness   float64
	slownessAt time.Time
	// noStartsUntil blocks starts for a time after the executor has rejected one, has not answered one or could not be reached.
	// rejections counts these pauses since it last accepted a start.
	noStartsUntil time.Time
	rejections    int
	// unansweredAt is when the executor was last known to have left an order unanswered; zero if it has not.
	unansweredAt time.Time
	// aliveAt is when the executor's current incarnation last listed its runs. lapsedRuns are those that it had when its lease
	// expired, until it lists its runs again.
	aliveAt time.Time
	// brokenAt is when a connection to that incarnation was first broken or refused since it last responded; zero if none was.
	brokenAt time.Time
	// endReportedAt is when a report last said that the host refuses connections to that incarnation; zero if none did.
	// recordedEnd is the last incarnation whose end was counted.
	endReportedAt time.Time
	recordedEnd   string
	lapsedRuns    []crashedRun
	// presumed is the crash that was presumed when the lease last expired, until the executor lists its runs again.
	presumed presumedCrash
	// unproven is set until the executor has shown that the former ones of its host have ended.
	unproven bool
	// probes is the number of suspects of a crash that run on the executor and have not survived yet, as of the last Plan.
	// repeatedProbes is set if one of them is a suspect of several crashes.
	probes         int
	repeatedProbes bool
	// lists tells when the executor last listed its runs, and contradictions what in them contradicts this owner's state.
	lists          executorLists
	contradictions reportedContradictions
	// misplaced holds the runs that the executor lists and that have been described as misplaced.
	misplaced map[misplacedKey]struct{}
	// orphanStopsAt is when stops of orphaned runs were last ordered.
	orphanStopsAt time.Time
}

// runsIncarnation reports whether an incarnation is the current one of the host's executor.
func (n *node) runsIncarnation(incarnation string) bool {
	return n.known && n.executorIncarnation == incarnation
}

func (n *node) addTask(t *task) {
	t.node = n
	n.headroomsAt = time.Time{}
	n.reserved = n.reserved.Add(t.step.Reserved())
	if t.step.BestEffort {
		n.bestEffortDemand += t.step.Need.MilliCores
	}
	if t.step.TargetMillis > 0 {
		n.servingCount++
		n.servingImages.add(t.step.Image, 1)
		n.servingReserved += t.step.Need.MilliCores
	}
}

func (n *node) removeTask(t *task) {
	n.headroomsAt = time.Time{}
	n.reserved = n.reserved.Sub(t.step.Reserved())
	if t.step.BestEffort {
		n.bestEffortDemand -= t.step.Need.MilliCores
	}
	if t.step.TargetMillis > 0 {
		n.servingCount--
		n.servingImages.add(t.step.Image, -1)
		n.servingReserved -= t.step.Need.MilliCores
	}
	t.node = nil
	t.group.lowestAt = time.Time{}
}
