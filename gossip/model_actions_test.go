package gossip_test

import (
	"context"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/store/storetest"
	"github.com/quetzalshed/quetzalshed/structs"
)

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

func (f *fleet) setFaults(t *rapid.T) {
	count := rapid.IntRange(1, 3).Draw(t, "count")
	f.backend.SetFaults(rapid.SampledFrom([]storetest.Faults{
		{}, {}, {Down: true}, {LoseResponses: count}, {LoseRequests: count}, {HoldRequests: count},
	}).Draw(t, "faults"))
}
