package node

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/node/sharing"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// paceTimeout limits the calls that set paces after the response to a hold call.
	paceTimeout = 300 * time.Millisecond
	// traitsPruneThreshold is the number of known tasks from which ended ones are removed.
	traitsPruneThreshold = 256
)

// hasServingAndBestEffort reports whether both serving and best-effort tasks run on the executor.
func (n *Node) hasServingAndBestEffort() bool {
	if n.lists == nil {
		return false
	}
	serving, bestEffort := false, false
	for i := range n.lists.Running {
		traits := n.traits[n.lists.Running[i].Task]
		serving = serving || traits.TargetMillis > 0
		bestEffort = bestEffort || traits.BestEffort
	}
	return serving && bestEffort
}

// paceChange is a pace, in percent, to set for a run.
type paceChange struct {
	run     workflow.RunState
	percent int
}

// adjustPaces sets the paces of the best-effort tasks according to the latencies of the serving tasks. It takes paceTimeout at
// most, since the next renewal of the lease waits for it.
func (n *Node) adjustPaces(ctx context.Context) {
	incarnation, fence, changes := n.nextPaceChanges(time.Now())
	ctx, cancel := context.WithTimeout(ctx, paceTimeout)
	defer cancel()
	slots := make(chan struct{}, maxParallelOrders)
	var calls sync.WaitGroup
	for _, c := range changes {
		slots <- struct{}{}
		calls.Go(func() {
			n.setPace(ctx, incarnation, fence, c)
			<-slots
		})
	}
	calls.Wait()
}

// setPace sets the pace of a run. It is set again later if the call fails.
func (n *Node) setPace(ctx context.Context, incarnation string, fence int64, c paceChange) {
	if err := n.executor.SetPace(ctx, incarnation, c.run.Task, c.run.Run, c.percent, fence); err != nil {
		n.log.Debug("pace not set", "task", c.run.Task, "run", c.run.Run, "percent", c.percent, "error", err)
		return
	}
	n.mu.Lock()
	if n.current != nil && n.current.IncarnationID() == incarnation {
		n.paces[c.run.Task] = c.percent
	}
	n.mu.Unlock()
	n.log.Info("pace set", "task", c.run.Task, "run", c.run.Run, "percent", c.percent, "executor", incarnation)
}

// nextPaceChanges returns the paces to set, with the incarnation and the fencing token of the calls that set them.
func (n *Node) nextPaceChanges(now time.Time) (incarnation string, fence int64, changes []paceChange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil || n.lists == nil || n.current.Unpaced {
		return "", 0, nil
	}
	latency := 0.0
	var bestEffort []workflow.RunState
	for _, run := range n.lists.Running {
		traits := n.traits[run.Task]
		if traits.TargetMillis > 0 {
			ratio := run.Usage / float64(traits.TargetMillis)
			latency = max(latency, ratio, 0.01)
			if ratio >= sharing.NearTargetRatio {
				n.nearTarget[traits.Image] = true
			}
		}
		if traits.BestEffort {
			bestEffort = append(bestEffort, run)
		}
	}
	if len(bestEffort) == 0 {
		latency = 0
	}
	level := n.pacer.Observe(latency, now)
	if level == sharing.FullPace && latency < sharing.NearTargetRatio {
		clear(n.nearTarget)
	}
	for i, percent := range n.pacer.Paces(n.disturbances(bestEffort), now) {
		run := bestEffort[i]
		// An unknown pace may have been set by a former process, or by a call for a former incarnation.
		if current, known := n.paces[run.Task]; !known || current != percent {
			changes = append(changes, paceChange{run, percent})
		}
	}
	return n.current.IncarnationID(), n.fence(n.epoch), changes
}

// disturbances returns how much each best-effort run takes from the serving images in nearTarget.
func (n *Node) disturbances(runs []workflow.RunState) []sharing.Disturbance {
	found := make([]sharing.Disturbance, len(runs))
	for i := range runs {
		traits := n.traits[runs[i].Task]
		found[i] = sharing.Disturbance{Loss: n.maxLoss(traits.Image), MilliCores: traits.MilliCores}
	}
	return found
}

// maxLoss returns the largest loss of headroom that an image causes to a serving image in nearTarget.
func (n *Node) maxLoss(image string) float64 {
	largest := 0.0
	for serving := range n.nearTarget {
		loss, known := n.losses[serving][image]
		if !known {
			loss = workflow.DefaultHeadroomLoss
		}
		largest = max(largest, loss)
	}
	return largest
}

// pruneTraits removes the traits and paces of ended tasks once there are traitsPruneThreshold tasks. Below that number it keeps
// everything, because a task that was just started may not be listed as running yet.
func (n *Node) pruneTraits(lists *RunLists) {
	if len(n.traits) < traitsPruneThreshold {
		return
	}
	listed := make(map[string]bool, len(lists.Running))
	for i := range lists.Running {
		listed[lists.Running[i].Task] = true
	}
	for _, end := range lists.Ended {
		if !listed[end.Task] {
			delete(n.traits, end.Task)
			delete(n.paces, end.Task)
		}
	}
}
