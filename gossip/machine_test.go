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
	processes = 4
	domains   = 3
	shards    = 3
	// maxDepth bounds how many actions run inside others, as while a message or a call is in flight.
	maxDepth = 2
)

// process is one member of the fleet. newest is the highest revision that it has held since it started.
type process struct {
	follower  *config.Follower
	owners    *gossip.OwnerTable
	exchanger *gossip.Exchanger
	newest    int64
	epochs    map[int]int64
}

// accepted is a head with the time at which it took effect. The list of them is the oracle.
type accepted struct {
	head config.Head
	at   time.Time
}

// outcome is what an operator was told of a change.
type outcome struct {
	id       string
	err      error
	returned config.Head
}

// fleet runs processes and operators on one store and a virtual clock. Any action may run while a message or a call of
// another one is in flight.
type fleet struct {
	t         *rapid.T
	clock     *clock.Manual
	backend   *storetest.Store
	processes [processes]*process
	history   []accepted
	outcomes  []outcome
	changes   int
	depth     int
	// repeats are messages that the network delivers again later.
	repeats []gossip.Message
	healthy bool
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
		if err != nil || head.Revision != int64(len(f.history)+1) {
			f.t.Fatalf("head %s after revision %d: %v", entry.Value, len(f.history), err)
		}
		f.history = append(f.history, accepted{head, f.clock.Now()})
	})
	for i := range f.processes {
		f.startProcess(i)
	}
	f.apply(0, config.Change{ID: "first", Inventory: inventory(domains, 1)})
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
	p := &process{follower: config.NewFollower(f.clock), owners: gossip.NewOwnerTable(), epochs: map[int]int64{}}
	identity := gossip.Identity{Fleet: "test", Name: fmt.Sprint(i), Role: kernel.RoleAgent, Address: address(i)}
	p.exchanger = gossip.NewExchanger(identity, f.clock, p.follower, p.owners, nil, network{f}, func(reason gossip.Reason) {
		f.t.Fatalf("message rejected: %s", reason)
	})
	f.processes[i] = p
}

// meanwhile lets time pass and other actions run before the current one goes on.
func (f *fleet) meanwhile(label string) {
	if f.healthy {
		return
	}
	f.clock.Advance(time.Duration(rapid.SampledFrom([]int{0, 0, 1, 400, 3500}).Draw(f.t, label+" millis")) * time.Millisecond)
	if f.depth < maxDepth && rapid.IntRange(0, 3).Draw(f.t, label+" action") == 0 {
		f.depth++
		actions := []func(){f.operate, f.poll, f.exchange, f.publish}
		actions[rapid.IntRange(0, len(actions)-1).Draw(f.t, "which")]()
		f.depth--
	}
	f.check()
}

func (f *fleet) apply(base int64, change config.Change) {
	s := interleaved{f.backend, f}
	acceptor := config.NewAcceptor(s, config.NewBlobs(config.StoreSource{Store: s}))
	acceptor.RetryPause = time.Nanosecond
	head, err := acceptor.Apply(context.Background(), base, change)
	f.outcomes = append(f.outcomes, outcome{change.ID, err, head})
	if err == nil && change.Domain != nil && head.Domains[change.Domain.Name].Out != change.Domain.Out {
		f.t.Fatalf("change %+v was accepted and revision %d differs", *change.Domain, head.Revision)
	}
}

// operate makes a change as an operator, on the current revision, on a recent one or on any.
func (f *fleet) operate() {
	f.changes++
	change := config.Change{ID: fmt.Sprintf("change-%d", f.changes)}
	base := int64(len(f.history))
	switch rapid.SampledFrom([]string{"domain", "domain", "domain", "inventory", "rules"}).Draw(f.t, "change") {
	case "domain":
		name := fmt.Sprintf("d%d", rapid.IntRange(0, domains-1).Draw(f.t, "domain"))
		change.Domain = &config.DomainChange{Name: name, Out: rapid.Bool().Draw(f.t, "out")}
		base = rapid.SampledFrom([]int64{config.AnyBase, base, max(0, base-1)}).Draw(f.t, "base")
	case "inventory":
		change.Inventory = inventory(rapid.IntRange(1, domains).Draw(f.t, "domains"), rapid.IntRange(1, 3).Draw(f.t, "workers"))
	case "rules":
		text := fmt.Sprintf("[cluster]\nstart_freshness = %ds\n", rapid.IntRange(1, 5).Draw(f.t, "freshness"))
		change.Rules = &config.RulesFile{Name: "rules.ini", Data: []byte(text)}
	}
	f.apply(base, change)
}

