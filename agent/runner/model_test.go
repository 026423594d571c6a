package runner

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/platform/store"
	"github.com/quetzalshed/quetzalshed/platform/store/storetest"
	"github.com/quetzalshed/quetzalshed/platform/worker/workertest"
	"github.com/quetzalshed/quetzalshed/shard"
	"github.com/quetzalshed/quetzalshed/shard/lifecycle"
	"github.com/quetzalshed/quetzalshed/structs"
)

// defaultChecks is the number of runs unless one is given: with the race detector each takes about a quarter of a second.
const defaultChecks = "40"

// TestMain fixes the seed and the number of runs of state machines unless they are given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	if f := flag.Lookup("rapid.checks"); f != nil && f.Value.String() == f.DefValue {
		_ = f.Value.Set(defaultChecks)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// oracle follows the log in the store and the starts on workers, and knows nothing else of the implementation.
type oracle struct {
	c *cluster
	// fail reports a violation.
	fail    func(format string, args ...any)
	next    int64
	tasks   map[structs.TaskID]*oracleTask
	seen    map[*node]int
	outFrom map[string]time.Time
	kinds   map[string]structs.JobKind
}

type oracleTask struct {
	finished   bool
	checkpoint string
	attempt    int
	// worker and from are those of the newest start record.
	worker, from string
	// started counts the starts on workers by attempt.
	started map[int]int
}

func newOracle(c *cluster, fail func(string, ...any)) *oracle {
	o := &oracle{
		c: c, fail: fail, next: 1, tasks: map[structs.TaskID]*oracleTask{}, seen: map[*node]int{},
		outFrom: map[string]time.Time{}, kinds: map[string]structs.JobKind{},
	}
	c.check, c.keepTruncated = o.check, true
	return o
}

func (o *oracle) task(id structs.TaskID) *oracleTask {
	if o.tasks[id] == nil {
		o.tasks[id] = &oracleTask{started: map[int]int{}}
	}
	return o.tasks[id]
}

// check compares the workers with the log after each tick.
func (o *oracle) check() {
	// Starts are compared with the log as it was before this tick, and then with the newest: a start that the older log
	// forbids was ordered before the record that forbids it.
	o.readLog()
	places := map[structs.TaskID][]string{}
	for _, n := range o.c.nodes {
		for _, id := range n.worker.Running() {
			task := taskOf(id)
			places[task] = append(places[task], n.name)
		}
		if n.worker.Overcommitted() {
			o.fail("worker %s holds more than its capacity: %+v", n.name, n.worker.Reserved())
		}
		starts := n.worker.Starts()
		for _, spec := range starts[min(o.seen[n], len(starts)):] {
			o.start(n, spec.ID, spec.CheckpointID)
		}
		o.seen[n] = len(starts)
	}
	for task, names := range places {
		if len(names) > 1 {
			o.fail("task %v runs on %v", task, names)
		}
	}
}

func taskOf(allocation string) structs.TaskID {
	var id structs.TaskID
	var attempt int
	parts := strings.Split(allocation, ":")
	id.JobID = parts[0]
	_, _ = fmt.Sscan(parts[1], &id.Index)
	_, _ = fmt.Sscan(parts[2], &attempt)
	return id
}

func (o *oracle) start(n *node, allocation, checkpoint string) {
	id := taskOf(allocation)
	task := o.task(id)
	var attempt int
	_, _ = fmt.Sscan(allocation[strings.LastIndex(allocation, ":")+1:], &attempt)
	task.started[attempt]++
	switch {
	case task.started[attempt] > 1:
		o.fail("attempt %d of task %v was started %d times", attempt, id, task.started[attempt])
	case attempt > task.attempt:
		o.fail("attempt %d of task %v was started without a start record", attempt, id)
	case attempt == task.attempt && task.worker != n.name:
		o.fail("attempt %d of task %v was started on %s, the record says %s", attempt, id, n.name, task.worker)
	case attempt == task.attempt && checkpoint != task.from:
		o.fail("attempt %d of task %v started from %q, the newest checkpoint was %q", attempt, id, checkpoint, task.from)
	case task.finished:
		o.fail("finished task %v was started again", id)
	}
	if out, ok := o.outFrom[n.domain]; ok && o.c.clock.Now().Sub(out) > 3*time.Second+tick {
		o.fail("task %v started in %s, which is out since %s", id, n.domain, o.c.clock.Now().Sub(out))
	}
}

