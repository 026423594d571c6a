package gossip_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/store/storetest"
	"github.com/quetzalshed/quetzalshed/structs"
)

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
