package limit

import (
	"container/heap"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// errReservationReleased reports that the request has ended, so that nobody waits for its response.
var errReservationReleased = errors.New("limit: the request has ended")

// bodyEighths are the parts of the room for bodies of requests that each class may fill, in eighths, by rank. Without
// them, bodies of low priority that are being read would keep all critical requests out until they end.
var bodyEighths = [...]int64{8, 7, 6}

// MemoryBudget bounds the memory that requests in flight hold for their bodies and responses. Bodies of requests take at most
// half of it, less for the less important classes, so that a response of up to the other half always fits once the
// responses before it have been passed on. A body that doesn't fit is refused. A response waits, by priority and then by
// deadline: its request has run already. MemoryBudget is safe for concurrent use.
type MemoryBudget struct {
	limit int64

	mu sync.Mutex
	// bodyBytes is the part of usedBytes that bodyBytes of requests take.
	bodyBytes, usedBytes int64
	waiting      waitQueue
	arrivals      uint64
}

// NewMemoryBudget returns a bound of limit bytes. The limit must be at least twice the largest response.
func NewMemoryBudget(limit int64) *MemoryBudget { return &MemoryBudget{limit: limit} }

// Used returns the bytes that are held.
func (b *MemoryBudget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usedBytes
}

// Waiting returns the number of responses that wait for room.
func (b *MemoryBudget) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// Reservation is what one request holds of the bytes.
type Reservation struct {
	budget    *MemoryBudget
	rank     int
	deadline time.Time

	// These are guarded by the lock of bytes. bodySize is the size of the request's heldBody and headers, heldBody what is held of it.
	bodySize, heldBody, heldResponses int64
	released                bool
}

// NewReservation returns the share of a request whose body and headers take size bytes. Nothing is held yet.
func (b *MemoryBudget) NewReservation(priority structs.Priority, deadline time.Time, size int64) *Reservation {
	return &Reservation{budget: b, rank: priority.Rank(), deadline: deadline, bodySize: size}
}

// fits tells whether the body fits once others have returned freed bytes. The caller holds the lock.
func (s *Reservation) fits(freed int64) bool {
	b := s.budget
	ceiling := b.limit / 2 * bodyEighths[s.rank] / bodyEighths[0]
	return b.bodyBytes-freed+s.bodySize <= ceiling && b.usedBytes-freed+s.bodySize <= b.limit
}

// fitsWithout tells whether the body fits once the given waiting shares have been given up.
func (s *Reservation) fitsWithout(others []*Reservation) bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	freed := int64(0)
	for _, other := range others {
		freed += other.heldBody
	}
	return s.fits(freed)
}

// HoldBody holds the bytes of the body, or returns false when they don't fit.
func (s *Reservation) HoldBody() bool {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.released || !s.fits(0) {
		return false
	}
	s.heldBody = s.bodySize
	b.bodyBytes += s.heldBody
	b.usedBytes += s.heldBody
	return true
}

// ShrinkBody corrects the held size of the body and headers once it is known. It never grows.
func (s *Reservation) ShrinkBody(size int64) {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if surplus := s.heldBody - size; surplus > 0 {
		s.heldBody -= surplus
		b.bodyBytes -= surplus
		b.usedBytes -= surplus
		b.grant()
	}
}

// Hold waits until a response of n bytes fits and holds its bytes until Return or Release. It returns an error, without
// holding anything, when ctx or the request has ended.
func (s *Reservation) Hold(ctx context.Context, n int64) error {
	b := s.budget
	b.mu.Lock()
	if s.released {
		b.mu.Unlock()
		return errReservationReleased
	}
	b.arrivals++
	w := &waiter{
		rank: s.rank, deadline: s.deadline, arrival: b.arrivals, result: make(chan error, 1), reservation: s, responseSize: n,
	}
	heap.Push(&b.waiting, w)
	b.grant()
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
		s.returnLocked(n)
	}
	b.grant()
	return ctx.Err()
}

// grant gives room to waiting responses in their order. The caller holds the lock.
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

// Return gives back n bytes of a response that is of no use.
func (s *Reservation) Return(n int64) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.returnLocked(n)
	s.budget.grant()
}

// returnLocked gives back bytes of a response, unless Release has already done so.
func (s *Reservation) returnLocked(n int64) {
	if s.released {
		return
	}
	s.heldResponses -= n
	s.budget.usedBytes -= n
}

// Release ends the share and gives back all that it holds. Later calls have no effect.
func (s *Reservation) Release() {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	b.bodyBytes -= s.heldBody
	b.usedBytes -= s.heldBody + s.heldResponses
	s.heldBody, s.heldResponses = 0, 0
	b.grant()
}