func (o *oracle) readLog() {
	faults := o.c.store.Faults()
	o.c.store.SetFaults(storetest.Faults{})
	defer o.c.store.SetFaults(faults)
	entries, err := o.c.store.List(context.Background(), "shards/0/log/")
	if err != nil {
		o.fail("reading the log: %v", err)
	}
	entries = append(o.c.truncated, entries...)
	o.c.truncated = nil
	slices.SortStableFunc(entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	for _, entry := range entries {
		var record shard.Record
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			o.fail("record %s: %v", entry.Key, err)
		}
		if record.Sequence < o.next {
			continue
		}
		if record.Sequence != o.next {
			o.fail("record %d is missing", o.next)
		}
		o.next++
		for _, event := range record.Events {
			o.apply(event)
		}
	}
}

func (o *oracle) apply(e lifecycle.Event) {
	if e.Kind == lifecycle.EventAccept {
		o.kinds[e.Job.ID] = e.Job.Kind
		return
	}
	task := o.task(e.Task())
	switch e.Kind {
	case lifecycle.EventStart:
		if task.finished {
			o.fail("a start of the finished task %v is in the log", e.Task())
		}
		if e.Attempt != task.attempt+1 {
			o.fail("attempt %d of task %v follows %d", e.Attempt, e.Task(), task.attempt)
		}
		task.attempt, task.worker, task.from = e.Attempt, e.Worker, task.checkpoint
	case lifecycle.EventFinish:
		if task.finished {
			o.fail("task %v finished twice", e.Task())
		}
		task.finished = true
	case lifecycle.EventCheckpoint, lifecycle.EventRequeue, lifecycle.EventFail:
		if e.CheckpointID != "" {
			o.progress(task, e)
		}
	}
}

// progress checks that a checkpoint in the log never replaces a newer one.
func (o *oracle) progress(task *oracleTask, e lifecycle.Event) {
	before, _ := workertest.ProgressOf(task.checkpoint)
	after, err := workertest.ProgressOf(e.CheckpointID)
	if err != nil || after < before {
		o.fail("checkpoint %q of task %v replaces %q", e.CheckpointID, e.Task(), task.checkpoint)
	}
	task.checkpoint = e.CheckpointID
}

// model is the state machine: a cluster under faults.
type model struct {
	c      *cluster
	oracle *oracle
	jobs   []string
	// cancelled holds the jobs whose cancellation was confirmed or may have taken effect.
	cancelled map[string]bool
	services  []string
}

func (m *model) node(t *rapid.T) *node {
	return m.c.nodes[rapid.IntRange(0, len(m.c.nodes)-1).Draw(t, "node")]
}

func (m *model) pause(t *rapid.T) time.Duration {
	return rapid.SampledFrom([]time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 9 * time.Second, 45 * time.Second}).Draw(t, "pause")
}

// target prefers the owner, since most faults matter there.
func (m *model) target(t *rapid.T) *node {
	if owner := m.c.owner(); owner != nil && rapid.Bool().Draw(t, "owner") {
		return owner
	}
	return m.node(t)
}

