package config_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/findings"
	"github.com/quetzalshed/quetzalshed/store/storetest"
)

// checkFindings fails the test unless each finding has a file and a message and their number is bounded.
func checkFindings(t *testing.T, file string, found findings.List) {
	if found.Len() > config.MaxFindings+1 {
		t.Fatalf("%d findings", found.Len())
	}
	for _, finding := range found.Items() {
		if finding.Location.File != file || finding.Message == "" {
			t.Fatalf("finding without a file or a message: %+v", finding)
		}
	}
}

// FuzzParseInventory guards against a parser that panics, reports findings without a location, or accepts an inventory
// with a duplicate worker or address, an impossible capacity, or content that the store can't hold.
func FuzzParseInventory(f *testing.F) {
	f.Add(true, inventoryCSV(2, 2, 16))
	f.Add(true, []byte("\xef\xbb\xbfworker,address\n\"a\"b,1\n"))
	f.Add(false, []byte(`{"workers": [{"worker": "a", "address": "10.0.0.1:1", "agent_address": "10.0.0.1:2",
 "failure_domain": "d", "rack": "r", "cores": 15.5, "memory_mb": 4096, "accelerators": 1, "accelerator_kind": "k"}]}`))
	f.Add(false, []byte(`[{"worker": "a", "worker": "b", "x": [1]}]`))
	f.Fuzz(func(t *testing.T, isCSV bool, raw []byte) {
		format := config.FormatJSON
		if isCSV {
			format = config.FormatCSV
		}
		inventory, found := config.ParseInventory("f", format, raw)
		checkFindings(t, "f", found)
		if (inventory == nil) != (found.Len() > 0) {
			t.Fatalf("inventory %v with findings %v", inventory, found.Items())
		}
		if inventory == nil {
			return
		}
		seen := map[string]bool{}
		for _, worker := range inventory.Workers {
			for _, id := range []string{worker.Name, worker.Address, worker.TaskAddress} {
				if id == "" || seen[id] {
					t.Fatalf("%q is empty or appears twice", id)
				}
				seen[id] = true
			}
			if worker.Capacity.MilliCores < 1 || worker.Capacity.MemoryMB < 1 || worker.Capacity.Accelerators < 0 {
				t.Fatalf("capacity %+v", worker.Capacity)
			}
		}
		backend := storetest.New(clock.NewManual(start))
		head, err := newAcceptor(backend).Apply(context.Background(), 0, config.Change{
			Inventory: &config.InventoryFile{Name: "f", Format: format, Data: raw},
		})
		if err != nil || head.Validate() != nil || head.Workers() != len(inventory.Workers) {
			t.Fatalf("head %+v: %v", head, err)
		}
	})
}

// FuzzParseRules guards against a parser that panics, reports findings without a location, or accepts rules that are
// inconsistent or that differ after they are stored and loaded.
func FuzzParseRules(f *testing.F) {
	f.Add([]byte("[cluster]\nshards = 2\n[service a]\nbefore = b\n[service b]\nlatency_target = 1s\n[team x]\ncores = 1\nmemory_mb = 1\n"))
	f.Add([]byte("[service a]\nbefore = b\n[service b]\nbefore = a\n[team *]\ncores = x\n"))
	f.Add([]byte("[batch]\nracks_without_batch = d0/r0, r9\n[guard]\nresume_at = 1\n"))
	f.Add([]byte("stray = 1\n[cluster]\n[DEFAULT]\nshards = 2\n[cluster]\nshards = 1\n"))
	f.Add([]byte("[a\nb = \"\"\"c\n= d\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		parsed, found := config.ParseRules("f", raw)
		checkFindings(t, "f", found)
		if (parsed == nil) != (found.Len() > 0) {
			t.Fatalf("rules %v with findings %v", parsed, found.Items())
		}
		if parsed == nil {
			return
		}
		rules := parsed.Rules
		if rules.Shards < 1 || rules.Guard.ResumeAt >= rules.Guard.ThrottleAt || rules.OwnerValidity < rules.TaskLease {
			t.Fatalf("accepted %+v", rules)
		}
		for i, service := range rules.Services {
			if _, rank, ok := rules.Service(service.Name); !ok || rank != i {
				t.Fatalf("service %q has rank %d instead of %d", service.Name, rank, i)
			}
		}
		backend := storetest.New(clock.NewManual(start))
		acceptor := newAcceptor(backend)
		ctx := context.Background()
		if _, err := acceptor.Apply(ctx, 0, inventoryChange("i", inventoryCSV(2, 3, 16))); err != nil {
			t.Fatal(err)
		}
		head, err := acceptor.Apply(ctx, 1, rulesChange("r", string(raw)))
		if err != nil {
			return // Racks and failure domains may be unknown.
		}
		loaded, source, err := config.NewBlobs(config.StoreSource{Store: backend}).LoadRules(ctx, head)
		if err != nil || loaded.Shards != rules.Shards || len(loaded.Services) != len(rules.Services) || !bytes.Equal(source, raw) {
			t.Fatalf("stored %+v and loaded %+v: %v", rules, loaded, err)
		}
	})
}
