package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// maxReportMisplaced limits the misplaced runs that are described for one report; further ones are only counted.
	maxReportMisplaced = 8
	// maxListedTasks limits the tasks of a step that the description of a misplaced run names.
	maxListedTasks = 8
	// maxFormerPools limits the former pools of queues that are kept.
	maxFormerPools = 256
)

// MisplacedKind tells why a run that an executor lists may not run there.
type MisplacedKind string

// Kinds of misplaced runs.
const (
	// MisplacedLimit means that the executor runs more tasks of the step than the step's limit.
	MisplacedLimit MisplacedKind = "limit"
	// MisplacedLabel means that the executor lacks the label that the step asks for.
	MisplacedLabel MisplacedKind = "label"
	// MisplacedPool means that no configuration known to this owner sends the queue to the executor's pool.
	MisplacedPool MisplacedKind = "pool"
	// MisplacedCapacity means that the runs reserve more than the capacity of the executor.
	MisplacedCapacity MisplacedKind = "capacity"
)

// MisplacedRun is a run that an executor lists as running and that may not run there. If several runs together exceed a limit, the ones
// that this owner started last are misplaced.
type MisplacedRun struct {
	Kind           MisplacedKind
	Task           string
	Run            int
	Executor, Node string
	// ListAge is the time since the executor listed the run, SinceStart the time since this owner ordered its start; UnknownAge if it
	// did not.
	ListAge, SinceStart time.Duration
	// Counted is set if the owner counts the run on the executor. Superseded is set if another run has finished its task.
	Counted, Superseded bool
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion int64
	// Limit is the limit of the step, Listed the number of its runs that the executor lists, ListedTasks names the tasks of the first
	// ones in the order in which they were started; for MisplacedLimit.
	Limit, Listed int
	ListedTasks   []string
	// Label is the label that the step asks for, ExecutorLabels those of the executor; for MisplacedLabel.
	Label          string
	ExecutorLabels []string
	// Queue is the job's queue, JobPool its pool when the job was accepted, Pool the one by the configuration in force, empty if that
	// lacks the queue, and ExecutorPool that of the executor; for MisplacedPool.
	Queue, JobPool, Pool, ExecutorPool string
	// Reserved is what the listed runs reserve, Capacity that of the executor; for MisplacedCapacity.
	Reserved, Capacity structs.Resources
}

// misplacedRuns collects misplaced runs until the owner takes them.
type misplacedRuns struct {
	described []MisplacedRun
	counts    map[MisplacedKind]int
}

// misplacedKey identifies a misplaced run on an executor.
type misplacedKey struct {
	task string
	run  int
	kind MisplacedKind
}

// queuePool is the name of a queue and of a pool that it was sent to.
type queuePool struct{ queue, pool string }

// listedRun is a run of a known task that an executor lists as running.
type listedRun struct {
	task *task
	run  int
}

// groupCount is the number of listed runs of a group.
type groupCount struct {
	group *group
	runs  int
}

// TakeMisplaced returns the misplaced runs found since the last call, and their number by kind, which includes those that are not
// described.
func (e *Engine) TakeMisplaced() ([]MisplacedRun, map[MisplacedKind]int) {
	taken := e.misplaced
	e.misplaced = misplacedRuns{}
	return taken.described, taken.counts
}

// placementCheck looks for misplaced runs in the lists of one report.
type placementCheck struct {
	engine    *Engine
	node      *node
	listed    []listedRun
	now       time.Time
	described int
}

// checkPlacement looks for runs that may not run on the executor that lists them. Each is described once while it is listed.
func (e *Engine) checkPlacement(n *node, listed []listedRun, now time.Time) {
	p := &placementCheck{engine: e, node: n, listed: listed, now: now}
	p.forgetUnlisted()
	var reserved structs.Resources
	counts := e.groupCounts[:0]
	overLimit := false
	for i := range listed {
		t := listed[i].task
		reserved = reserved.Add(t.step.Reserved())
		p.checkRun(&listed[i])
		if t.step.PerExecutor > 0 {
			counts = countRun(counts, t.group)
			overLimit = overLimit || counts[len(counts)-1].runs > t.step.PerExecutor
		}
	}
	e.groupCounts = counts
	if overLimit {
		p.checkLimits(counts)
	}
	if !reserved.Fits(n.executor.Capacity) {
		p.checkCapacity(reserved)
	}
}

// forgetUnlisted forgets the misplaced runs that the executor no longer lists.
func (p *placementCheck) forgetUnlisted() {
	for key := range p.node.misplaced {
		if !slices.ContainsFunc(p.listed, func(l listedRun) bool { return l.task.name == key.task && l.run == key.run }) {
			delete(p.node.misplaced, key)
		}
	}
}

// checkRun checks the label and the pool of a run.
func (p *placementCheck) checkRun(l *listedRun) {
	executor := &p.node.executor
	if label := l.task.step.Label; label != "" && !executor.HasLabel(label) {
		p.add(l, &MisplacedRun{Kind: MisplacedLabel, Label: label, ExecutorLabels: executor.Labels})
	}
	if j := l.task.job; !p.engine.mayUsePool(j, executor.Pool) {
		p.add(l, &MisplacedRun{
			Kind: MisplacedPool, Queue: j.Queue.Name, JobPool: j.Queue.Pool, Pool: p.engine.configuredPool(j.Queue.Name), ExecutorPool: executor.Pool,
		})
	}
}