func (m *model) submit(t *rapid.T) {
	if len(m.jobs) >= 12 {
		return
	}
	id := fmt.Sprintf("j%d", len(m.jobs))
	run := rapid.SampledFrom([]string{"1s", "4s", "15s", "90s"}).Draw(t, "run")
	cores := rapid.SampledFrom([]int{500, 1500, 3000}).Draw(t, "cores")
	tasks := rapid.IntRange(1, 4).Draw(t, "tasks")
	urgent := rapid.Bool().Draw(t, "urgent")
	kind := rapid.SampledFrom([]string{"batch", "batch", "batch", "service"}).Draw(t, "kind")
	if kind == "service" {
		run = "0s"
		m.services = append(m.services, id)
	}
	text := fmt.Sprintf(`{"id":%q,"team":"t","name":%q,"kind":%q,"tasks":%d,"urgent":%t,"max_attempts":100,
		"expected_seconds":10,"resources":{"milli_cores":%d,"memory_mb":500},"command":"run=%s"}`,
		id, id, kind, tasks, urgent, cores, run)
	if _, err := m.c.jobs.Submit(context.Background(), []byte(text)); err == nil {
		m.jobs = append(m.jobs, id)
	}
}

func (m *model) setOut(domain string, out bool) {
	state := m.c.head.Domains[domain]
	if state.Out == out {
		return
	}
	head := m.c.head
	head.Domains = map[string]config.DomainState{}
	for name, s := range m.c.head.Domains {
		head.Domains[name] = s
	}
	state.Out = out
	head.Domains[domain] = state
	head.Revision++
	head.Changes = []string{fmt.Sprint("change", head.Revision)}
	m.c.head = head
	if out {
		m.oracle.outFrom[domain] = m.c.clock.Now()
	} else {
		delete(m.oracle.outFrom, domain)
	}
}

// actions returns the operations and the faults. Work and repairs appear more than once, so that most of the time
// something runs that a fault can hit.
func (m *model) actions() map[string]func(*rapid.T) {
	repair := func(t *rapid.T) {
		m.c.store.SetFaults(storetest.Faults{})
		for _, n := range m.c.nodes {
			if rapid.IntRange(0, 2).Draw(t, "leave") == 0 {
				continue
			}
			n.cutStore, n.cutPeers = false, false
			m.setOut(n.domain, false)
			if n.down {
				n.boot()
			}
		}
	}
	settle := func(t *rapid.T) {
		for range rapid.IntRange(20, 80).Draw(t, "ticks") {
			m.c.step()
		}
	}
	return map[string]func(*rapid.T){
		"submit": m.submit, "submit again": m.submit, "submit more": m.submit,
		"repair": repair, "repair again": repair, "repair more": repair,
		"settle": settle, "settle again": settle,
		"step": func(t *rapid.T) {
			for range rapid.IntRange(1, 40).Draw(t, "ticks") {
				m.c.step()
			}
		},
		"cancel": func(t *rapid.T) {
			if len(m.jobs) > 0 && rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
				id := rapid.SampledFrom(m.jobs).Draw(t, "job")
				m.cancelled[id] = true
				_, _ = m.c.Cancel(context.Background(), 0, id)
			}
		},
		"resign": func(t *rapid.T) {
			if n := m.target(t); n.up() {
				_ = n.owner.Resign(context.Background())
			}
		},
		"drain": func(t *rapid.T) {
			if n := m.target(t); n.up() {
				n.runner.Drain()
			}
		},
		"kill agent": func(t *rapid.T) { m.target(t).kill() },
		"boot agent": func(t *rapid.T) {
			if n := m.node(t); n.down || rapid.Bool().Draw(t, "restart") {
				n.boot()
			}
		},
		"lose host": func(t *rapid.T) {
			n := m.node(t)
			n.kill()
			n.worker.Reset()
		},
		"pause": func(t *rapid.T) { m.target(t).pausedUntil = m.c.clock.Now().Add(m.pause(t)) },
		"pause at call": func(t *rapid.T) {
			n := m.target(t)
			n.pauseAtCall, n.pauseAfter = m.pause(t), rapid.Bool().Draw(t, "after")
		},
		"cut store": func(t *rapid.T) { n := m.target(t); n.cutStore = !n.cutStore },
		"cut peers": func(t *rapid.T) { n := m.target(t); n.cutPeers = !n.cutPeers },
		"isolate":   func(t *rapid.T) { n := m.target(t); n.cutStore, n.cutPeers = true, true },
		"wait": func(t *rapid.T) {
			for range rapid.IntRange(100, 250).Draw(t, "ticks") {
				m.c.step()
			}
		},
		"store fault": func(t *rapid.T) {
			m.c.store.SetFaults(storetest.Faults{
				Down:          rapid.Bool().Draw(t, "down"),
				LoseResponses: rapid.IntRange(0, 2).Draw(t, "lose responses"),
				LoseRequests:  rapid.IntRange(0, 1).Draw(t, "lose requests"),
				HoldRequests:  rapid.IntRange(0, 1).Draw(t, "hold"),
			})
		},
		"store heals": func(*rapid.T) { m.c.store.SetFaults(storetest.Faults{}) },
		"held writes": func(*rapid.T) { m.c.store.ReleaseHeld() },
		"worker fault": func(t *rapid.T) {
			m.node(t).worker.SetFaults(workertest.Faults{LoseResponses: rapid.IntRange(1, 2).Draw(t, "lose")})
		},
		"domain": func(t *rapid.T) { m.setOut(m.node(t).domain, rapid.Bool().Draw(t, "out")) },
		"deliver again": func(t *rapid.T) {
			if owner := m.c.owner(); owner != nil && len(m.c.sent) > 0 {
				_, _ = owner.owner.Heartbeat(m.c.sent[max(0, len(m.c.sent)-1-rapid.IntRange(0, 30).Draw(t, "back"))])
			}
			if len(m.c.pushed) > 0 {
				p := m.c.pushed[max(0, len(m.c.pushed)-1-rapid.IntRange(0, 5).Draw(t, "back"))]
				_ = p.to.runner.Push(p.request)
			}
		},
	}
}

