package heartbeat

import (
	"errors"
	"maps"
	"slices"

	"github.com/quetzalshed/quetzalshed/structs"
)

// ErrIncomplete means that a heartbeat is based on one that isn't the newest that the owner has. The agent then sends a
// complete heartbeat.
var ErrIncomplete = errors.New("heartbeat: builds on another heartbeat")

// Base is the newest heartbeat that an owner has accepted from a worker under its own epoch.
type Base struct {
	Incarnation string
	Sequence    int64
	// Worker is the worker's description as its agent reported it.
	Worker  structs.Worker
	Running map[string]structs.AllocationState
}

// Expand restores the fields that a heartbeat omits relative to its base. base is nil if the owner has none. It returns
// ErrIncomplete if the heartbeat is relative to another base.
func Expand(base *Base, hb *structs.Heartbeat) error {
	if hb.Base == 0 {
		return nil
	}
	if base == nil || base.Incarnation != hb.Incarnation || base.Sequence != hb.Base {
		return ErrIncomplete
	}
	running := maps.Clone(base.Running)
	for _, id := range hb.Gone {
		delete(running, id)
	}
	for _, changed := range hb.Running {
		id := changed.Allocation.ID
		if known, ok := base.Running[id]; ok && changed.Allocation == (structs.Allocation{ID: id}) {
			changed.Allocation = known.Allocation
		}
		running[id] = changed
	}
	hb.Worker, hb.Running, hb.Gone = base.Worker, nil, nil
	for _, id := range slices.Sorted(maps.Keys(running)) {
		hb.Running = append(hb.Running, running[id])
	}
	return nil
}

// CompactReply replaces the list of renewed allocations by a flag if it contains all allocations of the heartbeat.
func CompactReply(hb structs.Heartbeat, reply *structs.HeartbeatReply) {
	if len(reply.Keep) > 0 && len(reply.Keep) == len(hb.Running) {
		reply.Keep, reply.KeepAll = nil, true
	}
}
