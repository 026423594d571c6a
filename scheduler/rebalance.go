package scheduler

import (
	"maps"
	"slices"

	"github.com/quetzalshed/quetzalshed/structs"
)

// rebalanceWindowRamps is how many times the return ramp, after its end, services move back to a returned failure domain.
// Afterwards plans don't look for services to move, which costs a scan of all running tasks.
const rebalanceWindowRamps = 20

// minReplicaGap is the least difference in replicas between two failure domains that a move reduces. With a gap of one, a
// move would only swap the two, and the next one back.
const minReplicaGap = 2

// servicePlacement is where the replicas of a service are.
type servicePlacement struct {
	state        *jobState
	domainCounts map[string]int
	replicas     []placedReplica
}

type placedReplica struct {
	task   *RunningTask
	domain string
}

// rebalance moves one service replica back to a failure domain that returned, in the way of an evacuation: the
// replacement is ready before the old replica stops. Without it, services that left a domain would stay away, and the
// loss of the next domain would hit most of their replicas. One move at a time, and none during an evacuation.
func (c *Cycle) rebalance() {
	targets := c.returnedDomains()
	if len(targets) == 0 || c.replacing || len(c.plan.Place) >= c.Rules.MaxPlacements {
		return
	}
	placements := c.servicePlacements()
	for _, id := range slices.Sorted(maps.Keys(placements)) {
		for _, target := range targets {
			if c.moveReplicaTo(placements[id], target) {
				return
			}
		}
	}
}

// returnedDomains returns the domains whose ramp ended a short while ago, in order; none while any worker leaves.
func (c *Cycle) returnedDomains() []string {
	var domains []string
	for domain, returned := range c.Rules.Returned {
		age := c.Now.Sub(returned)
		if age >= c.Rules.ReturnRamp && age < c.Rules.ReturnRamp*(rebalanceWindowRamps+1) {
			domains = append(domains, domain)
		}
	}
	if len(domains) == 0 || slices.ContainsFunc(c.workers, func(w WorkerView) bool { return w.cycle.evacuating }) {
		return nil
	}
	slices.Sort(domains)
	return domains
}

func (c *Cycle) servicePlacements() map[string]*servicePlacement {
	placements := map[string]*servicePlacement{}
	for i := range c.workers {
		w := &c.workers[i]
		for k := range w.Running {
			t := &w.Running[k]
			if t.Job.Kind != structs.KindService || c.isEvicting(t) {
				continue
			}
			s := placements[t.Job.ID]
			if s == nil {
				s = &servicePlacement{state: c.stateOf(t.Job), domainCounts: map[string]int{}}
				placements[t.Job.ID] = s
			}
			s.domainCounts[w.FailureDomain]++
			s.replicas = append(s.replicas, placedReplica{t, w.FailureDomain})
		}
	}
	return placements
}

// moveReplicaTo places a replacement in the target domain for a replica of the domain that has most, if that evens them out.
func (c *Cycle) moveReplicaTo(s *servicePlacement, target string) bool {
	var from *placedReplica
	for i := range s.replicas {
		if r := &s.replicas[i]; from == nil || s.domainCounts[r.domain] > s.domainCounts[from.domain] {
			from = r
		}
	}
	if s.domainCounts[from.domain]-s.domainCounts[target] < minReplicaGap {
		return false
	}
	task := &PendingTask{
		Job: from.task.Job, Index: from.task.Index, Attempt: from.task.Attempt, Resources: from.task.Resources,
		Replaces: from.task.AllocationID, state: s.state,
	}
	found, top := -1, rejectedRating
	for i := range c.workers {
		if w := &c.workers[i]; w.FailureDomain == target {
			if rating, _ := c.rate(task, w); rating > top {
				found, top = i, rating
			}
		}
	}
	return found >= 0 && c.place(task, found)
}
