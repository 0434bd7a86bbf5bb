// Package bytebudget limits how many bytes a process holds for other parties at the same time. Bytes are
// reserved before they are read or kept, and a reservation that would exceed the limit fails: the caller then
// refuses the work or closes the connection. The package does no I/O, and is safe for concurrent use.
package bytebudget

import (
	"sync"
	"sync/atomic"
)

// Budget is a number of bytes that several accounts share.
type Budget struct {
	capacity int64

	mu   sync.Mutex // guards used, and the fields of the accounts
	used int64
}

// New returns a budget of so many bytes.
func New(capacity int64) *Budget { return &Budget{capacity: capacity} }

// Used returns how many bytes are reserved in all accounts.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Account is one kind of use of a budget. An account with a lower ceiling leaves the rest of the budget to
// the others: a reservation succeeds only if all accounts together then hold no more than its ceiling.
type Account struct {
	budget  *Budget
	ceiling int64
	used    int64
	refused uint64
}

// Account returns a new account whose ceiling is a share of the capacity, above 0 and at most 1.
func (b *Budget) Account(share float64) *Account {
	return &Account{budget: b, ceiling: int64(share * float64(b.capacity))}
}

// TryReserve reserves bytes and reports whether there was room for them. Release must return them.
func (a *Account) TryReserve(bytes int64) bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if bytes > a.ceiling-a.budget.used {
		a.refused++
		return false
	}
	a.budget.used += bytes
	a.used += bytes
	return true
}

// Release returns reserved bytes.
func (a *Account) Release(bytes int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.used -= bytes
	a.used -= bytes
}

// Stats returns how many bytes the account has reserved, and how many reservations failed since its start.
func (a *Account) Stats() (used int64, refused uint64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.used, a.refused
}

// Reservation is a number of reserved bytes with several holders. The last holder returns the bytes. A nil
// Reservation holds nothing.
type Reservation struct {
	account *Account
	bytes   int64
	holders atomic.Int32
}

// Reservation makes reserved bytes of the account a Reservation with one holder. It must not be called twice
// for the same bytes.
func (a *Account) Reservation(bytes int64) *Reservation {
	r := &Reservation{account: a, bytes: bytes}
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
		r.account.Release(r.bytes)
	}
}
