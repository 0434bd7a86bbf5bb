// Package registry is the book of sessions that are kept on engines, of all fronts together: how many there
// may be, who is told of each, and which are due. It is a shell around the ledger of package pin.
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
	Limits affinity.Limits
	// Changed tells that a session is kept on an engine from here on, or is no more.
	Changed func(engine cresspass.EngineID, kept bool)
	// Persist keeps a kept session for a later life of the dispatcher, and gives it an ID; or forgets it.
	Persist func(s *orphanedsession.Session, kept bool)
}

// Entry is one session's place in the book.
type Entry struct {
	User string
	// Expire is called at the book's pace while the session is kept, to end it where its time has come.
	Expire func(now time.Duration, l affinity.Limits)

	registered bool // under the book's lock, and so are
	session    orphanedsession.Session
	since      time.Duration
}

// Registry holds what is kept. Make one with New; Close ends it.
type Registry struct {
	cfg   Config
	epoch time.Time
	stop  chan struct{}
	done  chan struct{}

	mu      sync.Mutex
	limiter *affinity.Limiter
	entries map[*Entry]struct{}
}

// sweepInterval is the grain of the time limits of sessions.
const sweepInterval = 50 * time.Millisecond

// persistAfter is how long a session is kept before it is noted for a later life. A shorter one is found by
// the name of its connection.
const persistAfter = 50 * time.Millisecond

// New returns an empty book.
func New(cfg Config) *Registry {
	b := &Registry{cfg: cfg, epoch: time.Now(), stop: make(chan struct{}), done: make(chan struct{}),
		limiter: affinity.NewLimiter(cfg.Limits), entries: map[*Entry]struct{}{}}
	go b.sweep()
	return b
}

// Now is the time by which sessions are kept.
func (b *Registry) Now() time.Duration { return time.Since(b.epoch) }

// Close ends the sweeps and waits for them.
func (b *Registry) Close() {
	close(b.stop)
	<-b.done
}

func (b *Registry) sweep() {
	defer close(b.done)
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	var entries []*Entry
	for {
		select {
		case <-b.stop:
			return
		case <-tick.C:
		}
		entries = entries[:0]
		b.mu.Lock()
		for h := range b.entries {
			b.persistIfDue(h)
			entries = append(entries, h)
		}
		b.mu.Unlock()
		for _, h := range entries {
			h.Expire(b.Now(), b.cfg.Limits)
		}
	}
}

// Update enters that a session is kept, or is no more.
func (b *Registry) Update(entry *Entry, registered bool, session orphanedsession.Session) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case registered == entry.registered:
		return
	case registered:
		b.limiter.Add(entry.User)
		entry.session, entry.since = session, b.Now()
		b.entries[entry] = struct{}{}
	default:
		b.limiter.Remove(entry.User)
		delete(b.entries, entry)
	}
	entry.registered = registered
	if f := b.cfg.Changed; f != nil {
		f(cresspass.EngineID(entry.session.Engine), registered)
	}
	if f := b.cfg.Persist; f != nil && !registered && entry.session.ID != 0 {
		f(&entry.session, false)
		entry.session.ID = 0
	}
}

// persistIfDue has a session noted that has been kept for a while. The caller holds the lock.
func (b *Registry) persistIfDue(entry *Entry) {
	if f := b.cfg.Persist; f != nil && entry.session.ID == 0 && b.Now()-entry.since >= persistAfter {
		f(&entry.session, true)
	}
}

// Allow reports whether a session of a user that is not kept yet may come to be, and why not.
func (b *Registry) Allow(user string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limiter.Allow(user)
}

// Total is the number of sessions kept.
func (b *Registry) Total() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limiter.Total()
}
