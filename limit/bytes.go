package limit

import (
	"container/heap"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// errShareReleased reports that the request has ended, so that nobody waits for its response.
var errShareReleased = errors.New("limit: the request has ended")

// bodyShares are the parts of the room for bodies of requests that each class may fill, in eighths, by rank. Without
// them, bodies of low priority that are being read would keep all critical requests out until they end.
var bodyShares = [...]int64{8, 7, 6}

// Bytes bounds the memory that requests in flight hold for their bodies and responses. Bodies of requests take at most
// half of it, less for the less important classes, so that a response of up to the other half always fits once the
// responses before it have been passed on. A body that doesn't fit is refused. A response waits, by priority and then by
// deadline: its request has run already. Bytes is safe for concurrent use.
type Bytes struct {
	limit int64

	mu sync.Mutex
	// bodies is the part of used that bodies of requests take.
	bodies, used int64
	waiting      waitQueue
	arrival      uint64
}

// NewBytes returns a bound of limit bytes. The limit must be at least twice the largest response.
func NewBytes(limit int64) *Bytes { return &Bytes{limit: limit} }

// Used returns the bytes that are held.
func (b *Bytes) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Waiting returns the number of responses that wait for room.
func (b *Bytes) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// Share is what one request holds of the bytes.
type Share struct {
	bytes    *Bytes
	rank     int
	deadline time.Time

	// These are guarded by the lock of bytes. want is the size of the request's body and headers, body what is held of it.
	want, body, responses int64
	closed                bool
}

// Share returns the share of a request whose body and headers take size bytes. Nothing is held yet.
func (b *Bytes) Share(priority structs.Priority, deadline time.Time, size int64) *Share {
	return &Share{bytes: b, rank: priority.Rank(), deadline: deadline, want: size}
}

// fits tells whether the body fits once others have returned freed bytes. The caller holds the lock.
func (s *Share) fits(freed int64) bool {
	b := s.bytes
	ceiling := b.limit / 2 * bodyShares[s.rank] / bodyShares[0]
	return b.bodies-freed+s.want <= ceiling && b.used-freed+s.want <= b.limit
}

// canHold tells whether the body fits once the given waiting shares have been given up.
func (s *Share) canHold(without []*Share) bool {
	s.bytes.mu.Lock()
	defer s.bytes.mu.Unlock()
	freed := int64(0)
	for _, other := range without {
		freed += other.body
	}
	return s.fits(freed)
}

// HoldBody holds the bytes of the body, or returns false when they don't fit.
func (s *Share) HoldBody() bool {
	b := s.bytes
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.closed || !s.fits(0) {
		return false
	}
	s.body = s.want
	b.bodies += s.body
	b.used += s.body
	return true
}

// Settle corrects the held size of the body and headers once it is known. It never grows.
func (s *Share) Settle(size int64) {
	b := s.bytes
	b.mu.Lock()
	defer b.mu.Unlock()
	if surplus := s.body - size; surplus > 0 {
		s.body -= surplus
		b.bodies -= surplus
		b.used -= surplus
		b.grant()
	}
}

// Hold waits until a response of n bytes fits and holds its bytes until Return or Release. It returns an error, without
// holding anything, when ctx or the request has ended.
func (s *Share) Hold(ctx context.Context, n int64) error {
	b := s.bytes
	b.mu.Lock()
	if s.closed {
		b.mu.Unlock()
		return errShareReleased
	}
	b.arrival++
	w := &inFlightWaiter{
		rank: s.rank, deadline: s.deadline, arrival: b.arrival, verdict: make(chan error, 1), share: s, response: n,
	}
	heap.Push(&b.waiting, w)
	b.grant()
	b.mu.Unlock()
	select {
	case err := <-w.verdict:
		return err
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&b.waiting, w.index)
	} else if err := <-w.verdict; err == nil {
		s.returnLocked(n)
	}
	b.grant()
	return ctx.Err()
}

// grant gives room to waiting responses in their order. The caller holds the lock.
func (b *Bytes) grant() {
	for len(b.waiting) > 0 {
		w := b.waiting[0]
		if !w.share.closed && b.used+w.response > b.limit {
			return
		}
		heap.Pop(&b.waiting)
		if w.share.closed {
			w.verdict <- errShareReleased
			continue
		}
		b.used += w.response
		w.share.responses += w.response
		w.verdict <- nil
	}
}

// Return gives back n bytes of a response that is of no use.
func (s *Share) Return(n int64) {
	s.bytes.mu.Lock()
	defer s.bytes.mu.Unlock()
	s.returnLocked(n)
	s.bytes.grant()
}

// returnLocked gives back bytes of a response, unless Release has already done so.
func (s *Share) returnLocked(n int64) {
	if s.closed {
		return
	}
	s.responses -= n
	s.bytes.used -= n
}

// Release ends the share and gives back all that it holds. Later calls have no effect.
func (s *Share) Release() {
	b := s.bytes
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	b.bodies -= s.body
	b.used -= s.body + s.responses
	s.body, s.responses = 0, 0
	b.grant()
}
