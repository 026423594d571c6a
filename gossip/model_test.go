package gossip_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/gossip"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/store/storetest"
)

const (
	processCount = 4
	domainCount  = 3
	shardCount   = 3
	// maxNestedActions limits how deeply actions run inside others, during a message or a store call.
	maxNestedActions = 2
)

// process is a process of the fleet. newestRevision is the highest revision that it has held since its start.
type process struct {
	follower       *config.Follower
	owners         *gossip.OwnerTable
	exchanger      *gossip.Exchanger
	newestRevision int64
	newestEpochs   map[int]int64
}

// acceptedHead is a head and the time at which it took effect. The list of accepted heads is the reference for all
// checks.
type acceptedHead struct {
	head config.Head
	at   time.Time
}

// changeOutcome is the result of a change that was reported to an operator.
type changeOutcome struct {
	id       string
	err      error
	returned config.Head
}

// fleet simulates processes and operators with one store and a virtual clock. Any action may run while a message or a
// store call of another one is in flight.
type fleet struct {
	t             *rapid.T
	clock         *clock.Manual
	backend       *storetest.Store
	processes     [processCount]*process
	acceptedHeads []acceptedHead
	outcomes      []changeOutcome
	changes       int
	nestedActions int
	// repeats are messages that the network delivers a second time later.
	repeats     []gossip.Message
	faultsEnded bool
}

func address(i int) string { return fmt.Sprintf("127.0.0.1:%d", 9000+i) }

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, clock: clock.NewManual(time.Unix(1_700_000_000, 0))}
	f.backend = storetest.New(f.clock)
	f.backend.OnCommit(func(entry store.Entry) {
		if entry.Key != config.HeadKey {
			return
		}
		head, err := config.DecodeHead(entry.Value)
		if err != nil || head.Revision != int64(len(f.acceptedHeads)+1) {
			f.t.Fatalf("head %s after revision %d: %v", entry.Value, len(f.acceptedHeads), err)
		}
		f.acceptedHeads = append(f.acceptedHeads, acceptedHead{head, f.clock.Now()})
	})
	for i := range f.processes {
		f.startProcess(i)
	}
	f.apply(0, config.Change{ID: "first", Inventory: inventory(domainCount, 1)})
	return f
}

func inventory(domains, perDomain int) *config.InventoryFile {
	var b strings.Builder
	b.WriteString("worker,address,agent_address,failure_domain,rack,cores,memory_mb\n")
	for d := range domains {
		for w := range perDomain {
			ip := fmt.Sprintf("10.%d.%d.%d", d, w/200, w%200+1)
			fmt.Fprintf(&b, "d%d-%d,%s:1,%s:2,d%d,r%d,16,61440\n", d, w, ip, ip, d, w/3)
		}
	}
	return &config.InventoryFile{Name: "i.csv", Format: config.FormatCSV, Data: []byte(b.String())}
}

func (f *fleet) startProcess(i int) {
	p := &process{follower: config.NewFollower(f.clock), owners: gossip.NewOwnerTable(), newestEpochs: map[int]int64{}}
	identity := gossip.Identity{Fleet: "test", Name: fmt.Sprint(i), Role: kernel.RoleAgent, Address: address(i)}
	p.exchanger = gossip.NewExchanger(identity, f.clock, p.follower, p.owners, nil, faultyNetwork{f}, func(reason gossip.RejectReason) {
		f.t.Fatalf("message rejected: %s", reason)
	})
	f.processes[i] = p
}

// Guards, under concurrent operators, lost responses, held writes, restarts and reordered messages, against: a change
// whose reported result differs from the actual one; a process that goes back to an older revision or epoch; a proof
// that claims to be newer than it is; a start in a failure domain that has been out of service for longer than the
// start freshness (P4); a process or an owner table that doesn't converge after the faults end (P10); and removal of
// content that the head in force refers to.
func TestFleetMatchesAcceptedHeads(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFleet(r)
		action := func(run func()) func(*rapid.T) {
			return func(t *rapid.T) { f.t = t; run() }
		}
		r.Repeat(map[string]func(*rapid.T){
			"operate": action(f.applyRandomChange), "poll": action(f.pollStore), "exchange": action(f.exchange), "publish": action(f.updateOwner),
			"release": action(func() { f.backend.ReleaseHeld() }),
			"restart": action(func() { f.startProcess(rapid.IntRange(0, processCount-1).Draw(f.t, "process")) }),
			"faults":  func(t *rapid.T) { f.setFaults(t) },
			"pass": func(t *rapid.T) {
				f.clock.Advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"repeat": action(func() {
				for _, message := range f.repeats {
					_, _, err := f.drawProcess("receiver").exchanger.Receive(message)
					qt.Assert(t, err, qt.IsNil)
				}
				f.repeats = nil
			}),
			"": func(t *rapid.T) { f.t = t; f.checkProcesses() },
		})
		f.checkConvergence()
		f.checkProcesses()
		f.checkOutcomes()
	})
}
