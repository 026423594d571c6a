package guarantees_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/audit"
	"github.com/quetzalshed/quetzalshed/test/faultnet"
)

// allProcesses returns all entries and agents.
func (f *fleet) allProcesses() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.processes)
}

// isolate drops all traffic between the agent of a host and all other entries and agents, in both directions. The agent
// still reaches itself, its worker and the store.
func (f *fleet) isolate(h *host) { f.forEachPeerLink(h, (*faultnet.Forwarder).Partition) }

// reconnect undoes isolate.
func (f *fleet) reconnect(h *host) { f.forEachPeerLink(h, (*faultnet.Forwarder).Heal) }

// forEachPeerLink calls set for each link between the agent of a host and the other entries and agents, with the name of the process
// that sends over it.
func (f *fleet) forEachPeerLink(h *host, set func(link *faultnet.Forwarder, sender string)) {
	for _, other := range f.allProcesses() {
		if other != h.process {
			set(other.peerLink, h.name)
			set(h.peerLink, other.name)
			set(h.requestLink, other.name)
			set(h.workerLink, other.name)
		}
	}
}

// processOf returns the name of the process that has a connection with a local address, or "". All processes connect
// from 127.0.0.1, so they are distinguished by the socket table of the Linux kernel.
func (f *fleet) processOf(local netip.AddrPort) string {
	inode := inodeOf(local)
	if inode == "" {
		return ""
	}
	for _, p := range f.allProcesses() {
		pid := p.pid.Load()
		if pid == 0 {
			continue
		}
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, file := range files {
			if target, err := os.Readlink(file); err == nil && target == "socket:["+inode+"]" {
				return p.name
			}
		}
	}
	return ""
}

// inodeOf returns the inode of the socket with a local IPv4 address, or "".
func inodeOf(local netip.AddrPort) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil || !local.Addr().Unmap().Is4() {
		return ""
	}
	const localColumn, inodeColumn = 1, 9
	ip := local.Addr().Unmap().As4()
	// The table holds the address as a number in host byte order, which is assumed to be little-endian.
	wanted := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], local.Port())
	for line := range bytes.Lines(table) {
		if !bytes.Contains(line, []byte(wanted)) {
			continue
		}
		if fields := strings.Fields(string(line)); len(fields) > inodeColumn && fields[localColumn] == wanted {
			return fields[inodeColumn]
		}
	}
	return ""
}

// runningElsewhere counts the running tasks on the workers of all other hosts.
func (f *fleet) runningElsewhere(h *host) int { return f.running() - len(h.worker.Running()) }

// Guards against a task that runs in two places (P2) after a partition of the shard's owner. The owner is isolated from all
// other processes and continues the tasks on its own worker. It is then cut off from the store too, with a record still to
// write, and returns after another owner has taken over: in the first round after all tasks have moved, in the second
// while its own validity lasts. A new owner that doesn't wait for the former one would start the tasks while they still
// run. A former owner whose late record replaces one of the new owner would become valid again, resume the tasks and leave
// a log that cannot be replayed.
func TestPartitionedOwnerStaysFenced(t *testing.T) {
	t.Parallel()
	const (
		tasks = 3 // leaves room for one more on each worker
		// The former owner's tasks run for validity + lease (2 s) after it was cut off from the store. This is longer than
		// the sum of the expiry of its key (3 s), the takeover by another owner (up to 1.5 s), a lease and the margin (3 s),
		// so that each part of the new owner's wait is needed.
		validity = 10 * time.Second
	)
	f := newPartitionableFleet(t, 3, 2*time.Second, validity)
	f.eventually("the shard has an owner", func() bool { return f.owner() != nil })
	f.submit("long", tasks, workerMilliCores/4, "0s") // never finishes
	f.eventually("tasks run", func() bool { return f.running() == tasks })
	var summary audit.Summary
	for round := range 2 {
		former := f.owner()
		f.isolate(former)
		f.eventually("the isolated owner has all tasks on its worker", func() bool {
			return len(former.worker.Running()) == tasks && f.runningElsewhere(former) == 0
		})
		f.c.Assert(f.owner(), qt.Equals, former)

		former.cutStore()
		late := fmt.Sprint("late-", round)
		f.sendJobHint(former, jobText(late, 1, workerMilliCores/4, "3s"))
		f.submit(late, 1, workerMilliCores/4, "3s")
		f.eventually("the ownership moves", func() bool { now := f.owner(); return now != nil && now != former })
		f.eventually("the new owner starts a task", func() bool { return f.runningElsewhere(former) > 0 })
		restoreFormerOwner := func() {
			former.restoreStore()
			f.eventually("the former owner gives up", func() bool { return !f.claimsOwnership(former) })
		}
		if round == 1 {
			f.c.Assert(f.claimsOwnership(former), qt.IsTrue)
			restoreFormerOwner()
		}
		f.eventually("the new owner has all tasks", func() bool {
			return f.runningElsewhere(former) == tasks && f.status(late).Counts[structs.TaskFinished] == 1
		})
		f.audit()
		f.c.Assert(former.worker.Running(), qt.HasLen, 0)
		if round == 0 {
			restoreFormerOwner()
		}
		f.reconnect(former)
		returnedJob := fmt.Sprint("back-", round)
		f.submit(returnedJob, 1, workerMilliCores/4, "1s", former.domain)
		f.eventually("the new owner uses the worker of the former one", func() bool {
			return f.status(returnedJob).Counts[structs.TaskFinished] == 1
		})
		summary = f.audit()
	}
	f.c.Assert(summary.Tasks, qt.Equals, tasks+2*2)
	f.c.Assert(summary.Finished, qt.Equals, 2*2)
}

