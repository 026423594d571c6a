package limit

import (
	"container/heap"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// errReservationReleased reports that the request has ended, so its response is no longer needed.
var errReservationReleased = errors.New("limit: the request has ended")

// bodyEighths is the share of the memory for request bodies that each priority may fill, in eighths and indexed by rank.
// Without these limits, low-priority bodies that are being read would block all critical requests until they complete.
var bodyEighths = [...]int64{8, 7, 6}

// smallSize is the size up to which headers and body of a request, or a part of its response, may use the memory of ReserveForSmall.
const smallSize = 16 << 10

// MemoryBudget bounds the memory that requests in flight hold for their bodies and responses. Request bodies use at most
// half of it, and lower priorities less (see bodyEighths), so that a response of up to the other half always fits once
// earlier responses have been sent. A body that doesn't fit is refused. A response waits instead, ordered by priority and
// then by deadline, because its request has already run. MemoryBudget is safe for concurrent use.
type MemoryBudget struct {
	limit int64

	mu sync.Mutex
	// bodyBytes is the part of usedBytes that is held for request bodies.
	bodyBytes, usedBytes int64
	waiting              waitQueue
	arrivals             uint64
	// smallLimit is the memory for small bodies and responses beyond limit, and smallBytes is how much of it is held.
	smallLimit, smallBytes int64
}

// NewMemoryBudget returns a budget of limit bytes. The limit must be at least twice the largest response.
func NewMemoryBudget(limit int64) *MemoryBudget { return &MemoryBudget{limit: limit} }

// ReserveForSmall adds memory that only small bodies and responses may use, and only once they don't fit otherwise: large ones may be
// held for as long as an upstream doesn't answer or a caller doesn't read, and would keep out all other requests. It must be called
// before the first reservation.
func (b *MemoryBudget) ReserveForSmall(bytes int64) { b.smallLimit = bytes }

// Used returns the number of bytes that are held.
func (b *MemoryBudget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usedBytes + b.smallBytes
}

// Waiting returns the number of responses that wait for memory.
func (b *MemoryBudget) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// Reservation is the memory that one request holds in a MemoryBudget.
type Reservation struct {
	budget   *MemoryBudget
	deadline time.Time

	// The fields below are guarded by budget.mu. bodySize is the size of the request's body and headers; heldBody is how
	// much of it is held.
	rank                              int
	bodySize, heldBody, heldResponses int64
	released                          bool
	// usesReserve is set if the body is held in the memory for small ones, and smallResponses is how much is held there for
	// responses.
	usesReserve    bool
	smallResponses int64
}

// NewReservation returns a reservation for a request whose body and headers take size bytes. It holds nothing yet.
func (b *MemoryBudget) NewReservation(priority structs.Priority, deadline time.Time, size int64) *Reservation {
	return &Reservation{budget: b, rank: priority.Rank(), deadline: deadline, bodySize: size}
}

// ceiling returns the number of bytes that bodies may hold in total when one of a rank is added.
func (b *MemoryBudget) ceiling(rank int) int64 {
	return b.limit / 2 * bodyEighths[rank] / bodyEighths[0]
}

// shortfall returns how many bytes must be freed before n more bytes of a body fit; 0 or less if they fit. The caller holds mu.
func (b *MemoryBudget) shortfall(rank int, n int64) int64 {
	return max(b.bodyBytes+n-b.ceiling(rank), b.usedBytes+n-b.limit)
}

// fits reports whether the body fits once other requests have returned freed bytes. The caller holds budget.mu.
func (r *Reservation) fits(freed int64) bool { return r.budget.shortfall(r.rank, r.bodySize) <= freed }

// fitsReserve reports whether n more bytes fit into the memory for small bodies and responses, of which lower priorities get smaller
// shares as well. The caller holds budget.mu.
func (r *Reservation) fitsReserve(n int64) bool {
	share := r.budget.smallLimit * bodyEighths[r.rank] / bodyEighths[0]
	return share > 0 && n <= smallSize && r.budget.smallBytes+n <= share
}

// fitsWithout reports whether the body would fit if the given reservations of waiting requests were released.
func (r *Reservation) fitsWithout(others []*Reservation) bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	freed := int64(0)
	for _, other := range others {
		if !other.usesReserve {
			freed += other.heldBody
		}
	}
	return r.fits(freed) || r.fitsReserve(r.bodySize)
}

