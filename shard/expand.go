package shard

import (
	"errors"
	"maps"
	"slices"

	"github.com/quetzalshed/quetzalshed/shard/lifecycle"
	"github.com/quetzalshed/quetzalshed/structs"
)

// ErrIncomplete means that a heartbeat builds on one that this owner doesn't have as its newest. The agent sends a full
// heartbeat next.
var ErrIncomplete = errors.New("shard: heartbeat builds on another one")

// expand completes a heartbeat that leaves out what its base said.
func expand(view *lifecycle.View, hb *structs.Heartbeat) error {
	if hb.Base == 0 {
		return nil
	}
	if view == nil || !view.Current || view.Incarnation != hb.Incarnation || view.Sequence != hb.Base {
		return ErrIncomplete
	}
	hb.Worker = view.Stated
	for _, id := range slices.Sorted(maps.Keys(view.Running)) {
		hb.Running = append(hb.Running, view.Running[id])
	}
	return nil
}

// shorten replaces the list of renewed allocations when it holds all that the heartbeat reported.
func shorten(hb structs.Heartbeat, reply *structs.HeartbeatReply) {
	if len(reply.Keep) > 0 && len(reply.Keep) == len(hb.Running) {
		reply.Keep, reply.KeepAll = nil, true
	}
}
