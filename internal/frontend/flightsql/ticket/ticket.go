// Package ticket decides what a Flight ticket is and what its fetching may do. A ticket carries its
// statement, signed, so that one never fetched costs nothing; what is remembered is the fetches of statements
// that may change data, until their tickets have ended. It does no I/O and reads no clock.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// Ticket is what a client is given to fetch a statement's rows with.
type Ticket struct {
	Nonce          uint64        // names it among the tickets of a dispatcher's life
	Session        string        // that may fetch it
	Transaction    string        // transaction; "": none
	Text           string        // statement
	ParameterTypes string        // OIDs of its parameters, 4 bytes each
	BindBody       []byte        // parameters, as in PostgreSQL's Bind behind its two names
	ExpiresAt      time.Duration // end of its life
	SingleUse      bool          // it may change data: one fetch runs it
}

// The reasons why a ticket is not fetched.
var (
	ErrForged       = errors.New("the ticket is not one of this dispatcher's")
	ErrOtherSession = errors.New("the ticket belongs to another session")
	ErrExpired      = errors.New(
		"the ticket has ended: ask for another; its statement was not run by this fetch",
	)
	ErrAlreadyFetched = errors.New(
		"the ticket was fetched before, and its statement may have run: it is not run again")
	ErrLedgerFull = errors.New("too many tickets of statements that change data are out")
	errTruncated  = fmt.Errorf("%w: it is cut", ErrForged)
)

const formatVersion = 1

// Seal signs a ticket.
func Seal(key []byte, t *Ticket) []byte {
	b := []byte{formatVersion, 0}
	if t.SingleUse {
		b[1] = 1
	}
	b = binary.BigEndian.AppendUint64(b, t.Nonce)
	b = binary.BigEndian.AppendUint64(b, uint64(t.ExpiresAt))
	for _, s := range []string{t.Session, t.Transaction, t.Text, t.ParameterTypes, string(t.BindBody)} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	return append(b, sign(key, b)...)
}

func sign(key, b []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write(b)
	return m.Sum(nil)
}

// Open reads a ticket that Seal made with the key; any other is ErrForged.
func Open(key, b []byte) (*Ticket, error) {
	n := len(b) - sha256.Size
	if n < 18 {
		return nil, errTruncated
	}
	if !hmac.Equal(sign(key, b[:n]), b[n:]) {
		return nil, ErrForged
	}
	if b[0] != formatVersion {
		return nil, fmt.Errorf("%w: version %d", ErrForged, b[0])
	}
	t := &Ticket{SingleUse: b[1] == 1, Nonce: binary.BigEndian.Uint64(b[2:]),
		ExpiresAt: time.Duration(binary.BigEndian.Uint64(b[10:]))}
	rest := b[18:n]
	var part [5][]byte
	for i := range part {
		size, k := binary.Uvarint(rest)
		if k <= 0 || size > uint64(len(rest)-k) {
			return nil, errTruncated
		}
		part[i], rest = rest[k:k+int(size)], rest[k+int(size):]
	}
	t.Session, t.Transaction, t.Text, t.ParameterTypes = string(
		part[0],
	), string(
		part[1],
	), string(
		part[2],
	), string(
		part[3],
	)
	if len(part[4]) > 0 {
		t.BindBody = append([]byte(nil), part[4]...)
	}
	return t, nil
}

// FetchLedger remembers what was fetched. It is for one goroutine at a time.
type FetchLedger struct {
	capacity int
	fetched  map[uint64]*fetch
	byExpiry []*fetch // in the order of their tickets' ends, as far as that is known: a heap is not needed
}

type fetch struct {
	nonce     uint64
	expiresAt time.Duration
	running   bool
}

// NewFetchLedger returns a book that remembers up to most fetches.
func NewFetchLedger(capacity int) *FetchLedger {
	return &FetchLedger{capacity: capacity, fetched: map[uint64]*fetch{}}
}

// BeginFetch decides whether a session's fetch of a ticket runs its statement. A nil error is yes; Done must
// follow. wait is given with ErrLedgerFull: when there may be room.
func (b *FetchLedger) BeginFetch(
	now time.Duration,
	t *Ticket,
	session string,
) (wait time.Duration, err error) {
	b.evictExpired(now)
	switch {
	case t.Session != session:
		return 0, ErrOtherSession
	case now >= t.ExpiresAt:
		return 0, ErrExpired
	case !t.SingleUse:
		return 0, nil
	case b.fetched[t.Nonce] != nil:
		return 0, ErrAlreadyFetched
	case len(b.fetched) >= b.capacity:
		// Danger: forgotten before its ticket's end, a fetched statement would run a second time.
		return max(b.earliestExpiry()-now, time.Millisecond), ErrLedgerFull
	}
	f := &fetch{nonce: t.Nonce, expiresAt: t.ExpiresAt, running: true}
	b.fetched[t.Nonce] = f
	b.byExpiry = append(b.byExpiry, f)
	return 0, nil
}

// EndFetch tells how a fetch ended. ran: its statement may have run. One that did not may be fetched again.
func (b *FetchLedger) EndFetch(t *Ticket, ran bool) {
	f := b.fetched[t.Nonce]
	switch {
	case f == nil:
	case ran:
		f.running = false
	default:
		delete(b.fetched, t.Nonce)
		f.expiresAt = 0 // the entry in ends is dropped when next looked at
	}
}

// Len is the number of fetches remembered.
func (b *FetchLedger) Len() int { return len(b.fetched) }

// earliestExpiry is the first end of a ticket that is remembered.
func (b *FetchLedger) earliestExpiry() time.Duration {
	least := time.Duration(1<<63 - 1)
	for _, f := range b.fetched {
		least = min(least, f.expiresAt)
	}
	return least
}

// evictExpired drops fetches whose tickets have ended: they can be fetched no more. Tickets live equally
// long, so that the oldest stands in front; one whose statement runs on past its ticket's end needs no
// memory either.
func (b *FetchLedger) evictExpired(now time.Duration) {
	n := 0
	for n < len(b.byExpiry) && now >= b.byExpiry[n].expiresAt {
		if f := b.byExpiry[n]; b.fetched[f.nonce] == f {
			delete(b.fetched, f.nonce)
		}
		n++
	}
	if b.byExpiry = b.byExpiry[n:]; n > 0 && len(b.byExpiry) == 0 {
		b.byExpiry = nil
	}
}
