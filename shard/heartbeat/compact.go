// Package heartbeat keeps heartbeats small: an agent leaves out what the owner knows from the heartbeat directly before,
// and the owner completes it.
package heartbeat

import (
	"github.com/quetzalshed/quetzalshed/structs"
)

const (
	// fullInterval is the number of heartbeats after which a complete one is sent, which brings the progress up to date.
	fullInterval = 10
	// usageInterval is the number of heartbeats between two usage reports. Usage lags by seconds anyway.
	usageInterval = 5
)

// Compactor leaves out of heartbeats what the owner knows from the one before. Repeating all
// allocations each second would use up the 18 KB/s that control may use on the owner's node. Its zero value is ready to use.
type Compactor struct {
	// base is the newest heartbeat, complete, if it was answered by the present epoch; otherwise its sequence is 0.
	base      structs.Heartbeat
	sinceFull int
}

// Compact returns what to send for a complete heartbeat. Until Answered is called for it, the next one is sent in full.
func (c *Compactor) Compact(full structs.Heartbeat) structs.Heartbeat {
	base := c.base
	c.base = structs.Heartbeat{}
	wire := full
	if base.Sequence == 0 || base.Sequence != full.Sequence-1 || c.sinceFull >= fullInterval || !sameSession(base, full) {
		c.sinceFull = 0
		return wire
	}
	c.sinceFull++
	if full.Sequence%usageInterval != 0 {
		wire.Usage = nil
	}
	wire.Base = base.Sequence
	wire.Worker = structs.Worker{Name: full.Worker.Name}
	wire.Running, wire.Gone = difference(base.Running, full.Running)
	return wire
}

// Acknowledge notes the reply to a heartbeat. One that was sent under an earlier epoch proves nothing to the new owner, so
// the next one is complete.
func (c *Compactor) Acknowledge(full structs.Heartbeat, epoch int64) {
	if full.Epoch == epoch {
		c.base = full
	}
}

func sameSession(base, next structs.Heartbeat) bool {
	return base.Incarnation == next.Incarnation && base.Epoch == next.Epoch && base.Worker == next.Worker
}

// difference returns the allocations that are new or have changed apart from their progress, and those that are gone.
// Of a changed one only the ID is repeated, since an allocation itself never changes.
func difference(before, after []structs.AllocationState) (changed []structs.AllocationState, gone []string) {
	known := make(map[string]structs.AllocationState, len(before))
	for _, running := range before {
		known[running.Allocation.ID] = running
	}
	for _, running := range after {
		old, exists := known[running.Allocation.ID]
		delete(known, running.Allocation.ID)
		switch {
		case !exists || old.Allocation != running.Allocation:
			changed = append(changed, running)
		case old.State != running.State || old.CheckpointID != running.CheckpointID:
			running.Allocation = structs.Allocation{ID: running.Allocation.ID}
			changed = append(changed, running)
		}
	}
	for _, running := range before {
		if _, left := known[running.Allocation.ID]; left {
			gone = append(gone, running.Allocation.ID)
		}
	}
	return changed, gone
}

// ExpandReply completes a reply that renews all allocations of the heartbeat.
func ExpandReply(full structs.Heartbeat, reply *structs.HeartbeatReply) {
	if !reply.KeepAll {
		return
	}
	for _, running := range full.Running {
		reply.Keep = append(reply.Keep, running.Allocation.ID)
	}
}
