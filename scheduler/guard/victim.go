package guard

import (
	"cmp"
	"slices"
)

// memoryVictim returns the batch task to evict if memory is nearly used up and no eviction is in progress: the one that
// exceeds its memory reservation most, or if none does, the one that isn't urgent and uses the most memory.
func memoryVictim(rules Rules, in Input) string {
	if in.Capacity.MemoryMB <= 0 || float64(in.Used.MemoryMB) < rules.MemoryEvictAt*float64(in.Capacity.MemoryMB) {
		return ""
	}
	return selectVictim(in.Batch, func(a, b BatchTask) int {
		aOver, bOver := max(a.Used.MemoryMB-a.Reserved.MemoryMB, 0), max(b.Used.MemoryMB-b.Reserved.MemoryMB, 0)
		return cmp.Or(cmp.Compare(bOver, aOver), compareUrgent(a, b), cmp.Compare(b.Used.MemoryMB, a.Used.MemoryMB))
	})
}

// latencyVictim returns the batch task whose eviction costs least: not urgent, low priority, little work done.
func latencyVictim(batch []BatchTask) string {
	return selectVictim(batch, func(a, b BatchTask) int {
		return cmp.Or(compareUrgent(a, b), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.WorkDone, b.WorkDone))
	})
}

// selectVictim returns the first task in the given order, or none while an eviction is in progress.
func selectVictim(batch []BatchTask, order func(a, b BatchTask) int) string {
	if len(batch) == 0 || slices.ContainsFunc(batch, func(b BatchTask) bool { return b.Evicting }) {
		return ""
	}
	return slices.MinFunc(batch, func(a, b BatchTask) int {
		return cmp.Or(order(a, b), cmp.Compare(a.AllocationID, b.AllocationID))
	}).AllocationID
}

func compareUrgent(a, b BatchTask) int {
	switch {
	case a.Urgent == b.Urgent:
		return 0
	case b.Urgent:
		return -1
	default:
		return 1
	}
}
