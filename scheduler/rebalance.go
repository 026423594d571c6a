package scheduler

import (
	"maps"
	"slices"

	"github.com/quetzalshed/quetzalshed/structs"
)

// rebalanceWindowRamps is how long after the end of the return ramp services move back to a returned failure domain,
// in multiples of the ramp. Later plans skip the search for services to move, which scans all running tasks.
const rebalanceWindowRamps = 20

// minReplicaGap is the smallest difference in replicas between two failure domains that justifies a move. A move
// across a difference of one would only swap the two counts, and the next move would swap them back.
const minReplicaGap = 2

// servicePlacement holds the replicas of a service and their failure domains.
type servicePlacement struct {
	state        *jobState
	domainCounts map[string]int
	replicas     []placedReplica
}

type placedReplica struct {
	task   *RunningTask
	domain string
}

// rebalance moves one service replica back to a returned failure domain. As in an evacuation, the replacement is ready
// before the old replica stops. Without this, services that left a domain would never use it again, and the loss of
// the next domain would hit most of their replicas. Only one replica moves at a time, and none during an evacuation.
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

// returnedDomains returns the failure domains whose return ramp ended recently, sorted by name, or none while any
// worker is evacuated.
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

// moveReplicaTo places a replacement in the target domain for a replica in the domain with the most replicas, if the
// move reduces the imbalance.
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
