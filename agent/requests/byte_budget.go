package requests

import "sync/atomic"

// byteBudget bounds the bytes that concurrent requests hold. Beyond the limit nothing is held.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// tryReserve takes n bytes and tells whether they fit.
func (b *byteBudget) tryReserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// release returns n bytes.
func (b *byteBudget) release(n int64) { b.used.Add(-n) }
