package gossip_test

import (
	"context"
	"errors"
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
	"github.com/quetzalshed/quetzalshed/structs"
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

// interleave advances the clock and runs other actions in the middle of the current one.
func (f *fleet) interleave(label string) {
	if f.faultsEnded {
		return
	}
	f.clock.Advance(time.Duration(rapid.SampledFrom([]int{0, 0, 1, 400, 3500}).Draw(f.t, label+" millis")) * time.Millisecond)
	if f.nestedActions < maxNestedActions && rapid.IntRange(0, 3).Draw(f.t, label+" action") == 0 {
		f.nestedActions++
		actions := []func(){f.applyRandomChange, f.pollStore, f.exchange, f.updateOwner}
		actions[rapid.IntRange(0, len(actions)-1).Draw(f.t, "which")]()
		f.nestedActions--
	}
	f.checkProcesses()
}

func (f *fleet) apply(base int64, change config.Change) {
	s := interleavedStore{f.backend, f}
	acceptor := config.NewAcceptor(s, config.NewBlobs(config.StoreSource{Store: s}))
	acceptor.RetryBackoff = time.Nanosecond
	head, err := acceptor.Apply(context.Background(), base, change)
	f.outcomes = append(f.outcomes, changeOutcome{change.ID, err, head})
	if err == nil && change.Domain != nil && head.Domains[change.Domain.Name].Out != change.Domain.Out {
		f.t.Fatalf("change %+v was accepted, and revision %d does not contain it", *change.Domain, head.Revision)
	}
}

// applyRandomChange applies a random operator change, based on the current or a recent revision or on any revision.
func (f *fleet) applyRandomChange() {
	f.changes++
	change := config.Change{ID: fmt.Sprintf("change-%d", f.changes)}
	base := int64(len(f.acceptedHeads))
	switch rapid.SampledFrom([]string{"domain", "domain", "domain", "inventory", "rules"}).Draw(f.t, "change") {
	case "domain":
		name := fmt.Sprintf("d%d", rapid.IntRange(0, domainCount-1).Draw(f.t, "domain"))
		change.Domain = &config.DomainChange{Name: name, Out: rapid.Bool().Draw(f.t, "out")}
		base = rapid.SampledFrom([]int64{config.AnyBase, base, max(0, base-1)}).Draw(f.t, "base")
	case "inventory":
		change.Inventory = inventory(rapid.IntRange(1, domainCount).Draw(f.t, "domains"), rapid.IntRange(1, 3).Draw(f.t, "workers"))
	case "rules":
		text := fmt.Sprintf("[cluster]\nstart_freshness = %ds\n", rapid.IntRange(1, 5).Draw(f.t, "freshness"))
		change.Rules = &config.RulesFile{Name: "rules.ini", Data: []byte(text)}
	}
	f.apply(base, change)
}

func (f *fleet) pollStore() {
	p := f.drawProcess("poller")
	sentAt := f.clock.Now()
	entry, err := interleavedStore{f.backend, f}.Get(context.Background(), config.HeadKey)
	if err != nil {
		return
	}
	head, err := config.DecodeHead(entry.Value)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := p.follower.ObserveStore(head, sentAt); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) drawProcess(label string) *process {
	return f.processes[rapid.IntRange(0, processCount-1).Draw(f.t, label)]
}

func (f *fleet) exchange() {
	p := f.drawProcess("from")
	_ = p.exchanger.Exchange(context.Background(), address(rapid.IntRange(0, processCount-1).Draw(f.t, "to")))
}

func (f *fleet) updateOwner() {
	owner := structs.ShardOwner{
		Shard: rapid.IntRange(0, shardCount-1).Draw(f.t, "shard"), Epoch: rapid.Int64Range(1, 9).Draw(f.t, "epoch"),
		Address: address(rapid.IntRange(0, processCount-1).Draw(f.t, "owner")),
	}
	f.drawProcess("publisher").owners.Publish(owner)
}

// newestOwners returns the owner with the highest epoch of each shard that any process knows.
func (f *fleet) newestOwners() map[int]structs.ShardOwner {
	newest := map[int]structs.ShardOwner{}
	for _, p := range f.processes {
		for _, owner := range p.owners.All() {
			known := newest[owner.Shard]
			if owner.Epoch > known.Epoch || owner.Epoch == known.Epoch && owner.Address > known.Address {
				newest[owner.Shard] = owner
			}
		}
	}
	return newest
}

// revisionBefore returns the revision that was in force just before a time. Events at the same clock reading are
// unordered.
func (f *fleet) revisionBefore(at time.Time) int64 {
	revision := int64(0)
	for _, a := range f.acceptedHeads {
		if a.at.Before(at) {
			revision = a.head.Revision
		}
	}
	return revision
}

// inServiceSince reports whether a failure domain was in service at any time from the given time until now.
func (f *fleet) inServiceSince(domain string, at time.Time) bool {
	for i, a := range f.acceptedHeads {
		endsBefore := i+1 < len(f.acceptedHeads) && f.acceptedHeads[i+1].at.Before(at)
		state, ok := a.head.Domains[domain]
		if !endsBefore && ok && !state.Out {
			return true
		}
	}
	return false
}

// longestFreshness returns the longest start freshness that was in force within the last 5 s, the longest one that
// rules may set.
func (f *fleet) longestFreshness() time.Duration {
	const bound = 5 * time.Second
	longest := time.Duration(0)
	for i, a := range f.acceptedHeads {
		if i+1 == len(f.acceptedHeads) || !f.acceptedHeads[i+1].at.Before(f.clock.Now().Add(-bound)) {
			longest = max(longest, a.head.StartFreshness())
		}
	}
	return longest
}

// checkProcesses compares the state of each process with the accepted heads.
func (f *fleet) checkProcesses() {
	f.checkBlobs()
	now := f.clock.Now()
	for i, p := range f.processes {
		head, held := p.follower.Head()
		if head.Revision < p.newestRevision || head.Revision > int64(len(f.acceptedHeads)) {
			f.t.Fatalf("process %d went from revision %d to %d, and the newest is %d", i, p.newestRevision, head.Revision, len(f.acceptedHeads))
		}
		p.newestRevision = head.Revision
		for _, owner := range p.owners.All() {
			if owner.Epoch < p.newestEpochs[owner.Shard] {
				f.t.Fatalf("process %d went back to epoch %d of shard %d", i, owner.Epoch, owner.Shard)
			}
			p.newestEpochs[owner.Shard] = owner.Epoch
		}
		if held && head.ChangeID() != f.acceptedHeads[head.Revision-1].head.ChangeID() {
			f.t.Fatalf("process %d holds a revision %d that differs from the accepted one", i, head.Revision)
		}
		if age, ok := p.follower.ConfirmedAge(); ok && f.revisionBefore(now.Add(-age)) > head.Revision {
			f.t.Fatalf("process %d holds revision %d as of %s ago, when %d was in force", i, head.Revision, age,
				f.revisionBefore(now.Add(-age)))
		}
		for d := range domainCount {
			name := fmt.Sprintf("d%d", d)
			if ok, _ := p.follower.MayStart(name); ok && !f.inServiceSince(name, now.Add(-f.longestFreshness())) {
				f.t.Fatalf("process %d may start in %s, which is out of service", i, name)
			}
		}
	}
}

// checkBlobs verifies that the store has the content that the head in force refers to.
func (f *fleet) checkBlobs() {
	if len(f.acceptedHeads) == 0 {
		return
	}
	head := f.acceptedHeads[len(f.acceptedHeads)-1].head
	for name, domain := range head.Domains {
		if f.backend.CountKeys(config.BlobInventory.Key(domain.InventoryHash)) == 0 {
			f.t.Fatalf("the inventory of %s at revision %d is gone", name, head.Revision)
		}
	}
	if f.backend.CountKeys(config.BlobRules.Key(head.RulesHash)) == 0 {
		f.t.Fatalf("the rules of revision %d are gone", head.Revision)
	}
}

// checkOutcomes compares the results reported to operators with the accepted heads.
func (f *fleet) checkOutcomes() {
	times := map[string]int{}
	for _, a := range f.acceptedHeads {
		times[a.head.ChangeID()]++
	}
	for _, o := range f.outcomes {
		repeated := o.err == nil && o.returned.ChangeID() != o.id
		switch {
		case times[o.id] > 1:
			f.t.Fatalf("change %s was applied %d times", o.id, times[o.id])
		case o.err == nil && !repeated && times[o.id] != 1:
			f.t.Fatalf("change %s was reported as applied and was not", o.id)
		case o.err != nil && !errors.Is(o.err, store.ErrUnknownResult) && times[o.id] != 0:
			f.t.Fatalf("change %s was applied and reported as failed: %v", o.id, o.err)
		}
	}
}

// checkConvergence ends all faults, lets the processes exchange messages and verifies that all of them reach the newest
// state.
func (f *fleet) checkConvergence() {
	f.faultsEnded = true
	f.backend.SetFaults(storetest.Faults{})
	f.backend.ReleaseHeld()
	entry, err := f.backend.Get(context.Background(), config.HeadKey)
	if err != nil {
		f.t.Fatal(err)
	}
	head, _ := config.DecodeHead(entry.Value)
	if err := f.processes[0].follower.ObserveStore(head, f.clock.Now()); err != nil {
		f.t.Fatal(err)
	}
	newest := f.newestOwners()
	for range 2 {
		for i, p := range f.processes {
			if err := p.exchanger.Exchange(context.Background(), address((i+1)%processCount)); err != nil {
				f.t.Fatal(err)
			}
		}
	}
	for i, p := range f.processes {
		if p.follower.Revision() != int64(len(f.acceptedHeads)) {
			f.t.Fatalf("process %d is at revision %d, and the newest is %d", i, p.follower.Revision(), len(f.acceptedHeads))
		}
		for shard, owner := range newest {
			if found, _ := p.owners.Lookup(shard); found != owner {
				f.t.Fatalf("process %d has owner %v, and the newest is %v", i, found, owner)
			}
		}
	}
}

func (f *fleet) setFaults(t *rapid.T) {
	count := rapid.IntRange(1, 3).Draw(t, "count")
	f.backend.SetFaults(rapid.SampledFrom([]storetest.Faults{
		{}, {}, {Down: true}, {LoseResponses: count}, {LoseRequests: count}, {HoldRequests: count},
	}).Draw(t, "faults"))
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
