package config

import (
	"cmp"
	"slices"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Inventory is the list of workers. It is immutable once it has been built.
type Inventory struct {
	// Workers is sorted by name.
	Workers []structs.Worker

	byName        map[string]int
	racksByDomain map[string][]string
}

// NewInventory returns an inventory of the given workers. It doesn't validate them.
func NewInventory(workers []structs.Worker) *Inventory {
	sorted := slices.Clone(workers)
	slices.SortFunc(sorted, func(a, b structs.Worker) int { return cmp.Compare(a.Name, b.Name) })
	inventory := &Inventory{Workers: sorted, byName: map[string]int{}, racksByDomain: map[string][]string{}}
	for i, worker := range sorted {
		inventory.byName[worker.Name] = i
		racks := inventory.racksByDomain[worker.FailureDomain]
		if index, found := slices.BinarySearch(racks, worker.Rack); !found {
			inventory.racksByDomain[worker.FailureDomain] = slices.Insert(racks, index, worker.Rack)
		}
	}
	return inventory
}

// Worker returns the worker with the given name.
func (i *Inventory) Worker(name string) (structs.Worker, bool) {
	index, ok := i.byName[name]
	if !ok {
		return structs.Worker{}, false
	}
	return i.Workers[index], true
}

// FailureDomains returns the sorted names of the failure domains.
func (i *Inventory) FailureDomains() []string {
	names := make([]string, 0, len(i.racksByDomain))
	for name := range i.racksByDomain {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// HasDomain reports whether the failure domain has any workers.
func (i *Inventory) HasDomain(domain string) bool { return len(i.racksByDomain[domain]) > 0 }

// Racks returns the sorted racks of a failure domain.
func (i *Inventory) Racks(domain string) []string { return i.racksByDomain[domain] }

// InDomain returns the workers of a failure domain, sorted by name.
func (i *Inventory) InDomain(domain string) []structs.Worker {
	var workers []structs.Worker
	for _, worker := range i.Workers {
		if worker.FailureDomain == domain {
			workers = append(workers, worker)
		}
	}
	return workers
}
