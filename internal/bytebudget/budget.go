// Package bytebudget limits how many bytes a process holds for other parties at the same time. Bytes are
// reserved before they are read or kept, and a reservation that would exceed the limit fails: the caller then
// refuses the work or closes the connection. The package does no I/O, and is safe for concurrent use.
package bytebudget

import (
	"sync"
	"sync/atomic"
)

// Budget is a number of bytes for one kind of use.
type Budget struct {
	limit int64

	mu      sync.Mutex // guards the fields below
	used    int64
	refused uint64
}

// New returns a budget of so many bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// TryReserve reserves bytes and reports whether there was room for them. Release must return them.
func (b *Budget) TryReserve(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes > b.limit-b.used {
		b.refused++
		return false
	}
	b.used += bytes
	return true
}

// Reserve reserves bytes even if there is no room for them, for what has to be kept. Release must return
// them.
func (b *Budget) Reserve(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += bytes
}

// Release returns reserved bytes.
func (b *Budget) Release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
}

// Stats returns how many bytes are reserved, and how many reservations failed since the start.
func (b *Budget) Stats() (used int64, refused uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.refused
}

// Reservation is a number of reserved bytes with several holders. The last holder returns the bytes. A nil
// Reservation holds nothing.
type Reservation struct {
	budget  *Budget
	bytes   int64
	holders atomic.Int32
}

// Reservation makes reserved bytes of the budget a Reservation with one holder. It must not be called twice
// for the same bytes.
func (b *Budget) Reservation(bytes int64) *Reservation {
	r := &Reservation{budget: b, bytes: bytes}
	r.holders.Store(1)
	return r
}

// Retain adds a holder. There must be a holder that does not release the bytes during the call.
func (r *Reservation) Retain() {
	if r != nil {
		r.holders.Add(1)
	}
}

// Release removes a holder.
func (r *Reservation) Release() {
	if r != nil && r.holders.Add(-1) == 0 {
		r.budget.Release(r.bytes)
	}
}
