package runner

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/store/storetest"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/rapidtest"
	"github.com/quetzalshed/quetzalshed/worker/workertest"
)

// TestMain limits the checks of rapid: with the race detector each takes about a quarter of a second.
func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "20261204", "checks": "40", "nofailfile": "true"})
}

// model is the rapid state machine of a cluster under faults.
type model struct {
	c      *cluster
	oracle *oracle
	jobs   []string
	// cancelled holds the jobs whose cancellation was attempted and may have taken effect.
	cancelled map[string]bool
	services  []string
}

func (m *model) randomNode(t *rapid.T) *node {
	return m.c.nodes[rapid.IntRange(0, len(m.c.nodes)-1).Draw(t, "node")]
}

func (m *model) randomPause(t *rapid.T) time.Duration {
	return rapid.SampledFrom([]time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 9 * time.Second, 45 * time.Second}).Draw(t, "pause")
}

// randomTarget returns the owner half of the time, since most faults are relevant there, and else a random node.
func (m *model) randomTarget(t *rapid.T) *node {
	if owner := m.c.owner(); owner != nil && rapid.Bool().Draw(t, "owner") {
		return owner
	}
	return m.randomNode(t)
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
		m.oracle.outSince[domain] = m.c.clock.Now()
	} else {
		delete(m.oracle.outSince, domain)
	}
}

// actions returns the operations and faults. Submissions and repairs appear more than once, so that faults usually hit
// running tasks.
func (m *model) actions() map[string]func(*rapid.T) {
	repair := func(t *rapid.T) {
		m.c.store.SetFaults(storetest.Faults{})
		for _, n := range m.c.nodes {
			if rapid.IntRange(0, 2).Draw(t, "leave") == 0 {
				continue
			}
			n.storeDisconnected, n.peersDisconnected = false, false
			m.setOut(n.domain, false)
			if n.agentDown {
				n.startAgent()
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
			if n := m.randomTarget(t); n.agentUp() {
				_ = n.owner.Resign(context.Background())
			}
		},
		"drain": func(t *rapid.T) {
			if n := m.randomTarget(t); n.agentUp() {
				n.runner.Drain()
			}
		},
		"kill agent": func(t *rapid.T) { m.randomTarget(t).killAgent() },
		"boot agent": func(t *rapid.T) {
			if n := m.randomNode(t); n.agentDown || rapid.Bool().Draw(t, "restart") {
				n.startAgent()
			}
		},
		"lose host": func(t *rapid.T) {
			n := m.randomNode(t)
			n.killAgent()
			n.worker.Reset()
			n.hostLost = true
			m.oracle.markUnreachable(n)
		},
		"pause": func(t *rapid.T) { m.randomTarget(t).pausedUntil = m.c.clock.Now().Add(m.randomPause(t)) },
		"pause at call": func(t *rapid.T) {
			n := m.randomTarget(t)
			n.pauseAtCall, n.pauseAfterEffect = m.randomPause(t), rapid.Bool().Draw(t, "after")
		},
		"cut store": func(t *rapid.T) { n := m.randomTarget(t); n.storeDisconnected = !n.storeDisconnected },
		"cut peers": func(t *rapid.T) { n := m.randomTarget(t); n.peersDisconnected = !n.peersDisconnected },
		"isolate":   func(t *rapid.T) { n := m.randomTarget(t); n.storeDisconnected, n.peersDisconnected = true, true },
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
			m.randomNode(t).worker.SetFaults(workertest.Faults{LoseResponses: rapid.IntRange(1, 2).Draw(t, "lose")})
		},
		"domain": func(t *rapid.T) { m.setOut(m.randomNode(t).domain, rapid.Bool().Draw(t, "out")) },
		"deliver again": func(t *rapid.T) {
			if owner := m.c.owner(); owner != nil && len(m.c.sentHeartbeats) > 0 {
				_, _ = owner.owner.Heartbeat(m.c.sentHeartbeats[max(0, len(m.c.sentHeartbeats)-1-rapid.IntRange(0, 30).Draw(t, "back"))])
			}
			if len(m.c.sentStartRequests) > 0 {
				p := m.c.sentStartRequests[max(0, len(m.c.sentStartRequests)-1-rapid.IntRange(0, 5).Draw(t, "back"))]
				_ = p.to.runner.HandleStartRequest(p.request)
			}
		},
	}
}

// endFaultsAndFinish ends all faults and checks that every job ends, with all tasks finished unless the job was
// cancelled.
func (m *model) endFaultsAndFinish(t *rapid.T) {
	m.c.store.SetFaults(storetest.Faults{})
	m.c.store.ReleaseHeld()
	for _, n := range m.c.nodes {
		n.storeDisconnected, n.peersDisconnected, n.pauseAtCall = false, false, 0
		n.worker.SetFaults(workertest.Faults{})
		m.setOut(n.domain, false)
		// A draining agent accepts no tasks until it is restarted.
		n.startAgent()
	}
	// Services never end by themselves, so they are cancelled. A cancellation whose result is unknown is repeated.
	for _, id := range m.services {
		m.cancelled[id] = true
		m.c.run(5*time.Minute, func() bool {
			_, err := m.c.Cancel(context.Background(), 0, id)
			return err == nil || !slices.Contains(m.jobs, id)
		})
	}
	all := func() bool {
		for _, id := range m.jobs {
			if !m.c.jobDone(id) {
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

// Guards against sequences of faults in which a task runs on two workers at once, resumes twice or from an old
// checkpoint, runs again after its result is in the log, overcommits a worker, starts in a failure domain that is out
// of service, or is lost.
func TestClusterUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{c: newCluster(4), cancelled: map[string]bool{}}
		m.c.recordsPerSnapshot = 4
		m.oracle = newOracle(m.c, t.Fatalf)
		m.c.run(5*time.Second, func() bool { return false })
		m.submit(t)
		m.submit(t)
		m.c.run(8*time.Second, func() bool { return false })
		t.Repeat(m.actions())
		m.endFaultsAndFinish(t)
	})
}
