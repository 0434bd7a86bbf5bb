// Package registry tracks the sticky sessions of all frontends: it counts them against the limits, reports
// and persists them, and lets them expire. It adds the lock and the clock to the limiter of package affinity.
// Package affinity decides what makes a session sticky and what ends it.
package registry

import (
	"sync"
	"time"

	"cresspass"
	"cresspass/internal/affinity"
	"cresspass/internal/affinity/orphanedsession"
)

// Config holds the limits and the callbacks of a registry. The callbacks may be nil. They are called under
// the registry's lock and must not block.
type Config struct {
	Limits affinity.Limits
	// Changed is called when a session has become sticky on an engine, and when the session is no longer
	// sticky.
	Changed func(engine cresspass.EngineID, sticky bool)
	// Persist records a sticky session for the next incarnation of the dispatcher and sets its ID. If sticky
	// is false, it removes the record.
	Persist func(s *orphanedsession.Session, sticky bool)
}

// Entry is the registry's entry for one session. The frontend that owns the session sets the exported fields
// before its first Update.
type Entry struct {
	User string
	// Expire is called every sweepInterval while the session is sticky, to end the session if it has reached
	// a limit. It is called without the registry's lock, and possibly once more after the Update that removes
	// the session.
	Expire func(now time.Duration, l affinity.Limits)

	// Guarded by the registry's lock.
	registered bool
	session    orphanedsession.Session
	since      time.Duration // valid while registered
}

// Registry holds the sticky sessions. Create it with New and end it with Close. Now, Update, Allow and Total
// may be called from several goroutines.
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

// persistAfter is how long a session is sticky before it is recorded for the next incarnation. Sessions that
// were sticky for a shorter time are found by the application_name of their connection.
const persistAfter = 50 * time.Millisecond

// New returns an empty registry and starts its periodic sweeps.
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

// Now returns the time on the registry's clock, against which the limits of sessions are checked.
func (r *Registry) Now() time.Duration { return time.Since(r.epoch) }

// Close stops the sweeps and waits for the last one. It must be called once.
func (r *Registry) Close() {
	close(r.stop)
	<-r.done
}

// sweep, every sweepInterval until Close, persists the sessions that are due and calls Expire for all
// sessions.
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

// Allow reports whether one more session of a user may become sticky. If not, reason is the text for the
// client.
func (r *Registry) Allow(user string) (reason string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limiter.Allow(user)
}

// Total returns the number of sticky sessions.
func (r *Registry) Total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limiter.Total()
}
