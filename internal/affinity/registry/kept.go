// Package registry is the book of sessions that are kept on engines, of all fronts together: how many there may
// be, who is told of each, and which are due. It is a shell around the ledger of package pin.
package registry

import (
	"sync"
	"time"

	"cresspass"
	"cresspass/internal/affinity"
	"cresspass/internal/affinity/orphanedsession"
)

// Config is whom the book tells. Its functions must not block.
type Config struct {
	Pins affinity.Limits
	// Kept tells that a session is kept on an engine from here on, or is no more.
	Kept func(engine cresspass.EngineID, kept bool)
	// Note keeps a kept session for a later life of the dispatcher, and gives it an ID; or forgets it.
	Note func(s *orphanedsession.Session, kept bool)
}

// Hold is one session's place in the book.
type Hold struct {
	User string
	// Due is called at the book's pace while the session is kept, to end it where its time has come.
	Due func(now time.Duration, l affinity.Limits)

	kept bool // under the book's lock, and so are
	on   orphanedsession.Session
	at   time.Duration
}

// Book holds what is kept. Make one with New; Close ends it.
type Book struct {
	cfg  Config
	zero time.Time
	stop chan struct{}
	done chan struct{}

	mu     sync.Mutex
	ledger *affinity.Ledger
	holds  map[*Hold]struct{}
}

// sweepEvery is the grain of the time limits of sessions.
const sweepEvery = 50 * time.Millisecond

// noteAfter is how long a session is kept before it is noted for a later life. A shorter one is found by the
// name of its connection.
const noteAfter = 50 * time.Millisecond

// New returns an empty book.
func New(cfg Config) *Book {
	b := &Book{cfg: cfg, zero: time.Now(), stop: make(chan struct{}), done: make(chan struct{}),
		ledger: affinity.NewLedger(cfg.Pins), holds: map[*Hold]struct{}{}}
	go b.sweep()
	return b
}

// Now is the time by which sessions are kept.
func (b *Book) Now() time.Duration { return time.Since(b.zero) }

// Close ends the sweeps and waits for them.
func (b *Book) Close() {
	close(b.stop)
	<-b.done
}

func (b *Book) sweep() {
	defer close(b.done)
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	var held []*Hold
	for {
		select {
		case <-b.stop:
			return
		case <-tick.C:
		}
		held = held[:0]
		b.mu.Lock()
		for h := range b.holds {
			b.note(h)
			held = append(held, h)
		}
		b.mu.Unlock()
		for _, h := range held {
			h.Due(b.Now(), b.cfg.Pins)
		}
	}
}

// Count enters that a session is kept, or is no more.
func (b *Book) Count(h *Hold, kept bool, on orphanedsession.Session) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case kept == h.kept:
		return
	case kept:
		b.ledger.Keep(h.User)
		h.on, h.at = on, b.Now()
		b.holds[h] = struct{}{}
	default:
		b.ledger.Free(h.User)
		delete(b.holds, h)
	}
	h.kept = kept
	if f := b.cfg.Kept; f != nil {
		f(cresspass.EngineID(h.on.Engine), kept)
	}
	if f := b.cfg.Note; f != nil && !kept && h.on.ID != 0 {
		f(&h.on, false)
		h.on.ID = 0
	}
}

// note has a session noted that has been kept for a while. The caller holds the lock.
func (b *Book) note(h *Hold) {
	if f := b.cfg.Note; f != nil && h.on.ID == 0 && b.Now()-h.at >= noteAfter {
		f(&h.on, true)
	}
}

// May reports whether a session of a user that is not kept yet may come to be, and why not.
func (b *Book) May(user string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.May(user)
}

// Total is the number of sessions kept.
func (b *Book) Total() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Total()
}
