package requests

import "sync/atomic"

// byteBudget limits the total number of bytes that concurrent requests reserve.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// tryReserve reserves n bytes. It returns false and reserves nothing if the limit would be exceeded.
func (b *byteBudget) tryReserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// fits reports whether n bytes could be reserved now.
func (b *byteBudget) fits(n int64) bool { return b.used.Load()+n <= b.limit }

// release returns n reserved bytes.
func (b *byteBudget) release(n int64) { b.used.Add(-n) }
