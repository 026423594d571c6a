package scheduler

import (
	"cmp"
	"slices"
	"strings"

	"github.com/quetzalshed/quetzalshed/scheduler/quota"
	"github.com/quetzalshed/quetzalshed/structs"
)

// priorityLevel holds pending tasks of equal rank, in one queue for each team.
type priorityLevel struct {
	queues []teamQueue
	// mayPreempt is set if the tasks may evict batch tasks.
	mayPreempt bool
}

type teamQueue struct {
	account *quota.Account
	tasks   []*PendingTask
}

// popNext removes and returns the first task of the team with the smallest dominant share, or nil if the level is
// empty.
func (l *priorityLevel) popNext() *PendingTask {
	found, share := -1, 0.0
	for i := range l.queues {
		if len(l.queues[i].tasks) == 0 {
			continue
		}
		if s := l.queues[i].account.DominantShare(); found < 0 || s < share {
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

// pendingLevels returns the levels to place before the evacuation of batch tasks and those to place after it.
func (c *Cycle) pendingLevels() (first, rest []priorityLevel) {
	tasks := c.pendingReplacements()
	for i := range c.snapshot.Pending {
		task := c.snapshot.Pending[i]
		task.state = c.stateOf(task.Job)
		c.checkSchedulable(task.state)
		if task.state.unschedulable || task.NotBefore.After(c.Now) {
			continue
		}
		task.Resources = c.reservation(&task)
		tasks = append(tasks, &task)
	}
	slices.SortStableFunc(tasks, c.compareTasks)
	for start := 0; start < len(tasks); {
		end := start + 1
		for end < len(tasks) && c.compareRank(tasks[start], tasks[end]) == 0 {
			end++
		}
		if tasks[start].Replaces != "" || tasks[start].Job.Urgent {
			first = append(first, newPriorityLevel(tasks[start:end]))
		} else {
			rest = append(rest, newPriorityLevel(tasks[start:end]))
		}
		start = end
	}
	return first, rest
}

// newPriorityLevel groups the tasks by team and keeps their order within each team.
func newPriorityLevel(tasks []*PendingTask) priorityLevel {
	l := priorityLevel{mayPreempt: tasks[0].MayPreempt()}
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

// compareRank orders tasks by the criteria that take precedence over fair sharing: replacements, urgent work,
// priority, and services by importance.
func (c *Cycle) compareRank(a, b *PendingTask) int {
	if order := trueFirst(a.Replaces != "", b.Replaces != ""); order != 0 {
		return order
	}
	if order := trueFirst(a.Job.Urgent, b.Job.Urgent); order != 0 {
		return order
	}
	if order := cmp.Compare(b.Job.Priority, a.Job.Priority); order != 0 {
		return order
	}
	aService, bService := a.Job.Kind == structs.KindService, b.Job.Kind == structs.KindService
	if order := trueFirst(aService, bService); order != 0 || !aService {
		return order
	}
	return cmp.Compare(c.Rules.serviceRank(a.Job.Name), c.Rules.serviceRank(b.Job.Name))
}

// compareTasks is a total order: by rank, then by work done in descending order, then by age of the job, oldest first.
func (c *Cycle) compareTasks(a, b *PendingTask) int {
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

func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
