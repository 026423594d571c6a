package scheduler

import (
	"maps"
	"slices"

	"github.com/quetzalshed/quetzalshed/structs"
)

// rebalanceWindow is how many times the return ramp, after its end, services move back to a returned failure domain.
// Afterwards plans don't look for services to move, which costs a scan of all running tasks.
const rebalanceWindow = 20

// spreadGap is the least difference in replicas between two failure domains that a move reduces. With a gap of one, a
// move would only swap the two, and the next one back.
const spreadGap = 2

// serviceSpread is where the replicas of a service are.
type serviceSpread struct {
	state    *jobState
	domains  map[string]int
	replicas []placedReplica
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
	if len(targets) == 0 || c.settling || len(c.plan.Place) >= c.Rules.MaxPlacements {
		return
	}
	spreads := c.serviceSpreads()
	for _, id := range slices.Sorted(maps.Keys(spreads)) {
		for _, target := range targets {
			if c.moveTo(spreads[id], target) {
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
		if age >= c.Rules.ReturnRamp && age < c.Rules.ReturnRamp*(rebalanceWindow+1) {
			domains = append(domains, domain)
		}
	}
	if len(domains) == 0 || slices.ContainsFunc(c.workers, func(w WorkerView) bool { return w.cycle.leaving }) {
		return nil
	}
	slices.Sort(domains)
	return domains
}

func (c *Cycle) serviceSpreads() map[string]*serviceSpread {
	spreads := map[string]*serviceSpread{}
	for i := range c.workers {
		w := &c.workers[i]
		for k := range w.Running {
			t := &w.Running[k]
			if t.Job.Kind != structs.KindService || c.leavingSoon(t) {
				continue
			}
			s := spreads[t.Job.ID]
			if s == nil {
				s = &serviceSpread{state: c.job(t.Job), domains: map[string]int{}}
				spreads[t.Job.ID] = s
			}
			s.domains[w.FailureDomain]++
			s.replicas = append(s.replicas, placedReplica{t, w.FailureDomain})
		}
	}
	return spreads
}

// moveTo places a replacement in the target domain for a replica of the domain that has most, if that evens them out.
func (c *Cycle) moveTo(s *serviceSpread, target string) bool {
	var from *placedReplica
	for i := range s.replicas {
		if r := &s.replicas[i]; from == nil || s.domains[r.domain] > s.domains[from.domain] {
			from = r
		}
	}
	if s.domains[from.domain]-s.domains[target] < spreadGap {
		return false
	}
	task := &PendingTask{
		Job: from.task.Job, Index: from.task.Index, Attempt: from.task.Attempt, Resources: from.task.Resources,
		Replaces: from.task.AllocationID, state: s.state,
	}
	found, top := -1, rejected
	for i := range c.workers {
		if w := &c.workers[i]; w.FailureDomain == target {
			if rating, _ := c.rate(task, w); rating > top {
				found, top = i, rating
			}
		}
	}
	return found >= 0 && c.place(task, found)
}
