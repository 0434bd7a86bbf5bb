package ticket

import (
	"math"
	"time"
)

// FetchLedger remembers which single-use tickets were fetched. It is not safe for concurrent use.
type FetchLedger struct {
	capacity   int
	fetched    map[uint64]*fetch // by nonce
	fetchOrder []*fetch          // in the order of BeginFetch, which is only roughly that of expiry
}

// fetch is a remembered fetch of a single-use ticket.
type fetch struct {
	nonce     uint64
	expiresAt time.Duration
}

// NewFetchLedger returns a ledger that remembers up to capacity fetches.
func NewFetchLedger(capacity int) *FetchLedger {
	return &FetchLedger{capacity: capacity, fetched: map[uint64]*fetch{}}
}

// BeginFetch decides whether a session's fetch of a ticket may run its statement. EndFetch must follow if the
// error is nil. With ErrLedgerFull, retryAfter is the time until there may be capacity.
func (l *FetchLedger) BeginFetch(now time.Duration, t *Ticket, session string) (retryAfter time.Duration,
	err error) {
	l.evictExpired(now)
	switch {
	case t.Session != session:
		return 0, ErrOtherSession
	case now >= t.ExpiresAt:
		return 0, ErrExpired
	case !t.SingleUse:
		return 0, nil
	case l.fetched[t.Nonce] != nil:
		return 0, ErrAlreadyFetched
	case len(l.fetched) >= l.capacity:
		// No older fetch is evicted for this one: its statement would run a second time if its ticket were
		// fetched again before it expires.
		return max(l.earliestExpiry()-now, time.Millisecond), ErrLedgerFull
	}
	f := &fetch{nonce: t.Nonce, expiresAt: t.ExpiresAt}
	l.fetched[t.Nonce] = f
	l.fetchOrder = append(l.fetchOrder, f)
	return 0, nil
}

// EndFetch records how a fetch ended. If mayHaveRun is false, its statement did not run and the ticket may be
// fetched again.
func (l *FetchLedger) EndFetch(t *Ticket, mayHaveRun bool) {
	f := l.fetched[t.Nonce]
	if f == nil || mayHaveRun {
		return
	}
	delete(l.fetched, t.Nonce)
	f.expiresAt = 0 // evictExpired drops it from fetchOrder
}

// Len returns the number of remembered fetches.
func (l *FetchLedger) Len() int { return len(l.fetched) }

// earliestExpiry returns when the first of the remembered tickets expires.
func (l *FetchLedger) earliestExpiry() time.Duration {
	earliest := time.Duration(math.MaxInt64)
	for _, f := range l.fetched {
		earliest = min(earliest, f.expiresAt)
	}
	return earliest
}

// evictExpired forgets fetches whose tickets have expired, as these can no longer be fetched, even if the
// statement still runs. It goes by the order of BeginFetch and stops at the first ticket that has not
// expired. As all tickets have the same lifetime, a fetch is forgotten at most one lifetime after its
// BeginFetch.
func (l *FetchLedger) evictExpired(now time.Duration) {
	n := 0
	for n < len(l.fetchOrder) && now >= l.fetchOrder[n].expiresAt {
		if f := l.fetchOrder[n]; l.fetched[f.nonce] == f {
			delete(l.fetched, f.nonce)
		}
		n++
	}
	if l.fetchOrder = l.fetchOrder[n:]; n > 0 && len(l.fetchOrder) == 0 {
		l.fetchOrder = nil
	}
}
