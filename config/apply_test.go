package config_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/findings"
	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/store/storetest"
)

var start = time.Unix(1_700_000_000, 0)

// inventoryCSV returns an inventory with the same number of workers in each failure domain.
func inventoryCSV(domains, perDomain, cores int) []byte {
	var b strings.Builder
	b.WriteString("worker,address,agent_address,failure_domain,rack,cores,memory_mb,accelerators,accelerator_kind\n")
	for d := range domains {
		for w := range perDomain {
			ip := fmt.Sprintf("10.%d.%d.%d", d+1, w/200, w%200+1)
			fmt.Fprintf(&b, "d%d-w%d,%s:7700,%s:7810,d%d,r%d,%d,61440,0,\n", d, w, ip, ip, d, w/3, cores)
		}
	}
	return []byte(b.String())
}

func inventoryChange(id string, data []byte) config.Change {
	return config.Change{ID: id, Inventory: &config.InventoryFile{Name: "inventory.csv", Format: config.FormatCSV, Data: data}}
}

func rulesChange(id, text string) config.Change {
	return config.Change{ID: id, Rules: &config.RulesFile{Name: "rules.ini", Data: []byte(text)}}
}

func domainChange(id, name string, out bool) config.Change {
	return config.Change{ID: id, Domain: &config.DomainChange{Name: name, Out: out}}
}

func newAcceptor(s store.Store) *config.Acceptor {
	acceptor := config.NewAcceptor(s, config.NewBlobs(config.StoreSource{Store: s}))
	acceptor.RetryBackoff = time.Microsecond
	return acceptor
}

// Guards against findings that are reported one at a time or without their location, and against a rejected change that
// is partly written.
func TestRejectedChangeReportsAllFindingsAndWritesNothing(t *testing.T) {
	c := qt.New(t)
	backend := storetest.New(clock.NewManual(start))
	acceptor := newAcceptor(backend)
	ctx := context.Background()
	_, err := acceptor.Apply(ctx, 0, inventoryChange("a", inventoryCSV(2, 4, 16)))
	c.Assert(err, qt.IsNil)
	keys := backend.CountKeys("")
	_, err = acceptor.Apply(ctx, 1, rulesChange("b", `[batch]
racks_without_batch = d0/r0, d9/r0, r1
[service a]
before = b
failure_domains = d0, mars
[service b]
spread_domains = 3
`))
	c.Assert(err, qt.ErrorMatches, `rules.ini:2 \[batch\] racks_without_batch: rack "d9/r0" is not in the inventory
rules.ini:2 \[batch\] racks_without_batch: rack "r1" is in several failure domains; write one of: d0/r1, d1/r1
rules.ini:5 \[service a\] failure_domains: failure domain "mars" is not in the inventory
rules.ini:7 \[service b\] spread_domains: spread_domains 3 is above the 2 failure domains of the inventory`)
	c.Assert(backend.CountKeys(""), qt.Equals, keys)
	_, err = acceptor.Apply(ctx, 1, rulesChange("c", "[batch]\nracks_without_batch = d1/r0\n"))
	c.Assert(err, qt.IsNil)
	_, err = acceptor.Apply(ctx, 2, inventoryChange("d", inventoryCSV(1, 4, 16)))
	c.Assert(err, qt.ErrorMatches, `rules in force:2 \[batch\] racks_without_batch: rack "d1/r0" is not in the inventory`)
	_, err = acceptor.Apply(ctx, config.AnyBase, domainChange("e", "d7", true))
	c.Assert(err, qt.ErrorMatches, `failure domain "d7" is not in the inventory`)
	var found *findings.Error
	_, err = acceptor.Apply(ctx, config.AnyBase, inventoryChange("f", inventoryCSV(2, 4, 16)))
	c.Assert(errors.As(err, &found), qt.IsTrue)
}

