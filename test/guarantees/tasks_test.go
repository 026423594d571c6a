package guarantees_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/store/storetest"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/audit"
)

// jobText returns the JSON of a batch job. Without domains it may run in any failure domain.
func jobText(id string, tasks, milliCores int, run string, domains ...string) string {
	constraints, _ := json.Marshal(structs.Constraints{FailureDomains: domains})
	return fmt.Sprintf(`{"id":%q,"team":"t","name":%q,"kind":"batch","tasks":%d,"max_attempts":50,"constraints":%s,
		"resources":{"milli_cores":%d,"memory_mb":500},"class":"c","command":"run=%s"}`, id, id, tasks, constraints, milliCores, run)
}

// submit submits a batch job through an entry.
func (f *fleet) submit(id string, tasks, milliCores int, run string, domains ...string) {
	f.c.Helper()
	text := jobText(id, tasks, milliCores, run, domains...)
	f.eventually("job "+id+" is accepted", func() bool {
		response, err := client.Post("http://"+f.entries[0].listen+"/v1/jobs", "application/json", strings.NewReader(text))
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusAccepted
	})
}

func (f *fleet) status(id string) structs.JobStatus {
	var status structs.JobStatus
	response, err := client.Get("http://" + f.entries[0].listen + "/v1/jobs/" + id)
	if err != nil {
		return status
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&status)
	return status
}

// running counts the running tasks on all workers.
func (f *fleet) running() int {
	n := 0
	for _, h := range f.hosts {
		n += len(h.worker.Running())
	}
	return n
}

// owner returns the host whose agent owns the shard according to the store, or nil.
func (f *fleet) owner() *host {
	entry, err := f.store.Get(f.c.Context(), "shards/0/owner")
	if err != nil {
		return nil
	}
	var value struct {
		Address string `json:"address"`
		Epoch   int64  `json:"epoch"`
	}
	if json.Unmarshal(entry.Value, &value) != nil || value.Epoch == 0 {
		return nil
	}
	for _, h := range f.hosts {
		if h.peerLink.Address() == value.Address {
			return h
		}
	}
	return nil
}

// audit checks the history of all workers for violations of P1 to P4.
func (f *fleet) audit(outages ...audit.Outage) audit.Summary {
	f.c.Helper()
	var records []audit.WorkerHistory
	for _, h := range f.hosts {
		records = append(records, audit.WorkerHistory{
			Worker: structs.Worker{
				Name: h.name, FailureDomain: h.domain, Capacity: structs.Resources{MilliCores: workerMilliCores, MemoryMB: 8000},
			},
			Runs: h.worker.History(),
		})
	}
	// The configuration in force is at most 3 s old when a start begins, and the agent removes a task whose start took
	// longer. A start that the worker saw more than 4 s after the outage began is therefore a violation.
	summary, violations := audit.Check(records, outages, 4*time.Second)
	f.c.Check(violations, qt.HasLen, 0)
	f.c.Logf("audit: %+v", summary)
	return summary
}

// Guards against a task that runs in two places (P2) or is resumed or finished twice (P3), and against a worker above its
// capacity (P1), when the ownership of the shard moves because its owner is paused or cut off from the store and returns,
// agents are killed and restarted, and the store loses responses. The faults occur one by one and then together, in two
// rounds.
func TestOwnershipMovesUnderFaults(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.eventually("the shard has an owner", func() bool { return f.owner() != nil })
	waitForNewOwner := func(former *host) {
		f.eventually("the ownership moves", func() bool { now := f.owner(); return now != nil && now != former })
	}
	otherThan := func(excluded ...*host) *host {
		for _, h := range f.hosts {
			isExcluded := false
			for _, n := range excluded {
				isExcluded = isExcluded || n == h
			}
			if !isExcluded {
				return h
			}
		}
		return nil
	}
	for round := range 2 {
		job := fmt.Sprint("job-", round)
		f.submit(job, 24, 1000, "12s")
		f.eventually("tasks run", func() bool { return f.running() >= 6 })

		former := f.owner()
		former.pause()
		waitForNewOwner(former)
		// Tasks of the paused agent move once the validity of the former owner, a lease and the margin have passed.
		time.Sleep(9 * time.Second)
		former.resume()

		restarted := otherThan(f.owner())
		restarted.kill()
		restarted.start()
		f.eventually("tasks run", func() bool { return f.running() >= 3 })

		// Other agents still reach this former owner, since it is cut off only from the store.
		former = f.owner()
		former.cutStore()
		waitForNewOwner(former)
		former.restoreStore()
		f.eventually("tasks run", func() bool { return f.running() >= 3 })

		former = f.owner()
		f.store.SetFaults(storetest.Faults{LoseResponses: 4})
		former.pause()
		killed := otherThan(former)
		killed.kill()
		waitForNewOwner(former)
		former.resume()
		killed.start()
		f.eventually("all tasks finish", func() bool { return f.status(job).Counts[structs.TaskFinished] == 24 })
		f.store.SetFaults(storetest.Faults{})
	}
	summary := f.audit()
	f.c.Assert(summary.Finished, qt.Equals, 48)
}

