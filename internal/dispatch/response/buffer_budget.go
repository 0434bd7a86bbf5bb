package response

import "sync/atomic"

// BufferBudget limits the total number of bytes that several responses buffer. The zero value allows none. It
// is safe for concurrent use.
type BufferBudget struct {
	MaxBytes int64 // must not change once responses use the budget
	used     atomic.Int64
}

// Used returns the number of bytes that are buffered now.
func (b *BufferBudget) Used() int64 { return b.used.Load() }

// reserve takes n bytes from the budget. It returns false and takes none if fewer than n are left.
func (b *BufferBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) > b.MaxBytes {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

// release returns n reserved bytes to the budget.
func (b *BufferBudget) release(n int) { b.used.Add(-int64(n)) }