// HoldBody holds memory for the body, or returns false if it doesn't fit.
func (r *Reservation) HoldBody() bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.released {
		return false
	}
	if !r.fits(0) {
		if !r.fitsReserve(r.bodySize) {
			return false
		}
		r.usesReserve = true
	}
	r.addBody(r.bodySize)
	return true
}

// addBody changes the memory that is held for the body by n bytes. The caller holds budget.mu.
func (r *Reservation) addBody(n int64) {
	r.heldBody += n
	if r.usesReserve {
		r.budget.smallBytes += n
		return
	}
	r.budget.bodyBytes += n
	r.budget.usedBytes += n
}

// GrowBody holds n more bytes for a body whose size isn't known in advance, or for what decoding it allocates. The body has the
// given priority from now on. If the bytes don't fit, GrowBody holds nothing more and returns how many bytes other bodies would
// have to release first, or false and 0 after Release.
func (r *Reservation) GrowBody(n int64, priority structs.Priority) (ok bool, shortfall int64) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.released {
		return false, 0
	}
	r.rank = priority.Rank()
	if shortfall := b.shortfall(r.rank, n); shortfall > 0 {
		return false, shortfall
	}
	r.bodySize += n
	r.addBody(n)
	return true, 0
}

// HeldBody returns the number of bytes that are held for the body.
func (r *Reservation) HeldBody() int64 {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.heldBody
}

// ShrinkBody reduces the memory held for the body and headers to their actual size. It never increases it.
func (r *Reservation) ShrinkBody(size int64) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if surplus := r.heldBody - size; surplus > 0 {
		r.addBody(-surplus)
		b.grant()
	}
}

// Hold waits until a response of n bytes fits and holds memory for it until Return or Release. It returns an error, and
// holds nothing, if ctx or the request ends first.
func (r *Reservation) Hold(ctx context.Context, n int64) error {
	b := r.budget
	b.mu.Lock()
	if r.released {
		b.mu.Unlock()
		return errReservationReleased
	}
	b.arrivals++
	w := &waiter{
		rank: r.rank, deadline: r.deadline, arrival: b.arrivals, result: make(chan error, 1), reservation: r, responseSize: n,
	}
	heap.Push(&b.waiting, w)
	b.grant()
	if w.index >= 0 && r.fitsReserve(n) {
		heap.Remove(&b.waiting, w.index)
		r.smallResponses += n
		b.smallBytes += n
		b.mu.Unlock()
		return nil
	}
	b.mu.Unlock()
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&b.waiting, w.index)
	} else if err := <-w.result; err == nil {
		r.returnLocked(n)
	}
	b.grant()
	return ctx.Err()
}

// grant gives memory to waiting responses in order, up to the first that doesn't fit. The caller holds mu.
func (b *MemoryBudget) grant() {
	for len(b.waiting) > 0 {
		w := b.waiting[0]
		if !w.reservation.released && b.usedBytes+w.responseSize > b.limit {
			return
		}
		heap.Pop(&b.waiting)
		if w.reservation.released {
			w.result <- errReservationReleased
			continue
		}
		b.usedBytes += w.responseSize
		w.reservation.heldResponses += w.responseSize
		w.result <- nil
	}
}

// Return releases n bytes held for a response that won't be used.
func (r *Reservation) Return(n int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.returnLocked(n)
	r.budget.grant()
}

// returnLocked releases n bytes held for a response, unless Release has already done so.
func (r *Reservation) returnLocked(n int64) {
	if r.released {
		return
	}
	small := min(n, r.smallResponses)
	r.smallResponses -= small
	r.budget.smallBytes -= small
	r.heldResponses -= n - small
	r.budget.usedBytes -= n - small
}

// Release ends the reservation and frees everything it holds. Later calls have no effect.
func (r *Reservation) Release() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	r.addBody(-r.heldBody)
	b.usedBytes -= r.heldResponses
	b.smallBytes -= r.smallResponses
	r.heldResponses, r.smallResponses = 0, 0
	b.grant()
}
