package ingress

import (
	"cmp"
	"slices"
	"time"
)

// evict closes the connections whose bodies have made no progress for longest, until they have released need bytes. It closes none if
// that isn't possible.
func (lim *Limiter) evict(except *conn, need int64, now time.Time) bool {
	lim.mu.Lock()
	var victims []*conn
	freed := int64(0)
	for _, c := range lim.stalled(except, now) {
		if freed >= need {
			break
		}
		victims, freed = append(victims, c.conn), freed+c.held
	}
	enough := freed >= need && need > 0
	if enough {
		for _, c := range victims {
			c.listener.remove(c)
			c.body.reservation.Release()
		}
	}
	lim.mu.Unlock()
	if !enough {
		return false
	}
	for _, c := range victims {
		_ = c.Conn.Close()
		lim.events.record(bodyEvicted, "remote", c.RemoteAddr())
	}
	return true
}

// stalledBody is an incomplete body that may be evicted.
type stalledBody struct {
	conn *conn
	// held is the memory that it holds, in bytes.
	held       int64
	progressAt int64
}

// stalled returns the incomplete bodies that have made no progress for evictionStall, the one with the earliest progress first. The
// caller holds mu.
func (lim *Limiter) stalled(except *conn, now time.Time) []stalledBody {
	latest := now.Add(-evictionStall).UnixNano()
	var found []stalledBody
	for c := lim.bodies.first; c != nil; c = c.links[bodyList].next {
		at, held := c.progressAt.Load(), c.body.reservation.HeldBody()
		if c != except && at < latest && held > 0 {
			found = append(found, stalledBody{c, held, at})
		}
	}
	slices.SortFunc(found, func(a, b stalledBody) int { return cmp.Compare(a.progressAt, b.progressAt) })
	return found
}
