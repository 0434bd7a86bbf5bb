package response

import "sync/atomic"

// BufferBudget bounds the bytes that all responses together hold back. The zero value allows nothing.
type BufferBudget struct {
	MaxBytes int64
	used     atomic.Int64
}

// Used returns the number of bytes held back now.
func (b *BufferBudget) Used() int64 { return b.used.Load() }

// reserve takes n bytes from the budget, if there are as many left.
func (b *BufferBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) > b.MaxBytes {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

// release gives back n reserved bytes.
func (b *BufferBudget) release(n int) { b.used.Add(-int64(n)) }