// Guards against a start in a failure domain that was taken out of service (P4), when the start was sent before the change
// and arrives late at an agent that is partitioned from all others and hasn't learned of the change. Only the age of the
// agent's configuration can keep it from starting the task, since the lease is longer than the delay.
func TestLateStartAtPartitionedAgent(t *testing.T) {
	t.Parallel()
	const lease, delay = 20 * time.Second, 9 * time.Second
	f := newPartitionableFleet(t, 2, lease, lease)
	f.eventually("the shard has an owner", func() bool { return f.owner() != nil })
	target := f.hosts[0]
	if target == f.owner() {
		target = f.hosts[1]
	}
	f.submit("before", 1, workerMilliCores/4, "1s", target.domain)
	f.eventually("the agent starts tasks", func() bool { return f.status("before").Counts[structs.TaskFinished] == 1 })

	target.peerLink.SetDelay(faultnet.ToServer, delay)
	for _, other := range f.allProcesses() {
		if other != target.process {
			other.peerLink.Partition(target.name)
		}
	}
	toAgent := func() int64 { return target.peerLink.Counts().Forwarded[faultnet.ToServer] }
	f.submit("late", 1, workerMilliCores/4, "0s", target.domain)
	f.eventually("the start is in the log", func() bool { return f.status("late").Counts[structs.TaskStarting] == 1 })
	time.Sleep(time.Second) // the owner sends the start at its next step
	sent := toAgent()
	f.changeConfig(0, http.MethodPost, "/v1/failure-domains/"+target.domain+"/out", "")
	outage := audit.Outage{Domain: target.domain, From: time.Now().UnixNano()}
	time.Sleep(delay + 2*time.Second) // the delayed start arrives before anything sent after the change
	f.c.Assert(toAgent() > sent, qt.IsTrue)
	f.audit(outage)
	f.c.Assert(target.worker.Starts(), qt.HasLen, 1)
}

// claimsOwnership returns whether an agent considers itself the owner of the shard.
func (f *fleet) claimsOwnership(h *host) bool {
	response, err := client.Get("http://" + h.listen + "/v1/shards/0/jobs")
	f.c.Assert(err, qt.IsNil)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// sendJobHint sends an owner the hint that a job was submitted, like a delayed hint of an entry.
func (f *fleet) sendJobHint(h *host, text string) {
	f.c.Helper()
	response, err := client.Post("http://"+h.listen+"/v1/shards/0/jobs", "application/json", strings.NewReader(text))
	f.c.Assert(err, qt.IsNil)
	_ = response.Body.Close()
	f.c.Assert(response.StatusCode, qt.Equals, http.StatusAccepted)
}