// checkLimits finds the runs beyond the limits of their steps.
func (p *placementCheck) checkLimits(counts []groupCount) {
	for _, c := range counts {
		limit := c.group.tasks[0].step.PerExecutor
		if c.runs <= limit {
			continue
		}
		runs := slices.DeleteFunc(p.inOrderOfStart(), func(l listedRun) bool { return l.task.group != c.group })
		var names []string
		for i := range runs[:min(len(runs), maxListedTasks)] {
			names = append(names, runs[i].task.name)
		}
		for i := limit; i < len(runs); i++ {
			p.add(&runs[i], &MisplacedRun{Kind: MisplacedLimit, Limit: limit, Listed: c.runs, ListedTasks: names})
		}
	}
}

// checkCapacity finds the runs for which the ones before them leave no room.
func (p *placementCheck) checkCapacity(reserved structs.Resources) {
	var sum structs.Resources
	runs := p.inOrderOfStart()
	for i := range runs {
		next := sum.Add(runs[i].task.step.Reserved())
		if next.Fits(p.node.executor.Capacity) {
			sum = next
			continue
		}
		p.add(&runs[i], &MisplacedRun{Kind: MisplacedCapacity, Reserved: reserved, Capacity: p.node.executor.Capacity})
	}
}

// inOrderOfStart returns the listed runs in the order in which this owner has started them; those of others come first.
func (p *placementCheck) inOrderOfStart() []listedRun {
	return slices.SortedFunc(slices.Values(p.listed), func(a, b listedRun) int {
		return cmp.Or(p.startOf(a).Compare(p.startOf(b)), cmp.Compare(a.task.name, b.task.name), cmp.Compare(a.run, b.run))
	})
}

// startOf returns when this owner ordered the start of a run; zero if it did not, or counts it no longer.
func (p *placementCheck) startOf(l listedRun) time.Time {
	if !p.counts(l) || l.task.restored {
		return time.Time{}
	}
	return l.task.startedAt
}

// counts reports whether the owner counts a listed run on the executor.
func (p *placementCheck) counts(l listedRun) bool {
	return l.task.isRun(p.node.executorIncarnation, l.run)
}

// add counts and describes a misplaced run unless that was done before.
func (p *placementCheck) add(l *listedRun, m *MisplacedRun) {
	key := misplacedKey{l.task.name, l.run, m.Kind}
	if _, known := p.node.misplaced[key]; known {
		return
	}
	if p.node.misplaced == nil {
		p.node.misplaced = map[misplacedKey]struct{}{}
	}
	p.node.misplaced[key] = struct{}{}
	found := &p.engine.misplaced
	if found.counts == nil {
		found.counts = map[MisplacedKind]int{}
	}
	found.counts[m.Kind]++
	if p.described == maxReportMisplaced {
		return
	}
	p.described++
	m.Task, m.Run, m.Executor, m.Node = l.task.name, l.run, p.node.executorIncarnation, p.node.name
	m.ListAge, m.SinceStart, m.ConfigVersion = max(p.now.Sub(p.node.listedAt), 0), UnknownAge, p.engine.config.Version
	if startedAt := p.startOf(*l); !startedAt.IsZero() {
		m.SinceStart = max(p.now.Sub(startedAt), 0)
	}
	m.Counted = p.counts(*l)
	m.Superseded = m.Counted && l.task.phase == workflow.TaskDone
	found.described = append(found.described, *m)
}

// countRun adds a run to the counts of the groups. The count of its group comes last then.
func countRun(counts []groupCount, g *group) []groupCount {
	last := len(counts) - 1
	for i := range counts {
		if counts[i].group == g {
			counts[i].runs++
			counts[i], counts[last] = counts[last], counts[i]
			return counts
		}
	}
	return append(counts, groupCount{g, 1})
}

// mayUsePool reports whether a configuration known to this owner sends a job's queue to a pool. Before the first configuration, any
// pool may be right.
func (e *Engine) mayUsePool(j *job, pool string) bool {
	return pool == j.Queue.Pool || e.config.Version == 0 || pool == e.configuredPool(j.Queue.Name) ||
		slices.Contains(e.formerPools, queuePool{j.Queue.Name, pool})
}

// configuredPool returns the pool of a queue by the configuration in force; empty if that lacks the queue.
func (e *Engine) configuredPool(queue string) string {
	if q := e.config.Queue(queue); q != nil {
		return q.Pool
	}
	return ""
}

// keepFormerPools keeps the pools that queues lose with another configuration, since runs that were started there continue.
func (e *Engine) keepFormerPools(next *workflow.Config) {
	for i := range e.config.Queues {
		q := &e.config.Queues[i]
		former := queuePool{q.Name, q.Pool}
		if now := next.Queue(q.Name); now != nil && now.Pool == q.Pool || slices.Contains(e.formerPools, former) {
			continue
		}
		e.formerPools = append(e.formerPools, former)
	}
	e.formerPools = e.formerPools[max(len(e.formerPools)-maxFormerPools, 0):]
}