func (f *fleet) poll() {
	p := f.any("poller")
	sentAt := f.clock.Now()
	entry, err := interleaved{f.backend, f}.Get(context.Background(), config.HeadKey)
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

func (f *fleet) any(label string) *process {
	return f.processes[rapid.IntRange(0, processes-1).Draw(f.t, label)]
}

func (f *fleet) exchange() {
	p := f.any("from")
	_ = p.exchanger.Exchange(context.Background(), address(rapid.IntRange(0, processes-1).Draw(f.t, "to")))
}

func (f *fleet) publish() {
	owner := structs.ShardOwner{
		Shard: rapid.IntRange(0, shards-1).Draw(f.t, "shard"), Epoch: rapid.Int64Range(1, 9).Draw(f.t, "epoch"),
		Address: address(rapid.IntRange(0, processes-1).Draw(f.t, "owner")),
	}
	f.any("publisher").owners.Publish(owner)
}

// newestOwners returns the owners with the highest epoch that any process knows.
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

// revisionBefore returns the revision that was in force just before a time. Events at one reading of the clock have no
// order.
func (f *fleet) revisionBefore(at time.Time) int64 {
	revision := int64(0)
	for _, a := range f.history {
		if a.at.Before(at) {
			revision = a.head.Revision
		}
	}
	return revision
}

// inServiceSince tells whether a failure domain was in service at any time from a time until now.
func (f *fleet) inServiceSince(domain string, at time.Time) bool {
	for i, a := range f.history {
		endsBefore := i+1 < len(f.history) && f.history[i+1].at.Before(at)
		state, ok := a.head.Domains[domain]
		if !endsBefore && ok && !state.Out {
			return true
		}
	}
	return false
}

// longestFreshness returns the longest start freshness that was in force within the longest one that rules may set.
func (f *fleet) longestFreshness() time.Duration {
	const bound = 5 * time.Second
	longest := time.Duration(0)
	for i, a := range f.history {
		if i+1 == len(f.history) || !f.history[i+1].at.Before(f.clock.Now().Add(-bound)) {
			longest = max(longest, a.head.StartFreshness())
		}
	}
	return longest
}

// check compares each process with the oracle.
func (f *fleet) check() {
	f.checkBlobs()
	now := f.clock.Now()
	for i, p := range f.processes {
		head, held := p.follower.Head()
		if head.Revision < p.newest || head.Revision > int64(len(f.history)) {
			f.t.Fatalf("process %d went from revision %d to %d of %d", i, p.newest, head.Revision, len(f.history))
		}
		p.newest = head.Revision
		for _, owner := range p.owners.All() {
			if owner.Epoch < p.epochs[owner.Shard] {
				f.t.Fatalf("process %d went back to epoch %d of shard %d", i, owner.Epoch, owner.Shard)
			}
			p.epochs[owner.Shard] = owner.Epoch
		}
		if held && head.ChangeID() != f.history[head.Revision-1].head.ChangeID() {
			f.t.Fatalf("process %d holds another revision %d", i, head.Revision)
		}
		if age, ok := p.follower.Confirmed(); ok && f.revisionBefore(now.Add(-age)) > head.Revision {
			f.t.Fatalf("process %d holds revision %d as of %s ago, when %d was in force", i, head.Revision, age,
				f.revisionBefore(now.Add(-age)))
		}
		for d := range domains {
			name := fmt.Sprintf("d%d", d)
			if ok, _ := p.follower.MayStart(name); ok && !f.inServiceSince(name, now.Add(-f.longestFreshness())) {
				f.t.Fatalf("process %d may start in %s, which is out of service", i, name)
			}
		}
	}
}

// checkBlobs looks for the content of the head in force.
func (f *fleet) checkBlobs() {
	if len(f.history) == 0 {
		return
	}
	head := f.history[len(f.history)-1].head
	for name, domain := range head.Domains {
		if f.backend.CountKeys(config.BlobInventory.Key(domain.InventoryHash)) == 0 {
			f.t.Fatalf("the inventory of %s at revision %d is gone", name, head.Revision)
		}
	}
	if f.backend.CountKeys(config.BlobRules.Key(head.RulesHash)) == 0 {
		f.t.Fatalf("the rules of revision %d are gone", head.Revision)
	}
}

// checkOutcomes compares what operators were told with the accepted heads.
func (f *fleet) checkOutcomes() {
	times := map[string]int{}
	for _, a := range f.history {
		times[a.head.ChangeID()]++
	}
	for _, o := range f.outcomes {
		repeated := o.err == nil && o.returned.ChangeID() != o.id
		switch {
		case times[o.id] > 1:
			f.t.Fatalf("change %s was made %d times", o.id, times[o.id])
		case o.err == nil && !repeated && times[o.id] != 1:
			f.t.Fatalf("change %s was reported as made and was not", o.id)
		case o.err != nil && !errors.Is(o.err, store.ErrUnknownResult) && times[o.id] != 0:
			f.t.Fatalf("change %s was made and reported as %v", o.id, o.err)
		}
	}
}

// heal ends all faults and lets the processes exchange until nothing more can be learned.
func (f *fleet) heal() {
	f.healthy = true
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
			if err := p.exchanger.Exchange(context.Background(), address((i+1)%processes)); err != nil {
				f.t.Fatal(err)
			}
		}
	}
	for i, p := range f.processes {
		if p.follower.Revision() != int64(len(f.history)) {
			f.t.Fatalf("process %d stays at revision %d of %d", i, p.follower.Revision(), len(f.history))
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

// Guards, with racing operators, lost responses, held writes, restarts and messages in any order, against: a change with
// another outcome than reported, a process that goes back, a proof that is younger than it should be, a start in a
// failure domain that has been out of service for longer than the freshness (P4), and a process or an owner table that
// doesn't converge once the faults end (P10), and content of the head in force that is removed as unused.
func TestFleetFollowsTheOracle(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFleet(r)
		action := func(run func()) func(*rapid.T) {
			return func(t *rapid.T) { f.t = t; run() }
		}
		r.Repeat(map[string]func(*rapid.T){
			"operate": action(f.operate), "poll": action(f.poll), "exchange": action(f.exchange), "publish": action(f.publish),
			"release": action(func() { f.backend.ReleaseHeld() }),
			"restart": action(func() { f.startProcess(rapid.IntRange(0, processes-1).Draw(f.t, "process")) }),
			"faults":  func(t *rapid.T) { f.setFaults(t) },
			"pass": func(t *rapid.T) {
				f.clock.Advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"repeat": action(func() {
				for _, message := range f.repeats {
					_, _, err := f.any("receiver").exchanger.Receive(message)
					qt.Assert(t, err, qt.IsNil)
				}
				f.repeats = nil
			}),
			"": func(t *rapid.T) { f.t = t; f.check() },
		})
		f.heal()
		f.check()
		f.checkOutcomes()
	})
}