// Guards against a failure domain that returns to service when the inventory is replaced, and against rules or
// inventories that differ after they are stored and loaded.
func TestConfigurationRoundTripThroughStore(t *testing.T) {
	c := qt.New(t)
	backend := storetest.New(clock.NewManual(start))
	acceptor := newAcceptor(backend)
	ctx := context.Background()
	rules := "[cluster]\nstart_freshness = 1s\nshards = 3\n[team x]\ncores = 1.5\nmemory_mb = 10\n[batch]\nracks_without_batch = d1/r0\n"
	for i, change := range []config.Change{
		inventoryChange("a", inventoryCSV(3, 4, 16)), domainChange("b", "d1", true), rulesChange("c", rules),
		inventoryChange("d", inventoryCSV(3, 5, 8)),
	} {
		head, err := acceptor.Apply(ctx, int64(i), change)
		c.Assert(err, qt.IsNil)
		c.Assert(head.Revision, qt.Equals, int64(i+1))
	}
	head, err := newAcceptor(backend).Current(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(head.Domains["d1"].Out, qt.IsTrue)
	c.Assert(head.Domains["d2"].Out, qt.IsFalse)
	c.Assert(head.StartFreshness(), qt.Equals, time.Second)
	blobs := config.NewBlobs(config.StoreSource{Store: backend})
	loaded, _, err := blobs.LoadRules(ctx, head)
	c.Assert(err, qt.IsNil)
	c.Assert(loaded.Shards, qt.Equals, 3)
	c.Assert(loaded.BatchAllowed("d1", "r0"), qt.IsFalse)
	c.Assert(loaded.BatchAllowed("d0", "r0"), qt.IsTrue)
	quota, ok := loaded.Quota("x")
	c.Assert(ok, qt.IsTrue)
	c.Assert(quota.MilliCores, qt.Equals, int64(1500))
	inventory, err := blobs.LoadInventory(ctx, head)
	c.Assert(err, qt.IsNil)
	c.Assert(len(inventory.Workers), qt.Equals, 15)
	worker, ok := inventory.Worker("d2-w4")
	c.Assert(ok, qt.IsTrue)
	c.Assert(worker.Capacity.MilliCores, qt.Equals, int64(8000))
	same, err := acceptor.Apply(ctx, config.AnyBase, domainChange("e", "d1", true))
	c.Assert(err, qt.IsNil)
	c.Assert(same.Revision, qt.Equals, head.Revision)
	again, err := acceptor.Apply(ctx, 0, rulesChange("c", rules))
	c.Assert(err, qt.IsNil)
	c.Assert(again.Revision, qt.Equals, head.Revision)
}

// faultyStore injects one fault into a single store call and another into all calls after it.
type faultyStore struct {
	*storetest.Store
	call, faultyCall  int
	atCall, afterCall storetest.Faults
}

func (f *faultyStore) countCall() {
	f.call++
	if f.call == f.faultyCall {
		f.SetFaults(f.atCall)
	} else if f.call == f.faultyCall+1 {
		f.SetFaults(f.afterCall)
	}
}

func (f *faultyStore) Get(ctx context.Context, key string) (store.Entry, error) {
	f.countCall()
	return f.Store.Get(ctx, key)
}

func (f *faultyStore) Put(ctx context.Context, key string, value []byte, opts store.PutOptions) (store.Entry, error) {
	f.countCall()
	return f.Store.Put(ctx, key, value, opts)
}

// Guards against a reported outcome that differs from the stored state, for each fault at each store call of a change,
// and against a delayed write that takes effect after the change was reported as not made.
func TestApplyWithFaultAtEachStoreCall(t *testing.T) {
	const many = 50
	faults := map[string][2]storetest.Faults{
		"down":                    {{Down: true}, {}},
		"down for long":           {{Down: true}, {Down: true}},
		"lost response":           {{LoseResponses: 1}, {}},
		"lost responses":          {{LoseResponses: 1}, {LoseResponses: many}},
		"lost response then down": {{LoseResponses: 1}, {Down: true}},
		"lost request":            {{LoseRequests: 1}, {}},
		"lost requests":           {{LoseRequests: 1}, {LoseRequests: many}},
		"lost request then down":  {{LoseRequests: 1}, {Down: true}},
		"held":                    {{HoldRequests: 1}, {}},
		"held requests":           {{HoldRequests: 1}, {HoldRequests: many}},
		"held then down":          {{HoldRequests: 1}, {Down: true}},
		"held then lost":          {{HoldRequests: 1}, {LoseResponses: many}},
	}
	const calls = 12
	for name, fault := range faults {
		for at := 1; at <= calls; at++ {
			t.Run(fmt.Sprintf("%s at %d", name, at), func(t *testing.T) {
				c := qt.New(t)
				backend := storetest.New(clock.NewManual(start))
				ctx := context.Background()
				_, err := newAcceptor(backend).Apply(ctx, 0, inventoryChange("base", inventoryCSV(2, 3, 16)))
				c.Assert(err, qt.IsNil)
				faulty := &faultyStore{Store: backend, faultyCall: at, atCall: fault[0], afterCall: fault[1]}
				change := inventoryChange("change", inventoryCSV(2, 3, 8))
				head, err := newAcceptor(faulty).Apply(ctx, 1, change)
				backend.SetFaults(storetest.Faults{})
				backend.ReleaseHeld()
				current, readErr := newAcceptor(backend).Current(ctx)
				c.Assert(readErr, qt.IsNil)
				applied := current.ChangeID() == "change"
				switch {
				case err == nil:
					c.Assert(applied, qt.IsTrue)
					c.Assert(head.Revision, qt.Equals, int64(2))
				case errors.Is(err, store.ErrUnknownResult):
					c.Assert(errors.Is(err, store.ErrUnavailable), qt.IsFalse)
				default:
					c.Assert(errors.Is(err, store.ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
					c.Assert(applied, qt.IsFalse)
				}
				_, err = config.NewBlobs(config.StoreSource{Store: backend}).LoadInventory(ctx, current)
				c.Assert(err, qt.IsNil)
			})
		}
	}
}

// Guards against unused blobs that accumulate, and against the pruning of a blob that the head refers to.
func TestUnusedBlobsArePruned(t *testing.T) {
	c := qt.New(t)
	backend := storetest.New(clock.NewManual(start))
	ctx := context.Background()
	acceptors := []*config.Acceptor{newAcceptor(backend), newAcceptor(backend), newAcceptor(backend)}
	const changes, domains = 200, 3
	for i := range changes {
		// Every second change restores the same content, so that its blobs become unused and are needed again.
		cores := 1
		if i%2 == 0 {
			cores = 2 + i
		}
		_, err := acceptors[i%len(acceptors)].Apply(ctx, int64(i), inventoryChange("", inventoryCSV(domains, 2, cores)))
		c.Assert(err, qt.IsNil)
		head, err := acceptors[0].Current(ctx)
		c.Assert(err, qt.IsNil)
		_, err = config.NewBlobs(config.StoreSource{Store: backend}).LoadInventory(ctx, head)
		c.Assert(err, qt.IsNil)
	}
	// Of the 300 blobs that are unused, at most those of the last 17 revisions remain.
	c.Assert(backend.CountKeys("config/inventory/") <= 17*domains, qt.IsTrue, qt.Commentf("%d keys", backend.CountKeys("config/")))
}

// Guards against a conflict or a lost change when operators change different failure domains concurrently.
func TestConcurrentDomainChanges(t *testing.T) {
	c := qt.New(t)
	backend := storetest.New(clock.NewManual(start))
	ctx := context.Background()
	const operators = 8
	_, err := newAcceptor(backend).Apply(ctx, 0, inventoryChange("", inventoryCSV(operators, 1, 16)))
	c.Assert(err, qt.IsNil)
	errs := make(chan error)
	for i := range operators {
		go func() {
			_, err := newAcceptor(backend).Apply(ctx, config.AnyBase, domainChange("", fmt.Sprintf("d%d", i), true))
			errs <- err
		}()
	}
	for range operators {
		c.Check(<-errs, qt.IsNil)
	}
	head, err := newAcceptor(backend).Current(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(head.Revision, qt.Equals, int64(1+operators))
	for name, domain := range head.Domains {
		c.Check(domain.Out, qt.IsTrue, qt.Commentf("%s", name))
	}
}
