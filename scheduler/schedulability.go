package scheduler

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/quetzalshed/quetzalshed/structs"
)

// reservation returns the resources that the task reserves: the sized ones, or the declared ones if there is no size
// or no worker could ever hold it.
func (c *Cycle) reservation(task *PendingTask) structs.Resources {
	if task.Resources.IsZero() || negative(task.Resources) {
		return task.Job.Resources
	}
	if task.Resources.Fits(task.Job.Resources) {
		return task.Resources
	}
	if c.snapshot.Quotas.ExceededBy(task.Job.Team, task.Resources) {
		return task.Job.Resources
	}
	for i := range c.workers {
		if c.unfitReason(task.Job, task.Resources, &c.workers[i]) == "" {
			return task.Resources
		}
	}
	return task.Job.Resources
}

// checkSchedulable adds the job to Decisions.Unschedulable if it can never run with the current inventory and rules.
// Temporary conditions don't count: other tasks, failure domains out of service, workers that have not reported,
// quarantine. Without workers, only the declared resources and the quota are checked.
func (c *Cycle) checkSchedulable(job *jobState) {
	if job.checked {
		return
	}
	job.checked = true
	reason := c.unschedulableReason(job.job)
	if reason == "" {
		return
	}
	job.unschedulable = true
	c.plan.Unschedulable = append(c.plan.Unschedulable, UnschedulableJob{JobID: job.job.ID, Reason: reason})
}

func (c *Cycle) unschedulableReason(job *structs.Job) string {
	need := job.Resources
	if invalid(need) {
		return "declared resources are negative or all zero: " + formatResources(need)
	}
	if c.snapshot.Quotas.ExceededBy(job.Team, need) {
		limit, _ := c.snapshot.Quotas.Limit(job.Team)
		return fmt.Sprintf("one task needs %s, above the quota of team %s: %s", formatResources(need), job.Team, formatResources(limit))
	}
	if len(c.workers) == 0 {
		return ""
	}
	counts := map[string]int{}
	for i := range c.workers {
		reason := c.unfitReason(job, need, &c.workers[i])
		if reason == "" {
			return ""
		}
		counts[reason]++
	}
	reasons := make([]string, 0, len(counts))
	for reason, n := range counts {
		reasons = append(reasons, fmt.Sprintf("%d %s", n, reason))
	}
	slices.Sort(reasons)
	return fmt.Sprintf("no worker can hold one task with %s: of %d workers %s", formatResources(need), len(c.workers), strings.Join(reasons, ", "))
}

// unfitReason returns why the worker could not hold the task even if it were empty, or the empty string if it could.
func (c *Cycle) unfitReason(job *structs.Job, need structs.Resources, w *WorkerView) string {
	con := &job.Constraints
	switch {
	case !need.Fits(w.Capacity):
		return "are too small"
	case len(con.FailureDomains) > 0 && !slices.Contains(con.FailureDomains, w.FailureDomain):
		return "are in other failure domains"
	case len(con.Racks) > 0 && !slices.Contains(con.Racks, w.Rack):
		return "are in other racks"
	case con.AcceleratorKind != "" && con.AcceleratorKind != w.AcceleratorKind:
		return "have other accelerators"
	case job.Kind == structs.KindBatch && c.Rules.RacksWithoutBatch[w.Rack]:
		return "are in racks without batch"
	}
	return ""
}

func formatResources(r structs.Resources) string {
	return formatAmount(r.MilliCores) + " millicores, " + formatAmount(r.MemoryMB) + " MB, " + formatAmount(r.Accelerators) + " accelerators"
}

func formatAmount(n int64) string {
	if n < 0 {
		return "unlimited"
	}
	return strconv.FormatInt(n, 10)
}