// Guards against a task that finishes twice (P3) because its agent is paused before the task ends or killed before the
// result is in the log. Each fault hits the agent that owns the shard, another agent, and both together.
func TestTasksFinishOnceWhenAgentsFail(t *testing.T) {
	t.Parallel()
	const tasks = 40
	f := newFleet(t, 3)
	for mode, fail := range []func(*process){(*process).pause, (*process).kill} {
		for kind := range 3 {
			f.eventually("the shard has an owner", func() bool { return f.owner() != nil })
			job := fmt.Sprint("job-", mode, "-", kind)
			// The lease on the worker outlasts the task, so that the task finishes without the agent.
			f.submit(job, tasks, 1000, "600ms")
			failed := f.hostsToFail(kind)
			for _, h := range failed {
				f.eventually("a task runs beside the agent", func() bool { return len(h.worker.Running()) > 0 })
				fail(h.process)
			}
			f.eventually("all tasks finish", func() bool { return f.status(job).Counts[structs.TaskFinished] == tasks })
			for _, h := range failed {
				h.restoreAgent()
			}
		}
	}
	f.c.Assert(f.audit().Finished, qt.Equals, 2*3*tasks)
}

// hostsToFail returns, for kind 0 to 2, the owner of the shard, another host, or both.
func (f *fleet) hostsToFail(kind int) []*host {
	owner := f.owner()
	other := f.hosts[0]
	if other == owner {
		other = f.hosts[1]
	}
	return [][]*host{{owner}, {other}, {owner, other}}[kind]
}

// restoreAgent resumes a paused agent or starts a killed one.
func (h *host) restoreAgent() {
	if h.cmd == nil {
		h.start()
		return
	}
	h.resume()
}

// Guards against a slow store that stops all task starts or makes the owner lose the shard. Calls take 1.3 s, which is
// above the timeout for a fast store. In this time jobs have to finish, and a failure domain is taken out and returned.
func TestSlowStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.eventually("the shard has an owner", func() bool { return f.owner() != nil })
	f.store.SetFaults(storetest.Faults{SlowMillis: 1300})
	f.submit("a", 24, 1000, "1s")
	f.eventually("all tasks finish", func() bool { return f.status("a").Counts[structs.TaskFinished] == 24 })
	domain := f.hosts[0].domain
	f.changeConfig(0, http.MethodPost, "/v1/failure-domains/"+domain+"/out", "")
	from := time.Now().UnixNano()
	f.submit("b", 24, 1000, "1s")
	f.eventually("all tasks finish", func() bool { return f.status("b").Counts[structs.TaskFinished] == 24 })
	returnedAt := time.Now().UnixNano()
	f.changeConfig(1, http.MethodPost, "/v1/failure-domains/"+domain+"/in", "")
	f.store.SetFaults(storetest.Faults{})
	f.audit(audit.Outage{Domain: domain, From: from, To: returnedAt})
}

// revisionWatcher polls the entries and fails the test when one reverts to an earlier configuration.
type revisionWatcher struct {
	f       *fleet
	stopped atomic.Bool
	ended   chan struct{}
}

func (f *fleet) watchRevisions() *revisionWatcher {
	w := &revisionWatcher{f: f, ended: make(chan struct{})}
	go func() {
		defer close(w.ended)
		highest := make([]int64, len(f.entries))
		for !w.stopped.Load() {
			for i, e := range f.entries {
				if revision, _, ok := e.configHead(); ok {
					f.c.Check(revision >= highest[i], qt.IsTrue, qt.Commentf("P10: entry %d went from %d to %d", i, highest[i], revision))
					highest[i] = max(highest[i], revision)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return w
}

func (w *revisionWatcher) stop() {
	w.stopped.Store(true)
	<-w.ended
}

// Guards against starts in a failure domain that was taken out of service (P4), and against a configuration that doesn't
// come into force everywhere or reverts (P10), when it changes while some processes cannot reach the store: one entry, or
// the entry and the shard's owner, each in two rounds.
func TestConfigurationChangeDuringPartialStoreOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.eventually("the shard has an owner", func() bool { return f.owner() != nil })
	f.submit("job", 400, 1000, "1s")
	f.eventually("tasks run", func() bool { return f.running() >= 9 })
	watch := f.watchRevisions()
	var outages []audit.Outage
	for round := range 4 {
		acting, entryWithoutStore := round%2, f.entries[1-round%2]
		domain := f.hosts[round%3].domain
		entryWithoutStore.cutStore()
		owner := f.owner()
		if round%2 == 1 && owner != nil {
			owner.cutStore()
		}
		f.changeConfig(acting, http.MethodPost, "/v1/failure-domains/"+domain+"/out", "")
		from := time.Now().UnixNano()
		f.eventually("the change is in force at the entry without the store", func() bool {
			_, out, ok := entryWithoutStore.configHead()
			return ok && out[domain]
		})
		f.eventually("no task runs in the domain", func() bool { return len(f.hosts[round%3].worker.Running()) == 0 })
		// The audit reports starts only after a grace period of 4 s, so the outage has to last well beyond it.
		time.Sleep(9 * time.Second)
		f.c.Check(f.hosts[round%3].worker.Running(), qt.HasLen, 0)
		entryWithoutStore.restoreStore()
		if owner != nil {
			owner.restoreStore()
		}
		returnedAt := time.Now().UnixNano()
		f.changeConfig(acting, http.MethodPost, "/v1/failure-domains/"+domain+"/in", "")
		outages = append(outages, audit.Outage{Domain: domain, From: from, To: returnedAt})
		f.eventually("tasks run in the domain again", func() bool { return len(f.hosts[round%3].worker.Running()) > 0 })
	}
	watch.stop()
	f.audit(outages...)
}
