package runner

import (
	"slices"

	"github.com/quetzalshed/quetzalshed/structs"
)

const (
	// fullEvery is the number of heartbeats after which a full one is sent, which brings the progress up to date.
	fullEvery = 10
	// usageEvery is the number of heartbeats between two usage reports. Usage lags by seconds anyway.
	usageEvery = 5
)

// compactor leaves out of heartbeats what the owner knows from the one before. A worker with nine tasks would otherwise
// send about 5 KB a second, and a shard of 30 workers 150 KB, of the 18 KB that control may use on a node.
type compactor struct {
	// base is the newest heartbeat in full, if it was answered by the present epoch; otherwise its sequence is 0.
	base      structs.Heartbeat
	sinceFull int
}

// compact returns what to send for a full heartbeat.
func (c *compactor) compact(full structs.Heartbeat) structs.Heartbeat {
	wire := full
	if full.Sequence%usageEvery != 0 {
		wire.Usage = nil
	}
	if c.base.Sequence == 0 || c.base.Sequence != full.Sequence-1 || c.sinceFull >= fullEvery || !sameState(c.base, full) {
		c.sinceFull = 0
		wire.Usage = full.Usage
		return wire
	}
	c.sinceFull++
	wire.Base, wire.Running = c.base.Sequence, nil
	wire.Worker = structs.Worker{Name: full.Worker.Name}
	return wire
}

// answered notes the reply to a heartbeat. One that was sent under an earlier epoch proves nothing to the new owner, so
// the next one is full.
func (c *compactor) answered(full structs.Heartbeat, epoch int64) {
	if full.Epoch == epoch {
		c.base = full
	}
}

// failed makes the next heartbeat a full one.
func (c *compactor) failed() { c.base = structs.Heartbeat{} }

// sameState tells whether the owner's copy of the base still holds for the next heartbeat, apart from the progress.
func sameState(base, next structs.Heartbeat) bool {
	return base.Incarnation == next.Incarnation && base.Epoch == next.Epoch && base.Worker == next.Worker &&
		slices.EqualFunc(base.Running, next.Running, func(a, b structs.AllocationState) bool {
			return a.Allocation == b.Allocation && a.State == b.State && a.CheckpointID == b.CheckpointID
		})
}

// kept completes a reply that renews all allocations of the heartbeat.
func kept(full structs.Heartbeat, reply *structs.HeartbeatReply) {
	if !reply.KeepAll {
		return
	}
	for _, running := range full.Running {
		reply.Keep = append(reply.Keep, running.Allocation.ID)
	}
}
