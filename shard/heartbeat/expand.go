package heartbeat

import (
	"errors"
	"maps"
	"slices"

	"github.com/quetzalshed/quetzalshed/structs"
)

// ErrIncomplete means that a heartbeat builds on one that the owner doesn't have as its newest. The agent sends a
// complete heartbeat next.
var ErrIncomplete = errors.New("heartbeat: builds on another heartbeat")

// Base is the newest heartbeat that an owner has taken from a worker under its own epoch.
type Base struct {
	Incarnation string
	Sequence    int64
	// Worker is what the agent itself says of its worker.
	Worker  structs.Worker
	Running map[string]structs.AllocationState
}

// Expand completes a heartbeat that leaves out what its base said. base is nil when the owner has none. It returns
// ErrIncomplete when the heartbeat builds on another one.
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

// CompactReply replaces the list of renewed allocations when it holds all that the heartbeat reported.
func CompactReply(hb structs.Heartbeat, reply *structs.HeartbeatReply) {
	if len(reply.Keep) > 0 && len(reply.Keep) == len(hb.Running) {
		reply.Keep, reply.KeepAll = nil, true
	}
}
