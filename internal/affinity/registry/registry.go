// Package registry holds the sticky sessions of all frontends together: how many there are, who is told of
// each, and which are due to end. It owns the lock and the clock around the limiter of package affinity;
// what makes a session sticky, and what ends it, is decided there.
package registry

import (
	"sync"
	"time"

	"cresspass"
	"cresspass/internal/affinity"
	"cresspass/internal/affinity/orphanedsession"
)

// Config says whom the registry tells. Its functions are called under the registry's lock and must not
// block.
type Config struct {
	Limits affinity.Limits
	// Changed tells that a session has become sticky on an engine, or no longer is.
	Changed func(engine cresspass.EngineID, sticky bool)
	// Persist records a sticky session for the next incarnation of the dispatcher, and gives it an ID; or
	// removes the record.
	Persist func(s *orphanedsession.Session, sticky bool)
}

// Entry is one session's place in the registry. The frontend that owns the session sets the exported fields
// before its first Update.
type Entry struct {
	User string
	// Expire is called every sweepInterval while the session is sticky, to end it where a limit is reached.
	// It is called without the registry's lock, also once after an Update that says that the session is
	// sticky no more.
	Expire func(now time.Duration, l affinity.Limits)

	// Guarded by the registry's lock.
	registered bool
	session    orphanedsession.Session
	since      time.Duration // valid while registered
}

// Registry holds the sticky sessions. Make one with New; Close ends it.
type Registry struct {
	cfg   Config
	epoch time.Time
	stop  chan struct{}
	done  chan struct{}

	mu      sync.Mutex
	limiter *affinity.Limiter
	entries map[*Entry]struct{}
}

// sweepInterval is how often the time limits of sessions are checked.
const sweepInterval = 50 * time.Millisecond

// persistAfter is how long a session is sticky before it is recorded for the next incarnation. A shorter
// one is found by the name of its connection.
const persistAfter = 50 * time.Millisecond

// New returns an empty registry and starts its sweeps.
func New(cfg Config) *Registry {
	r := &Registry{
		cfg:     cfg,
		epoch:   time.Now(),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		limiter: affinity.NewLimiter(cfg.Limits),
		entries: map[*Entry]struct{}{},
	}
	go r.sweep()
	return r
}

// Now is the time on the registry's clock, which the limits of sessions go by.
func (r *Registry) Now() time.Duration { return time.Since(r.epoch) }

// Close ends the sweeps and waits for them.
func (r *Registry) Close() {
	close(r.stop)
	<-r.done
}

// sweep persists and expires the sessions whose time has come, until Close.
func (r *Registry) sweep() {
	defer close(r.done)
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	var entries []*Entry // reused from sweep to sweep
	for {
		select {
		case <-r.stop:
			return
		case <-tick.C:
		}
		entries = entries[:0]
		r.mu.Lock()
		for entry := range r.entries {
			r.persistIfDue(entry)
			entries = append(entries, entry)
		}
		r.mu.Unlock()
		for _, entry := range entries {
			entry.Expire(r.Now(), r.cfg.Limits)
		}
	}
}

// Update registers a session that is sticky on an engine connection, or removes it. An Update that changes
// nothing is allowed.
func (r *Registry) Update(entry *Entry, sticky bool, session orphanedsession.Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sticky == entry.registered {
		return
	}
	if sticky {
		r.limiter.Add(entry.User)
		entry.session, entry.since = session, r.Now()
		r.entries[entry] = struct{}{}
	} else {
		r.limiter.Remove(entry.User)
		delete(r.entries, entry)
	}
	entry.registered = sticky
	if changed := r.cfg.Changed; changed != nil {
		changed(cresspass.EngineID(entry.session.Engine), sticky)
	}
	if persist := r.cfg.Persist; persist != nil && !sticky && entry.session.ID != 0 {
		persist(&entry.session, false)
		entry.session.ID = 0
	}
}

// persistIfDue records a session that has been sticky for persistAfter. The caller holds the lock.
func (r *Registry) persistIfDue(entry *Entry) {
	persist := r.cfg.Persist
	if persist != nil && entry.session.ID == 0 && r.Now()-entry.since >= persistAfter {
		persist(&entry.session, true)
	}
}

// Allow reports whether one more session of a user may become sticky; the reason, for the client, says why
// not.
func (r *Registry) Allow(user string) (reason string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limiter.Allow(user)
}

// Total is the number of sticky sessions.
func (r *Registry) Total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limiter.Total()
}
