// Package heartbeat implements delta encoding of heartbeats: an agent omits what the owner knows from the directly
// preceding heartbeat, and the owner restores it.
package heartbeat

import (
	"github.com/quetzalshed/quetzalshed/structs"
)

const (
	// fullInterval is the number of delta heartbeats between two complete ones. A complete heartbeat also updates the
	// progress of all allocations.
	fullInterval = 10
	// usageInterval is the number of heartbeats between two usage reports. Usage measurements lag by seconds anyway.
	usageInterval = 5
)

// Compactor encodes heartbeats as differences to the preceding one. Repeating all allocations each second would use up
// the 18 KB/s that control traffic may use on the owner's node. The zero value is ready to use.
type Compactor struct {
	// base is the newest heartbeat in complete form if it was answered under the current epoch; otherwise its sequence
	// is 0.
	base      structs.Heartbeat
	sinceFull int
}

// Compact returns the message to send for a complete heartbeat. Until Acknowledge is called for it, the next message is
// sent in full.
func (c *Compactor) Compact(full structs.Heartbeat) structs.Heartbeat {
	base := c.base
	c.base = structs.Heartbeat{}
	message := full
	if base.Sequence == 0 || base.Sequence != full.Sequence-1 || c.sinceFull >= fullInterval || !sameSession(base, full) {
		c.sinceFull = 0
		return message
	}
	c.sinceFull++
	if full.Sequence%usageInterval != 0 {
		message.Usage = nil
	}
	message.Base = base.Sequence
	message.Worker = structs.Worker{Name: full.Worker.Name}
	message.Running, message.Gone = difference(base.Running, full.Running)
	return message
}

// Acknowledge records the reply to a heartbeat. A new owner has no base for a heartbeat that was sent under an earlier
// epoch, so the next one is sent in full.
func (c *Compactor) Acknowledge(full structs.Heartbeat, epoch int64) {
	if full.Epoch == epoch {
		c.base = full
	}
}

func sameSession(base, next structs.Heartbeat) bool {
	return base.Incarnation == next.Incarnation && base.Epoch == next.Epoch && base.Worker == next.Worker
}

// difference returns the allocations that are new or have changed other than in progress, and the IDs of those that are
// gone. For a changed allocation only the ID is repeated, since its specification never changes.
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

// ExpandReply restores the list of renewed allocations in a reply that renews all allocations of the heartbeat.
func ExpandReply(full structs.Heartbeat, reply *structs.HeartbeatReply) {
	if !reply.KeepAll {
		return
	}
	for _, running := range full.Running {
		reply.Keep = append(reply.Keep, running.Allocation.ID)
	}
}
