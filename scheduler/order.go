package scheduler

import (
	"cmp"
	"slices"
	"strings"

	"github.com/quetzalshed/quetzalshed/scheduler/quota"
	"github.com/quetzalshed/quetzalshed/structs"
)

// level holds tasks of the same rank, in one queue for each team.
type level struct {
	queues []teamQueue
	// preempts is set if the tasks may evict batch.
	preempts bool
}

type teamQueue struct {
	account *quota.Account
	tasks   []*PendingTask
}

// next removes and returns the first task of the team with the smallest share, or nil when the level is empty.
func (l *level) next() *PendingTask {
	found, share := -1, 0.0
	for i := range l.queues {
		if len(l.queues[i].tasks) == 0 {
			continue
		}
		if s := l.queues[i].account.Share(); found < 0 || s < share {
			found, share = i, s
		}
	}
	if found < 0 {
		return nil
	}
	q := &l.queues[found]
	task := q.tasks[0]
	q.tasks = q.tasks[1:]
	return task
}

// queues returns the levels that come before the evacuation of batch and those that come after it.
func (c *Cycle) queues() (first, rest []level) {
	tasks := c.pendingReplacements()
	for i := range c.snapshot.Pending {
		task := c.snapshot.Pending[i]
		task.state = c.job(task.Job)
		c.check(task.state)
		if task.state.never || task.NotBefore.After(c.Now) {
			continue
		}
		task.Resources = c.reservation(&task)
		tasks = append(tasks, &task)
	}
	slices.SortStableFunc(tasks, c.compare)
	for start := 0; start < len(tasks); {
		end := start + 1
		for end < len(tasks) && c.compareRank(tasks[start], tasks[end]) == 0 {
			end++
		}
		if tasks[start].Replaces != "" || tasks[start].Job.Urgent {
			first = append(first, newLevel(tasks[start:end]))
		} else {
			rest = append(rest, newLevel(tasks[start:end]))
		}
		start = end
	}
	return first, rest
}

// newLevel groups the tasks by team and keeps their order within each team.
func newLevel(tasks []*PendingTask) level {
	l := level{preempts: tasks[0].Preempts()}
	positions := map[*quota.Account]int{}
	for _, task := range tasks {
		account := task.state.account
		position, ok := positions[account]
		if !ok {
			position = len(l.queues)
			positions[account] = position
			l.queues = append(l.queues, teamQueue{account: account})
		}
		l.queues[position].tasks = append(l.queues[position].tasks, task)
	}
	return l
}

// compareRank orders tasks by what fair share doesn't override: replacements, urgent, priority, services by importance.
func (c *Cycle) compareRank(a, b *PendingTask) int {
	if order := falseLast(a.Replaces != "", b.Replaces != ""); order != 0 {
		return order
	}
	if order := falseLast(a.Job.Urgent, b.Job.Urgent); order != 0 {
		return order
	}
	if order := cmp.Compare(b.Job.Priority, a.Job.Priority); order != 0 {
		return order
	}
	aService, bService := a.Job.Kind == structs.KindService, b.Job.Kind == structs.KindService
	if order := falseLast(aService, bService); order != 0 || !aService {
		return order
	}
	return cmp.Compare(c.Rules.serviceRank(a.Job.Name), c.Rules.serviceRank(b.Job.Name))
}

// compare is a total order: by rank, then the most work done first, then the oldest job.
func (c *Cycle) compare(a, b *PendingTask) int {
	if order := c.compareRank(a, b); order != 0 {
		return order
	}
	if order := cmp.Compare(b.WorkDone, a.WorkDone); order != 0 {
		return order
	}
	if a.Job.ID != b.Job.ID {
		if order := a.Job.Accepted.Compare(b.Job.Accepted); order != 0 {
			return order
		}
		return strings.Compare(a.Job.ID, b.Job.ID)
	}
	return cmp.Or(cmp.Compare(a.Index, b.Index), strings.Compare(a.Replaces, b.Replaces), cmp.Compare(b.Attempt, a.Attempt))
}

func falseLast(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