// heal ends all faults and expects that every job ends: each task finished, or cancelled with its job.
func (m *model) heal(t *rapid.T) {
	m.c.store.SetFaults(storetest.Faults{})
	m.c.store.ReleaseHeld()
	for _, n := range m.c.nodes {
		n.cutStore, n.cutPeers, n.pauseAtCall = false, false, 0
		n.worker.SetFaults(workertest.Faults{})
		m.setOut(n.domain, false)
		// A draining agent takes no work until it is started anew.
		n.boot()
	}
	// Services never end by themselves; a cancellation whose result is unknown is repeated.
	for _, id := range m.services {
		m.cancelled[id] = true
		m.c.run(5*time.Minute, func() bool {
			_, err := m.c.Cancel(context.Background(), 0, id)
			return err == nil || !slices.Contains(m.jobs, id)
		})
	}
	all := func() bool {
		for _, id := range m.jobs {
			if !m.c.done(id) {
				return false
			}
		}
		return true
	}
	if !m.c.run(20*time.Minute, all) {
		t.Fatalf("jobs have not ended: %s", m.describe())
	}
	for _, id := range m.jobs {
		status, _ := m.c.Status(context.Background(), 0, id)
		if !m.cancelled[id] && status.Counts[structs.TaskFinished] != status.Tasks {
			t.Fatalf("job %s lost work: %+v", id, status)
		}
	}
}

func (m *model) describe() string {
	var b strings.Builder
	for _, id := range m.jobs {
		status, err := m.c.Status(context.Background(), 0, id)
		fmt.Fprintf(&b, "%+v %v\n", status, err)
	}
	return b.String()
}

// Guards against any interleaving of faults in which a task runs in two places, resumes twice or from an old
// checkpoint, runs again after its result is in the log, overfills a worker, starts in an out domain, or is lost.
func TestClusterUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{c: newCluster(4), cancelled: map[string]bool{}}
		m.c.snapshotEvery = 4
		m.oracle = newOracle(m.c, t.Fatalf)
		m.c.run(5*time.Second, func() bool { return false })
		m.submit(t)
		m.submit(t)
		m.c.run(8*time.Second, func() bool { return false })
		t.Repeat(m.actions())
		m.heal(t)
	})
}
