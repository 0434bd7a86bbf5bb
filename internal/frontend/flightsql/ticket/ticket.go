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
	Nonce   uint64        // names it among the tickets of a dispatcher's life
	Session string        // that may fetch it
	Lane    string        // transaction; "": none
	Text    string        // statement
	Types   string        // OIDs of its parameters, 4 bytes each
	Bind    []byte        // parameters, as in PostgreSQL's Bind behind its two names
	Until   time.Duration // end of its life
	Once    bool          // it may change data: one fetch runs it
}

// The reasons why a ticket is not fetched.
var (
	ErrForged  = errors.New("the ticket is not one of this dispatcher's")
	ErrSession = errors.New("the ticket belongs to another session")
	ErrOld     = errors.New("the ticket has ended: ask for another; its statement was not run by this fetch")
	ErrFetched = errors.New(
		"the ticket was fetched before, and its statement may have run: it is not run again")
	ErrNoRoom   = errors.New("too many tickets of statements that change data are out")
	errTooShort = fmt.Errorf("%w: it is cut", ErrForged)
)

const version = 1

// Seal signs a ticket.
func Seal(key []byte, t *Ticket) []byte {
	b := []byte{version, 0}
	if t.Once {
		b[1] = 1
	}
	b = binary.BigEndian.AppendUint64(b, t.Nonce)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Until))
	for _, s := range []string{t.Session, t.Lane, t.Text, t.Types, string(t.Bind)} {
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
		return nil, errTooShort
	}
	if !hmac.Equal(sign(key, b[:n]), b[n:]) {
		return nil, ErrForged
	}
	if b[0] != version {
		return nil, fmt.Errorf("%w: version %d", ErrForged, b[0])
	}
	t := &Ticket{Once: b[1] == 1, Nonce: binary.BigEndian.Uint64(b[2:]),
		Until: time.Duration(binary.BigEndian.Uint64(b[10:]))}
	rest := b[18:n]
	var part [5][]byte
	for i := range part {
		size, k := binary.Uvarint(rest)
		if k <= 0 || size > uint64(len(rest)-k) {
			return nil, errTooShort
		}
		part[i], rest = rest[k:k+int(size)], rest[k+int(size):]
	}
	t.Session, t.Lane, t.Text, t.Types = string(part[0]), string(part[1]), string(part[2]), string(part[3])
	if len(part[4]) > 0 {
		t.Bind = append([]byte(nil), part[4]...)
	}
	return t, nil
}

// Book remembers what was fetched. It is for one goroutine at a time.
type Book struct {
	most    int
	fetched map[uint64]*fetch
	ends    []*fetch // in the order of their tickets' ends, as far as that is known: a heap is not needed
}

type fetch struct {
	nonce   uint64
	until   time.Duration
	running bool
}

// NewBook returns a book that remembers up to most fetches.
func NewBook(most int) *Book { return &Book{most: most, fetched: map[uint64]*fetch{}} }

// Fetch decides whether a session's fetch of a ticket runs its statement. A nil error is yes; Done must
// follow. wait is given with ErrNoRoom: when there may be room.
func (b *Book) Fetch(now time.Duration, t *Ticket, session string) (wait time.Duration, err error) {
	b.forget(now)
	switch {
	case t.Session != session:
		return 0, ErrSession
	case now >= t.Until:
		return 0, ErrOld
	case !t.Once:
		return 0, nil
	case b.fetched[t.Nonce] != nil:
		return 0, ErrFetched
	case len(b.fetched) >= b.most:
		// Danger: forgotten before its ticket's end, a fetched statement would run a second time.
		return max(b.next()-now, time.Millisecond), ErrNoRoom
	}
	f := &fetch{nonce: t.Nonce, until: t.Until, running: true}
	b.fetched[t.Nonce] = f
	b.ends = append(b.ends, f)
	return 0, nil
}

// Done tells how a fetch ended. ran: its statement may have run. One that did not may be fetched again.
func (b *Book) Done(t *Ticket, ran bool) {
	f := b.fetched[t.Nonce]
	switch {
	case f == nil:
	case ran:
		f.running = false
	default:
		delete(b.fetched, t.Nonce)
		f.until = 0 // the entry in ends is dropped when next looked at
	}
}

// Len is the number of fetches remembered.
func (b *Book) Len() int { return len(b.fetched) }

// next is the first end of a ticket that is remembered.
func (b *Book) next() time.Duration {
	least := time.Duration(1<<63 - 1)
	for _, f := range b.fetched {
		least = min(least, f.until)
	}
	return least
}

// forget drops fetches whose tickets have ended: they can be fetched no more. Tickets live equally long, so
// that the oldest stands in front; one whose statement runs on past its ticket's end needs no memory either.
func (b *Book) forget(now time.Duration) {
	n := 0
	for n < len(b.ends) && now >= b.ends[n].until {
		if f := b.ends[n]; b.fetched[f.nonce] == f {
			delete(b.fetched, f.nonce)
		}
		n++
	}
	if b.ends = b.ends[n:]; n > 0 && len(b.ends) == 0 {
		b.ends = nil
	}
}
